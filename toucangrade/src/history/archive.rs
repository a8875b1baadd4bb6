//! History duty of a control instance: stores durable outcomes in segments with an index by key,
//! and fetches missing items from other control instances.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use super::review::Report;
use super::{
    ArchiveEffect as Effect, ArchiveMessage as Message, Frame, Held, Place, Ranges, Source,
};
use crate::core::{Key, Moment, Span, invariant};

/// Size from which a new segment is started, in bytes; with one more batch, offsets still fit into
/// 32 bits.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Interval at which missing items are requested from another control instance.
const FETCH_INTERVAL: Span = Span::secs(30);

/// Metadata of a segment file.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Segment {
    pub(crate) number: u32,
    pub(crate) bytes: u64,
    /// Hash of the key and byte offset of each outcome, ordered by offset.
    #[serde(skip)]
    pub(crate) index: Vec<(u32, u32)>,
    /// Number of items in the segment.
    pub(crate) items: u64,
    /// Smallest and largest item number of each source.
    #[serde(skip)]
    pub(crate) sources: BTreeMap<Source, (u64, u64)>,
}

impl Segment {
    /// Updates the metadata for an item that is added to the segment.
    pub(crate) fn add_item(&mut self, source: Source, number: u64) {
        self.items += 1;
        let (first, last) = self.sources.entry(source).or_insert((number, number));
        (*first, *last) = (number.min(*first), number.max(*last));
    }
}

/// State of the history duty of a control instance.
#[derive(Debug, Serialize)]
pub(crate) struct Archive {
    /// Limit for the total size of all segments, in bytes; the oldest are removed first.
    limit: u64,
    segments: VecDeque<Segment>,
    /// Item numbers of each source that are stored, or that were and may have been removed.
    #[serde(skip)]
    held: BTreeMap<Source, Ranges>,
    #[serde(rename = "ask")]
    next_fetch: Moment,
    /// Number of items removed with the oldest segments.
    dropped: u64,
    /// Number of items stored since the start.
    stored: u64,
}

/// Hash of a key for the index. Keys may collide, so readers compare the key of the outcome.
pub(crate) fn hash(key: &Key) -> u32 {
    crc32fast::hash(key.as_str().as_bytes())
}

impl Archive {
    /// Initial state from the segments found on disk.
    pub(crate) fn new(
        limit: u64,
        segments: Vec<Segment>,
        mut held: BTreeMap<Source, Ranges>,
    ) -> Self {
        let segments: VecDeque<Segment> = segments.into();
        // Items before the first held one may have been removed to stay within `limit` and must not
        // be requested again.
        held.values_mut().for_each(Ranges::fill_start);
        Self {
            limit,
            segments,
            held,
            next_fetch: Moment::START + FETCH_INTERVAL,
            dropped: 0,
            stored: 0,
        }
    }

    /// Number of items that this instance is missing, up to the newest one of each source.
    fn missing_items(&self) -> u64 {
        self.held.values().map(Ranges::missing).sum()
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Explain { ticket, key } => {
                let places = self.places(hash(&key));
                vec![Effect::Read { ticket, key, places }]
            },
            Message::Failed { segment, offset, lost } => {
                self.discard_unwritten(segment, offset, lost);
                Vec::new()
            },
            Message::Missing { ticket, held } => {
                let segments = self.segments.iter().filter(|s| may_contain_missing(s, &held));
                let segments = segments.map(|s| s.number).collect();
                vec![Effect::Pick { ticket, segments, held }]
            },
            Message::Review { ticket, from, to } => {
                let segments = self.segments.iter().map(|s| s.number).collect();
                let report = Box::new(Report::new(from, to, self.missing_items(), self.dropped));
                vec![Effect::Scan { ticket, segments, report }]
            },
            Message::Store { ticket, frames } => self.store(ticket, frames),
            Message::Tick if now >= self.next_fetch => {
                self.next_fetch = now + FETCH_INTERVAL;
                let held = self.held.iter();
                let held = held.map(|(s, r)| Held { source: s.clone(), gaps: r.gaps() }).collect();
                vec![Effect::Ask { held }]
            },
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
        let mut new_frames = Vec::new();
        for frame in frames {
            // A batch whose confirmation was lost is sent again.
            if self.held.entry(frame.source.clone()).or_default().insert(frame.number) {
                new_frames.push(frame);
            }
        }
        if new_frames.is_empty() {
            return vec![Effect::Stored { ticket }];
        }
        if self.segments.back().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES) {
            let number = self.segments.back().map_or(1, |segment| segment.number + 1);
            self.segments.push_back(Segment { number, ..Segment::default() });
        }
        let Some(segment) = self.segments.back_mut() else { return Vec::new() };
        let offset = segment.bytes;
        for frame in &new_frames {
            segment.index.extend(frame.hash.map(|hash| (hash, segment.bytes as u32)));
            segment.bytes += frame.bytes.len() as u64;
            segment.add_item(frame.source.clone(), frame.number);
        }
        self.stored += new_frames.len() as u64;
        let number = segment.number;
        let mut effects =
            vec![Effect::Append { ticket, segment: number, offset, frames: new_frames }];
        effects.extend(self.remove_oldest());
        effects
    }

    /// Removes the oldest segments until the total size is within the limit, but never the last
    /// one.
    fn remove_oldest(&mut self) -> Vec<Effect> {
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

    /// Removes frames that could not be written from the metadata, so that they are accepted when
    /// they are sent again.
    fn discard_unwritten(&mut self, segment: u32, offset: u64, lost: Vec<(Source, u64)>) {
        if let Some(segment) = self.segments.iter_mut().find(|s| s.number == segment) {
            segment.index.retain(|&(_, at)| u64::from(at) < offset);
            segment.bytes = segment.bytes.min(offset);
        }
        for (source, number) in lost {
            if let Some(held) = self.held.get_mut(&source) {
                held.remove(number);
            }
        }
    }
}

/// Whether a segment may contain items that `held` lists as missing. All items of a source that it
/// doesn't list are missing.
fn may_contain_missing(segment: &Segment, held: &[Held]) -> bool {
    segment.sources.iter().any(|(source, &(first, last))| {
        held.iter().find(|h| h.source == *source).is_none_or(|held| held.overlaps_gap(first, last))
    })
}

/// Whether `held` lists an item as missing. All items of a source that it doesn't list are missing.
pub(crate) fn lacking(held: &[Held], source: &Source, number: u64) -> bool {
    held.iter()
        .find(|held| held.source == *source)
        .is_none_or(|held| held.overlaps_gap(number, number))
}
