//! Tests of how an agent chooses its current runner from announcements and listings.

use rstest::rstest;

use super::*;

struct NewLife {
    runner: &'static str,
    born: u64,
    sequence: u64,
    /// The incarnation that the agent reports afterwards.
    incarnation: (&'static str, u64),
}

/// A new incarnation that answers replaces the previous one, also when its clock was set back;
/// delayed announcements of an earlier incarnation do not.
#[rstest]
#[case::same_name_restarted(NewLife { runner: "i-1", born: 60, sequence: 1, incarnation: ("i-1", 60) })]
#[case::restarted_after_a_clock_step(
    NewLife { runner: "i-1", born: 40, sequence: 1, incarnation: ("i-1", 40) }
)]
#[case::other_name_after_a_clock_step(
    NewLife { runner: "i-2", born: 40, sequence: 1, incarnation: ("i-2", 40) }
)]
#[case::other_name(NewLife { runner: "i-2", born: 60, sequence: 1, incarnation: ("i-2", 60) })]
#[case::late(NewLife { runner: "i-0", born: 40, sequence: 9, incarnation: ("i-1", 50) })]
#[case::repeated(NewLife { runner: "i-1", born: 50, sequence: 1, incarnation: ("i-1", 50) })]
fn newest_life_becomes_current(#[case] case: NewLife) {
    let mut world = World::new(Behaviour::Healthy);
    world.start(0);
    world.advance(500);
    let before = world.tokens.last().copied();
    let announced = announcement(case.runner, case.born, case.sequence);
    if case.incarnation != ("i-1", 50) {
        world.restart(announced.incarnation.clone());
    }
    world.send(Message::Announce(Box::new(announced)));
    world.advance(1_500);
    let runner = world.last_report().runner.clone().expect("a runner");
    assert_eq!((runner.incarnation.runner.as_str(), runner.incarnation.born), case.incarnation);
    let replaced = case.incarnation != ("i-1", 50);
    assert_eq!(world.last_report().rows.is_empty(), replaced);
    // The first calls to a new incarnation carry a greater fencing token, so that delayed orders
    // are refused.
    let last = world.tokens.last().copied();
    assert_eq!(last > before, replaced, "{before:?} {last:?}");
    assert_eq!(last, Some(world.seen));
}

/// A false announcement among those of the runner i-1 that started at 50.
struct FalseAnnouncement {
    alter: fn(&mut Announcement),
    /// Whether it is sent before the first announcement of the runner.
    first: bool,
    /// Whether it is repeated.
    again: bool,
}

const ONCE: FalseAnnouncement = FalseAnnouncement { alter: |_| {}, first: false, again: false };
const AGAIN: FalseAnnouncement = FalseAnnouncement { again: true, ..ONCE };
const FIRST: FalseAnnouncement = FalseAnnouncement { first: true, ..ONCE };

fn other_name(altered: &mut Announcement) {
    altered.incarnation = Incarnation { runner: Name::new("i-9").expect("a name"), born: 70 };
}

fn other_name_and_address(altered: &mut Announcement) {
    other_name(altered);
    altered.addr = "127.0.0.1:10".parse().expect("an address");
}

fn later_start(altered: &mut Announcement) {
    altered.incarnation.born = 70;
}

fn last_start(altered: &mut Announcement) {
    altered.incarnation.born = u64::MAX;
}

fn no_start(altered: &mut Announcement) {
    altered.incarnation.born = 0;
}

fn other_address(altered: &mut Announcement) {
    altered.addr = "127.0.0.1:10".parse().expect("an address");
}

fn other_service(altered: &mut Announcement) {
    altered.service = "nowhere".into();
}

fn other_capacity(altered: &mut Announcement) {
    altered.capacity.millicores = 1;
}

fn last_sequence(altered: &mut Announcement) {
    other_service(altered);
    altered.sequence = u64::MAX;
}

