//! Inputs and outputs of the interference model.

use serde::{Deserialize, Serialize};

use crate::core::Moment;

/// Method of estimating the slowdown per pair of kinds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Method {
    /// Kalman filter over the pressures of all kinds on a worker, one per quick kind.
    Kalman,
    /// An independent mean for each pair.
    Means,
    /// Means per pair, shrunk towards a pooled prior by empirical Bayes.
    Shrinkage,
}

/// Pressure of one batch kind on a worker during the measurement of a report: the share of the
/// worker's cores that the tasks of the kind used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Pressure {
    /// Index of the batch kind.
    pub(crate) kind: usize,
    /// Share of the worker's cores, scaled by the load of the quick task.
    pub(crate) amount: f64,
}

/// Latency report of a quick task, joined with the batch tasks that ran during its measurement.
#[derive(Clone, Debug)]
pub(crate) struct Sample<'a> {
    /// Index of the quick kind.
    pub(crate) victim: usize,
    /// Latency divided by the latency without batch tasks, minus one.
    pub(crate) excess: f64,
    /// Batch kinds that ran on the worker.
    pub(crate) mix: &'a [Pressure],
    /// Middle of the measured interval.
    pub(crate) at: Moment,
}

/// Estimated slowdown of a quick kind per unit of pressure of a batch kind.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Estimate {
    /// Expected slope.
    pub(crate) mean: f64,
    /// Standard error of the slope.
    pub(crate) error: f64,
}
