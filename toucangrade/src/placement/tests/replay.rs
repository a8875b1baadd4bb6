//! Tests of how a new leader handles the executions that it restores from the log.

use super::*;

/// An execution that is restored from the log, on the first worker. Times are in milliseconds since
/// the change of leader.
struct Case {
    urgent: bool,
    /// Whether it was evicted and may still run.
    leaving: bool,
    /// When its worker first joins.
    heard: Option<u64>,
    /// When the worker reports that it has stopped.
    stopped: Option<u64>,
    /// Earliest and latest time at which its eviction is proposed; `None` if it is kept.
    evicted_within: Option<(u64, u64)>,
    /// Earliest and latest time at which it is started again.
    restarted_within: Option<(u64, u64)>,
}

/// Guards against executions that a new leader evicts before their workers could reach it, urgent
/// jobs that wait too long, and a second execution while the first may still run.
#[rstest]
#[case::heard_late_and_running(Case {
    urgent: false,
    leaving: false,
    heard: Some(2_000),
    stopped: None,
    evicted_within: None,
    restarted_within: None,
})]
#[case::never_heard(Case {
    urgent: true,
    leaving: false,
    heard: None,
    stopped: None,
    evicted_within: Some((6_000, 6_500)),
    restarted_within: Some((10_500, 11_500)),
})]
#[case::urgent_and_not_running(Case {
    urgent: true,
    leaving: false,
    heard: Some(500),
    stopped: Some(1_750),
    evicted_within: Some((1_250, 1_500)),
    restarted_within: Some((1_750, 1_750)),
})]
#[case::evicted_before(Case {
    urgent: true,
    leaving: true,
    heard: Some(500),
    stopped: Some(2_000),
    evicted_within: None,
    restarted_within: Some((2_000, 2_000)),
})]
#[case::evicted_before_and_never_heard(Case {
    urgent: true,
    leaving: true,
    heard: None,
    stopped: None,
    evicted_within: None,
    restarted_within: Some((10_500, 11_500)),
})]
fn replayed_executions_are_kept_or_restarted_once(#[case] case: Case) {
    let mut harness = Harness::new(0);
    harness.planner = Planner::new(Settings::latency());
    let (led, members) =
        (harness.now, Member { grant: Size::new(4_000, 4_000, 0), worker: worker(0) });
    let target = Target { fence: 3, job: name("j"), worker: worker(0) };
    harness.send(Message::Restore {
        begun: false,
        fence: 3,
        from: Checkpoint { done: 9, number: 2 },
        leaving: case.leaving,
        members: Some(vec![members]),
        spec: Spec { urgent: case.urgent, ..spec("j", 4) },
    });
    harness.send(Message::Lead);
    harness.join(1);
    let (mut ended, mut started) = (None, None);
    for millis in (0..=13_000).step_by(250) {
        harness.now = led + Span::millis(millis);
        if case.heard == Some(millis) {
            harness.join(0);
        }
        let runs = !case.urgent && case.heard.is_some_and(|at| at <= millis);
        if runs {
            harness.report(&target, Event::Started);
        }
        if case.stopped == Some(millis) {
            harness.report(&target, Event::Stopped(Checkpoint::default()));
        }
        harness.send(Message::Tick);
        let ends = |e: &Effect| matches!(e, Effect::Propose(Decision::Evict { .. }));
        ended = ended.or((harness.count(ends) > 0).then_some(millis));
        started = started.or((!harness.starts("j").is_empty()).then_some(millis));
    }
    let within = |at: Option<u64>, range: Option<(u64, u64)>| match (at, range) {
        (Some(at), Some((from, to))) => from <= at && at <= to,
        (at, range) => at.is_none() && range.is_none(),
    };
    assert!(within(ended, case.evicted_within), "its eviction is proposed at {ended:?}");
    assert!(within(started, case.restarted_within), "it is started again at {started:?}");
    assert!(harness.starts("j").iter().all(|(target, from)| target.fence == 4 && from.number == 2));
}

/// Guards against urgent jobs that wait for the full `URGENT_EVICT_DELAY` again after a change of
/// leader.
#[test]
fn time_without_a_leader_counts_towards_the_urgent_delay() {
    let mut harness = Harness::new(1);
    harness.submit(spec("j", 30));
    harness.confirm_start("j", 1);
    harness.now = harness.now + Span::secs(60);
    harness.planner.led_since = harness.now - Span::secs(1);
    harness.submit(Spec { urgent: true, ..spec("u", 8) });
    let asked = |effect: &Effect| matches!(effect, Effect::Checkpoint(_));
    assert_eq!(harness.count(asked), 1, "no eviction began although the leader has led for 1 s");
    let target = harness.last_start("j");
    harness.ticks(4);
    harness.report(&target, Event::Stopped(Checkpoint { done: 130, number: 2 }));
    assert_eq!(harness.starts("u").len(), 1, "freed resources were not used before the next tick");
}

/// A new leader that no worker has joined; in the log, `j` runs on the first worker under fencing
/// token 3.
fn new_leader_with_job() -> Harness {
    let mut harness = Harness::new(0);
    harness.planner = Planner::new(Settings::latency());
    let members = vec![Member { grant: Size::new(4_000, 4_000, 0), worker: worker(0) }];
    let (from, spec) = (Checkpoint::default(), spec("j", 4));
    let (begun, leaving, members) = (true, false, Some(members));
    harness.send(Message::Restore { begun, fence: 3, from, leaving, members, spec });
    harness.send(Message::Lead);
    harness
}

/// Guards against a new leader that refuses jobs for good before it knows the sizes of the workers.
#[test]
fn a_new_leader_refuses_nothing_before_workers_have_reported() {
    let mut harness = new_leader_with_job();
    harness.submit(Spec { urgent: true, ..spec("u", 20) });
    harness.submit(spec("huge", 100));
    harness.ticks(8);
    assert_eq!((harness.outcome("u"), harness.outcome("huge")), (None, None));
    harness.join(1);
    harness.ticks(1);
    assert_eq!(harness.starts("u").len(), 1);
    harness.join(0);
    harness.ticks(24);
    assert_eq!(harness.outcome("huge"), Some(Outcome::Refused), "it can never run");
}

/// Guards against a failed invariant, which stops the process, when a new leader applies decisions
/// of its predecessor late.
#[test]
fn an_assignment_by_the_previous_leader_is_adopted() {
    let mut harness = new_leader_with_job();
    harness.join(0);
    harness.join(1);
    let members = vec![Member { grant: Size::new(4_000, 4_000, 0), worker: worker(1) }];
    let (from, job) = (Checkpoint::default(), name("j"));
    harness.send(Message::Committed(Decision::Assign { fence: 4, from, job, members }));
    let target = Target { fence: 4, job: name("j"), worker: worker(1) };
    harness.report(&target, Event::Started);
    harness.ticks(40);
    assert!(harness.planner.jobs[&name("j")].is_running(), "the execution was not adopted");
    assert_eq!(harness.planner.workers[0].reserved(), Size::default());
}
