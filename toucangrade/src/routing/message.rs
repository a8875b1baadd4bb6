//! Messages of the routing duty.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Agents;
use crate::admission::{AgentReply, Report};
use crate::core::{Key, Moment, Name, Span};
use crate::http::CallError;
use crate::membership::Agent;

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// An attempt ended, was refused or was not sent.
    Feedback(Feedback),
    /// An attempt needs an agent.
    Pick(Pick),
    /// Result of a request for a clock reading.
    ReadingReceived { agent: Name, reading: Option<ClockReading> },
    /// Time passed.
    Tick,
    /// The live agents changed.
    AgentsChanged(BTreeMap<Name, Agent>),
}

/// Effect returned by a step.
#[derive(Debug)]
pub(crate) enum Effect {
    /// The attempt goes to this agent.
    Chosen { key: Key, attempt: u32, target: Target, candidates: Vec<Candidate> },
    /// Requests a reading of an agent's clock and load.
    RequestReading { agent: Name, addr: SocketAddr },
    /// No agent can take the attempt now.
    NoAgent { key: Key, attempt: u32, candidates: Vec<Candidate> },
}

/// An attempt that needs an agent.
#[derive(Clone, Debug)]
pub(crate) struct Pick {
    pub(crate) key: Key,
    pub(crate) attempt: u32,
    pub(crate) service: Name,
    pub(crate) kind: Name,
    /// Agents that must not be chosen, as they already had an attempt of this request.
    pub(crate) exclude: Agents,
}

/// Why an agent was chosen or not.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Candidate {
    pub(crate) agent: Name,
    pub(crate) reason: &'static str,
}

/// The agent that an attempt goes to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Target {
    pub(crate) agent: Name,
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) centre: Name,
    /// Moment on the agent's clock after which it must not start the attempt.
    pub(crate) start_by: Moment,
}

/// Clock and load as reported by an agent.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ClockReading {
    pub(crate) incarnation: u64,
    /// Time on the agent's clock.
    pub(crate) clock: Moment,
    /// Time on this entry's clock when the reading arrived.
    pub(crate) taken: Moment,
    pub(crate) used: u32,
    pub(crate) slots: u32,
}

impl ClockReading {
    /// The reading in a report that arrived at `taken`.
    pub(crate) fn new(reported: &AgentReply, taken: Moment) -> Self {
        let AgentReply { incarnation, clock, used, slots, .. } = *reported;
        Self { incarnation, clock, taken, used, slots }
    }

    /// Lower bound of the agent's clock at `now`.
    ///
    /// The reading was taken before it arrived, and the agent's clock may be 5% slower.
    pub(crate) fn clock_at(&self, now: Moment) -> Moment {
        self.clock + now.since(self.taken).percent(95)
    }
}

/// Result of an attempt for the choice of agents.
#[derive(Clone, Debug)]
pub(crate) struct Feedback {
    pub(crate) agent: Name,
    pub(crate) signal: Signal,
    pub(crate) reading: Option<ClockReading>,
}

/// Kind of feedback.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Signal {
    /// A complete answer came after this time.
    Answered { took: Span },
    /// The attempt failed, the runner answered with a server error, or it could not be reached.
    Failed,
    /// The agent did not execute the attempt, for a reason that is not an error of its runner.
    Refused,
}

impl Signal {
    /// Classifies the report on an attempt that took the time `took`.
    pub(crate) fn from_report(report: &Result<AgentReply, CallError>, took: Span) -> Self {
        match report.as_ref().map(|reported| &reported.report) {
            // Otherwise a runner that fails immediately would look fast and attract more work.
            Ok(Report::Ended(answer)) if answer.status >= 500 => Self::Failed,
            Ok(Report::Ended(_)) => Self::Answered { took },
            Ok(Report::Refused { code, .. }) if code == "runner-unreachable" => Self::Failed,
            // A leaving runner has not failed.
            Ok(Report::Evicted { .. } | Report::Refused { .. }) => Self::Refused,
            _ => Self::Failed,
        }
    }
}
