//! Stops runs that are stuck, slowed down, without their gang or on a draining runner, so that they
//! are placed on another runner.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Dispatch;
use super::fleet::Run;
use super::health::Trust;
use super::place::{Candidate, Constraints, Ranking};
use super::settings::{MOVE_AGE, MOVE_GAIN, MOVE_SPEED, MOVES_LIMIT, RESCUE_EVERY};
use crate::core::Moment;
use crate::jobs::{Incarnation, RunKey};

/// A filling run that is slowed down on its runner.
pub(super) struct SlowRun {
    /// Fraction of full speed at which it runs.
    speed: f64,
    incarnation: Incarnation,
    key: RunKey,
}

impl Dispatch {
    /// Periodically stops the runs on draining runners, those that lack members of their gang and
    /// those that are stuck.
    pub(super) fn rescue(&mut self, now: Moment) {
        if now.since(self.last_rescue) < RESCUE_EVERY {
            return;
        }
        self.last_rescue = now;
        self.leave_draining(now);
        self.mend_gangs(now);
        self.stop_stuck(now);
    }

    /// Stops the runs on draining runners that would lose most: lasting tasks, which continue at
    /// once elsewhere, and tasks with checkpoints. Others may finish before the runner shuts down.
    fn leave_draining(&mut self, now: Moment) {
        let workers = self.fleet.workers.iter();
        let leaving: Vec<Incarnation> = workers
            .filter_map(|(_, worker)| worker.runner())
            .filter(|runner| runner.draining)
            .map(|runner| runner.incarnation.clone())
            .collect();
        for incarnation in leaving {
            let Some(lease) = self.fleet.leases.get(&incarnation) else { continue };
            let moves = |run: &Run| !run.stop && (run.lasting || run.saves);
            let keys: Vec<RunKey> =
                lease.runs.iter().filter(|(_, run)| moves(run)).map(|(key, _)| *key).collect();
            if !keys.is_empty() {
                tracing::info!(
                    runner = %incarnation.runner,
                    runs = keys.len(),
                    "moving runs off draining runner"
                );
            }
            for key in keys {
                self.order_stop(&incarnation, key, now);
            }
        }
    }

    /// Stops runs that make no progress though they are allowed enough speed: their runner hangs.
    fn stop_stuck(&mut self, now: Moment) {
        let mut stuck: Vec<(Incarnation, RunKey)> = Vec::new();
        for (incarnation, lease) in &self.fleet.leases {
            let runs = lease.runs.iter().filter(|(_, run)| run.stuck());
            stuck.extend(runs.map(|(key, _)| (incarnation.clone(), *key)));
        }
        for (incarnation, key) in stuck {
            let Some(agent) = self.fleet.agent(&incarnation).cloned() else { continue };
            let heard_ms = self.report_age_ms(&agent, now);
            tracing::info!(run = %key, runner = %incarnation.runner, heard_ms, "no progress, stopping");
            let began = self.fleet.run(&incarnation, key).map_or(now, |run| run.since);
            self.count_failure(now, key, &agent, began);
            self.order_stop(&incarnation, key, now);
        }
    }

    /// Filling runs that run slowly and lose little by a move, by job and slowest first.
    pub(super) fn slow_runs(&self, now: Moment) -> BTreeMap<u64, Vec<SlowRun>> {
        let mut slow: BTreeMap<u64, Vec<SlowRun>> = BTreeMap::new();
        for (incarnation, lease) in &self.fleet.leases {
            for (key, run) in &lease.runs {
                let speed = f64::from(run.figure) / run.cores.max(1) as f64;
                let early = run.percent < 10;
                // A gang would have to be moved as a whole.
                let gang = self.step_of(*key).is_some_and(|step| step.gang);
                let settled = run.listed && !gang && now.since(run.shown) >= MOVE_AGE;
                if run.fills && !run.stop && settled && speed < MOVE_SPEED && (run.saves || early) {
                    let found = SlowRun { speed, incarnation: incarnation.clone(), key: *key };
                    slow.entry(key.task.job).or_default().push(found);
                }
            }
        }
        for runs in slow.values_mut() {
            runs.sort_by(|a, b| a.speed.total_cmp(&b.speed).then_with(|| a.key.cmp(&b.key)));
        }
        slow
    }

    /// Stops slow runs of one job that would be much faster on another runner, and reserves room
    /// for them there until they have stopped.
    pub(super) fn move_slow(
        &mut self,
        now: Moment,
        candidates: &mut [Candidate],
        service: &str,
        runs: Vec<SlowRun>,
    ) {
        // Spread and earlier failures are taken into account when the run is placed again.
        let siblings = vec![0; candidates.len()];
        let job = runs.first().and_then(|run| self.job_table.jobs.get(&run.key.task.job));
        let Some(job) = job.map(|entry| Arc::clone(&entry.job)) else { return };
        let mut rankings: BTreeMap<u16, Ranking<'_>> = BTreeMap::new();
        let table = Arc::clone(&self.learner.table);
        for SlowRun { speed, incarnation, key } in runs {
            if self.moving.len() >= MOVES_LIMIT {
                return;
            }
            let Some(step) = job.steps.get(usize::from(key.task.step)) else { continue };
            let ranking = rankings.entry(key.task.step).or_insert_with(|| {
                let constraints = Constraints::plain(step, service, &table);
                Ranking::new(candidates, constraints, siblings.clone())
            });
            let Some(at) = ranking.best(candidates, None, None) else { continue };
            let better = candidates[at].speed(&table, step);
            let suitable = candidates[at].trust == Trust::Full && candidates[at].reachable;
            if candidates[at].incarnation == incarnation || better < speed + MOVE_GAIN || !suitable
            {
                continue;
            }
            ranking.allocate(candidates, at);
            // The rankings for other steps don't know of this task.
            rankings.retain(|step, _| *step == key.task.step);
            if self.fleet.agent(&incarnation).is_none() {
                continue;
            }
            tracing::info!(run = %key, runner = %incarnation.runner, speed, better, "moving");
            self.moving.insert(key, (candidates[at].incarnation.clone(), now));
            self.order_stop(&incarnation, key, now);
        }
    }

    pub(super) fn order_stop(&mut self, incarnation: &Incarnation, key: RunKey, now: Moment) {
        if let Some(run) = self.fleet.run_mut(incarnation, key) {
            run.stop = true;
        }
        if let Some(agent) = self.fleet.agent(incarnation).cloned() {
            self.answer_parked(&agent, now);
        }
    }
}
