//! A control instance: the replicated log, and dispatch while it leads.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
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
use crate::http::{CallError, Exchange, Handler, Inbound, Outbound, Replies, Server};
use crate::jobs::{Command, JobTable};
use crate::peer::{self, Reply, Request};
use crate::quorum::{self, Quorum};

/// Time that a message of the replicated log may take; the log repeats it.
const AGREE_TIMEOUT: Span = Span::millis(1_000);
/// Time that a request to be taken in may take.
const JOIN_TIMEOUT: Span = Span::millis(500);
/// Longest wait for another leader when this process ends.
const HANDOVER: Duration = Duration::from_millis(1_500);
/// Time between two looks at whether leadership has passed.
const HANDOVER_LOOK: Duration = Duration::from_millis(25);
/// Longest time that answers under way get when this process ends.
const STOP_LIMIT: Duration = Duration::from_millis(1_000);
/// Time of a sync that is logged; sound disks take 4 to 9 ms.
const SLOW_SYNC: Span = Span::millis(100);
/// Exit status after agreed state that can't be read, `EX_DATAERR` of sysexits.
const EXIT_DATA: i32 = 65;

/// Another instance has to be asked.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("this instance does not lead")]
pub struct Elsewhere {
    /// The instance that leads, as far as is known.
    pub leader: Option<IpAddr>,
}

/// What a read or a proposal came to.
enum Agreed {
    Ready,
    Refused,
}

/// The group as last heard of.
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
    reads: Arc<Replies<Agreed>>,
    tells: Arc<Replies<Option<ClientReply>>>,
    orders: Arc<Replies<Option<Box<Orders>>>>,
    group: Arc<Mutex<Group>>,
    driver: Arc<Mutex<Option<Driver>>>,
    server: Arc<Mutex<Option<Server>>>,
    /// Ticket of the read that tells when a new leader knows all that is agreed.
    leading: Arc<Mutex<Option<u64>>>,
}

impl Control {
    /// Recovers the replicated log and starts the duties of control.
    ///
    /// # Errors
    ///
    /// The error of the operating system when the folder, a port or a thread can't be had, or when
    /// the folder is damaged.
    pub fn start(settings: NodeSettings, meter: Meter) -> io::Result<Self> {
        let context = Context::new(settings, meter)?;
        let data = context.settings.data.clone();
        let data = data.ok_or_else(|| io::Error::other("control needs a folder for its data"))?;
        let control = Self {
            agreement: Handle::new("agreement"),
            dispatch: Handle::new("dispatch"),
            quorum: Handle::new("quorum"),
            reads: Arc::new(Replies::new()),
            tells: Arc::new(Replies::new()),
            orders: Arc::new(Replies::new()),
            group: Arc::default(),
            driver: Arc::default(),
            server: Arc::default(),
            leading: Arc::default(),
            context,
        };
        control.context.meter.watch(&control.agreement);
        control.context.meter.watch(&control.dispatch);
        control.spawn_dispatch()?;
        control.spawn_agreement(Disk::directory(&data)?)?;
        control.spawn_quorum()?;
        let settings = &control.context.settings;
        let listener = TcpListener::bind(SocketAddr::new(settings.ip, settings.port))?;
        let server = Server::start(listener, 1, control.handler())?;
        *lock(&control.server) = Some(server);
        Ok(control)
    }

    fn founders(&self) -> Vec<Name> {
        let settings = &self.context.settings;
        let founds = settings.first && settings.seeds.contains(&settings.ip);
        if founds { settings.seeds() } else { Vec::new() }
    }

