//! Runs that get nowhere where they are, and are moved.

use std::collections::{BTreeMap, BTreeSet};

use super::Dispatch;
use super::fleet::Run;
use super::health::Trust;
use super::place::{Candidate, Limits, choose};
use super::settings::{MOVE_AGE, MOVE_GAIN, MOVE_SPEED, MOVES_LIMIT, RESCUE_EVERY};
use crate::core::{Moment, Name};
use crate::jobs::{Life, RunKey};

/// A filling run that works slowly where it is.
pub(super) struct Slow {
    /// Part of its full speed at which it works.
    speed: f64,
    life: Life,
    key: RunKey,
}

impl Dispatch {
    /// Stops runs that would go on better elsewhere.
    pub(super) fn rescue(&mut self, now: Moment) {
        if now.since(self.rescued) < RESCUE_EVERY {
            return;
        }
        self.rescued = now;
        self.evacuate(now);
        self.stop_stuck(now);
    }

    /// Stops what would lose most on runners that are about to leave: lasting tasks, which go on at
    /// once elsewhere, and tasks with a checkpoint. Others may still end before the runner does.
    fn evacuate(&mut self, now: Moment) {
        let workers = self.fleet.workers.iter();
        let leaving: Vec<(Name, Life)> = workers
            .filter_map(|(agent, worker)| Some((agent.clone(), worker.runner()?)))
            .filter(|(_, runner)| runner.draining)
            .map(|(agent, runner)| (agent, runner.life.clone()))
            .collect();
        for (agent, life) in leaving {
            let Some(hold) = self.fleet.holds.get(&life) else { continue };
            let moves = |run: &Run| !run.stop && (run.lasting || run.saves);
            let keys: Vec<RunKey> =
                hold.runs.iter().filter(|(_, run)| moves(run)).map(|(key, _)| *key).collect();
            if !keys.is_empty() {
                tracing::info!(runner = %life.runner, runs = keys.len(), "runner leaves, moving");
            }
            for key in keys {
                self.order_stop(&life, key, &agent, now);
            }
        }
    }

    /// Stops runs that make no progress though they may work at full speed: their runner hangs.
    fn stop_stuck(&mut self, now: Moment) {
        let mut stuck: Vec<(Life, RunKey)> = Vec::new();
        for (life, hold) in &self.fleet.holds {
            let runs = hold.runs.iter().filter(|(_, run)| run.stuck());
            stuck.extend(runs.map(|(key, _)| (life.clone(), *key)));
        }
        for (life, key) in stuck {
            let Some(agent) = self.fleet.agent(&life).cloned() else { continue };
            let heard_ms = self.heard_ms(&agent, now);
            tracing::info!(run = %key, runner = %life.runner, heard_ms, "no progress, stopping");
            let began = self.fleet.run(&life, key).map_or(now, |run| run.since);
            self.blame(now, key, &agent, began);
            self.order_stop(&life, key, &agent, now);
        }
    }

    /// Filling runs that are slowed down for others' sake, slowest first, by job.
    pub(super) fn slow_runs(&self, now: Moment) -> BTreeMap<u64, Vec<Slow>> {
        let mut slow: BTreeMap<u64, Vec<Slow>> = BTreeMap::new();
        for (life, hold) in &self.fleet.holds {
            for (key, run) in &hold.runs {
                let speed = f64::from(run.figure) / run.cores.max(1) as f64;
                let early = run.percent < 10;
                let settled = run.listed && now.since(run.since) >= MOVE_AGE;
                if run.fills && !run.stop && settled && speed < MOVE_SPEED && (run.saves || early) {
                    let found = Slow { speed, life: life.clone(), key: *key };
                    slow.entry(key.task.job).or_default().push(found);
                }
            }
        }
        for runs in slow.values_mut() {
            runs.sort_by(|a, b| a.speed.total_cmp(&b.speed).then_with(|| a.key.cmp(&b.key)));
        }
        slow
    }

    /// Stops slow runs of one job if another runner lets them work much faster, and keeps the room
    /// there for them until they have stopped.
    pub(super) fn move_slow(
        &mut self,
        now: Moment,
        candidates: &mut [Candidate],
        service: &str,
        runs: Vec<Slow>,
    ) {
        for Slow { speed, life, key } in runs {
            if self.moving.len() >= MOVES_LIMIT {
                return;
            }
            let Some(step) = self.step_of(key).cloned() else { continue };
            // Spread and earlier failures are respected when the run is placed anew.
            let beside = vec![0; candidates.len()];
            let (avoided, table) = (&BTreeSet::new(), &self.learner.table);
            let limits = Limits { service, beside: &beside, avoided, table };
            let Some(at) = choose(candidates, &step, &limits) else { continue };
            let better = candidates[at].speed(table, &step);
            let trusted = candidates[at].trust == Trust::Full;
            if candidates[at].life == life || better < speed + MOVE_GAIN || !trusted {
                continue;
            }
            candidates[at].take(table, &step);
            let Some(agent) = self.fleet.agent(&life).cloned() else { continue };
            tracing::info!(run = %key, runner = %life.runner, speed, better, "moving");
            self.moving.insert(key, candidates[at].life.clone());
            self.order_stop(&life, key, &agent, now);
        }
    }

    fn order_stop(&mut self, life: &Life, key: RunKey, agent: &Name, now: Moment) {
        if let Some(run) = self.fleet.run_mut(life, key) {
            run.stop = true;
        }
        self.answer_parked(agent, now);
    }
}
