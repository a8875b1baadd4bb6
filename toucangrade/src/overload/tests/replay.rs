//! Filling jobs on runners whose lasting tasks leave them a share of the cores that swings.

use std::fmt;

use super::*;

/// Simulated time step in ms.
const STEP: u64 = 100;
/// Length of a replay in ms, and of the time in which jobs arrive.
const LENGTH: u64 = 90_000;
const ARRIVALS: u64 = 60_000;
/// Millicores of a task, its time in ms at full speed, tasks of a step and steps of a job.
const CORES: f64 = 3_500.0;
const TASK: f64 = 2_200.0;
const WIDTH: usize = 20;
const DEPTH: usize = 2;
const RUNNERS: usize = 60;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Rule {
    Before,
    Limit,
    /// With admission, which refuses what would end after this multiple of its objective.
    Admit(f64),
}

/// Load on a service.
#[derive(Clone, Copy)]
pub(super) struct Pattern {
    /// Jobs per second.
    pub(super) rate: f64,
    /// Factor of the rate for 4 s of each 20 s.
    pub(super) burst: f64,
    /// Time in ms in which nothing is accepted, from 20 s on; all callers come back at its end.
    pub(super) outage: u64,
    /// From 20 s on, each runner of this many is gone; 0 for none.
    pub(super) lost: usize,
    /// Whether the jobs have three sizes.
    pub(super) mixed: bool,
}

impl Pattern {
    pub(super) fn calm() -> Self {
        Self { rate: 1.3, burst: 1.0, outage: 0, lost: 0, mixed: false }
    }
}

#[derive(Default)]
pub(super) struct Outcome {
    pub(super) timely: u32,
    pub(super) late: u32,
    pub(super) worthless: u32,
    pub(super) refused: u32,
    /// Median time of a job in ms.
    pub(super) median: u64,
    /// Time in ms after the end of the outage or of the burst at 20 s until 5 s begin in which 0.9 of
    /// the rate before is served in time.
    pub(super) regained: u64,
    /// Jobs that were served with value.
    pub(super) served: BTreeSet<u64>,
    pub(super) turned: BTreeSet<u64>,
}

impl fmt::Debug for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { timely, late, worthless, refused, median, regained, .. } = self;
        write!(f, "in time {timely}, late {late}, without value {worthless}, refused {refused}, ")?;
        write!(f, "median {median} ms, back after {regained} ms")
    }
}

impl Outcome {
    /// Fraction of the jobs that were served, of those whose id modulo 10 is one of `digits`.
    pub(super) fn share(&self, digits: &[u64]) -> f64 {
        let own = |id: &&u64| digits.contains(&(**id % 10));
        let all = (1..=u64::from(self.jobs())).collect::<Vec<_>>();
        let served = self.served.iter().filter(own).count();
        served as f64 / all.iter().filter(own).count().max(1) as f64
    }

    pub(super) fn jobs(&self) -> u32 {
        self.timely + self.late + self.worthless + self.refused
    }

    /// A late job keeps a seventh of its value.
    pub(super) fn value(&self) -> f64 {
        f64::from(self.timely) + f64::from(self.late) / 7.0
    }
}

struct Run {
    runner: usize,
    since: u64,
    speed: f64,
    done: f64,
}

struct Job {
    id: u64,
    since: u64,
    /// Open tasks of the current step, and those that wait.
    open: usize,
    waiting: usize,
    step: usize,
    width: usize,
    runs: Vec<Run>,
}

impl Job {
    fn work(&self) -> f64 {
        let left = self.open + (DEPTH - 1 - self.step) * self.width;
        let done: f64 = self.runs.iter().map(|run| run.done).sum();
        (left as f64 * TASK - done) * CORES
    }

    fn chain(&self) -> f64 {
        let least = self.runs.iter().map(|run| run.done).fold(TASK, f64::min);
        let least = if self.waiting > 0 { 0.0 } else { least };
        (DEPTH - self.step) as f64 * TASK - least
    }

    fn started(&self) -> bool {
        self.step > 0 || self.waiting < self.width
    }
}

/// Millicores that the lasting tasks of a runner leave: two tasks on average, swinging by half
/// within 14 s.
fn left(runner: usize, now: u64) -> f64 {
    let phase = now as f64 / 14_000.0 + runner as f64 / 7.0;
    2.2 * CORES * (1.0 + 0.5 * (phase * std::f64::consts::TAU).sin())
}

