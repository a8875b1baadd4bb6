//! Event loop of the simulated cluster: control instances, machines with an agent and a runner, and
//! the events scheduled between them.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::control::{Control, Log};
use super::faults::{Begin, Fault};
use super::machine::RUNNER_TICK;
use super::runner::Runner;
use super::truth::Truth;
use crate::core::{Moment, Name, Span};
use crate::dispatch::{self, ClientRequest, Orders, Report, Start};
use crate::hosting::{Effect, Fault as Failure, Hosting, Message, RunnerTarget as Target};
use crate::jobs::{Command, Incarnation, Need, RunKey};

/// Name of the service that all runners belong to.
pub(super) const SERVICE: &str = "balcao";
/// Interval between two ticks of an agent, in microseconds.
const AGENT_TICK: u64 = 100_000;
/// Time that an agent waits for the answer to a report, to an order, and to a list request (in
/// addition to the time that the request may be held open), in microseconds.
const REPORT_TIMEOUT: u64 = 1_500_000;
const ORDER_TIMEOUT: u64 = 250_000;
const LIST_TIMEOUT: u64 = 500_000;
/// Time after a fault in which the liveness checks are suspended, in microseconds.
pub(super) const RECOVERY_TIME: u64 = 4_000_000;

/// The link between an agent and control.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Link {
    pub(super) down: bool,
    /// Maximum random delay added to each message, in microseconds.
    pub(super) jitter: u64,
    /// Probability that a message arrives twice, out of 1,000.
    pub(super) duplicated: u32,
}

/// A machine with an agent and at most one runner.
pub(super) struct Machine {
    /// State of the agent; none while its process is down.
    pub(super) hosting: Option<Hosting>,
    /// Number of the agent's process; events for an earlier one are dropped.
    pub(super) epoch: u64,
    started: u64,
    /// Time until which the agent's process is frozen.
    pub(super) frozen_until: u64,
    pub(super) link: Link,
    pub(super) runner: Option<Runner>,
    /// Name of its last runner.
    pub(super) name: Name,
    /// Capacity and labels of its last runner.
    pub(super) hardware: Option<(Need, Vec<Arc<str>>)>,
    /// Whether connections are refused while there is no runner; otherwise they time out.
    pub(super) refuses: bool,
}

/// A request of an agent to its runner.
pub(super) enum Order {
    List { seq: u64, recorded: u64, lease_end: Option<u64>, wait: u64 },
    Pace { key: RunKey, percent: u8 },
    Start { start: Box<Start>, lease_end: u64 },
    Stop { key: RunKey },
}

impl Order {
    /// The run that it starts or stops, and which of the two.
    pub(super) fn changed_run(&self) -> Option<(&'static str, RunKey)> {
        match self {
            Self::Start { start, .. } => Some(("start", start.key)),
            Self::Stop { key } => Some(("stop", *key)),
            Self::List { .. } | Self::Pace { .. } => None,
        }
    }
}

/// How an order arrives at a runner.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum Delivery {
    Direct,
    /// The runner with this serial number had left it unanswered. It, or with restarts a later
    /// incarnation, executes it now.
    Late(u64),
    /// The connection was only established once the port was open again.
    Reconnected,
}

/// A request of an agent that has no answer yet.
pub(super) struct Call {
    agent: usize,
    epoch: u64,
    /// Message that the agent gets if no answer arrives.
    pub(super) lost: Message,
}

