//! Mean slope per pair of kinds, independent or shrunk towards a pooled prior.

use serde::Serialize;

use super::{Estimate, PRIOR_ERROR, Sample, decay_since};
use crate::core::Moment;

/// Pressure at which a sample counts as one: the usual share of one task.
const SAMPLE_PRESSURE: f64 = 0.1;

/// Sums over the samples of one pair, weighted by pressure and decayed with age.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Pair {
    at: Moment,
    square: f64,
    sum: f64,
    weight: f64,
}

/// Pairs of all batch kinds with one quick kind.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Pairs {
    pairs: Vec<Pair>,
    shrink: bool,
}

impl Pairs {
    pub(super) const fn new(shrink: bool) -> Self {
        Self { pairs: Vec::new(), shrink }
    }

    pub(super) const fn uses_shrinkage(&self) -> bool {
        self.shrink
    }

    /// Attributes the excess to the kinds of the mix in proportion to their pressure.
    pub(super) fn learn(&mut self, sample: &Sample<'_>) {
        let total: f64 = sample.mix.iter().map(|p| p.amount).sum();
        // With a very small total pressure, the quotient is dominated by noise.
        if total < 0.02 {
            return;
        }
        let slope = sample.excess / total;
        for pressure in sample.mix {
            if self.pairs.len() <= pressure.kind {
                self.pairs.resize(pressure.kind + 1, Pair::default());
            }
            let pair = &mut self.pairs[pressure.kind];
            let factor = decay_since(pair.at, sample.at);
            pair.weight = pair.weight * factor + pressure.amount;
            pair.sum = pair.sum * factor + pressure.amount * slope;
            pair.square = pair.square * factor + pressure.amount * slope * slope;
            pair.at = pair.at.max(sample.at);
        }
    }

    /// Mean and standard error of the slope of an observed pair.
    pub(super) fn slope(&self, kind: usize) -> Option<Estimate> {
        let pair = self.pairs.get(kind).filter(|pair| pair.weight > 0.0)?;
        let mean = pair.sum / pair.weight;
        let variance = (pair.square / pair.weight - mean * mean).max(0.0);
        let count = pair.weight / SAMPLE_PRESSURE;
        let error = ((variance + PRIOR_ERROR.powi(2) / (1.0 + count)) / count.max(1.0)).sqrt();
        Some(Estimate { mean, error })
    }

    /// Equivalent number of samples of a pair.
    pub(super) fn count(&self, kind: usize) -> f64 {
        self.pairs.get(kind).map_or(0.0, |pair| pair.weight / SAMPLE_PRESSURE)
    }

    /// Restores a pair from another planner, as if it had been observed in `count` samples.
    pub(super) fn restore(&mut self, now: Moment, kind: usize, slope: Estimate, count: f64) {
        if self.pairs.len() <= kind {
            self.pairs.resize(kind + 1, Pair::default());
        }
        let Estimate { mean, error } = slope;
        // Inverse of `slope`.
        let variance = error.powi(2) * count.max(1.0) - PRIOR_ERROR.powi(2) / (1.0 + count);
        let weight = count * SAMPLE_PRESSURE;
        let square = weight * (mean * mean + variance.max(0.0));
        self.pairs[kind] = Pair { at: now, square, sum: weight * mean, weight };
    }

    /// Mean slope over the observed pairs, weighted by their samples.
    pub(super) fn mean_slope(&self) -> Option<f64> {
        let weight: f64 = self.pairs.iter().map(|pair| pair.weight).sum();
        let sum: f64 = self.pairs.iter().map(|pair| pair.sum).sum();
        (weight > 0.0).then(|| sum / weight)
    }

    /// Posterior slope of a pair: its own mean and the pooled prior, weighted by their precision.
    ///
    /// The variance between pairs is estimated from the observed pairs (empirical Bayes).
    pub(super) fn posterior(&self, kind: usize, prior: Estimate) -> Estimate {
        let Some(own) = self.slope(kind) else {
            return prior;
        };
        let seen: Vec<_> = (0..self.pairs.len()).filter_map(|k| self.slope(k)).collect();
        let count = seen.len() as f64;
        let center = seen.iter().map(|e| e.mean).sum::<f64>() / count;
        let scatter = seen.iter().map(|e| (e.mean - center).powi(2)).sum::<f64>() / count;
        let noise = seen.iter().map(|e| e.error.powi(2)).sum::<f64>() / count;
        let between_var = (scatter - noise).max(0.01);
        let (a, b) = (1.0 / own.error.powi(2).max(1e-9), 1.0 / between_var);
        Estimate { mean: (own.mean * a + prior.mean * b) / (a + b), error: (a + b).recip().sqrt() }
    }
}
