//! The daemon process: starts the duties of its roles, serves its ports and drains on a signal.

mod agent;
mod archive;
mod caller;
mod control;
mod entry;
mod forward;
mod link;
mod members;
mod operator;
mod settings;
mod telemetry;
mod worker;

#[cfg(test)]
mod tests;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::Method;
use rand::Rng;
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::oneshot;
use tracing::{error, info};

pub use self::settings::{BadSetting, Role, Settings, parser};

use self::agent::Agent;
use self::archive::Archive;
use self::control::Control;
use self::entry::Entry;
use self::link::Link;
use self::operator::Operator;
use self::telemetry::Telemetry;
#[cfg(test)]
pub(crate) use self::worker::listed_tasks;
use crate::agreement::Disk;
use crate::core::{Clock, Moment, Span};
use crate::http::{Budget, Client, Handler, Inbound, Outbound, Server, Tier};
use crate::peer::{self, Reply, Request};
use crate::{admission, history, limits, membership};

/// Threads of each HTTP server; handlers only translate, so two are enough.
const HTTP_THREADS: usize = 2;
/// Interval at which a drain checks whether it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait in a drain for each of: other entries taking over this entry's partitions, control
/// storing the last history items, and another control instance taking over leadership.
const HANDOVER_TIMEOUT: Span = Span::millis(2_000);
/// Exit status of a drain that ended with requests still in flight.
const EXIT_DRAIN_INCOMPLETE: i32 = 2;

/// Settings and handles that all duties of a process share.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) client: Client,
    pub(crate) telemetry: Telemetry,
    /// Whether the process is shutting down.
    pub(crate) draining: Arc<AtomicBool>,
    /// Distinguishes this start of the process from others; random, since clocks may step.
    pub(crate) incarnation: u64,
}

/// The running roles of a process.
#[derive(Clone)]
struct Roles {
    agent: Option<Agent>,
    archive: Option<Archive>,
    control: Option<Control>,
    entry: Option<Entry>,
}

/// Next tickets at some point in time; requests with lower tickets arrived before it.
///
/// Requests keep arriving while a process drains, so a drain that waited until none is in flight
/// would not end under load. It waits only for those below its watermark.
#[derive(Clone, Copy, Default)]
struct Watermark {
    entry: (u64, u64),
    agent: u64,
}

/// Serves `GET /dump`: the state of the process.
pub(crate) struct Dump {
    roles: Roles,
    settings: Settings,
    clock: Clock,
    incarnation: u64,
}

impl Dump {
    /// The state of every duty as JSON, without secrets.
    pub(crate) async fn serve(&self) -> Outbound {
        let mut state = json!({
            "settings": self.settings,
            "incarnation": self.incarnation,
            "at_us": self.clock.now().as_micros(),
        });
        if let Some(agent) = &self.roles.agent {
            state["agent"] = agent.dump().await;
        }
        if let Some(control) = &self.roles.control {
            state["control"] = control.dump().await;
        }
        if let Some(archive) = &self.roles.archive {
            state["history"] = archive.dump().await;
        }
        if let Some(entry) = &self.roles.entry {
            state["entry"] = entry.dump().await;
        }
        Outbound::json(200, &state)
    }
}

/// Waits for the state dump of a duty; null if the duty can't give one.
pub(crate) async fn await_dump(reply: Option<oneshot::Receiver<Value>>) -> Value {
    match reply {
        Some(reply) => reply.await.unwrap_or(Value::Null),
        None => Value::Null,
    }
}

