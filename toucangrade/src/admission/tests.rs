//! Tests of admission, eviction and stops at an agent.

use rstest::rstest;

use super::*;
use crate::core::{Answer, Checkpoint};

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn key(value: &str) -> Key {
    Key::new(value).unwrap()
}

fn runner() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn announce(slots: u32, connections: u32, leaving: bool) -> Message {
    let kinds = vec![name("quote")];
    let announce = Announce {
        service: name("balcao"),
        kinds,
        slots,
        connections,
        addr: runner(),
        leaving,
        busy: 0,
        checkpoints: vec![name("quote")],
    };
    Message::Announce { ticket: 0, announce }
}

fn start(ticket: u64, k: &str, fence: u64) -> Start {
    let _ = ticket;
    Start {
        key: key(k),
        fence,
        service: name("balcao"),
        kind: name("quote"),
        class: Class::Quick,
        partition: 1,
        epoch: 1,
        incarnation: 5,
        start_by: Moment::START + Span::millis(500),
        lease: Span::millis(2_000),
        resume: None,
        body: Bytes::new(),
    }
}

fn begin(ticket: u64, k: &str, fence: u64) -> Message {
    Message::Start { ticket, start: start(ticket, k, fence) }
}

fn ended(k: &str, fence: u64) -> Message {
    let answer = Answer { status: 200, media: String::new(), body: Bytes::from("fine") };
    Message::Ended { key: key(k), fence, result: Ok(RunnerAnswer { answer, declined: false }) }
}

fn failed(k: &str, fence: u64) -> Message {
    let answer = Answer { status: 409, media: String::new(), body: Bytes::from("stopped") };
    Message::Ended { key: key(k), fence, result: Ok(RunnerAnswer { answer, declined: false }) }
}

fn lost(k: &str, fence: u64) -> Message {
    Message::Ended { key: key(k), fence, result: Err(CallError::Lost) }
}

fn ask(ticket: u64, k: &str, fence: u64) -> Message {
    Message::Query {
        ticket,
        about: Some(AttemptQuery {
            key: key(k),
            fence,
            incarnation: 5,
            start_by: Moment::START + Span::millis(500),
        }),
    }
}

/// Summary of each effect that the cases check.
fn summarise(effects: Vec<Effect>) -> Vec<String> {
    let summary = |effect| match effect {
        Effect::Announced { error, .. } => error.map(|error| format!("error {error}")),
        Effect::Evict { key, .. } => Some(format!("evict {key}")),
        Effect::Offers(_) => None,
        Effect::Reply { ticket, reported } => Some(match reported.report {
            Report::Ended(_) => format!("ended {ticket}"),
            Report::Evicted { checkpoint } => format!("evicted {ticket} {checkpoint}"),
            Report::Forgotten => format!("forgotten {ticket}"),
            Report::Lost { .. } => format!("lost {ticket}"),
            Report::Refused { code, .. } => format!("{code} {ticket}"),
            Report::Running => format!("running {ticket}"),
        }),
        Effect::Run { key, checkpoint: Some(from), .. } => Some(format!("run {key} from {from}")),
        Effect::Run { key, .. } => Some(format!("run {key}")),
        Effect::Stop { key, .. } => Some(format!("stop {key}")),
    };
    effects.into_iter().filter_map(summary).collect()
}

struct Case {
    messages: Vec<(u64, Message)>,
    expected: Vec<&'static str>,
}

/// Runs the messages, each with its time in milliseconds, against an agent whose only runner has
/// this number of slots; returns the summaries of the effects.
fn run_messages(
    mut admission: Admission,
    slots: u32,
    messages: Vec<(u64, Message)>,
) -> Vec<String> {
    admission.step(Moment::START, Message::LeaseExtended { until: Moment::START + Span::secs(9) });
    admission.step(Moment::START, announce(slots, 3, false));
    let mut actual = Vec::new();
    for (millis, message) in messages {
        actual.extend(summarise(admission.step(Moment::START + Span::millis(millis), message)));
    }
    actual
}

