//! The scheduling pass: the order in which waiting jobs are tried, and the choice of workers.

use std::collections::BTreeSet;

use rand::Rng;

use super::job::State;
use super::message::{Decision, Effect, Finding, Member, Outcome, Record};
use super::{Planner, Rank};
use crate::core::{Moment, Name};
use crate::quota::Size;

/// Number of workers up to which all are candidates. Above it, candidates are sampled from the
/// indexes of free cores and accelerators.
const SCAN_LIMIT: usize = 64;
/// Candidates taken from the index at a random position.
const SAMPLE_SIZE: usize = 16;
/// Candidates taken from each end of the index: the tightest fits and the emptiest workers.
const SAMPLE_ENDS: usize = 4;
/// Waiting jobs of a team that are tried before its turn in a pass ends.
const JOBS_PER_TURN: usize = 12;
/// Most placements in one pass, so that a pass stays short. At a pass every 250 ms, 290 starts per
/// second need 73 placements in each.
const PLACED_LIMIT: usize = 150;
/// Number of jobs without room after which a pass ends.
const BLOCKED_LIMIT: usize = 200;
/// One in this many workers keeps the reserve for urgent work free.
const RESERVE_EVERY: usize = 3;
/// Cost of placing a job that needs no accelerator on a worker with free accelerators.
const ACCELERATOR_COST: f64 = 0.5;
/// Cost of each consecutive failure on a worker.
const FAILURE_COST: f64 = 0.5;
/// Cost advantage of a full worker over an empty one. A small preference for full workers keeps
/// room for large jobs.
const PACKING_GAIN: f64 = 0.1;

/// A job to be placed now.
struct Request {
    /// Ignore the reserve for urgent work and the risk to quick tasks.
    forced: bool,
    /// Number of members.
    gang: usize,
    job: Name,
    /// Index of the job's kind in the interference model.
    kind: usize,
    /// Size of each member.
    need: Size,
}

impl Planner {
    /// Tries to place waiting jobs: urgent jobs, then jobs that workers are held for, then the jobs
    /// of each team, smallest weighted share first.
    pub(super) fn schedule(&mut self, now: Moment, out: &mut Vec<Effect>) {
        self.schedule_urgent(now, out);
        self.schedule_drains(now, out);
        let mut order = self.shares.order();
        let mut placed = 0;
        let mut blocked: Vec<(usize, Size, Option<Name>)> = Vec::new();
        while !order.is_empty() && placed < PLACED_LIMIT && blocked.len() < BLOCKED_LIMIT {
            let team = order.remove(0);
            let mut started = false;
            for (place, name) in
                self.shares.first_waiting(&team, JOBS_PER_TURN).into_iter().enumerate()
            {
                let Some(request) = self.request(&name, false) else {
                    continue;
                };
                let home = self.jobs[&name].spec.home.clone();
                let no_room = blocked.iter().any(|(kind, size, other)| {
                    *kind == request.kind && size.fits(request.need) && *other == home
                });
                if no_room {
                    continue;
                }
                if self.place(now, &request, out) {
                    started = true;
                    placed += 1;
                    break;
                }
                if place == 0 {
                    self.hold_for_blocked(now, &name, out);
                }
                blocked.push((request.kind, request.need, home));
            }
            // A team whose job was placed is tried again after the teams with smaller shares.
            if started {
                let share = self.shares.share(&team);
                let at = order.partition_point(|other| self.shares.share(other) <= share);
                order.insert(at, team);
            }
        }
    }

    /// Places urgent jobs, and evicts other jobs if there is no room.
    pub(super) fn schedule_urgent(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: Vec<Name> = self.urgent.iter().map(|(_, name)| name.clone()).collect();
        for name in names.into_iter().take(BLOCKED_LIMIT) {
            if let Some(request) = self.request(&name, true)
                && !self.place(now, &request, out)
            {
                self.make_room_urgent(now, &name, out);
            }
        }
    }

    /// The placement request of a waiting job; `None` if it may not start now, e.g. over quota.
    fn request(&mut self, name: &Name, forced: bool) -> Option<Request> {
        let job = self.jobs.get_mut(name)?;
        if job.proposed_outcome.is_some() || !matches!(job.state, State::Waiting) {
            return None;
        }
        let spec = &job.spec;
        let mut need = spec.size;
        if self.settings.correct {
            need = self.sizes.grant(&spec.kind, spec.size, job.memory);
        } else {
            need.memory = need.memory.max(job.memory);
        }
        let gang = spec.gang.max(1) as usize;
        if !self.shares.admits(&spec.team, need.times(gang as u64)) {
            job.wait_reason = Finding::Quota;
            return None;
        }
        Some(Request { forced, gang, job: name.clone(), kind: job.kind, need })
    }

    /// Size of each member of a waiting job, and the number of members.
    pub(super) fn need(&mut self, name: &Name) -> Option<(Size, usize)> {
        self.request(name, true).map(|request| (request.need, request.gang))
    }

