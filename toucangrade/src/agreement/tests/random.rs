//! Randomised runs with fixed seeds.

use rstest::rstest;

use crate::agreement::random_run::random_run;

struct RunCase {
    seed: u64,
    steps: u64,
}

/// Guards against sequences of faults that violate an invariant of the log.
#[rstest]
#[case::first(RunCase { seed: 1, steps: 150_000 })]
#[case::second(RunCase { seed: 2, steps: 150_000 })]
#[case::third(RunCase { seed: 3, steps: 150_000 })]
#[case::fourth(RunCase { seed: 4, steps: 150_000 })]
fn random_runs_keep_the_invariants(#[case] case: RunCase) {
    let report = random_run(case.seed, case.steps);
    println!("{report:?}");
    assert!(report.acknowledged > 1_000 && report.reads > 1_000, "{report:?}");
    assert!(report.terms > 10 && report.crashes > 10, "{report:?}");
    assert!(report.installs > 0 && report.replaced > 0, "{report:?}");
}
