//! Placement: orders the active jobs by urgency and assigns their waiting tasks to runners.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Dispatch;
use super::health::Trust;
use super::place::{Candidate, Constraints, Ranking};
use super::settings::TRIAL_SETTLE;
use crate::core::{Moment, Name, Span};
use crate::jobs::{Command, Incarnation, Job, JobEntry, Phase, Queue, RunKey, TaskKey};
use crate::overload::VALUE_FACTOR;
use crate::pressure::{AIM_PERCENT, Headroom, Serving};

/// State of a job relative to its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lateness {
    OnTime,
    Late,
    Expired,
}

impl Dispatch {
    /// Assigns waiting tasks to runners with room, job by job in order of priority.
    pub(super) fn plan(&mut self, now: Moment) {
        let setup = Arc::clone(&self.job_table.setup);
        let mut slow = self.slow_runs(now);
        if self.overload.enabled {
            self.decide_overload(now);
        }
        let order = self.job_order().into_iter().filter_map(|id| {
            let waiting = self.waiting(self.job_table.jobs.get(&id)?);
            (!waiting.is_empty() || slow.contains_key(&id)).then_some((id, waiting))
        });
        let order: Vec<_> = order.collect();
        if order.is_empty() {
            return self.clear_lookahead();
        }
        let mut candidates = self.candidates(now);
        if candidates.is_empty() {
            return;
        }
        let index = index(&candidates);
        // Jobs that ask for more than half speed get a second turn behind all others.
        let mut again = Vec::new();
        self.claim_room(now, &mut candidates, &index);
        let mut passed = Vec::new();
        for (id, waiting) in order {
            let Some(entry) = self.job_table.jobs.get(&id) else { continue };
            let position = self.job_table.queue_position(&entry.job.queue);
            let Some(queue) = position.and_then(|at| setup.queues.get(at)) else { continue };
            let job = Arc::clone(&entry.job);
            // A slow run competes for room elsewhere like a waiting task of its job.
            if let Some(runs) = slow.remove(&id) {
                self.move_slow(now, &mut candidates, &queue.service, runs);
            }
            for ((round, step), tasks) in waiting {
                let placed =
                    self.place(&mut candidates, &index, queue, &job, (round, step), &tasks);
                let first = TaskKey { job: id, round, step, index: 0 };
                passed.extend(self.passed_over(first, queue, &job, tasks.len() - placed));
            }
            if self.overload.relax(id) {
                again.push((queue, job));
            }
        }
        for (queue, job) in again {
            let Some(entry) = self.job_table.jobs.get(&job.id) else { continue };
            for (at, tasks) in self.waiting(entry) {
                self.place(&mut candidates, &index, queue, &job, at, &tasks);
            }
        }
        self.look_ahead(now, &candidates, &index, passed);
        self.views.keep_limits(candidates);
    }

    /// Active jobs in the order in which they are placed: by priority of the queue, lateness,
    /// their turn if `overload` is enabled, remaining work and age.
    pub(super) fn job_order(&self) -> Vec<u64> {
        let entries = self.active.iter().filter_map(|id| self.job_table.jobs.get(id));
        let mut order: Vec<_> = entries
            .filter_map(|entry| {
                let queue = self.job_table.queue(&entry.job.queue)?;
                let lateness = self.lateness(entry, queue);
                let work = self.work_left(entry);
                let turn = self.overload.turn(entry.job.id, entry.begun);
                Some((queue.priority, lateness, turn, work, entry.wall, entry.job.id))
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, _, _, _, id)| id).collect()
    }

    /// Whether a job can still meet its objective, or else still has value.
    pub(super) fn lateness(&self, entry: &JobEntry, queue: &Queue) -> Lateness {
        if entry.job.lasting() || entry.job.schedule.is_some() {
            return Lateness::OnTime;
        }
        let objective = self.objective(entry, queue);
        let age = self.wall.saturating_sub(entry.wall);
        let doomed = self.overload.is_doomed(entry.job.id);
        if (age <= objective && !doomed) || self.overload.is_next(entry.job.id) {
            Lateness::OnTime
        } else if age as f64 <= VALUE_FACTOR * objective as f64 {
            Lateness::Late
        } else {
            Lateness::Expired
        }
    }

