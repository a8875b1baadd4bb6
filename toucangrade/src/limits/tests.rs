//! Tests of queues, quotas, deadlines and fair shares.

use bytes::Bytes;
use rstest::rstest;

use super::*;
use crate::resources::{Collection, QuotaSpec, ServiceSpec, Spec};

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn service(shop: &str, running: u64, queue: u64) -> ServiceSpec {
    let body = format!(
        r#"{{"shop": "{shop}", "kinds": {{"quote": {{
            "class": "quick", "timeout_ms": 1000, "running": {running}, "queue": {queue}}}}}}}"#
    );
    Spec::parse(Collection::Services, body.as_bytes()).unwrap().service().unwrap().clone()
}

fn limits(running: u64, queue: u64, quota: Option<QuotaSpec>) -> Limits {
    let mut config = Config { revision: 3, ..Config::default() };
    config.services.insert(name("balcao"), service("neto", running, queue));
    config.services.insert(name("other"), service("small", running, queue));
    config.quotas.extend(quota.map(|quota| (name("neto"), quota)));
    let mut limits = Limits::default();
    limits.step(Moment::START, Message::Configure { config, entries: 1 });
    limits.step(Moment::START, Message::LeaseExtended { until: Moment::START + Span::secs(9) });
    limits
}

fn arrival(ticket: u64, service: &str, kind: &str) -> Message {
    Message::Arrive(Arrival {
        ticket,
        service: name(service),
        kind: name(kind),
        key: None,
        timeout: None,
        body: Bytes::new(),
    })
}

fn codes(effects: &[Effect]) -> Vec<String> {
    let code = |effect: &Effect| match effect {
        Effect::Begin(admitted) => format!("begin {}", admitted.ticket),
        Effect::Refuse { refusal, ticket, .. } => {
            assert_eq!(refusal.verdict, crate::core::Verdict::NotRun);
            format!("{} {ticket}", refusal.code)
        },
    };
    effects.iter().map(code).collect()
}

struct Case {
    messages: Vec<(u64, Message)>,
    effects: Vec<&'static str>,
}

/// Guards against requests that begin beyond a limit, wait beyond their deadline or get no answer.
#[rstest]
#[case::begins(Case {
    messages: vec![(0, arrival(1, "balcao", "quote"))],
    effects: vec!["begin 1"],
})]
#[case::unknown_service_or_kind(Case {
    messages: vec![(0, arrival(1, "nothing", "quote")), (0, arrival(2, "balcao", "match"))],
    effects: vec!["unknown-service 1", "unknown-kind 2"],
})]
#[case::queue_is_bounded(Case {
    messages: (1..=5).map(|n| (0, arrival(n, "balcao", "quote"))).collect(),
    effects: vec!["begin 1", "begin 2", "queue-full 5"],
})]
#[case::finish_begins_next(Case {
    messages: vec![
        (0, arrival(1, "balcao", "quote")),
        (0, arrival(2, "balcao", "quote")),
        (0, arrival(3, "balcao", "quote")),
        (5, Message::Finish { ticket: 1 }),
    ],
    effects: vec!["begin 1", "begin 2", "begin 3"],
})]
#[case::waiting_request_expires(Case {
    messages: vec![
        (0, arrival(1, "balcao", "quote")),
        (0, arrival(2, "balcao", "quote")),
        (0, arrival(3, "balcao", "quote")),
        (1_000, Message::Tick),
    ],
    effects: vec!["begin 1", "begin 2", "deadline-passed 3"],
})]
#[case::lease_ends(Case {
    messages: vec![(9_000, arrival(1, "balcao", "quote"))],
    effects: vec!["unconfirmed 1"],
})]
#[case::draining(Case {
    messages: vec![(0, Message::Drain), (0, arrival(1, "balcao", "quote"))],
    effects: vec!["draining 1"],
})]
fn requests_respect_the_limits(#[case] case: Case) {
    let mut limits = limits(2, 2, None);
    let mut actual = Vec::new();
    for (millis, message) in case.messages {
        let now = Moment::START + Span::millis(millis);
        actual.extend(codes(&limits.step(now, message)));
    }
    assert_eq!(actual, case.effects);
}

/// Guards against a quota that admits more or less than its rate and burst.
#[test]
fn quota_limits_the_rate() {
    let quota = br#"{"rate": 10, "burst": 2}"#;
    let quota = Spec::parse(Collection::Quotas, quota).unwrap().quota().unwrap().clone();
    let mut limits = limits(1_000, 1_000, Some(quota));
    let mut begun = 0;
    for n in 0..1_000 {
        let now = Moment::START + Span::millis(n);
        let effects = limits.step(now, arrival(n, "balcao", "quote"));
        begun += effects.iter().filter(|e| matches!(e, Effect::Begin(_))).count();
    }
    assert!((11..=12).contains(&begun), "{begun} requests in a second");
}

/// Guards against a shop that uses all capacity while another shop has waiting requests.
#[test]
fn shops_share_fairly() {
    let mut limits = limits(100_000, 100_000, None);
    for n in 0..2 * IN_FLIGHT_MAX as u64 {
        limits.step(Moment::START, arrival(n, "balcao", "quote"));
    }
    for n in 0..100 {
        limits.step(Moment::START, arrival(1_000_000 + n, "other", "quote"));
    }
    let mut begun = Vec::new();
    for ticket in 0..100 {
        begun.extend(codes(&limits.step(Moment::START, Message::Finish { ticket })));
    }
    let small = begun.iter().filter(|code| code.starts_with("begin 1000")).count();
    assert_eq!(small, 100);
}
