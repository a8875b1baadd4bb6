//! Settings of the policy.

use std::collections::BTreeMap;

use serde::Serialize;

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
    /// Tolerated excess for the quick tasks of single shops.
    pub shops: BTreeMap<Name, f64>,
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

    /// Excess that is tolerated for the quick tasks of a shop.
    pub fn tolerated(&self, shop: &Name) -> f64 {
        self.shops.get(shop).copied().unwrap_or(self.tolerance)
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
