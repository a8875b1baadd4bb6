//! Diagnostics of lasting tasks and of filling jobs that wait for a runner: log lines with the
//! reasons, and gauges.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::message::Effect;
use super::place::{Candidate, Exclusion};
use super::plan::index;
use super::settings::TRIAL_AFTER;
use super::{Dispatch, run_range};
use crate::core::{Moment, Name, Span};
use crate::jobs::{JobEntry, RunKey, Step, TaskKey};

/// Interval between two checks; a placement takes a few round trips.
const CHECK_EVERY: Span = Span::millis(500);
/// Wait from which on a task is logged and counted; shorter ones are usual between two runs.
const LONG_WAIT: Span = Span::secs(1);
/// Interval between two log lines about one task.
const LOG_EVERY: Span = Span::secs(2);
/// Most log lines of one check, which bounds the volume when a whole fleet is lost.
const LINES_LIMIT: usize = 16;

/// A lasting task that has no run, or a filling job without one.
#[derive(Debug, Serialize)]
struct Wait {
    since: Moment,
    /// Time of the last log line.
    #[serde(rename = "told")]
    logged: Moment,
}

/// Waits by what waits: a task or a job.
#[derive(Debug)]
struct Timers<K>(BTreeMap<K, Wait>);

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Copy + Ord> Timers<K> {
    /// Replaces what waits and returns those that are due for a log line, with the length of their
    /// wait.
    fn update<V>(&mut self, now: Moment, waiting: &BTreeMap<K, V>) -> Vec<(K, Span)> {
        self.0.retain(|key, _| waiting.contains_key(key));
        let mut due = Vec::new();
        for &key in waiting.keys() {
            let wait = self.0.entry(key).or_insert(Wait { since: now, logged: Moment::START });
            let long = now.since(wait.since) >= LONG_WAIT;
            if long && now.since(wait.logged) >= LOG_EVERY && due.len() < LINES_LIMIT {
                wait.logged = now;
                due.push((key, now.since(wait.since)));
            }
        }
        due
    }

    /// What has waited for at least `limit`.
    fn longer(&self, now: Moment, limit: Span) -> impl Iterator<Item = K> {
        self.0.iter().filter(move |(_, wait)| now.since(wait.since) >= limit).map(|(key, _)| *key)
    }
}

/// Lasting tasks that have no run, and jobs with waiting filling tasks and no run.
#[derive(Debug, Default, Serialize)]
pub(super) struct Waits {
    #[serde(skip)]
    tasks: Timers<TaskKey>,
    #[serde(skip)]
    jobs: Timers<u64>,
    /// Of these jobs, those that are due for a trial.
    #[serde(skip)]
    trials: BTreeSet<u64>,
    /// Time of the last check.
    #[serde(rename = "looked")]
    checked: Moment,
    /// Last values of the gauges: lasting tasks that have waited for [`LONG_WAIT`], and barred
    /// runners.
    gauges: (u64, u64),
}

impl Waits {
    /// Whether a filling job has waited so long that one of its tasks may be started at any speed.
    pub(super) fn trial_due(&self, job: u64) -> bool {
        self.trials.contains(&job)
    }

    /// Records that a task of a job was assigned.
    pub(super) fn started(&mut self, job: u64) {
        self.trials.remove(&job);
    }
}

/// Waiting tasks of a step.
struct Waiting {
    /// Next run of the first one.
    key: RunKey,
    tasks: usize,
    service: Arc<str>,
    step: Step,
}

/// Why a task waits.
#[derive(Debug, Default)]
struct WaitReasons {
    /// Number of runners excluded, by reason.
    excluded: BTreeMap<Exclusion, u32>,
    /// Number of eligible runners.
    eligible: u32,
    /// Of the runners that the task fits on, the position of the one with most free cores, or for a
    /// filling task of the one where it would be fastest, and the reason that excludes it, if any.
    best: Option<(usize, Option<Exclusion>)>,
}

