//! Messages and effects of the replicated log.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::membership::Members;
use crate::core::{Moment, Name, Verdict};

/// Greatest term or index. Both rise by one, so that no group comes near it.
const COUNT_LIMIT: u64 = 1 << 62;
/// Flaw of an answer to what the recipient can't have sent.
const BEYOND: &str = "it answers something that was not sent";

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Payload {
    /// A command for the state machine.
    Command(Bytes),
    /// The membership from this entry on.
    Members(Members),
    /// Entry with which a new leader commits those of earlier terms.
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

/// State of the state machine after the entry at `index`, with the membership then in force.
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

/// Input of the decision code.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Proposes a change of the membership.
    Change { ticket: u64, change: Change },
    /// An instance asks to become a member, or to replace what had its name before.
    Join(Replica),
    /// A message of another instance.
    Peer(PeerMessage),
    /// Proposes a command.
    Propose { ticket: u64, command: Bytes },
    /// Asks for the index from which on a read is linearizable.
    Read { ticket: u64 },
    /// The state machine's state after the command at `index`.
    SnapshotTaken { index: u64, state: Bytes },
    /// The storage failed; nothing after the last `Synced` is durable.
    StoreFailed { reason: String },
    /// All `Store` effects up to this sequence number are durable.
    Synced { upto: u64 },
    /// Lets time-outs take effect.
    Tick,
    /// Hands leadership to `to`, or to the voter with the longest log.
    Transfer { to: Option<Name> },
}

/// Message between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PeerMessage {
    pub(crate) from: Replica,
    /// Identity of the recipient; 0 in `Hello`, whose sender does not know it.
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
    /// The log is durable and equal to the leader's up to `matched`.
    Appended { matched: u64 },
    /// Part of a snapshot, starting at byte `offset` of its state.
    Chunk {
        /// The snapshot with `data` in place of its whole state.
        part: Snapshot,
        offset: u64,
        total: u64,
    },
    /// The snapshot at `index` is received up to byte `offset`.
    ChunkReply { index: u64, offset: u64 },
    /// The log has no entry equal to the leader's at `prev_index`; it may match before `hint`.
    Conflict { prev_index: u64, hint: u64 },
    /// Confirms leadership; `sent` is the leader's clock and is echoed unchanged.
    Heartbeat { commit: u64, sent: u64 },
    /// Echo of a heartbeat; the durable log matches the leader's up to `matched`.
    HeartbeatReply { matched: u64, sent: u64 },
    /// Announces an instance that belongs to no group yet.
    Hello,
    /// Answer to `Hello`: whether the sender belongs to no group either.
    HelloReply { fresh: bool },
    /// The recipient is to start an election at once.
    TimeoutNow,
    /// Asks for a vote, or whether it would be granted.
    Vote {
        last_index: u64,
        last_term: u64,
        /// Asks only; neither side changes its term.
        pre: bool,
        /// The leader gave up its lease for this election.
        transfer: bool,
    },
    /// Answer to `Vote`.
    VoteReply { pre: bool, granted: bool },
}

