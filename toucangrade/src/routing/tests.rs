//! Tests of the choice of agents, ejection, slow start and start-by times.

use rstest::rstest;

use super::*;
use crate::admission::{AgentReply, Report};
use crate::core::{Answer, Key};
use crate::http::CallError;
use crate::membership::Offer;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn agent(centre: &str) -> Agent {
    Agent {
        incarnation: 1,
        addr: "127.0.0.1:1".parse().unwrap(),
        centre: name(centre),
        rack: name("r1"),
        offers: vec![Offer {
            service: name("balcao"),
            kinds: vec![name("quote")],
            slots: 8,
            connections: 64,
        }],
    }
}

fn reading(now: Moment, used: u32) -> ClockReading {
    ClockReading { incarnation: 1, clock: Moment::START, taken: now, used, slots: 8 }
}

fn pick(kind: &str) -> Pick {
    Pick {
        key: Key::new("k").unwrap(),
        attempt: 1,
        service: name("balcao"),
        kind: name(kind),
        exclude: Agents::new(),
    }
}

/// State of an entry in olinda with these agents and their data centres, all of whose clocks are
/// read.
fn routing(agents: &[(&str, &str)]) -> Routing {
    let mut routing = Routing::new(name("olinda"), 1, Tuning::default());
    let view = agents.iter().map(|(n, centre)| (name(n), agent(centre))).collect();
    let effects = routing.step(Moment::START, Message::AgentsChanged(view));
    assert_eq!(effects.len(), agents.len(), "each clock is read");
    for (n, _) in agents {
        let reading = Some(reading(Moment::START, 0));
        routing.step(Moment::START, Message::ReadingReceived { agent: name(n), reading });
    }
    routing
}

struct Case {
    agents: Vec<(&'static str, &'static str)>,
    /// Agent, connections in use and consecutive failures that are reported before the picks.
    reported: Vec<(&'static str, u32, u32)>,
    kind: &'static str,
    chosen: Vec<&'static str>,
}

/// Guards against choices that ignore load, distance, errors or the offered kinds.
#[rstest]
#[case::prefers_local(Case {
    agents: vec![("a", "olinda"), ("b", "boa-viagem")],
    reported: vec![],
    kind: "quote",
    chosen: vec!["a"],
})]
#[case::prefers_idle(Case {
    agents: vec![("a", "olinda"), ("b", "olinda")],
    reported: vec![("a", 8, 0), ("b", 1, 0)],
    kind: "quote",
    chosen: vec!["b"],
})]
#[case::ejects_failing(Case {
    agents: vec![("a", "olinda"), ("b", "olinda"), ("c", "olinda")],
    reported: vec![("a", 0, 3)],
    kind: "quote",
    chosen: vec!["b", "c"],
})]
#[case::never_ejects_most(Case {
    agents: vec![("a", "olinda"), ("b", "olinda"), ("c", "olinda")],
    reported: vec![("a", 0, 9), ("b", 0, 9), ("c", 0, 9)],
    kind: "quote",
    chosen: vec!["b", "c"],
})]
#[case::unknown_kind(Case {
    agents: vec![("a", "olinda")],
    reported: vec![],
    kind: "stock-order",
    chosen: vec![],
})]
fn picks_respect_load_distance_and_errors(#[case] case: Case) {
    let mut routing = routing(&case.agents);
    for (agent, used, failures) in case.reported {
        let reading = Some(reading(Moment::START, used));
        let feedback =
            |signal, reading| Message::Feedback(Feedback { agent: name(agent), signal, reading });
        routing.step(Moment::START, feedback(Signal::Refused, reading));
        for _ in 0..failures {
            routing.step(Moment::START, feedback(Signal::Failed, None));
        }
    }
    let mut chosen = Agents::new();
    for _ in 0..50 {
        for effect in routing.step(Moment::START, Message::Pick(pick(case.kind))) {
            if let Effect::Chosen { target, .. } = effect {
                let feedback = Feedback {
                    agent: target.agent.clone(),
                    signal: Signal::Refused,
                    reading: None,
                };
                routing.step(Moment::START, Message::Feedback(feedback));
                chosen.insert(target.agent);
            }
        }
    }
    assert_eq!(chosen, case.chosen.into_iter().map(name).collect());
}

