//! Pooled prior for pairs of images that have hardly been seen together: it follows from what the
//! same filling image does beside other images with a latency target.
//!
//! A filling image is either harmless to all of them or presses on them by amounts that are spread
//! around a mean of its own. Both the class and that mean are inferred from the pairs that were
//! seen (a hierarchical model with two classes).

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Pressure;

/// Mean and variance of the mean pressure of an image that is not harmless. Those seen add up to 4.5
/// loads.
const PRESSING_MEAN: f64 = 1.8;
const PRESSING_VARIANCE: f64 = 0.8;
/// Variance of the pressures of one such image beside different images.
const SPREAD: f64 = 0.5;
/// Least mean pressure of such an image, so that it differs from a harmless one.
const PRESSING_LEAST: f64 = 0.3;
/// Mean and variance of the pressures of a harmless image.
const HARMLESS_MEAN: f64 = 0.03;
const HARMLESS_VARIANCE: f64 = 0.1 * 0.1;
/// Logarithm of the prior odds that an image is harmless: four in ten are.
const HARMLESS_ODDS: f64 = -0.4;
/// Bounds for the probability that an image is harmless. The variance that remains lets a pair that
/// differs from all others of its image be learned within a few samples.
const HARMLESS_LIKELY: (f64, f64) = (0.02, 0.97);

/// What the samples of one pair alone say about its pressure: the precision (inverse variance) of
/// their estimate, and the estimate times its precision.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    precision: f64,
    weighted: f64,
}

impl Evidence {
    /// What `after` knows beyond the prior `before`.
    fn between(before: Pressure, after: Pressure) -> Self {
        let precision = (1.0 / after.variance - 1.0 / before.variance).max(0.0);
        let weighted = after.mean / after.variance - before.mean / before.variance;
        Self { precision, weighted: if precision > 0.0 { weighted } else { 0.0 } }
    }

    /// The estimate that follows from a prior and this evidence.
    fn combine(self, prior: Pressure) -> Pressure {
        let precision = 1.0 / prior.variance + self.precision;
        let mean = (prior.mean / prior.variance + self.weighted) / precision;
        Pressure { mean: mean.max(0.0), variance: 1.0 / precision }
    }
}

/// Evidence of all pairs, by filling image and then by image with a latency target.
#[derive(Debug, Default)]
pub(super) struct Pool {
    evidence: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Evidence>>,
}

impl Pool {
    /// Records the estimate of a pair after a sample.
    pub(super) fn record(&mut self, serving: &Arc<str>, filling: &Arc<str>, found: Pressure) {
        let evidence = Evidence::between(self.prior(serving, filling), found);
        let pairs = self.evidence.entry(Arc::clone(filling)).or_default();
        pairs.insert(Arc::clone(serving), evidence);
    }

    /// Estimate of a pair from all samples.
    pub(super) fn estimate(&self, serving: &str, filling: &str) -> Pressure {
        let prior = self.prior(serving, filling);
        let own = self.evidence.get(filling).and_then(|pairs| pairs.get(serving));
        own.copied().unwrap_or_default().combine(prior)
    }

    /// Estimate of a pair from the samples of the filling image beside other images.
    fn prior(&self, serving: &str, filling: &str) -> Pressure {
        let (mut mean, mut variance) = (PRESSING_MEAN, PRESSING_VARIANCE);
        // Logarithm of the odds that the image is harmless.
        let mut odds = HARMLESS_ODDS;
        let pairs = self.evidence.get(filling).into_iter().flatten();
        for (_, seen) in pairs.filter(|(image, _)| ***image != *serving) {
            if seen.precision <= 0.0 {
                continue;
            }
            let (found, doubt) = (seen.weighted / seen.precision, 1.0 / seen.precision);
            let total = variance + SPREAD + doubt;
            odds += log_density(found, HARMLESS_MEAN, HARMLESS_VARIANCE + doubt)
                - log_density(found, mean, total);
            let gain = variance / total;
            mean += gain * (found - mean);
            variance *= 1.0 - gain;
        }
        let likely = (1.0 / (1.0 + (-odds).exp())).clamp(HARMLESS_LIKELY.0, HARMLESS_LIKELY.1);
        let mean = mean.max(PRESSING_LEAST);
        let gap = mean - HARMLESS_MEAN;
        Pressure {
            mean: likely * HARMLESS_MEAN + (1.0 - likely) * mean,
            variance: likely * HARMLESS_VARIANCE
                + (1.0 - likely) * (variance + SPREAD)
                + likely * (1.0 - likely) * gap * gap,
        }
    }
}

/// Logarithm of a normal density, up to a constant.
fn log_density(value: f64, mean: f64, variance: f64) -> f64 {
    -0.5 * ((value - mean).powi(2) / variance + variance.ln())
}
