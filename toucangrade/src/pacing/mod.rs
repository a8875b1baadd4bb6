//! Control loop that limits the speed of filling tasks on one runner, which use cores that others
//! leave unused, so that tasks with a latency target stay below it.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::core::{Moment, Span};
use crate::dispatch::{RunProfile, RunStatus};
use crate::jobs::RunKey;
use crate::pressure::{AIM_PERCENT, Headroom, PROBE_AIM_PERCENT, Serving, Table};

/// Most percentage points by which a share grows in one step.
const MAX_INCREASE: u8 = 30;
/// Shares below this percentage are set to 0: the task would disturb others and make no progress.
const MIN_SHARE: u8 = 10;
/// Smallest change of a share, in percentage points, that is sent to the runner.
const MIN_CHANGE: u8 = 5;
/// Shortest interval between two steps, so that the effect of one shows in the figures, which are
/// averages over 0.5 s.
const SETTLE_TIME: Span = Span::millis(450);
/// Time over a latency target after which all filling tasks stop, whatever the estimates say.
const OVER_TARGET_LIMIT: Span = Span::millis(2_000);

/// Time without speed after which a filling task is probed if its effect on others is in doubt: it
/// runs at a small share for a while, so that the effect is learned. Also the least time between two
/// probes.
const PROBE_AFTER: Span = Span::millis(3_000);
/// Time without speed after which any filling task is probed, so that it makes some progress, and so
/// that a wrong estimate is corrected.
const PROBE_LIMIT: Span = Span::millis(12_000);
/// Length of a probe: figures are averages over 0.5 s.
const PROBE_TIME: Span = Span::millis(900);

/// A filling task on the runner.
struct Filling {
    key: RunKey,
    image: Arc<str>,
    /// Fractions of the runner's cores that it requests and that it uses.
    asked: f64,
    used: f64,
}

/// State of the control loop on one runner.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Pacing {
    #[serde(skip)]
    table: Table,
    /// Millicores of the runner.
    cores: u64,
    /// Headroom left for tasks that start before the next step.
    #[serde(skip)]
    headroom: Headroom,
    /// Time of the last step that set shares.
    changed: Moment,
    /// Share last sent for each run, in percent.
    #[serde(rename = "told")]
    sent: BTreeMap<RunKey, u8>,
    /// Runs whose share may not have reached the runner, and the time until which it is resent.
    #[serde(rename = "unsure")]
    unconfirmed: BTreeMap<RunKey, Moment>,
    /// Runs whose share is 0, and since when.
    #[serde(skip)]
    paused: BTreeMap<RunKey, Moment>,
    /// The last run that was probed, and the end of its probe.
    #[serde(skip)]
    probe: Option<(RunKey, Moment)>,
    /// Runs over their latency target, and since when.
    #[serde(rename = "over")]
    over_since: BTreeMap<RunKey, Moment>,
    /// Runs whose jobs have missed their objective.
    late: BTreeSet<RunKey>,
}

impl Pacing {
    /// Replaces the pressure table.
    pub(crate) fn set_table(&mut self, table: Table) {
        self.table = table;
    }

    /// Replaces the set of runs whose jobs are late, and which yield to others.
    pub(crate) fn set_late(&mut self, late: Vec<RunKey>) {
        self.late = late.into_iter().collect();
    }

