//! Tests of what a new leader does with the executions that the log holds.

use super::*;

/// An execution of the log on the first worker.
struct Case {
    urgent: bool,
    /// Whether it was evicted and may still run.
    leaving: bool,
    /// When its worker is first heard, after the change of leader.
    heard: Option<u64>,
    /// When the worker says that it has stopped.
    stopped: Option<u64>,
    /// Times between which its end is proposed, if it is.
    ends: Option<(u64, u64)>,
    /// Times between which it is started again.
    starts: Option<(u64, u64)>,
}

/// Guards against executions that a new leader evicts before their workers could find it, against
/// urgent work that waits for long, and against a second execution beside one that may still run.
#[rstest]
#[case::heard_late_and_running(Case {
    urgent: false, leaving: false, heard: Some(2_000), stopped: None, ends: None, starts: None,
})]
#[case::never_heard(Case {
    urgent: true,
    leaving: false,
    heard: None,
    stopped: None,
    ends: Some((6_000, 6_500)),
    starts: Some((10_500, 11_500)),
})]
#[case::urgent_and_not_there(Case {
    urgent: true,
    leaving: false,
    heard: Some(500),
    stopped: Some(1_750),
    ends: Some((1_250, 1_500)),
    starts: Some((1_750, 1_750)),
})]
#[case::evicted_before(Case {
    urgent: true,
    leaving: true,
    heard: Some(500),
    stopped: Some(2_000),
    ends: None,
    starts: Some((2_000, 2_000)),
})]
#[case::evicted_before_and_never_heard(Case {
    urgent: true,
    leaving: true,
    heard: None,
    stopped: None,
    ends: None,
    starts: Some((10_500, 11_500)),
})]
fn executions_of_the_log_keep_to_one_place(#[case] case: Case) {
    let mut world = World::new(0);
    world.planner = Planner::new(Settings::latency());
    let (led, members) =
        (world.now, Member { grant: Size::new(4_000, 4_000, 0), worker: worker(0) });
    let target = Target { fence: 3, job: name("j"), worker: worker(0) };
    world.tell(Message::Restore {
        fence: 3,
        from: Checkpoint { done: 9, number: 2 },
        leaving: case.leaving,
        members: Some(vec![members]),
        spec: Spec { urgent: case.urgent, ..spec("j", 4) },
    });
    world.tell(Message::Lead);
    world.join(1);
    let (mut ended, mut started) = (None, None);
    for millis in (0..=13_000).step_by(250) {
        world.now = led + Span::millis(millis);
        if case.heard == Some(millis) {
            world.join(0);
        }
        let runs = !case.urgent && case.heard.is_some_and(|at| at <= millis);
        if runs {
            world.report(&target, Event::Started);
        }
        if case.stopped == Some(millis) {
            world.report(&target, Event::Stopped(Checkpoint::default()));
        }
        world.tell(Message::Tick);
        let ends = |e: &Effect| matches!(e, Effect::Propose(Decision::Evict { .. }));
        ended = ended.or((world.count(ends) > 0).then_some(millis));
        started = started.or((!world.starts("j").is_empty()).then_some(millis));
    }
    let within = |at: Option<u64>, range: Option<(u64, u64)>| match (at, range) {
        (Some(at), Some((from, to))) => from <= at && at <= to,
        (at, range) => at.is_none() && range.is_none(),
    };
    assert!(within(ended, case.ends), "its end is proposed at {ended:?}");
    assert!(within(started, case.starts), "it is started again at {started:?}");
    assert!(world.starts("j").iter().all(|(target, from)| target.fence == 4 && from.number == 2));
}

/// Guards against urgent work for which room is made as late after a change of leader as usual.
#[test]
fn a_change_of_leader_counts_as_patience() {
    let mut world = World::new(1);
    world.submit(spec("j", 30));
    world.run("j", 1);
    world.now = world.now + Span::secs(60);
    world.planner.led_since = world.now - Span::secs(1);
    world.submit(Spec { urgent: true, ..spec("u", 8) });
    let asked = |effect: &Effect| matches!(effect, Effect::Checkpoint(_));
    assert_eq!(world.count(asked), 1, "no room is made although the leader is 1 s old");
    let target = world.last("j");
    world.ticks(4);
    world.report(&target, Event::Stopped(Checkpoint { done: 130, number: 2 }));
    assert_eq!(world.starts("u").len(), 1, "room that is there is not used before the next tick");
}

/// A new leader that has heard no worker; the log holds `j` on the first worker under token 3.
fn taken_over() -> World {
    let mut world = World::new(0);
    world.planner = Planner::new(Settings::latency());
    let members = vec![Member { grant: Size::new(4_000, 4_000, 0), worker: worker(0) }];
    let (from, spec) = (Checkpoint::default(), spec("j", 4));
    world.tell(Message::Restore { fence: 3, from, leaving: false, members: Some(members), spec });
    world.tell(Message::Lead);
    world
}

/// Guards against jobs that a new leader refuses for good because it knows no worker's size yet.
#[test]
fn a_new_leader_refuses_nothing_before_workers_could_find_it() {
    let mut world = taken_over();
    world.submit(Spec { urgent: true, ..spec("u", 20) });
    world.submit(spec("huge", 100));
    world.ticks(8);
    assert_eq!((world.outcome("u"), world.outcome("huge")), (None, None));
    world.join(1);
    world.ticks(1);
    assert_eq!(world.starts("u").len(), 1);
    world.join(0);
    world.ticks(24);
    assert_eq!(world.outcome("huge"), Some(Outcome::Refused), "it can never run");
}

/// Guards against a stop of the process when decisions of the leader before are applied late.
#[test]
fn an_assignment_of_the_leader_before_is_taken_over() {
    let mut world = taken_over();
    world.join(0);
    world.join(1);
    let members = vec![Member { grant: Size::new(4_000, 4_000, 0), worker: worker(1) }];
    let (from, job) = (Checkpoint::default(), name("j"));
    world.tell(Message::Committed(Decision::Assign { fence: 4, from, job, members }));
    let target = Target { fence: 4, job: name("j"), worker: worker(1) };
    world.report(&target, Event::Started);
    world.ticks(40);
    assert!(world.planner.jobs[&name("j")].is_running(), "the execution was not taken over");
    assert_eq!(world.planner.workers[0].reserved(), Size::default());
}
