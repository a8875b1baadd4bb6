//! Tests of the agent's ledger.

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
    Message::Ended { key: key(k), fence, result: Ok(Outcome { answer, declined: false }) }
}

fn failed(k: &str, fence: u64) -> Message {
    let answer = Answer { status: 409, media: String::new(), body: Bytes::from("stopped") };
    Message::Ended { key: key(k), fence, result: Ok(Outcome { answer, declined: false }) }
}

fn lost(k: &str, fence: u64) -> Message {
    Message::Ended { key: key(k), fence, result: Err(CallError::Lost) }
}

fn ask(ticket: u64, k: &str, fence: u64) -> Message {
    Message::Query {
        ticket,
        about: Some(Question {
            key: key(k),
            fence,
            incarnation: 5,
            start_by: Moment::START + Span::millis(500),
        }),
    }
}

/// One word for each effect.
fn words(effects: Vec<Effect>) -> Vec<String> {
    let word = |effect| match effect {
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
    effects.into_iter().filter_map(word).collect()
}

struct Case {
    messages: Vec<(u64, Message)>,
    words: Vec<&'static str>,
}

/// What a ledger with one runner of so many slots does on messages at these milliseconds.
fn played(mut admission: Admission, slots: u32, messages: Vec<(u64, Message)>) -> Vec<String> {
    admission.step(Moment::START, Message::Confirmed { until: Moment::START + Span::secs(9) });
    admission.step(Moment::START, announce(slots, 3, false));
    let mut seen = Vec::new();
    for (millis, message) in messages {
        seen.extend(words(admission.step(Moment::START + Span::millis(millis), message)));
    }
    seen
}

/// Guards against overfilled runners, attempts that run twice, and false refusals.
#[rstest]
#[case::room_is_kept(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (0, begin(4, "d", 1)),
        (1, ended("a", 1)), (1, ended("b", 1)), (1, ended("c", 1)),
    ],
    words: vec!["run a", "run b", "full 4", "ended 1", "run c", "ended 2", "ended 3"],
})]
#[case::resent_start_joins(Case {
    messages: vec![(0, begin(1, "a", 1)), (0, begin(2, "a", 1)), (1, ended("a", 1)), (2, begin(3, "a", 1))],
    words: vec!["run a", "ended 1", "ended 2", "ended 3"],
})]
#[case::stale_fence(Case {
    messages: vec![(0, begin(1, "a", 2)), (0, begin(2, "a", 1))],
    words: vec!["run a", "stale-fence 2"],
})]
#[case::earlier_attempt_blocks(Case {
    messages: vec![(0, begin(1, "a", 1)), (0, begin(2, "a", 2))],
    words: vec!["run a", "earlier-attempt 2"],
})]
#[case::query_before_start_forbids_it(Case {
    messages: vec![(0, ask(1, "a", 1)), (1, begin(2, "a", 1))],
    words: vec!["never-started 1", "never-started 2"],
})]
#[case::restarted_agent_does_not_guess(Case {
    messages: vec![(0, Message::Query {
        ticket: 1,
        about: Some(Question { key: key("a"), fence: 1, incarnation: 4, start_by: Moment::START + Span::millis(500) }),
    })],
    words: vec!["forgotten 1"],
})]
#[case::too_late(Case {
    messages: vec![(501, announce(2, 3, false)), (501, begin(1, "a", 1))],
    words: vec!["too-late 1"],
})]
#[case::waits_until_start_by(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (501, Message::Tick),
        (502, ended("a", 1)),
    ],
    words: vec!["run a", "run b", "full 3", "ended 1"],
})]
#[case::lost_answer_keeps_the_slot(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (1, lost("a", 1)),
        (2, Message::Stopped { key: key("a"), fence: 1, confirmed: false }),
        (3, Message::Stopped { key: key("a"), fence: 1, confirmed: true }),
    ],
    words: vec!["run a", "run b", "stop a", "lost 1", "run c"],
})]
#[case::lease_ends(Case {
    messages: vec![(0, begin(1, "a", 1)), (1_999, Message::Tick), (2_000, Message::Tick), (2_100, Message::Tick)],
    words: vec!["run a", "stop a"],
})]
#[case::leaving_runner_gets_nothing(Case {
    messages: vec![(0, announce(2, 3, true)), (0, begin(1, "a", 1))],
    words: vec!["no-runner 1"],
})]
#[case::draining_finishes_what_runs(Case {
    messages: vec![(0, begin(1, "a", 1)), (0, Message::Drain), (0, begin(2, "b", 1)), (1, ended("a", 1))],
    words: vec!["run a", "draining 2", "ended 1"],
})]
#[case::ends_count_once(Case {
    messages: vec![(0, begin(1, "a", 1)), (1, ended("a", 1)), (1, ended("a", 1)), (1, lost("a", 1))],
    words: vec!["run a", "ended 1"],
})]
#[case::no_lease_no_work(Case {
    messages: vec![(9_000, announce(2, 3, false)), (9_000, begin(1, "a", 1))],
    words: vec!["too-late 1"],
})]
#[case::copy_of_a_refused_start(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)), (0, begin(4, "d", 1)),
        (1, ended("a", 1)), (2, begin(5, "d", 1)), (2, begin(6, "d", 2)),
    ],
    words: vec!["run a", "run b", "full 4", "ended 1", "run c", "refused-before 5"],
})]
#[case::fewer_connections_than_in_use(Case {
    messages: vec![
        (0, announce(1, 4, false)), (0, begin(1, "a", 1)), (0, begin(2, "b", 1)),
        (0, begin(3, "c", 1)), (0, begin(4, "d", 1)), (1, announce(1, 1, false)), (2, ended("a", 1)),
    ],
    words: vec!["run a", "ended 1", "run b"],
})]
#[case::fewer_slots_than_in_use(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (0, begin(2, "b", 1)), (0, begin(3, "c", 1)),
        (1, announce(1, 3, false)), (2, ended("a", 1)), (3, ended("b", 1)),
    ],
    words: vec!["run a", "run b", "ended 1", "ended 2", "run c"],
})]
#[case::runner_restarts(Case {
    messages: vec![
        (0, begin(1, "a", 1)), (1, lost("a", 1)), (1, announce(2, 3, false)),
        (2, Message::Stopped { key: key("a"), fence: 1, confirmed: true }), (3, begin(2, "a", 1)),
    ],
    words: vec!["run a", "stop a", "lost 1", "lost 2"],
})]
#[case::error_at_the_end_of_the_lease_is_no_answer(Case {
    messages: vec![(0, begin(1, "a", 1)), (1_950, failed("a", 1))],
    words: vec!["run a", "lost 1"],
})]
#[case::error_within_the_lease_is_an_answer(Case {
    messages: vec![(0, begin(1, "a", 1)), (1_000, failed("a", 1))],
    words: vec!["run a", "ended 1"],
})]
#[case::answer_after_a_stop(Case {
    messages: vec![(0, begin(1, "a", 1)), (2_000, Message::Tick), (2_001, ended("a", 1))],
    words: vec!["run a", "stop a", "ended 1"],
})]
#[case::bad_announcement(Case {
    messages: vec![(0, announce(4, 3, false))],
    words: vec!["error connections is 3, allowed is 4 to 100000"],
})]
fn ledger_admits_what_fits(#[case] case: Case) {
    assert_eq!(played(Admission::new(5), 2, case.messages), case.words);
}

