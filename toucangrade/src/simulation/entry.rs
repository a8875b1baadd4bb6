//! Entries of the simulated cluster, with the real limits, execution, routing and membership
//! duties, connected by a queue instead of rings.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use super::agent::agent_at;
use super::link::{Clock, Node};
use super::truth::{Response, Truth};
use super::world::{Continuation, KINDS, SERVICE, World, name};
use crate::admission::{AgentReply, Report};
use crate::core::{Class, Key, Moment, Span, invariant};
use crate::execution::{self, Completion, Execution, Waiter};
use crate::http::CallError;
use crate::limits::{self, Arrival, Limits};
use crate::membership::entry::{self as membership, Identity, Membership};
use crate::peer::{Reply, Request};
use crate::routing::{self, ClockReading, Feedback, Routing, Signal, Tuning};

/// Timeout of a request to control, in local time.
const CONTROL_TIMEOUT: Span = Span::millis(1_500);
/// Timeout of a query to an agent, in local time.
const QUERY_TIMEOUT: Span = Span::millis(500);
/// Time added to the timeout of a start or a forwarded request, for the reply to arrive.
const REPORT_MARGIN: Span = Span::millis(1_000);

/// Maximum time from the start of a drain to the exit of the entry, in microseconds.
const DRAIN_TIMEOUT: u64 = 30_000_000;

/// State of an entry process.
pub(super) struct Entry {
    pub(super) incarnation: u64,
    pub(super) clock: Clock,
    limits: Limits,
    pub(super) execution: Execution,
    routing: Routing,
    membership: Membership,
    /// Submissions that wait for a response, by ticket.
    pub(super) callers: BTreeMap<u64, usize>,
    /// Calls of other entries that forwarded a request to this one, by ticket.
    forwards: BTreeMap<u64, u64>,
    /// Simulated time at which its drain began.
    leaving_since: Option<u64>,
}

