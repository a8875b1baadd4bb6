//! The operators' HTTP interface: translates requests to proposals, queries and reviews of control.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, join_all, select};
use http::Method;
use jiff::Timestamp;
use serde_json::{Value, json};
use subtle::ConstantTimeEq;
use tokio::sync::{mpsc, oneshot};

use super::archive::Archive;
use super::control::Control;
use super::link::Link;
use super::members::Members;
use super::{Context, Settings, wall_ms};
use crate::claims::{Claim, Outcome};
use crate::core::{Key, Name, Span};
use crate::history::Event;
use crate::http::{Handler, Inbound, Outbound, Payload};
use crate::peer::{Reply, Request};
use crate::resources::{self, Change, Collection, Expect, Spec, Stored};
use crate::runs::{JobRecord, Step};
use crate::state::{self, Command, Query};

/// Most changes that are buffered for a slow reader of a watch stream.
const WATCH_QUEUE: usize = 64;
/// Interval at which an idle watch stream checks whether the process drains.
const WATCH_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of idle checks after which a watch stream with `beat` sends an empty line.
const KEEPALIVE_POLLS: u32 = 5;
/// Default period of a review, in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// Timeout of a request for an explanation to another process.
const EXPLAIN_TIMEOUT: Span = Span::millis(1_000);

/// The operators' HTTP interface of one control instance.
#[derive(Clone)]
pub(crate) struct Operator {
    control: Control,
    archive: Archive,
    link: Link,
    members: Members,
    settings: Arc<Settings>,
    draining: Arc<AtomicBool>,
}

impl Operator {
    pub(crate) fn new(context: &Context, control: Control, archive: Archive, link: Link) -> Self {
        let (settings, draining) =
            (Arc::new(context.settings.clone()), Arc::clone(&context.draining));
        let members = Members::replicated(&control, &link);
        Self { control, archive, link, members, settings, draining }
    }

    /// Handler of the operator port.
    pub(crate) fn handler(self, dump: Arc<super::Dump>) -> Handler {
        Arc::new(move |call| {
            let (operator, dump) = (self.clone(), Arc::clone(&dump));
            Box::pin(async move {
                if call.path == "/dump" {
                    return dump.serve().await;
                }
                operator.serve(call).await.unwrap_or_else(|refused| refused)
            })
        })
    }

    async fn serve(&self, call: Inbound) -> Result<Outbound, Outbound> {
        let segments = call.segments();
        match (call.method.as_str(), &segments[..]) {
            ("GET", ["v1", "resources", collection]) => self.list(parse(collection)?).await,
            ("GET", ["v1", "resources", collection, name]) => {
                self.get(parse(collection)?, parse(name)?).await
            },
            ("PUT" | "DELETE", ["v1", "resources", collection, name]) => {
                authorise(self.settings.token.as_deref(), &call)?;
                let (collection, name) = (parse(collection)?, parse(name)?);
                let spec = match call.method {
                    Method::DELETE => None,
                    _ => Some(Spec::parse(collection, &call.body).map_err(bad_request)?),
                };
                self.write(&call, collection, name, spec).await
            },
            ("GET", ["v1", "watch"]) => self.watch(&call).await,
            ("GET", ["v1", "explain", key]) => self.explain(parse(key)?).await,
            ("POST", ["v1", "drain"]) => Ok(super::drain(&self.settings, &self.draining, &call)),
            ("GET", ["v1", "members"]) => Ok(self.members.listed()),
            ("PUT" | "DELETE", ["v1", "members", name]) => {
                authorise(self.settings.token.as_deref(), &call)?;
                self.members.change(&call, name).await
            },
            ("GET", ["v1", "review"]) => self.review(&call).await,
            ("GET", ["v1", "status"]) => {
                let status = self.control.status().await.ok_or_else(unavailable)?;
                Ok(Outbound::json(200, &status))
            },
            _ => Err(super::not_found()),
        }
    }

    /// Waits until reads on this instance see every acknowledged write.
    async fn read_barrier(&self) -> Result<(), Outbound> {
        self.control.read_barrier().await.map_err(|_| unavailable())
    }

    async fn list(&self, collection: Collection) -> Result<Outbound, Outbound> {
        self.read_barrier().await?;
        match self.control.query(Query::List { collection }).await {
            Some(state::Reply::Listed(list)) => {
                let items: Vec<Value> = list
                    .iter()
                    .map(|(name, stored)| resource_json(collection, name, stored))
                    .collect();
                Ok(Outbound::json(200, &json!({ "items": items })))
            },
            _ => Err(unavailable()),
        }
    }