    /// Computes the shares from the newest figures and returns those to send to the runner.
    ///
    /// Runs of jobs that can still meet their objective come first, and among them those whose
    /// images interfere least. Each gets the largest share that, by the estimates, keeps the tail
    /// latency of every other task below its aim. One run at a time that gets none for long is probed.
    pub(crate) fn step(
        &mut self,
        now: Moment,
        cores: u64,
        rows: &[RunStatus],
        profiles: &BTreeMap<RunKey, RunProfile>,
    ) -> Vec<(RunKey, u8)> {
        self.cores = cores;
        self.sent.retain(|key, _| profiles.contains_key(key));
        self.unconfirmed.retain(|key, _| profiles.contains_key(key));
        self.paused.retain(|key, _| profiles.contains_key(key));
        self.update_over_target(now, rows, profiles);
        let fresh = rows.iter().any(|row| {
            !self.sent.contains_key(&row.key) && profiles.get(&row.key).is_some_and(|n| n.fills)
        });
        if !fresh && now.since(self.changed) < SETTLE_TIME {
            return Vec::new();
        }
        self.changed = now;
        let filling = self.filling(rows, profiles);
        let used: Vec<_> = filling.iter().map(|t| (Arc::clone(&t.image), t.used)).collect();
        let serving = serving(rows, profiles);
        let mut headroom = Headroom::new(&self.table, AIM_PERCENT, serving.iter(), &used);
        let mut probing = Headroom::new(&self.table, PROBE_AIM_PERCENT, serving.iter(), &used);
        let harmed = self.over_since.values().any(|since| now.since(*since) >= OVER_TARGET_LIMIT);
        let mut order: Vec<(f64, &Filling)> =
            filling.iter().map(|t| (headroom.clash(&self.table, &t.image), t)).collect();
        let late = |task: &Filling| self.late.contains(&task.key);
        order.sort_by(|a, b| {
            let turn = late(a.1).cmp(&late(b.1)).then(a.0.total_cmp(&b.0));
            turn.then(a.1.key.cmp(&b.1.key))
        });
        let mut shares = Vec::new();
        for (clash, task) in order {
            let before = self.sent.get(&task.key).copied();
            let mut share = if harmed { 0 } else { self.share(task, &headroom) };
            let current = before.unwrap_or(100);
            if before.is_some() {
                share = share.min(current.saturating_add(MAX_INCREASE));
            }
            let small = share.abs_diff(current) < MIN_CHANGE && share != 0 && share != 100;
            let share = if small { current } else { share };
            let used = task.asked * f64::from(share) / 100.0;
            headroom.spend(&self.table, &task.image, used);
            probing.spend(&self.table, &task.image, used);
            shares.push((clash, task, share));
        }
        let probe = self.probe(now, &shares, &probing);
        let mut changes = Vec::new();
        for (clash, task, share) in shares {
            let probe = probe.filter(|(key, _)| *key == task.key).map(|(_, share)| share);
            let share = probe.unwrap_or(share);
            let current = self.sent.insert(task.key, share).unwrap_or(100);
            if share == 0 {
                self.paused.entry(task.key).or_insert(now);
            } else {
                self.paused.remove(&task.key);
            }
            let unconfirmed = self.unconfirmed.get(&task.key).copied();
            if unconfirmed.is_some_and(|until| until <= now) {
                self.unconfirmed.remove(&task.key);
            }
            if share != current {
                let probe = probe.is_some();
                tracing::info!(run = %task.key, share, before = current, clash, harmed, probe, "pace");
            }
            if share != current || unconfirmed.is_some() {
                changes.push((task.key, share));
            }
        }
        self.headroom = headroom;
        changes
    }

    /// The run to probe now and its share, given the shares of all runs and the headroom that they
    /// leave for probes. The longest paused run comes first.
    fn probe(
        &mut self,
        now: Moment,
        shares: &[(f64, &Filling, u8)],
        headroom: &Headroom,
    ) -> Option<(RunKey, u8)> {
        // A latency over its target ends the probe, whatever has raised it.
        if !self.over_since.is_empty() {
            return None;
        }
        let share = |task: &Filling| {
            let share = headroom.max_share(&self.table, &task.image, task.asked) * 100.0;
            (share as u8).min(MAX_INCREASE)
        };
        let idle = shares.iter().filter(|(_, _, share)| *share == 0).map(|(_, task, _)| *task);
        let current = self.probe.filter(|(_, until)| now < *until);
        if let Some((key, _)) = current {
            let task = idle.into_iter().find(|task| task.key == key)?;
            return Some((key, share(task)));
        }
        if self.probe.is_some_and(|(_, until)| now.since(until) < PROBE_AFTER) {
            return None;
        }
        let due = idle.filter_map(|task| {
            let since = *self.paused.get(&task.key)?;
            let doubtful = headroom.is_doubtful(&self.table, &task.image);
            let after = if doubtful { PROBE_AFTER } else { PROBE_LIMIT };
            (now.since(since) >= after).then_some((since, task.key, share(task)))
        });
        let due = due.filter(|(_, _, share)| *share > 0);
        let (_, key, share) = due.min()?;
        self.probe = Some((key, now + PROBE_TIME));
        Some((key, share))
    }

