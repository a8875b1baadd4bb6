//! The life cycle of jobs: submission, workers' reports, evictions and the end of executions.

use super::commits::REPLAY_WAIT;
use super::job::{Eviction, Job, Place, State};
use super::message::{
    Checkpoint, Decision, Effect, Event, Fault, Finding, Member, Outcome, Record, Report, Spec,
    Target,
};
use super::sizes::scale;
use super::{Planner, Task};
use crate::core::{Moment, Name, Span, invariant};
use crate::eviction::Cause;
use crate::quota::Size;

/// Number of failures after which a job fails for good.
const FAIL_LIMIT: usize = 3;
/// Number of guard stops after which a job fails for good. The granted memory grows by half each
/// time, 17 times in all.
const GUARD_LIMIT: u32 = 7;
/// Factor on the granted memory after a guard stop.
const GUARD_GROWTH: f64 = 1.5;
/// Time for which an eviction waits for a new checkpoint.
const CHECKPOINT_WAIT: Span = Span::secs(5);
/// Same as `CHECKPOINT_WAIT` for an eviction for an urgent job, which starts within 4.1 s in total.
const URGENT_CHECKPOINT_WAIT: Span = Span::millis(750);
/// Time after which an unanswered start or stop is sent again.
pub(super) const RESEND_AFTER: Span = Span::secs(2);

impl Planner {
    /// Queues a job, or refuses it at once if it can never run.
    pub(super) fn submit(&mut self, now: Moment, spec: Spec, out: &mut Vec<Effect>) {
        let name = spec.name.clone();
        if self.jobs.contains_key(&name) || self.outcomes.contains_key(&name) {
            return;
        }
        self.counts.submitted += 1;
        let kind = self.model.kind(&spec.kind);
        let job = Job::new(spec, kind, now);
        let urgent = job.spec.urgent;
        self.jobs.insert(name.clone(), job);
        self.enqueue(&name);
        // During a replay, decisions come from the log only.
        if self.leading && !self.refuse_impossible(&name, out) && urgent {
            self.schedule_urgent(now, out);
        }
    }