    /// Time after its acceptance at which an accepted job is to be done, in ms.
    pub(super) fn objective(&self, entry: &JobEntry, queue: &Queue) -> u64 {
        self.job_objective(&entry.job, queue)
    }

    /// Time after its acceptance at which a job of a queue is to be done, in ms.
    pub(super) fn job_objective(&self, job: &Job, queue: &Queue) -> u64 {
        let chain = match self.learned_duration(queue) {
            Some(time) if self.overload.enabled => job.longest_chain(|s| time.slowest(s.count)),
            Some(time) => time.mean().percent(100 * job.depth() as u64),
            None if self.overload.enabled => job.longest_chain(|step| step.estimate),
            None => Span::ZERO,
        };
        let chain = chain.as_micros() as f64;
        (chain * queue.stretch) as u64 / 1_000 + queue.objective.as_millis()
    }

    /// Whether a job has missed its objective, or is not expected to meet it.
    pub(super) fn is_late(&self, job: u64) -> bool {
        let entry = self.job_table.jobs.get(&job);
        let queue = entry.and_then(|entry| self.job_table.queue(&entry.job.queue));
        entry.zip(queue).is_some_and(|(e, queue)| self.lateness(e, queue) != Lateness::OnTime)
    }

    /// Millicores requested by all tasks that are not done.
    fn work_left(&self, entry: &JobEntry) -> u64 {
        let rounds = entry.rounds.values();
        let open = rounds.flat_map(|round| round.open.iter().zip(&entry.job.steps));
        open.map(|(open, step)| u64::from(*open) * step.need.millicores).sum()
    }

    /// Next runs of the tasks of a job that are ready to start, by round and step.
    pub(super) fn waiting(&self, entry: &JobEntry) -> BTreeMap<(u32, u16), Vec<RunKey>> {
        let mut waiting: BTreeMap<(u32, u16), Vec<RunKey>> = BTreeMap::new();
        if entry.phase != Phase::Active {
            return waiting;
        }
        for (&round, state) in &entry.rounds {
            for (step, tasks) in state.steps.iter().enumerate() {
                if state.open[step] == 0 || !state.ready(&entry.job, step) {
                    continue;
                }
                let step = step as u16;
                for (index, task) in tasks.iter().enumerate() {
                    if task.done || !task.live.is_empty() {
                        continue;
                    }
                    let key = TaskKey { job: entry.job.id, round, step, index: index as u16 };
                    if !self.is_assigning(key) && !self.is_stray(key) {
                        let key = RunKey { task: key, run: task.runs + 1 };
                        waiting.entry((round, step)).or_default().push(key);
                    }
                }
            }
        }
        waiting
    }

    /// Whether a run of a task is proposed.
    pub(super) fn is_assigning(&self, task: TaskKey) -> bool {
        let range = RunKey { task, run: 0 }..=RunKey { task, run: u32::MAX };
        self.assigning.range(range).next().is_some()
    }

    /// Assigns as many waiting tasks of a step as there is room for, and returns their number.
    fn place(
        &mut self,
        candidates: &mut Vec<Candidate>,
        index: &BTreeMap<Incarnation, usize>,
        queue: &Queue,
        job: &Job,
        (round, step): (u32, u16),
        tasks: &[RunKey],
    ) -> usize {
        let chosen = self.choose(candidates, index, queue, job, (round, step), tasks);
        let placed = chosen.len();
        if placed == 0 {
            return 0;
        }
        if placed == tasks.len() {
            self.lookahead.started(TaskKey { job: job.id, round, step, index: 0 });
        }
        self.waits.started(job.id);
        if job.steps[usize::from(step)].gang {
            self.assign_gang(chosen);
            return placed;
        }
        for (key, incarnation) in chosen {
            self.assigning.insert(key, incarnation.clone());
            self.propose(Command::Assign { key, incarnation }, None);
        }
        placed
    }