/// Guards against a runner that is overfilled after its agent was restarted.
#[test]
fn executions_of_an_earlier_agent_count() {
    let mut admission = Admission::new(5);
    admission.step(Moment::START, Message::Confirmed { until: Moment::START + Span::secs(9) });
    let announced = |busy, admission: &mut Admission| {
        let Message::Announce { ticket, announce } = announce(2, 3, false) else { unreachable!() };
        let message = Message::Announce { ticket, announce: Announce { busy, ..announce } };
        words(admission.step(Moment::START, message))
    };
    announced(2, &mut admission);
    assert_eq!(words(admission.step(Moment::START, begin(1, "a", 1))), [""; 0]);
    assert_eq!(words(admission.step(Moment::START, begin(2, "b", 1))), ["full 2"]);
    assert_eq!(announced(1, &mut admission), ["run a"]);
    assert_eq!(announced(2, &mut admission), [""; 0], "own executions are not foreign");
}

/// Guards against a verdict of not-run for an attempt whose outcome the agent dropped.
#[test]
fn dropped_outcomes_are_not_denied() {
    let mut admission = Admission::new(5);
    admission.step(Moment::START, Message::Confirmed { until: Moment::START + Span::secs(99) });
    admission.step(Moment::START, announce(2, 3, false));
    admission.step(Moment::START, begin(1, "a", 1));
    admission.step(Moment::START, ended("a", 1));
    let later = Moment::START + KEEP + Span::millis(1);
    admission.step(later, Message::Tick);
    assert_eq!(words(admission.step(later, ask(2, "a", 1))), ["lost 2"]);
    assert_eq!(words(admission.step(later, begin(3, "a", 1))), ["too-late 3"]);
}