    async fn get(&self, collection: Collection, name: Name) -> Result<Outbound, Outbound> {
        self.read_barrier().await?;
        let query = Query::Get { collection, name: name.clone() };
        match self.control.query(query).await {
            Some(state::Reply::Got(Some(stored))) => {
                let mut body = Some(resource_json(collection, &name, &stored));
                if matches!(collection, Collection::Jobs | Collection::Watches) {
                    body = self.add_run(name, body).await?;
                }
                Ok(Outbound::json(200, &body.unwrap_or_default())
                    .with_text("etag", &etag(stored.revision)))
            },
            Some(state::Reply::Got(None)) => Err(no_resource(collection, &name)),
            _ => Err(unavailable()),
        }
    }

    async fn write(
        &self,
        call: &Inbound,
        collection: Collection,
        name: Name,
        spec: Option<Spec>,
    ) -> Result<Outbound, Outbound> {
        let expect = precondition(call)?;
        let key = call.header("idempotency-key").map(parse::<Key>).transpose()?;
        let status = if spec.is_none() { 200 } else { 201 };
        let write = resources::Command { collection, name: name.clone(), spec, expect, key };
        match self.control.propose(Command::Resource(write)).await {
            Ok(state::Reply::Written(resources::Reply::Written { revision })) => {
                let body = json!({ "collection": collection, "name": name, "revision": revision });
                Ok(Outbound::json(status, &body).with_text("etag", &etag(revision)))
            },
            Ok(state::Reply::Written(resources::Reply::Lost { current })) => {
                let current = current.map(|stored| resource_json(collection, &name, &stored));
                let reason = "the resource has another revision than the write expects";
                let body = json!({ "error": "lost-race", "reason": reason, "current": current });
                Err(Outbound::json(412, &body))
            },
            Ok(state::Reply::Written(resources::Reply::Missing)) => {
                Err(no_resource(collection, &name))
            },
            _ => Err(unavailable()),
        }
    }

