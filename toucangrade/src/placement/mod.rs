//! Places batch jobs on workers, protects quick tasks there, and sees each job to one outcome.

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
use self::job::{Evicting, Job, State};
use self::sizes::Sizes;
use self::worker::{Running, Worker};
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

/// Final outcomes kept to recognise late messages: more than two days at 44,000 jobs a day.
const OUTCOMES_KEPT: usize = 100_000;

/// Counters for status and measurements.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Executions agreed.
    pub assigned: u64,
    /// Jobs cancelled, finished, failed or refused.
    pub ended: u64,
    /// Jobs evicted to protect quick tasks, for urgent work or for a job that waited too long.
    pub evicted: u64,
    /// Executions stopped at their granted memory.
    pub guarded: u64,
    /// Executions ended by the loss of their worker.
    pub lost: u64,
    /// Resumptions of evicted or lost executions.
    pub resumed: u64,
    /// Reports refused for an old fencing token.
    pub stale: u64,
    /// Jobs accepted for scheduling or refused.
    pub submitted: u64,
    /// Changes of a share by throttling.
    pub throttled: u64,
}

/// State of batch scheduling on the leading control instance.
///
/// All of it is soft: a new leader rebuilds it from submitted jobs, committed decisions in the
/// order of the log, and the reports that workers repeat. [`Message::Lead`] ends the replay;
/// starts and stops that were not confirmed are sent again on the next ticks.
#[derive(Debug, Serialize)]
pub struct Planner {
    accelerated: BTreeSet<(u64, usize)>,
    counts: Counts,
    drains: BTreeMap<Name, Moment>,
    ended: VecDeque<Name>,
    /// Jobs with a final outcome whose last execution still ends.
    ending: BTreeSet<Name>,
    evicting: BTreeMap<Name, Evicting>,
    free: BTreeSet<(u64, usize)>,
    jobs: BTreeMap<Name, Job>,
    known: BTreeMap<Name, usize>,
    /// Whether the log is replayed and this instance leads.
    leading: bool,
    led_since: Moment,
    ledger: Ledger,
    model: Model,
    outcomes: BTreeMap<Name, Outcome>,
    phase: usize,
    quarantined: BTreeSet<usize>,
    retry: BTreeSet<Name>,
    #[serde(skip)]
    rng: SmallRng,
    settings: Settings,
    /// Whether workers have had time to find this leader, so that no unknown one may hold a job.
    settled: bool,
    settling: BTreeSet<Name>,
    shares: Shares,
    silent: BTreeSet<usize>,
    sizes: Sizes,
    unconfirmed: BTreeSet<Name>,
    urgent: BTreeSet<(Moment, Name)>,
    workers: Vec<Worker>,
}

impl Planner {
    /// A planner that knows no workers and no jobs.
    pub fn new(settings: Settings) -> Self {
        Self {
            accelerated: BTreeSet::new(),
            counts: Counts::default(),
            drains: BTreeMap::new(),
            ended: VecDeque::new(),
            ending: BTreeSet::new(),
            evicting: BTreeMap::new(),
            free: BTreeSet::new(),
            jobs: BTreeMap::new(),
            known: BTreeMap::new(),
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
            settled: false,
            settling: BTreeSet::new(),
            shares: Shares::default(),
            silent: BTreeSet::new(),
            sizes: Sizes::default(),
            unconfirmed: BTreeSet::new(),
            urgent: BTreeSet::new(),
            workers: Vec::new(),
        }
    }