    /// Proposes an assignment if there is room for all members.
    fn place(&mut self, now: Moment, request: &Request, out: &mut Vec<Effect>) -> bool {
        let ids = self.candidates(request.need);
        let mut fit: Vec<(f64, usize)> = Vec::new();
        let mut looked = Vec::with_capacity(ids.len());
        for id in ids {
            match self.score(id, request) {
                Ok(cost) => fit.push((cost, id)),
                Err(finding) => looked.push((id, finding)),
            }
        }
        if fit.len() < request.gang {
            let risk = looked.iter().find(|(_, finding)| matches!(finding, Finding::Risk(_)));
            let result = risk.map_or(Finding::Waits, |&(_, finding)| finding);
            self.explain_wait(&request.job, result, &looked, out);
            return false;
        }
        fit.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if request.gang > 1 {
            self.add_link_costs(&mut fit);
        }
        let chosen: Vec<usize> = fit.iter().take(request.gang).map(|&(_, id)| id).collect();
        for (index, &(cost, id)) in fit.iter().enumerate() {
            let finding =
                if index < request.gang { Finding::Chosen(cost) } else { Finding::Costlier(cost) };
            looked.push((id, finding));
        }
        self.propose_assign(now, request, &chosen, out);
        out.push(Effect::Explain(Record {
            job: request.job.clone(),
            looked: self.name_findings(&looked),
            result: Finding::Chosen(fit[0].0),
        }));
        true
    }

    fn propose_assign(
        &mut self,
        now: Moment,
        request: &Request,
        ids: &[usize],
        out: &mut Vec<Effect>,
    ) {
        let member = |&id: &usize| Member {
            grant: request.need,
            worker: self.workers[id].info.name.clone(),
        };
        let members: Vec<_> = ids.iter().map(member).collect();
        self.dequeue(&request.job);
        let job = &self.jobs[&request.job];
        let (fence, from) = (job.fence + 1, job.checkpoint);
        let places = self.reserve(now, &request.job, fence, &members, true);
        if let Some(job) = self.jobs.get_mut(&request.job) {
            job.state = State::Proposed(places);
            job.blocked_since = None;
            job.evictions_began = None;
        }
        out.push(Effect::Propose(Decision::Assign {
            fence,
            from,
            job: request.job.clone(),
            members,
        }));
    }

    /// Whether enough workers are large enough for a job that it has not failed on.
    pub(super) fn has_alternatives(&self, name: &Name, need: Size) -> bool {
        let job = &self.jobs[name];
        let gang = job.spec.gang.max(1) as usize;
        let others = self.workers.iter().enumerate().filter(|(id, worker)| {
            let able = worker.alive && !worker.health.quarantined();
            able && !job.failed_on.contains(id) && need.fits(worker.info.size)
        });
        others.take(gang).count() == gang
    }

    /// Adds the cost of links between racks and data centres to the candidates of a gang, relative
    /// to the cheapest candidate, so that its members are placed close together.
    fn add_link_costs(&self, fit: &mut [(f64, usize)]) {
        let first = &self.workers[fit[0].1].info;
        for (cost, id) in fit.iter_mut() {
            let info = &self.workers[*id].info;
            if info.centre != first.centre {
                *cost += self.settings.link;
            } else if info.rack != first.rack {
                *cost += self.settings.link / 4.0;
            }
        }
        fit.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    }

