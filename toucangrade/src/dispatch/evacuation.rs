//! Evacuated data centres: answers the operators' orders, keeps new tasks away from the runners there,
//! and stops the starts that are under way.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::Dispatch;
use super::fleet::Worker;
use super::message::{ClientReply, Effect};
use super::place::Exclusion;
use super::settings::SILENCE_LIMIT;
use super::slow_start::Cause;
use crate::core::{Moment, Name, Span};
use crate::evacuation::{EvacuationOrder, EvacuationVerb, Evacuations};
use crate::jobs::Command;

/// Most data centres that may be evacuated at a time. The largest deployment has five, and the state
/// is part of each snapshot.
const EVACUATIONS_LIMIT: usize = 64;
/// Longest name of a data centre in bytes, as for runners' announcements.
const NAME_LIMIT: usize = 255;
/// Interval between two counts of the runs in evacuated data centres.
const CHECK_EVERY: Span = Span::millis(500);
/// Interval between two log lines about what still runs there.
const LOG_EVERY: Span = Span::secs(2);

/// The leader's own state of evacuations; the orders in force are in the replicated state.
#[derive(Debug, Default, Serialize)]
pub(super) struct EvacuationState {
    /// Names of the data centres by the settings; any name is accepted if they are empty.
    #[serde(skip)]
    pub(super) centres: BTreeSet<Arc<str>>,
    /// Data centres of lost proposals, which may still be committed in this term.
    #[serde(skip)]
    pub(super) unsettled: BTreeSet<Arc<str>>,
    /// Time of the last count of runs.
    counted: Moment,
    /// Time of the last log line about them.
    logged: Moment,
    /// Last values of the gauges: evacuated data centres, and runs in them.
    gauges: (u64, u64),
}

impl Dispatch {
    /// Sets the names of the data centres that the settings list.
    #[must_use]
    pub(crate) fn with_centres(mut self, centres: impl IntoIterator<Item = Arc<str>>) -> Self {
        self.evacuation.centres = centres.into_iter().collect();
        self
    }

    /// Evacuations in force.
    pub(crate) fn evacuations(&self) -> &Evacuations {
        &self.job_table.evacuations
    }

    /// Handles an operator's order. A repeat of what is in force needs no log entry, unless another
    /// order for the data centre may still be committed and reverse it.
    pub(super) fn order_evacuation(
        &mut self,
        now: Moment,
        ticket: u64,
        centre: Arc<str>,
        verb: EvacuationVerb,
        by: Arc<str>,
    ) {
        if let Some(reply) = self.refuse_evacuation(now, &centre, verb) {
            tracing::info!(centre = &*centre, ?verb, ?reply, "evacuation refused");
            return self.answer(ticket, Some(reply));
        }
        let open = self.open_evacuations().any(|order| order.centre == centre);
        let in_force =
            self.job_table.evacuations.covers(&centre) == (verb == EvacuationVerb::Start);
        let settled = in_force && !open && !self.evacuation.unsettled.contains(&centre);
        tracing::info!(centre = &*centre, ?verb, by = &*by, settled, "evacuation ordered");
        if settled {
            return self.answer(ticket, Some(ClientReply::Evacuating));
        }
        let order = EvacuationOrder { centre, verb, wall: self.wall, by };
        self.propose(Command::Evacuate(order), Some(ticket));
    }

    /// Answer to an order that is refused, with the reason.
    fn refuse_evacuation(
        &self,
        now: Moment,
        centre: &str,
        verb: EvacuationVerb,
    ) -> Option<ClientReply> {
        let bytes = centre.len();
        if bytes == 0 || bytes > NAME_LIMIT {
            let reason = format!(
                "the name of the data centre has {bytes} bytes, allowed are 1 to {NAME_LIMIT}"
            );
            return Some(ClientReply::Bad(reason));
        }
        let in_force = &self.job_table.evacuations;
        if in_force.covers(centre) {
            return None;
        }
        let settings = &self.evacuation.centres;
        let runners = self.fleet.workers.values().filter_map(Worker::runner);
        let announced: BTreeSet<&Arc<str>> = runners.map(|runner| &runner.centre).collect();
        let known = |name: &Arc<str>| **name == *centre;
        if !settings.is_empty()
            && !settings.iter().any(known)
            && !announced.iter().any(|name| known(name))
        {
            // Agents report to a new leader within this time, and 400 would end the operator's call.
            if now.since(self.leading_since) < SILENCE_LIMIT {
                let reason = "the data centres of the runners are not known yet".into();
                return Some(ClientReply::Refused { reason, after: super::TICK });
            }
            let names: BTreeSet<&Arc<str>> = announced.into_iter().chain(settings).collect();
            let names: Vec<&str> = names.into_iter().map(|name| &**name).collect();
            let reason = format!("unknown data centre {centre:?}, known are {names:?}");
            return Some(ClientReply::Bad(reason));
        }
        let started = self.open_evacuations().filter(|o| o.verb == EvacuationVerb::Start);
        let started = started.map(|order| &order.centre).filter(|name| !known(name));
        let count = in_force.iter().map(|(name, _)| name).chain(started).collect::<BTreeSet<_>>();
        if verb == EvacuationVerb::Start && count.len() >= EVACUATIONS_LIMIT {
            let reason =
                format!("{EVACUATIONS_LIMIT} data centres are evacuated, allowed are no more");
            return Some(ClientReply::Bad(reason));
        }
        None
    }