    fn spawn_agreement(&self, disk: Disk) -> io::Result<()> {
        let settings = agreement::Settings {
            name: self.context.name.clone(),
            founders: self.founders(),
            seed: rand::random(),
            target_voters: Some(2 * self.context.settings.losses + 1),
        };
        let control = self.clone();
        let send = Box::new(move |to: Name, body| {
            // The log repeats what is lost, so the result is of no use.
            control.post(&to, &Request::Agree(body), AGREE_TIMEOUT);
        });
        let control = self.clone();
        let deliver = Box::new(move |_, effect| control.deliver(effect));
        let meter = self.context.meter.clone();
        let record_sync = Box::new(move |took: Span| {
            meter.time("log_sync_seconds", took);
            if took > SLOW_SYNC {
                info!(took_ms = took.as_millis(), "slow sync");
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
        // The log may have delivered a newer membership already.
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

    /// Hands on what the replicated log decided.
    fn deliver(&self, effect: agreement::Effect) {
        match effect {
            agreement::Effect::Commit { index, ticket, command } => {
                let bytes = command.len();
                let commands: Vec<Command> = readable(index, &command);
                for command in &commands {
                    self.context.meter.count("commands_total", "kind", command.kind());
                }
                self.context.meter.gauge("log_index", index);
                let message = dispatch::Message::Commit { index, ticket, commands, bytes };
                self.dispatch.push(message);
            },
            agreement::Effect::Install { index, state } => {
                let job_table =
                    if state.is_empty() { JobTable::default() } else { readable(index, &state) };
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
                if lock(&self.leading).take_if(|read| *read == ticket).is_some() {
                    self.dispatch.push(dispatch::Message::Lead { leading: true });
                }
                self.reads.close(ticket, Agreed::Ready);
            },
            agreement::Effect::Reject { ticket, reason } => {
                if ticket >= dispatch::PROPOSAL_TICKET_BASE {
                    let lost = reason.verdict() != crate::core::Verdict::NotRun;
                    self.dispatch.push(dispatch::Message::Rejected { ticket, lost });
                }
                self.reads.close(ticket, Agreed::Refused);
            },
            agreement::Effect::Role { term, leader, leading } => {
                info!(term, leading, leader = leader.as_ref().map(Name::as_str), "role");
                self.quorum.push(quorum::Message::Leader(leader.is_some()));
                lock(&self.group).leader = leader;
                self.context.meter.gauge("leading", u64::from(leading));
                self.context.meter.gauge("term", term);
                if leading {
                    let (ticket, _) = self.reads.open();
                    *lock(&self.leading) = Some(ticket);
                    self.agreement.push(agreement::Message::Read { ticket });
                } else {
                    *lock(&self.leading) = None;
                    self.dispatch.push(dispatch::Message::Lead { leading: false });
                }
            },
            // The driver performs these itself.
            agreement::Effect::Report(_)
            | agreement::Effect::Send { .. }
            | agreement::Effect::Store { .. } => {},
        }
    }

    fn spawn_dispatch(&self) -> io::Result<()> {
        let control = self.clone();
        let tick = || dispatch::Message::Tick { wall: wall_ms() };
        let state = Dispatch::new();
        let duty = Duty { state, step: Dispatch::step, tick, period: dispatch::TICK };
        let clock = self.context.clock.clone();
        duty.spawn(&self.dispatch, clock, move |_, effect| match effect {
            dispatch::Effect::Propose { ticket, commands } => {
                let command = peer::encode(&commands);
                let message = agreement::Message::Propose { ticket, command };
                if control.agreement.offer(message).is_err() {
                    let lost = false;
                    control.dispatch.push(dispatch::Message::Rejected { ticket, lost });
                }
            },
            dispatch::Effect::Gauge { name, value } => control.context.meter.gauge(name, value),
            dispatch::Effect::Orders { ticket, orders } => {
                control.orders.close(ticket, orders);
            },
            dispatch::Effect::Snapshot { index, job_table } => {
                let state = peer::encode(&*job_table);
                info!(index, bytes = state.len(), "snapshot");
                control.agreement.push(agreement::Message::SnapshotTaken { index, state });
            },
            dispatch::Effect::Reply { ticket, reply } => {
                control.tells.close(ticket, reply);
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

    /// Replaces the addresses at which other control instances are looked for.
    pub fn seeds(&self, seeds: &[IpAddr]) {
        self.quorum.push(quorum::Message::Seeds(seeds.iter().filter_map(name_of).collect()));
    }

    /// Answers a request of a caller or operator, if this instance leads.
    ///
    /// # Errors
    ///
    /// [`Elsewhere`] names the leader when it is known.
    pub async fn ask(&self, request: ClientRequest) -> Result<ClientReply, Elsewhere> {
        self.current().await?;
        let (ticket, reply) = self.tells.open();
        let message = dispatch::Message::Request { ticket, request: Box::new(request) };
        if self.dispatch.offer(message).is_err() {
            return Err(self.elsewhere());
        }
        reply.await.ok().flatten().ok_or_else(|| self.elsewhere())
    }

    /// Waits until the agreed state here holds everything that was acknowledged anywhere.
    async fn current(&self) -> Result<(), Elsewhere> {
        let (ticket, ready) = self.reads.open();
        if self.agreement.offer(agreement::Message::Read { ticket }).is_err() {
            return Err(self.elsewhere());
        }
        match ready.await {
            Ok(Agreed::Ready) => Ok(()),
            Ok(Agreed::Refused) | Err(_) => Err(self.elsewhere()),
        }
    }

    async fn report(&self, report: Box<Report>) -> Result<Box<Orders>, Elsewhere> {
        // A deposed leader must not extend leases that its successor takes for ended.
        self.current().await?;
        let (ticket, orders) = self.orders.open();
        if self.dispatch.offer(dispatch::Message::Report { ticket, report }).is_err() {
            return Err(self.elsewhere());
        }
        orders.await.ok().flatten().ok_or_else(|| self.elsewhere())
    }

    fn leader(&self) -> Option<Name> {
        lock(&self.group).leader.clone()
    }

    fn elsewhere(&self) -> Elsewhere {
        let leader = self.leader().filter(|leader| *leader != self.context.name);
        Elsewhere { leader: leader.and_then(|name| name.as_str().parse().ok()) }
    }

    fn handler(&self) -> Handler {
        let control = self.clone();
        Arc::new(move |call: Inbound| {
            let control = control.clone();
            Box::pin(async move {
                if (&call.method, call.path.as_str()) != (&Method::POST, peer::PATH) {
                    return Outbound::new(404, "no such path or method");
                }
                match peer::decode(&call.body) {
                    Some(request) => {
                        Outbound::new(200, peer::encode(&control.serve(request).await))
                    },
                    None => Outbound::new(400, "not a message of this protocol"),
                }
            })
        })
    }

    /// Answers another process.
    async fn serve(&self, request: Request) -> Reply {
        let refused = |elsewhere: Elsewhere| Reply::Refused {
            reason: elsewhere.to_string(),
            leader: elsewhere.leader.as_ref().and_then(name_of),
        };
        match request {
            Request::Agree(message) => {
                // The log repeats what is shed.
                let taken = self.agreement.offer(agreement::Message::Peer(message));
                if taken.is_ok() { Reply::Agreed } else { refused(self.elsewhere()) }
            },
            Request::Ask(request) => self.ask(*request).await.map_or_else(refused, Reply::Told),
            Request::Find => self.found(),
            Request::Join(replica) => self.taken_in(replica),
            Request::Report(report) => {
                self.report(report).await.map_or_else(refused, Reply::Ordered)
            },
            _ => refused(self.elsewhere()),
        }
    }

    fn taken_in(&self, replica: Replica) -> Reply {
        info!(name = %replica.name, identity = format!("{:016x}", replica.identity), "join asked");
        // The instance asks again until it is a member.
        drop(self.agreement.offer(agreement::Message::Join(replica)));
        // Only the leader takes it in, and it may not know the leader yet.
        self.found()
    }

    fn found(&self) -> Reply {
        let group = lock(&self.group);
        Reply::Found { leader: group.leader.clone(), members: names(&group.members) }
    }

    /// Hands leadership over and ends the replicated log once what it was given is on disk.
    pub fn stop(&self) {
        self.agreement.push(agreement::Message::Transfer { to: None });
        let leads = || self.leader().as_ref() == Some(&self.context.name);
        let looks = HANDOVER.as_millis() / HANDOVER_LOOK.as_millis();
        for _ in 0..looks {
            if !leads() {
                break;
            }
            thread::sleep(HANDOVER_LOOK);
        }
        let server = lock(&self.server).take();
        if let Some(server) = server {
            server.stop_within(STOP_LIMIT);
        }
        if let Some(driver) = lock(&self.driver).take() {
            driver.stop();
        }
    }
}

fn names(members: &Members) -> Vec<Name> {
    members.iter().map(|(name, _)| name.clone()).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads what the log holds; state that can't be read must not be taken for an empty one.
fn readable<T: for<'a> serde::Deserialize<'a>>(index: u64, bytes: &[u8]) -> T {
    peer::decode(bytes).unwrap_or_else(|| {
        error!(index, "agreed state can't be read, stopping the process");
        std::process::exit(EXIT_DATA)
    })
}
