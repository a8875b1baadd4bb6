//! Replay of placement in simulated time: the same draws of jobs are placed with and without the
//! look-ahead. Runners start what they are ordered to at once, and the log commits at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Lookahead;
use crate::core::{Moment, Name, Span};
use crate::dispatch::{
    ClientRequest, Dispatch, Doubts, Effect, EndedRun, Message, Orders, Report, RunStatus, Runner,
    Verb,
};
use crate::jobs::{Configuration, End, Incarnation, Need, Queue, RunKey, Service, Step};

const SERVICE: &str = "atelier";
/// Kinds of jobs, each with a queue of its own.
pub(super) const KINDS: [&str; 4] = ["small", "wide", "lasting", "gang"];
/// Granularity of simulated time.
const STEP: Span = Span::millis(20);
/// Interval between two reports of an agent without news.
const REPORT_EVERY: Span = Span::millis(500);

/// Jobs of a replay; rates are per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) small: f64,
    pub(super) wide: f64,
    pub(super) lasting: f64,
    pub(super) gang: f64,
    /// Seconds for which a lasting job runs.
    pub(super) life: f64,
    /// Cores of the runners.
    pub(super) runners: &'static [u64],
    pub(super) secs: u64,
}

/// What is drawn for a job.
struct Drawn {
    kind: usize,
    at: Moment,
    steps: Vec<Step>,
    /// Durations of the tasks of its step.
    durations: Vec<Span>,
    cancelled: Option<Moment>,
    /// When each task was first started.
    starts: Vec<Option<Moment>>,
}

struct Live {
    began: Moment,
    end: Option<Moment>,
}

/// A runner with its agent.
struct Machine {
    agent: Name,
    incarnation: Incarnation,
    capacity: Need,
    seq: u64,
    runs: BTreeMap<RunKey, Live>,
    ended: Vec<EndedRun>,
    ends: u64,
    /// Ticket of the report that waits for an answer.
    ticket: u64,
    reported: Moment,
    news: bool,
}

/// Results of a replay.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// Waits of all jobs of each kind until their last task started, in ms, in ascending order.
    pub(super) waits: BTreeMap<&'static str, Vec<u64>>,
    /// Mean share of the capacity that was free while a job waited, in percent.
    pub(super) idle: f64,
    /// Greatest share of the capacity that was idle for reservations, in percent.
    pub(super) reserved: f64,
    /// Reservations made.
    pub(super) made: usize,
}

impl Outcome {
    /// Wait within which `percent` percent of the jobs of a kind started.
    pub(super) fn wait(&self, kind: &str, percent: usize) -> u64 {
        let Some(waits) = self.waits.get(kind).filter(|waits| !waits.is_empty()) else { return 0 };
        waits[(waits.len() * percent / 100).min(waits.len() - 1)]
    }
}

impl Outcome {
    /// Adds the results of another seed.
    pub(super) fn merge(&mut self, other: Self) {
        for (kind, waits) in other.waits {
            let own = self.waits.entry(kind).or_default();
            own.extend(waits);
            own.sort_unstable();
        }
        self.idle += other.idle;
        self.reserved = self.reserved.max(other.reserved);
        self.made += other.made;
    }
}

pub(super) struct Replay {
    dispatch: Dispatch,
    now: Moment,
    index: u64,
    ticket: u64,
    machines: Vec<Machine>,
    jobs: Vec<Drawn>,
    orders: Vec<(u64, Orders)>,
    gauges: BTreeMap<&'static str, u64>,
}

fn need(millicores: u64) -> Need {
    Need { millicores, memory: millicores * 2, accelerators: 0 }
}

