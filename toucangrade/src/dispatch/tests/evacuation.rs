//! Tests of evacuated data centres: where tasks are placed and which starts are stopped, and the
//! answers to operators.

use rstest::rstest;

use super::*;
use crate::evacuation::EvacuationVerb::{self, Finish, Start};

/// Data centres of the two runners.
const CENTRES: [&str; 2] = ["kranj-a", "kranj-b"];

/// What an agent reports about the runs assigned to its runner.
#[derive(Clone, Copy)]
enum Seen {
    /// They will never start.
    Denied,
    /// They are being started.
    Handling,
    /// The runner lists them.
    Listed,
    /// The agent knows none of them.
    Nothing,
}

#[derive(Clone, Copy)]
enum Event {
    Advance(u64),
    /// Proposals are neither committed nor refused until `Release`.
    Hold,
    NewLeader,
    Order(EvacuationVerb, &'static str),
    Release,
    /// The agent of the runner at this position reports.
    Report(usize, Seen),
    /// A job of this many tasks is submitted; a gang if the flag is set.
    Submit(u32, bool),
}

use Event::{Advance, Hold, NewLeader, Order, Release, Report as Reports, Submit};
use Seen::{Denied, Handling, Listed, Nothing};

struct Case {
    events: &'static [Event],
    /// Runs assigned to each runner at the end.
    live: [usize; 2],
    /// Starts ordered at each runner in total.
    starts: [usize; 2],
    /// Runs that each runner was ordered to stop.
    stops: [usize; 2],
}

/// The orders that each agent has got.
#[derive(Default)]
struct Ordered {
    /// Tickets of the reports, by position of the runner.
    tickets: Vec<(u64, usize)>,
    starts: [BTreeSet<RunKey>; 2],
    stops: [BTreeSet<RunKey>; 2],
}

impl Ordered {
    fn collect(&mut self, world: &mut World) {
        for (ticket, at) in &self.tickets {
            let Some(orders) = world.orders.remove(ticket).flatten() else { continue };
            self.starts[*at].extend(orders.starts.iter().map(|start| start.key));
            self.stops[*at].extend(&orders.stops);
        }
    }
}

fn runner_at(at: usize) -> Incarnation {
    incarnation(["i-1", "i-2"][at], 10)
}

fn report_at(world: &World, at: usize, seq: u64, seen: Seen) -> Report {
    let runner = runner_at(at);
    let live = world.live(&runner);
    let mut report = report(["10.0.0.1", "10.0.0.2"][at], seq, &runner);
    if let Some(runner) = &mut report.runner {
        runner.centre = CENTRES[at].into();
    }
    let row =
        |key: &RunKey| RunStatus { key: *key, saved: None, percent: 5, figure: 0, share: 100 };
    match seen {
        Denied => report.denied = live.iter().map(|key| (*key, Denial::Stopped)).collect(),
        Handling => report.handling = live,
        Listed => report.rows = live.iter().map(row).collect(),
        Nothing => {},
    }
    report
}

fn order(world: &mut World, verb: EvacuationVerb, centre: &str) -> u64 {
    world.ask("", Verb::Evacuate { centre: centre.into(), verb, by: "".into() }, None)
}

/// Nothing new starts in an evacuated data centre: what is not placed, not ordered or not listed yet
/// goes elsewhere, and what runs there goes on.
#[rstest]
#[case::placed_elsewhere(Case {
    events: &[
        Reports(0, Nothing), Reports(1, Nothing), Order(Start, "kranj-b"), Submit(2, false),
    ],
    live: [2, 0], starts: [2, 0], stops: [0, 0],
})]
#[case::all_are_evacuated(Case {
    events: &[
        Reports(0, Nothing), Reports(1, Nothing), Order(Start, "kranj-a"),
        Order(Start, "kranj-b"), Submit(2, false), Advance(300),
    ],
    live: [0, 0], starts: [0, 0], stops: [0, 0],
})]
#[case::restored(Case {
    events: &[
        Reports(0, Nothing), Order(Start, "kranj-a"), Submit(1, false),
        Order(Finish, "kranj-a"),
    ],
    live: [1, 0], starts: [1, 0], stops: [0, 0],
})]
#[case::listed_run_goes_on(Case {
    events: &[
        Reports(0, Nothing), Submit(2, false), Reports(0, Listed), Reports(1, Nothing),
        Order(Start, "kranj-a"), Advance(500), Reports(0, Listed), Advance(500),
    ],
    live: [2, 0], starts: [2, 0], stops: [0, 0],
})]
#[case::start_under_way_is_stopped(Case {
    events: &[
        Reports(0, Nothing), Submit(2, false), Reports(0, Handling), Reports(1, Nothing),
        Order(Start, "kranj-a"), Reports(0, Denied),
    ],
    live: [0, 2], starts: [2, 2], stops: [2, 0],
})]
#[case::lost_start_is_not_repeated(Case {
    events: &[
        Reports(0, Nothing), Submit(1, false), Order(Start, "kranj-a"), Reports(0, Nothing),
    ],
    live: [1, 0], starts: [1, 0], stops: [1, 0],
})]
#[case::unsent_assignment_is_given_back(Case {
    events: &[
        Reports(0, Nothing), Advance(500), Submit(2, false), Reports(1, Nothing),
        Order(Start, "kranj-a"), Reports(0, Nothing),
    ],
    live: [0, 2], starts: [0, 2], stops: [0, 0],
})]
#[case::assignment_commits_after_the_order(Case {
    events: &[
        Submit(2, false), Hold, Order(Start, "kranj-a"), Reports(0, Nothing), Release,
        Reports(1, Nothing),
    ],
    live: [0, 2], starts: [0, 2], stops: [0, 0],
})]
#[case::assignment_commits_before_the_order(Case {
    events: &[
        Submit(1, false), Hold, Reports(0, Nothing), Order(Start, "kranj-a"), Release,
        Reports(0, Handling), Reports(0, Denied), Reports(1, Nothing),
    ],
    live: [0, 1], starts: [1, 1], stops: [1, 0],
})]
#[case::next_leader_stops_the_start(Case {
    events: &[
        Reports(0, Nothing), Submit(1, false), Order(Start, "kranj-a"), NewLeader,
        Reports(0, Handling),
    ],
    live: [1, 0], starts: [1, 0], stops: [1, 0],
})]
#[case::next_leader_keeps_the_order(Case {
    events: &[
        Reports(0, Nothing), Order(Start, "kranj-a"), NewLeader, Reports(0, Nothing),
        Submit(1, false), Reports(1, Nothing),
    ],
    live: [0, 1], starts: [0, 1], stops: [0, 0],
})]
#[case::gang_starts_elsewhere(Case {
    events: &[
        Reports(0, Nothing), Reports(1, Nothing), Order(Start, "kranj-a"), Submit(3, true),
    ],
    live: [0, 3], starts: [0, 3], stops: [0, 0],
})]
#[case::gang_does_not_fit_elsewhere(Case {
    events: &[
        Reports(0, Nothing), Reports(1, Nothing), Order(Start, "kranj-a"), Submit(6, true),
    ],
    live: [0, 0], starts: [0, 0], stops: [0, 0],
})]
#[case::whole_gang_goes_elsewhere(Case {
    events: &[
        Reports(0, Nothing), Submit(3, true), Reports(0, Handling), Order(Start, "kranj-a"),
        Reports(0, Denied), Reports(1, Nothing), Advance(600),
    ],
    live: [0, 3], starts: [3, 3], stops: [3, 0],
})]
fn nothing_starts_in_an_evacuated_data_centre(#[case] case: Case) {
    let mut world = World::new();
    let mut ordered = Ordered::default();
    for (seq, event) in (1..).zip(case.events) {
        match *event {
            Advance(millis) => world.advance(millis),
            Hold => world.hold = true,
            NewLeader => {
                world.send(Message::Lead { leading: false });
                world.send(Message::Lead { leading: true });
            },
            Order(verb, centre) => drop(order(&mut world, verb, centre)),
            Release => world.release(),
            Reports(at, seen) => {
                let report = report_at(&world, at, seq, seen);
                world.ticket += 1;
                ordered.tickets.push((world.ticket, at));
                let (ticket, report) = (world.ticket, Box::new(report));
                world.send(Message::Report { ticket, report });
            },
            Submit(count, gang) => {
                world.submit("match", 7, vec![Step { gang, ..step(count, 1_000) }]);
            },
        }
        ordered.collect(&mut world);
    }
    assert_eq!([0, 1].map(|at| world.live(&runner_at(at)).len()), case.live, "runs");
    assert_eq!(ordered.starts.map(|keys| keys.len()), case.starts, "starts");
    assert_eq!(ordered.stops.map(|keys| keys.len()), case.stops, "stops");
}

