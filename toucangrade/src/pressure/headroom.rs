//! How much tasks that serve on one runner can still be disturbed.

use std::sync::Arc;

use super::{Serving, Table};

/// Part of its target that a tail latency should stay below, in percent. Latency grows steeply near
/// saturation and figures are half a second old.
const AIM_PERCENT: u64 = 80;
/// Pressures below this are taken for none, so that tasks which disturb nobody are never slowed
/// down: at half of a runner's cores it adds 5% of load.
const HARMLESS: f64 = 0.1;
/// Standard deviations by which an estimate of pressure is taken higher.
const CAUTION: f64 = 0.5;
/// Load of a task that has not shown any latency yet: services are sized for twice their mean load.
const TYPICAL_LOAD: f64 = 0.45;
/// Headroom below this counts as this much, so that clashes can be compared.
const LEAST_HEADROOM: f64 = 0.01;

/// Load that each task which serves could be given.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    left: Vec<(Arc<str>, f64)>,
}

impl Headroom {
    /// Headroom if nothing filled; `filling` gives the share of the cores that each image uses now.
    pub(crate) fn new<'a>(
        table: &Table,
        serving: impl Iterator<Item = &'a Serving>,
        filling: &[(Arc<str>, f64)],
    ) -> Self {
        let left = serving.map(|task| {
            let Serving { image, figure, target, .. } = task;
            let allowed = table.load(image, target.saturating_mul(AIM_PERCENT) / 100, *target);
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

    /// How much of the tightest headroom an image takes per share of the cores.
    pub(crate) fn clash(&self, table: &Table, image: &str) -> f64 {
        let clash = |(serving, left): &(Arc<str>, f64)| {
            cautious(table, serving, image) / left.max(LEAST_HEADROOM)
        };
        self.left.iter().map(clash).fold(0.0, f64::max)
    }

    /// The largest part of its speed at which a task may work that asks for `asked` of the cores.
    pub(crate) fn part(&self, table: &Table, image: &str, asked: f64) -> f64 {
        let allowed = |(serving, left): &(Arc<str>, f64)| {
            let added = cautious(table, serving, image) * asked;
            if added > 0.0 { left.max(0.0) / added } else { 1.0 }
        };
        self.left.iter().map(allowed).fold(1.0, f64::min)
    }

    /// Takes what a task uses that works on `used` of the cores.
    pub(crate) fn spend(&mut self, table: &Table, image: &str, used: f64) {
        for (serving, left) in &mut self.left {
            *left -= cautious(table, serving, image) * used;
        }
    }
}

fn cautious(table: &Table, serving: &str, filling: &str) -> f64 {
    let pressure = table.pressure(serving, filling);
    if pressure.mean < HARMLESS {
        return 0.0;
    }
    pressure.mean + CAUTION * pressure.variance.sqrt()
}
