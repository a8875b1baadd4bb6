//! Input and output of the planner, and the data types of batch jobs.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::settings::Objective;
use crate::core::{Name, Span};
use crate::eviction::Cause;
use crate::learned::Summary;
use crate::quota::{Quota, Size};

/// Input of [`super::Planner`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// An operator cancelled a job; idempotent.
    Cancel {
        /// The job.
        job: Name,
    },
    /// The replicated log has committed a decision.
    Committed(Decision),
    /// Measured latency of a kind of quick tasks; arrives late.
    Latency(Latency),
    /// Estimates of an earlier leader's planner; part of the replay.
    Learned {
        /// Time since the summary was made.
        age: Span,
        /// The estimates.
        summary: Summary,
    },
    /// The replay of the log is complete and this instance leads. The planner returns no effects
    /// before.
    Lead,
    /// A worker has been silent for `silent`; its tasks may run until their lease ends.
    Lost {
        /// Time since the worker's last heartbeat.
        silent: Span,
        /// The worker.
        worker: Name,
    },
    /// Result of a probe that [`Effect::Probe`] asked for.
    Probed {
        /// Whether the probe's task completed.
        healthy: bool,
        /// The worker.
        worker: Name,
    },
    /// All quick tasks on a worker; replaces the previous list.
    Quick {
        /// The tasks.
        tasks: Vec<QuickTask>,
        /// The worker.
        worker: Name,
    },
    /// An operator set the quota of a team.
    Quota(Quota),
    /// A proposed decision was dropped and will never be committed.
    Rejected(Decision),
    /// A worker reports on one execution.
    Report(Report),
    /// A job of the log, part of the replay; `members` is set if it has an execution.
    Restore {
        /// Whether the log holds a confirmed start of the execution.
        begun: bool,
        /// Fencing token of the newest execution, 0 when there was none.
        fence: u64,
        /// Newest synced checkpoint in the log.
        from: Checkpoint,
        /// Whether the execution was evicted and may still run.
        leaving: bool,
        /// Where the execution runs.
        members: Option<Vec<Member>>,
        /// The job.
        spec: Spec,
    },
    /// Objectives of the shops that declare one; replaces all earlier objectives.
    Shops(BTreeMap<Name, Objective>),
    /// An operator submitted a job.
    Submit(Spec),
    /// Periodic tick, expected every 250 ms.
    Tick,
    /// Resource usage of tasks; arrives late.
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
    /// A worker was quarantined: it gets no batch work after failing several jobs in a row.
    Quarantine {
        /// Time until the next probe.
        wait: Span,
        /// The worker.
        worker: Name,
    },
    /// Start a committed execution; repeated until the worker reports on it.
    Start {
        /// Checkpoint to start from.
        from: Checkpoint,
        /// Resources granted to the task, enforced by the worker's guard.
        grant: Size,
        /// Time for which the task may run without contact to the control instances.
        lease: Span,
        /// Job, worker and fencing token.
        target: Target,
    },
    /// Stop an execution.
    Stop(Target),
    /// Limit an execution to a share of its granted cores.
    Throttle {
        /// Percent of the granted cores.
        share: u8,
        /// Job, worker and fencing token.
        target: Target,
    },
}

/// A job's execution on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Fencing token of the execution.
    pub fence: u64,
    /// The job.
    pub job: Name,
    /// The worker.
    pub worker: Name,
}

/// A decision that takes effect once the replicated log has committed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// Run a job; all members of a gang are assigned together.
    Assign {
        /// Fencing token, one above that of the previous execution.
        fence: u64,
        /// Newest synced checkpoint, from which the execution starts.
        from: Checkpoint,
        /// The job.
        job: Name,
        /// Worker and grant of each member; a single one for a job that is not a gang.
        members: Vec<Member>,
    },
    /// Record that the workers have confirmed the start of an execution. An assignment is only an
    /// intention.
    ///
    /// The log stores it in a form that earlier versions decode, see `Decision::into_stored`.
    #[serde(skip)]
    Begin {
        /// Fencing token of the execution.
        fence: u64,
        /// The job.
        job: Name,
    },
    /// End the execution under `fence` and resume the job later.
    Evict {
        /// Why the execution is ended.
        cause: Cause,
        /// Fencing token of the execution to end.
        fence: u64,
        /// Newest known synced checkpoint.
        from: Checkpoint,
        /// The job.
        job: Name,
    },
    /// The final outcome of a job.
    Finish {
        /// Fencing token of the execution that produced the outcome.
        fence: u64,
        /// The job.
        job: Name,
        /// The outcome.
        outcome: Outcome,
    },
    /// Refuse a job that can never run.
    Refuse {
        /// What to change so that the job could run.
        change: String,
        /// The job.
        job: Name,
        /// Why it can't run.
        reason: String,
    },
}

/// Fencing token that no execution has.
const NO_FENCE: u64 = 0;

