//! Messages of the two history duties, of entries and of control instances, and the items they
//! store.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::review::Report;
use crate::core::{Class, Key, Moment, Name, Span, Verdict};

/// A step of the handling of a request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Event {
    /// Wall-clock time in milliseconds since 1970, for display only; set when the step is recorded,
    /// zero before.
    pub(crate) wall: u64,
    /// Time on the clock of the process that added the step.
    pub(crate) at: Moment,
    /// Process that added the step.
    pub(crate) by: Name,
    /// Description in one sentence.
    pub(crate) text: String,
}

impl Event {
    /// A step whose wall-clock time is set when it is recorded.
    pub(crate) fn new(at: Moment, by: Name, text: String) -> Self {
        Self { wall: 0, at, by, text }
    }
}

/// Result of a request, without its steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Course {
    pub(crate) service: Name,
    pub(crate) kind: Name,
    /// Class of the kind; `None` if the request was refused before its kind was looked up.
    pub(crate) class: Option<Class>,
    pub(crate) verdict: Verdict,
    /// Code of the refusal, if the request was refused.
    pub(crate) code: Option<String>,
    /// Whether the caller's timeout passed before the outcome was known.
    pub(crate) late: bool,
    /// Number of evictions of the request; missing in files of earlier versions.
    #[serde(default)]
    pub(crate) evictions: u32,
}

impl Course {
    /// Whether this is a batch request that ran to completion.
    pub(crate) fn finished_batch(&self) -> bool {
        let succeeded = self.verdict == Verdict::Ran && self.code.is_none();
        succeeded && self.class == Some(Class::Batch)
    }

    /// Whether the outcome has to survive restarts. This holds for all but quick requests that ran
    /// in time and without an error.
    pub(crate) fn durable(&self) -> bool {
        let ordinary = matches!(self.class, Some(Class::Quick)) && self.verdict == Verdict::Ran;
        !ordinary || self.late || self.code.is_some()
    }
}

/// A durable outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Outcome {
    pub(crate) key: Key,
    pub(crate) course: Course,
    /// Time from the first step to the outcome.
    pub(crate) took: Span,
    pub(crate) events: Vec<Event>,
}

/// Answers to callers of a service and kind over a period, in history items about a minute.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Summary {
    /// Latencies in microseconds, rounded to two significant digits, with their number of answers.
    pub(crate) latencies: Vec<(u64, u64)>,
    /// Number of answers by verdict, or by verdict and refusal code as in `not-run over-quota`.
    pub(crate) counts: BTreeMap<String, u64>,
}

/// Final outcome of a declared job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Ending {
    pub(crate) job: Name,
    pub(crate) shop: Name,
    pub(crate) kind: Name,
    /// `cancelled`, `done`, `failed` or `refused`.
    pub(crate) outcome: String,
    /// Number of evictions by cause.
    pub(crate) evictions: BTreeMap<String, u64>,
    /// Number of executions that resumed after an eviction.
    pub(crate) resumed: u64,
}

impl Ending {
    /// Number of evictions for all causes.
    pub(crate) fn total_evictions(&self) -> u64 {
        self.evictions.values().sum()
    }
}

/// Content of an item, which an entry sends to control or control adds when it applies its log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Body {
    /// Number of items that an entry dropped because its outbox was full or the rate limit was
    /// exceeded.
    Dropped { count: u64 },
    /// A declared job has its final outcome.
    Ended(Ending),
    /// A declared job was evicted.
    Evicted { kind: Name, cause: String },
    /// Durable outcome of a request.
    Outcome(Outcome),
    /// Answers of a service and kind.
    Summary { service: Name, kind: Name, summary: Summary },
}

/// An item of the durable history, identified by entry, incarnation and number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Item {
    pub(crate) entry: Name,
    pub(crate) incarnation: u64,
    pub(crate) number: u64,
    /// Wall-clock time in milliseconds since 1970, for display and the periods of reviews.
    pub(crate) wall: u64,
    pub(crate) body: Body,
}

