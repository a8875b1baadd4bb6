//! Settings of the placement policy.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::interference::Method;
use crate::quota::Size;

/// How candidate workers are ranked.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Rank {
    /// The first worker with room; a baseline.
    FirstFit,
    /// The worker with the least expected harm to quick tasks and the least cost.
    Harm,
    /// The worker with the smallest fraction of cores in use; a baseline.
    LeastLoaded,
}

/// What the policy favours for a shop, as declared by operators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Objective {
    /// The tail latency of quick tasks.
    #[default]
    Latency,
    /// Batch throughput with few evictions.
    Throughput,
}

impl Objective {
    /// The weights for this objective.
    pub fn weights(self) -> Weights {
        let settings = match self {
            Self::Latency => Settings::latency(),
            Self::Throughput => Settings::throughput(),
        };
        settings.default_weights()
    }
}

/// Weights of one shop; the fields are those of [`Settings`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Weights {
    /// Standard errors added to each learned slope, for the shop's quick tasks.
    pub caution: f64,
    /// Time for which a job of the shop waits before workers are held for it.
    pub max_wait: Span,
    /// Multiple of the tolerated excess of the shop's quick tasks above which a job is evicted.
    pub relocate: f64,
    /// Tolerated excess latency of the shop's quick tasks over running alone, as a fraction.
    pub tolerance: f64,
}

/// Settings of a [`super::Planner`].
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Standard errors added to each learned slope when the risk of a placement is computed.
    pub caution: f64,
    /// Whether declared sizes are corrected by measured usage.
    pub correct: bool,
    /// Fraction of the tolerated excess up to which new batch jobs may start on a worker.
    pub hold: f64,
    /// Time for which a task may run without contact to the control instances.
    pub lease: Span,
    /// Cost of a placement outside the data centre that stores the job's data.
    pub link: f64,
    /// How interference is learned; with `None`, all pairs have the same fixed slope.
    pub method: Option<Method>,
    /// Multiple of the tolerated excess, at full throttling, above which a job is evicted.
    pub relocate: f64,
    /// Time for which the first waiting job of a team waits before workers are held for it; after
    /// four times as long, jobs are evicted for it.
    pub max_wait: Span,
    /// Whether quick tasks are protected by throttling, evicting and holding back batch jobs.
    pub protect: bool,
    /// How candidate workers are ranked.
    pub rank: Rank,
    /// Cores and memory kept free for urgent jobs on every third worker.
    pub reserve: Size,
    /// Seed of the random generator that samples candidates.
    pub seed: u64,
    /// Weights of the shops with an objective; the other shops use the defaults of these settings.
    pub shops: BTreeMap<Name, Weights>,
    /// Tolerated excess latency of quick tasks over running alone, as a fraction.
    pub tolerance: f64,
}

impl Settings {
    /// Settings that favour the tail latency of quick tasks.
    pub fn latency() -> Self {
        Self {
            caution: 0.5,
            correct: true,
            hold: 1.0,
            lease: Span::secs(10),
            link: 0.2,
            method: Some(Method::Kalman),
            relocate: 2.0,
            max_wait: Span::secs(300),
            protect: true,
            rank: Rank::Harm,
            reserve: Size::new(4_000, 8_000, 0),
            seed: 1,
            shops: BTreeMap::new(),
            tolerance: 0.33,
        }
    }

    /// Settings that favour batch throughput and few evictions.
    pub fn throughput() -> Self {
        Self {
            caution: 0.0,
            hold: 1.0,
            relocate: 4.0,
            // 600 s doubled the evictions for jobs that waited too long when declared sizes were
            // wrong.
            max_wait: Span::secs(900),
            tolerance: 0.8,
            ..Self::latency()
        }
    }

    /// Baseline to compare against: ranks by declared sizes and doesn't protect quick tasks.
    #[must_use]
    pub fn baseline(self, rank: Rank) -> Self {
        Self {
            correct: false,
            method: None,
            protect: false,
            rank,
            reserve: Size::new(0, 0, 0),
            ..self
        }
    }

    /// Weights of a shop, or the defaults of these settings if it has no objective.
    pub fn weights(&self, shop: &Name) -> Weights {
        self.shops.get(shop).copied().unwrap_or_else(|| self.default_weights())
    }

    /// Weights of shops without an objective.
    fn default_weights(&self) -> Weights {
        let Self { caution, max_wait, relocate, tolerance, .. } = *self;
        Weights { caution, max_wait, relocate, tolerance }
    }

    /// Sets how interference is learned.
    #[must_use]
    pub fn method(self, method: Option<Method>) -> Self {
        Self { method, ..self }
    }

    /// Sets the seed.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