struct Service {
    pattern: Pattern,
    rule: Rule,
    now: u64,
    jobs: Vec<Job>,
    overload: Overload,
    /// Mean time of a task as the rule counts it.
    mean: f64,
    /// Time of each job until its end, and the end.
    times: BTreeMap<u64, (u64, u64)>,
    refused: BTreeSet<u64>,
    next: u64,
    due: f64,
}

/// Tasks of a step by size: a tenth of the jobs is large, and a fifth of medium size.
fn width(id: u64) -> usize {
    match id % 10 {
        0 => 3 * WIDTH,
        3 | 7 => 2 * WIDTH,
        _ => WIDTH,
    }
}

fn objective(task: f64) -> f64 {
    2.0 * DEPTH as f64 * task + 1_000.0
}

impl Service {
    fn gone(&self, runner: usize) -> bool {
        let lost = self.pattern.lost;
        self.now >= 20_000 && lost > 0 && runner.is_multiple_of(lost)
    }

    fn arrive(&mut self) {
        let burst = if self.now % 20_000 < 4_000 { self.pattern.burst } else { 1.0 };
        if self.now < ARRIVALS {
            self.due += self.pattern.rate * burst * STEP as f64 / 1_000.0;
        }
        let out = (20_000..20_000 + self.pattern.outage).contains(&self.now);
        while !out && self.due >= 1.0 {
            self.due -= 1.0;
            self.next += 1;
            let (id, since, runs) = (self.next, self.now, Vec::new());
            let width = if self.pattern.mixed { width(id) } else { WIDTH };
            let job = Job { id, since, open: width, waiting: width, step: 0, width, runs };
            if self.refuses(&job) {
                self.refused.insert(id);
                continue;
            }
            self.jobs.push(job);
        }
    }

    fn is_late(&self, job: &Job) -> bool {
        let age = (self.now - job.since) as f64;
        (age > objective(self.mean) || self.overload.is_doomed(job.id))
            && !self.overload.is_next(job.id)
    }

    /// Runs tasks for one step of time. A runner's pacing serves jobs on time first.
    fn work(&mut self) {
        let mut left: Vec<f64> = (0..RUNNERS).map(|at| left(at, self.now)).collect();
        let late: Vec<bool> = self.jobs.iter().map(|job| self.is_late(job)).collect();
        for turn in [false, true] {
            for (job, _) in self.jobs.iter_mut().zip(&late).filter(|(_, late)| **late == turn) {
                for run in &mut job.runs {
                    run.speed = (left[run.runner] / CORES).min(1.0);
                    left[run.runner] -= run.speed * CORES;
                    run.done += run.speed * STEP as f64;
                }
            }
        }
        let now = self.now;
        for job in &mut self.jobs {
            let before = job.runs.len();
            for run in job.runs.iter().filter(|run| run.done >= TASK) {
                self.overload.record_end(Moment::START + Span::millis(now));
                let took = if self.rule == Rule::Before { (now - run.since) as f64 } else { TASK };
                self.mean += 0.02 * (took - self.mean);
            }
            job.runs.retain(|run| run.done < TASK);
            job.open -= before - job.runs.len();
            if job.open == 0 {
                job.step += 1;
                (job.open, job.waiting) = (job.width, job.width);
            }
        }
        self.jobs.retain(|job| {
            if job.step == DEPTH {
                self.times.insert(job.id, (now - job.since, now));
            }
            job.step < DEPTH
        });
    }

    fn lose(&mut self) {
        let gone: Vec<bool> = (0..RUNNERS).map(|runner| self.gone(runner)).collect();
        for job in &mut self.jobs {
            let before = job.runs.len();
            job.runs.retain(|run| !gone[run.runner]);
            job.waiting += before - job.runs.len();
        }
    }

    fn decide(&mut self) {
        let mut usage = Usage::default();
        for job in &self.jobs {
            for run in &job.runs {
                let settled = self.now - run.since >= 1_200;
                let used = (if settled { run.speed } else { HALF_SPEED } * CORES) as u64;
                usage.used += used;
                if settled && !self.is_late(job) {
                    usage.runs += 1;
                    usage.timely += used;
                    usage.asked += CORES as u64;
                }
            }
        }
        let jobs: Vec<Backlog> = self.jobs.iter().map(|job| self.backlog(job)).collect();
        let jobs = BTreeMap::from([(pool(), jobs)]);
        let usage = BTreeMap::from([(pool(), usage)]);
        self.overload.decide(Moment::START + Span::millis(self.now), &usage, jobs);
    }

