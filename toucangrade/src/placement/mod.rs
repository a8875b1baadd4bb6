//! The planner of batch jobs, which runs on the leading control instance.
//!
//! It assigns jobs to workers, throttles or evicts them to protect quick (latency-critical) tasks,
//! and ends each job with exactly one outcome. Decisions take effect once the replicated log has
//! committed them.

mod commits;
mod health;
mod job;
mod message;
mod protect;
mod room;
mod runs;
mod schedule;
mod settings;
mod sizes;
mod worker;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use self::commits::REPLAY_WAIT;
use self::job::{Eviction, Job, State};
use self::sizes::Sizes;
use self::worker::{Task, Worker};
use crate::core::{Moment, Name, Span};
use crate::eviction::Ledger;
use crate::interference::{Model, Sample};
use crate::learned::SUMMARY_BYTES;
use crate::quota::Shares;

pub use self::message::{
    Checkpoint, Decision, Effect, Event, Fault, Finding, Instance, Latency, Member, Message,
    Outcome, QuickTask, Record, Report, Spec, Target, Usage,
};
pub use self::settings::{Objective, Rank, Settings, Weights};
pub use crate::eviction::Cause;
pub use crate::interference::Method;
pub use crate::learned::Summary;
pub use crate::quota::{Quota, Size};

/// Number of final outcomes kept to recognise late messages, for more than two days at 44,000
/// jobs a day.
const OUTCOMES_KEPT: usize = 100_000;

/// Counters for status and measurements.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Assignments committed.
    pub assigned: u64,
    /// Jobs cancelled, finished, failed or refused.
    pub ended: u64,
    /// Evictions to protect quick tasks, for urgent work or for a job that waited too long.
    pub evicted: u64,
    /// Executions stopped by the guard for exceeding their granted memory.
    pub guarded: u64,
    /// Executions ended by the loss of their worker.
    pub lost: u64,
    /// Resumptions after an eviction or the loss of a worker.
    pub resumed: u64,
    /// Reports refused for an old fencing token.
    pub stale: u64,
    /// Jobs submitted, including refused ones.
    pub submitted: u64,
    /// Changes of a task's share of its granted cores.
    pub throttled: u64,
}

/// State of batch scheduling on the leading control instance.
///
/// Nothing of it is persisted: a new leader rebuilds it from submitted jobs, committed decisions in
/// the order of the log, and the reports that workers repeat. [`Message::Lead`] ends the replay;
/// unconfirmed starts and stops are sent again on the next ticks.
#[derive(Debug, Serialize)]
pub struct Planner {
    /// Schedulable workers with free accelerators, ordered by their number.
    #[serde(rename = "accelerated")]
    free_accelerators: BTreeSet<(u64, usize)>,
    counts: Counts,
    /// Jobs that workers are held for, with the time since when.
    drains: BTreeMap<Name, Moment>,
    /// Jobs in `outcomes`, oldest first.
    ended: VecDeque<Name>,
    /// Jobs with a final outcome whose last execution has not ended yet.
    ending: BTreeSet<Name>,
    /// Evictions that are not committed yet.
    evicting: BTreeMap<Name, Eviction>,
    /// Schedulable workers ordered by free cores, in thousandths.
    #[serde(rename = "free")]
    free_cores: BTreeSet<(u64, usize)>,
    jobs: BTreeMap<Name, Job>,
    /// Index of each worker in `workers`.
    #[serde(rename = "known")]
    worker_ids: BTreeMap<Name, usize>,
    /// Whether the replay of the log is complete and this instance leads.
    leading: bool,
    led_since: Moment,
    ledger: Ledger,
    model: Model,
    outcomes: BTreeMap<Name, Outcome>,
    /// Part of the workers whose risk was reviewed last.
    phase: usize,
    quarantined: BTreeSet<usize>,
    /// Jobs whose proposed outcome must be proposed again.
    retry: BTreeSet<Name>,
    #[serde(skip)]
    rng: SmallRng,
    settings: Settings,
    /// Whether workers have had time to report to this leader, so that a job that fits on no known
    /// worker can be refused.
    #[serde(rename = "settled")]
    workers_known: bool,
    /// Jobs whose execution is being stopped.
    #[serde(rename = "settling")]
    terminating: BTreeSet<Name>,
    shares: Shares,
    /// Workers without a recent heartbeat.
    silent: BTreeSet<usize>,
    sizes: Sizes,
    /// Jobs with an assigned member that its worker has not reported on yet.
    unconfirmed: BTreeSet<Name>,
    /// Waiting urgent jobs in the order of submission.
    urgent: BTreeSet<(Moment, Name)>,
    workers: Vec<Worker>,
}