    /// Chooses runners for as many waiting tasks of a step as there is room for, and allocates the
    /// tasks there; a gang gets room for all of them or for none.
    pub(super) fn choose(
        &self,
        candidates: &mut Vec<Candidate>,
        index: &BTreeMap<Incarnation, usize>,
        queue: &Queue,
        job: &Job,
        (round, step): (u32, u16),
        tasks: &[RunKey],
    ) -> Vec<(RunKey, Incarnation)> {
        let declared = &job.steps[usize::from(step)];
        let whole = declared.count as usize;
        if declared.gang && tasks.len() < whole {
            return Vec::new();
        }
        let siblings = if declared.spread > 0 {
            self.siblings(index, job.id, round, step)
        } else {
            vec![0; candidates.len()]
        };
        let before = declared.gang.then(|| candidates.clone());
        // One task of a job is tried at a time.
        let trial = declared.fills && self.waits.trial_due(job.id);
        let tasks = if trial && !declared.gang { &tasks[..tasks.len().min(1)] } else { tasks };
        let (service, table) = (&queue.service, &self.learner.table);
        let work = self.work(job.id, queue, declared);
        let (wanted, score) = self.larger_wanted(service, declared);
        let constraints = Constraints {
            step: declared,
            service,
            table,
            trial,
            least: self.overload.least_speed(job.id),
            work: work.as_ref(),
            wanted: &wanted,
            score,
        };
        let mut ranking = Ranking::new(candidates, constraints, siblings);
        let mut chosen: Vec<(RunKey, Incarnation)> = Vec::new();
        for key in tasks.iter().copied() {
            let avoided = self.avoided.get(&key.task);
            let only = self.late_starts.pinned(key.task);
            let Some(at) = ranking.best(candidates, avoided, only) else {
                if only.is_some() {
                    continue;
                }
                break;
            };
            ranking.allocate(candidates, at);
            chosen.push((key, candidates[at].incarnation.clone()));
        }
        if declared.gang && chosen.len() < whole {
            if let Some(before) = before {
                *candidates = before;
            }
            return Vec::new();
        }
        if declared.gang {
            for (_, incarnation) in &chosen {
                index.get(incarnation).iter().for_each(|at| candidates[**at].begin_trial());
            }
        }
        chosen
    }

    /// Number of assigned or proposed tasks of a step on each candidate, given the positions of the
    /// candidates.
    pub(super) fn siblings(
        &self,
        index: &BTreeMap<Incarnation, usize>,
        job: u64,
        round: u32,
        step: u16,
    ) -> Vec<u32> {
        let mut siblings = vec![0; index.len()];
        let mut count = |incarnation: &Incarnation| {
            if let Some(&at) = index.get(incarnation) {
                siblings[at] += 1;
            }
        };
        let state = self.job_table.jobs.get(&job).and_then(|entry| entry.rounds.get(&round));
        let tasks = state.and_then(|state| state.steps.get(usize::from(step)));
        for (index, task) in tasks.into_iter().flatten().enumerate() {
            let task_key = TaskKey { job, round, step, index: index as u16 };
            for live in &task.live {
                let key = RunKey { task: task_key, run: live.run };
                count(&self.fleet.holder(&live.incarnation, key));
            }
        }
        let first = TaskKey { job, round, step, index: 0 };
        let last = TaskKey { index: u16::MAX, ..first };
        let range = RunKey { task: first, run: 0 }..=RunKey { task: last, run: u32::MAX };
        self.assigning.range(range).for_each(|(_, incarnation)| count(incarnation));
        siblings
    }

    /// Runners that accept new tasks, with the room left on each.
    pub(super) fn candidates(&mut self, now: Moment) -> Vec<Candidate> {
        let workers = self.fleet.workers.iter();
        let open = workers.filter(|(_, worker)| self.exclusion(worker, now).is_none());
        let open: Vec<Name> = open.map(|(agent, _)| agent.clone()).collect();
        self.candidates_on(now, &open)
    }

