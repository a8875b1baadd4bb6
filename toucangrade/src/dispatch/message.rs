//! Messages and effects of dispatch, and the types that agents and the control leader exchange.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::evacuation::EvacuationVerb;
use crate::jobs::{
    Checkpoint, Command, Configuration, End, Incarnation, JobTable, Need, RunKey, Schedule, Step,
};
use crate::pressure::Table;

/// Request of a caller or operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientRequest {
    /// Host part of the queue's address.
    pub host: Arc<str>,
    /// Path of the queue, followed by the job's name for requests on one job.
    pub path: Arc<str>,
    /// Job named by the path.
    pub job: Option<u64>,
    /// Requested operation.
    pub verb: Verb,
}

/// Operation of a [`ClientRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verb {
    /// Cancel a job.
    Cancel,
    /// Replace the configuration if this one is newer.
    Configure(Arc<Configuration>),
    /// Evacuate a data centre, so that nothing is started there, or take that back.
    Evacuate {
        /// Name of the data centre.
        centre: Arc<str>,
        /// What is asked.
        verb: EvacuationVerb,
        /// Name or address of the requester, empty if unknown.
        by: Arc<str>,
    },
    /// Read the newest configuration.
    ReadSetup,
    /// Read the state of a job, or the number of jobs of a queue that have not begun.
    Show,
    /// Submit a job.
    Submit {
        /// Opaque text for the runners.
        spec: Arc<str>,
        /// Steps in order; a step may depend on earlier ones.
        steps: Vec<Step>,
        /// When the job repeats.
        schedule: Option<Schedule>,
    },
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// It was cancelled.
    Cancelled,
    /// All its tasks are done.
    Completed,
    /// One of its tasks has failed as often as its queue allows.
    Failed,
    /// No runner is known to have started a task.
    Queued,
    /// A runner has started a task.
    Running,
}

/// Answer to a [`ClientRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClientReply {
    /// The job is stored.
    Accepted,
    /// The request is malformed; the text says why.
    Bad(String),
    /// The job is cancelled.
    Cancelled,
    /// The configuration is stored.
    Configured,
    /// The order for the data centre is stored.
    Evacuating,
    /// No such job exists.
    Gone,
    /// Number of jobs of the queue that have not begun.
    Pending(u64),
    /// No such queue exists.
    NoQueue,
    /// The job was not accepted and never runs; the caller may retry later.
    Refused {
        /// Reason for the refusal.
        reason: Arc<str>,
        /// Time to wait before a retry.
        after: Span,
    },
    /// The newest configuration.
    Setup(Bytes),
    /// The job's state.
    State(JobState),
    /// It is not known whether the request took effect.
    Unknown,
}

/// A runner, as its agent reports it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Runner {
    /// Name and start time of the runner.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Data centre.
    pub centre: Arc<str>,
    /// Labels: the kind of instance, then the rack, then any others.
    pub labels: Vec<Arc<str>>,
    /// Total room for tasks.
    pub capacity: Need,
    /// Whether it will shut down soon and gets no new tasks.
    pub draining: bool,
    /// The runner's clock in ms, read before the report was sent.
    pub clock: u64,
    /// Time for which it will still be cold. Earlier versions refuse a report with a field more, so it
    /// is left out for warm runners.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold: Span,
}

fn is_zero(span: &Span) -> bool {
    *span == Span::ZERO
}

/// A run that a runner lists as running.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunStatus {
    /// The run.
    pub key: RunKey,
    /// Its newest checkpoint.
    pub saved: Option<Checkpoint>,
    /// Progress in percent; a lasting task is up at 100.
    pub percent: u8,
    /// Tail latency in ms of a task with a latency target, else millicores in use.
    pub figure: u32,
    /// Share of its full speed that the agent allows it, in percent.
    pub share: u8,
}

/// A run that a runner lists as ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedRun {
    /// Sequence number in the runner's list of ends, from 1.
    pub number: u64,
    /// The run.
    pub key: RunKey,
    /// How it ended.
    pub end: End,
    /// Its newest checkpoint.
    pub saved: Option<Checkpoint>,
}

/// Why a runner did not start a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Denial {
    /// The start timed out, and the runner has confirmed that it will not start the run.
    Silent,
    /// The runner has seen a newer fencing token.
    Fenced,
    /// The lease had expired when the order arrived.
    Late,
    /// The run was stopped or has ended before.
    Old,
    /// The runner has no room for it.
    Room,
    /// The run was stopped before it began.
    Stopped,
    /// The runner can't start any run at present.
    Unhealthy,
    /// The runner could not parse the order.
    Unreadable,
}

