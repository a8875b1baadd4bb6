//! Sets of numbers, kept as ranges because nearly all numbers are in them.

use std::collections::BTreeMap;

use serde::Serialize;

/// Gaps that are listed at once, besides everything after the last number.
const GAPS_LISTED: usize = 64;

/// Numbers from 1 on, as first and last number of each range.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct Ranges(BTreeMap<u64, u64>);

impl Ranges {
    /// Whether the number is in the set.
    pub(crate) fn contains(&self, number: u64) -> bool {
        self.0.range(..=number).next_back().is_some_and(|(_, &last)| number <= last)
    }

    /// Adds a number; false when it was in the set.
    pub(crate) fn insert(&mut self, number: u64) -> bool {
        if self.contains(number) {
            return false;
        }
        let (mut first, mut last) = (number, number);
        let before = self.0.range(..number).next_back().map(|(&f, &l)| (f, l));
        if let Some((f, l)) = before
            && l + 1 == number
        {
            first = f;
        }
        if let Some(l) = number.checked_add(1).and_then(|next| self.0.remove(&next)) {
            last = l;
        }
        self.0.insert(first, last);
        true
    }

    /// Takes a number out of the set.
    pub(crate) fn remove(&mut self, number: u64) {
        let Some((&first, &last)) = self.0.range(..=number).next_back() else { return };
        if number > last {
            return;
        }
        self.0.remove(&first);
        if first < number {
            self.0.insert(first, number - 1);
        }
        if number < last {
            self.0.insert(number + 1, last);
        }
    }

    /// Adds everything before the first number.
    pub(crate) fn fill_start(&mut self) {
        if let Some((_, last)) = self.0.pop_first() {
            self.0.insert(1, last);
        }
    }

    /// First and last number of the gaps, the oldest first; the last one has no end.
    pub(crate) fn gaps(&self) -> Vec<(u64, u64)> {
        let mut gaps = Vec::new();
        let mut next = 1;
        for (&first, &last) in &self.0 {
            if next < first && gaps.len() < GAPS_LISTED {
                gaps.push((next, first - 1));
            }
            next = last + 1;
        }
        gaps.push((next, u64::MAX));
        gaps
    }

    /// Count of numbers that are missing before the last number.
    pub(crate) fn missing(&self) -> u64 {
        let last = self.0.last_key_value().map_or(0, |(_, &last)| last);
        last - self.0.iter().map(|(first, last)| last - first + 1).sum::<u64>()
    }
}