struct Refused {
    start: Start,
    code: &'static str,
}

/// Guards against attempts of owners or agents that were replaced.
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
    admission.step(Moment::START, Message::Confirmed { until: Moment::START + Span::secs(9) });
    admission.step(Moment::START, announce(2, 3, false));
    admission.step(Moment::START, begin(1, "a", 1));
    let message = Message::Start { ticket: 2, start: case.start };
    assert_eq!(words(admission.step(Moment::START, message)), [format!("{} 2", case.code)]);
}

/// Guards against an agent whose memory grows with the requests that it has answered.
#[test]
fn ended_attempts_are_dropped() {
    let mut admission = Admission::new(5);
    let mut now = Moment::START;
    for n in 0..2_000 {
        let at = now;
        admission.step(now, Message::Confirmed { until: now + Span::secs(9) });
        admission.step(now, announce(2, 3, false));
        let k = format!("k{n}");
        let start = Start { start_by: at + Span::millis(500), ..start(1, &k, 1) };
        admission.step(now, Message::Start { ticket: n, start });
        admission.step(now, ended(&k, 1));
        now = now + Span::millis(100);
    }
    admission.step(now + KEEP, Message::Tick);
    admission.step(now + KEEP + Span::millis(1), Message::Tick);
    assert_eq!((admission.attempts.len(), admission.ended.len(), admission.kept), (0, 0, 0));
}

struct Shared {
    /// Classes of the attempts in the order in which they come; the runner has 4 slots and 8
    /// connections.
    starts: Vec<Class>,
    /// Numbers of the attempts that run, and of those that were refused.
    running: Vec<usize>,
    refused: usize,
}

