//! Latency histogram and result counts of answers.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::Summary;

/// Upper bound of the histogram in microseconds (one hour); longer latencies count as this one.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latencies and results of the answers of a service and kind.
#[derive(Debug)]
pub(crate) struct Tally {
    latencies: Histogram<u64>,
    counts: BTreeMap<String, u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .unwrap_or_else(|error| unreachable!("fixed bounds: {error}"));
        Self { latencies, counts: BTreeMap::new() }
    }
}

impl Tally {
    /// Records a duration in microseconds without a result.
    pub(crate) fn record_time(&mut self, micros: u64) {
        self.latencies.saturating_record(micros);
    }

    /// Records an answer with its latency in microseconds and its result.
    pub(crate) fn add(&mut self, micros: u64, result: &str) {
        self.record_time(micros);
        match self.counts.get_mut(result) {
            Some(count) => *count += 1,
            None => drop(self.counts.insert(result.to_owned(), 1)),
        }
    }

    /// Adds the summary of another tally.
    pub(crate) fn merge(&mut self, summary: &Summary) {
        for &(micros, count) in &summary.latencies {
            self.latencies.saturating_record_n(micros, count);
        }
        for (result, count) in &summary.counts {
            *self.counts.entry(result.clone()).or_default() += count;
        }
    }

    /// Converts to the compact form for messages and files.
    pub(crate) fn summary(&self) -> Summary {
        let recorded = self.latencies.iter_recorded();
        let latencies =
            recorded.map(|v| (v.value_iterated_to(), v.count_since_last_iteration())).collect();
        Summary { latencies, counts: self.counts.clone() }
    }

    /// Number of recorded answers.
    pub(crate) fn len(&self) -> u64 {
        self.latencies.len()
    }

    /// Number of answers by result.
    pub(crate) fn counts(&self) -> &BTreeMap<String, u64> {
        &self.counts
    }

    /// Latency in microseconds at a quantile from 0 to 1.
    pub(crate) fn quantile(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile)
    }

    /// Largest latency in microseconds.
    pub(crate) fn max(&self) -> u64 {
        self.latencies.max()
    }
}