    fn backlog(&self, job: &Job) -> Backlog {
        let (age, objective) = (self.now - job.since, objective(self.mean));
        let (id, started, left) = (job.id, job.started(), objective - age as f64);
        let (work, chain, age) = (job.work(), job.chain(), Span::millis(age));
        let (priority, next, size) = (2, false, job.width as u64);
        Backlog { id, priority, objective, started, next, size, work, chain, left, age }
    }

    fn refuses(&mut self, job: &Job) -> bool {
        let Rule::Admit(factor) = self.rule else { return false };
        let mut backlog = self.backlog(job);
        backlog.objective *= factor / VALUE_FACTOR;
        let now = Moment::START + Span::millis(self.now);
        self.overload.admit(now, &pool(), backlog, 0.0).is_some()
    }

    /// Starts tasks on the runners that leave most for them, as the order of the rule has it.
    fn place(&mut self) {
        if self.rule != Rule::Before {
            self.decide();
        }
        let mut free: Vec<f64> = (0..RUNNERS).map(|at| left(at, self.now)).collect();
        for run in self.jobs.iter().flat_map(|job| &job.runs) {
            free[run.runner] -= CORES;
        }
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|&at| {
            let job = &self.jobs[at];
            let expired = (self.now - job.since) as f64 > 3.0 * objective(self.mean);
            let turn = self.overload.turn(job.id, job.started());
            let work = job.open + (DEPTH - 1 - job.step) * job.width;
            (expired, self.is_late(job), turn, work, job.since, job.id)
        });
        let again = order.clone();
        for at in order.into_iter().chain(again) {
            let least = self.overload.least_speed(self.jobs[at].id);
            self.overload.relax(self.jobs[at].id);
            while self.jobs[at].waiting > 0 {
                let open = (0..RUNNERS).filter(|runner| !self.gone(*runner));
                let best = open.max_by(|a, b| free[*a].total_cmp(&free[*b]));
                let Some(runner) = best.filter(|at| free[*at] >= least * CORES) else { break };
                free[runner] -= CORES;
                let run = Run { runner, since: self.now, speed: 0.0, done: 0.0 };
                self.jobs[at].runs.push(run);
                self.jobs[at].waiting -= 1;
            }
        }
    }
}

fn pool() -> (Arc<str>, Kind) {
    ("pool".into(), Kind::Filling)
}

pub(super) fn play(pattern: &Pattern, rule: Rule) -> Outcome {
    let enabled = rule != Rule::Before;
    let overload = Overload { enabled, ..Overload::default() };
    let (jobs, times) = (Vec::new(), BTreeMap::new());
    let (mean, refused) = (TASK, BTreeSet::new());
    let (pattern, now, next, due) = (*pattern, 0, 0, 0.0);
    let mut service =
        Service { pattern, rule, now, jobs, overload, mean, times, refused, next, due };
    while service.now < LENGTH {
        service.arrive();
        service.lose();
        service.place();
        service.now += STEP;
        service.work();
    }
    service.outcome()
}

impl Service {
    fn outcome(self) -> Outcome {
        let target = objective(TASK);
        let within = |factor: f64| {
            let ends =
                self.times.iter().filter(move |(_, (took, _))| *took as f64 <= factor * target);
            ends.map(|(id, (_, end))| (*id, *end))
        };
        let rate = |from: u64, to: u64| {
            let ends = within(1.0).filter(|(_, end)| (from..to).contains(end)).count();
            ends as f64 / (to - from) as f64
        };
        let over = 20_000 + if self.pattern.outage > 0 { self.pattern.outage } else { 4_000 };
        let (goal, spans) = (0.9 * rate(10_000, 20_000), (over..LENGTH).step_by(STEP as usize));
        let regained = spans.clone().find(|at| rate(*at, at + 5_000) >= goal).unwrap_or(LENGTH);
        let (timely, valued) = (within(1.0).count() as u32, within(VALUE_FACTOR).count() as u32);
        let mut took: Vec<u64> = self.times.values().map(|(took, _)| *took).collect();
        took.sort_unstable();
        let refused = self.refused.len() as u32;
        Outcome {
            timely,
            late: valued - timely,
            worthless: self.next as u32 - valued - refused,
            refused,
            median: took.get(took.len() / 2).copied().unwrap_or_default(),
            regained: regained - over,
            served: within(VALUE_FACTOR).map(|(id, _)| id).collect(),
            turned: self.refused,
        }
    }
}