    /// Streams the changes after a revision, one JSON object per line. With the parameter `beat`,
    /// an idle stream also sends empty lines, so that a reader can detect a lost connection.
    async fn watch(&self, call: &Inbound) -> Result<Outbound, Outbound> {
        let since = call.param("since").unwrap_or("0");
        let Ok(mut since) = since.parse::<u64>() else {
            let reason = format!("since is {since:?}, allowed is a revision");
            return Err(problem(400, "bad-request", &reason));
        };
        let keepalive = call.param("beat").is_some();
        // Marked as seen before the query, so that a change after the query wakes the stream.
        let mut newest = self.control.revision.clone();
        newest.mark_unchanged();
        let mut changes = self.changes(since).await?;
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE);
        let operator = self.clone();
        tokio::task::spawn_local(async move {
            let mut idle_polls = 0;
            loop {
                let more = !changes.is_empty();
                for change in changes {
                    since = change.revision;
                    if sender.send(change_line(&change)).await.is_err() {
                        return;
                    }
                }
                // The server waits for open streams; the reader resumes at another instance.
                if operator.draining.load(Ordering::Relaxed) {
                    return;
                }
                // One reply has only a part of the changes, so more may be available already.
                if !more {
                    let (changed, closed) = (pin!(newest.changed()), pin!(sender.closed()));
                    match tokio::time::timeout(WATCH_POLL_INTERVAL, select(changed, closed)).await {
                        Ok(Either::Left((Ok(()), _))) => {},
                        Ok(Either::Left((Err(_), _)) | Either::Right(_)) => return,
                        Err(_) => {
                            idle_polls += 1;
                            let line = Bytes::from_static(b"\n");
                            if keepalive
                                && idle_polls % KEEPALIVE_POLLS == 0
                                && sender.send(line).await.is_err()
                            {
                                return;
                            }
                            changes = Vec::new();
                            continue;
                        },
                    }
                }
                // The stream ends if it fell behind the compaction; its reader gets 410 on
                // resuming.
                let Ok(next) = operator.changes(since).await else { return };
                changes = next;
            }
        });
        Ok(Outbound { status: 200, headers: Vec::new(), body: Payload::Stream(receiver) }
            .with_text("content-type", "application/x-ndjson"))
    }

    async fn changes(&self, since: u64) -> Result<Vec<Change>, Outbound> {
        match self.control.query(Query::Changes { since }).await {
            Some(state::Reply::Changes(Ok(changes))) => Ok(changes),
            Some(state::Reply::Changes(Err(oldest))) => {
                let reason = format!("changes up to revision {oldest} were compacted");
                let body = json!({ "error": "compacted", "reason": reason, "oldest": oldest });
                Err(Outbound::json(410, &body))
            },
            _ => Err(unavailable()),
        }
    }

    /// Collects the claim, the job and the history steps of a key from the replicated state, the
    /// live entries and all control instances.
    async fn explain(&self, key: Key) -> Result<Outbound, Outbound> {
        self.read_barrier().await?;
        let query = Query::Claim { key: key.clone() };
        let Some(state::Reply::Claim(claim)) = self.control.query(query).await else {
            return Err(unavailable());
        };
        let mut addrs: BTreeSet<SocketAddr> = self.link.addrs().into_iter().collect();
        addrs.extend(self.control.live_entries().await.ok_or_else(unavailable)?);
        let addrs = addrs.into_iter().map(|addr| self.fetch_events(addr, key.clone()));
        let mut steps: BTreeSet<Event> = BTreeSet::new();
        for events in join_all(addrs).await {
            // Several processes may hold the same step; the set removes duplicates.
            steps.extend(events);
        }
        let job = self.job_json(&key).await?;
        if steps.is_empty() && claim.is_none() && job.is_none() {
            return Err(problem(404, "unknown-key", "nothing is kept about this key"));
        }
        let steps: Vec<Value> = steps
            .iter()
            .map(|e| {
                let at = e.at.as_micros();
                json!({ "by": e.by, "wall_ms": e.wall, "at_us": at, "text": e.text })
            })
            .collect();
        let claim = claim.as_ref().map(claim_json);
        let body = json!({ "key": key, "claim": claim, "job": job, "steps": steps });
        Ok(Outbound::json(200, &body))
    }

    /// The declared job of this name, with its run if it has one.
    async fn job_json(&self, key: &Key) -> Result<Option<Value>, Outbound> {
        let Ok(name) = Name::new(key.as_str()) else { return Ok(None) };
        let query = Query::Get { collection: Collection::Jobs, name: name.clone() };
        match self.control.query(query).await {
            Some(state::Reply::Got(stored)) => {
                let declared = stored.map(|stored| resource_json(Collection::Jobs, &name, &stored));
                self.add_run(name, declared).await
            },
            _ => Err(unavailable()),
        }
    }

    /// Adds the run of a job and the planner's explanation of its state.
    async fn add_run(
        &self,
        name: Name,
        declared: Option<Value>,
    ) -> Result<Option<Value>, Outbound> {
        let Some(state::Reply::Run(run)) =
            self.control.query(Query::Run { name: name.clone() }).await
        else {
            return Err(unavailable());
        };
        let Some(run) = run else { return Ok(declared) };
        let mut body = declared.unwrap_or_else(|| json!({ "name": name }));
        body["run"] = run_json(&run);
        body["reasons"] = json!(self.control.reasons(name).await);
        Ok(Some(body))
    }

    /// Reviews the failures of a period; `to` defaults to now, `from` to a day before `to`.
    async fn review(&self, call: &Inbound) -> Result<Outbound, Outbound> {
        let now = wall_ms();
        let to = parse_time("to", call.param("to"), now)?;
        let from = parse_time("from", call.param("from"), to.saturating_sub(DAY_MS))?;
        if from >= to {
            let reason = "from lies at or after to, allowed is an earlier time";
            return Err(problem(400, "bad-request", reason));
        }
        let review = self.archive.review(from, to).await.ok_or_else(unavailable)?;
        Ok(Outbound::json(200, &review))
    }

    /// The steps of a key that another process holds; none if it doesn't answer.
    async fn fetch_events(&self, addr: SocketAddr, key: Key) -> Vec<Event> {
        let (sender, receiver) = oneshot::channel();
        self.link.send(addr, &Request::Explain(key), EXPLAIN_TIMEOUT, move |result| {
            drop(sender.send(result));
        });
        match receiver.await {
            Ok(Ok(Reply::Explained(events))) => events,
            _ => Vec::new(),
        }
    }
}

/// Checks the bearer token of a write. The comparison takes constant time, so its duration doesn't
/// reveal how many bytes match.
pub(crate) fn authorise(token: Option<&str>, call: &Inbound) -> Result<(), Outbound> {
    let Some(token) = token else { return Ok(()) };
    let given = call.header("authorization").and_then(|v| v.strip_prefix("Bearer "));
    if given.is_some_and(|given| given.as_bytes().ct_eq(token.as_bytes()).into()) {
        return Ok(());
    }
    let reason = "writes need the header Authorization: Bearer TOKEN with the right token";
    Err(problem(401, "unauthorised", reason))
}

