//! Runners as the leader knows them from reports, and what runs on each.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::health::{Health, Trust};
use super::message::{Report, Row, Runner};
use super::place::Passed;
use super::settings::{
    GRANT, LEASE_MARGIN, SILENCE_LIMIT, SLOW_CLOCK_PERCENT, STARTUP_LIMIT, STUCK_LIMIT, STUCK_SHARE,
};
use crate::core::{Moment, Name};
use crate::jobs::{Checkpoint, Life, Need, RunKey};

/// A run that the log assigns to a runner.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Run {
    /// Room that it takes.
    pub(crate) need: Need,
    /// Millicores that it asks for, counted or not.
    pub(crate) cores: u64,
    pub(crate) fills: bool,
    pub(crate) lasting: bool,
    /// Whether a checkpoint saves its progress when it is stopped.
    pub(crate) saves: bool,
    pub(crate) image: Arc<str>,
    /// Tail latency that it has to keep in ms, 0 for none.
    pub(crate) target: u64,
    pub(crate) since: Moment,
    /// Whether the runner has listed it.
    pub(crate) listed: bool,
    pub(crate) saved: Option<Checkpoint>,
    pub(crate) percent: u8,
    /// Start of the time in which reports show it at full speed without progress.
    pub(crate) still: Moment,
    /// When the runner's newest listing of it was read.
    pub(crate) seen: Moment,
    pub(crate) figure: u32,
    /// Share of its speed at which its agent lets it work, in percent.
    pub(crate) share: u8,
    /// Whether it is to be stopped though its task is not done.
    pub(crate) stop: bool,
}

impl Run {
    /// Takes the runner's listing of this run, read at `read`.
    pub(crate) fn list(&mut self, row: &Row, read: Moment) {
        // What happened while nothing was heard is not known.
        let gap = read.since(self.seen) >= SILENCE_LIMIT;
        if row.percent != self.percent || row.share < STUCK_SHARE || gap {
            self.still = read;
        }
        self.listed = true;
        self.seen = read;
        (self.percent, self.figure, self.share) = (row.percent, row.figure, row.share);
        if row.saved.is_some() {
            self.saved.clone_from(&row.saved);
        }
    }

    /// Whether it is a lasting task that does its work.
    pub(crate) fn at_work(&self) -> bool {
        self.lasting && self.percent >= 100
    }

    /// Whether reports show that it makes no progress though it may work.
    pub(crate) fn stuck(&self) -> bool {
        let limit = if self.lasting { STARTUP_LIMIT } else { STUCK_LIMIT };
        let still = self.seen.since(self.still) >= limit;
        self.listed && !self.stop && self.percent < 100 && still
    }
}

/// Runs of one life of a runner.
#[derive(Debug, Serialize)]
pub(crate) struct Hold {
    pub(crate) runs: BTreeMap<RunKey, Run>,
    /// When every lease that was granted has ended.
    pub(crate) bound: Moment,
}

/// Latest time at which a lease ends that is granted for a report of this moment.
pub(crate) fn lease_bound(now: Moment) -> Moment {
    now + GRANT.percent(SLOW_CLOCK_PERCENT) + LEASE_MARGIN
}

/// A report that waits for orders.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Parked {
    pub(crate) ticket: u64,
    pub(crate) since: Moment,
}

/// A runner and its agent.
#[derive(Debug, Serialize)]
pub(crate) struct Worker {
    /// The agent's newest report.
    pub(crate) report: Report,
    /// Runs in the newest report, in whatever state.
    pub(crate) known: BTreeSet<RunKey>,
    pub(crate) heard: Moment,
    pub(crate) parked: Option<Parked>,
    pub(crate) health: Health,
    /// Version of the estimates of pressure that the agent was sent, and when.
    pub(crate) table: (u64, Moment),
    /// Estimated slowness against other runners, in percent.
    pub(crate) slowness: u64,
}

impl Worker {
    pub(crate) fn new(report: Report, now: Moment) -> Self {
        Self {
            known: known(&report),
            report,
            heard: now,
            parked: None,
            health: Health::default(),
            table: (0, Moment::START),
            slowness: 100,
        }
    }

    /// Whether a newer report was taken in before. An agent that was silent for long may have
    /// restarted after its clock stepped back.
    pub(crate) fn overtaken(&self, report: &Report, now: Moment) -> bool {
        let newest = (self.report.incarnation, self.report.seq);
        let silent = now.since(self.heard) >= SILENCE_LIMIT;
        (report.incarnation, report.seq) <= newest
            && (report.incarnation == self.report.incarnation || !silent)
    }