    /// Queues a job that has no execution.
    pub(super) fn enqueue(&mut self, name: &Name) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.state = State::Waiting;
        job.blocked_since = None;
        job.evictions_began = None;
        if job.spec.urgent {
            self.urgent.insert((job.submitted, name.clone()));
        } else {
            let (team, entry) = (job.spec.team.clone(), job.queue_entry());
            self.shares.enqueue(&team, entry);
        }
    }

    /// Removes a job from the queue, and releases the workers held for it.
    pub(super) fn dequeue(&mut self, name: &Name) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        if job.spec.urgent {
            self.urgent.remove(&(job.submitted, name.clone()));
        } else {
            self.shares.dequeue(&job.spec.team, &job.queue_entry());
        }
        if job.evictions_began.is_some() || self.drains.contains_key(name) {
            self.release_holds(name);
        }
    }

    pub(super) fn cancel(&mut self, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if job.over || job.proposed_outcome == Some(Outcome::Cancelled) {
            return;
        }
        job.proposed_outcome = Some(Outcome::Cancelled);
        out.push(Effect::Propose(Decision::Finish {
            fence: job.fence,
            job: name.clone(),
            outcome: Outcome::Cancelled,
        }));
    }

    /// Reserves the resources of an assignment, which is proposed here or taken from the log.
    pub(super) fn reserve(
        &mut self,
        now: Moment,
        name: &Name,
        fence: u64,
        members: &[Member],
        proposal: bool,
    ) -> Vec<Place> {
        let mut places = Vec::with_capacity(members.len());
        for member in members {
            let id = self.worker_id(&member.worker);
            let worker = &self.workers[id];
            invariant!(
                worker.tasks.iter().all(|task| task.job != *name),
                "{name} already has an execution on {}",
                member.worker
            );
            if proposal {
                invariant!(
                    member.grant.fits(worker.free())
                        && member.grant.fits(worker.info.size - worker.reserved()),
                    "{name} needs {:?} on {}, free are {:?}",
                    member.grant,
                    member.worker,
                    worker.free()
                );
            } else if !worker.alive && worker.lease_end.is_none() {
                // The worker has not joined since the replay, so its lease counts from now.
                self.workers[id].lease_end = Some(now + self.settings.lease.percent(105));
                self.silent.insert(id);
            }
            let job = &self.jobs[name];
            let expected = scale(member.grant.cores, 0.9);
            self.workers[id].tasks.push(Task {
                confirmed: false,
                fence,
                grant: member.grant,
                job: name.clone(),
                kind: job.kind,
                learned: 0,
                peak: Size::default(),
                replayed: !proposal,
                rise: (0, now),
                sent: None,
                share: 100,
                share_changed: now,
                used: expected,
            });
            let team = job.spec.team.clone();
            self.shares.charge(&team, member.grant);
            self.refresh_worker(now, id);
            places.push(Place { ended: false, finished: false, grant: member.grant, id });
        }
        places
    }

    /// Marks a member as ended and releases its resources.
    fn end_place(&mut self, now: Moment, name: &Name, id: usize, finished: bool) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let Some(place) = job.places_mut().iter_mut().find(|p| p.id == id && !p.ended) else {
            return;
        };
        place.ended = true;
        place.finished = finished;
        let (grant, team) = (place.grant, job.spec.team.clone());
        if finished {
            self.learn_size(name, id);
        }
        self.workers[id].tasks.retain(|task| task.job != *name);
        self.shares.release(&team, grant);
        self.refresh_worker(now, id);
    }

    /// Learns from the peak usage of a task that has finished or whose memory has stopped growing.
    ///
    /// A later peak of the same execution is learned as well if it exceeds the learned one by
    /// `RISE_PERCENT`.
    pub(super) fn learn_size(&mut self, name: &Name, id: usize) {
        let (Some(job), Some(task)) = (self.jobs.get(name), self.workers[id].task(name.as_str()))
        else {
            return;
        };
        if task.peak.memory * 100 > task.learned * super::worker::RISE_PERCENT {
            task.learned = task.peak.memory;
            let spec = &job.spec;
            self.sizes.observe(&spec.kind, spec.size, task.grant, task.peak);
        }
    }

    /// Marks all members of the current execution as ended.
    pub(super) fn end_all(&mut self, now: Moment, name: &Name) {
        let ids: Vec<usize> = match self.jobs.get(name) {
            Some(job) => job.places().iter().map(|p| p.id).collect(),
            None => return,
        };
        for id in ids {
            self.end_place(now, name, id, false);
        }
    }

    pub(super) fn target(&self, name: &Name, fence: u64, id: usize) -> Target {
        Target { fence, job: name.clone(), worker: self.workers[id].info.name.clone() }
    }

    /// Handles a worker's report, and refuses it if it isn't about the current execution.
    pub(super) fn report(&mut self, now: Moment, report: &Report, out: &mut Vec<Effect>) {
        let target = &report.target;
        let name = &target.job;
        let id = self.worker_ids.get(&target.worker).copied();
        let current = self.jobs.get(name).is_some_and(|job| {
            let agreed = !matches!(job.state, State::Proposed(_));
            let present = job.places().iter().any(|p| Some(p.id) == id && !p.ended);
            target.fence == job.fence && agreed && present
        });
        let (Some(id), true) = (id, current) else {
            self.refuse_report(report, out);
            return;
        };
        if let Some(task) = self.workers[id].task(name.as_str()) {
            task.confirmed = true;
        }
        match report.event {
            Event::Started => self.propose_begin(name, out),
            Event::Progress { checkpoint, done } => {
                self.propose_begin(name, out);
                self.progress(name, checkpoint, done, out);
            },
            Event::Stopped(checkpoint) => {
                self.end_place(now, name, id, false);
                if let Some(job) = self.jobs.get_mut(name) {
                    job.advance_checkpoint(checkpoint);
                }
                self.after_member_end(now, name, out);
            },
            Event::Finished => {
                self.workers[id].health.record_success();
                self.end_place(now, name, id, true);
                self.after_member_end(now, name, out);
            },
            Event::Failed(fault) => {
                self.end_place(now, name, id, false);
                self.failed(now, name, id, fault, out);
                self.after_member_end(now, name, out);
            },
        }
        // Urgent jobs use the freed resources at once instead of at the next tick.
        let ended = !matches!(report.event, Event::Started | Event::Progress { .. });
        if ended && self.leading && !self.urgent.is_empty() {
            self.schedule_urgent(now, out);
        }
    }

    /// Proposes to record the start of an execution once the workers of all members have confirmed
    /// it.
    fn propose_begin(&mut self, name: &Name, out: &mut Vec<Effect>) {
        let begins = |job: &Job| {
            let confirmed = |place: &Place| {
                let mut tasks = self.workers[place.id].tasks.iter();
                place.finished || tasks.any(|task| task.job == *name && task.confirmed)
            };
            !job.begun && job.is_running() && job.places().iter().all(confirmed)
        };
        if !self.leading || !self.jobs.get(name).is_some_and(begins) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(name) {
            job.begun = true;
            out.push(Effect::Propose(Decision::Begin { fence: job.fence, job: name.clone() }));
        }
    }

    /// Counts a stale report, and stops the execution if it is still running.
    fn refuse_report(&mut self, report: &Report, out: &mut Vec<Effect>) {
        let job = self.jobs.get(&report.target.job);
        let newest = job.map_or(u64::MAX, |job| job.fence);
        if report.target.fence < newest || job.is_some_and(|job| job.over) {
            self.counts.stale += 1;
        }
        if matches!(report.event, Event::Started | Event::Progress { .. }) {
            out.push(Effect::Stop(report.target.clone()));
            out.push(Effect::Explain(Record {
                job: report.target.job.clone(),
                looked: vec![(report.target.worker.clone(), Finding::Stale)],
                result: Finding::Stale,
            }));
        }
    }

    /// Records progress, and proposes a pending eviction once its new checkpoint is synced.
    fn progress(&mut self, name: &Name, newest: Checkpoint, done: u64, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.done = done;
        job.advance_checkpoint(newest);
        let number = job.checkpoint.number;
        let waiting = self.evicting.get(name);
        if waiting.is_some_and(|e| !e.proposed && number > e.checkpoint) {
            self.propose_evict(name, out);
        }
    }

    /// Counts a failure of the job, and of the worker if that may be at fault.
    fn failed(&mut self, now: Moment, name: &Name, id: usize, fault: Fault, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if job.over {
            return;
        }
        match fault {
            Fault::Memory => {
                self.counts.guarded += 1;
                job.guard_stops += 1;
                let grant = job.places().iter().find(|p| p.id == id).map(|p| p.grant);
                if let Some(grant) = grant {
                    job.memory = scale(grant.memory, GUARD_GROWTH);
                    let spec = &job.spec;
                    self.sizes.raise_floor(&spec.kind, spec.size, job.memory);
                }
            },
            Fault::Error => {
                job.repeat_failures += usize::from(!job.failed_on.insert(id));
                // After failures elsewhere the job itself is the likely cause.
                if job.failures() < FAIL_LIMIT {
                    self.count_failure(now, id, name, out);
                }
            },
        }
    }

    /// After a member has ended, ends the rest of its gang, proposes the outcome or queues the job
    /// again.
    fn after_member_end(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let unended = job.places().iter().any(|p| !p.ended);
        if job.over {
            if !unended {
                self.remove_job(name);
            }
            return;
        }
        let finished = job.places().iter().all(|p| p.finished);
        let stopped = job.places().iter().any(|p| p.ended && !p.finished);
        if unended {
            if stopped && !matches!(job.state, State::Terminating(_)) {
                self.begin_evict(now, name, Cause::Gang, out);
            }
            return;
        }
        let fence = job.fence;
        let exhausted = job.failures() >= FAIL_LIMIT || job.guard_stops >= GUARD_LIMIT;
        let outcome = if finished && !job.spec.standing {
            Some(Outcome::Done)
        } else if exhausted && !job.spec.standing {
            Some(Outcome::Failed)
        } else {
            None
        };
        self.evicting.remove(name);
        self.terminating.remove(name);
        self.unconfirmed.remove(name);
        if let Some(outcome) = outcome {
            if let Some(job) = self.jobs.get_mut(name)
                && job.proposed_outcome.is_none()
            {
                job.proposed_outcome = Some(outcome.clone());
            }
            out.push(Effect::Propose(Decision::Finish { fence, job: name.clone(), outcome }));
        } else {
            // Standing watches and failed jobs start again, on another worker if possible.
            if let Some(job) = self.jobs.get_mut(name)
                && job.spec.standing
                && job.failures() >= FAIL_LIMIT
            {
                job.failed_on.clear();
                job.repeat_failures = 0;
            }
            self.enqueue(name);
        }
    }

    /// Begins the eviction of a running execution, and returns whether it has begun.
    ///
    /// Requests a checkpoint first, unless the worker is lost or another gang member has ended.
    pub(super) fn begin_evict(
        &mut self,
        now: Moment,
        name: &Name,
        cause: Cause,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        if !job.is_running() || job.proposed_outcome.is_some() || self.evicting.contains_key(name) {
            return false;
        }
        let wait = match cause {
            Cause::Gang | Cause::Lost => Span::ZERO,
            Cause::Urgent => URGENT_CHECKPOINT_WAIT,
            Cause::Aged | Cause::Quick => CHECKPOINT_WAIT,
        };
        let eviction = Eviction {
            cause,
            checkpoint: job.checkpoint.number,
            proposed: false,
            deadline: now + wait,
        };
        let (fence, unended) = (job.fence, job.places().iter().filter(|p| !p.ended));
        let targets: Vec<_> = unended.map(|p| self.target(name, fence, p.id)).collect();
        self.evicting.insert(name.clone(), eviction);
        if wait == Span::ZERO {
            self.propose_evict(name, out);
        } else {
            out.extend(targets.into_iter().map(Effect::Checkpoint));
        }
        true
    }

    /// Proposes an eviction that was begun; the job later resumes from its newest known checkpoint.
    fn propose_evict(&mut self, name: &Name, out: &mut Vec<Effect>) {
        let (Some(job), Some(eviction)) = (self.jobs.get(name), self.evicting.get_mut(name)) else {
            return;
        };
        eviction.proposed = true;
        out.push(Effect::Propose(Decision::Evict {
            cause: eviction.cause,
            fence: job.fence,
            from: job.checkpoint,
            job: name.clone(),
        }));
    }

    /// Proposes the evictions whose wait for a checkpoint is over.
    pub(super) fn review_evictions(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let due = |e: &Eviction| !e.proposed && e.deadline <= now;
        let evicting = self.evicting.iter().filter(|(_, e)| due(e));
        let names: Vec<Name> = evicting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.propose_evict(&name, out);
        }
    }

    /// Evicts the executions on silent workers.
    ///
    /// Workers need some time to find a new leader. Until `REPLAY_WAIT` has passed, executions on
    /// workers that have not joined yet are not evicted.
    pub(super) fn review_silent(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let known = self.led_since + REPLAY_WAIT <= now;
        let silent = self.silent.iter().map(|&id| &self.workers[id]);
        let tasks = silent.filter(|w| known || w.first_heard.is_some()).flat_map(|w| &w.tasks);
        let names: Vec<Name> = tasks.map(|task| task.job.clone()).collect();
        for name in names {
            self.begin_evict(Moment::default(), &name, Cause::Lost, out);
        }
    }

    /// Applies a committed eviction: stops the execution.
    pub(super) fn evicted(
        &mut self,
        now: Moment,
        name: &Name,
        fence: u64,
        cause: Cause,
        from: Checkpoint,
        out: &mut Vec<Effect>,
    ) {
        self.evicting.remove(name);
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if job.over || fence != job.fence || !job.is_running() {
            return;
        }
        job.advance_checkpoint(from);
        let State::Running(places) = std::mem::replace(&mut job.state, State::Waiting) else {
            return;
        };
        job.state = State::Terminating(places);
        self.ledger.evict(name, fence, cause);
        match cause {
            Cause::Aged | Cause::Quick | Cause::Urgent => self.counts.evicted += 1,
            Cause::Lost => self.counts.lost += 1,
            Cause::Gang => {},
        }
        self.terminating.insert(name.clone());
        self.send_stops(now, name, out);
        self.expire_leases(now, name, out);
    }

    /// Sends a stop for each member that has not ended, unless its worker is silent or has not
    /// joined.
    pub(super) fn send_stops(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let fence = job.fence;
        let unended: Vec<usize> = job.places().iter().filter(|p| !p.ended).map(|p| p.id).collect();
        for id in unended {
            let target = self.target(name, fence, id);
            let worker = &mut self.workers[id];
            if !worker.alive {
                continue;
            }
            if let Some(task) = worker.task(name.as_str()) {
                task.sent = Some(now);
            }
            out.push(Effect::Stop(target));
        }
    }

    /// Marks members as ended whose worker is silent and whose lease has certainly expired.
    fn expire_leases(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(name) else {
            self.terminating.remove(name);
            return;
        };
        let unended = job.places().iter().filter(|p| !p.ended).map(|p| p.id);
        let gone: Vec<usize> = unended
            .filter(|&id| self.workers[id].lease_end.is_some_and(|end| end <= now))
            .collect();
        for id in gone {
            self.end_place(now, name, id, false);
        }
        let ended = self.jobs[name].places().iter().all(|p| p.ended);
        if ended {
            self.terminating.remove(name);
            self.after_member_end(now, name, out);
        }
    }

    /// Expires leases, resends unanswered stops, and proposes lost outcomes again.
    pub(super) fn review_terminating(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: Vec<Name> = self.terminating.iter().cloned().collect();
        for name in names {
            self.expire_leases(now, &name, out);
            let resend = self.jobs.get(&name).is_some_and(|job| {
                job.places().iter().filter(|p| !p.ended).any(|p| {
                    let mut tasks = self.workers[p.id].tasks.iter();
                    let task = tasks.find(|t| t.job == name);
                    task.is_some_and(|t| t.sent.is_none_or(|at| at + RESEND_AFTER <= now))
                })
            });
            if resend {
                self.send_stops(now, &name, out);
            }
        }
        let retry = std::mem::take(&mut self.retry);
        for name in retry {
            if let Some(job) = self.jobs.get_mut(&name)
                && let Some(outcome) = job.proposed_outcome.clone()
            {
                out.push(Effect::Propose(Decision::Finish {
                    fence: job.fence,
                    job: name,
                    outcome,
                }));
            }
        }
    }
}