impl Planner {
    /// Creates a planner without workers and jobs.
    pub fn new(settings: Settings) -> Self {
        Self {
            free_accelerators: BTreeSet::new(),
            counts: Counts::default(),
            drains: BTreeMap::new(),
            ended: VecDeque::new(),
            ending: BTreeSet::new(),
            evicting: BTreeMap::new(),
            free_cores: BTreeSet::new(),
            jobs: BTreeMap::new(),
            worker_ids: BTreeMap::new(),
            leading: false,
            led_since: Moment::default(),
            ledger: Ledger::default(),
            model: Model::new(settings.method),
            outcomes: BTreeMap::new(),
            phase: 0,
            quarantined: BTreeSet::new(),
            retry: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            workers_known: false,
            terminating: BTreeSet::new(),
            shares: Shares::default(),
            silent: BTreeSet::new(),
            sizes: Sizes::default(),
            unconfirmed: BTreeSet::new(),
            urgent: BTreeSet::new(),
            workers: Vec::new(),
        }
    }

    /// Handles one message and returns what follows from it; nothing before [`Message::Lead`].
    pub fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        let mut out = Vec::new();
        match message {
            Message::Cancel { job } => self.cancel(&job, &mut out),
            Message::Committed(decision) => self.committed(now, decision, &mut out),
            Message::Latency(report) => self.learn_latency(now, &report),
            Message::Lead => self.lead(now),
            Message::Learned { age, summary } => self.restore_learned(now, age, &summary),
            Message::Lost { silent, worker } => self.mark_lost(now, &worker, silent),
            Message::Probed { healthy, worker } => self.probed(now, &worker, healthy, &mut out),
            Message::Quick { tasks, worker } => self.set_quick(now, &worker, tasks),
            Message::Quota(quota) => self.shares.set(&quota),
            Message::Rejected(decision) => self.rejected(now, &decision),
            Message::Report(report) => self.report(now, &report, &mut out),
            Message::Restore { begun, fence, from, leaving, members, spec } => {
                let name = spec.name.clone();
                self.restore(now, spec, fence, from, members.as_deref(), &mut out);
                if let Some(job) = self.jobs.get_mut(&name) {
                    job.begun = begun;
                }
                if leaving {
                    self.evicted(now, &name, fence, Cause::Lost, from, &mut out);
                }
            },
            Message::Shops(objectives) => self.set_shops(&objectives),
            Message::Submit(spec) => self.submit(now, spec, &mut out),
            Message::Tick if self.leading => self.tick(now, &mut out),
            Message::Tick => {},
            Message::Usage(usage) => self.learn_usage(now, &usage),
            Message::Worker(info) => self.join(now, info),
        }
        if !self.leading {
            out.clear();
        }
        out
    }

    /// Counters since the start of this planner.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Final outcome of a job, if it has one that is still kept.
    pub fn outcome(&self, job: &Name) -> Option<&Outcome> {
        self.outcomes.get(job)
    }

    /// Why a job waits; `None` if it is unknown, proposed for a worker or running.
    pub fn waits(&self, job: &Name) -> Option<Finding> {
        let job = self.jobs.get(job)?;
        matches!(job.state, State::Waiting).then_some(job.wait_reason)
    }

    /// Learned sizes and interference, from which the planner of the next leader starts.
    pub fn summary(&self) -> Summary {
        Summary::gather(self.sizes.learned(), self.model.slopes(), SUMMARY_BYTES)
    }

    /// Number of jobs without a final outcome.
    pub fn open(&self) -> usize {
        self.jobs.len() - self.ending.len()
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Effect>) {
        self.workers_known |= self.led_since + REPLAY_WAIT <= now;
        self.review_silent(now, out);
        self.review_evictions(now, out);
        self.review_terminating(now, out);
        self.review_unconfirmed(now, out);
        self.review_health(now, out);
        if self.settings.protect {
            self.review_risk(now, out);
        }
        self.schedule(now, out);
    }

    /// Adds a worker, or updates one that returned or changed.
    fn join(&mut self, now: Moment, info: Instance) {
        let id = self.worker_id(&info.name);
        let worker = &mut self.workers[id];
        worker.info = info;
        worker.alive = true;
        worker.first_heard.get_or_insert(now);
        worker.lease_end = None;
        self.silent.remove(&id);
        self.refresh_worker(now, id);
        self.update_capacity();
    }

    /// Index of a worker. An unknown worker is added as not alive.
    fn worker_id(&mut self, name: &Name) -> usize {
        if let Some(&id) = self.worker_ids.get(name) {
            return id;
        }
        let id = self.workers.len();
        let mut worker = Worker::new(Instance {
            centre: name.clone(),
            name: name.clone(),
            rack: name.clone(),
            size: Size::default(),
        });
        worker.alive = false;
        self.workers.push(worker);
        self.worker_ids.insert(name.clone(), id);
        id
    }

    /// Ends the replay. Executions on workers that have not joined may run for a whole lease from
    /// now, as the time of their last heartbeat is unknown.
    fn lead(&mut self, now: Moment) {
        self.leading = true;
        self.led_since = now;
        self.workers_known = self.workers.iter().any(|worker| worker.alive);
        // Outcomes proposed by the previous leader may not have reached the log.
        let unfinished =
            self.jobs.values().filter(|job| job.proposed_outcome.is_some() && !job.over);
        self.retry = unfinished.map(|job| job.name().clone()).collect();
        for &id in &self.silent {
            self.workers[id].lease_end = Some(now + self.settings.lease.percent(105));
        }
    }

    fn mark_lost(&mut self, now: Moment, name: &Name, silent: Span) {
        let Some(&id) = self.worker_ids.get(name) else {
            return;
        };
        let worker = &mut self.workers[id];
        if worker.alive {
            worker.alive = false;
            // Clock rates differ by less than 5%.
            worker.lease_end = Some((now + self.settings.lease.percent(105)) - silent);
            self.silent.insert(id);
            self.reindex(id);
            self.update_capacity();
        }
    }

    fn update_capacity(&mut self) {
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let total = alive.fold(Size::default(), |sum, worker| sum + worker.info.size);
        self.shares.set_capacity(total);
    }

    fn set_quick(&mut self, now: Moment, name: &Name, tasks: Vec<QuickTask>) {
        if let Some(&id) = self.worker_ids.get(name) {
            self.workers[id].set_quick(tasks, &mut self.model, &self.settings);
            self.refresh_worker(now, id);
        }
    }

    /// Sets the objectives of the shops and applies their weights to the present quick tasks.
    fn set_shops(&mut self, objectives: &BTreeMap<Name, Objective>) {
        let weights = |(shop, objective): (&Name, &Objective)| (shop.clone(), objective.weights());
        self.settings.shops = objectives.iter().map(weights).collect();
        for quick in self.workers.iter_mut().flat_map(|worker| &mut worker.quick) {
            quick.set_weights(&self.settings);
        }
    }

    /// Updates a worker's free size, its predicted interference and its index entries.
    fn refresh_worker(&mut self, now: Moment, id: usize) {
        self.remove_from_index(id);
        self.workers[id].refresh(now, &self.model, self.settings.correct);
        self.add_to_index(id);
    }

    fn reindex(&mut self, id: usize) {
        self.remove_from_index(id);
        self.add_to_index(id);
    }

    fn remove_from_index(&mut self, id: usize) {
        let free = self.workers[id].free();
        self.free_cores.remove(&(free.cores, id));
        self.free_accelerators.remove(&(free.accelerators, id));
    }

    fn add_to_index(&mut self, id: usize) {
        let worker = &self.workers[id];
        if worker.alive && !worker.health.quarantined() {
            let free = worker.free();
            self.free_cores.insert((free.cores, id));
            if free.accelerators > 0 {
                self.free_accelerators.insert((free.accelerators, id));
            }
        }
    }

    /// Learns interference from a latency report and the tasks that ran when it was measured.
    fn learn_latency(&mut self, now: Moment, report: &Latency) {
        let Some(&id) = self.worker_ids.get(&report.worker) else {
            return;
        };
        let worker = &mut self.workers[id];
        let Some(index) = worker
            .quick
            .iter()
            .position(|q| q.task.service == report.service && q.task.kind == report.kind)
        else {
            return;
        };
        let (from, until) = (now - report.from, now - report.until);
        let Some(mix) = worker.past_mix(index, from, until) else {
            return;
        };
        let sample = Sample {
            victim: worker.quick[index].victim,
            excess: report.ratio - 1.0,
            mix: &mix,
            at: until,
        };
        let expected = self.model.excess(sample.victim, &mix, 0.0);
        if self.settings.method.is_some() {
            worker.update_offset(index, sample.excess - expected);
        }
        self.model.learn(&sample);
    }

    /// Restores the estimates that an earlier leader's planner learned, `age` ago.
    fn restore_learned(&mut self, now: Moment, age: Span, summary: &Summary) {
        for (kind, ratios) in &summary.sizes {
            self.sizes.restore(kind, ratios, age);
        }
        for slope in &summary.slopes {
            self.model.restore(now, slope, age);
        }
    }

    /// Updates the peak usage of tasks, and learns sizes from memory that has stopped growing.
    fn learn_usage(&mut self, now: Moment, usage: &Usage) {
        let Some(&id) = self.worker_ids.get(&usage.worker) else {
            return;
        };
        let worker = &mut self.workers[id];
        for (service, kind, used) in &usage.quick {
            worker.quick_used(service, kind, *used);
        }
        let mut settled = Vec::new();
        for (job, fence, used) in &usage.jobs {
            if worker.task_used(now, job, *fence, *used) {
                settled.push(job.clone());
            }
        }
        for job in settled {
            self.learn_size(&job, id);
        }
        self.refresh_worker(now, id);
    }
}
