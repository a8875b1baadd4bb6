//! A small simulation of workers, reports and the replicated log, for tests and benchmarks of the
//! placement policy.
//!
//! The policy sees only messages; the true properties of the tasks are in `truth`.

#![allow(missing_docs, dead_code, unreachable_pub)]

pub mod figures;
mod reports;
pub mod truth;
pub mod worker;

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Poisson};
use toucangrade::placement::{
    Counts, Decision, Effect, Event, Instance, Message, Outcome, Planner, QuickTask, Quota, Report,
    Settings, Size, Spec, Summary, Target,
};
use toucangrade::{Moment, Name, Span};

pub use self::figures::Figures;
use self::figures::{add, subtract};
use self::truth::{Company, Hidden, KINDS, Truth};
use self::worker::{Quick, Worker};

/// Duration of a step in seconds.
pub const STEP: f64 = 0.25;
const STEP_SPAN: Span = Span::millis(250);
/// Steps per report window, 5 s.
const WINDOW: u64 = 20;
/// Steps between two summaries of the learned state, 60 s.
const SUMMARY_STEPS: u64 = 240;
/// Sigma of the lognormal distribution of the latency of quick requests.
const ANSWER_SIGMA: f64 = 0.25;
/// Demand for batch work relative to the capacity not used by quick tasks.
const DEMAND: f64 = 1.2;
const TEAMS: usize = 4;
const WORKERS: usize = 11;

/// Disturbance of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    None,
    /// Bursts of the batch kinds that slow down the first quick kind most.
    Noise,
    /// Declared sizes that differ more from the real ones.
    Sizes,
    /// One worker crashes and later another is unreachable; both come back.
    WorkerLoss,
    /// All three workers of a rack crash at the same time and come back.
    RackLoss,
    /// Two workers on which every task fails for part of the run.
    Rotten,
    /// Jobs are cancelled at random.
    Cancels,
    /// Another planner takes over.
    Failover,
    /// All of them at once, for randomised tests.
    Storm,
}

pub const TROUBLES: [Trouble; 8] = [
    Trouble::None,
    Trouble::Noise,
    Trouble::Sizes,
    Trouble::WorkerLoss,
    Trouble::RackLoss,
    Trouble::Rotten,
    Trouble::Cancels,
    Trouble::Failover,
];

/// An entry of the simulated log, which is replayed at a failover.
enum Entry {
    Cancel(Name),
    Commit(Decision),
    Submit(Spec),
}

struct JobTruth {
    hidden: Hidden,
    spec: Spec,
    submitted: u64,
    /// Furthest progress of a member so far, in core seconds of work done.
    best: f64,
    started: bool,
    outcome: Option<Outcome>,
}

/// State of a simulation run.
pub struct Fake {
    pub planner: Planner,
    pub figures: Figures,
    truth: Truth,
    company: Company,
    settings: Settings,
    trouble: Trouble,
    rng: SmallRng,
    step: u64,
    steps: u64,
    workers: Vec<Worker>,
    index: BTreeMap<Name, usize>,
    jobs: BTreeMap<Name, JobTruth>,
    /// Messages on the way to the planner, by step of arrival and order of sending.
    queue: BTreeMap<(u64, u64), Message>,
    effects: Vec<Effect>,
    log: Vec<(Moment, Entry)>,
    /// The last committed summary of the learned state, and when it was committed.
    learned: Option<(Moment, Summary)>,
    sequence: u64,
    /// Reports of each worker that could not be sent while it was unreachable.
    unsent: Vec<Vec<Report>>,
    cancels: Vec<Name>,
}

