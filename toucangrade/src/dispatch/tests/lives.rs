//! Tests of runners that restart under their names.

use rstest::rstest;

use super::*;

/// Time of day in ms since 1970, as `World::advance` counts it.
fn wall(world: &World) -> u64 {
    1_700_000_000_000 + world.now.as_micros() / 1_000
}

struct Restart {
    /// Time between the restart and the first report of the new incarnation, in ms.
    age: u64,
    /// Time in ms after that report at which leadership changes, if it does.
    elected: Option<u64>,
    /// Time without an answer of the new incarnation, in ms.
    silent: u64,
    /// Whether its run is assigned to another runner.
    moved: bool,
}

/// A new incarnation accepts calls that were meant for the previous one, which may give it a longer
/// lease than the leader did. Its runs were started elsewhere while they went on there.
#[rstest]
#[case::lease_of_the_leader(Restart { age: 500, elected: None, silent: 6_400, moved: false })]
#[case::longest_lease(Restart { age: 500, elected: None, silent: 10_400, moved: false })]
#[case::all_leases_expired(Restart { age: 500, elected: None, silent: 10_600, moved: true })]
// The holder isn't recorded yet.
#[case::longest_lease_after_an_election(Restart {
    age: 500, elected: Some(0), silent: 11_300, moved: false,
})]
#[case::expired_after_an_election(Restart {
    age: 500, elected: Some(0), silent: 11_600, moved: true,
})]
#[case::restarted_long_ago(Restart { age: 30_000, elected: None, silent: 6_400, moved: true })]
#[case::restarted_long_before_an_election(Restart {
    age: 30_000, elected: Some(4_000), silent: 6_400, moved: true,
})]
#[case::restarted_long_before_an_election_at_once(Restart {
    age: 30_000, elected: Some(0), silent: 11_300, moved: false,
})]
#[case::restarted_long_before_an_election_at_once_expired(Restart {
    age: 30_000, elected: Some(0), silent: 11_600, moved: true,
})]
#[case::restarted_before_an_election(Restart {
    age: 500, elected: Some(3_000), silent: 10_400, moved: false,
})]
#[case::restarted_and_recorded_before_an_election(Restart {
    age: 500, elected: Some(12_000), silent: 6_400, moved: true,
})]
fn runs_of_a_new_incarnation_outlast_calls_to_the_last_one(#[case] case: Restart) {
    let mut world = World::new();
    world.advance(100);
    let (old, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &old));
    let new = incarnation("i-1", wall(&world) - case.age);
    world.report(report("10.0.0.1", 2, &new));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let rows = vec![row(key(7, 0, 0, 1))];
    world.report(Report { rows, ..report("10.0.0.1", 3, &new) });
    if let Some(after) = case.elected {
        for tenth in 0..after / 100 {
            world.advance(100);
            let rows = vec![row(key(7, 0, 0, 1))];
            world.report(Report { rows, ..report("10.0.0.1", 4 + tenth, &new) });
        }
        world.send(Message::Lead { leading: false });
        world.send(Message::Lead { leading: true });
    }
    for seq in 1..=case.silent / 100 {
        world.advance(100);
        world.report(report("10.0.0.2", seq, &other));
    }
    assert_eq!(!world.live(&other).is_empty(), case.moved);
}

struct Unseen {
    /// What the restarted agent reports as its runner.
    found: Option<Incarnation>,
    /// Time after the order, in ms, at which the run is still live.
    live_at: u64,
}

/// A restarted agent that had not found its runner was taken for proof that the runner's next
/// incarnation had not started the run, which went on there beside a second one.
#[rstest]
#[case::no_runner(Unseen { found: None, live_at: 10_000 })]
#[case::other_runner(Unseen { found: Some(incarnation("i-9", 30)), live_at: 5_000 })]
fn run_outlasts_an_agent_without_its_runner(#[case] case: Unseen) {
    let mut world = World::new();
    world.advance(100);
    let (old, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &old));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let run = key(7, 0, 0, 1);
    assert_eq!(world.live(&old), [run]);
    for at in 0..case.live_at / 500 {
        let first = report("10.0.0.1", 1 + at, case.found.as_ref().unwrap_or(&old));
        let runner = first.runner.clone().filter(|_| case.found.is_some());
        world.report(Report { incarnation: 2, runner, ..first });
        world.report(report("10.0.0.2", 1 + at, &other));
        world.advance(500);
        assert!(
            world.live(&other).is_empty(),
            "started again {} ms after the order",
            500 * (at + 1)
        );
    }
}

