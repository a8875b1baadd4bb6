//! Replay of a loaded day in simulated time with the real ranking, learning and pacing: lasting tasks
//! with a swinging load and hidden pressures between images, whose figures are late and coarse.

use std::f64::consts::TAU;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::health::Trust;
use super::super::place::{Candidate, Constraints, Ranking};
use super::*;
use crate::pacing::Pacing;
use crate::pressure::{AIM_PERCENT, Headroom, Sample, Serving, Table};

/// Length of a tick; figures are averages over ten of them.
const TICK_MS: u64 = 50;
const WINDOW: usize = 10;
const DAY_TICKS: u64 = 90_000 / TICK_MS;
/// Objective of a filling job; after three times this it has no value.
const OBJECTIVE_MS: u64 = 10_000;
const TASKS: u16 = 20;
const TASK_SECONDS: f64 = 2.2;
const TASK_CORES: u64 = 3_500;

/// A task on a runner.
struct SimulatedTask {
    profile: RunProfile,
    need: Need,
    /// Time from which it runs, and full-speed seconds of work left.
    begins: u64,
    left: f64,
    /// Share in force, and later ones with the time from which they are.
    share: f64,
    shares: Vec<(u64, f64)>,
    /// Latency in ms or used millicores in the last ticks, newest last.
    window: Vec<f64>,
    figure: u32,
}

/// A runner with its agent.
struct SimulatedRunner {
    name: Name,
    cores: u64,
    tasks: BTreeMap<RunKey, SimulatedTask>,
    pacing: Pacing,
    /// Version of its pressure table, and when that was sent.
    version: (u64, u64),
}

/// A job whose two steps follow each other.
struct SimulatedJob {
    image: Arc<str>,
    from: u64,
    /// Tasks that wait, with the full-speed seconds of work left, and the number that are open.
    waiting: Vec<(RunKey, f64)>,
    open: u16,
    idle: u64,
    last: bool,
}

/// Hidden truth about the images.
struct Truth {
    /// Load that a filling image adds for a serving one if it uses all cores.
    pressures: BTreeMap<(Arc<str>, Arc<str>), f64>,
    /// Latency without load in ms and phase of the load by serving image.
    serving: Vec<(Arc<str>, f64, f64)>,
    filling: Vec<Arc<str>>,
}

/// What a day gave.
#[derive(Debug, Default)]
struct Outcome {
    /// Task-seconds over the target because of filling tasks.
    over: f64,
    /// Core-seconds of filling work done.
    done: f64,
    /// Filling jobs: all, and those that ended in time or late.
    jobs: [u32; 3],
    /// Shares sent to runners.
    orders: u64,
}

impl Outcome {
    /// What callers gain from filling jobs, less what they lose on lasting ones: a job in time counts
    /// 12, a late one a seventh, and a task-second over its target 0.33.
    fn worth(&self) -> f64 {
        12.0 * (f64::from(self.jobs[1]) + f64::from(self.jobs[2]) / 7.0) - 0.33 * self.over
    }
}

struct Replay {
    rng: SmallRng,
    truth: Truth,
    /// Filling jobs per second.
    rate: f64,
    runners: Vec<SimulatedRunner>,
    jobs: BTreeMap<u64, SimulatedJob>,
    learner: Learner,
    next: u64,
    outcome: Outcome,
}

impl Truth {
    fn new(rng: &mut SmallRng) -> Self {
        let mut pressures = BTreeMap::new();
        let image = |kind: &str, index: u32| -> Arc<str> { format!("{kind}-{index}").into() };
        let serving = (0..10).map(|index| {
            let base = f64::from(rng.random_range(2..=10_u32));
            (image("serving", index), base, rng.random_range(0.0..TAU))
        });
        let serving: Vec<_> = serving.collect();
        let filling: Vec<_> = (0..18).map(|index| image("filling", index)).collect();
        let sensitivities: Vec<f64> = (0..10).map(|_| rng.random_range(0.5..1.0)).collect();
        for (index, filling) in filling.iter().enumerate() {
            let strength = if index < 11 { rng.random_range(1.0..4.0) } else { 0.03 };
            for ((serving, ..), sensitivity) in serving.iter().zip(&sensitivities) {
                let pressure: f64 = strength * sensitivity * rng.random_range(0.7..1.4);
                let key = (Arc::clone(serving), Arc::clone(filling));
                pressures.insert(key, pressure.min(4.5));
            }
        }
        Self { pressures, serving, filling }
    }
}

