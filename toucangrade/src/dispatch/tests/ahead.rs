//! Tests of placement beside reservations.

use rstest::rstest;

use super::*;

const RUNNERS: u64 = 12;

fn runner(number: u64) -> Incarnation {
    incarnation(&format!("i-{number}"), 10)
}

fn agent(number: u64) -> String {
    format!("10.0.1.{number}")
}

fn gang(count: u32) -> Step {
    Step { gang: true, ..step(count, 4_000) }
}

struct AheadCase {
    on: bool,
    /// Whether the queue's durations are known.
    learned: bool,
    /// A step of tasks that fill a runner; small tasks wait beside it.
    large: Step,
    /// What happens once the first runner is free: nothing, or a lasting job arrives.
    lasting: bool,
    /// Whether the large job is cancelled first.
    cancelled: bool,
    /// Jobs with a run on the first runner afterwards.
    jobs: Vec<u64>,
    reservations: u64,
}

const LARGE: u64 = 50;
const SMALL: u64 = 60;
const LASTING: u64 = 70;

/// Guards against small jobs that take each gap before a large one fits, and against reservations that
/// outlast their owner, rest on nothing or keep a lasting task from the only room for it.
#[rstest]
#[case::off(AheadCase {
    on: false, learned: true, large: step(1, 4_000), lasting: false, cancelled: false,
    jobs: vec![SMALL, SMALL + 1, SMALL + 2, SMALL + 3], reservations: 0,
})]
#[case::large_task(AheadCase {
    on: true, learned: true, large: step(1, 4_000), lasting: false, cancelled: false,
    jobs: vec![LARGE], reservations: 0,
})]
#[case::nothing_learned(AheadCase {
    on: true, learned: false, large: step(1, 4_000), lasting: false, cancelled: false,
    jobs: vec![SMALL, SMALL + 1, SMALL + 2, SMALL + 3], reservations: 0,
})]
#[case::gang_waits_for_another_runner(AheadCase {
    on: true, learned: true, large: gang(2), lasting: false, cancelled: false,
    jobs: vec![], reservations: 1,
})]
#[case::cancelled(AheadCase {
    on: true, learned: true, large: gang(2), lasting: false, cancelled: true,
    jobs: vec![SMALL, SMALL + 1, SMALL + 2, SMALL + 3], reservations: 0,
})]
#[case::lasting_task_goes_first(AheadCase {
    on: true, learned: true, large: gang(2), lasting: true, cancelled: false,
    jobs: vec![LASTING], reservations: 1,
})]
fn freed_runner_goes_to(#[case] case: AheadCase) {
    let mut world = World::new();
    world.dispatch.lookahead = Lookahead::new(case.on);
    for number in 0..RUNNERS {
        world.report(report(&agent(number), 1, &runner(number)));
    }
    let report_all = |world: &mut World, seq: u64, over: &dyn Fn(u64) -> bool| {
        for number in 0..RUNNERS {
            let live = world.live(&runner(number));
            let ended = |(key, number): (&RunKey, u64)| EndedRun {
                number: seq * 10 + number,
                key: *key,
                end: End::Done,
                saved: None,
            };
            let (ended, handling) = match over(number) {
                true => (live.iter().zip(0..).map(ended).collect(), Vec::new()),
                false => (Vec::new(), live),
            };
            world.report(Report {
                ended,
                handling,
                ..report(&agent(number), seq, &runner(number))
            });
        }
    };
    if case.learned {
        // The durations of runs from before the election are not known.
        world.advance(100);
        world.submit("match", 1, vec![step(24, 1_000)]);
        world.advance(1_000);
        report_all(&mut world, 2, &|_| true);
        world.advance(100);
    }
    for number in 0..RUNNERS {
        world.submit("match", 10 + number, vec![step(1, 3_700)]);
    }
    report_all(&mut world, 3, &|_| false);
    world.submit("match", LARGE, vec![case.large]);
    world.advance(300);
    for number in 0..4 {
        world.submit("match", SMALL + number, vec![step(1, 400)]);
    }
    if case.cancelled {
        world.ask(&format!("/match/{LARGE:016x}"), Verb::Cancel, Some(LARGE));
    }
    if case.lasting {
        world.submit("match", LASTING, vec![Step { lasting: true, ..step(1, 4_000) }]);
    }
    report_all(&mut world, 4, &|number| number == 0);
    world.advance(300);
    let jobs = world.live(&runner(0)).into_iter().map(|key| key.task.job);
    assert_eq!(jobs.collect::<Vec<_>>(), case.jobs);
    assert_eq!(world.gauges.get("reservations").copied().unwrap_or(0), case.reservations);
}
