//! Room of one runner and the order in which attempts get its slots.

use std::collections::VecDeque;

use serde::Serialize;

use super::Announce;
use crate::core::{Class, Key, Moment, Span};

/// Time after its last announcement when a runner gets no new work.
pub(super) const ANNOUNCE_LAPSE: Span = Span::millis(3_000);
/// Slots and connections that a runner may announce.
pub(super) const ROOM_MAX: u32 = 100_000;
/// Share of a runner's slots and connections that is kept for quick attempts, in percent. Without
/// it, batch work of 2 s beside quick work of 40 ms held all slots (`docs/notes/requests.md`).
const QUICK_SHARE: u32 = 25;
/// One slot in this many goes to batch and once attempts before quick ones. With quick work at one
/// and a half times the capacity, 2% of batch requests ran without it.
const HEAVY_PART: u32 = 8;

/// A runner that announced itself.
#[derive(Debug, Serialize)]
pub(super) struct Runner {
    pub(super) announce: Announce,
    pub(super) seen: Moment,
    /// Attempts that occupy a slot.
    pub(super) running: u32,
    /// Attempts that occupy a connection: those that run and those that wait for a slot.
    pub(super) held: u32,
    /// Executions that an earlier incarnation of this agent started and that may still go on.
    pub(super) foreign: u32,
    /// Of those that occupy a slot or a connection, the ones that aren't quick.
    pub(super) heavy_running: u32,
    pub(super) heavy_held: u32,
    /// Whether a quick attempt ever came, so that runners without quick work keep nothing free.
    pub(super) quick: bool,
    pub(super) waiting: VecDeque<Key>,
    pub(super) heavy_waiting: VecDeque<Key>,
    /// When the runner began to leave.
    pub(super) left: Option<Moment>,
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
            quick: false,
            waiting: VecDeque::new(),
            heavy_waiting: VecDeque::new(),
            left: None,
        }
    }

    /// Slots or connections that attempts other than quick ones may hold, at least one.
    fn heavy_share(&self, all: u32) -> u32 {
        let kept = if self.quick { (all * QUICK_SHARE).div_ceil(100) } else { 0 };
        (all - kept).max(1)
    }

    /// Whether an attempt of this class may take a connection.
    pub(super) fn has_room(&self, class: Class) -> bool {
        let Announce { connections, .. } = self.announce;
        self.used() < connections
            && (class == Class::Quick || self.heavy_held < self.heavy_share(connections))
    }

    /// The attempt that gets the next free slot: quick ones first, but for the part that others
    /// always get.
    pub(super) fn pop(&mut self) -> Option<Key> {
        if self.heavy_running < self.announce.slots / HEAVY_PART
            && let Some(key) = self.heavy_waiting.pop_front()
        {
            return Some(key);
        }
        let heavy = self.heavy_running < self.heavy_share(self.announce.slots);
        self.waiting.pop_front().or_else(|| self.heavy_waiting.pop_front_if(|_| heavy))
    }

    pub(super) fn available(&self, now: Moment) -> bool {
        !self.announce.leaving && now.since(self.seen) <= ANNOUNCE_LAPSE
    }

    /// Connections in use.
    pub(super) fn used(&self) -> u32 {
        self.held.saturating_add(self.foreign).min(ROOM_MAX)
    }
}
