//! The summary as the planner gives and takes it.

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::interference::faded;

/// Greatest size of a summary; with one a minute this is 1.1 KB/s of the 17 KB/s for control.
pub(crate) const SUMMARY_BYTES: usize = 64 * 1024;
/// Greatest encoded size of a number, or of what precedes a text or a list.
const NUMBER: usize = 9;
/// Encoded size of a summary without estimates, as a command of the log.
const EMPTY: usize = 64;

/// Corrected sizes and interference slopes with their uncertainty.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    pub(crate) sizes: Vec<(Name, Kind)>,
    pub(crate) slopes: Vec<Slope>,
}

/// Ratios of used to declared size of one kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Kind {
    pub(crate) cores: Ratio,
    /// Ratio of memory that a guard stop showed to be too small, raised by a growth step.
    ///
    /// Only used while finished runs are few: a stop says that the need is above the grant, not
    /// by how much, so it would widen the spread of the finished runs.
    pub(crate) floor: f64,
    pub(crate) memory: Ratio,
}

/// Decayed mean and spread of used over declared.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Ratio {
    pub(crate) square: f64,
    pub(crate) sum: f64,
    pub(crate) weight: f64,
}

/// Slowdown of a quick kind for each unit of pressure of a batch kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Slope {
    pub(crate) kind: Name,
    pub(crate) victim: Name,
    pub(crate) mean: f64,
    pub(crate) error: f64,
    /// Number of observations that the estimate is worth.
    pub(crate) evidence: f64,
}

/// One estimate of a summary.
enum Entry {
    Size((Name, Kind)),
    Slope(Slope),
}

impl Entry {
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
    /// The estimates with the most evidence, as many as fit into `limit` bytes.
    pub(crate) fn gather(sizes: Vec<(Name, Kind)>, slopes: Vec<Slope>, limit: usize) -> Self {
        let sizes = sizes.into_iter().map(Entry::Size);
        let mut entries: Vec<Entry> = sizes.chain(slopes.into_iter().map(Entry::Slope)).collect();
        // The sort is stable, so equal evidence leaves the given order.
        entries.sort_by(|a, b| b.evidence().total_cmp(&a.evidence()));
        let mut room = limit.saturating_sub(EMPTY);
        let mut summary = Self::default();
        for entry in entries {
            let Some(left) = room.checked_sub(entry.bytes()) else { break };
            room = left;
            match entry {
                Entry::Size(size) => summary.sizes.push(size),
                Entry::Slope(slope) => summary.slopes.push(slope),
            }
        }
        summary
    }

    /// Upper bound of the encoded size.
    pub(crate) fn bytes(&self) -> usize {
        let sizes: usize = self.sizes.iter().map(|(name, _)| size_bytes(name)).sum();
        let slopes: usize = self.slopes.iter().map(Slope::bytes).sum();
        EMPTY + sizes + slopes
    }

    /// Number of estimates.
    pub(crate) fn estimates(&self) -> usize {
        self.sizes.len() + self.slopes.len()
    }
}

impl Kind {
    /// Number of observations; a guard stop counts as one.
    fn evidence(&self) -> f64 {
        self.cores.weight + if self.floor > 0.0 { 1.0 } else { 0.0 }
    }

    /// Whether every value is one that observations can give.
    pub(crate) fn is_valid(&self) -> bool {
        self.cores.is_valid() && self.memory.is_valid() && self.floor.is_finite()
    }
}

impl Ratio {
    fn is_valid(&self) -> bool {
        let values = [self.square, self.sum, self.weight];
        values.iter().all(|value| value.is_finite() && *value >= 0.0)
    }

    /// The same mean and spread with less weight.
    pub(crate) fn aged(self, age: Span) -> Self {
        let kept = faded(age);
        Self { square: self.square * kept, sum: self.sum * kept, weight: self.weight * kept }
    }
}

impl Slope {
    fn bytes(&self) -> usize {
        1 + self.kind.as_str().len() + self.victim.as_str().len() + 5 * NUMBER
    }

    /// Whether every value is one that samples can give.
    pub(crate) fn is_valid(&self) -> bool {
        let values = [self.error, self.evidence];
        self.mean.is_finite() && values.iter().all(|value| value.is_finite() && *value >= 0.0)
    }
}

/// Encoded size of the ratios of one kind: name, list headers and seven numbers.
fn size_bytes(name: &Name) -> usize {
    4 + name.as_str().len() + 8 * NUMBER
}