    /// Has the share of a run sent again with each step up to the first one from `until` on, since
    /// the runner may not have received it.
    pub(crate) fn mark_unconfirmed(&mut self, key: RunKey, until: Moment) {
        self.unconfirmed.insert(key, until);
    }

    /// Sets the share of a new run; returns it if it is below 100%.
    pub(crate) fn admit(&mut self, key: RunKey, profile: &RunProfile) -> Option<u8> {
        if !profile.fills || self.sent.contains_key(&key) {
            return None;
        }
        let asked = profile.cores as f64 / self.cores.max(1) as f64;
        let image = profile.image.clone().unwrap_or_default();
        let task = Filling { key, image, asked, used: 0.0 };
        let share = self.share(&task, &self.headroom);
        let used = asked * f64::from(share) / 100.0;
        self.headroom.spend(&self.table, &task.image, used);
        self.sent.insert(key, share);
        (share < 100).then_some(share)
    }

    /// Updates the set of runs whose tail latency has reached the target.
    fn update_over_target(
        &mut self,
        now: Moment,
        rows: &[RunStatus],
        profiles: &BTreeMap<RunKey, RunProfile>,
    ) {
        let target = |row: &RunStatus| profiles.get(&row.key).map_or(0, |profile| profile.target);
        let over = |row: &&RunStatus| target(row) > 0 && u64::from(row.figure) >= target(row);
        let keys: Vec<RunKey> = rows.iter().filter(over).map(|row| row.key).collect();
        self.over_since.retain(|key, _| keys.contains(key));
        for key in keys {
            self.over_since.entry(key).or_insert(now);
        }
    }

    fn filling(&self, rows: &[RunStatus], profiles: &BTreeMap<RunKey, RunProfile>) -> Vec<Filling> {
        let fraction = |millicores: u64| millicores as f64 / self.cores.max(1) as f64;
        let filling = rows.iter().filter_map(|row| {
            let profile = profiles.get(&row.key).filter(|profile| profile.fills)?;
            Some(Filling {
                key: row.key,
                image: profile.image.clone().unwrap_or_default(),
                asked: fraction(profile.cores),
                used: fraction(u64::from(row.figure)),
            })
        });
        filling.collect()
    }

    /// Largest share of a task that the headroom allows, in percent.
    fn share(&self, task: &Filling, headroom: &Headroom) -> u8 {
        let share = (headroom.max_share(&self.table, &task.image, task.asked) * 100.0) as u8;
        if share < MIN_SHARE { 0 } else { share }
    }

    /// Share last sent for a run, in percent.
    pub(crate) fn share_of(&self, key: RunKey) -> u8 {
        self.sent.get(&key).copied().unwrap_or(100)
    }
}

fn serving(rows: &[RunStatus], profiles: &BTreeMap<RunKey, RunProfile>) -> Vec<Serving> {
    let serving = rows.iter().filter_map(|row| {
        let profile = profiles.get(&row.key).filter(|profile| profile.target > 0)?;
        let image = profile.image.clone().unwrap_or_default();
        let (figure, target) = (u64::from(row.figure), profile.target);
        Some(Serving { key: row.key, image, figure, target })
    });
    serving.collect()
}
