//! Measures the placement policy against simpler ones on a simulation of each company's cluster, and the
//! cost of its decisions.
//!
//! `--seeds A..B` chooses the seeds, `--secs N` the simulated time, `--only TEXT` the lines whose
//! company, case or policy contain the text (repeatable, all must match), `--methods` compares the
//! estimators of interference, and `--cost` measures decisions at growing sizes instead.
//! `--tolerance`, `--hold` and `--caution` override these settings.

#![allow(missing_docs)]

mod cost;
mod fake;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use fake::truth::{ALBUQUERQUE, Company, KLOPCA};
use fake::{Fake, Figures, TROUBLES, Trouble};
use toucangrade::placement::{Method, Rank, Settings};

/// Number of threads for the runs, less than half of the machine's.
const THREADS: usize = 4;

/// A named change of the settings.
struct Policy {
    name: &'static str,
    settings: fn(Settings) -> Settings,
}

const POLICIES: [Policy; 4] = [
    Policy { name: "first-fit", settings: |s| s.baseline(Rank::FirstFit) },
    Policy { name: "least-loaded", settings: |s| s.baseline(Rank::LeastLoaded) },
    Policy { name: "ours-unlearned", settings: |s| s.method(None) },
    Policy { name: "ours", settings: |s| s },
];

/// Estimators of interference.
const METHODS: [Policy; 4] = [
    Policy { name: "one-slope", settings: |s| s.method(None) },
    Policy { name: "means", settings: |s| s.method(Some(Method::Means)) },
    Policy { name: "shrinkage", settings: |s| s.method(Some(Method::Shrinkage)) },
    Policy { name: "kalman", settings: |s| s.method(Some(Method::Kalman)) },
];

struct Options {
    seeds: std::ops::Range<u64>,
    /// Simulated time in seconds.
    secs: u64,
    methods: bool,
    cost: bool,
    only: Vec<String>,
    tolerance: Option<f64>,
    hold: Option<f64>,
    caution: Option<f64>,
}

fn options() -> Options {
    let mut options = Options {
        seeds: 1..11,
        secs: 3_600,
        methods: false,
        cost: false,
        only: Vec::new(),
        tolerance: None,
        hold: None,
        caution: None,
    };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--seeds" => {
                let value = args.next().expect("--seeds needs A..B");
                let (a, b) = value.split_once("..").expect("--seeds needs A..B");
                options.seeds =
                    a.parse().expect("expected a number")..b.parse().expect("expected a number");
            },
            "--secs" => {
                let value = args.next().expect("--secs needs a number");
                options.secs = value.parse().expect("expected a number");
            },
            "--only" => options.only.push(args.next().expect("--only needs a string")),
            "--tolerance" => options.tolerance = parse_number(args.next()),
            "--hold" => options.hold = parse_number(args.next()),
            "--caution" => options.caution = parse_number(args.next()),
            "--methods" => options.methods = true,
            "--cost" => options.cost = true,
            _ => {},
        }
    }
    options
}

fn parse_number(arg: Option<String>) -> Option<f64> {
    Some(arg?.parse().expect("expected a number"))
}

fn settings(company: &Company, options: &Options) -> Settings {
    let mut set =
        if company.name == KLOPCA.name { Settings::throughput() } else { Settings::latency() };
    set.tolerance = options.tolerance.unwrap_or(set.tolerance);
    set.hold = options.hold.unwrap_or(set.hold);
    set.caution = options.caution.unwrap_or(set.caution);
    set
}

fn main() {
    let options = options();
    if options.cost {
        cost::run();
        return;
    }
    let policies = if options.methods { &METHODS } else { &POLICIES };
    println!(
        "seeds {:?}, {} s simulated, demand 1.2 of the room left over",
        options.seeds, options.secs
    );
    println!(
        "{:17} {:11} {:15} {:>6} {:>6} {:>8} {:>8} {:>7} {:>6} {:>7} {:>6}",
        "company",
        "case",
        "policy",
        "p99",
        "work",
        "evict/k",
        "guard/k",
        "lost h",
        "urgent",
        "done",
        "thr/k"
    );
    for company in [ALBUQUERQUE, KLOPCA] {
        for trouble in TROUBLES {
            for policy in policies {
                let line = format!("{} {trouble:?} {}", company.name, policy.name);
                if !options.only.iter().all(|text| line.contains(text)) {
                    continue;
                }
                let set = (policy.settings)(settings(&company, &options));
                let figures = measure(&options, &set, company, trouble);
                print_figures(&company, trouble, policy.name, &figures);
            }
        }
    }
}

/// Runs all seeds and merges their measurements.
fn measure(options: &Options, set: &Settings, company: Company, trouble: Trouble) -> Figures {
    let seeds: Vec<u64> = options.seeds.clone().collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(&seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let fake = Fake::new(set.clone(), company, trouble, seed, options.secs);
                    let figures = fake.run();
                    results.lock().expect("a simulation thread panicked").push(figures);
                }
            });
        }
    });
    let mut results = results.into_inner().expect("a simulation thread panicked").into_iter();
    let mut sum = results.next().expect("--seeds is an empty range");
    for figures in results {
        sum.merge(&figures);
    }
    sum
}

fn print_figures(company: &Company, trouble: Trouble, policy: &str, figures: &Figures) {
    let done = figures.done.max(1) as f64;
    let per_thousand = |count: u64| count as f64 * 1_000.0 / done;
    println!(
        "{:17} {:11} {:15} {:6.3} {:6.3} {:8.2} {:8.2} {:7.2} {:6.2} {:7} {:6.0}",
        company.name,
        format!("{trouble:?}"),
        policy,
        figures.p99(),
        figures.work / figures.room,
        per_thousand(figures.counts.evicted),
        per_thousand(figures.counts.guarded),
        figures.lost / 3_600.0,
        figures.urgent.value_at_quantile(0.99) as f64 / 1_000.0,
        figures.done,
        per_thousand(figures.counts.throttled),
    );
}