pub(super) enum Event {
    ResendRequest {
        ticket: u64,
    },
    AgentTick {
        agent: usize,
        epoch: u64,
    },
    Answer {
        call: u64,
        message: Message,
    },
    Append {
        control: usize,
        epoch: u64,
        ticket: u64,
        commands: Vec<Command>,
    },
    Request {
        control: usize,
        epoch: u64,
        ticket: u64,
        request: Box<ClientRequest>,
    },
    Heartbeat {
        agent: usize,
        serial: u64,
    },
    StartRunner {
        agent: usize,
        incarnation: Incarnation,
    },
    Commit {
        control: usize,
        epoch: u64,
    },
    ControlTick {
        control: usize,
        epoch: u64,
    },
    EndTerm {
        control: usize,
        epoch: u64,
        term: u64,
    },
    Elect,
    EndFault(Fault),
    EndDrain {
        agent: usize,
        serial: u64,
    },
    BeginFault {
        begin: Begin,
        agent: usize,
        length: u64,
    },
    /// An order arrives at a runner, which may be a later incarnation than the one that it was sent
    /// to.
    Order {
        agent: usize,
        call: Option<u64>,
        target: Target,
        delivery: Delivery,
        order: Order,
    },
    Reject {
        control: usize,
        epoch: u64,
        ticket: u64,
    },
    Report {
        agent: usize,
        call: u64,
        sent: u64,
        report: Box<Report>,
    },
    RunnerTick {
        agent: usize,
    },
    /// The leader processes a report, after it has confirmed its lease.
    DeliverReport {
        control: usize,
        epoch: u64,
        agent: usize,
        call: u64,
        report: Box<Report>,
    },
    ToAgent {
        agent: usize,
        epoch: u64,
        message: Message,
    },
}

