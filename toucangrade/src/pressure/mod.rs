//! Interference model: how much load a filling task, which uses cores that others leave unused,
//! adds for a task with a latency target. It is learned per pair of images from the delayed and
//! coarse figures that runners report.
//!
//! Tail latency is modelled as that of a queue: `base / (1 - load)`. The load of a task is its own,
//! which drifts slowly, plus what each image beside it adds in proportion to the cores that it
//! uses. The difference of two samples cancels the slow part, and a Kalman filter with one variance
//! for each pair attributes the rest to the images whose use changed.

mod headroom;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub(crate) use self::headroom::{AIM_PERCENT, Headroom, PROBE_AIM_PERCENT, share_within};
use crate::core::{Moment, Name, Span};
use crate::jobs::RunKey;

/// Prior mean of a pressure: the load that an image adds when it uses all cores of a runner. Images
/// that interfere add one to two, others almost nothing.
const PRIOR_MEAN: f64 = 0.8;
/// Prior variance of a pressure.
const PRIOR_VARIANCE: f64 = 0.8 * 0.8;
/// Variance of the unexplained difference of two loads, which is the swing of a task's own load.
const NOISE: f64 = 0.07 * 0.07;
/// Lower bound for the variance of an estimate, so that it keeps following changes.
const MIN_VARIANCE: f64 = 0.1 * 0.1;
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
    /// Fraction of the runner's cores that each filling image uses.
    pub(crate) filling: BTreeMap<Arc<str>, f64>,
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
    /// Newest sample of each runner, by agent.
    #[serde(skip)]
    last: BTreeMap<Name, (Moment, Sample)>,
}

impl Learner {
    /// Learns from a sample of the runner of `agent`.
    pub(crate) fn observe(&mut self, now: Moment, agent: &Name, sample: Sample) {
        let last = self.last.get(agent);
        if last.is_some_and(|(at, _)| now.since(*at) < SAMPLE_EVERY) {
            return;
        }
        for serving in &sample.serving {
            self.lower_base(serving);
        }
        let last = self.last.insert(agent.clone(), (now, sample.clone()));
        if let Some((at, before)) = last
            && now.since(at) <= COMPARE_LIMIT
        {
            self.compare(&before, &sample);
        }
        if self.has_notable_change(&sample) {
            self.version += 1;
            self.published = Arc::clone(&self.table);
        }
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

    fn compare(&mut self, before: &Sample, after: &Sample) {
        let mut changes: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
        for (image, used) in &after.filling {
            *changes.entry(image).or_default() += used;
        }
        for (image, used) in &before.filling {
            *changes.entry(image).or_default() -= used;
        }
        changes.retain(|_, change| change.abs() >= MIN_CHANGE);
        if changes.is_empty() {
            return;
        }
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
            }
        }
    }

    /// Kalman update of the pressures on one image from the `rise` of its load.
    fn correct(&mut self, serving: &Arc<str>, changes: &BTreeMap<&Arc<str>, f64>, rise: f64) {
        let table = Arc::make_mut(&mut self.table);
        let pairs = table.pairs.entry(Arc::clone(serving)).or_default();
        for &image in changes.keys() {
            if !pairs.contains_key(image) {
                pairs.insert(Arc::clone(image), Pressure::default());
            }
        }
        let known = |image: &Arc<str>| pairs.get(image).copied().unwrap_or_default();
        let expected: f64 = changes.iter().map(|(image, c)| known(image).mean * c).sum();
        let explained: f64 = changes.iter().map(|(image, c)| known(image).variance * c * c).sum();
        let (error, total) = (rise - expected, explained + NOISE);
        for (&image, change) in changes {
            let Some(pair) = pairs.get_mut(image) else { continue };
            let gain = pair.variance * change / total;
            pair.mean = (pair.mean + gain * error).max(0.0);
            pair.variance = (pair.variance * (1.0 - gain * change)).max(MIN_VARIANCE);
        }
    }

    /// Whether some estimate for an image of the sample, the only ones that it can have changed,
    /// differs notably from the published table.
    fn has_notable_change(&self, sample: &Sample) -> bool {
        sample.serving.iter().any(|serving| {
            let Some(pairs) = self.table.pairs.get(&serving.image) else { return false };
            let published = self.published.pairs.get(&serving.image);
            pairs.iter().any(|(filling, pair)| {
                let known = published.and_then(|pairs| pairs.get(filling)).copied();
                (pair.mean - known.unwrap_or_default().mean).abs() > NOTABLE_CHANGE
            })
        })
    }

    /// Drops the last samples, which are outdated after a time without observation.
    pub(crate) fn clear_samples(&mut self) {
        self.last.clear();
    }
}
