//! Messages of the admission duty.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claims::Resume;
use crate::core::{Answer, Checkpoint, Class, Key, Moment, Name, Span};
use crate::http::CallError;
use crate::membership::Offer;

/// An entry's request to start an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Start {
    pub(crate) key: Key,
    pub(crate) fence: u64,
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) class: Class,
    /// Partition of the key, and the epoch under which its owner starts the attempt.
    pub(crate) partition: u32,
    pub(crate) epoch: u64,
    /// Incarnation of the agent that the entry chose.
    pub(crate) incarnation: u64,
    /// Moment on the agent's clock after which the attempt must not start.
    pub(crate) start_by: Moment,
    /// Maximum run time of the execution.
    pub(crate) lease: Span,
    /// Checkpoint to resume from, if an earlier attempt was evicted.
    pub(crate) resume: Option<Resume>,
    pub(crate) body: Bytes,
}

/// State or outcome of an attempt, as known to the agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Report {
    /// The execution ended with this answer.
    Ended(Answer),
    /// The runner stopped the execution and saved its state under this checkpoint.
    Evicted { checkpoint: Checkpoint },
    /// The agent was restarted since and has no record of the attempt.
    Forgotten,
    /// The execution ended or was stopped; its answer is lost.
    Lost { reason: String },
    /// The attempt did not start and will not.
    Refused { code: String, reason: String, after: Option<Span> },
    /// The attempt runs or waits for a slot.
    Running,
}

/// Query for the outcome of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct AttemptQuery {
    pub(crate) key: Key,
    pub(crate) fence: u64,
    /// Incarnation of the agent that the attempt was sent to.
    pub(crate) incarnation: u64,
    /// Start-by time of the attempt on the agent's clock.
    pub(crate) start_by: Moment,
}

/// Reply to a start or a query, with the agent's clock and load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AgentReply {
    pub(crate) report: Report,
    pub(crate) incarnation: u64,
    pub(crate) clock: Moment,
    /// Connections in use and slots, summed over the runners.
    pub(crate) used: u32,
    pub(crate) slots: u32,
}

/// Periodic announcement of a runner to its agent.
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
    /// Number of running executions, including those started by an earlier incarnation of the
    /// agent.
    #[serde(default)]
    pub(crate) busy: u32,
    /// Kinds whose executions the runner can checkpoint and stop.
    #[serde(default)]
    pub(crate) checkpoints: Vec<Name>,
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// A runner announced itself.
    Announce { ticket: u64, announce: Announce },
    /// New work may be taken until this moment.
    LeaseExtended { until: Moment },
    /// The agent is leaving.
    Drain,
    /// The runner answered a request to execute, or the call failed.
    Ended { key: Key, fence: u64, result: Result<RunnerAnswer, CallError> },
    /// Result of a request to evict an execution.
    EvictReplied { key: Key, fence: u64, halt: EvictReply },
    /// An entry queries the outcome of an attempt, or only the clock and load.
    Query { ticket: u64, about: Option<AttemptQuery> },
    /// An entry requests the start of an attempt.
    Start { ticket: u64, start: Start },
    /// Result of a request to stop an execution.
    Stopped { key: Key, fence: u64, confirmed: bool },
    /// Time passed.
    Tick,
}

/// Answer of a runner to a request to execute.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RunnerAnswer {
    pub(crate) answer: Answer,
    /// The runner reports that it did not run the request.
    pub(crate) declined: bool,
}

/// Result of a request to evict an execution.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EvictReply {
    /// The runner stopped the execution and synced this checkpoint.
    Checkpointed(Checkpoint),
    /// The runner did not stop the execution.
    Refused,
    /// The runner stopped the execution without a checkpoint, or is gone.
    Stopped,
    /// No answer came, so the execution may or may not be stopped.
    Unknown,
}

/// Effect returned by a step.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Replies to a runner's announcement.
    Announced { ticket: u64, error: Option<String> },
    /// Requests that a runner checkpoints and stops an execution.
    Evict { addr: SocketAddr, key: Key, fence: u64, kind: Name },
    /// Updates the runners' offers in the membership duty.
    Offers(Vec<Offer>),
    /// Replies to a start or a query.
    Reply { ticket: u64, reported: AgentReply },
    /// Starts an execution at a runner.
    Run {
        addr: SocketAddr,
        key: Key,
        fence: u64,
        kind: Name,
        class: Class,
        lease: Span,
        /// Checkpoint that the execution resumes from.
        checkpoint: Option<Checkpoint>,
        body: Bytes,
    },
    /// Requests that a runner stops an execution.
    Stop { addr: SocketAddr, key: Key, fence: u64, kind: Name },
}