/// Guards against batch work that holds every slot or connection while quick work waits, and
/// against slots that stay free where no quick work ever comes.
#[rstest]
#[case::batch_alone(Shared {
    starts: vec![Class::Batch; 9], running: vec![0, 1, 2, 3], refused: 1,
})]
#[case::a_quarter_is_kept(Shared {
    starts: [vec![Class::Quick], vec![Class::Batch; 8]].concat(),
    running: vec![0, 1, 2, 3],
    refused: 2,
})]
#[case::quick_goes_first(Shared {
    starts: [vec![Class::Quick; 3], vec![Class::Once; 3], vec![Class::Quick]].concat(),
    running: vec![0, 1, 2, 3],
    refused: 0,
})]
#[case::quick_takes_the_kept_slot(Shared {
    starts: [vec![Class::Quick], vec![Class::Batch; 5], vec![Class::Quick; 2]].concat(),
    running: vec![0, 1, 2, 3],
    refused: 0,
})]
fn quick_attempts_keep_room(#[case] case: Shared) {
    let mut admission = Admission::new(5);
    let now = Moment::START;
    admission.step(now, Message::Confirmed { until: now + Span::secs(9) });
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
    admission.step(now, Message::Confirmed { until: now + Span::secs(9) });
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

/// Guards against quick work that keeps batch work waiting for ever.
#[test]
fn batch_work_gets_its_part() {
    let mut admission = Admission::new(5);
    let now = Moment::START;
    admission.step(now, Message::Confirmed { until: now + Span::secs(9) });
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

/// Guards against a mistyped kind that is never evicted.
#[test]
fn checkpoints_are_of_announced_kinds() {
    let mut admission = Admission::new(5);
    let Message::Announce { ticket, mut announce } = announce(1, 3, false) else { unreachable!() };
    announce.checkpoints = vec![name("qoute")];
    let seen = words(admission.step(Moment::START, Message::Announce { ticket, announce }));
    assert_eq!(seen, ["error checkpoints names qoute, allowed are the names in kinds"]);
}

/// A batch attempt that follows this many evictions.
fn batch(ticket: u64, k: &str, evictions: u32) -> Message {
    let checkpoint = Checkpoint::new("c-0").unwrap();
    let resume = Some(Resume { checkpoint, evictions }).filter(|_| evictions > 0);
    let start = Start { class: Class::Batch, resume, ..start(ticket, k, 2) };
    Message::Start { ticket, start }
}

fn evicted(k: &str, fence: u64, halt: Halt) -> Message {
    Message::Evicted { key: key(k), fence, halt }
}

fn kept() -> Halt {
    Halt::Checkpointed(Checkpoint::new("c-1").unwrap())
}

/// Guards against slots that are freed while an execution may go on, against checkpoints that get
/// lost, and against executions that are evicted although they can't resume. The runner has one
/// slot.
#[rstest]
#[case::runner_leaves(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, announce(1, 3, true)), (9, evicted("a", 2, kept()))],
    words: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::agent_drains(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, kept()))],
    words: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::resumes(Case {
    messages: vec![(0, batch(1, "a", 7)), (1, announce(1, 3, true)), (2, announce(1, 3, true))],
    words: vec!["run a from c-0", "evict a"],
})]
#[case::stays_after_eight_evictions(Case {
    messages: vec![(0, batch(1, "a", 8)), (1, Message::Drain), (2, ended("a", 2))],
    words: vec!["run a from c-0", "ended 1"],
})]
#[case::quick_work_stays(Case {
    messages: vec![(0, begin(1, "a", 2)), (1, Message::Drain), (2, ended("a", 2))],
    words: vec!["run a", "ended 1"],
})]
#[case::waiting_attempt_is_refused(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, batch(2, "b", 0)), (1, announce(1, 3, true)),
        (2, batch(3, "b", 0)), (9, evicted("a", 2, kept())),
    ],
    words: vec!["run a", "evict a", "leaving 2", "leaving 3", "evicted 1 c-1"],
})]
#[case::stop_without_a_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, Halt::Stopped)),
        (10, failed("a", 2)),
    ],
    words: vec!["run a", "evict a", "lost 1"],
})]
#[case::stop_and_no_response(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, Halt::Stopped)),
        (508, Message::Tick), (508, ask(2, "a", 2)), (509, Message::Tick),
    ],
    words: vec!["run a", "evict a", "running 2", "lost 1"],
})]
#[case::answer_follows_the_stop(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, Halt::Stopped)),
        (10, ended("a", 2)),
    ],
    words: vec!["run a", "evict a", "ended 1"],
})]
#[case::runner_stays_after_all(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, announce(1, 3, true)), (9, evicted("a", 2, Halt::Unknown)),
        (10, announce(1, 3, false)), (509, Message::Tick), (520, evicted("a", 2, kept())),
    ],
    words: vec!["run a", "evict a", "evict a", "evicted 1 c-1"],
})]
#[case::leaves_with_more_slots(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, batch(2, "b", 0)), (0, batch(3, "c", 0)), (1, announce(3, 3, true)),
    ],
    words: vec!["run a", "evict a", "leaving 2", "leaving 3"],
})]
#[case::refusing_back_end_keeps_the_slot(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, begin(2, "b", 2)), (1, announce(1, 3, true)),
        (9, evicted("a", 2, Halt::Refused)), (600, Message::Tick), (900, ended("a", 2)),
    ],
    words: vec!["run a", "evict a", "full 2", "ended 1"],
})]
#[case::lost_answer_is_asked_for_again(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (0, begin(2, "b", 2)), (1, announce(1, 3, true)),
        (9, evicted("a", 2, Halt::Unknown)), (508, Message::Tick), (509, Message::Tick),
        (510, Message::Tick), (520, evicted("a", 2, kept())),
    ],
    words: vec!["run a", "evict a", "full 2", "evict a", "evicted 1 c-1"],
})]
#[case::stopped_execution_waits_for_its_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, failed("a", 2)), (9, evicted("a", 2, kept())),
    ],
    words: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::stopped_execution_without_a_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, failed("a", 2)),
        (9, evicted("a", 2, Halt::Refused)),
    ],
    words: vec!["run a", "evict a", "lost 1"],
})]
#[case::answer_goes_before_the_eviction(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, ended("a", 2)), (9, evicted("a", 2, kept())),
    ],
    words: vec!["run a", "evict a", "ended 1"],
})]
#[case::broken_connection_waits_for_the_checkpoint(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, lost("a", 2)), (9, evicted("a", 2, kept())),
    ],
    words: vec!["run a", "evict a", "evicted 1 c-1"],
})]
#[case::broken_connection_and_refused(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (2, lost("a", 2)),
        (9, evicted("a", 2, Halt::Refused)), (10, Message::Tick),
        (11, Message::Stopped { key: key("a"), fence: 2, confirmed: true }),
    ],
    words: vec!["run a", "evict a", "stop a", "lost 1"],
})]
#[case::lease_ends_in_the_eviction(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, Message::Drain), (2_000, Message::Tick)],
    words: vec!["run a", "evict a", "stop a"],
})]
#[case::older_fence(Case {
    messages: vec![(0, batch(1, "a", 0)), (1, Message::Drain), (2, evicted("a", 1, kept()))],
    words: vec!["run a", "evict a"],
})]
#[case::lost_report_is_asked_for(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (9, evicted("a", 2, kept())),
        (10, evicted("a", 2, Halt::Stopped)), (60, ask(2, "a", 2)),
    ],
    words: vec!["run a", "evict a", "evicted 1 c-1", "evicted 2 c-1"],
})]
fn leaving_runners_give_up_batch_work(#[case] case: Case) {
    assert_eq!(played(Admission::new(5), 1, case.messages), case.words);
}

/// Guards against an eviction of work that would have ended by itself in time, and against work
/// that is never evicted. Attempts get 1 s.
#[rstest]
#[case::ends_in_time(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, Message::Drain), (1_000, Message::Tick), (1_000, ended("a", 2)),
    ],
    words: vec!["run a", "ended 1"],
})]
#[case::takes_longer(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, announce(1, 3, true)), (500, announce(1, 3, true)),
        (1_001, Message::Tick),
    ],
    words: vec!["run a", "evict a"],
})]
#[case::leaves_again_later(Case {
    messages: vec![
        (0, batch(1, "a", 0)), (1, announce(1, 3, true)), (500, announce(1, 3, false)),
        (800, announce(1, 3, true)), (1_001, Message::Tick), (1_800, Message::Tick),
    ],
    words: vec!["run a", "evict a"],
})]
fn batch_work_gets_time_to_end(#[case] case: Case) {
    assert_eq!(played(Admission::new(5).grace(Span::secs(1)), 1, case.messages), case.words);
}
