//! The entry role: callers' requests through limits, execution and routing to agents.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use serde_json::json;

use super::link::Link;
use super::{Context, archive, caller, wall_ms};
use crate::core::{Class, Duty, Handle, Key, Moment, Name, Refusal, Span};
use crate::execution::{self, Completion, Execution, Waiter};
use crate::history::{self, Course, Event, History};
use crate::http::{CallError, Handler, Inbound, Outbound, Replies};
use crate::limits::{self, Arrival, Limits};
use crate::membership::entry::{self as membership, Identity, Membership};
use crate::metrics::{self, Answers, flat};
use crate::partitions::PARTITIONS;
use crate::peer::{Reply, Request};
use crate::routing::{self, ClockReading, Feedback, Routing, Signal, Tuning};

/// Longest time between two ticks of the duties of a request.
const TICK: Span = Span::millis(10);
/// Time that a reply of control may take.
const CONTROL_TIMEOUT: Span = Span::millis(1_500);
/// Time that a question to an agent may take.
const ASK_TIMEOUT: Span = Span::millis(500);
/// Time beyond the lease in which an agent's report arrives.
const REPORT_MARGIN: Span = Span::millis(1_000);

/// Handles of an entry's duties.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) limits: Handle<limits::Message>,
    pub(crate) execution: Handle<execution::Message>,
    pub(crate) routing: Handle<routing::Message>,
    pub(crate) membership: Handle<membership::Message>,
    pub(crate) history: Handle<history::Message>,
    /// Callers that wait.
    pub(crate) callers: Arc<Replies<(Key, Completion)>>,
    /// Other entries that wait for a forwarded request.
    pub(crate) forwards: Arc<Replies<Completion>>,
    explains: Arc<Replies<Vec<Event>>>,
    answers: Answers,
    /// Partitions that this entry owns, as control last said.
    pub(crate) owned: Arc<AtomicUsize>,
    /// Whether control has all durable outcomes, after a drain of the history.
    pub(crate) recorded: Arc<AtomicBool>,
}

impl Entry {
    /// Starts the duties of an entry.
    pub(crate) fn start(context: &Context, link: &Link, peer: SocketAddr) -> io::Result<Self> {
        let (telemetry, history) = (context.telemetry.clone(), Handle::new("history"));
        let answers = Answers::new(context.clock.clone(), {
            let history = history.clone();
            move |counted| {
                telemetry.offer(metrics::Message::Answers(counted.clone()));
                // Counts of a second are lost when the ring is full, which the ring counts.
                let _ = history.offer(history::Message::Tally(counted));
            }
        });
        let entry = Self {
            limits: Handle::new("limits"),
            execution: Handle::new("execution"),
            routing: Handle::new("routing"),
            membership: Handle::new("membership"),
            history,
            callers: Arc::new(Replies::new()),
            forwards: Arc::new(Replies::new()),
            explains: Arc::new(Replies::new()),
            answers,
            owned: Arc::new(AtomicUsize::new(0)),
            recorded: Arc::new(AtomicBool::new(false)),
        };
        entry.spawn_limits(context)?;
        entry.spawn_execution(context, link)?;
        entry.spawn_routing(context, link)?;
        entry.spawn_membership(context, link, peer)?;
        entry.spawn_history(context, link)?;
        let telemetry = &context.telemetry;
        telemetry.watch(&entry.limits);
        telemetry.watch(&entry.execution);
        telemetry.watch(&entry.routing);
        telemetry.watch(&entry.membership);
        telemetry.watch(&entry.history);
        Ok(entry)
    }

