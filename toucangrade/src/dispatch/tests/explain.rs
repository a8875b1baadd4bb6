//! Tests of explained placements.

use std::collections::BTreeMap;

use rstest::rstest;

use super::*;
use crate::dispatch::explain::{Explanation, Question};
use crate::dispatch::place::Exclusion;

fn runner(number: u64) -> Incarnation {
    incarnation(&format!("i-{number}"), 10)
}

struct ExplainCase {
    /// Jobs that wait before it, as steps that fit on no runner, or that run.
    before: Vec<Step>,
    step: Step,
    /// Tasks that are placed.
    placed: usize,
    /// Runners by what excludes them, of four with 4 cores of which one drains.
    classes: Vec<(Option<Exclusion>, u32)>,
}

/// Guards against an explanation that differs from what then happens, and against one that changes
/// what happens.
#[rstest]
#[case::all_fit(ExplainCase {
    before: vec![], step: step(5, 1_500), placed: 5,
    classes: vec![(None, 3), (Some(Exclusion::Leaving), 1)],
})]
#[case::some_fit(ExplainCase {
    before: vec![step(2, 3_000)], step: step(4, 2_000), placed: 2,
    classes: vec![(Some(Exclusion::Leaving), 1), (Some(Exclusion::Room), 3)],
})]
#[case::label(ExplainCase {
    before: vec![], step: Step { label: Some("x".into()), ..step(1, 500) }, placed: 0,
    classes: vec![(Some(Exclusion::Label), 3), (Some(Exclusion::Leaving), 1)],
})]
#[case::spread(ExplainCase {
    before: vec![], step: Step { spread: 1, ..step(4, 500) }, placed: 3,
    classes: vec![(Some(Exclusion::Leaving), 1), (Some(Exclusion::Spread), 3)],
})]
#[case::gang(ExplainCase {
    before: vec![step(1, 3_000)], step: Step { gang: true, ..step(3, 2_000) }, placed: 3,
    classes: vec![(None, 2), (Some(Exclusion::Leaving), 1), (Some(Exclusion::Room), 1)],
})]
#[case::gang_without_room(ExplainCase {
    before: vec![step(2, 3_000)], step: Step { gang: true, ..step(3, 2_000) }, placed: 0,
    classes: vec![(None, 1), (Some(Exclusion::Leaving), 1), (Some(Exclusion::Room), 2)],
})]
fn explanation_equals_placement(#[case] case: ExplainCase) {
    let mut world = World::new();
    for number in 0..4 {
        let report = report(&format!("10.0.1.{number}"), 1, &runner(number));
        let described = report.runner.expect("a runner");
        let described = Runner { draining: number == 3, ..described };
        world.report(Report { runner: Some(described), ..report });
    }
    for (step, job) in case.before.into_iter().zip(1..) {
        world.submit("match", job, vec![step]);
    }
    let now = world.now;
    let steps = vec![case.step];
    let question = Question::Described { queue: "match".into(), steps: steps.clone() };
    let before = serde_json::to_string(&world.dispatch).expect("serialises");
    let described = world.dispatch.explain(now, question);
    assert_eq!(serde_json::to_string(&world.dispatch).expect("serialises"), before);
    let outlook = &described.steps[0];
    assert_eq!(outlook.placed.values().sum::<usize>(), case.placed);
    let classes = outlook.classes.iter().map(|class| (class.excluded, class.runners));
    assert_eq!(classes.collect::<Vec<_>>(), case.classes);

    world.submit("match", 50, steps);
    let mut placed: BTreeMap<Name, usize> = BTreeMap::new();
    for number in 0..4 {
        let live = world.live(&runner(number));
        let count = live.iter().filter(|key| key.task.job == 50).count();
        if count > 0 {
            placed.insert(name(&format!("10.0.1.{number}")), count);
        }
    }
    assert_eq!(outlook.placed, placed);
}

/// A job that would be refused is explained as such, and one that has ended has no outlook.
#[test]
fn refusals_are_explained() {
    let mut world = World::new();
    let now = world.now;
    let mut explain = |question| world.dispatch.explain(now, question);
    let refused = |reason: &str| Explanation { refused: Some(reason.into()), steps: Vec::new() };
    let steps = vec![step(1, 500)];
    let described = Question::Described { queue: "none".into(), steps };
    assert_eq!(explain(described), refused("no such queue"));
    let described = Question::Described { queue: "match".into(), steps: Vec::new() };
    assert_eq!(explain(described), refused("the job has 0 steps, allowed are 1 to 256"));
    assert_eq!(explain(Question::Known(9)), refused("the job has ended or is not known"));
}