struct LinkCase {
    /// Slots in use at the near agent, of 8.
    near: u32,
    /// Slots in use at the far agent.
    far: u32,
    /// Measured round trip to the far agent; to the near one it is 1 ms.
    trip: Span,
    link_cost: Span,
    chosen: &'static str,
}

/// Guards against work that is sent to another data centre although a local slot is free, and
/// against work that waits locally for longer than the link costs. Both agents take 20 ms and the
/// round trip.
#[rstest]
#[case::free_slot_here(LinkCase {
    near: 7, far: 0, trip: Span::millis(2), link_cost: Span::micros(0), chosen: "near",
})]
#[case::full_here(LinkCase {
    near: 8, far: 0, trip: Span::millis(8), link_cost: Span::micros(0), chosen: "far",
})]
#[case::both_full(LinkCase {
    near: 8, far: 8, trip: Span::millis(8), link_cost: Span::micros(0), chosen: "near",
})]
#[case::long_link(LinkCase {
    near: 8, far: 0, trip: Span::millis(400), link_cost: Span::micros(0), chosen: "near",
})]
#[case::expensive_link(LinkCase {
    near: 8, far: 0, trip: Span::millis(8), link_cost: Span::millis(400), chosen: "near",
})]
fn remote_agents_are_used_only_when_local_slots_are_full(#[case] case: LinkCase) {
    let tuning = Tuning { link_cost: case.link_cost, ..Tuning::default() };
    let mut routing = Routing::new(name("olinda"), 1, tuning);
    let agents = [
        ("far", "boa-viagem", case.far, case.trip),
        ("near", "olinda", case.near, Span::millis(1)),
    ];
    let view = agents.iter().map(|(n, centre, ..)| (name(n), agent(centre))).collect();
    routing.step(Moment::START, Message::AgentsChanged(view));
    for (n, _, used, trip) in agents {
        let taken = Moment::START + trip;
        let sample =
            Message::ReadingReceived { agent: name(n), reading: Some(reading(taken, used)) };
        routing.step(taken, sample);
        for _ in 0..100 {
            let signal = Signal::Answered { took: Span::millis(20) + trip };
            let feedback = Feedback { agent: name(n), signal, reading: None };
            routing.step(taken, Message::Feedback(feedback));
        }
    }
    let now = Moment::START + Span::secs(1);
    let effects = routing.step(now, Message::Pick(pick("quote")));
    let Some(Effect::Chosen { target, .. }) = effects.into_iter().next() else { panic!() };
    assert_eq!(target.agent, name(case.chosen));
}

/// Cause of the slow start of an agent.
enum SlowStartCause {
    Appeared,
    Ejected,
    /// No slow start relative to others: all agents appeared together.
    Never,
    /// Its runner left and returned, while the agent stayed.
    Offered,
}

struct ShareCase {
    cause: SlowStartCause,
    after: Span,
    /// Expected picks of the agent, in percent of an equal share.
    share: u64,
}

/// Guards against an agent with cold caches that gets its full traffic at once, or never gets it.
#[rstest]
#[case::appeared(ShareCase { cause: SlowStartCause::Appeared, after: Span::secs(0), share: 10 })]
#[case::half_way(ShareCase { cause: SlowStartCause::Appeared, after: Span::secs(5), share: 50 })]
#[case::warm(ShareCase { cause: SlowStartCause::Appeared, after: Span::secs(10), share: 100 })]
#[case::returned(ShareCase { cause: SlowStartCause::Ejected, after: Span::secs(0), share: 10 })]
#[case::returned_and_warm(ShareCase { cause: SlowStartCause::Ejected, after: Span::secs(10), share: 100 })]
#[case::offered_again(ShareCase { cause: SlowStartCause::Offered, after: Span::secs(0), share: 10 })]
#[case::all_appeared(ShareCase { cause: SlowStartCause::Never, after: Span::secs(0), share: 100 })]
fn share_grows_in_slow_start(#[case] case: ShareCase) {
    let names = ["a", "b", "c", "d"];
    let mut routing = routing(&names.map(|n| (n, "olinda")));
    let full: BTreeMap<Name, Agent> = names.iter().map(|n| (name(n), agent("olinda"))).collect();
    let start = Moment::START + Span::secs(60);
    let feedback =
        |agent: Name, signal| Message::Feedback(Feedback { agent, signal, reading: None });
    match case.cause {
        SlowStartCause::Appeared | SlowStartCause::Offered => {
            let mut without = full.clone();
            without.remove(&name("a"));
            if let SlowStartCause::Offered = case.cause {
                without.insert(name("a"), Agent { offers: Vec::new(), ..agent("olinda") });
            }
            routing.step(start, Message::AgentsChanged(without));
            routing.step(start, Message::AgentsChanged(full));
            let reading = Some(reading(start, 0));
            routing.step(start, Message::ReadingReceived { agent: name("a"), reading });
        },
        SlowStartCause::Ejected => {
            for _ in 0..EJECT_ERRORS {
                routing.step(Moment::START, feedback(name("a"), Signal::Failed));
            }
            let took = Span::micros(INITIAL_LATENCY_US as u64);
            routing.step(start, feedback(name("a"), Signal::Answered { took }));
        },
        SlowStartCause::Never => {},
    }
    let now =
        if let SlowStartCause::Never = case.cause { Moment::START } else { start + case.after };
    let picks = 20_000;
    let mut cold = 0;
    for _ in 0..picks {
        let effects = routing.step(now, Message::Pick(pick("quote")));
        let Some(Effect::Chosen { target, .. }) = effects.into_iter().next() else { panic!() };
        cold += u64::from(target.agent == name("a"));
        routing.step(now, feedback(target.agent, Signal::Refused));
    }
    let share = cold * names.len() as u64 * 100 / picks;
    assert!(share.abs_diff(case.share) <= 5, "{share}% of an equal part");
}

