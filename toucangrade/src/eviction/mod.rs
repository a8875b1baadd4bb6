//! Which running jobs give way, and the account of those that did.

mod message;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::{Name, invariant};
use crate::quota::Size;

pub use self::message::Cause;
pub(crate) use self::message::{Candidate, Plan};

/// Cost of an eviction beside the work lost, in core seconds: stop, restore and restart.
///
/// Keeps a plan from evicting many small jobs where one large one would do.
const FIXED_COST: f64 = 60.0;

/// Chooses jobs whose eviction makes `need` fit where `free` is free already.
///
/// Lower priority goes first, then less work lost for each part of the need that is freed. Jobs
/// whose eviction turns out not to be needed are spared again, the costliest first. `None` when
/// all candidates together don't free enough.
pub(crate) fn choose(need: Size, free: Size, candidates: &[Candidate]) -> Option<Plan> {
    let missing = need - free;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let worth = |c: &Candidate| {
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
        by_priority.then_with(|| worth(a).total_cmp(&worth(b)))
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
    let mut spare = chosen.clone();
    spare.sort_by(|&a, &b| {
        let (a, b) = (&candidates[a], &candidates[b]);
        let by_priority = b.priority.cmp(&a.priority);
        by_priority.then_with(|| b.lost.total_cmp(&a.lost))
    });
    for index in spare {
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

/// Account of evictions: each is resumed exactly once, or its job ends.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Ledger {
    causes: BTreeMap<Cause, u64>,
    ended: u64,
    evicted: u64,
    open: BTreeMap<Name, u64>,
    resumed: u64,
}

impl Ledger {
    /// Counts the eviction of a job's execution under `fence`.
    pub(crate) fn evict(&mut self, job: &Name, fence: u64, cause: Cause) {
        let before = self.open.insert(job.clone(), fence);
        invariant!(
            before.is_none(),
            "{job} evicted under fence {fence} before it resumed from {before:?}"
        );
        *self.causes.entry(cause).or_default() += 1;
        self.evicted += 1;
    }

    /// Counts a start of a job under `fence`; true when it resumes an evicted execution.
    pub(crate) fn start(&mut self, job: &Name, fence: u64) -> bool {
        let Some(before) = self.open.remove(job) else {
            return false;
        };
        invariant!(fence > before, "{job} resumed under fence {fence}, evicted under {before}");
        self.resumed += 1;
        self.check();
        true
    }

    /// Counts the end of a job that may have been evicted and not resumed.
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
