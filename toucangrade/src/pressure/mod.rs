//! How much tasks that fill disturb tasks that serve, learned per pair of images from the late and
//! rough figures of runners.
//!
//! Tail latency is taken for that of a queue: `base / (1 - load)`. The load that a task sees is its
//! own, which drifts slowly, plus what each image beside it adds in proportion to the cores that
//! it uses. Differences between two samples leave the slow part out, and a Kalman filter with one
//! variance for each pair attributes the rest to the images whose use changed.

mod headroom;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub(crate) use self::headroom::Headroom;
use crate::core::{Moment, Name, Span};
use crate::jobs::RunKey;

/// Load that an image adds when it uses all cores of a runner, before anything is known. Images
/// that disturb add one to two, others next to nothing.
const PRIOR_MEAN: f64 = 0.8;
/// Variance of the same.
const PRIOR_VARIANCE: f64 = 0.8 * 0.8;
/// Variance of the difference of two loads that nothing explains: the swing of a task's own load.
const NOISE: f64 = 0.07 * 0.07;
/// Least variance of an estimate, so that it keeps following changes.
const LEAST_VARIANCE: f64 = 0.1 * 0.1;
/// Shortest time between two samples of a runner; figures are averages over half a second.
const SAMPLE_EVERY: Span = Span::millis(450);
/// Longest time between two samples that are compared.
const SAMPLE_GAP: Span = Span::millis(1_600);
/// Least change of an image's share of the cores that says something about it.
const LEAST_CHANGE: f64 = 0.01;
/// Part of the lowest tail latency seen that is taken for the latency without load: services are
/// rarely seen with less than a fifth of their load.
const BASE_PART: f64 = 0.8;
/// Latency without load as a part of the target before any figure is known.
const BASE_GUESS: f64 = 0.25;
/// Loads are cut here, since the tail of an overloaded queue grows without bound.
const LOAD_LIMIT: f64 = 0.97;
/// Change of an estimate that is worth telling agents.
const NEWS: f64 = 0.1;

/// What is known of one pair: the load that the second image adds for the first one when it uses
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

/// Estimates for all images.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Tail latency without load in ms, by image that serves.
    bases: BTreeMap<Arc<str>, f64>,
    /// Pairs of an image that serves and one that fills.
    pairs: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Pressure>>,
}

impl Table {
    /// Load of a task that serves, from its tail latency and its target in ms.
    pub(crate) fn load(&self, image: &str, figure: u64, target: u64) -> f64 {
        let base = self.base(image, target);
        (1.0 - base / (figure as f64).max(base)).min(LOAD_LIMIT)
    }

    fn base(&self, image: &str, target: u64) -> f64 {
        self.bases.get(image).copied().unwrap_or(target as f64 * BASE_GUESS)
    }

    /// A table that knows one image that serves.
    #[cfg(test)]
    pub(crate) fn known(serving: &str, base: f64, pairs: &[(&str, Pressure)]) -> Self {
        let pairs = pairs.iter().map(|(image, pressure)| ((*image).into(), *pressure)).collect();
        let serving: Arc<str> = serving.into();
        Self {
            bases: BTreeMap::from([(Arc::clone(&serving), base)]),
            pairs: BTreeMap::from([(serving, pairs)]),
        }
    }

    /// What `filling` adds to the load of `serving`.
    pub(crate) fn pressure(&self, serving: &str, filling: &str) -> Pressure {
        self.pairs.get(serving).and_then(|pairs| pairs.get(filling)).copied().unwrap_or_default()
    }
}

/// A task that serves, as a runner lists it.
#[derive(Clone, Debug)]
pub(crate) struct Serving {
    pub(crate) key: RunKey,
    pub(crate) image: Arc<str>,
    /// Tail latency and its target in ms.
    pub(crate) figure: u64,
    pub(crate) target: u64,
}

/// One look at a runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    pub(crate) serving: Vec<Serving>,
    /// Share of the runner's cores that each image that fills uses.
    pub(crate) filling: BTreeMap<Arc<str>, f64>,
}

/// Learns the table from samples of all runners.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Learner {
    pub(crate) table: Table,
    /// Rises when agents should be told.
    pub(crate) version: u64,
    #[serde(skip)]
    told: Table,
    #[serde(skip)]
    last: BTreeMap<Name, (Moment, Sample)>,
}

impl Learner {
    /// Takes a sample of the runner beside `agent`.
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
            && now.since(at) <= SAMPLE_GAP
        {
            self.compare(&before, &sample);
        }
        if self.news() {
            self.version += 1;
            self.told = self.table.clone();
        }
    }

    fn lower_base(&mut self, serving: &Serving) {
        // A task that has not served anyone yet shows no latency.
        if serving.figure == 0 {
            return;
        }
        let seen = serving.figure as f64 * BASE_PART;
        let base = self.table.base(&serving.image, serving.target).min(seen);
        self.table.bases.insert(Arc::clone(&serving.image), base);
    }

    fn compare(&mut self, before: &Sample, after: &Sample) {
        let mut changes: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
        for (image, used) in &after.filling {
            *changes.entry(image).or_default() += used;
        }
        for (image, used) in &before.filling {
            *changes.entry(image).or_default() -= used;
        }
        changes.retain(|_, change| change.abs() >= LEAST_CHANGE);
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
            // Between two overloads the difference says nothing.
            if old < LOAD_LIMIT || new < LOAD_LIMIT {
                self.correct(&serving.image, &changes, new - old);
            }
        }
    }

    /// One step of the filter.
    fn correct(&mut self, serving: &Arc<str>, changes: &BTreeMap<&Arc<str>, f64>, rise: f64) {
        let pairs = self.table.pairs.entry(Arc::clone(serving)).or_default();
        for &image in changes.keys() {
            if !pairs.contains_key(image) {
                pairs.insert(Arc::clone(image), Pressure::default());
            }
        }
        let known = |image: &Arc<str>| pairs.get(image).copied().unwrap_or_default();
        let expected: f64 = changes.iter().map(|(image, c)| known(image).mean * c).sum();
        let spread: f64 = changes.iter().map(|(image, c)| known(image).variance * c * c).sum();
        let (error, total) = (rise - expected, spread + NOISE);
        for (&image, change) in changes {
            let Some(pair) = pairs.get_mut(image) else { continue };
            let gain = pair.variance * change / total;
            pair.mean = (pair.mean + gain * error).max(0.0);
            pair.variance = (pair.variance * (1.0 - gain * change)).max(LEAST_VARIANCE);
        }
    }

    /// Whether some estimate differs from what agents were told.
    fn news(&self) -> bool {
        self.table.pairs.iter().any(|(serving, pairs)| {
            pairs.iter().any(|(filling, pair)| {
                (pair.mean - self.told.pressure(serving, filling).mean).abs() > NEWS
            })
        })
    }

    /// Forgets the last samples, which are those of an earlier time.
    pub(crate) fn pause(&mut self) {
        self.last.clear();
    }
}
