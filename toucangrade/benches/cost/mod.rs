//! Measures the cost of placement decisions as the number of workers and tasks grows.

use std::collections::VecDeque;
use std::time::Instant;

use toucangrade::placement::{
    Checkpoint, Decision, Effect, Event, Instance, Latency, Message, Planner, QuickTask, Report,
    Settings, Size, Spec, Target, Usage,
};
use toucangrade::{Moment, Name, Span};

/// Numbers of workers, quick tasks and batch tasks of each measured size; the last is the target size.
const SIZES: [(usize, usize, usize); 6] = [
    (11, 50, 84),
    (131, 594, 1_000),
    (525, 2_375, 4_000),
    (1_050, 4_750, 8_000),
    (2_100, 9_500, 16_000),
    (4_200, 19_000, 32_000),
];
/// Number of starts measured at each size.
const STARTS: usize = 5_800;
/// Starts per tick of 250 ms at 290 per second.
const STARTS_PER_TICK: usize = 72;
const TEAMS: usize = 96;
const KINDS: usize = 40;

struct Bench {
    planner: Planner,
    now: Moment,
    /// Running batch tasks, the earliest started first.
    started: VecDeque<Target>,
    submitted: usize,
}

impl Bench {
    fn new(workers: usize, quick: usize) -> Self {
        let mut bench = Self {
            planner: Planner::new(Settings::throughput()),
            now: Moment::micros(1_000_000),
            started: VecDeque::new(),
            submitted: 0,
        };
        for i in 0..workers {
            bench.send(Message::Worker(Instance {
                centre: Name::new(&format!("centre-{}", i % 6)).unwrap(),
                name: worker(i),
                rack: Name::new(&format!("rack-{}", i / 3)).unwrap(),
                size: Size::new(64_000, 250_000, (i % 5 * 2 / 2) as u64),
            }));
            let count = quick / workers + usize::from(i < quick % workers);
            let tasks = (0..count).map(|k| QuickTask {
                kind: Name::new(&format!("quick-{k}")).unwrap(),
                load: 0.4,
                service: Name::new("service").unwrap(),
                shop: Name::new("klopca").unwrap(),
                size: Size::new(2_000, 2_000, 0),
            });
            bench.send(Message::Quick { tasks: tasks.collect(), worker: worker(i) });
        }
        bench.send(Message::Lead);
        bench
    }

    /// Passes a message to the planner, commits its proposals, and reports its starts as started.
    fn send(&mut self, message: Message) {
        let mut effects = self.planner.step(self.now, message);
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Propose(
                        decision @ (Decision::Assign { .. } | Decision::Finish { .. }),
                    ) => {
                        next.extend(self.planner.step(self.now, Message::Committed(decision)));
                    },
                    Effect::Start { target, .. } => {
                        self.started.push_back(target.clone());
                        let event = Event::Started;
                        let report = Message::Report(Report { event, target });
                        next.extend(self.planner.step(self.now, report));
                    },
                    _ => {},
                }
            }
            effects = next;
        }
    }

    fn submit(&mut self) {
        let n = self.submitted;
        self.submitted += 1;
        let cores = [500, 1_000, 2_000, 3_000][n % 4];
        self.send(Message::Submit(Spec {
            estimate: Span::secs(300),
            gang: 1,
            home: None,
            kind: Name::new(&format!("kind-{}", n % KINDS)).unwrap(),
            name: Name::new(&format!("job-{n}")).unwrap(),
            priority: 0,
            shop: Name::new("klopca").unwrap(),
            size: Size::new(cores, 2_000, u64::from(n.is_multiple_of(10))),
            standing: false,
            team: Name::new(&format!("team-{}", n % TEAMS)).unwrap(),
            urgent: false,
        }));
    }

    fn report(&mut self, target: Target, event: Event) {
        self.send(Message::Report(Report { event, target }));
    }

    fn tick(&mut self) {
        self.now = self.now + Span::millis(250);
        self.send(Message::Tick);
    }
}

fn worker(i: usize) -> Name {
    Name::new(&format!("worker-{i}")).unwrap()
}

