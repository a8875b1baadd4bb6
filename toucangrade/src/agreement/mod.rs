//! Replicated log of the control processes: leader-based consensus with pre-vote, check-quorum,
//! read leases, group commit and snapshots.
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
use self::snapshots::IncomingSnapshot;
use crate::core::{Moment, Name, Span, invariant};

pub(crate) use self::disk::Disk;
pub(crate) use self::driver::{Driver, EffectHandlers};
pub(crate) use self::membership::Members;
pub(crate) use self::message::{
    Body, Change, Effect, Entry, Message, Payload, PeerMessage, Rejection, Replica, Snapshot, Store,
};
pub use self::random_run::{RunReport, random_run, try_random_run};
pub(crate) use self::storage::Recovered;

/// Time between two heartbeats of a leader.
pub(crate) const HEARTBEAT: Span = Span::millis(100);
/// Shortest election timeout. An instance grants no vote within this time after contact with a
/// leader, unless the election belongs to a leadership transfer.
pub(crate) const ELECTION_MIN: Span = Span::millis(500);
/// Longest election timeout. A leader without contact to a quorum for this time steps down.
pub(crate) const ELECTION_MAX: Span = Span::millis(1_000);
/// Length of the read lease in percent of `ELECTION_MIN`; allows clock rates to differ by 5%.
const LEASE_PERCENT: u64 = 90;
/// Interval at which the duty checks its time-outs.
pub(crate) const TICK: Span = Span::millis(20);
/// Time after which unanswered appends and snapshot chunks are sent again.
const RESEND: Span = Span::millis(200);
/// Time without an answer of the storage after which a leader steps down, as it can't acknowledge
/// any proposal.
const STORE_TIMEOUT: Span = Span::secs(3);
/// Time from a storage failure to the first attempt to reopen the files. Each further failure
/// doubles it, up to `REOPEN_MAX`.
const REOPEN_MIN: Span = Span::millis(200);
const REOPEN_MAX: Span = Span::millis(1_000);
/// Greatest number of unanswered appends to one follower.
const WINDOW: usize = 4;
/// Greatest number of entries and bytes in one append message. A single entry may be larger.
const APPEND_ENTRIES: usize = 1_024;
const APPEND_BYTES: usize = 256 * 1024;
/// Greatest number of bytes of entries written with one sync. A single entry may be larger.
const STORE_BYTES: usize = 4 * 1024 * 1024;
/// Greatest size of a command in bytes.
const COMMAND_LIMIT: usize = 1024 * 1024;
/// Greatest number of pending proposals at the leader, and likewise of pending reads.
const WAITING_LIMIT: usize = 4_096;
/// Size of the pending proposals in bytes from which the leader refuses further ones.
const WAITING_BYTES: usize = 16 * 1024 * 1024;
/// Limits of the entries kept in memory after a snapshot, so that a follower that is slightly
/// behind needs no snapshot.
const KEPT_ENTRIES: u64 = 1_024;
const KEPT_BYTES: usize = 16 * 1024 * 1024;
/// Time without an answered heartbeat after which a voter is removed, if there are more voters than
/// `Settings::target_voters`.
const VOTER_SILENCE: Span = Span::secs(5);
/// Number of consecutive conflicts at an index that the member had acknowledged, after which a loss
/// is reported. Fewer may be delayed messages.
const LOSS_THRESHOLD: u32 = 5;

/// Start-up parameters of an instance.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name of this instance.
    pub(crate) name: Name,
    /// Names of the initial members. The lowest one creates the group once all others have answered
    /// that they belong to no group. Empty on an instance that is to join an existing group.
    pub(crate) founders: Vec<Name>,
    /// Seed of the election timeouts.
    pub(crate) seed: u64,
    /// Number of voters above which a silent voter is removed. With `None`, voters are only removed
    /// on request.
    pub(crate) target_voters: Option<usize>,
}

#[derive(Debug, Serialize)]
enum Role {
    Candidate { votes: BTreeSet<Name> },
    Follower,
    Leader(Box<LeaderState>),
    PreCandidate { votes: BTreeSet<Name> },
}

/// State of a leader, dropped when it steps down.
#[derive(Debug, Serialize)]
struct LeaderState {
    progress: BTreeMap<Name, Progress>,
    /// Log index of the membership that `progress` was built from.
    tracked: u64,
    reads: VecDeque<PendingRead>,
    transfer: Option<Transfer>,
    /// Whether a `TimeoutNow` was sent. The recipient may win an election at any later time, so the
    /// lease no longer holds.
    lease_void: bool,
    /// When heartbeats were last sent.
    #[serde(rename = "beat")]
    last_heartbeat: Moment,
    /// When the instance became leader.
    since: Moment,
}

