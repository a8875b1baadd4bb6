//! Runs all variants, loads and faults, and prints tables of the results.

use std::thread;

use super::model::{FAULT_AT, Model, WARM_UP, mean_service};
use super::{Chooser, Company, Fault, Outcome, RUNNERS, Run, SLOTS, Variant};
use crate::core::{Moment, Span};
use crate::routing::Tuning;

const COMPANIES: [Company; 2] = [
    Company {
        name: "albuquerque-neto",
        centres: 3,
        link: Span::millis(4),
        client: Span::millis(1),
    },
    Company { name: "klopca", centres: 4, link: Span::millis(3), client: Span::millis(3) },
];

/// The request path as the daemon runs it.
fn default_variant() -> Variant {
    let tuning = Tuning::default();
    Variant { name: "toucangrade", chooser: Chooser::Routing, limits: true, budget: true, tuning }
}

fn variants() -> [Variant; 5] {
    let default_variant = default_variant();
    [
        default_variant,
        Variant { name: "random choice", chooser: Chooser::Random, ..default_variant },
        Variant { name: "least loaded", chooser: Chooser::LeastLoaded, ..default_variant },
        Variant { name: "retry at once", budget: false, ..default_variant },
        Variant { name: "no early refusal", limits: false, ..default_variant },
    ]
}

/// Offered loads in percent of the capacity.
const LOADS: [u64; 6] = [50, 80, 100, 150, 200, 300];

const FAULTS: [Fault; 6] = [
    Fault::AgentCrash,
    Fault::AgentIsolated,
    Fault::Leaving,
    Fault::RunnerCrash,
    Fault::RunnerErrors,
    Fault::RunnerSlow,
];

/// Scope of a benchmark.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of seeds of each run; they are 1 to this number.
    pub seeds: u64,
    /// Simulated duration of each run in seconds.
    pub seconds: u64,
    /// Whether the baseline variants run as well.
    pub baselines: bool,
    /// Whether only the scenarios of slow start and link cost run.
    pub routing: bool,
}

/// Runs the benchmark and prints the tables of each company.
pub fn run(plan: Plan) {
    let variants = variants();
    let variants = if plan.baselines { &variants[..] } else { &variants[..1] };
    println!("mean service time {:.1} ms", mean_service() / 1_000.0);
    for company in COMPANIES {
        let base = |variant| Run {
            company,
            variant,
            load: 100,
            batch: 0,
            fault: Fault::None,
            seed: 1,
            from: WARM_UP,
            length: Span::secs(plan.seconds),
            skew: 0,
        };
        if plan.routing {
            compare_slow_start(plan, base(default_variant()));
            compare_link_costs(plan, base(default_variant()));
            continue;
        }
        println!("\n## {} (quick only; ms; useful in answers a second)", company.name);
        println!(
            "{:17} {:>5} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>8} {:>7}",
            "variant",
            "load",
            "p50",
            "p99",
            "p99.9",
            "useful",
            "peak%",
            "spread",
            "refused%",
            "retries"
        );
        for &variant in variants {
            let runs = LOADS.map(|load| run_seeds(plan, Run { load, ..base(variant) }));
            let useful = |o: &[Outcome]| mean(o.iter().map(|o| rate(plan, o)));
            let peak = runs.iter().map(|o| useful(o)).fold(0.0, f64::max);
            for (load, outcomes) in LOADS.iter().zip(&runs) {
                let rates: Vec<f64> = outcomes.iter().map(|o| rate(plan, o)).collect();
                let low = rates.iter().copied().fold(f64::MAX, f64::min);
                let high = rates.iter().copied().fold(0.0, f64::max);
                print!("{:17} {:>4}% ", variant.name, load);
                print_latencies(outcomes);
                println!(
                    " {:>7.0} {:>6.1} {:>6.0} {:>8.1} {:>7.3}",
                    useful(outcomes),
                    useful(outcomes) / peak * 100.0,
                    high - low,
                    mean(outcomes.iter().map(|o| percentage(o.refused, o.offered))),
                    mean(outcomes.iter().map(retries)),
                );
            }
        }
        println!("\n## {}: 3% batch requests of 2 s beside quick ones", company.name);
        println!(
            "{:17} {:>5} {:>7} {:>7} {:>7} {:>7} {:>9}",
            "variant", "load", "p50", "p99", "p99.9", "in time%", "batch%"
        );
        for &variant in &variants[..1] {
            // Batch requests use about twice as much runner time as the quick ones.
            for load in [20, 40, 80, 150] {
                let outcomes = run_seeds(plan, Run { load, batch: 30, ..base(variant) });
                print!("{:17} {:>4}% ", variant.name, load);
                print_latencies(&outcomes);
                println!(
                    " {:>7.1} {:>9.1}",
                    mean(outcomes.iter().map(|o| percentage(o.useful, o.offered))),
                    mean(outcomes.iter().map(|o| percentage(o.batch_done, o.batch_offered))),
                );
            }
        }
        println!("\n## {}: one of 11 runners fails at 60% load", company.name);
        println!(
            "{:17} {:15} {:>10} {:>10} {:>9} {:>8} {:>8}",
            "variant", "fault", "last start", "last call", "in time%", "unknown", "bad for"
        );
        for &variant in variants {
            for fault in FAULTS {
                let outcomes = run_seeds(plan, Run { load: 60, fault, ..base(variant) });
                let worst = |get: fn(&Outcome) -> Span| {
                    outcomes.iter().map(|o| get(o).as_millis()).max().unwrap_or(0)
                };
                println!(
                    "{:17} {:15} {:>7} ms {:>7} ms {:>9.2} {:>8} {:>5} ms",
                    variant.name,
                    format!("{fault:?}"),
                    worst(|o| o.last_start),
                    worst(|o| o.last_call),
                    mean(outcomes.iter().map(|o| percentage(o.useful, o.offered))),
                    outcomes.iter().map(|o| o.unknown).sum::<u64>() / plan.seeds,
                    outcomes.iter().map(degraded_ms).max().unwrap_or(0),
                );
            }
        }
    }
}

