//! Messages and effects of batch scheduling.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::settings::Objective;
use crate::core::{Name, Span};
use crate::eviction::Cause;
use crate::learned::Summary;
use crate::quota::{Quota, Size};

/// Input of [`super::Planner`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// An operator cancelled a job; repeating it changes nothing.
    Cancel {
        /// The job.
        job: Name,
    },
    /// The replicated log holds a decision.
    Committed(Decision),
    /// A late report of how slow a quick kind was.
    Latency(Latency),
    /// What an earlier leader's planner learned, `age` ago; part of the replay.
    Learned {
        /// Time since the summary was made.
        age: Span,
        /// The estimates.
        summary: Summary,
    },
    /// The log is replayed and this instance leads; no effect is given before.
    Lead,
    /// A worker has been silent for `silent`; its tasks may run until their lease ends.
    Lost {
        /// Time since the worker was last heard.
        silent: Span,
        /// The worker.
        worker: Name,
    },
    /// Result of a probe that [`Effect::Probe`] asked for.
    Probed {
        /// Whether the probe's task ran to its end.
        healthy: bool,
        /// The worker.
        worker: Name,
    },
    /// All quick tasks that are present on a worker now.
    Quick {
        /// The tasks.
        tasks: Vec<QuickTask>,
        /// The worker.
        worker: Name,
    },
    /// An operator set the quota of a team.
    Quota(Quota),
    /// The log will never hold a proposed decision.
    Rejected(Decision),
    /// A worker reports on one execution.
    Report(Report),
    /// A job that the log holds, part of the replay; `members` is set while it has an execution.
    Restore {
        /// Fencing token of the newest execution, 0 when there was none.
        fence: u64,
        /// Newest synced checkpoint that the log holds.
        from: Checkpoint,
        /// Whether the execution was evicted and may still run.
        leaving: bool,
        /// Where the execution runs.
        members: Option<Vec<Member>>,
        /// The job.
        spec: Spec,
    },
    /// Objectives of the shops that declare one; it replaces all earlier ones.
    Shops(BTreeMap<Name, Objective>),
    /// An operator submitted a job.
    Submit(Spec),
    /// Time has passed; expected every 250 ms.
    Tick,
    /// A late report of what tasks used.
    Usage(Usage),
    /// A worker joined, returned or changed.
    Worker(Instance),
}

/// Output of [`super::Planner`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Effect {
    /// Ask a worker to checkpoint an execution.
    Checkpoint(Target),
    /// Record why a job was placed, waits or was refused.
    Explain(Record),
    /// Ask a worker to run a test task and answer with [`Message::Probed`].
    Probe {
        /// The worker.
        worker: Name,
    },
    /// Propose a decision to the replicated log.
    Propose(Decision),
    /// Give a worker no batch work, as it fails what it starts.
    Quarantine {
        /// Time until it is probed.
        wait: Span,
        /// The worker.
        worker: Name,
    },
    /// Start an agreed execution; repeated until the worker reports on it.
    Start {
        /// Checkpoint to start from.
        from: Checkpoint,
        /// What the worker's guard grants the task.
        grant: Size,
        /// Time for which the task may run on without contact to control.
        lease: Span,
        /// Job, worker and fencing token.
        target: Target,
    },
    /// Stop an execution.
    Stop(Target),
    /// Limit an execution to `share` percent of its granted cores.
    Throttle {
        /// Percent of the grant.
        share: u8,
        /// Job, worker and fencing token.
        target: Target,
    },
}

/// One execution of a job on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Fencing token of the execution.
    pub fence: u64,
    /// The job.
    pub job: Name,
    /// The worker.
    pub worker: Name,
}

/// What must be agreed in the replicated log before it takes effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// Run a job, all members of a gang together.
    Assign {
        /// Fencing token, one above that of the execution before.
        fence: u64,
        /// Newest synced checkpoint, where the execution starts.
        from: Checkpoint,
        /// The job.
        job: Name,
        /// Where each member runs; one for a job that is not a gang.
        members: Vec<Member>,
    },
    /// End the execution under `fence` and resume the job later.
    Evict {
        /// Why.
        cause: Cause,
        /// Fencing token of the execution to end.
        fence: u64,
        /// Newest synced checkpoint known.
        from: Checkpoint,
        /// The job.
        job: Name,
    },
    /// The final outcome of a job.
    Finish {
        /// Fencing token of the execution that gave the outcome.
        fence: u64,
        /// The job.
        job: Name,
        /// The outcome.
        outcome: Outcome,
    },
    /// A job that can never run.
    Refuse {
        /// What would have to change.
        change: String,
        /// The job.
        job: Name,
        /// Why it can't run.
        reason: String,
    },
}

impl Decision {
    /// The job that is decided on.
    pub const fn job(&self) -> &Name {
        match self {
            Self::Assign { job, .. }
            | Self::Evict { job, .. }
            | Self::Finish { job, .. }
            | Self::Refuse { job, .. } => job,
        }
    }
}

/// Place of one member of an execution.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// What the worker's guard grants.
    pub grant: Size,
    /// The worker.
    pub worker: Name,
}

/// The one final outcome of a job.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Outcome {
    /// An operator cancelled it first.
    Cancelled,
    /// It ran to its end.
    Done,
    /// It failed on as many workers as are allowed, or outgrew all of them.
    Failed,
    /// It could never have run.
    Refused,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cancelled => "cancelled",
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Refused => "refused",
        })
    }
}