pub(super) struct World {
    pub(super) now: u64,
    pub(super) steps: u64,
    rng: SmallRng,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    pub(super) controls: Vec<Control>,
    pub(super) log: Log,
    pub(super) machines: Vec<Machine>,
    /// Reports that wait for orders: control instance, agent, epoch of the agent, and call.
    pub(super) tickets: BTreeMap<u64, (usize, usize, u64, u64)>,
    pub(super) requests: BTreeMap<u64, ClientRequest>,
    pub(super) last_id: u64,
    pub(super) calls: BTreeMap<u64, Call>,
    /// Number of active faults, and the time of the last disturbance.
    pub(super) faults: usize,
    last_disturbance: u64,
    pub(super) truth: Truth,
}

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 1_000_000,
            steps: 0,
            rng: SmallRng::seed_from_u64(seed),
            sequence: 0,
            events: BTreeMap::new(),
            controls: Vec::new(),
            log: Log::default(),
            machines: Vec::new(),
            tickets: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_id: 0,
            calls: BTreeMap::new(),
            faults: 0,
            last_disturbance: 0,
            truth: Truth::default(),
        };
        for control in 0..3 {
            world.controls.push(Control::default());
            world.revive_control(control);
        }
        world.schedule(1_000, Event::Elect);
        let guarded = world.chance(500);
        let longest = if world.chance(500) { 6_000 } else { 10_000 };
        (world.truth.guarded, world.truth.longest) = (guarded, longest);
        // Depends on the seed alone, so that other seeds draw the same runs as without limits.
        let limited = seed % 4 == 2;
        world.truth.page = if limited { 4 + (seed / 4 % 5) as usize } else { usize::MAX };
        for control in &mut world.controls {
            let started = control.dispatch.take();
            control.dispatch = started.map(|state| state.with_hold_limit(Span::millis(longest)));
        }
        // Prefers small fleets, which leave the leader the fewest choices.
        let count = 3 + world.draw(0..10).min(world.draw(0..10)) as usize;
        for agent in 0..count {
            let name = runner_name(agent, 0);
            world.machines.push(Machine {
                hosting: None,
                epoch: 0,
                started: 0,
                frozen_until: 0,
                link: Link::default(),
                runner: None,
                name: name.clone(),
                hardware: None,
                refuses: false,
            });
            world.start_agent(agent);
            let born = world.wall();
            world.start_runner(agent, Incarnation { runner: name, born });
            world.schedule(RUNNER_TICK, Event::RunnerTick { agent });
        }
        world
    }

    pub(super) fn draw(&mut self, range: Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(super) fn chance(&mut self, share: u32) -> bool {
        share > 0 && self.rng.random_ratio(share, 1_000)
    }

    pub(super) fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    pub(super) fn note(&mut self, text: impl FnOnce() -> String) {
        self.truth.note(self.now, text);
    }

    /// Restarts the recovery time after a late order, a change of leader or the end of a fault.
    pub(super) fn record_disturbance(&mut self) {
        self.last_disturbance = self.last_disturbance.max(self.now);
    }

    /// Time since which the liveness checks apply; none during a fault, without a leader or within
    /// `RECOVERY_TIME` of the last disturbance.
    pub(super) fn calm_since(&self) -> Option<u64> {
        let calm = self.last_disturbance + RECOVERY_TIME;
        (self.faults == 0 && self.log.leader.is_some() && calm <= self.now).then_some(calm)
    }

    /// Removes and returns the proposals that have not reached the log.
    pub(super) fn withdraw_proposals(&mut self) -> Vec<Event> {
        self.events
            .extract_if(.., |_, event| matches!(event, Event::Append { .. }))
            .map(|(_, event)| event)
            .collect()
    }

    pub(super) fn advance(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 <= until) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    fn handle_event(&mut self, event: Event) {
        if let Some(control) = target_control(&event) {
            let frozen_until = self.controls[control.0].frozen_until;
            if self.controls[control.0].epoch != control.1 {
                return;
            }
            if frozen_until > self.now {
                return self.schedule(frozen_until - self.now, event);
            }
        }
        if let Some(agent) = target_agent(&event, &self.calls) {
            let frozen_until = self.machines[agent].frozen_until;
            if frozen_until > self.now {
                return self.schedule(frozen_until - self.now, event);
            }
        }
        match event {
            Event::ResendRequest { ticket } => self.send_request(ticket),
            Event::AgentTick { agent, epoch } => {
                if self.machines[agent].epoch == epoch {
                    self.step_agent(agent, Message::Tick);
                    self.schedule(AGENT_TICK, Event::AgentTick { agent, epoch });
                }
            },
            Event::Answer { call, message } => self.deliver_answer(call, message),
            Event::Append { control, epoch, ticket, commands } => {
                self.propose(control, epoch, ticket, commands);
            },
            Event::Request { control, ticket, request, .. } => {
                if self.may_answer(control, &request) {
                    self.step_control(control, dispatch::Message::Request { ticket, request });
                }
            },
            Event::Heartbeat { agent, serial } => self.heartbeat(agent, serial),
            Event::StartRunner { agent, incarnation } => self.start_runner(agent, incarnation),
            Event::Commit { control, .. } => {
                if self.controls[control].lagging_until <= self.now {
                    self.catch_up(control);
                }
            },
            Event::ControlTick { control, .. } => self.tick_control(control),
            Event::EndTerm { control, epoch, term } => self.end_term(control, epoch, term),
            Event::Elect => self.elect(),
            Event::EndFault(fault) => self.end_fault(fault),
            Event::EndDrain { agent, serial } => self.end_drain(agent, serial),
            Event::BeginFault { begin, agent, length } => {
                self.faults -= 1;
                begin(self, agent, length);
            },
            Event::Order { agent, call, target, delivery, order } => {
                self.deliver_order(agent, call, target, delivery, order);
            },
            Event::Reject { control, ticket, .. } => {
                let lost = false;
                self.step_control(control, dispatch::Message::Rejected { ticket, lost });
            },
            Event::Report { agent, call, sent, report } => self.receive(agent, call, sent, report),
            Event::RunnerTick { agent } => self.tick_runner(agent),
            Event::DeliverReport { control, agent, call, report, .. } => {
                // Reports that the agent has given up on are processed too.
                let epoch = self.calls.get(&call).map_or(0, |call| call.epoch);
                self.last_id += 1;
                let ticket = self.last_id;
                self.tickets.insert(ticket, (control, agent, epoch, call));
                self.step_control(control, dispatch::Message::Report { ticket, report });
            },
            Event::ToAgent { agent, epoch, message } => {
                if self.machines[agent].epoch == epoch {
                    self.step_agent(agent, message);
                }
            },
        }
    }

    pub(super) fn start_agent(&mut self, agent: usize) {
        let wall = self.wall();
        let machine = &mut self.machines[agent];
        if machine.hosting.is_some() {
            return;
        }
        machine.epoch += 1;
        machine.started = self.now;
        machine.hosting = Some(Hosting::new(agent_name(agent), wall));
        let epoch = machine.epoch;
        self.schedule(AGENT_TICK, Event::AgentTick { agent, epoch });
    }

    pub(super) fn kill_agent(&mut self, agent: usize) {
        self.note(|| format!("agent {agent} is killed"));
        (self.machines[agent].hosting, self.machines[agent].frozen_until) = (None, 0);
        self.machines[agent].epoch += 1;
    }

    fn step_agent(&mut self, agent: usize, message: Message) {
        let machine = &mut self.machines[agent];
        let now = Moment::micros(self.now - machine.started + 1_000_000);
        let Some(hosting) = &mut machine.hosting else { return };
        self.steps += 1;
        for effect in hosting.step(now, message) {
            self.apply_agent_effect(agent, effect);
        }
    }

    fn apply_agent_effect(&mut self, agent: usize, effect: Effect) {
        match effect {
            Effect::List { seq, target, recorded, lease_end, wait } => {
                let lost = Message::Listed { seq, listing: Err(Failure::Silent) };
                let wait = wait.as_micros();
                let call = self.register_call(agent, lost, wait + LIST_TIMEOUT);
                self.send_order(
                    agent,
                    Some(call),
                    target,
                    Order::List { seq, recorded, lease_end, wait },
                );
            },
            Effect::Pace { target, key, percent } => {
                let lost = Message::Paced { key, result: Err(Failure::Silent) };
                let call = self.register_call(agent, lost, ORDER_TIMEOUT);
                self.send_order(agent, Some(call), target, Order::Pace { key, percent });
            },
            Effect::Report(report) => {
                let lost = Message::Ordered { seq: report.seq, orders: None };
                let call = self.register_call(agent, lost, REPORT_TIMEOUT);
                for delay in self.delays(agent) {
                    let (sent, report) = (self.now, report.clone());
                    self.schedule(delay, Event::Report { agent, call, sent, report });
                }
            },
            Effect::Start { target, start, lease_end } => {
                let lost = Message::Started { key: start.key, result: Err(Failure::Silent) };
                let call = self.register_call(agent, lost, ORDER_TIMEOUT);
                self.send_order(agent, Some(call), target, Order::Start { start, lease_end });
            },
            Effect::Stop { target, key } => {
                let lost = Message::Stopped { key, result: Err(Failure::Silent) };
                let call = self.register_call(agent, lost, ORDER_TIMEOUT);
                self.send_order(agent, Some(call), target, Order::Stop { key });
            },
        }
    }

    /// Registers a call, which gets the message `lost` if no answer arrives within `limit`
    /// microseconds.
    fn register_call(&mut self, agent: usize, lost: Message, limit: u64) -> u64 {
        self.last_id += 1;
        let call = self.last_id;
        let epoch = self.machines[agent].epoch;
        let copy = copy_failure(&lost);
        self.calls.insert(call, Call { agent, epoch, lost });
        self.schedule(limit, Event::Answer { call, message: copy });
        call
    }

    fn deliver_answer(&mut self, call: u64, message: Message) {
        let Some(Call { agent, epoch, .. }) = self.calls.remove(&call) else { return };
        if let Message::Started { key, result: Err(Failure::Silent) } = &message {
            self.truth.record_unanswered(self.now, *key);
        }
        if self.machines[agent].epoch == epoch {
            self.step_agent(agent, message);
        }
    }

    /// Draws the delay of each copy of a message between an agent and control, in microseconds;
    /// empty if it is lost.
    fn delays(&mut self, agent: usize) -> Vec<u64> {
        let Link { down, jitter, duplicated } = self.machines[agent].link;
        if down {
            return Vec::new();
        }
        let copies = if self.chance(duplicated) { 2 } else { 1 };
        (0..copies).map(|_| self.draw(500..5_000) + self.draw(0..jitter + 1)).collect()
    }

    /// Sends an agent's report to the leader.
    fn receive(&mut self, agent: usize, call: u64, sent: u64, report: Box<Report>) {
        let Some(control) = self.log.leader else {
            // The agent looks for the leader until the report times out.
            if self.now < sent + REPORT_TIMEOUT {
                self.schedule(100_000, Event::Report { agent, call, sent, report });
            }
            return;
        };
        let frozen_until = self.controls[control].frozen_until;
        if frozen_until > self.now {
            return self
                .schedule(frozen_until - self.now, Event::Report { agent, call, sent, report });
        }
        let epoch = self.controls[control].epoch;
        let wait = self.draw(500..4_000);
        self.schedule(wait, Event::DeliverReport { control, epoch, agent, call, report });
    }

    /// Sends the orders that answer a report.
    pub(super) fn send_orders(
        &mut self,
        agent: usize,
        epoch: u64,
        call: u64,
        orders: Option<Box<Orders>>,
    ) {
        let Some(Message::Ordered { seq, .. }) = self.calls.get(&call).map(|call| &call.lost)
        else {
            return;
        };
        let seq = *seq;
        if self.machines[agent].epoch != epoch {
            return;
        }
        for delay in self.delays(agent) {
            let message = Message::Ordered { seq, orders: orders.clone() };
            self.schedule(delay, Event::Answer { call, message });
        }
    }
}