/// Guards against runners beyond their capacity, attempts that run twice, and false refusals.
#[rstest]
#[case::capacity_is_not_exceeded(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (0, begin(4, "d", 1)),
        (1, ended("a", 1)), (1, ended("b", 1)), (1, ended("c", 1)),
    ],
    expected: vec!["run a", "run b", "full 4", "ended 1", "run c", "ended 2", "ended 3"],
})]
#[case::resent_start_joins(Case {
    messages: vec![(0, begin(1, "a", 1)), (0, begin(2, "a", 1)), (1, ended("a", 1)), (2, begin(3, "a", 1))],
    expected: vec!["run a", "ended 1", "ended 2", "ended 3"],
})]
#[case::stale_fence(Case {
    messages: vec![(0, begin(1, "a", 2)), (0, begin(2, "a", 1))],
    expected: vec!["run a", "stale-fence 2"],
})]
#[case::earlier_attempt_blocks(Case {
    messages: vec![(0, begin(1, "a", 1)), (0, begin(2, "a", 2))],
    expected: vec!["run a", "earlier-attempt 2"],
})]
#[case::query_before_start_forbids_it(Case {
    messages: vec![(0, ask(1, "a", 1)), (1, begin(2, "a", 1))],
    expected: vec!["never-started 1", "never-started 2"],
})]
#[case::restarted_agent_has_no_record(Case {
    messages: vec![(0, Message::Query {
        ticket: 1,
        about: Some(AttemptQuery { key: key("a"), fence: 1, incarnation: 4, start_by: Moment::START + Span::millis(500) }),
    })],
    expected: vec!["forgotten 1"],
})]
#[case::too_late(Case {
    messages: vec![(501, announce(2, 3, false)), (501, begin(1, "a", 1))],
    expected: vec!["too-late 1"],
})]
#[case::waits_until_start_by(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (501, Message::Tick),
        (502, ended("a", 1)),
    ],
    expected: vec!["run a", "run b", "full 3", "ended 1"],
})]
#[case::lost_answer_keeps_the_slot(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (1, lost("a", 1)),
        (2, Message::Stopped { key: key("a"), fence: 1, confirmed: false }),
        (3, Message::Stopped { key: key("a"), fence: 1, confirmed: true }),
    ],
    expected: vec!["run a", "run b", "stop a", "lost 1", "run c"],
})]
#[case::lease_ends(Case {
    messages: vec![(0, begin(1, "a", 1)), (1_999, Message::Tick), (2_000, Message::Tick), (2_100, Message::Tick)],
    expected: vec!["run a", "stop a"],
})]
#[case::leaving_runner_gets_nothing(Case {
    messages: vec![(0, announce(2, 3, true)), (0, begin(1, "a", 1))],
    expected: vec!["no-runner 1"],
})]
#[case::draining_finishes_what_runs(Case {
    messages: vec![(0, begin(1, "a", 1)), (0, Message::Drain), (0, begin(2, "b", 1)), (1, ended("a", 1))],
    expected: vec!["run a", "draining 2", "ended 1"],
})]
#[case::outcome_is_recorded_once(Case {
    messages: vec![(0, begin(1, "a", 1)), (1, ended("a", 1)), (1, ended("a", 1)), (1, lost("a", 1))],
    expected: vec!["run a", "ended 1"],
})]
#[case::start_by_time_is_checked_before_the_lease(Case {
    messages: vec![(9_000, announce(2, 3, false)), (9_000, begin(1, "a", 1))],
    expected: vec!["too-late 1"],
})]
#[case::copy_of_a_refused_start(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (0, begin(4, "d", 1)),
        (1, ended("a", 1)), (2, begin(5, "d", 1)), (2, begin(6, "d", 2)),
    ],
    expected: vec!["run a", "run b", "full 4", "ended 1", "run c", "refused-before 5"],
})]
#[case::fewer_connections_than_in_use(Case {
    messages: vec![
        (0, announce(1, 4, false)), (0, begin(1, "a", 1)), (0, begin(2, "b", 1)),
        (0, begin(3, "c", 1)), (0, begin(4, "d", 1)), (1, announce(1, 1, false)), (2, ended("a", 1)),
    ],
    expected: vec!["run a", "ended 1", "run b"],
})]
#[case::fewer_slots_than_in_use(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)),
        (1, announce(1, 3, false)), (2, ended("a", 1)), (3, ended("b", 1)),
    ],
    expected: vec!["run a", "run b", "ended 1", "ended 2", "run c"],
})]
#[case::runner_restarts(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (1, lost("a", 1)), (1, announce(2, 3, false)),
        (2, Message::Stopped { key: key("a"), fence: 1, confirmed: true }), (3, begin(2, "a", 1)),
    ],
    expected: vec!["run a", "stop a", "lost 1", "lost 2"],
})]
#[case::error_at_the_end_of_the_lease_is_no_answer(Case {
    messages: vec![(0, begin(1, "a", 1)), (1_950, failed("a", 1))],
    expected: vec!["run a", "lost 1"],
})]
#[case::error_within_the_lease_is_an_answer(Case {
    messages: vec![(0, begin(1, "a", 1)), (1_000, failed("a", 1))],
    expected: vec!["run a", "ended 1"],
})]
#[case::answer_after_a_stop(Case {
    messages: vec![(0, begin(1, "a", 1)), (2_000, Message::Tick), (2_001, ended("a", 1))],
    expected: vec!["run a", "stop a", "ended 1"],
})]
#[case::bad_announcement(Case {
    messages: vec![(0, announce(4, 3, false))],
    expected: vec!["error connections is 3, allowed is 4 to 100000"],
})]
fn attempts_are_admitted_within_capacity(#[case] case: Case) {
    assert_eq!(run_messages(Admission::new(5), 2, case.messages), case.expected);
}

