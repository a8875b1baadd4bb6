//! Tests of an agent against a runner and a leader that are played by hand.

mod lives;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rstest::rstest;

use super::*;
use crate::dispatch::{Ended, Orders, Row, Start};
use crate::jobs::{End, Life, Need, TaskKey};

fn key(index: u16) -> RunKey {
    RunKey { task: TaskKey { job: 1, round: 0, step: 0, index }, run: 1 }
}

fn order(index: u16) -> Start {
    let nature = Nature::default();
    Start { key: key(index), spec: "spec".into(), saved: None, nature }
}

fn announcement(runner: &str, born: u64, sequence: u64) -> Announcement {
    Announcement {
        life: Life { runner: Name::new(runner).expect("a name"), born },
        addr: "127.0.0.1:9".parse().expect("an address"),
        service: "balcao".into(),
        centre: "olinda".into(),
        labels: vec!["a".into(), "r1".into()],
        capacity: Need { millicores: 8_000, memory: 8_000, accelerators: 0 },
        draining: false,
        sequence,
    }
}

/// How the runner answers orders.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Manner {
    /// Its port refuses connections.
    Ended,
    /// Refuses for want of room.
    Full,
    /// Carries orders out but does not answer the first this many.
    Mute(u32),
    /// Doesn't answer or carry out stops.
    Restless,
    /// Carries everything out.
    Sound,
    /// Doesn't carry out or answer anything but listings.
    Stubborn,
}

/// A runner, its agent, and what the agent reported last.
struct World {
    hosting: Hosting,
    now: Moment,
    manner: Manner,
    life: Life,
    addr: SocketAddr,
    /// Greatest fencing token that the runner has seen.
    seen: u64,
    rows: BTreeMap<RunKey, Row>,
    ended: Vec<Ended>,
    /// Runs that were stopped before they began.
    buried: Vec<RunKey>,
    starts: u32,
    /// Greatest end of the lease that the runner was told.
    until: Option<u64>,
    /// Number up to which it was last told that its ends are recorded.
    noted: Option<u64>,
    tokens: Vec<u64>,
    report: Option<Report>,
    reports: u32,
    /// Whether the runner lists an end that can't be read.
    unread: bool,
    lists: u32,
    /// Listings that the runner has not answered.
    pending: Vec<(u64, Listing)>,
    /// Times for which the runner may hold listings back.
    waits: Vec<Span>,
    /// Shares that the runner was told.
    shares: Vec<u8>,
    /// Such calls that it does not answer.
    lost: usize,
}

impl World {
    fn new(manner: Manner) -> Self {
        let mut world = Self { manner, ..Self::unannounced() };
        world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
        world.pass(300);
        world
    }

    /// A runner that its agent has not heard of.
    fn unannounced() -> Self {
        let announced = announcement("i-1", 50, 1);
        Self {
            hosting: Hosting::new(Name::new("10.0.0.1").expect("a name"), 1),
            now: Moment::micros(1_000_000),
            manner: Manner::Sound,
            life: announced.life.clone(),
            addr: announced.addr,
            seen: 0,
            rows: BTreeMap::new(),
            ended: Vec::new(),
            buried: Vec::new(),
            starts: 0,
            until: None,
            noted: None,
            tokens: Vec::new(),
            report: None,
            reports: 0,
            unread: false,
            lists: 0,
            pending: Vec::new(),
            waits: Vec::new(),
            shares: Vec::new(),
            lost: 0,
        }
    }

    fn send(&mut self, message: Message) {
        let mut queue = vec![message];
        let mut rounds = 0;
        while let Some(message) = queue.pop() {
            rounds += 1;
            assert!(rounds < 10_000, "messages without end");
            for effect in self.hosting.step(self.now, message) {
                queue.extend(self.perform(effect));
            }
        }
    }

