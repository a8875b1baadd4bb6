//! Durations of tasks with their spread, learned for each queue, and when running tasks will end.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::core::{Moment, Span};

/// Host and prefix of a queue.
type Address = (Arc<str>, Arc<str>);

/// Ends after which a queue's durations are known well enough for a forecast.
const ENDS_LEAST: u32 = 8;
/// Least weight of the newest end, so that the values follow about the last fifty.
const WEIGHT_LEAST: f64 = 0.02;
/// Least progress in percent from which the rest is extrapolated. Reports round it down, and before
/// this a start-up dominates.
const PROGRESS_LEAST: u8 = 10;

/// Mean and variance of the durations of a queue's tasks, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Learned {
    ends: u32,
    mean: f64,
    variance: f64,
}

impl Learned {
    fn record(&mut self, took: Span) {
        self.ends = self.ends.saturating_add(1);
        let weight = (1.0 / f64::from(self.ends)).max(WEIGHT_LEAST);
        let off = took.as_micros() as f64 - self.mean;
        self.mean += weight * off;
        self.variance = (1.0 - weight) * (self.variance + weight * off * off);
    }

    /// Mean duration and `spreads` standard deviations, if enough ends are known.
    fn bound(&self, spreads: f64) -> Option<Span> {
        let known = self.ends >= ENDS_LEAST;
        known.then(|| Span::micros((self.mean + spreads * self.variance.sqrt()) as u64))
    }
}

/// What is known of a running task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) began: Moment,
    /// When the runner listed it last.
    pub(crate) seen: Moment,
    pub(crate) percent: u8,
}

/// Learned durations by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durations(BTreeMap<Address, Learned>);

impl Durations {
    pub(crate) fn record(&mut self, address: Address, took: Span) {
        self.0.entry(address).or_default().record(took);
    }

    pub(crate) fn learned(&self, address: &Address) -> Learned {
        self.0.get(address).copied().unwrap_or_default()
    }
}

impl Learned {
    /// Time within which nearly all tasks end: the bound for work that may go ahead of a
    /// reservation. Late ends of such work delay the owner, so it lies well above the mean.
    pub(crate) fn upper(&self) -> Option<Span> {
        self.bound(2.0)
    }

    /// When a running task will probably end, `None` if nothing is known.
    ///
    /// Reported progress goes before what was learned. A task that runs past its estimate is
    /// expected to take half as long again as it has run, as long durations have long tails.
    pub(crate) fn expected_end(&self, now: Moment, run: Progress) -> Option<Moment> {
        let age = now.since(run.began);
        let shown = run.seen.since(run.began).as_micros();
        let end = if run.percent >= PROGRESS_LEAST && shown > 0 {
            run.began + Span::micros(shown.saturating_mul(100) / u64::from(run.percent))
        } else {
            run.began + self.bound(1.0)?
        };
        Some(if end > now { end } else { now + age.percent(50) })
    }
}
