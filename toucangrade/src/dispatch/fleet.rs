//! The leader's view of the runners: their agents' newest reports, their leases, and the runs that
//! the log assigns to them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::health::{Health, Trust};
use super::message::{Report, RunStatus, Runner};
use super::place::Exclusion;
use super::settings::{
    CALL_LIMIT, LEASE_DURATION, LEASE_MARGIN, ORDERS_AFTER_ANSWER, REPORT_GAP, SILENCE_LIMIT,
    SLOW_CLOCK_PERCENT, STARTS_HELD, STARTUP_LIMIT, STUCK_LIMIT, STUCK_SHARE,
};
use crate::core::{Moment, Name, Span};
use crate::jobs::{Checkpoint, Incarnation, Need, RunKey};
use crate::overload::Worked;

/// A run that is assigned to a runner in the replicated state.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Run {
    /// Room that counts against the runner's capacity.
    pub(crate) need: Need,
    /// Requested millicores, whether or not they count against the capacity.
    pub(crate) cores: u64,
    pub(crate) fills: bool,
    pub(crate) lasting: bool,
    /// Whether it makes checkpoints, which save its progress when it is stopped.
    pub(crate) saves: bool,
    pub(crate) image: Arc<str>,
    /// Limit for its tail latency in ms, 0 for none.
    pub(crate) target: u64,
    /// When this instance added it.
    pub(crate) since: Moment,
    /// Whether this instance has proposed it in this term, so that no other leader can have sent the
    /// order to start it.
    pub(crate) own: bool,
    /// Whether this instance has sent the order to start it.
    pub(crate) ordered: bool,
    /// When the order first left this instance, or `since` before that.
    pub(crate) sent: Moment,
    /// Whether the runner has listed it.
    pub(crate) listed: bool,
    /// When the first listing with it was read.
    pub(crate) shown: Moment,
    /// Work done between its listings.
    #[serde(skip)]
    pub(crate) worked: Worked,
    pub(crate) saved: Option<Checkpoint>,
    pub(crate) percent: u8,
    /// Start of the time in which reports show no progress though it is allowed enough speed.
    #[serde(rename = "still")]
    pub(crate) stalled_since: Moment,
    /// When the newest listing with this run was read.
    pub(crate) seen: Moment,
    pub(crate) figure: u32,
    /// Share of its full speed that the agent allows it, in percent.
    pub(crate) share: u8,
    /// Whether it is to be stopped although its task is not done.
    pub(crate) stop: bool,
    pub(crate) holder: Holder,
}

/// What is known about which incarnation of a runner may hold a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub(crate) enum Holder {
    /// A copy of its start may be carried out until this moment, by any later incarnation. `reported`
    /// if its agent has said so.
    Doubtful { until: Moment, reported: bool },
    /// The incarnation to whose lease it belongs: a report has shown it there, and no copy of its start
    /// can be carried out any more. `recorded` if the log has this, `proposed` if that is under way.
    Settled { proposed: bool, recorded: bool },
    /// The order to start it may be on its way to the agent or the runner.
    Unknown,
}

impl Run {
    /// Updates the run from the runner's listing, read at `read`.
    pub(crate) fn update(&mut self, row: &RunStatus, read: Moment) {
        // Whether it made progress during a gap in the reports is not known.
        let gap = read.since(self.seen) >= SILENCE_LIMIT;
        if !self.listed {
            // It may have waited for its order until now.
            (self.shown, self.stalled_since) = (read, read);
        }
        if row.percent != self.percent || row.share < STUCK_SHARE || gap {
            self.stalled_since = read;
        }
        let speed = f64::from(row.figure) / self.cores.max(1) as f64;
        self.worked.record(row.percent, speed, read.since(self.seen));
        self.listed = true;
        self.seen = read;
        (self.percent, self.figure, self.share) = (row.percent, row.figure, row.share);
        if row.saved.is_some() {
            self.saved.clone_from(&row.saved);
        }
    }

    /// Whether no order to start it can have been sent.
    pub(crate) fn never_ordered(&self) -> bool {
        self.own && !self.ordered && !self.listed
    }

    /// Whether it is a lasting task that is up.
    pub(crate) fn at_work(&self) -> bool {
        self.lasting && self.percent >= 100
    }

    /// Whether reports show that it makes no progress though it is allowed enough speed.
    pub(crate) fn stuck(&self) -> bool {
        let limit = if self.lasting { STARTUP_LIMIT } else { STUCK_LIMIT };
        let stalled = self.seen.since(self.stalled_since) >= limit;
        self.listed && !self.stop && self.percent < 100 && stalled
    }
}

