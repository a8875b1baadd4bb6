//! The event loop: entries, agents, runners, control and the network between them.

mod hosts;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::baseline::{Known, Plain};
use super::{CONNECTIONS, Chooser, Fault, Outcome, RUNNERS, Run, SLOTS};
use crate::admission::{self, Admission, AgentReply, Announce, AttemptQuery, Report, Start};
use crate::claims::{Action, Reply};
use crate::core::{Answer, Class, Key, Moment, Name, Span};
use crate::execution::{self, Completion, Execution, Waiter};
use crate::http::CallError;
use crate::limits::{self, Admitted, Arrival, Limits};
use crate::membership::{Agent, BEAT_EVERY, CONFIG_LEASE, Config, LAPSE, Offer, Owned, POLL_EVERY};
use crate::partitions::PARTITIONS;
use crate::resources::{Collection, Spec};
use crate::routing::{self, ClockReading, Feedback, Pick, Routing, Signal, Target};

/// Least service time of a quick request, in microseconds.
const SERVICE_MIN: f64 = 16_000.0;
/// Exponent and bound of the Pareto distribution of service times; quotes have a heavy tail.
const SERVICE_ALPHA: f64 = 1.6;
const SERVICE_MAX: f64 = 800_000.0;
/// Service time of a batch request.
const BATCH_SERVICE: Span = Span::secs(2);
/// How long a quick caller waits.
const PATIENCE: Span = Span::millis(1_000);
/// Requests that arrive before this moment only warm the run up.
pub(super) const WARM_UP: Span = Span::secs(2);
/// Moment of the fault.
pub(super) const FAULT_AT: Moment = Moment::micros(4_000_000);
/// Time between two ticks of the duties, as in the daemon.
const TICK: Span = Span::millis(10);
/// One way within a data centre.
const LOCAL: Span = Span::micros(200);
/// A write to the replicated log beyond the round trip to a quorum.
const SYNC: Span = Span::millis(2);
/// Time beyond which the first requests take at a runner whose caches are cold, as a multiple.
const COLD_EXTRA: f64 = 4.0;
/// Time until the caches of a runner that restarted are warm.
const COLD_FOR: Span = Span::secs(8);
/// Time beyond the lease in which a report arrives, as in the daemon.
const REPORT_MARGIN: Span = Span::millis(1_500);

/// Mean service time of a quick request, in microseconds.
pub(super) fn mean_service() -> f64 {
    let (low, high, a) = (SERVICE_MIN, SERVICE_MAX, SERVICE_ALPHA);
    let part = 1.0 - (low / high).powf(a);
    low.powf(a) / part * a / (a - 1.0) * (low.powf(1.0 - a) - high.powf(1.0 - a))
}

enum Event {
    Announce(usize),
    Arrive,
    Beat {
        agent: usize,
        offers: Vec<Offer>,
    },
    BeatSend(usize),
    Claimed {
        entry: usize,
        key: Key,
        attempt: u32,
        reply: Reply,
    },
    Fault,
    Plain {
        entry: usize,
        key: Key,
    },
    Poll(usize),
    Query {
        entry: usize,
        agent: usize,
        key: Key,
        attempt: u32,
        question: Option<AttemptQuery>,
    },
    Replied {
        call: u64,
        result: Result<AgentReply, CallError>,
    },
    RunEnd {
        agent: usize,
        key: Key,
        fence: u64,
        result: Result<admission::RunnerAnswer, CallError>,
    },
    Start {
        entry: usize,
        agent: usize,
        attempt: u32,
        sent: Moment,
        start: Start,
    },
    Tick,
    TimedOut(u64),
}

/// What an entry waits for from an agent.
struct Call {
    entry: usize,
    agent: usize,
    sent: Moment,
    key: Option<Key>,
    attempt: u32,
    /// Whether it is a start and not a question.
    start: bool,
}

struct Entry {
    limits: Limits,
    execution: Execution,
    routing: Routing,
    known: Known,
    plain: BTreeMap<Key, Plain>,
}

struct Host {
    admission: Admission,
    offers: Vec<Offer>,
    heard: Option<(Moment, Vec<Offer>)>,
}

struct Ticket {
    arrived: Moment,
    class: Class,
}

pub(super) struct Model {
    run: Run,
    now: Moment,
    queue: BTreeMap<(Moment, u64), Event>,
    sequence: u64,
    rng: SmallRng,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    calls: BTreeMap<u64, Call>,
    tickets: BTreeMap<u64, Ticket>,
    fences: u64,
    faulty: bool,
    out: Outcome,
}

