//! The agent role: the gate to the runners beside it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http::Method;
use serde_json::json;

use super::Context;
use super::link::Link;
use super::worker;
use crate::admission::{self, Admission, AgentReply, Announce, EvictReply, RunnerAnswer};
use crate::core::{Answer, Checkpoint, Class, Duty, Handle, Key, Name, Span};
use crate::http::{BODY_LIMIT, CallError, Exchange, Handler, Inbound, Outbound, Replies, Response};
use crate::membership::agent::{self as membership, Identity, Membership};
use crate::peer::{Reply, Request};
use crate::platform;

/// Header that names a checkpoint.
const CHECKPOINT: &str = "toucangrade-checkpoint";
/// Largest answer of a runner, in bytes; a report to an entry adds names and headers to it.
pub(super) const ANSWER_LIMIT: usize = BODY_LIMIT - 64 * 1024;
/// Longest time between two ticks of the ledger.
const TICK: Span = Span::millis(10);
/// Time that a reply of control may take.
const CONTROL_TIMEOUT: Span = Span::millis(1_500);
/// Time that a runner's confirmation of a stop may take.
const STOP_TIMEOUT: Span = Span::millis(500);
/// Time that a runner gets to write and sync a checkpoint, a third of the default drain timeout.
const EVICT_TIMEOUT: Span = Span::secs(10);
/// Time beyond the lease in which a runner's answer arrives.
const ANSWER_MARGIN: Span = Span::millis(100);

/// Handles of an agent's duties.
#[derive(Clone)]
pub(crate) struct Agent {
    pub(crate) admission: Handle<admission::Message>,
    pub(crate) membership: Handle<membership::Message>,
    pub(crate) platform: Handle<platform::Message>,
    reports: Arc<Replies<AgentReply>>,
    announced: Arc<Replies<Option<String>>>,
    /// Whether a worker is beside this agent.
    worker: bool,
    /// Executions and evictions under way at runners.
    running: Arc<AtomicUsize>,
}

impl Agent {
    /// Starts the duties of an agent.
    pub(crate) fn start(context: &Context, link: &Link, peer: SocketAddr) -> io::Result<Self> {
        let agent = Self {
            admission: Handle::new("admission"),
            membership: Handle::new("membership"),
            platform: Handle::new("platform"),
            reports: Arc::new(Replies::new()),
            announced: Arc::new(Replies::new()),
            worker: context.settings.worker.is_some(),
            running: Arc::new(AtomicUsize::new(0)),
        };
        agent.spawn_admission(context)?;
        agent.spawn_membership(context, link, peer)?;
        if let Some(worker) = context.settings.worker {
            worker::spawn(&agent.platform, context, link, worker)?;
            context.telemetry.watch(&agent.platform);
        }
        context.telemetry.watch(&agent.admission);
        context.telemetry.watch(&agent.membership);
        Ok(agent)
    }

