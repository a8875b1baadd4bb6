//! Which incarnation of a runner may hold a run, and until when: updated from reports, recorded in the
//! log once it is certain, and the decision that a run is gone.
//!
//! A runner's name doesn't distinguish its incarnations, and a new one carries out calls meant for an
//! earlier one until its agent has fenced it. What is not known about a run therefore counts as the
//! longest lease that a runner accepts. A start whose answer is known to be missing counts for
//! [`CALL_LIMIT`] before that.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::Dispatch;
use super::fleet::{Holder, Run, held_runs, hold_end, lease_end};
use super::message::Report;
use super::settings::{ANSWER_OVERDUE, CALL_LIMIT, FENCED_AGE, SETTLED_AFTER, SHORT_SETTLED_AFTER};
use crate::core::{Moment, Name, Span};
use crate::jobs::{Command, End, Incarnation, JobTable, RunKey, TaskKey};

/// Closed runs that their runners may still carry out or have started again, from a copy of a start.
#[derive(Debug, Default, Serialize)]
pub(super) struct LateStarts {
    /// Agent beside whose runner the next run of a task has to start, and until when: a copy of the
    /// start of a closed run may be carried out by that runner's next incarnation, with which the next
    /// run ends.
    #[serde(skip)]
    pins: BTreeMap<TaskKey, (Name, Moment)>,
    /// Tasks of doubtful jobs whose runs were closed before this instance led, and until when a copy of
    /// a start of one may be carried out. Only the last leader knew by which runner.
    #[serde(skip)]
    closed: BTreeMap<TaskKey, Moment>,
    /// Tasks of which a closed run is reported as running, by the reporting agent, with the runner's
    /// incarnation.
    #[serde(skip)]
    strays: BTreeMap<Name, (Incarnation, BTreeSet<TaskKey>)>,
}

impl LateStarts {
    /// Notes that a run of a task is closed of whose start the agent has reported a doubt.
    pub(super) fn pin(&mut self, task: TaskKey, agent: &Name, holder: Holder) {
        if let Holder::Doubtful { until, reported: true } = holder {
            self.pins.insert(task, (agent.clone(), until));
        }
    }

    /// Notes the tasks whose last run has ended, of jobs that are doubtful when this instance begins to
    /// lead.
    pub(super) fn begin_term(&mut self, now: Moment, table: &JobTable) {
        // Lasting tasks don't wait, as each second without them is felt.
        let entries = table.doubtful.iter().filter_map(|job| table.jobs.get(job));
        for entry in entries.filter(|entry| !entry.job.lasting()) {
            let until = now + CALL_LIMIT;
            self.closed.extend(entry.closed_tasks().map(|task| (task, until)));
        }
    }

    pub(super) fn expire(&mut self, now: Moment) {
        self.pins.retain(|_, (_, until)| *until >= now);
        self.closed.retain(|_, until| *until >= now);
    }

    /// Agent beside whose runner the next run of a task has to start, if it matters.
    pub(super) fn pinned(&self, task: TaskKey) -> Option<&Name> {
        self.pins.get(&task).map(|(agent, _)| agent)
    }
}

/// Why a run counts as gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    /// The runner's port refuses connections, which shows that its process has ended.
    Gone,
    /// Each lease that may keep it has expired.
    Lease,
    /// Its runner's next incarnation doesn't hold it.
    Replaced,
}

impl Holder {
    /// The same after a proposal to record it has failed.
    pub(super) fn not_proposed(self) -> Self {
        match self {
            Self::Settled { recorded, .. } => Self::Settled { proposed: false, recorded },
            other => other,
        }
    }

    pub(super) fn is_settled(self) -> bool {
        matches!(self, Self::Settled { .. })
    }

    /// Whether it is to be recorded in the log.
    fn unrecorded(self) -> bool {
        self == Self::Settled { proposed: false, recorded: false }
    }
}

impl Dispatch {
    /// Latest end of a lease that an incarnation took from a call meant for an earlier one, before it
    /// was fenced, which was `fenced` ago. Such calls hold times on the clock of the earlier one, so
    /// the lease is as long as the runner accepts.
    pub(super) fn stray_lease_end(
        &self,
        now: Moment,
        incarnation: &Incarnation,
        fenced: Option<Span>,
    ) -> Moment {
        let fenced = fenced.unwrap_or_else(|| {
            let age = self.wall.saturating_sub(incarnation.born);
            Span::millis(age.saturating_sub(FENCED_AGE.as_millis()))
        });
        hold_end(now, self.hold_limit) - fenced
    }

