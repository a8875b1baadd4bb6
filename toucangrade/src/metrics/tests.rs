//! Tests of the values sent to the StatsD server and of the text for scrapes.

use std::collections::BTreeMap;

use rstest::rstest;

use super::*;
use crate::history::Summary;

struct Case {
    messages: Vec<Message>,
    /// Effects of the tick at 10 s, as formatted by `describe`.
    sent: Vec<&'static str>,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn answers(results: &[(&str, u64)], latencies: &[(u64, u64)]) -> Message {
    let counts: BTreeMap<_, _> = results.iter().map(|(r, n)| ((*r).to_owned(), *n)).collect();
    let summary = Summary { latencies: latencies.to_vec(), counts };
    Message::Answers(vec![(name("balcao"), name("quote.v2"), summary)])
}

fn describe(effects: Vec<Effect>) -> Vec<String> {
    let format = |effect| match effect {
        Effect::Flush => "flush".to_owned(),
        Effect::Sample => "sample".to_owned(),
        Effect::Send(Stat::Count { name, value }) => format!("{name} {value}c"),
        Effect::Send(Stat::Gauge { name, value }) => format!("{name} {value}g"),
        Effect::Send(Stat::Timer { name, micros, count }) => format!("{name} {micros}us x{count}"),
        Effect::Text { text, .. } => text,
    };
    effects.into_iter().map(format).collect()
}

/// Guards against counters that are sent twice, gauges that disappear, unescaped dots in names and
/// timers that are never reset.
#[rstest]
#[case::counters_are_reset(Case {
    messages: vec![
        Message::Count { name: "evictions".into(), by: 2 },
        Message::Tick,
        Message::Count { name: "evictions".into(), by: 1 },
    ],
    sent: vec!["evictions 1c", "sample"],
})]
#[case::zero_counters_are_sent(Case { messages: vec![], sent: vec!["evictions 0c", "sample"] })]
#[case::gauges_are_kept(Case {
    messages: vec![Message::Gauge { name: "revision", value: 4 }, Message::Tick],
    sent: vec!["evictions 0c", "revision 4g", "sample"],
})]
#[case::timers(Case {
    messages: vec![
        Message::Timer { name: "sync", span: Span::micros(200) },
        Message::Timer { name: "sync", span: Span::micros(200) },
        Message::Timer { name: "sync", span: Span::micros(100) },
    ],
    sent: vec![
        "evictions 0c",
        "sync 100us x1",
        "sync 200us x2",
        "sync_us.p50 200g",
        "sync_us.p99 200g",
        "sync_us.p999 200g",
        "sample",
    ],
})]
#[case::answers(Case {
    messages: vec![answers(&[("ran", 2), ("not-run over-quota", 1)], &[(1_000, 2), (4_000, 1)])],
    sent: vec![
        "evictions 0c",
        "answers.balcao.quote_v2.not-run.over-quota 1c",
        "answers.balcao.quote_v2.ran 2c",
        "latency.balcao.quote_v2 1003us x2",
        "latency.balcao.quote_v2 4015us x1",
        "latency_us.balcao.quote_v2.p50 1003g",
        "latency_us.balcao.quote_v2.p99 4015g",
        "latency_us.balcao.quote_v2.p999 4015g",
        "sample",
    ],
})]
#[case::loads(Case {
    messages: vec![Message::Loads(vec![Load { duty: "limits", waiting: 3, shed: 5 }])],
    sent: vec!["evictions 0c", "sample"],
})]
fn stats_are_sent(#[case] case: Case) {
    let mut metrics = Metrics::new(&["evictions"]);
    for message in case.messages {
        metrics.step(Moment::START, message);
    }
    assert_eq!(describe(metrics.step(Moment::START + FLUSH_INTERVAL, Message::Tick)), case.sent);
}

/// Guards against rejected messages that are counted again on each tick.
#[test]
fn shed_counts_are_differences() {
    let mut metrics = Metrics::new(&[]);
    let mut loads = |shed| {
        let load = Load { duty: "limits", waiting: 1, shed };
        describe(metrics.step(Moment::START, Message::Loads(vec![load])))
    };
    assert_eq!(loads(5), ["duty.limits.waiting 1g", "duty.limits.shed 5c", "flush"]);
    assert_eq!(loads(7), ["duty.limits.waiting 1g", "duty.limits.shed 2c", "flush"]);
}

