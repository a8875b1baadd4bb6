//! The control role: the replicated log, the agreed state, membership and their replies.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};
use thiserror::Error;
use tokio::sync::watch;
use tracing::{error, info};

use super::Context;
use super::archive::Archive;
use super::link::Link;
use crate::agreement::{self, Disk, Driver, EffectHandlers, Rejection};
use crate::core::{Duty, Handle, Name, Span};
use crate::http::Replies;
use crate::membership::control::{self as membership, Membership};
use crate::membership::{Beaten, View};
use crate::peer::{self, Reply, Request};
use crate::scheduling::{self, Order, Scheduling};
use crate::state::{self, Command, Machine, Query, State};
use crate::{claims, partitions, placement};

/// Longest time between two ticks.
const TICK: Span = Span::millis(100);
/// Time that a message of the replicated log may take; it is repeated by the log itself.
const AGREE_TIMEOUT: Span = Span::millis(1_000);
/// Exit status after agreed state that can't be read, `EX_DATAERR` of sysexits.
const EXIT_DATA: i32 = 65;

/// What a handler gets for a proposal, a read or a question.
#[derive(Debug)]
enum Agreed {
    /// The change of the group is in force at this log index.
    Member { index: u64 },
    /// The log refused the proposal or the read.
    Rejected(Rejection),
    /// The reply of the agreed state.
    Replied(Box<state::Reply>),
    /// Reads of the agreed state are now linearizable.
    Ready,
}

/// Why the agreed state gave no reply.
#[derive(Debug, Error)]
pub(crate) enum Unanswered {
    /// Too many messages wait, or the process is stopping.
    #[error("this instance sheds load or is stopping")]
    Overloaded,
    /// The log refused the proposal or the read.
    #[error("the replicated log refused it: {0}")]
    Rejected(#[from] Rejection),
}

/// Handles of control's duties.
#[derive(Clone)]
pub(crate) struct Control {
    pub(crate) agreement: Handle<agreement::Message>,
    pub(crate) state: Handle<state::Message>,
    pub(crate) membership: Handle<membership::Message>,
    pub(crate) scheduling: Handle<scheduling::Message>,
    replies: Arc<Replies<Agreed>>,
    beats: Arc<Replies<Option<Beaten>>>,
    polls: Arc<Replies<Option<View>>>,
    statuses: Arc<Replies<Value>>,
    entries: Arc<Replies<Vec<SocketAddr>>>,
    /// Decisions on jobs that are proposed and not yet agreed, by ticket.
    decisions: Arc<Mutex<BTreeMap<u64, placement::Decision>>>,
    orders: Arc<Replies<Option<Vec<Order>>>>,
    reasons: Arc<Replies<Vec<String>>>,
    leader: Arc<Mutex<Option<Name>>>,
    driver: Arc<Mutex<Option<Driver>>>,
    name: Name,
    /// Revision of the newest change, for watch streams.
    pub(crate) revision: watch::Receiver<u64>,
}

impl Control {
    /// Recovers the replicated log and starts the duties of control.
    pub(crate) fn start(
        context: &Context,
        link: &Link,
        disk: Disk,
        archive: &Archive,
    ) -> io::Result<Self> {
        let (sender, revision) = watch::channel(0);
        let control = Self {
            agreement: Handle::new("agreement"),
            state: Handle::new("state"),
            membership: Handle::new("membership"),
            scheduling: Handle::new("scheduling"),
            replies: Arc::new(Replies::new()),
            beats: Arc::new(Replies::new()),
            polls: Arc::new(Replies::new()),
            statuses: Arc::new(Replies::new()),
            entries: Arc::new(Replies::new()),
            decisions: Arc::new(Mutex::new(BTreeMap::new())),
            orders: Arc::new(Replies::new()),
            reasons: Arc::new(Replies::new()),
            leader: Arc::new(Mutex::new(None)),
            driver: Arc::new(Mutex::new(None)),
            name: context.settings.name.clone(),
            revision,
        };
        control.spawn_state(context, sender, archive)?;
        control.spawn_membership(context)?;
        control.spawn_scheduling(context)?;
        control.spawn_agreement(context, link, disk)?;
        context.telemetry.watch(&control.agreement);
        context.telemetry.watch(&control.state);
        context.telemetry.watch(&control.membership);
        Ok(control)
    }