    fn spawn_limits(&self, context: &Context) -> io::Result<()> {
        let (entry, name) = (self.clone(), context.settings.name.clone());
        let state = Limits::default();
        let duty = Duty { state, step: Limits::step, tick: || limits::Message::Tick, period: TICK };
        duty.spawn(&self.limits, context.clock.clone(), move |now, effect| match effect {
            limits::Effect::Begin(admitted) => {
                entry.execution.push(execution::Message::Begin(admitted));
            },
            limits::Effect::Refuse { ticket, service, kind, class, key, refusal } => {
                let deny = refusal.repeatable(class, key.as_ref());
                let key = key.unwrap_or_else(caller::fresh_key);
                let text = format!("{service}/{kind} refused at once: {}", refusal.reason);
                // Names that are not declared come from callers and are too many to count by.
                let (service, kind) = match refusal.code.as_str() {
                    caller::UNKNOWN_SERVICE | caller::UNKNOWN_KIND => (unknown(), unknown()),
                    _ => (service, kind),
                };
                let course = Course {
                    service,
                    kind,
                    class,
                    verdict: refusal.verdict,
                    code: Some(refusal.code.clone()),
                    late: false,
                    evictions: 0,
                };
                entry.note(now, &name, key.clone(), Some(course), text);
                if deny {
                    let (waiter, class) =
                        (Waiter::Refused { ticket }, class.unwrap_or(Class::Once));
                    let message = execution::Message::Deny { waiter, key, class, refusal };
                    entry.execution.push(message);
                } else {
                    entry.callers.close(ticket, (key, Completion::Refused(refusal)));
                }
            },
        })?;
        Ok(())
    }

    fn spawn_execution(&self, context: &Context, link: &Link) -> io::Result<()> {
        let (entry, link) = (self.clone(), link.clone());
        let (clock, name) = (context.clock.clone(), context.settings.name.clone());
        let telemetry = context.telemetry.clone();
        let state = Execution::new(context.settings.name.clone(), context.incarnation);
        let tick = || execution::Message::Tick;
        let duty = Duty { state, step: Execution::step, tick, period: TICK };
        duty.spawn(&self.execution, context.clock.clone(), move |now, effect| match effect {
            execution::Effect::Answer { waiter: Waiter::Caller { ticket }, key, completion } => {
                entry.callers.close(ticket, (key, completion));
                entry.limits.push(limits::Message::Finish { ticket });
            },
            execution::Effect::Answer { waiter: Waiter::Refused { ticket }, key, completion } => {
                entry.callers.close(ticket, (key, completion));
            },
            execution::Effect::Answer { waiter: Waiter::Entry { ticket }, completion, .. } => {
                entry.forwards.close(ticket, completion);
            },
            execution::Effect::QueryAttempt { attempt, addr, question } => {
                let (execution, key) = (entry.execution.clone(), question.key.clone());
                link.send(addr, &Request::Query(Some(question)), ASK_TIMEOUT, move |result| {
                    let report = result.and_then(Reply::reported).map(|reported| reported.report);
                    execution.push(execution::Message::Outcome { key, attempt, report });
                });
            },
            execution::Effect::Call { attempt, target, start } => {
                entry.call(&link, &clock, now, attempt, target, start);
            },
            execution::Effect::Claim { attempt, command } => {
                let (execution, key) = (entry.execution.clone(), command.key.clone());
                link.control(&Request::Claim(command), CONTROL_TIMEOUT, move |reply| {
                    let reply = match reply {
                        Some(Reply::Claimed(reply)) => Some(reply),
                        _ => None,
                    };
                    execution.push(execution::Message::Claimed { key, attempt, reply });
                });
            },
            execution::Effect::Forward { addr, ticket, remaining, admitted, hop } => {
                let execution = entry.execution.clone();
                let Some(key) = admitted.key.clone() else { return };
                let text = format!("forwarded to the entry at {addr}, which owns the key");
                entry.note(now, &name, key.clone(), None, text);
                let request = Request::Forward { admitted: Box::new(admitted), remaining, hop };
                link.send(addr, &request, remaining + REPORT_MARGIN, move |result| {
                    let completion = result.and_then(|reply| match reply {
                        Reply::Completion(completion) => Ok(completion),
                        Reply::Refused { .. } => Err(CallError::Shed),
                        _ => Err(CallError::Lost),
                    });
                    execution.push(execution::Message::ForwardReplied { key, ticket, completion });
                });
            },
            execution::Effect::ListOpenClaims { partitions, after } => {
                let execution = entry.execution.clone();
                let request = Request::Open { partitions, after };
                link.control(&request, CONTROL_TIMEOUT, move |reply| {
                    if let Some(Reply::Open(claims)) = reply {
                        execution.push(execution::Message::OpenClaims { claims });
                    }
                });
            },
            execution::Effect::Pick(pick) => entry.routing.push(routing::Message::Pick(pick)),
            execution::Effect::Record { key, course, events } => {
                if let Some(course) = course.as_ref().filter(|c| c.finished_batch()) {
                    let (service, kind) = (flat(&course.service), flat(&course.kind));
                    let name = format!("batch_finished.{service}.{kind}");
                    telemetry.offer(metrics::Message::Count { name, by: 1 });
                }
                let wall = wall_ms();
                // A full history loses explanations, not work; the ring counts it.
                let _ = entry.history.offer(history::Message::Record { key, course, events, wall });
            },
            execution::Effect::ReleaseAgent { agent } => {
                let feedback = Feedback { agent, signal: Signal::Refused, reading: None };
                entry.routing.push(routing::Message::Feedback(feedback));
            },
            execution::Effect::Released(released) => {
                entry.membership.push(membership::Message::Released(released));
            },
        })?;
        Ok(())
    }

