//! Order of the waiting jobs and the choice of workers for each.

use std::collections::BTreeSet;

use rand::Rng;

use super::job::State;
use super::message::{Decision, Effect, Finding, Member, Outcome, Record};
use super::{Planner, Rank};
use crate::core::{Moment, Name};
use crate::quota::Size;

/// Workers up to which all are looked at; above, candidates are sampled from the indexes.
const SCAN_LIMIT: usize = 64;
/// Candidates from a random point of the index of free cores.
const SAMPLE: usize = 16;
/// Candidates from each end of the index, the tightest fit and the emptiest.
const SAMPLE_ENDS: usize = 4;
/// Waiting jobs of a team that are tried in a pass before the team's turn ends.
const DEPTH: usize = 12;
/// Placements in one pass, so that a pass stays short: 290 starts a second need 73 in each.
const PLACED_LIMIT: usize = 150;
/// Jobs without room in one pass after which the pass ends.
const BLOCKED_LIMIT: usize = 200;
/// Each such worker keeps the reserve for urgent work free.
const RESERVE_EACH: usize = 3;
/// Cost of an idle accelerator that a job without need for it takes the cores of.
const ACCELERATOR_COST: f64 = 0.5;
/// Cost of each failure in a row on a worker.
const FAILURE_COST: f64 = 0.5;
/// Cost of a full worker against an empty one; a small one, so that room for large jobs stays.
const TIGHT_GAIN: f64 = 0.1;

/// A placement attempt: who, how large, and what it may ignore.
struct Want {
    /// Ignores the reserve for urgent work, and risk to quick tasks.
    forced: bool,
    gang: usize,
    job: Name,
    kind: usize,
    need: Size,
}

impl Planner {
    /// Tries waiting jobs: urgent ones, those that a worker is held for, then teams by share.
    pub(super) fn schedule(&mut self, now: Moment, out: &mut Vec<Effect>) {
        self.schedule_urgent(now, out);
        self.schedule_drains(now, out);
        let mut order = self.shares.order();
        let mut placed = 0;
        let mut blocked: Vec<(usize, Size, Option<Name>)> = Vec::new();
        while !order.is_empty() && placed < PLACED_LIMIT && blocked.len() < BLOCKED_LIMIT {
            let team = order.remove(0);
            let mut started = false;
            for (place, name) in self.shares.first_waiting(&team, DEPTH).into_iter().enumerate() {
                let Some(want) = self.want(&name, false) else {
                    continue;
                };
                let home = self.jobs[&name].spec.home.clone();
                let hopeless = blocked.iter().any(|(kind, size, at)| {
                    *kind == want.kind && size.fits(want.need) && *at == home
                });
                if hopeless {
                    continue;
                }
                if self.place(now, &want, out) {
                    started = true;
                    placed += 1;
                    break;
                }
                if place == 0 {
                    self.block_first(now, &name, out);
                }
                blocked.push((want.kind, want.need, home));
            }
            // A team that got a start is tried again behind the teams with smaller shares.
            if started {
                let share = self.shares.share(&team);
                let at = order.partition_point(|other| self.shares.share(other) <= share);
                order.insert(at, team);
            }
        }
    }

    /// Starts urgent jobs, and makes room where there is none.
    pub(super) fn schedule_urgent(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: Vec<Name> = self.urgent.iter().map(|(_, name)| name.clone()).collect();
        for name in names.into_iter().take(BLOCKED_LIMIT) {
            if let Some(want) = self.want(&name, true)
                && !self.place(now, &want, out)
            {
                self.make_room_urgent(now, &name, out);
            }
        }
    }

    /// What a job needs now; `None` when it may not start now whatever is free.
    fn want(&mut self, name: &Name, forced: bool) -> Option<Want> {
        let job = self.jobs.get_mut(name)?;
        if job.closing.is_some() || !matches!(job.state, State::Waiting) {
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
            job.waits = Finding::Quota;
            return None;
        }
        Some(Want { forced, gang, job: name.clone(), kind: job.kind, need })
    }

    /// What each member of a job needs.
    pub(super) fn need(&mut self, name: &Name) -> Option<(Size, usize)> {
        self.want(name, true).map(|want| (want.need, want.gang))
    }