    /// Orders that wait for a proposal or are proposed.
    fn open_evacuations(&self) -> impl Iterator<Item = &EvacuationOrder> {
        let proposed = self.proposals.values().flat_map(|proposal| &proposal.commands);
        self.batch.iter().chain(proposed).filter_map(|command| match command {
            Command::Evacuate(order) => Some(order),
            _ => None,
        })
    }

    /// Takes note of a committed order; adds the agents of the data centre to `touched`, so that they
    /// are ordered to stop what has not begun.
    pub(super) fn evacuation_changed(
        &mut self,
        now: Moment,
        order: &EvacuationOrder,
        touched: &mut BTreeSet<Name>,
    ) {
        // The next tick counts and logs.
        (self.evacuation.counted, self.evacuation.logged) = (Moment::START, Moment::START);
        let workers = self.fleet.workers.iter().filter_map(|(agent, worker)| {
            Some((agent, worker.runner().filter(|runner| runner.centre == order.centre)?))
        });
        let (agents, incarnations): (BTreeSet<Name>, BTreeSet<_>) =
            workers.map(|(agent, runner)| (agent.clone(), runner.incarnation.clone())).unzip();
        match order.verb {
            EvacuationVerb::Finish => self.start_slowly(now, &incarnations, Cause::Restored),
            EvacuationVerb::Start => {
                self.moving.retain(|_, (incarnation, _)| !incarnations.contains(incarnation));
            },
        }
        touched.extend(agents);
    }

    /// Reason for which no new task is placed on a runner, if any.
    pub(super) fn exclusion(&self, worker: &Worker, now: Moment) -> Option<Exclusion> {
        let runner = worker.runner();
        let evacuated = runner.is_some_and(|r| self.job_table.evacuations.covers(&r.centre));
        match worker.exclusion(now) {
            Some(Exclusion::Silent) => Some(Exclusion::Silent),
            _ if evacuated => Some(Exclusion::Evacuated),
            other => other,
        }
    }

    /// Periodically counts the runs in evacuated data centres, for the gauges and log lines.
    pub(super) fn report_evacuations(&mut self, now: Moment) {
        if now.since(self.evacuation.counted) < CHECK_EVERY {
            return;
        }
        self.evacuation.counted = now;
        let evacuations = &self.job_table.evacuations;
        let centres = evacuations.len() as u64;
        let mut runs: BTreeMap<Arc<str>, (usize, usize)> = BTreeMap::new();
        for worker in self.fleet.workers.values().filter(|_| centres > 0) {
            let Some(runner) = worker.runner().filter(|r| evacuations.covers(&r.centre)) else {
                continue;
            };
            let Some(lease) = self.fleet.leases.get(&runner.incarnation) else { continue };
            let count = runs.entry(Arc::clone(&runner.centre)).or_default();
            count.0 += lease.runs.len();
            count.1 += lease.runs.values().filter(|run| !run.listed).count();
        }
        let total = runs.values().map(|(all, _)| *all as u64).sum();
        if now.since(self.evacuation.logged) >= LOG_EVERY {
            self.evacuation.logged = now;
            for (centre, (runs, unlisted)) in runs.iter().filter(|(_, (all, _))| *all > 0) {
                tracing::info!(centre = &**centre, runs, unlisted, "runs in evacuated data centre");
            }
        }
        self.set_evacuation_gauges(centres, total);
    }

    /// Drops what belongs to a term of leadership, since another instance decides from now on.
    pub(super) fn clear_evacuations(&mut self) {
        self.evacuation.unsettled.clear();
        self.set_evacuation_gauges(0, 0);
    }

    fn set_evacuation_gauges(&mut self, centres: u64, runs: u64) {
        let gauges = (centres, runs);
        if std::mem::replace(&mut self.evacuation.gauges, gauges) != gauges {
            self.out.push(Effect::Gauge { name: "centres_evacuated", value: centres });
            self.out.push(Effect::Gauge { name: "runs_in_evacuated_centres", value: runs });
        }
    }
}
