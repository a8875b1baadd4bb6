//! Inputs and outputs of hosting, and the types of an agent's calls to its runner.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::Span;
use crate::dispatch::{Denial, EndedRun, Orders, Report, RunStatus, Start};
use crate::jobs::{Incarnation, Need, RunKey};

/// A runner's periodic announcement to its agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Name and start time of the runner.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Address at which it accepts calls of the agent.
    pub addr: SocketAddr,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Data centre.
    pub centre: Arc<str>,
    /// Kind of instance and rack, in this order, and further labels.
    pub labels: Vec<Arc<str>>,
    /// Resources available for tasks.
    pub capacity: Need,
    /// Whether it is about to shut down.
    pub draining: bool,
    /// Time for which it will still be cold, when it was sent.
    pub cold: Span,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
}

/// A runner's answer to a listing request: its runs and their ends.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// Reading of the runner's clock in ms.
    pub clock: u64,
    /// Start time of the runner that answered in ms since 1970, 0 when the answer lacks it.
    pub born: u64,
    /// Active runs.
    pub rows: Vec<RunStatus>,
    /// Ends that the agent has not acknowledged.
    pub ended: Vec<EndedRun>,
    /// Whether the answer has ends that can't be decoded. Those are never acknowledged, so the
    /// runner may keep listing them.
    pub unread: bool,
    /// Whether the answer has all ends, also those that can't be decoded. Otherwise the runner may
    /// list further ones once these are acknowledged.
    pub complete: bool,
}

impl Listing {
    /// Whether the runner has neither a run nor an end that this listing doesn't show.
    pub(super) fn shows_all(&self) -> bool {
        self.complete && !self.unread
    }

    /// The listed runs, both active and ended.
    pub(super) fn runs(&self) -> impl Iterator<Item = RunKey> {
        let ended = self.ended.iter().map(|ended| ended.key);
        self.rows.iter().map(|row| row.key).chain(ended)
    }
}

/// Destination of a call to a runner, with the fencing token of the call.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Address of the runner.
    pub addr: SocketAddr,
    /// Name and start time of the runner that the call is meant for.
    pub incarnation: Incarnation,
    /// Fencing token: the runner refuses calls whose token is lower than the greatest it has seen.
    pub token: u64,
}

/// Failure of a call to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The runner refused the call and will not carry it out.
    Denied(Denial),
    /// The runner's port refuses connections, so nothing was sent and its process has ended.
    Gone,
    /// Another runner answered and did not carry the call out.
    Replaced,
    /// There was no usable answer, so the call may still take effect at any time.
    Silent,
}

/// Input of hosting.
#[derive(Debug)]
pub(crate) enum Message {
    /// An announcement arrived; anybody may have sent it.
    Announce(Box<Announcement>),
    /// A runner is shutting down; `born` is its start time, if the message names it.
    Leave { runner: String, born: Option<u64> },
    /// Answer to `Effect::List`.
    Listed { seq: u64, listing: Result<Box<Listing>, Fault> },
    /// The leader's answer to `Effect::Report`; `None` if there was none.
    Ordered { seq: u64, orders: Option<Box<Orders>> },
    /// Answer to `Effect::Pace`.
    Paced { key: RunKey, result: Result<(), Fault> },
    /// Answer to `Effect::Start`.
    Started { key: RunKey, result: Result<(), Fault> },
    /// Answer to `Effect::Stop`.
    Stopped { key: RunKey, result: Result<(), Fault> },
    /// Periodic timer, every `TICK`.
    Tick,
}

/// Output of hosting.
#[derive(Debug, PartialEq)]
pub(crate) enum Effect {
    /// Requests a listing, which the runner may hold back for up to `wait`. Acknowledges ends up to
    /// number `recorded`, and extends the lease to `lease_end` in ms on the runner's clock.
    List { seq: u64, target: Target, recorded: u64, lease_end: Option<u64>, wait: Span },
    /// Limits a task to a percentage of its speed.
    Pace { target: Target, key: RunKey, percent: u8 },
    /// Sends a report to the leader.
    Report(Box<Report>),
    /// Starts a run.
    Start { target: Target, start: Box<Start>, lease_end: u64 },
    /// Stops a run, or prevents its start if it has not begun.
    Stop { target: Target, key: RunKey },
}
