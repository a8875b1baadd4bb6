//! Entries with the real duties of a request, joined by a queue instead of rings.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use super::agent::agent_at;
use super::link::{Node, Rate};
use super::truth::{Response, Truth};
use super::world::{Done, KINDS, SERVICE, World, name};
use crate::admission::{AgentReply, Report};
use crate::core::{Class, Key, Moment, Span, invariant};
use crate::execution::{self, Completion, Execution, Waiter};
use crate::http::CallError;
use crate::limits::{self, Arrival, Limits};
use crate::membership::entry::{self as membership, Identity, Membership};
use crate::peer::{Reply, Request};
use crate::routing::{self, ClockReading, Feedback, Routing, Signal, Tuning};

/// Time that a reply of control may take.
const CONTROL_TIMEOUT: Span = Span::millis(1_500);
/// Time that a question to an agent may take.
const ASK_TIMEOUT: Span = Span::millis(500);
/// Time beyond the lease in which an agent's report arrives.
const REPORT_MARGIN: Span = Span::millis(1_000);

/// Time after which a process that leaves ends, in microseconds.
const DRAIN: u64 = 30_000_000;

/// One entry.
pub(super) struct Entry {
    pub(super) life: u64,
    pub(super) clock: Rate,
    limits: Limits,
    pub(super) execution: Execution,
    routing: Routing,
    membership: Membership,
    /// Requests of callers, by ticket.
    pub(super) callers: BTreeMap<u64, usize>,
    /// Forwarded requests, by ticket.
    forwards: BTreeMap<u64, u64>,
    /// When it began to leave.
    left: Option<u64>,
}

/// Message to one of the duties.
enum Local {
    Execution(execution::Message),
    Limits(limits::Message),
    Membership(membership::Message),
    Routing(routing::Message),
}

fn addr(entry: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 300 + u16::try_from(entry).unwrap_or_default()).into()
}

impl World {
    pub(super) fn start_entry(&mut self, index: usize) {
        let (life, clock) = (self.serial(), self.clock());
        let centre = name("olinda");
        let entry = name(&format!("entry-{}", index + 1));
        let identity =
            Identity { name: entry.clone(), incarnation: life, addr: addr(index), centre };
        self.entries[index] = Some(Entry {
            life,
            clock,
            limits: Limits::default(),
            execution: Execution::new(entry, life),
            routing: Routing::new(name("olinda"), life, Tuning::default()),
            membership: Membership::new(identity),
            callers: BTreeMap::new(),
            forwards: BTreeMap::new(),
            left: None,
        });
    }

    /// Begins an entry's departure; it ends once no caller waits there.
    pub(super) fn drain_entry(&mut self, index: usize) {
        let Some(entry) = &mut self.entries[index] else { return };
        entry.left = Some(self.now);
        self.entry_step(index, Local::Limits(limits::Message::Drain));
        self.entry_step(index, Local::Membership(membership::Message::Drain));
    }

    pub(super) fn entry_tick(&mut self, index: usize) {
        self.entry_step(index, Local::Membership(membership::Message::Tick));
        self.entry_step(index, Local::Limits(limits::Message::Tick));
        self.entry_step(index, Local::Execution(execution::Message::Tick));
        self.entry_step(index, Local::Routing(routing::Message::Tick));
        let Some(Entry { left: Some(left), callers, forwards, .. }) = &self.entries[index] else {
            return;
        };
        if callers.is_empty() && forwards.is_empty() {
            return self.crash(Node::Entry(index));
        }
        let waiting = callers.len() + forwards.len();
        invariant!(self.now < left + DRAIN, "entry {index} left and would cut off {waiting}");
    }

    /// A caller's request arrives.
    pub(super) fn arrive(&mut self, index: usize, submission: usize) {
        let ticket = self.serial();
        let subject = self.truth.submissions[submission].subject;
        let work = &self.truth.subjects[subject];
        let (service, kind) = (name(SERVICE), name(KINDS[work.kind].0));
        let (key, body) = (work.key.clone(), Truth::body(subject).into());
        let Some(entry) = &mut self.entries[index] else { return };
        entry.callers.insert(ticket, submission);
        let arrival = Arrival { ticket, service, kind, key, timeout: None, body };
        self.entry_step(index, Local::Limits(limits::Message::Arrive(arrival)));
    }

    pub(super) fn entry_serve(&mut self, index: usize, call: u64, request: Request) {
        let Request::Forward { admitted, remaining, hop } = request else { return };
        let ticket = self.serial();
        let Some(entry) = &mut self.entries[index] else { return };
        entry.forwards.insert(ticket, call);
        let mut admitted = *admitted;
        admitted.deadline = entry.clock.read(self.now) + remaining;
        self.entry_step(
            index,
            Local::Execution(execution::Message::ReceiveForwarded { ticket, admitted, hop }),
        );
    }

