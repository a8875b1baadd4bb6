//! Tests of listings that leave out ends: a runner returns a limited number of them at once.

use rstest::rstest;

use super::*;

/// Ends in one listing.
const PAGE: usize = 2;
/// The run whose end is on the third page.
const HIDDEN: u16 = 4;

/// A way in which the agent comes to decide about the run whose end is not listed yet.
struct HiddenEnd {
    behaviour: Behaviour,
    /// Orders of a leader that takes the run for one that has not reached the runner.
    orders: fn() -> Orders,
    /// Whether an earlier listing shows it as running, so that it is not ordered again.
    seen: bool,
    /// Number of start calls.
    starts: u32,
}

fn start_hidden() -> Orders {
    Orders { until: Some(9_000), starts: vec![start_order(HIDDEN)], ..Orders::default() }
}

fn stop_hidden() -> Orders {
    Orders { until: Some(9_000), stops: vec![key(HIDDEN)], ..Orders::default() }
}

const OLD: HiddenEnd =
    HiddenEnd { behaviour: Behaviour::Healthy, orders: start_hidden, seen: false, starts: 1 };

/// A run whose end is on a later page was reported as denied, as no listing showed it. The leader
/// then started its task once more, although it was done.
#[rstest]
#[case::refused_as_old(OLD)]
#[case::refused_for_another_reason(HiddenEnd { behaviour: Behaviour::Full, ..OLD })]
#[case::start_not_answered(HiddenEnd { behaviour: Behaviour::IgnoresOrders, starts: 4, ..OLD })]
#[case::stopped(HiddenEnd { orders: stop_hidden, starts: 0, ..OLD })]
#[case::seen_before(HiddenEnd { seen: true, starts: 0, ..OLD })]
fn hidden_end_is_not_reported_as_denied(#[case] case: HiddenEnd) {
    let mut world = World::with_ends(case.behaviour, case.seen);
    world.answer_report((case.orders)());
    world.advance(1_500);
    if case.behaviour == Behaviour::IgnoresOrders {
        // The stop that follows the unanswered starts is answered.
        world.behaviour = Behaviour::Healthy;
        world.advance(1_000);
    }
    for _ in 0..3 {
        let report = world.last_report();
        assert_eq!(report.denied, [], "reported as denied");
        let handled = report.handling.iter().chain(&report.stopping).copied();
        let reported: Vec<RunKey> = handled.chain(report.ended.iter().map(|e| e.key)).collect();
        assert!(reported.contains(&key(HIDDEN)), "not reported, so that it is ordered again");
        let noted = report.ended.iter().map(|ended| ended.number).max().unwrap_or_default();
        if report.ended.iter().any(|ended| ended.key == key(HIDDEN)) {
            assert_eq!((noted, world.starts), (5, case.starts));
            return;
        }
        world.answer_report(Orders { until: Some(9_000), noted, ..Orders::default() });
        world.advance(500);
    }
    panic!("the end is not reported: {:?}", world.last_report());
}

/// A run that has not reached the runner, and listings that can't show this at first.
struct NeverStarted {
    /// Whether the listings have an end that can't be decoded.
    unread: bool,
    /// Time in ms after which the denial is reported, once the last page is listed.
    denied: u64,
}

/// What no listing can show for a while is reported as denied once one does, and at the latest when
/// an end that can't be decoded has been listed for long.
#[rstest]
#[case::complete(NeverStarted { unread: false, denied: 200 })]
#[case::unread(NeverStarted { unread: true, denied: 11_000 })]
fn missing_run_is_denied_by_a_complete_listing(#[case] case: NeverStarted) {
    let mut world = World::with_ends(Behaviour::Full, false);
    world.unread = case.unread;
    let start = Orders { until: Some(9_000), starts: vec![start_order(9)], ..Orders::default() };
    world.answer_report(start);
    world.advance(1_000);
    assert_eq!(world.last_report().denied, []);
    for noted in [2, 4] {
        assert_eq!(world.last_report().denied, []);
        world.answer_report(Orders { until: Some(9_000), noted, ..Orders::default() });
        world.advance(200);
    }
    if case.unread {
        world.advance(5_000);
        assert_eq!(world.last_report().denied, []);
    }
    world.advance(case.denied);
    assert_eq!(world.last_report().denied, [(key(9), Denial::Room)]);
}

/// Runs are started although the listings leave out ends, as rows are not limited.
#[test]
fn full_listings_hold_no_start_back() {
    let mut world = World::with_ends(Behaviour::Healthy, false);
    world.start(9);
    world.advance(1_500);
    assert!(world.last_report().rows.iter().any(|row| row.key == key(9)));
    assert!(world.last_report().handling.is_empty());
}

impl World {
    /// A runner whose listings have two ends each, and on which runs 0 to 4 have ended as done.
    /// With `seen`, an earlier listing shows them as running.
    fn with_ends(behaviour: Behaviour, seen: bool) -> Self {
        let mut world = Self::unannounced();
        world.page = PAGE;
        world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
        if seen {
            for index in 0..=HIDDEN {
                let row =
                    RunStatus { key: key(index), saved: None, percent: 0, figure: 0, share: 100 };
                world.rows.insert(key(index), row);
            }
            world.advance(500);
            world.rows.clear();
        }
        for index in 0..=HIDDEN {
            world.finish(key(index), End::Done);
            world.stopped.push(key(index));
        }
        world.behaviour = behaviour;
        world.advance(1_000);
        world
    }
}
