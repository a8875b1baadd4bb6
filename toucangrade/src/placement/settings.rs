//! Settings of the policy.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::interference::Method;
use crate::quota::Size;

/// How candidates are ranked.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Rank {
    /// The first worker with room, the base of comparison.
    FirstFit,
    /// The worker with the least expected harm to quick tasks and the least cost.
    Harm,
    /// The worker with the smallest reserved share, the base of comparison.
    LeastLoaded,
}

/// What a shop weighs most, as operators declare it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Objective {
    /// The tail latency of quick tasks.
    #[default]
    Latency,
    /// Batch throughput and few evictions.
    Throughput,
}

impl Objective {
    /// The weights that follow from the objective.
    pub fn weights(self) -> Weights {
        let settings = match self {
            Self::Latency => Settings::latency(),
            Self::Throughput => Settings::throughput(),
        };
        settings.general()
    }
}

/// Weights of one shop; the fields are those of [`Settings`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Weights {
    /// Standard errors added to each learned slope, for the shop's quick tasks.
    pub caution: f64,
    /// Longest wait of the shop's jobs before a worker is held for them.
    pub max_wait: Span,
    /// Multiple of the tolerated excess of the shop's quick tasks at which a job is moved away.
    pub relocate: f64,
    /// Tolerated excess of the shop's quick tasks.
    pub tolerance: f64,
}

/// Settings of a [`super::Planner`].
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Standard errors that are added to each learned slope when a placement is judged.
    pub caution: f64,
    /// Whether sizes are corrected by usage.
    pub correct: bool,
    /// Part of the tolerated excess up to which new batch work may start on a worker.
    pub hold: f64,
    /// Time for which a task may run on without contact to control.
    pub lease: Span,
    /// Cost of a placement outside the data centre that holds the job's data.
    pub link: f64,
    /// How interference is learned; `None` keeps to one slope for all pairs.
    pub method: Option<Method>,
    /// Multiple of the tolerated excess, at full throttling, at which a job is moved away.
    pub relocate: f64,
    /// Time for which a job at the head of its team's order waits before a worker is held for it;
    /// after four times this, jobs are evicted for it.
    pub max_wait: Span,
    /// Whether quick tasks are protected by throttling, moving and holding back.
    pub protect: bool,
    /// How candidates are ranked.
    pub rank: Rank,
    /// Cores and memory kept free for urgent work on each third worker.
    pub reserve: Size,
    /// Seed of the generator that samples candidates.
    pub seed: u64,
    /// Weights of single shops; the others have the general ones of these settings.
    pub shops: BTreeMap<Name, Weights>,
    /// Tolerated slowdown of quick tasks by batch work, as excess over running alone.
    pub tolerance: f64,
}

impl Settings {
    /// Settings that weigh the tail latency of quick tasks most.
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

    /// Settings that weigh batch throughput and few evictions most.
    pub fn throughput() -> Self {
        Self {
            caution: 0.0,
            hold: 1.0,
            relocate: 4.0,
            // With 600 s, evictions for jobs that waited too long doubled under wrong sizes.
            max_wait: Span::secs(900),
            tolerance: 0.8,
            ..Self::latency()
        }
    }

    /// First fit or least loaded by declared sizes, without protection, to compare against.
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

    /// Weights of a shop.
    pub fn weights(&self, shop: &Name) -> Weights {
        self.shops.get(shop).copied().unwrap_or_else(|| self.general())
    }

    /// Weights of shops that have none of their own.
    fn general(&self) -> Weights {
        let Self { caution, max_wait, relocate, tolerance, .. } = *self;
        Weights { caution, max_wait, relocate, tolerance }
    }

    /// Another way to learn interference.
    #[must_use]
    pub fn method(self, method: Option<Method>) -> Self {
        Self { method, ..self }
    }

    /// Another seed.
    #[must_use]
    pub fn seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
