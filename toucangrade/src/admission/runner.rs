//! Capacity of one runner, and the order in which waiting attempts get its slots.
//!
//! "Heavy" attempts are those of the classes batch and once.

use std::collections::VecDeque;

use serde::Serialize;

use super::Announce;
use crate::core::{Class, Key, Moment, Span};

/// Time after its last announcement from which a runner gets no new work.
pub(super) const ANNOUNCE_TIMEOUT: Span = Span::millis(3_000);
/// Maximum of slots and of connections that a runner may announce.
pub(super) const CAPACITY_MAX: u32 = 100_000;
/// Share of a runner's slots and connections that is reserved for quick attempts, in percent.
/// Without it, batch work of 2 s beside quick work of 40 ms held all slots
/// (`docs/notes/requests.md`).
const QUICK_SHARE_PERCENT: u32 = 25;
/// One slot in this many goes to heavy attempts before quick ones. Without it, only 2% of batch
/// requests ran when quick work arrived at one and a half times the capacity.
const HEAVY_SLOT_RATIO: u32 = 8;

/// State of a runner.
#[derive(Debug, Serialize)]
pub(super) struct Runner {
    pub(super) announce: Announce,
    /// Time of the last announcement.
    pub(super) seen: Moment,
    /// Attempts that occupy a slot.
    pub(super) running: u32,
    /// Attempts that occupy a connection: those that run and those that wait for a slot.
    pub(super) held: u32,
    /// Executions that an earlier incarnation of this agent started and that may still run.
    pub(super) foreign: u32,
    /// Heavy attempts among `running`, and among `held`.
    pub(super) heavy_running: u32,
    pub(super) heavy_held: u32,
    /// Whether a quick attempt was ever admitted; runners without quick work reserve nothing.
    #[serde(rename = "quick")]
    pub(super) quick_seen: bool,
    /// Keys of the quick attempts that wait for a slot.
    pub(super) waiting: VecDeque<Key>,
    pub(super) heavy_waiting: VecDeque<Key>,
    /// Since when the runner announces that it is leaving.
    #[serde(rename = "left")]
    pub(super) leaving_since: Option<Moment>,
}

impl Runner {
    pub(super) fn new(announce: Announce, seen: Moment) -> Self {
        Self {
            announce,
            seen,
            running: 0,
            held: 0,
            foreign: 0,
            heavy_running: 0,
            heavy_held: 0,
            quick_seen: false,
            waiting: VecDeque::new(),
            heavy_waiting: VecDeque::new(),
            leaving_since: None,
        }
    }

    /// How many of `all` slots or connections heavy attempts may use, at least one.
    fn heavy_share(&self, all: u32) -> u32 {
        let kept = if self.quick_seen { (all * QUICK_SHARE_PERCENT).div_ceil(100) } else { 0 };
        (all - kept).max(1)
    }

    /// Whether a connection is free for an attempt of this class.
    pub(super) fn has_room(&self, class: Class) -> bool {
        let Announce { connections, .. } = self.announce;
        self.used() < connections
            && (class == Class::Quick || self.heavy_held < self.heavy_share(connections))
    }

    /// Removes the attempt that gets the next free slot from its queue: quick attempts first,
    /// except for the slots that heavy attempts always get.
    pub(super) fn next_waiting(&mut self) -> Option<Key> {
        if self.heavy_running < self.announce.slots / HEAVY_SLOT_RATIO
            && let Some(key) = self.heavy_waiting.pop_front()
        {
            return Some(key);
        }
        let heavy = self.heavy_running < self.heavy_share(self.announce.slots);
        self.waiting.pop_front().or_else(|| self.heavy_waiting.pop_front_if(|_| heavy))
    }

    /// Whether the runner takes new work: it is not leaving and announced itself recently.
    pub(super) fn available(&self, now: Moment) -> bool {
        !self.announce.leaving && now.since(self.seen) <= ANNOUNCE_TIMEOUT
    }

    /// Connections in use, foreign executions included.
    pub(super) fn used(&self) -> u32 {
        self.held.saturating_add(self.foreign).min(CAPACITY_MAX)
    }
}
