//! Tests of which runner an agent follows, from announcements and listings.

use rstest::rstest;

use super::*;

struct Birth {
    runner: &'static str,
    born: u64,
    sequence: u64,
    /// The life that the agent reports afterwards.
    life: (&'static str, u64),
}

/// A later life replaces an earlier one; late announcements of an earlier life do not.
#[rstest]
#[case::same_name_reborn(Birth { runner: "i-1", born: 60, sequence: 1, life: ("i-1", 60) })]
#[case::reborn_after_a_clock_step(
    Birth { runner: "i-1", born: 40, sequence: 1, life: ("i-1", 40) }
)]
#[case::other_name_after_a_clock_step(
    Birth { runner: "i-2", born: 40, sequence: 1, life: ("i-2", 40) }
)]
#[case::other_name(Birth { runner: "i-2", born: 60, sequence: 1, life: ("i-2", 60) })]
#[case::late(Birth { runner: "i-0", born: 40, sequence: 9, life: ("i-1", 50) })]
#[case::repeated(Birth { runner: "i-1", born: 50, sequence: 1, life: ("i-1", 50) })]
fn newest_life_counts(#[case] birth: Birth) {
    let mut world = World::new(Manner::Sound);
    world.start(0);
    world.pass(500);
    let before = world.tokens.last().copied();
    let announced = announcement(birth.runner, birth.born, birth.sequence);
    if birth.life != ("i-1", 50) {
        world.bear(announced.life.clone());
    }
    world.send(Message::Announce(Box::new(announced)));
    world.pass(1_500);
    let runner = world.last().runner.clone().expect("a runner");
    assert_eq!((runner.life.runner.as_str(), runner.life.born), birth.life);
    let reborn = birth.life != ("i-1", 50);
    assert_eq!(world.last().rows.is_empty(), reborn);
    // The first calls to a new life raise its fencing token, so that late orders are refused.
    let last = world.tokens.last().copied();
    assert_eq!(last > before, reborn, "{before:?} {last:?}");
    assert_eq!(last, Some(world.seen));
}

/// An announcement of another writer, beside those of the runner i-1 that started at 50.
struct Odd {
    alter: fn(&mut Announcement),
    /// It comes before the first announcement of the runner.
    first: bool,
    /// It is repeated, rather than sent once.
    again: bool,
}

const ONCE: Odd = Odd { alter: |_| {}, first: false, again: false };
const AGAIN: Odd = Odd { again: true, ..ONCE };
const FIRST: Odd = Odd { first: true, ..ONCE };

fn rename(odd: &mut Announcement) {
    odd.life = Life { runner: Name::new("i-9").expect("a name"), born: 70 };
}

fn rename_elsewhere(odd: &mut Announcement) {
    rename(odd);
    odd.addr = "127.0.0.1:10".parse().expect("an address");
}

fn later(odd: &mut Announcement) {
    odd.life.born = 70;
}

fn never(odd: &mut Announcement) {
    odd.life.born = u64::MAX;
}

fn earlier(odd: &mut Announcement) {
    odd.life.born = 0;
}

fn elsewhere(odd: &mut Announcement) {
    odd.addr = "127.0.0.1:10".parse().expect("an address");
}

fn other_service(odd: &mut Announcement) {
    odd.service = "nowhere".into();
}

fn other_room(odd: &mut Announcement) {
    odd.capacity.millicores = 1;
}

fn last_sequence(odd: &mut Announcement) {
    other_service(odd);
    odd.sequence = u64::MAX;
}

