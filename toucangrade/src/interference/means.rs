//! A mean slope for each pair, independent or shrunk towards a pooled one.

use serde::Serialize;

use super::{Estimate, PRIOR_ERROR, Sample, decay};
use crate::core::Moment;

/// Pressure at which a sample has full weight, the usual share of one task.
const SAMPLE_PRESSURE: f64 = 0.1;

/// Sums for one pair, decayed with age.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Pair {
    at: Moment,
    square: f64,
    sum: f64,
    weight: f64,
}

/// All pairs of one quick kind.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Pairs {
    pairs: Vec<Pair>,
    shrink: bool,
}

impl Pairs {
    pub(super) const fn new(shrink: bool) -> Self {
        Self { pairs: Vec::new(), shrink }
    }

    pub(super) const fn shrinks(&self) -> bool {
        self.shrink
    }

    /// Blames each kind in the mix in proportion to its pressure.
    pub(super) fn learn(&mut self, sample: &Sample<'_>) {
        let total: f64 = sample.mix.iter().map(|p| p.amount).sum();
        // With next to nothing running the quotient is noise.
        if total < 0.02 {
            return;
        }
        let slope = sample.excess / total;
        for pressure in sample.mix {
            if self.pairs.len() <= pressure.kind {
                self.pairs.resize(pressure.kind + 1, Pair::default());
            }
            let pair = &mut self.pairs[pressure.kind];
            let kept = decay(pair.at, sample.at);
            pair.weight = pair.weight * kept + pressure.amount;
            pair.sum = pair.sum * kept + pressure.amount * slope;
            pair.square = pair.square * kept + pressure.amount * slope * slope;
            pair.at = pair.at.max(sample.at);
        }
    }

    /// Mean and standard error of a pair that was seen.
    pub(super) fn slope(&self, kind: usize) -> Option<Estimate> {
        let pair = self.pairs.get(kind).filter(|pair| pair.weight > 0.0)?;
        let mean = pair.sum / pair.weight;
        let spread = (pair.square / pair.weight - mean * mean).max(0.0);
        let count = pair.weight / SAMPLE_PRESSURE;
        let error = ((spread + PRIOR_ERROR.powi(2) / (1.0 + count)) / count.max(1.0)).sqrt();
        Some(Estimate { mean, error })
    }

    /// Number of samples of a pair.
    pub(super) fn count(&self, kind: usize) -> f64 {
        self.pairs.get(kind).map_or(0.0, |pair| pair.weight / SAMPLE_PRESSURE)
    }

    /// Takes over a pair from another planner, as if it had seen `count` samples.
    pub(super) fn restore(&mut self, now: Moment, kind: usize, slope: Estimate, count: f64) {
        if self.pairs.len() <= kind {
            self.pairs.resize(kind + 1, Pair::default());
        }
        let Estimate { mean, error } = slope;
        // The inverse of `slope`.
        let spread = error.powi(2) * count.max(1.0) - PRIOR_ERROR.powi(2) / (1.0 + count);
        let weight = count * SAMPLE_PRESSURE;
        let square = weight * (mean * mean + spread.max(0.0));
        self.pairs[kind] = Pair { at: now, square, sum: weight * mean, weight };
    }

    /// Mean over the pairs that were seen.
    pub(super) fn level(&self) -> Option<f64> {
        let weight: f64 = self.pairs.iter().map(|pair| pair.weight).sum();
        let sum: f64 = self.pairs.iter().map(|pair| pair.sum).sum();
        (weight > 0.0).then(|| sum / weight)
    }

    /// Posterior of a pair between its own mean and the pooled prior.
    ///
    /// The variance between pairs is estimated from the pairs themselves (empirical Bayes).
    pub(super) fn shrunk(&self, kind: usize, prior: Estimate) -> Estimate {
        let Some(own) = self.slope(kind) else {
            return prior;
        };
        let seen: Vec<_> = (0..self.pairs.len()).filter_map(|k| self.slope(k)).collect();
        let count = seen.len() as f64;
        let center = seen.iter().map(|e| e.mean).sum::<f64>() / count;
        let scatter = seen.iter().map(|e| (e.mean - center).powi(2)).sum::<f64>() / count;
        let noise = seen.iter().map(|e| e.error.powi(2)).sum::<f64>() / count;
        let between = (scatter - noise).max(0.01);
        let (a, b) = (1.0 / own.error.powi(2).max(1e-9), 1.0 / between);
        Estimate { mean: (own.mean * a + prior.mean * b) / (a + b), error: (a + b).recip().sqrt() }
    }
}
