//! Summary of the planner's estimates, with an upper bound on its encoded size.

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::interference::faded;

/// Maximum encoded size of a summary in bytes. One per minute amounts to 1.1 KB/s of the 17 KB/s
/// for control.
pub(crate) const SUMMARY_BYTES: usize = 64 * 1024;
/// Maximum encoded size in bytes of a number, or of the length prefix of a string or a list.
const NUMBER_BYTES: usize = 9;
/// Upper bound in bytes of the encoded size of a summary without estimates, as a log command.
const EMPTY_BYTES: usize = 64;

/// Planner's estimates with their uncertainty: ratios of used to declared resources per kind, and
/// interference slopes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    pub(crate) sizes: Vec<(Name, Kind)>,
    pub(crate) slopes: Vec<Slope>,
}

/// Ratios of used to declared resources of one kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Kind {
    pub(crate) cores: Ratio,
    /// Memory ratio after runs that the memory guard stopped: the ratio that was too small, raised
    /// by a growth step.
    ///
    /// Only used while there are few finished runs. A stop only shows that a run needed more than
    /// it was granted, not how much more, so as a sample it would distort the spread of `memory`.
    pub(crate) floor: f64,
    pub(crate) memory: Ratio,
}

/// Mean and spread of the ratio of used to declared, as sums over samples whose weights decay with
/// age: weights, weighted values and weighted squares.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Ratio {
    pub(crate) square: f64,
    pub(crate) sum: f64,
    pub(crate) weight: f64,
}

/// Slowdown of a quick kind per unit of pressure of a batch kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Slope {
    pub(crate) kind: Name,
    pub(crate) victim: Name,
    pub(crate) mean: f64,
    pub(crate) error: f64,
    /// Equivalent number of samples of the estimate.
    pub(crate) evidence: f64,
}

/// Single estimate of a summary.
enum Item {
    Size((Name, Kind)),
    Slope(Slope),
}

impl Item {
    fn evidence(&self) -> f64 {
        match self {
            Self::Size((_, kind)) => kind.evidence(),
            Self::Slope(slope) => slope.evidence,
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Self::Size((name, _)) => size_bytes(name),
            Self::Slope(slope) => slope.bytes(),
        }
    }
}

impl Summary {
    /// Selects the estimates with the most evidence, as many as fit into `limit` bytes.
    pub(crate) fn gather(sizes: Vec<(Name, Kind)>, slopes: Vec<Slope>, limit: usize) -> Self {
        let sizes = sizes.into_iter().map(Item::Size);
        let mut items: Vec<Item> = sizes.chain(slopes.into_iter().map(Item::Slope)).collect();
        // The sort is stable: estimates with equal evidence keep their order.
        items.sort_by(|a, b| b.evidence().total_cmp(&a.evidence()));
        let mut room = limit.saturating_sub(EMPTY_BYTES);
        let mut summary = Self::default();
        for item in items {
            let Some(left) = room.checked_sub(item.bytes()) else { break };
            room = left;
            match item {
                Item::Size(size) => summary.sizes.push(size),
                Item::Slope(slope) => summary.slopes.push(slope),
            }
        }
        summary
    }

    /// Upper bound of the encoded size in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let sizes: usize = self.sizes.iter().map(|(name, _)| size_bytes(name)).sum();
        let slopes: usize = self.slopes.iter().map(Slope::bytes).sum();
        EMPTY_BYTES + sizes + slopes
    }

    /// Number of estimates.
    pub(crate) fn estimates(&self) -> usize {
        self.sizes.len() + self.slopes.len()
    }
}

impl Kind {
    /// Weight of the samples. Stops by the memory guard count as one sample.
    fn evidence(&self) -> f64 {
        self.cores.weight + if self.floor > 0.0 { 1.0 } else { 0.0 }
    }

    /// Whether all values can result from samples.
    pub(crate) fn is_valid(&self) -> bool {
        self.cores.is_valid() && self.memory.is_valid() && self.floor.is_finite()
    }
}

impl Ratio {
    fn is_valid(&self) -> bool {
        let values = [self.square, self.sum, self.weight];
        values.iter().all(|value| value.is_finite() && *value >= 0.0)
    }

    /// Same mean and spread, with the weight that is left after `age`.
    pub(crate) fn aged(self, age: Span) -> Self {
        let factor = faded(age);
        Self { square: self.square * factor, sum: self.sum * factor, weight: self.weight * factor }
    }
}

impl Slope {
    fn bytes(&self) -> usize {
        1 + self.kind.as_str().len() + self.victim.as_str().len() + 5 * NUMBER_BYTES
    }

    /// Whether all values can result from samples.
    pub(crate) fn is_valid(&self) -> bool {
        let values = [self.error, self.evidence];
        self.mean.is_finite() && values.iter().all(|value| value.is_finite() && *value >= 0.0)
    }
}

/// Upper bound in bytes of the encoded ratios of one kind: name, list headers and seven numbers.
fn size_bytes(name: &Name) -> usize {
    4 + name.as_str().len() + 8 * NUMBER_BYTES
}
