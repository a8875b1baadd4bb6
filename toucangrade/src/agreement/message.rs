//! Messages and effects of the replicated log.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::membership::Members;
use super::storage::Recovered;
use crate::core::{Moment, Name, Verdict};

/// Greatest accepted term or index. Both grow in steps of one, so no real group reaches it.
const COUNT_LIMIT: u64 = 1 << 62;
/// Reason to drop an answer to a message that the recipient can't have sent.
const NOT_SENT: &str = "it answers a message that was not sent";

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Payload {
    /// A command for the state machine.
    Command(Bytes),
    /// The membership that applies from this entry on.
    Members(Members),
    /// Empty entry that a new leader appends in order to commit the entries of earlier terms.
    Noop,
}

impl Payload {
    /// Approximate encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Command(command) => command.len() + 16,
            Self::Members(members) => 16 + 32 * members.len(),
            Self::Noop => 16,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Entry {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) payload: Payload,
}

/// State of the state machine after the entry at `index`, with the membership at that index.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Snapshot {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) members: Members,
    /// Log index of the entry that set `members`.
    pub(crate) members_at: u64,
    pub(crate) state: Bytes,
}

/// An instance together with the identity number of its data directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Replica {
    pub(crate) name: Name,
    pub(crate) identity: u64,
}

/// A change of the membership; one is in progress at a time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Change {
    /// Adds a learner, which becomes a voter once it has caught up.
    Add(Replica),
    /// Removes a learner or a voter.
    Remove(Name),
}

/// Input of [`Agreement::step`](super::Agreement::step).
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Proposes a change of the membership.
    Change { ticket: u64, change: Change },
    /// An instance asks to become a member, or to replace the member that had its name before.
    Join(Replica),
    /// An instance announces that it stops.
    Leave(Replica),
    /// A message from another instance.
    Peer(PeerMessage),
    /// Proposes a command.
    Propose { ticket: u64, command: Bytes },
    /// Requests a linearizable read, answered by `ReadReady` or `Reject`.
    Read { ticket: u64 },
    /// The storage takes writes again after a failure. Everything recovered from it is durable.
    Reopened(Box<Recovered>),
    /// Encoded state of the state machine after the command at `index`.
    SnapshotTaken { index: u64, state: Bytes },
    /// The storage failed; nothing after the last `Synced` is durable. Further `Store` effects are
    /// dropped until a `Reopen`.
    StoreFailed { reason: String },
    /// All `Store` effects up to this sequence number are durable.
    Synced { upto: u64 },
    /// Checks the time-outs; sent at each `TICK`.
    Tick,
    /// Transfers leadership to `to`, or to the voter that confirmed a heartbeat most recently.
    Transfer { to: Option<Name> },
}

/// Message between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PeerMessage {
    pub(crate) from: Replica,
    /// Identity of the recipient; 0 in `Hello`, as its sender does not know the identity.
    pub(crate) target: u64,
    pub(crate) term: u64,
    /// Index of the latest membership in the sender's log.
    pub(crate) members_at: u64,
    pub(crate) body: Body,
}

/// Content of a message between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Body {
    /// Entries that follow `prev_index`, and the leader's commit index.
    Append { prev_index: u64, prev_term: u64, commit: u64, entries: Vec<Entry> },
    /// The follower's log is durable and equal to the leader's up to `matched`.
    Appended { matched: u64 },
    /// Part of a snapshot, starting at byte `offset` of its state of `total` bytes.
    Chunk {
        /// The snapshot with only this chunk as its state.
        part: Snapshot,
        offset: u64,
        total: u64,
    },
    /// The follower has received the snapshot at `index` up to byte `offset`.
    ChunkReply { index: u64, offset: u64 },
    /// The follower's log has no entry equal to the leader's at `prev_index`. The leader tries
    /// again with `hint` as the next index.
    Conflict { prev_index: u64, hint: u64 },
    /// Heartbeat of the leader. `sent` is the leader's clock in microseconds and is echoed
    /// unchanged.
    Heartbeat { commit: u64, sent: u64 },
    /// Answer to a heartbeat. The follower's log is durable and equal to the leader's up to
    /// `matched`.
    HeartbeatReply { matched: u64, sent: u64 },
    /// Sent to the founders by an instance that belongs to no group yet.
    Hello,
    /// Answer to `Hello`: whether the sender of the answer belongs to no group either.
    HelloReply { fresh: bool },
    /// Asks the recipient to start an election at once.
    TimeoutNow,
    /// Asks for a vote, or in a pre-vote whether it would be granted.
    Vote {
        last_index: u64,
        last_term: u64,
        /// Whether this is a pre-vote, in which neither side changes its term.
        pre: bool,
        /// Whether the leader gave up its lease for this election.
        transfer: bool,
    },
    /// Answer to `Vote`.
    VoteReply { pre: bool, granted: bool },
}

