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