    /// Takes in one message and decides.
    pub fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        let mut out = Vec::new();
        match message {
            Message::Cancel { job } => self.cancel(&job, &mut out),
            Message::Committed(decision) => self.committed(now, decision, &mut out),
            Message::Latency(report) => self.learn_latency(now, &report),
            Message::Lead => self.lead(now),
            Message::Learned { age, summary } => self.restore_learned(now, age, &summary),
            Message::Lost { silent, worker } => self.lose(now, &worker, silent),
            Message::Probed { healthy, worker } => self.probed(now, &worker, healthy, &mut out),
            Message::Quick { tasks, worker } => self.set_quick(now, &worker, tasks),
            Message::Quota(quota) => self.shares.set(&quota),
            Message::Rejected(decision) => self.rejected(now, &decision),
            Message::Report(report) => self.report(now, &report, &mut out),
            Message::Restore { fence, from, leaving, members, spec } => {
                let name = spec.name.clone();
                self.restore(now, spec, fence, from, members.as_deref(), &mut out);
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

    /// Final outcome of a job, while it is kept.
    pub fn outcome(&self, job: &Name) -> Option<&Outcome> {
        self.outcomes.get(job)
    }

    /// What a job that has not ended waits for; `None` while it runs.
    pub fn waits(&self, job: &Name) -> Option<Finding> {
        let job = self.jobs.get(job)?;
        matches!(job.state, State::Waiting).then_some(job.waits)
    }

    /// What was learned about sizes and interference, for the planner of the next leader.
    pub fn summary(&self) -> Summary {
        Summary::gather(self.sizes.learned(), self.model.slopes(), SUMMARY_BYTES)
    }

    /// Number of jobs that have no final outcome.
    pub fn open(&self) -> usize {
        self.jobs.len() - self.ending.len()
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Effect>) {
        self.settled |= self.led_since + REPLAY_WAIT <= now;
        self.review_silent(now, out);
        self.review_evictions(now, out);
        self.review_settling(now, out);
        self.review_unconfirmed(now, out);
        self.review_health(now, out);
        if self.settings.protect {
            self.review_risk(now, out);
        }
        self.schedule(now, out);
    }

    /// Takes in a worker that joined, returned or changed.
    fn join(&mut self, now: Moment, info: Instance) {
        let id = self.worker_id(&info.name);
        let worker = &mut self.workers[id];
        worker.info = info;
        worker.alive = true;
        worker.heard.get_or_insert(now);
        worker.lease_end = None;
        self.silent.remove(&id);
        self.touch(now, id);
        self.resize();
    }

    /// Index of a worker; one that is not known yet is added as silent.
    fn worker_id(&mut self, name: &Name) -> usize {
        if let Some(&id) = self.known.get(name) {
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
        self.known.insert(name.clone(), id);
        id
    }

    /// Ends the replay. Executions on workers that have not joined may run until a whole lease
    /// from now has passed, as it is not known when they were last heard.
    fn lead(&mut self, now: Moment) {
        self.leading = true;
        self.led_since = now;
        self.settled = self.workers.iter().any(|worker| worker.alive);
        // Outcomes that were proposed before may not have reached the log.
        let closing = self.jobs.values().filter(|job| job.closing.is_some() && !job.over);
        self.retry = closing.map(|job| job.name().clone()).collect();
        for &id in &self.silent {
            self.workers[id].lease_end = Some(now + self.settings.lease.percent(105));
        }
    }

    fn lose(&mut self, now: Moment, name: &Name, silent: Span) {
        let Some(&id) = self.known.get(name) else {
            return;
        };
        let worker = &mut self.workers[id];
        if worker.alive {
            worker.alive = false;
            // Clock rates differ by less than 5%.
            worker.lease_end = Some((now + self.settings.lease.percent(105)) - silent);
            self.silent.insert(id);
            self.reindex(id);
            self.resize();
        }
    }

    fn resize(&mut self) {
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let total = alive.fold(Size::default(), |sum, worker| sum + worker.info.size);
        self.shares.set_capacity(total);
    }

    fn set_quick(&mut self, now: Moment, name: &Name, tasks: Vec<QuickTask>) {
        if let Some(&id) = self.known.get(name) {
            self.workers[id].set_quick(tasks, &mut self.model, &self.settings);
            self.touch(now, id);
        }
    }

    /// Takes in what each shop weighs, and holds the quick tasks that are present to it.
    fn set_shops(&mut self, objectives: &BTreeMap<Name, Objective>) {
        let weights = |(shop, objective): (&Name, &Objective)| (shop.clone(), objective.weights());
        self.settings.shops = objectives.iter().map(weights).collect();
        for quick in self.workers.iter_mut().flat_map(|worker| &mut worker.quick) {
            quick.weigh(&self.settings);
        }
    }

    /// Brings a worker's free size, prediction and place in the indexes up to date.
    fn touch(&mut self, now: Moment, id: usize) {
        self.drop_index(id);
        self.workers[id].refresh(now, &self.model, self.settings.correct);
        self.put_index(id);
    }

    fn reindex(&mut self, id: usize) {
        self.drop_index(id);
        self.put_index(id);
    }

    fn drop_index(&mut self, id: usize) {
        let free = self.workers[id].free();
        self.free.remove(&(free.cores, id));
        self.accelerated.remove(&(free.accelerators, id));
    }

    fn put_index(&mut self, id: usize) {
        let worker = &self.workers[id];
        if worker.alive && !worker.health.quarantined() {
            let free = worker.free();
            self.free.insert((free.cores, id));
            if free.accelerators > 0 {
                self.accelerated.insert((free.accelerators, id));
            }
        }
    }

    /// Joins a late latency report with what ran when it was measured.
    fn learn_latency(&mut self, now: Moment, report: &Latency) {
        let Some(&id) = self.known.get(&report.worker) else {
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
        let Some(mix) = worker.past(index, from, until) else {
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
            worker.correct(index, sample.excess - expected);
        }
        self.model.learn(&sample);
    }

    /// Starts from what an earlier leader's planner learned.
    fn restore_learned(&mut self, now: Moment, age: Span, summary: &Summary) {
        for (kind, ratios) in &summary.sizes {
            self.sizes.restore(kind, ratios, age);
        }
        for slope in &summary.slopes {
            self.model.restore(now, slope, age);
        }
    }

    /// Takes in what tasks used.
    fn learn_usage(&mut self, now: Moment, usage: &Usage) {
        let Some(&id) = self.known.get(&usage.worker) else {
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
        self.touch(now, id);
    }
}
