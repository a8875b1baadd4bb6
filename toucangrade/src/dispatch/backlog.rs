//! Facts for the decisions of `overload`: what is left of each job, how fast runs work, and which
//! capacity there is.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Dispatch;
use super::message::{ClientReply, Effect, Runner};
use super::settings::MOVE_AGE;
use crate::core::{Moment, Span};
use crate::jobs::{Command, Job, JobEntry, Need, Phase, Queue, Repetition, Step};
use crate::overload::{Backlog, HALF_SPEED, Kind, Refusal, TaskTime, Usage, VALUE_FACTOR};

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

    /// Passes what runs and what waits to the decisions.
    pub(super) fn decide_overload(&mut self, now: Moment) {
        let (usage, running) = self.usage(now);
        let mut jobs: BTreeMap<(Arc<str>, Kind), Vec<Backlog>> = BTreeMap::new();
        for entry in self.active.iter().filter_map(|id| self.job_table.jobs.get(id)) {
            if entry.job.lasting() || entry.job.schedule.is_some() {
                continue;
            }
            let Some(queue) = self.job_table.queue(&entry.job.queue) else { continue };
            let backlog = self.backlog(entry, queue, &running);
            let name = (Arc::clone(&queue.service), kind(&entry.job));
            jobs.entry(name).or_default().push(backlog);
        }
        let before = self.overload.doomed();
        self.overload.decide(now, &usage, jobs);
        let doomed = self.overload.doomed();
        if doomed != before {
            self.out.push(Effect::Gauge { name: "jobs_doomed", value: doomed });
        }
    }

    /// Refusal of a submitted job that would end without value. One that is proposed may be stored
    /// whatever is answered now, so it is never refused.
    pub(super) fn admission(&mut self, now: Moment, job: &Job) -> Option<ClientReply> {
        if !self.overload.enabled || self.overload.unsure || job.schedule.is_some() {
            return None;
        }
        let queue = self.job_table.queue(&job.queue)?.clone();
        let withdrawn = self.job_table.withdrawn.contains(&(job.id, Arc::clone(&job.queue)));
        let proposed = self.proposals.values().flat_map(|proposal| &proposal.commands);
        let same = |command: &Command| matches!(command, Command::Accept { job: other, .. } if other.id == job.id);
        if withdrawn || self.batch.iter().chain(proposed).any(same) {
            return None;
        }
        let refusal = if let Some(refusal) = self.overload.refuse_again(now, job.id) {
            Some(refusal)
        } else if job.lasting() {
            let full = !self.has_lasting_capacity(&queue, job);
            full.then(|| self.overload.refuse_lasting(now, job.id))
        } else {
            let objective = self.job_objective(job, &queue) as f64;
            let (work, chain) = self.whole_work(job, &queue);
            let (id, priority, left) = (job.id, queue.priority, objective);
            let (started, next, age, size) = (false, false, Span::ZERO, size(job));
            let job_left =
                Backlog { id, priority, objective, started, next, size, work, chain, left, age };
            let kind = kind(job);
            let floor = if kind == Kind::Counted { self.counted_floor(&queue) } else { 0.0 };
            self.overload.admit(now, &(Arc::clone(&queue.service), kind), job_left, floor)
        };
        let Refusal { reason, after } = refusal?;
        self.out.push(Effect::Count { name: "jobs_refused_total", queue: queue.name });
        Some(ClientReply::Refused { reason: reason.into(), after })
    }

    /// Work of a job and its longest chain, at full speed.
    fn whole_work(&self, job: &Job, queue: &Queue) -> (f64, f64) {
        let learned = self.learned_duration(queue);
        let task = |step: &Step| {
            learned.map_or(step.estimate, |time| time.mean()).as_micros() as f64 / 1_000.0
        };
        let work = |step: &Step| f64::from(step.count) * task(step) * step.need.millicores as f64;
        let chain = match learned {
            Some(time) => job.longest_chain(|step| time.slowest(step.count)),
            None => job.longest_chain(|step| step.estimate),
        };
        let chain = chain.as_micros() as f64 / 1_000.0;
        (job.steps.iter().map(work).sum(), chain)
    }

    /// Half of the millicores that lasting tasks leave to counted ones. What counted tasks use may
    /// be far less for another reason than a lack of room.
    fn counted_floor(&self, queue: &Queue) -> f64 {
        let runners = self.fleet.workers.values().filter_map(|worker| worker.runner());
        let own = runners.filter(|runner| runner.service == queue.service);
        own.map(|runner| self.left_by_lasting(runner).millicores as f64).sum::<f64>() / 2.0
    }

    /// Whether some runner could run a task of a lasting job, if nothing but lasting tasks ran. A
    /// leader that knows no runner yet assumes so.
    fn has_lasting_capacity(&self, queue: &Queue, job: &Job) -> bool {
        let runners = || self.fleet.workers.values().filter_map(|worker| worker.runner());
        let mut own = runners().filter(|runner| runner.service == queue.service);
        let fits = |runner: &Runner| {
            let left = self.left_by_lasting(runner);
            job.steps.iter().any(|step| left.holds(&step.counted()))
        };
        runners().next().is_none() || own.any(fits)
    }

    fn left_by_lasting(&self, runner: &Runner) -> Need {
        let mut left = runner.capacity;
        let lease = self.fleet.leases.get(&runner.incarnation);
        let runs = lease.iter().flat_map(|lease| lease.runs.values());
        runs.filter(|run| run.lasting).for_each(|run| left.remove(&run.need));
        left
    }

    /// Whether this instance counts jobs by their value: the leader does.
    fn counts_value(&self) -> bool {
        self.overload.enabled && self.leading
    }

    /// Counts a job that has ended too late.
    pub(super) fn count_value(&mut self, job: u64) {
        let Some(entry) = self.job_table.jobs.get(&job).filter(|_| self.counts_value()) else {
            return;
        };
        let measured = !entry.job.lasting() && entry.job.schedule.is_none();
        let Some(queue) = self.job_table.queue(&entry.job.queue).filter(|_| measured) else {
            return;
        };
        let age = self.wall.saturating_sub(entry.wall) as f64;
        let objective = self.objective(entry, queue) as f64;
        let name = match entry.phase {
            Phase::Completed if age <= objective => return,
            Phase::Completed if age <= VALUE_FACTOR * objective => "jobs_served_late_total",
            Phase::Completed | Phase::Failed => "jobs_worthless_total",
            Phase::Active | Phase::Cancelled => return,
        };
        self.out.push(Effect::Count { name, queue: Arc::clone(&queue.name) });
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
        let objective = self.objective(entry, queue) as f64;
        let (id, priority, left) = (entry.job.id, queue.priority, objective - age as f64);
        let age = Span::millis(age);
        let (next, size) = (false, size(&entry.job));
        Backlog { id, priority, objective, started, next, size, work, chain, left, age }
    }

    /// Use of cores by the runs of each service that end, and the progress of all running tasks.
    fn usage(&self, now: Moment) -> (BTreeMap<(Arc<str>, Kind), Usage>, RunningSteps) {
        let mut usage: BTreeMap<(Arc<str>, Kind), Usage> = BTreeMap::new();
        let mut running = RunningSteps::new();
        for runner in self.fleet.workers.values().filter_map(|worker| worker.runner()) {
            let lease = self.fleet.leases.get(&runner.incarnation);
            for (key, run) in lease.iter().flat_map(|lease| &lease.runs) {
                if run.lasting || run.stop {
                    continue;
                }
                let task = key.task;
                let step = running.entry((task.job, task.round, task.step)).or_default();
                let first = step.count == 0;
                step.least = if first { run.percent } else { step.least.min(run.percent) };
                step.count += 1;
                step.sum += u64::from(run.percent);
                let kind = if run.fills { Kind::Filling } else { Kind::Counted };
                let usage = usage.entry((Arc::clone(&runner.service), kind)).or_default();
                if !run.fills {
                    usage.used += run.cores;
                } else if !run.listed || now.since(run.shown) < MOVE_AGE {
                    usage.used += (run.cores as f64 * HALF_SPEED) as u64;
                } else {
                    let used = u64::from(run.figure).min(run.cores);
                    usage.used += used;
                    if !self.is_late(task.job) {
                        usage.runs += 1;
                        usage.timely += used;
                        usage.asked += run.cores;
                    }
                }
            }
        }
        (usage, running)
    }

    /// Durations of the tasks of a queue; of filling ones at full speed.
    pub(super) fn learned_duration(&self, queue: &Queue) -> Option<TaskTime> {
        let address = (Arc::clone(&queue.host), Arc::clone(&queue.prefix));
        self.durations.get(&address).copied()
    }
}