    fn perform(&mut self, effect: Effect) -> Option<Message> {
        match effect {
            Effect::List { seq, target, noted, until, wait } => {
                self.waits.push(wait);
                self.lists += 1;
                self.noted = Some(noted);
                self.tokens.push(target.token);
                if let Err(fault) = self.reach(&target) {
                    return Some(Message::Listed { seq, listing: Err(fault) });
                }
                self.until = self.until.max(until);
                self.ended.retain(|ended| ended.number > noted);
                let rows = self.rows.values().cloned().collect();
                let clock = self.now.as_micros() / 1_000;
                let ended = self.ended.clone();
                let listing =
                    Listing { clock, born: self.life.born, rows, ended, unread: self.unread };
                // It is answered when time passes next.
                self.pending.push((seq, listing));
                None
            },
            Effect::Pace { key, percent, .. } => {
                self.shares.push(percent);
                let lost = self.shares.len() <= self.lost;
                let result = if lost { Err(Fault::Silent) } else { Ok(()) };
                Some(Message::Paced { key, result })
            },
            Effect::Report(report) => {
                self.reports += 1;
                self.report = Some(*report);
                None
            },
            Effect::Start { target, start, .. } => {
                self.starts += 1;
                let key = start.key;
                if let Err(fault) = self.reach(&target) {
                    return Some(Message::Started { key, result: Err(fault) });
                }
                if self.manner == Manner::Full {
                    let result = Err(Fault::Denied(Denial::Room));
                    return Some(Message::Started { key, result });
                }
                if self.manner == Manner::Stubborn {
                    return None;
                }
                if self.buried.contains(&key) {
                    let result = Err(Fault::Denied(Denial::Old));
                    return Some(Message::Started { key, result });
                }
                let row = Row { key, saved: None, percent: 0, figure: 0, share: 100 };
                self.rows.insert(key, row);
                match self.manner {
                    Manner::Mute(mute) if self.starts <= mute => None,
                    _ => Some(Message::Started { key, result: Ok(()) }),
                }
            },
            Effect::Stop { key, .. } => {
                if matches!(self.manner, Manner::Restless | Manner::Stubborn) {
                    return None;
                }
                if self.rows.remove(&key).is_some() {
                    self.finish(key, End::Stopped);
                }
                self.buried.push(key);
                Some(Message::Stopped { key, result: Ok(()) })
            },
        }
    }

    /// What a call gets before it is carried out.
    fn reach(&mut self, target: &Target) -> Result<(), Fault> {
        if self.manner == Manner::Ended || target.addr != self.addr {
            return Err(Fault::Gone);
        }
        if target.life.runner != self.life.runner {
            return Err(Fault::Replaced);
        }
        if target.token < self.seen {
            return Err(Fault::Denied(Denial::Fenced));
        }
        self.seen = target.token;
        Ok(())
    }

    /// The runner ends, and another life begins at its address.
    fn bear(&mut self, life: Life) {
        self.life = life;
        self.seen = 0;
        self.rows.clear();
        self.ended.clear();
    }

    fn finish(&mut self, key: RunKey, end: End) {
        let number = self.ended.last().map_or(0, |ended| ended.number) + 1;
        self.ended.push(Ended { number, key, end, saved: None });
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now = self.now + Span::millis(50);
            for (seq, listing) in std::mem::take(&mut self.pending) {
                let listing = Ok(Box::new(listing));
                self.send(Message::Listed { seq, listing });
            }
            if self.now.as_micros().is_multiple_of(100_000) {
                self.send(Message::Tick);
            }
        }
    }

    fn order(&mut self, orders: Orders) {
        let seq = self.report.as_ref().map_or(0, |report| report.seq);
        self.send(Message::Ordered { seq, orders: Some(Box::new(orders)) });
    }

    fn start(&mut self, index: u16) {
        let until = Some(self.now.as_micros() / 1_000 + 5_000);
        self.order(Orders { until, starts: vec![order(index)], ..Orders::default() });
    }

    fn last(&self) -> &Report {
        self.report.as_ref().expect("a report")
    }
}

struct Case {
    manner: Manner,
    /// Times that the start is sent within 3 s.
    starts: u32,
    runs: bool,
    denied: Option<Denial>,
}

/// A start is sent until it is answered; one that may have been carried out is never reported as
/// denied before the runner has confirmed that it won't be.
#[rstest]
#[case::sound(Case { manner: Manner::Sound, starts: 1, runs: true, denied: None })]
#[case::answer_lost(Case { manner: Manner::Mute(1), starts: 1, runs: true, denied: None })]
#[case::full(Case { manner: Manner::Full, starts: 1, runs: false, denied: Some(Denial::Room) })]
#[case::no_answer(Case { manner: Manner::Stubborn, starts: 4, runs: false, denied: None })]
fn start_runs_or_is_denied(#[case] case: Case) {
    let mut world = World::new(case.manner);
    world.start(0);
    world.pass(3_000);
    assert_eq!(world.starts, case.starts);
    let runs = world.last().rows.iter().any(|row| row.key == key(0));
    assert_eq!(runs, case.runs);
    assert_eq!(world.last().denied.first().map(|(_, denial)| *denial), case.denied);
}