    /// Hands the result of a request to the duty that asked for it.
    pub(super) fn entry_done(
        &mut self,
        index: usize,
        done: Done,
        result: Result<Reply, CallError>,
    ) {
        let Some(entry) = &self.entries[index] else { return };
        let now = entry.clock.read(self.now);
        let message = match done {
            Done::Ask { key, attempt } => {
                let report = result.and_then(Reply::reported).map(|reported| reported.report);
                Local::Execution(execution::Message::Outcome { key, attempt, report })
            },
            Done::Beat { .. } => return,
            Done::Call { key, attempt, target, sent } => {
                let result = result.and_then(Reply::reported);
                let signal = match &result {
                    Ok(AgentReply { report: Report::Ended(_), .. }) => {
                        Signal::Answered { took: now.since(sent) }
                    },
                    Ok(AgentReply {
                        report: Report::Evicted { .. } | Report::Refused { .. },
                        ..
                    }) => Signal::Refused,
                    _ => Signal::Failed,
                };
                let reading = result.as_ref().ok().map(|reported| ClockReading::new(reported, now));
                let feedback = Feedback { agent: target.agent, signal, reading };
                self.entry_step(index, Local::Routing(routing::Message::Feedback(feedback)));
                let report = result.map(|reported| reported.report);
                Local::Execution(execution::Message::Outcome { key, attempt, report })
            },
            Done::Claim { key, attempt } => {
                let reply = match result {
                    Ok(Reply::Claimed(reply)) => Some(reply),
                    _ => None,
                };
                Local::Execution(execution::Message::Claimed { key, attempt, reply })
            },
            Done::Forward { key, ticket } => {
                let completion = result.and_then(|reply| match reply {
                    Reply::Completion(completion) => Ok(completion),
                    Reply::Refused { .. } => Err(CallError::Shed),
                    _ => Err(CallError::Lost),
                });
                Local::Execution(execution::Message::ForwardReplied { key, ticket, completion })
            },
            Done::Open => match result {
                Ok(Reply::Open(claims)) => {
                    Local::Execution(execution::Message::OpenClaims { claims })
                },
                _ => return,
            },
            Done::Poll { sent } => {
                let view = match result {
                    Ok(Reply::Viewed(view)) => Some(*view),
                    _ => None,
                };
                Local::Membership(membership::Message::Polled { sent, view })
            },
            Done::Sample { agent } => {
                let reported = result.and_then(Reply::reported).ok();
                let reading = reported.map(|reported| ClockReading::new(&reported, now));
                Local::Routing(routing::Message::ReadingReceived { agent, reading })
            },
        };
        self.entry_step(index, message);
    }

    /// Hands a message to a duty of an entry, and then what follows from it.
    fn entry_step(&mut self, index: usize, message: Local) {
        let mut queue = VecDeque::from([message]);
        while let Some(message) = queue.pop_front() {
            let Some(entry) = &mut self.entries[index] else { return };
            let now = entry.clock.read(self.now);
            self.steps += 1;
            match message {
                Local::Execution(message) => {
                    for effect in entry.execution.step(now, message) {
                        self.execute(index, now, effect, &mut queue);
                    }
                },
                Local::Limits(message) => {
                    for effect in entry.limits.step(now, message) {
                        match effect {
                            limits::Effect::Begin(admitted) => queue
                                .push_back(Local::Execution(execution::Message::Begin(admitted))),
                            limits::Effect::Refuse { ticket, class, key, refusal, .. } => {
                                if refusal.repeatable(class, key.as_ref())
                                    && let Some(key) = key
                                {
                                    let waiter = Waiter::Refused { ticket };
                                    let class = class.unwrap_or(Class::Once);
                                    let message =
                                        execution::Message::Deny { waiter, key, class, refusal };
                                    queue.push_back(Local::Execution(message));
                                } else {
                                    self.answer(index, ticket, None, Completion::Refused(refusal));
                                }
                            },
                        }
                    }
                },
                Local::Membership(message) => {
                    for effect in entry.membership.step(now, message) {
                        self.belong(index, now, effect, &mut queue);
                    }
                },
                Local::Routing(message) => {
                    for effect in entry.routing.step(now, message) {
                        self.route(index, effect, &mut queue);
                    }
                },
            }
        }
    }

    /// Gives a caller its response.
    fn answer(&mut self, index: usize, ticket: u64, key: Option<Key>, completion: Completion) {
        let callers = self.entries[index].as_mut().map(|entry| &mut entry.callers);
        let Some(submission) = callers.and_then(|callers| callers.remove(&ticket)) else { return };
        match key {
            Some(key) => self.respond(submission, key, completion),
            None => self.truth.respond(submission, None, Response::Completion(completion)),
        }
    }