impl Fake {
    pub fn new(set: Settings, company: Company, trouble: Trouble, seed: u64, secs: u64) -> Self {
        let histogram = || Histogram::new(3).unwrap();
        let wrong = matches!(trouble, Trouble::Sizes | Trouble::Storm);
        let mut fake = Self {
            planner: Planner::new(set.clone().seed(seed)),
            figures: Figures {
                quick: histogram(),
                work: 0.0,
                room: 0.0,
                lost: 0.0,
                urgent: histogram(),
                counts: Counts::default(),
                done: 0,
                jobs: 0,
            },
            truth: Truth::draw(&company, seed, wrong),
            company,
            settings: set,
            trouble,
            rng: SmallRng::seed_from_u64(seed),
            step: 0,
            steps: secs * 4,
            workers: Vec::new(),
            index: BTreeMap::new(),
            jobs: BTreeMap::new(),
            queue: BTreeMap::new(),
            effects: Vec::new(),
            log: Vec::new(),
            learned: None,
            sequence: 0,
            unsent: vec![Vec::new(); WORKERS],
            cancels: Vec::new(),
        };
        for i in 0..WORKERS {
            fake.add_worker(i);
        }
        fake.announce();
        fake.send(Message::Lead);
        for i in 0..2 {
            fake.submit_watch(i);
        }
        fake
    }

    fn add_worker(&mut self, i: usize) {
        let name = Name::new(&format!("worker-{i}")).unwrap();
        let rack = i / 3;
        let centre = self.company.centres[rack % self.company.centres.len()];
        let accelerators = if i.is_multiple_of(3) { 2 } else { 0 };
        let quick = |kind| Quick { kind, load: 0.45, noise: 0.0, sum: 0.0, count: 0.0 };
        let mut kinds = vec![quick(0)];
        if i.is_multiple_of(2) {
            kinds.push(quick(1));
        }
        self.index.insert(name.clone(), i);
        self.workers.push(Worker {
            info: Instance {
                centre: Name::new(centre).unwrap(),
                name,
                rack: Name::new(&format!("rack-{rack}")).unwrap(),
                size: Size::new(self.company.cores * 1_000, self.company.memory, accelerators),
            },
            tasks: BTreeMap::new(),
            ended: BTreeMap::new(),
            quick: kinds,
            reachable: true,
            crashed: false,
            faulty: false,
        });
    }

    pub fn now(&self) -> Moment {
        Moment::micros(self.step * STEP_SPAN.as_micros())
    }

    fn send(&mut self, message: Message) {
        let effects = self.planner.step(self.now(), message);
        self.effects.extend(effects);
    }

    /// Sends all reachable workers and all quotas to the planner.
    fn announce(&mut self) {
        for i in 0..WORKERS {
            if self.workers[i].reachable && !self.workers[i].crashed {
                self.send(Message::Worker(self.workers[i].info.clone()));
                self.send_quick(i);
            }
        }
        for t in 0..TEAMS {
            let team = Name::new(&format!("team-{t}")).unwrap();
            let weight = t as u32 + 1;
            self.send(Message::Quota(Quota { team, weight, limit: None }));
        }
    }

    fn send_quick(&mut self, i: usize) {
        let worker = &self.workers[i];
        let tasks = worker.quick.iter().map(|quick| QuickTask {
            kind: Name::new(self.company.quick[quick.kind]).unwrap(),
            load: quick.load,
            service: Name::new("service").unwrap(),
            shop: Name::new(self.company.name).unwrap(),
            size: Size::new(self.company.quick_cores[quick.kind].0 * 1_000, 8_000, 0),
        });
        let message = Message::Quick { tasks: tasks.collect(), worker: worker.info.name.clone() };
        self.send(message);
    }

    fn send_later(&mut self, steps: u64, message: Message) {
        self.sequence += 1;
        self.queue.insert((self.step + steps, self.sequence), message);
    }

    /// Runs to the end and returns the measurements.
    pub fn run(mut self) -> Figures {
        while self.step < self.steps {
            self.advance();
        }
        self.figures.counts = add(self.figures.counts, self.planner.counts());
        for job in self.jobs.values().filter(|job| job.spec.urgent && !job.started) {
            let waited = (self.step - job.submitted) * 250;
            // A job that was submitted within the last 4.1 s is not late yet.
            if waited > 4_100 && job.outcome.is_none() {
                let _ = self.figures.urgent.record(waited);
            }
        }
        self.figures
    }