    /// Runners of the given agents, with the room left beside proposed assignments and
    /// reservations.
    pub(super) fn candidates_on(&mut self, now: Moment, agents: &[Name]) -> Vec<Candidate> {
        self.refresh_views();
        let seen = agents.iter().filter_map(|agent| {
            let mut candidate = self.views.get(agent)?.clone();
            let worker = self.fleet.workers.get(agent)?;
            candidate.trust = self.fleet.trust(worker, now);
            candidate.reachable = worker.is_reachable(now);
            self.limit_starts(now, worker, &mut candidate);
            Some(candidate)
        });
        let mut candidates: Vec<Candidate> = seen.collect();
        let index = index(&candidates);
        let moving = self.moving.iter().map(|(key, (incarnation, _))| (key, incarnation));
        for (key, incarnation) in self.assigning.iter().chain(moving) {
            let Some(&at) = index.get(incarnation) else { continue };
            if let Some(step) = self.step_of(*key) {
                candidates[at].allocate(&self.learner.table, step);
                candidates[at].begin_trial();
            }
        }
        candidates
    }

    /// The runner of an agent, with the room that its assigned runs leave, fully trusted and reachable.
    pub(super) fn candidate(&self, agent: &Name) -> Option<Candidate> {
        let worker = self.fleet.workers.get(agent)?;
        let runner = worker.runner()?;
        let mut candidate = Candidate {
            agent: agent.clone(),
            incarnation: runner.incarnation.clone(),
            service: runner.service.clone(),
            labels: runner.labels.clone(),
            capacity: runner.capacity,
            free: runner.capacity,
            filling: 0,
            reserved: 0,
            serving: 0,
            headroom: Headroom::default(),
            limits: BTreeMap::new(),
            allocated: false,
            settling: false,
            slowness: worker.slowness,
            trust: Trust::Full,
            reachable: true,
            warm: true,
            starts: None,
            claims: Vec::new(),
        };
        let lease = self.fleet.leases.get(&runner.incarnation);
        for row in &worker.report.rows {
            // A closed run takes room until it has been stopped.
            if lease.is_none_or(|lease| !lease.runs.contains_key(&row.key))
                && let Some(step) = self.step_of(row.key)
            {
                candidate.free.remove(&step.counted());
            }
        }
        let cores = runner.capacity.millicores.max(1) as f64;
        let (mut serving, mut used, mut asked) = (Vec::new(), Vec::new(), Vec::new());
        for (key, run) in
            self.fleet.leases.get(&runner.incarnation).iter().flat_map(|lease| &lease.runs)
        {
            candidate.free.remove(&run.need);
            if run.fills {
                candidate.filling += run.cores;
                let settled = run.listed && run.seen.since(run.since) >= TRIAL_SETTLE;
                candidate.settling |= !settled;
                used.push((Arc::clone(&run.image), f64::from(run.figure) / cores));
                asked.push((Arc::clone(&run.image), run.cores as f64 / cores));
            }
            if run.lasting {
                candidate.reserved += run.need.millicores;
            }
            if run.target > 0 {
                candidate.serving += 1;
                let (image, figure) = (Arc::clone(&run.image), u64::from(run.figure));
                serving.push(Serving { key: *key, image, figure, target: run.target });
            }
        }
        let table = &self.learner.table;
        candidate.headroom = Headroom::new(table, AIM_PERCENT, serving.iter(), &used);
        for (image, asked) in asked {
            candidate.headroom.spend(table, &image, asked);
        }
        Some(candidate)
    }
}

/// Positions of the candidates.
pub(super) fn index(candidates: &[Candidate]) -> BTreeMap<Incarnation, usize> {
    candidates.iter().enumerate().map(|(at, c)| (c.incarnation.clone(), at)).collect()
}