/// An announcement alone displaces no runner that answers, takes none of its runs from it, and
/// leaves nothing behind: later announcements count, and orders are carried out.
#[rstest]
#[case::other_name(Odd { alter: rename, ..ONCE })]
#[case::other_name_again(Odd { alter: rename, ..AGAIN })]
#[case::other_name_first(Odd { alter: rename, ..FIRST })]
#[case::other_name_elsewhere(Odd { alter: rename_elsewhere, ..AGAIN })]
#[case::other_name_elsewhere_first(Odd { alter: rename_elsewhere, ..FIRST })]
#[case::later_start(Odd { alter: later, ..ONCE })]
#[case::later_start_again(Odd { alter: later, ..AGAIN })]
#[case::later_start_first(Odd { alter: later, ..FIRST })]
#[case::last_start(Odd { alter: never, ..AGAIN })]
#[case::last_start_first(Odd { alter: never, ..FIRST })]
#[case::no_start(Odd { alter: earlier, ..AGAIN })]
#[case::no_start_first(Odd { alter: earlier, ..FIRST })]
#[case::other_address(Odd { alter: elsewhere, ..ONCE })]
#[case::other_address_again(Odd { alter: elsewhere, ..AGAIN })]
#[case::other_address_first(Odd { alter: elsewhere, ..FIRST })]
#[case::other_service(Odd { alter: other_service, ..ONCE })]
#[case::other_room(Odd { alter: other_room, ..ONCE })]
#[case::last_sequence(Odd { alter: last_sequence, ..ONCE })]
#[case::last_sequence_first(Odd { alter: last_sequence, ..FIRST })]
fn announcement_displaces_no_runner_that_answers(#[case] case: Odd) {
    let real = announcement("i-1", 50, 1);
    let mut odd = announcement("i-1", 50, 2);
    (case.alter)(&mut odd);
    let mut world = if case.first { World::unannounced() } else { World::new(Manner::Sound) };
    world.start(0);
    let undisturbed = |world: &World| {
        let runner = world.last().runner.as_ref().expect("a runner");
        assert_eq!(runner.life, real.life);
        assert_eq!((&runner.service, runner.capacity), (&real.service, real.capacity));
        assert!(!world.last().gone);
        assert!(world.rows.contains_key(&key(0)));
    };
    for beat in 0..8 {
        // The odd one comes first, or between two others.
        let once = if case.first { 0 } else { 1 };
        if beat == once || (case.again && beat > once) {
            let sequence = odd.sequence.max(3 * beat + 2);
            world.send(Message::Announce(Box::new(Announcement { sequence, ..odd.clone() })));
            world.pass(700);
            if !case.first {
                undisturbed(&world);
            }
        }
        let sequence = 3 * beat + 3;
        world.send(Message::Announce(Box::new(Announcement { sequence, ..real.clone() })));
        world.pass(800);
        if !case.first {
            undisturbed(&world);
        }
    }
    let runner = world.last().runner.clone().expect("a runner");
    assert_eq!((runner.life, runner.service), (real.life, real.service));
    // A draining that is announced now counts at once.
    let leaving = Announcement { sequence: 90, draining: true, ..announcement("i-1", 50, 90) };
    world.send(Message::Announce(Box::new(leaving)));
    world.pass(200);
    assert!(world.last().runner.as_ref().is_some_and(|runner| runner.draining));
    world.start(1);
    world.pass(600);
    assert!(world.rows.contains_key(&key(1)), "denied {:?}", world.last().denied);
}

/// An agent whose clock was set back between two of its processes begins with a lower fencing token
/// than the runner has seen, and finds one that counts.
#[test]
fn runner_that_has_seen_a_greater_token_takes_orders() {
    let mut world = World::unannounced();
    world.seen = 1_000;
    world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
    world.pass(4_000);
    world.start(0);
    world.pass(500);
    assert!(world.rows.contains_key(&key(0)), "{:?}", world.tokens);
}

/// Orders that answer a report of the runner before are not given to the next one, whose leases and
/// runs are others.
#[test]
fn orders_for_the_runner_before_are_dropped() {
    let mut world = World::new(Manner::Sound);
    let (seq, now) = (world.last().seq, world.now.as_micros() / 1_000);
    world.bear(announcement("i-2", 60, 1).life);
    world.send(Message::Announce(Box::new(announcement("i-2", 60, 1))));
    world.pass(400);
    assert_eq!(world.last().runner.as_ref().map(|runner| runner.life.born), Some(60));
    let start = Start { key: key(0), spec: "spec".into(), saved: None, nature: Nature::default() };
    let orders = Orders { until: Some(now + 5_000), starts: vec![start], ..Orders::default() };
    world.send(Message::Ordered { seq, orders: Some(Box::new(orders)) });
    world.pass(500);
    assert!(world.rows.is_empty());
    assert_eq!(world.until, None);
}

