//! Tests of what dispatch makes of the log's refusals and of time.

use rstest::rstest;

use super::super::health::Health;
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

/// Runs that began under another leader say nothing about how long runs take: measured from the
/// election they made all tasks of their queue look short, and its jobs late.
#[test]
fn runs_of_an_earlier_leader_are_not_measured() {
    let mut world = World::new();
    let runner = life("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.pass(4_000);
    world.send(Message::Lead { leading: false });
    world.send(Message::Lead { leading: true });
    world.pass(100);
    world.report(report("10.0.0.1", 2, &runner));
    world.end(&runner, 3, &[(1, key(7, 0, 0, 1), End::Done)]);
    assert!(world.dispatch.durations.is_empty());
}

/// An agent that restarts knows no estimates of pressure; it gets the newest though its predecessor
/// had them.
#[test]
fn restarted_agent_gets_the_estimates() {
    let mut world = World::new();
    let runner = life("i-1", 10);
    world.dispatch.learner.version = 3;
    let told = |orders: Option<Orders>| orders.is_some_and(|orders| orders.table.is_some());
    assert!(told(world.report(report("10.0.0.1", 1, &runner))));
    world.pass(3_000);
    world.report(report("10.0.0.1", 2, &runner));
    assert!(!told(world.answered()));
    assert!(told(world.report(Report { incarnation: 2, ..report("10.0.0.1", 1, &runner) })));
}

/// The runners on which a lasting task has failed are noted once each, however long it lasts.
#[test]
fn failures_of_a_lasting_task_are_noted_once_a_runner() {
    let mut world = World::new();
    let runner = life("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![Step { lasting: true, ..step(1, 500) }]);
    for run in 1..6u32 {
        let number = u64::from(run);
        world.end(&runner, number + 1, &[(number, key(7, 0, 0, run), End::Failed)]);
        world.dispatch.fleet.workers.values_mut().for_each(|w| w.health = Health::default());
        world.pass(100);
    }
    assert_eq!(world.live(&runner), [key(7, 0, 0, 6)]);
    assert_eq!(world.dispatch.avoided[&key(7, 0, 0, 1).task], BTreeSet::from([name("10.0.0.1")]));
}

/// Proposals of an earlier leadership take no place from later ones once the log has refused them.
#[test]
fn proposals_of_an_earlier_leadership_are_given_up() {
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
    assert_eq!(world.submit("match", 9, vec![step(1, 500)]), Some(Told::Accepted));
}

/// A follower that lagged and got a snapshot leads like any other: runs of runners that it never
/// hears from end with the lease that an earlier leader may have granted.
#[test]
fn follower_that_installed_a_snapshot_leads_on() {
    let mut world = World::new();
    let (lost, other) = (life("i-1", 10), life("i-2", 10));
    world.report(report("10.0.0.1", 1, &lost));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let mut follower = World::new();
    follower.send(Message::Lead { leading: false });
    let book = Box::new(world.dispatch.book.clone());
    follower.send(Message::Install { index: 9, book });
    follower.pass(9_000);
    follower.send(Message::Lead { leading: true });
    for seq in 1..=64 {
        follower.report(report("10.0.0.2", seq, &other));
        let early = seq < 58;
        assert!(!early || follower.live(&other).is_empty(), "the lease may go on");
        follower.pass(100);
    }
    assert_eq!(follower.live(&other), [key(7, 0, 0, 2)]);
}

struct Earlier {
    /// Birth of the life that the agent names after one that was born at 20.
    born: u64,
    /// Time since the last report on that one.
    after: u64,
    moved: bool,
}

/// A life that was born later than the one an agent names now may only have been silent, since its
/// agent then takes the other for the runner. It keeps its runs until its lease has ended.
#[rstest]
#[case::later_life(Earlier { born: 30, after: 100, moved: true })]
#[case::earlier_life(Earlier { born: 10, after: 5_800, moved: false })]
#[case::earlier_life_after_the_lease(Earlier { born: 10, after: 6_400, moved: true })]
fn silent_life_keeps_its_lease(#[case] case: Earlier) {
    let mut world = World::new();
    let (silent, named) = (life("i-2", 20), life("i-1", case.born));
    world.report(report("10.0.0.1", 1, &silent));
    world.submit("match", 7, vec![step(1, 1_000)]);
    for seq in 2..2 + case.after / 100 {
        world.report(report("10.0.0.1", seq, &named));
        world.pass(100);
    }
    assert_eq!(!world.live(&named).is_empty(), case.moved);
}
