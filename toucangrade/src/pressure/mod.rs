//! Interference model: how much load a filling task, which uses cores that others leave unused,
//! adds for a task with a latency target. It is learned per pair of images from the delayed and
//! coarse figures that runners report.
//!
//! Tail latency is modelled as that of a queue: `base / (1 - load)`. The load of a task is its own,
//! which drifts slowly, plus what each image beside it adds in proportion to the cores that it
//! uses. The difference of two samples cancels the slow part, and a Kalman filter with one variance
//! for each pair attributes the rest to the images whose use changed. A pair that was not seen yet
//! has a prior from what its filling image does beside other images.

mod headroom;
mod pool;
mod usage;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub(crate) use self::headroom::{AIM_PERCENT, Headroom, PROBE_AIM_PERCENT, own_load, share_within};
use self::pool::Pool;
pub(crate) use self::usage::Usage;
use crate::core::{Moment, Name, Span};
use crate::jobs::RunKey;

/// Mean of the pressure of an image of which nothing is known: the load that it adds when it uses all
/// cores of a runner. Once one pair with it was seen, the prior of the others comes from the pool.
const PRIOR_MEAN: f64 = 0.8;
/// Variance of the pressure of an image of which nothing is known.
const PRIOR_VARIANCE: f64 = 0.8 * 0.8;
/// Variance of the unexplained difference of two loads, which is the swing of a task's own load.
const NOISE: f64 = 0.07 * 0.07;
/// Lower bound for the variance of an estimate, so that it keeps following changes.
const MIN_VARIANCE: f64 = 0.1 * 0.1;
/// Time over which figures are averages.
const FIGURE_WINDOW: Span = Span::millis(500);
/// Shortest interval between two samples of a runner; figures are averages over half a second.
const SAMPLE_EVERY: Span = Span::millis(450);
/// Longest interval between two samples that are compared.
const COMPARE_LIMIT: Span = Span::millis(1_600);
/// Smallest change of an image's share of the cores that is used for learning.
const MIN_CHANGE: f64 = 0.01;
/// Base latency (without load) as a fraction of the lowest tail latency seen: services are rarely
/// seen with less than a fifth of their load.
const BASE_FRACTION: f64 = 0.8;
/// Assumed base latency as a fraction of the target, before any figure is known.
const BASE_FRACTION_GUESS: f64 = 0.25;
/// Upper bound for loads, since the tail latency of an overloaded queue grows without bound.
const LOAD_LIMIT: f64 = 0.97;
/// Change of an estimate from which on agents are sent a new table.
const NOTABLE_CHANGE: f64 = 0.1;

/// Estimate for a pair of images: the load that the filling image adds for the other when it uses
/// all cores of the runner.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pressure {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

impl Default for Pressure {
    fn default() -> Self {
        Self { mean: PRIOR_MEAN, variance: PRIOR_VARIANCE }
    }
}

/// Estimates for all images, as sent to agents.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Tail latency without load in ms, by image with a latency target.
    bases: BTreeMap<Arc<str>, f64>,
    /// Pressure by image with a latency target, then by filling image.
    pairs: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Pressure>>,
}

impl Table {
    /// Load of a task, derived from its tail latency and its target in ms.
    pub(crate) fn load(&self, image: &str, figure: u64, target: u64) -> f64 {
        let base = self.base(image, target);
        (1.0 - base / (figure as f64).max(base)).min(LOAD_LIMIT)
    }

    /// Tail latency without load in ms.
    fn base(&self, image: &str, target: u64) -> f64 {
        self.bases.get(image).copied().unwrap_or(target as f64 * BASE_FRACTION_GUESS)
    }

    /// A table for one image with a latency target.
    #[cfg(test)]
    pub(crate) fn for_image(serving: &str, base: f64, pairs: &[(&str, Pressure)]) -> Self {
        let pairs = pairs.iter().map(|(image, pressure)| ((*image).into(), *pressure)).collect();
        let serving: Arc<str> = serving.into();
        Self {
            bases: BTreeMap::from([(Arc::clone(&serving), base)]),
            pairs: BTreeMap::from([(serving, pairs)]),
        }
    }

    /// Estimate of what the image `filling` adds to the load of the image `serving`.
    pub(crate) fn pressure(&self, serving: &str, filling: &str) -> Pressure {
        self.pairs.get(serving).and_then(|pairs| pairs.get(filling)).copied().unwrap_or_default()
    }
}

/// A task with a latency target, as its runner lists it.
#[derive(Clone, Debug)]
pub(crate) struct Serving {
    pub(crate) key: RunKey,
    pub(crate) image: Arc<str>,
    /// Tail latency and its target in ms.
    pub(crate) figure: u64,
    pub(crate) target: u64,
}

/// Figures of one runner at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    pub(crate) serving: Vec<Serving>,
    /// Image of each filling run, and the fraction of the runner's cores that it uses.
    pub(crate) filling: Vec<(RunKey, Arc<str>, f64)>,
}

/// The newest sample of a runner.
#[derive(Debug)]
struct Seen {
    at: Moment,
    serving: Vec<Serving>,
    /// Fraction of the cores that each filling image used while the latencies were measured.
    used: BTreeMap<Arc<str>, f64>,
    usage: Usage,
}

