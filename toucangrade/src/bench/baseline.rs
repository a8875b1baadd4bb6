//! Simple request paths that the real one is compared with.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;

use super::Chooser;
use crate::core::{Key, Moment, Name};
use crate::limits::Admitted;
use crate::membership::Agent;
use crate::routing::{Agents, ClockReading, Pick, START_TIMEOUT, Target};

/// What a simple entry knows of the agents.
#[derive(Default)]
pub(crate) struct Known {
    pub(crate) agents: BTreeMap<Name, Agent>,
    pub(crate) readings: BTreeMap<Name, ClockReading>,
}

impl Known {
    /// Chooses without estimates of latency or errors.
    pub(crate) fn choose(
        &self,
        now: Moment,
        chooser: Chooser,
        pick: &Pick,
        rng: &mut SmallRng,
    ) -> Option<Target> {
        let able: Vec<&Name> = self
            .agents
            .iter()
            .filter(|(name, agent)| {
                !pick.exclude.contains(*name)
                    && self.readings.contains_key(*name)
                    && agent.offers.iter().any(|offer| offer.kinds.contains(&pick.kind))
            })
            .map(|(name, _)| name)
            .collect();
        if able.is_empty() {
            return None;
        }
        let name = match chooser {
            Chooser::LeastLoaded => able.iter().min_by_key(|name| self.readings[**name].used)?,
            _ => able.get(rng.random_range(0..able.len()))?,
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

/// A request of an entry that repeats refused attempts at once.
pub(crate) struct Plain {
    pub(crate) admitted: Admitted,
    pub(crate) attempt: u32,
    pub(crate) exclude: Agents,
}

impl Plain {
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
