//! Diagnostics of lasting tasks that wait for a runner: log lines with the reasons, and gauges.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use super::Dispatch;
use super::message::Effect;
use super::place::{Candidate, Exclusion};
use super::plan::index;
use crate::core::{Moment, Name, Span};
use crate::jobs::{RunKey, Step, TaskKey};

/// Interval between two checks; a placement takes a few round trips.
const CHECK_EVERY: Span = Span::millis(500);
/// Wait from which on a task is logged and counted; shorter ones are usual between two runs.
const LONG_WAIT: Span = Span::secs(1);
/// Interval between two log lines about one task.
const LOG_EVERY: Span = Span::secs(2);
/// Most log lines of one check, which bounds the volume when a whole fleet is lost.
const LINES_LIMIT: usize = 16;

/// A lasting task that has no run.
#[derive(Debug, Serialize)]
struct Wait {
    since: Moment,
    /// Time of the last log line.
    #[serde(rename = "told")]
    logged: Moment,
}

/// Lasting tasks that have no run.
#[derive(Debug, Default, Serialize)]
pub(super) struct Waits {
    #[serde(skip)]
    tasks: BTreeMap<TaskKey, Wait>,
    /// Time of the last check.
    #[serde(rename = "looked")]
    checked: Moment,
    /// Last values of the gauges: tasks that have waited for [`LONG_WAIT`], and barred runners.
    gauges: (u64, u64),
}

impl Waits {
    /// Replaces the waiting tasks, which are sorted, and returns those that are due for a log line,
    /// with the length of their wait.
    fn update(&mut self, now: Moment, waiting: &[TaskKey]) -> Vec<(TaskKey, Span)> {
        self.tasks.retain(|task, _| waiting.binary_search(task).is_ok());
        let mut due = Vec::new();
        for &task in waiting {
            let wait = self.tasks.entry(task).or_insert(Wait { since: now, logged: Moment::START });
            let long = now.since(wait.since) >= LONG_WAIT;
            if long && now.since(wait.logged) >= LOG_EVERY && due.len() < LINES_LIMIT {
                wait.logged = now;
                due.push((task, now.since(wait.since)));
            }
        }
        due
    }

    fn long_waits(&self, now: Moment) -> u64 {
        self.tasks.values().filter(|wait| now.since(wait.since) >= LONG_WAIT).count() as u64
    }
}

/// Why a task waits.
#[derive(Debug, Default)]
struct WaitReasons<'a> {
    /// Number of runners excluded, by reason.
    excluded: BTreeMap<Exclusion, u32>,
    /// Number of eligible runners.
    eligible: u32,
    /// Of the runners that the task fits on, the one with most free cores, and the reason that
    /// excludes it, if any.
    best: Option<(&'a Candidate, Option<Exclusion>)>,
}

impl Dispatch {
    /// Periodically logs why lasting tasks wait, and updates the gauges.
    pub(super) fn report_waits(&mut self, now: Moment) {
        if now.since(self.waits.checked) < CHECK_EVERY {
            return;
        }
        self.waits.checked = now;
        let waiting = self.lasting_waiting();
        let tasks: Vec<TaskKey> = waiting.keys().copied().collect();
        let due = self.waits.update(now, &tasks);
        if !due.is_empty() {
            let agents: Vec<Name> = self.fleet.workers.keys().cloned().collect();
            let candidates = self.candidates_on(now, &agents);
            for (task, waited) in due {
                let (key, service, step) = &waiting[&task];
                let reasons = self.wait_reasons(now, task, service, step, &candidates);
                self.log_wait(now, *key, waited, step, &reasons);
            }
        }
        let quarantined =
            self.fleet.workers.values().filter(|worker| worker.health.is_quarantined());
        let barred = quarantined.count() as u64;
        self.set_wait_gauges(self.waits.long_waits(now), barred);
    }

