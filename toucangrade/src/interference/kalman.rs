//! A Kalman filter over the slopes of all batch kinds on one quick kind.

use serde::Serialize;

use super::{Estimate, HALF_LIFE, PRIOR_ERROR, Sample};
use crate::core::{Moment, Span};

/// Variance of a latency report before residuals have been seen.
const START_NOISE: f64 = 0.05;
/// Weight of the newest residual in the estimate of the report variance.
const NOISE_GAIN: f64 = 0.02;
/// Part of the squared excess that the report variance never falls below, as late answers vary
/// more on a slow worker.
const RELATIVE_NOISE: f64 = 0.02;

/// Variance that an estimate is never closer to certainty than when its evidence is counted.
const LEAST_VARIANCE: f64 = 1e-6;

/// Slopes with their covariance; the first row is the excess without any batch work.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Filter {
    at: Moment,
    covariance: Vec<Vec<f64>>,
    mean: Vec<f64>,
    noise: f64,
    /// Row of each kind, `usize::MAX` for none.
    rows: Vec<usize>,
}

impl Default for Filter {
    fn default() -> Self {
        Self {
            at: Moment::default(),
            covariance: vec![vec![0.01]],
            mean: vec![0.0],
            noise: START_NOISE,
            rows: Vec::new(),
        }
    }
}

impl Filter {
    fn row(&self, kind: usize) -> Option<usize> {
        self.rows.get(kind).copied().filter(|&row| row != usize::MAX)
    }

    pub(super) fn knows(&self, kind: usize) -> bool {
        self.row(kind).is_some()
    }

    /// Adds a kind with its prior.
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

    /// Kalman update with one report; every kind in the mix must be known.
    pub(super) fn learn(&mut self, sample: &Sample<'_>) {
        self.age(sample.at);
        let size = self.mean.len();
        let mut inputs: Vec<(usize, f64)> = vec![(0, 1.0)];
        inputs.extend(sample.mix.iter().filter_map(|p| Some((self.row(p.kind)?, p.amount))));
        let spread: Vec<f64> = (0..size)
            .map(|i| inputs.iter().map(|&(j, x)| self.covariance[i][j] * x).sum())
            .collect();
        let expected: f64 = inputs.iter().map(|&(j, x)| self.mean[j] * x).sum();
        let explained: f64 = inputs.iter().map(|&(j, x)| spread[j] * x).sum();
        let residual = sample.excess - expected;
        let noise = self.noise + RELATIVE_NOISE * expected.powi(2);
        let total = explained + noise;
        // A single far outlier must not swing all slopes.
        let bounded = residual.clamp(-4.0 * total.sqrt(), 4.0 * total.sqrt());
        for i in 0..size {
            let gain = spread[i] / total;
            self.mean[i] += gain * bounded;
            for (j, other) in spread.iter().enumerate() {
                self.covariance[i][j] -= gain * other;
            }
        }
        let surprise = (bounded.powi(2) - explained).max(0.0);
        self.noise = (self.noise * (1.0 - NOISE_GAIN) + surprise * NOISE_GAIN).max(1e-3);
    }

    /// Widens the uncertainty with time, so that old reports lose weight.
    fn age(&mut self, now: Moment) {
        let passed = now.since(self.at);
        if passed == Span::ZERO {
            return;
        }
        for (i, row) in self.covariance.iter_mut().enumerate().skip(1) {
            row[i] = widened(row[i], passed);
        }
        self.at = now;
    }

    /// Takes over the slope of a kind from another filter. How it depends on other slopes is not
    /// known, so they count as independent.
    pub(super) fn restore(&mut self, now: Moment, kind: usize, slope: Estimate, age: Span) {
        if self.knows(kind) {
            return;
        }
        self.age(now);
        let variance = widened(slope.error.powi(2), age);
        self.insert(kind, Estimate { mean: slope.mean, error: variance.sqrt() });
    }

    /// Slope of a kind that was seen as it was learned, and how many times more than the prior is
    /// known of it.
    pub(super) fn learned(&self, kind: usize) -> Option<(Estimate, f64)> {
        let row = self.row(kind)?;
        let variance = self.covariance[row][row].max(LEAST_VARIANCE);
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

    /// Mean slope over the kinds that were seen, by how certain each is.
    pub(super) fn level(&self) -> Option<f64> {
        let (mut sum, mut weight) = (0.0, 0.0);
        for row in 1..self.mean.len() {
            let certain = 1.0 / (0.05 + self.covariance[row][row].max(0.0));
            sum += self.mean[row].max(0.0) * certain;
            weight += certain;
        }
        (weight > 0.0).then(|| sum / weight)
    }
}

/// Variance after some time without reports: it returns to that of the prior and never beyond it.
fn widened(variance: f64, passed: Span) -> f64 {
    let missing = (PRIOR_ERROR.powi(2) - variance).max(0.0);
    let passed = passed.as_micros() as f64 / HALF_LIFE.as_micros() as f64;
    variance + missing * (0.1 * passed).min(1.0)
}
