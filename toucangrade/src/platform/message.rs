//! Messages of the platform duty, and the interface through which it controls its worker.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::membership::Offer;
use crate::placement::{Checkpoint, Size, Target};
use crate::scheduling::{Order, Work};

/// State of a task as reported by the worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Stage {
    /// Ended with an error.
    Failed,
    /// Ran to completion.
    Finished,
    /// Stopped because it exceeded its granted memory.
    Memory,
    /// Still running.
    Running,
    /// Stopped on request.
    Stopped,
}

/// Status of a task as reported by the worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Status {
    pub(crate) job: Name,
    pub(crate) fence: u64,
    pub(crate) stage: Stage,
    /// Work done, in core seconds.
    pub(crate) done: u64,
    /// Newest synced checkpoint.
    pub(crate) checkpoint: Checkpoint,
    /// Recent resource usage.
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
    /// Lease in milliseconds: the worker ends the task if it hears nothing from the agent for this
    /// long.
    pub(crate) lease_ms: u64,
}

/// Input of the platform duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Services and kinds offered by the runners of this agent's instance.
    Offers(Vec<Offer>),
    /// Orders in the reply to the heartbeat with this number; `None` if there was no reply.
    Ordered { number: u64, orders: Option<Vec<Order>> },
    /// Tasks listed by the worker; `None` if it did not answer.
    Polled(Option<Vec<Status>>),
    /// A quick request of this kind was served in this time.
    Served { kind: Name, took: Span },
    /// Periodic timer.
    Tick,
}

/// Output of the platform duty.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Starts a task on the worker.
    Begin(Begin),
    /// Requests a checkpoint of a task.
    Checkpoint(Target),
    /// Requests the task list of the worker.
    Poll,
    /// Stops a task.
    Stop(Target),
    /// Limits a task to a share of its granted cores, in percent.
    Throttle { share: u8, target: Target },
    /// Sends the heartbeat with this number to control.
    Work { number: u64, work: Work },
}

type Callback<T> = Arc<dyn Fn(T) + Send + Sync>;
type ListCallback = Box<dyn FnOnce(Option<Vec<Status>>) + Send>;

/// Functions that act on a worker, which tests can replace.
#[derive(Clone)]
pub(crate) struct Platform {
    pub(crate) begin: Callback<Begin>,
    pub(crate) checkpoint: Callback<Target>,
    pub(crate) list: Callback<ListCallback>,
    pub(crate) stop: Callback<Target>,
    pub(crate) throttle: Callback<(u8, Target)>,
}