/// Wall-clock time in milliseconds since 1970, for display only.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Answers `POST /v1/drain`: starts the same drain as SIGTERM.
///
/// A second request has no effect, whereas a second signal would cut off requests in flight.
pub(crate) fn drain(settings: &Settings, draining: &AtomicBool, call: &Inbound) -> Outbound {
    if settings.token.is_none() && !settings.peer.ip().is_loopback() {
        let reason = "a process that other instances reach drains only with a token set";
        return Outbound::json(403, &json!({ "error": "no-token", "reason": reason }));
    }
    if let Err(refused) = operator::authorise(settings.token.as_deref(), call) {
        return refused;
    }
    if !draining.swap(true, Ordering::Relaxed)
        && let Err(error) = signal_hook::low_level::raise(SIGTERM)
    {
        error!(%error, "raising SIGTERM to start the drain failed");
        draining.store(false, Ordering::Relaxed);
        return Outbound::json(500, &json!({ "error": "no-signal", "reason": error.to_string() }));
    }
    Outbound::json(202, &json!({ "name": settings.name, "draining": true }))
}

pub(crate) fn not_found() -> Outbound {
    Outbound::json(404, &json!({ "error": "not-found", "reason": "no such path or method" }))
}

/// Runs the daemon until a signal ends it, and returns the exit status.
///
/// # Errors
///
/// Returns the operating system's error if a port can't be bound, a thread can't be started or a
/// file can't be opened.
pub fn run(settings: Settings) -> io::Result<i32> {
    let signals = Signals::new([SIGINT, SIGTERM])?;
    let clock = Clock::system();
    let context = Context {
        telemetry: Telemetry::start(&settings, &clock)?,
        draining: Arc::new(AtomicBool::new(false)),
        settings,
        clock,
        client: Client::start()?,
        incarnation: rand::rng().random(),
    };
    let settings = &context.settings;
    let peers = TcpListener::bind(settings.peer)?;
    let addr = peers.local_addr()?;
    let mut members = settings.control.clone();
    if members.is_empty() {
        members.insert(settings.name.clone(), addr);
    }
    let link = Link::new(context.client.clone(), members);
    let roles = start(&context, &link, addr)?;
    let budget = Budget::default();
    let mut servers = serve(&context, &link, &roles, &budget)?;
    let mut ports = vec![("peer", addr)];
    ports.extend(servers.iter().map(|(name, server)| (*name, server.addr)));
    if let Some(path) = &settings.ports {
        write_ports(path, &ports)?;
    }
    let peer = Server::builder(peers, peer_handler(&context, &link, &roles)).tier(Tier::Own);
    servers.push(("peer", peer.budget(&budget).threads(HTTP_THREADS).start()?));
    let started = json!(ports.iter().map(|(n, a)| format!("{n}={a}")).collect::<Vec<_>>());
    info!(name = %settings.name, incarnation = context.incarnation, ports = %started, "started");
    Ok(drain_on_signal(&context, &roles, signals, servers))
}

fn start(context: &Context, link: &Link, peer: SocketAddr) -> io::Result<Roles> {
    let Settings { data, .. } = &context.settings;
    let has = |role| context.settings.has(role);
    let (control, archive) = match data {
        Some(data) if has(Role::Control) => {
            // The directory is locked before the history in it is opened.
            let disk = Disk::directory(data)?;
            let archive = Archive::start(context, link, data)?;
            (Some(Control::start(context, link, disk, &archive)?), Some(archive))
        },
        _ => (None, None),
    };
    let agent = has(Role::Agent).then(|| Agent::start(context, link, peer)).transpose()?;
    let entry = has(Role::Entry).then(|| Entry::start(context, link, peer)).transpose()?;
    Ok(Roles { agent, archive, control, entry })
}

/// Starts the HTTP servers of each role, except that of the peer port.
fn serve(
    context: &Context,
    link: &Link,
    roles: &Roles,
    budget: &Budget,
) -> io::Result<Vec<(&'static str, Server)>> {
    let settings = &context.settings;
    let dump = Arc::new(Dump {
        roles: roles.clone(),
        settings: settings.clone(),
        clock: context.clock.clone(),
        incarnation: context.incarnation,
    });
    let listen = |addr, handler| {
        let server = Server::builder(TcpListener::bind(addr)?, handler);
        server.budget(budget).threads(HTTP_THREADS).start()
    };
    let mut servers = Vec::new();
    if let (Some(control), Some(archive)) = (&roles.control, &roles.archive) {
        let operator = Operator::new(context, control.clone(), archive.clone(), link.clone());
        let local = operator.handler(Arc::clone(&dump));
        let handler = forward::handler(control.clone(), link.clone(), local);
        servers.push(("operator", listen(settings.operator, handler)?));
    }
    if let Some(agent) = &roles.agent {
        let handler = agent.handler(Arc::clone(&dump));
        servers.push(("announce", listen(settings.announce, handler)?));
    }
    if let Some(entry) = &roles.entry {
        let handler = entry.handler(context, dump);
        servers.push(("caller", listen(settings.caller, handler)?));
    }
    Ok(servers)
}

