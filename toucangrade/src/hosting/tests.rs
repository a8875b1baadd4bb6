//! Tests of an agent with a simulated runner and hand-written answers of the leader.

mod doubts;
mod listings;
mod lives;
mod logs;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rstest::rstest;

use super::*;
use crate::dispatch::{EndedRun, Orders, RunStatus, Start};
use crate::jobs::{End, Incarnation, Need, TaskKey};

fn key(index: u16) -> RunKey {
    RunKey { task: TaskKey { job: 1, round: 0, step: 0, index }, run: 1 }
}

fn start_order(index: u16) -> Start {
    let profile = RunProfile::default();
    Start { key: key(index), spec: "spec".into(), saved: None, profile }
}

fn announcement(runner: &str, born: u64, sequence: u64) -> Announcement {
    Announcement {
        incarnation: Incarnation { runner: Name::new(runner).expect("a name"), born },
        addr: "127.0.0.1:9".parse().expect("an address"),
        service: "balcao".into(),
        centre: "olinda".into(),
        cold: Span::ZERO,
        labels: vec!["a".into(), "r1".into()],
        capacity: Need { millicores: 8_000, memory: 8_000, accelerators: 0 },
        draining: false,
        sequence,
    }
}

/// How the simulated runner answers calls.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Behaviour {
    /// Its port refuses connections.
    PortClosed,
    /// Refuses starts for lack of room.
    Full,
    /// Carries out all orders, but doesn't answer this number of starts.
    AnswersLost(u32),
    /// Neither answers nor carries out stops.
    IgnoresStops,
    /// Carries out and answers all calls.
    Healthy,
    /// Answers listings, but neither answers nor carries out orders.
    IgnoresOrders,
}

/// A simulated runner, its agent, and the calls and reports that the agent sent.
struct World {
    hosting: Hosting,
    now: Moment,
    behaviour: Behaviour,
    incarnation: Incarnation,
    addr: SocketAddr,
    /// Greatest fencing token that the runner has seen.
    seen: u64,
    rows: BTreeMap<RunKey, RunStatus>,
    ended: Vec<EndedRun>,
    /// Runs for which the runner got a stop; it refuses to start them.
    stopped: Vec<RunKey>,
    /// Number of start calls.
    starts: u32,
    /// Greatest end of the lease that the runner received, in ms on its clock.
    until: Option<u64>,
    /// Number up to which the last listing request acknowledged ends.
    noted: Option<u64>,
    /// Fencing tokens of the listing requests.
    tokens: Vec<u64>,
    /// The last report.
    report: Option<Report>,
    reports: u32,
    /// Whether the listings have an end that can't be decoded.
    unread: bool,
    /// Greatest number of ends in a listing.
    page: usize,
    /// Number of listing requests.
    lists: u32,
    /// Listings that are answered when time passes next.
    pending: Vec<(u64, Listing)>,
    /// Long-poll timeouts of the listing requests.
    waits: Vec<Span>,
    /// Shares of the pace calls, in percent.
    shares: Vec<u8>,
    /// Number of first pace calls that are not answered.
    unanswered: usize,
}

impl World {
    fn new(behaviour: Behaviour) -> Self {
        let mut world = Self { behaviour, ..Self::unannounced() };
        world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
        world.advance(300);
        world
    }

    /// A runner that was not announced to its agent.
    fn unannounced() -> Self {
        let announced = announcement("i-1", 50, 1);
        Self {
            hosting: Hosting::new(Name::new("10.0.0.1").expect("a name"), 1),
            now: Moment::micros(1_000_000),
            behaviour: Behaviour::Healthy,
            incarnation: announced.incarnation.clone(),
            addr: announced.addr,
            seen: 0,
            rows: BTreeMap::new(),
            ended: Vec::new(),
            stopped: Vec::new(),
            starts: 0,
            until: None,
            noted: None,
            tokens: Vec::new(),
            report: None,
            reports: 0,
            unread: false,
            page: usize::MAX,
            lists: 0,
            pending: Vec::new(),
            waits: Vec::new(),
            shares: Vec::new(),
            unanswered: 0,
        }
    }

    fn send(&mut self, message: Message) {
        let mut queue = vec![message];
        let mut rounds = 0;
        while let Some(message) = queue.pop() {
            rounds += 1;
            assert!(rounds < 10_000, "the exchange of messages has no end");
            for effect in self.hosting.step(self.now, message) {
                queue.extend(self.perform(effect));
            }
        }
    }

