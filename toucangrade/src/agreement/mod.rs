//! Replicated log of the control processes: leader-based consensus with pre-vote, check-quorum,
//! leases for reads, group commit and snapshots.
//!
//! The protocol follows Raft (Ongaro and Ousterhout, 2014; Ongaro's dissertation for pre-vote,
//! leases, transfer and single-server membership changes).

mod disk;
mod driver;
mod election;
mod fake_disk;
mod log;
pub mod measure;
mod membership;
mod message;
mod random_run;
mod reads;
mod replication;
mod snapshots;
mod storage;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Serialize, Serializer};

use self::log::Log;
use self::reads::PendingRead;
use self::replication::Progress;
use self::snapshots::Incoming;
use crate::core::{Moment, Name, Span, invariant};

pub(crate) use self::disk::Disk;
pub(crate) use self::driver::{Driver, Outlets};
pub(crate) use self::membership::Members;
pub(crate) use self::message::{
    Body, Change, Effect, Entry, Message, Payload, PeerMessage, Rejection, Replica, Snapshot, Store,
};
pub use self::random_run::{RunReport, random_run, try_random_run};
pub(crate) use self::storage::Recovered;

/// Time between two heartbeats of a leader.
pub(crate) const HEARTBEAT: Span = Span::millis(100);
/// Shortest election timeout; no vote is given within this time after contact with a leader.
pub(crate) const ELECTION_MIN: Span = Span::millis(500);
/// Longest election timeout; a leader without contact to a quorum for this time steps down.
pub(crate) const ELECTION_MAX: Span = Span::millis(1_000);
/// Part of `ELECTION_MIN` that a leader relies on, so that clock rates may differ by 5%.
const LEASE_PERCENT: u64 = 90;
/// Period in which the duty checks its time-outs.
pub(crate) const TICK: Span = Span::millis(20);
/// Unanswered appends and chunks are sent again after this time.
const RESEND: Span = Span::millis(200);
/// A leader whose storage has not answered for this time gives up leadership, as nothing it takes
/// can be acknowledged.
const STORE_STALL: Span = Span::secs(3);
/// Appends to one follower that may be unanswered.
const WINDOW: usize = 4;
/// Greatest number of entries and bytes in one append message; one entry may exceed the bytes.
const APPEND_ENTRIES: usize = 1_024;
const APPEND_BYTES: usize = 256 * 1024;
/// Greatest number of bytes that one sync covers.
const STORE_BYTES: usize = 4 * 1024 * 1024;
/// Greatest size of a command.
const COMMAND_LIMIT: usize = 1024 * 1024;
/// Proposals, and likewise reads, that may wait at the leader.
const WAITING_LIMIT: usize = 4_096;
/// Bytes of the proposals that may wait at the leader.
const WAITING_BYTES: usize = 16 * 1024 * 1024;
/// Entries and their bytes kept in memory after a snapshot, so that a follower that lags a little
/// needs no snapshot.
const KEPT_ENTRIES: u64 = 1_024;
const KEPT_BYTES: usize = 16 * 1024 * 1024;
/// Silence after which a voter is removed when there are more than the group needs.
const VOTER_SILENCE: Span = Span::secs(5);
/// Refusals of entries that a member acknowledged before, after which it is reported. Single ones
/// may be late messages.
const LOSS_REPORT: u32 = 5;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name of this instance.
    pub(crate) name: Name,
    /// Names of the first members. The lowest one founds the group once all of them announced that
    /// they belong to none. Empty on an instance that is to be added to a group.
    pub(crate) founders: Vec<Name>,
    /// Seed of the election timeouts.
    pub(crate) seed: u64,
    /// Number of voters above which one that is silent is removed; without it members only change
    /// on request.
    pub(crate) voters: Option<usize>,
}

#[derive(Debug, Serialize)]
enum Role {
    Candidate { votes: BTreeSet<Name> },
    Follower,
    Leader(Box<Lead>),
    PreCandidate { votes: BTreeSet<Name> },
}

/// State that exists only while an instance leads.
#[derive(Debug, Serialize)]
struct Lead {
    progress: BTreeMap<Name, Progress>,
    /// Index of the membership that `progress` follows.
    tracked: u64,
    reads: VecDeque<PendingRead>,
    transfer: Option<Transfer>,
    /// A `TimeoutNow` was sent, which may take effect at any later time.
    lease_void: bool,
    /// When the last heartbeats were sent.
    beat: Moment,
    since: Moment,
}

#[derive(Debug, Serialize)]
struct Transfer {
    to: Name,
    until: Moment,
    sent: bool,
}

