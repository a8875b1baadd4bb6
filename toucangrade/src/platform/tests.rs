//! Tests of tasks on a worker.

use rstest::rstest;

use super::*;
use crate::placement::Checkpoint;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn instance() -> Instance {
    let size = Size::new(4_000, 8_000, 0);
    Instance { centre: name("kranj-b"), name: name("w1"), rack: name("r1"), size }
}

fn target(job: &str, fence: u64) -> Target {
    Target { fence, job: name(job), worker: name("w1") }
}

fn start(job: &str, fence: u64, cores: u64) -> Order {
    Order::Start {
        kind: name("finish-layer"),
        from: Checkpoint::default(),
        grant: Size::new(cores, 1_000, 0),
        lease: Span::secs(10),
        target: target(job, fence),
    }
}

fn ordered(orders: Vec<Order>) -> Message {
    Message::Ordered { number: 0, orders: Some(orders) }
}

fn status(job: &str, fence: u64, stage: Stage) -> Status {
    let (checkpoint, used) = (Checkpoint { done: 5, number: 2 }, Size::new(1_000, 500, 0));
    Status { job: name(job), fence, stage, done: 7, checkpoint, used }
}

/// One word for each effect on the worker, and the reports of heartbeats.
fn words(effects: Vec<Effect>) -> Vec<String> {
    let word = |effect| match effect {
        Effect::Begin(begin) => vec![format!("begin {} {}", begin.job, begin.fence)],
        Effect::Checkpoint(target) => vec![format!("checkpoint {}", target.job)],
        Effect::Poll => Vec::new(),
        Effect::Stop(target) => vec![format!("stop {} {}", target.job, target.fence)],
        Effect::Throttle { share, target } => vec![format!("throttle {} {share}", target.job)],
        Effect::Work { work, .. } => {
            let ends = work.reports.into_iter().filter_map(|report| match report.event {
                Event::Finished => Some(format!("finished {}", report.target.job)),
                Event::Stopped(from) => {
                    Some(format!("stopped {} {}", report.target.job, from.number))
                },
                Event::Failed(_) => Some(format!("failed {}", report.target.job)),
                _ => None,
            });
            ends.collect()
        },
    };
    effects.into_iter().flat_map(word).collect()
}

struct Case {
    messages: Vec<(u64, Message)>,
    words: Vec<&'static str>,
}

/// Guards against tasks that run twice, beyond the room, or beyond their lease.
#[rstest]
#[case::starts_once_listed(Case {
    messages: vec![
        (0, ordered(vec![start("a", 1, 1_000)])),
        (1, Message::Polled(Some(Vec::new()))),
        (2, ordered(vec![start("a", 1, 1_000)])),
        (3, Message::Polled(Some(vec![status("a", 1, Stage::Running)]))),
        (4, ordered(vec![start("a", 1, 1_000)])),
    ],
    words: vec!["begin a 1"],
})]
#[case::room_is_kept(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, ordered(vec![start("a", 1, 3_000), start("b", 1, 2_000), start("c", 1, 1_000)])),
    ],
    words: vec!["begin a 1", "begin c 1"],
})]
#[case::old_fence_never_starts(Case {
    messages: vec![
        (1, Message::Polled(Some(vec![status("a", 3, Stage::Stopped)]))),
        (2, ordered(vec![start("a", 2, 1_000), start("a", 3, 1_000)])),
    ],
    words: vec![],
})]
#[case::old_execution_is_stopped(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, ordered(vec![start("a", 2, 1_000)])),
        (3, Message::Polled(Some(vec![status("a", 1, Stage::Running)]))),
    ],
    words: vec!["begin a 2", "stop a 1"],
})]
#[case::stopped_before_it_came(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, ordered(vec![Order::Stop(target("a", 1)), start("a", 1, 1_000)])),
    ],
    words: vec!["stop a 1"],
})]
#[case::absent_execution_is_vouched_for_until_confirmed(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (1_500, ordered(vec![Order::Stop(target("early", 1))])),
        (1_600, Message::Tick),
        (2_100, ordered(vec![Order::Stop(target("a", 1))])),
        (2_100, Message::Tick),
        (2_200, Message::Tick),
        (2_201, Message::Ordered { number: 2, orders: Some(Vec::new()) }),
        (2_300, Message::Tick),
    ],
    words: vec!["stop early 1", "stop a 1", "stopped a 0", "stopped a 0"],
})]
#[case::end_is_reported_until_confirmed(Case {
    messages: vec![
        (1, Message::Polled(Some(vec![status("a", 1, Stage::Finished)]))),
        (500, Message::Tick),
        (1_000, Message::Tick),
        (1_001, Message::Ordered { number: 1, orders: Some(Vec::new()) }),
        (1_500, Message::Tick),
    ],
    words: vec!["finished a", "finished a"],
})]
#[case::lease_ends_without_control(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, ordered(vec![start("a", 1, 1_000)])),
        (3, Message::Polled(Some(vec![status("a", 1, Stage::Running)]))),
        (8_000, Message::Tick),
        (9_100, Message::Tick),
    ],
    words: vec!["begin a 1", "stop a 1"],
})]
fn tasks_keep_to_their_fences(#[case] case: Case) {
    let mut tasks = Tasks::new(instance(), 7);
    let mut seen = Vec::new();
    for (millis, message) in case.messages {
        let now = Moment::START + Span::millis(millis);
        seen.extend(words(tasks.step(now, message)));
    }
    assert_eq!(seen, case.words);
}

/// Guards against interference that is reported without having been measured.
#[test]
fn slow_answers_raise_the_ratio() {
    let mut tasks = Tasks::new(instance(), 7);
    tasks.step(Moment::START, Message::Polled(Some(Vec::new())));
    let (service, kinds) = (name("balcao"), vec![name("quote")]);
    let offer = Offer { service, kinds, slots: 8, connections: 64 };
    tasks.step(Moment::START, Message::Offers(vec![offer]));
    let mut ratios = Vec::new();
    for n in 0..900 {
        let now = Moment::START + Span::millis(n * 10);
        let took = Span::millis(if n < 450 { 4 } else { 12 });
        tasks.step(now, Message::Served { kind: name("quote"), took });
        for effect in tasks.step(now, Message::Tick) {
            if let Effect::Work { work, .. } = effect {
                ratios.extend(work.latency.iter().map(|report| report.ratio));
            }
        }
    }
    assert!(ratios.len() >= 3, "{ratios:?}");
    assert!(ratios[0] < 1.1 && *ratios.last().unwrap() > 2.5, "{ratios:?}");
}