    /// Proposes an assignment of all members, if there is room for all.
    fn place(&mut self, now: Moment, want: &Want, out: &mut Vec<Effect>) -> bool {
        let ids = self.candidates(want.need);
        let mut fit: Vec<(f64, usize)> = Vec::new();
        let mut looked = Vec::with_capacity(ids.len());
        for id in ids {
            match self.judge(id, want) {
                Ok(cost) => fit.push((cost, id)),
                Err(finding) => looked.push((id, finding)),
            }
        }
        if fit.len() < want.gang {
            let risk = looked.iter().find(|(_, finding)| matches!(finding, Finding::Risk(_)));
            let result = risk.map_or(Finding::Waits, |&(_, finding)| finding);
            self.explain_wait(&want.job, result, &looked, out);
            return false;
        }
        fit.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if want.gang > 1 {
            self.gather(&mut fit);
        }
        let chosen: Vec<usize> = fit.iter().take(want.gang).map(|&(_, id)| id).collect();
        for (index, &(cost, id)) in fit.iter().enumerate() {
            let finding =
                if index < want.gang { Finding::Chosen(cost) } else { Finding::Costlier(cost) };
            looked.push((id, finding));
        }
        self.propose_assign(now, want, &chosen, out);
        out.push(Effect::Explain(Record {
            job: want.job.clone(),
            looked: self.name_findings(&looked),
            result: Finding::Chosen(fit[0].0),
        }));
        true
    }

    fn propose_assign(&mut self, now: Moment, want: &Want, ids: &[usize], out: &mut Vec<Effect>) {
        let member =
            |&id: &usize| Member { grant: want.need, worker: self.workers[id].info.name.clone() };
        let members: Vec<_> = ids.iter().map(member).collect();
        self.dequeue(&want.job);
        let job = &self.jobs[&want.job];
        let (fence, from) = (job.fence + 1, job.checkpoint);
        let places = self.reserve(now, &want.job, fence, &members, true);
        if let Some(job) = self.jobs.get_mut(&want.job) {
            job.state = State::Proposed(places);
            job.blocked = None;
            job.making = None;
        }
        out.push(Effect::Propose(Decision::Assign { fence, from, job: want.job.clone(), members }));
    }

    /// Whether enough workers could hold a job that have not failed it.
    pub(super) fn has_others(&self, name: &Name, need: Size) -> bool {
        let job = &self.jobs[name];
        let gang = job.spec.gang.max(1) as usize;
        let others = self.workers.iter().enumerate().filter(|(id, worker)| {
            let able = worker.alive && !worker.health.quarantined();
            able && !job.failed_on.contains(id) && need.fits(worker.info.size)
        });
        others.take(gang).count() == gang
    }