/// Runs assigned to one incarnation of a runner, and the expiry of its leases.
#[derive(Debug, Serialize)]
pub(crate) struct Lease {
    pub(crate) runs: BTreeMap<RunKey, Run>,
    /// When every lease that was granted has certainly expired.
    #[serde(rename = "bound")]
    pub(crate) expires: Moment,
    /// When the runner was last read.
    pub(crate) read: Moment,
    /// Whether the incarnation is known to have ended.
    #[serde(skip)]
    pub(crate) over: bool,
    /// Number of the last change of the set of runs, see [`Fleet::next_change`].
    #[serde(skip)]
    pub(crate) changed: u64,
}

impl Lease {
    /// Latest time at which a run may still go on if nothing more is heard of its runner, where
    /// `limit` is the longest lease that runners accept.
    pub(crate) fn run_end(&self, run: &Run, limit: Span) -> Moment {
        let stray = match run.holder {
            Holder::Doubtful { until, .. } => until,
            // Its order can't have left this instance.
            Holder::Unknown if run.never_ordered() => return self.expires,
            Holder::Unknown => self.read + ORDERS_AFTER_ANSWER + CALL_LIMIT,
            Holder::Settled { .. } => return self.expires,
        };
        self.expires.max(hold_end(stray, limit))
    }
}

/// Latest time at which a lease expires that was granted for a report of this moment.
pub(crate) fn lease_end(now: Moment) -> Moment {
    now + LEASE_DURATION.percent(SLOW_CLOCK_PERCENT) + LEASE_MARGIN
}

/// Latest time at which a lease expires that a runner was made to accept at this moment, at most
/// `limit` long by its clock.
pub(crate) fn hold_end(now: Moment, limit: Span) -> Moment {
    now + limit.percent(SLOW_CLOCK_PERCENT) + LEASE_MARGIN
}

/// A report whose answer is held until there are orders.
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
    #[serde(rename = "known")]
    pub(crate) reported_runs: BTreeSet<RunKey>,
    /// When the newest report was received.
    #[serde(rename = "heard")]
    pub(crate) received: Moment,
    pub(crate) parked: Option<Parked>,
    /// When the last held report was answered, or the first report was received.
    pub(crate) answered: Moment,
    pub(crate) health: Health,
    /// The incarnation that `health` and `slowness` belong to. They outlast a restart of the agent,
    /// which reports no runner at first.
    #[serde(rename = "judged")]
    health_incarnation: Option<Incarnation>,
    /// Version of the pressure table last sent to the agent, and when.
    pub(crate) table: (u64, Moment),
    /// Estimated slowness relative to other runners, in percent.
    pub(crate) slowness: u64,
    /// Number of reports processed, the newest one included.
    #[serde(skip)]
    pub(crate) reports: u64,
}

impl Worker {
    pub(crate) fn new(report: Report, now: Moment) -> Self {
        Self {
            reported_runs: reported_runs(&report),
            health_incarnation: report.runner.as_ref().map(|runner| runner.incarnation.clone()),
            report,
            received: now,
            parked: None,
            answered: now,
            health: Health::default(),
            table: (0, Moment::START),
            slowness: 100,
            reports: 1,
        }
    }

    /// Whether a newer report was processed before. After a long silence a report of an earlier
    /// incarnation counts as new, since the agent may have restarted after its clock stepped back.
    pub(crate) fn is_outdated(&self, report: &Report, now: Moment) -> bool {
        let newest = (self.report.incarnation, self.report.seq);
        let silent = now.since(self.received) >= SILENCE_LIMIT;
        (report.incarnation, report.seq) <= newest
            && (report.incarnation == self.report.incarnation || !silent)
    }

    pub(crate) fn update(&mut self, report: Report, now: Moment) {
        if let Some(runner) = &report.runner
            && self.health_incarnation.as_ref() != Some(&runner.incarnation)
        {
            (self.health, self.slowness) = (Health::default(), 100);
            self.health_incarnation = Some(runner.incarnation.clone());
        }
        self.reported_runs = reported_runs(&report);
        self.report = report;
        self.received = now;
        self.reports += 1;
    }

    pub(crate) fn runner(&self) -> Option<&Runner> {
        self.report.runner.as_ref()
    }

