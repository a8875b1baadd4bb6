//! Replays of load patterns seen in trial runs.

use rstest::rstest;

use super::*;

/// A filling task with checkpoints.
fn filling(millicores: u64) -> Step {
    Step { fills: true, checkpoints: true, ..step(1, millicores) }
}

struct HeldBack {
    /// Millicores that the waiting task requests; the job with less work left is placed first.
    waiting: u64,
    /// Whether the slowed run is moved to the free runner.
    moves: bool,
}

/// A run that pacing slows down competes with waiting tasks for free runners, in the order of their
/// jobs. Under bursts of load, old jobs waited 20 s for a last task that was paced down, while
/// newer jobs took every runner that became free.
#[rstest]
#[case::first_in_turn(HeldBack { waiting: 6_000, moves: true })]
#[case::second_in_turn(HeldBack { waiting: 4_500, moves: false })]
fn held_back_run_competes_with_waiting_tasks(#[case] case: HeldBack) {
    let mut world = World::new();
    let (full, free) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &full));
    world.submit("recon", 1, vec![filling(5_000)]);
    world.submit("match", 2, vec![step(1, 4_000)]);
    world.submit("recon", 3, vec![filling(case.waiting)]);
    let (slow, other) = (key(1, 0, 0, 1), key(2, 0, 0, 1));
    assert_eq!(world.live(&full), [slow, other]);
    let row = |key| RunStatus { key, saved: None, percent: 50, figure: 0, share: 0 };
    for seq in 2..18 {
        world.advance(100);
        let rows = vec![row(slow), row(other)];
        world.report(Report { rows, ..report("10.0.0.1", seq, &full) });
    }
    let waits = world.ticket;
    world.report(report("10.0.0.2", 1, &free));
    let stops = world.orders.remove(&waits).flatten().map(|orders| orders.stops);
    assert_eq!(stops.is_some_and(|stops| stops == [slow]), case.moves);
    assert_eq!(world.live(&free).is_empty(), case.moves);
    if case.moves {
        world.end(&full, 18, &[(1, slow, End::Stopped)]);
        assert_eq!(world.live(&free), [key(1, 0, 0, 2)]);
    }
}

struct Overdue {
    /// Time since the job was accepted, in ms, against an objective of 1 s.
    age: u64,
    late: bool,
}

/// The orders list the filling runs of jobs that have missed their objective, so that pacing can
/// make them yield.
#[rstest]
#[case::on_time(Overdue { age: 300, late: false })]
#[case::late(Overdue { age: 1_500, late: true })]
fn orders_name_runs_of_late_jobs(#[case] case: Overdue) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    // The wall clock is known from the first tick on.
    world.advance(100);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("recon", 1, vec![filling(2_000)]);
    world.submit("match", 2, vec![step(1, 1_000)]);
    let (filling, other) = (key(1, 0, 0, 1), key(2, 0, 0, 1));
    let row = |key| RunStatus { key, saved: None, percent: 50, figure: 2_000, share: 100 };
    world.advance(case.age);
    world.report(Report { rows: vec![row(filling), row(other)], ..report("10.0.0.1", 2, &runner) });
    world.advance(600);
    let expected = if case.late { vec![filling] } else { vec![] };
    assert_eq!(world.later_orders().and_then(|orders| orders.late), Some(expected));
}