    fn spawn_admission(&self, context: &Context) -> io::Result<()> {
        let (agent, client) = (self.clone(), context.client.clone());
        let (clock, worker) = (context.clock.clone(), context.settings.worker.is_some());
        // The other half is left for checkpoints and reports.
        let grace = Span::millis(context.settings.drain_ms / 2);
        let state = Admission::new(context.incarnation).grace(grace);
        let tick = || admission::Message::Tick;
        let duty = Duty { state, step: Admission::step, tick, period: TICK };
        duty.spawn(&self.admission, context.clock.clone(), move |now, effect| match effect {
            admission::Effect::Announced { ticket, error } => {
                agent.announced.close(ticket, error);
            },
            admission::Effect::Evict { addr, key, fence, kind } => {
                let exchange = stop(addr, &key, fence, &kind, EVICT_TIMEOUT)
                    .header("toucangrade-evict", "true");
                agent.running.fetch_add(1, Ordering::Relaxed);
                let agent = agent.clone();
                client.send(exchange, move |result| {
                    agent.running.fetch_sub(1, Ordering::Relaxed);
                    let halt = halt(result);
                    agent.admission.push(admission::Message::EvictReplied { key, fence, halt });
                });
            },
            admission::Effect::Offers(offers) => {
                if worker {
                    agent.platform.push(platform::Message::Offers(offers.clone()));
                }
                agent.membership.push(membership::Message::Offers(offers));
            },
            admission::Effect::Reply { ticket, reported } => {
                agent.reports.close(ticket, reported);
            },
            admission::Effect::Run { addr, key, fence, kind, class, lease, checkpoint, body } => {
                let exchange =
                    Exchange::post(addr, format!("/{kind}"), body, lease + ANSWER_MARGIN)
                        .limit(ANSWER_LIMIT)
                        .header("idempotency-key", key.as_str())
                        .header("toucangrade-fence", &fence.to_string())
                        .header("toucangrade-lease-ms", &lease.as_millis().to_string());
                let exchange = match &checkpoint {
                    Some(checkpoint) => exchange.header(CHECKPOINT, checkpoint.as_str()),
                    None => exchange,
                };
                agent.running.fetch_add(1, Ordering::Relaxed);
                let (agent, clock) = (agent.clone(), clock.clone());
                client.send(exchange, move |result| {
                    agent.running.fetch_sub(1, Ordering::Relaxed);
                    if worker && class == Class::Quick && result.is_ok() {
                        let took = clock.now().since(now);
                        // A full ring loses a measurement, not work.
                        let _ = agent.platform.offer(platform::Message::Served { kind, took });
                    }
                    let result = outcome(result);
                    agent.admission.push(admission::Message::Ended { key, fence, result });
                });
            },
            admission::Effect::Stop { addr, key, fence, kind } => {
                let exchange = stop(addr, &key, fence, &kind, STOP_TIMEOUT);
                let admission = agent.admission.clone();
                client.send(exchange, move |result| {
                    // A runner that takes no connection is gone, and its executions with it.
                    let confirmed = match result {
                        Ok(response) => (200..300).contains(&response.status),
                        Err(error) => matches!(error, CallError::Connect | CallError::Refused),
                    };
                    admission.push(admission::Message::Stopped { key, fence, confirmed });
                });
            },
        })?;
        Ok(())
    }

    fn spawn_membership(&self, context: &Context, link: &Link, addr: SocketAddr) -> io::Result<()> {
        let (agent, link) = (self.clone(), link.clone());
        let settings = &context.settings;
        let identity = Identity {
            name: settings.name.clone(),
            incarnation: context.incarnation,
            addr,
            centre: settings.centre.clone(),
            rack: settings.rack.clone(),
        };
        let tick = || membership::Message::Tick;
        let state = Membership::new(identity);
        let duty = Duty { state, step: Membership::step, tick, period: Membership::PERIOD };
        duty.spawn(&self.membership, context.clock.clone(), move |now, effect| match effect {
            membership::Effect::Beat(beat) => {
                let membership = agent.membership.clone();
                link.heartbeat(Request::Beat(beat), CONTROL_TIMEOUT, move |reply| {
                    let beaten = match reply {
                        Some(Reply::Beaten(beaten)) => Some(beaten),
                        _ => None,
                    };
                    membership.push(membership::Message::Beaten { sent: now, beaten });
                });
            },
            membership::Effect::Confirmed { until } => {
                agent.admission.push(admission::Message::LeaseExtended { until });
            },
        })?;
        Ok(())
    }

    /// Takes a start or a question from an entry.
    pub(crate) async fn report(&self, message: impl FnOnce(u64) -> admission::Message) -> Reply {
        let (ticket, reply) = self.reports.open();
        if self.admission.offer(message(ticket)).is_err() {
            let reason = "the agent sheds load".to_owned();
            return Reply::Refused { reason, leader: None };
        }
        match reply.await {
            Ok(reported) => Reply::Reported(reported),
            Err(_) => Reply::Refused { reason: "the agent is stopping".to_owned(), leader: None },
        }
    }

