//! One job and where it stands.

use std::collections::BTreeSet;

use serde::Serialize;

use super::message::{Checkpoint, Finding, Outcome, Spec};
use crate::core::{Moment, Name};
use crate::eviction::Cause;
use crate::quota::{QueueEntry, Size};

/// One member of an execution.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Place {
    /// The worker said that it ended.
    pub(super) ended: bool,
    /// It ended because the job was done.
    pub(super) finished: bool,
    pub(super) grant: Size,
    /// Index of the worker.
    pub(super) id: usize,
}

/// Where a job stands.
#[derive(Clone, Debug, Serialize)]
pub(super) enum State {
    /// An assignment is proposed; its room is reserved.
    Proposed(Vec<Place>),
    /// An assignment is agreed.
    Running(Vec<Place>),
    /// The execution must end; each member has ended or may run until its lease ends.
    Settling(Vec<Place>),
    /// It has no execution.
    Waiting,
}

/// An eviction that is not agreed yet.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Evicting {
    pub(super) cause: Cause,
    /// Newest checkpoint when a further one was asked for.
    pub(super) number: u64,
    pub(super) proposed: bool,
    /// When the eviction is proposed without a new checkpoint.
    pub(super) until: Moment,
}

/// A job without a final outcome, or one whose last execution still ends.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Job {
    /// Failures on workers that had failed it before.
    pub(super) again: usize,
    /// Since when it has been first in its team's order without room.
    pub(super) blocked: Option<Moment>,
    pub(super) checkpoint: Checkpoint,
    /// Whether it was checked that some worker could ever hold it.
    pub(super) checked: bool,
    /// Outcome that is proposed.
    pub(super) closing: Option<Outcome>,
    /// Core seconds of work reported.
    pub(super) done: u64,
    /// Workers that failed it.
    pub(super) failed_on: BTreeSet<usize>,
    /// Fencing token of the newest agreed execution.
    pub(super) fence: u64,
    pub(super) guarded: u32,
    /// Index of its kind in the interference model.
    pub(super) kind: usize,
    /// When evictions were begun for it.
    pub(super) making: Option<Moment>,
    /// Memory in MB that it is known to need after guard stops.
    pub(super) memory: u64,
    /// Whether the final outcome is agreed.
    pub(super) over: bool,
    pub(super) spec: Spec,
    pub(super) state: State,
    pub(super) submitted: Moment,
    pub(super) waits: Finding,
}

impl Job {
    pub(super) fn new(spec: Spec, kind: usize, now: Moment) -> Self {
        Self {
            again: 0,
            blocked: None,
            checkpoint: Checkpoint::default(),
            checked: false,
            closing: None,
            done: 0,
            failed_on: BTreeSet::new(),
            fence: 0,
            guarded: 0,
            kind,
            making: None,
            memory: 0,
            over: false,
            spec,
            state: State::Waiting,
            submitted: now,
            waits: Finding::Waits,
        }
    }

    pub(super) fn ticket(&self) -> QueueEntry {
        QueueEntry::new(self.spec.priority, self.submitted, self.spec.name.clone())
    }

    /// Members of the present execution.
    pub(super) fn places(&self) -> &[Place] {
        match &self.state {
            State::Proposed(places) | State::Running(places) | State::Settling(places) => places,
            State::Waiting => &[],
        }
    }

    pub(super) fn places_mut(&mut self) -> &mut [Place] {
        match &mut self.state {
            State::Proposed(places) | State::Running(places) | State::Settling(places) => places,
            State::Waiting => &mut [],
        }
    }

    /// Whether an agreed execution may still run.
    pub(super) fn is_running(&self) -> bool {
        matches!(&self.state, State::Running(places) if places.iter().any(|p| !p.ended))
    }

    /// Failures since it was submitted, or since a standing watch began anew.
    pub(super) fn failures(&self) -> usize {
        self.failed_on.len() + self.again
    }

    /// Work that an eviction now would lose, in core seconds.
    pub(super) fn at_stake(&self) -> f64 {
        self.done.saturating_sub(self.checkpoint.done) as f64
    }

    /// Takes in a checkpoint, if it is newer.
    pub(super) fn keep(&mut self, checkpoint: Checkpoint) {
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
