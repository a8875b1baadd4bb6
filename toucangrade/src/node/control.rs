//! A control instance: the replicated log, the control group's membership, and dispatch while it
//! leads.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use http::Method;
use thiserror::Error;
use tracing::{error, info};

use super::{Context, Meter, NodeSettings, name_of, wall_ms};
use crate::agreement::{self, Disk, Driver, EffectHandlers, Members, Replica};
use crate::core::{Duty, Handle, Name, Span};
use crate::dispatch::{self, ClientReply, ClientRequest, Dispatch, Orders, Report};
use crate::http::{
    BODY_LIMIT, CallError, Exchange, Handler, Head, Inbound, Outbound, Replies, Screen, Server,
    Tier,
};
use crate::jobs::{Command, JobTable, snapshot};
use crate::peer::{self, Reply, Request};
use crate::quorum::{self, Quorum};

/// Timeout of messages between replicas; the replicated log repeats lost ones itself.
const AGREE_TIMEOUT: Span = Span::millis(1_000);
/// Timeout of a request to join the control group.
const JOIN_TIMEOUT: Span = Span::millis(500);
/// Longest wait for another leader on shutdown.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of checks for another leader on shutdown.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Longest wait for the removal from the control group on shutdown.
const LEAVE_TIMEOUT: Span = Span::millis(1_000);
/// Interval of announcements to the leader on shutdown.
const LEAVE_INTERVAL: Span = Span::millis(50);
/// Longest wait for requests in progress on shutdown.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Syncs of the log that take longer are reported; sound disks take 4 to 9 ms.
const SLOW_SYNC: Span = Span::millis(100);
/// Exit status if replicated state can't be decoded, `EX_DATAERR` of sysexits.
const EXIT_DATA: i32 = 65;

/// Error: this instance is not the leader, so the request has to be sent to another one.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("this instance does not lead")]
pub struct Elsewhere {
    /// The last known leader.
    pub leader: Option<IpAddr>,
}

/// Result of a read barrier.
enum ReadResult {
    Ready,
    Refused,
}

/// The last known leader and members of the control group.
#[derive(Default)]
struct Group {
    leader: Option<Name>,
    members: Members,
}

/// A running control instance.
#[derive(Clone)]
pub struct Control {
    context: Context,
    agreement: Handle<agreement::Message>,
    dispatch: Handle<dispatch::Message>,
    quorum: Handle<quorum::Message>,
    reads: Arc<Replies<ReadResult>>,
    answers: Arc<Replies<Option<ClientReply>>>,
    orders: Arc<Replies<Option<Box<Orders>>>>,
    group: Arc<Mutex<Group>>,
    driver: Arc<Mutex<Option<Driver>>>,
    server: Arc<Mutex<Option<Server>>>,
    /// Ticket of the read after which a new leader has applied everything that was committed before
    /// its election.
    leader_read: Arc<Mutex<Option<u64>>>,
}

impl Control {
    /// Recovers the replicated log and starts the duties of control.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the folder can't be opened, a port can't be bound or
    /// a thread can't be started, and an error if the data in the folder is damaged.
    pub fn start(settings: NodeSettings, meter: Meter) -> io::Result<Self> {
        let data = settings.data.as_ref();
        let data = data.ok_or_else(|| io::Error::other("control needs a folder for its data"))?;
        let disk = Disk::directory(data)?;
        Self::start_on(settings, meter, disk)
    }

    /// Like `start`, with the files on `disk`.
    pub(super) fn start_on(settings: NodeSettings, meter: Meter, disk: Disk) -> io::Result<Self> {
        let context = Context::new(settings, meter)?;
        let control = Self {
            agreement: Handle::new("agreement"),
            dispatch: Handle::new("dispatch"),
            quorum: Handle::new("quorum"),
            reads: Arc::new(Replies::new()),
            answers: Arc::new(Replies::new()),
            orders: Arc::new(Replies::new()),
            group: Arc::default(),
            driver: Arc::default(),
            server: Arc::default(),
            leader_read: Arc::default(),
            context,
        };
        control.context.meter.watch(&control.agreement);
        control.context.meter.watch(&control.dispatch);
        control.spawn_dispatch()?;
        control.spawn_agreement(disk)?;
        control.spawn_quorum()?;
        let settings = &control.context.settings;
        let listener = TcpListener::bind(SocketAddr::new(settings.ip, settings.port))?;
        let server = Server::builder(listener, control.handler())
            .budget(&settings.budget)
            .tier(Tier::Own)
            .screen(screen())
            .start()?;
        *lock(&control.server) = Some(server);
        Ok(control)
    }

