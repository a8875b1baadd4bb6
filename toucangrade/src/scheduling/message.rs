//! Messages of the scheduling duty, and the heartbeats and orders exchanged with agents.

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::membership::Config;
use crate::placement::{
    Checkpoint, Decision, Instance, Latency, QuickTask, Record, Report, Size, Summary, Target,
    Usage,
};
use crate::runs::JobRecord;

/// An agent's heartbeat about its worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Work {
    pub(crate) instance: Instance,
    /// Identifies one run of the agent process.
    pub(crate) incarnation: u64,
    /// Latency-critical tasks on the worker.
    pub(crate) quick: Vec<QuickTask>,
    /// Reports on executions; repeated until a heartbeat that contains them is answered.
    pub(crate) reports: Vec<Report>,
    pub(crate) usage: Option<Usage>,
    pub(crate) latency: Vec<Latency>,
    /// Whether a requested probe was healthy.
    pub(crate) probed: Option<bool>,
}

/// An order of the leader to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Order {
    /// Checkpoint an execution.
    Checkpoint(Target),
    /// Run a test task.
    Probe,
    /// Start an execution.
    Start {
        kind: Name,
        from: Checkpoint,
        grant: Size,
        /// Time for which the task may run without contact to the control instances.
        lease: Span,
        target: Target,
    },
    /// Stop an execution.
    Stop(Target),
    /// Limit an execution to `share` percent of its granted cores.
    Throttle { share: u8, target: Target },
}

/// Input of the scheduling duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// An operator deleted a job.
    Cancel(Name),
    /// The configuration in force has changed.
    Configure(Config),
    /// The log has committed a decision; it takes effect only if it was accepted.
    Decided { decision: Decision, accepted: bool },
    /// A proposed decision was dropped and will not be committed.
    Dropped(Decision),
    /// A caller asks for the reasons of a job's state.
    Explain { ticket: u64, job: Name },
    /// This instance leads. Carries the jobs of the log, and the committed summary of learned
    /// estimates with its age.
    Lead { learned: Option<(Summary, Span)>, runs: Vec<JobRecord> },
    /// The log has committed a newer summary of learned estimates.
    Learned(Summary),
    /// Another instance leads.
    Follow,
    /// An operator declared a job.
    Submit(JobRecord),
    /// Periodic tick.
    Tick,
    /// An agent's heartbeat about its worker.
    Work { ticket: u64, work: Work },
}

/// Output of the scheduling duty.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Answers [`Message::Explain`].
    Explained { ticket: u64, text: Vec<String> },
    /// Answers a heartbeat with the orders for the agent.
    Orders { ticket: u64, orders: Vec<Order> },
    /// Proposes a summary of learned estimates to the log.
    Learn(Summary),
    /// Proposes a decision to the log.
    Propose(Decision),
    /// Refuses a heartbeat as this instance doesn't lead.
    Refuse { ticket: u64 },
}

/// Formats a record of the planner as sentences, one for each worker and one for the job.
pub(super) fn sentences(record: &Record) -> Vec<String> {
    let looked = record.looked.iter().map(|(worker, finding)| format!("{worker}: {finding}"));
    let mut text: Vec<String> = looked.collect();
    text.push(format!("{}: {}", record.job, record.result));
    text
}
