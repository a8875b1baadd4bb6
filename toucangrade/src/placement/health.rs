//! Workers that fail everything: told apart from bad jobs, quarantined and probed.

use std::collections::BTreeSet;

use serde::Serialize;

use super::Planner;
use super::message::Effect;
use crate::core::{Moment, Name, Span, invariant};

/// Failures in a row of different jobs after which a worker is suspected.
///
/// Two in a row happen by chance among jobs that fail by themselves.
const SUSPECT_AFTER: usize = 3;
/// Time in quarantine before the first probe.
const FIRST_WAIT: Span = Span::secs(60);
/// Greatest time between probes.
const MAX_WAIT: Span = Span::secs(1_920);
/// Time after which a probe without an answer is repeated.
const PROBE_TIMEOUT: Span = Span::secs(60);

/// Record of failures of one worker.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Health {
    /// Jobs that failed since the last success.
    failed: BTreeSet<Name>,
    /// End of the quarantine, or the time limit of the probe.
    until: Option<Moment>,
    probing: bool,
    wait: Span,
}

impl Health {
    pub(super) const fn quarantined(&self) -> bool {
        self.until.is_some()
    }

    /// Failures in a row.
    pub(super) fn streak(&self) -> usize {
        self.failed.len()
    }

    /// Takes back the failure of a job that was itself at fault.
    pub(super) fn forgive(&mut self, job: &Name) {
        self.failed.remove(job);
    }

    pub(super) fn succeed(&mut self) {
        self.failed.clear();
        self.wait = Span::ZERO;
    }
}

impl Planner {
    /// Counts a failure of a job on a worker, and suspects the worker after several in a row.
    pub(super) fn failure(&mut self, now: Moment, id: usize, job: &Name, out: &mut Vec<Effect>) {
        let health = &mut self.workers[id].health;
        health.failed.insert(job.clone());
        if health.quarantined() || health.streak() < SUSPECT_AFTER || !self.can_quarantine() {
            return;
        }
        let health = &mut self.workers[id].health;
        let doubled = Span::micros(health.wait.as_micros() * 2);
        health.wait = doubled.clamp(FIRST_WAIT, MAX_WAIT);
        health.until = Some(now + health.wait);
        health.probing = false;
        let failed = std::mem::take(&mut health.failed);
        let wait = health.wait;
        self.quarantined.insert(id);
        self.reindex(id);
        invariant!(
            self.quarantined.len() * 5 <= self.known.len(),
            "{} of {} workers are in quarantine",
            self.quarantined.len(),
            self.known.len()
        );
        // The failures were the worker's, so they don't count against its jobs.
        let worker = self.workers[id].info.name.clone();
        for name in failed {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.failed_on.remove(&id);
            }
        }
        out.push(Effect::Quarantine { wait, worker });
    }

    /// Whether one more worker may be put into quarantine: a fifth of all workers at most.
    fn can_quarantine(&self) -> bool {
        (self.quarantined.len() + 1) * 5 <= self.known.len()
    }

    /// Takes in the result of a probe.
    pub(super) fn probed(
        &mut self,
        now: Moment,
        name: &Name,
        healthy: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.known.get(name) else {
            return;
        };
        let health = &mut self.workers[id].health;
        if !health.quarantined() {
            return;
        }
        health.probing = false;
        if healthy {
            // The wait is kept until a job succeeds, so that a relapse is quarantined for longer.
            health.until = None;
            self.quarantined.remove(&id);
            self.reindex(id);
        } else {
            let doubled = Span::micros(health.wait.as_micros() * 2);
            health.wait = doubled.clamp(FIRST_WAIT, MAX_WAIT);
            health.until = Some(now + health.wait);
            let (wait, worker) = (health.wait, name.clone());
            out.push(Effect::Quarantine { wait, worker });
        }
    }

    /// Asks for probes of the workers whose quarantine ends.
    pub(super) fn review_health(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let due: Vec<usize> = self
            .quarantined
            .iter()
            .copied()
            .filter(|&id| self.workers[id].health.until.is_some_and(|at| at <= now))
            .collect();
        for id in due {
            let name = self.workers[id].info.name.clone();
            // A probe without an answer says nothing, so the next one follows at once.
            let health = &mut self.workers[id].health;
            health.probing = true;
            health.until = Some(now + PROBE_TIMEOUT);
            out.push(Effect::Probe { worker: name });
        }
    }
}