/// A leadership transfer in progress.
#[derive(Debug, Serialize)]
struct Transfer {
    to: Name,
    /// When the transfer is abandoned.
    until: Moment,
    /// Whether `TimeoutNow` was sent.
    sent: bool,
}

/// A proposal that is neither committed nor rejected yet.
#[derive(Debug, Serialize)]
struct PendingProposal {
    ticket: u64,
    size: usize,
}

/// An append for which the storage has not reported `Synced`.
#[derive(Debug, Serialize)]
struct PendingAppend {
    seq: u64,
    /// Last index that becomes durable with this append.
    upto: u64,
    since: Moment,
}

/// A failure of the storage. Until the files are reopened, the instance is passive: it rejects
/// proposals and reads, drops peer messages and takes part in no quorum.
#[derive(Debug, Serialize)]
struct StorageFailure {
    reason: String,
    /// When the files are reopened, or `None` while that is in progress.
    retry_at: Option<Moment>,
    /// Wait before `retry_at`.
    wait: Span,
}

/// Action to perform once a `Store` effect is durable.
#[derive(Debug, Serialize)]
enum Deferred {
    /// Counts the own vote in this term and sends vote requests to the other voters.
    #[serde(rename = "Ballot")]
    OwnVote {
        term: u64,
        transfer: bool,
    },
    /// Acknowledges the log up to the snapshot at this index, which replaced it.
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
    /// Identities of the other founders that answered that they belong to no group.
    fresh: BTreeMap<Name, u64>,
    term: u64,
    vote: Option<Replica>,
    role: Role,
    leader: Option<Replica>,
    log: Log,
    /// Memberships by the index of their entry. The last one applies, committed or not.
    configs: BTreeMap<u64, Members>,
    #[serde(serialize_with = "snapshot_index")]
    snapshot: Arc<Snapshot>,
    incoming: Option<IncomingSnapshot>,
    /// Greatest index known to be committed.
    commit: u64,
    /// Greatest index handed to the state machine. Entries are handed over only once they are
    /// durable here.
    applied: u64,
    /// Index up to which the log is known to equal that of the leader of `term`.
    verified: u64,
    /// Index up to which the log is durable.
    #[serde(rename = "saved")]
    durable: u64,
    /// Index up to which the log was handed to the storage.
    #[serde(rename = "stored")]
    submitted: u64,
    #[serde(rename = "saving")]
    pending_append: Option<PendingAppend>,
    /// Sequence number of the last `Store` effect.
    seq: u64,
    /// Sequence number up to which `Store` effects are durable.
    #[serde(rename = "synced")]
    synced_seq: u64,
    /// Actions by the sequence number of the `Store` effect that they wait for.
    #[serde(rename = "held")]
    deferred: BTreeMap<u64, Vec<Deferred>>,
    /// Proposals by index.
    waiting: BTreeMap<u64, PendingProposal>,
    waiting_bytes: usize,
    /// Last contact with a leader. Initially the start of the process, as there may have been
    /// contact right before.
    contact: Moment,
    /// When an instance that doesn't lead starts a pre-vote.
    #[serde(rename = "deadline")]
    election_deadline: Moment,
    #[serde(rename = "hello")]
    next_hello: Moment,
    failed: Option<StorageFailure>,
    /// See `Settings::target_voters`.
    #[serde(rename = "voters")]
    target_voters: Option<usize>,
    /// Greatest number of entries written with one sync.
    #[serde(rename = "batch")]
    batch_limit: usize,
    /// State of the random number generator for election timeouts.
    random: u64,
    /// Term, leader and `leading` of the last `Role` effect.
    #[serde(rename = "announced")]
    last_role: (u64, Option<Name>, bool),
    /// Identity in the last `Report` effect about each name, so that none is repeated.
    reported: BTreeMap<Name, u64>,
    #[serde(skip)]
    out: Vec<Effect>,
}

fn snapshot_index<S: Serializer>(snapshot: &Snapshot, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(snapshot.index)
}

impl Agreement {
    /// Creates the state at start-up from the recovered data directory.
    pub(crate) fn new(settings: Settings, recovered: Recovered, now: Moment) -> Self {
        let mut agreement = Self::recover(settings, recovered, now);
        // The first step returns these effects.
        if agreement.snapshot.index > 0 {
            agreement.emit_snapshot();
        }
        agreement
    }

