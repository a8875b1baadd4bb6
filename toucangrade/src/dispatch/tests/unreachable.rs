//! Tests of runners that can't be reached: what was never ordered is placed elsewhere at once.

use rstest::rstest;

use super::*;

/// What happens between the assignment of a run and the silence of its agent.
#[derive(Clone, Copy)]
enum Before {
    /// The agent's report is held, so the assignment is ordered at once.
    Held,
    /// The agent was answered before and does not report again.
    Answered,
    /// The agent was answered before, and its next report gets the order.
    Reported,
    /// The agent was answered before, and leadership changes.
    Elected,
    /// The agent was answered before and restarts, so that it reports no runner.
    Restarted,
}

struct Silenced {
    before: Before,
    /// Time without a report, in ms.
    silent: u64,
    /// Whether the task is assigned to the other runner.
    moved: bool,
}

/// The tasks of 16 jobs were assigned to runners that had been cut off after their last orders. They
/// waited for the end of a lease, though no order had left the leader and others had room.
#[rstest]
#[case::never_ordered(Silenced { before: Before::Answered, silent: 1_800, moved: true })]
#[case::may_report_again(Silenced { before: Before::Answered, silent: 1_400, moved: false })]
#[case::ordered_at_once(Silenced { before: Before::Held, silent: 6_000, moved: false })]
#[case::ordered_later(Silenced { before: Before::Reported, silent: 6_000, moved: false })]
#[case::assigned_by_an_earlier_leader(Silenced {
    before: Before::Elected, silent: 5_800, moved: false,
})]
#[case::agent_without_a_runner(Silenced { before: Before::Restarted, silent: 500, moved: true })]
fn run_that_was_never_ordered_waits_for_no_lease(#[case] case: Silenced) {
    let mut world = World::new();
    let (silent, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &silent));
    if !matches!(case.before, Before::Held) {
        world.advance(500);
    }
    world.submit("match", 7, vec![step(1, 1_000)]);
    assert_eq!(world.live(&silent), [key(7, 0, 0, 1)]);
    match case.before {
        Before::Held | Before::Answered => {},
        Before::Reported => drop(world.report(report("10.0.0.1", 2, &silent))),
        Before::Elected => {
            world.send(Message::Lead { leading: false });
            world.send(Message::Lead { leading: true });
        },
        Before::Restarted => {
            let restarted = report("10.0.0.1", 1, &silent);
            world.report(Report { incarnation: 2, runner: None, ..restarted });
        },
    }
    let before = if matches!(case.before, Before::Answered) { 500 } else { 0 };
    for seq in 1..=(case.silent - before) / 100 {
        world.report(report("10.0.0.2", seq, &other));
        world.advance(100);
    }
    assert_eq!(!world.live(&other).is_empty(), case.moved);
}

/// What becomes of the proposal that gives a run back.
#[derive(Clone, Copy)]
enum Outcome {
    Committed,
    /// It was not appended to the log.
    Refused,
    /// It may still be committed by the next leader.
    Lost,
}

struct GivenBack {
    outcome: Outcome,
    /// Runs of the task, by number, that are ordered afterwards.
    ordered: &'static [u32],
    /// Runs of the task on the runner after a second silence.
    live: &'static [u32],
}

/// An agent that was only slow reports again while the end of its run is being recorded. An order
/// for that run would start a task that may be started elsewhere.
#[rstest]
#[case::committed(GivenBack { outcome: Outcome::Committed, ordered: &[2], live: &[2] })]
#[case::refused(GivenBack { outcome: Outcome::Refused, ordered: &[1], live: &[1] })]
#[case::lost(GivenBack { outcome: Outcome::Lost, ordered: &[], live: &[1] })]
fn run_that_is_given_back_is_not_ordered(#[case] case: GivenBack) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    let starts = |orders: Option<Orders>| -> Vec<u32> {
        orders.iter().flat_map(|orders| &orders.starts).map(|start| start.key.run).collect()
    };
    world.report(report("10.0.0.1", 1, &runner));
    world.advance(500);
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.hold = true;
    world.advance(1_500);
    let held: Vec<_> = world.held.iter().flat_map(|(_, commands)| commands).collect();
    let close = Command::Close { key: key(7, 0, 0, 1), end: End::Refused, saved: None };
    assert_eq!(held, [&close]);
    assert_eq!(starts(world.report(report("10.0.0.1", 2, &runner))), [0_u32; 0]);
    world.advance(500);
    assert_eq!(starts(world.later_orders()), [0_u32; 0]);
    match case.outcome {
        Outcome::Committed => world.release(),
        Outcome::Refused | Outcome::Lost => {
            world.hold = false;
            let lost = matches!(case.outcome, Outcome::Lost);
            for (ticket, _) in std::mem::take(&mut world.held) {
                world.send(Message::Rejected { ticket, lost });
            }
        },
    }
    assert_eq!(starts(world.report(report("10.0.0.1", 3, &runner))), case.ordered);
    world.advance(2_000);
    let live: Vec<u32> = world.live(&runner).iter().map(|key| key.run).collect();
    assert_eq!(live, case.live);
}
