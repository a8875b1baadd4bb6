//! Resource sizes, team quotas and the entries of the waiting queues.

use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

use crate::core::{Moment, Name, Span};

/// Cores, memory and accelerators of a task, worker or quota.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cores: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Creates a size of `cores` thousandths of a core, `memory` MB and whole accelerators.
    pub const fn new(cores: u64, memory: u64, accelerators: u64) -> Self {
        Self { cores, memory, accelerators }
    }

    /// Whether this size fits into `room` in every resource.
    pub const fn fits(self, room: Self) -> bool {
        self.cores <= room.cores
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
    }

    /// This size multiplied by `count`.
    #[must_use]
    pub const fn times(self, count: u64) -> Self {
        Self::new(self.cores * count, self.memory * count, self.accelerators * count)
    }

    /// The maximum of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self::new(
            self.cores.max(other.cores),
            self.memory.max(other.memory),
            self.accelerators.max(other.accelerators),
        )
    }

    /// Dominant share: the largest fraction of `total` that this size takes in any resource.
    pub fn dominant(self, total: Self) -> f64 {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => part as f64 / whole as f64,
        };
        share(self.cores, total.cores)
            .max(share(self.memory, total.memory))
            .max(share(self.accelerators, total.accelerators))
    }
}

impl Add for Size {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self::new(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Size {
    type Output = Self;

    /// Subtracts each resource, saturating at zero.
    fn sub(self, other: Self) -> Self {
        Self::new(
            self.cores.saturating_sub(other.cores),
            self.memory.saturating_sub(other.memory),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }
}

/// Quota and weight of a team, as operators declare them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quota {
    /// The team.
    pub team: Name,
    /// Weight in the fair shares, at least 1.
    pub weight: u32,
    /// Maximum total size of the team's running jobs; `None` for no limit.
    pub limit: Option<Size>,
}

/// Time by which each step of priority moves a job forward in its team's queue.
///
/// It bounds starvation: a job is only overtaken by jobs that were submitted at most this time per
/// step of difference in priority after it.
const PRIORITY_STEP: Span = Span::secs(300);

/// A waiting job in the queue of its team, ordered by `key`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct QueueEntry {
    /// Time of submission in microseconds, less `PRIORITY_STEP` for each step of priority.
    key: i64,
    /// The job.
    pub(crate) job: Name,
}

impl QueueEntry {
    pub(crate) fn new(priority: u8, since: Moment, job: Name) -> Self {
        let ahead = u64::from(priority) * PRIORITY_STEP.as_micros();
        Self { key: since.as_micros().cast_signed() - ahead.cast_signed(), job }
    }
}