/// A synced checkpoint of a job; the default stands for its beginning.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Checkpoint {
    /// Core seconds of work that it holds.
    pub done: u64,
    /// Number, growing over the executions of a job.
    pub number: u64,
}

/// A job as operators declare it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// Estimated run time.
    pub estimate: Span,
    /// Number of members that must run at the same time, 1 for a plain job.
    pub gang: u32,
    /// Data centre that holds its data.
    pub home: Option<Name>,
    /// Kind, by which size and interference are learned.
    pub kind: Name,
    /// Name of the job.
    pub name: Name,
    /// Priority; greater is more important.
    pub priority: u8,
    /// The shop.
    pub shop: Name,
    /// Declared size of each member.
    pub size: Size,
    /// Whether it is a standing watch, which is started again whenever it ends.
    pub standing: bool,
    /// The team that its quota is charged to.
    pub team: Name,
    /// Whether it must start within seconds.
    pub urgent: bool,
}

/// A worker as its agent announces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Data centre.
    pub centre: Name,
    /// Name of the worker.
    pub name: Name,
    /// Rack.
    pub rack: Name,
    /// Capacity.
    pub size: Size,
}

/// A latency-critical task on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuickTask {
    /// Kind.
    pub kind: Name,
    /// Load relative to the greatest it serves, 0 to 1.
    pub load: f64,
    /// Service.
    pub service: Name,
    /// The shop, whose weights apply.
    pub shop: Name,
    /// Declared size.
    pub size: Size,
}

/// What happened to an execution.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Event {
    /// It ended with an error or was stopped by a guard.
    Failed(Fault),
    /// It ran to its end.
    Finished,
    /// It runs on; `done` are core seconds of work, with the newest synced checkpoint.
    Progress {
        /// Newest synced checkpoint.
        checkpoint: Checkpoint,
        /// Core seconds of work done.
        done: u64,
    },
    /// It started.
    Started,
    /// It was stopped on request, with the newest synced checkpoint.
    Stopped(Checkpoint),
}

/// Why an execution failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fault {
    /// An error of the task or the worker.
    Error,
    /// The guard stopped it above its granted memory.
    Memory,
}

/// A worker's report on one execution.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// What happened.
    pub event: Event,
    /// Job, worker and fencing token.
    pub target: Target,
}

/// Usage of the tasks on a worker over a past time span.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Age of the beginning of the time span.
    pub from: Span,
    /// Usage of jobs: job, fencing token, what it used.
    pub jobs: Vec<(Name, u64, Size)>,
    /// Usage of quick tasks: service, kind, what it used.
    pub quick: Vec<(Name, Name, Size)>,
    /// Age of the end of the time span.
    pub until: Span,
    /// The worker.
    pub worker: Name,
}

/// Latency of a quick task over a past time span.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Latency {
    /// Age of the beginning of the time span.
    pub from: Span,
    /// Kind.
    pub kind: Name,
    /// Latency relative to running alone, 1 when nothing slows it down.
    pub ratio: f64,
    /// Service.
    pub service: Name,
    /// Age of the end of the time span.
    pub until: Span,
    /// The worker.
    pub worker: Name,
}

/// Why a job was placed, waits or ended, for the history.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// The job.
    pub job: Name,
    /// The verdict on each worker that was looked at.
    pub looked: Vec<(Name, Finding)>,
    /// What follows.
    pub result: Finding,
}

/// A finding about a worker for a job, or about the job.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Finding {
    /// Too few accelerators are free.
    Accelerators,
    /// It was chosen at this cost.
    Chosen(f64),
    /// Too few cores are free.
    Cores,
    /// Another worker costs less; this one's cost.
    Costlier(f64),
    /// The job failed there before.
    Failed,
    /// The worker is held for a job that waits for room.
    Held,
    /// The worker is silent.
    Lost,
    /// Too little memory is free.
    Memory,
    /// The worker is in quarantine.
    Quarantined,
    /// The quota of the team is used up.
    Quota,
    /// Quick tasks there would slow down by this much of what is tolerated.
    Risk(f64),
    /// A report carries an old fencing token.
    Stale,
    /// No worker has room now.
    Waits,
}

/// Completes a sentence that begins with the worker or the job.
impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accelerators => f.write_str("too few accelerators are free"),
            Self::Chosen(cost) => write!(f, "chosen at a cost of {cost:.3}"),
            Self::Cores => f.write_str("too few cores are free"),
            Self::Costlier(cost) => write!(f, "not chosen at a cost of {cost:.3}"),
            Self::Failed => f.write_str("the job failed there before"),
            Self::Held => f.write_str("held for a job that waits for room"),
            Self::Lost => f.write_str("silent"),
            Self::Memory => f.write_str("too little memory is free"),
            Self::Quarantined => f.write_str("in quarantine"),
            Self::Quota => f.write_str("waits, since the quota of its team is used up"),
            Self::Risk(part) => write!(
                f,
                "latency-critical tasks would slow down by {part:.1} times what is tolerated"
            ),
            Self::Stale => f.write_str("a report with an old fencing token was refused"),
            Self::Waits => f.write_str("waits, since no worker has room now"),
        }
    }
}