    /// The initial members of the group; empty unless this instance is one of them.
    fn founders(&self) -> Vec<Name> {
        let settings = &self.context.settings;
        let is_founder = settings.first && settings.seeds.contains(&settings.ip);
        if is_founder { settings.seeds() } else { Vec::new() }
    }

    fn spawn_agreement(&self, disk: Disk) -> io::Result<()> {
        let settings = agreement::Settings {
            name: self.context.name.clone(),
            founders: self.founders(),
            seed: rand::random(),
            target_voters: Some(target_voters(&self.context.settings)),
        };
        let control = self.clone();
        let send = Box::new(move |to: Name, body| {
            // The log repeats lost messages, so the result is ignored.
            control.post(&to, &Request::Agree(body), AGREE_TIMEOUT);
        });
        let control = self.clone();
        let deliver = Box::new(move |_, effect| control.deliver(effect));
        let meter = self.context.meter.clone();
        let record_sync = Box::new(move |took: Span| {
            meter.record_time("log_sync_seconds", took);
            if took > SLOW_SYNC {
                info!(took_ms = took.as_millis(), "slow log sync");
            }
        });
        let handlers = EffectHandlers { send, record_sync, deliver };
        let clock = self.context.clock.clone();
        let driver = Driver::start(&self.agreement, settings, clock, disk, handlers)
            .map_err(io::Error::other)?;
        info!(identity = format!("{:016x}", driver.me().identity), "replicated log started");
        let recorded = driver.recovered_members().clone();
        self.quorum.push(quorum::Message::LogMembers(names(&recorded)));
        let mut group = lock(&self.group);
        // The log may have delivered newer members already.
        if group.members.is_empty() {
            group.members = recorded;
        }
        drop(group);
        *lock(&self.driver) = Some(driver);
        Ok(())
    }

    fn post(&self, to: &Name, request: &Request, timeout: Span) {
        let Some(addr) = self.context.settings.addr(to) else { return };
        let exchange = Exchange::post(addr, peer::PATH, peer::encode(request), timeout);
        self.context.client.send(exchange, |_: Result<_, CallError>| {});
    }