    fn recover(settings: Settings, recovered: Recovered, now: Moment) -> Self {
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
            durable: last,
            submitted: last,
            pending_append: None,
            seq: 0,
            synced_seq: 0,
            deferred: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            contact: now,
            election_deadline: now,
            next_hello: now,
            failed: None,
            target_voters: settings.target_voters,
            batch_limit: usize::MAX,
            random: settings.seed.wrapping_add(identity),
            last_role: (0, None, false),
            reported: BTreeMap::new(),
            out: Vec::new(),
        };
        agreement.reset_election_timer(now);
        agreement
    }

    /// Limits the number of entries written with one sync. 1 turns group commit off, for
    /// measurements.
    pub(crate) fn limit_batch(&mut self, entries: usize) {
        self.batch_limit = entries.max(1);
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Change { ticket, change } => self.change(ticket, &change),
            Message::Join(replica) => self.join(&replica),
            Message::Leave(replica) => self.leave(&replica),
            Message::Peer(message) => self.receive(now, message),
            Message::Propose { ticket, command } => self.propose(ticket, command),
            Message::Read { ticket } => self.read(now, ticket),
            Message::Reopened(recovered) => self.reopened(now, *recovered),
            Message::SnapshotTaken { index, state } => self.snapshot_taken(index, state),
            Message::StoreFailed { reason } => self.store_failed(now, reason),
            Message::Synced { upto } => self.synced(now, upto),
            Message::Tick => self.tick(now),
            Message::Transfer { to } => self.transfer(now, to),
        }
        if self.failed.is_none() {
            self.advance(now);
        }
        self.emit_role_change();
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Moment) {
        if let Some(failure) = &mut self.failed {
            if failure.retry_at.take_if(|at| *at <= now).is_some() {
                self.store(Store::Reopen);
            }
        } else if matches!(self.role, Role::Leader(_)) {
            self.leader_tick(now);
        } else if self.members().is_empty() {
            self.send_hellos(now);
        } else if now >= self.election_deadline && self.members().is_voter(&self.me) {
            self.start_pre_vote(now);
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

    /// The reason to reject proposals now, if there is one.
    fn refusal(&self) -> Option<Rejection> {
        if let Some(failure) = &self.failed {
            let reason = failure.reason.clone();
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
            self.waiting.insert(index, PendingProposal { ticket, size });
        }
        self.push(Entry { index, term, payload });
    }

    /// Adds an entry to the log. A membership applies as soon as it is in the log, before its
    /// commit.
    fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.configs.insert(entry.index, members.clone());
        }
        self.log.push(entry);
    }

    /// Does the work that the last message made possible: commits, membership changes, replication,
    /// writes to the storage and answers to reads.
    fn advance(&mut self, now: Moment) {
        if matches!(self.role, Role::Leader(_)) {
            self.advance_commit();
            self.promote(now);
            self.remove_silent(now);
            self.replicate_all(now);
            self.finish_transfer();
        }
        self.flush(now);
        self.apply(now);
        self.answer_reads(now);
    }

    /// Hands new entries to the storage. Only one append is outstanding at a time, and entries that
    /// arrive meanwhile share the next sync (group commit).
    fn flush(&mut self, now: Moment) {
        if self.pending_append.is_some() || self.submitted >= self.log.last() {
            return;
        }
        let entries = self.log.batch(self.submitted + 1, self.batch_limit, STORE_BYTES);
        self.submitted += entries.len() as u64;
        let seq = self.store(Store::Append(entries));
        self.pending_append = Some(PendingAppend { seq, upto: self.submitted, since: now });
    }

    fn store(&mut self, store: Store) -> u64 {
        self.seq += 1;
        let seq = self.seq;
        self.out.push(Effect::Store { seq, store });
        seq
    }

    fn defer(&mut self, seq: u64, deferred: Deferred) {
        self.deferred.entry(seq).or_default().push(deferred);
    }

    fn synced(&mut self, now: Moment, upto: u64) {
        if self.failed.is_some() {
            return;
        }
        invariant!(
            upto <= self.seq,
            "storage reported {upto} as durable, last sequence number is {}",
            self.seq
        );
        self.synced_seq = self.synced_seq.max(upto);
        if let Some(append) = self.pending_append.take_if(|append| append.seq <= upto) {
            self.durable = self.durable.max(append.upto);
            self.acknowledge();
        }
        let later = self.deferred.split_off(&(upto + 1));
        for deferred in std::mem::replace(&mut self.deferred, later).into_values().flatten() {
            match deferred {
                Deferred::OwnVote { term, transfer } => self.request_votes(now, term, transfer),
                Deferred::Installed { index } => {
                    self.durable = self.durable.max(index);
                    self.acknowledge();
                },
                Deferred::Send { to, body } => self.out.push(Effect::Send { to, body }),
            }
        }
    }

    /// Steps down and becomes passive until the files can be reopened.
    fn store_failed(&mut self, now: Moment, reason: String) {
        let wait = match &self.failed {
            Some(failure) => (failure.wait + failure.wait).min(REOPEN_MAX),
            None => {
                self.step_down(now);
                self.deferred.clear();
                REOPEN_MIN
            },
        };
        self.failed = Some(StorageFailure { reason, retry_at: Some(now + wait), wait });
    }

    /// Takes part again with the state that the files hold, as after a restart. Only the state
    /// machine keeps what it has applied.
    fn reopened(&mut self, now: Moment, recovered: Recovered) {
        if self.failed.is_none() {
            return;
        }
        let settings = Settings {
            name: self.me.name.clone(),
            founders: std::mem::take(&mut self.founders),
            seed: self.random,
            target_voters: self.target_voters,
        };
        let old = std::mem::replace(self, Self::recover(settings, recovered, now));
        invariant!(
            old.me == self.me && old.commit.min(old.durable) <= self.log.last(),
            "reopened files of {:?} end at entry {}, of {:?} up to {} were durable",
            self.me,
            self.log.last(),
            old.me,
            old.durable
        );
        // The snapshot in the files may be one that a leader sent right before the failure.
        if self.snapshot.index > old.applied {
            self.emit_snapshot();
        }
        self.applied = self.applied.max(old.applied);
        (self.seq, self.synced_seq) = (old.seq, old.seq);
        self.batch_limit = old.batch_limit;
        self.last_role = old.last_role;
        self.reported = old.reported;
        self.out.splice(..0, old.out);
    }

    /// Steps down and asks the voter with the longest log to start an election.
    fn step_down(&mut self, now: Moment) {
        if let Role::Leader(lead) = &self.role {
            let voters = lead.progress.iter().filter(|(name, _)| self.is_voter(name));
            let best = voters.max_by_key(|(_, progress)| progress.matched);
            if let Some(name) = best.map(|(name, _)| name.clone()) {
                self.send(&name, Body::TimeoutNow);
            }
        }
        self.become_follower(now, None);
    }

    /// Hands committed and durable entries to the state machine.
    fn apply(&mut self, now: Moment) {
        while self.applied < self.commit.min(self.durable) {
            let index = self.applied + 1;
            let waiting = self.waiting.remove(&index);
            self.waiting_bytes -= waiting.as_ref().map_or(0, |w| w.size);
            let ticket = waiting.map(|w| w.ticket);
            let Some(entry) = self.log.get(index) else {
                invariant!(false, "committed entry {index} to apply is not in the log");
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
        // A leader that removed itself keeps leading until its removal is committed.
        let leading = matches!(self.role, Role::Leader(_));
        if leading && self.applied >= self.members_at() && !self.members().is_voter(&self.me) {
            self.become_follower(now, None);
        }
    }

    /// Emits the effects that install the snapshot's state and membership.
    fn emit_snapshot(&mut self) {
        let Snapshot { index, members, members_at, state, .. } = self.snapshot.as_ref().clone();
        self.out.push(Effect::Install { index, state });
        self.out.push(Effect::Members { index: members_at, ticket: None, members });
    }

    /// Emits a `Role` effect if term or leader changed.
    fn emit_role_change(&mut self) {
        let leading = matches!(self.role, Role::Leader(_));
        let (term, leader) = (self.term, self.leader_name());
        let role = (term, leader.clone(), leading);
        if self.last_role != role {
            self.last_role = role;
            self.out.push(Effect::Role { term, leader, leading });
        }
    }

    /// The current membership: the last one in the log, committed or not.
    pub(crate) fn members(&self) -> &Members {
        static NONE: Members = Members::none();
        self.configs.values().next_back().unwrap_or(&NONE)
    }

    /// Index of the entry that set the current membership.
    fn members_at(&self) -> u64 {
        self.configs.keys().next_back().copied().unwrap_or(0)
    }

    /// Name and identity of this instance.
    pub(crate) fn me(&self) -> &Replica {
        &self.me
    }

    /// The current term if this instance leads.
    pub(crate) fn leading(&self) -> Option<u64> {
        matches!(self.role, Role::Leader(_)).then_some(self.term)
    }

    fn leader_name(&self) -> Option<Name> {
        self.leader.as_ref().map(|leader| leader.name.clone())
    }

    fn is_voter(&self, name: &Name) -> bool {
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

    /// Restarts the election timer with a random timeout.
    fn reset_election_timer(&mut self, now: Moment) {
        let spread = ELECTION_MAX.as_micros() - ELECTION_MIN.as_micros();
        let extra = Span::micros(next_random(&mut self.random) % spread);
        self.election_deadline = now + ELECTION_MIN + extra;
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