/// A false announcement must not displace a runner that answers or lose its runs. Later
/// announcements of the runner are accepted, and orders are carried out.
#[rstest]
#[case::other_name(FalseAnnouncement { alter: other_name, ..ONCE })]
#[case::other_name_again(FalseAnnouncement { alter: other_name, ..AGAIN })]
#[case::other_name_first(FalseAnnouncement { alter: other_name, ..FIRST })]
#[case::other_name_and_address(FalseAnnouncement { alter: other_name_and_address, ..AGAIN })]
#[case::other_name_and_address_first(FalseAnnouncement { alter: other_name_and_address, ..FIRST })]
#[case::later_start(FalseAnnouncement { alter: later_start, ..ONCE })]
#[case::later_start_again(FalseAnnouncement { alter: later_start, ..AGAIN })]
#[case::later_start_first(FalseAnnouncement { alter: later_start, ..FIRST })]
#[case::last_start(FalseAnnouncement { alter: last_start, ..AGAIN })]
#[case::last_start_first(FalseAnnouncement { alter: last_start, ..FIRST })]
#[case::no_start(FalseAnnouncement { alter: no_start, ..AGAIN })]
#[case::no_start_first(FalseAnnouncement { alter: no_start, ..FIRST })]
#[case::other_address(FalseAnnouncement { alter: other_address, ..ONCE })]
#[case::other_address_again(FalseAnnouncement { alter: other_address, ..AGAIN })]
#[case::other_address_first(FalseAnnouncement { alter: other_address, ..FIRST })]
#[case::other_service(FalseAnnouncement { alter: other_service, ..ONCE })]
#[case::other_capacity(FalseAnnouncement { alter: other_capacity, ..ONCE })]
#[case::last_sequence(FalseAnnouncement { alter: last_sequence, ..ONCE })]
#[case::last_sequence_first(FalseAnnouncement { alter: last_sequence, ..FIRST })]
fn false_announcement_does_not_displace_a_runner(#[case] case: FalseAnnouncement) {
    let real = announcement("i-1", 50, 1);
    let mut altered = announcement("i-1", 50, 2);
    (case.alter)(&mut altered);
    let mut world = if case.first { World::unannounced() } else { World::new(Behaviour::Healthy) };
    world.start(0);
    let assert_unaffected = |world: &World| {
        let runner = world.last_report().runner.as_ref().expect("a runner");
        assert_eq!(runner.incarnation, real.incarnation);
        assert_eq!((&runner.service, runner.capacity), (&real.service, real.capacity));
        assert!(!world.last_report().gone);
        assert!(world.rows.contains_key(&key(0)));
    };
    for round in 0..8 {
        // The false one is sent first, or between two real ones.
        let once = if case.first { 0 } else { 1 };
        if round == once || (case.again && round > once) {
            let sequence = altered.sequence.max(3 * round + 2);
            world.send(Message::Announce(Box::new(Announcement { sequence, ..altered.clone() })));
            world.advance(700);
            if !case.first {
                assert_unaffected(&world);
            }
        }
        let sequence = 3 * round + 3;
        world.send(Message::Announce(Box::new(Announcement { sequence, ..real.clone() })));
        world.advance(800);
        if !case.first {
            assert_unaffected(&world);
        }
    }
    let runner = world.last_report().runner.clone().expect("a runner");
    assert_eq!((runner.incarnation, runner.service), (real.incarnation, real.service));
    // A change of `draining` is accepted at once.
    let leaving = Announcement { sequence: 90, draining: true, ..announcement("i-1", 50, 90) };
    world.send(Message::Announce(Box::new(leaving)));
    world.advance(200);
    assert!(world.last_report().runner.as_ref().is_some_and(|runner| runner.draining));
    world.start(1);
    world.advance(600);
    assert!(world.rows.contains_key(&key(1)), "denied {:?}", world.last_report().denied);
}

/// An agent whose clock was set back between two of its processes starts with a lower fencing token
/// than the runner has seen, and has to raise it until the runner accepts its calls.
#[test]
fn runner_that_has_seen_a_greater_token_takes_orders() {
    let mut world = World::unannounced();
    world.seen = 1_000;
    world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
    world.advance(4_000);
    world.start(0);
    world.advance(500);
    assert!(world.rows.contains_key(&key(0)), "{:?}", world.tokens);
}

/// Orders that answer a report on the previous runner must not be sent to the next one, which has
/// other leases and runs.
#[test]
fn orders_for_the_previous_runner_are_dropped() {
    let mut world = World::new(Behaviour::Healthy);
    let (seq, now) = (world.last_report().seq, world.now.as_micros() / 1_000);
    world.restart(announcement("i-2", 60, 1).incarnation);
    world.send(Message::Announce(Box::new(announcement("i-2", 60, 1))));
    world.advance(400);
    assert_eq!(world.last_report().runner.as_ref().map(|runner| runner.incarnation.born), Some(60));
    let start =
        Start { key: key(0), spec: "spec".into(), saved: None, profile: RunProfile::default() };
    let orders = Orders { until: Some(now + 5_000), starts: vec![start], ..Orders::default() };
    world.send(Message::Ordered { seq, orders: Some(Box::new(orders)) });
    world.advance(500);
    assert!(world.rows.is_empty());
    assert_eq!(world.until, None);
}

/// Announcements of many runners that don't exist must neither displace the real one nor use
/// unbounded memory.
#[test]
fn many_announcements_are_bounded() {
    let mut world = World::new(Behaviour::Healthy);
    for number in 0..1_000_u64 {
        let announced = announcement(&format!("i-odd-{number}"), 60 + number, 1);
        world.send(Message::Announce(Box::new(announced)));
        world.advance(50);
    }
    world.start(0);
    world.advance(500);
    assert!(world.rows.contains_key(&key(0)));
    assert!(world.hosting.others.len() <= 8, "{} are kept", world.hosting.others.len());
}