    fn spawn_agreement(&self, context: &Context, link: &Link, disk: Disk) -> io::Result<()> {
        let settings = agreement::Settings {
            name: self.name.clone(),
            founders: link.members().cloned().collect(),
            seed: context.incarnation,
            target_voters: None,
        };
        let link = link.clone();
        let send = move |to: Name, body| {
            // A lost message is repeated by the log, so its result is of no use.
            link.member(&to, &Request::Agree(body), AGREE_TIMEOUT, |_| {});
        };
        let control = self.clone();
        let telemetry = context.telemetry.clone();
        let deliver = move |_, effect| {
            if let agreement::Effect::Role { leading, .. } = &effect {
                telemetry.gauge("leading", u64::from(*leading));
            }
            control.deliver(effect);
        };
        let telemetry = context.telemetry.clone();
        let record_sync = move |took| telemetry.timer("log_sync", took);
        let handlers = EffectHandlers {
            send: Box::new(send),
            record_sync: Box::new(record_sync),
            deliver: Box::new(deliver),
        };
        let clock = context.clock.clone();
        let driver = Driver::start(&self.agreement, settings, clock, disk, handlers)
            .map_err(io::Error::other)?;
        info!(identity = format!("{:016x}", driver.me().identity), "replicated log started");
        *self.driver.lock().unwrap_or_else(PoisonError::into_inner) = Some(driver);
        Ok(())
    }

    /// Hands on what the replicated log decided.
    fn deliver(&self, effect: agreement::Effect) {
        match effect {
            agreement::Effect::Commit { index, ticket, command } => {
                if let Some(ticket) = ticket {
                    self.lock_decisions().remove(&ticket);
                }
                let Some(command) = peer::decode::<Command>(&command) else {
                    error!(index, "a command of the log can't be read, stopping the process");
                    std::process::exit(EXIT_DATA);
                };
                self.state.push(state::Message::Apply { index, ticket, command });
            },
            agreement::Effect::Install { index, state } => {
                let machine = if state.is_empty() {
                    Some(Machine::default())
                } else {
                    peer::decode::<Machine>(&state)
                };
                let Some(machine) = machine else {
                    error!(index, "a snapshot can't be read, stopping the process");
                    std::process::exit(EXIT_DATA);
                };
                let machine = Box::new(machine);
                self.state.push(state::Message::Install { index, machine });
            },
            agreement::Effect::Members { index, ticket, members } => {
                info!(index, members = members.len(), "members of the control group changed");
                if let Some(ticket) = ticket {
                    self.replies.close(ticket, Agreed::Member { index });
                }
            },
            agreement::Effect::ReadReady { ticket, .. } => {
                self.replies.close(ticket, Agreed::Ready);
            },
            agreement::Effect::Reject { ticket, reason } => {
                self.dropped(ticket);
                self.replies.close(ticket, Agreed::Rejected(reason));
            },
            agreement::Effect::Role { term, leader, leading } => {
                info!(term, leading, leader = leader.as_ref().map(Name::as_str), "role changed");
                *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
                self.state.push(state::Message::Lead { leading });
                self.membership.push(membership::Message::Lead { leading });
            },
            // The driver performs these itself.
            agreement::Effect::Report(_)
            | agreement::Effect::Send { .. }
            | agreement::Effect::Store { .. } => {},
        }
    }