    /// Simulates one step.
    pub fn advance(&mut self) {
        self.step += 1;
        self.perform_effects();
        self.inject_trouble();
        self.submit_arrivals();
        self.update_load();
        for i in 0..WORKERS {
            let output = self.workers[i].run(&self.truth);
            self.collect(i, output);
            self.measure(i);
        }
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.step {
                break;
            }
            let message = entry.remove();
            if let Message::Committed(decision) = message {
                self.commit(decision);
            } else {
                self.send(message);
            }
        }
        self.send(Message::Tick);
        if self.step.is_multiple_of(SUMMARY_STEPS) {
            let summary = self.planner.summary();
            if self.learned.as_ref().is_none_or(|(_, agreed)| *agreed != summary) {
                self.learned = Some((self.now(), summary));
            }
        }
    }

    /// Performs the effects of the previous step, and those of the commits that they cause.
    fn perform_effects(&mut self) {
        let mut waiting = std::mem::take(&mut self.effects);
        while !waiting.is_empty() {
            for effect in waiting {
                self.perform_effect(effect);
            }
            // Starts and stops caused by a commit are sent at once; proposals wait for the next step.
            waiting = self.effects.extract_if(.., |e| !matches!(e, Effect::Propose(_))).collect();
        }
    }

    fn perform_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Propose(decision) => match self.rng.random_range(0..1_000) {
                0..5 => self.send_later(1, Message::Rejected(decision)),
                5..15 => self.send_later(3, Message::Committed(decision)),
                _ => self.commit(decision),
            },
            Effect::Start { from, grant, lease, target } => {
                let Some(i) = self.reachable_worker(&target.worker) else {
                    return;
                };
                let others = self.workers.iter().enumerate().filter(|(j, _)| *j != i);
                let duplicate = others
                    .filter_map(|(_, worker)| worker.tasks.get(&target.job))
                    .any(|task| task.fence != target.fence);
                assert!(!duplicate, "two runs of {} at the same time", target.job);
                let lease = lease.as_micros() as f64 / 1e6;
                let job = self.jobs.get_mut(&target.job).unwrap();
                let report = self.workers[i].start(&target, &job.hidden, from, grant, lease);
                if !job.started {
                    job.started = true;
                    if job.spec.urgent {
                        let waited = (self.step - job.submitted) * 250;
                        self.figures.urgent.record(waited).unwrap();
                    }
                }
                self.send_later(1, Message::Report(report));
            },
            Effect::Stop(target) => {
                if let Some(i) = self.reachable_worker(&target.worker) {
                    let (report, lost) = self.workers[i].stop(&target);
                    self.figures.lost += lost;
                    self.send_later(1, Message::Report(report));
                }
            },
            Effect::Checkpoint(target) => {
                if let Some(i) = self.reachable_worker(&target.worker) {
                    self.workers[i].checkpoint(&target);
                }
            },
            Effect::Throttle { share, target } => {
                if let Some(i) = self.reachable_worker(&target.worker) {
                    self.workers[i].throttle(&target, share);
                }
            },
            Effect::Probe { worker } => {
                if let Some(i) = self.reachable_worker(&worker) {
                    let healthy = !self.workers[i].faulty;
                    self.send_later(8, Message::Probed { healthy, worker });
                }
            },
            Effect::Explain(_) | Effect::Quarantine { .. } => {},
        }
    }

    /// The worker that receives a command, if any; 0.2% of the commands are lost.
    fn reachable_worker(&mut self, name: &Name) -> Option<usize> {
        let i = self.index[name];
        let lost = self.rng.random_bool(0.002);
        (self.workers[i].reachable && !self.workers[i].crashed && !lost).then_some(i)
    }

    fn commit(&mut self, decision: Decision) {
        self.log.push((self.now(), Entry::Commit(decision.clone())));
        let name = decision.job().clone();
        self.send(Message::Committed(decision));
        let outcome = self.planner.outcome(&name).cloned();
        let job = self.jobs.get_mut(&name).unwrap();
        assert!(
            job.outcome.is_none() || job.outcome == outcome,
            "{name} got a second, different outcome"
        );
        if job.outcome.is_none() && outcome == Some(Outcome::Done) {
            self.figures.done += 1;
        }
        job.outcome = outcome;
    }

    fn inject_trouble(&mut self) {
        let (progress, storm) =
            (self.step as f64 / self.steps as f64, self.trouble == Trouble::Storm);
        let is = |trouble| self.trouble == trouble || storm;
        let reached = |part: f64, after: f64| {
            let start = (part * self.steps as f64) as u64 + (after / STEP) as u64;
            self.step == start
        };
        let (mut crashed, mut isolated, mut returned) = (Vec::new(), Vec::new(), Vec::new());
        if is(Trouble::WorkerLoss) {
            crashed.extend(reached(0.25, 0.0).then_some(2));
            returned.extend(reached(0.25, 180.0).then_some(2));
            isolated.extend(reached(0.6, 0.0).then_some(5));
            returned.extend(reached(0.6, 180.0).then_some(5));
        }
        if is(Trouble::RackLoss) && reached(0.4, 0.0) {
            crashed.extend([3, 4, 5]);
        }
        if is(Trouble::RackLoss) && reached(0.4, 300.0) {
            returned.extend([3, 4, 5]);
        }
        if is(Trouble::Rotten) {
            for i in [1, 7] {
                self.workers[i].faulty = (0.3..0.7).contains(&progress);
            }
        }
        let burst = is(Trouble::Noise) && self.step.is_multiple_of(3_600);
        let cancels = is(Trouble::Cancels) && self.step.is_multiple_of(2_400);
        let failover = is(Trouble::Failover) && self.step.is_multiple_of(4_800);
        for i in crashed {
            self.workers[i].crashed = true;
            let worker = &mut self.workers[i];
            for task in std::mem::take(&mut worker.tasks).into_values() {
                self.figures.lost += task.done - task.checkpoint.done as f64;
            }
            worker.ended.clear();
            self.report_loss(i);
        }
        for i in isolated {
            self.workers[i].reachable = false;
            self.report_loss(i);
        }
        for i in returned {
            self.workers[i].crashed = false;
            self.workers[i].reachable = true;
            self.send(Message::Worker(self.workers[i].info.clone()));
            self.send_quick(i);
            for report in std::mem::take(&mut self.unsent[i]) {
                self.send(Message::Report(report));
            }
        }
        if burst {
            for kind in self.truth.noisiest(3) {
                for _ in 0..10 {
                    self.submit(kind, false);
                }
            }
        }
        if cancels {
            let open = self.jobs.iter().filter(|(_, j)| j.outcome.is_none() && !j.spec.standing);
            let open: Vec<Name> = open.map(|(name, _)| name.clone()).collect();
            for job in open {
                if self.rng.random_bool(0.25) {
                    self.log.push((self.now(), Entry::Cancel(job.clone())));
                    self.send(Message::Cancel { job: job.clone() });
                    self.send(Message::Cancel { job });
                }
            }
        }
        if failover {
            self.fail_over();
        }
    }

    /// Reports a worker as lost after 3 s, the time in which control detects it.
    fn report_loss(&mut self, i: usize) {
        let worker = self.workers[i].info.name.clone();
        let silent = Span::secs(3);
        self.send_later(12, Message::Lost { silent, worker });
    }

    /// Replaces the planner by a new one that starts from the last committed summary and replays the
    /// log. Proposals that were not committed are lost.
    fn fail_over(&mut self) {
        self.figures.counts = add(self.figures.counts, self.planner.counts());
        self.planner = Planner::new(self.settings.clone());
        self.effects.clear();
        if let Some((at, summary)) = self.learned.clone() {
            self.send(Message::Learned { age: self.now().since(at), summary });
        }
        let survives = |m: &Message| !matches!(m, Message::Committed(_) | Message::Rejected(_));
        self.queue.retain(|_, message| survives(message));
        self.announce();
        for (at, entry) in &self.log {
            let message = match entry {
                Entry::Cancel(job) => Message::Cancel { job: job.clone() },
                Entry::Commit(decision) => Message::Committed(decision.clone()),
                Entry::Submit(spec) => Message::Submit(spec.clone()),
            };
            let effects = self.planner.step(*at, message);
            assert!(effects.is_empty(), "the planner emitted effects during the replay");
        }
        // The previous planner has already counted what the replay counts again.
        let replayed = self.planner.counts();
        self.figures.counts = subtract(self.figures.counts, replayed);
        self.send(Message::Lead);
        self.repeat_reports();
    }

    /// Reports the running tasks of all reachable workers again, as agents do with the next heartbeat,
    /// within 0.5 s.
    fn repeat_reports(&mut self) {
        let mut reports = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.reachable && !worker.crashed) {
            reports.extend(worker.tasks.iter().map(|(job, task)| {
                let worker = worker.info.name.clone();
                let target = Target { fence: task.fence, job: job.clone(), worker };
                Report { event: Event::Started, target }
            }));
        }
        for report in reports {
            self.send_later(2, Message::Report(report));
        }
    }

    fn submit_arrivals(&mut self) {
        let cores = self.company.cores as f64 * WORKERS as f64;
        let quick = self.company.quick_cores;
        let busy = 0.45 * WORKERS as f64 * (quick[0].1 + quick[1].1 / 2.0);
        let kinds = &self.truth.kinds;
        let mean = |k: &truth::Kind| {
            let cores = k.declared.cores as f64 / 1_000.0 * k.factors.0;
            cores * k.run * 1.08
        };
        let work = kinds.iter().map(mean).sum::<f64>() / KINDS as f64;
        let rate = DEMAND * (cores - busy) / work * STEP;
        let count = Poisson::new(rate).unwrap().sample(&mut self.rng) as u64;
        for _ in 0..count {
            let kind = self.rng.random_range(0..KINDS);
            let urgent = self.rng.random_bool(0.02);
            // Urgent jobs use the kinds with the smallest declared size.
            self.submit(if urgent { kind / 3 * 3 } else { kind }, urgent);
        }
    }

    fn submit(&mut self, kind: usize, urgent: bool) {
        let rng = &mut self.rng;
        let hidden = Hidden::draw(&self.truth, kind, rng.random_bool(0.01), rng);
        let truth = &self.truth.kinds[kind];
        let mut size = truth.declared;
        if rng.random_bool(0.05) {
            size.accelerators = 1;
        }
        if rng.random_bool(0.003) {
            size.cores = self.company.cores * 4_000;
        }
        let gang = rng.random_bool(0.03) && !urgent && size.accelerators == 0;
        let centres = self.company.centres;
        let home = rng.random_range(0..centres.len() + 1);
        let spec = Spec {
            estimate: Span::secs(truth.run as u64),
            gang: if gang { rng.random_range(2..=4) } else { 1 },
            home: centres.get(home).map(|c| Name::new(c).unwrap()),
            kind: truth.name.clone(),
            name: Name::new(&format!("job-{}", self.jobs.len())).unwrap(),
            priority: rng.random_range(0..3),
            shop: Name::new(self.company.name).unwrap(),
            size,
            standing: false,
            team: Name::new(&format!("team-{}", rng.random_range(0..TEAMS))).unwrap(),
            urgent,
        };
        self.add_job(spec, hidden);
    }

    /// Submits a watch: a small standing job that never completes.
    fn submit_watch(&mut self, i: usize) {
        let name = Name::new(&format!("watch-{i}")).unwrap();
        let spec = Spec {
            estimate: Span::secs(1_000_000),
            gang: 1,
            home: None,
            kind: Name::new("watch").unwrap(),
            name,
            priority: 9,
            shop: Name::new(self.company.name).unwrap(),
            size: Size::new(500, 500, 0),
            standing: true,
            team: Name::new("team-0").unwrap(),
            urgent: false,
        };
        let hidden = Hidden { kind: 0, cores: 0.1, memory: 200.0, work: 1e12, doomed: false };
        self.add_job(spec, hidden);
    }

    fn add_job(&mut self, spec: Spec, hidden: Hidden) {
        self.figures.jobs += 1;
        let name = spec.name.clone();
        self.jobs.insert(
            name,
            JobTruth {
                hidden,
                spec: spec.clone(),
                submitted: self.step,
                best: 0.0,
                started: false,
                outcome: None,
            },
        );
        self.log.push((self.now(), Entry::Submit(spec.clone())));
        self.send(Message::Submit(spec));
    }

    /// Difference between the number of jobs without an outcome and the planner's number of open jobs.
    pub fn unaccounted(&self) -> usize {
        let open = self.jobs.values().filter(|job| job.outcome.is_none()).count();
        open.abs_diff(self.planner.open())
    }
}
