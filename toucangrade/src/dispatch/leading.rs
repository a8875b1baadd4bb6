//! Taking over and giving up leadership, and the state that is derived from the replicated one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Dispatch;
use super::fleet::{Holder, lease_end};
use super::holders::LateStarts;
use super::message::Effect;
use super::settings::{CALL_LIMIT, ORDERS_AFTER_ANSWER};
use super::views::Views;
use crate::core::Moment;
use crate::jobs::{JobEntry, JobTable, Phase};

impl Dispatch {
    pub(super) fn install(&mut self, now: Moment, index: u64, job_table: JobTable) {
        self.job_table = job_table;
        self.gang_saves.clear();
        self.index = index;
        self.growth = (0, 0);
        self.rebuild(now);
    }

    /// Rebuilds the derived state from the replicated state.
    fn rebuild(&mut self, now: Moment) {
        let active = |entry: &JobEntry| entry.phase == Phase::Active;
        (self.active, self.ended) = (BTreeSet::new(), BTreeMap::new());
        for (id, entry) in &self.job_table.jobs {
            if active(entry) {
                self.active.insert(*id);
            } else {
                // The time of the end is not known here, so retention counts from now.
                self.ended.insert(*id, now);
            }
        }
        for (id, _) in &self.job_table.withdrawn {
            self.ended.entry(*id).or_insert(now);
        }
        self.fleet.leases.clear();
        let entries = self.job_table.jobs.values();
        let live = entries.flat_map(JobEntry::live_runs);
        let live: Vec<_> = live.map(|(key, run)| (key, Arc::clone(&run.incarnation))).collect();
        for (key, incarnation) in live {
            if let Some(mut run) = self.new_run(now, key) {
                if run.holder == Holder::Unknown {
                    // Its start may have reached an incarnation that no agent has reported, and the
                    // order may have been sent until now.
                    let doubtful = self.job_table.doubtful.contains(&key.task.job);
                    let left = if doubtful { CALL_LIMIT } else { ORDERS_AFTER_ANSWER };
                    run.holder = Holder::Doubtful { until: now + left, reported: false };
                }
                self.fleet.add_run(&incarnation, key, run, now);
            }
        }
        self.dirty = true;
    }

    pub(super) fn set_leading(&mut self, now: Moment, leading: bool) {
        if !leading {
            self.step_down();
        }
        self.leading = leading;
        if leading {
            self.leading_since = now;
            self.fleet.workers.clear();
            self.views = Views::default();
            self.learner.clear_samples();
            self.rebuild(now);
            self.late_starts.begin_term(now, &self.job_table);
            // The previous leader may have granted leases up to this moment.
            for lease in self.fleet.leases.values_mut() {
                (lease.expires, lease.read) = (lease_end(now), now);
            }
        }
        tracing::info!(leading, jobs = self.active.len(), index = self.index, "dispatch");
    }

    /// Drops uncommitted decisions and answers all waiting requests and reports, since another
    /// instance decides from now on.
    fn step_down(&mut self) {
        self.batch.clear();
        self.joined.clear();
        self.assigning.clear();
        self.moving.clear();
        self.closing.clear();
        self.begun.clear();
        self.beginning.clear();
        self.doubting.clear();
        self.late_starts = LateStarts::default();
        self.opening.clear();
        self.clear_waits();
        self.clear_evacuations();
        self.clear_slow_starts();
        self.overload.clear();
        self.clear_lookahead();
        for (_, ticket) in self.waiters.drain(..) {
            self.out.push(Effect::Reply { ticket, reply: None });
        }
        for worker in self.fleet.workers.values_mut() {
            if let Some(parked) = worker.parked.take() {
                self.out.push(Effect::Orders { ticket: parked.ticket, orders: None });
            }
        }
    }
}
