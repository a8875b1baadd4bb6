//! Protects quick tasks from batch jobs: throttles first, then evicts a job so that it moves
//! elsewhere.

use super::Planner;
use super::message::{Effect, Target};
use crate::core::{Moment, Span};
use crate::eviction::Cause;

/// Steps of throttling, in percent of the granted cores.
const SHARE_STEPS: [u8; 6] = [100, 75, 50, 35, 20, 10];
/// Lowest share of urgent jobs and standing watches, in percent.
const URGENT_MIN_SHARE: u8 = 75;
/// Predicted excess, as a fraction of the tolerated excess, below which a share is raised.
///
/// The gap to 1 is hysteresis: load that varies around the limit doesn't change shares back and
/// forth.
const RAISE_BELOW: f64 = 0.85;
/// Minimum time between a change of a share and its next increase.
const RAISE_AFTER: Span = Span::secs(5);
/// Time for which throttling must have been insufficient before a job is evicted.
const MOVE_AFTER: Span = Span::secs(20);
/// Minimum time between two such evictions from a worker, long enough for late latency reports to
/// show the effect of the first.
const MOVE_INTERVAL: Span = Span::secs(120);
/// Number of parts that the workers are divided into. One part is reviewed in each tick, so that
/// every worker is reviewed once per second.
const PHASES: usize = 4;

impl Planner {
    /// Reviews the next part of the workers.
    pub(super) fn review_risk(&mut self, now: Moment, out: &mut Vec<Effect>) {
        self.phase = (self.phase + 1) % PHASES;
        let mut id = self.phase;
        while id < self.workers.len() {
            if self.workers[id].alive && !self.workers[id].quick.is_empty() {
                self.review_worker(now, id, out);
            }
            id += PHASES;
        }
    }

    fn review_worker(&mut self, now: Moment, id: usize, out: &mut Vec<Effect>) {
        self.workers[id].predict(&self.model);
        let before: Vec<u8> = self.workers[id].tasks.iter().map(|t| t.share).collect();
        let mut shares = before.clone();
        let worst = self.lower_shares(id, &mut shares);
        if shares == before && worst < RAISE_BELOW {
            self.raise_one_share(now, id, &mut shares);
        }
        if shares != before {
            self.apply_shares(now, id, &shares, out);
        }
        self.relocate(now, id, worst, out);
    }

    /// Predicted excess of each quick task as a multiple of its tolerated excess, under the given
    /// shares.
    fn ratios(&self, id: usize, shares: &[u8]) -> Vec<f64> {
        let worker = &self.workers[id];
        let quick = worker.quick.iter().enumerate();
        quick
            .map(|(q, quick)| {
                let tasks = 0..shares.len();
                let pressure: f64 = tasks.map(|t| self.pressure(id, q, t, shares[t])).sum();
                (pressure + quick.offset).max(0.0) / quick.tolerated
            })
            .collect()
    }

    /// Excess that the task at `t` adds to the quick task at `q` under `share`.
    fn pressure(&self, id: usize, q: usize, t: usize, share: u8) -> f64 {
        let worker = &self.workers[id];
        let (quick, task) = (&worker.quick[q], &worker.tasks[t]);
        let used = task.used as f64 * f64::from(share) / 100.0;
        let amount = used / worker.info.size.cores.max(1) as f64;
        self.model.slope(quick.victim, task.kind).mean * amount * quick.scale()
    }

    /// Lowers the shares of the most harmful tasks until all quick tasks are within tolerance.
    ///
    /// Returns the highest remaining excess as a multiple of the tolerated excess.
    fn lower_shares(&self, id: usize, shares: &mut [u8]) -> f64 {
        for _ in 0..shares.len() * SHARE_STEPS.len() {
            let ratios = self.ratios(id, shares);
            let worst = (0..ratios.len()).max_by(|&a, &b| ratios[a].total_cmp(&ratios[b]));
            let Some(q) = worst else {
                return 0.0;
            };
            if ratios[q] <= 1.0 {
                return ratios[q];
            }
            // Throttling the task with the steepest slope loses the least work per reduced excess.
            let harm = |t: usize| {
                let task = &self.workers[id].tasks[t];
                self.model.slope(self.workers[id].quick[q].victim, task.kind).mean
            };
            let next = (0..shares.len())
                .filter(|&t| shares[t] > self.min_share(id, t) && harm(t) > 0.0)
                .max_by(|&a, &b| harm(a).total_cmp(&harm(b)));
            let Some(t) = next else {
                return ratios[q];
            };
            shares[t] = next_lower_share(shares[t]);
        }
        self.ratios(id, shares).into_iter().fold(0.0, f64::max)
    }

