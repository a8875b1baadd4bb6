//! Quarantines workers on which different jobs fail in a row, and probes them before they get work
//! again.

use std::collections::BTreeSet;

use serde::Serialize;

use super::Planner;
use super::message::Effect;
use crate::core::{Moment, Name, Span, invariant};

/// Consecutive failures of different jobs after which a worker is quarantined.
///
/// Two in a row happen by chance with jobs that are faulty themselves.
const SUSPECT_AFTER: usize = 3;
/// Time in quarantine before the first probe; doubled each further time until a job succeeds.
const MIN_QUARANTINE: Span = Span::secs(60);
/// Maximum time in quarantine before a probe.
const MAX_QUARANTINE: Span = Span::secs(1_920);
/// Time after which an unanswered probe is repeated.
const PROBE_TIMEOUT: Span = Span::secs(60);

/// Failures and quarantine of one worker.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Health {
    /// Jobs that failed since the last success.
    failed: BTreeSet<Name>,
    /// When the next probe is due or the present one times out; `None` outside of quarantine.
    until: Option<Moment>,
    /// Whether a probe is under way.
    probing: bool,
    /// Length of the last quarantine, doubled for the next one; zero after a success.
    wait: Span,
}

impl Health {
    pub(super) const fn quarantined(&self) -> bool {
        self.until.is_some()
    }

    /// Number of different jobs that have failed since the last success.
    pub(super) fn failure_streak(&self) -> usize {
        self.failed.len()
    }

    /// Removes the failure of a job that was itself at fault.
    pub(super) fn forgive(&mut self, job: &Name) {
        self.failed.remove(job);
    }

    /// Ends the streak of failures and resets the length of the next quarantine.
    pub(super) fn record_success(&mut self) {
        self.failed.clear();
        self.wait = Span::ZERO;
    }
}

impl Planner {
    /// Counts a failure of a job on a worker, and quarantines the worker after `SUSPECT_AFTER`.
    pub(super) fn count_failure(
        &mut self,
        now: Moment,
        id: usize,
        job: &Name,
        out: &mut Vec<Effect>,
    ) {
        let health = &mut self.workers[id].health;
        health.failed.insert(job.clone());
        if health.quarantined() || health.failure_streak() < SUSPECT_AFTER || !self.can_quarantine()
        {
            return;
        }
        let health = &mut self.workers[id].health;
        let doubled = Span::micros(health.wait.as_micros() * 2);
        health.wait = doubled.clamp(MIN_QUARANTINE, MAX_QUARANTINE);
        health.until = Some(now + health.wait);
        health.probing = false;
        let failed = std::mem::take(&mut health.failed);
        let wait = health.wait;
        self.quarantined.insert(id);
        self.reindex(id);
        invariant!(
            self.quarantined.len() * 5 <= self.worker_ids.len(),
            "{} of {} workers are in quarantine",
            self.quarantined.len(),
            self.worker_ids.len()
        );
        // The worker was at fault, so the failures don't count against the jobs.
        let worker = self.workers[id].info.name.clone();
        for name in failed {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.failed_on.remove(&id);
            }
        }
        out.push(Effect::Quarantine { wait, worker });
    }

    /// Whether another worker may be quarantined: at most a fifth of all workers.
    fn can_quarantine(&self) -> bool {
        (self.quarantined.len() + 1) * 5 <= self.worker_ids.len()
    }

    /// Ends the quarantine after a healthy probe, and extends it otherwise.
    pub(super) fn probed(
        &mut self,
        now: Moment,
        name: &Name,
        healthy: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.worker_ids.get(name) else {
            return;
        };
        let health = &mut self.workers[id].health;
        if !health.quarantined() {
            return;
        }
        health.probing = false;
        if healthy {
            // `wait` is kept until a job succeeds, so that the next quarantine is longer if the
            // worker fails again.
            health.until = None;
            self.quarantined.remove(&id);
            self.reindex(id);
        } else {
            let doubled = Span::micros(health.wait.as_micros() * 2);
            health.wait = doubled.clamp(MIN_QUARANTINE, MAX_QUARANTINE);
            health.until = Some(now + health.wait);
            let (wait, worker) = (health.wait, name.clone());
            out.push(Effect::Quarantine { wait, worker });
        }
    }

    /// Requests probes of the workers whose time in quarantine has passed.
    pub(super) fn review_health(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let due: Vec<usize> = self
            .quarantined
            .iter()
            .copied()
            .filter(|&id| self.workers[id].health.until.is_some_and(|at| at <= now))
            .collect();
        for id in due {
            let name = self.workers[id].info.name.clone();
            // An unanswered probe says nothing about the worker, so it is repeated at once without
            // a longer quarantine.
            let health = &mut self.workers[id].health;
            health.probing = true;
            health.until = Some(now + PROBE_TIMEOUT);
            out.push(Effect::Probe { worker: name });
        }
    }
}
