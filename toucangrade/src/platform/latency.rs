//! How slow quick requests are beside a worker, relative to running alone.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::{Moment, Name, Span};
use crate::placement::Latency;

/// Time that one report covers.
const WINDOW: Span = Span::secs(2);
/// Requests that a window needs before it says anything.
const SAMPLES: u64 = 10;
/// Growth of the baseline per window, in thousandths, so that it follows slow changes of a kind.
const BASE_GROWTH: u64 = 1;

/// One kind of request.
#[derive(Debug, Default, Serialize)]
struct Lane {
    began: Moment,
    count: u64,
    total: u64,
    /// Smallest mean of a window, in microseconds: what running alone takes.
    base: Option<u64>,
    /// Busy microseconds per second in the last window.
    busy: u64,
    /// Mean of the last window that has not been reported.
    ready: Option<u64>,
}

/// Measures each kind in windows.
#[derive(Debug, Default, Serialize)]
pub(super) struct Meter {
    lanes: BTreeMap<Name, BTreeMap<Name, Lane>>,
}

impl Meter {
    /// Notes one served request.
    pub(super) fn note(&mut self, now: Moment, service: Name, kind: Name, took: Span) {
        let lane = self.lanes.entry(service).or_default().entry(kind).or_default();
        lane.count += 1;
        lane.total += took.as_micros();
        let covered = now.since(lane.began);
        if covered < WINDOW {
            return;
        }
        lane.busy = lane.total * 1_000_000 / covered.as_micros().max(1);
        if lane.count >= SAMPLES {
            let mean = lane.total / lane.count;
            let grown = lane.base.map(|base| base + base * BASE_GROWTH / 1_000);
            lane.base = Some(grown.map_or(mean, |base| base.min(mean)).max(1));
            lane.ready = Some(mean);
        }
        (lane.began, lane.count, lane.total) = (now, 0, 0);
    }

    /// Reports of the windows that ended since the last call.
    pub(super) fn reports(&mut self, now: Moment, worker: &Name) -> Vec<Latency> {
        let mut reports = Vec::new();
        for (service, kinds) in &mut self.lanes {
            for (kind, lane) in kinds {
                let (Some(mean), Some(base)) = (lane.ready.take(), lane.base) else { continue };
                let until = now.since(lane.began);
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

    /// Load of a kind relative to its slots, 0 to 1; `None` when nothing was served.
    pub(super) fn load(&self, service: &Name, kind: &Name, slots: u32) -> Option<f64> {
        let lane = self.lanes.get(service)?.get(kind)?;
        let busy = lane.busy as f64 / 1_000_000.0;
        Some((busy / f64::from(slots.max(1))).min(1.0))
    }
}