    /// Takes a runner's announcement.
    async fn announce(&self, call: Inbound) -> Outbound {
        let refused = |reason: String| {
            Outbound::json(400, &json!({ "error": "bad-announcement", "reason": reason }))
        };
        let announce: Announce = match serde_json::from_slice(&call.body) {
            Ok(announce) => announce,
            Err(error) => return refused(error.to_string()),
        };
        let (ticket, reply) = self.announced.open();
        if self.admission.offer(admission::Message::Announce { ticket, announce }).is_err() {
            return Outbound::json(503, &json!({ "error": "overloaded", "reason": "try again" }));
        }
        match reply.await {
            Ok(None) => Outbound::json(200, &json!({ "announced": true })),
            Ok(Some(reason)) => refused(reason),
            Err(_) => Outbound::json(503, &json!({ "error": "stopping", "reason": "try again" })),
        }
    }

    /// Ticket of the next entry that waits for a report.
    pub(crate) fn next(&self) -> u64 {
        self.reports.next()
    }

    /// Number of executions, and of entries before this ticket that wait for a report.
    pub(crate) fn waiting(&self, report: u64) -> usize {
        self.running.load(Ordering::Relaxed) + self.reports.open_before(report)
    }

    /// The state of the platform duty, which only runs beside a worker.
    fn platform_dump(&self) -> Option<tokio::sync::oneshot::Receiver<serde_json::Value>> {
        if self.worker { self.platform.dump() } else { None }
    }

    /// The state of all duties.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        json!({
            "admission": super::dumped(self.admission.dump()).await,
            "membership": super::dumped(self.membership.dump()).await,
            "platform": super::dumped(self.platform_dump()).await,
            "running": self.running.load(Ordering::Relaxed),
        })
    }

    /// Handler of the port that runners use.
    pub(crate) fn handler(&self, dump: Arc<super::Dump>) -> Handler {
        let agent = self.clone();
        Arc::new(move |call| {
            let (agent, dump) = (agent.clone(), Arc::clone(&dump));
            Box::pin(async move {
                match (call.method.as_str(), call.path.as_str()) {
                    ("GET", "/dump") => dump.serve().await,
                    ("POST", "/v1/announce") => agent.announce(call).await,
                    _ => super::not_found(),
                }
            })
        })
    }
}

/// The request to stop an execution.
fn stop(addr: SocketAddr, key: &Key, fence: u64, kind: &Name, timeout: Span) -> Exchange {
    Exchange::post(addr, format!("/{kind}"), Bytes::new(), timeout)
        .method(Method::DELETE)
        .header("idempotency-key", key.as_str())
        .header("toucangrade-fence", &fence.to_string())
}

/// What a runner's response to an eviction says.
pub(super) fn halt(result: Result<Response, CallError>) -> EvictReply {
    let response = match result {
        Ok(response) => response,
        // A runner that takes no connection is gone, and its executions with it.
        Err(CallError::Connect | CallError::Refused) => return EvictReply::Stopped,
        Err(_) => return EvictReply::Unknown,
    };
    let checkpoint = response.headers.get(CHECKPOINT).and_then(|value| value.to_str().ok());
    match checkpoint.and_then(|name| Checkpoint::new(name).ok()) {
        Some(checkpoint) if response.status == 200 => EvictReply::Checkpointed(checkpoint),
        _ if (200..300).contains(&response.status) => EvictReply::Stopped,
        _ => EvictReply::Refused,
    }
}

/// What a runner's response says.
pub(super) fn outcome(result: Result<Response, CallError>) -> Result<RunnerAnswer, CallError> {
    let response = match result {
        // The runner ran the request. Without an answer it would be run again for the same end.
        Err(CallError::TooLarge) => {
            let reason = format!("the back end's answer exceeds {ANSWER_LIMIT} bytes");
            let (media, body) = ("text/plain".to_owned(), reason.into());
            let answer = Answer { status: 502, media, body };
            return Ok(RunnerAnswer { answer, declined: false });
        },
        result => result?,
    };
    let verdict = response.headers.get("toucangrade-verdict");
    let declined = verdict.is_some_and(|verdict| verdict == "not-run");
    let media = response.media().to_owned();
    let answer = Answer { status: response.status, media, body: response.body };
    Ok(RunnerAnswer { answer, declined })
}
