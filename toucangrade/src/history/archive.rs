//! Control's part: durable outcomes in segments with an index by key.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use super::review::Report;
use super::{ArchiveEffect as Effect, ArchiveMessage as Message, Frame, Place};
use crate::core::{Key, Moment, Name, invariant};

/// Bytes after which a new segment is begun; a batch more still fits offsets of 32 bits.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// What is known about one segment file.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Segment {
    pub(crate) number: u32,
    pub(crate) bytes: u64,
    /// Hash of the key and offset of each outcome, in order of offsets.
    #[serde(skip)]
    pub(crate) index: Vec<(u32, u32)>,
    /// Items in the segment.
    pub(crate) items: u64,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Archive {
    /// Bytes of all segments; the oldest segment goes first.
    limit: u64,
    segments: VecDeque<Segment>,
    /// Largest number stored for each entry and incarnation. An entry sends its items in order.
    #[serde(skip)]
    newest: BTreeMap<(Name, u64), u64>,
    /// Items that entries numbered but that this instance was never sent.
    missed: u64,
    /// Items removed with the oldest segments.
    dropped: u64,
    stored: u64,
}

/// Hash by which the index finds a key. Different keys may share it, so readers compare the key.
pub(crate) fn hash(key: &Key) -> u32 {
    crc32fast::hash(key.as_str().as_bytes())
}

impl Archive {
    /// State over the segments found on disk.
    pub(crate) fn new(
        limit: u64,
        segments: Vec<Segment>,
        newest: BTreeMap<(Name, u64), u64>,
    ) -> Self {
        let segments: VecDeque<Segment> = segments.into();
        Self { limit, segments, newest, missed: 0, dropped: 0, stored: 0 }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, _now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Explain { ticket, key } => {
                let places = self.places(hash(&key));
                vec![Effect::Read { ticket, key, places }]
            },
            Message::Failed { segment, offset, first } => {
                self.failed(segment, offset, first);
                Vec::new()
            },
            Message::Review { ticket, from, to } => {
                let segments = self.segments.iter().map(|s| s.number).collect();
                let report = Box::new(Report::new(from, to, self.missed, self.dropped));
                vec![Effect::Scan { ticket, segments, report }]
            },
            Message::Store { ticket, frames } => self.store(ticket, frames),
            Message::Tick => Vec::new(),
        }
    }

    fn places(&self, hash: u32) -> Vec<Place> {
        let mut places = Vec::new();
        for segment in &self.segments {
            let found = segment.index.iter().filter(|(other, _)| *other == hash);
            places.extend(found.map(|&(_, offset)| (segment.number, u64::from(offset))));
        }
        places
    }

    fn store(&mut self, ticket: u64, frames: Vec<Frame>) -> Vec<Effect> {
        let mut fresh = Vec::new();
        for frame in frames {
            let newest = self.newest.entry((frame.entry.clone(), frame.incarnation)).or_default();
            // A batch is sent again when its confirmation was lost.
            if frame.number > *newest {
                self.missed += frame.number - *newest - 1;
                *newest = frame.number;
                fresh.push(frame);
            }
        }
        if fresh.is_empty() {
            return vec![Effect::Stored { ticket }];
        }
        if self.segments.back().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES) {
            let number = self.segments.back().map_or(1, |segment| segment.number + 1);
            self.segments.push_back(Segment { number, ..Segment::default() });
        }
        let Some(segment) = self.segments.back_mut() else { return Vec::new() };
        let offset = segment.bytes;
        for frame in &fresh {
            segment.index.extend(frame.hash.map(|hash| (hash, segment.bytes as u32)));
            segment.bytes += frame.bytes.len() as u64;
            segment.items += 1;
        }
        self.stored += fresh.len() as u64;
        let number = segment.number;
        let mut effects = vec![Effect::Append { ticket, segment: number, offset, frames: fresh }];
        effects.extend(self.shrink());
        effects
    }

    /// Removes the oldest segments while all together exceed the limit.
    fn shrink(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut bytes: u64 = self.segments.iter().map(|segment| segment.bytes).sum();
        while bytes > self.limit && self.segments.len() > 1 {
            let Some(oldest) = self.segments.pop_front() else { break };
            bytes -= oldest.bytes;
            self.dropped += oldest.items;
            effects.push(Effect::Remove { segment: oldest.number });
        }
        invariant!(
            bytes <= self.limit || self.segments.len() == 1,
            "history of {bytes} bytes exceeds its limit of {} bytes",
            self.limit
        );
        effects
    }

    /// Forgets frames that could not be written, so that they are taken when sent again.
    fn failed(&mut self, segment: u32, offset: u64, first: BTreeMap<(Name, u64), u64>) {
        if let Some(segment) = self.segments.iter_mut().find(|s| s.number == segment) {
            segment.index.retain(|&(_, at)| u64::from(at) < offset);
            segment.bytes = segment.bytes.min(offset);
        }
        for (source, number) in first {
            if let Some(newest) = self.newest.get_mut(&source) {
                *newest = (*newest).min(number.saturating_sub(1));
            }
        }
    }
}