/// Parses a time given in unix seconds or as RFC 3339, to milliseconds since 1970.
pub(crate) fn parse_time(name: &str, value: Option<&str>, default: u64) -> Result<u64, Outbound> {
    let Some(value) = value else { return Ok(default) };
    let seconds = value.parse::<u64>().ok().and_then(|seconds| seconds.checked_mul(1_000));
    // Colons may be percent-encoded, and a plus sign always is.
    let plain = value.replace("%3A", ":").replace("%3a", ":").replace("%2B", "+");
    let time = || plain.parse::<Timestamp>().ok()?.as_millisecond().try_into().ok();
    seconds.or_else(time).ok_or_else(|| {
        let reason = format!("{name} is {value:?}, allowed are unix seconds or an RFC 3339 time");
        problem(400, "bad-request", &reason)
    })
}

/// The precondition of a write on the current revision, from `If-Match` and `If-None-Match`.
fn precondition(call: &Inbound) -> Result<Expect, Outbound> {
    let refuse = |name: &str, value: &str, allowed: &str| {
        let reason = format!("{name} is {value:?}, allowed is {allowed}");
        Err(problem(400, "bad-request", &reason))
    };
    match (call.header("if-match"), call.header("if-none-match")) {
        (None | Some("*"), None) => Ok(Expect::Any),
        (None, Some("*")) => Ok(Expect::Absent),
        (Some(value), None) => match value.trim_matches('"').parse() {
            Ok(revision) => Ok(Expect::Revision(revision)),
            Err(_) => refuse("If-Match", value, "a revision in quotation marks"),
        },
        (None, Some(value)) => refuse("If-None-Match", value, "*"),
        (Some(value), Some(_)) => refuse("If-Match", value, "it alone, without If-None-Match"),
    }
}

pub(crate) fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(
    value: &str,
) -> Result<T, Outbound> {
    value.parse().map_err(bad_request)
}

pub(crate) fn bad_request(error: impl std::fmt::Display) -> Outbound {
    problem(400, "bad-request", &error.to_string())
}

pub(crate) fn problem(status: u16, code: &str, reason: &str) -> Outbound {
    Outbound::json(status, &json!({ "error": code, "reason": reason }))
}

fn no_resource(collection: Collection, name: &Name) -> Outbound {
    problem(404, "not-found", &format!("{collection} has no resource {name}"))
}

fn unavailable() -> Outbound {
    problem(
        503,
        "unavailable",
        "this instance can't answer now; a write may or may not be in force",
    )
}

fn etag(revision: u64) -> String {
    format!("\"{revision}\"")
}

fn resource_json(collection: Collection, name: &Name, stored: &Stored) -> Value {
    let Stored { revision, spec } = stored;
    json!({ "collection": collection, "name": name, "revision": revision, "spec": spec.body() })
}

fn change_line(change: &Change) -> Bytes {
    let Change { revision, collection, name, spec, step } = change;
    let action = match (spec, step) {
        (Some(_), _) => "put",
        (None, Some(_)) => "state",
        (None, None) => "delete",
    };
    let mut line = json!({
        "revision": revision,
        "action": action,
        "collection": collection,
        "name": name,
    });
    if action != "state" {
        line["spec"] = json!(spec.as_ref().map(Spec::body));
    }
    if let Some(Step { phase, fence }) = step {
        (line["state"], line["fence"]) = (json!(phase), json!(fence));
    }
    Bytes::from(format!("{line}\n"))
}

/// The status, steps and outcome of a job's run.
fn run_json(run: &JobRecord) -> Value {
    let steps: Vec<Value> =
        run.steps.iter().map(|(index, text)| json!({ "at": index, "text": text })).collect();
    json!({
        "state": run.step().phase,
        "fence": run.fence,
        "workers": run.members.as_ref().map(|members| {
            members.iter().map(|member| member.worker.clone()).collect::<Vec<_>>()
        }),
        "checkpoint": run.from.number,
        "evicted": run.evicted,
        "cancelled": run.cancelled,
        "outcome": run.outcome,
        "steps": steps,
    })
}

fn claim_json(claim: &Claim) -> Value {
    let verdict = match &claim.outcome {
        Some(Outcome::Ran(_) | Outcome::Dropped { .. }) => json!("ran"),
        Some(Outcome::Refused(refusal)) => json!(refusal.verdict),
        None => Value::Null,
    };
    json!({
        "service": claim.service,
        "kind": claim.kind,
        "claimed_at": claim.since,
        "agent": claim.grant.as_ref().map(|grant| &grant.target.agent),
        "fence": claim.grant.as_ref().map(|grant| grant.fence),
        "evictions": claim.resume.as_ref().map(|resume| resume.evictions),
        "checkpoint": claim.resume.as_ref().map(|resume| resume.checkpoint.as_str()),
        "verdict": verdict,
    })
}
