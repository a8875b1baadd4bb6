//! Processing of agents' reports, and the orders sent back.

use super::fleet::{Holder, Parked, Worker, held_runs, lease_end};
use super::holders::Cause;
use super::message::{Denial, Effect, Orders, Report, RunProfile, Start};
use super::place::Exclusion;
use super::settings::{LEASE_DURATION, PARK_LIMIT, TABLE_EVERY};
use super::{Dispatch, Run, log};
use crate::core::{Moment, Name, Span};
use crate::jobs::{Checkpoint, Command, End, Incarnation, Phase, RunKey};
use crate::pressure::{Sample, Serving, Table};

impl Dispatch {
    pub(super) fn report(&mut self, now: Moment, ticket: u64, report: Report) {
        if !self.leading {
            return self.out.push(Effect::Orders { ticket, orders: None });
        }
        let agent = report.agent.clone();
        if self.fleet.workers.get(&agent).is_some_and(|worker| worker.is_outdated(&report, now)) {
            return self.out.push(Effect::Orders { ticket, orders: Some(Box::default()) });
        }
        self.note_doubts(now, &report);
        let incarnation = report.runner.as_ref().map(|runner| runner.incarnation.clone());
        if let Some(incarnation) = &incarnation {
            self.fleet.adopt_runs(incarnation, &held_runs(&report), now);
        }
        for over in self.fleet.ended_incarnations(&agent, incarnation.as_ref()) {
            // An incarnation that was born later may only have been silent, so its lease must
            // expire first. A report that may lack ends doesn't show which runs never arrived.
            let earlier = incarnation.as_ref().is_some_and(|found| over.born <= found.born);
            if earlier && !report.doubts.partial {
                self.fleet.lease_entry(&over, now).over = true;
                self.close_runs(now, &over, Cause::Replaced);
            }
        }
        if let Some(incarnation) = &incarnation {
            // The lease counts from the last reading of the runner's clock, and a silent runner
            // gives no newer one.
            let read = now - report.silent;
            let known = self.fleet.workers.get(&agent).and_then(Worker::last_incarnation).cloned();
            let mut expires = lease_end(read);
            if known.as_ref() != Some(incarnation) {
                // Its agent has fenced it, so no call to an earlier incarnation takes effect any more.
                let fenced = report.doubts.fenced;
                expires = expires.max(self.stray_lease_end(now, incarnation, fenced));
            }
            let lease = self.fleet.lease_entry(incarnation, now);
            lease.expires = lease.expires.max(expires);
            lease.read = lease.read.max(read);
            lease.over = false;
            self.update_holders(now, incarnation, &report);
            self.note_strays(incarnation, &report);
            self.record_progress(now, read, incarnation, &report);
            self.collect_begun(&report);
            let cold = report.runner.as_ref().map_or(Span::ZERO, |runner| runner.cold);
            self.note_cold(now, incarnation, cold);
            self.record_sample(now, &report);
            self.record_ends(now, incarnation, &report);
            if report.gone {
                self.close_gone(now, incarnation);
            }
        }
        let worker = self.fleet.workers.entry(agent.clone());
        match worker {
            std::collections::btree_map::Entry::Occupied(mut occupied) => {
                let worker = occupied.get_mut();
                if let Some(parked) = worker.parked.take() {
                    // The new report replaces the held one, so the latter gets an empty answer.
                    let orders = Some(Box::default());
                    self.out.push(Effect::Orders { ticket: parked.ticket, orders });
                }
                if worker.report.incarnation != report.incarnation {
                    worker.table = (0, Moment::START);
                }
                self.dirty |=
                    worker.incarnation() != incarnation.as_ref() || worker.exclusion(now).is_some();
                worker.update(report, now);
            },
            std::collections::btree_map::Entry::Vacant(vacant) => {
                let runner = report.runner.as_ref();
                tracing::info!(
                    agent = %agent,
                    runner = runner.map(|runner| runner.incarnation.runner.as_str()),
                    millicores = runner.map(|runner| runner.capacity.millicores),
                    memory_mb = runner.map(|runner| runner.capacity.memory),
                    "agent found"
                );
                vacant.insert(Worker::new(report, now));
                self.dirty = true;
            },
        }
        if let Some(worker) = self.fleet.workers.get_mut(&agent) {
            worker.parked = Some(Parked { ticket, since: now });
        }
        self.answer_parked(&agent, now);
    }

