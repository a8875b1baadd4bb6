//! Messages and effects of dispatch, and what agents and control tell each other.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::jobs::{Book, Checkpoint, Command, End, Life, Need, RunKey, Schedule, Setup, Step};
use crate::pressure::Table;

/// What a caller or operator asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Host under which the queue is reached.
    pub host: Arc<str>,
    /// Path of the queue, followed by the job's name if it names one.
    pub path: Arc<str>,
    /// The job that the path names.
    pub job: Option<u64>,
    /// What to do.
    pub verb: Verb,
}

/// Kinds of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verb {
    /// Cancel a job.
    Cancel,
    /// Put a configuration in force.
    Configure(Arc<Setup>),
    /// Read the newest configuration.
    ReadSetup,
    /// Tell a job's state, or how many jobs of a queue have not begun.
    Show,
    /// Take a job in.
    Submit {
        /// Opaque text for the runners.
        spec: Arc<str>,
        /// Steps in order.
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
    /// One of its tasks has failed too often.
    Failed,
    /// No task has been started.
    Queued,
    /// Tasks have been started.
    Running,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Told {
    /// The job is stored.
    Accepted,
    /// The request can't be read as one of this interface.
    Bad(String),
    /// The job is cancelled.
    Cancelled,
    /// The configuration is stored.
    Configured,
    /// No such job exists.
    Gone,
    /// Number of jobs of the queue that have not begun.
    Pending(u64),
    /// No such queue exists.
    NoQueue,
    /// The job was not accepted and never runs; trying again makes sense after a while.
    Refused {
        /// Why.
        reason: Arc<str>,
        /// When to try again.
        after: Span,
    },
    /// The newest configuration.
    Setup(Bytes),
    /// The job's state.
    State(JobState),
    /// It is not known whether the request took effect.
    Unknown,
}

/// A runner as its agent knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Runner {
    /// Name and start of the runner.
    pub life: Life,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Data centre.
    pub centre: Arc<str>,
    /// Kind of instance and rack, in this order, and further labels.
    pub labels: Vec<Arc<str>>,
    /// Room for tasks.
    pub capacity: Need,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Reading of its clock in ms, taken before the report was sent.
    pub clock: u64,
}

/// A run that a runner lists as going on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The run.
    pub key: RunKey,
    /// Its newest checkpoint.
    pub saved: Option<Checkpoint>,
    /// Progress, or whether a lasting task is at work.
    pub percent: u8,
    /// Tail latency in ms of a task that serves, else millicores in use.
    pub figure: u32,
    /// Share of its speed at which the agent lets it work, in percent.
    pub share: u8,
}

/// A run that a runner lists as ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ended {
    /// Position in the runner's list, from 1.
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
    /// The runner gave no answer in time, and has confirmed that it will not start the run.
    Silent,
    /// The runner has seen a newer fencing token.
    Fenced,
    /// The lease had ended when the order arrived.
    Late,
    /// The run was stopped or has ended before.
    Old,
    /// There is no room.
    Room,
    /// The run was stopped before it began.
    Stopped,
    /// The runner is not in a state to start anything.
    Unhealthy,
    /// The runner can't read the order.
    Unreadable,
}

/// What an agent tells the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The agent.
    pub agent: Name,
    /// Start of the agent's process in ms since 1970.
    pub incarnation: u64,
    /// Number of the report, rising within an incarnation.
    pub seq: u64,
    /// Its runner, when one is known.
    pub runner: Option<Runner>,
    /// Runs going on.
    pub rows: Vec<Row>,
    /// Runs that are being started.
    pub handling: Vec<RunKey>,
    /// Runs that are being stopped.
    pub stopping: Vec<RunKey>,
    /// Ends that the runner still lists.
    pub ended: Vec<Ended>,
    /// Runs that will never start.
    pub denied: Vec<(RunKey, Denial)>,
    /// Time since the runner last answered.
    pub silent: Span,
    /// Whether the runner's port refuses connections, so that its process has ended.
    pub gone: bool,
    /// Whether the agent lacks what was ordered for runs that go on, as it restarted.
    pub amnesia: bool,
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
    /// What pacing has to know.
    pub nature: Nature,
}

/// What pacing has to know about a run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Nature {
    /// What it runs; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Millicores that it asks for.
    pub cores: u64,
    /// Tail latency that the task has to stay below in ms, 0 for none.
    pub target: u64,
    /// Whether it uses cores that others leave unused.
    pub fills: bool,
}

/// The leader's answer to a report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Orders {
    /// End of the lease on the runner's clock in ms; `None` when it is not extended.
    pub until: Option<u64>,
    /// Ends up to this number are recorded.
    pub noted: u64,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Runs to stop.
    pub stops: Vec<RunKey>,
    /// What runs are like that the agent does not know.
    pub natures: Vec<(RunKey, Nature)>,
    /// Filling runs of jobs that have missed their objective, which get what the others on the runner
    /// leave; `None` when the report was not taken in.
    pub late: Option<Vec<RunKey>>,
    /// New estimates of how images disturb each other.
    pub table: Option<Box<Table>>,
}

/// Input of dispatch.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request; reads of the agreed state were made current before.
    Ask { ticket: u64, ask: Box<Ask> },
    /// Commands that the log holds.
    Commit { index: u64, ticket: Option<u64>, commands: Vec<Command>, bytes: usize },
    /// The state machine's state is replaced.
    Install { index: u64, book: Box<Book> },
    /// Leadership changed; when it was gained, the agreed state is current.
    Lead { leading: bool },
    /// The log refused a proposal; `lost` when it may take effect nevertheless.
    Rejected { ticket: u64, lost: bool },
    /// A report; the leader's lease was confirmed after it arrived.
    Report { ticket: u64, report: Box<Report> },
    /// Time passes; `wall` is ms since 1970.
    Tick { wall: u64 },
}

/// Output of dispatch.
#[derive(Debug, PartialEq)]
pub(crate) enum Effect {
    /// Sets a gauge of the process.
    Gauge { name: &'static str, value: u64 },
    /// Proposes commands to the log.
    Propose { ticket: u64, commands: Vec<Command> },
    /// Answers a report.
    Orders { ticket: u64, orders: Option<Box<Orders>> },
    /// Hands a snapshot to the log.
    Snapshot { index: u64, book: Box<Book> },
    /// Answers a request; `None` when this instance does not lead.
    Told { ticket: u64, told: Option<Told> },
}
