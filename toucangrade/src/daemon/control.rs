//! The control role: the agreed state, membership and the operators' interface.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde_json::{Value, json};
use tokio::sync::watch;

use super::Context;
use crate::core::{Duty, Handle, Span};
use crate::http::Replies;
use crate::journal::{self, Journal, Log};
use crate::membership::control::{self as membership, Membership};
use crate::membership::{Beaten, View};
use crate::peer::{self, Reply, Request};
use crate::state::{self, Command, Query, State};
use crate::{claims, partitions};

/// Longest time between two ticks.
const TICK: Span = Span::millis(100);

/// Handles of control's duties.
#[derive(Clone)]
pub(crate) struct Control {
    pub(crate) journal: Handle<journal::Message>,
    pub(crate) state: Handle<state::Message>,
    pub(crate) membership: Handle<membership::Message>,
    replies: Arc<Replies<state::Reply>>,
    beats: Arc<Replies<Option<Beaten>>>,
    polls: Arc<Replies<Option<View>>>,
    statuses: Arc<Replies<Value>>,
    entries: Arc<Replies<Vec<SocketAddr>>>,
    /// Revision of the newest change, for watch streams.
    pub(crate) revision: watch::Receiver<u64>,
}

impl Control {
    /// Recovers the agreed state and starts the duties of control.
    pub(crate) fn start(context: &Context, data: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(data)?;
        let (log, commands) = Log::open(&data.join("log")).map_err(io::Error::other)?;
        let mut recovered = State::default();
        let count = commands.len() as u64;
        for (index, command) in (1..).zip(commands) {
            let Some(command) = peer::decode::<Command>(&command) else {
                let reason = format!("command {index} of the log can't be read");
                return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
            };
            let apply = state::Message::Apply { index, ticket: None, command };
            recovered.step(context.clock.now(), apply);
        }
        tracing::info!(commands = count, "agreed state recovered");
        let (sender, revision) = watch::channel(recovered.config().revision);
        let control = Self {
            journal: Handle::new("journal"),
            state: Handle::new("state"),
            membership: Handle::new("membership"),
            replies: Arc::new(Replies::new()),
            beats: Arc::new(Replies::new()),
            polls: Arc::new(Replies::new()),
            statuses: Arc::new(Replies::new()),
            entries: Arc::new(Replies::new()),
            revision,
        };
        control.membership.push(membership::Message::Configure(recovered.config()));
        control.membership.push(membership::Message::Partitions(recovered.partitions()));
        control.membership.push(membership::Message::Lead { leading: true });
        control.spawn_journal(context, log, count)?;
        control.spawn_state(context, recovered, sender)?;
        control.spawn_membership(context)?;
        context.telemetry.gauge("leading", 1);
        context.telemetry.watch(&control.journal);
        context.telemetry.watch(&control.state);
        context.telemetry.watch(&control.membership);
        Ok(control)
    }

    fn spawn_journal(&self, context: &Context, mut log: Log, count: u64) -> io::Result<()> {
        let state = self.state.clone();
        let (clock, telemetry) = (context.clock.clone(), context.telemetry.clone());
        let duty = Duty {
            state: Journal::new(count),
            step: Journal::step,
            tick: || journal::Message::Tick,
            period: TICK,
        };
        duty.spawn(&self.journal, context.clock.clone(), move |_, effect| match effect {
            journal::Effect::Append { command } => {
                let began = clock.now();
                let appended = log.append(&command);
                telemetry.timer("log_sync", clock.now().since(began));
                if let Err(error) = appended {
                    // What can't be synced must not be acknowledged.
                    tracing::error!(%error, "the log can't be written, stopping");
                    std::process::exit(1);
                }
            },
            journal::Effect::Commit { index, ticket, command } => {
                if let Some(command) = peer::decode(&command) {
                    state.push(state::Message::Apply { index, ticket, command });
                }
            },
        })?;
        Ok(())
    }

    fn spawn_state(
        &self,
        context: &Context,
        state: State,
        revision: watch::Sender<u64>,
    ) -> io::Result<()> {
        let (membership, replies) = (self.membership.clone(), Arc::clone(&self.replies));
        let telemetry = context.telemetry.clone();
        telemetry.gauge("revision", state.config().revision);
        let tick = || state::Message::Tick;
        let duty = Duty { state, step: State::step, tick, period: TICK };
        duty.spawn(&self.state, context.clock.clone(), move |_, effect| match effect {
            state::Effect::Configure(config) => {
                revision.send_replace(config.revision);
                telemetry.gauge("revision", config.revision);
                membership.push(membership::Message::Configure(config));
            },
            state::Effect::Partitions(partitions) => {
                membership.push(membership::Message::Partitions(partitions));
            },
            state::Effect::Reply { ticket, reply } => {
                replies.close(ticket, reply);
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

    fn grant(&self, command: partitions::Command) {
        let command = peer::encode(&Command::Partition(command));
        let proposal = journal::Message::Propose { ticket: None, command };
        if self.journal.offer(proposal).is_err() {
            tracing::warn!("a grant of partitions was shed, the next tick proposes it again");
        }
    }

    /// Proposes a command and waits until it is agreed; `None` means that it may or may not be.
    pub(crate) async fn propose(&self, command: Command) -> Option<state::Reply> {
        let (ticket, reply) = self.replies.open();
        let command = peer::encode(&command);
        let proposal = journal::Message::Propose { ticket: Some(ticket), command };
        self.journal.offer(proposal).ok()?;
        reply.await.ok()
    }

    /// Asks about the agreed state.
    pub(crate) async fn query(&self, query: Query) -> Option<state::Reply> {
        let (ticket, reply) = self.replies.open();
        self.state.offer(state::Message::Query { ticket, query }).ok()?;
        reply.await.ok()
    }

    /// Which processes are live and which revision each has in force.
    pub(crate) async fn status(&self) -> Option<Value> {
        let (ticket, reply) = self.statuses.open();
        self.membership.offer(membership::Message::Status { ticket }).ok()?;
        reply.await.ok()
    }

    /// Peer addresses of the live entries.
    pub(crate) async fn live_entries(&self) -> Option<Vec<SocketAddr>> {
        let (ticket, reply) = self.entries.open();
        self.membership.offer(membership::Message::Entries { ticket }).ok()?;
        reply.await.ok()
    }

    /// Answers another process.
    pub(crate) async fn serve(&self, request: Request) -> Reply {
        match request {
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
            Request::Poll(poll) => {
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
            Some(state::Reply::Claimed(reply)) => Reply::Claimed(reply),
            _ => self.refuse(),
        }
    }

    fn refuse(&self) -> Reply {
        Reply::Refused { reason: "this instance can't answer now".to_owned(), leader: None }
    }

    /// The state of all duties.
    pub(crate) async fn dump(&self) -> Value {
        json!({
            "journal": super::dumped(self.journal.dump()).await,
            "state": super::dumped(self.state.dump()).await,
            "membership": super::dumped(self.membership.dump()).await,
        })
    }
}