    fn perform(&mut self, effect: Effect) -> Option<Message> {
        match effect {
            Effect::List { seq, target, recorded, lease_end, wait } => {
                self.waits.push(wait);
                self.lists += 1;
                self.noted = Some(recorded);
                self.tokens.push(target.token);
                if let Err(fault) = self.check_call(&target) {
                    return Some(Message::Listed { seq, listing: Err(fault) });
                }
                self.until = self.until.max(lease_end);
                self.ended.retain(|ended| ended.number > recorded);
                let rows = self.rows.values().cloned().collect();
                let clock = self.now.as_micros() / 1_000;
                let ended: Vec<_> = self.ended.iter().take(self.page).cloned().collect();
                let complete = ended.len() < self.page;
                let listing = Listing {
                    clock,
                    born: self.incarnation.born,
                    rows,
                    ended,
                    unread: self.unread,
                    complete,
                };
                // The answer is sent when time passes next.
                self.pending.push((seq, listing));
                None
            },
            Effect::Pace { key, percent, .. } => {
                self.shares.push(percent);
                let unanswered = self.shares.len() <= self.unanswered;
                let result = if unanswered { Err(Fault::Silent) } else { Ok(()) };
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
                if let Err(fault) = self.check_call(&target) {
                    return Some(Message::Started { key, result: Err(fault) });
                }
                if self.behaviour == Behaviour::Full {
                    let result = Err(Fault::Denied(Denial::Room));
                    return Some(Message::Started { key, result });
                }
                if self.behaviour == Behaviour::IgnoresOrders {
                    return None;
                }
                if self.stopped.contains(&key) {
                    let result = Err(Fault::Denied(Denial::Old));
                    return Some(Message::Started { key, result });
                }
                let row = RunStatus { key, saved: None, percent: 0, figure: 0, share: 100 };
                self.rows.insert(key, row);
                match self.behaviour {
                    Behaviour::AnswersLost(lost) if self.starts <= lost => None,
                    _ => Some(Message::Started { key, result: Ok(()) }),
                }
            },
            Effect::Stop { key, .. } => {
                if matches!(self.behaviour, Behaviour::IgnoresStops | Behaviour::IgnoresOrders) {
                    return None;
                }
                if self.rows.remove(&key).is_some() {
                    self.finish(key, End::Stopped);
                }
                self.stopped.push(key);
                Some(Message::Stopped { key, result: Ok(()) })
            },
        }
    }

    /// Checks the port, the runner's name and the fencing token before a call is carried out.
    fn check_call(&mut self, target: &Target) -> Result<(), Fault> {
        if self.behaviour == Behaviour::PortClosed || target.addr != self.addr {
            return Err(Fault::Gone);
        }
        if target.incarnation.runner != self.incarnation.runner {
            return Err(Fault::Replaced);
        }
        if target.token < self.seen {
            return Err(Fault::Denied(Denial::Fenced));
        }
        self.seen = target.token;
        Ok(())
    }

    /// Restarts the runner with another incarnation at the same address.
    fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.seen = 0;
        self.rows.clear();
        self.ended.clear();
    }

    fn finish(&mut self, key: RunKey, end: End) {
        let number = self.ended.last().map_or(0, |ended| ended.number) + 1;
        self.ended.push(EndedRun { number, key, end, saved: None });
    }

    fn advance(&mut self, millis: u64) {
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

    fn answer_report(&mut self, orders: Orders) {
        let seq = self.report.as_ref().map_or(0, |report| report.seq);
        self.send(Message::Ordered { seq, orders: Some(Box::new(orders)) });
    }

    fn start(&mut self, index: u16) {
        let until = Some(self.now.as_micros() / 1_000 + 5_000);
        self.answer_report(Orders { until, starts: vec![start_order(index)], ..Orders::default() });
    }

    fn last_report(&self) -> &Report {
        self.report.as_ref().expect("a report")
    }
}

struct Case {
    behaviour: Behaviour,
    /// Number of times that the start is sent within 3 s.
    starts: u32,
    /// Whether the run is reported as active.
    runs: bool,
    denied: Option<Denial>,
}

/// A start is sent until it is answered. If the runner may have carried it out, it must not be
/// reported as denied before the runner has confirmed that it will not carry it out.
#[rstest]
#[case::healthy(Case { behaviour: Behaviour::Healthy, starts: 1, runs: true, denied: None })]
#[case::answer_lost(Case {
    behaviour: Behaviour::AnswersLost(1), starts: 1, runs: true, denied: None,
})]
#[case::full(Case {
    behaviour: Behaviour::Full, starts: 1, runs: false, denied: Some(Denial::Room),
})]
#[case::no_answer(Case {
    behaviour: Behaviour::IgnoresOrders, starts: 4, runs: false, denied: None,
})]
fn start_runs_or_is_denied(#[case] case: Case) {
    let mut world = World::new(case.behaviour);
    world.start(0);
    world.advance(3_000);
    assert_eq!(world.starts, case.starts);
    let runs = world.last_report().rows.iter().any(|row| row.key == key(0));
    assert_eq!(runs, case.runs);
    assert_eq!(world.last_report().denied.first().map(|(_, denial)| *denial), case.denied);
}