    /// Notes the starts of which the agent can't rule out that a copy is carried out, also while it has
    /// not fenced its runner and reports none.
    pub(super) fn note_doubts(&mut self, now: Moment, report: &Report) {
        for (key, left) in &report.doubts.starts {
            let holder = Holder::Doubtful { until: now + *left, reported: true };
            if self.job_table.live(*key).is_none() {
                if self.step_of(*key).is_some_and(|step| !step.copies) {
                    self.late_starts.pin(key.task, &report.agent, holder);
                }
                continue;
            }
            // It may belong to the lease of an earlier incarnation.
            let mut runs = self.fleet.leases.values_mut().filter_map(|l| l.runs.get_mut(key));
            // A settled run is not started again. A restarted agent doesn't know that it was settled.
            let Some(run) = runs.find(|run| !run.holder.is_settled()) else { continue };
            run.holder = holder;
            // An answer that isn't overdue will probably come.
            let overdue = *left + ANSWER_OVERDUE <= CALL_LIMIT;
            let job = key.task.job;
            if overdue
                && self.active.contains(&job)
                && !self.job_table.doubtful.contains(&job)
                && self.doubting.insert(job)
            {
                self.propose(Command::Doubt { job, open: true }, None);
            }
        }
    }

    /// Updates what is known of the holders of an incarnation's runs from a report on it.
    pub(super) fn update_holders(
        &mut self,
        now: Moment,
        incarnation: &Incarnation,
        report: &Report,
    ) {
        let doubts: BTreeSet<RunKey> = report.doubts.starts.iter().map(|(key, _)| *key).collect();
        let held = held_runs(report);
        let shown = report.rows.iter().map(|row| row.key);
        let shown = shown.chain(report.ended.iter().map(|ended| ended.key));
        let before = self.fleet.workers.get(&report.agent);
        let restarted = before.is_some_and(|b| b.report.incarnation != report.incarnation);
        let Some(lease) = self.fleet.leases.get_mut(incarnation) else { return };
        for key in shown.filter(|key| !doubts.contains(key)) {
            if let Some(run) = lease.runs.get_mut(&key)
                && !run.holder.is_settled()
            {
                run.holder = Holder::Settled { proposed: false, recorded: false };
            }
        }
        if restarted {
            // The agent's last process may have sent their starts and got no answer.
            let open = |(key, run): &(&RunKey, &mut Run)| {
                !held.contains(key) && run.holder == Holder::Unknown && !run.never_ordered()
            };
            for (_, run) in lease.runs.iter_mut().filter(open) {
                run.holder = Holder::Doubtful { until: now + CALL_LIMIT, reported: false };
            }
        }
    }

    /// Notes the closed runs that a report shows as running. They are being stopped, and their tasks
    /// don't start elsewhere before.
    pub(super) fn note_strays(&mut self, incarnation: &Incarnation, report: &Report) {
        let closed = |key: &RunKey| {
            let entry = self.job_table.jobs.get(&key.task.job);
            let task = entry.and_then(|entry| entry.task(key.task));
            let step = entry.and_then(|e| e.job.steps.get(usize::from(key.task.step)));
            task.is_some_and(|task| !task.done)
                && step.is_some_and(|step| !step.copies)
                && (self.job_table.live(*key).is_none() || self.closing.contains(key))
        };
        let rows = report.rows.iter().map(|row| row.key);
        let strays: BTreeSet<TaskKey> = rows.filter(closed).map(|key| key.task).collect();
        if strays.is_empty() {
            self.late_starts.strays.remove(&report.agent);
        } else {
            let found = (incarnation.clone(), strays);
            self.late_starts.strays.insert(report.agent.clone(), found);
        }
    }

    /// Whether a closed run of a task may still be running, or be started again.
    pub(super) fn is_stray(&self, task: TaskKey) -> bool {
        let mut strays = self.late_starts.strays.values();
        self.late_starts.closed.contains_key(&task)
            || strays.any(|(incarnation, tasks)| {
                tasks.contains(&task) && self.fleet.leases.contains_key(incarnation)
            })
    }

    /// Proposes to record the holders of runs that are certain. Every later leader then knows how long
    /// they may go on, without a report.
    pub(super) fn propose_holders(&mut self, now: Moment) {
        let mut settled = Vec::new();
        for (incarnation, lease) in &mut self.fleet.leases {
            // A longer lease would not be known from the log.
            if lease.over || lease.expires > lease_end(lease.read) {
                continue;
            }
            for (key, run) in &mut lease.runs {
                let after = if run.lasting { SETTLED_AFTER } else { SHORT_SETTLED_AFTER };
                let due = run.listed && now.since(run.shown) >= after;
                if due && run.holder.unrecorded() && !self.closing.contains(key) {
                    run.holder = Holder::Settled { proposed: true, recorded: false };
                    settled.push(Command::Assign { key: *key, incarnation: incarnation.clone() });
                }
            }
        }
        for command in settled {
            self.propose(command, None);
        }
        if !self.job_table.doubtful.is_empty() {
            self.propose_certainty(now);
        }
    }