/// Learns the pressure table from the samples of all runners.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Learner {
    pub(crate) table: Arc<Table>,
    /// Version of the table to send to agents; rises when an estimate has changed notably.
    pub(crate) version: u64,
    /// The table at the last change of `version`.
    #[serde(skip)]
    published: Arc<Table>,
    /// What the samples say about each pair.
    #[serde(skip)]
    pool: Pool,
    /// Newest sample of each runner, by agent.
    #[serde(skip)]
    last: BTreeMap<Name, Seen>,
}

impl Learner {
    /// Learns from a sample of the runner of `agent`.
    pub(crate) fn observe(&mut self, now: Moment, agent: &Name, sample: Sample) {
        let mut seen = self.last.remove(agent);
        let mut usage = seen.as_mut().map(|s| std::mem::take(&mut s.usage)).unwrap_or_default();
        usage.update(now, sample.filling);
        if let Some(seen) = seen.take_if(|seen| now.since(seen.at) < SAMPLE_EVERY) {
            self.last.insert(agent.clone(), Seen { usage, ..seen });
            return;
        }
        for serving in &sample.serving {
            self.lower_base(serving);
        }
        let used = usage.by_image();
        let after = Seen { at: now, serving: sample.serving, used, usage };
        if let Some(before) = seen
            && now.since(before.at) <= COMPARE_LIMIT
        {
            let learned = self.compare(&before, &after);
            if self.has_notable_change(&learned) {
                self.version += 1;
                self.published = Arc::clone(&self.table);
            }
        }
        self.last.insert(agent.clone(), after);
    }

    fn lower_base(&mut self, serving: &Serving) {
        // A task that has not served any request yet reports no latency.
        if serving.figure == 0 {
            return;
        }
        let seen = serving.figure as f64 * BASE_FRACTION;
        let base = self.table.base(&serving.image, serving.target).min(seen);
        Arc::make_mut(&mut self.table).bases.insert(Arc::clone(&serving.image), base);
    }

    /// Learns from two samples of a runner; returns the filling images whose estimates changed.
    fn compare(&mut self, before: &Seen, after: &Seen) -> Vec<Arc<str>> {
        let mut changes: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
        for (image, used) in &after.used {
            *changes.entry(image).or_default() += used;
        }
        for (image, used) in &before.used {
            *changes.entry(image).or_default() -= used;
        }
        changes.retain(|_, change| change.abs() >= MIN_CHANGE);
        if changes.is_empty() {
            return Vec::new();
        }
        let mut learned = false;
        for serving in &after.serving {
            let Some(earlier) = before.serving.iter().find(|s| s.key == serving.key) else {
                continue;
            };
            if serving.figure == 0 || earlier.figure == 0 {
                continue;
            }
            let load = |s: &Serving| self.table.load(&s.image, s.figure, s.target);
            let (old, new) = (load(earlier), load(serving));
            // The difference of two loads at the bound carries no information.
            if old < LOAD_LIMIT || new < LOAD_LIMIT {
                self.correct(&serving.image, &changes, new - old);
                learned = true;
            }
        }
        let changed: Vec<_> = changes.into_keys().filter(|_| learned).cloned().collect();
        changed.iter().for_each(|filling| self.refresh(filling));
        changed
    }

    /// Updates the estimates of a filling image beside all images with a latency target.
    fn refresh(&mut self, filling: &Arc<str>) {
        let Table { bases, pairs } = Arc::make_mut(&mut self.table);
        for serving in bases.keys() {
            let pairs = pairs.entry(Arc::clone(serving)).or_default();
            pairs.insert(Arc::clone(filling), self.pool.estimate(serving, filling));
        }
    }

    /// Kalman update of the pressures on one image from the `rise` of its load.
    fn correct(&mut self, serving: &Arc<str>, changes: &BTreeMap<&Arc<str>, f64>, rise: f64) {
        let known: Vec<Pressure> =
            changes.keys().map(|image| self.pool.estimate(serving, image)).collect();
        let sum = |part: &dyn Fn(&Pressure, f64) -> f64| -> f64 {
            known.iter().zip(changes.values()).map(|(pair, change)| part(pair, *change)).sum()
        };
        let error = rise - sum(&|pair, change| pair.mean * change);
        let total = NOISE + sum(&|pair, change| pair.variance * change * change);
        for ((&image, &change), pair) in changes.iter().zip(&known) {
            let gain = pair.variance * change / total;
            let mean = (pair.mean + gain * error).max(0.0);
            let variance = (pair.variance * (1.0 - gain * change)).max(MIN_VARIANCE);
            self.pool.record(serving, image, Pressure { mean, variance });
        }
    }

    /// Whether some estimate for one of the filling images differs notably from the published table.
    fn has_notable_change(&self, filling: &[Arc<str>]) -> bool {
        let servings = self.table.pairs.keys();
        let mut pairs = servings.flat_map(|s| filling.iter().map(move |f| (s, f)));
        pairs.any(|(serving, filling)| {
            let mean = |table: &Table| table.pressure(serving, filling).mean;
            (mean(&self.table) - mean(&self.published)).abs() > NOTABLE_CHANGE
        })
    }

    /// Drops the last samples, which are outdated after a time without observation.
    pub(crate) fn clear_samples(&mut self) {
        self.last.clear();
    }
}
