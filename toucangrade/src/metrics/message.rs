//! Messages of the metrics duty.

use crate::core::{Name, Span};
use crate::history::Summary;

/// Load of a duty's ring.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Load {
    pub(crate) duty: &'static str,
    /// Number of queued messages.
    pub(crate) waiting: usize,
    /// Number of messages rejected because the ring was full, since the process started.
    pub(crate) shed: u64,
}

/// Input of the metrics duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Answers to callers by service and kind, as counted by an HTTP worker thread.
    Answers(Vec<(Name, Name, Summary)>),
    /// Increments a counter by `by`.
    Count { name: String, by: u64 },
    /// Sets a gauge, which keeps its value until the next message.
    Gauge { name: &'static str, value: u64 },
    /// Loads of all rings, in answer to [`Effect::Sample`].
    Loads(Vec<Load>),
    /// Requests the totals since the start in the Prometheus text format.
    Scrape { ticket: u64 },
    /// Periodic timer.
    Tick,
    /// Records a duration.
    Timer { name: &'static str, span: Span },
}

/// One value for the StatsD server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stat {
    Count {
        name: String,
        value: u64,
    },
    Gauge {
        name: String,
        value: u64,
    },
    /// `count` events that each took about `micros` microseconds.
    Timer {
        name: String,
        micros: u64,
        count: u64,
    },
}

/// Output of the metrics duty.
#[derive(Debug, PartialEq)]
pub(crate) enum Effect {
    /// Sends the buffered values to the StatsD server.
    Flush,
    /// Reads the loads of all rings and returns them as [`Message::Loads`].
    Sample,
    /// Adds a value to the buffer for the StatsD server.
    Send(Stat),
    /// Answers [`Message::Scrape`].
    Text { ticket: u64, text: String },
}