    /// Puts the members of a gang close to its cheapest one, as links between racks and data
    /// centres cost.
    fn gather(&self, fit: &mut [(f64, usize)]) {
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

    /// Workers that are looked at for a task of size `need`.
    pub(super) fn candidates(&mut self, need: Size) -> Vec<usize> {
        if self.workers.len() <= SCAN_LIMIT {
            return (0..self.workers.len()).collect();
        }
        let mut ids = Vec::with_capacity(SAMPLE + 2 * SAMPLE_ENDS);
        let index = if need.accelerators > 0 { &self.accelerated } else { &self.free };
        let least = if need.accelerators > 0 { need.accelerators } else { need.cores };
        let most = index.last().map_or(0, |&(most, _)| most);
        if most < least {
            return ids;
        }
        // Workers with equal room are told apart by a random start, too.
        let start =
            (self.rng.random_range(least..=most), self.rng.random_range(0..self.workers.len()));
        ids.extend(index.range(start..).take(SAMPLE).map(|&(_, id)| id));
        ids.extend(index.range((least, 0)..).take(SAMPLE_ENDS).map(|e| e.1));
        ids.extend(index.iter().rev().take(SAMPLE_ENDS).map(|e| e.1));
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Cost of one worker for a job, or why it is refused.
    fn judge(&self, id: usize, want: &Want) -> Result<f64, Finding> {
        let worker = &self.workers[id];
        let job = &self.jobs[&want.job];
        // A job that fits only without the reserve would else wait until a worker is held for it.
        let reserve = self.settings.reserve;
        let kept = id.is_multiple_of(RESERVE_EACH) && (want.need + reserve).fits(worker.info.size);
        let margin = if kept && !want.forced { reserve } else { Size::default() };
        if let Some(finding) = worker.blocked(&want.job, want.need, margin) {
            return Err(finding);
        }
        if job.failed_on.contains(&id) && self.has_others(&want.job, want.need) {
            return Err(Finding::Failed);
        }
        match self.settings.rank {
            Rank::FirstFit => return Ok(id as f64),
            Rank::LeastLoaded => return Ok(worker.fullness()),
            Rank::Harm => {},
        }
        let whole = worker.info.size.cores.max(1) as f64;
        let extra = want.need.cores as f64 * 0.9 / whole;
        let before = worker.risk(&self.model, want.kind, 0.0);
        let after = worker.risk(&self.model, want.kind, extra);
        let strained = worker.strained.is_some();
        if self.settings.protect && !want.forced && (after > self.settings.hold || strained) {
            return Err(Finding::Risk(after));
        }
        let mut cost = after * after + (after - before) - TIGHT_GAIN * worker.fullness();
        if job.spec.home.as_ref().is_some_and(|home| *home != worker.info.centre) {
            cost += self.settings.link;
        }
        if want.need.accelerators == 0 && worker.free().accelerators > 0 {
            cost += ACCELERATOR_COST;
        }
        Ok(cost + FAILURE_COST * worker.health.streak() as f64)
    }

    fn name_findings(&self, looked: &[(usize, Finding)]) -> Vec<(Name, Finding)> {
        let named = |&(id, finding): &(usize, Finding)| {
            let name: &Name = &self.workers[id].info.name;
            (name.clone(), finding)
        };
        looked.iter().map(named).collect()
    }

    /// Records why a job waits, when the reason changes.
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
        let same = std::mem::discriminant(&job.waits) == std::mem::discriminant(&result);
        let first = !std::mem::replace(&mut job.checked, self.settled) && self.settled;
        job.waits = result;
        if first || !same {
            let looked = self.name_findings(looked);
            out.push(Effect::Explain(Record { job: name.clone(), looked, result }));
        }
        if first {
            self.refuse_impossible(name, out);
        }
    }

    /// Refuses a job that no known worker could hold even when empty of jobs.
    pub(super) fn refuse_impossible(&mut self, name: &Name, out: &mut Vec<Effect>) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        let spec = &job.spec;
        // Lost workers are kept in the table and count: they may return.
        if self.known.is_empty() || !self.settled || job.closing.is_some() {
            return false;
        }
        let corrected = self.sizes.grant(&spec.kind, spec.size, job.memory);
        let least = Size::new(
            spec.size.cores.min(corrected.cores),
            spec.size.memory.min(corrected.memory),
            spec.size.accelerators,
        );
        let gang = spec.gang.max(1) as usize;
        // The size of a worker that only the log names is not known.
        let holds =
            |worker: &&super::Worker| worker.heard.is_none() || least.fits(worker.info.size);
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
            job.closing = Some(Outcome::Refused);
        }
        out.push(Effect::Propose(Decision::Refuse { change, job: name.clone(), reason }));
        true
    }

    /// Workers held for a job that waits for room.
    pub(super) fn unhold(&mut self, name: &Name) {
        self.drains.remove(name);
        for worker in &mut self.workers {
            if worker.hold.as_ref() == Some(name) {
                worker.hold = None;
            }
        }
    }

    /// Tries the jobs that workers are held for.
    fn schedule_drains(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: BTreeSet<Name> = self.drains.keys().cloned().collect();
        for name in names {
            match self.want(&name, true) {
                Some(want) => {
                    if !self.place(now, &want, out) {
                        self.escalate(now, &name, out);
                    }
                },
                None => self.unhold(&name),
            }
        }
    }
}

/// A size in words.
fn describe(size: Size) -> String {
    let cores = size.cores as f64 / 1_000.0;
    format!("{cores} cores, {} MB and {} accelerators", size.memory, size.accelerators)
}