impl Decision {
    /// Form in which the log stores the decision.
    ///
    /// Instances of earlier versions stop at decisions that they can't decode, so a confirmed start
    /// is stored as an assignment that they decode and reject: without members, under a fencing
    /// token that no execution has, and with the confirmed one as the checkpoint's number.
    pub(crate) fn into_stored(self) -> Self {
        match self {
            Self::Begin { fence, job } => {
                let from = Checkpoint { done: 0, number: fence };
                Self::Assign { fence: NO_FENCE, from, job, members: Vec::new() }
            },
            other => other,
        }
    }

    /// The decision that was stored in this form.
    pub(crate) fn from_stored(stored: Self) -> Self {
        match stored {
            Self::Assign { fence: NO_FENCE, from, job, .. } => {
                Self::Begin { fence: from.number, job }
            },
            other => other,
        }
    }

    /// Serialises the stored form.
    pub(crate) fn serialize_stored<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.clone().into_stored().serialize(to)
    }

    /// Deserialises the stored form.
    pub(crate) fn deserialize_stored<'de, D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        Self::deserialize(from).map(Self::from_stored)
    }

    /// The job that the decision is about.
    pub const fn job(&self) -> &Name {
        match self {
            Self::Assign { job, .. }
            | Self::Begin { job, .. }
            | Self::Evict { job, .. }
            | Self::Finish { job, .. }
            | Self::Refuse { job, .. } => job,
        }
    }
}

/// Worker and grant of one member of an execution.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Granted resources, enforced by the worker's guard.
    pub grant: Size,
    /// The worker.
    pub worker: Name,
}

/// The one final outcome of a job.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Outcome {
    /// An operator cancelled it before it had another outcome.
    Cancelled,
    /// It completed.
    Done,
    /// It reached the limit of failures or of guard stops for exceeding its granted memory.
    Failed,
    /// It could never run.
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

/// A synced checkpoint of a job; the default is the beginning of the job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Checkpoint {
    /// Completed work saved in it, in core seconds.
    pub done: u64,
    /// Sequence number, increasing across all executions of the job.
    pub number: u64,
}

/// A job as operators declare it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// Estimated run time.
    pub estimate: Span,
    /// Number of members that must run at the same time, 1 for a plain job.
    pub gang: u32,
    /// Data centre that stores its data.
    pub home: Option<Name>,
    /// Kind of job; sizes and interference are learned for each kind.
    pub kind: Name,
    /// Name of the job.
    pub name: Name,
    /// Priority; greater is more important.
    pub priority: u8,
    /// The shop.
    pub shop: Name,
    /// Declared size of each member.
    pub size: Size,
    /// Whether it is a standing watch, a job that is restarted whenever it ends.
    pub standing: bool,
    /// The team whose quota it is charged to.
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
    /// Load relative to its maximum, 0 to 1.
    pub load: f64,
    /// Service.
    pub service: Name,
    /// The shop, whose objective applies.
    pub shop: Name,
    /// Declared size.
    pub size: Size,
}

/// What happened to an execution.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Event {
    /// It ended with an error or was stopped by a guard.
    Failed(Fault),
    /// It completed.
    Finished,
    /// It is still running.
    Progress {
        /// Newest synced checkpoint.
        checkpoint: Checkpoint,
        /// Core seconds of work done.
        done: u64,
    },
    /// It started.
    Started,
    /// It was stopped on request; holds the newest synced checkpoint.
    Stopped(Checkpoint),
}

/// Why an execution failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fault {
    /// An error of the task or the worker.
    Error,
    /// The guard stopped it for exceeding its granted memory.
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
    /// Usage of jobs: job, fencing token, used size.
    pub jobs: Vec<(Name, u64, Size)>,
    /// Usage of quick tasks: service, kind, used size.
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
    /// Latency relative to running alone; 1 without any slowdown.
    pub ratio: f64,
    /// Service.
    pub service: Name,
    /// Age of the end of the time span.
    pub until: Span,
    /// The worker.
    pub worker: Name,
}

/// Why a job was placed, waits or had a report refused, for `explain`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// The job.
    pub job: Name,
    /// The finding about each worker that was considered.
    pub looked: Vec<(Name, Finding)>,
    /// The resulting finding about the job.
    pub result: Finding,
}

/// Result of checking a worker for a job, or the resulting state of the job.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Finding {
    /// Too few accelerators are free.
    Accelerators,
    /// The worker was chosen, at this cost.
    Chosen(f64),
    /// Too few cores are free.
    Cores,
    /// The worker was not chosen as others cost less; its cost.
    Costlier(f64),
    /// The job has failed on the worker before.
    Failed,
    /// The worker is held for another job that waits for room.
    Held,
    /// The worker is silent.
    Lost,
    /// Too little memory is free.
    Memory,
    /// The worker is in quarantine.
    Quarantined,
    /// The quota of the team is used up.
    Quota,
    /// Quick tasks on the worker would slow down by this multiple of their tolerated excess.
    Risk(f64),
    /// A report was refused as its fencing token is old.
    Stale,
    /// No worker has room now.
    Waits,
}

/// A predicate whose subject is the worker or the job.
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