/// What an operator orders, and what the leader knows.
struct Answer {
    /// Data centres named by the settings.
    centres: &'static [&'static str],
    /// Orders before, with whether each is still proposed.
    before: &'static [(EvacuationVerb, &'static str, bool)],
    /// Time as leader in ms.
    led: u64,
    order: (EvacuationVerb, &'static str),
    expected: Expected,
}

enum Expected {
    /// Acknowledged without a log entry.
    InForce,
    /// Acknowledged once the log has committed the order.
    Logged,
    /// Refused for good, with this part of the reason.
    Bad(&'static str),
    /// Refused for the moment.
    Later,
}

/// A repeat is acknowledged, but not before an order that may still reverse it is committed. An
/// unknown name is refused, as it would otherwise be acknowledged and have no effect.
#[rstest]
#[case::first(Answer {
    centres: &["kranj-b"], before: &[], led: 3_000, order: (Start, "kranj-b"),
    expected: Expected::Logged,
})]
#[case::announced_by_a_runner(Answer {
    centres: &["kranj-b"], before: &[], led: 3_000, order: (Start, "kranj-a"),
    expected: Expected::Logged,
})]
#[case::repeat(Answer {
    centres: &[], before: &[(Start, "kranj-b", false)], led: 3_000, order: (Start, "kranj-b"),
    expected: Expected::InForce,
})]
#[case::repeat_while_proposed(Answer {
    centres: &[], before: &[(Start, "kranj-b", true)], led: 3_000, order: (Start, "kranj-b"),
    expected: Expected::Logged,
})]
#[case::reversal_is_proposed(Answer {
    centres: &[], before: &[(Start, "kranj-b", false), (Finish, "kranj-b", true)], led: 3_000,
    order: (Start, "kranj-b"), expected: Expected::Logged,
})]
#[case::finish_without_start(Answer {
    centres: &[], before: &[], led: 3_000, order: (Finish, "kranj-b"), expected: Expected::InForce,
})]
#[case::unknown(Answer {
    centres: &["kranj-b"], before: &[], led: 3_000, order: (Start, "kranj-c"),
    expected: Expected::Bad("known are [\"kranj-a\", \"kranj-b\"]"),
})]
#[case::unknown_but_in_force(Answer {
    centres: &["kranj-b"], before: &[(Start, "kranj-a", false)], led: 3_000,
    order: (Finish, "kranj-a"), expected: Expected::Logged,
})]
#[case::runners_not_heard_yet(Answer {
    centres: &["kranj-b"], before: &[], led: 500, order: (Start, "kranj-c"),
    expected: Expected::Later,
})]
#[case::no_names_in_the_settings(Answer {
    centres: &[], before: &[], led: 500, order: (Start, "kranj-c"), expected: Expected::Logged,
})]
#[case::no_name(Answer {
    centres: &[], before: &[], led: 3_000, order: (Start, ""), expected: Expected::Bad("0 bytes"),
})]
fn evacuation_orders_are_answered(#[case] case: Answer) {
    let mut world = World::new();
    world.dispatch.evacuation.centres = case.centres.iter().map(|name| Arc::from(*name)).collect();
    let report = report_at(&world, 0, 1, Nothing);
    world.report(report);
    world.advance(case.led);
    for (verb, centre, proposed) in case.before {
        world.hold = *proposed;
        order(&mut world, *verb, centre);
    }
    world.hold = true;
    let before = world.held.len();
    let (verb, centre) = case.order;
    let ticket = order(&mut world, verb, centre);
    let answer = world.answers.get(&ticket).cloned();
    match case.expected {
        Expected::InForce => assert_eq!(answer, Some(Some(ClientReply::Evacuating))),
        Expected::Logged => {
            assert_eq!((answer, world.held.len()), (None, before + 1));
            world.release();
            assert_eq!(world.answers[&ticket], Some(ClientReply::Evacuating));
            let evacuated = world.dispatch.job_table.evacuations.covers(centre);
            assert_eq!(evacuated, verb == Start);
        },
        Expected::Bad(part) => match answer {
            Some(Some(ClientReply::Bad(reason))) => assert!(reason.contains(part), "{reason}"),
            other => panic!("answered {other:?}"),
        },
        Expected::Later => {
            assert!(matches!(answer, Some(Some(ClientReply::Refused { .. }))), "{answer:?}");
        },
    }
}