impl Replay {
    /// A day with so many filling jobs a second.
    fn new(seed: u64, rate: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let truth = Truth::new(&mut rng);
        let runner = |index: u64| SimulatedRunner {
            name: name(&format!("runner-{index}")),
            cores: if index.is_multiple_of(3) { 48_000 } else { 32_000 },
            tasks: BTreeMap::new(),
            pacing: Pacing::default(),
            version: (0, 0),
        };
        let (runners, learner) = ((0..36).map(runner).collect(), Learner::default());
        let (jobs, outcome) = (BTreeMap::new(), Outcome::default());
        Self { rng, truth, rate, runners, jobs, learner, next: 0, outcome }
    }

    fn play(mut self) -> Outcome {
        let mut lasting: Vec<u64> = (0..12).map(|_| self.add_lasting(0)).collect();
        for tick in 1..=DAY_TICKS {
            let ms = tick * TICK_MS;
            if tick.is_multiple_of(180) {
                let gone = lasting.remove(self.rng.random_range(0..lasting.len()));
                for runner in &mut self.runners {
                    runner.tasks.retain(|key, _| key.task.job != gone);
                }
                lasting.push(self.add_lasting(ms));
            }
            if self.rng.random_bool(self.rate * 0.001 * TICK_MS as f64) {
                self.add_job(ms);
            }
            for index in 0..self.runners.len() {
                let ended = self.run(index, ms);
                if ended || (tick + index as u64).is_multiple_of(WINDOW as u64) {
                    self.report(index, ms);
                }
            }
            if tick.is_multiple_of(2) {
                self.place(ms);
            }
        }
        self.outcome
    }

    fn add_lasting(&mut self, ms: u64) -> u64 {
        let (image, base, _) = &self.truth.serving[self.rng.random_range(0..10)];
        let need = Need { millicores: 6_400, memory: 13_000, accelerators: 0 };
        let target = (5.0 * base) as u64;
        let image = Some(Arc::clone(image));
        let step = Step { count: 14, need, lasting: true, target, image, ..Step::default() };
        self.next += 1;
        let job = self.next;
        let mut candidates = self.candidates(ms);
        for index in 0..14 {
            let key = RunKey { task: TaskKey { job, round: 0, step: 0, index }, run: 1 };
            let mut waiting = vec![(key, f64::INFINITY)];
            self.start(ms, &mut candidates, &step, &mut waiting, false);
        }
        job
    }

    fn add_job(&mut self, ms: u64) {
        self.next += 1;
        let image = Arc::clone(&self.truth.filling[self.rng.random_range(0..18)]);
        let waiting = tasks(self.next, 0);
        let (open, idle) = (TASKS, ms);
        let job = SimulatedJob { image, from: ms, waiting, open, idle, last: false };
        self.jobs.insert(self.next, job);
        self.outcome.jobs[0] += 1;
    }

