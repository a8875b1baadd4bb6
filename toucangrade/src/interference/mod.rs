//! Model of how much batch tasks on the same worker slow down quick tasks, estimated per pair of
//! kinds from latency reports that arrive with a delay.

mod kalman;
mod means;
mod message;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

use self::kalman::Filter;
use self::means::Pairs;
use crate::core::{Moment, Name, Span};
use crate::learned::Slope;

pub use self::message::Method;
pub(crate) use self::message::{Estimate, Pressure, Sample};

/// Slope assumed for a pair without reports: a batch kind that uses all cores doubles the latency.
pub(crate) const PRIOR_SLOPE: f64 = 1.0;
/// Standard error of the slope of a pair without reports.
pub(crate) const PRIOR_ERROR: f64 = 1.0;
/// Age at which the weight of a sample has halved.
pub(crate) const HALF_LIFE: Span = Span::secs(1_800);

/// Estimated slopes of all batch kinds on one quick kind.
#[derive(Clone, Debug, Serialize)]
enum Table {
    Kalman(Filter),
    Pairs(Pairs),
}

/// Estimated slopes for all pairs of a batch kind and a quick kind (the victim).
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Model {
    kinds: BTreeMap<Name, usize>,
    method: Option<Method>,
    samples: u64,
    tables: Vec<Table>,
    victims: BTreeMap<Name, usize>,
}

impl Model {
    /// Creates a model without samples. With no method, it always returns the prior slope.
    pub(crate) fn new(method: Option<Method>) -> Self {
        Self {
            kinds: BTreeMap::new(),
            method,
            samples: 0,
            tables: Vec::new(),
            victims: BTreeMap::new(),
        }
    }

    /// Index of a batch kind, assigned at its first use.
    pub(crate) fn kind(&mut self, name: &Name) -> usize {
        if let Some(&index) = self.kinds.get(name) {
            return index;
        }
        let index = self.kinds.len();
        self.kinds.insert(name.clone(), index);
        index
    }

    /// Index of a quick kind, assigned at its first use.
    pub(crate) fn victim(&mut self, name: &Name) -> usize {
        if let Some(&index) = self.victims.get(name) {
            return index;
        }
        let index = self.victims.len();
        self.victims.insert(name.clone(), index);
        self.tables.push(match self.method {
            Some(Method::Kalman) | None => Table::Kalman(Filter::default()),
            Some(Method::Means) => Table::Pairs(Pairs::new(false)),
            Some(Method::Shrinkage) => Table::Pairs(Pairs::new(true)),
        });
        index
    }

    /// Updates the estimates with a sample.
    pub(crate) fn learn(&mut self, sample: &Sample<'_>) {
        if self.method.is_none() || !sample.excess.is_finite() {
            return;
        }
        self.samples += 1;
        for pressure in sample.mix {
            self.ensure_prior(sample.victim, pressure.kind);
        }
        match &mut self.tables[sample.victim] {
            Table::Kalman(filter) => filter.learn(sample),
            Table::Pairs(pairs) => pairs.learn(sample),
        }
    }

    /// Slopes of all observed pairs, for the summary from which a new leader starts.
    pub(crate) fn slopes(&self) -> Vec<Slope> {
        let mut slopes = Vec::new();
        for (victim, &row) in &self.victims {
            let table = &self.tables[row];
            slopes.extend(self.kinds.iter().filter_map(|(kind, &index)| {
                let (Estimate { mean, error }, evidence) = table.slope_evidence(index)?;
                let (kind, victim) = (kind.clone(), victim.clone());
                Some(Slope { kind, victim, mean, error, evidence })
            }));
        }
        slopes
    }

    /// Restores a slope that another planner had estimated `age` ago.
    pub(crate) fn restore(&mut self, now: Moment, slope: &Slope, age: Span) {
        if self.method.is_none() || !slope.is_valid() {
            return;
        }
        let (victim, kind) = (self.victim(&slope.victim), self.kind(&slope.kind));
        let estimate = Estimate { mean: slope.mean, error: slope.error };
        match &mut self.tables[victim] {
            Table::Kalman(filter) => filter.restore(now, kind, estimate, age),
            Table::Pairs(pairs) => pairs.restore(now, kind, estimate, slope.evidence * faded(age)),
        }
    }

