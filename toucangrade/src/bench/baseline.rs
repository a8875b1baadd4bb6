//! Baseline request paths that routing and execution are compared with.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;

use super::Chooser;
use crate::core::{Key, Moment, Name};
use crate::limits::Admitted;
use crate::membership::Agent;
use crate::routing::{Agents, ClockReading, Pick, START_TIMEOUT, Target};

/// A baseline entry's view of the agents: membership and the last reading of each.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) agents: BTreeMap<Name, Agent>,
    pub(crate) readings: BTreeMap<Name, ClockReading>,
}

impl View {
    /// Picks the least-loaded or a random agent that offers the kind, ignoring latency and errors.
    pub(crate) fn choose(
        &self,
        now: Moment,
        chooser: Chooser,
        pick: &Pick,
        rng: &mut SmallRng,
    ) -> Option<Target> {
        let candidates: Vec<&Name> = self
            .agents
            .iter()
            .filter(|(name, agent)| {
                !pick.exclude.contains(*name)
                    && self.readings.contains_key(*name)
                    && agent.offers.iter().any(|offer| offer.kinds.contains(&pick.kind))
            })
            .map(|(name, _)| name)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let name = match chooser {
            Chooser::LeastLoaded => {
                candidates.iter().min_by_key(|name| self.readings[**name].used)?
            },
            _ => candidates.get(rng.random_range(0..candidates.len()))?,
        };
        let agent = &self.agents[*name];
        Some(Target {
            agent: (*name).clone(),
            addr: agent.addr,
            incarnation: agent.incarnation,
            centre: agent.centre.clone(),
            start_by: self.readings[*name].clock_at(now) + START_TIMEOUT,
        })
    }
}

/// A request of a baseline entry, which retries a failed attempt at once.
pub(crate) struct BaselineRequest {
    pub(crate) admitted: Admitted,
    pub(crate) attempt: u32,
    pub(crate) exclude: Agents,
}

impl BaselineRequest {
    /// The pick of the next attempt.
    pub(crate) fn pick(&mut self, key: &Key) -> Pick {
        self.attempt += 1;
        Pick {
            key: key.clone(),
            attempt: self.attempt,
            service: self.admitted.service.clone(),
            kind: self.admitted.kind.clone(),
            exclude: self.exclude.clone(),
        }
    }
}