/// A run that was denied is not started by a late copy of its order.
#[test]
fn denied_run_stays_denied() {
    let mut world = World::new(Manner::Full);
    world.start(0);
    world.pass(500);
    world.manner = Manner::Sound;
    world.start(0);
    world.pass(500);
    assert!(world.rows.is_empty());
    assert_eq!(world.last().denied, [(key(0), Denial::Room)]);
}

/// A stop of a run that is not there keeps it from being started, and is reported as such.
#[test]
fn stop_before_the_start_is_reported() {
    let mut world = World::new(Manner::Sound);
    world.order(Orders { until: Some(9_000), stops: vec![key(3)], ..Orders::default() });
    world.pass(500);
    assert_eq!(world.buried, [key(3)]);
    assert_eq!(world.last().denied, [(key(3), Denial::Stopped)]);
}

/// Ends are reported until the leader has them recorded, and only then acknowledged.
#[test]
fn ends_are_reported_until_they_are_noted() {
    let mut world = World::new(Manner::Sound);
    world.start(0);
    world.pass(500);
    world.rows.clear();
    world.finish(key(0), End::Done);
    world.pass(1_500);
    assert_eq!(world.last().ended.len(), 1);
    assert_eq!(world.ended.len(), 1);
    world.order(Orders { until: Some(9_000), noted: 1, ..Orders::default() });
    world.pass(1_500);
    assert!(world.last().ended.is_empty());
    assert!(world.ended.is_empty());
}

/// A runner answers at once while it lists ends, and one that can't be read is listed for good. The
/// agent used to ask again with each answer.
#[test]
fn unread_ends_are_not_asked_for_without_a_pause() {
    let mut world = World::new(Manner::Sound);
    world.unread = true;
    world.pass(500);
    let before = world.lists;
    world.pass(10_000);
    let lists = world.lists - before;
    assert!((20..=170).contains(&lists), "{lists} listings in 10 s");
}

/// Without the leader an agent keeps its runner's lease as it is, so that it ends.
#[test]
fn lease_is_extended_by_the_leader_alone() {
    let mut world = World::new(Manner::Sound);
    world.start(0);
    world.pass(500);
    let granted = world.until;
    assert!(granted.is_some());
    world.pass(5_000);
    assert_eq!(world.until, granted);
}

/// Reports come at least every second and are few while nothing happens.
#[test]
fn reports_are_bounded() {
    let mut world = World::new(Manner::Sound);
    world.start(0);
    world.pass(1_000);
    let before = world.reports;
    world.pass(10_000);
    let sent = world.reports - before;
    assert!((10..=20).contains(&sent), "{sent} reports in 10 s");
}

/// A runner that leaves gets nothing new at once, and its runs count until its port is closed.
#[test]
fn runner_that_left_is_gone_once_its_port_is() {
    let mut world = World::new(Manner::Sound);
    world.send(Message::Leave { runner: "i-1".to_owned(), born: None });
    world.pass(500);
    let draining = |world: &World| world.last().runner.as_ref().map(|runner| runner.draining);
    assert_eq!((draining(&world), world.last().gone), (Some(true), false));
    world.manner = Manner::Ended;
    world.pass(2_000);
    assert_eq!((draining(&world), world.last().gone), (Some(true), true));
}

struct Overtaken {
    /// What the leader ordered for the life before.
    orders: Orders,
}

/// Orders that answer a report on an earlier life don't reach the next one. Its numbers of ends and
/// its clock begin anew, so it would forget ends that nobody has recorded and keep its tasks beyond
/// its lease; and the leader closes runs of the life before and starts them elsewhere.
#[rstest]
#[case::end_of_lease(Overtaken {
    orders: Orders { until: Some(900_000), ..Orders::default() },
})]
#[case::recorded_ends(Overtaken {
    orders: Orders { noted: 57, ..Orders::default() },
})]
#[case::start(Overtaken {
    orders: Orders { starts: vec![order(0)], ..Orders::default() },
})]
fn orders_for_an_earlier_life_are_dropped(#[case] case: Overtaken) {
    let mut world = World::new(Manner::Sound);
    let seq = world.last().seq;
    let announced = announcement("i-1", 60, 1);
    world.life = announced.life.clone();
    world.send(Message::Announce(Box::new(announced)));
    // The next life is known once it has answered.
    world.pass(400);
    world.finish(key(5), End::Done);
    world.until = None;
    let orders = Some(Box::new(case.orders));
    world.send(Message::Ordered { seq, orders });
    world.pass(1_000);
    assert_eq!(world.starts, 0, "the run was assigned to the life before");
    assert_eq!(world.until, None, "no lease was granted to this life");
    assert_eq!(world.ended.len(), 1, "the end was not recorded");
    assert_eq!(world.last().ended.len(), 1);
}

