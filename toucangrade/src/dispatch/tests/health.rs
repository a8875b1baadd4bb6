//! Tests of the circuit breaker of runners.

use rstest::rstest;

use super::super::health::{Health, Trust};
use super::*;

/// What happens to a runner, at a time in ms.
#[derive(Clone, Copy)]
enum Seen {
    /// A run that began at the first time failed.
    Failed(u64),
    /// A run that began at that time works.
    Worked(u64),
}

struct Trusted {
    seen: &'static [(u64, Seen)],
    /// What it may be given at some time.
    trust: &'static [(u64, Trust)],
}

const FAILS: (u64, Seen) = (1_000, Seen::Failed(0));

/// A runner is barred for no longer than its faults last, and each fault counts once.
#[rstest]
#[case::below_the_limit(Trusted { seen: &[FAILS, FAILS], trust: &[(1_000, Trust::Full)] })]
#[case::success_between(Trusted {
    seen: &[FAILS, FAILS, (1_000, Seen::Worked(0)), FAILS], trust: &[(1_000, Trust::Full)],
})]
#[case::barred_then_tried(Trusted {
    seen: &[FAILS, FAILS, FAILS],
    trust: &[(1_000, Trust::Barred), (2_000, Trust::LastResort), (3_000, Trust::Trial)],
})]
#[case::one_fault_counts_once(Trusted {
    seen: &[FAILS, FAILS, FAILS, FAILS, FAILS, FAILS, FAILS, FAILS],
    trust: &[(3_000, Trust::Trial)],
})]
#[case::earlier_run_works(Trusted {
    seen: &[FAILS, FAILS, FAILS, (1_200, Seen::Worked(0))], trust: &[(1_200, Trust::Trial)],
})]
#[case::trial_works(Trusted {
    seen: &[FAILS, FAILS, FAILS, (3_500, Seen::Worked(3_000))], trust: &[(3_500, Trust::Full)],
})]
#[case::trial_fails(Trusted {
    seen: &[FAILS, FAILS, FAILS, (3_500, Seen::Failed(3_000))],
    trust: &[(3_500, Trust::Barred), (4_500, Trust::LastResort), (7_500, Trust::Trial)],
})]
#[case::trials_are_never_further_apart(Trusted {
    seen: &[
        FAILS, FAILS, FAILS, (3_500, Seen::Failed(3_000)), (8_000, Seen::Failed(7_500)),
        (12_500, Seen::Failed(12_000)),
    ],
    trust: &[(16_499, Trust::LastResort), (16_500, Trust::Trial)],
})]
fn trust_follows_from_how_tasks_end(#[case] case: Trusted) {
    let at = |millis: u64| Moment::micros(millis * 1_000);
    let mut health = Health::default();
    for &(now, seen) in case.seen {
        match seen {
            Seen::Failed(began) => drop(health.failed(at(began), at(now))),
            Seen::Worked(began) => drop(health.worked(at(began), at(now))),
        }
    }
    for &(now, trust) in case.trust {
        assert_eq!(health.trust(at(now), |_| false), trust, "at {now} ms");
    }
}

/// While a task is on trial no second one is given to the runner.
#[test]
fn one_task_at_a_time_is_on_trial() {
    let at = |millis: u64| Moment::micros(millis * 1_000);
    let mut health = Health::default();
    for _ in 0..3 {
        health.failed(at(0), at(1_000));
    }
    assert_eq!(health.trust(at(3_000), |since| since == at(1_000)), Trust::Barred);
}