    /// Records progress and checkpoints of runs, from the runner's listing read at `read`.
    fn record_progress(
        &mut self,
        now: Moment,
        read: Moment,
        incarnation: &Incarnation,
        report: &Report,
    ) {
        let mut confirmed = Vec::new();
        for row in &report.rows {
            let Some(run) = self.fleet.run_mut(incarnation, row.key) else { continue };
            if !run.listed {
                confirmed.push(row.key);
            }
            let before = run.at_work();
            run.update(row, read);
            if run.at_work() && !before {
                let began = run.since;
                // Once it is up, earlier failures no longer say anything about its next run.
                self.avoided.remove(&row.key.task);
                if let Some(worker) = self.fleet.workers.get_mut(&report.agent) {
                    worker.record_success(began, now);
                }
            }
        }
        for ended in &report.ended {
            // Its end is listed before any listing has shown it.
            let run = self.fleet.run(incarnation, ended.key);
            if run.is_some_and(|run| !run.listed) && !self.closing.contains(&ended.key) {
                confirmed.push(ended.key);
            }
        }
        if !confirmed.is_empty() {
            log::confirmed(incarnation, &confirmed, self.index);
        }
    }

    /// Collects the jobs that a report shows to have begun. If the log refuses to record them, they
    /// are collected from the next report. The recorded end of a run is enough, so only ends of runs
    /// that were closed without it count here.
    fn collect_begun(&mut self, report: &Report) {
        let ended = report.ended.iter().map(|ended| ended.key);
        let ended = ended.filter(|key| self.job_table.live(*key).is_none());
        let shown: Vec<RunKey> = report.rows.iter().map(|row| row.key).chain(ended).collect();
        for key in shown {
            let entry = self.job_table.jobs.get(&key.task.job);
            let unrecorded = entry.filter(|entry| !entry.begun && entry.phase == Phase::Active);
            let task = unrecorded.and_then(|entry| entry.task(key.task));
            if task.is_some_and(|task| key.run <= task.runs)
                && !self.beginning.contains(&key.task.job)
            {
                self.begun.insert(key.task.job);
            }
        }
    }

    /// Proposes to record the starts that were collected.
    pub(super) fn propose_begun(&mut self) {
        for job in std::mem::take(&mut self.begun) {
            self.beginning.insert(job);
            self.propose(Command::Begin { job }, None);
        }
    }

    /// Passes the figures of tasks that share a runner to the interference model.
    fn record_sample(&mut self, now: Moment, report: &Report) {
        let Some(runner) = &report.runner else { return };
        let cores = runner.capacity.millicores.max(1) as f64;
        let mut sample = Sample::default();
        for row in &report.rows {
            let Some(profile) = self.profile(row.key) else { continue };
            let Some(image) = profile.image else { continue };
            if profile.fills {
                *sample.filling.entry(image).or_default() += f64::from(row.figure) / cores;
            } else if profile.target > 0 {
                let (figure, target) = (u64::from(row.figure), profile.target);
                sample.serving.push(Serving { key: row.key, image, figure, target });
            }
        }
        if !sample.serving.is_empty() {
            self.learner.observe(now, &report.agent, sample);
        }
    }

    /// Proposes the reported ends and refusals to the log.
    fn record_ends(&mut self, now: Moment, incarnation: &Incarnation, report: &Report) {
        for ended in &report.ended {
            self.propose_close(incarnation, ended.key, ended.end, ended.saved.clone());
        }
        for (key, denial) in &report.denied {
            let began = self.fleet.run(incarnation, *key).map(|run| run.since);
            if let Some(began) = began.filter(|_| !self.closing.contains(key)) {
                tracing::info!(run = %key, runner = %incarnation.runner, ?denial, "start denied");
                if matches!(denial, Denial::Room | Denial::Silent | Denial::Unhealthy) {
                    self.count_failure(now, *key, &report.agent, began);
                }
            }
            self.propose_close(incarnation, *key, End::Refused, None);
        }
    }

    pub(super) fn propose_close(
        &mut self,
        incarnation: &Incarnation,
        key: RunKey,
        end: End,
        saved: Option<Checkpoint>,
    ) {
        if self.fleet.run(incarnation, key).is_some() && self.closing.insert(key) {
            self.propose(Command::Close { key, end, saved }, None);
        }
    }

