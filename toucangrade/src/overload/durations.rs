//! Durations of the tasks of a queue, with their spread: a step ends with its slowest task.

use crate::core::Span;

/// Weight of the newest task in the mean and the variance, which follow about the last hundred tasks.
const WEIGHT: f64 = 0.02;
/// Relative spread that is assumed before tasks have ended: durations are often spread by half.
const SPREAD_GUESS: f64 = 0.5;

/// Mean duration of tasks and its variance, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskTime {
    mean: f64,
    variance: f64,
}

impl TaskTime {
    /// The duration of the first task.
    pub(crate) fn first(took: Span) -> Self {
        let mean = took.as_micros() as f64;
        Self { mean, variance: (SPREAD_GUESS * mean).powi(2) }
    }

    /// Records a further task.
    pub(crate) fn record(&mut self, took: Span) {
        let off = took.as_micros() as f64 - self.mean;
        self.mean += WEIGHT * off;
        self.variance = (1.0 - WEIGHT) * (self.variance + WEIGHT * off * off);
    }

    /// Mean duration.
    pub(crate) fn mean(&self) -> Span {
        Span::micros(self.mean as u64)
    }

    /// Expected duration of the slowest of `count` tasks: that of a normal distribution grows with
    /// the root of the logarithm of their number.
    pub(crate) fn slowest(&self, count: u32) -> Span {
        let factor = (2.0 * f64::from(count.max(1)).ln()).sqrt();
        Span::micros((self.mean + factor * self.variance.sqrt()) as u64)
    }
}