/// Handler of the peer port, which other processes use.
fn peer_handler(context: &Context, link: &Link, roles: &Roles) -> Handler {
    let (clock, roles) = (context.clock.clone(), roles.clone());
    let (settings, draining) = (context.settings.clone(), Arc::clone(&context.draining));
    let dump = Arc::new(Dump {
        roles: roles.clone(),
        settings: context.settings.clone(),
        clock: clock.clone(),
        incarnation: context.incarnation,
    });
    let local = roles.control.as_ref().zip(roles.archive.as_ref()).map(|(control, archive)| {
        Operator::new(context, control.clone(), archive.clone(), link.clone())
            .handler(Arc::clone(&dump))
    });
    Arc::new(move |call: Inbound| {
        let (now, roles, dump) = (clock.now(), roles.clone(), Arc::clone(&dump));
        let local = local.clone();
        if (&call.method, call.path.as_str()) == (&Method::POST, "/v1/drain") {
            let outbound = drain(&settings, &draining, &call);
            return Box::pin(async move { outbound });
        }
        let is_draining = draining.load(Ordering::Relaxed);
        Box::pin(async move {
            let outbound = match (&call.method, call.path.as_str()) {
                (&Method::GET, "/dump") => dump.serve().await,
                (&Method::POST, peer::PATH) => match peer::decode(&call.body) {
                    Some(request) => {
                        let reply = roles.answer(now, local.as_ref(), request).await;
                        Outbound::new(200, peer::encode(&reply))
                    },
                    None => Outbound::new(400, "not a message of this protocol"),
                },
                _ => not_found(),
            };
            // The server stops once its connections end, and peers send too often for their
            // connections to become idle.
            if is_draining { outbound.with_text("connection", "close") } else { outbound }
        })
    })
}

impl Roles {
    /// Dispatches a request of another process to the role that answers it.
    async fn answer(&self, now: Moment, local: Option<&Handler>, request: Request) -> Reply {
        match (request, self) {
            (Request::Start(start), Self { agent: Some(agent), .. }) => {
                let start = *start;
                agent.report(|ticket| admission::Message::Start { ticket, start }).await
            },
            (Request::Query(about), Self { agent: Some(agent), .. }) => {
                agent.report(|ticket| admission::Message::Query { ticket, about }).await
            },
            (Request::Forward { admitted, remaining, hop }, Self { entry: Some(entry), .. }) => {
                entry.execute_forwarded(now, *admitted, remaining, hop).await
            },
            (Request::Explain(key), Self { entry, archive, .. }) => {
                let mut events = Vec::new();
                if let Some(entry) = entry {
                    events = entry.explain(key.clone()).await;
                }
                if let Some(archive) = archive {
                    events.extend(archive.explain(key).await);
                }
                Reply::Explained(events)
            },
            (Request::Missing(held), Self { archive: Some(archive), .. }) => {
                Reply::Items(archive.missing(held).await)
            },
            (Request::Store(items), Self { archive: Some(archive), .. }) => {
                archive.store(items).await
            },
            (Request::Operate(operation), Self { control: Some(control), .. }) => match local {
                Some(local) => forward::answer(control, local, *operation).await,
                None => control.refuse(),
            },
            (request, Self { control: Some(control), .. }) => control.serve(request).await,
            _ => {
                let reason = "this process does not have the role that answers this".to_owned();
                Reply::Refused { reason, leader: None }
            },
        }
    }

