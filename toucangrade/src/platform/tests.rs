//! Tests of the tasks on a worker, the heartbeats about them and the measured latency.

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

fn orders(orders: Vec<Order>) -> Message {
    Message::Ordered { number: 0, orders: Some(orders) }
}

fn status(job: &str, fence: u64, stage: Stage) -> Status {
    let (checkpoint, used) = (Checkpoint { done: 5, number: 2 }, Size::new(1_000, 500, 0));
    Status { job: name(job), fence, stage, done: 7, checkpoint, used }
}

/// Formats the effects on the worker and the ends of tasks in heartbeats.
fn describe(effects: Vec<Effect>) -> Vec<String> {
    let describe_effect = |effect| match effect {
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
    effects.into_iter().flat_map(describe_effect).collect()
}

struct Case {
    /// Messages with their time in milliseconds.
    messages: Vec<(u64, Message)>,
    /// Expected effects, as formatted by `describe`.
    effects: Vec<&'static str>,
}

/// Guards against tasks that run twice, beyond the size of the worker or beyond their lease.
#[rstest]
#[case::starts_once_after_first_list(Case {
    messages: vec![
        (0, orders(vec![start("a", 1, 1_000)])),
        (1, Message::Polled(Some(Vec::new()))),
        (2, orders(vec![start("a", 1, 1_000)])),
        (3, Message::Polled(Some(vec![status("a", 1, Stage::Running)]))),
        (4, orders(vec![start("a", 1, 1_000)])),
    ],
    effects: vec!["begin a 1"],
})]
#[case::grants_stay_within_size(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, orders(vec![start("a", 1, 3_000), start("b", 1, 2_000), start("c", 1, 1_000)])),
    ],
    effects: vec!["begin a 1", "begin c 1"],
})]
#[case::outdated_fence_is_not_started(Case {
    messages: vec![
        (1, Message::Polled(Some(vec![status("a", 3, Stage::Stopped)]))),
        (2, orders(vec![start("a", 2, 1_000), start("a", 3, 1_000)])),
    ],
    effects: vec![],
})]
#[case::outdated_execution_is_stopped(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, orders(vec![start("a", 2, 1_000)])),
        (3, Message::Polled(Some(vec![status("a", 1, Stage::Running)]))),
    ],
    effects: vec!["begin a 2", "stop a 1"],
})]
#[case::stopped_before_its_start(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, orders(vec![Order::Stop(target("a", 1)), start("a", 1, 1_000)])),
    ],
    effects: vec!["stop a 1"],
})]
#[case::absent_execution_is_reported_until_confirmed(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (1_500, orders(vec![Order::Stop(target("early", 1))])),
        (1_600, Message::Tick),
        (2_100, orders(vec![Order::Stop(target("a", 1))])),
        (2_100, Message::Tick),
        (2_200, Message::Tick),
        (2_201, Message::Ordered { number: 2, orders: Some(Vec::new()) }),
        (2_300, Message::Tick),
    ],
    effects: vec!["stop early 1", "stop a 1", "stopped a 0", "stopped a 0"],
})]
#[case::end_is_reported_until_confirmed(Case {
    messages: vec![
        (1, Message::Polled(Some(vec![status("a", 1, Stage::Finished)]))),
        (500, Message::Tick),
        (1_000, Message::Tick),
        (1_001, Message::Ordered { number: 1, orders: Some(Vec::new()) }),
        (1_500, Message::Tick),
    ],
    effects: vec!["finished a", "finished a"],
})]
#[case::lease_expires_without_control(Case {
    messages: vec![
        (1, Message::Polled(Some(Vec::new()))),
        (2, orders(vec![start("a", 1, 1_000)])),
        (3, Message::Polled(Some(vec![status("a", 1, Stage::Running)]))),
        (8_000, Message::Tick),
        (9_100, Message::Tick),
    ],
    effects: vec!["begin a 1", "stop a 1"],
})]
fn fences_size_and_leases_are_respected(#[case] case: Case) {
    let mut tasks = Tasks::new(instance(), 7);
    let mut effects = Vec::new();
    for (millis, message) in case.messages {
        let now = Moment::START + Span::millis(millis);
        effects.extend(describe(tasks.step(now, message)));
    }
    assert_eq!(effects, case.effects);
}

/// Guards against latency ratios that don't follow the measured durations.
#[test]
fn slow_requests_raise_the_latency_ratio() {
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