/// Guards against a runner beyond its capacity after its agent was restarted.
#[test]
fn executions_of_an_earlier_incarnation_count() {
    let mut admission = Admission::new(5);
    admission.step(Moment::START, Message::LeaseExtended { until: Moment::START + Span::secs(9) });
    let announced = |busy, admission: &mut Admission| {
        let Message::Announce { ticket, announce } = announce(2, 3, false) else { unreachable!() };
        let message = Message::Announce { ticket, announce: Announce { busy, ..announce } };
        summarise(admission.step(Moment::START, message))
    };
    announced(2, &mut admission);
    assert_eq!(summarise(admission.step(Moment::START, begin(1, "a", 1))), [""; 0]);
    assert_eq!(summarise(admission.step(Moment::START, begin(2, "b", 1))), ["full 2"]);
    assert_eq!(announced(1, &mut admission), ["run a"]);
    assert_eq!(announced(2, &mut admission), [""; 0], "own executions are not foreign");
}

/// Guards against a not-run verdict for an attempt whose outcome the agent no longer retains.
#[test]
fn dropped_outcomes_are_reported_as_lost() {
    let mut admission = Admission::new(5);
    admission.step(Moment::START, Message::LeaseExtended { until: Moment::START + Span::secs(99) });
    admission.step(Moment::START, announce(2, 3, false));
    admission.step(Moment::START, begin(1, "a", 1));
    admission.step(Moment::START, ended("a", 1));
    let later = Moment::START + RETENTION + Span::millis(1);
    admission.step(later, Message::Tick);
    assert_eq!(summarise(admission.step(later, ask(2, "a", 1))), ["lost 2"]);
    assert_eq!(summarise(admission.step(later, begin(3, "a", 1))), ["too-late 3"]);
}

struct Refused {
    start: Start,
    code: &'static str,
}

/// Guards against starts by replaced owners, for replaced agents, or of kinds without a runner.
#[rstest]
#[case::old_epoch(Refused { start: Start { epoch: 0, ..start(1, "b", 1) }, code: "stale-epoch" })]
#[case::old_incarnation(Refused {
    start: Start { incarnation: 4, ..start(1, "b", 1) },
    code: "other-incarnation",
})]
#[case::unknown_kind(Refused {
    start: Start { kind: name("match"), ..start(1, "b", 1) },
    code: "no-runner",
})]
fn outdated_starts_are_refused(#[case] case: Refused) {
    let mut admission = Admission::new(5);
    admission.step(Moment::START, Message::LeaseExtended { until: Moment::START + Span::secs(9) });
    admission.step(Moment::START, announce(2, 3, false));
    admission.step(Moment::START, begin(1, "a", 1));
    let message = Message::Start { ticket: 2, start: case.start };
    assert_eq!(summarise(admission.step(Moment::START, message)), [format!("{} 2", case.code)]);
}