    /// Proposes to record that no start of a job can be carried out late any more.
    fn propose_certainty(&mut self, now: Moment) {
        let leases = self.fleet.leases.values();
        let open = |run: &Run| matches!(run.holder, Holder::Doubtful { until, .. } if until >= now);
        let runs = leases.flat_map(|lease| &lease.runs).filter(|(_, run)| open(run));
        let mut doubted: BTreeSet<u64> = runs.map(|(key, _)| key.task.job).collect();
        doubted.extend(self.late_starts.pins.keys().map(|task| task.job));
        doubted.extend(self.late_starts.closed.keys().map(|task| task.job));
        for job in self.job_table.doubtful.difference(&doubted).copied().collect::<Vec<_>>() {
            if self.doubting.insert(job) {
                self.propose(Command::Doubt { job, open: false }, None);
            }
        }
    }

    /// Notes that the log has recorded the holder of a run.
    pub(super) fn record_holder(&mut self, key: RunKey, incarnation: &Incarnation) {
        if let Some(run) = self.fleet.run_mut(incarnation, key)
            && run.holder.is_settled()
        {
            run.holder = Holder::Settled { proposed: false, recorded: true };
        }
    }

    /// Proposes the end of all runs of a runner's incarnation that is over, and removes the
    /// incarnation once it has none left.
    pub(super) fn close_runs(&mut self, now: Moment, incarnation: &Incarnation, cause: Cause) {
        let Some(lease) = self.fleet.leases.get(incarnation) else { return };
        if lease.runs.is_empty() {
            self.fleet.leases.remove(incarnation);
            return;
        }
        let runs = lease.runs.keys().copied().collect();
        self.close_lost(now, incarnation, runs, cause);
    }

    /// Proposes the end of the runs of an incarnation whose process has ended, but for those that the
    /// next one may start.
    pub(super) fn close_gone(&mut self, now: Moment, incarnation: &Incarnation) {
        let Some(lease) = self.fleet.leases.get(incarnation) else { return };
        let doubtful =
            |run: &Run| matches!(run.holder, Holder::Doubtful { until, .. } if until >= now);
        let runs = lease.runs.iter().filter(|(_, run)| !doubtful(run));
        let runs = runs.map(|(key, _)| *key).collect();
        self.close_lost(now, incarnation, runs, Cause::Gone);
    }

    /// Proposes the end of these runs of an incarnation.
    fn close_lost(
        &mut self,
        now: Moment,
        incarnation: &Incarnation,
        mut runs: Vec<RunKey>,
        cause: Cause,
    ) {
        runs.retain(|key| !self.closing.contains(key));
        let Some(lease) = self.fleet.leases.get(incarnation) else { return };
        if runs.is_empty() {
            return;
        }
        let (runner, born) = (incarnation.runner.as_str(), incarnation.born);
        let read_ms = now.since(lease.read).as_millis();
        tracing::info!(runner, born, runs = runs.len(), ?cause, read_ms, "runner lost");
        let mut closed = Vec::new();
        for key in runs {
            let Some(run) = lease.runs.get(&key) else { continue };
            tracing::info!(
                run = %key,
                runner,
                born,
                ?cause,
                read_ms,
                listed = run.listed,
                holder = ?run.holder,
                may_run_ms = lease.run_end(run, self.hold_limit).since(now).as_millis(),
                "run taken for gone"
            );
            closed.push((key, run.saved.clone()));
        }
        for (key, saved) in closed {
            self.propose_close(incarnation, key, End::Lost, saved);
        }
    }

    /// Proposes the end of runs that no lease can keep any more.
    pub(super) fn expire_leases(&mut self, now: Moment) {
        let mut over = Vec::new();
        let mut expired = Vec::new();
        for (incarnation, lease) in &self.fleet.leases {
            if lease.over {
                // The log may have refused the proposal that closed its runs.
                over.push((incarnation.clone(), Cause::Replaced));
                continue;
            }
            if lease.expires >= now {
                continue;
            }
            if lease.runs.is_empty() {
                over.push((incarnation.clone(), Cause::Lease));
                continue;
            }
            let replaced = self.fleet.is_replaced(incarnation);
            let gone = |run: &Run| replaced || lease.run_end(run, self.hold_limit) < now;
            let runs = lease.runs.iter().filter(|(_, run)| gone(run));
            let runs: Vec<RunKey> = runs.map(|(key, _)| *key).collect();
            let cause = if replaced { Cause::Replaced } else { Cause::Lease };
            expired.push((incarnation.clone(), runs, cause));
        }
        for (incarnation, cause) in over {
            self.close_runs(now, &incarnation, cause);
        }
        for (incarnation, runs, cause) in expired {
            self.close_lost(now, &incarnation, runs, cause);
        }
    }
}
