//! Makes room for urgent jobs and for jobs that have waited long, by holding workers and evicting
//! other jobs.

use super::Planner;
use super::message::Effect;
use crate::core::{Moment, Name, Span};
use crate::eviction::{self, Candidate, Cause, Plan};
use crate::quota::Size;

/// Time for which an urgent job waits for free room before other jobs are evicted for it.
///
/// Together with the checkpoint (0.75 s), two ticks (0.5 s), the stop and two log entries, the job
/// starts within 4.1 s.
const URGENT_EVICT_DELAY: Span = Span::millis(1_000);
/// Time within which an urgent job starts.
const URGENT_START_LIMIT: Span = Span::millis(4_100);
/// Time after which more jobs are evicted for an urgent job if it still has no room; jobs that
/// workers are held for wait five times as long.
const EVICT_RETRY: Span = Span::secs(4);
/// Workers are held for at most one job per this many workers, rounded up.
const WORKERS_PER_DRAIN: usize = 32;
/// Multiple of the shop's `max_wait` for which workers are held for a job before other jobs are
/// evicted for it.
const ESCALATE_FACTOR: u64 = 4;

impl Planner {
    /// Evicts jobs for an urgent job that has had no room for `URGENT_EVICT_DELAY`.
    pub(super) fn make_room_urgent(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let mut since = *job.blocked_since.get_or_insert(now);
        if now < self.led_since + URGENT_START_LIMIT {
            // The time without a leader, and that which workers take to find the new one, count
            // towards the delay.
            since = since.min(self.led_since);
        }
        let retry = job.evictions_began.is_none_or(|at| at + EVICT_RETRY <= now);
        if since + URGENT_EVICT_DELAY <= now && retry {
            self.make_room(now, name, Cause::Urgent, out);
        }
    }

    /// Holds workers for the first job of a team after it has had no room for the `max_wait` of its
    /// shop.
    pub(super) fn hold_for_blocked(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let max_wait = self.settings.weights(&job.spec.shop).max_wait;
        let since = *job.blocked_since.get_or_insert(now);
        let most = self.workers.len().div_ceil(WORKERS_PER_DRAIN);
        if since + max_wait > now || self.drains.len() >= most || self.drains.contains_key(name) {
            return;
        }
        let Some((need, gang)) = self.need(name) else {
            return;
        };
        // The workers with the most free room will have enough for the job soonest.
        let mut ids: Vec<usize> = self.candidates(Size::default());
        ids.retain(|&id| self.may_hold(id, name, need));
        ids.sort_by_key(|&id| std::cmp::Reverse(self.workers[id].free()));
        if ids.len() < gang {
            return;
        }
        for &id in &ids[..gang] {
            self.workers[id].held_for = Some(name.clone());
        }
        self.drains.insert(name.clone(), now);
        self.escalate(now, name, out);
    }

    /// Evicts jobs for a job that workers have been held for too long without effect.
    pub(super) fn escalate(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(&since) = self.drains.get(name) else {
            return;
        };
        let job = &self.jobs[name];
        let max_wait = self.settings.weights(&job.spec.shop).max_wait;
        let wait = max_wait.percent(100 * ESCALATE_FACTOR);
        let retry = job.evictions_began.is_none_or(|at| at + EVICT_RETRY.percent(500) <= now);
        if since + wait <= now && retry {
            self.make_room(now, name, Cause::Aged, out);
        }
    }

    /// Whether a worker can be held for a job.
    fn may_hold(&self, id: usize, name: &Name, need: Size) -> bool {
        let worker = &self.workers[id];
        worker.alive
            && !worker.health.quarantined()
            && worker.held_for.as_ref().is_none_or(|held| held == name)
            && need.fits(worker.free() + worker.reserved())
            && !(self.jobs[name].failed_on.contains(&id) && self.has_alternatives(name, need))
    }

    /// Holds workers for all members of a job, and evicts the cheapest set of jobs on each.
    fn make_room(&mut self, now: Moment, name: &Name, cause: Cause, out: &mut Vec<Effect>) {
        let Some((need, gang)) = self.need(name) else {
            return;
        };
        let mut plans: Vec<(usize, Plan, Vec<Candidate>)> = Vec::new();
        for id in self.candidates(Size::new(0, 0, need.accelerators)) {
            if !self.may_hold(id, name, need) {
                continue;
            }
            let candidates = self.eviction_candidates(id, name, cause);
            // Room that is already being freed on this worker counts as free.
            let free = self.workers[id].free() + self.freeing(id);
            if let Some(plan) = eviction::choose(need, free, &candidates) {
                plans.push((id, plan, candidates));
            }
        }
        if plans.len() < gang {
            return;
        }
        let cost = |plan: &Plan| (plan.priority, plan.cost);
        plans.sort_by(|a, b| {
            let (a, b) = (cost(&a.1), cost(&b.1));
            a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1))
        });
        for (id, plan, candidates) in plans.into_iter().take(gang) {
            self.workers[id].held_for = Some(name.clone());
            for index in plan.chosen {
                self.begin_evict(now, &candidates[index].job, cause, out);
            }
        }
        if let Some(job) = self.jobs.get_mut(name) {
            job.evictions_began = Some(now);
        }
    }

    /// Jobs on a worker that may be evicted for `name`.
    fn eviction_candidates(&self, id: usize, name: &Name, cause: Cause) -> Vec<Candidate> {
        let priority = self.jobs[name].spec.priority;
        let tasks = self.workers[id].tasks.iter();
        tasks
            .filter_map(|task| {
                let job = self.jobs.get(&task.job)?;
                let preemptible = cause == Cause::Urgent || job.spec.priority <= priority;
                let free = job.is_running()
                    && job.proposed_outcome.is_none()
                    && !self.evicting.contains_key(&task.job);
                (free && preemptible && !job.spec.urgent && !job.spec.standing).then(|| Candidate {
                    job: task.job.clone(),
                    priority: job.spec.priority,
                    frees: task.grant,
                    lost: job.unsaved_work(),
                })
            })
            .collect()
    }

    /// Resources on a worker that belong to jobs being evicted.
    fn freeing(&self, id: usize) -> Size {
        let tasks = self.workers[id].tasks.iter();
        let leaving = tasks.filter(|task| {
            self.evicting.contains_key(&task.job) || self.terminating.contains(&task.job)
        });
        leaving.fold(Size::default(), |sum, task| sum + task.grant)
    }
}