    /// Notes one step of a request; the history sheds it first under load.
    fn note(&self, at: Moment, by: &Name, key: Key, course: Option<Course>, text: String) {
        let events = vec![Event::new(at, by.clone(), text)];
        let _ =
            self.history.offer(history::Message::Record { key, course, events, wall: wall_ms() });
    }

    /// Sends an attempt to its agent and hands the report to execution and routing.
    fn call(
        &self,
        link: &Link,
        clock: &crate::core::Clock,
        now: Moment,
        attempt: u32,
        target: routing::Target,
        start: crate::admission::Start,
    ) {
        let (execution, routing) = (self.execution.clone(), self.routing.clone());
        let (clock, key) = (clock.clone(), start.key.clone());
        let timeout = start.lease + routing::START_TIMEOUT + REPORT_MARGIN;
        let request = Request::Start(Box::new(start));
        link.send(target.addr, &request, timeout, move |result| {
            let result = result.and_then(Reply::reported);
            let taken = clock.now();
            let signal = Signal::from_report(&result, taken.since(now));
            let reading = result.as_ref().ok().map(|reported| ClockReading::new(reported, taken));
            let agent = target.agent;
            routing.push(routing::Message::Feedback(Feedback { agent, signal, reading }));
            let report = result.map(|reported| reported.report);
            execution.push(execution::Message::Outcome { key, attempt, report });
        });
    }

    fn spawn_routing(&self, context: &Context, link: &Link) -> io::Result<()> {
        let (entry, link, clock) = (self.clone(), link.clone(), context.clock.clone());
        let settings = &context.settings;
        let link_cost = Span::micros(settings.link_cost);
        let tuning = Tuning { link_cost, ..Tuning::default() };
        let state = Routing::new(settings.centre.clone(), context.incarnation, tuning);
        let tick = || routing::Message::Tick;
        let duty = Duty { state, step: Routing::step, tick, period: Span::millis(100) };
        duty.spawn(&self.routing, context.clock.clone(), move |_, effect| match effect {
            routing::Effect::Chosen { key, attempt, target, candidates } => {
                let message = execution::Message::Chosen { key, attempt, target, candidates };
                entry.execution.push(message);
            },
            routing::Effect::RequestReading { agent, addr } => {
                let (routing, clock) = (entry.routing.clone(), clock.clone());
                link.send(addr, &Request::Query(None), ASK_TIMEOUT, move |result| {
                    let taken = clock.now();
                    let reported = result.and_then(Reply::reported).ok();
                    let reading = reported.map(|reported| ClockReading::new(&reported, taken));
                    routing.push(routing::Message::ReadingReceived { agent, reading });
                });
            },
            routing::Effect::NoAgent { key, attempt, candidates } => {
                let message = execution::Message::NoAgent { key, attempt, candidates };
                entry.execution.push(message);
            },
        })?;
        Ok(())
    }