    /// Initialises a pair without samples with its pooled prior.
    fn ensure_prior(&mut self, victim: usize, kind: usize) {
        let has_prior = match &self.tables[victim] {
            Table::Kalman(filter) => filter.contains(kind),
            Table::Pairs(_) => true,
        };
        if !has_prior {
            let prior = self.pooled_prior(victim, kind);
            if let Table::Kalman(filter) = &mut self.tables[victim] {
                filter.insert(kind, prior);
            }
        }
    }

    /// Prior slope of a pair: the quick kind's mean slope over batch kinds, times the average ratio
    /// of the batch kind's slope to the mean slope for other quick kinds.
    fn pooled_prior(&self, victim: usize, kind: usize) -> Estimate {
        let mean_slope = self.tables[victim].mean_slope();
        let mut ratio = 1.0;
        let mut weight = 1.0;
        for (other, table) in self.tables.iter().enumerate() {
            if other == victim {
                continue;
            }
            if let (Some(slope), Some(mean_slope)) = (table.slope(kind), table.mean_slope()) {
                ratio += (slope.mean / mean_slope.max(0.05)).clamp(0.0, 5.0);
                weight += 1.0;
            }
        }
        Estimate { mean: mean_slope.unwrap_or(PRIOR_SLOPE) * ratio / weight, error: PRIOR_ERROR }
    }

    /// Slope of a pair with its standard error.
    pub(crate) fn slope(&self, victim: usize, kind: usize) -> Estimate {
        let prior = Estimate { mean: PRIOR_SLOPE, error: PRIOR_ERROR };
        if self.method.is_none() {
            return prior;
        }
        match &self.tables[victim] {
            Table::Pairs(pairs) if pairs.uses_shrinkage() => {
                pairs.posterior(kind, self.pooled_prior(victim, kind))
            },
            Table::Pairs(pairs) => pairs.slope(kind).unwrap_or(prior),
            Table::Kalman(filter) => {
                filter.slope(kind).unwrap_or_else(|| self.pooled_prior(victim, kind))
            },
        }
    }

    /// Expected excess latency of a quick kind on a worker with this mix of batch kinds. `caution`
    /// is the number of standard errors added to each slope.
    pub(crate) fn excess(&self, victim: usize, mix: &[Pressure], caution: f64) -> f64 {
        mix.iter()
            .map(|p| {
                let slope = self.slope(victim, p.kind);
                (slope.mean + caution * slope.error).max(0.0) * p.amount
            })
            .sum()
    }
}

impl Table {
    /// Mean slope over the observed batch kinds.
    fn mean_slope(&self) -> Option<f64> {
        match self {
            Self::Kalman(filter) => filter.mean_slope(),
            Self::Pairs(pairs) => pairs.mean_slope(),
        }
    }

    fn slope(&self, kind: usize) -> Option<Estimate> {
        match self {
            Self::Kalman(filter) => filter.slope(kind),
            Self::Pairs(pairs) => pairs.slope(kind),
        }
    }

    /// Slope of an observed pair, and its evidence as an equivalent number of samples.
    fn slope_evidence(&self, kind: usize) -> Option<(Estimate, f64)> {
        match self {
            Self::Kalman(filter) => filter.slope_evidence(kind),
            Self::Pairs(pairs) => Some((pairs.slope(kind)?, pairs.count(kind))),
        }
    }
}

/// Fraction of its weight that evidence from `earlier` has left at `now`.
fn decay_since(earlier: Moment, now: Moment) -> f64 {
    faded(now.since(earlier))
}

/// Fraction of its weight that evidence has left after `age`.
pub(crate) fn faded(age: Span) -> f64 {
    (-(age.as_micros() as f64) / HALF_LIFE.as_micros() as f64).exp2()
}
