//! Jobs of several steps: their declaration by callers, the configuration of queues and services,
//! and the agreed state of all jobs, which changes only by commands of the replicated log.

mod book;
mod declared;
mod setup;
pub(crate) mod snapshot;

#[cfg(test)]
pub(crate) mod tests;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::Name;
use crate::evacuation::EvacuationOrder;

pub(crate) use self::book::{Applied, JobEntry, JobTable, Phase, Repetition, Task};
pub use self::declared::{Job, JobError, Need, Schedule, Step};
pub use self::setup::{Configuration, ConfigurationError, Queue, Service};

/// Identity of a task within the whole system.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// Id of the job, a number that its caller chose.
    pub job: u64,
    /// Repetition of the job, counted from 0.
    pub round: u32,
    /// Step of the job, counted from 0.
    pub step: u16,
    /// Task of the step, counted from 0.
    pub index: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}.{}", self.job, self.round, self.step, self.index)
    }
}

/// Identity of a run, which is one execution of a task. Runs of a task are numbered from 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// Identity of one process of a runner: a restart under the same name is another incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// Name under which the runner announces itself.
    pub runner: Name,
    /// When it started, in milliseconds since 1970 on its own clock.
    pub born: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum End {
    /// Not all runs of its gang had started in time.
    Alone,
    /// Another run of its gang ended.
    Broken,
    /// It finished its work.
    Done,
    /// It failed, through a fault of the task or of the runner.
    Failed,
    /// Its lease expired.
    Lapsed,
    /// Its runner is gone, and the lease with it.
    Lost,
    /// The runner has not started it and never will.
    Refused,
    /// It was stopped on request.
    Stopped,
}

impl End {
    /// Whether a runner has listed this end, which shows that it had started the run.
    pub(crate) fn shows_start(self) -> bool {
        !matches!(self, Self::Lost | Self::Refused)
    }

    fn label(self) -> &'static str {
        match self {
            Self::Alone => "end_alone",
            Self::Broken => "end_broken",
            Self::Done => "end_done",
            Self::Failed => "end_failed",
            Self::Lapsed => "end_lapsed",
            Self::Lost => "end_lost",
            Self::Refused => "end_refused",
            Self::Stopped => "end_stopped",
        }
    }
}

/// Opaque position from which a task can be resumed.
pub type Checkpoint = Arc<str>;

/// Change of the agreed state, as the log stores it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Command {
    /// Adds a job; `wall` is the time of acceptance in ms since 1970.
    Accept { job: Arc<Job>, wall: u64 },
    /// Assigns a new run of a task to a runner. For a live run, records that this incarnation of its
    /// runner holds it; instances of earlier versions ignore such a command.
    Assign {
        key: RunKey,
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Records that a runner has started a run of a job. Assignments are only intentions.
    ///
    /// It is not stored as such, see [`Command::into_stored`].
    #[serde(skip)]
    Begin { job: u64 },
    /// Cancels a job of a queue. If the job is unknown, a submission that is still under way has no
    /// effect later. Without a queue, as earlier versions wrote it, only a known job is cancelled.
    Cancel {
        job: u64,
        #[serde(default)]
        queue: Option<Arc<str>>,
    },
    /// Records the end of a run.
    Close { key: RunKey, end: End, saved: Option<Checkpoint> },
    /// Replaces the configuration if this one is newer.
    Configure(Arc<Configuration>),
    /// Records whether starts of a job's runs have got no answer and may be carried out later.
    ///
    /// It is not stored as such, see [`Command::into_stored`].
    #[serde(skip)]
    Doubt { job: u64, open: bool },
    /// Evacuates a data centre, or takes that back. Instances of earlier versions can't decode it, so
    /// it is only written once an operator has ordered an evacuation.
    Evacuate(EvacuationOrder),
    /// Removes jobs and withdrawn names that ended long ago.
    Forget(Vec<u64>),
    /// Adds the next repetition of a job, once it is due.
    Open { job: u64, round: u32 },
}

/// Repetitions that no job has, as jobs have fewer.
const NO_ROUND: u32 = u32::MAX;
const DOUBT_ROUND: u32 = u32::MAX - 1;
const NO_DOUBT_ROUND: u32 = u32::MAX - 2;

impl Command {
    /// Form in which the log stores the command. Instances of earlier versions stop at commands that
    /// they can't decode, so a new one is stored as an opening that they decode and ignore.
    pub(crate) fn into_stored(self) -> Self {
        match self {
            Self::Begin { job } => Self::Open { job, round: NO_ROUND },
            Self::Doubt { job, open: true } => Self::Open { job, round: DOUBT_ROUND },
            Self::Doubt { job, open: false } => Self::Open { job, round: NO_DOUBT_ROUND },
            other => other,
        }
    }

    /// The command that was stored in this form.
    pub(crate) fn from_stored(stored: Self) -> Self {
        match stored {
            Self::Open { job, round: NO_ROUND } => Self::Begin { job },
            Self::Open { job, round: DOUBT_ROUND } => Self::Doubt { job, open: true },
            Self::Open { job, round: NO_DOUBT_ROUND } => Self::Doubt { job, open: false },
            other => other,
        }
    }

    /// Label of the command in metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Accept { .. } => "accept",
            Self::Assign { .. } => "assign",
            Self::Begin { .. } => "begin",
            Self::Cancel { .. } => "cancel",
            Self::Close { end, .. } => end.label(),
            Self::Configure(_) => "configure",
            Self::Doubt { .. } => "doubt",
            Self::Evacuate(_) => "evacuate",
            Self::Forget(_) => "forget",
            Self::Open { .. } => "open",
        }
    }
}
