//! Replays of load patterns in simulated time, under the decisions of this module and under the rule
//! before: jobs on time first by the mean time that tasks took, then least work, then age.

mod replay;

use rstest::rstest;

use self::replay::{Outcome, Pattern, Rule, play};
use super::*;

struct Case {
    name: &'static str,
    pattern: Pattern,
}

fn print(name: &str, rule: Rule, outcome: &Outcome) {
    println!("{name:16} {rule:?} {outcome:?}");
}

/// Under each pattern most heavy jobs ended late together, as all of them were started at once, the
/// ones that had missed their objective first.
#[rstest]
#[case::burst(Case { name: "burst", pattern: Pattern { burst: 2.6, ..Pattern::calm() } })]
#[case::outage(Case { name: "outage", pattern: Pattern { outage: 9_000, ..Pattern::calm() } })]
#[case::runners_lost(Case { name: "runners lost", pattern: Pattern { lost: 4, ..Pattern::calm() } })]
fn more_heavy_jobs_end_in_time(#[case] case: Case) {
    let (before, after) = (play(&case.pattern, Rule::Before), play(&case.pattern, Rule::Limit));
    print(case.name, Rule::Before, &before);
    print(case.name, Rule::Limit, &after);
    assert!(after.timely > before.timely, "{}: {after:?}, before {before:?}", case.name);
    assert!(after.value() > before.value(), "{}: {after:?}, before {before:?}", case.name);
    assert!(after.median < before.median, "{}: {after:?}, before {before:?}", case.name);
    assert_eq!(after.jobs(), before.jobs(), "{}: other jobs arrived", case.name);
}

/// Under a load that all of the jobs can be served at, the limit must not cost anything.
#[test]
fn calm_load_is_served_as_before() {
    let (before, after) =
        (play(&Pattern::calm(), Rule::Before), play(&Pattern::calm(), Rule::Limit));
    print("calm", Rule::Before, &before);
    print("calm", Rule::Limit, &after);
    assert!(after.timely >= before.timely, "{after:?}, before {before:?}");
}