/// An operator can't fill the snapshots with names: 64 data centres are accepted, and one more only
/// after another was restored.
#[test]
fn number_of_evacuations_is_bounded() {
    let mut world = World::new();
    for at in 0..64 {
        let ticket = order(&mut world, Start, &format!("c-{at}"));
        assert_eq!(world.answers[&ticket], Some(ClientReply::Evacuating));
    }
    let ticket = order(&mut world, Start, "c-64");
    assert!(matches!(world.answers[&ticket], Some(ClientReply::Bad(_))));
    order(&mut world, Finish, "c-0");
    let ticket = order(&mut world, Start, "c-64");
    assert_eq!(world.answers[&ticket], Some(ClientReply::Evacuating));
    assert_eq!(world.dispatch.job_table.evacuations.len(), 64);
}

/// A lost proposal may still be committed, so the reversal of its order is committed after it.
#[test]
fn reversal_of_a_lost_order_is_logged() {
    let mut world = World::new();
    world.hold = true;
    let lost = order(&mut world, Start, "kranj-a");
    let (ticket, commands) = world.held.remove(0);
    world.send(Message::Rejected { ticket, lost: true });
    assert_eq!(world.answers[&lost], Some(ClientReply::Unknown));
    let reversal = order(&mut world, Finish, "kranj-a");
    assert!(!world.answers.contains_key(&reversal));
    world.held.insert(0, (ticket, commands));
    world.release();
    assert_eq!(world.answers[&reversal], Some(ClientReply::Evacuating));
    assert!(world.dispatch.job_table.evacuations.is_empty());
}
