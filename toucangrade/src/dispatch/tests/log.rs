//! Tests of refused proposals, changes of leader and steps of the clock.

use rstest::rstest;

use super::super::health::Health;
use super::*;
use crate::jobs::snapshot;

/// A refused proposal is repeated only on the next tick. While leadership is handed over, the log
/// refuses all at once; dispatch and the log then called each other in a loop, with a log line each
/// time.
#[test]
fn refused_proposals_are_not_repeated_at_once() {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.hold = true;
    world.report(report("10.0.0.1", 1, &incarnation("i-1", 10)));
    let (ticket, _) = world.held.remove(0);
    world.send(Message::Rejected { ticket, lost: false });
    assert!(world.held.is_empty());
    world.advance(100);
    assert_eq!(world.held.len(), 1);
}

/// The retention of ended jobs does not depend on the wall clock, which may step.
#[test]
fn clock_step_forgets_no_job() {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.ask("/match/0000000000000007", Verb::Cancel, Some(7));
    world.advance(1_000);
    world.send(Message::Tick { wall: 1_700_000_000_000 + 3_600_000 });
    assert_eq!(world.state("match", 7), Some(ClientReply::State(JobState::Cancelled)));
}

/// Runs that began under an earlier leader don't count in the mean duration. Measured from the
/// election, they made all tasks of their queue look short, and its jobs late.
#[test]
fn runs_of_an_earlier_leader_are_not_measured() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.advance(4_000);
    world.send(Message::Lead { leading: false });
    world.send(Message::Lead { leading: true });
    world.advance(100);
    world.report(report("10.0.0.1", 2, &runner));
    world.end(&runner, 3, &[(1, key(7, 0, 0, 1), End::Done)]);
    assert!(world.dispatch.durations.is_empty());
}

/// A restarted agent has no pressure table, so it gets the newest although it was sent one before
/// the restart.
#[test]
fn restarted_agent_gets_the_estimates() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.dispatch.learner.version = 3;
    let has_table = |orders: Option<Orders>| orders.is_some_and(|orders| orders.table.is_some());
    assert!(has_table(world.report(report("10.0.0.1", 1, &runner))));
    world.advance(3_000);
    world.report(report("10.0.0.1", 2, &runner));
    assert!(!has_table(world.later_orders()));
    assert!(has_table(world.report(Report { incarnation: 2, ..report("10.0.0.1", 1, &runner) })));
}

/// Each runner on which a lasting task has failed is recorded once, however often the task fails.
#[test]
fn lasting_task_failures_are_recorded_once_per_runner() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![Step { lasting: true, ..step(1, 500) }]);
    for run in 1..6u32 {
        let number = u64::from(run);
        world.end(&runner, number + 1, &[(number, key(7, 0, 0, run), End::Failed)]);
        world.dispatch.fleet.workers.values_mut().for_each(|w| w.health = Health::default());
        world.advance(100);
    }
    assert_eq!(world.live(&runner), [key(7, 0, 0, 6)]);
    assert_eq!(world.dispatch.avoided[&key(7, 0, 0, 1).task], BTreeSet::from([name("10.0.0.1")]));
}

/// Proposals of an earlier leadership that the log has refused no longer count against the limit of
/// proposals in flight.
#[test]
fn proposals_of_an_earlier_leadership_are_dropped() {
    let mut world = World::new();
    world.hold = true;
    for job in 1..=8 {
        world.submit("match", job, vec![step(1, 500)]);
    }
    world.send(Message::Lead { leading: false });
    for (ticket, _) in std::mem::take(&mut world.held) {
        world.send(Message::Rejected { ticket, lost: true });
    }
    world.hold = false;
    world.send(Message::Lead { leading: true });
    assert_eq!(world.submit("match", 9, vec![step(1, 500)]), Some(ClientReply::Accepted));
}

struct Installed {
    /// Time in ms for which the runner has listed the run before the snapshot.
    listed: u64,
    /// Time in ms after the election until which the run stays, and by which it has moved.
    stays: u64,
    moved: u64,
}

/// A follower that caught up by a snapshot can become leader: it ends the runs of runners that
/// never report to it once no lease can keep them. Without the record of who holds a run, a lease
/// from an earlier leader was counted for one that a later incarnation had started.
#[rstest]
#[case::holder_recorded(Installed { listed: 4_000, stays: 5_800, moved: 6_400 })]
#[case::holder_unknown(Installed { listed: 0, stays: 11_300, moved: 11_700 })]
fn follower_with_installed_snapshot_can_lead(#[case] case: Installed) {
    let mut world = World::new();
    let (lost, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &lost));
    world.submit("match", 7, vec![step(1, 1_000)]);
    for tenth in 0..case.listed / 100 {
        let rows = vec![row(key(7, 0, 0, 1))];
        world.report(Report { rows, ..report("10.0.0.1", 2 + tenth, &lost) });
        world.advance(100);
    }
    let mut follower = World::new();
    follower.send(Message::Lead { leading: false });
    let bytes = snapshot::encode(&world.dispatch.job_table);
    let job_table = Box::new(snapshot::decode(&bytes).expect("a readable snapshot"));
    follower.send(Message::Install { index: 9, job_table });
    follower.advance(9_000);
    follower.send(Message::Lead { leading: true });
    for seq in 1..=case.moved / 100 {
        follower.report(report("10.0.0.2", seq, &other));
        let early = seq < case.stays / 100;
        assert!(
            !early || follower.live(&other).is_empty(),
            "the run was moved before its lease expired"
        );
        follower.advance(100);
    }
    assert_eq!(follower.live(&other), [key(7, 0, 0, 2)]);
}

struct Earlier {
    /// Start of the incarnation that the agent reports after one that was born at 20.
    born: u64,
    /// Time since the last report on that one, in ms.
    after: u64,
    moved: bool,
}

/// An incarnation that was born later than the one its agent now reports may only have been silent,
/// since the agent then takes the other for its runner. It keeps its runs until its lease has
/// expired.
#[rstest]
#[case::later_life(Earlier { born: 30, after: 100, moved: true })]
#[case::earlier_life(Earlier { born: 10, after: 5_800, moved: false })]
#[case::earlier_life_after_the_lease(Earlier { born: 10, after: 6_400, moved: true })]
fn silent_life_keeps_its_lease(#[case] case: Earlier) {
    let mut world = World::new();
    let (silent, named) = (incarnation("i-2", 20), incarnation("i-1", case.born));
    world.report(report("10.0.0.1", 1, &silent));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let rows = vec![row(key(7, 0, 0, 1))];
    world.report(Report { rows, ..report("10.0.0.1", 2, &silent) });
    for seq in 3..3 + case.after / 100 {
        world.report(report("10.0.0.1", seq, &named));
        world.advance(100);
    }
    assert_eq!(!world.live(&named).is_empty(), case.moved);
}