/// A proposal of which the outcome is open.
#[derive(Debug, Serialize)]
struct Waiting {
    ticket: u64,
    size: usize,
}

/// An append that the storage has not answered.
#[derive(Debug, Serialize)]
struct Saving {
    seq: u64,
    /// Last index that counts as durable once it is answered.
    upto: u64,
    since: Moment,
}

/// Actions that wait until a `Store` effect is durable.
#[derive(Debug, Serialize)]
enum Held {
    /// Own vote in this term counts, and the others are asked.
    Ballot {
        term: u64,
        transfer: bool,
    },
    /// The snapshot at this index replaced the log.
    Installed {
        index: u64,
    },
    Send {
        to: Name,
        body: PeerMessage,
    },
}

/// State of one instance of the group.
#[derive(Debug, Serialize)]
pub(crate) struct Agreement {
    me: Replica,
    founders: Vec<Name>,
    /// Identities of the founders that announced that they belong to no group.
    fresh: BTreeMap<Name, u64>,
    term: u64,
    vote: Option<Replica>,
    role: Role,
    leader: Option<Replica>,
    log: Log,
    /// Memberships by the index of their entry; the last one is in force.
    configs: BTreeMap<u64, Members>,
    #[serde(serialize_with = "snapshot_index")]
    snapshot: Arc<Snapshot>,
    incoming: Option<Incoming>,
    /// Greatest index known to be committed.
    commit: u64,
    /// Greatest index handed to the state machine; no entry is before it is durable here.
    applied: u64,
    /// The log equals that of the leader of `term` up to this index.
    verified: u64,
    /// The log is durable up to this index.
    saved: u64,
    /// The log was handed to the storage up to this index.
    stored: u64,
    /// The append that is not yet durable.
    saving: Option<Saving>,
    /// Last sequence number given to a `Store` effect.
    seq: u64,
    synced: u64,
    held: BTreeMap<u64, Vec<Held>>,
    /// Proposals by index.
    waiting: BTreeMap<u64, Waiting>,
    waiting_bytes: usize,
    /// Last contact with a leader, or the start of the process, before which there may have been
    /// one.
    contact: Moment,
    deadline: Moment,
    hello: Moment,
    failed: Option<String>,
    /// See `Settings::voters`.
    voters: Option<usize>,
    batch: usize,
    random: u64,
    announced: (u64, Option<Name>, bool),
    reported: BTreeMap<Name, u64>,
    #[serde(skip)]
    out: Vec<Effect>,
}

fn snapshot_index<S: Serializer>(snapshot: &Snapshot, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(snapshot.index)
}

impl Agreement {
    /// The state after a start, from what the storage recovered.
    pub(crate) fn new(settings: Settings, recovered: Recovered, now: Moment) -> Self {
        let Recovered { identity, term, vote, snapshot, entries, .. } = recovered;
        let mut configs = BTreeMap::new();
        if !snapshot.members.is_empty() {
            configs.insert(snapshot.members_at, snapshot.members.clone());
        }
        for entry in &entries {
            if let Payload::Members(members) = &entry.payload {
                configs.insert(entry.index, members.clone());
            }
        }
        let log = Log::new(snapshot.index, snapshot.term, entries);
        let (last, base) = (log.last(), snapshot.index);
        let mut agreement = Self {
            me: Replica { name: settings.name, identity },
            founders: settings.founders,
            fresh: BTreeMap::new(),
            term,
            vote,
            role: Role::Follower,
            leader: None,
            log,
            configs,
            snapshot: Arc::new(snapshot),
            incoming: None,
            commit: base,
            applied: base,
            verified: base,
            saved: last,
            stored: last,
            saving: None,
            seq: 0,
            synced: 0,
            held: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            contact: now,
            deadline: now,
            hello: now,
            failed: None,
            voters: settings.voters,
            batch: usize::MAX,
            random: settings.seed.wrapping_add(identity),
            announced: (0, None, false),
            reported: BTreeMap::new(),
            out: Vec::new(),
        };
        agreement.postpone(now);
        // The first step returns these effects.
        if base > 0 {
            agreement.hand_on_snapshot();
        }
        agreement
    }

    /// Limits the entries that one sync covers; 1 turns group commit off, for measurements.
    pub(crate) fn limit_batch(&mut self, entries: usize) {
        self.batch = entries.max(1);
    }