/// Guards against an ejected agent that is never probed, and against several probes at once.
#[test]
fn ejected_agent_is_probed() {
    let mut routing = routing(&[("a", "olinda"), ("b", "olinda"), ("c", "olinda")]);
    for _ in 0..EJECT_ERRORS {
        let feedback = Feedback { agent: name("a"), signal: Signal::Failed, reading: None };
        routing.step(Moment::START, Message::Feedback(feedback));
    }
    let later = Moment::START + EJECT_FOR;
    let probed = (0..50).any(|_| {
        let effects = routing.step(later, Message::Pick(pick("quote")));
        effects
            .iter()
            .any(|e| matches!(e, Effect::Chosen { target, .. } if target.agent == name("a")))
    });
    assert!(probed);
    let open = routing.peers[&name("a")].open;
    assert_eq!(open, 1, "one probe at a time");
}

/// Guards against a start-by time later than 500 ms after dispatch on the agent's clock.
#[test]
fn start_by_is_bounded() {
    let mut routing = routing(&[("a", "olinda")]);
    let now = Moment::START + Span::millis(1_000);
    let effects = routing.step(now, Message::Pick(pick("quote")));
    let Some(Effect::Chosen { target, .. }) = effects.into_iter().next() else { panic!() };
    assert!(target.start_by <= now + START_TIMEOUT);
}

struct SignalCase {
    report: Result<Report, CallError>,
    signal: Signal,
}

fn ended(status: u16) -> Report {
    Report::Ended(Answer { status, media: String::new(), body: bytes::Bytes::new() })
}

fn refused(code: &str) -> Report {
    Report::Refused { code: code.to_owned(), reason: String::new(), after: None }
}

const TOOK: Span = Span::millis(7);

/// Guards against a failing runner that is counted as fast, and a busy one that is counted as
/// failing.
#[rstest]
#[case::answer(SignalCase { report: Ok(ended(200)), signal: Signal::Answered { took: TOOK } })]
#[case::bad_request(SignalCase { report: Ok(ended(422)), signal: Signal::Answered { took: TOOK } })]
#[case::fault(SignalCase { report: Ok(ended(500)), signal: Signal::Failed })]
#[case::unreachable(SignalCase { report: Ok(refused("runner-unreachable")), signal: Signal::Failed })]
#[case::full(SignalCase { report: Ok(refused("full")), signal: Signal::Refused })]
#[case::lost(SignalCase {
    report: Ok(Report::Lost { reason: String::new() }), signal: Signal::Failed,
})]
#[case::no_report(SignalCase { report: Err(CallError::Timeout), signal: Signal::Failed })]
fn reports_are_classified_for_routing(#[case] case: SignalCase) {
    let clock = Moment::START;
    let reported =
        case.report.map(|report| AgentReply { report, incarnation: 1, clock, used: 0, slots: 8 });
    assert_eq!(Signal::from_report(&reported, TOOK), case.signal);
}
