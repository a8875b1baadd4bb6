//! Discrete-event simulation of entries, agents, runners, control and the network between them.

mod hosts;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::baseline::{BaselineRequest, View};
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

/// Minimum service time of a quick request, in microseconds.
const SERVICE_MIN: f64 = 16_000.0;
/// Shape of the bounded Pareto distribution of service times, as quotes have a heavy tail.
const SERVICE_ALPHA: f64 = 1.6;
/// Maximum service time of a quick request, in microseconds.
const SERVICE_MAX: f64 = 800_000.0;
/// Service time of a batch request.
const BATCH_SERVICE: Span = Span::secs(2);
/// Time limit of quick callers.
const CALLER_TIMEOUT: Span = Span::millis(1_000);
/// Warm-up time, after which requests are measured unless a run sets another start.
pub(super) const WARM_UP: Span = Span::secs(2);
/// Time at which the fault is injected.
pub(super) const FAULT_AT: Moment = Moment::micros(4_000_000);
/// Interval of the duties' ticks, as in the daemon.
const TICK: Span = Span::millis(10);
/// One-way delay within a data centre.
const LOCAL_DELAY: Span = Span::micros(200);
/// Time of a write to the replicated log in addition to the round trip to a quorum.
const LOG_WRITE: Span = Span::millis(2);
/// Additional service time with fully cold caches, as a multiple of the normal service time.
const COLD_EXTRA: f64 = 4.0;
/// Time after a restart until a runner's caches are warm.
const COLD_TIME: Span = Span::secs(8);
/// Time after the end of the lease for which an entry waits for the report, as in the daemon.
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
    Heartbeat {
        agent: usize,
        offers: Vec<Offer>,
    },
    SendHeartbeat(usize),
    Claimed {
        entry: usize,
        key: Key,
        attempt: u32,
        reply: Reply,
    },
    Fault,
    Retry {
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
    Response {
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

/// A call from an entry to an agent without a response so far.
struct Call {
    entry: usize,
    agent: usize,
    sent: Moment,
    key: Option<Key>,
    attempt: u32,
    /// Whether the call starts an attempt rather than queries the agent.
    start: bool,
}

struct Entry {
    limits: Limits,
    execution: Execution,
    routing: Routing,
    view: View,
    baseline: BTreeMap<Key, BaselineRequest>,
}

/// An agent with its runner.
struct Host {
    admission: Admission,
    offers: Vec<Offer>,
    /// Offers in the last heartbeat that control received, and when.
    beat: Option<(Moment, Vec<Offer>)>,
}

/// A caller's request without a response so far.
struct Ticket {
    arrived: Moment,
    class: Class,
}

pub(super) struct Model {
    run: Run,
    now: Moment,
    /// Pending events by time and insertion order.
    queue: BTreeMap<(Moment, u64), Event>,
    sequence: u64,
    rng: SmallRng,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    calls: BTreeMap<u64, Call>,
    tickets: BTreeMap<u64, Ticket>,
    /// Last fencing token granted.
    fences: u64,
    /// Whether the fault was injected.
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
            view: View::default(),
            baseline: BTreeMap::new(),
        });
        let hosts = (0..RUNNERS).map(|n| Host {
            admission: Admission::new(n + 1),
            offers: Vec::new(),
            beat: None,
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

    /// Runs until 4 s after requests stop arriving.
    pub(super) fn run(mut self) -> Outcome {
        for agent in 0..self.hosts.len() {
            let spread = Span::millis(agent as u64 * 40);
            self.schedule(spread, Event::Announce(agent));
            self.schedule(spread + Span::millis(1), Event::SendHeartbeat(agent));
        }
        for entry in 0..self.entries.len() {
            self.configure(entry);
            self.schedule(Span::millis(600 + entry as u64 * 100), Event::Poll(entry));
        }
        self.schedule(TICK, Event::Tick);
        self.schedule(Span::millis(1_200), Event::Arrive);
        self.schedule(Span::micros(FAULT_AT.as_micros()), Event::Fault);
        let end = Moment::START + self.run.length + Span::secs(4);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        // Requests without a response count as having an unknown outcome.
        let unanswered = self.tickets.values().filter(|t| t.class == Class::Quick);
        self.out.unknown += unanswered.filter(|t| is_measured(self.run, t.arrived)).count() as u64;
        self.out
    }

    fn schedule(&mut self, wait: Span, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), event);
    }

    /// One-way delay between an entry and an agent.
    fn delay(&mut self, entry: usize, agent: usize) -> Span {
        let near = agent as u64 % self.run.company.centres == entry as u64;
        let base = if near { LOCAL_DELAY } else { self.run.company.link };
        base.percent(self.rng.random_range(95..=115))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announce(agent) => self.announce(agent),
            Event::Arrive => self.arrive(),
            Event::Heartbeat { agent, offers } => self.hosts[agent].beat = Some((self.now, offers)),
            Event::SendHeartbeat(agent) => {
                self.send_heartbeat(agent);
                self.schedule(BEAT_EVERY, Event::SendHeartbeat(agent));
            },
            Event::Claimed { entry, key, attempt, reply } => {
                let reply = Some(reply);
                self.execution(entry, execution::Message::Claimed { key, attempt, reply });
            },
            Event::Fault => {
                self.faulty = true;
                self.inject_fault();
            },
            Event::Retry { entry, key } => self.baseline_pick(entry, &key),
            Event::Poll(entry) => self.poll(entry),
            Event::Query { entry, agent, key, attempt, question } => {
                let call =
                    Call { entry, agent, sent: self.now, key: Some(key), attempt, start: false };
                let ticket = self.track_call(call);
                self.deliver(agent, ticket, admission::Message::Query { ticket, about: question });
            },
            Event::Response { call, result } => self.handle_response(call, result),
            Event::RunEnd { agent, key, fence, result } => {
                self.admission(agent, admission::Message::Ended { key, fence, result });
            },
            Event::Start { entry, agent, attempt, sent, start } => {
                let key = Some(start.key.clone());
                let lease = start.lease;
                let call = Call { entry, agent, sent, key, attempt, start: true };
                let ticket = self.track_call(call);
                self.schedule(lease + REPORT_MARGIN, Event::TimedOut(ticket));
                self.deliver(agent, ticket, admission::Message::Start { ticket, start });
            },
            Event::Tick => self.tick(),
            Event::TimedOut(call) => self.handle_response(call, Err(CallError::Timeout)),
        }
    }

    /// Whether one of these faults currently affects the agent or its runner.
    fn affected_by(&self, agent: usize, faults: &[Fault]) -> bool {
        self.faulty && agent == 0 && faults.contains(&self.run.fault)
    }

    /// Whether a fault makes the agent's runner refuse connections.
    fn runner_down(&self, agent: usize) -> bool {
        let restarting = match self.run.fault {
            Fault::RunnerRestart { down } => self.now.since(FAULT_AT) < down,
            fault => fault == Fault::RunnerCrash,
        };
        self.faulty && agent == 0 && restarting
    }

    /// Factor of the service time at a runner, above 1 while its caches are cold after a restart.
    fn cold_factor(&self, agent: usize) -> f64 {
        let Fault::RunnerRestart { down } = self.run.fault else { return 1.0 };
        if !self.faulty || agent != 0 {
            return 1.0;
        }
        let up = self.now.since(FAULT_AT + down).as_micros() as f64;
        1.0 + COLD_EXTRA * (1.0 - up / COLD_TIME.as_micros() as f64).max(0.0)
    }

    fn inject_fault(&mut self) {
        if self.run.fault == Fault::Leaving {
            self.announce_once(0);
        }
        if self.run.fault == Fault::AgentCrash {
            let lost: Vec<u64> =
                self.calls.iter().filter(|(_, c)| c.agent == 0).map(|(id, _)| *id).collect();
            for call in lost {
                let wait = self.delay(self.calls[&call].entry, 0);
                self.schedule(wait, Event::Response { call, result: Err(CallError::Lost) });
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
        self.schedule(Span::millis(500), Event::Announce(agent));
    }

    fn announce_once(&mut self, agent: usize) {
        if self.runner_down(agent) || self.affected_by(agent, &[Fault::AgentCrash]) {
            return;
        }
        let announce = Announce {
            service: name("service"),
            kinds: vec![name("quote"), name("plan")],
            slots: SLOTS,
            connections: CONNECTIONS,
            addr: addr(agent),
            busy: 0,
            leaving: self.affected_by(agent, &[Fault::Leaving]),
            checkpoints: Vec::new(),
        };
        self.admission(agent, admission::Message::Announce { ticket: 0, announce });
        let until = self.now + CONFIG_LEASE;
        self.admission(agent, admission::Message::LeaseExtended { until });
    }

    fn send_heartbeat(&mut self, agent: usize) {
        if self.affected_by(agent, &[Fault::AgentCrash, Fault::AgentIsolated]) {
            return;
        }
        let offers = self.hosts[agent].offers.clone();
        self.schedule(self.run.company.link, Event::Heartbeat { agent, offers });
    }

    fn poll(&mut self, entry: usize) {
        let mut agents = BTreeMap::new();
        for (n, host) in self.hosts.iter().enumerate() {
            let Some((seen, offers)) = &host.beat else { continue };
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
        self.entries[entry].view.agents.clone_from(&agents);
        self.routing(entry, routing::Message::AgentsChanged(agents));
        self.schedule(POLL_EVERY, Event::Poll(entry));
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
        self.schedule(TICK, Event::Tick);
    }

    fn arrive(&mut self) {
        if self.now.as_micros() >= self.run.length.as_micros() {
            return;
        }
        let capacity = (RUNNERS * u64::from(SLOTS)) as f64 / mean_service();
        let rate = capacity * self.run.load as f64 / 100.0;
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Span::micros(wait as u64), Event::Arrive);
        let batch = self.rng.random_range(0..1_000) < self.run.batch;
        let skewed = self.rng.random_range(0..100) < self.run.skew;
        let entry = if skewed { 0 } else { self.rng.random_range(0..self.entries.len()) };
        let class = if batch { Class::Batch } else { Class::Quick };
        self.sequence += 1;
        let ticket = self.sequence;
        self.tickets.insert(ticket, Ticket { arrived: self.now, class });
        if is_measured(self.run, self.now) {
            match class {
                Class::Quick => self.out.offered += 1,
                _ => self.out.batch_offered += 1,
            }
            if class == Class::Quick {
                self.out.series[(self.now.as_micros() / 100_000) as usize].0 += 1;
            }
        }
        let kind = name(if batch { "plan" } else { "quote" });
        let timeout = (!batch).then_some(CALLER_TIMEOUT);
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
                limits::Effect::Refuse { ticket, .. } => self.respond(ticket, None),
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
        let request = BaselineRequest { admitted, attempt: 0, exclude: routing::Agents::new() };
        self.entries[entry].baseline.insert(key.clone(), request);
        self.baseline_pick(entry, &key);
    }

    /// Starts the next attempt of a baseline request at once unless its deadline has passed.
    fn baseline_pick(&mut self, entry: usize, key: &Key) {
        let Some(request) = self.entries[entry].baseline.get_mut(key) else { return };
        if self.now >= request.admitted.deadline {
            return self.finish_baseline(entry, key, None);
        }
        let pick = request.pick(key);
        self.pick(entry, pick);
    }

    fn finish_baseline(&mut self, entry: usize, key: &Key, answer: Option<u16>) {
        let Some(request) = self.entries[entry].baseline.remove(key) else { return };
        let ticket = request.admitted.ticket;
        self.respond(ticket, answer);
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
                        Completion::Answer(answer) => self.respond(ticket, Some(answer.status)),
                        Completion::Refused(refusal) if refusal.status == 504 => {
                            self.record_unknown(ticket);
                        },
                        Completion::Refused(_) => self.respond(ticket, None),
                    }
                    if self.run.variant.limits {
                        self.limits(entry, limits::Message::Finish { ticket });
                    }
                },
                execution::Effect::QueryAttempt { attempt, addr, question } => {
                    let agent = usize::from(addr.port()) - 1;
                    let (key, question) = (question.key.clone(), Some(question));
                    let wait = self.delay(entry, agent);
                    self.schedule(wait, Event::Query { entry, agent, key, attempt, question });
                },
                execution::Effect::Call { attempt, target, start } => {
                    self.send_start(entry, attempt, &target, start);
                },
                execution::Effect::Claim { attempt, command } => {
                    let reply = match command.action {
                        Action::Attempt { .. } => {
                            self.fences += 1;
                            Reply::Granted { fence: self.fences, resume: None }
                        },
                        _ => Reply::Done,
                    };
                    // Round trips from the entry to the leader and from the leader to a quorum.
                    let link = self.run.company.link;
                    let wait = link + link + link + link + LOG_WRITE;
                    self.schedule(wait, Event::Claimed { entry, key: command.key, attempt, reply });
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
        let view = &self.entries[entry].view;
        let target = view.choose(self.now, self.run.variant.chooser, &pick, &mut self.rng);
        let Pick { key, attempt, .. } = pick;
        let effect = match target {
            Some(target) => {
                routing::Effect::Chosen { key, attempt, target, candidates: Vec::new() }
            },
            None => routing::Effect::NoAgent { key, attempt, candidates: Vec::new() },
        };
        self.apply_routing(entry, effect);
    }

    fn routing(&mut self, entry: usize, message: routing::Message) {
        for effect in self.entries[entry].routing.step(self.now, message) {
            self.apply_routing(entry, effect);
        }
    }

    fn apply_routing(&mut self, entry: usize, effect: routing::Effect) {
        match effect {
            routing::Effect::RequestReading { agent, .. } => {
                let Some(agent) = agent.as_str()[1..].parse().ok() else { return };
                let wait = self.delay(entry, agent);
                let sample =
                    Call { entry, agent, sent: self.now, key: None, attempt: 0, start: false };
                let ticket = self.track_call(sample);
                self.schedule(Span::millis(500), Event::TimedOut(ticket));
                if self.affected_by(agent, &[Fault::AgentCrash]) {
                    let result = Err(CallError::Connect);
                    return self.schedule(wait + wait, Event::Response { call: ticket, result });
                }
                if !self.affected_by(agent, &[Fault::AgentIsolated]) {
                    self.admission(agent, admission::Message::Query { ticket, about: None });
                }
            },
            routing::Effect::Chosen { key, attempt, target, candidates } => {
                if self.run.variant.budget {
                    let message = execution::Message::Chosen { key, attempt, target, candidates };
                    return self.execution(entry, message);
                }
                let Some(request) = self.entries[entry].baseline.get(&key) else { return };
                let admitted = request.admitted.clone();
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
                self.send_start(entry, attempt, &target, start);
            },
            routing::Effect::NoAgent { key, attempt, candidates } => {
                if self.run.variant.budget {
                    let message = execution::Message::NoAgent { key, attempt, candidates };
                    return self.execution(entry, message);
                }
                if let Some(request) = self.entries[entry].baseline.get_mut(&key) {
                    request.exclude.clear();
                }
                self.schedule(Span::millis(1), Event::Retry { entry, key });
            },
        }
    }
}

/// Whether requests that arrived at this time are measured.
fn is_measured(run: Run, arrived: Moment) -> bool {
    let micros = arrived.as_micros();
    (run.from.as_micros()..run.length.as_micros()).contains(&micros)
}