/// What the first report of a new incarnation lists of a run that was assigned to the last one.
#[derive(Clone, Copy)]
enum Listed {
    Ended(End),
    Nothing,
    Running,
}

struct LateStart {
    listed: Listed,
    /// Runs of the new incarnation afterwards, by number.
    runs: &'static [u32],
    state: JobState,
}

/// A start that was sent to an incarnation and reached the next one runs there. It was taken for
/// lost, and the task was started again beside it or after its end.
#[rstest]
#[case::running(LateStart { listed: Listed::Running, runs: &[1], state: JobState::Running })]
#[case::done(LateStart { listed: Listed::Ended(End::Done), runs: &[], state: JobState::Completed })]
#[case::failed(LateStart { listed: Listed::Ended(End::Failed), runs: &[2], state: JobState::Running })]
#[case::never_arrived(LateStart { listed: Listed::Nothing, runs: &[2], state: JobState::Queued })]
fn start_that_reaches_the_next_incarnation_is_kept(#[case] case: LateStart) {
    let mut world = World::new();
    let (old, new) = (incarnation("i-1", 10), incarnation("i-1", 20));
    world.report(report("10.0.0.1", 1, &old));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let key = key(7, 0, 0, 1);
    let mut first = report("10.0.0.1", 2, &new);
    match case.listed {
        Listed::Ended(end) => first.ended = vec![EndedRun { number: 1, key, end, saved: None }],
        Listed::Nothing => {},
        Listed::Running => first.rows = vec![row(key)],
    }
    let orders = world.report(first).or_else(|| world.later_orders());
    let stops = orders.map(|orders| orders.stops).unwrap_or_default();
    assert!(stops.is_empty(), "stops {stops:?}");
    world.report(report("10.0.0.1", 3, &new));
    let runs: Vec<u32> = world.live(&new).iter().map(|key| key.run).collect();
    assert_eq!(runs, case.runs);
    assert!(world.live(&old).is_empty());
    assert_eq!(world.state("match", 7), Some(ClientReply::State(case.state)));
}

struct Forgotten {
    /// Whether the next incarnation is reported with the run before the election.
    adopted: bool,
    /// Time without an answer of the runner and its agent after the election, in ms.
    silent: u64,
}

/// A start that reached the next incarnation was forgotten with the leader: after an election the run
/// counted as held by the earlier incarnation, and its task was started again while it went on.
#[rstest]
#[case::reported_before_the_election(Forgotten { adopted: true, silent: 10_400 })]
#[case::never_reported(Forgotten { adopted: false, silent: 10_400 })]
fn next_leader_knows_which_incarnation_may_hold_a_run(#[case] case: Forgotten) {
    let mut world = World::new();
    world.advance(50_000);
    let (old, other) = (incarnation("i-1", wall(&world) - 50_000), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &old));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let run = key(7, 0, 0, 1);
    assert_eq!(world.live(&old), [run]);
    world.advance(1_000);
    if case.adopted {
        let new = incarnation("i-1", wall(&world) - 200);
        world.report(Report { rows: vec![row(run)], ..report("10.0.0.1", 2, &new) });
        assert_eq!(world.live(&new), [run]);
    }
    world.send(Message::Lead { leading: false });
    world.send(Message::Lead { leading: true });
    for tenth in 1..=case.silent / 100 {
        world.advance(100);
        world.report(report("10.0.0.2", tenth, &other));
        assert_eq!(world.live(&other), [], "started again {} ms after the election", 100 * tenth);
    }
}

/// How a report of the next incarnation, whose listing may lack ends, names a run that was assigned
/// to the last one.
#[derive(Clone, Copy)]
enum Named {
    Handling,
    Not,
    Stopping,
}

struct Partial {
    named: Named,
    /// Whether leadership changes before the report.
    elected: bool,
}