/// Compares runs with and without slow start while a runner restarts with cold caches.
fn compare_slow_start(plan: Plan, base: Run) {
    println!("\n## {}: a runner restarts, the 10 s from its return", base.company.name);
    println!(
        "{:15} {:>6} {:>5} {:>7} {:>7} {:>7} {:>9} {:>7}",
        "slow start", "down", "load", "p50", "p99", "p99.9", "in time%", "unknown"
    );
    for down in [1_000, 4_500].map(Span::millis) {
        for load in [60, 80, 95] {
            for slow_start in [0, 10].map(Span::secs) {
                let tuning = Tuning { slow_start, ..Tuning::default() };
                let from = FAULT_AT.since(Moment::START) + down;
                let variant = Variant { tuning, ..base.variant };
                let (fault, length) = (Fault::RunnerRestart { down }, from + Span::secs(10));
                let run = Run { load, variant, fault, from, length, ..base };
                let outcomes = run_seeds(plan, run);
                let name = format!("{} s", slow_start.as_millis() / 1_000);
                print!("{:15} {:>3} ms {:>4}% ", name, down.as_millis(), load);
                print_latencies(&outcomes);
                println!(
                    " {:>9.2} {:>7}",
                    mean(outcomes.iter().map(|o| percentage(o.useful, o.offered))),
                    outcomes.iter().map(|o| o.unknown).sum::<u64>() / plan.seeds,
                );
            }
        }
    }
}

/// Compares the percentage of calls to other data centres with and without an added link cost.
fn compare_link_costs(plan: Plan, base: Run) {
    println!("\n## {}: requests to other data centres", base.company.name);
    println!(
        "{:15} {:>5} {:>5} {:>7} {:>7} {:>7} {:>9} {:>8}",
        "link", "load", "skew", "p50", "p99", "p99.9", "in time%", "across%"
    );
    let tuning = Tuning::default();
    for skew in [0, 30] {
        for load in [30, 50, 80, 95] {
            for (name, tuning) in [
                ("measured", tuning),
                ("measured+20 ms", Tuning { link_cost: Span::millis(20), ..tuning }),
            ] {
                let variant = Variant { tuning, ..base.variant };
                let outcomes = run_seeds(plan, Run { variant, load, skew, ..base });
                print!("{name:15} {load:>4}% {skew:>4}% ");
                print_latencies(&outcomes);
                println!(
                    " {:>9.2} {:>8.1}",
                    mean(outcomes.iter().map(|o| percentage(o.useful, o.offered))),
                    mean(outcomes.iter().map(|o| percentage(o.across, o.calls))),
                );
            }
        }
    }
}

/// Milliseconds from the fault to the end of the last 100 ms interval in which more than 5% of the
/// requests were not answered in time.
fn degraded_ms(outcome: &Outcome) -> u64 {
    let fault = super::model::FAULT_AT.as_micros() / 100_000;
    let bad = outcome.series.iter().enumerate().skip(fault as usize);
    let last =
        bad.filter(|(_, (offered, useful))| useful * 20 < offered * 19).map(|(n, _)| n).next_back();
    last.map_or(0, |n| (n as u64 + 1 - fault) * 100)
}

/// Runs all seeds in parallel, each in a thread.
fn run_seeds(plan: Plan, run: Run) -> Vec<Outcome> {
    let runs = (1..=plan.seeds).map(|seed| Run { seed, ..run });
    let threads: Vec<_> = runs.map(|run| thread::spawn(move || Model::new(run).run())).collect();
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}

/// Prints the median, 99th and 99.9th percentile of all runs in milliseconds.
fn print_latencies(outcomes: &[Outcome]) {
    let mut all: Vec<u64> = outcomes.iter().flat_map(|o| o.latencies.iter().copied()).collect();
    all.sort_unstable();
    for permille in [500, 990, 999] {
        let micros = all.get(all.len() * permille / 1_000).copied().unwrap_or(0);
        print!(" {:>7.1}", micros as f64 / 1_000.0);
    }
}

/// Useful quick requests per second after the warm-up.
fn rate(plan: Plan, outcome: &Outcome) -> f64 {
    outcome.useful as f64 / (plan.seconds as f64 - WARM_UP.as_micros() as f64 / 1e6)
}

/// Mean number of calls beyond the first per admitted request.
fn retries(outcome: &Outcome) -> f64 {
    outcome.calls as f64 / outcome.begun.max(1) as f64 - 1.0
}

/// `part` as a percentage of `whole`.
fn percentage(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Total capacity of the runners in quick requests per second, which is the 100% of the loads.
#[must_use]
pub fn capacity() -> f64 {
    (RUNNERS * u64::from(SLOTS)) as f64 / mean_service() * 1e6
}