/// Message to one of the entry's duties.
enum DutyMessage {
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
        let (incarnation, clock) = (self.serial(), self.clock());
        let centre = name("olinda");
        let entry = name(&format!("entry-{}", index + 1));
        let identity = Identity { name: entry.clone(), incarnation, addr: addr(index), centre };
        self.entries[index] = Some(Entry {
            incarnation,
            clock,
            limits: Limits::default(),
            execution: Execution::new(entry, incarnation),
            routing: Routing::new(name("olinda"), incarnation, Tuning::default()),
            membership: Membership::new(identity),
            callers: BTreeMap::new(),
            forwards: BTreeMap::new(),
            leaving_since: None,
        });
    }

    /// Begins the drain of an entry, which exits once no caller or forwarded request waits.
    pub(super) fn drain_entry(&mut self, index: usize) {
        let Some(entry) = &mut self.entries[index] else { return };
        entry.leaving_since = Some(self.now);
        self.entry_step(index, DutyMessage::Limits(limits::Message::Drain));
        self.entry_step(index, DutyMessage::Membership(membership::Message::Drain));
    }

    pub(super) fn entry_tick(&mut self, index: usize) {
        self.entry_step(index, DutyMessage::Membership(membership::Message::Tick));
        self.entry_step(index, DutyMessage::Limits(limits::Message::Tick));
        self.entry_step(index, DutyMessage::Execution(execution::Message::Tick));
        self.entry_step(index, DutyMessage::Routing(routing::Message::Tick));
        let Some(Entry { leaving_since: Some(leaving_since), callers, forwards, .. }) =
            &self.entries[index]
        else {
            return;
        };
        if callers.is_empty() && forwards.is_empty() {
            return self.crash(Node::Entry(index));
        }
        let waiting = callers.len() + forwards.len();
        invariant!(
            self.now < leaving_since + DRAIN_TIMEOUT,
            "entry {index} did not drain in time: {waiting} requests wait"
        );
    }

    /// Passes a caller's request to the limits duty of an entry.
    pub(super) fn arrive(&mut self, index: usize, submission: usize) {
        let ticket = self.serial();
        let subject = self.truth.submissions[submission].subject;
        let work = &self.truth.subjects[subject];
        let (service, kind) = (name(SERVICE), name(KINDS[work.kind].0));
        let (key, body) = (work.key.clone(), Truth::body(subject).into());
        let Some(entry) = &mut self.entries[index] else { return };
        entry.callers.insert(ticket, submission);
        let arrival = Arrival { ticket, service, kind, key, timeout: None, body };
        self.entry_step(index, DutyMessage::Limits(limits::Message::Arrive(arrival)));
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
            DutyMessage::Execution(execution::Message::ReceiveForwarded { ticket, admitted, hop }),
        );
    }

    /// Passes the result of a request to the duty that sent it.
    pub(super) fn entry_result(
        &mut self,
        index: usize,
        continuation: Continuation,
        result: Result<Reply, CallError>,
    ) {
        let Some(entry) = &self.entries[index] else { return };
        let now = entry.clock.read(self.now);
        let message = match continuation {
            Continuation::Ask { key, attempt } => {
                let report = result.and_then(Reply::reported).map(|reported| reported.report);
                DutyMessage::Execution(execution::Message::Outcome { key, attempt, report })
            },
            Continuation::Beat { .. } => return,
            Continuation::Call { key, attempt, target, sent } => {
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
                self.entry_step(index, DutyMessage::Routing(routing::Message::Feedback(feedback)));
                let report = result.map(|reported| reported.report);
                DutyMessage::Execution(execution::Message::Outcome { key, attempt, report })
            },
            Continuation::Claim { key, attempt } => {
                let reply = match result {
                    Ok(Reply::Claimed(reply)) => Some(reply),
                    _ => None,
                };
                DutyMessage::Execution(execution::Message::Claimed { key, attempt, reply })
            },
            Continuation::Forward { key, ticket } => {
                let completion = result.and_then(|reply| match reply {
                    Reply::Completion(completion) => Ok(completion),
                    Reply::Refused { .. } => Err(CallError::Shed),
                    _ => Err(CallError::Lost),
                });
                DutyMessage::Execution(execution::Message::ForwardReplied {
                    key,
                    ticket,
                    completion,
                })
            },
            Continuation::Open => match result {
                Ok(Reply::Open(claims)) => {
                    DutyMessage::Execution(execution::Message::OpenClaims { claims })
                },
                _ => return,
            },
            Continuation::Poll { sent } => {
                let view = match result {
                    Ok(Reply::Viewed(view)) => Some(*view),
                    _ => None,
                };
                DutyMessage::Membership(membership::Message::Polled { sent, view })
            },
            Continuation::Sample { agent } => {
                let reported = result.and_then(Reply::reported).ok();
                let reading = reported.map(|reported| ClockReading::new(&reported, now));
                DutyMessage::Routing(routing::Message::ReadingReceived { agent, reading })
            },
        };
        self.entry_step(index, message);
    }

    /// Passes a message to a duty of an entry, then the messages that result from its effects.
    fn entry_step(&mut self, index: usize, message: DutyMessage) {
        let mut queue = VecDeque::from([message]);
        while let Some(message) = queue.pop_front() {
            let Some(entry) = &mut self.entries[index] else { return };
            let now = entry.clock.read(self.now);
            self.steps += 1;
            match message {
                DutyMessage::Execution(message) => {
                    for effect in entry.execution.step(now, message) {
                        self.apply_execution(index, now, effect, &mut queue);
                    }
                },
                DutyMessage::Limits(message) => {
                    for effect in entry.limits.step(now, message) {
                        match effect {
                            limits::Effect::Begin(admitted) => queue.push_back(
                                DutyMessage::Execution(execution::Message::Begin(admitted)),
                            ),
                            limits::Effect::Refuse { ticket, class, key, refusal, .. } => {
                                if refusal.repeatable(class, key.as_ref())
                                    && let Some(key) = key
                                {
                                    let waiter = Waiter::Refused { ticket };
                                    let class = class.unwrap_or(Class::Once);
                                    let message =
                                        execution::Message::Deny { waiter, key, class, refusal };
                                    queue.push_back(DutyMessage::Execution(message));
                                } else {
                                    self.answer_caller(
                                        index,
                                        ticket,
                                        None,
                                        Completion::Refused(refusal),
                                    );
                                }
                            },
                        }
                    }
                },
                DutyMessage::Membership(message) => {
                    for effect in entry.membership.step(now, message) {
                        self.apply_membership(index, now, effect, &mut queue);
                    }
                },
                DutyMessage::Routing(message) => {
                    for effect in entry.routing.step(now, message) {
                        self.apply_routing(index, effect, &mut queue);
                    }
                },
            }
        }
    }

    /// Sends a caller its response.
    fn answer_caller(
        &mut self,
        index: usize,
        ticket: u64,
        key: Option<Key>,
        completion: Completion,
    ) {
        let callers = self.entries[index].as_mut().map(|entry| &mut entry.callers);
        let Some(submission) = callers.and_then(|callers| callers.remove(&ticket)) else { return };
        match key {
            Some(key) => self.respond(submission, key, completion),
            None => self.truth.record_response(submission, None, Response::Completion(completion)),
        }
    }

    fn apply_execution(
        &mut self,
        index: usize,
        now: Moment,
        effect: execution::Effect,
        queue: &mut VecDeque<DutyMessage>,
    ) {
        let node = Node::Entry(index);
        match effect {
            execution::Effect::Answer { waiter: Waiter::Caller { ticket }, key, completion } => {
                self.answer_caller(index, ticket, Some(key), completion);
                queue.push_back(DutyMessage::Limits(limits::Message::Finish { ticket }));
            },
            execution::Effect::Answer { waiter: Waiter::Refused { ticket }, key, completion } => {
                self.answer_caller(index, ticket, Some(key), completion);
            },
            execution::Effect::Answer { waiter: Waiter::Entry { ticket }, completion, .. } => {
                let forwards = self.entries[index].as_mut().map(|entry| &mut entry.forwards);
                if let Some(call) = forwards.and_then(|forwards| forwards.remove(&ticket)) {
                    self.reply(node, call, Ok(Reply::Completion(completion)));
                }
            },
            execution::Effect::QueryAttempt { attempt, addr, question } => {
                let continuation = Continuation::Ask { key: question.key.clone(), attempt };
                let request = Request::Query(Some(question));
                self.send(node, agent_at(addr), request, QUERY_TIMEOUT, continuation);
            },
            execution::Effect::Call { attempt, target, start } => {
                self.truth.record_attempt(start.partition, start.epoch);
                let timeout = start.lease + routing::START_TIMEOUT + REPORT_MARGIN;
                let to = agent_at(target.addr);
                let continuation =
                    Continuation::Call { key: start.key.clone(), attempt, target, sent: now };
                self.send(node, to, Request::Start(Box::new(start)), timeout, continuation);
            },
            execution::Effect::Claim { attempt, command } => {
                let continuation = Continuation::Claim { key: command.key.clone(), attempt };
                self.send(
                    node,
                    Node::Control,
                    Request::Claim(command),
                    CONTROL_TIMEOUT,
                    continuation,
                );
            },
            execution::Effect::Forward { addr, ticket, remaining, admitted, hop } => {
                let Some(key) = admitted.key.clone() else { return };
                let request = Request::Forward { admitted: Box::new(admitted), remaining, hop };
                let to = Node::Entry(usize::from(addr.port() - 300));
                let continuation = Continuation::Forward { key, ticket };
                self.send(node, to, request, remaining + REPORT_MARGIN, continuation);
            },
            execution::Effect::ListOpenClaims { partitions, after } => {
                let request = Request::Open { partitions, after };
                self.send(node, Node::Control, request, CONTROL_TIMEOUT, Continuation::Open);
            },
            execution::Effect::Pick(pick) => {
                queue.push_back(DutyMessage::Routing(routing::Message::Pick(pick)));
            },
            execution::Effect::Record { .. } => {},
            execution::Effect::ReleaseAgent { agent } => {
                let signal = routing::Signal::Refused;
                let feedback = routing::Feedback { agent, signal, reading: None };
                queue.push_back(DutyMessage::Routing(routing::Message::Feedback(feedback)));
            },
            execution::Effect::Released(released) => {
                queue.push_back(DutyMessage::Membership(membership::Message::Released(released)));
            },
        }
    }

    fn apply_membership(
        &mut self,
        index: usize,
        now: Moment,
        effect: membership::Effect,
        queue: &mut VecDeque<DutyMessage>,
    ) {
        let node = Node::Entry(index);
        match effect {
            membership::Effect::Configure { config, entries } => {
                self.truth.record_revision(node, self.incarnation(node), config.revision);
                queue
                    .push_back(DutyMessage::Limits(limits::Message::Configure { config, entries }));
            },
            membership::Effect::Confirmed { until } => {
                queue.push_back(DutyMessage::Limits(limits::Message::LeaseExtended { until }));
            },
            membership::Effect::Owners { owners, until, surplus } => {
                let message = execution::Message::Owners { owners, until, surplus };
                queue.push_back(DutyMessage::Execution(message));
            },
            membership::Effect::Poll(poll) => {
                let continuation = Continuation::Poll { sent: now };
                self.send(node, Node::Control, Request::Poll(poll), CONTROL_TIMEOUT, continuation);
            },
            membership::Effect::View(agents) => {
                queue.push_back(DutyMessage::Routing(routing::Message::AgentsChanged(agents)));
            },
        }
    }

    fn apply_routing(
        &mut self,
        index: usize,
        effect: routing::Effect,
        queue: &mut VecDeque<DutyMessage>,
    ) {
        match effect {
            routing::Effect::Chosen { key, attempt, target, candidates } => {
                let message = execution::Message::Chosen { key, attempt, target, candidates };
                queue.push_back(DutyMessage::Execution(message));
            },
            routing::Effect::RequestReading { agent, addr } => {
                let continuation = Continuation::Sample { agent };
                let to = agent_at(addr);
                self.send(
                    Node::Entry(index),
                    to,
                    Request::Query(None),
                    QUERY_TIMEOUT,
                    continuation,
                );
            },
            routing::Effect::NoAgent { key, attempt, candidates } => {
                let message = execution::Message::NoAgent { key, attempt, candidates };
                queue.push_back(DutyMessage::Execution(message));
            },
        }
    }
}
