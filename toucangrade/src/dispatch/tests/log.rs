//! Tests of what dispatch makes of the log's refusals and of time.

use super::*;

/// A proposal that the log refuses is made again only after a while. While leadership is handed
/// over all are refused at once, and dispatch and the log called each other without a pause, with a
/// log line each time.
#[test]
fn refused_proposals_are_not_repeated_at_once() {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.hold = true;
    world.report(report("10.0.0.1", 1, &life("i-1", 10)));
    let (ticket, _) = world.held.remove(0);
    world.send(Message::Rejected { ticket, lost: false });
    assert!(world.held.is_empty());
    world.pass(100);
    assert_eq!(world.held.len(), 1);
}

/// The time for which an ended job is remembered does not follow the time of day, which may step.
#[test]
fn step_of_the_clock_forgets_no_job() {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.ask("/match/0000000000000007", Verb::Cancel, Some(7));
    world.pass(1_000);
    world.send(Message::Tick { wall: 1_700_000_000_000 + 3_600_000 });
    assert_eq!(world.state("match", 7), Some(Told::State(JobState::Cancelled)));
}
