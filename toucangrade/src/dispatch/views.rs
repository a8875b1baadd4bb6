//! Runners as placement sees them, kept between rounds. Only those that have changed are computed
//! anew: at hundreds of runners a round would otherwise spend most of its time on the others.

use std::collections::BTreeMap;

use super::Dispatch;
use super::place::Candidate;
use crate::core::Name;

/// What a view was computed from: the number of the agent's reports, and of the last change of the
/// runner's runs.
type Version = (u64, u64);

/// Candidates by agent, without proposed assignments and reservations.
#[derive(Debug, Default)]
pub(super) struct Views {
    views: BTreeMap<Name, (Version, Candidate)>,
    /// Number of candidates computed so far.
    built: u64,
}

impl Views {
    pub(super) fn get(&self, agent: &Name) -> Option<&Candidate> {
        self.views.get(agent).map(|(_, candidate)| candidate)
    }

    /// Keeps the limits that a round of placement has computed, for the next one.
    pub(super) fn keep_limits(&mut self, candidates: Vec<Candidate>) {
        for candidate in candidates.into_iter().filter(|candidate| !candidate.allocated) {
            if let Some((_, view)) = self.views.get_mut(&candidate.agent) {
                view.limits = candidate.limits;
            }
        }
    }

    #[cfg(test)]
    pub(super) fn built(&self) -> u64 {
        self.built
    }
}

impl Dispatch {
    /// Computes the views of the runners that have changed.
    pub(super) fn refresh_views(&mut self) {
        let mut views = std::mem::take(&mut self.views);
        views.views.retain(|agent, _| self.fleet.workers.contains_key(agent));
        for (agent, worker) in &self.fleet.workers {
            let lease = worker.incarnation().and_then(|i| self.fleet.leases.get(i));
            let version = (worker.reports, lease.map_or(0, |lease| lease.changed));
            if views.views.get(agent).is_some_and(|(seen, _)| *seen == version) {
                continue;
            }
            match self.candidate(agent) {
                Some(candidate) => {
                    views.built += 1;
                    views.views.insert(agent.clone(), (version, candidate));
                },
                None => drop(views.views.remove(agent)),
            }
        }
        self.views = views;
    }
}