/// Returns the control instance and epoch that an event is addressed to, if any.
fn target_control(event: &Event) -> Option<(usize, u64)> {
    match event {
        Event::Request { control, epoch, .. }
        | Event::Commit { control, epoch }
        | Event::ControlTick { control, epoch }
        | Event::EndTerm { control, epoch, .. }
        | Event::Reject { control, epoch, .. }
        | Event::DeliverReport { control, epoch, .. } => Some((*control, *epoch)),
        _ => None,
    }
}

/// Returns the agent that an event is addressed to, if any.
fn target_agent(event: &Event, calls: &BTreeMap<u64, Call>) -> Option<usize> {
    match event {
        Event::AgentTick { agent, .. } | Event::ToAgent { agent, .. } => Some(*agent),
        Event::Answer { call, .. } => calls.get(call).map(|call| call.agent),
        _ => None,
    }
}

/// Copies the message that reports a lost call.
pub(super) fn copy_failure(lost: &Message) -> Message {
    match lost {
        Message::Listed { seq, .. } => Message::Listed { seq: *seq, listing: Err(Failure::Silent) },
        Message::Ordered { seq, .. } => Message::Ordered { seq: *seq, orders: None },
        Message::Paced { key, .. } => Message::Paced { key: *key, result: Err(Failure::Silent) },
        Message::Started { key, .. } => {
            Message::Started { key: *key, result: Err(Failure::Silent) }
        },
        Message::Stopped { key, .. } => {
            Message::Stopped { key: *key, result: Err(Failure::Silent) }
        },
        _ => Message::Tick,
    }
}

fn named(text: &str) -> Name {
    Name::new(text).unwrap_or_else(|error| unreachable!("{error}"))
}

pub(super) fn agent_name(agent: usize) -> Name {
    named(&format!("10.0.0.{agent}"))
}

pub(super) fn runner_name(agent: usize, number: u64) -> Name {
    named(&format!("i-{agent}-{number}"))
}
