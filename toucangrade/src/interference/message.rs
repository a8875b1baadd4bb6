//! Samples and estimates of interference.

use serde::{Deserialize, Serialize};

use crate::core::Moment;

/// Way in which the slowdown per pair of kinds is estimated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Method {
    /// Kalman filter over the pressures of all kinds on a worker, one per quick kind.
    Kalman,
    /// An independent mean for each pair.
    Means,
    /// Means shrunk towards a pooled one by empirical Bayes.
    Shrinkage,
}

/// Pressure of one batch kind on a worker while a report was measured.
///
/// Pressure is the share of the worker's cores that tasks of the kind used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Pressure {
    /// Index of the batch kind.
    pub(crate) kind: usize,
    /// Share of the worker's cores, scaled with the load of the quick task.
    pub(crate) amount: f64,
}

/// A late latency report joined with what ran when it was measured.
#[derive(Clone, Debug)]
pub(crate) struct Sample<'a> {
    /// Index of the quick kind.
    pub(crate) victim: usize,
    /// Latency relative to running alone, minus one.
    pub(crate) excess: f64,
    /// What ran.
    pub(crate) mix: &'a [Pressure],
    /// Middle of the time span that was measured.
    pub(crate) at: Moment,
}

/// Slowdown of a quick kind for each unit of pressure of a batch kind.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Estimate {
    /// Expected slope.
    pub(crate) mean: f64,
    /// Standard error of the slope.
    pub(crate) error: f64,
}