    fn spawn_membership(&self, context: &Context, link: &Link, addr: SocketAddr) -> io::Result<()> {
        let (entry, link) = (self.clone(), link.clone());
        let settings = &context.settings;
        let (name, incarnation) = (settings.name.clone(), context.incarnation);
        let telemetry = context.telemetry.clone();
        let centre = settings.centre.clone();
        let mine = move |owner: &crate::membership::Owned, name: &crate::core::Name| {
            owner.entry == *name && owner.incarnation == incarnation
        };
        let state = Membership::new(Identity { name: name.clone(), incarnation, addr, centre });
        let tick = || membership::Message::Tick;
        let duty = Duty { state, step: Membership::step, tick, period: Membership::PERIOD };
        duty.spawn(&self.membership, context.clock.clone(), move |now, effect| match effect {
            membership::Effect::Configure { config, entries } => {
                telemetry.gauge("revision", config.revision);
                entry.limits.push(limits::Message::Configure { config, entries });
            },
            membership::Effect::Confirmed { until } => {
                entry.limits.push(limits::Message::LeaseExtended { until });
            },
            membership::Effect::Owners { owners, until, surplus } => {
                let owned = owners.values().filter(|owner| mine(owner, &name)).count();
                entry.owned.store(owned, Ordering::Relaxed);
                entry.execution.push(execution::Message::Owners { owners, until, surplus });
            },
            membership::Effect::Poll(poll) => {
                let membership = entry.membership.clone();
                link.control(&Request::Poll(poll), CONTROL_TIMEOUT, move |reply| {
                    let view = match reply {
                        Some(Reply::Viewed(view)) => Some(*view),
                        _ => None,
                    };
                    membership.push(membership::Message::Polled { sent: now, view });
                });
            },
            membership::Effect::View(agents) => {
                entry.routing.push(routing::Message::AgentsChanged(agents));
            },
        })?;
        Ok(())
    }

    fn spawn_history(&self, context: &Context, link: &Link) -> io::Result<()> {
        let (entry, link) = (self.clone(), link.clone());
        let state = History::new(context.settings.name.clone(), context.incarnation);
        let tick = || history::Message::Tick { wall: wall_ms() };
        let duty = Duty { state, step: History::step, tick, period: Span::secs(1) };
        duty.spawn(&self.history, context.clock.clone(), move |_, effect| match effect {
            history::Effect::Drained => entry.recorded.store(true, Ordering::Relaxed),
            history::Effect::Explained { ticket, events } => {
                entry.explains.close(ticket, events);
            },
            history::Effect::Send { items, through } => {
                let history = entry.history.clone();
                archive::send(&link, items, move |stored| {
                    history.push(history::Message::Sent { through, stored });
                });
            },
        })?;
        Ok(())
    }

    /// Answers a caller and counts the answer.
    pub(crate) async fn serve(&self, call: Inbound) -> Outbound {
        let began = self.answers.begin();
        let (service, kind) = match caller::path(&call) {
            Ok(names) => names,
            Err(refusal) => {
                let unknown = unknown();
                self.answers.end(began, &unknown, &unknown, &caller::result(&refusal));
                return caller::refused(None, &refusal);
            },
        };
        let (key, completion) = self.answer(call, &service, &kind).await;
        let result = caller::result_label(&completion);
        if caller::is_unknown(&completion) {
            let unknown = unknown();
            self.answers.end(began, &unknown, &unknown, &result);
        } else {
            self.answers.end(began, &service, &kind, &result);
        }
        match (key, completion) {
            (Some(key), completion) => caller::outbound(&key, completion),
            (None, Completion::Refused(refusal)) => caller::refused(None, &refusal),
            (None, completion) => caller::outbound(&caller::fresh_key(), completion),
        }
    }