/// A delayed copy of an order must not start a run that was reported as denied.
#[test]
fn denied_run_stays_denied() {
    let mut world = World::new(Behaviour::Full);
    world.start(0);
    world.advance(500);
    world.behaviour = Behaviour::Healthy;
    world.start(0);
    world.advance(500);
    assert!(world.rows.is_empty());
    assert_eq!(world.last_report().denied, [(key(0), Denial::Room)]);
}

/// A stop that arrives before the start prevents it, and the run is reported as denied.
#[test]
fn stop_before_the_start_is_reported() {
    let mut world = World::new(Behaviour::Healthy);
    world.answer_report(Orders { until: Some(9_000), stops: vec![key(3)], ..Orders::default() });
    world.advance(500);
    assert_eq!(world.stopped, [key(3)]);
    assert_eq!(world.last_report().denied, [(key(3), Denial::Stopped)]);
}

/// Ends are reported until the leader has recorded them, and acknowledged to the runner only then.
#[test]
fn ends_are_reported_until_they_are_recorded() {
    let mut world = World::new(Behaviour::Healthy);
    world.start(0);
    world.advance(500);
    world.rows.clear();
    world.finish(key(0), End::Done);
    world.advance(1_500);
    assert_eq!(world.last_report().ended.len(), 1);
    assert_eq!(world.ended.len(), 1);
    world.answer_report(Orders { until: Some(9_000), noted: 1, ..Orders::default() });
    world.advance(1_500);
    assert!(world.last_report().ended.is_empty());
    assert!(world.ended.is_empty());
}

/// A runner answers at once while it lists ends, and an end that can't be decoded is listed for
/// ever. Without a pause the agent would request a new listing after each answer.
#[test]
fn unread_ends_are_requested_with_a_pause() {
    let mut world = World::new(Behaviour::Healthy);
    world.unread = true;
    world.advance(500);
    let before = world.lists;
    world.advance(10_000);
    let lists = world.lists - before;
    assert!((20..=170).contains(&lists), "{lists} listings in 10 s");
}

/// Without answers of the leader the agent does not extend its runner's lease, so that it expires.
#[test]
fn lease_is_extended_by_the_leader_alone() {
    let mut world = World::new(Behaviour::Healthy);
    world.start(0);
    world.advance(500);
    let granted = world.until;
    assert!(granted.is_some());
    world.advance(5_000);
    assert_eq!(world.until, granted);
}

/// Reports are sent at least every second, and at most twice a second while nothing changes.
#[test]
fn reports_are_bounded() {
    let mut world = World::new(Behaviour::Healthy);
    world.start(0);
    world.advance(1_000);
    let before = world.reports;
    world.advance(10_000);
    let sent = world.reports - before;
    assert!((10..=20).contains(&sent), "{sent} reports in 10 s");
}

/// A runner that announces its shutdown is reported as draining at once, and as gone only once its
/// port refuses connections.
#[test]
fn runner_that_left_is_gone_once_its_port_is_closed() {
    let mut world = World::new(Behaviour::Healthy);
    world.send(Message::Leave { runner: "i-1".to_owned(), born: None });
    world.advance(500);
    let draining =
        |world: &World| world.last_report().runner.as_ref().map(|runner| runner.draining);
    assert_eq!((draining(&world), world.last_report().gone), (Some(true), false));
    world.behaviour = Behaviour::PortClosed;
    world.advance(2_000);
    assert_eq!((draining(&world), world.last_report().gone), (Some(true), true));
}

struct DelayedOrders {
    /// Orders of the leader for the previous incarnation.
    orders: Orders,
}

/// Orders that answer a report on an earlier incarnation must not reach the next one. Its end
/// numbers and its clock start anew, so it would drop ends that nobody has recorded and run tasks
/// beyond its lease. The leader closes the runs of the previous incarnation and starts them
/// elsewhere.
#[rstest]
#[case::end_of_lease(DelayedOrders {
    orders: Orders { until: Some(900_000), ..Orders::default() },
})]
#[case::recorded_ends(DelayedOrders {
    orders: Orders { noted: 57, ..Orders::default() },
})]
#[case::start(DelayedOrders {
    orders: Orders { starts: vec![start_order(0)], ..Orders::default() },
})]
fn orders_for_an_earlier_life_are_dropped(#[case] case: DelayedOrders) {
    let mut world = World::new(Behaviour::Healthy);
    let seq = world.last_report().seq;
    let announced = announcement("i-1", 60, 1);
    world.incarnation = announced.incarnation.clone();
    world.send(Message::Announce(Box::new(announced)));
    // The agent switches to the new incarnation once that has answered a listing.
    world.advance(400);
    world.finish(key(5), End::Done);
    world.until = None;
    let orders = Some(Box::new(case.orders));
    world.send(Message::Ordered { seq, orders });
    world.advance(1_000);
    assert_eq!(world.starts, 0, "the run was assigned to the life before");
    assert_eq!(world.until, None, "no lease was granted to this life");
    assert_eq!(world.ended.len(), 1, "the end was not recorded");
    assert_eq!(world.last_report().ended.len(), 1);
}

