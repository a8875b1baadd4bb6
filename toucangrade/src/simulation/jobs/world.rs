//! The processes of a simulated cluster, and the events that pass between them.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::control::{Control, Log};
use super::faults::Fault;
use super::machine::RUNNER_TICK;
use super::runner::Runner;
use super::truth::Truth;
use crate::core::{Moment, Name};
use crate::dispatch::{self, ClientRequest, Orders, Report, Start};
use crate::hosting::{Effect, Fault as Failure, Hosting, Message, RunnerTarget as Target};
use crate::jobs::{Command, Incarnation, RunKey};

/// Name of the service that all runners belong to.
pub(super) const SERVICE: &str = "balcao";
/// Period of ticks of agents, in microseconds.
const TICK: u64 = 100_000;
/// Time that an agent waits for answers to a report, an order, and a listing beside its wait.
const REPORT_LIMIT: u64 = 1_500_000;
const ORDER_LIMIT: u64 = 250_000;
const LIST_LIMIT: u64 = 500_000;
/// Time after a fault for which nothing is promised.
pub(super) const CALM_AFTER: u64 = 4_000_000;

/// The link between an agent and control.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Link {
    pub(super) cut: bool,
    /// Greatest additional delay of each message, in microseconds.
    pub(super) jitter: u64,
    /// Messages out of 1,000 that arrive twice.
    pub(super) doubled: u32,
}

/// A machine with an agent and at most one runner.
pub(super) struct Machine {
    hosting: Option<Hosting>,
    pub(super) epoch: u64,
    started: u64,
    /// Until when the agent's process stands still.
    pub(super) frozen: u64,
    pub(super) link: Link,
    pub(super) runner: Option<Runner>,
    /// Name of its newest runner.
    pub(super) name: Name,
    /// Whether the port refuses connections while no runner is there.
    pub(super) refuses: bool,
}

/// What an agent asks of a runner.
pub(super) enum Order {
    List { seq: u64, recorded: u64, lease_end: Option<u64>, wait: u64 },
    Pace { key: RunKey, percent: u8 },
    Start { start: Box<Start>, lease_end: u64 },
    Stop { key: RunKey },
}

/// A call of an agent that has no answer yet.
pub(super) struct Call {
    agent: usize,
    epoch: u64,
    /// The answer to give when none comes.
    pub(super) lost: Message,
}

