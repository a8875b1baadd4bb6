//! Control's part: durable outcomes in segments with an index by key.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use super::review::Report;
use super::{
    ArchiveEffect as Effect, ArchiveMessage as Message, Frame, Held, Place, Ranges, Source,
};
use crate::core::{Key, Moment, Span, invariant};

/// Bytes after which a new segment is begun; a batch more still fits offsets of 32 bits.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Time between two questions to other control instances for what this one lacks.
const ASK_EVERY: Span = Span::secs(30);

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
    /// Smallest and largest number of each source.
    #[serde(skip)]
    pub(crate) sources: BTreeMap<Source, (u64, u64)>,
}

impl Segment {
    /// Notes an item of a source.
    pub(crate) fn note(&mut self, source: Source, number: u64) {
        self.items += 1;
        let (first, last) = self.sources.entry(source).or_insert((number, number));
        (*first, *last) = (number.min(*first), number.max(*last));
    }
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Archive {
    /// Bytes of all segments; the oldest segment goes first.
    limit: u64,
    segments: VecDeque<Segment>,
    /// Numbers stored of each source.
    #[serde(skip)]
    held: BTreeMap<Source, Ranges>,
    ask: Moment,
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
        mut held: BTreeMap<Source, Ranges>,
    ) -> Self {
        let segments: VecDeque<Segment> = segments.into();
        // What lies before may have been removed for size and must not be asked for again.
        held.values_mut().for_each(Ranges::fill_start);
        Self { limit, segments, held, ask: Moment::START + ASK_EVERY, dropped: 0, stored: 0 }
    }

    /// Items that entries numbered but that this instance lacks.
    fn missed(&self) -> u64 {
        self.held.values().map(Ranges::missing).sum()
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Explain { ticket, key } => {
                let places = self.places(hash(&key));
                vec![Effect::Read { ticket, key, places }]
            },
            Message::Failed { segment, offset, lost } => {
                self.failed(segment, offset, lost);
                Vec::new()
            },
            Message::Missing { ticket, held } => {
                let segments = self.segments.iter().filter(|s| useful(s, &held));
                let segments = segments.map(|s| s.number).collect();
                vec![Effect::Pick { ticket, segments, held }]
            },
            Message::Review { ticket, from, to } => {
                let segments = self.segments.iter().map(|s| s.number).collect();
                let report = Box::new(Report::new(from, to, self.missed(), self.dropped));
                vec![Effect::Scan { ticket, segments, report }]
            },
            Message::Store { ticket, frames } => self.store(ticket, frames),
            Message::Tick if now >= self.ask => {
                self.ask = now + ASK_EVERY;
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
        let mut fresh = Vec::new();
        for frame in frames {
            // A batch is sent again when its confirmation was lost.
            if self.held.entry(frame.source.clone()).or_default().insert(frame.number) {
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
            segment.note(frame.source.clone(), frame.number);
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
    fn failed(&mut self, segment: u32, offset: u64, lost: Vec<(Source, u64)>) {
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

/// Whether a segment may have items that are lacking according to `held`.
fn useful(segment: &Segment, held: &[Held]) -> bool {
    segment.sources.iter().any(|(source, &(first, last))| {
        held.iter().find(|h| h.source == *source).is_none_or(|held| held.lacks(first, last))
    })
}

/// Whether an item is lacking according to `held`.
pub(crate) fn lacking(held: &[Held], source: &Source, number: u64) -> bool {
    held.iter().find(|held| held.source == *source).is_none_or(|held| held.lacks(number, number))
}