/// An entry and its incarnation; each source numbers its items on its own.
pub(crate) type Source = (Name, u64);

/// The items of a source that a control instance is missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Held {
    pub(crate) source: Source,
    /// First and last number of each gap, both inclusive.
    pub(crate) gaps: Vec<(u64, u64)>,
}

impl Held {
    /// Whether the numbers from `first` to `last` overlap a gap.
    pub(crate) fn overlaps_gap(&self, first: u64, last: u64) -> bool {
        self.gaps.iter().any(|&(from, to)| first <= to && from <= last)
    }
}

/// An encoded item as written to a segment file.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    pub(crate) source: Source,
    pub(crate) number: u64,
    /// Hash of the request key, for items with one.
    pub(crate) hash: Option<u32>,
    pub(crate) bytes: Bytes,
}

/// Input of the history duty of an entry.
#[derive(Debug)]
pub(crate) enum Message {
    /// The entry drains: all items are sent without waiting for the interval.
    Drain { wall: u64 },
    /// Query for the steps of a request.
    Explain { ticket: u64, key: Key },
    /// Steps of a request, and its result once it has one.
    Record { key: Key, course: Option<Course>, events: Vec<Event>, wall: u64 },
    /// Result of a batch up to the item `through`: whether a control instance has stored it.
    Sent { through: u64, stored: bool },
    /// Answers to callers by service and kind, as counted by an HTTP worker thread.
    Tally(Vec<(Name, Name, Summary)>),
    /// Periodic timer.
    Tick { wall: u64 },
}

/// Output of the history duty of an entry.
#[derive(Debug)]
pub(crate) enum Effect {
    /// All items are stored at control, so the drain is complete.
    Drained,
    /// Answers [`Message::Explain`].
    Explained { ticket: u64, events: Vec<Event> },
    /// Sends a batch to every control instance; `through` is the number of its last item.
    Send { items: Vec<Item>, through: u64 },
}

/// Position of a frame: segment number and byte offset.
pub(crate) type Place = (u32, u64);

/// Input of the history duty of a control instance.
#[derive(Debug)]
pub(crate) enum ArchiveMessage {
    /// Query for the steps of a request.
    Explain { ticket: u64, key: Key },
    /// The frames from this offset of the segment on could not be written; `lost` are their items.
    Failed { segment: u32, offset: u64, lost: Vec<(Source, u64)> },
    /// Another control instance requests the items that it is missing.
    Missing { ticket: u64, held: Vec<Held> },
    /// Query for a review of the period from `from` to `to`, in milliseconds since 1970.
    Review { ticket: u64, from: u64, to: u64 },
    /// Items to store, from an entry, another control instance or this instance's own log.
    Store { ticket: u64, frames: Vec<Frame> },
    /// Periodic timer.
    Tick,
}

/// Output of the history duty of a control instance.
#[derive(Debug)]
pub(crate) enum ArchiveEffect {
    /// Requests the items that this instance is missing from another control instance.
    Ask { held: Vec<Held> },
    /// Writes frames to a segment from this offset on, syncs it and confirms the batch.
    Append { ticket: u64, segment: u32, offset: u64, frames: Vec<Frame> },
    /// Answers [`ArchiveMessage::Missing`] with the items of these segments that `held` lists as
    /// missing.
    Pick { ticket: u64, segments: Vec<u32>, held: Vec<Held> },
    /// Answers [`ArchiveMessage::Explain`] from the frames at these positions. Frames of other keys
    /// may be among them.
    Read { ticket: u64, key: Key, places: Vec<Place> },
    /// Deletes a segment.
    Remove { segment: u32 },
    /// Answers [`ArchiveMessage::Review`] from all items of these segments.
    Scan { ticket: u64, segments: Vec<u32>, report: Box<Report> },
    /// Confirms a batch whose items were all stored before.
    Stored { ticket: u64 },
}
