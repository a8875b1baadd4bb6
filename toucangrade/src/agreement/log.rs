//! In-memory part of the replicated log.

use std::collections::VecDeque;

use serde::{Serialize, Serializer};

use super::message::Entry;
use crate::core::invariant;

/// Consecutive entries after `base`. Of the entry at `base`, only index and term are kept.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    base: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(super) fn new(base: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        Self { base, base_term, entries: entries.into() }
    }

    /// Index of the entry before the first one in memory.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    pub(super) fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn push(&mut self, entry: Entry) {
        invariant!(
            entry.index == self.last() + 1 && entry.term >= self.last_term(),
            "entry {} of term {} appended after {} of term {}",
            entry.index,
            entry.term,
            self.last(),
            self.last_term()
        );
        self.entries.push_back(entry);
    }

    /// Entries from `first` on, limited by number and bytes, but at least one if there is any.
    pub(super) fn batch(&self, first: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut batch = Vec::new();
        let skipped = usize::try_from(first.saturating_sub(self.base + 1)).unwrap_or(usize::MAX);
        for entry in self.entries.iter().skip(skipped).take(count) {
            size += entry.payload.size();
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        let kept = usize::try_from(index.saturating_sub(self.base + 1)).unwrap_or(usize::MAX);
        self.entries.truncate(kept);
    }

    /// Removes the entries up to `index`, except the last of them: at most `count` entries, with
    /// less than `bytes` bytes in total.
    pub(super) fn compact(&mut self, index: u64, count: u64, bytes: usize) {
        let (mut kept, mut size) = (0, 0);
        while kept < count {
            size += self.get(index - kept).map_or(bytes, |e| e.payload.size());
            if size >= bytes {
                break;
            }
            kept += 1;
        }
        while self.base < index - kept {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            (self.base, self.base_term) = (entry.index, entry.term);
        }
    }

    /// First index in memory of the consecutive entries with the same term as the one at `index`.
    pub(super) fn term_start(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut first = index;
        while first > self.base + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }
}

/// The state dump contains the bounds of the log, not its commands.
impl Serialize for Log {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;
        let mut log = serializer.serialize_struct("Log", 4)?;
        log.serialize_field("base", &self.base)?;
        log.serialize_field("base_term", &self.base_term)?;
        log.serialize_field("last", &self.last())?;
        log.serialize_field("last_term", &self.last_term())?;
        log.end()
    }
}
