//! Quotas and weighted fair shares of teams, and their queues of waiting jobs. The planner tries
//! jobs in the order given here.

mod message;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::core::{Name, invariant};

pub(crate) use self::message::QueueEntry;
pub use self::message::{Quota, Size};

/// Quota, usage and waiting jobs of a team.
#[derive(Clone, Debug, Serialize)]
struct Team {
    limit: Option<Size>,
    used: Size,
    waiting: BTreeSet<QueueEntry>,
    weight: u32,
}

impl Default for Team {
    fn default() -> Self {
        Self { limit: None, used: Size::default(), waiting: BTreeSet::new(), weight: 1 }
    }
}

/// Quotas, shares and queues of all teams.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Shares {
    teams: BTreeMap<Name, Team>,
    /// Capacity of all workers.
    total: Size,
}

impl Shares {
    /// Sets the weight and limit of a team.
    pub(crate) fn set(&mut self, quota: &Quota) {
        let team = self.teams.entry(quota.team.clone()).or_default();
        team.limit = quota.limit;
        team.weight = quota.weight.max(1);
    }

    /// Sets the capacity of all workers, of which shares are fractions.
    pub(crate) fn set_capacity(&mut self, total: Size) {
        self.total = total;
    }

    /// Adds a job to the queue of its team.
    pub(crate) fn enqueue(&mut self, team: &Name, entry: QueueEntry) {
        let team = self.teams.entry(team.clone()).or_default();
        team.waiting.insert(entry);
    }

    /// Removes a job from the queue of its team; returns whether it was queued.
    pub(crate) fn dequeue(&mut self, team: &Name, entry: &QueueEntry) -> bool {
        let team = self.teams.get_mut(team);
        team.is_some_and(|team| team.waiting.remove(entry))
    }

    /// Adds `size` to the usage of a team.
    pub(crate) fn charge(&mut self, team: &Name, size: Size) {
        self.teams.entry(team.clone()).or_default().used += size;
    }

    /// Subtracts `size` from the usage of a team.
    pub(crate) fn release(&mut self, team: &Name, size: Size) {
        let team = self.teams.entry(team.clone()).or_default();
        invariant!(size.fits(team.used), "release of {size:?} exceeds the use {:?}", team.used);
        team.used = team.used - size;
    }

    /// Whether `size` fits into the rest of the team's quota.
    pub(crate) fn admits(&self, team: &Name, size: Size) -> bool {
        self.teams
            .get(team)
            .is_none_or(|team| team.limit.is_none_or(|limit| (team.used + size).fits(limit)))
    }

    /// The team's limit, if `size` exceeds it even without other usage.
    pub(crate) fn exceeded_limit(&self, team: &Name, size: Size) -> Option<Size> {
        let limit = self.teams.get(team)?.limit?;
        (!size.fits(limit)).then_some(limit)
    }

    /// Weighted dominant share of a team.
    pub(crate) fn share(&self, team: &Name) -> f64 {
        self.teams.get(team).map_or(0.0, |t| self.weighted(t))
    }

    /// Dominant share of the capacity, divided by the team's weight.
    fn weighted(&self, team: &Team) -> f64 {
        team.used.dominant(self.total) / f64::from(team.weight)
    }

    /// Teams with waiting jobs, smallest weighted share first.
    ///
    /// Dominant resource fairness, after Ghodsi et al., NSDI 2011.
    pub(crate) fn order(&self) -> Vec<Name> {
        let mut order: Vec<_> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.waiting.is_empty())
            .map(|(name, team)| (self.weighted(team), name))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        order.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// The first `count` waiting jobs of a team.
    pub(crate) fn first_waiting(&self, team: &Name, count: usize) -> Vec<Name> {
        let waiting = self.teams.get(team).map(|team| &team.waiting);
        waiting.into_iter().flatten().take(count).map(|entry| entry.job.clone()).collect()
    }
}