    /// Takes a message and gives the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Change { ticket, change } => self.change(ticket, &change),
            Message::Join(replica) => self.join(&replica),
            Message::Peer(message) => self.receive(now, message),
            Message::Propose { ticket, command } => self.propose(ticket, command),
            Message::Read { ticket } => self.read(now, ticket),
            Message::SnapshotTaken { index, state } => self.snapshot_taken(index, state),
            Message::StoreFailed { reason } => self.store_failed(now, reason),
            Message::Synced { upto } => self.synced(now, upto),
            Message::Tick => self.tick(now),
            Message::Transfer { to } => self.transfer(now, to),
        }
        if self.failed.is_none() {
            self.settle(now);
        }
        self.announce();
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Moment) {
        if self.failed.is_some() {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.lead_tick(now);
        } else if self.members().is_empty() {
            self.announce_fresh(now);
        } else if now >= self.deadline && self.members().is_voter(&self.me) {
            self.campaign(now);
        }
    }

    fn propose(&mut self, ticket: u64, command: Bytes) {
        let (size, limit) = (command.len(), COMMAND_LIMIT);
        let reason =
            if size > limit { Some(Rejection::TooLarge { size, limit }) } else { self.refusal() };
        match reason {
            Some(reason) => self.out.push(Effect::Reject { ticket, reason }),
            None => self.append(Some(ticket), Payload::Command(command)),
        }
    }

    /// Why no proposal is taken now.
    fn refusal(&self) -> Option<Rejection> {
        if let Some(reason) = &self.failed {
            let reason = reason.clone();
            return Some(Rejection::Storage { reason });
        }
        let Role::Leader(lead) = &self.role else {
            let leader = self.leader_name();
            return Some(Rejection::NotLeader { leader });
        };
        if let Some(transfer) = &lead.transfer {
            let leader = Some(transfer.to.clone());
            return Some(Rejection::NotLeader { leader });
        }
        let waiting = self.waiting.len();
        let full = waiting >= WAITING_LIMIT || self.waiting_bytes >= WAITING_BYTES;
        full.then_some(Rejection::TooMany { waiting })
    }

    /// Appends an entry as leader.
    fn append(&mut self, ticket: Option<u64>, payload: Payload) {
        let (index, term) = (self.log.last() + 1, self.term);
        if let Some(ticket) = ticket {
            let size = payload.size();
            self.waiting_bytes += size;
            self.waiting.insert(index, Waiting { ticket, size });
        }
        self.push(Entry { index, term, payload });
    }

    /// Adds an entry to the log; a membership is in force from here on, not from its commit.
    fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.configs.insert(entry.index, members.clone());
        }
        self.log.push(entry);
    }

    /// Performs what follows from the new state: commits, promotions, sends, appends to the disk.
    fn settle(&mut self, now: Moment) {
        if matches!(self.role, Role::Leader(_)) {
            self.advance_commit();
            self.promote(now);
            self.remove_silent(now);
            self.replicate_all(now);
            self.push_transfer();
        }
        self.flush(now);
        self.apply(now);
        self.answer_reads(now);
    }

    /// Hands entries to the storage. One append is outstanding at a time; entries that arrive
    /// meanwhile share the next sync.
    fn flush(&mut self, now: Moment) {
        if self.saving.is_some() || self.stored >= self.log.last() {
            return;
        }
        let entries = self.log.batch(self.stored + 1, self.batch, STORE_BYTES);
        self.stored += entries.len() as u64;
        let seq = self.store(Store::Append(entries));
        self.saving = Some(Saving { seq, upto: self.stored, since: now });
    }

    fn store(&mut self, store: Store) -> u64 {
        self.seq += 1;
        let seq = self.seq;
        self.out.push(Effect::Store { seq, store });
        seq
    }

    fn hold(&mut self, seq: u64, held: Held) {
        self.held.entry(seq).or_default().push(held);
    }

    fn synced(&mut self, now: Moment, upto: u64) {
        if self.failed.is_some() {
            return;
        }
        invariant!(upto <= self.seq, "synced {upto} of {}", self.seq);
        self.synced = self.synced.max(upto);
        if let Some(saving) = self.saving.take_if(|saving| saving.seq <= upto) {
            self.saved = self.saved.max(saving.upto);
            self.acknowledge();
        }
        let later = self.held.split_off(&(upto + 1));
        for held in std::mem::replace(&mut self.held, later).into_values().flatten() {
            match held {
                Held::Ballot { term, transfer } => self.request_votes(now, term, transfer),
                Held::Installed { index } => {
                    self.saved = self.saved.max(index);
                    self.acknowledge();
                },
                Held::Send { to, body } => self.out.push(Effect::Send { to, body }),
            }
        }
    }

    /// Gives up leadership and goes passive; a restart recovers what is durable.
    fn store_failed(&mut self, now: Moment, reason: String) {
        if self.failed.is_some() {
            return;
        }
        self.abdicate(now);
        self.held.clear();
        self.failed = Some(reason);
    }

    /// Gives up leadership and has the voter with the longest log start an election.
    fn abdicate(&mut self, now: Moment) {
        if let Role::Leader(lead) = &self.role {
            let voters = lead.progress.iter().filter(|(name, _)| self.votes(name));
            let best = voters.max_by_key(|(_, progress)| progress.matched);
            if let Some(name) = best.map(|(name, _)| name.clone()) {
                self.send(&name, Body::TimeoutNow);
            }
        }
        self.follow(now, None);
    }

    /// Hands committed and durable entries to the state machine.
    fn apply(&mut self, now: Moment) {
        while self.applied < self.commit.min(self.saved) {
            let index = self.applied + 1;
            let waiting = self.waiting.remove(&index);
            self.waiting_bytes -= waiting.as_ref().map_or(0, |w| w.size);
            let ticket = waiting.map(|w| w.ticket);
            let Some(entry) = self.log.get(index) else {
                invariant!(false, "entry {index} to apply is not in the log");
                return;
            };
            match entry.payload.clone() {
                Payload::Command(command) => {
                    self.out.push(Effect::Commit { index, ticket, command });
                },
                Payload::Members(members) => {
                    self.out.push(Effect::Members { index, ticket, members });
                },
                Payload::Noop => {},
            }
            self.applied = index;
        }
        // A leader that removed itself serves until that is committed.
        let leading = matches!(self.role, Role::Leader(_));
        if leading && self.applied >= self.members_at() && !self.members().is_voter(&self.me) {
            self.follow(now, None);
        }
    }

    /// Gives the state machine the snapshot's state and the membership in force there.
    fn hand_on_snapshot(&mut self) {
        let Snapshot { index, members, members_at, state, .. } = self.snapshot.as_ref().clone();
        self.out.push(Effect::Install { index, state });
        self.out.push(Effect::Members { index: members_at, ticket: None, members });
    }

    /// Reports a change of term or leader.
    fn announce(&mut self) {
        let leading = matches!(self.role, Role::Leader(_));
        let (term, leader) = (self.term, self.leader_name());
        let role = (term, leader.clone(), leading);
        if self.announced != role {
            self.announced = role;
            self.out.push(Effect::Role { term, leader, leading });
        }
    }

    /// The membership in force.
    pub(crate) fn members(&self) -> &Members {
        static NONE: Members = Members::none();
        self.configs.values().next_back().unwrap_or(&NONE)
    }

    /// Index of the entry that set the membership in force.
    fn members_at(&self) -> u64 {
        self.configs.keys().next_back().copied().unwrap_or(0)
    }

    /// Name and identity of this instance.
    pub(crate) fn me(&self) -> &Replica {
        &self.me
    }

    /// Whether this instance leads, and in which term.
    pub(crate) fn leading(&self) -> Option<u64> {
        matches!(self.role, Role::Leader(_)).then_some(self.term)
    }

    fn leader_name(&self) -> Option<Name> {
        self.leader.as_ref().map(|leader| leader.name.clone())
    }

    fn votes(&self, name: &Name) -> bool {
        self.members().get(name).is_some_and(|m| m.voter)
    }

    fn send(&mut self, to: &Name, body: Body) {
        let term = self.term;
        self.send_in(term, to, body);
    }

    fn send_in(&mut self, term: u64, to: &Name, body: Body) {
        let target = self.members().get(to).map_or(0, |m| m.identity);
        self.send_to(term, to, target, body);
    }

    fn send_to(&mut self, term: u64, to: &Name, target: u64, body: Body) {
        let body = self.envelope(term, target, body);
        let to = to.clone();
        self.out.push(Effect::Send { to, body });
    }

    fn envelope(&self, term: u64, target: u64, body: Body) -> PeerMessage {
        PeerMessage { from: self.me.clone(), target, term, members_at: self.members_at(), body }
    }

    /// Draws the next election timeout.
    fn postpone(&mut self, now: Moment) {
        let spread = ELECTION_MAX.as_micros() - ELECTION_MIN.as_micros();
        let extra = Span::micros(next_random(&mut self.random) % spread);
        self.deadline = now + ELECTION_MIN + extra;
    }
}

/// Next number of a seeded sequence (SplitMix64 of Steele, Lea and Flood, 2014).
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
