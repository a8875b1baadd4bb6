//! Slowdown of quick kinds by batch kinds, learned from late reports.

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

/// Slope that is assumed for a pair before any report: a worker full of the kind doubles latency.
pub(crate) const PRIOR_SLOPE: f64 = 1.0;
/// Standard error of the slope before any report.
pub(crate) const PRIOR_ERROR: f64 = 1.0;
/// Age at which a sample counts half.
pub(crate) const HALF_LIFE: Span = Span::secs(1_800);

/// Estimates for one quick kind.
#[derive(Clone, Debug, Serialize)]
enum Table {
    Kalman(Filter),
    Pairs(Pairs),
}

/// Estimates for all pairs of kinds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Model {
    kinds: BTreeMap<Name, usize>,
    method: Option<Method>,
    samples: u64,
    tables: Vec<Table>,
    victims: BTreeMap<Name, usize>,
}

impl Model {
    /// A model that has seen nothing; without a method it keeps to the prior slope.
    pub(crate) fn new(method: Option<Method>) -> Self {
        Self {
            kinds: BTreeMap::new(),
            method,
            samples: 0,
            tables: Vec::new(),
            victims: BTreeMap::new(),
        }
    }

    /// Index of a batch kind, given out at its first use.
    pub(crate) fn kind(&mut self, name: &Name) -> usize {
        if let Some(&index) = self.kinds.get(name) {
            return index;
        }
        let index = self.kinds.len();
        self.kinds.insert(name.clone(), index);
        index
    }

    /// Index of a quick kind, given out at its first use.
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

    /// Takes in a sample.
    pub(crate) fn learn(&mut self, sample: &Sample<'_>) {
        if self.method.is_none() || !sample.excess.is_finite() {
            return;
        }
        self.samples += 1;
        for pressure in sample.mix {
            self.prepare(sample.victim, pressure.kind);
        }
        match &mut self.tables[sample.victim] {
            Table::Kalman(filter) => filter.learn(sample),
            Table::Pairs(pairs) => pairs.learn(sample),
        }
    }

    /// All pairs that were seen, for the summary that a new leader starts from.
    pub(crate) fn slopes(&self) -> Vec<Slope> {
        let mut slopes = Vec::new();
        for (victim, &row) in &self.victims {
            let table = &self.tables[row];
            slopes.extend(self.kinds.iter().filter_map(|(kind, &index)| {
                let (Estimate { mean, error }, evidence) = table.learned(index)?;
                let (kind, victim) = (kind.clone(), victim.clone());
                Some(Slope { kind, victim, mean, error, evidence })
            }));
        }
        slopes
    }

    /// Takes over a slope that another planner learned up to `age` ago.
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

    /// Gives a pair that was never seen its pooled prior.
    fn prepare(&mut self, victim: usize, kind: usize) {
        let known = match &self.tables[victim] {
            Table::Kalman(filter) => filter.knows(kind),
            Table::Pairs(_) => true,
        };
        if !known {
            let prior = self.pooled(victim, kind);
            if let Table::Kalman(filter) = &mut self.tables[victim] {
                filter.insert(kind, prior);
            }
        }
    }

    /// Prior slope of a pair: the quick kind's mean over batch kinds, scaled by how far the batch
    /// kind lies above or below the mean for other quick kinds.
    fn pooled(&self, victim: usize, kind: usize) -> Estimate {
        let level = self.tables[victim].level();
        let mut ratio = 1.0;
        let mut weight = 1.0;
        for (other, table) in self.tables.iter().enumerate() {
            if other == victim {
                continue;
            }
            if let (Some(slope), Some(level)) = (table.slope(kind), table.level()) {
                ratio += (slope.mean / level.max(0.05)).clamp(0.0, 5.0);
                weight += 1.0;
            }
        }
        Estimate { mean: level.unwrap_or(PRIOR_SLOPE) * ratio / weight, error: PRIOR_ERROR }
    }

    /// Slope of a pair with its standard error.
    pub(crate) fn slope(&self, victim: usize, kind: usize) -> Estimate {
        let unknown = Estimate { mean: PRIOR_SLOPE, error: PRIOR_ERROR };
        if self.method.is_none() {
            return unknown;
        }
        match &self.tables[victim] {
            Table::Pairs(pairs) if pairs.shrinks() => pairs.shrunk(kind, self.pooled(victim, kind)),
            Table::Pairs(pairs) => pairs.slope(kind).unwrap_or(unknown),
            Table::Kalman(filter) => {
                filter.slope(kind).unwrap_or_else(|| self.pooled(victim, kind))
            },
        }
    }

    /// Expected excess of a quick kind beside a mix; `caution` standard errors are added to each
    /// slope.
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
    /// Mean slope over the batch kinds that were seen.
    fn level(&self) -> Option<f64> {
        match self {
            Self::Kalman(filter) => filter.level(),
            Self::Pairs(pairs) => pairs.level(),
        }
    }

    fn slope(&self, kind: usize) -> Option<Estimate> {
        match self {
            Self::Kalman(filter) => filter.slope(kind),
            Self::Pairs(pairs) => pairs.slope(kind),
        }
    }

    /// Slope of a pair that was seen, and the number of samples that it is worth.
    fn learned(&self, kind: usize) -> Option<(Estimate, f64)> {
        match self {
            Self::Kalman(filter) => filter.learned(kind),
            Self::Pairs(pairs) => Some((pairs.slope(kind)?, pairs.count(kind))),
        }
    }
}

/// Factor by which evidence from `earlier` has lost weight.
fn decay(earlier: Moment, now: Moment) -> f64 {
    faded(now.since(earlier))
}

/// Factor by which evidence that is `age` old has lost weight.
pub(crate) fn faded(age: Span) -> f64 {
    (-(age.as_micros() as f64) / HALF_LIFE.as_micros() as f64).exp2()
}