/// Guards against memory that grows with the number of ended attempts.
#[test]
fn ended_attempts_are_dropped() {
    let mut admission = Admission::new(5);
    let mut now = Moment::START;
    for n in 0..2_000 {
        let at = now;
        admission.step(now, Message::LeaseExtended { until: now + Span::secs(9) });
        admission.step(now, announce(2, 3, false));
        let k = format!("k{n}");
        let start = Start { start_by: at + Span::millis(500), ..start(1, &k, 1) };
        admission.step(now, Message::Start { ticket: n, start });
        admission.step(now, ended(&k, 1));
        now = now + Span::millis(100);
    }
    admission.step(now + RETENTION, Message::Tick);
    admission.step(now + RETENTION + Span::millis(1), Message::Tick);
    assert_eq!((admission.attempts.len(), admission.ended.len(), admission.kept_bytes), (0, 0, 0));
}

struct Shared {
    /// Classes of the attempts in the order of arrival; the runner has 4 slots and 8 connections.
    starts: Vec<Class>,
    /// Indices of the attempts that run, and the number of refused ones.
    running: Vec<usize>,
    refused: usize,
}

/// Guards against batch work that uses every slot or connection while quick work waits, and against
/// slots that stay reserved at runners without quick work.
#[rstest]
#[case::batch_alone(Shared {
    starts: vec![Class::Batch; 9], running: vec![0, 1, 2, 3], refused: 1,
})]
#[case::quarter_is_reserved_for_quick_work(Shared {
    starts: [vec![Class::Quick], vec![Class::Batch; 8]].concat(),
    running: vec![0, 1, 2, 3],
    refused: 2,
})]
#[case::quick_goes_first(Shared {
    starts: [vec![Class::Quick; 3], vec![Class::Once; 3], vec![Class::Quick]].concat(),
    running: vec![0, 1, 2, 3],
    refused: 0,
})]
#[case::quick_takes_the_reserved_slot(Shared {
    starts: [vec![Class::Quick], vec![Class::Batch; 5], vec![Class::Quick; 2]].concat(),
    running: vec![0, 1, 2, 3],
    refused: 0,
})]
fn quick_attempts_have_reserved_capacity(#[case] case: Shared) {
    let mut admission = Admission::new(5);
    let now = Moment::START;
    admission.step(now, Message::LeaseExtended { until: now + Span::secs(9) });
    admission.step(now, announce(4, 8, false));
    let (mut running, mut refused) = (Vec::new(), 0);
    let mut apply = |effects: Vec<Effect>| {
        for effect in effects {
            match effect {
                Effect::Run { key, .. } => running.push(key.as_str().parse().unwrap()),
                Effect::Reply { .. } => refused += 1,
                _ => {},
            }
        }
    };
    for (n, &class) in case.starts.iter().enumerate() {
        let start = Start { class, ..start(1, &n.to_string(), 1) };
        apply(admission.step(now, Message::Start { ticket: n as u64, start }));
    }
    assert_eq!((running, refused), (case.running, case.refused));
}

/// Guards against a freed slot that goes to batch work while a quick attempt waits for it.
#[test]
fn freed_slot_goes_to_quick_work() {
    let mut admission = Admission::new(5);
    let now = Moment::START;
    admission.step(now, Message::LeaseExtended { until: now + Span::secs(9) });
    admission.step(now, announce(1, 8, false));
    for (n, class) in [Class::Quick, Class::Batch, Class::Quick].into_iter().enumerate() {
        let start = Start { class, ..start(1, &n.to_string(), 1) };
        admission.step(now, Message::Start { ticket: n as u64, start });
    }
    for (done, next) in [("0", "2"), ("2", "1")] {
        let effects = admission.step(now, ended(done, 1));
        let started =
            |effect: &Effect| matches!(effect, Effect::Run { key, .. } if key.as_str() == next);
        assert!(effects.iter().any(started), "{next} follows {done}: {effects:?}");
    }
}

