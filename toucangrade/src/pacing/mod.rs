//! Shares at which tasks that fill may work beside tasks that have a tail latency to keep.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::core::{Moment, Span};
use crate::dispatch::{Nature, Row};
use crate::jobs::RunKey;
use crate::pressure::{Headroom, Serving, Table};

/// Points by which a share may grow at a time.
const GROWTH: u8 = 30;
/// A share below this is taken as none: the task would disturb others and get nowhere.
const LEAST_SHARE: u8 = 10;
/// Change of a share in points below which the runner isn't told.
const LEAST_CHANGE: u8 = 5;
/// Time between two changes, in which one shows in the figures: they are averages over 0.5 s.
const SETTLE: Span = Span::millis(450);
/// Time over a target after which nothing that fills works any more, whatever the estimates say.
const PATIENCE: Span = Span::millis(2_000);

/// A task that fills.
struct Filling {
    key: RunKey,
    image: Arc<str>,
    /// Part of the runner's cores that it asks for, and that it uses.
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
    /// What the shares leave to tasks that start before the next figures come.
    #[serde(skip)]
    headroom: Headroom,
    changed: Moment,
    /// Share that each run was last told.
    told: BTreeMap<RunKey, u8>,
    /// Runs that may work at another share than they were told, and until when.
    unsure: BTreeMap<RunKey, Moment>,
    /// Since when each run is over its target.
    over: BTreeMap<RunKey, Moment>,
    /// Runs whose jobs have missed their objective.
    late: BTreeSet<RunKey>,
}

impl Pacing {
    /// Replaces the estimates.
    pub(crate) fn learn(&mut self, table: Table) {
        self.table = table;
    }

    /// Replaces the runs that give way to others.
    pub(crate) fn note_late(&mut self, late: Vec<RunKey>) {
        self.late = late.into_iter().collect();
    }

    /// Takes the newest figures and gives the runs whose share changes.
    ///
    /// Runs of jobs that can still meet their objective are served first, and among them images that
    /// disturb least: each gets the largest share that leaves every task that serves below its aim,
    /// as far as the estimates tell.
    pub(crate) fn step(
        &mut self,
        now: Moment,
        cores: u64,
        rows: &[Row],
        natures: &BTreeMap<RunKey, Nature>,
    ) -> Vec<(RunKey, u8)> {
        self.cores = cores;
        self.told.retain(|key, _| natures.contains_key(key));
        self.unsure.retain(|key, _| natures.contains_key(key));
        self.note_over(now, rows, natures);
        let fresh = rows.iter().any(|row| {
            !self.told.contains_key(&row.key) && natures.get(&row.key).is_some_and(|n| n.fills)
        });
        if !fresh && now.since(self.changed) < SETTLE {
            return Vec::new();
        }
        self.changed = now;
        let filling = self.filling(rows, natures);
        let used: Vec<_> = filling.iter().map(|t| (Arc::clone(&t.image), t.used)).collect();
        let serving = serving(rows, natures);
        let mut headroom = Headroom::new(&self.table, serving.iter(), &used);
        let harmed = self.over.values().any(|since| now.since(*since) >= PATIENCE);
        let mut order: Vec<(f64, &Filling)> =
            filling.iter().map(|t| (headroom.clash(&self.table, &t.image), t)).collect();
        let late = |task: &Filling| self.late.contains(&task.key);
        order.sort_by(|a, b| {
            let turn = late(a.1).cmp(&late(b.1)).then(a.0.total_cmp(&b.0));
            turn.then(a.1.key.cmp(&b.1.key))
        });
        let mut changes = Vec::new();
        for (clash, task) in order {
            let before = self.told.get(&task.key).copied();
            let mut share = if harmed { 0 } else { self.share(task, &headroom) };
            let known = before.unwrap_or(100);
            if before.is_some() {
                share = share.min(known.saturating_add(GROWTH));
            }
            let small = share.abs_diff(known) < LEAST_CHANGE && share != 0 && share != 100;
            let share = if small { known } else { share };
            let used = task.asked * f64::from(share) / 100.0;
            headroom.spend(&self.table, &task.image, used);
            self.told.insert(task.key, share);
            let unsure = self.unsure.get(&task.key).copied();
            if unsure.is_some_and(|until| until <= now) {
                self.unsure.remove(&task.key);
            }
            if share != known {
                tracing::info!(run = %task.key, share, before = known, clash, harmed, "pace");
            }
            if share != known || unsure.is_some() {
                changes.push((task.key, share));
            }
        }
        self.headroom = headroom;
        changes
    }

    /// Has a run told its share with the next figures and until this moment, since the runner may
    /// not have taken it.
    pub(crate) fn doubt(&mut self, key: RunKey, until: Moment) {
        self.unsure.insert(key, until);
    }

    /// The share of a task that has just started, if it isn't its whole speed.
    pub(crate) fn admit(&mut self, key: RunKey, nature: &Nature) -> Option<u8> {
        if !nature.fills || self.told.contains_key(&key) {
            return None;
        }
        let asked = nature.cores as f64 / self.cores.max(1) as f64;
        let image = nature.image.clone().unwrap_or_default();
        let task = Filling { key, image, asked, used: 0.0 };
        let share = self.share(&task, &self.headroom);
        let used = asked * f64::from(share) / 100.0;
        self.headroom.spend(&self.table, &task.image, used);
        self.told.insert(key, share);
        (share < 100).then_some(share)
    }

    fn note_over(&mut self, now: Moment, rows: &[Row], natures: &BTreeMap<RunKey, Nature>) {
        let target = |row: &Row| natures.get(&row.key).map_or(0, |nature| nature.target);
        let over = |row: &&Row| target(row) > 0 && u64::from(row.figure) >= target(row);
        let keys: Vec<RunKey> = rows.iter().filter(over).map(|row| row.key).collect();
        self.over.retain(|key, _| keys.contains(key));
        for key in keys {
            self.over.entry(key).or_insert(now);
        }
    }

    fn filling(&self, rows: &[Row], natures: &BTreeMap<RunKey, Nature>) -> Vec<Filling> {
        let part = |millicores: u64| millicores as f64 / self.cores.max(1) as f64;
        let filling = rows.iter().filter_map(|row| {
            let nature = natures.get(&row.key).filter(|nature| nature.fills)?;
            Some(Filling {
                key: row.key,
                image: nature.image.clone().unwrap_or_default(),
                asked: part(nature.cores),
                used: part(u64::from(row.figure)),
            })
        });
        filling.collect()
    }

    /// The largest share of a task that the headroom allows, in percent.
    fn share(&self, task: &Filling, headroom: &Headroom) -> u8 {
        let share = (headroom.max_share(&self.table, &task.image, task.asked) * 100.0) as u8;
        if share < LEAST_SHARE { 0 } else { share }
    }

    /// Share at which a run was last told to work, in percent.
    pub(crate) fn share_of(&self, key: RunKey) -> u8 {
        self.told.get(&key).copied().unwrap_or(100)
    }
}

fn serving(rows: &[Row], natures: &BTreeMap<RunKey, Nature>) -> Vec<Serving> {
    let serving = rows.iter().filter_map(|row| {
        let nature = natures.get(&row.key).filter(|nature| nature.target > 0)?;
        let image = nature.image.clone().unwrap_or_default();
        let (figure, target) = (u64::from(row.figure), nature.target);
        Some(Serving { key: row.key, image, figure, target })
    });
    serving.collect()
}