    pub(crate) fn incarnation(&self) -> Option<&Incarnation> {
        self.runner().map(|runner| &runner.incarnation)
    }

    /// Whether the newest report shows that the runner is cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.runner().is_some_and(|runner| runner.cold > Span::ZERO)
    }

    /// The last incarnation that the agent has reported. A newer report may name none, as the agent
    /// has restarted or has not fenced the next one yet.
    pub(crate) fn last_incarnation(&self) -> Option<&Incarnation> {
        self.health_incarnation.as_ref()
    }

    /// Time since the agent was heard, or since the runner answered it if that is longer.
    pub(crate) fn silence(&self, now: Moment) -> Span {
        now.since(self.received).max(self.report.silent)
    }

    /// Whether an order would probably reach the runner now: the agent's report is held or expected
    /// soon, and the agent does not hold starts back.
    pub(crate) fn is_reachable(&self, now: Moment) -> bool {
        let reports = self.parked.is_some() || now.since(self.answered) < REPORT_GAP;
        reports && self.report.silent < STARTS_HELD
    }

    /// Reason for which no new task is placed on the runner, if any.
    pub(crate) fn exclusion(&self, now: Moment) -> Option<Exclusion> {
        let silent = self.silence(now) >= SILENCE_LIMIT;
        match self.runner() {
            None => Some(Exclusion::Silent),
            Some(_) if silent || self.report.gone => Some(Exclusion::Silent),
            Some(runner) if runner.draining => Some(Exclusion::Leaving),
            Some(_) => None,
        }
    }

    /// Records that a run which began at `began` is up or has succeeded.
    pub(crate) fn record_success(&mut self, began: Moment, now: Moment) {
        if self.health.record_success(began, now) {
            tracing::info!(runner = self.runner_name(), "runner trusted again");
        }
    }

    /// Records that a run which began at `began` failed or was refused, as far as is known through
    /// the runner's fault.
    pub(crate) fn record_failure(&mut self, began: Moment, now: Moment) {
        let Some(barred) = self.health.record_failure(began, now) else { return };
        tracing::info!(
            runner = self.runner_name(),
            failures = self.health.failures(),
            barred_ms = barred.as_millis(),
            heard_ms = now.since(self.received).as_millis(),
            "runner barred"
        );
    }

    fn runner_name(&self) -> Option<&str> {
        self.incarnation().map(|incarnation| incarnation.runner.as_str())
    }
}

fn reported_runs(report: &Report) -> BTreeSet<RunKey> {
    let denied = report.denied.iter().map(|(key, _)| *key);
    held_runs(report).into_iter().chain(denied).collect()
}

/// Runs that the reported incarnation may hold: those that it lists, and those that its agent is
/// starting or stopping there.
pub(crate) fn held_runs(report: &Report) -> BTreeSet<RunKey> {
    let rows = report.rows.iter().map(|row| row.key);
    let ended = report.ended.iter().map(|ended| ended.key);
    let handled = report.handling.iter().chain(&report.stopping).copied();
    rows.chain(handled).chain(ended).collect()
}

/// All runners and leases.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Fleet {
    /// Runners by agent.
    pub(crate) workers: BTreeMap<Name, Worker>,
    #[serde(skip)]
    pub(crate) leases: BTreeMap<Incarnation, Lease>,
    /// Number of changes of sets of runs so far.
    #[serde(skip)]
    changes: u64,
}

impl Fleet {
    /// Numbers a change of a set of runs. No two changes share a number, also if a lease is removed
    /// and added again.
    fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    pub(crate) fn add_run(
        &mut self,
        incarnation: &Incarnation,
        key: RunKey,
        run: Run,
        now: Moment,
    ) {
        let changed = self.next_change();
        let lease = self.lease_entry(incarnation, now);
        lease.runs.insert(key, run);
        lease.changed = changed;
    }

    pub(crate) fn remove_run(&mut self, incarnation: &Incarnation, key: RunKey) -> Option<Run> {
        let changed = self.next_change();
        let lease = self.leases.get_mut(incarnation)?;
        lease.changed = changed;
        lease.runs.remove(&key)
    }

    pub(crate) fn lease_entry(&mut self, incarnation: &Incarnation, now: Moment) -> &mut Lease {
        if !self.leases.contains_key(incarnation) {
            let changed = self.next_change();
            let (runs, expires) = (BTreeMap::new(), lease_end(now));
            let lease = Lease { runs, expires, read: now, over: false, changed };
            self.leases.insert(incarnation.clone(), lease);
        }
        self.leases.entry(incarnation.clone()).or_insert_with(|| unreachable!("inserted above"))
    }

