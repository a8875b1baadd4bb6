//! Chooses the running jobs to evict, and counts evictions and resumptions.

mod message;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::{Name, invariant};
use crate::quota::Size;

pub use self::message::Cause;
pub(crate) use self::message::{Candidate, Plan};

/// Cost of an eviction besides the lost work, in core seconds: stop, restore and restart.
///
/// Keeps a plan from evicting many small jobs if one large job is enough.
const FIXED_COST: f64 = 60.0;

/// Chooses jobs to evict from a worker with `free` resources so that `need` fits.
///
/// Jobs of lower priority are chosen first, then those that lose less work for each part of the
/// missing resources that they free. Jobs that turn out not to be needed are dropped from the plan,
/// those of the highest priority and most lost work first. `None` if all candidates together don't
/// free enough.
pub(crate) fn choose(need: Size, free: Size, candidates: &[Candidate]) -> Option<Plan> {
    let missing = need - free;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let unit_cost = |c: &Candidate| {
        let useful = Size::new(
            c.frees.cores.min(missing.cores),
            c.frees.memory.min(missing.memory),
            c.frees.accelerators.min(missing.accelerators),
        );
        (c.lost + FIXED_COST) / useful.dominant(missing.max(Size::new(1, 1, 1))).max(1e-6)
    };
    order.sort_by(|&a, &b| {
        let (a, b) = (&candidates[a], &candidates[b]);
        let by_priority = a.priority.cmp(&b.priority);
        by_priority.then_with(|| unit_cost(a).total_cmp(&unit_cost(b)))
    });
    let mut chosen = Vec::new();
    let mut room = free;
    for index in order {
        if need.fits(room) {
            break;
        }
        room += candidates[index].frees;
        chosen.push(index);
    }
    if !need.fits(room) {
        return None;
    }
    let mut costliest_first = chosen.clone();
    costliest_first.sort_by(|&a, &b| {
        let (a, b) = (&candidates[a], &candidates[b]);
        let by_priority = b.priority.cmp(&a.priority);
        by_priority.then_with(|| b.lost.total_cmp(&a.lost))
    });
    for index in costliest_first {
        let without = room - candidates[index].frees;
        if need.fits(without) {
            room = without;
            chosen.retain(|&other| other != index);
        }
    }
    let picked = chosen.iter().map(|&index| &candidates[index]);
    Some(Plan {
        cost: picked.clone().map(|c| c.lost + FIXED_COST).sum(),
        priority: picked.map(|c| c.priority).max().unwrap_or(0),
        chosen,
    })
}

/// Counts evictions, and checks that each evicted job is resumed exactly once or ends.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Ledger {
    causes: BTreeMap<Cause, u64>,
    ended: u64,
    evicted: u64,
    /// Evicted jobs that were not resumed yet, with the fencing token of the evicted execution.
    open: BTreeMap<Name, u64>,
    resumed: u64,
}

impl Ledger {
    /// Records the eviction of a job's execution under the fencing token `fence`.
    pub(crate) fn evict(&mut self, job: &Name, fence: u64, cause: Cause) {
        let before = self.open.insert(job.clone(), fence);
        invariant!(
            before.is_none(),
            "{job} evicted under fence {fence} before it resumed from {before:?}"
        );
        *self.causes.entry(cause).or_default() += 1;
        self.evicted += 1;
    }

    /// Records a start of a job under `fence`. Returns whether it resumes an evicted job.
    pub(crate) fn start(&mut self, job: &Name, fence: u64) -> bool {
        let Some(before) = self.open.remove(job) else {
            return false;
        };
        invariant!(fence > before, "{job} resumed under fence {fence}, evicted under {before}");
        self.resumed += 1;
        self.check();
        true
    }

    /// Records the final end of a job, which may have been evicted before.
    pub(crate) fn end(&mut self, job: &Name) {
        if self.open.remove(job).is_some() {
            self.ended += 1;
        }
        self.check();
    }

    fn check(&self) {
        invariant!(
            self.evicted == self.resumed + self.ended + self.open.len() as u64,
            "{} evictions, {} resumed, {} ended, {} open",
            self.evicted,
            self.resumed,
            self.ended,
            self.open.len()
        );
    }
}