/// Guards against starvation of batch work by quick work.
#[test]
fn batch_work_is_not_starved() {
    let mut admission = Admission::new(5);
    let now = Moment::START;
    admission.step(now, Message::LeaseExtended { until: now + Span::secs(9) });
    admission.step(now, announce(8, 64, false));
    let starts = [vec![Class::Quick; 20], vec![Class::Batch]].concat();
    for (n, class) in starts.into_iter().enumerate() {
        let start = Start { class, ..start(1, &n.to_string(), 1) };
        admission.step(now, Message::Start { ticket: n as u64, start });
    }
    let effects = admission.step(now, ended("0", 1));
    let started =
        |effect: &Effect| matches!(effect, Effect::Run { key, .. } if key.as_str() == "20");
    assert!(effects.iter().any(started), "{effects:?}");
}

/// Guards against a mistyped kind in `checkpoints`, whose executions would never be evicted.
#[test]
fn checkpoints_must_name_announced_kinds() {
    let mut admission = Admission::new(5);
    let Message::Announce { ticket, mut announce } = announce(1, 3, false) else { unreachable!() };
    announce.checkpoints = vec![name("qoute")];
    let actual = summarise(admission.step(Moment::START, Message::Announce { ticket, announce }));
    assert_eq!(actual, ["error checkpoints names qoute, allowed are the names in kinds"]);
}

/// A start of a batch attempt after this number of evictions.
fn batch(ticket: u64, k: &str, evictions: u32) -> Message {
    let checkpoint = Checkpoint::new("c-0").unwrap();
    let resume = Some(Resume { checkpoint, evictions }).filter(|_| evictions > 0);
    let start = Start { class: Class::Batch, resume, ..start(ticket, k, 2) };
    Message::Start { ticket, start }
}

fn evicted(k: &str, fence: u64, halt: EvictReply) -> Message {
    Message::EvictReplied { key: key(k), fence, halt }
}

fn checkpointed() -> EvictReply {
    EvictReply::Checkpointed(Checkpoint::new("c-1").unwrap())
}