    /// Passes the effects of the replicated log on to the duties.
    fn deliver(&self, effect: agreement::Effect) {
        match effect {
            agreement::Effect::Commit { index, ticket, command } => {
                let bytes = command.len();
                let stored: Vec<Command> = readable_or_exit(index, peer::decode(&command));
                let commands: Vec<Command> = stored.into_iter().map(Command::from_stored).collect();
                for command in &commands {
                    self.context.meter.count("commands_total", "kind", command.kind());
                }
                self.context.meter.gauge("log_index", index);
                let message = dispatch::Message::Commit { index, ticket, commands, bytes };
                self.dispatch.push(message);
            },
            agreement::Effect::Install { index, state } => {
                let job_table = if state.is_empty() {
                    JobTable::default()
                } else {
                    readable_or_exit(index, snapshot::decode(&state))
                };
                let job_table = Box::new(job_table);
                self.dispatch.push(dispatch::Message::Install { index, job_table });
            },
            agreement::Effect::Members { index, members, .. } => {
                let me = lock(&self.driver).as_ref().map(|driver| driver.me().clone());
                self.context.meter.gauge("members", members.len() as u64);
                self.context.meter.gauge("voters", members.voters().count() as u64);
                let voter = me.is_none_or(|me| members.is_voter(&me));
                info!(index, members = members.len(), voter, "members of the control group");
                self.quorum.push(quorum::Message::LogMembers(names(&members)));
                lock(&self.group).members = members;
                self.quorum.push(quorum::Message::Member(voter));
            },
            agreement::Effect::ReadReady { ticket, .. } => {
                if lock(&self.leader_read).take_if(|read| *read == ticket).is_some() {
                    self.dispatch.push(dispatch::Message::Lead { leading: true });
                }
                self.reads.close(ticket, ReadResult::Ready);
            },
            agreement::Effect::Reject { ticket, reason } => {
                if ticket >= dispatch::PROPOSAL_TICKET_BASE {
                    let lost = reason.verdict() != crate::core::Verdict::NotRun;
                    self.dispatch.push(dispatch::Message::Rejected { ticket, lost });
                }
                self.reads.close(ticket, ReadResult::Refused);
            },
            agreement::Effect::Role { term, leader, leading } => {
                info!(term, leading, leader = leader.as_ref().map(Name::as_str), "role");
                self.quorum.push(quorum::Message::Leader(leader.is_some()));
                lock(&self.group).leader = leader;
                self.context.meter.gauge("leading", u64::from(leading));
                self.context.meter.gauge("term", term);
                if leading {
                    let (ticket, _) = self.reads.open();
                    *lock(&self.leader_read) = Some(ticket);
                    self.agreement.push(agreement::Message::Read { ticket });
                } else {
                    *lock(&self.leader_read) = None;
                    self.dispatch.push(dispatch::Message::Lead { leading: false });
                }
            },
            // The driver carries these out itself.
            agreement::Effect::Report(_)
            | agreement::Effect::Send { .. }
            | agreement::Effect::Store { .. } => {},
        }
    }

    fn spawn_dispatch(&self) -> io::Result<()> {
        let control = self.clone();
        let tick = || dispatch::Message::Tick { wall: wall_ms() };
        let settings = &self.context.settings;
        let state = Dispatch::new()
            .with_hold_limit(settings.hold_limit)
            .with_centres(settings.centres.iter().cloned())
            .with_lookahead(settings.lookahead)
            .with_overload(settings.overload);
        let duty = Duty { state, step: Dispatch::step, tick, period: dispatch::TICK };
        let clock = self.context.clock.clone();
        duty.spawn(&self.dispatch, clock, move |_, effect| match effect {
            dispatch::Effect::Propose { ticket, commands } => {
                let stored: Vec<Command> = commands.into_iter().map(Command::into_stored).collect();
                let command = peer::encode(&stored);
                let message = agreement::Message::Propose { ticket, command };
                if control.agreement.offer(message).is_err() {
                    let lost = false;
                    control.dispatch.push(dispatch::Message::Rejected { ticket, lost });
                }
            },
            dispatch::Effect::Count { name, queue } => {
                control.context.meter.count(name, "queue", queue);
            },
            dispatch::Effect::Gauge { name, value } => control.context.meter.gauge(name, value),
            dispatch::Effect::Orders { ticket, orders } => {
                control.orders.close(ticket, orders);
            },
            dispatch::Effect::Snapshot { index, job_table } => {
                let state = snapshot::encode(&job_table);
                info!(index, bytes = state.len(), "snapshot");
                control.agreement.push(agreement::Message::SnapshotTaken { index, state });
            },
            dispatch::Effect::Reply { ticket, reply } => {
                control.answers.close(ticket, reply);
            },
        })?;
        Ok(())
    }

    fn spawn_quorum(&self) -> io::Result<()> {
        let control = self.clone();
        let founder = !self.founders().is_empty();
        let state = Quorum::new(self.context.name.clone(), founder, self.context.settings.seeds());
        let tick = || quorum::Message::Tick;
        let duty = Duty { state, step: Quorum::step, tick, period: quorum::TICK };
        let clock = self.context.clock.clone();
        duty.spawn(&self.quorum, clock, move |_, effect| match effect {
            quorum::Effect::Join { to } => control.join(&to),
        })?;
        Ok(())
    }

