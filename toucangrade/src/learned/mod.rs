//! Agreed summary of what the planner learned, from which a new leader's planner starts.

mod message;

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use self::message::Summary;
pub(crate) use self::message::{Kind, Ratio, SUMMARY_BYTES, Slope};

/// The newest agreed summary; part of the state machine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Learned {
    /// Log index of the summary, 0 before the first.
    index: u64,
    summary: Summary,
}

impl Learned {
    /// Replaces the summary; one that is too large has no effect.
    pub(crate) fn apply(&mut self, index: u64, summary: Summary) -> bool {
        let fits = summary.bytes() <= SUMMARY_BYTES;
        if fits {
            (self.index, self.summary) = (index, summary);
        }
        fits
    }

    /// The summary, once there is one.
    pub(crate) fn summary(&self) -> Option<&Summary> {
        (self.index > 0).then_some(&self.summary)
    }
}
