//! Messages and effects of hosting.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::Span;
use crate::dispatch::{Denial, Ended, Orders, Report, Row, Start};
use crate::jobs::{Life, Need, RunKey};

/// What a runner says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Name and start of the runner.
    pub life: Life,
    /// Where it takes orders.
    pub addr: SocketAddr,
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
    /// Rises with each announcement of one life.
    pub sequence: u64,
}

/// A runner's own account of its runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// Reading of the runner's clock in ms.
    pub clock: u64,
    /// Start of the runner that answered, 0 when it does not say.
    pub born: u64,
    /// Runs going on.
    pub rows: Vec<Row>,
    /// Ends that were not acknowledged.
    pub ended: Vec<Ended>,
    /// Whether there are ends that can't be read. Those are never acknowledged, so the runner may go
    /// on listing them.
    pub unread: bool,
}

/// Where an order goes, and under which identity.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Address of the runner.
    pub addr: SocketAddr,
    /// Name and start of the runner that is meant.
    pub life: Life,
    /// Fencing token: calls with a lower one than the runner has seen are refused.
    pub token: u64,
}

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The runner refused it and will not carry it out.
    Denied(Denial),
    /// The runner's port refuses connections, so nothing was sent and its process has ended.
    Gone,
    /// Another runner answered, which did nothing.
    Replaced,
    /// There was no usable answer, so it may be carried out at any time.
    Silent,
}

/// Input of hosting.
#[derive(Debug)]
pub(crate) enum Message {
    /// The runner announced itself.
    Announce(Box<Announcement>),
    /// The runner says that it ends now.
    Leave { runner: String, born: Option<u64> },
    /// Answer to `Effect::List`.
    Listed { seq: u64, listing: Result<Box<Listing>, Fault> },
    /// Answer to `Effect::Report`; `None` when there was none.
    Ordered { seq: u64, orders: Option<Box<Orders>> },
    /// Answer to `Effect::Pace`.
    Paced { key: RunKey, result: Result<(), Fault> },
    /// Answer to `Effect::Start`.
    Started { key: RunKey, result: Result<(), Fault> },
    /// Answer to `Effect::Stop`.
    Stopped { key: RunKey, result: Result<(), Fault> },
    /// Time passes.
    Tick,
}

/// Output of hosting.
#[derive(Debug, PartialEq)]
pub(crate) enum Effect {
    /// Asks the runner what runs there; extends its lease to `until`.
    List { seq: u64, target: Target, noted: u64, until: Option<u64>, wait: Span },
    /// Lets a task work at a share of its speed.
    Pace { target: Target, key: RunKey, percent: u8 },
    /// Reports to the leader.
    Report(Box<Report>),
    /// Starts a run.
    Start { target: Target, start: Box<Start>, until: u64 },
    /// Stops a run, or keeps it from being started.
    Stop { target: Target, key: RunKey },
}