    /// Runs the tasks of a runner for a tick; returns whether one has ended.
    fn run(&mut self, index: usize, ms: u64) -> bool {
        let runner = &mut self.runners[index];
        let cores = runner.cores as f64;
        let seconds = ms as f64 / 1_000.0;
        let own = |image: &str| {
            let known = self.truth.serving.iter().find(|(name, ..)| **name == *image);
            let (_, base, phase) = known.expect("a serving image");
            (*base, 0.45 * (1.0 + 0.5 * (seconds * TAU / 14.0 + phase).sin()))
        };
        let (mut wanted, mut busy) = (0.0, 0.0);
        for task in runner.tasks.values_mut() {
            while task.shares.first().is_some_and(|(from, _)| *from <= ms) {
                task.share = task.shares.remove(0).1;
            }
            let image = task.profile.image.as_deref().unwrap_or_default();
            if !task.profile.fills {
                busy += own(image).1 * task.need.millicores as f64;
            } else if task.begins <= ms {
                wanted += task.share * TASK_CORES as f64;
            }
        }
        let speed = ((cores - busy) / f64::max(wanted, 1.0)).min(1.0);
        let used = |task: &SimulatedTask| f64::from(task.begins <= ms) * task.share * speed;
        let filling = runner.tasks.values().filter(|task| task.profile.fills);
        let filling = filling.map(|task| {
            let image = Arc::clone(task.profile.image.as_ref().expect("an image"));
            (image, used(task) * TASK_CORES as f64 / cores)
        });
        let filling: Vec<_> = filling.collect();
        let mut ended = Vec::new();
        for (key, task) in &mut runner.tasks {
            let image = task.profile.image.clone().unwrap_or_default();
            let value = if task.profile.fills {
                let speed = used(task);
                task.left -= speed * 0.001 * TICK_MS as f64;
                self.outcome.done += speed * 3.5 * 0.001 * TICK_MS as f64;
                if task.left <= 0.0 {
                    ended.push(*key);
                }
                speed * TASK_CORES as f64
            } else {
                let pressure = |filling: &Arc<str>| {
                    self.truth.pressures[&(Arc::clone(&image), Arc::clone(filling))]
                };
                let (base, own) = own(&image);
                let added: f64 = filling.iter().map(|(name, used)| pressure(name) * used).sum();
                let load = (own + added).min(0.98);
                self.outcome.over += f64::from(load > 0.8) * 0.001 * TICK_MS as f64;
                base / (1.0 - load)
            };
            task.window.push(value);
            if task.window.len() > WINDOW {
                task.window.remove(0);
            }
            let mean = task.window.iter().sum::<f64>() / task.window.len() as f64;
            task.figure = if task.begins + 100 > ms { 0 } else { mean.round() as u32 };
        }
        for key in &ended {
            self.runners[index].tasks.remove(key);
            self.end(*key, ms);
        }
        !ended.is_empty()
    }

    fn end(&mut self, key: RunKey, ms: u64) {
        let Some(job) = self.jobs.get_mut(&key.task.job) else { return };
        job.open -= 1;
        if job.open > 0 {
            return;
        }
        if job.last {
            let age = ms - job.from;
            let kind = if age <= OBJECTIVE_MS { 1 } else { 2 };
            self.outcome.jobs[kind] += u32::from(age <= 3 * OBJECTIVE_MS);
            self.jobs.remove(&key.task.job);
        } else {
            (job.last, job.open, job.idle) = (true, TASKS, ms);
            job.waiting = tasks(key.task.job, 1);
        }
    }

    /// Has the leader learn from a listing of a runner, and its agent pace the tasks.
    fn report(&mut self, index: usize, ms: u64) {
        let runner = &mut self.runners[index];
        let now = Moment::START + Span::millis(ms);
        let mut sample = Sample::default();
        let (mut rows, mut profiles) = (Vec::new(), BTreeMap::new());
        for (key, task) in &runner.tasks {
            let image = task.profile.image.clone().unwrap_or_default();
            if task.profile.fills {
                let used = f64::from(task.figure) / runner.cores as f64;
                sample.filling.push((*key, image, used));
            } else {
                let (figure, target) = (u64::from(task.figure), task.profile.target);
                sample.serving.push(Serving { key: *key, image, figure, target });
            }
            let (figure, share) = (task.figure, runner.pacing.share_of(*key));
            rows.push(RunStatus { key: *key, saved: None, percent: 50, figure, share });
            profiles.insert(*key, task.profile.clone());
        }
        self.learner.observe(now, &runner.name, sample);
        let (version, sent) = runner.version;
        if version != self.learner.version && ms >= sent + 1_500 {
            runner.version = (self.learner.version, ms);
            runner.pacing.set_table(Table::clone(&self.learner.table));
        }
        let late = |key: &&RunKey| {
            self.jobs.get(&key.task.job).is_some_and(|job| ms - job.from > OBJECTIVE_MS)
        };
        runner.pacing.set_late(runner.tasks.keys().filter(late).copied().collect());
        let sent = runner.pacing.step(now, runner.cores, &rows, &profiles);
        self.outcome.orders += sent.len() as u64;
        for (key, share) in sent {
            if let Some(task) = runner.tasks.get_mut(&key) {
                task.shares.push((ms + 100, f64::from(share) / 100.0));
            }
        }
    }

