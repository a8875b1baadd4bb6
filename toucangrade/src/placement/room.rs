//! Room for urgent jobs and for jobs that waited long: workers held, jobs evicted.

use super::Planner;
use super::message::Effect;
use crate::core::{Moment, Name, Span};
use crate::eviction::{self, Candidate, Cause, Plan};
use crate::quota::Size;

/// Wait of urgent work for room that frees itself before jobs are evicted for it.
///
/// Together with the checkpoint (0.75 s), two ticks (0.5 s), the stop and two log entries it
/// keeps the start within 4.1 s.
const URGENT_PATIENCE: Span = Span::millis(1_000);
/// Time within which urgent work starts.
const URGENT_START: Span = Span::millis(4_100);
/// Time after which room that was made for a job and is not there is made again.
const MAKE_AGAIN: Span = Span::secs(4);
/// Workers for each job that may be held at the same time.
const WORKERS_EACH_DRAIN: usize = 32;
/// Multiple of the longest wait after which jobs are evicted for a job that workers are held for.
const ESCALATE_AFTER: u64 = 4;

impl Planner {
    /// Evicts jobs for an urgent one that found no room for a while.
    pub(super) fn make_room_urgent(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let mut since = *job.blocked.get_or_insert(now);
        if now < self.led_since + URGENT_START {
            // The time without a leader and the search of the workers for it used up the patience.
            since = since.min(self.led_since);
        }
        let again = job.making.is_none_or(|at| at + MAKE_AGAIN <= now);
        if since + URGENT_PATIENCE <= now && again {
            self.make_room(now, name, Cause::Urgent, out);
        }
    }

    /// Notes that the first job of a team found no room, and holds workers for it in the end.
    pub(super) fn block_first(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let max_wait = self.settings.weights(&job.spec.shop).max_wait;
        let since = *job.blocked.get_or_insert(now);
        let most = self.workers.len().div_ceil(WORKERS_EACH_DRAIN);
        if since + max_wait > now || self.drains.len() >= most || self.drains.contains_key(name) {
            return;
        }
        let Some((need, gang)) = self.need(name) else {
            return;
        };
        // The workers with the most room are nearest to having enough.
        let mut ids: Vec<usize> = self.candidates(Size::default());
        ids.retain(|&id| self.may_hold(id, name, need));
        ids.sort_by_key(|&id| std::cmp::Reverse(self.workers[id].free()));
        if ids.len() < gang {
            return;
        }
        for &id in &ids[..gang] {
            self.workers[id].hold = Some(name.clone());
        }
        self.drains.insert(name.clone(), now);
        self.escalate(now, name, out);
    }

    /// Evicts jobs for one that workers have been held for long enough.
    pub(super) fn escalate(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(&since) = self.drains.get(name) else {
            return;
        };
        let job = &self.jobs[name];
        let max_wait = self.settings.weights(&job.spec.shop).max_wait;
        let wait = max_wait.percent(100 * ESCALATE_AFTER);
        let again = job.making.is_none_or(|at| at + MAKE_AGAIN.percent(500) <= now);
        if since + wait <= now && again {
            self.make_room(now, name, Cause::Aged, out);
        }
    }

    /// Whether a worker could be held for a job.
    fn may_hold(&self, id: usize, name: &Name, need: Size) -> bool {
        let worker = &self.workers[id];
        worker.alive
            && !worker.health.quarantined()
            && worker.hold.as_ref().is_none_or(|held| held == name)
            && need.fits(worker.free() + worker.reserved())
            && !(self.jobs[name].failed_on.contains(&id) && self.has_others(name, need))
    }

    /// Evicts the cheapest sets of jobs that make room for all members, and holds the workers.
    fn make_room(&mut self, now: Moment, name: &Name, cause: Cause, out: &mut Vec<Effect>) {
        let Some((need, gang)) = self.need(name) else {
            return;
        };
        let mut plans: Vec<(usize, Plan, Vec<Candidate>)> = Vec::new();
        for id in self.candidates(Size::new(0, 0, need.accelerators)) {
            if !self.may_hold(id, name, need) {
                continue;
            }
            let candidates = self.evictable(id, name, cause);
            // Room that is being freed on this worker already counts.
            let free = self.workers[id].free() + self.leaving(id);
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
            self.workers[id].hold = Some(name.clone());
            for index in plan.chosen {
                self.begin_evict(now, &candidates[index].job, cause, out);
            }
        }
        if let Some(job) = self.jobs.get_mut(name) {
            job.making = Some(now);
        }
    }

    /// Jobs on a worker that may be evicted for `name`.
    fn evictable(&self, id: usize, name: &Name, cause: Cause) -> Vec<Candidate> {
        let priority = self.jobs[name].spec.priority;
        let tasks = self.workers[id].tasks.iter();
        tasks
            .filter_map(|task| {
                let job = self.jobs.get(&task.job)?;
                let weaker = cause == Cause::Urgent || job.spec.priority <= priority;
                let free = job.is_running()
                    && job.closing.is_none()
                    && !self.evicting.contains_key(&task.job);
                (free && weaker && !job.spec.urgent && !job.spec.standing).then(|| Candidate {
                    job: task.job.clone(),
                    priority: job.spec.priority,
                    frees: task.grant,
                    lost: job.at_stake(),
                })
            })
            .collect()
    }

    /// What jobs hold on a worker that are being evicted.
    fn leaving(&self, id: usize) -> Size {
        let tasks = self.workers[id].tasks.iter();
        let leaving = tasks.filter(|task| {
            self.evicting.contains_key(&task.job) || self.settling.contains(&task.job)
        });
        leaving.fold(Size::default(), |sum, task| sum + task.grant)
    }
}
