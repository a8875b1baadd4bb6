//! Evacuation orders of a run, and the checks that they are kept: nothing starts in an evacuated data
//! centre after the bound, and no acknowledged order is lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::HOST;
use super::runner::Habit;
use super::world::World;
use crate::core::invariant;
use crate::dispatch::{ClientRequest, Verb};
use crate::evacuation::{EvacuationOrder, EvacuationVerb};
use crate::jobs::RunKey;

/// Number of data centres.
const CENTRES: usize = 3;
/// Time after an order in which starts that were under way may still be carried out, in microseconds.
const EVACUATION_BOUND: u64 = 5_000_000;
/// Time without a fault of its own or of control after which an agent counts as connected, in
/// microseconds.
const CONNECTED_AFTER: u64 = 4_000_000;
/// Maximum time until orders are acknowledged once all faults have ended, in microseconds.
const ANSWER_TIMEOUT: u64 = 5_000_000;

/// Record of the evacuation orders and of the agents' connections.
#[derive(Default)]
pub(super) struct Evacuations {
    /// Time of the last committed order of each kind, by data centre.
    started: BTreeMap<Arc<str>, u64>,
    finished: BTreeMap<Arc<str>, u64>,
    /// Time at which an operator first sent each order that is not acknowledged yet.
    asked: BTreeMap<u64, u64>,
    /// Last time at which an agent, its runner or its path to control was disturbed.
    disturbed: BTreeMap<usize, u64>,
    /// Term at the last look.
    term: u64,
}

impl World {
    /// Data centre of a machine.
    pub(super) fn centre(&self, agent: usize) -> Arc<str> {
        if self.truth.scope.evacuations {
            format!("olinda-{}", agent % CENTRES).into()
        } else {
            "olinda".into()
        }
    }

    /// Whether the data centre of a machine is evacuated.
    pub(super) fn is_evacuated(&self, agent: usize) -> bool {
        let evacuations = &self.log.job_table.evacuations;
        !evacuations.is_empty() && evacuations.covers(&self.centre(agent))
    }

    /// Sends a random order for a random data centre.
    pub(super) fn order_random_evacuation(&mut self) {
        let at = self.draw(0..CENTRES as u64) as usize;
        let verb = if self.chance(550) { EvacuationVerb::Start } else { EvacuationVerb::Finish };
        self.order_evacuation(self.centre(at), verb);
    }

    fn order_evacuation(&mut self, centre: Arc<str>, verb: EvacuationVerb) {
        self.note(|| format!("an operator orders {verb:?} of {centre}"));
        let verb = Verb::Evacuate { centre, verb, by: "".into() };
        let (host, path) = (HOST.into(), "/".into());
        let now = self.now;
        self.request(ClientRequest { host, path, job: None, verb });
        self.truth.evacuations.asked.insert(self.last_id, now);
    }

    /// Takes back all evacuations and waits until this is acknowledged.
    pub(super) fn restore_all(&mut self) {
        for at in 0..CENTRES {
            self.settle_evacuations();
            if self.is_evacuated(at) {
                self.order_evacuation(self.centre(at), EvacuationVerb::Finish);
            }
        }
        self.settle_evacuations();
        let left = self.log.job_table.evacuations.len();
        invariant!(left == 0, "{left} data centres are evacuated after all were restored");
    }

    /// Waits until all orders are acknowledged.
    fn settle_evacuations(&mut self) {
        let until = self.now + ANSWER_TIMEOUT;
        while !self.truth.evacuations.asked.is_empty() && self.now < until {
            self.advance(100_000);
            self.check_liveness();
        }
        let open = self.truth.evacuations.asked.len();
        invariant!(open == 0, "{open} evacuation orders are not acknowledged without faults");
    }

    /// Records a committed order.
    pub(super) fn record_evacuation(&mut self, order: &EvacuationOrder) {
        let Evacuations { started, finished, .. } = &mut self.truth.evacuations;
        let (changes, reversals) = match order.verb {
            EvacuationVerb::Finish => (finished, started),
            EvacuationVerb::Start => (started, finished),
        };
        let last = changes.get(&order.centre).copied();
        let reversed = reversals.get(&order.centre).copied();
        // A repeat of what is in force keeps the time of the first order.
        if last.is_none() || reversed > last {
            changes.insert(Arc::clone(&order.centre), self.now);
        }
    }

    /// Checks that an acknowledged order was in force at some time since it was sent.
    pub(super) fn check_evacuation_answer(&mut self, ticket: u64, request: &ClientRequest) {
        let Verb::Evacuate { centre, verb, .. } = &request.verb else { return };
        let Some(asked) = self.truth.evacuations.asked.remove(&ticket) else { return };
        let covered = self.log.job_table.evacuations.covers(centre);
        let evacuations = &self.truth.evacuations;
        let (in_force, reversals) = match verb {
            EvacuationVerb::Finish => (!covered, &evacuations.started),
            EvacuationVerb::Start => (covered, &evacuations.finished),
        };
        let reversed = reversals.get(centre).is_some_and(|at| *at >= asked);
        invariant!(
            in_force || reversed,
            "{verb:?} of {centre} is acknowledged, but not in the log since {asked} us"
        );
    }

    /// Notes which agents are disturbed, so that only connected ones are held to the bound, and checks
    /// that all control instances agree with the log.
    pub(super) fn watch_evacuations(&mut self) {
        if !self.truth.scope.evacuations {
            return;
        }
        let changed = std::mem::replace(&mut self.truth.evacuations.term, self.log.term);
        let control = changed == self.log.term && self.has_sound_control();
        for agent in 0..self.machines.len() {
            if !control || !self.is_connected(agent) {
                self.truth.evacuations.disturbed.insert(agent, self.now);
            }
        }
        self.check_evacuations_applied();
    }

    /// Whether neither an agent, its runner nor its link to control is disturbed.
    fn is_connected(&self, agent: usize) -> bool {
        let machine = &self.machines[agent];
        let up = machine.hosting.is_some() && machine.frozen_until <= self.now;
        let sound = machine.runner.as_ref().is_none_or(|runner| runner.habit == Habit::Sound);
        up && sound && !machine.link.down && machine.link.jitter == 0
    }

    /// Records that a runner carries out an order late.
    pub(super) fn record_late_order(&mut self, agent: usize) {
        self.truth.evacuations.disturbed.insert(agent, self.now);
    }

    /// Checks that a run may start in the data centre of a machine.
    pub(super) fn check_evacuated_start(&self, agent: usize, key: RunKey) {
        if !self.is_evacuated(agent) {
            return;
        }
        let evacuations = &self.truth.evacuations;
        let since = evacuations.started.get(&self.centre(agent)).copied().unwrap_or_default();
        let disturbed = evacuations.disturbed.get(&agent).copied().unwrap_or_default();
        let connected = self.now >= disturbed + CONNECTED_AFTER;
        invariant!(
            !connected || self.now < since + EVACUATION_BOUND,
            "{key} starts at {agent}, connected since {disturbed} us, evacuated since {since} us"
        );
    }
}
