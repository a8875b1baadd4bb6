//! State of one job.

use std::collections::BTreeSet;

use serde::Serialize;

use super::message::{Checkpoint, Finding, Outcome, Spec};
use crate::core::{Moment, Name};
use crate::eviction::Cause;
use crate::quota::{QueueEntry, Size};

/// One member of an execution.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Place {
    /// Whether it has ended.
    pub(super) ended: bool,
    /// Whether it has completed its work.
    pub(super) finished: bool,
    pub(super) grant: Size,
    /// Index of the worker.
    pub(super) id: usize,
}

/// State of a job's execution.
#[derive(Clone, Debug, Serialize)]
pub(super) enum State {
    /// An assignment is proposed and its resources are reserved.
    Proposed(Vec<Place>),
    /// An assignment is committed.
    Running(Vec<Place>),
    /// The execution must stop. Members that have not ended may run until their worker's lease
    /// expires.
    #[serde(rename = "Settling")]
    Terminating(Vec<Place>),
    /// There is no execution.
    Waiting,
}

/// An eviction that is not committed yet.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Eviction {
    pub(super) cause: Cause,
    /// Number of the newest checkpoint when another one was requested.
    #[serde(rename = "number")]
    pub(super) checkpoint: u64,
    pub(super) proposed: bool,
    /// When the eviction is proposed even without a new checkpoint.
    #[serde(rename = "until")]
    pub(super) deadline: Moment,
}

/// A job without a final outcome, or one whose last execution has not ended yet.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Job {
    /// Failures on workers that it had failed on before.
    #[serde(rename = "again")]
    pub(super) repeat_failures: usize,
    /// Since when it has found no room, as an urgent job or as the first of its team.
    #[serde(rename = "blocked")]
    pub(super) blocked_since: Option<Moment>,
    /// Whether the confirmed start of the newest execution is proposed or in the log.
    pub(super) begun: bool,
    pub(super) checkpoint: Checkpoint,
    /// Whether it was checked if it can ever run, with all workers known.
    pub(super) checked: bool,
    /// Final outcome that is proposed but not committed yet.
    #[serde(rename = "closing")]
    pub(super) proposed_outcome: Option<Outcome>,
    /// Reported work done, in core seconds.
    pub(super) done: u64,
    /// Workers that it failed on.
    pub(super) failed_on: BTreeSet<usize>,
    /// Fencing token of the newest committed execution.
    pub(super) fence: u64,
    /// Number of times that the guard stopped it for exceeding its granted memory.
    #[serde(rename = "guarded")]
    pub(super) guard_stops: u32,
    /// Index of its kind in the interference model.
    pub(super) kind: usize,
    /// When jobs were last evicted to make room for it.
    #[serde(rename = "making")]
    pub(super) evictions_began: Option<Moment>,
    /// Memory in MB to grant at least, raised by guard stops.
    pub(super) memory: u64,
    /// Whether the final outcome is committed.
    pub(super) over: bool,
    pub(super) spec: Spec,
    pub(super) state: State,
    pub(super) submitted: Moment,
    /// Why it was not placed when it was last tried.
    #[serde(rename = "waits")]
    pub(super) wait_reason: Finding,
}

impl Job {
    pub(super) fn new(spec: Spec, kind: usize, now: Moment) -> Self {
        Self {
            repeat_failures: 0,
            blocked_since: None,
            begun: false,
            checkpoint: Checkpoint::default(),
            checked: false,
            proposed_outcome: None,
            done: 0,
            failed_on: BTreeSet::new(),
            fence: 0,
            guard_stops: 0,
            kind,
            evictions_began: None,
            memory: 0,
            over: false,
            spec,
            state: State::Waiting,
            submitted: now,
            wait_reason: Finding::Waits,
        }
    }

    pub(super) fn queue_entry(&self) -> QueueEntry {
        QueueEntry::new(self.spec.priority, self.submitted, self.spec.name.clone())
    }

    /// Members of the current execution.
    pub(super) fn places(&self) -> &[Place] {
        match &self.state {
            State::Proposed(places) | State::Running(places) | State::Terminating(places) => places,
            State::Waiting => &[],
        }
    }

    pub(super) fn places_mut(&mut self) -> &mut [Place] {
        match &mut self.state {
            State::Proposed(places) | State::Running(places) | State::Terminating(places) => places,
            State::Waiting => &mut [],
        }
    }

    /// Whether a committed execution may still run and was not evicted.
    pub(super) fn is_running(&self) -> bool {
        matches!(&self.state, State::Running(places) if places.iter().any(|p| !p.ended))
    }

    /// Failures since its submission; a standing watch starts again at zero after `FAIL_LIMIT`.
    pub(super) fn failures(&self) -> usize {
        self.failed_on.len() + self.repeat_failures
    }

    /// Work since the newest checkpoint, which an eviction would lose, in core seconds.
    pub(super) fn unsaved_work(&self) -> f64 {
        self.done.saturating_sub(self.checkpoint.done) as f64
    }

    /// Replaces the checkpoint if the given one is newer.
    pub(super) fn advance_checkpoint(&mut self, checkpoint: Checkpoint) {
        self.checkpoint = self.checkpoint.max_by_number(checkpoint);
    }

    pub(super) fn name(&self) -> &Name {
        &self.spec.name
    }
}

impl Checkpoint {
    /// The newer of two checkpoints.
    #[must_use]
    pub fn max_by_number(self, other: Self) -> Self {
        if other.number > self.number { other } else { self }
    }
}
