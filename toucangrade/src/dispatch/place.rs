//! Choice of a runner for a task.

use std::sync::Arc;

use crate::core::Name;
use crate::jobs::{Life, Need, Step};

/// A runner that may take tasks, with what is left on it.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Name,
    pub(super) life: Life,
    pub(super) service: Arc<str>,
    pub(super) labels: Vec<Arc<str>>,
    pub(super) capacity: Need,
    /// Room that is not taken.
    pub(super) free: Need,
    /// Millicores asked for by tasks that fill.
    pub(super) filling: u64,
    /// Millicores that lasting tasks reserve and mostly leave unused.
    pub(super) reserved: u64,
    /// Tasks there that have a tail latency to keep.
    pub(super) serving: u32,
    /// Slowness in percent.
    pub(super) slowness: u64,
}

/// Share of the cores reserved by lasting tasks that they use on average, in percent. They are
/// sized for their peak.
const RESERVED_USE_PERCENT: u64 = 50;
/// Least share of its cores that a filling task should get where it starts, in percent; with less
/// it would miss its objective, and it disturbs what serves all the same.
const FILL_SHARE_PERCENT: u64 = 50;

impl Candidate {
    /// Millicores that tasks which fill can share.
    fn leftover(&self) -> u64 {
        let unused = self.reserved * (100 - RESERVED_USE_PERCENT) / 100;
        self.free.millicores + unused
    }

    fn label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }

    fn rack(&self) -> Option<&Arc<str>> {
        self.labels.get(1)
    }

    /// Takes the room of a task.
    pub(super) fn take(&mut self, step: &Step) {
        self.free.remove(&step.counted());
        if step.fills {
            self.filling += step.need.millicores;
        }
        if step.lasting {
            self.reserved += step.need.millicores;
        }
        self.serving += u32::from(step.target > 0);
    }
}

/// What a choice for one task has to respect beside room.
pub(super) struct Limits<'a> {
    /// Service whose runners may do the work.
    pub(super) service: &'a str,
    /// Tasks of the step on each candidate.
    pub(super) beside: &'a [u32],
    /// Agents on which the task has failed.
    pub(super) avoided: &'a [Name],
}

/// The best candidate for a task, by position.
///
/// Tasks that serve are packed on few runners, so that others stay free for tasks that fill, which
/// would disturb them. Tasks that fill go where nothing serves, and there to where they get the
/// most cores. Other tasks go where the largest share of the cores stays free.
pub(super) fn choose(candidates: &[Candidate], step: &Step, limits: &Limits<'_>) -> Option<usize> {
    let counted = step.counted();
    let fits = |at: usize, candidate: &Candidate| {
        *candidate.service == *limits.service
            && candidate.free.holds(&counted)
            && step.label.as_ref().is_none_or(|label| candidate.label(label))
            && (step.spread == 0 || limits.beside[at] < step.spread)
    };
    let score = |candidate: &Candidate| {
        let cores = candidate.capacity.millicores.max(1);
        let away = step.rack.is_some() && step.rack.as_ref() != candidate.rack();
        let failed = limits.avoided.contains(&candidate.agent);
        let left = (candidate.free.millicores - counted.millicores) * 1_000 / cores;
        let (quiet, room) = if step.fills {
            let share = (candidate.filling + step.need.millicores).max(1);
            (candidate.serving == 0, candidate.leftover() * 1_000 / share)
        } else if step.target > 0 {
            (candidate.serving > 0, 1_000 - left)
        } else {
            (true, left)
        };
        (!failed, !away, quiet, room * 100 / candidate.slowness.max(1))
    };
    let enough = |candidate: &Candidate| {
        let wanted = (candidate.filling + step.need.millicores) * FILL_SHARE_PERCENT / 100;
        !step.fills || candidate.filling == 0 || candidate.leftover() >= wanted
    };
    let open = candidates.iter().enumerate().filter(|(at, c)| fits(*at, c) && enough(c));
    open.max_by_key(|(_, candidate)| score(candidate)).map(|(at, _)| at)
}