/// Orders that get no answer don't hold others back: a lasting task whose start waits behind stops
/// that the runner does not answer would not run.
#[test]
fn unanswered_orders_hold_nothing_back() {
    let mut world = World::new(Manner::Restless);
    let stops = (0..4).map(key).collect();
    world.order(Orders { until: Some(9_000), stops, ..Orders::default() });
    world.start(9);
    world.pass(1_500);
    assert!(world.last().rows.iter().any(|row| row.key == key(9)));
}

/// A run keeps the share that it was last told, which an agent that restarts does not know: a task
/// that stood still stood still for ever.
#[test]
fn share_of_an_earlier_process_is_replaced() {
    let mut world = World::with_share(0);
    world.pass(1_500);
    assert_eq!(world.shares, [100]);
}

/// A call without an answer may be carried out up to 12 s later, after newer ones, so the share is
/// told again until then and not for longer.
#[test]
fn share_is_repeated_while_a_lost_call_may_take_effect() {
    let mut world = World::with_share(1);
    world.pass(1_500);
    let early = world.shares.len();
    assert!(early > 1, "the runner may not have taken it");
    world.pass(11_000);
    assert!(world.shares.len() > early, "a late call would have the last word");
    world.pass(4_000);
    let late = world.shares.len();
    world.pass(10_000);
    assert_eq!(world.shares.len(), late);
}

impl World {
    /// A run that an earlier process started, whose first calls with a share get no answer.
    fn with_share(lost: usize) -> Self {
        let mut world = Self::new(Manner::Sound);
        world.lost = lost;
        let row = Row { key: key(0), saved: None, percent: 40, figure: 0, share: 100 };
        world.rows.insert(key(0), row);
        world.pass(1_000);
        let nature = Nature { cores: 1_000, fills: true, ..Nature::default() };
        let natures = vec![(key(0), nature)];
        world.order(Orders { until: Some(9_000), natures, ..Orders::default() });
        world
    }
}

/// The listing after one without an answer is answered at once. With its wait of 0.5 s a single lost
/// answer made a sound runner look silent for more than 1.6 s, so that it got no new work.
#[test]
fn listing_after_a_lost_one_does_not_wait() {
    let mut world = World::new(Manner::Sound);
    let (seq, _) = world.pending.pop().expect("a listing under way");
    assert_eq!(world.waits.last(), Some(&LIST_WAIT));
    world.send(Message::Listed { seq, listing: Err(Fault::Silent) });
    let calls = world.waits.len();
    world.pass(200);
    assert_eq!(world.waits.get(calls), Some(&Span::ZERO));
    world.pass(100);
    assert_eq!(world.waits.last(), Some(&LIST_WAIT));
}

/// A runner that has not answered lately may have been replaced by another life under its name,
/// which has seen no fencing token yet: it gets no start, lease or acknowledgement until it answers.
#[test]
fn silent_runner_gets_no_starts() {
    let mut world = World::new(Manner::Sound);
    world.start(0);
    world.pass(500);
    world.manner = Manner::Ended;
    world.pass(800);
    (world.until, world.noted) = (None, None);
    world.order(Orders { noted: 3, ..Orders::default() });
    world.start(1);
    world.pass(300);
    assert_eq!((world.starts, world.until, world.noted), (1, None, Some(0)));
    world.manner = Manner::Sound;
    world.pass(500);
    assert_eq!((world.starts, world.noted), (2, Some(3)));
    assert!(world.until.is_some());
}

/// An answer that an agent reads long after it asked, as its process stood still, says nothing about
/// who is there now.
#[test]
fn late_listing_lets_nothing_start() {
    let mut world = World::new(Manner::Sound);
    world.pass(500);
    world.now = world.now + Span::secs(3);
    world.manner = Manner::Ended;
    world.pass(50);
    world.start(1);
    assert_eq!(world.starts, 0);
    world.manner = Manner::Sound;
    world.pass(500);
    assert_eq!(world.starts, 1);
}
