//! Submission, reports, committed decisions and the end of executions.

use super::commits::REPLAY_WAIT;
use super::job::{Evicting, Job, Place, State};
use super::message::{
    Checkpoint, Decision, Effect, Event, Fault, Finding, Member, Outcome, Record, Report, Spec,
    Target,
};
use super::sizes::scale;
use super::{Planner, Running};
use crate::core::{Moment, Name, Span, invariant};
use crate::eviction::Cause;
use crate::quota::Size;

/// Workers on which a job may fail before it stops.
const FAIL_LIMIT: usize = 3;
/// Guard stops after which a job stops; memory grows by half each time, 17 times in all.
const GUARD_LIMIT: u32 = 7;
/// Growth of the granted memory after a guard stop.
const GUARD_GROWTH: f64 = 1.5;
/// Wait for the checkpoint that an eviction asks for.
const CHECKPOINT_WAIT: Span = Span::secs(5);
/// The same when urgent work waits, which starts within 4.1 s altogether.
const URGENT_WAIT: Span = Span::millis(750);
/// Time after which a start or stop without an answer is sent again.
pub(super) const RESEND: Span = Span::secs(2);

impl Planner {
    /// Accepts a job, or refuses it at once when it can never run.
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
        // During a replay the log decides, not this planner.
        if self.leading && !self.refuse_impossible(&name, out) && urgent {
            self.schedule_urgent(now, out);
        }
    }

    /// Puts a job that has no execution among the waiting.
    pub(super) fn enqueue(&mut self, name: &Name) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.state = State::Waiting;
        job.blocked = None;
        job.making = None;
        if job.spec.urgent {
            self.urgent.insert((job.submitted, name.clone()));
        } else {
            let (team, ticket) = (job.spec.team.clone(), job.ticket());
            self.shares.enqueue(&team, ticket);
        }
    }

    /// Takes a job from among the waiting, and frees the workers held for it.
    pub(super) fn dequeue(&mut self, name: &Name) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        if job.spec.urgent {
            self.urgent.remove(&(job.submitted, name.clone()));
        } else {
            self.shares.dequeue(&job.spec.team, &job.ticket());
        }
        if job.making.is_some() || self.drains.contains_key(name) {
            self.unhold(name);
        }
    }

    pub(super) fn cancel(&mut self, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if job.over || job.closing == Some(Outcome::Cancelled) {
            return;
        }
        job.closing = Some(Outcome::Cancelled);
        out.push(Effect::Propose(Decision::Finish {
            fence: job.fence,
            job: name.clone(),
            outcome: Outcome::Cancelled,
        }));
    }

    /// Reserves the places of a proposed or replayed assignment.
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
                // A replayed execution on a worker that has not joined since.
                self.workers[id].lease_end = Some(now + self.settings.lease.percent(105));
                self.silent.insert(id);
            }
            let job = &self.jobs[name];
            let expected = scale(member.grant.cores, 0.9);
            self.workers[id].tasks.push(Running {
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
                shared: now,
                used: expected,
            });
            let team = job.spec.team.clone();
            self.shares.charge(&team, member.grant);
            self.touch(now, id);
            places.push(Place { ended: false, finished: false, grant: member.grant, id });
        }
        places
    }

    /// Marks one member as ended and gives back its room.
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
        self.touch(now, id);
    }

    /// Learns from the peak of a task that finished or whose memory no longer grows.
    ///
    /// A later peak of the same execution is learned as well, when it is notably higher.
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

    /// Ends all members of the present execution.
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

    /// Takes in a worker's report, and refuses it under an old fencing token.
    pub(super) fn report(&mut self, now: Moment, report: &Report, out: &mut Vec<Effect>) {
        let target = &report.target;
        let name = &target.job;
        let id = self.known.get(&target.worker).copied();
        let current = self.jobs.get(name).is_some_and(|job| {
            let agreed = !matches!(job.state, State::Proposed(_));
            let there = job.places().iter().any(|p| Some(p.id) == id && !p.ended);
            target.fence == job.fence && agreed && there
        });
        let (Some(id), true) = (id, current) else {
            self.refuse_report(report, out);
            return;
        };
        if let Some(task) = self.workers[id].task(name.as_str()) {
            task.confirmed = true;
        }
        match report.event {
            Event::Started => {},
            Event::Progress { checkpoint, done } => self.progress(name, checkpoint, done, out),
            Event::Stopped(checkpoint) => {
                self.end_place(now, name, id, false);
                if let Some(job) = self.jobs.get_mut(name) {
                    job.keep(checkpoint);
                }
                self.after_end(now, name, out);
            },
            Event::Finished => {
                self.workers[id].health.succeed();
                self.end_place(now, name, id, true);
                self.after_end(now, name, out);
            },
            Event::Failed(fault) => {
                self.end_place(now, name, id, false);
                self.failed(now, name, id, fault, out);
                self.after_end(now, name, out);
            },
        }
        // The room of an execution that ended is used at once, not with the next tick.
        let ended = !matches!(report.event, Event::Started | Event::Progress { .. });
        if ended && self.leading && !self.urgent.is_empty() {
            self.schedule_urgent(now, out);
        }
    }

    /// Counts a report that has no execution any more, and stops what still runs for it.
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

    fn progress(&mut self, name: &Name, newest: Checkpoint, done: u64, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.done = done;
        job.keep(newest);
        let number = job.checkpoint.number;
        let waiting = self.evicting.get(name);
        if waiting.is_some_and(|e| !e.proposed && number > e.number) {
            self.propose_evict(name, out);
        }
    }

    /// Counts a failure against the job and the worker.
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
                job.guarded += 1;
                let grant = job.places().iter().find(|p| p.id == id).map(|p| p.grant);
                if let Some(grant) = grant {
                    job.memory = scale(grant.memory, GUARD_GROWTH);
                    let spec = &job.spec;
                    self.sizes.outgrown(&spec.kind, spec.size, job.memory);
                }
            },
            Fault::Error => {
                job.again += usize::from(!job.failed_on.insert(id));
                // After failures elsewhere the job itself is the likely cause.
                if job.failures() < FAIL_LIMIT {
                    self.failure(now, id, name, out);
                }
            },
        }
    }

    /// Decides what follows once a member has ended.
    fn after_end(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let live = job.places().iter().any(|p| !p.ended);
        if job.over {
            if !live {
                self.forget(name);
            }
            return;
        }
        let finished = job.places().iter().all(|p| p.finished);
        let stopped = job.places().iter().any(|p| p.ended && !p.finished);
        if live {
            if stopped && !matches!(job.state, State::Settling(_)) {
                self.begin_evict(now, name, Cause::Gang, out);
            }
            return;
        }
        let fence = job.fence;
        let gives_up = job.failures() >= FAIL_LIMIT || job.guarded >= GUARD_LIMIT;
        let outcome = if finished && !job.spec.standing {
            Some(Outcome::Done)
        } else if gives_up && !job.spec.standing {
            Some(Outcome::Failed)
        } else {
            None
        };
        self.evicting.remove(name);
        self.settling.remove(name);
        self.unconfirmed.remove(name);
        if let Some(outcome) = outcome {
            if let Some(job) = self.jobs.get_mut(name)
                && job.closing.is_none()
            {
                job.closing = Some(outcome.clone());
            }
            out.push(Effect::Propose(Decision::Finish { fence, job: name.clone(), outcome }));
        } else {
            // Standing watches and failed jobs start again elsewhere.
            if let Some(job) = self.jobs.get_mut(name)
                && job.spec.standing
                && job.failures() >= FAIL_LIMIT
            {
                job.failed_on.clear();
                job.again = 0;
            }
            self.enqueue(name);
        }
    }

    /// Begins to end a running execution: a checkpoint first, unless the worker is lost.
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
        if !job.is_running() || job.closing.is_some() || self.evicting.contains_key(name) {
            return false;
        }
        let wait = match cause {
            Cause::Gang | Cause::Lost => Span::ZERO,
            Cause::Urgent => URGENT_WAIT,
            Cause::Aged | Cause::Quick => CHECKPOINT_WAIT,
        };
        let eviction =
            Evicting { cause, number: job.checkpoint.number, proposed: false, until: now + wait };
        let (fence, live) = (job.fence, job.places().iter().filter(|p| !p.ended));
        let targets: Vec<_> = live.map(|p| self.target(name, fence, p.id)).collect();
        self.evicting.insert(name.clone(), eviction);
        if wait == Span::ZERO {
            self.propose_evict(name, out);
        } else {
            out.extend(targets.into_iter().map(Effect::Checkpoint));
        }
        true
    }

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

    pub(super) fn review_evictions(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let due = |e: &Evicting| !e.proposed && e.until <= now;
        let evicting = self.evicting.iter().filter(|(_, e)| due(e));
        let names: Vec<Name> = evicting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.propose_evict(&name, out);
        }
    }

    /// Proposes to end the executions on silent workers.
    ///
    /// Workers need some time to find a new leader, and what they run must not be evicted for that.
    pub(super) fn review_silent(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let known = self.led_since + REPLAY_WAIT <= now;
        let silent = self.silent.iter().map(|&id| &self.workers[id]);
        let tasks = silent.filter(|w| known || w.heard.is_some()).flat_map(|w| &w.tasks);
        let names: Vec<Name> = tasks.map(|task| task.job.clone()).collect();
        for name in names {
            self.begin_evict(Moment::default(), &name, Cause::Lost, out);
        }
    }

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
        job.keep(from);
        let State::Running(places) = std::mem::replace(&mut job.state, State::Waiting) else {
            return;
        };
        job.state = State::Settling(places);
        self.ledger.evict(name, fence, cause);
        match cause {
            Cause::Aged | Cause::Quick | Cause::Urgent => self.counts.evicted += 1,
            Cause::Lost => self.counts.lost += 1,
            Cause::Gang => {},
        }
        self.settling.insert(name.clone());
        self.send_stops(now, name, out);
        self.settle(now, name, out);
    }

    /// Sends the stops that no worker has answered.
    pub(super) fn send_stops(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let fence = job.fence;
        let live: Vec<usize> = job.places().iter().filter(|p| !p.ended).map(|p| p.id).collect();
        for id in live {
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

    /// Ends the members whose worker is silent and whose lease must have ended.
    fn settle(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(name) else {
            self.settling.remove(name);
            return;
        };
        let live = job.places().iter().filter(|p| !p.ended).map(|p| p.id);
        let gone: Vec<usize> =
            live.filter(|&id| self.workers[id].lease_end.is_some_and(|end| end <= now)).collect();
        for id in gone {
            self.end_place(now, name, id, false);
        }
        let ended = self.jobs[name].places().iter().all(|p| p.ended);
        if ended {
            self.settling.remove(name);
            self.after_end(now, name, out);
        }
    }

    pub(super) fn review_settling(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: Vec<Name> = self.settling.iter().cloned().collect();
        for name in names {
            self.settle(now, &name, out);
            let resend = self.jobs.get(&name).is_some_and(|job| {
                job.places().iter().filter(|p| !p.ended).any(|p| {
                    let mut tasks = self.workers[p.id].tasks.iter();
                    let task = tasks.find(|t| t.job == name);
                    task.is_some_and(|t| t.sent.is_none_or(|at| at + RESEND <= now))
                })
            });
            if resend {
                self.send_stops(now, &name, out);
            }
        }
        let retry = std::mem::take(&mut self.retry);
        for name in retry {
            if let Some(job) = self.jobs.get_mut(&name)
                && let Some(outcome) = job.closing.clone()
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