    pub(crate) fn update(&mut self, report: Report, now: Moment) {
        if self.life() != report.runner.as_ref().map(|runner| &runner.life) {
            (self.health, self.slowness) = (Health::default(), 100);
        }
        self.known = known(&report);
        self.report = report;
        self.heard = now;
    }

    pub(crate) fn runner(&self) -> Option<&Runner> {
        self.report.runner.as_ref()
    }

    pub(crate) fn life(&self) -> Option<&Life> {
        self.runner().map(|runner| &runner.life)
    }

    /// Why no new work is placed there.
    pub(crate) fn passed(&self, now: Moment) -> Option<Passed> {
        let silent = now.since(self.heard).max(self.report.silent) >= SILENCE_LIMIT;
        match self.runner() {
            None => Some(Passed::Silent),
            Some(_) if silent || self.report.gone => Some(Passed::Silent),
            Some(runner) if runner.draining => Some(Passed::Leaving),
            Some(_) => None,
        }
    }

    /// Takes that a run which began at `began` works or ended well.
    pub(crate) fn worked(&mut self, began: Moment, now: Moment) {
        if self.health.worked(began, now) {
            tracing::info!(runner = self.runner_name(), "runner trusted again");
        }
    }

    /// Takes that a run which began at `began` failed through the runner, as far as is known.
    pub(crate) fn failed(&mut self, began: Moment, now: Moment) {
        let Some(barred) = self.health.failed(began, now) else { return };
        tracing::info!(
            runner = self.runner_name(),
            failures = self.health.failures(),
            barred_ms = barred.as_millis(),
            heard_ms = now.since(self.heard).as_millis(),
            "runner barred"
        );
    }

    fn runner_name(&self) -> Option<&str> {
        self.life().map(|life| life.runner.as_str())
    }
}

fn known(report: &Report) -> BTreeSet<RunKey> {
    let rows = report.rows.iter().map(|row| row.key);
    let ended = report.ended.iter().map(|ended| ended.key);
    let denied = report.denied.iter().map(|(key, _)| *key);
    let handled = report.handling.iter().chain(&report.stopping).copied();
    rows.chain(handled).chain(ended).chain(denied).collect()
}

/// All runners, by agent.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Fleet {
    pub(crate) workers: BTreeMap<Name, Worker>,
    #[serde(skip)]
    pub(crate) holds: BTreeMap<Life, Hold>,
}

impl Fleet {
    pub(crate) fn hold(&mut self, life: &Life, now: Moment) -> &mut Hold {
        if !self.holds.contains_key(life) {
            let hold = Hold { runs: BTreeMap::new(), bound: lease_bound(now) };
            self.holds.insert(life.clone(), hold);
        }
        self.holds.entry(life.clone()).or_insert_with(|| unreachable!("inserted above"))
    }

    pub(crate) fn run(&self, life: &Life, key: RunKey) -> Option<&Run> {
        self.holds.get(life)?.runs.get(&key)
    }

    pub(crate) fn run_mut(&mut self, life: &Life, key: RunKey) -> Option<&mut Run> {
        self.holds.get_mut(life)?.runs.get_mut(&key)
    }

    /// What a runner may be given.
    pub(crate) fn trust(&self, worker: &Worker, now: Moment) -> Trust {
        let runs = worker.life().and_then(|life| self.holds.get(life)).map(|hold| &hold.runs);
        let later = |since| runs.is_some_and(|runs| runs.values().any(|run| run.since > since));
        worker.health.trust(now, later)
    }

    /// The agent of a runner.
    pub(crate) fn agent(&self, life: &Life) -> Option<&Name> {
        let mut found = self.workers.iter().filter(|(_, worker)| worker.life() == Some(life));
        found.next().map(|(agent, _)| agent)
    }

    /// Earlier lives that the announcement of `life` by `agent` shows to be over.
    pub(crate) fn replaced(&self, agent: &Name, life: Option<&Life>) -> Vec<Life> {
        let before = self.workers.get(agent).and_then(Worker::life);
        let Some(life) = life else { return Vec::new() };
        let over = |old: &&Life| {
            (Some(*old) == before && *old != life)
                || (old.runner == life.runner && old.born < life.born)
        };
        self.holds.keys().filter(over).cloned().collect()
    }
}
