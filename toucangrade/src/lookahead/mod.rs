//! Placement with regard to what waits and to what will end soon: reservations for steps that wait
//! for more room than is free at once, and the choice among runners that leaves such room.
//!
//! All of it is soft state of the leader and decided from facts that `dispatch` passes in.

mod durations;
mod forecast;
mod gap;
#[cfg(test)]
mod replay;
mod reservations;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

pub(crate) use self::durations::{Durations, Learned, Progress};
pub(crate) use self::forecast::{Place, expected_start};
pub(crate) use self::gap::{Room, Score, keep_slots};
pub(crate) use self::reservations::{Claim, Passed, Reason, Usage};
use self::reservations::{LINES_LIMIT, Reservation, SERVICE_LIMIT};
use crate::core::{Moment, Span};
use crate::jobs::{Need, TaskKey};

/// Interval between two forecasts. In between, small tasks of half a second hardly change them, and
/// one costs the leader about a millisecond with 160 runners.
const LOOK_EVERY: Span = Span::millis(200);

/// Priority of a queue and lateness of a job; smaller is more urgent.
pub(crate) type Urgency = (u32, u8);

/// A step whose tasks are being placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) job: u64,
    pub(crate) urgency: Urgency,
    /// When a task that starts now will probably have ended, if that is known.
    pub(crate) end: Option<Moment>,
}

/// State of the look-ahead.
#[derive(Clone, Debug)]
pub(crate) struct Lookahead {
    on: bool,
    pub(crate) durations: Durations,
    reservations: BTreeMap<TaskKey, Reservation>,
    /// Since when the steps that may get a reservation wait.
    waiting: BTreeMap<TaskKey, Moment>,
    /// Needs of the steps that wait, by service, without repetitions.
    wanted: BTreeMap<Arc<str>, Vec<Need>>,
    /// Ranks the runners for a task while something in `wanted` waits.
    score: Score,
    /// Most reservations for one service.
    limit: usize,
    /// Time of the present round of placement.
    now: Moment,
    usage: BTreeMap<Arc<str>, Usage>,
    /// Time of the last forecast.
    looked: Moment,
    /// Free millicores that are kept for owners.
    idle: u64,
    /// Last values of the gauges.
    gauges: (u64, u64),
    /// Start of the second in which log lines are counted, and their number.
    lines: (Moment, u32),
}

impl Default for Lookahead {
    fn default() -> Self {
        Self {
            on: false,
            durations: Durations::default(),
            reservations: BTreeMap::new(),
            waiting: BTreeMap::new(),
            wanted: BTreeMap::new(),
            score: keep_slots,
            limit: SERVICE_LIMIT,
            now: Moment::START,
            usage: BTreeMap::new(),
            looked: Moment::START,
            idle: 0,
            gauges: (0, 0),
            lines: (Moment::START, 0),
        }
    }
}

impl Lookahead {
    pub(crate) fn new(on: bool) -> Self {
        Self { on, ..Self::default() }
    }

    pub(crate) fn is_on(&self) -> bool {
        self.on
    }

    pub(crate) fn has_reservations(&self) -> bool {
        !self.reservations.is_empty()
    }

    pub(crate) fn is_reserved(&self, owner: TaskKey) -> bool {
        self.reservations.contains_key(&owner)
    }

    /// Begins a round of placement, in which this much of each service is in use.
    pub(crate) fn begin(&mut self, now: Moment, usage: BTreeMap<Arc<str>, Usage>) {
        (self.now, self.usage) = (now, usage);
    }

    pub(crate) fn usage(&self, service: &str) -> Usage {
        self.usage.get(service).copied().unwrap_or_default()
    }

    pub(crate) fn now(&self) -> Moment {
        self.now
    }

    /// A copy for a trial run, which logs nothing.
    pub(crate) fn trial(&self, now: Moment) -> Self {
        Self { lines: (now, LINES_LIMIT), ..self.clone() }
    }

    /// Whether a forecast is due.
    pub(crate) fn is_due(&self) -> bool {
        self.on && self.now.since(self.looked) >= LOOK_EVERY
    }

    /// Needs of the steps of a service that wait, and the score by which runners are ranked for
    /// smaller tasks.
    pub(crate) fn wanted(&self, service: &str) -> (&[Need], Score) {
        (self.wanted.get(service).map_or(&[], Vec::as_slice), self.score)
    }

    /// Millicores that were idle for reservations in the last round, and those of all services.
    pub(crate) fn idle(&self) -> (u64, u64) {
        (self.idle, self.usage.values().map(|usage| usage.capacity).sum())
    }

    /// Changed values of the gauges: reservations, and millicores that are free for their owners only.
    pub(crate) fn changed_gauges(&mut self) -> Option<(u64, u64)> {
        let gauges = (self.reservations.len() as u64, self.idle);
        (std::mem::replace(&mut self.gauges, gauges) != gauges).then_some(gauges)
    }

    /// Sets the score and the most reservations of a service, for comparisons.
    #[cfg(test)]
    pub(crate) fn with_policy(mut self, score: Score, limit: usize) -> Self {
        (self.score, self.limit) = (score, limit);
        self
    }
}