    /// Forgets the waiting tasks and resets the gauges, since another instance decides from now on.
    pub(super) fn clear_waits(&mut self) {
        self.waits.tasks.clear();
        self.set_wait_gauges(0, 0);
    }

    fn set_wait_gauges(&mut self, waiting: u64, barred: u64) {
        let gauges = (waiting, barred);
        if std::mem::replace(&mut self.waits.gauges, gauges) != gauges {
            self.out.push(Effect::Gauge { name: "lasting_waiting", value: waiting });
            self.out.push(Effect::Gauge { name: "runners_barred", value: barred });
        }
    }

    /// Numbers of excluded runners, by reason, and of eligible ones for each waiting lasting task.
    #[cfg(test)]
    pub(super) fn all_wait_reasons(
        &mut self,
        now: Moment,
    ) -> Vec<(TaskKey, BTreeMap<Exclusion, u32>, u32)> {
        let agents: Vec<Name> = self.fleet.workers.keys().cloned().collect();
        let candidates = self.candidates_on(now, &agents);
        let waiting = self.lasting_waiting();
        let all = waiting.iter().map(|(task, (_, service, step))| {
            let reasons = self.wait_reasons(now, *task, service, step, &candidates);
            (*task, reasons.excluded, reasons.eligible)
        });
        all.collect()
    }

    /// Lasting tasks that have no run, with the next run, the service and the step.
    fn lasting_waiting(&self) -> BTreeMap<TaskKey, (RunKey, Arc<str>, Step)> {
        let mut found = BTreeMap::new();
        let entries = self.active.iter().filter_map(|id| self.job_table.jobs.get(id));
        for entry in entries.filter(|entry| entry.job.lasting()) {
            let Some(queue) = self.job_table.queue(&entry.job.queue) else { continue };
            for ((_, step), keys) in self.waiting(entry) {
                let step = &entry.job.steps[usize::from(step)];
                for key in keys.into_iter().filter(|_| step.lasting) {
                    found.insert(key.task, (key, Arc::clone(&queue.service), step.clone()));
                }
            }
        }
        found
    }

    /// Counts the runners excluded for a task, by reason, and the eligible ones.
    fn wait_reasons<'a>(
        &self,
        now: Moment,
        task: TaskKey,
        service: &str,
        step: &Step,
        candidates: &'a [Candidate],
    ) -> WaitReasons<'a> {
        let siblings = self.siblings(&index(candidates), task.job, task.round, task.step);
        let mut reasons = WaitReasons::default();
        for (candidate, siblings) in candidates.iter().zip(siblings) {
            let worker = self.fleet.workers.get(&candidate.agent);
            let excluded = worker.and_then(|worker| worker.exclusion(now));
            let barred = candidate.barred(step).then_some(Exclusion::Barred);
            let excluded = excluded.or(barred);
            let mismatch = candidate.mismatch(step, service, siblings);
            let most = reasons.best.map_or(0, |(best, _): (&Candidate, _)| best.free.millicores);
            if mismatch.is_none() && (reasons.best.is_none() || candidate.free.millicores > most) {
                reasons.best = Some((candidate, excluded));
            }
            match excluded.or(mismatch) {
                Some(reason) => *reasons.excluded.entry(reason).or_default() += 1,
                None => reasons.eligible += 1,
            }
        }
        reasons
    }

    fn log_wait(&self, now: Moment, key: RunKey, waited: Span, step: &Step, reasons: &WaitReasons) {
        let best = reasons.best.map(|(candidate, _)| candidate);
        tracing::info!(
            run = %key,
            waited_ms = waited.as_millis(),
            index = self.index,
            millicores = step.counted().millicores,
            memory_mb = step.need.memory,
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

    /// Age of the newest report of an agent, in ms.
    pub(super) fn report_age_ms(&self, agent: &Name, now: Moment) -> Option<u64> {
        self.fleet.workers.get(agent).map(|worker| now.since(worker.received).as_millis())
    }
}