    /// Proposes the end of runs for which no order has left, on silent runners and in evacuated data
    /// centres: they never start, so their tasks need not wait for the end of a lease.
    pub(super) fn give_back(&mut self, now: Moment) {
        type Cause = (Exclusion, Option<Span>);
        let mut unordered: Vec<(Incarnation, Cause, Vec<RunKey>)> = Vec::new();
        for (incarnation, lease) in &self.fleet.leases {
            let open = |key: &RunKey, run: &Run| run.never_ordered() && !self.closing.contains(key);
            let runs = lease.runs.iter().filter(|(key, run)| open(key, run));
            let runs: Vec<RunKey> = runs.map(|(key, _)| *key).collect();
            if runs.is_empty() {
                continue;
            }
            let agent = self.fleet.agent(incarnation);
            let worker = agent.and_then(|agent| self.fleet.workers.get(agent));
            let exclusion = worker.map_or(Some(Exclusion::Silent), |w| self.exclusion(w, now));
            if let Some(reason @ (Exclusion::Evacuated | Exclusion::Silent)) = exclusion {
                let silent = worker.map(|worker| worker.silence(now));
                unordered.push((incarnation.clone(), (reason, silent), runs));
            }
        }
        for (incarnation, (reason, silent), runs) in unordered {
            tracing::info!(
                runner = %incarnation.runner,
                born = incarnation.born,
                runs = runs.len(),
                ?reason,
                silent_ms = silent.map(Span::as_millis),
                "assignments given back"
            );
            for key in runs {
                self.propose_close(&incarnation, key, End::Refused, None);
            }
        }
    }

    /// Answers reports that have been held for [`PARK_LIMIT`].
    pub(super) fn expire_reports(&mut self, now: Moment) {
        let mut due = Vec::new();
        for worker in self.fleet.workers.values_mut() {
            if let Some(parked) = worker.parked.take_if(|p| now.since(p.since) >= PARK_LIMIT) {
                worker.answered = now;
                due.push((parked.ticket, worker.report.agent.clone()));
            }
        }
        for (ticket, agent) in due {
            let orders = self.orders(&agent, now);
            self.out.push(Effect::Orders { ticket, orders: Some(Box::new(orders)) });
        }
    }

    /// Answers the agent's held report if there is something to send.
    pub(super) fn answer_parked(&mut self, agent: &Name, now: Moment) {
        let Some(worker) = self.fleet.workers.get(agent) else { return };
        let Some(parked) = worker.parked else { return };
        let last = worker.report.ended.iter().map(|ended| ended.number).max();
        let orders = self.orders(agent, now);
        let noted = last.is_some() && Some(orders.noted) == last;
        if orders.starts.is_empty()
            && orders.stops.is_empty()
            && orders.table.is_none()
            && !noted
            && now.since(parked.since) < PARK_LIMIT
        {
            return;
        }
        if let Some(worker) = self.fleet.workers.get_mut(agent) {
            (worker.parked, worker.answered) = (None, now);
        }
        let orders = Some(Box::new(orders));
        self.out.push(Effect::Orders { ticket: parked.ticket, orders });
    }

