//! Messages between the leader's scheduling duty, the agents of workers and the log.

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::membership::Config;
use crate::placement::{
    Checkpoint, Decision, Instance, Latency, QuickTask, Record, Report, Size, Summary, Target,
    Usage,
};
use crate::runs::JobRecord;

/// What an agent says about its worker, repeated as a heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Work {
    pub(crate) instance: Instance,
    /// Tells one run of the agent from another.
    pub(crate) incarnation: u64,
    /// Latency-critical tasks that are present.
    pub(crate) quick: Vec<QuickTask>,
    /// Reports on executions; repeated until a heartbeat with them was answered.
    pub(crate) reports: Vec<Report>,
    pub(crate) usage: Option<Usage>,
    pub(crate) latency: Vec<Latency>,
    /// Result of a probe.
    pub(crate) probed: Option<bool>,
}

/// What the leader asks of an agent.
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
        /// Time for which the task may run on without contact to control.
        lease: Span,
        target: Target,
    },
    /// Stop an execution.
    Stop(Target),
    /// Limit an execution to `share` percent of its granted cores.
    Throttle { share: u8, target: Target },
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// An operator deleted a job.
    Cancel(Name),
    /// The configuration in force.
    Configure(Config),
    /// The log holds a decision, which is in force if it was accepted.
    Decided { decision: Decision, accepted: bool },
    /// A proposed decision will not be in the log.
    Dropped(Decision),
    /// Someone asks why a job stands where it does.
    Explain { ticket: u64, job: Name },
    /// This instance leads, and the log holds these jobs and the summary of what was learned, with
    /// its age.
    Lead { learned: Option<(Summary, Span)>, runs: Vec<JobRecord> },
    /// The log holds a newer summary of what was learned.
    Learned(Summary),
    /// Another instance leads.
    Follow,
    /// An operator declared a job.
    Submit(JobRecord),
    /// Time passed.
    Tick,
    /// An agent's heartbeat about its worker.
    Work { ticket: u64, work: Work },
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Answers a question about a job.
    Explained { ticket: u64, text: Vec<String> },
    /// Answers a heartbeat with what the agent is to do.
    Orders { ticket: u64, orders: Vec<Order> },
    /// Proposes a summary of what was learned to the log.
    Learn(Summary),
    /// Proposes a decision to the log.
    Propose(Decision),
    /// Refuses a heartbeat since this instance doesn't lead.
    Refuse { ticket: u64 },
}

/// The newest reasons about a job, as sentences.
pub(super) fn sentences(record: &Record) -> Vec<String> {
    let looked = record.looked.iter().map(|(worker, finding)| format!("{worker}: {finding}"));
    let mut text: Vec<String> = looked.collect();
    text.push(format!("{}: {}", record.job, record.result));
    text
}