impl PeerMessage {
    /// The reason why no correct instance of the group can have sent this message, if there is one.
    ///
    /// `bounds` holds the clock and the last log index of the recipient if it leads in the term of
    /// the message. Only then can an answer be compared with what was sent.
    pub(super) fn invalid_reason(&self, bounds: Option<(Moment, u64)>) -> Option<&'static str> {
        let beyond = |index: u64| bounds.is_some_and(|(_, last)| index > last);
        if self.term > COUNT_LIMIT || self.members_at > COUNT_LIMIT {
            return Some("its term or membership index is out of range");
        }
        match &self.body {
            Body::Append { prev_index, prev_term, entries, .. } => {
                let mut before = (*prev_index, *prev_term);
                let follows = |entry: &Entry| {
                    let (index, term) = std::mem::replace(&mut before, (entry.index, entry.term));
                    index < COUNT_LIMIT
                        && entry.index == index + 1
                        && (term..=self.term).contains(&entry.term)
                };
                let valid = *prev_index <= COUNT_LIMIT && entries.iter().all(follows);
                (!valid).then_some("its entries have a gap or terms out of order")
            },
            Body::Appended { matched } => beyond(*matched).then_some(NOT_SENT),
            Body::Chunk { part, offset, total } => {
                let end = offset.checked_add(part.state.len() as u64);
                let valid = part.index <= COUNT_LIMIT
                    && part.members_at <= part.index
                    && part.term <= self.term
                    && !part.members.is_empty()
                    && end.is_some_and(|end| end <= *total);
                (!valid).then_some("it is not a valid part of a snapshot")
            },
            Body::ChunkReply { index, .. } => beyond(*index).then_some(NOT_SENT),
            Body::Conflict { prev_index, .. } => beyond(*prev_index).then_some(NOT_SENT),
            Body::HeartbeatReply { matched, sent } => {
                let ahead = bounds.is_some_and(|(now, _)| Moment::micros(*sent) > now);
                (ahead || beyond(*matched)).then_some(NOT_SENT)
            },
            Body::Heartbeat { .. }
            | Body::Hello
            | Body::HelloReply { .. }
            | Body::TimeoutNow
            | Body::Vote { .. }
            | Body::VoteReply { .. } => None,
        }
    }
}

/// Change that the storage makes durable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Store {
    /// Appends entries. Existing ones from the index of the first one on are replaced.
    Append(Vec<Entry>),
    /// Reads the files anew after a failure, without what was written since the last sync; answered
    /// by `Reopened` or `StoreFailed`.
    Reopen,
    /// Replaces the snapshot. With `reset` the whole log is discarded.
    Snapshot { snapshot: Arc<Snapshot>, reset: bool },
    /// Records the term and the vote given in it.
    Vote { term: u64, vote: Option<Replica> },
}

/// A condition that is logged for operators.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum Report {
    /// A message came from a member's name with another identity than the recorded one.
    #[error(
        "refused a message of {name} with identity {found:016x}, recorded is {recorded:016x}; \
         remove and add the member if its disk was lost"
    )]
    Identity { name: Name, found: u64, recorded: u64 },
    /// A member no longer has entries that it acknowledged.
    #[error("{name} lost entries up to {index} that it had acknowledged; remove and add it")]
    Loss { name: Name, index: u64 },
    /// A message was addressed to this instance's name, but to another identity.
    #[error(
        "{name} addresses this instance as identity {found:016x}; if its disk was lost, it has to \
         be removed and added again"
    )]
    Target { name: Name, found: u64 },
    /// A message that no correct instance of the group can have sent.
    #[error("refused a message of {name}: {reason}")]
    InvalidMessage { name: Name, reason: &'static str },
}

/// Why a proposal, a read or a change was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum Rejection {
    /// The membership change is not allowed now.
    #[error("membership change refused: {0}")]
    Change(&'static str),
    /// Leadership was lost before the outcome was known.
    #[error("leadership was lost before the outcome was known")]
    LostLeadership,
    /// This instance does not lead, or is handing over leadership.
    #[error("not the leader{}", leader.as_ref().map(|name| format!(", try {name}")).unwrap_or_default())]
    NotLeader { leader: Option<Name> },
    /// The storage failed.
    #[error("storage failed: {reason}")]
    Storage { reason: String },
    /// The command exceeds the size limit.
    #[error("command has {size} bytes, allowed are {limit}")]
    TooLarge { size: usize, limit: usize },
    /// Too many proposals or reads are pending.
    #[error("{waiting} proposals or reads wait already")]
    TooMany { waiting: usize },
}

impl Rejection {
    /// Whether the command may still be committed.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::LostLeadership => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Output of [`Agreement::step`](super::Agreement::step), to be performed in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Applies a committed command to the state machine. `ticket` is set only on the leader that
    /// the command was proposed to.
    Commit { index: u64, ticket: Option<u64>, command: Bytes },
    /// Replaces the state of the state machine. An empty state is the initial one.
    Install { index: u64, state: Bytes },
    /// A membership was committed, or installed with a snapshot.
    Members { index: u64, ticket: Option<u64>, members: Members },
    /// The read may be answered. All commands up to `index` were emitted before.
    ReadReady { ticket: u64, index: u64 },
    /// The proposal, read or change was refused.
    Reject { ticket: u64, reason: Rejection },
    /// Logs a condition for operators.
    Report(Report),
    /// Term or leader changed. `leading` is set if this instance leads.
    Role { term: u64, leader: Option<Name>, leading: bool },
    /// Sends a message to another instance.
    Send { to: Name, body: PeerMessage },
    /// Makes a change durable; answered by `Synced` or `StoreFailed`, or as `Store::Reopen` says.
    Store { seq: u64, store: Store },
}