/// What an agent can't rule out about its runner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Doubts {
    /// Whether the runner may have ends that the report lacks.
    pub partial: bool,
    /// Time since this agent fenced the runner's incarnation, in its first 30 s, in which calls to an
    /// earlier one may have given it a lease that has not ended.
    pub fenced: Option<Span>,
    /// Runs of which a copy of the start may still be carried out, at the next incarnation too, and
    /// the time until that is ruled out.
    pub starts: Vec<(RunKey, Span)>,
}

impl Doubts {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Periodic report of an agent to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The agent.
    pub agent: Name,
    /// Start time of the agent's process in ms since 1970.
    pub incarnation: u64,
    /// Number of the report, rising within an incarnation.
    pub seq: u64,
    /// The runner on the agent's instance, once the agent knows it.
    pub runner: Option<Runner>,
    /// Runs that the runner lists as running.
    pub rows: Vec<RunStatus>,
    /// Runs that are being started.
    pub handling: Vec<RunKey>,
    /// Runs that are being stopped.
    pub stopping: Vec<RunKey>,
    /// Ended runs that the runner still lists.
    pub ended: Vec<EndedRun>,
    /// Runs that the runner refused to start, and will never start.
    pub denied: Vec<(RunKey, Denial)>,
    /// Time since the runner last answered the agent.
    pub silent: Span,
    /// Whether the runner's port refuses connections, which shows that its process has ended.
    pub gone: bool,
    /// Whether the agent has restarted and lacks the orders for runs that are still running.
    pub amnesia: bool,
    /// What the agent can't rule out. Earlier versions refuse a report with a field more, so it is
    /// left out while there is nothing.
    #[serde(default, skip_serializing_if = "Doubts::is_empty")]
    pub doubts: Doubts,
}

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The run.
    pub key: RunKey,
    /// Opaque text for the runner.
    pub spec: Arc<str>,
    /// Where to resume from.
    pub saved: Option<Checkpoint>,
    /// Parameters for pacing.
    #[serde(rename = "nature")]
    pub profile: RunProfile,
}

/// Parameters of a run for pacing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunProfile {
    /// Image that it runs; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Requested millicores.
    pub cores: u64,
    /// Limit for the task's tail latency in ms, 0 for none.
    pub target: u64,
    /// Whether it runs on cores that other tasks leave unused (a filling task).
    pub fills: bool,
}

/// The leader's answer to a [`Report`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Orders {
    /// Expiry of the lease on the runner's clock in ms; `None` if the lease is not extended.
    pub until: Option<u64>,
    /// Ends up to this sequence number are committed to the log.
    pub noted: u64,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Runs to stop.
    pub stops: Vec<RunKey>,
    /// Pacing parameters of runs that a restarted agent does not know.
    #[serde(rename = "natures")]
    pub profiles: Vec<(RunKey, RunProfile)>,
    /// Filling runs of jobs that have missed their objective; they only get what other filling runs
    /// on the runner leave. `None` if the report was ignored.
    pub late: Option<Vec<RunKey>>,
    /// New estimates of how images interfere with each other.
    pub table: Option<Box<Table>>,
}

/// Input of [`Dispatch`](super::Dispatch).
#[derive(Debug)]
pub(crate) enum Message {
    /// A request; if it reads the replicated state, that state was brought up to date first.
    Request { ticket: u64, request: Box<ClientRequest> },
    /// Commands that the log has committed; `ticket` is that of the proposal if it was made here.
    Commit { index: u64, ticket: Option<u64>, commands: Vec<Command>, bytes: usize },
    /// Replaces the replicated state with that of a snapshot.
    Install { index: u64, job_table: Box<JobTable> },
    /// Leadership was gained or lost; when gained, the replicated state is current.
    Lead { leading: bool },
    /// The log refused a proposal; `lost` if it may still be committed.
    Rejected { ticket: u64, lost: bool },
    /// A report; the leader's lease was confirmed after it arrived.
    Report { ticket: u64, report: Box<Report> },
    /// Periodic timer; `wall` is the time in ms since 1970.
    Tick { wall: u64 },
}

/// Output of [`Dispatch`](super::Dispatch).
#[derive(Debug, PartialEq)]
pub(crate) enum Effect {
    /// Adds one to a counter of the process, for a queue.
    Count { name: &'static str, queue: Arc<str> },
    /// Sets a gauge of the process.
    Gauge { name: &'static str, value: u64 },
    /// Proposes commands to the log.
    Propose { ticket: u64, commands: Vec<Command> },
    /// Answers a report.
    Orders { ticket: u64, orders: Option<Box<Orders>> },
    /// Passes a snapshot of the replicated state to the log.
    Snapshot { index: u64, job_table: Box<JobTable> },
    /// Answers a request; `None` if this instance does not lead or the log refused the proposal.
    Reply { ticket: u64, reply: Option<ClientReply> },
}