    async fn answer(
        &self,
        call: Inbound,
        service: &Name,
        kind: &Name,
    ) -> (Option<Key>, Completion) {
        let (key, timeout) = match caller::headers(&call) {
            Ok(headers) => headers,
            Err(refusal) => return (None, Completion::Refused(refusal)),
        };
        let (service, kind) = (service.clone(), kind.clone());
        let (ticket, reply) = self.callers.open();
        let body = call.body;
        let arrival = Arrival { ticket, service, kind, key: key.clone(), timeout, body };
        if self.limits.offer(limits::Message::Arrive(arrival)).is_err() {
            let refusal = match &key {
                // A request that comes with a key may have been sent before.
                Some(_) => Refusal::unknown("this entry sheds load"),
                None => Refusal::not_run(503, "overloaded", "this entry sheds load"),
            };
            let key = key.clone().unwrap_or_else(caller::fresh_key);
            self.callers.close(ticket, (key, Completion::Refused(refusal.retry_after(1_000))));
        }
        match reply.await {
            Ok((key, completion)) => (Some(key), completion),
            Err(_) => (key, Completion::Refused(Refusal::unknown("this entry is stopping"))),
        }
    }

    /// Takes a request that another entry forwarded.
    pub(crate) async fn forwarded(
        &self,
        now: Moment,
        mut admitted: limits::Admitted,
        remaining: Span,
        hop: execution::ForwardRoute,
    ) -> Reply {
        let (ticket, reply) = self.forwards.open();
        admitted.deadline = now + remaining;
        let message = execution::Message::ReceiveForwarded { ticket, admitted, hop };
        if self.execution.offer(message).is_err() {
            let refusal = Refusal::unknown("the key's owner sheds load");
            self.forwards.close(ticket, Completion::Refused(refusal.retry_after(1_000)));
        }
        let lost = || Completion::Refused(Refusal::unknown("the key's owner is stopping"));
        Reply::Completion(reply.await.unwrap_or_else(|_| lost()))
    }

    /// Gives the steps of a request.
    pub(crate) async fn explain(&self, key: Key) -> Vec<Event> {
        let (ticket, reply) = self.explains.open();
        if self.history.offer(history::Message::Explain { ticket, key }).is_err() {
            self.explains.close(ticket, Vec::new());
        }
        reply.await.unwrap_or_default()
    }

    /// Tickets of the next caller and the next forwarded request.
    pub(crate) fn next(&self) -> (u64, u64) {
        (self.callers.next(), self.forwards.next())
    }

    /// Number of requests before these tickets that wait for an answer here.
    pub(crate) fn waiting(&self, (caller, forward): (u64, u64)) -> usize {
        self.callers.open_before(caller) + self.forwards.open_before(forward)
    }

    /// The state of all duties.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        json!({
            "limits": super::dumped(self.limits.dump()).await,
            "execution": super::dumped(self.execution.dump()).await,
            "routing": super::dumped(self.routing.dump()).await,
            "membership": super::dumped(self.membership.dump()).await,
            "history": super::dumped(self.history.dump()).await,
            "callers": self.callers.len(),
            "partitions": format!("{} of {PARTITIONS}", self.owned.load(Ordering::Relaxed)),
        })
    }

    /// Handler of the caller port.
    pub(crate) fn handler(&self, context: &Context, dump: Arc<super::Dump>) -> Handler {
        let (entry, open) = (self.clone(), context.settings.caller_dump);
        let draining = Arc::clone(&context.draining);
        Arc::new(move |call| {
            let (entry, dump) = (entry.clone(), Arc::clone(&dump));
            let draining = Arc::clone(&draining);
            Box::pin(async move {
                if open && call.path == "/dump" {
                    return dump.serve().await;
                }
                let outbound = entry.serve(call).await;
                // A kept connection would be closed under a caller that is about to use it.
                if draining.load(Ordering::Relaxed) {
                    return outbound.with_text("connection", "close");
                }
                outbound
            })
        })
    }
}

/// Name under which requests for names that are not declared are counted.
fn unknown() -> Name {
    Name::new("unknown").unwrap_or_else(|error| unreachable!("{error}"))
}