/// Unanswered orders must not block others: a lasting task whose start waited behind unanswered
/// stops would not run.
#[test]
fn unanswered_orders_do_not_block_others() {
    let mut world = World::new(Behaviour::IgnoresStops);
    let stops = (0..4).map(key).collect();
    world.answer_report(Orders { until: Some(9_000), stops, ..Orders::default() });
    world.start(9);
    world.advance(1_500);
    assert!(world.last_report().rows.iter().any(|row| row.key == key(9)));
}

/// A run keeps the last share that the runner received, which a restarted agent does not know: a
/// task that was paused by the earlier process would stay paused for ever.
#[test]
fn share_of_an_earlier_process_is_replaced() {
    let mut world = World::with_share(0);
    world.advance(1_500);
    assert_eq!(world.shares, [100]);
}

/// An unanswered call may take effect up to 12 s later, after newer ones, so the share is sent
/// repeatedly until then and not for longer.
#[test]
fn share_is_repeated_while_a_lost_call_may_take_effect() {
    let mut world = World::with_share(1);
    world.advance(1_500);
    let early = world.shares.len();
    assert!(early > 1, "the runner may not have taken it");
    world.advance(11_000);
    assert!(world.shares.len() > early, "a late call would have the last word");
    world.advance(4_000);
    let late = world.shares.len();
    world.advance(10_000);
    assert_eq!(world.shares.len(), late);
}

impl World {
    /// A runner with a run that an earlier process of the agent started; the first `unanswered`
    /// pace calls get no answer.
    fn with_share(unanswered: usize) -> Self {
        let mut world = Self::new(Behaviour::Healthy);
        world.unanswered = unanswered;
        let row = RunStatus { key: key(0), saved: None, percent: 40, figure: 0, share: 100 };
        world.rows.insert(key(0), row);
        world.advance(1_000);
        let profile = RunProfile { cores: 1_000, fills: true, ..RunProfile::default() };
        let profiles = vec![(key(0), profile)];
        world.answer_report(Orders { until: Some(9_000), profiles, ..Orders::default() });
        world
    }
}

/// The listing after a lost one must be answered at once. With the long poll of 0.5 s a single lost
/// answer made a healthy runner look silent for more than 1.6 s, so that it got no new work.
#[test]
fn listing_after_a_lost_one_does_not_wait() {
    let mut world = World::new(Behaviour::Healthy);
    let (seq, _) = world.pending.pop().expect("a listing under way");
    assert_eq!(world.waits.last(), Some(&LIST_WAIT));
    world.send(Message::Listed { seq, listing: Err(Fault::Silent) });
    let calls = world.waits.len();
    world.advance(200);
    assert_eq!(world.waits.get(calls), Some(&Span::ZERO));
    world.advance(100);
    assert_eq!(world.waits.last(), Some(&LIST_WAIT));
}

/// A runner that has not answered lately may have been replaced by another incarnation under its
/// name, which has seen no fencing token yet. It must get no start, lease or acknowledgement until
/// it answers.
#[test]
fn silent_runner_gets_no_starts() {
    let mut world = World::new(Behaviour::Healthy);
    world.start(0);
    world.advance(500);
    for index in 1..4 {
        world.finish(key(index), End::Done);
    }
    world.advance(200);
    world.behaviour = Behaviour::PortClosed;
    world.advance(800);
    (world.until, world.noted) = (None, None);
    world.answer_report(Orders { noted: 3, ..Orders::default() });
    world.start(4);
    world.advance(300);
    assert_eq!((world.starts, world.until, world.noted), (1, None, Some(0)));
    assert_eq!(world.ended.len(), 3);
    world.behaviour = Behaviour::Healthy;
    world.advance(500);
    assert_eq!((world.starts, world.ended.len()), (2, 0));
    assert!(world.until.is_some());
}

/// An answer that the agent reads long after the request, as its process was paused, does not
/// confirm that the same incarnation is still running.
#[test]
fn late_listing_allows_no_start() {
    let mut world = World::new(Behaviour::Healthy);
    world.advance(500);
    world.now = world.now + Span::secs(3);
    world.behaviour = Behaviour::PortClosed;
    world.advance(50);
    world.start(1);
    assert_eq!(world.starts, 0);
    world.behaviour = Behaviour::Healthy;
    world.advance(500);
    assert_eq!(world.starts, 1);
}
