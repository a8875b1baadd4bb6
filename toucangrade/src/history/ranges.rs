//! A set of integers stored as ranges, since nearly all numbers up to the last one are in it.

use std::collections::BTreeMap;

use serde::Serialize;

/// Largest number of gaps that are listed, besides the open one after the last number.
const MAX_GAPS: usize = 64;

/// Set of numbers from 1 on: a map from the first to the last number of each range.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct Ranges(BTreeMap<u64, u64>);

impl Ranges {
    /// Whether the number is in the set.
    pub(crate) fn contains(&self, number: u64) -> bool {
        self.0.range(..=number).next_back().is_some_and(|(_, &last)| number <= last)
    }

    /// Adds a number; returns false if it was already in the set.
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

    /// Removes a number from the set.
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

    /// Adds all numbers before the first one of the set.
    pub(crate) fn fill_start(&mut self) {
        if let Some((_, last)) = self.0.pop_first() {
            self.0.insert(1, last);
        }
    }

    /// First and last number of each gap in ascending order, at most `MAX_GAPS`; the open gap after
    /// the last number follows, with `u64::MAX` as its end.
    pub(crate) fn gaps(&self) -> Vec<(u64, u64)> {
        let mut gaps = Vec::new();
        let mut next = 1;
        for (&first, &last) in &self.0 {
            if next < first && gaps.len() < MAX_GAPS {
                gaps.push((next, first - 1));
            }
            next = last + 1;
        }
        gaps.push((next, u64::MAX));
        gaps
    }

    /// Count of the numbers below the last one that are not in the set.
    pub(crate) fn missing(&self) -> u64 {
        let last = self.0.last_key_value().map_or(0, |(_, &last)| last);
        last - self.0.iter().map(|(first, last)| last - first + 1).sum::<u64>()
    }
}
