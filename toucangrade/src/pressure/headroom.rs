//! Headroom of the tasks with a latency target on one runner: the load that filling tasks may still
//! add before a tail latency gets too close to its target.

use std::sync::Arc;

use super::{Serving, Table};

/// Share of its target that a tail latency should stay below, in percent. The margin is needed
/// since latency grows steeply near saturation and figures are half a second old.
pub(crate) const AIM_PERCENT: u64 = 80;
/// Share of its target that a tail latency should stay below during a short probe, in percent.
pub(crate) const PROBE_AIM_PERCENT: u64 = 90;
/// Pressures below this count as zero, so that harmless tasks are never slowed down. At half of a
/// runner's cores such a pressure adds 5% of load.
const MIN_PRESSURE: f64 = 0.1;
/// Safety margin added to an estimated pressure, in standard deviations.
const CAUTION_SIGMAS: f64 = 0.5;
/// Variance of an estimated pressure above which it is in doubt.
const DOUBTFUL_VARIANCE: f64 = 0.3 * 0.3;
/// Assumed load of a task that has not reported any latency yet: services are sized for twice their
/// mean load.
const TYPICAL_LOAD: f64 = 0.45;
/// Lower bound for headroom in divisions, so that clashes stay finite and can be compared.
const MIN_HEADROOM: f64 = 0.01;

/// Load that may still be added for each task with a latency target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    /// Image of each task, and the load left for it.
    left: Vec<(Arc<str>, f64)>,
}

impl Headroom {
    /// Headroom without any filling task, for tail latencies of up to `aim` percent of their targets.
    /// The load added by the current ones is subtracted again: `filling` gives the share of the
    /// runner's cores that each of their images uses.
    pub(crate) fn new<'a>(
        table: &Table,
        aim: u64,
        serving: impl Iterator<Item = &'a Serving>,
        filling: &[(Arc<str>, f64)],
    ) -> Self {
        let left = serving.map(|task| {
            let Serving { image, figure, target, .. } = task;
            let allowed = table.load(image, target.saturating_mul(aim) / 100, *target);
            if *figure == 0 {
                return (Arc::clone(image), allowed - TYPICAL_LOAD);
            }
            let load = table.load(image, *figure, *target);
            let added: f64 =
                filling.iter().map(|(fill, used)| table.pressure(image, fill).mean * used).sum();
            (Arc::clone(image), allowed - (load - added).max(0.0))
        });
        Self { left: left.collect() }
    }

    /// Largest part of any task's headroom that an image would take if it used all cores.
    pub(crate) fn clash(&self, table: &Table, image: &str) -> f64 {
        let clash = |(serving, left): &(Arc<str>, f64)| {
            cautious_pressure(table, serving, image) / left.max(MIN_HEADROOM)
        };
        self.left.iter().map(clash).fold(0.0, f64::max)
    }

    /// Largest fraction of its full speed that a filling task may run at, when it requests the
    /// fraction `asked` of the cores.
    pub(crate) fn max_share(&self, table: &Table, image: &str, asked: f64) -> f64 {
        share_within(self.limit(table, image), asked)
    }

    /// Largest fraction of the cores that an image may use, infinite if it disturbs no task.
    pub(crate) fn limit(&self, table: &Table, image: &str) -> f64 {
        let limit = |(serving, left): &(Arc<str>, f64)| {
            let pressure = cautious_pressure(table, serving, image);
            if pressure > 0.0 { left.max(0.0) / pressure } else { f64::INFINITY }
        };
        self.left.iter().map(limit).fold(f64::INFINITY, f64::min)
    }

    /// Whether the effect of an image on some task with a latency target is not known well.
    pub(crate) fn is_doubtful(&self, table: &Table, image: &str) -> bool {
        let mut serving = self.left.iter().map(|(serving, _)| serving);
        serving.any(|serving| table.pressure(serving, image).variance > DOUBTFUL_VARIANCE)
    }

    /// Load left for the task that has least of it; negative for one above its aim, infinite if there
    /// is no task with a latency target.
    pub(crate) fn least(&self) -> f64 {
        self.left.iter().map(|(_, left)| *left).fold(f64::INFINITY, f64::min)
    }

    /// Subtracts the load that a filling task adds by using the fraction `used` of the cores.
    pub(crate) fn spend(&mut self, table: &Table, image: &str, used: f64) {
        for (serving, left) in &mut self.left {
            *left -= cautious_pressure(table, serving, image) * used;
        }
    }
}

/// Largest fraction of its full speed that a task may run at, when it requests the fraction `asked`
/// of the cores and may use the fraction `limit`.
pub(crate) fn share_within(limit: f64, asked: f64) -> f64 {
    if limit < asked { limit / asked } else { 1.0 }
}

/// Estimated pressure with its safety margin, or zero if it is negligible.
fn cautious_pressure(table: &Table, serving: &str, filling: &str) -> f64 {
    let pressure = table.pressure(serving, filling);
    if pressure.mean < MIN_PRESSURE {
        return 0.0;
    }
    pressure.mean + CAUTION_SIGMAS * pressure.variance.sqrt()
}