impl Dispatch {
    /// Periodically logs why lasting tasks and filling jobs wait, and updates the gauges.
    pub(super) fn report_waits(&mut self, now: Moment) {
        if now.since(self.waits.checked) < CHECK_EVERY {
            return;
        }
        self.waits.checked = now;
        let (tasks, jobs) = (self.lasting_waiting(), self.filling_waiting());
        let due_tasks = self.waits.tasks.update(now, &tasks);
        let due_jobs = self.waits.jobs.update(now, &jobs);
        self.waits.trials = self.waits.jobs.longer(now, TRIAL_AFTER).collect();
        if !due_tasks.is_empty() || !due_jobs.is_empty() {
            let agents: Vec<Name> = self.fleet.workers.keys().cloned().collect();
            let mut candidates = self.candidates_on(now, &agents);
            for (task, waited) in due_tasks {
                self.log_lasting(now, waited, &tasks[&task], &mut candidates);
            }
            for (job, waited) in due_jobs {
                self.log_filling(now, waited, &jobs[&job], &mut candidates);
            }
        }
        let quarantined =
            self.fleet.workers.values().filter(|worker| worker.health.is_quarantined());
        let barred = quarantined.count() as u64;
        let waiting = self.waits.tasks.longer(now, LONG_WAIT).count() as u64;
        self.set_wait_gauges(waiting, barred);
    }

    /// Forgets what waits and resets the gauges, since another instance decides from now on.
    pub(super) fn clear_waits(&mut self) {
        (self.waits.tasks, self.waits.jobs) = (Timers::default(), Timers::default());
        self.waits.trials.clear();
        self.set_wait_gauges(0, 0);
    }

    fn set_wait_gauges(&mut self, waiting: u64, barred: u64) {
        let gauges = (waiting, barred);
        if std::mem::replace(&mut self.waits.gauges, gauges) != gauges {
            self.out.push(Effect::Gauge { name: "lasting_waiting", value: waiting });
            self.out.push(Effect::Gauge { name: "runners_barred", value: barred });
        }
    }

    /// Numbers of excluded runners, by reason, and of eligible ones for each waiting lasting task and
    /// for the first task of each waiting filling job.
    #[cfg(test)]
    pub(super) fn all_wait_reasons(
        &mut self,
        now: Moment,
    ) -> Vec<(TaskKey, BTreeMap<Exclusion, u32>, u32)> {
        let agents: Vec<Name> = self.fleet.workers.keys().cloned().collect();
        let mut candidates = self.candidates_on(now, &agents);
        let mut waiting: Vec<Waiting> = self.lasting_waiting().into_values().collect();
        waiting.extend(self.filling_waiting().into_values());
        let all = waiting.iter().map(|waiting| {
            let reasons = self.wait_reasons(now, waiting, &mut candidates);
            (waiting.key.task, reasons.excluded, reasons.eligible)
        });
        all.collect()
    }

    /// Lasting tasks that have no run.
    fn lasting_waiting(&self) -> BTreeMap<TaskKey, Waiting> {
        let mut found = BTreeMap::new();
        let entries = self.active.iter().filter_map(|id| self.job_table.jobs.get(id));
        for entry in entries.filter(|entry| entry.job.lasting()) {
            let Some(queue) = self.job_table.queue(&entry.job.queue) else { continue };
            for ((_, step), keys) in self.waiting(entry) {
                let step = &entry.job.steps[usize::from(step)];
                for key in keys.into_iter().filter(|_| step.lasting) {
                    let (service, step) = (Arc::clone(&queue.service), step.clone());
                    found.insert(key.task, Waiting { key, tasks: 1, service, step });
                }
            }
        }
        found
    }

    /// Jobs without a run and with filling tasks that could start: the first step of such tasks.
    fn filling_waiting(&self) -> BTreeMap<u64, Waiting> {
        let entries = self.active.iter().filter_map(|id| self.job_table.jobs.get(id));
        let fills = |entry: &&JobEntry| entry.job.steps.iter().any(|step| step.fills);
        let found = entries.filter(fills).filter(|entry| self.is_idle(entry)).filter_map(|entry| {
            let service = Arc::clone(&self.job_table.queue(&entry.job.queue)?.service);
            let mut waiting = self.waiting(entry).into_iter();
            let (step, keys) = waiting.find_map(|((_, step), keys)| {
                let step = &entry.job.steps[usize::from(step)];
                step.fills.then_some((step, keys))
            })?;
            let (key, tasks, step) = (*keys.first()?, keys.len(), step.clone());
            Some((entry.job.id, Waiting { key, tasks, service, step }))
        });
        found.collect()
    }

