//! Measures how much the tasks on a worker slow down quick requests of the same instance.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::{Moment, Name, Span};
use crate::placement::Latency;

/// Time that a report covers.
const WINDOW: Span = Span::secs(2);
/// Smallest number of requests in a window that is reported.
const MIN_SAMPLES: u64 = 10;
/// Growth of the baseline per window, in thousandths, which lets it follow slow changes of a kind.
const BASELINE_GROWTH_PERMILLE: u64 = 1;

/// Measurements of a kind of request.
#[derive(Debug, Default, Serialize)]
struct KindStats {
    #[serde(rename = "began")]
    window_start: Moment,
    /// Number of requests in the current window.
    count: u64,
    /// Total duration of the requests in the current window, in microseconds.
    total: u64,
    /// Smallest mean duration of a window, in microseconds, as an estimate of the duration without
    /// tasks on the worker.
    base: Option<u64>,
    /// Total duration of requests per second of the last window, in microseconds.
    busy: u64,
    /// Mean duration in the last window, in microseconds, until it is reported.
    #[serde(rename = "ready")]
    pending: Option<u64>,
}

/// Measures the latency of each kind in consecutive windows.
#[derive(Debug, Default, Serialize)]
pub(super) struct Meter {
    /// Measurements by service and kind.
    #[serde(rename = "lanes")]
    kinds: BTreeMap<Name, BTreeMap<Name, KindStats>>,
}

impl Meter {
    /// Records a served request and its duration. The first request at or after the end of a window
    /// is its last one and closes it.
    pub(super) fn record(&mut self, now: Moment, service: Name, kind: Name, took: Span) {
        let stats = self.kinds.entry(service).or_default().entry(kind).or_default();
        stats.count += 1;
        stats.total += took.as_micros();
        let elapsed = now.since(stats.window_start);
        if elapsed < WINDOW {
            return;
        }
        stats.busy = stats.total * 1_000_000 / elapsed.as_micros().max(1);
        if stats.count >= MIN_SAMPLES {
            let mean = stats.total / stats.count;
            let grown = stats.base.map(|base| base + base * BASELINE_GROWTH_PERMILLE / 1_000);
            stats.base = Some(grown.map_or(mean, |base| base.min(mean)).max(1));
            stats.pending = Some(mean);
        }
        (stats.window_start, stats.count, stats.total) = (now, 0, 0);
    }

    /// Reports of the windows that were closed since the last call.
    pub(super) fn reports(&mut self, now: Moment, worker: &Name) -> Vec<Latency> {
        let mut reports = Vec::new();
        for (service, kinds) in &mut self.kinds {
            for (kind, stats) in kinds {
                let (Some(mean), Some(base)) = (stats.pending.take(), stats.base) else { continue };
                let until = now.since(stats.window_start);
                reports.push(Latency {
                    from: until + WINDOW,
                    kind: kind.clone(),
                    ratio: mean as f64 / base as f64,
                    service: service.clone(),
                    until,
                    worker: worker.clone(),
                });
            }
        }
        reports
    }

    /// Load of a kind relative to its slots, from 0 to 1; `None` if no request was served yet.
    pub(super) fn load(&self, service: &Name, kind: &Name, slots: u32) -> Option<f64> {
        let stats = self.kinds.get(service)?.get(kind)?;
        let busy = stats.busy as f64 / 1_000_000.0;
        Some((busy / f64::from(slots.max(1))).min(1.0))
    }
}