    fn join(&self, to: &[Name]) {
        let Some(me) = lock(&self.driver).as_ref().map(|driver| driver.me().clone()) else {
            return;
        };
        info!(asked = to.len(), "asking to be taken into the control group");
        let body = peer::encode(&Request::Join(me));
        for name in to {
            let Some(addr) = self.context.settings.addr(name) else { continue };
            let exchange = Exchange::post(addr, peer::PATH, body.clone(), JOIN_TIMEOUT);
            let quorum = self.quorum.clone();
            self.context.client.send(exchange, move |result| {
                if let Ok(Reply::Found { leader, mut members }) = peer::reply(result) {
                    members.extend(leader);
                    quorum.push(quorum::Message::Found(members));
                }
            });
        }
    }

    /// Replaces the seed addresses, at which other control instances are looked up.
    pub fn seeds(&self, seeds: &[IpAddr]) {
        self.quorum.push(quorum::Message::Seeds(seeds.iter().filter_map(name_of).collect()));
    }

    /// Answers a request of a caller or operator if this instance leads.
    ///
    /// # Errors
    ///
    /// Returns [`Elsewhere`], with the leader if it is known.
    pub async fn ask(&self, request: ClientRequest) -> Result<ClientReply, Elsewhere> {
        self.read_barrier().await?;
        let (ticket, reply) = self.answers.open();
        let message = dispatch::Message::Request { ticket, request: Box::new(request) };
        if self.dispatch.offer(message).is_err() {
            return Err(self.not_leader());
        }
        reply.await.ok().flatten().ok_or_else(|| self.not_leader())
    }

    /// Waits until reads of the local state see every write that any instance acknowledged.
    async fn read_barrier(&self) -> Result<(), Elsewhere> {
        let (ticket, ready) = self.reads.open();
        if self.agreement.offer(agreement::Message::Read { ticket }).is_err() {
            return Err(self.not_leader());
        }
        match ready.await {
            Ok(ReadResult::Ready) => Ok(()),
            Ok(ReadResult::Refused) | Err(_) => Err(self.not_leader()),
        }
    }

    async fn report(&self, report: Box<Report>) -> Result<Box<Orders>, Elsewhere> {
        // A deposed leader must not extend leases that its successor considers expired.
        self.read_barrier().await?;
        let (ticket, orders) = self.orders.open();
        if self.dispatch.offer(dispatch::Message::Report { ticket, report }).is_err() {
            return Err(self.not_leader());
        }
        orders.await.ok().flatten().ok_or_else(|| self.not_leader())
    }

    fn leader(&self) -> Option<Name> {
        lock(&self.group).leader.clone()
    }

    fn not_leader(&self) -> Elsewhere {
        let leader = self.leader().filter(|leader| *leader != self.context.name);
        Elsewhere { leader: leader.and_then(|name| name.as_str().parse().ok()) }
    }

    fn handler(&self) -> Handler {
        let control = self.clone();
        Arc::new(move |call: Inbound| {
            let control = control.clone();
            Box::pin(async move {
                match peer::decode(&call.body) {
                    Some(request) => {
                        Outbound::new(200, peer::encode(&control.serve(request).await))
                    },
                    None => Outbound::new(400, "not a message of this protocol"),
                }
            })
        })
    }

    /// Answers a request of another process.
    async fn serve(&self, request: Request) -> Reply {
        let refused = |elsewhere: Elsewhere| Reply::Refused {
            reason: elsewhere.to_string(),
            leader: elsewhere.leader.as_ref().and_then(name_of),
        };
        match request {
            Request::Agree(message) => {
                // The log repeats messages that are shed.
                let offered = self.agreement.offer(agreement::Message::Peer(message));
                if offered.is_ok() { Reply::Agreed } else { refused(self.not_leader()) }
            },
            Request::Ask(request) => self.ask(*request).await.map_or_else(refused, Reply::Told),
            Request::Find => self.group_reply(),
            Request::Join(replica) => self.accept_join(replica),
            Request::Leave(replica) => {
                info!(name = %replica.name, "leave announced");
                // The instance repeats the announcement until it is no member any more.
                drop(self.agreement.offer(agreement::Message::Leave(replica)));
                self.group_reply()
            },
            Request::Report(report) => {
                self.report(report).await.map_or_else(refused, Reply::Ordered)
            },
            _ => refused(self.not_leader()),
        }
    }

