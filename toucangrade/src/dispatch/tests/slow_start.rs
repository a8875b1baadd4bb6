//! Tests of the slow start of cold runners and of those whose data centre was restored.

use rstest::rstest;

use super::*;
use crate::evacuation::EvacuationVerb;

struct Case {
    /// Time for which the runner says that it is cold, in ms.
    cold: u64,
    /// Whether its data centre is evacuated and restored before the job is submitted.
    restored: bool,
    /// Runs that it has after the given times in ms, if there are enough tasks.
    runs: &'static [(u64, usize)],
}

/// All work that waits went at once to runners that had just come back, which were still cold then.
#[rstest]
#[case::warm(Case { cold: 0, restored: false, runs: &[(0, 40)] })]
#[case::cold(Case { cold: 8_000, restored: false, runs: &[(0, 4), (1_100, 12), (2_200, 28)] })]
#[case::restored(Case { cold: 0, restored: true, runs: &[(0, 4), (1_100, 12), (2_200, 28)] })]
#[case::no_limit_later(Case { cold: 20_000, restored: false, runs: &[(0, 4), (6_000, 40)] })]
fn starts_double_each_second(#[case] case: Case) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    let cold_report = |world: &World| {
        let live = world.live(&runner);
        let mut report = Report { handling: live, ..report("10.0.0.1", world.seq(), &runner) };
        if let Some(runner) = &mut report.runner {
            runner.cold = Span::millis(case.cold);
        }
        report
    };
    let first = cold_report(&world);
    world.report(first);
    if case.restored {
        for verb in [EvacuationVerb::Start, EvacuationVerb::Finish] {
            let (centre, by) = ("ljubljana-a".into(), "".into());
            world.ask("", Verb::Evacuate { centre, verb, by }, None);
        }
    }
    world.submit("match", 7, vec![step(40, 100)]);
    let mut passed = 0;
    for (at, runs) in case.runs {
        while passed < *at {
            world.advance(100);
            passed += 100;
            let report = cold_report(&world);
            world.report(report);
        }
        assert_eq!(world.live(&runner).len(), *runs, "after {at} ms");
    }
}

/// Of two runners with the same room, the warm one gets the task, whichever was found first.
#[rstest]
#[case::cold_first([4_000, 0], 1)]
#[case::warm_first([0, 4_000], 0)]
fn warm_runners_rank_first(#[case] cold: [u64; 2], #[case] expected: usize) {
    let mut world = World::new();
    let runners = [incarnation("i-1", 10), incarnation("i-2", 10)];
    for (at, agent) in ["10.0.0.1", "10.0.0.2"].into_iter().enumerate() {
        let mut report = report(agent, 1, &runners[at]);
        if let Some(runner) = &mut report.runner {
            runner.cold = Span::millis(cold[at]);
        }
        world.report(report);
    }
    world.submit("match", 7, vec![step(1, 100)]);
    assert_eq!(world.live(&runners[expected]), [key(7, 0, 0, 1)]);
}
