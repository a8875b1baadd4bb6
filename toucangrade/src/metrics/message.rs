//! Messages of the metrics duty.

use crate::core::{Name, Span};
use crate::history::Summary;

/// Load of a duty's ring.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Load {
    pub(crate) duty: &'static str,
    /// Messages that wait.
    pub(crate) waiting: usize,
    /// Messages refused since the process started.
    pub(crate) shed: u64,
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Answers to callers since the last handover.
    Answers(Vec<(Name, Name, Summary)>),
    /// Something happened `by` times.
    Count { name: String, by: u64 },
    /// A value that stands until the next one.
    Gauge { name: &'static str, value: u64 },
    /// Loads of all rings.
    Loads(Vec<Load>),
    /// Asks for everything counted so far as text.
    Scrape { ticket: u64 },
    /// Time passed.
    Tick,
    /// Something took this long.
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
    /// `count` events that each took about `micros`.
    Timer {
        name: String,
        micros: u64,
        count: u64,
    },
}

/// What the duty asks for.
#[derive(Debug, PartialEq)]
pub(crate) enum Effect {
    /// Sends what is buffered.
    Flush,
    /// Reads the loads of all rings and hands them in.
    Sample,
    /// Sends a value.
    Send(Stat),
    /// Answers a scrape.
    Text { ticket: u64, text: String },
}