    fn execute(
        &mut self,
        index: usize,
        now: Moment,
        effect: execution::Effect,
        queue: &mut VecDeque<Local>,
    ) {
        let node = Node::Entry(index);
        match effect {
            execution::Effect::Answer { waiter: Waiter::Caller { ticket }, key, completion } => {
                self.answer(index, ticket, Some(key), completion);
                queue.push_back(Local::Limits(limits::Message::Finish { ticket }));
            },
            execution::Effect::Answer { waiter: Waiter::Refused { ticket }, key, completion } => {
                self.answer(index, ticket, Some(key), completion);
            },
            execution::Effect::Answer { waiter: Waiter::Entry { ticket }, completion, .. } => {
                let forwards = self.entries[index].as_mut().map(|entry| &mut entry.forwards);
                if let Some(call) = forwards.and_then(|forwards| forwards.remove(&ticket)) {
                    self.reply(node, call, Ok(Reply::Completion(completion)));
                }
            },
            execution::Effect::QueryAttempt { attempt, addr, question } => {
                let done = Done::Ask { key: question.key.clone(), attempt };
                let request = Request::Query(Some(question));
                self.send(node, agent_at(addr), request, ASK_TIMEOUT, done);
            },
            execution::Effect::Call { attempt, target, start } => {
                self.truth.dispatch(start.partition, start.epoch);
                let timeout = start.lease + routing::START_TIMEOUT + REPORT_MARGIN;
                let to = agent_at(target.addr);
                let done = Done::Call { key: start.key.clone(), attempt, target, sent: now };
                self.send(node, to, Request::Start(Box::new(start)), timeout, done);
            },
            execution::Effect::Claim { attempt, command } => {
                let done = Done::Claim { key: command.key.clone(), attempt };
                self.send(node, Node::Control, Request::Claim(command), CONTROL_TIMEOUT, done);
            },
            execution::Effect::Forward { addr, ticket, remaining, admitted, hop } => {
                let Some(key) = admitted.key.clone() else { return };
                let request = Request::Forward { admitted: Box::new(admitted), remaining, hop };
                let to = Node::Entry(usize::from(addr.port() - 300));
                let done = Done::Forward { key, ticket };
                self.send(node, to, request, remaining + REPORT_MARGIN, done);
            },
            execution::Effect::ListOpenClaims { partitions, after } => {
                let request = Request::Open { partitions, after };
                self.send(node, Node::Control, request, CONTROL_TIMEOUT, Done::Open);
            },
            execution::Effect::Pick(pick) => {
                queue.push_back(Local::Routing(routing::Message::Pick(pick)));
            },
            execution::Effect::Record { .. } => {},
            execution::Effect::ReleaseAgent { agent } => {
                let signal = routing::Signal::Refused;
                let feedback = routing::Feedback { agent, signal, reading: None };
                queue.push_back(Local::Routing(routing::Message::Feedback(feedback)));
            },
            execution::Effect::Released(released) => {
                queue.push_back(Local::Membership(membership::Message::Released(released)));
            },
        }
    }

    fn belong(
        &mut self,
        index: usize,
        now: Moment,
        effect: membership::Effect,
        queue: &mut VecDeque<Local>,
    ) {
        let node = Node::Entry(index);
        match effect {
            membership::Effect::Configure { config, entries } => {
                self.truth.revise(node, self.life(node), config.revision);
                queue.push_back(Local::Limits(limits::Message::Configure { config, entries }));
            },
            membership::Effect::Confirmed { until } => {
                queue.push_back(Local::Limits(limits::Message::LeaseExtended { until }));
            },
            membership::Effect::Owners { owners, until, surplus } => {
                let message = execution::Message::Owners { owners, until, surplus };
                queue.push_back(Local::Execution(message));
            },
            membership::Effect::Poll(poll) => {
                let done = Done::Poll { sent: now };
                self.send(node, Node::Control, Request::Poll(poll), CONTROL_TIMEOUT, done);
            },
            membership::Effect::View(agents) => {
                queue.push_back(Local::Routing(routing::Message::AgentsChanged(agents)));
            },
        }
    }

    fn route(&mut self, index: usize, effect: routing::Effect, queue: &mut VecDeque<Local>) {
        match effect {
            routing::Effect::Chosen { key, attempt, target, candidates } => {
                let message = execution::Message::Chosen { key, attempt, target, candidates };
                queue.push_back(Local::Execution(message));
            },
            routing::Effect::RequestReading { agent, addr } => {
                let done = Done::Sample { agent };
                let to = agent_at(addr);
                self.send(Node::Entry(index), to, Request::Query(None), ASK_TIMEOUT, done);
            },
            routing::Effect::NoAgent { key, attempt, candidates } => {
                let message = execution::Message::NoAgent { key, attempt, candidates };
                queue.push_back(Local::Execution(message));
            },
        }
    }
}