fn size(job: &Job) -> u64 {
    job.steps.iter().map(|step| u64::from(step.count) * step.need.millicores).sum()
}

fn kind(job: &Job) -> Kind {
    if job.steps.iter().any(|step| step.fills) { Kind::Filling } else { Kind::Counted }
}

/// Work left in a repetition in millicores times milliseconds, and the duration of its longest chain
/// of open steps in ms, at full speed.
fn remaining(
    entry: &JobEntry,
    number: u32,
    round: &Repetition,
    running: &RunningSteps,
    learned: Option<TaskTime>,
) -> (f64, f64) {
    let mut work = 0.0;
    let mut ends: Vec<f64> = Vec::with_capacity(entry.job.steps.len());
    for (at, step) in entry.job.steps.iter().enumerate() {
        let open = round.open.get(at).copied().unwrap_or(0);
        let millis = |span: Span| span.as_micros() as f64 / 1_000.0;
        let task = millis(learned.map_or(step.estimate, |time| time.mean()));
        let slowest = millis(learned.map_or(step.estimate, |time| time.slowest(step.count)));
        let current = running.get(&(entry.job.id, number, at as u16)).copied().unwrap_or_default();
        let done = current.sum as f64 / 100.0;
        work += (f64::from(open) - done).max(0.0) * task * step.need.millicores as f64;
        let begun = if current.count >= open { f64::from(current.least) / 100.0 } else { 0.0 };
        let own = if open == 0 { 0.0 } else { slowest * (1.0 - begun) };
        let before = step.after.iter().filter_map(|&before| ends.get(usize::from(before)));
        ends.push(before.copied().fold(0.0, f64::max) + own);
    }
    (work, ends.into_iter().fold(0.0, f64::max))
}