    /// Orders for an agent, given its newest report.
    ///
    /// They only depend on the difference between the replicated state and the report, so the next
    /// answer makes up for a lost one.
    fn orders(&mut self, agent: &Name, now: Moment) -> Orders {
        let table = self.table_for(agent, now);
        let Some(worker) = self.fleet.workers.get(agent) else { return Orders::default() };
        let Some(runner) = worker.runner() else { return Orders::default() };
        let until = Some(runner.clock.saturating_add(LEASE_DURATION.as_millis()));
        let mut orders = Orders { until, table, ..Orders::default() };
        let evacuated = self.job_table.evacuations.covers(&runner.centre);
        let lease = self.fleet.leases.get(&runner.incarnation);
        let live = |key: &RunKey| lease.is_some_and(|lease| lease.runs.contains_key(key));
        orders.late = Some(self.late_runs(&runner.incarnation));
        let mut ended: Vec<_> = worker.report.ended.iter().map(|e| (e.number, e.key)).collect();
        ended.sort_unstable();
        for (number, key) in ended {
            if live(&key) {
                break;
            }
            orders.noted = number;
        }
        let report = &worker.report;
        for key in report.rows.iter().map(|row| &row.key).chain(&report.handling) {
            let stopping = report.stopping.contains(key);
            if !stopping && (!live(key) || !self.should_run(*key, &runner.incarnation, evacuated)) {
                orders.stops.push(*key);
            }
        }
        for key in lease.iter().flat_map(|lease| lease.runs.keys()) {
            if report.amnesia {
                orders.profiles.extend(self.profile(*key).map(|profile| (*key, profile)));
            }
            if worker.reported_runs.contains(key) || self.closing.contains(key) {
                continue;
            }
            let run = self.fleet.run(&runner.incarnation, *key);
            let begun = run.is_some_and(|run| run.listed || run.holder.is_settled());
            if begun && report.doubts.partial {
                // Its end may be among those that the report lacks.
                continue;
            }
            if !begun && self.is_stray(key.task) {
                continue;
            }
            // A run that has begun is not started again: the call could reach the next incarnation.
            if !begun && self.should_run(*key, &runner.incarnation, evacuated) {
                orders.starts.extend(self.start(*key));
            } else {
                orders.stops.push(*key);
            }
        }
        let sent: Vec<RunKey> = orders.starts.iter().map(|start| start.key).collect();
        let incarnation = runner.incarnation.clone();
        self.record_ordered(now, &incarnation, sent);
        orders
    }

    /// Marks runs as ordered, and logs those that had not been.
    fn record_ordered(&mut self, now: Moment, incarnation: &Incarnation, mut runs: Vec<RunKey>) {
        runs.retain(|key| {
            let Some(run) = self.fleet.run_mut(incarnation, *key) else { return false };
            // The guess after an election says nothing of a new order.
            if matches!(run.holder, Holder::Doubtful { reported: false, .. }) {
                run.holder = Holder::Unknown;
            }
            let first = !std::mem::replace(&mut run.ordered, true);
            if first {
                run.sent = now;
            }
            first
        });
        if !runs.is_empty() {
            log::ordered(incarnation, &runs, self.index);
        }
    }

    fn late_runs(&self, incarnation: &Incarnation) -> Vec<RunKey> {
        let runs = self.fleet.leases.get(incarnation).into_iter().flat_map(|lease| &lease.runs);
        let filling = runs.filter(|(_, run)| run.fills).map(|(key, _)| *key);
        filling.filter(|key| self.is_late(key.task.job)).collect()
    }

    /// The pressure table if the agent lacks the newest version, at most once per [`TABLE_EVERY`].
    fn table_for(&mut self, agent: &Name, now: Moment) -> Option<Box<Table>> {
        let worker = self.fleet.workers.get_mut(agent)?;
        let (version, sent) = worker.table;
        let due = sent == Moment::START || now.since(sent) >= TABLE_EVERY;
        if version == self.learner.version || !due {
            return None;
        }
        worker.table = (self.learner.version, now);
        Some(Box::new(Table::clone(&self.learner.table)))
    }

    /// Whether a live run should keep running. In an evacuated data centre only runs do that their
    /// runner has listed; the others may not have begun.
    fn should_run(&self, key: RunKey, incarnation: &Incarnation, evacuated: bool) -> bool {
        let Some(entry) = self.job_table.jobs.get(&key.task.job) else { return false };
        let done = entry.task(key.task).is_none_or(|task| task.done);
        let run = self.fleet.run(incarnation, key);
        let stop = run.is_some_and(|run| run.stop || (evacuated && !run.listed));
        entry.phase == Phase::Active && !done && !stop
    }

    fn profile(&self, key: RunKey) -> Option<RunProfile> {
        let entry = self.job_table.jobs.get(&key.task.job)?;
        let step = entry.job.steps.get(usize::from(key.task.step))?;
        let (image, cores) = (step.image.clone(), step.need.millicores);
        Some(RunProfile { image, cores, target: step.target, fills: step.fills })
    }

    fn start(&self, key: RunKey) -> Option<Start> {
        let entry = self.job_table.jobs.get(&key.task.job)?;
        let saved = entry.task(key.task)?.saved.clone();
        let (spec, profile) = (entry.job.spec.clone(), self.profile(key)?);
        Some(Start { key, spec, saved, profile })
    }
}