/// A run that a report names, or whose end its listing may lack, was closed as lost and its task
/// started again, and then it turned out to have ended as done.
#[rstest]
#[case::end_hidden(Partial { named: Named::Handling, elected: false })]
#[case::end_hidden_after_an_election(Partial { named: Named::Handling, elected: true })]
#[case::stopping(Partial { named: Named::Stopping, elected: false })]
#[case::not_listed_yet(Partial { named: Named::Not, elected: false })]
#[case::not_listed_yet_after_an_election(Partial { named: Named::Not, elected: true })]
fn runs_that_a_partial_listing_lacks_are_kept(#[case] case: Partial) {
    let mut world = World::new();
    let (old, new) = (incarnation("i-1", 10), incarnation("i-1", 20));
    world.report(report("10.0.0.1", 1, &old));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let run = key(7, 0, 0, 1);
    if case.elected {
        world.send(Message::Lead { leading: false });
        world.send(Message::Lead { leading: true });
    }
    let doubts = Doubts { partial: true, ..Doubts::default() };
    let partial = Report { doubts, ..report("10.0.0.1", 2, &new) };
    world.report(match case.named {
        Named::Handling => Report { handling: vec![run], ..partial },
        Named::Not => partial,
        Named::Stopping => Report { stopping: vec![run], ..partial },
    });
    let live = |world: &World| [world.live(&old), world.live(&new)].concat();
    assert_eq!(live(&world), [run]);
    let ended = vec![EndedRun { number: 501, key: run, end: End::Done, saved: None }];
    world.report(Report { ended, ..report("10.0.0.1", 3, &new) });
    assert_eq!(live(&world), []);
    assert_eq!(world.state("match", 7), Some(ClientReply::State(JobState::Completed)));
}

struct Copy {
    /// Time in ms for which the agent reports that a copy of the start may still be carried out.
    left: u64,
    /// Changes of leadership, 1 s apart, after the runner has fallen silent.
    elections: u32,
    /// Time in ms without an answer of the runner, within which the run stays.
    stays: u64,
}

/// A run that one incarnation had listed was started a second time by the next one, from a copy of
/// its start that had got no answer. The leader counted the lease of the first one only.
#[rstest]
#[case::answered(Copy { left: 0, elections: 0, stays: 5_800 })]
#[case::unanswered(Copy { left: 8_000, elections: 0, stays: 18_200 })]
#[case::unanswered_and_elected_twice(Copy { left: 8_000, elections: 2, stays: 18_200 })]
#[case::unanswered_and_elected(Copy { left: 8_000, elections: 1, stays: 18_200 })]
fn listed_run_with_a_copy_under_way_outlasts_its_lease(#[case] case: Copy) {
    let mut world = World::new();
    let (first, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &first));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let run = key(7, 0, 0, 1);
    let left = Some(case.left).filter(|left| *left > 0);
    let starts = left.map(|left| (run, Span::millis(left))).into_iter().collect();
    let doubts = Doubts { starts, ..Doubts::default() };
    world.report(Report { rows: vec![row(run)], doubts, ..report("10.0.0.1", 2, &first) });
    for _ in 0..case.elections {
        world.send(Message::Lead { leading: false });
        world.send(Message::Lead { leading: true });
        world.advance(1_000);
    }
    let mut tenths = 0;
    while world.live(&other).is_empty() {
        world.advance(100);
        tenths += 1;
        assert!(tenths < 300, "not started again after {} ms", 100 * tenths);
        world.report(report("10.0.0.2", tenths, &other));
    }
    assert!(100 * tenths > case.stays, "started again after {} ms", 100 * tenths);
}

/// A start was sent again for a run that had begun, and was carried out by the next incarnation.
#[test]
fn run_that_has_begun_is_not_started_again() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let run = key(7, 0, 0, 1);
    world.report(Report { rows: vec![row(run)], ..report("10.0.0.1", 2, &runner) });
    let orders = world.report(report("10.0.0.1", 3, &runner)).or_else(|| world.later_orders());
    let orders = orders.expect("orders");
    assert!(orders.starts.is_empty(), "{:?}", orders.starts);
    assert_eq!(orders.stops, [run]);
}

/// What the agent reports of a run that was closed.
struct Closed {
    /// Time in ms for which a copy of its start may still be carried out.
    left: u64,
    /// Whether its runner lists it as running after it was closed.
    running: bool,
    /// Whether its runner takes no tasks for a second.
    leaving: bool,
    /// Whether leadership changes after it was closed.
    elected: bool,
    /// Runner on which the task is started next, and whether that may be at once.
    next: &'static str,
    at_once: bool,
}

