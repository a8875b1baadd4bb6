//! Messages of the history duties and what they keep.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::review::Report;
use crate::core::{Class, Key, Moment, Name, Span, Verdict};

/// One step in the life of a request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Event {
    /// Wall-clock time in milliseconds since 1970, for display only; zero until it is recorded.
    pub(crate) wall: u64,
    /// Clock of the process that noted it, in microseconds since its start.
    pub(crate) at: Moment,
    /// Process that noted it.
    pub(crate) by: Name,
    /// One sentence.
    pub(crate) text: String,
}

impl Event {
    /// A step whose wall-clock time is added when it is recorded.
    pub(crate) fn new(at: Moment, by: Name, text: String) -> Self {
        Self { wall: 0, at, by, text }
    }
}

/// How a request came out, without its steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Course {
    pub(crate) service: Name,
    pub(crate) kind: Name,
    /// Class of the kind, unknown when the request was refused before its kind was looked up.
    pub(crate) class: Option<Class>,
    pub(crate) verdict: Verdict,
    /// Code of the refusal, if it is one.
    pub(crate) code: Option<String>,
    /// Whether the caller's timeout passed before the outcome was known.
    pub(crate) late: bool,
    /// Evictions of the request; files of earlier versions lack it.
    #[serde(default)]
    pub(crate) evictions: u32,
}

impl Course {
    /// Whether batch work ran to its end.
    pub(crate) fn finished_batch(&self) -> bool {
        let whole = self.verdict == Verdict::Ran && self.code.is_none();
        whole && self.class == Some(Class::Batch)
    }

    /// Whether the outcome must survive restarts: it went wrong, or repeating it matters.
    pub(crate) fn durable(&self) -> bool {
        let ordinary = matches!(self.class, Some(Class::Quick)) && self.verdict == Verdict::Ran;
        !ordinary || self.late || self.code.is_some()
    }
}

/// A durable outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Outcome {
    pub(crate) key: Key,
    pub(crate) course: Course,
    /// Time from the first step to the outcome.
    pub(crate) took: Span,
    pub(crate) events: Vec<Event>,
}

/// Answers to callers of one service and kind during about a minute.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Summary {
    /// Latencies in microseconds, rounded to two digits, and how often each occurred.
    pub(crate) latencies: Vec<(u64, u64)>,
    /// Answers by verdict, or by verdict and refusal code as `not-run over-quota`.
    pub(crate) counts: BTreeMap<String, u64>,
}

/// How a declared job ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Ending {
    pub(crate) job: Name,
    pub(crate) shop: Name,
    pub(crate) kind: Name,
    /// `cancelled`, `done`, `failed` or `refused`.
    pub(crate) outcome: String,
    /// Evictions by cause.
    pub(crate) evictions: BTreeMap<String, u64>,
    /// Executions that went on after an eviction.
    pub(crate) resumed: u64,
}

impl Ending {
    /// Evictions for all causes together.
    pub(crate) fn evicted(&self) -> u64 {
        self.evictions.values().sum()
    }
}

/// What an entry tells control, or what control notes of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Body {
    /// Outcomes that were not sent for lack of room or of bytes a second.
    Dropped {
        count: u64,
    },
    /// A declared job has its final outcome.
    Ended(Ending),
    /// A declared job was evicted.
    Evicted {
        kind: Name,
        cause: String,
    },
    Outcome(Outcome),
    Summary {
        service: Name,
        kind: Name,
        summary: Summary,
    },
}

/// One item of an entry's durable history, identified by entry, incarnation and number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Item {
    pub(crate) entry: Name,
    pub(crate) incarnation: u64,
    pub(crate) number: u64,
    /// Wall-clock time in milliseconds since 1970, for display and for queries by people.
    pub(crate) wall: u64,
    pub(crate) body: Body,
}

/// An entry and its incarnation, which number the items.
pub(crate) type Source = (Name, u64);

/// What a control instance lacks of one source.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Held {
    pub(crate) source: Source,
    /// First and last number of each gap.
    pub(crate) gaps: Vec<(u64, u64)>,
}

impl Held {
    /// Whether an item with a number from `first` to `last` may be in a gap.
    pub(crate) fn lacks(&self, first: u64, last: u64) -> bool {
        self.gaps.iter().any(|&(from, to)| first <= to && from <= last)
    }
}

/// An item as control writes it.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    pub(crate) source: Source,
    pub(crate) number: u64,
    /// Hash of the request's key, for items that have one.
    pub(crate) hash: Option<u32>,
    pub(crate) bytes: Bytes,
}

/// Message to the duty of an entry.
#[derive(Debug)]
pub(crate) enum Message {
    /// The entry is leaving: everything is sent at once.
    Drain { wall: u64 },
    /// Someone asks for the steps of a request.
    Explain { ticket: u64, key: Key },
    /// Steps of a request, and its outcome when it has one.
    Record { key: Key, course: Option<Course>, events: Vec<Event>, wall: u64 },
    /// Control stored the items up to this number, or no instance did.
    Sent { through: u64, stored: bool },
    /// Answers to callers since the last handover.
    Tally(Vec<(Name, Name, Summary)>),
    /// Time passed.
    Tick { wall: u64 },
}

/// What the duty of an entry asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Everything is stored at control, after a drain was asked for.
    Drained,
    /// Answers a question.
    Explained { ticket: u64, events: Vec<Event> },
    /// Sends items to every control instance.
    Send { items: Vec<Item>, through: u64 },
}

/// Position of a frame: segment number and offset in bytes.
pub(crate) type Place = (u32, u64);

/// Message to the duty of a control instance.
#[derive(Debug)]
pub(crate) enum ArchiveMessage {
    /// Someone asks for the steps of a request.
    Explain { ticket: u64, key: Key },
    /// Frames at and after this offset of the segment could not be written.
    Failed { segment: u32, offset: u64, lost: Vec<(Source, u64)> },
    /// Another control instance asks for items that it lacks.
    Missing { ticket: u64, held: Vec<Held> },
    /// Someone asks for a review of a period, in milliseconds since 1970.
    Review { ticket: u64, from: u64, to: u64 },
    /// An entry's items.
    Store { ticket: u64, frames: Vec<Frame> },
    /// Time passed.
    Tick,
}

/// What the duty of a control instance asks for.
#[derive(Debug)]
pub(crate) enum ArchiveEffect {
    /// Asks another control instance for what this one lacks.
    Ask { held: Vec<Held> },
    /// Appends frames to a segment at this offset, syncs it and confirms.
    Append { ticket: u64, segment: u32, offset: u64, frames: Vec<Frame> },
    /// Reads these segments and answers with items that are lacking according to `held`.
    Pick { ticket: u64, segments: Vec<u32>, held: Vec<Held> },
    /// Reads the frames at these places and answers with the steps of the key.
    Read { ticket: u64, key: Key, places: Vec<Place> },
    /// Removes a segment.
    Remove { segment: u32 },
    /// Reads whole segments and answers with a review.
    Scan { ticket: u64, segments: Vec<u32>, report: Box<Report> },
    /// Confirms a batch that was stored before.
    Stored { ticket: u64 },
}