fn name(value: &str) -> Name {
    Name::new(value).unwrap_or_else(|error| unreachable!("{error}"))
}

fn addr(agent: usize) -> SocketAddr {
    let port = u16::try_from(agent + 1).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn config() -> Config {
    let body = r#"{"shop": "shop", "kinds": {
        "quote": {"class": "quick", "timeout_ms": 2000},
        "plan": {"class": "batch", "timeout_ms": 60000}}}"#;
    let spec = Spec::parse(Collection::Services, body.as_bytes());
    let mut config = Config { revision: 1, ..Config::default() };
    if let Some(service) = spec.ok().as_ref().and_then(Spec::service) {
        config.services.insert(name("service"), service.clone());
    }
    config
}

impl Model {
    pub(super) fn new(run: Run) -> Self {
        let entries = (0..run.company.centres).map(|n| Entry {
            limits: Limits::default(),
            execution: Execution::new(name(&format!("e{n}")), run.seed * 100 + n),
            routing: Routing::new(name(&format!("c{n}")), run.seed * 100 + n, run.variant.tuning),
            known: Known::default(),
            plain: BTreeMap::new(),
        });
        let hosts = (0..RUNNERS).map(|n| Host {
            admission: Admission::new(n + 1),
            offers: Vec::new(),
            heard: None,
        });
        let mut model = Self {
            run,
            now: Moment::START,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(run.seed),
            entries: entries.collect(),
            hosts: hosts.collect(),
            calls: BTreeMap::new(),
            tickets: BTreeMap::new(),
            fences: 1,
            faulty: false,
            out: Outcome::default(),
        };
        model.out.series = vec![(0, 0); (run.length.as_millis() / 100) as usize + 1];
        model
    }

    /// Runs to the end; requests stop arriving some time before it.
    pub(super) fn run(mut self) -> Outcome {
        for agent in 0..self.hosts.len() {
            let spread = Span::millis(agent as u64 * 40);
            self.at(spread, Event::Announce(agent));
            self.at(spread + Span::millis(1), Event::BeatSend(agent));
        }
        for entry in 0..self.entries.len() {
            self.configure(entry);
            self.at(Span::millis(600 + entry as u64 * 100), Event::Poll(entry));
        }
        self.at(TICK, Event::Tick);
        self.at(Span::millis(1_200), Event::Arrive);
        self.at(Span::micros(FAULT_AT.as_micros()), Event::Fault);
        let end = Moment::START + self.run.length + Span::secs(4);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        // Callers that were told nothing count as answered with an unknown outcome.
        let silent = self.tickets.values().filter(|t| t.class == Class::Quick);
        self.out.unknown += silent.filter(|t| counted(self.run, t.arrived)).count() as u64;
        self.out
    }

