//! Shares at which tasks that fill may work beside tasks that have a tail latency to keep.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::{Moment, Span};
use crate::dispatch::{Nature, Row};
use crate::jobs::RunKey;

/// Tail latency as a share of its target, in percent, above which filling tasks are slowed down.
/// Latency grows steeply near saturation and the figures are half a second old.
const HIGH_PERCENT: u64 = 75;
/// Share below which they may work faster again; the gap keeps the control from oscillating.
const LOW_PERCENT: u64 = 50;
/// Share at which filling tasks work after a slow-down, relative to before.
const DECREASE_PERCENT: u64 = 50;
/// Points by which the share grows at a time.
const INCREASE: u64 = 15;
/// A share below this is taken as none: the task would disturb others and get nowhere.
const LEAST_SHARE: u64 = 12;
/// Time between two changes, in which one shows in the figures: they are averages over 0.5 s.
const SETTLE: Span = Span::millis(600);

/// State of the control loop on one runner.
#[derive(Debug, Serialize)]
pub(crate) struct Pacing {
    /// Share of all filling tasks, in percent.
    share: u64,
    changed: Moment,
    /// Share that each run was last told.
    told: BTreeMap<RunKey, u8>,
}

impl Default for Pacing {
    fn default() -> Self {
        Self { share: 100, changed: Moment::START, told: BTreeMap::new() }
    }
}

impl Pacing {
    /// Takes the newest figures and gives the runs whose share changes.
    ///
    /// Additive increase and multiplicative decrease of one share for all filling tasks.
    pub(crate) fn step(
        &mut self,
        now: Moment,
        rows: &[Row],
        natures: &BTreeMap<RunKey, Nature>,
    ) -> Vec<(RunKey, u8)> {
        let nature = |row: &Row| natures.get(&row.key).copied().unwrap_or_default();
        let strain = |row: &Row| {
            let target = nature(row).target;
            (target > 0).then(|| u64::from(row.figure) * 100 / target)
        };
        let worst = rows.iter().filter_map(strain).max().unwrap_or(0);
        if now.since(self.changed) >= SETTLE {
            let share = if worst >= HIGH_PERCENT {
                let lower = self.share * DECREASE_PERCENT / 100;
                if lower < LEAST_SHARE || worst >= 100 { lower / 2 } else { lower }
            } else if worst < LOW_PERCENT {
                (self.share + INCREASE).min(100)
            } else {
                self.share
            };
            let share = if share < LEAST_SHARE { 0 } else { share };
            if share != self.share {
                tracing::info!(worst, share, before = self.share, tasks = rows.len(), "pace");
                (self.share, self.changed) = (share, now);
            }
        }
        let share = self.share as u8;
        self.told.retain(|key, _| rows.iter().any(|row| row.key == *key));
        let mut changes = Vec::new();
        for row in rows.iter().filter(|row| nature(row).fills) {
            // Tasks start at their full share.
            let told = self.told.insert(row.key, share).unwrap_or(100);
            if told != share {
                changes.push((row.key, share));
            }
        }
        changes
    }
}