    /// Places the waiting tasks of all jobs in the order of their urgency, and moves slow ones.
    fn place(&mut self, ms: u64) {
        let order = self.jobs.iter().map(|(id, job)| {
            let late = (ms - job.from) / OBJECTIVE_MS;
            (late.min(3), job.open + TASKS * u16::from(!job.last), *id)
        });
        let mut order: Vec<_> = order.collect();
        order.sort_unstable();
        let mut candidates = self.candidates(ms);
        for (_, _, id) in order {
            let job = &self.jobs[&id];
            let step = filling_step(Arc::clone(&job.image));
            let trial = usize::from(job.open) == job.waiting.len() && ms - job.idle >= 1_500;
            let mut waiting = job.waiting.clone();
            let limit = if trial { 1 } else { waiting.len() };
            if let Some((key, left)) = self.slowest(id, ms, &mut candidates, &step) {
                waiting.push((key, left));
            }
            let rest = waiting.split_off(limit.max(1).min(waiting.len()));
            self.start(ms, &mut candidates, &step, &mut waiting, trial);
            waiting.extend(rest);
            self.jobs.get_mut(&id).expect("the job").waiting = waiting;
        }
    }

    /// Stops a slow run of a job that would be much faster on another runner.
    fn slowest(
        &mut self,
        job: u64,
        ms: u64,
        candidates: &mut [Candidate],
        step: &Step,
    ) -> Option<(RunKey, f64)> {
        let table = Arc::clone(&self.learner.table);
        let constraints = Constraints::plain(step, SERVICE, &table);
        let tasks =
            self.runners.iter().enumerate().flat_map(|(at, runner)| {
                runner.tasks.iter().map(move |(key, task)| (task, at, *key))
            });
        let slow = tasks.filter(|(task, _, key)| {
            let speed = f64::from(task.figure) / TASK_CORES as f64;
            key.task.job == job && ms >= task.begins + 1_300 && speed < 0.4
        });
        let (task, at, key) = slow.min_by_key(|(task, _, key)| (task.figure, *key))?;
        let speed = f64::from(task.figure) / TASK_CORES as f64;
        let ranking = Ranking::new(candidates, constraints, vec![0; candidates.len()]);
        let best = ranking.best(candidates, None)?;
        if best == at || candidates[best].speed(&table, step) < speed + 0.4 {
            return None;
        }
        let left = task.left + 0.5 * speed;
        self.runners[at].tasks.remove(&key);
        Some((key, left))
    }