    /// Raises the share of one task by one step if the prediction stays below `RAISE_BELOW`.
    fn raise_one_share(&self, now: Moment, id: usize, shares: &mut [u8]) {
        let worker = &self.workers[id];
        let mut order: Vec<usize> = (0..shares.len())
            .filter(|&t| shares[t] < 100 && worker.tasks[t].share_changed + RAISE_AFTER <= now)
            .collect();
        // The least harmful task first, as it gains the most work per added excess.
        let harm = |t: usize| {
            let slopes = worker.quick.iter();
            let slopes =
                slopes.map(|q| self.model.slope(q.victim, worker.tasks[t].kind).mean / q.tolerated);
            slopes.fold(0.0, f64::max)
        };
        order.sort_by(|&a, &b| harm(a).total_cmp(&harm(b)));
        for t in order {
            let old = shares[t];
            shares[t] = next_higher_share(old);
            if self.ratios(id, shares).iter().all(|&r| r <= RAISE_BELOW) {
                return;
            }
            shares[t] = old;
        }
    }

    /// Lowest share of a task, in percent.
    fn min_share(&self, id: usize, t: usize) -> u8 {
        let job = self.jobs.get(&self.workers[id].tasks[t].job);
        let protected = job.is_some_and(|job| job.spec.urgent || job.spec.standing);
        if protected { URGENT_MIN_SHARE } else { SHARE_STEPS[SHARE_STEPS.len() - 1] }
    }

    fn apply_shares(&mut self, now: Moment, id: usize, shares: &[u8], out: &mut Vec<Effect>) {
        let worker = &mut self.workers[id];
        for (task, &share) in worker.tasks.iter_mut().zip(shares) {
            if task.share == share {
                continue;
            }
            task.share = share;
            task.share_changed = now;
            self.counts.throttled += 1;
            let target = Target {
                fence: task.fence,
                job: task.job.clone(),
                worker: worker.info.name.clone(),
            };
            out.push(Effect::Throttle { share, target });
        }
        self.refresh_worker(now, id);
    }

    /// Evicts a job if throttling has been insufficient for `MOVE_AFTER`.
    fn relocate(&mut self, now: Moment, id: usize, worst: f64, out: &mut Vec<Effect>) {
        let shares: Vec<u8> = self.workers[id].tasks.iter().map(|t| t.share).collect();
        let ratios = self.ratios(id, &shares);
        // The limit is that of the slowed quick task's shop, which suffers if the job isn't moved.
        let mut quick = self.workers[id].quick.iter().zip(ratios);
        let over_limit = quick.any(|(quick, ratio)| ratio > quick.weights.relocate);
        let worker = &mut self.workers[id];
        if worst <= 1.0 {
            worker.strained = None;
            return;
        }
        let since = *worker.strained.get_or_insert(now);
        let recent = worker.last_move.is_some_and(|at| at + MOVE_INTERVAL > now);
        if !over_limit || since + MOVE_AFTER > now || recent {
            return;
        }
        let worker = &self.workers[id];
        // Moving only helps for a task that still adds to the excess when throttled.
        let best = (0..worker.tasks.len())
            .filter_map(|t| {
                let task = &worker.tasks[t];
                let job = self.jobs.get(&task.job)?;
                if job.spec.standing || job.spec.urgent || job.spec.gang > 1 {
                    return None;
                }
                let quick = 0..worker.quick.len();
                let harm: f64 = quick
                    .map(|q| self.pressure(id, q, t, task.share) / worker.quick[q].tolerated)
                    .sum();
                (harm > 0.2).then(|| (harm / (job.unsaved_work() + 60.0), task.job.clone()))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, name)) = best
            && self.begin_evict(now, &name, Cause::Quick, out)
        {
            self.workers[id].last_move = Some(now);
        }
    }
}

fn next_lower_share(share: u8) -> u8 {
    let below = SHARE_STEPS.into_iter().find(|&step| step < share);
    below.unwrap_or(SHARE_STEPS[SHARE_STEPS.len() - 1])
}

fn next_higher_share(share: u8) -> u8 {
    let above = SHARE_STEPS.into_iter().rev().find(|&step| step > share);
    above.unwrap_or(100)
}
