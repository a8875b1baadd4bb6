//! Runs that get nowhere where they are, and are moved.

use super::Dispatch;
use super::fleet::Run;
use super::place::{Limits, choose};
use super::settings::{
    MOVE_AGE, MOVE_GAIN, MOVE_SPEED, MOVES_LIMIT, RESCUE_EVERY, STUCK_LIMIT, STUCK_SHARE,
};
use crate::core::{Moment, Name};
use crate::jobs::{Life, RunKey};

impl Dispatch {
    /// Stops runs that would go on better elsewhere.
    pub(super) fn rescue(&mut self, now: Moment) {
        if now.since(self.rescued) < RESCUE_EVERY {
            return;
        }
        self.rescued = now;
        self.evacuate(now);
        self.stop_stuck(now);
        self.move_slow(now);
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
            let hangs = |run: &Run| {
                run.listed
                    && !run.stop
                    && !run.lasting
                    && run.share >= STUCK_SHARE
                    && run.percent < 100
                    && now.since(run.moved) >= STUCK_LIMIT
            };
            let runs = hold.runs.iter().filter(|(_, run)| hangs(run));
            stuck.extend(runs.map(|(key, _)| (life.clone(), *key)));
        }
        for (life, key) in stuck {
            let Some(agent) = self.fleet.agent(&life).cloned() else { continue };
            tracing::info!(run = %key, runner = %life.runner, "no progress, stopping");
            self.avoided.entry(key.task).or_default().push(agent.clone());
            if let Some(worker) = self.fleet.workers.get_mut(&agent) {
                worker.judge(true, now);
            }
            self.order_stop(&life, key, &agent, now);
        }
    }

    /// Stops filling runs that are slowed down for others' sake, if another runner lets them work
    /// much faster.
    fn move_slow(&mut self, now: Moment) {
        let mut slow: Vec<(f64, Life, RunKey)> = Vec::new();
        for (life, hold) in &self.fleet.holds {
            for (key, run) in &hold.runs {
                let speed = f64::from(run.figure) / run.cores.max(1) as f64;
                let early = run.percent < 10;
                let settled = run.listed && now.since(run.since) >= MOVE_AGE;
                if run.fills && !run.stop && settled && speed < MOVE_SPEED && (run.saves || early) {
                    slow.push((speed, life.clone(), *key));
                }
            }
        }
        if slow.is_empty() {
            return;
        }
        slow.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        let mut candidates = self.candidates(now);
        let mut moves = 0;
        for (speed, life, key) in slow {
            let Some(step) = self.step_of(key).cloned() else { continue };
            // Spread and earlier failures are respected when the run is placed anew.
            let beside = vec![0; candidates.len()];
            let service = self
                .fleet
                .agent(&life)
                .and_then(|agent| Some(self.fleet.workers.get(agent)?.runner()?.service.clone()));
            let Some(service) = service else { continue };
            let table = &self.learner.table;
            let limits = Limits { service: &service, beside: &beside, avoided: &[], table };
            let Some(at) = choose(&candidates, &step, &limits) else { continue };
            let better = candidates[at].speed(table, &step);
            if candidates[at].life == life || better < speed + MOVE_GAIN {
                continue;
            }
            candidates[at].take(table, &step);
            let Some(agent) = self.fleet.agent(&life).cloned() else { continue };
            tracing::info!(run = %key, runner = %life.runner, speed, better, "moving");
            self.order_stop(&life, key, &agent, now);
            moves += 1;
            if moves == MOVES_LIMIT {
                return;
            }
        }
    }

    fn order_stop(&mut self, life: &Life, key: RunKey, agent: &Name, now: Moment) {
        if let Some(run) = self.fleet.run_mut(life, key) {
            run.stop = true;
        }
        self.answer_parked(agent, now);
    }
}
