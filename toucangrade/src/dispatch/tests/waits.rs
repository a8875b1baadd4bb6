//! Tests of the account of lasting tasks that wait.

use rstest::rstest;

use super::super::place::Passed;
use super::*;

struct Waiting {
    step: Step,
    /// What the only runner is like.
    runner: fn(&mut Report),
    /// Whether the runner has failed tasks in a row.
    failing: bool,
    reason: Passed,
}

fn lasting(millicores: u64) -> Step {
    Step { lasting: true, ..step(1, millicores) }
}

impl World {
    /// Has the first runs of three tasks fail on a runner.
    fn fail_in_a_row(&mut self, life: &Life) {
        self.submit("match", 99, vec![step(3, 100)]);
        let ends: Vec<_> =
            (0..3).map(|at| (at + 1, key(99, 0, at as u16, 1), End::Failed)).collect();
        self.end(life, 2, &ends);
        self.ask("/match/0000000000000063", Verb::Cancel, Some(99));
    }
}

/// Each reason for which a runner is passed over can be told from the others.
#[rstest]
#[case::barred(Waiting {
    // The first task is on trial.
    step: Step { count: 2, ..lasting(500) }, runner: |_| {}, failing: true,
    reason: Passed::Barred,
})]
#[case::label(Waiting {
    step: Step { label: Some("z".into()), ..lasting(500) }, runner: |_| {}, failing: false,
    reason: Passed::Label,
})]
#[case::leaving(Waiting {
    step: lasting(500),
    runner: |report| report.runner.as_mut().expect("a runner").draining = true,
    failing: false,
    reason: Passed::Leaving,
})]
#[case::room(Waiting {
    step: lasting(5_000), runner: |_| {}, failing: false, reason: Passed::Room,
})]
#[case::service(Waiting {
    step: lasting(500),
    runner: |report| report.runner.as_mut().expect("a runner").service = "other".into(),
    failing: false,
    reason: Passed::Service,
})]
#[case::silent(Waiting {
    step: lasting(500), runner: |report| report.silent = Span::secs(2), failing: false,
    reason: Passed::Silent,
})]
fn reasons_are_told_apart(#[case] case: Waiting) {
    let mut world = World::new();
    let runner = life("i-1", 10);
    let mut report = report("10.0.0.1", 1, &runner);
    (case.runner)(&mut report);
    world.report(report.clone());
    if case.failing {
        world.fail_in_a_row(&runner);
    }
    world.submit("match", 7, vec![case.step]);
    for seq in 100..115 {
        world.pass(100);
        world.report(Report { seq, ..report.clone() });
    }
    let waiting = u16::from(case.failing);
    let expected = vec![(key(7, 0, waiting, 1).task, BTreeMap::from([(case.reason, 1)]), 0)];
    assert_eq!(world.dispatch.accounts(world.now), expected);
    assert_eq!(world.gauges.get("lasting_waiting"), Some(&1));
    let barred = u64::from(case.reason == Passed::Barred);
    assert_eq!(world.gauges.get("runners_barred").copied().unwrap_or_default(), barred);
}

/// A task that finds a runner is no longer counted.
#[test]
fn placed_task_is_not_counted() {
    let mut world = World::new();
    world.submit("match", 7, vec![lasting(500)]);
    world.pass(2_000);
    assert_eq!(world.gauges.get("lasting_waiting"), Some(&1));
    world.report(report("10.0.0.1", 1, &life("i-1", 10)));
    world.pass(600);
    assert_eq!(world.gauges.get("lasting_waiting"), Some(&0));
}