const CLOSED: Closed =
    Closed { left: 0, running: false, leaving: false, elected: false, next: "", at_once: false };

/// A run that was closed went on, from a copy of its start that the next incarnation had carried out,
/// while its task was started again elsewhere.
#[rstest]
#[case::certain(Closed { next: "i-2", at_once: true, ..CLOSED })]
#[case::copy_under_way(Closed { left: 6_000, next: "i-1", at_once: true, ..CLOSED })]
#[case::copy_under_way_without_room(Closed {
    left: 6_000, leaving: true, next: "i-1", at_once: false, ..CLOSED
})]
#[case::copy_under_way_at_an_election(Closed {
    left: 6_000, leaving: true, elected: true, next: "i-1", at_once: false, ..CLOSED
})]
#[case::running(Closed { running: true, next: "i-2", at_once: false, ..CLOSED })]
fn next_run_waits_for_copies_of_the_last_one(#[case] case: Closed) {
    let mut world = World::new();
    let (first, second) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &first));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let run = key(7, 0, 0, 1);
    let left = Some(case.left).filter(|left| *left > 0);
    let starts: Vec<_> = left.map(|left| (run, Span::millis(left))).into_iter().collect();
    let doubts = Doubts { starts, ..Doubts::default() };
    let doubted = |report: Report| Report { doubts: doubts.clone(), ..report };
    world.report(doubted(Report { rows: vec![row(run)], ..report("10.0.0.1", 2, &first) }));
    // It fails there, which is why another runner is preferred.
    world.report(report("10.0.0.2", 1, &second));
    world.hold = true;
    let ended = vec![EndedRun { number: 1, key: run, end: End::Failed, saved: None }];
    world.report(doubted(Report { ended, ..report("10.0.0.1", 3, &first) }));
    let rows: Vec<_> = case.running.then(|| row(run)).into_iter().collect();
    let mut fourth = doubted(Report { rows: rows.clone(), ..report("10.0.0.1", 4, &first) });
    fourth.runner.as_mut().expect("a runner").draining = case.leaving;
    world.report(fourth);
    world.release();
    if case.elected {
        world.send(Message::Lead { leading: false });
        world.send(Message::Lead { leading: true });
        world.report(report("10.0.0.2", 2, &second));
    }
    let started = |world: &World| [world.live(&first), world.live(&second)].concat();
    assert_eq!(!started(&world).is_empty(), case.at_once);
    for tenth in 0..150 {
        world.advance(100);
        let rows = if tenth < 10 { rows.clone() } else { Vec::new() };
        let mut next = doubted(Report { rows, ..report("10.0.0.1", 5 + tenth, &first) });
        next.runner.as_mut().expect("a runner").draining = case.leaving && tenth < 10;
        world.report(next);
        world.report(report("10.0.0.2", 5 + tenth, &second));
        let early = case.running && tenth < 10;
        assert!(!early || started(&world).is_empty(), "started beside the closed run");
    }
    let next = if case.next == "i-1" { &first } else { &second };
    assert_eq!(world.live(next), [key(7, 0, 0, 2)]);
}

/// A runner that doesn't guard its capacity was filled beside a closed run that it still listed, and
/// went over its capacity.
#[test]
fn closed_run_takes_room_until_it_is_stopped() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(1, 3_000)]);
    let rows = vec![row(key(7, 0, 0, 1))];
    world.report(Report { rows: rows.clone(), ..report("10.0.0.1", 2, &runner) });
    let denied = vec![(key(7, 0, 0, 1), Denial::Stopped)];
    world.report(Report { denied, rows: rows.clone(), ..report("10.0.0.1", 3, &runner) });
    world.ask("/match/0000000000000007", Verb::Cancel, Some(7));
    assert_eq!(world.live(&runner), []);
    world.submit("match", 8, vec![step(1, 2_000)]);
    world.report(Report { rows, ..report("10.0.0.1", 4, &runner) });
    world.advance(100);
    assert_eq!(world.live(&runner), [], "started beside the closed run");
    world.report(report("10.0.0.1", 5, &runner));
    world.advance(100);
    assert_eq!(world.live(&runner), [key(8, 0, 0, 1)]);
}