/// Guards against answers that are lost or counted twice between the HTTP worker threads and the
/// sink.
#[test]
fn worker_counts_are_merged() {
    use std::net::TcpListener;
    use std::sync::{Arc, mpsc};
    use std::time::Duration;

    use bytes::Bytes;

    use crate::core::Clock;
    use crate::http::{Client, Exchange, Outbound, Server};

    let (sender, summaries) = mpsc::channel();
    let answers = Answers::new(Clock::system(), move |summaries| sender.send(summaries).unwrap());
    let handler: crate::http::Handler = Arc::new(move |call| {
        let answers = answers.clone();
        Box::pin(async move {
            let began = answers.begin();
            let result = if call.body.is_empty() { "not-run queue-full" } else { "ran" };
            answers.end(began, &name("balcao"), &name("quote"), result);
            Outbound::new(200, "")
        })
    });
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 2, handler).unwrap();
    let client = Client::start().unwrap();
    for n in 0..300 {
        let body = if n % 3 == 0 { Bytes::new() } else { Bytes::from_static(b"x") };
        client.call(Exchange::post(server.addr, "/quote", body, Span::secs(30))).unwrap();
    }
    let mut total = Tally::default();
    while total.len() < 300 {
        for (_, _, summary) in summaries.recv_timeout(Duration::from_secs(30)).unwrap() {
            total.merge(&summary);
        }
    }
    let counts: Vec<_> = total.counts().iter().map(|(r, n)| (r.as_str(), *n)).collect();
    assert_eq!(counts, [("not-run queue-full", 100), ("ran", 200)]);
}

struct ScrapeCase {
    messages: Vec<Message>,
    /// Expected lines of the text.
    lines: Vec<&'static str>,
}

/// Counters of a scrape are totals since the start of the process, independent of what is sent to a
/// StatsD server, and each name has one `TYPE` line.
#[rstest]
#[case::empty(ScrapeCase { messages: vec![], lines: vec![] })]
#[case::counters_survive_a_flush(ScrapeCase {
    messages: vec![
        Message::Count { name: "answers_total{outcome=\"gone\"}".into(), by: 2 },
        Message::Tick,
        Message::Count { name: "answers_total{outcome=\"gone\"}".into(), by: 1 },
        Message::Count { name: "answers_total{outcome=\"shown\"}".into(), by: 1 },
    ],
    lines: vec![
        "# TYPE toucangrade_answers_total counter",
        "toucangrade_answers_total{outcome=\"gone\"} 3",
        "toucangrade_answers_total{outcome=\"shown\"} 1",
    ],
})]
#[case::gauge_has_latest_value(ScrapeCase {
    messages: vec![
        Message::Gauge { name: "leading", value: 1 },
        Message::Gauge { name: "leading", value: 0 },
    ],
    lines: vec!["# TYPE toucangrade_leading gauge", "toucangrade_leading 0"],
})]
#[case::shed_messages(ScrapeCase {
    messages: vec![
        Message::Loads(vec![Load { duty: "dispatch", waiting: 3, shed: 5 }]),
        Message::Loads(vec![Load { duty: "dispatch", waiting: 0, shed: 7 }]),
    ],
    lines: vec![
        "# TYPE toucangrade_ring_shed_total counter",
        "toucangrade_ring_shed_total{duty=\"dispatch\"} 7",
        "# TYPE toucangrade_ring_waiting gauge",
        "toucangrade_ring_waiting{duty=\"dispatch\"} 0",
    ],
})]
fn totals_are_scraped(#[case] case: ScrapeCase) {
    let mut metrics = Metrics::new(&[]);
    let now = Moment::micros(10_000_000);
    for message in case.messages {
        metrics.step(now, message);
    }
    let effects = metrics.step(now, Message::Scrape { ticket: 4 });
    let mut text = case.lines.join("\n");
    if !text.is_empty() {
        text.push('\n');
    }
    assert_eq!(effects, vec![Effect::Text { ticket: 4, text }]);
}

struct BucketCase {
    micros: u64,
    /// Bound of the first bucket that includes the duration.
    bound: &'static str,
    /// Expected sum in seconds.
    sum: &'static str,
}

/// Buckets are cumulative and include durations equal to their bound.
#[rstest]
#[case::shortest(BucketCase { micros: 0, bound: "0.001", sum: "0" })]
#[case::on_a_bound(BucketCase { micros: 5_000, bound: "0.005", sum: "0.005" })]
#[case::above_a_bound(BucketCase { micros: 5_001, bound: "0.01", sum: "0.005001" })]
#[case::above_all_bounds(BucketCase { micros: 12_000_000, bound: "+Inf", sum: "12" })]
fn durations_are_counted_in_buckets(#[case] case: BucketCase) {
    let mut metrics = Metrics::new(&[]);
    let name = "answer_seconds{verb=\"show\"}";
    metrics.step(Moment::START, Message::Timer { name, span: Span::micros(case.micros) });
    let text = describe(metrics.step(Moment::START, Message::Scrape { ticket: 1 })).concat();
    let bucket = |bound: &str, count: u32| {
        format!("toucangrade_answer_seconds_bucket{{verb=\"show\",le=\"{bound}\"}} {count}\n")
    };
    let first = text.lines().find(|line| line.contains("_bucket") && line.ends_with(" 1"));
    assert_eq!(first.map(|line| format!("{line}\n")), Some(bucket(case.bound, 1)), "{text}");
    assert!(text.contains(&bucket("+Inf", 1)), "{text}");
    let sum = format!("toucangrade_answer_seconds_sum{{verb=\"show\"}} {}\n", case.sum);
    assert!(text.contains(&sum), "{text}");
    assert!(text.ends_with("toucangrade_answer_seconds_count{verb=\"show\"} 1\n"), "{text}");
}
