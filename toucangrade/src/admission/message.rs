//! Messages of the admission duty.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claims::Resume;
use crate::core::{Answer, Checkpoint, Class, Key, Moment, Name, Span};
use crate::http::CallError;
use crate::membership::Offer;

/// Start of an attempt, as an entry asks for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Start {
    pub(crate) key: Key,
    pub(crate) fence: u64,
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) class: Class,
    /// Partition of the key and the epoch under which its owner dispatches.
    pub(crate) partition: u32,
    pub(crate) epoch: u64,
    /// Incarnation of the agent that the attempt is meant for.
    pub(crate) incarnation: u64,
    /// Moment on the agent's clock after which the attempt must not start.
    pub(crate) start_by: Moment,
    /// Time after the start when the execution has to end.
    pub(crate) lease: Span,
    /// Where the execution goes on, when an earlier attempt was evicted.
    pub(crate) resume: Option<Resume>,
    pub(crate) body: Bytes,
}

/// How an attempt ended, as the agent knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Report {
    /// The execution ended with this answer.
    Ended(Answer),
    /// The runner stopped the execution and keeps it under this checkpoint.
    Evicted { checkpoint: Checkpoint },
    /// The agent was restarted since, so it knows nothing about the attempt.
    Forgotten,
    /// The execution ended or was stopped, but its answer is not known.
    Lost { reason: String },
    /// The attempt did not start and will not.
    Refused { code: String, reason: String, after: Option<Span> },
    /// The attempt runs or waits for a slot.
    Running,
}

/// Question for the outcome of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Question {
    pub(crate) key: Key,
    pub(crate) fence: u64,
    /// Incarnation of the agent that the attempt was handed to.
    pub(crate) incarnation: u64,
    /// Start-by time of the attempt on the agent's clock.
    pub(crate) start_by: Moment,
}

/// Reply to a start or a query, with the agent's clock and load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reported {
    pub(crate) report: Report,
    pub(crate) incarnation: u64,
    pub(crate) clock: Moment,
    pub(crate) used: u32,
    pub(crate) slots: u32,
}

/// Announcement of a runner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announce {
    pub(crate) service: Name,
    pub(crate) kinds: Vec<Name>,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Address that the runner listens on.
    pub(crate) addr: SocketAddr,
    /// The runner is leaving and takes no new work.
    #[serde(default)]
    pub(crate) leaving: bool,
    /// Executions under way at the runner, whoever started them.
    #[serde(default)]
    pub(crate) busy: u32,
    /// Kinds whose executions the runner can stop with a checkpoint.
    #[serde(default)]
    pub(crate) checkpoints: Vec<Name>,
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// A runner announced itself.
    Announce { ticket: u64, announce: Announce },
    /// New work may be taken until this moment.
    Confirmed { until: Moment },
    /// The agent is leaving.
    Drain,
    /// The runner's answer to an execution came, or did not.
    Ended { key: Key, fence: u64, result: Result<Outcome, CallError> },
    /// The runner answered the request to evict an execution, or did not.
    Evicted { key: Key, fence: u64, halt: Halt },
    /// An entry asks for the outcome of an attempt, or only for clock and load.
    Query { ticket: u64, about: Option<Question> },
    /// An entry asks to start an attempt.
    Start { ticket: u64, start: Start },
    /// The runner confirmed that it stopped an execution, or did not.
    Stopped { key: Key, fence: u64, confirmed: bool },
    /// Time passed.
    Tick,
}

/// What a runner answered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) answer: Answer,
    /// The runner says itself that it did not run the request.
    pub(crate) declined: bool,
}

/// What a runner answered to the request to evict an execution.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Halt {
    /// It stopped the execution and synced this checkpoint.
    Checkpointed(Checkpoint),
    /// It did not stop the execution.
    Refused,
    /// It stopped the execution without a checkpoint, or is gone.
    Stopped,
    /// No answer came, so the execution may be stopped or not.
    Unknown,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Replies to a runner's announcement.
    Announced { ticket: u64, error: Option<String> },
    /// Asks a runner to stop an execution with a checkpoint.
    Evict { addr: SocketAddr, key: Key, fence: u64, kind: Name },
    /// Tells the membership duty what the runners offer.
    Offers(Vec<Offer>),
    /// Replies to a start or a query.
    Reply { ticket: u64, reported: Reported },
    /// Starts an execution at a runner.
    Run {
        addr: SocketAddr,
        key: Key,
        fence: u64,
        kind: Name,
        class: Class,
        lease: Span,
        /// Checkpoint that the execution goes on from.
        checkpoint: Option<Checkpoint>,
        body: Bytes,
    },
    /// Tells a runner to stop an execution.
    Stop { addr: SocketAddr, key: Key, fence: u64, kind: Name },
}