/// Measures all sizes, and prints the results and their slopes.
pub(crate) fn run() {
    println!(
        "{:>7} {:>6} {:>10} {:>8} {:>10} {:>10} {:>14}",
        "workers", "tasks", "start us", "tick us", "usage us", "latency us", "core at 290/s"
    );
    let mut points = Vec::new();
    for (workers, quick, batch) in SIZES {
        let (running, start, tick, usage, latency) = measure(workers, quick, batch);
        // Each worker reports its usage, and the latency of each of its quick tasks, every 5 s.
        let core = (290.0 * start
            + 4.0 * tick
            + usage * workers as f64 / 5.0
            + latency * quick as f64 / 5.0)
            / 1e6;
        println!(
            "{workers:7} {:6} {start:10.1} {tick:8.0} {usage:10.2} {latency:10.2} {core:14.4}",
            quick + running
        );
        points.push((workers as f64, start, core));
    }
    let slope = |pick: fn(&(f64, f64, f64)) -> f64| {
        let n = points.len() as f64;
        let x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let y = points.iter().map(pick).sum::<f64>() / n;
        let xy: f64 = points.iter().map(|p| (p.0 - x) * (pick(p) - y)).sum();
        let xx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        xy / xx * 1_000.0
    };
    println!("slope for 1,000 workers: {:.2} us a start", slope(|p| p.1));
    println!("slope for 1,000 workers: {:.4} of a core", slope(|p| p.2));
}

/// Returns the number of running batch tasks, and the microseconds of a start (from submission to the
/// end of its job), an idle tick, a usage report and a latency report.
fn measure(workers: usize, quick: usize, batch: usize) -> (usize, f64, f64, f64, f64) {
    let mut bench = Bench::new(workers, quick);
    while bench.started.len() < batch && bench.submitted < batch * 2 {
        for _ in 0..STARTS_PER_TICK {
            bench.submit();
        }
        bench.tick();
    }
    let begun = Instant::now();
    let ticks = 40;
    for _ in 0..ticks {
        bench.tick();
    }
    let tick = begun.elapsed().as_secs_f64() * 1e6 / f64::from(ticks);
    let before = bench.planner.counts().assigned;
    let begun = Instant::now();
    for _ in 0..STARTS / STARTS_PER_TICK {
        for _ in 0..STARTS_PER_TICK {
            if let Some(target) = bench.started.pop_front() {
                let checkpoint = Checkpoint::default();
                let done = 1;
                bench.report(target.clone(), Event::Progress { checkpoint, done });
                bench.report(target, Event::Finished);
            }
            bench.submit();
        }
        bench.tick();
    }
    let spent = begun.elapsed().as_secs_f64() * 1e6 - tick * (STARTS / STARTS_PER_TICK) as f64;
    let start = spent / (bench.planner.counts().assigned - before).max(1) as f64;
    let running = bench.started.len();
    let (usage, latency) = measure_reports(&mut bench, workers);
    (running, start, tick, usage, latency)
}

/// Returns the microseconds of a usage report and of a latency report.
fn measure_reports(bench: &mut Bench, workers: usize) -> (f64, f64) {
    bench.now = bench.now + Span::secs(20);
    let (from, until) = (Span::secs(10), Span::secs(5));
    let count = 2_000;
    let mut running = vec![Vec::new(); workers];
    for target in &bench.started {
        let index: usize = target.worker.as_str()[7..].parse().unwrap();
        running[index].push((target.job.clone(), target.fence, Size::new(400, 900, 0)));
    }
    let usages = (0..count).map(|i| {
        Message::Usage(Usage {
            from,
            jobs: running[i % workers].clone(),
            quick: Vec::new(),
            until,
            worker: worker(i % workers),
        })
    });
    let usages: Vec<_> = usages.collect();
    let begun = Instant::now();
    for usage in usages {
        bench.send(usage);
    }
    let usage = begun.elapsed().as_secs_f64() * 1e6 / count as f64;
    let latencies = (0..count).map(|i| {
        Message::Latency(Latency {
            from,
            kind: Name::new("quick-0").unwrap(),
            ratio: 1.1,
            service: Name::new("service").unwrap(),
            until,
            worker: worker(i % workers),
        })
    });
    let latencies: Vec<_> = latencies.collect();
    let begun = Instant::now();
    for latency in latencies {
        bench.send(latency);
    }
    (usage, begun.elapsed().as_secs_f64() * 1e6 / count as f64)
}