    /// Whether a job has no run, not even a proposed one.
    fn is_idle(&self, entry: &JobEntry) -> bool {
        let tasks = entry.rounds.values().flat_map(|round| round.steps.iter().flatten());
        tasks.into_iter().all(|task| task.live.is_empty())
            && self.assigning.range(run_range(entry.job.id)).next().is_none()
    }

    /// Counts the runners excluded for a task, by reason, and the eligible ones.
    fn wait_reasons(
        &self,
        now: Moment,
        waiting: &Waiting,
        candidates: &mut [Candidate],
    ) -> WaitReasons {
        let Waiting { key: RunKey { task, .. }, service, step, .. } = waiting;
        let table = &self.learner.table;
        let siblings = self.siblings(&index(candidates), task.job, task.round, task.step);
        let mut reasons = WaitReasons::default();
        let mut most = 0;
        for ((at, candidate), siblings) in candidates.iter_mut().enumerate().zip(siblings) {
            let worker = self.fleet.workers.get(&candidate.agent);
            let excluded = worker.and_then(|worker| self.exclusion(worker, now));
            let barred = candidate.barred(step).then_some(Exclusion::Barred);
            let mismatch = candidate.mismatch(step, service, siblings);
            let slow = candidate.slow_reason(table, step);
            let excluded = excluded.or(barred).or(mismatch).or(slow);
            let merit = if step.fills {
                (candidate.speed(table, step) * 1_000.0) as u64
            } else {
                candidate.free.millicores
            };
            if mismatch.is_none() && (reasons.best.is_none() || merit > most) {
                (reasons.best, most) = (Some((at, excluded)), merit);
            }
            match excluded {
                Some(reason) => *reasons.excluded.entry(reason).or_default() += 1,
                None => reasons.eligible += 1,
            }
        }
        reasons
    }

    fn log_lasting(
        &self,
        now: Moment,
        waited: Span,
        waiting: &Waiting,
        candidates: &mut [Candidate],
    ) {
        let reasons = self.wait_reasons(now, waiting, candidates);
        let best = reasons.best.map(|(at, _)| &candidates[at]);
        tracing::info!(
            run = %waiting.key,
            waited_ms = waited.as_millis(),
            index = self.index,
            millicores = waiting.step.counted().millicores,
            memory_mb = waiting.step.need.memory,
            passed = ?reasons.excluded,
            open = reasons.eligible,
            flights = self.proposals.len(),
            best = best.map(|best| best.incarnation.runner.as_str()),
            best_reason = ?reasons.best.and_then(|(_, reason)| reason),
            best_millicores = best.map(|best| best.free.millicores),
            heard_ms = best.and_then(|best| self.report_age_ms(&best.agent, now)),
            "lasting task waits"
        );
    }

    fn log_filling(
        &self,
        now: Moment,
        waited: Span,
        waiting: &Waiting,
        candidates: &mut [Candidate],
    ) {
        let reasons = self.wait_reasons(now, waiting, candidates);
        let (table, step) = (&self.learner.table, &waiting.step);
        let mut best = reasons.best.map(|(at, _)| &mut candidates[at]);
        let allowed = best.as_mut().map(|best| best.allowed(table, step));
        tracing::info!(
            run = %waiting.key,
            waited_ms = waited.as_millis(),
            index = self.index,
            tasks = waiting.tasks,
            image = step.image.as_deref(),
            millicores = step.need.millicores,
            memory_mb = step.need.memory,
            passed = ?reasons.excluded,
            open = reasons.eligible,
            flights = self.proposals.len(),
            best = best.as_ref().map(|best| best.incarnation.runner.as_str()),
            best_reason = ?reasons.best.and_then(|(_, reason)| reason),
            best_allowed = allowed,
            best_cores = best.as_ref().map(|best| best.cores_speed(step)),
            best_slowness = best.as_ref().map(|best| best.slowness),
            heard_ms = best.as_ref().and_then(|best| self.report_age_ms(&best.agent, now)),
            "filling job waits"
        );
    }

    /// Age of the newest report of an agent, in ms.
    pub(super) fn report_age_ms(&self, agent: &Name, now: Moment) -> Option<u64> {
        self.fleet.workers.get(agent).map(|worker| now.since(worker.received).as_millis())
    }
}