    fn spawn_state(
        &self,
        context: &Context,
        revision: watch::Sender<u64>,
        archive: &Archive,
    ) -> io::Result<()> {
        let archive = archive.clone();
        let (agreement, membership) = (self.agreement.clone(), self.membership.clone());
        let scheduling = self.scheduling.clone();
        let replies = Arc::clone(&self.replies);
        let telemetry = context.telemetry.clone();
        let tick = || state::Message::Tick;
        let duty = Duty { state: State::default(), step: State::step, tick, period: TICK };
        duty.spawn(&self.state, context.clock.clone(), move |_, effect| match effect {
            state::Effect::Changed { revision: newest } => {
                revision.send_replace(newest);
            },
            state::Effect::Schedule(message) => scheduling.push(message),
            state::Effect::Configure(config) => {
                scheduling.push(scheduling::Message::Configure(config.clone()));
                telemetry.gauge("revision", config.revision);
                membership.push(membership::Message::Configure(config));
            },
            state::Effect::Note { number, body } => archive.note(number, body),
            state::Effect::Partitions(partitions) => {
                membership.push(membership::Message::Partitions(partitions));
            },
            state::Effect::Reply { ticket, reply } => {
                replies.close(ticket, Agreed::Replied(Box::new(reply)));
            },
            state::Effect::Snapshot { index, machine } => {
                let state = peer::encode(&*machine);
                agreement.push(agreement::Message::SnapshotTaken { index, state });
            },
        })?;
        Ok(())
    }

    fn spawn_membership(&self, context: &Context) -> io::Result<()> {
        let control = self.clone();
        let state = Membership::new(context.incarnation);
        let tick = || membership::Message::Tick;
        let duty = Duty { state, step: Membership::step, tick, period: TICK };
        duty.spawn(&self.membership, context.clock.clone(), move |_, effect| match effect {
            membership::Effect::Beaten { ticket, beaten } => {
                control.beats.close(ticket, Some(beaten));
            },
            membership::Effect::Entries { ticket, addrs } => {
                control.entries.close(ticket, addrs);
            },
            membership::Effect::Grant(command) => control.grant(command),
            membership::Effect::Refuse { ticket } => {
                control.beats.close(ticket, None);
                control.polls.close(ticket, None);
            },
            membership::Effect::Status { ticket, status } => {
                control.statuses.close(ticket, status);
            },
            membership::Effect::View { ticket, view } => {
                control.polls.close(ticket, Some(view));
            },
        })?;
        Ok(())
    }

    fn spawn_scheduling(&self, context: &Context) -> io::Result<()> {
        let control = self.clone();
        let state = Scheduling::new(placement::Settings::latency());
        let tick = || scheduling::Message::Tick;
        let duty = Duty { state, step: Scheduling::step, tick, period: Span::millis(250) };
        duty.spawn(&self.scheduling, context.clock.clone(), move |_, effect| match effect {
            scheduling::Effect::Explained { ticket, text } => {
                control.reasons.close(ticket, text);
            },
            scheduling::Effect::Orders { ticket, orders } => {
                control.orders.close(ticket, Some(orders));
            },
            scheduling::Effect::Learn(summary) => control.keep_learned(summary),
            scheduling::Effect::Propose(decision) => control.decide(decision),
            scheduling::Effect::Refuse { ticket } => {
                control.orders.close(ticket, None);
            },
        })?;
        Ok(())
    }

    /// Proposes a decision on a job; one that is not agreed is handed back to the planner.
    fn decide(&self, decision: placement::Decision) {
        // Nobody waits for the reply; the state tells the scheduling duty itself.
        let (ticket, _) = self.replies.open();
        let command = peer::encode(&Command::Run(decision.clone()));
        let message = agreement::Message::Propose { ticket, command };
        self.lock_decisions().insert(ticket, decision);
        if self.agreement.offer(message).is_err() {
            self.dropped(ticket);
        }
    }

