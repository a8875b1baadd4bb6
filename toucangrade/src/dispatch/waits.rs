//! Why lasting tasks wait, as log lines and gauges.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use super::Dispatch;
use super::message::Effect;
use super::place::{Candidate, Passed};
use crate::core::{Moment, Name, Span};
use crate::jobs::{RunKey, Step, TaskKey};

/// Time between two looks; a placement takes a few round trips.
const LOOK_EVERY: Span = Span::millis(500);
/// Waits shorter than this are the usual time between two runs.
const SHORT_WAIT: Span = Span::secs(1);
/// Time between two lines about one task.
const TELL_EVERY: Span = Span::secs(2);
/// Lines in one look, which bounds the volume when a whole fleet is lost.
const LINES_LIMIT: usize = 16;

/// A lasting task that has no run.
#[derive(Debug, Serialize)]
struct Wait {
    since: Moment,
    told: Moment,
}

/// Lasting tasks that have no run.
#[derive(Debug, Default, Serialize)]
pub(super) struct Waits {
    #[serde(skip)]
    tasks: BTreeMap<TaskKey, Wait>,
    looked: Moment,
    /// Tasks that wait for more than a moment, and runners that are barred, as last counted.
    gauges: (u64, u64),
}

impl Waits {
    /// Takes the tasks that wait now, and gives those that a line is due for, with their wait.
    fn note(&mut self, now: Moment, waiting: &[TaskKey]) -> Vec<(TaskKey, Span)> {
        self.tasks.retain(|task, _| waiting.binary_search(task).is_ok());
        let mut due = Vec::new();
        for &task in waiting {
            let wait = self.tasks.entry(task).or_insert(Wait { since: now, told: Moment::START });
            let long = now.since(wait.since) >= SHORT_WAIT;
            if long && now.since(wait.told) >= TELL_EVERY && due.len() < LINES_LIMIT {
                wait.told = now;
                due.push((task, now.since(wait.since)));
            }
        }
        due
    }

    fn long(&self, now: Moment) -> u64 {
        self.tasks.values().filter(|wait| now.since(wait.since) >= SHORT_WAIT).count() as u64
    }
}

/// Runners that a task was not given to.
#[derive(Debug, Default)]
struct Account<'a> {
    /// How many for each reason.
    passed: BTreeMap<Passed, u32>,
    /// How many could take it.
    open: u32,
    /// The one with most cores left that could take it but for the reason, if any.
    best: Option<(&'a Candidate, Option<Passed>)>,
}

impl Dispatch {
    /// Logs why lasting tasks wait, and counts them.
    pub(super) fn note_waits(&mut self, now: Moment) {
        if now.since(self.waits.looked) < LOOK_EVERY {
            return;
        }
        self.waits.looked = now;
        let waiting = self.lasting_waiting();
        let tasks: Vec<TaskKey> = waiting.keys().copied().collect();
        let due = self.waits.note(now, &tasks);
        if !due.is_empty() {
            let survey = self.survey(now, self.fleet.workers.keys());
            for (task, waited) in due {
                let (key, service, step) = &waiting[&task];
                let account = self.account(now, task, service, step, &survey);
                self.tell_wait(now, *key, waited, step, &account);
            }
        }
        let suspects = self.fleet.workers.values().filter(|worker| worker.health.suspect());
        let barred = suspects.count() as u64;
        self.gauge_waits(self.waits.long(now), barred);
    }

    /// Forgets what waits, as another instance decides from now on.
    pub(super) fn forget_waits(&mut self) {
        self.waits.tasks.clear();
        self.gauge_waits(0, 0);
    }

    fn gauge_waits(&mut self, waiting: u64, barred: u64) {
        let gauges = (waiting, barred);
        if std::mem::replace(&mut self.waits.gauges, gauges) != gauges {
            self.out.push(Effect::Gauge { name: "lasting_waiting", value: waiting });
            self.out.push(Effect::Gauge { name: "runners_barred", value: barred });
        }
    }

    /// Why runners were passed over for each lasting task that waits.
    #[cfg(test)]
    pub(super) fn accounts(&self, now: Moment) -> Vec<(TaskKey, BTreeMap<Passed, u32>, u32)> {
        let survey = self.survey(now, self.fleet.workers.keys());
        let waiting = self.lasting_waiting();
        let accounts = waiting.iter().map(|(task, (_, service, step))| {
            let account = self.account(now, *task, service, step, &survey);
            (*task, account.passed, account.open)
        });
        accounts.collect()
    }

    /// Lasting tasks that have no run, with their service and step.
    fn lasting_waiting(&self) -> BTreeMap<TaskKey, (RunKey, Arc<str>, Step)> {
        let mut found = BTreeMap::new();
        let entries = self.active.iter().filter_map(|id| self.book.jobs.get(id));
        for entry in entries.filter(|entry| entry.job.lasting()) {
            let Some(queue) = self.book.setup.queue(&entry.job.queue) else { continue };
            for ((_, step), keys) in self.waiting(entry) {
                let step = &entry.job.steps[usize::from(step)];
                for key in keys.into_iter().filter(|_| step.lasting) {
                    found.insert(key.task, (key, Arc::clone(&queue.service), step.clone()));
                }
            }
        }
        found
    }

    /// Why each runner was passed over for a task.
    fn account<'a>(
        &self,
        now: Moment,
        task: TaskKey,
        service: &str,
        step: &Step,
        survey: &'a [Candidate],
    ) -> Account<'a> {
        let beside = self.beside(survey, task.job, task.round, task.step);
        let mut account = Account::default();
        for (candidate, beside) in survey.iter().zip(beside) {
            let worker = self.fleet.workers.get(&candidate.agent);
            let excluded = worker.and_then(|worker| worker.passed(now));
            let barred = candidate.barred(step).then_some(Passed::Barred);
            let excluded = excluded.or(barred);
            let misfit = candidate.misfit(step, service, beside);
            let most = account.best.map_or(0, |(best, _): (&Candidate, _)| best.free.millicores);
            if misfit.is_none() && (account.best.is_none() || candidate.free.millicores > most) {
                account.best = Some((candidate, excluded));
            }
            match excluded.or(misfit) {
                Some(reason) => *account.passed.entry(reason).or_default() += 1,
                None => account.open += 1,
            }
        }
        account
    }

    fn tell_wait(&self, now: Moment, key: RunKey, waited: Span, step: &Step, account: &Account) {
        let best = account.best.map(|(candidate, _)| candidate);
        tracing::info!(
            run = %key,
            waited_ms = waited.as_millis(),
            index = self.index,
            millicores = step.counted().millicores,
            memory_mb = step.need.memory,
            passed = ?account.passed,
            open = account.open,
            flights = self.flights.len(),
            best = best.map(|best| best.life.runner.as_str()),
            best_reason = ?account.best.and_then(|(_, reason)| reason),
            best_millicores = best.map(|best| best.free.millicores),
            heard_ms = best.and_then(|best| self.heard_ms(&best.agent, now)),
            "lasting task waits"
        );
    }

    /// Age of the newest report of an agent.
    pub(super) fn heard_ms(&self, agent: &Name, now: Moment) -> Option<u64> {
        self.fleet.workers.get(agent).map(|worker| now.since(worker.heard).as_millis())
    }
}