/// Announcements of many runners that don't exist leave the one that does in use.
#[test]
fn many_announcements_are_bounded() {
    let mut world = World::new(Manner::Sound);
    for number in 0..1_000_u64 {
        let odd = announcement(&format!("i-odd-{number}"), 60 + number, 1);
        world.send(Message::Announce(Box::new(odd)));
        world.pass(50);
    }
    world.start(0);
    world.pass(500);
    assert!(world.rows.contains_key(&key(0)));
    assert!(world.hosting.others.len() <= 8, "{} are kept", world.hosting.others.len());
}

struct Claim {
    /// What is announced once, before the runner goes on announcing itself.
    stray: Announcement,
    /// The runner that is there from then on.
    life: (&'static str, u64),
}

/// An announcement counts as late only while the one that is held against it is confirmed: one that
/// nobody stands behind must not exclude the runner for ever.
#[rstest]
#[case::runner_that_never_was(Claim {
    stray: announcement("i-9", 99, 1),
    life: ("i-1", 50),
})]
#[case::sequence_far_ahead(Claim {
    stray: Announcement { service: "other".into(), ..announcement("i-1", 50, 1_000_000) },
    life: ("i-1", 50),
})]
#[case::restarted_after_its_clock_stepped_back(Claim {
    stray: announcement("i-1", 50, 2),
    life: ("i-1", 40),
})]
fn runner_that_goes_on_announcing_itself_is_found(#[case] claim: Claim) {
    let mut world = World::new(Manner::Sound);
    world.send(Message::Announce(Box::new(claim.stray)));
    let (runner, born) = claim.life;
    for sequence in 2..9 {
        let announced = announcement(runner, born, sequence);
        world.life = announced.life.clone();
        world.send(Message::Announce(Box::new(announced)));
        world.pass(1_000);
    }
    let found = world.last().runner.clone().expect("a runner");
    assert_eq!((found.life.runner.as_str(), found.life.born), claim.life);
    assert_eq!(&*found.service, "balcao");
}

/// A runner that was born again under its name answers before it announces itself. It was asked
/// without a pause until then, with a log line for each answer.
#[test]
fn reborn_runner_is_asked_with_pauses() {
    let mut world = World::new(Manner::Sound);
    world.finish(key(0), End::Done);
    world.pass(1_000);
    let listing = Listing { clock: 5, born: 60, ..Listing::default() };
    let mut asked = Vec::new();
    while let Some((seq, _)) = world.pending.pop() {
        let listing = Ok(Box::new(listing.clone()));
        world.send(Message::Listed { seq, listing });
        asked.push(seq);
        assert!(asked.len() < 3, "asked again at once");
    }
    let calls = world.tokens.len();
    world.pass(300);
    assert!(world.tokens.len() > calls, "asked again after a while");
}

struct Farewell {
    born: Option<u64>,
    draining: bool,
}

/// A runner's late farewell does not count for its next life under the same name, whose lasting tasks
/// would all be stopped.
#[rstest]
#[case::own(Farewell { born: Some(50), draining: true })]
#[case::unnamed(Farewell { born: None, draining: true })]
#[case::earlier_life(Farewell { born: Some(40), draining: false })]
fn farewell_counts_for_its_own_life(#[case] case: Farewell) {
    let mut world = World::new(Manner::Sound);
    world.send(Message::Leave { runner: "i-1".to_owned(), born: case.born });
    world.pass(500);
    assert_eq!(world.last().runner.as_ref().map(|runner| runner.draining), Some(case.draining));
}