    fn at(&mut self, wait: Span, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), event);
    }

    /// One-way delay between an entry and an agent.
    fn delay(&mut self, entry: usize, agent: usize) -> Span {
        let near = agent as u64 % self.run.company.centres == entry as u64;
        let base = if near { LOCAL } else { self.run.company.link };
        base.percent(self.rng.random_range(95..=115))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announce(agent) => self.announce(agent),
            Event::Arrive => self.arrive(),
            Event::Beat { agent, offers } => self.hosts[agent].heard = Some((self.now, offers)),
            Event::BeatSend(agent) => {
                self.beat(agent);
                self.at(BEAT_EVERY, Event::BeatSend(agent));
            },
            Event::Claimed { entry, key, attempt, reply } => {
                let reply = Some(reply);
                self.execution(entry, execution::Message::Claimed { key, attempt, reply });
            },
            Event::Fault => {
                self.faulty = true;
                self.fault();
            },
            Event::Plain { entry, key } => self.plain_pick(entry, &key),
            Event::Poll(entry) => self.poll(entry),
            Event::Query { entry, agent, key, attempt, question } => {
                let call =
                    Call { entry, agent, sent: self.now, key: Some(key), attempt, start: false };
                let ticket = self.open(call);
                self.deliver(agent, ticket, admission::Message::Query { ticket, about: question });
            },
            Event::Replied { call, result } => self.replied(call, result),
            Event::RunEnd { agent, key, fence, result } => {
                self.admission(agent, admission::Message::Ended { key, fence, result });
            },
            Event::Start { entry, agent, attempt, sent, start } => {
                let key = Some(start.key.clone());
                let lease = start.lease;
                let call = Call { entry, agent, sent, key, attempt, start: true };
                let ticket = self.open(call);
                self.at(lease + REPORT_MARGIN, Event::TimedOut(ticket));
                self.deliver(agent, ticket, admission::Message::Start { ticket, start });
            },
            Event::Tick => self.tick(),
            Event::TimedOut(call) => self.replied(call, Err(CallError::Timeout)),
        }
    }

    fn hit(&self, agent: usize, faults: &[Fault]) -> bool {
        self.faulty && agent == 0 && faults.contains(&self.run.fault)
    }

    /// Whether the runner of an agent refuses connections.
    fn down(&self, agent: usize) -> bool {
        let restarting = match self.run.fault {
            Fault::RunnerRestart { down } => self.now.since(FAULT_AT) < down,
            fault => fault == Fault::RunnerCrash,
        };
        self.faulty && agent == 0 && restarting
    }

    /// How many times as long a request takes at a runner, by its cold caches.
    fn cold(&self, agent: usize) -> f64 {
        let Fault::RunnerRestart { down } = self.run.fault else { return 1.0 };
        if !self.faulty || agent != 0 {
            return 1.0;
        }
        let up = self.now.since(FAULT_AT + down).as_micros() as f64;
        1.0 + COLD_EXTRA * (1.0 - up / COLD_FOR.as_micros() as f64).max(0.0)
    }

    fn fault(&mut self) {
        if self.run.fault == Fault::Leaving {
            self.announce_once(0);
        }
        if self.run.fault == Fault::AgentCrash {
            let lost: Vec<u64> =
                self.calls.iter().filter(|(_, c)| c.agent == 0).map(|(id, _)| *id).collect();
            for call in lost {
                let wait = self.delay(self.calls[&call].entry, 0);
                self.at(wait, Event::Replied { call, result: Err(CallError::Lost) });
            }
        }
    }

    fn configure(&mut self, entry: usize) {
        let entries = u32::try_from(self.entries.len()).unwrap_or(1);
        let count = self.run.company.centres as u32;
        let owners = (0..PARTITIONS)
            .map(|p| {
                let owner = u64::from(p % count);
                let owned = Owned {
                    entry: name(&format!("e{owner}")),
                    incarnation: self.run.seed * 100 + owner,
                    epoch: 1,
                    clean: true,
                    addr: None,
                };
                (p, owned)
            })
            .collect();
        let until = Moment::START + Span::secs(3_600);
        let (surplus, config) = (Vec::new(), config());
        self.limits(entry, limits::Message::Configure { config, entries });
        self.limits(entry, limits::Message::LeaseExtended { until });
        self.execution(entry, execution::Message::Owners { owners, until, surplus });
    }

    fn announce(&mut self, agent: usize) {
        self.announce_once(agent);
        self.at(Span::millis(500), Event::Announce(agent));
    }

    fn announce_once(&mut self, agent: usize) {
        if self.down(agent) || self.hit(agent, &[Fault::AgentCrash]) {
            return;
        }
        let announce = Announce {
            service: name("service"),
            kinds: vec![name("quote"), name("plan")],
            slots: SLOTS,
            connections: CONNECTIONS,
            addr: addr(agent),
            busy: 0,
            leaving: self.hit(agent, &[Fault::Leaving]),
            checkpoints: Vec::new(),
        };
        self.admission(agent, admission::Message::Announce { ticket: 0, announce });
        let until = self.now + CONFIG_LEASE;
        self.admission(agent, admission::Message::LeaseExtended { until });
    }

    fn beat(&mut self, agent: usize) {
        if self.hit(agent, &[Fault::AgentCrash, Fault::AgentIsolated]) {
            return;
        }
        let offers = self.hosts[agent].offers.clone();
        self.at(self.run.company.link, Event::Beat { agent, offers });
    }

    fn poll(&mut self, entry: usize) {
        let mut agents = BTreeMap::new();
        for (n, host) in self.hosts.iter().enumerate() {
            let Some((seen, offers)) = &host.heard else { continue };
            if self.now.since(*seen) > LAPSE || offers.is_empty() {
                continue;
            }
            let centre = name(&format!("c{}", n as u64 % self.run.company.centres));
            let agent = Agent {
                incarnation: n as u64 + 1,
                addr: addr(n),
                centre,
                rack: name("rack"),
                offers: offers.clone(),
            };
            agents.insert(name(&format!("a{n:02}")), agent);
        }
        self.entries[entry].known.agents.clone_from(&agents);
        self.routing(entry, routing::Message::AgentsChanged(agents));
        self.at(POLL_EVERY, Event::Poll(entry));
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            self.limits(entry, limits::Message::Tick);
            self.execution(entry, execution::Message::Tick);
            if self.now.as_micros().is_multiple_of(100_000) {
                self.routing(entry, routing::Message::Tick);
            }
        }
        for agent in 0..self.hosts.len() {
            self.admission(agent, admission::Message::Tick);
        }
        self.at(TICK, Event::Tick);
    }

    fn arrive(&mut self) {
        if self.now.as_micros() >= self.run.length.as_micros() {
            return;
        }
        let capacity = (RUNNERS * u64::from(SLOTS)) as f64 / mean_service();
        let rate = capacity * self.run.load as f64 / 100.0;
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.at(Span::micros(wait as u64), Event::Arrive);
        let batch = self.rng.random_range(0..1_000) < self.run.batch;
        let skewed = self.rng.random_range(0..100) < self.run.skew;
        let entry = if skewed { 0 } else { self.rng.random_range(0..self.entries.len()) };
        let class = if batch { Class::Batch } else { Class::Quick };
        self.sequence += 1;
        let ticket = self.sequence;
        self.tickets.insert(ticket, Ticket { arrived: self.now, class });
        if counted(self.run, self.now) {
            match class {
                Class::Quick => self.out.offered += 1,
                _ => self.out.batch_offered += 1,
            }
            if class == Class::Quick {
                self.out.series[(self.now.as_micros() / 100_000) as usize].0 += 1;
            }
        }
        let kind = name(if batch { "plan" } else { "quote" });
        let timeout = (!batch).then_some(PATIENCE);
        let (service, body) = (name("service"), Bytes::from_static(b"body"));
        if self.run.variant.limits {
            let arrival = Arrival { ticket, service, kind, key: None, timeout, body };
            return self.limits(entry, limits::Message::Arrive(arrival));
        }
        let lease = if batch { Span::secs(60) } else { Span::secs(2) };
        let deadline = self.now + timeout.unwrap_or(lease);
        let (key, revision) = (None, 1);
        self.begin(
            entry,
            Admitted { ticket, service, kind, class, key, deadline, lease, revision, body },
        );
    }

    fn limits(&mut self, entry: usize, message: limits::Message) {
        for effect in self.entries[entry].limits.step(self.now, message) {
            match effect {
                limits::Effect::Begin(admitted) => self.begin(entry, admitted),
                limits::Effect::Refuse { ticket, .. } => self.done(ticket, None),
            }
        }
    }

    fn begin(&mut self, entry: usize, mut admitted: Admitted) {
        self.out.begun += 1;
        if self.run.variant.budget {
            return self.execution(entry, execution::Message::Begin(admitted));
        }
        let key = Key::new(&format!("p{}", admitted.ticket));
        let key = key.unwrap_or_else(|error| unreachable!("{error}"));
        admitted.key = Some(key.clone());
        let plain = Plain { admitted, attempt: 0, exclude: routing::Agents::new() };
        self.entries[entry].plain.insert(key.clone(), plain);
        self.plain_pick(entry, &key);
    }

    /// Repeats at once until the deadline, without a budget.
    fn plain_pick(&mut self, entry: usize, key: &Key) {
        let Some(plain) = self.entries[entry].plain.get_mut(key) else { return };
        if self.now >= plain.admitted.deadline {
            return self.plain_end(entry, key, None);
        }
        let pick = plain.pick(key);
        self.pick(entry, pick);
    }

    fn plain_end(&mut self, entry: usize, key: &Key, answer: Option<u16>) {
        let Some(plain) = self.entries[entry].plain.remove(key) else { return };
        let ticket = plain.admitted.ticket;
        self.done(ticket, answer);
        if self.run.variant.limits {
            self.limits(entry, limits::Message::Finish { ticket });
        }
    }

    fn execution(&mut self, entry: usize, message: execution::Message) {
        for effect in self.entries[entry].execution.step(self.now, message) {
            match effect {
                execution::Effect::Answer {
                    waiter: Waiter::Caller { ticket }, completion, ..
                } => {
                    match completion {
                        Completion::Answer(answer) => self.done(ticket, Some(answer.status)),
                        Completion::Refused(refusal) if refusal.status == 504 => {
                            self.unknown(ticket);
                        },
                        Completion::Refused(_) => self.done(ticket, None),
                    }
                    if self.run.variant.limits {
                        self.limits(entry, limits::Message::Finish { ticket });
                    }
                },
                execution::Effect::QueryAttempt { attempt, addr, question } => {
                    let agent = usize::from(addr.port()) - 1;
                    let (key, question) = (question.key.clone(), Some(question));
                    let wait = self.delay(entry, agent);
                    self.at(wait, Event::Query { entry, agent, key, attempt, question });
                },
                execution::Effect::Call { attempt, target, start } => {
                    self.call(entry, attempt, &target, start);
                },
                execution::Effect::Claim { attempt, command } => {
                    let reply = match command.action {
                        Action::Attempt { .. } => {
                            self.fences += 1;
                            Reply::Granted { fence: self.fences, resume: None }
                        },
                        _ => Reply::Done,
                    };
                    // To the leader and back, and from the leader to a quorum and back.
                    let link = self.run.company.link;
                    let wait = link + link + link + link + SYNC;
                    self.at(wait, Event::Claimed { entry, key: command.key, attempt, reply });
                },
                execution::Effect::Pick(pick) => self.pick(entry, pick),
                execution::Effect::Answer { .. }
                | execution::Effect::Forward { .. }
                | execution::Effect::ListOpenClaims { .. }
                | execution::Effect::Record { .. }
                | execution::Effect::ReleaseAgent { .. }
                | execution::Effect::Released(_) => {},
            }
        }
    }

    fn pick(&mut self, entry: usize, pick: Pick) {
        if self.run.variant.chooser == Chooser::Routing {
            return self.routing(entry, routing::Message::Pick(pick));
        }
        let known = &self.entries[entry].known;
        let target = known.choose(self.now, self.run.variant.chooser, &pick, &mut self.rng);
        let Pick { key, attempt, .. } = pick;
        let effect = match target {
            Some(target) => {
                routing::Effect::Chosen { key, attempt, target, candidates: Vec::new() }
            },
            None => routing::Effect::NoAgent { key, attempt, candidates: Vec::new() },
        };
        self.routed(entry, effect);
    }

    fn routing(&mut self, entry: usize, message: routing::Message) {
        for effect in self.entries[entry].routing.step(self.now, message) {
            self.routed(entry, effect);
        }
    }

    fn routed(&mut self, entry: usize, effect: routing::Effect) {
        match effect {
            routing::Effect::RequestReading { agent, .. } => {
                let Some(agent) = agent.as_str()[1..].parse().ok() else { return };
                let wait = self.delay(entry, agent);
                let sample =
                    Call { entry, agent, sent: self.now, key: None, attempt: 0, start: false };
                let ticket = self.open(sample);
                self.at(Span::millis(500), Event::TimedOut(ticket));
                if self.hit(agent, &[Fault::AgentCrash]) {
                    let result = Err(CallError::Connect);
                    return self.at(wait + wait, Event::Replied { call: ticket, result });
                }
                if !self.hit(agent, &[Fault::AgentIsolated]) {
                    self.admission(agent, admission::Message::Query { ticket, about: None });
                }
            },
            routing::Effect::Chosen { key, attempt, target, candidates } => {
                if self.run.variant.budget {
                    let message = execution::Message::Chosen { key, attempt, target, candidates };
                    return self.execution(entry, message);
                }
                let Some(plain) = self.entries[entry].plain.get(&key) else { return };
                let admitted = plain.admitted.clone();
                let start = Start {
                    partition: key.partition(PARTITIONS),
                    key,
                    fence: u64::from(attempt),
                    service: admitted.service,
                    kind: admitted.kind,
                    class: admitted.class,
                    epoch: 1,
                    incarnation: target.incarnation,
                    start_by: target.start_by,
                    lease: admitted.lease,
                    resume: None,
                    body: admitted.body,
                };
                self.call(entry, attempt, &target, start);
            },
            routing::Effect::NoAgent { key, attempt, candidates } => {
                if self.run.variant.budget {
                    let message = execution::Message::NoAgent { key, attempt, candidates };
                    return self.execution(entry, message);
                }
                if let Some(plain) = self.entries[entry].plain.get_mut(&key) {
                    plain.exclude.clear();
                }
                self.at(Span::millis(1), Event::Plain { entry, key });
            },
        }
    }
}

/// Whether a request that arrived then is part of the figures.
fn counted(run: Run, arrived: Moment) -> bool {
    let micros = arrived.as_micros();
    (run.from.as_micros()..run.length.as_micros()).contains(&micros)
}
