//! Tests of the runners' circuit breaker.

use rstest::rstest;

use super::super::health::{Health, Trust};
use super::*;

/// Outcome of a run, with the time at which the run began in ms.
#[derive(Clone, Copy)]
enum Outcome {
    /// The run failed.
    Failed(u64),
    /// The run is up or has succeeded.
    Worked(u64),
}

struct TrustCase {
    /// Outcomes, with their times in ms.
    outcomes: &'static [(u64, Outcome)],
    /// Expected trust at some times in ms.
    trust: &'static [(u64, Trust)],
}

const FAILS: (u64, Outcome) = (1_000, Outcome::Failed(0));

/// Guards against runners that stay barred long after a fault has gone, and against one fault that
/// counts several times because many runs fail with it.
#[rstest]
#[case::below_the_limit(TrustCase { outcomes: &[FAILS, FAILS], trust: &[(1_000, Trust::Full)] })]
#[case::success_between(TrustCase {
    outcomes: &[FAILS, FAILS, (1_000, Outcome::Worked(0)), FAILS], trust: &[(1_000, Trust::Full)],
})]
#[case::barred_then_tried(TrustCase {
    outcomes: &[FAILS, FAILS, FAILS],
    trust: &[(1_000, Trust::Barred), (2_000, Trust::LastResort), (3_000, Trust::Trial)],
})]
#[case::one_fault_counts_once(TrustCase {
    outcomes: &[FAILS, FAILS, FAILS, FAILS, FAILS, FAILS, FAILS, FAILS],
    trust: &[(3_000, Trust::Trial)],
})]
#[case::earlier_run_works(TrustCase {
    outcomes: &[FAILS, FAILS, FAILS, (1_200, Outcome::Worked(0))], trust: &[(1_200, Trust::Trial)],
})]
#[case::trial_works(TrustCase {
    outcomes: &[FAILS, FAILS, FAILS, (3_500, Outcome::Worked(3_000))],
    trust: &[(3_500, Trust::Full)],
})]
#[case::trial_fails(TrustCase {
    outcomes: &[FAILS, FAILS, FAILS, (3_500, Outcome::Failed(3_000))],
    trust: &[(3_500, Trust::Barred), (5_500, Trust::LastResort), (7_500, Trust::Trial)],
})]
#[case::trials_are_never_further_apart(TrustCase {
    outcomes: &[
        FAILS, FAILS, FAILS, (3_500, Outcome::Failed(3_000)), (8_000, Outcome::Failed(7_500)),
        (12_500, Outcome::Failed(12_000)),
    ],
    trust: &[(16_499, Trust::LastResort), (16_500, Trust::Trial)],
})]
fn trust_follows_task_outcomes(#[case] case: TrustCase) {
    let at = |millis: u64| Moment::micros(millis * 1_000);
    let mut health = Health::default();
    for &(now, seen) in case.outcomes {
        match seen {
            Outcome::Failed(began) => drop(health.record_failure(at(began), at(now))),
            Outcome::Worked(began) => drop(health.record_success(at(began), at(now))),
        }
    }
    for &(now, trust) in case.trust {
        assert_eq!(health.trust(at(now), |_| false), trust, "at {now} ms");
    }
}

/// While a trial task runs, the runner gets no second one except lasting tasks.
#[test]
fn one_task_at_a_time_is_on_trial() {
    let at = |millis: u64| Moment::micros(millis * 1_000);
    let mut health = Health::default();
    for _ in 0..3 {
        health.record_failure(at(0), at(1_000));
    }
    assert_eq!(health.trust(at(3_000), |since| since == at(1_000)), Trust::LastResort);
}
