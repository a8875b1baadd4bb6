//! Randomised runs with fixed seeds.

mod script;

use rstest::rstest;

use super::*;

/// Steps of a run before its faults stop.
const STEPS: u64 = 40_000;
/// Number of seeds per case; the environment variable `TOUCANGRADE_SEEDS` overrides it.
const SEEDS: u64 = 10;

/// Runs one seed; panics on a violated invariant with the trace and the command that replays it.
fn run(seed: u64, steps: u64) -> Report {
    let report = try_run(seed, steps);
    report.unwrap_or_else(|violation| {
        panic!("{violation}; toucangrade_simulate --part requests --seed {seed} --steps {steps}")
    })
}

struct Case {
    first: u64,
}

/// Guards against violations of the invariants under random faults.
#[rstest]
#[case::one(Case { first: 1 })]
#[case::two(Case { first: 10_001 })]
#[case::three(Case { first: 20_001 })]
#[case::four(Case { first: 30_001 })]
fn random_faults_break_no_invariant(#[case] case: Case) {
    let count = std::env::var("TOUCANGRADE_SEEDS").map_or(SEEDS, |count| count.parse().unwrap());
    for seed in case.first..case.first + count {
        println!("{}", run(seed, STEPS));
    }
}

/// Guards against nondeterminism, which would make a failed seed impossible to replay.
#[test]
fn a_seed_gives_the_same_run() {
    assert_eq!(run(7, 20_000), run(7, 20_000));
}

/// Guards against a verdict of not-run from a restarted agent that gets a second copy of a start
/// message while the first copy ran under its previous incarnation.
#[test]
fn copy_of_a_start_reaches_a_restarted_agent() {
    run(20_024, STEPS);
}

/// Guards against a verdict of not-run that comes from a denial recorded before the order ran.
#[test]
fn denied_key_has_not_run() {
    run(30_029, STEPS);
}