    pub(crate) fn run(&self, incarnation: &Incarnation, key: RunKey) -> Option<&Run> {
        self.leases.get(incarnation)?.runs.get(&key)
    }

    pub(crate) fn run_mut(&mut self, incarnation: &Incarnation, key: RunKey) -> Option<&mut Run> {
        self.leases.get_mut(incarnation)?.runs.get_mut(&key)
    }

    /// Tasks that may be placed on a runner.
    pub(crate) fn trust(&self, worker: &Worker, now: Moment) -> Trust {
        let runs = worker
            .incarnation()
            .and_then(|incarnation| self.leases.get(incarnation))
            .map(|lease| &lease.runs);
        let later = |since| runs.is_some_and(|runs| runs.values().any(|run| run.since > since));
        worker.health.trust(now, later)
    }

    /// Moves the runs that a report names to the lease of its incarnation, from those of earlier ones
    /// under the same name: their starts arrived after the restart.
    pub(crate) fn adopt_runs(
        &mut self,
        incarnation: &Incarnation,
        named: &BTreeSet<RunKey>,
        now: Moment,
    ) {
        let earlier = self
            .leases
            .iter()
            .filter(|(old, _)| old.runner == incarnation.runner && *old != incarnation);
        let moved: Vec<(Incarnation, RunKey)> = earlier
            .flat_map(|(old, lease)| {
                let runs = named.iter().filter(|key| lease.runs.contains_key(key));
                runs.map(|key| (old.clone(), *key))
            })
            .collect();
        for (old, key) in moved {
            let Some(mut run) = self.remove_run(&old, key) else { continue };
            if !matches!(run.holder, Holder::Doubtful { .. }) {
                run.holder = Holder::Unknown;
            }
            tracing::info!(
                run = %key,
                runner = %incarnation.runner,
                born = incarnation.born,
                earlier = old.born,
                "start reached a later incarnation"
            );
            self.add_run(incarnation, key, run, now);
        }
    }

    /// Incarnation whose lease has a run, given the one to which it was assigned. They differ if the
    /// start reached a later incarnation under the same name.
    pub(crate) fn holder(&self, assigned: &Incarnation, key: RunKey) -> Incarnation {
        let holds = |incarnation: &Incarnation| self.run(incarnation, key).is_some();
        let mut others = self.leases.keys().filter(|other| other.runner == assigned.runner);
        let found = if holds(assigned) { None } else { others.find(|other| holds(other)) };
        found.unwrap_or(assigned).clone()
    }

    /// Agent whose newest report names this incarnation.
    pub(crate) fn agent(&self, incarnation: &Incarnation) -> Option<&Name> {
        let mut found =
            self.workers.iter().filter(|(_, worker)| worker.incarnation() == Some(incarnation));
        found.next().map(|(agent, _)| agent)
    }

    /// Agent whose newest report names an incarnation of this runner.
    pub(crate) fn agent_of(&self, runner: &Name) -> Option<&Name> {
        let named = |worker: &Worker| worker.incarnation().is_some_and(|i| i.runner == *runner);
        self.workers.iter().find(|(_, worker)| named(worker)).map(|(agent, _)| agent)
    }

    /// Whether an agent reports another incarnation under the same name, with all that it holds. An
    /// agent that reports none may not have found the next one yet.
    pub(crate) fn is_replaced(&self, incarnation: &Incarnation) -> bool {
        let complete = self.workers.values().filter(|worker| !worker.report.doubts.partial);
        let mut reported = complete.filter_map(Worker::incarnation);
        reported.any(|other| other.runner == incarnation.runner && other != incarnation)
    }

    /// Incarnations that are over or may be over, given that `agent` now reports `incarnation`: the
    /// one that it reported before, and earlier ones of the same runner.
    pub(crate) fn ended_incarnations(
        &self,
        agent: &Name,
        incarnation: Option<&Incarnation>,
    ) -> Vec<Incarnation> {
        let before = self.workers.get(agent).and_then(Worker::last_incarnation);
        let Some(incarnation) = incarnation else { return Vec::new() };
        let over = |old: &&Incarnation| {
            (Some(*old) == before && *old != incarnation)
                || (old.runner == incarnation.runner && old.born < incarnation.born)
        };
        self.leases.keys().filter(over).cloned().collect()
    }
}
