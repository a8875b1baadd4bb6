//! Measurements of a run.

use hdrhistogram::Histogram;
use toucangrade::placement::Counts;

use super::ANSWER_SIGMA;

/// Measurements of one run, or of several merged ones.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Latency of quick requests relative to the median when running alone, in thousandths.
    pub quick: Histogram<u64>,
    /// Core seconds of batch work done; work that is repeated after a loss is counted once.
    pub work: f64,
    /// Core seconds not used by quick tasks.
    pub room: f64,
    /// Core seconds of work that was done but lost.
    pub lost: f64,
    /// Time from submission to start of urgent jobs, in milliseconds.
    pub urgent: Histogram<u64>,
    pub counts: Counts,
    /// Jobs that completed.
    pub done: u64,
    /// Jobs submitted.
    pub jobs: u64,
}

impl Figures {
    /// 99th percentile of the latency of quick requests relative to that when running alone.
    pub fn p99(&self) -> f64 {
        let alone = (2.326_348 * ANSWER_SIGMA).exp() * 1_000.0;
        self.quick.value_at_quantile(0.99) as f64 / alone
    }

    /// Adds the measurements of another run.
    pub fn merge(&mut self, other: &Self) {
        self.quick.add(&other.quick).unwrap();
        self.urgent.add(&other.urgent).unwrap();
        self.work += other.work;
        self.room += other.room;
        self.lost += other.lost;
        self.counts = add(self.counts, other.counts);
        self.done += other.done;
        self.jobs += other.jobs;
    }
}

pub fn add(a: Counts, b: Counts) -> Counts {
    Counts {
        assigned: a.assigned + b.assigned,
        ended: a.ended + b.ended,
        evicted: a.evicted + b.evicted,
        guarded: a.guarded + b.guarded,
        lost: a.lost + b.lost,
        resumed: a.resumed + b.resumed,
        stale: a.stale + b.stale,
        submitted: a.submitted + b.submitted,
        throttled: a.throttled + b.throttled,
    }
}

/// Subtracts what a replay counted. Saturates, as a replay may also count evictions that had no effect
/// the first time.
pub fn subtract(a: Counts, b: Counts) -> Counts {
    Counts {
        assigned: a.assigned.saturating_sub(b.assigned),
        ended: a.ended.saturating_sub(b.ended),
        evicted: a.evicted.saturating_sub(b.evicted),
        guarded: a.guarded.saturating_sub(b.guarded),
        lost: a.lost.saturating_sub(b.lost),
        resumed: a.resumed.saturating_sub(b.resumed),
        stale: a.stale.saturating_sub(b.stale),
        submitted: a.submitted.saturating_sub(b.submitted),
        throttled: a.throttled.saturating_sub(b.throttled),
    }
}