pub(super) enum Event {
    Again {
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
    Asked {
        control: usize,
        epoch: u64,
        ticket: u64,
        request: Box<ClientRequest>,
    },
    Beat {
        agent: usize,
        serial: u64,
    },
    Born {
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
    Deposed {
        control: usize,
        epoch: u64,
        term: u64,
    },
    Elect,
    Heal(Fault),
    Left {
        agent: usize,
        serial: u64,
    },
    /// An order that reaches a runner; a late one only the same life.
    Order {
        agent: usize,
        call: Option<u64>,
        target: Target,
        serial: Option<u64>,
        order: Order,
    },
    Refused {
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
    /// The leader has confirmed its lease after the report arrived.
    Take {
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
    /// Reports that wait for orders: the instance, the agent and its process, and the call.
    pub(super) tickets: BTreeMap<u64, (usize, usize, u64, u64)>,
    pub(super) requests: BTreeMap<u64, ClientRequest>,
    pub(super) next: u64,
    pub(super) calls: BTreeMap<u64, Call>,
    /// Faults under way, and when the last one was.
    pub(super) faults: usize,
    harmed: u64,
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
            next: 0,
            calls: BTreeMap::new(),
            faults: 0,
            harmed: 0,
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
        // Small fleets leave least choice to the leader.
        let count = 3 + world.draw(0..10).min(world.draw(0..10)) as usize;
        for agent in 0..count {
            let name = runner_name(agent, 0);
            world.machines.push(Machine {
                hosting: None,
                epoch: 0,
                started: 0,
                frozen: 0,
                link: Link::default(),
                runner: None,
                name: name.clone(),
                refuses: false,
            });
            world.start_agent(agent);
            let born = world.wall();
            world.born(agent, Incarnation { runner: name, born });
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

    /// Notes that a fault is under way.
    pub(super) fn harm(&mut self) {
        self.harmed = self.harmed.max(self.now);
    }

    /// Since when nothing excuses a broken promise, if nothing does.
    pub(super) fn calm(&self) -> Option<u64> {
        let calm = self.harmed + CALM_AFTER;
        (self.faults == 0 && self.log.leader.is_some() && calm <= self.now).then_some(calm)
    }

    /// Proposals that have not reached the log, which are withdrawn.
    pub(super) fn proposals(&mut self) -> Vec<Event> {
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
            self.happen(event);
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        if let Some(control) = receiver(&event) {
            let frozen = self.controls[control.0].frozen;
            if self.controls[control.0].epoch != control.1 {
                return;
            }
            if frozen > self.now {
                return self.schedule(frozen - self.now, event);
            }
        }
        if let Some(agent) = agent_of(&event, &self.calls) {
            let frozen = self.machines[agent].frozen;
            if frozen > self.now {
                return self.schedule(frozen - self.now, event);
            }
        }
        match event {
            Event::Again { ticket } => self.send_ask(ticket),
            Event::AgentTick { agent, epoch } => {
                if self.machines[agent].epoch == epoch {
                    self.step_agent(agent, Message::Tick);
                    self.schedule(TICK, Event::AgentTick { agent, epoch });
                }
            },
            Event::Answer { call, message } => self.answered(call, message),
            Event::Append { control, epoch, ticket, commands } => {
                self.proposed(control, epoch, ticket, commands);
            },
            Event::Asked { control, ticket, request, .. } => {
                self.step_control(control, dispatch::Message::Request { ticket, request });
            },
            Event::Beat { agent, serial } => self.beat(agent, serial),
            Event::Born { agent, incarnation } => self.born(agent, incarnation),
            Event::Commit { control, .. } => {
                if self.controls[control].lagging <= self.now {
                    self.catch_up(control);
                }
            },
            Event::ControlTick { control, .. } => self.tick_control(control),
            Event::Deposed { control, epoch, term } => self.deposed(control, epoch, term),
            Event::Elect => self.elect(),
            Event::Heal(fault) => self.heal(fault),
            Event::Left { agent, serial } => self.left(agent, serial),
            Event::Order { agent, call, target, serial, order } => {
                self.order(agent, call, target, serial, order);
            },
            Event::Refused { control, ticket, .. } => {
                let lost = false;
                self.step_control(control, dispatch::Message::Rejected { ticket, lost });
            },
            Event::Report { agent, call, sent, report } => self.arrive(agent, call, sent, report),
            Event::RunnerTick { agent } => self.run(agent),
            Event::Take { control, agent, call, report, .. } => {
                // A report that its agent has given up is taken in like any other.
                let epoch = self.calls.get(&call).map_or(0, |call| call.epoch);
                self.next += 1;
                let ticket = self.next;
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
        self.schedule(TICK, Event::AgentTick { agent, epoch });
    }

    pub(super) fn kill_agent(&mut self, agent: usize) {
        self.note(|| format!("agent {agent} is killed"));
        (self.machines[agent].hosting, self.machines[agent].frozen) = (None, 0);
        self.machines[agent].epoch += 1;
    }

    fn step_agent(&mut self, agent: usize, message: Message) {
        let machine = &mut self.machines[agent];
        let now = Moment::micros(self.now - machine.started + 1_000_000);
        let Some(hosting) = &mut machine.hosting else { return };
        self.steps += 1;
        for effect in hosting.step(now, message) {
            self.perform_agent(agent, effect);
        }
    }

    fn perform_agent(&mut self, agent: usize, effect: Effect) {
        match effect {
            Effect::List { seq, target, recorded, lease_end, wait } => {
                let lost = Message::Listed { seq, listing: Err(Failure::Silent) };
                let wait = wait.as_micros();
                let call = self.call(agent, lost, wait + LIST_LIMIT);
                self.send(
                    agent,
                    Some(call),
                    target,
                    Order::List { seq, recorded, lease_end, wait },
                );
            },
            Effect::Pace { target, key, percent } => {
                let lost = Message::Paced { key, result: Err(Failure::Silent) };
                let call = self.call(agent, lost, ORDER_LIMIT);
                self.send(agent, Some(call), target, Order::Pace { key, percent });
            },
            Effect::Report(report) => {
                let lost = Message::Ordered { seq: report.seq, orders: None };
                let call = self.call(agent, lost, REPORT_LIMIT);
                for delay in self.delays(agent) {
                    let (sent, report) = (self.now, report.clone());
                    self.schedule(delay, Event::Report { agent, call, sent, report });
                }
            },
            Effect::Start { target, start, lease_end } => {
                let lost = Message::Started { key: start.key, result: Err(Failure::Silent) };
                let call = self.call(agent, lost, ORDER_LIMIT);
                self.send(agent, Some(call), target, Order::Start { start, lease_end });
            },
            Effect::Stop { target, key } => {
                let lost = Message::Stopped { key, result: Err(Failure::Silent) };
                let call = self.call(agent, lost, ORDER_LIMIT);
                self.send(agent, Some(call), target, Order::Stop { key });
            },
        }
    }

    /// Notes a call that is answered within `limit`, at the latest by its loss.
    fn call(&mut self, agent: usize, lost: Message, limit: u64) -> u64 {
        self.next += 1;
        let call = self.next;
        let epoch = self.machines[agent].epoch;
        let copy = again(&lost);
        self.calls.insert(call, Call { agent, epoch, lost });
        self.schedule(limit, Event::Answer { call, message: copy });
        call
    }

    fn answered(&mut self, call: u64, message: Message) {
        let Some(Call { agent, epoch, .. }) = self.calls.remove(&call) else { return };
        if self.machines[agent].epoch == epoch {
            self.step_agent(agent, message);
        }
    }

    /// Delays of the copies of a message between an agent and control that arrive.
    fn delays(&mut self, agent: usize) -> Vec<u64> {
        let Link { cut, jitter, doubled } = self.machines[agent].link;
        if cut {
            return Vec::new();
        }
        let copies = if self.chance(doubled) { 2 } else { 1 };
        (0..copies).map(|_| self.draw(500..5_000) + self.draw(0..jitter + 1)).collect()
    }

    /// A report reaches control.
    fn arrive(&mut self, agent: usize, call: u64, sent: u64, report: Box<Report>) {
        let Some(control) = self.log.leader else {
            // The agent looks for the leader until it gives the report up.
            if self.now < sent + REPORT_LIMIT {
                self.schedule(100_000, Event::Report { agent, call, sent, report });
            }
            return;
        };
        let frozen = self.controls[control].frozen;
        if frozen > self.now {
            return self.schedule(frozen - self.now, Event::Report { agent, call, sent, report });
        }
        let epoch = self.controls[control].epoch;
        let wait = self.draw(500..4_000);
        self.schedule(wait, Event::Take { control, epoch, agent, call, report });
    }

    /// Sends the answer to a report.
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

/// The instance and process that an event is for, if it is for one of control.
fn receiver(event: &Event) -> Option<(usize, u64)> {
    match event {
        Event::Asked { control, epoch, .. }
        | Event::Commit { control, epoch }
        | Event::ControlTick { control, epoch }
        | Event::Deposed { control, epoch, .. }
        | Event::Refused { control, epoch, .. }
        | Event::Take { control, epoch, .. } => Some((*control, *epoch)),
        _ => None,
    }
}

/// The agent that an event is for, if it is for one.
fn agent_of(event: &Event, calls: &BTreeMap<u64, Call>) -> Option<usize> {
    match event {
        Event::AgentTick { agent, .. } | Event::ToAgent { agent, .. } => Some(*agent),
        Event::Answer { call, .. } => calls.get(call).map(|call| call.agent),
        _ => None,
    }
}

pub(super) fn again(lost: &Message) -> Message {
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
