//! Control of the simulated cluster: the real replicated state and membership duty, with one log
//! whose commits are applied one at a time.

use std::collections::BTreeMap;

use rand::Rng;

use super::link::{Clock, Node};
use super::world::{Event, KINDS, SERVICE, World, name};
use crate::claims;
use crate::http::CallError;
use crate::membership::control::{self as membership, Membership};
use crate::peer::{Reply, Request};
use crate::resources::{self, Collection, Expect, KindSpec, ServiceSpec, Spec};
use crate::state::{self, Command, State};

/// Maximum time from a proposal to its commit, in microseconds.
const MAX_COMMIT_DELAY: u64 = 10_000;

/// The control group, modelled as one process: a crash loses the soft state but not the replicated
/// state.
pub(super) struct Control {
    /// Zero while there is no leader.
    pub(super) incarnation: u64,
    pub(super) clock: Clock,
    membership: Membership,
    pub(super) state: State,
    /// Index of the last log entry.
    index: u64,
    /// Calls that wait for a reply of the membership duty, by ticket.
    calls: BTreeMap<u64, u64>,
}

impl Control {
    pub(super) fn new() -> Self {
        let clock = Clock { origin: 0, rate: 1_000 };
        let (membership, state) = (Membership::new(0), State::default());
        Self { incarnation: 0, clock, membership, state, index: 0, calls: BTreeMap::new() }
    }
}

impl World {
    /// Starts a new leader, which has only the replicated state.
    pub(super) fn start_leader(&mut self) {
        let (incarnation, clock) = (self.serial(), self.clock());
        let control = &mut self.control;
        (control.incarnation, control.clock) = (incarnation, clock);
        control.membership = Membership::new(incarnation);
        control.calls.clear();
        let config = control.state.config();
        let partitions = control.state.partitions();
        self.control_step(membership::Message::Configure(config));
        self.control_step(membership::Message::Partitions(partitions));
        self.control_step(membership::Message::Lead { leading: true });
        self.schedule(1, Event::Tick { node: Node::Control, incarnation });
    }

    /// Writes the service resource again, which creates a new configuration revision.
    pub(crate) fn configure(&mut self) {
        let kinds = KINDS.iter().map(|&(kind, class, timeout_ms)| {
            (name(kind), KindSpec { class, timeout_ms, running: 64, queue: 64 })
        });
        let spec = ServiceSpec { shop: name("shop"), kinds: kinds.collect() };
        let command = resources::Command {
            collection: Collection::Services,
            name: name(SERVICE),
            spec: Some(Spec::Service(spec)),
            expect: Expect::Any,
            key: None,
        };
        self.commit(Command::Resource(command), None);
    }

    pub(super) fn control_tick(&mut self) {
        self.control_step(membership::Message::Tick);
    }

    fn control_step(&mut self, message: membership::Message) {
        let now = self.control.clock.read(self.now);
        self.steps += 1;
        for effect in self.control.membership.step(now, message) {
            let reply = |reply| Some(Ok(reply));
            let (ticket, result) = match effect {
                membership::Effect::Beaten { ticket, beaten } => {
                    (ticket, reply(Reply::Beaten(beaten)))
                },
                membership::Effect::Grant(command) => {
                    let command = Box::new(Command::Partition(command));
                    let after = self.rng.random_range(0..MAX_COMMIT_DELAY);
                    self.schedule(after, Event::Commit { command, call: None });
                    continue;
                },
                membership::Effect::Refuse { ticket } => (ticket, Some(Err(CallError::Shed))),
                membership::Effect::View { ticket, view } => {
                    (ticket, reply(Reply::Viewed(Box::new(view))))
                },
                membership::Effect::Entries { .. } | membership::Effect::Status { .. } => continue,
            };
            if let (Some(call), Some(result)) = (self.control.calls.remove(&ticket), result) {
                self.reply(Node::Control, call, result);
            }
        }
    }

    pub(super) fn control_serve(&mut self, call: u64, request: Request) {
        let ticket = self.serial();
        self.control.calls.insert(ticket, call);
        match request {
            Request::Beat(beat) => self.control_step(membership::Message::Beat { ticket, beat }),
            Request::Poll(poll) => self.control_step(membership::Message::Poll { ticket, poll }),
            Request::Claim(command) => {
                let command = Box::new(Command::Claim(command));
                let after = self.rng.random_range(0..MAX_COMMIT_DELAY);
                self.schedule(after, Event::Commit { command, call: Some(call) });
            },
            Request::Open { partitions, after } => {
                let query = state::Query::Open { partitions, after };
                let now = self.control.clock.read(self.now);
                let message = state::Message::Query { ticket, query };
                for effect in self.control.state.step(now, message) {
                    if let state::Effect::Reply { reply: state::Reply::Open(claims), .. } = effect {
                        self.reply(Node::Control, call, Ok(Reply::Open(claims)));
                    }
                }
            },
            _ => {},
        }
    }

    /// Commits a command and applies it, whether or not its proposer still waits.
    pub(super) fn commit(&mut self, command: Command, call: Option<u64>) {
        self.control.index += 1;
        let (index, ticket) = (self.control.index, call);
        let now = self.control.clock.read(self.now);
        self.steps += 1;
        self.truth.note(self.now, || format!("commit {index} {command:?}"));
        let claim = match &command {
            Command::Claim(claims::Command { key, action, .. }) => {
                Some((key.clone(), action.clone()))
            },
            _ => None,
        };
        let effects =
            self.control.state.step(now, state::Message::Apply { index, ticket, command });
        for effect in effects {
            match effect {
                state::Effect::Configure(config) => {
                    self.control_step(membership::Message::Configure(config));
                },
                state::Effect::Partitions(partitions) => {
                    self.control_step(membership::Message::Partitions(partitions));
                },
                state::Effect::Reply { ticket, reply: state::Reply::Claimed(reply) } => {
                    self.truth.note(self.now, || format!("commit {index} gives {reply:?}"));
                    if let Some((key, action)) = &claim {
                        self.truth.record_claim(key, action, &reply);
                    }
                    if self.up(Node::Control) {
                        self.reply(Node::Control, ticket, Ok(Reply::Claimed(reply)));
                    }
                },
                state::Effect::Changed { .. }
                | state::Effect::Note { .. }
                | state::Effect::Reply { .. }
                | state::Effect::Schedule(_)
                | state::Effect::Snapshot { .. } => {},
            }
        }
    }
}
