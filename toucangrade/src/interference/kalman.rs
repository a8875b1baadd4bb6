//! Kalman filter whose state is the slopes of all batch kinds on one quick kind.

use serde::Serialize;

use super::{Estimate, HALF_LIFE, PRIOR_ERROR, Sample};
use crate::core::{Moment, Span};

/// Initial variance of a latency report, before the first residual.
const INITIAL_NOISE: f64 = 0.05;
/// Weight of the newest residual in the moving average of the report variance.
const NOISE_GAIN: f64 = 0.02;
/// Fraction of the squared expected excess that is added to the report variance, as latencies vary
/// more on a slow worker.
const RELATIVE_NOISE: f64 = 0.02;

/// Lower bound on the variance of a slope when its evidence is calculated.
const MIN_VARIANCE: f64 = 1e-6;

/// Estimated slopes and their covariance. Row 0 is the excess without batch tasks.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Filter {
    at: Moment,
    covariance: Vec<Vec<f64>>,
    mean: Vec<f64>,
    noise: f64,
    /// Row of each kind by index, `usize::MAX` if the kind has none.
    rows: Vec<usize>,
}

impl Default for Filter {
    fn default() -> Self {
        Self {
            at: Moment::default(),
            covariance: vec![vec![0.01]],
            mean: vec![0.0],
            noise: INITIAL_NOISE,
            rows: Vec::new(),
        }
    }
}

impl Filter {
    fn row(&self, kind: usize) -> Option<usize> {
        self.rows.get(kind).copied().filter(|&row| row != usize::MAX)
    }

    pub(super) fn contains(&self, kind: usize) -> bool {
        self.row(kind).is_some()
    }

    /// Adds a row for a kind, initialised with its prior.
    pub(super) fn insert(&mut self, kind: usize, prior: Estimate) {
        if self.rows.len() <= kind {
            self.rows.resize(kind + 1, usize::MAX);
        }
        self.rows[kind] = self.mean.len();
        self.mean.push(prior.mean);
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; self.mean.len()];
        row[self.mean.len() - 1] = prior.error.powi(2);
        self.covariance.push(row);
    }

    /// Kalman update with one report. Every kind of the mix must have a row; others are ignored.
    pub(super) fn learn(&mut self, sample: &Sample<'_>) {
        self.predict(sample.at);
        let size = self.mean.len();
        let mut inputs: Vec<(usize, f64)> = vec![(0, 1.0)];
        inputs.extend(sample.mix.iter().filter_map(|p| Some((self.row(p.kind)?, p.amount))));
        let cross_cov: Vec<f64> = (0..size)
            .map(|i| inputs.iter().map(|&(j, x)| self.covariance[i][j] * x).sum())
            .collect();
        let expected: f64 = inputs.iter().map(|&(j, x)| self.mean[j] * x).sum();
        let slope_var: f64 = inputs.iter().map(|&(j, x)| cross_cov[j] * x).sum();
        let residual = sample.excess - expected;
        let noise = self.noise + RELATIVE_NOISE * expected.powi(2);
        let total_var = slope_var + noise;
        // Limits the influence of a single outlier on the slopes.
        let clamped = residual.clamp(-4.0 * total_var.sqrt(), 4.0 * total_var.sqrt());
        for i in 0..size {
            let gain = cross_cov[i] / total_var;
            self.mean[i] += gain * clamped;
            for (j, other) in cross_cov.iter().enumerate() {
                self.covariance[i][j] -= gain * other;
            }
        }
        let noise_sample = (clamped.powi(2) - slope_var).max(0.0);
        self.noise = (self.noise * (1.0 - NOISE_GAIN) + noise_sample * NOISE_GAIN).max(1e-3);
    }

    /// Kalman prediction: increases the variance with time, so that old reports lose weight.
    fn predict(&mut self, now: Moment) {
        let passed = now.since(self.at);
        if passed == Span::ZERO {
            return;
        }
        for (i, row) in self.covariance.iter_mut().enumerate().skip(1) {
            row[i] = aged_variance(row[i], passed);
        }
        self.at = now;
    }

    /// Restores the slope of a kind from another filter. Its covariance with other slopes is not
    /// known and set to zero.
    pub(super) fn restore(&mut self, now: Moment, kind: usize, slope: Estimate, age: Span) {
        if self.contains(kind) {
            return;
        }
        self.predict(now);
        let variance = aged_variance(slope.error.powi(2), age);
        self.insert(kind, Estimate { mean: slope.mean, error: variance.sqrt() });
    }

    /// Slope of an observed kind, not clamped at zero, and its evidence: the relative increase of
    /// its precision over that of the prior.
    pub(super) fn slope_evidence(&self, kind: usize) -> Option<(Estimate, f64)> {
        let row = self.row(kind)?;
        let variance = self.covariance[row][row].max(MIN_VARIANCE);
        let evidence = (PRIOR_ERROR.powi(2) / variance - 1.0).max(0.0);
        Some((Estimate { mean: self.mean[row], error: variance.sqrt() }, evidence))
    }

    pub(super) fn slope(&self, kind: usize) -> Option<Estimate> {
        let row = self.row(kind)?;
        Some(Estimate {
            mean: self.mean[row].max(0.0),
            error: self.covariance[row][row].max(0.0).sqrt(),
        })
    }

    /// Mean slope over the observed kinds, weighted by their precision.
    pub(super) fn mean_slope(&self) -> Option<f64> {
        let (mut sum, mut weight) = (0.0, 0.0);
        for row in 1..self.mean.len() {
            let precision = 1.0 / (0.05 + self.covariance[row][row].max(0.0));
            sum += self.mean[row].max(0.0) * precision;
            weight += precision;
        }
        (weight > 0.0).then(|| sum / weight)
    }
}

/// Variance after some time without reports: grows towards the variance of the prior, which it
/// never exceeds.
fn aged_variance(variance: f64, passed: Span) -> f64 {
    let missing = (PRIOR_ERROR.powi(2) - variance).max(0.0);
    let passed = passed.as_micros() as f64 / HALF_LIFE.as_micros() as f64;
    variance + missing * (0.1 * passed).min(1.0)
}
