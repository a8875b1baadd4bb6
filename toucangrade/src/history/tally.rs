//! Latencies and counts of answers, gathered without a lock for each request.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::Summary;

/// Longest latency that is told apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 2;

/// Answers of one service and kind.
#[derive(Debug)]
pub(crate) struct Tally {
    latencies: Histogram<u64>,
    counts: BTreeMap<String, u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latencies = Histogram::new_with_bounds(1, LONGEST, DIGITS)
            .unwrap_or_else(|error| unreachable!("fixed bounds: {error}"));
        Self { latencies, counts: BTreeMap::new() }
    }
}

impl Tally {
    /// Adds a time without a result.
    pub(crate) fn time(&mut self, micros: u64) {
        self.latencies.saturating_record(micros);
    }

    /// Counts one answer after `micros`.
    pub(crate) fn add(&mut self, micros: u64, result: &str) {
        self.time(micros);
        match self.counts.get_mut(result) {
            Some(count) => *count += 1,
            None => drop(self.counts.insert(result.to_owned(), 1)),
        }
    }

    /// Adds what another tally gathered.
    pub(crate) fn merge(&mut self, summary: &Summary) {
        for &(micros, count) in &summary.latencies {
            self.latencies.saturating_record_n(micros, count);
        }
        for (result, count) in &summary.counts {
            *self.counts.entry(result.clone()).or_default() += count;
        }
    }

    /// The compact form for messages and files.
    pub(crate) fn summary(&self) -> Summary {
        let recorded = self.latencies.iter_recorded();
        let latencies =
            recorded.map(|v| (v.value_iterated_to(), v.count_since_last_iteration())).collect();
        Summary { latencies, counts: self.counts.clone() }
    }

    /// Number of answers.
    pub(crate) fn len(&self) -> u64 {
        self.latencies.len()
    }

    /// Answers by result.
    pub(crate) fn counts(&self) -> &BTreeMap<String, u64> {
        &self.counts
    }

    /// Latency in microseconds that the share `quantile` of answers does not exceed.
    pub(crate) fn quantile(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile)
    }

    /// The greatest latency in microseconds.
    pub(crate) fn max(&self) -> u64 {
        self.latencies.max()
    }
}