    /// The runners as the leader sees them.
    fn candidates(&self, ms: u64) -> Vec<Candidate> {
        let table = &self.learner.table;
        let candidates = self.runners.iter().map(|runner| {
            let capacity = Need { millicores: runner.cores, memory: 125_000, accelerators: 0 };
            let mut candidate = Candidate {
                agent: runner.name.clone(),
                incarnation: Incarnation { runner: runner.name.clone(), born: 1 },
                service: SERVICE.into(),
                labels: Vec::new(),
                capacity,
                free: capacity,
                filling: 0,
                reserved: 0,
                serving: 0,
                headroom: Headroom::default(),
                limits: BTreeMap::new(),
                allocated: false,
                settling: false,
                slowness: 100,
                trust: Trust::Full,
                reachable: true,
                warm: true,
                starts: None,
                claims: Vec::new(),
            };
            let (mut serving, mut used, mut asked) = (Vec::new(), Vec::new(), Vec::new());
            for (key, task) in &runner.tasks {
                candidate.free.remove(&task.need);
                let image = task.profile.image.clone().unwrap_or_default();
                if task.profile.fills {
                    candidate.filling += task.profile.cores;
                    candidate.settling |= ms < task.begins + 1_500;
                    used.push((Arc::clone(&image), f64::from(task.figure) / runner.cores as f64));
                    asked.push((image, task.profile.cores as f64 / runner.cores as f64));
                } else {
                    candidate.reserved += task.need.millicores;
                    candidate.serving += 1;
                    let (figure, target) = (u64::from(task.figure), task.profile.target);
                    serving.push(Serving { key: *key, image, figure, target });
                }
            }
            candidate.headroom = Headroom::new(table, AIM_PERCENT, serving.iter(), &used);
            for (image, asked) in asked {
                candidate.headroom.spend(table, &image, asked);
            }
            candidate
        });
        candidates.collect()
    }

    /// Starts as many of the waiting tasks of a step as there is room for.
    fn start(
        &mut self,
        ms: u64,
        candidates: &mut [Candidate],
        step: &Step,
        waiting: &mut Vec<(RunKey, f64)>,
        trial: bool,
    ) {
        let table = Arc::clone(&self.learner.table);
        let constraints = Constraints { trial, ..Constraints::plain(step, SERVICE, &table) };
        let mut ranking = Ranking::new(candidates, constraints, vec![0; candidates.len()]);
        waiting.retain(|&(key, left)| {
            let Some(at) = ranking.best(candidates, None) else { return true };
            ranking.allocate(candidates, at);
            let (image, cores) = (step.image.clone(), step.need.millicores);
            let profile = RunProfile { image, cores, target: step.target, fills: step.fills };
            let runner = &mut self.runners[at];
            let share = runner.pacing.admit(key, &profile);
            self.outcome.orders += u64::from(share.is_some());
            let shares = share.map(|share| (ms + 200, f64::from(share) / 100.0));
            let begins = ms + 100 + 900 * u64::from(step.fills && left < TASK_SECONDS);
            let task = SimulatedTask {
                profile,
                need: step.counted(),
                begins,
                left,
                share: 1.0,
                shares: shares.into_iter().collect(),
                window: Vec::new(),
                figure: 0,
            };
            runner.tasks.insert(key, task);
            false
        });
    }
}

fn tasks(job: u64, step: u16) -> Vec<(RunKey, f64)> {
    let key = |index| RunKey { task: TaskKey { job, round: 0, step, index }, run: 1 };
    (0..TASKS).map(|index| (key(index), TASK_SECONDS)).collect()
}

fn filling_step(image: Arc<str>) -> Step {
    let need = Need { millicores: TASK_CORES, memory: 6_400, accelerators: 0 };
    Step { count: 20, need, fills: true, image: Some(image), ..Step::default() }
}

#[test]
#[ignore = "prints the figures of several replays, to compare rules"]
fn print_replays() {
    let seeds: Vec<u64> = (1..=8).collect();
    let outcomes: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
        let part = |at: usize| seeds.iter().copied().skip(at).step_by(4);
        let play = |seed| (seed, Replay::new(seed, if seed % 2 == 0 { 1.48 } else { 2.2 }).play());
        let threads: Vec<_> =
            (0..4).map(|at| scope.spawn(move || part(at).map(play).collect::<Vec<_>>())).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("an outcome")).collect()
    });
    let mut sum = [0.0; 6];
    for (seed, o) in outcomes {
        println!("{seed}: {:.0} {o:.0?}", o.worth());
        let part = [o.worth(), o.over, o.done, o.jobs[1] as f64, o.jobs[2] as f64, o.orders as f64];
        sum.iter_mut().zip(part).for_each(|(s, p)| *s += p / 8.0);
    }
    println!("mean worth, over, done, in time, late, orders {sum:.0?}");
}
