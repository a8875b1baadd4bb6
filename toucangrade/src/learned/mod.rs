//! Replicated summary of the planner's estimates, from which the planner of a new leader starts.

mod message;

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use self::message::Summary;
pub(crate) use self::message::{Kind, Ratio, SUMMARY_BYTES, Slope};

/// The newest committed summary; part of the replicated state machine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Learned {
    /// Log index of the summary, 0 if there is none yet.
    index: u64,
    summary: Summary,
}

impl Learned {
    /// Replaces the summary, unless the new one is larger than `SUMMARY_BYTES`. Returns whether it
    /// was replaced.
    pub(crate) fn apply(&mut self, index: u64, summary: Summary) -> bool {
        let fits = summary.bytes() <= SUMMARY_BYTES;
        if fits {
            (self.index, self.summary) = (index, summary);
        }
        fits
    }

    /// The summary, if there is one.
    pub(crate) fn summary(&self) -> Option<&Summary> {
        (self.index > 0).then_some(&self.summary)
    }
}