    /// The next tickets, which separate the requests so far from later ones.
    fn watermark(&self) -> Watermark {
        let entry = self.entry.as_ref().map(Entry::next_tickets).unwrap_or_default();
        Watermark { entry, agent: self.agent.as_ref().map(Agent::next_ticket).unwrap_or_default() }
    }

    /// Number of requests in flight here that arrived before the watermark.
    fn in_flight(&self, watermark: Watermark) -> usize {
        self.entry.as_ref().map_or(0, |entry| entry.in_flight(watermark.entry))
            + self.agent.as_ref().map_or(0, |agent| agent.in_flight(watermark.agent))
    }
}

/// Waits for a signal, then drains and stops the servers; returns the exit status.
fn drain_on_signal(
    context: &Context,
    roles: &Roles,
    mut signals: Signals,
    servers: Vec<(&'static str, Server)>,
) -> i32 {
    signals.forever().next();
    context.draining.store(true, Ordering::Relaxed);
    let timeout = Span::millis(context.settings.drain_ms);
    let deadline = context.clock.now() + timeout;
    if let Some(entry) = &roles.entry {
        entry.limits.push(limits::Message::Drain);
    }
    if let Some(agent) = &roles.agent {
        agent.admission.push(admission::Message::Drain);
        agent.membership.push(membership::agent::Message::Drain);
    }
    if let Some(control) = &roles.control {
        control.transfer_leadership();
    }
    let mut watermark = roles.watermark();
    info!(waiting = roles.in_flight(watermark), "draining");
    let mut wait_for = |done: &dyn Fn() -> bool, deadline: Moment| {
        while !done() {
            if context.clock.now() >= deadline || signals.pending().next().is_some() {
                return false;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        true
    };
    let mut complete = wait_for(&|| roles.in_flight(watermark) == 0, deadline);
    if complete && let Some(entry) = &roles.entry {
        entry.membership.push(membership::entry::Message::Drain);
        let owned = Arc::clone(&entry.owned);
        let released = move || owned.load(Ordering::Relaxed) == 0;
        let limit = deadline.min(context.clock.now() + HANDOVER_TIMEOUT);
        if !wait_for(&released, limit) {
            info!("some partitions were not taken over in time, their leases will expire");
        }
        entry.history.push(history::Message::Drain { wall: wall_ms() });
        let recorded = Arc::clone(&entry.recorded);
        let recorded = move || recorded.load(Ordering::Relaxed);
        let limit = deadline.min(context.clock.now() + HANDOVER_TIMEOUT);
        if !wait_for(&recorded, limit) {
            info!("control did not confirm the last history items in time, they may be lost");
        }
        // Other entries forwarded requests here until they learned the new partition owners.
        watermark = roles.watermark();
        complete = wait_for(&|| roles.in_flight(watermark) == 0, deadline);
    }
    if let Some(control) = &roles.control {
        // A transfer takes at most as long as an election; nothing is lost if it fails.
        wait_for(&|| !control.is_leader(), deadline.min(context.clock.now() + HANDOVER_TIMEOUT));
    }
    if !complete {
        error!(waiting = roles.in_flight(watermark), "drain ended early, requests are cut off");
        return EXIT_DRAIN_INCOMPLETE;
    }
    let cut: usize = servers.into_iter().map(|(_, server)| server.stop()).sum();
    if let Some(control) = &roles.control {
        control.stop();
    }
    if cut > 0 {
        return EXIT_DRAIN_INCOMPLETE;
    }
    info!("drained");
    0
}

/// Writes the addresses in use, atomically by a rename, so that a reader never sees a partial file.
fn write_ports(path: &Path, ports: &[(&str, SocketAddr)]) -> io::Result<()> {
    let lines: String = ports.iter().map(|(name, addr)| format!("{name}={addr}\n")).collect();
    let draft = path.with_extension("draft");
    std::fs::write(&draft, lines)?;
    std::fs::rename(draft, path)
}