/// Guards against slots that are freed while an execution may still run, against lost checkpoints,
/// and against evictions of executions that can't resume. The runner has one slot.
#[rstest]
#[case::runner_leaves(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, announce(1, 3, true)), (9, evicted("a", 2, checkpointed()))],
    expected: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::agent_drains(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, checkpointed()))],
    expected: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::resumes(Case {
    messages: vec![(0, batch(1, "a", 7)), (1, announce(1, 3, true)), (2, announce(1, 3, true))],
    expected: vec!["run a from c-0", "evict a"],
})]
#[case::stays_after_eight_evictions(Case {
    messages: vec![(0, batch(1, "a", 8)), (1, Message::Drain), (2, ended("a", 2))],
    expected: vec!["run a from c-0", "ended 1"],
})]
#[case::quick_work_stays(Case {
    messages: vec![(0, begin(1, "a", 2)), (1, Message::Drain), (2, ended("a", 2))],
    expected: vec!["run a", "ended 1"],
})]
#[case::waiting_attempt_is_refused(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, batch(2, "b", 0)), (1, announce(1, 3, true)),
        (2, batch(3, "b", 0)), (9, evicted("a", 2, checkpointed())),
    ],
    expected: vec!["run a", "evict a", "leaving 2", "leaving 3", "evicted 1 c-1"],
})]
#[case::stop_without_a_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, EvictReply::Stopped)),
        (10, failed("a", 2)),
    ],
    expected: vec!["run a", "evict a", "lost 1"],
})]
#[case::stop_and_no_response(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, EvictReply::Stopped)),
        (508, Message::Tick), (508, ask(2, "a", 2)), (509, Message::Tick),
    ],
    expected: vec!["run a", "evict a", "running 2", "lost 1"],
})]
#[case::answer_follows_the_stop(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, EvictReply::Stopped)),
        (10, ended("a", 2)),
    ],
    expected: vec!["run a", "evict a", "ended 1"],
})]
#[case::runner_withdraws_its_leaving(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, announce(1, 3, true)), (9, evicted("a", 2, EvictReply::Unknown)),
        (10, announce(1, 3, false)), (509, Message::Tick), (520, evicted("a", 2, checkpointed())),
    ],
    expected: vec!["run a", "evict a", "evict a", "evicted 1 c-1"],
})]
#[case::leaves_with_more_slots(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, batch(2, "b", 0)), (0, batch(3, "c", 0)), (1, announce(3, 3, true)),
    ],
    expected: vec!["run a", "evict a", "leaving 2", "leaving 3"],
})]
#[case::refusing_back_end_keeps_the_slot(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, begin(2, "b", 2)), (1, announce(1, 3, true)),
        (9, evicted("a", 2, EvictReply::Refused)), (600, Message::Tick), (900, ended("a", 2)),
    ],
    expected: vec!["run a", "evict a", "full 2", "ended 1"],
})]
#[case::lost_answer_is_asked_for_again(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, begin(2, "b", 2)), (1, announce(1, 3, true)),
        (9, evicted("a", 2, EvictReply::Unknown)), (508, Message::Tick), (509, Message::Tick),
        (510, Message::Tick), (520, evicted("a", 2, checkpointed())),
    ],
    expected: vec!["run a", "evict a", "full 2", "evict a", "evicted 1 c-1"],
})]
#[case::stopped_execution_waits_for_its_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, failed("a", 2)), (9, evicted("a", 2, checkpointed())),
    ],
    expected: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::stopped_execution_without_a_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, failed("a", 2)),
        (9, evicted("a", 2, EvictReply::Refused)),
    ],
    expected: vec!["run a", "evict a", "lost 1"],
})]
#[case::answer_takes_precedence_over_the_eviction(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, ended("a", 2)), (9, evicted("a", 2, checkpointed())),
    ],
    expected: vec!["run a", "evict a", "ended 1"],
})]
#[case::broken_connection_waits_for_the_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, lost("a", 2)), (9, evicted("a", 2, checkpointed())),
    ],
    expected: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::broken_connection_and_refused(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, lost("a", 2)),
        (9, evicted("a", 2, EvictReply::Refused)), (10, Message::Tick),
        (11, Message::Stopped { key: key("a"), fence: 2, confirmed: true }),
    ],
    expected: vec!["run a", "evict a", "stop a", "lost 1"],
})]
#[case::lease_ends_during_the_eviction(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, Message::Drain), (2_000, Message::Tick)],
    expected: vec!["run a", "evict a", "stop a"],
})]
#[case::older_fence(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, Message::Drain), (2, evicted("a", 1, checkpointed()))],
    expected: vec!["run a", "evict a"],
})]
#[case::lost_report_is_asked_for(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, checkpointed())),
        (10, evicted("a", 2, EvictReply::Stopped)), (60, ask(2, "a", 2)),
    ],
    expected: vec!["run a", "evict a", "evicted 1 c-1", "evicted 2 c-1"],
})]
fn leaving_runners_evict_batch_work(#[case] case: Case) {
    assert_eq!(run_messages(Admission::new(5), 1, case.messages), case.expected);
}

/// Guards against evictions of attempts that end by themselves within the grace time, here 1 s, and
/// against attempts that are never evicted.
#[rstest]
#[case::ends_in_time(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (1_000, Message::Tick), (1_000, ended("a", 2)),
    ],
    expected: vec!["run a", "ended 1"],
})]
#[case::takes_longer(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, announce(1, 3, true)), (500, announce(1, 3, true)),
        (1_001, Message::Tick),
    ],
    expected: vec!["run a", "evict a"],
})]
#[case::leaves_again_later(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, announce(1, 3, true)), (500, announce(1, 3, false)),
        (800, announce(1, 3, true)), (1_001, Message::Tick), (1_800, Message::Tick),
    ],
    expected: vec!["run a", "evict a"],
})]
fn batch_work_gets_grace_time(#[case] case: Case) {
    assert_eq!(
        run_messages(Admission::new(5).grace(Span::secs(1)), 1, case.messages),
        case.expected
    );
}
