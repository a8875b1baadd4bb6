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
    assert!(after.regained <= 6_000, "{}: {after:?}", case.name);
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

/// Refusals are wrong in two ways: what is refused could have been served, and what is accepted ends
/// without value. A stricter rule makes more of the first errors.
#[rstest]
#[case::long_overload(Case { name: "overload", pattern: Pattern { rate: 2.6, ..Pattern::calm() } })]
#[case::bursts(Case { name: "bursts", pattern: Pattern { rate: 1.5, burst: 4.0, ..Pattern::calm() } })]
#[case::runners_lost(Case { name: "runners lost", pattern: Pattern { rate: 2.0, lost: 4, ..Pattern::calm() } })]
fn refused_jobs_would_have_had_no_value(#[case] case: Case) {
    let before = play(&case.pattern, Rule::Limit);
    print(case.name, Rule::Limit, &before);
    let mut wrong = Vec::new();
    for factor in [1.0, 2.0, VALUE_FACTOR] {
        let after = play(&case.pattern, Rule::Admit(factor));
        print(case.name, Rule::Admit(factor), &after);
        let served = after.turned.intersection(&before.served).count();
        println!("{:16} refused {}, served otherwise {served}", case.name, after.refused);
        wrong.push((served, after));
    }
    let (served, after) = wrong.pop().expect("the rule in force");
    assert!(after.value() >= before.value(), "{}: {after:?}, before {before:?}", case.name);
    assert!(after.worthless < before.worthless, "{}: {after:?}, before {before:?}", case.name);
    assert!(served <= wrong[0].0, "{}: {served} wrong refusals, {}", case.name, wrong[0].0);
}

struct Return {
    /// Time in ms by which the job would end too late.
    excess: f64,
    returning: bool,
    /// Range of the time in ms that callers are asked to wait.
    waits: (u64, u64),
}

/// Callers that were refused together came back together, and one that came back waited as long as
/// a new one.
#[rstest]
#[case::short(Return { excess: 10.0, returning: false, waits: (1_000, 1_500) })]
#[case::long(Return { excess: 8_000.0, returning: false, waits: (8_000, 12_000) })]
#[case::returning(Return { excess: 8_000.0, returning: true, waits: (4_000, 6_000) })]
#[case::endless(Return { excess: f64::INFINITY, returning: false, waits: (30_000, 30_000) })]
fn refused_callers_return_apart(#[case] case: Return) {
    let after = |id| admission::retry_after(id, case.excess, case.returning).as_millis();
    let waits: BTreeSet<u64> = (1..=200).map(after).collect();
    let (first, last) = (waits.first().copied(), waits.last().copied());
    assert!(first >= Some(case.waits.0) && last <= Some(case.waits.1), "{first:?} to {last:?}");
    let least = if case.excess.is_finite() { 100 } else { 1 };
    assert!(waits.len() >= least, "only {} different waits", waits.len());
}

/// The table of refused ids grew with the number of callers.
#[test]
fn refused_ids_are_bounded() {
    let mut refused = Refused::default();
    for id in 0..5_000 {
        refused.insert(Moment::START + Span::millis(id), id, Span::secs(1));
    }
    let now = Moment::START + Span::millis(5_000);
    assert_eq!(refused.len(), 4_096);
    assert_eq!(refused.find(now, 0), None, "the oldest one is kept");
    assert_eq!(refused.find(now, 4_999), Some(Span::millis(999)));
    assert_eq!(refused.find(now + Span::secs(30), 4_999), None, "kept for too long");
}

/// Under long overload the largest jobs of a queue were never served, as smaller ones overtook them
/// until they had no value.
#[rstest]
#[case::overload(Case { name: "sizes", pattern: Pattern { rate: 1.4, mixed: true, ..Pattern::calm() } })]
#[case::bursts(Case { name: "sizes, bursts", pattern: Pattern { rate: 1.0, burst: 3.0, mixed: true, ..Pattern::calm() } })]
fn large_jobs_are_not_starved(#[case] case: Case) {
    let shares = |outcome: &Outcome| {
        let all: Vec<u64> = (0..10).collect();
        [&[0][..], &[3, 7], &all].map(|digits| outcome.share(digits))
    };
    let (before, after) = (play(&case.pattern, Rule::Before), play(&case.pattern, Rule::Limit));
    print(case.name, Rule::Before, &before);
    print(case.name, Rule::Limit, &after);
    let [large, medium, all] = shares(&after);
    println!("{:16} large, medium, all: {:?}, {:?}", case.name, shares(&before), shares(&after));
    assert!(large >= all / 2.0, "{}: large {large}, all {all}", case.name);
    assert!(medium >= all / 2.0, "{}: medium {medium}, all {all}", case.name);
    let [large, _, all] = shares(&before);
    assert!(large < all / 2.0, "{}: large jobs were served before, {large} of {all}", case.name);
}
