//! Tests of runs that are listed long after their assignment.

use rstest::rstest;

use super::*;

fn filling(millicores: u64) -> Step {
    Step { fills: true, checkpoints: true, ..step(1, millicores) }
}

fn listed(key: RunKey, percent: u8, figure: u32) -> RunStatus {
    RunStatus { key, saved: None, percent, figure, share: 100 }
}

/// Reports of an agent that handles the order of a run, for `millis`; returns the next number.
fn handle(world: &mut World, runner: &Incarnation, run: RunKey, millis: u64) -> u64 {
    let last = 2 + millis / 100;
    for seq in 2..last {
        world.advance(100);
        world.report(Report { handling: vec![run], ..report("10.0.0.1", seq, runner) });
    }
    last
}

struct Progress {
    lasting: bool,
    /// Time without progress after the first listing, in ms, in which it is not stopped.
    allowed: u64,
}

/// A run was stopped as stuck soon after its first listing, since the time in which its order could
/// not reach the runner counted as time without progress.
#[rstest]
#[case::ordinary(Progress { lasting: false, allowed: 2_400 })]
#[case::lasting(Progress { lasting: true, allowed: 4_900 })]
fn late_start_has_the_whole_time_for_progress(#[case] case: Progress) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![Step { lasting: case.lasting, ..step(1, 1_000) }]);
    let run = key(7, 0, 0, 1);
    let first = handle(&mut world, &runner, run, 1_400);
    for at in 0..=case.allowed / 100 {
        let rows = vec![listed(run, 0, 0)];
        world.report(Report { rows, ..report("10.0.0.1", first + at, &runner) });
        let stopped = world.dispatch.fleet.run(&runner, run).is_none_or(|run| run.stop);
        assert!(!stopped, "stopped {} ms after its first listing", at * 100);
        world.advance(100);
    }
}

/// A filling run was moved right after its first listing, whose averaged figure covers mostly the
/// time before it started.
#[test]
fn late_start_is_not_moved_at_once() {
    let mut world = World::new();
    let (full, free) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &full));
    world.submit("recon", 1, vec![filling(4_000)]);
    let run = key(1, 0, 0, 1);
    assert_eq!(world.live(&full), [run]);
    let seq = handle(&mut world, &full, run, 1_300);
    world.report(report("10.0.0.2", 1, &free));
    world.report(Report { rows: vec![listed(run, 0, 0)], ..report("10.0.0.1", seq, &full) });
    world.advance(100);
    assert!(world.dispatch.moving.is_empty(), "moved 100 ms after its first listing");
}

/// The mean duration of a queue, by which jobs are taken for late, held the time in which orders
/// could not leave.
#[test]
fn duration_counts_from_the_order() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    // The report is answered, so the next order waits for another one.
    world.advance(700);
    world.submit("match", 7, vec![step(1, 1_000)]);
    let run = key(7, 0, 0, 1);
    world.advance(800);
    let orders = world.report(report("10.0.0.1", 2, &runner)).expect("a start order");
    assert_eq!(orders.starts.len(), 1);
    world.advance(300);
    world.report(Report { rows: vec![listed(run, 50, 1_000)], ..report("10.0.0.1", 3, &runner) });
    world.advance(300);
    world.end(&runner, 4, &[(1, run, End::Done)]);
    let took: Vec<u64> =
        world.dispatch.durations.values().map(|time| time.mean().as_millis()).collect();
    assert_eq!(took, [600]);
}

/// A filling run that had ended before any listing showed it was moved while its end was recorded.
#[test]
fn ended_run_is_not_moved() {
    let mut world = World::new();
    let (full, free) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &full));
    world.submit("recon", 1, vec![filling(4_000)]);
    let run = key(1, 0, 0, 1);
    let seq = handle(&mut world, &full, run, 1_300);
    world.report(report("10.0.0.2", 1, &free));
    world.hold = true;
    for at in 0..14 {
        let ended = vec![EndedRun { number: 1, key: run, end: End::Stopped, saved: None }];
        world.report(Report { ended, ..report("10.0.0.1", seq + at, &full) });
        world.advance(100);
        assert!(world.dispatch.moving.is_empty(), "an ended run is moved");
    }
}