    /// Proposes a summary of what was learned; one that is lost is proposed again a minute later.
    fn keep_learned(&self, summary: placement::Summary) {
        let (ticket, _) = self.replies.open();
        let command = peer::encode(&Command::Learned(summary));
        if self.agreement.offer(agreement::Message::Propose { ticket, command }).is_err() {
            tracing::warn!("a summary of what was learned was shed");
        }
    }

    /// Hands a decision back that the log did not take.
    fn dropped(&self, ticket: u64) {
        let decision = self.lock_decisions().remove(&ticket);
        if let Some(decision) = decision {
            self.scheduling.push(scheduling::Message::Dropped(decision));
        }
    }

    fn lock_decisions(&self) -> MutexGuard<'_, BTreeMap<u64, placement::Decision>> {
        self.decisions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn grant(&self, command: partitions::Command) {
        // Nobody waits for the reply; the next tick proposes again what was not agreed.
        let (ticket, _) = self.replies.open();
        let command = peer::encode(&Command::Partition(command));
        if self.agreement.offer(agreement::Message::Propose { ticket, command }).is_err() {
            tracing::warn!("a grant of partitions was shed");
        }
    }

    /// Proposes a command and waits until it is applied.
    pub(crate) async fn propose(&self, command: Command) -> Result<state::Reply, Unanswered> {
        let (ticket, reply) = self.replies.open();
        let command = peer::encode(&command);
        let message = agreement::Message::Propose { ticket, command };
        self.agreement.offer(message).map_err(|_| Unanswered::Overloaded)?;
        match reply.await {
            Ok(Agreed::Replied(reply)) => Ok(*reply),
            Ok(Agreed::Rejected(reason)) => Err(Unanswered::Rejected(reason)),
            Ok(_) | Err(_) => Err(Unanswered::Overloaded),
        }
    }

    /// Waits until reads of the agreed state here see every write that was acknowledged.
    pub(crate) async fn current(&self) -> Result<(), Unanswered> {
        let (ticket, reply) = self.replies.open();
        let message = agreement::Message::Read { ticket };
        self.agreement.offer(message).map_err(|_| Unanswered::Overloaded)?;
        match reply.await {
            Ok(Agreed::Ready) => Ok(()),
            Ok(Agreed::Rejected(reason)) => Err(Unanswered::Rejected(reason)),
            Ok(_) | Err(_) => Err(Unanswered::Overloaded),
        }
    }

    /// Changes the members of the group and waits until that is in force.
    pub(crate) async fn change(&self, change: agreement::Change) -> Result<u64, Unanswered> {
        let (ticket, reply) = self.replies.open();
        let message = agreement::Message::Change { ticket, change };
        self.agreement.offer(message).map_err(|_| Unanswered::Overloaded)?;
        match reply.await {
            Ok(Agreed::Member { index }) => Ok(index),
            Ok(Agreed::Rejected(reason)) => Err(Unanswered::Rejected(reason)),
            Ok(_) | Err(_) => Err(Unanswered::Overloaded),
        }
    }

    /// Asks about the state that this replica has applied.
    pub(crate) async fn query(&self, query: Query) -> Option<state::Reply> {
        let (ticket, reply) = self.replies.open();
        self.state.offer(state::Message::Query { ticket, query }).ok()?;
        match reply.await {
            Ok(Agreed::Replied(reply)) => Some(*reply),
            _ => None,
        }
    }

    /// The planner's newest reasons about a job.
    pub(crate) async fn reasons(&self, job: Name) -> Vec<String> {
        let (ticket, reply) = self.reasons.open();
        if self.scheduling.offer(scheduling::Message::Explain { ticket, job }).is_err() {
            return Vec::new();
        }
        reply.await.unwrap_or_default()
    }

    /// Which processes are live and which revision each has in force.
    pub(crate) async fn status(&self) -> Option<Value> {
        let (ticket, reply) = self.statuses.open();
        self.membership.offer(membership::Message::Status { ticket }).ok()?;
        let mut status = reply.await.ok()?;
        status["leader"] = json!(self.leader());
        Some(status)
    }

