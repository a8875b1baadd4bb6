//! Tests of the reasons and gauges of waiting lasting tasks.

use rstest::rstest;

use super::super::place::Exclusion;
use super::*;

struct Waiting {
    step: Step,
    /// Changes the report of the only runner.
    runner: fn(&mut Report),
    /// Whether the runner has failed enough tasks in a row to be barred.
    failing: bool,
    reason: Exclusion,
}

fn lasting(millicores: u64) -> Step {
    Step { lasting: true, ..step(1, millicores) }
}

impl World {
    /// Makes the first runs of three tasks fail on a runner, and then the trial task.
    fn fail_in_a_row(&mut self, incarnation: &Incarnation) {
        self.submit("match", 99, vec![step(3, 100)]);
        let ends: Vec<_> =
            (0..3).map(|at| (at + 1, key(99, 0, at as u16, 1), End::Failed)).collect();
        self.end(incarnation, 2, &ends);
        self.ask("/match/0000000000000063", Verb::Cancel, Some(99));
        self.submit("match", 98, vec![step(1, 100)]);
        self.reports("10.0.0.1", incarnation, 2_500, |_| Vec::new());
        let seq = self.seq() + 1;
        let ends = [ends, vec![(4, key(98, 0, 0, 1), End::Failed)]].concat();
        self.end(incarnation, seq, &ends);
        self.ask("/match/0000000000000062", Verb::Cancel, Some(98));
    }
}

/// Guards against a waiting task whose log line and gauges give the wrong reason.
#[rstest]
#[case::barred(Waiting {
    step: lasting(500), runner: |_| {}, failing: true, reason: Exclusion::Barred,
})]
#[case::label(Waiting {
    step: Step { label: Some("z".into()), ..lasting(500) }, runner: |_| {}, failing: false,
    reason: Exclusion::Label,
})]
#[case::leaving(Waiting {
    step: lasting(500),
    runner: |report| report.runner.as_mut().expect("the report has a runner").draining = true,
    failing: false,
    reason: Exclusion::Leaving,
})]
#[case::room(Waiting {
    step: lasting(5_000), runner: |_| {}, failing: false, reason: Exclusion::Room,
})]
#[case::service(Waiting {
    step: lasting(500),
    runner: |report| report.runner.as_mut().expect("the report has a runner").service =
        "other".into(),
    failing: false,
    reason: Exclusion::Service,
})]
#[case::silent(Waiting {
    step: lasting(500), runner: |report| report.silent = Span::secs(2), failing: false,
    reason: Exclusion::Silent,
})]
fn exclusion_reasons_are_distinguished(#[case] case: Waiting) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    let mut report = report("10.0.0.1", 1, &runner);
    (case.runner)(&mut report);
    world.report(report.clone());
    if case.failing {
        world.fail_in_a_row(&runner);
    }
    world.submit("match", 7, vec![case.step]);
    for seq in 10_000..10_015 {
        world.advance(100);
        world.report(Report { seq, ..report.clone() });
    }
    let expected = vec![(key(7, 0, 0, 1).task, BTreeMap::from([(case.reason, 1)]), 0)];
    assert_eq!(world.dispatch.all_wait_reasons(world.now), expected);
    assert_eq!(world.gauges.get("lasting_waiting"), Some(&1));
    let barred = u64::from(case.reason == Exclusion::Barred);
    assert_eq!(world.gauges.get("runners_barred").copied().unwrap_or_default(), barred);
}

/// A task that gets a runner is no longer counted as waiting.
#[test]
fn placed_task_is_not_counted() {
    let mut world = World::new();
    world.submit("match", 7, vec![lasting(500)]);
    world.advance(2_000);
    assert_eq!(world.gauges.get("lasting_waiting"), Some(&1));
    world.report(report("10.0.0.1", 1, &incarnation("i-1", 10)));
    world.advance(600);
    assert_eq!(world.gauges.get("lasting_waiting"), Some(&0));
}

struct FillingWait {
    /// Tail latency of a task on the only runner, in ms; its target is 100. 0 for no such task.
    tail: u32,
    /// Millicores of a filling task that runs there.
    filling: u64,
    /// Millicores and memory of the waiting tasks.
    need: (u64, u64),
    reason: Exclusion,
}

fn filling(count: u32, millicores: u64) -> Step {
    Step { fills: true, image: Some("batch".into()), ..step(count, millicores) }
}

/// Guards against a filling job that waits without a log line that says why: its caller sees it
/// `queued` for as long as the services on all runners are near their targets.
#[rstest]
#[case::interference(FillingWait {
    tail: 90, filling: 0, need: (500, 100), reason: Exclusion::Interference,
})]
#[case::cores(FillingWait { tail: 0, filling: 4_000, need: (5_000, 100), reason: Exclusion::Cores })]
#[case::room(FillingWait { tail: 10, filling: 0, need: (500, 20_000), reason: Exclusion::Room })]
fn filling_job_tells_why_it_waits(#[case] case: FillingWait) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    let row = |key, figure| RunStatus { key, saved: None, percent: 100, figure, share: 100 };
    let mut rows = Vec::new();
    if case.tail > 0 {
        let serving = Step { image: Some("shop".into()), target: 100, ..lasting(1_000) };
        world.submit("match", 1, vec![serving]);
        rows.push(row(key(1, 0, 0, 1), case.tail));
    }
    if case.filling > 0 {
        world.submit("match", 2, vec![filling(1, case.filling)]);
        rows.push(row(key(2, 0, 0, 1), case.filling as u32));
    }
    world.reports("10.0.0.1", &runner, 500, |_| rows.clone());
    let (millicores, memory) = case.need;
    let mut step = filling(2, millicores);
    step.need.memory = memory;
    world.submit("match", 7, vec![step]);
    world.reports("10.0.0.1", &runner, 500, |_| rows.clone());
    let expected = vec![(key(7, 0, 0, 1).task, BTreeMap::from([(case.reason, 1)]), 0)];
    assert_eq!(world.dispatch.all_wait_reasons(world.now), expected);
}