    fn accept_join(&self, replica: Replica) -> Reply {
        info!(name = %replica.name, identity = format!("{:016x}", replica.identity), "join asked");
        // The instance repeats the request until it is a member.
        drop(self.agreement.offer(agreement::Message::Join(replica)));
        // Only the leader adds it, and the instance may not know the leader yet.
        self.group_reply()
    }

    fn group_reply(&self) -> Reply {
        let group = lock(&self.group);
        Reply::Found { leader: group.leader.clone(), members: names(&group.members) }
    }

    /// Whether the group has voters to spare, so that it removes one that stops.
    fn has_spare_voters(&self) -> bool {
        let target = target_voters(&self.context.settings);
        lock(&self.group).members.voters().count() > target
    }

    /// Announces to the leader that this instance stops, until it is no member any more or
    /// `LEAVE_TIMEOUT` is over.
    fn leave(&self) {
        let Some(me) = lock(&self.driver).as_ref().map(|driver| driver.me().clone()) else {
            return;
        };
        let left = Arc::new(AtomicBool::new(false));
        let body = peer::encode(&Request::Leave(me));
        let polls = LEAVE_TIMEOUT.as_millis() / LEAVE_INTERVAL.as_millis();
        for _ in 0..polls {
            if left.load(Ordering::Relaxed) || !self.has_spare_voters() {
                break;
            }
            let leader = self.leader().filter(|leader| *leader != self.context.name);
            if let Some(addr) = leader.and_then(|name| self.context.settings.addr(&name)) {
                let (left, name) = (Arc::clone(&left), self.context.name.clone());
                let exchange = Exchange::post(addr, peer::PATH, body.clone(), LEAVE_INTERVAL);
                self.context.client.send(exchange, move |result| {
                    if let Ok(Reply::Found { members, .. }) = peer::reply(result)
                        && !members.is_empty()
                        && !members.contains(&name)
                    {
                        left.store(true, Ordering::Relaxed);
                    }
                });
            }
            thread::sleep(LEAVE_INTERVAL.duration());
        }
        info!(left = left.load(Ordering::Relaxed), "leaving the control group");
    }

    /// Transfers leadership and leaves the group if it has voters to spare, then stops the
    /// replicated log once its pending writes are on disk.
    pub fn stop(&self) {
        self.quorum.push(quorum::Message::Stop);
        self.agreement.push(agreement::Message::Transfer { to: None });
        let is_leader = || self.leader().as_ref() == Some(&self.context.name);
        let polls = HANDOVER_TIMEOUT.as_millis() / HANDOVER_POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            if !is_leader() {
                break;
            }
            thread::sleep(HANDOVER_POLL_INTERVAL);
        }
        if self.has_spare_voters() {
            self.leave();
        }
        let server = lock(&self.server).take();
        if let Some(server) = server {
            server.stop_within(STOP_TIMEOUT);
        }
        if let Some(driver) = lock(&self.driver).take() {
            driver.stop();
        }
    }
}

/// Only messages of other processes are read, at their one path.
fn screen() -> Screen {
    Arc::new(|head: Head<'_>| match (head.method, head.path) {
        (&Method::POST, peer::PATH) => Ok(BODY_LIMIT),
        _ => Err(Outbound::new(404, "no such path or method")),
    })
}

/// Number of voters that tolerates the configured losses.
fn target_voters(settings: &NodeSettings) -> usize {
    2 * settings.losses + 1
}

fn names(members: &Members) -> Vec<Name> {
    members.iter().map(|(name, _)| name.clone()).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decodes replicated state. A failure ends the process, so that undecodable state is never treated
/// as empty.
fn readable_or_exit<T>(index: u64, decoded: Option<T>) -> T {
    decoded.unwrap_or_else(|| {
        error!(index, "agreed state can't be read, stopping the process");
        std::process::exit(EXIT_DATA)
    })
}