impl PeerMessage {
    /// What shows that no instance of the group sent this, if anything does.
    ///
    /// `asked` holds the clock and the last index of a recipient that leads in the term of the
    /// message; only then can answers be compared with what was sent.
    pub(super) fn flaw(&self, asked: Option<(Moment, u64)>) -> Option<&'static str> {
        let beyond = |index: u64| asked.is_some_and(|(_, last)| index > last);
        if self.term > COUNT_LIMIT || self.members_at > COUNT_LIMIT {
            return Some("its term or membership is out of range");
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
                let sound = *prev_index <= COUNT_LIMIT && entries.iter().all(follows);
                (!sound).then_some("its entries don't follow each other")
            },
            Body::Appended { matched } => beyond(*matched).then_some(BEYOND),
            Body::Chunk { part, offset, total } => {
                let end = offset.checked_add(part.state.len() as u64);
                let sound = part.index <= COUNT_LIMIT
                    && part.members_at <= part.index
                    && part.term <= self.term
                    && !part.members.is_empty()
                    && end.is_some_and(|end| end <= *total);
                (!sound).then_some("it is no part of a snapshot")
            },
            Body::ChunkReply { index, .. } => beyond(*index).then_some(BEYOND),
            Body::Conflict { prev_index, .. } => beyond(*prev_index).then_some(BEYOND),
            Body::HeartbeatReply { matched, sent } => {
                let ahead = asked.is_some_and(|(now, _)| Moment::micros(*sent) > now);
                (ahead || beyond(*matched)).then_some(BEYOND)
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

/// Work for the storage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Store {
    /// Appends entries; those at and after the first one's index are replaced.
    Append(Vec<Entry>),
    /// Replaces the snapshot; `reset` discards the whole log.
    Snapshot { snapshot: Arc<Snapshot>, reset: bool },
    /// Records the term and the vote given in it.
    Vote { term: u64, vote: Option<Replica> },
}

/// A condition that an operator has to know.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum Report {
    /// A member's name is used with an identity that is not the recorded one.
    #[error(
        "refused a message of {name} with identity {found:016x}, recorded is {recorded:016x}; \
         remove and add the member if its disk was lost"
    )]
    Identity { name: Name, found: u64, recorded: u64 },
    /// A member does not hold entries that it acknowledged.
    #[error("{name} lost entries up to {index} that it had acknowledged; remove and add it")]
    Loss { name: Name, index: u64 },
    /// Another instance addresses this one under an identity that it does not have.
    #[error(
        "{name} addresses this instance as identity {found:016x}; if its disk was lost, it has to \
         be removed and added again"
    )]
    Target { name: Name, found: u64 },
    /// A message can't be one of the group.
    #[error("refused a message of {name}: {flaw}")]
    Unsound { name: Name, flaw: &'static str },
}

/// Why a proposal, a read or a change was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum Rejection {
    /// The change of the membership is not allowed now.
    #[error("membership change refused: {0}")]
    Change(&'static str),
    /// Leadership was lost before the outcome was known.
    #[error("leadership was lost before the outcome was known")]
    LostLeadership,
    /// Another instance leads, if one is known.
    #[error("not the leader{}", leader.as_ref().map(|name| format!(", try {name}")).unwrap_or_default())]
    NotLeader { leader: Option<Name> },
    /// The storage failed.
    #[error("storage failed: {reason}")]
    Storage { reason: String },
    /// The command exceeds the size limit.
    #[error("command has {size} bytes, allowed are {limit}")]
    TooLarge { size: usize, limit: usize },
    /// Too many proposals or reads wait.
    #[error("{waiting} proposals or reads wait already")]
    TooMany { waiting: usize },
}

impl Rejection {
    /// Whether the command may take effect nevertheless.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::LostLeadership => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Output of the decision code, to be performed in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Hands a command to the state machine; `ticket` is set where it was proposed.
    Commit { index: u64, ticket: Option<u64>, command: Bytes },
    /// Replaces the state of the state machine; an empty state is the initial one.
    Install { index: u64, state: Bytes },
    /// A membership is committed, or came with a snapshot.
    Members { index: u64, ticket: Option<u64>, members: Members },
    /// The read may be answered; everything up to `index` was handed on before.
    ReadReady { ticket: u64, index: u64 },
    /// The proposal, read or change was refused.
    Reject { ticket: u64, reason: Rejection },
    /// To be logged for operators.
    Report(Report),
    /// Term or leader changed.
    Role { term: u64, leader: Option<Name>, leading: bool },
    /// Sends a message to another instance.
    Send { to: Name, body: PeerMessage },
    /// Has the storage make something durable; answered by `Synced`.
    Store { seq: u64, store: Store },
}