struct StrayAnnouncement {
    /// Announcement that is sent once, before those of the runner.
    stray: Announcement,
    /// Name and start of the runner.
    incarnation: (&'static str, u64),
}

/// A single announcement that no runner repeats or confirms must not make the announcements of the
/// real runner look outdated for ever.
#[rstest]
#[case::nonexistent_runner(StrayAnnouncement {
    stray: announcement("i-9", 99, 1),
    incarnation: ("i-1", 50),
})]
#[case::sequence_far_ahead(StrayAnnouncement {
    stray: Announcement { service: "other".into(), ..announcement("i-1", 50, 1_000_000) },
    incarnation: ("i-1", 50),
})]
#[case::restarted_after_its_clock_stepped_back(StrayAnnouncement {
    stray: announcement("i-1", 50, 2),
    incarnation: ("i-1", 40),
})]
fn runner_that_repeats_announcements_is_found(#[case] case: StrayAnnouncement) {
    let mut world = World::new(Behaviour::Healthy);
    world.send(Message::Announce(Box::new(case.stray)));
    let (runner, born) = case.incarnation;
    for sequence in 2..9 {
        let announced = announcement(runner, born, sequence);
        world.incarnation = announced.incarnation.clone();
        world.send(Message::Announce(Box::new(announced)));
        world.advance(1_000);
    }
    let found = world.last_report().runner.clone().expect("a runner");
    assert_eq!((found.incarnation.runner.as_str(), found.incarnation.born), case.incarnation);
    assert_eq!(&*found.service, "balcao");
}

/// A runner that restarted under the same name may answer before it announces itself. Without a
/// pause the agent requested listings in a loop until then, with a log line for each answer.
#[test]
fn restarted_runner_is_asked_with_pauses() {
    let mut world = World::new(Behaviour::Healthy);
    world.finish(key(0), End::Done);
    world.advance(1_000);
    let listing = Listing { clock: 5, born: 60, ..Listing::default() };
    let mut asked = Vec::new();
    while let Some((seq, _)) = world.pending.pop() {
        let listing = Ok(Box::new(listing.clone()));
        world.send(Message::Listed { seq, listing });
        asked.push(seq);
        assert!(asked.len() < 3, "asked again at once");
    }
    let calls = world.tokens.len();
    world.advance(300);
    assert!(world.tokens.len() > calls, "asked again after a while");
}

struct LeaveMessage {
    born: Option<u64>,
    draining: bool,
}

/// A delayed shutdown message of a runner must not apply to its next incarnation under the same
/// name, whose lasting tasks would all be stopped.
#[rstest]
#[case::own(LeaveMessage { born: Some(50), draining: true })]
#[case::without_start(LeaveMessage { born: None, draining: true })]
#[case::earlier_life(LeaveMessage { born: Some(40), draining: false })]
fn leave_message_applies_to_its_own_life(#[case] case: LeaveMessage) {
    let mut world = World::new(Behaviour::Healthy);
    world.send(Message::Leave { runner: "i-1".to_owned(), born: case.born });
    world.advance(500);
    assert_eq!(
        world.last_report().runner.as_ref().map(|runner| runner.draining),
        Some(case.draining)
    );
}

/// A start for one incarnation can reach the next one until that has answered a call with a greater
/// token. The next one was reported from its first listing, without such a run, so the leader took
/// the run for lost and started it elsewhere.
#[test]
fn new_incarnation_is_fenced_before_it_is_reported() {
    let mut world = World::new(Behaviour::Healthy);
    world.restart(announcement("i-1", 60, 1).incarnation);
    world.send(Message::Announce(Box::new(announcement("i-1", 60, 1))));
    // Answers the listing that was requested before the restart, and requests the one that shows it.
    world.advance(50);
    let before = world.tokens.last().copied();
    let late = RunStatus { key: key(0), saved: None, percent: 0, figure: 0, share: 100 };
    world.rows.insert(key(0), late);
    for _ in 0..10 {
        world.advance(50);
        let report = world.last_report();
        if report.runner.as_ref().is_some_and(|runner| runner.incarnation.born == 60) {
            assert_eq!(report.rows.len(), 1, "reported before it was fenced");
            assert!(world.tokens.last().copied() > before);
            return;
        }
    }
    panic!("the new incarnation was not reported");
}

/// After a failed listing the runner may have restarted, so that a start would reach an incarnation
/// that has seen no fencing token.
#[test]
fn failed_listing_holds_starts_back() {
    let mut world = World::new(Behaviour::Healthy);
    let (seq, _) = world.pending.pop().expect("a listing under way");
    world.send(Message::Listed { seq, listing: Err(Fault::Silent) });
    world.start(0);
    assert_eq!((world.starts, world.until), (0, None));
    world.advance(500);
    assert_eq!(world.starts, 1);
}