fn draw(load: &Load, seed: u64) -> Vec<Drawn> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let rates = [load.small, load.wide, load.lasting, load.gang];
    for (kind, rate) in rates.into_iter().enumerate().filter(|(_, rate)| *rate > 0.0) {
        let mut at = 0.5;
        loop {
            at += -rng.random::<f64>().max(1e-9).ln() / rate;
            if at >= load.secs as f64 {
                break;
            }
            let (count, cores) = match kind {
                0 => (10, rng.random_range(600..1_600)),
                1 => (rng.random_range(20..57), rng.random_range(600..1_600)),
                2 => (rng.random_range(1..4), rng.random_range(6_000..20_000)),
                _ => (rng.random_range(4..12), rng.random_range(2_000..5_000)),
            };
            let lasting = kind == 2;
            let mut took = || {
                let slow = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
                let mean = if kind == 3 { 2.0 } else { 0.6 };
                Span::micros((mean * 1e6 * slow * rng.random_range(0.5..1.5)) as u64)
            };
            let mut durations: Vec<Span> = (0..count).map(|_| took()).collect();
            if kind == 3 {
                durations = vec![durations[0]; count as usize];
            }
            let step = Step {
                count,
                need: need(cores),
                estimate: Span::millis(600),
                gang: kind == 3,
                lasting,
                target: if lasting { 100 } else { 0 },
                ..Step::default()
            };
            let end = |at: f64| Moment::micros((at * 1e6) as u64);
            let cancelled = lasting.then(|| end(at + load.life * rng.random_range(0.5..1.5)));
            let starts = vec![None; count as usize];
            let (at, steps) = (end(at), vec![step]);
            jobs.push(Drawn { kind, at, steps, durations, cancelled, starts });
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

impl Replay {
    pub(super) fn new(load: &Load, seed: u64, lookahead: Lookahead) -> Self {
        let mut replay = Self {
            dispatch: Dispatch::new().with_lookahead_state(lookahead),
            now: Moment::micros(1),
            index: 0,
            ticket: 0,
            machines: Vec::new(),
            jobs: draw(load, seed),
            orders: Vec::new(),
            gauges: BTreeMap::new(),
        };
        replay.send(Message::Tick { wall: 0 });
        replay.send(Message::Lead { leading: true });
        let queue = |kind: &&str| Queue {
            name: (*kind).into(),
            host: "shop".into(),
            prefix: format!("/{kind}/").into(),
            service: SERVICE.into(),
            priority: 0,
            attempts: 3,
            stretch: 1.5,
            objective: Span::secs(2),
            timeout: Span::secs(3),
        };
        let setup = Configuration {
            version: 1,
            queues: KINDS.iter().map(queue).collect(),
            services: vec![Service { name: SERVICE.into(), guarded: true, standby: false }],
            source: "{}".into(),
        };
        replay.ask("", Verb::Configure(Arc::new(setup)), None);
        for (at, cores) in load.runners.iter().enumerate() {
            let agent = Name::new(&format!("10.0.0.{at}")).expect("a valid name");
            let runner = Name::new(&format!("i-{at}")).expect("a valid name");
            replay.machines.push(Machine {
                agent,
                incarnation: Incarnation { runner, born: 1 },
                capacity: Need { memory: cores * 4_000, ..need(cores * 1_000) },
                seq: 0,
                runs: BTreeMap::new(),
                ended: Vec::new(),
                ends: 0,
                ticket: 0,
                reported: Moment::START,
                news: true,
            });
        }
        replay
    }

    fn send(&mut self, message: Message) {
        let mut queue = self.dispatch.step(self.now, message);
        while !queue.is_empty() {
            for effect in std::mem::take(&mut queue) {
                match effect {
                    Effect::Propose { ticket, commands } => {
                        self.index += 1;
                        let (index, ticket) = (self.index, Some(ticket));
                        let message = Message::Commit { index, ticket, commands, bytes: 0 };
                        queue.extend(self.dispatch.step(self.now, message));
                    },
                    Effect::Orders { ticket, orders: Some(orders) } => {
                        self.orders.push((ticket, *orders));
                    },
                    Effect::Gauge { name, value } => drop(self.gauges.insert(name, value)),
                    Effect::Count { .. }
                    | Effect::Orders { .. }
                    | Effect::Reply { .. }
                    | Effect::Snapshot { .. } => {},
                }
            }
        }
    }

    fn ask(&mut self, path: &str, verb: Verb, job: Option<u64>) {
        self.ticket += 1;
        let request = ClientRequest { host: "shop".into(), path: path.into(), job, verb };
        self.send(Message::Request { ticket: self.ticket, request: Box::new(request) });
    }

    fn report(&mut self, at: usize) {
        self.ticket += 1;
        let (now, machine) = (self.now, &mut self.machines[at]);
        machine.seq += 1;
        (machine.ticket, machine.reported, machine.news) = (self.ticket, now, false);
        let row = |(key, live): (&RunKey, &Live)| {
            let ran = now.since(live.began).as_micros();
            let whole = live.end.map(|end| end.since(live.began).as_micros());
            let percent = whole.map_or(100, |whole| (ran * 100 / whole.max(1)).min(99) as u8);
            RunStatus { key: *key, saved: None, percent, figure: 10, share: 100 }
        };
        let runner = Runner {
            incarnation: machine.incarnation.clone(),
            service: SERVICE.into(),
            centre: "a".into(),
            labels: vec!["a".into(), "r1".into()],
            capacity: machine.capacity,
            draining: false,
            cold: Span::ZERO,
            clock: now.as_micros() / 1_000,
        };
        let report = Report {
            agent: machine.agent.clone(),
            incarnation: 1,
            seq: machine.seq,
            runner: Some(runner),
            rows: machine.runs.iter().map(row).collect(),
            handling: Vec::new(),
            stopping: Vec::new(),
            ended: machine.ended.clone(),
            denied: Vec::new(),
            silent: Span::ZERO,
            gone: false,
            amnesia: false,
            doubts: Doubts::default(),
        };
        self.send(Message::Report { ticket: self.ticket, report: Box::new(report) });
    }

    fn obey(&mut self) {
        for (ticket, orders) in std::mem::take(&mut self.orders) {
            let Some(machine) = self.machines.iter_mut().find(|m| m.ticket == ticket) else {
                continue;
            };
            machine.news = true;
            machine.ended.retain(|ended| ended.number > orders.noted);
            for start in orders.starts {
                let job = &mut self.jobs[start.key.task.job as usize];
                let task = usize::from(start.key.task.index);
                job.starts[task].get_or_insert(self.now);
                let end = job.cancelled.is_none().then(|| self.now + job.durations[task]);
                machine.runs.entry(start.key).or_insert(Live { began: self.now, end });
            }
            for key in orders.stops {
                machine.end(key, End::Stopped);
            }
        }
    }

    /// Runs all jobs.
    pub(super) fn run(mut self, load: &Load) -> Outcome {
        let capacity: u64 = load.runners.iter().sum::<u64>() * 1_000;
        let (mut outcome, mut idle, mut samples, mut next) = (Outcome::default(), 0.0, 0.0, 0);
        let end = Moment::START + Span::secs(load.secs);
        let mut count = 0;
        while self.now < end {
            self.now = self.now + STEP;
            while self.jobs.get(next).is_some_and(|job| job.at <= self.now) {
                let (path, steps) = (self.path(next), self.jobs[next].steps.clone());
                let verb = Verb::Submit { spec: "".into(), steps, schedule: None };
                self.ask(&path, verb, Some(next as u64));
                next += 1;
            }
            for job in 0..next {
                if self.jobs[job].cancelled.is_some_and(|at| at <= self.now) {
                    self.jobs[job].cancelled = Some(Moment::micros(u64::MAX));
                    self.ask(&self.path(job), Verb::Cancel, Some(job as u64));
                }
            }
            for at in 0..self.machines.len() {
                let (now, machine) = (self.now, &mut self.machines[at]);
                let over = |live: &Live| live.end.is_some_and(|end| end <= now);
                let ended: Vec<RunKey> =
                    machine.runs.iter().filter(|(_, l)| over(l)).map(|(k, _)| *k).collect();
                ended.into_iter().for_each(|key| machine.end(key, End::Done));
                if machine.news || now.since(machine.reported) >= REPORT_EVERY {
                    self.report(at);
                }
            }
            if self.now.as_micros() / 100_000 > (self.now - STEP).as_micros() / 100_000 {
                self.send(Message::Tick { wall: self.now.as_micros() / 1_000 });
            }
            self.obey();
            let waiting = |job: &Drawn| job.starts.iter().any(Option::is_none);
            if self.jobs[..next].iter().any(waiting) {
                let free: u64 = self.machines.iter().map(|machine| self.free(machine)).sum();
                (idle, samples) = (idle + free as f64, samples + 1.0);
            }
            let gauge = |name| self.gauges.get(name).copied().unwrap_or(0);
            outcome.made += usize::from(gauge("reservations") > count);
            count = gauge("reservations");
            let reserved = gauge("reserved_idle_millicores") as f64 * 100.0 / capacity as f64;
            outcome.reserved = outcome.reserved.max(reserved);
        }
        outcome.idle = idle * 100.0 / (capacity as f64 * f64::max(samples, 1.0));
        for job in &self.jobs[..next] {
            let start = job.starts.iter().map(|start| start.unwrap_or(end)).max();
            let wait = start.map_or(0, |start| start.since(job.at).as_millis());
            outcome.waits.entry(KINDS[job.kind]).or_default().push(wait);
        }
        outcome.waits.values_mut().for_each(|waits| waits.sort_unstable());
        outcome
    }

    fn path(&self, job: usize) -> String {
        format!("/{}/{job:016x}", KINDS[self.jobs[job].kind])
    }

    fn free(&self, machine: &Machine) -> u64 {
        let used = machine
            .runs
            .keys()
            .map(|key| self.jobs[key.task.job as usize].steps[0].need.millicores);
        machine.capacity.millicores.saturating_sub(used.sum())
    }
}

impl Machine {
    fn end(&mut self, key: RunKey, end: End) {
        if self.runs.remove(&key).is_some() {
            self.ends += 1;
            self.ended.push(EndedRun { number: self.ends, key, end, saved: None });
            self.news = true;
        }
    }
}