    /// Workers that are considered for a task of size `need`.
    pub(super) fn candidates(&mut self, need: Size) -> Vec<usize> {
        if self.workers.len() <= SCAN_LIMIT {
            return (0..self.workers.len()).collect();
        }
        let mut ids = Vec::with_capacity(SAMPLE_SIZE + 2 * SAMPLE_ENDS);
        let index = if need.accelerators > 0 { &self.free_accelerators } else { &self.free_cores };
        let least = if need.accelerators > 0 { need.accelerators } else { need.cores };
        let most = index.last().map_or(0, |&(most, _)| most);
        if most < least {
            return ids;
        }
        // The random worker index varies the choice among workers with equal room as well.
        let start =
            (self.rng.random_range(least..=most), self.rng.random_range(0..self.workers.len()));
        ids.extend(index.range(start..).take(SAMPLE_SIZE).map(|&(_, id)| id));
        ids.extend(index.range((least, 0)..).take(SAMPLE_ENDS).map(|e| e.1));
        ids.extend(index.iter().rev().take(SAMPLE_ENDS).map(|e| e.1));
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Cost of placing a job on a worker, or why it can't be placed there.
    fn score(&self, id: usize, request: &Request) -> Result<f64, Finding> {
        let worker = &self.workers[id];
        let job = &self.jobs[&request.job];
        // The reserve doesn't apply to a job that only fits without it, as the job would otherwise
        // wait until a worker is held for it.
        let reserve = self.settings.reserve;
        let has_reserve =
            id.is_multiple_of(RESERVE_EVERY) && (request.need + reserve).fits(worker.info.size);
        let margin = if has_reserve && !request.forced { reserve } else { Size::default() };
        if let Some(finding) = worker.rejection(&request.job, request.need, margin) {
            return Err(finding);
        }
        if job.failed_on.contains(&id) && self.has_alternatives(&request.job, request.need) {
            return Err(Finding::Failed);
        }
        match self.settings.rank {
            Rank::FirstFit => return Ok(id as f64),
            Rank::LeastLoaded => return Ok(worker.fullness()),
            Rank::Harm => {},
        }
        let capacity = worker.info.size.cores.max(1) as f64;
        let extra = request.need.cores as f64 * 0.9 / capacity;
        let before = worker.risk(&self.model, request.kind, 0.0);
        let after = worker.risk(&self.model, request.kind, extra);
        let strained = worker.strained.is_some();
        if self.settings.protect && !request.forced && (after > self.settings.hold || strained) {
            return Err(Finding::Risk(after));
        }
        let mut cost = after * after + (after - before) - PACKING_GAIN * worker.fullness();
        if job.spec.home.as_ref().is_some_and(|home| *home != worker.info.centre) {
            cost += self.settings.link;
        }
        if request.need.accelerators == 0 && worker.free().accelerators > 0 {
            cost += ACCELERATOR_COST;
        }
        Ok(cost + FAILURE_COST * worker.health.failure_streak() as f64)
    }

    fn name_findings(&self, looked: &[(usize, Finding)]) -> Vec<(Name, Finding)> {
        let named = |&(id, finding): &(usize, Finding)| {
            let name: &Name = &self.workers[id].info.name;
            (name.clone(), finding)
        };
        looked.iter().map(named).collect()
    }

    /// Records why a job waits if the reason has changed, and refuses the job if it can never run.
    fn explain_wait(
        &mut self,
        name: &Name,
        result: Finding,
        looked: &[(usize, Finding)],
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let same = std::mem::discriminant(&job.wait_reason) == std::mem::discriminant(&result);
        let first = !std::mem::replace(&mut job.checked, self.workers_known) && self.workers_known;
        job.wait_reason = result;
        if first || !same {
            let looked = self.name_findings(looked);
            out.push(Effect::Explain(Record { job: name.clone(), looked, result }));
        }
        if first {
            self.refuse_impossible(name, out);
        }
    }

    /// Refuses a job that doesn't fit even if no other job runs; returns whether it was refused.
    pub(super) fn refuse_impossible(&mut self, name: &Name, out: &mut Vec<Effect>) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        let spec = &job.spec;
        // Lost workers are kept in the table and count here, as they may return.
        if self.worker_ids.is_empty() || !self.workers_known || job.proposed_outcome.is_some() {
            return false;
        }
        let corrected = self.sizes.grant(&spec.kind, spec.size, job.memory);
        let least = Size::new(
            spec.size.cores.min(corrected.cores),
            spec.size.memory.min(corrected.memory),
            spec.size.accelerators,
        );
        let gang = spec.gang.max(1) as usize;
        // A worker that is only known from the log has an unknown size.
        let holds =
            |worker: &&super::Worker| worker.first_heard.is_none() || least.fits(worker.info.size);
        let able = self.workers.iter().filter(holds).take(gang).count();
        let total = least.times(gang as u64);
        let (reason, change) = if able == 0 {
            let most = self.workers.iter().fold(Size::default(), |most, w| most.max(w.info.size));
            (
                format!("no worker can hold {}", describe(least)),
                format!("ask for at most {} on one worker", describe(most)),
            )
        } else if able < gang {
            (
                format!("a gang of {gang} needs as many workers, {able} are large enough"),
                format!("ask for at most {able} members, or for smaller ones"),
            )
        } else if self.shares.exceeded_limit(&spec.team, total).is_some() {
            (
                format!("{} exceed the whole quota of team {}", describe(total), spec.team),
                format!("raise the quota to {} at least", describe(total)),
            )
        } else {
            return false;
        };
        if let Some(job) = self.jobs.get_mut(name) {
            job.proposed_outcome = Some(Outcome::Refused);
        }
        out.push(Effect::Propose(Decision::Refuse { change, job: name.clone(), reason }));
        true
    }

    /// Releases the workers held for a job.
    pub(super) fn release_holds(&mut self, name: &Name) {
        self.drains.remove(name);
        for worker in &mut self.workers {
            if worker.held_for.as_ref() == Some(name) {
                worker.held_for = None;
            }
        }
    }

    /// Tries to place the jobs that workers are held for.
    fn schedule_drains(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: BTreeSet<Name> = self.drains.keys().cloned().collect();
        for name in names {
            match self.request(&name, true) {
                Some(request) => {
                    if !self.place(now, &request, out) {
                        self.escalate(now, &name, out);
                    }
                },
                None => self.release_holds(&name),
            }
        }
    }
}

/// Formats a size for the reason of a refusal.
fn describe(size: Size) -> String {
    let cores = size.cores as f64 / 1_000.0;
    format!("{cores} cores, {} MB and {} accelerators", size.memory, size.accelerators)
}
