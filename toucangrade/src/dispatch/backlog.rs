//! Facts for the decisions of `overload`: what is left of each job, and how fast filling runs work.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Dispatch;
use super::message::Effect;
use super::settings::MOVE_AGE;
use crate::core::{Moment, Span};
use crate::jobs::{JobEntry, Queue, Repetition};
use crate::overload::{Backlog, Usage};

/// Running tasks of a step: their number, least progress and sum of progress, in percent.
#[derive(Clone, Copy, Default)]
struct Running {
    count: u32,
    least: u8,
    sum: u64,
}

/// Running tasks by job, repetition and step.
type RunningSteps = BTreeMap<(u64, u32, u16), Running>;

impl Dispatch {
    /// Sets whether decisions for times of overload are made.
    #[must_use]
    pub(crate) fn with_overload(mut self, enabled: bool) -> Self {
        self.overload.enabled = enabled;
        self
    }

    /// Decides which filling jobs are to end in time.
    pub(super) fn decide_filling(&mut self, now: Moment) {
        let (usage, running) = self.filling_usage(now);
        let mut jobs: BTreeMap<Arc<str>, Vec<Backlog>> = BTreeMap::new();
        for entry in self.active.iter().filter_map(|id| self.job_table.jobs.get(id)) {
            let fills = entry.job.steps.iter().any(|step| step.fills);
            if !fills || entry.job.lasting() || entry.job.schedule.is_some() {
                continue;
            }
            let Some(queue) = self.job_table.queue(&entry.job.queue) else { continue };
            let backlog = self.backlog(entry, queue, &running);
            jobs.entry(Arc::clone(&queue.service)).or_default().push(backlog);
        }
        let before = self.overload.doomed();
        self.overload.decide(now, &usage, jobs);
        let doomed = self.overload.doomed();
        if doomed != before {
            self.out.push(Effect::Gauge { name: "jobs_doomed", value: doomed });
        }
    }

    fn backlog(&self, entry: &JobEntry, queue: &Queue, running: &RunningSteps) -> Backlog {
        let learned = self.learned_duration(queue);
        let (mut work, mut chain, mut started) = (0.0, 0.0_f64, false);
        for (&number, round) in &entry.rounds {
            started |= round.steps.iter().flatten().any(|task| task.runs > 0);
            let (sum, longest) = remaining(entry, number, round, running, learned);
            work += sum;
            chain = chain.max(longest);
        }
        let age = self.wall.saturating_sub(entry.wall);
        let left = self.objective(entry, queue) as f64 - age as f64;
        Backlog { id: entry.job.id, started, work, chain, left, age: Span::millis(age) }
    }

    /// Use of cores by filling runs of each service, and the progress of all running tasks.
    fn filling_usage(&self, now: Moment) -> (BTreeMap<Arc<str>, Usage>, RunningSteps) {
        let mut usage: BTreeMap<Arc<str>, Usage> = BTreeMap::new();
        let mut running = RunningSteps::new();
        for runner in self.fleet.workers.values().filter_map(|worker| worker.runner()) {
            let lease = self.fleet.leases.get(&runner.incarnation);
            for (key, run) in lease.iter().flat_map(|lease| &lease.runs) {
                if !run.fills || run.stop {
                    continue;
                }
                let task = key.task;
                let step = running.entry((task.job, task.round, task.step)).or_default();
                step.least =
                    if step.count == 0 { run.percent } else { step.least.min(run.percent) };
                step.count += 1;
                step.sum += u64::from(run.percent);
                if !run.listed || now.since(run.shown) < MOVE_AGE {
                    continue;
                }
                let usage = usage.entry(Arc::clone(&runner.service)).or_default();
                let used = u64::from(run.figure).min(run.cores);
                usage.used += used;
                if !self.is_late(task.job) {
                    usage.runs += 1;
                    usage.timely += used;
                    usage.asked += run.cores;
                }
            }
        }
        (usage, running)
    }

    /// Mean duration of the tasks of a queue; of filling ones at full speed.
    pub(super) fn learned_duration(&self, queue: &Queue) -> Option<Span> {
        let address = (Arc::clone(&queue.host), Arc::clone(&queue.prefix));
        self.durations.get(&address).copied()
    }
}

/// Work left in a repetition in millicores times milliseconds, and the duration of its longest chain
/// of open steps in ms, at full speed.
fn remaining(
    entry: &JobEntry,
    number: u32,
    round: &Repetition,
    running: &RunningSteps,
    learned: Option<Span>,
) -> (f64, f64) {
    let mut work = 0.0;
    let mut ends: Vec<f64> = Vec::with_capacity(entry.job.steps.len());
    for (at, step) in entry.job.steps.iter().enumerate() {
        let open = round.open.get(at).copied().unwrap_or(0);
        let task = learned.unwrap_or(step.estimate).as_micros() as f64 / 1_000.0;
        let current = running.get(&(entry.job.id, number, at as u16)).copied().unwrap_or_default();
        let done = current.sum as f64 / 100.0;
        work += (f64::from(open) - done).max(0.0) * task * step.need.millicores as f64;
        let begun = if current.count >= open { f64::from(current.least) / 100.0 } else { 0.0 };
        let own = if open == 0 { 0.0 } else { task * (1.0 - begun) };
        let before = step.after.iter().filter_map(|&before| ends.get(usize::from(before)));
        ends.push(before.copied().fold(0.0, f64::max) + own);
    }
    (work, ends.into_iter().fold(0.0, f64::max))
}