    /// Peer addresses of the live entries.
    pub(crate) async fn live_entries(&self) -> Option<Vec<SocketAddr>> {
        let (ticket, reply) = self.entries.open();
        self.membership.offer(membership::Message::Entries { ticket }).ok()?;
        reply.await.ok()
    }

    /// The leader, as far as is known.
    pub(crate) fn leader(&self) -> Option<Name> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether this instance leads, as far as it knows.
    pub(crate) fn leads(&self) -> bool {
        self.leader().as_ref() == Some(&self.name)
    }

    /// Hands leadership to another instance.
    pub(crate) fn hand_over(&self) {
        self.agreement.push(agreement::Message::Transfer { to: None });
    }

    /// Ends the replicated log once what it was given is on disk.
    pub(crate) fn stop(&self) {
        if let Some(driver) = self.driver.lock().unwrap_or_else(PoisonError::into_inner).take() {
            driver.stop();
        }
    }

    /// Answers another process.
    pub(crate) async fn serve(&self, request: Request) -> Reply {
        match request {
            Request::Agree(message) => {
                if self.agreement.offer(agreement::Message::Peer(message)).is_ok() {
                    return Reply::Agreed;
                }
                self.refuse()
            },
            Request::Beat(beat) => {
                let (ticket, reply) = self.beats.open();
                if self.membership.offer(membership::Message::Beat { ticket, beat }).is_ok()
                    && let Ok(Some(beaten)) = reply.await
                {
                    return Reply::Beaten(beaten);
                }
                self.refuse()
            },
            Request::Claim(command) => self.claim(command).await,
            Request::Identify => {
                let driver = self.driver.lock().unwrap_or_else(PoisonError::into_inner);
                let me = driver.as_ref().map(|driver| driver.me().clone());
                drop(driver);
                me.map_or_else(|| self.refuse(), Reply::Identity)
            },
            Request::Open { partitions, after } => {
                match self.query(Query::Open { partitions, after }).await {
                    Some(state::Reply::Open(claims)) => Reply::Open(claims),
                    _ => self.refuse(),
                }
            },
            Request::Work(work) => {
                let (ticket, reply) = self.orders.open();
                let message = scheduling::Message::Work { ticket, work: *work };
                if self.scheduling.offer(message).is_ok()
                    && let Ok(Some(orders)) = reply.await
                {
                    return Reply::Orders(orders);
                }
                self.refuse()
            },
            Request::Poll(poll) => {
                // A deposed leader must not extend the leases of partitions that its successor
                // may grant to others.
                if self.current().await.is_err() {
                    return self.refuse();
                }
                let (ticket, reply) = self.polls.open();
                if self.membership.offer(membership::Message::Poll { ticket, poll }).is_ok()
                    && let Ok(Some(view)) = reply.await
                {
                    return Reply::Viewed(Box::new(view));
                }
                self.refuse()
            },
            _ => self.refuse(),
        }
    }

    async fn claim(&self, command: claims::Command) -> Reply {
        match self.propose(Command::Claim(command)).await {
            Ok(state::Reply::Claimed(reply)) => Reply::Claimed(reply),
            Ok(_) => self.refuse(),
            Err(error) => Reply::Refused { reason: error.to_string(), leader: self.leader() },
        }
    }

    pub(crate) fn refuse(&self) -> Reply {
        let reason = "this instance can't answer now".to_owned();
        Reply::Refused { reason, leader: self.leader() }
    }

    /// The state of all duties.
    pub(crate) async fn dump(&self) -> Value {
        json!({
            "agreement": super::dumped(self.agreement.dump()).await,
            "state": super::dumped(self.state.dump()).await,
            "membership": super::dumped(self.membership.dump()).await,
            "scheduling": super::dumped(self.scheduling.dump()).await,
        })
    }
}
