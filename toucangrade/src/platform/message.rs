//! Messages of the platform duty, and the functions by which a worker is met.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::membership::Offer;
use crate::placement::{Checkpoint, Size, Target};
use crate::scheduling::{Order, Work};

/// State of a task as its worker tells it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Stage {
    /// It ended with an error.
    Failed,
    /// It ran to its end.
    Finished,
    /// The guard stopped it above its granted memory.
    Memory,
    /// It runs.
    Running,
    /// It was stopped on request.
    Stopped,
}

/// One task as its worker tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Status {
    pub(crate) job: Name,
    pub(crate) fence: u64,
    pub(crate) stage: Stage,
    /// Core seconds of work done.
    pub(crate) done: u64,
    /// Newest synced checkpoint.
    pub(crate) checkpoint: Checkpoint,
    /// What it used of late.
    pub(crate) used: Size,
}

/// A task to start on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Begin {
    pub(crate) job: Name,
    pub(crate) fence: u64,
    pub(crate) kind: Name,
    pub(crate) from: Checkpoint,
    pub(crate) grant: Size,
    /// The worker ends the task when the agent is silent for this long.
    pub(crate) lease_ms: u64,
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// What the runners beside the agent offer.
    Offers(Vec<Offer>),
    /// Control answered the heartbeat with this number, or did not.
    Ordered { number: u64, orders: Option<Vec<Order>> },
    /// The worker listed its tasks, or did not.
    Polled(Option<Vec<Status>>),
    /// A quick request was served in this time.
    Served { kind: Name, took: Span },
    /// Time passed.
    Tick,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Starts a task on the worker.
    Begin(Begin),
    /// Has the worker checkpoint a task.
    Checkpoint(Target),
    /// Lists the worker's tasks.
    Poll,
    /// Stops a task.
    Stop(Target),
    /// Limits a task to a share of its granted cores, in percent.
    Throttle { share: u8, target: Target },
    /// Sends a heartbeat to control.
    Work { number: u64, work: Work },
}

type Call<T> = Arc<dyn Fn(T) + Send + Sync>;
type Listed = Box<dyn FnOnce(Option<Vec<Status>>) + Send>;

/// The functions of a worker; fakes are other values of it.
#[derive(Clone)]
pub(crate) struct Platform {
    pub(crate) begin: Call<Begin>,
    pub(crate) checkpoint: Call<Target>,
    pub(crate) list: Call<Listed>,
    pub(crate) stop: Call<Target>,
    pub(crate) throttle: Call<(u8, Target)>,
}
