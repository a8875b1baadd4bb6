//! Applies committed decisions, and sends the starts that follow from them.

use super::job::{Place, State};
use super::message::{Checkpoint, Decision, Effect, Member, Outcome, Spec};
use super::{OUTCOMES_KEPT, Planner};
use crate::core::{Moment, Name, Span, invariant};
use crate::eviction::Cause;

use super::runs::RESEND_AFTER;

/// Time after a replay within which a worker must report on a replayed execution.
///
/// The log doesn't record that an execution has ended, so a replayed execution may be over and
/// must not be started again under its old fencing token. Without a report it is stopped, and the
/// job is resumed under a new token.
pub(super) const REPLAY_WAIT: Span = Span::secs(6);
/// Same as `REPLAY_WAIT` for urgent jobs, counted from the worker's first heartbeat to this leader.
///
/// It covers the next heartbeat, 0.5 s later, which reports an execution that started just before.
const URGENT_REPLAY_WAIT: Span = Span::millis(750);

impl Planner {
    /// Applies a committed decision; an outdated one has no effect.
    pub(super) fn committed(&mut self, now: Moment, decision: Decision, out: &mut Vec<Effect>) {
        match decision {
            Decision::Assign { fence, from, job, members } => {
                self.assigned(now, &job, fence, from, &members, out);
            },
            Decision::Begin { fence, job } => {
                if let Some(job) = self.jobs.get_mut(&job).filter(|job| job.fence == fence) {
                    job.begun = true;
                }
            },
            Decision::Evict { cause, fence, from, job } => {
                self.evicted(now, &job, fence, cause, from, out);
            },
            Decision::Finish { fence, job, outcome } => {
                self.finished(now, &job, fence, outcome, out);
            },
            Decision::Refuse { job, .. } => {
                let fence = self.jobs.get(&job).map_or(0, |job| job.fence);
                self.finished(now, &job, fence, Outcome::Refused, out);
            },
        }
    }

    /// Restores a job and its execution from the log.
    pub(super) fn restore(
        &mut self,
        now: Moment,
        spec: Spec,
        fence: u64,
        from: Checkpoint,
        members: Option<&[Member]>,
        out: &mut Vec<Effect>,
    ) {
        let name = spec.name.clone();
        self.submit(now, spec, out);
        let Some(job) = self.jobs.get_mut(&name) else { return };
        job.advance_checkpoint(from);
        job.done = job.checkpoint.done;
        match members {
            Some(members) => {
                job.fence = fence.saturating_sub(1);
                self.assigned(now, &name, fence, from, members, out);
            },
            None => job.fence = fence,
        }
    }

    fn assigned(
        &mut self,
        now: Moment,
        name: &Name,
        fence: u64,
        from: Checkpoint,
        members: &[Member],
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        if job.over || fence != job.fence + 1 {
            return;
        }
        let places = match &job.state {
            State::Proposed(places) if self.matches_members(places, members) => places.clone(),
            // The log holds a different assignment from the one proposed here.
            State::Proposed(_) => {
                self.end_all(now, name);
                self.reserve(now, name, fence, members, false)
            },
            State::Waiting => {
                self.dequeue(name);
                self.reserve(now, name, fence, members, false)
            },
            // The eviction of an execution precedes the next assignment in the log, but a replay
            // doesn't include the workers' reports that it has ended. A new leader may apply the
            // last decisions of its predecessor after it has begun to lead.
            State::Running(_) | State::Terminating(_) => {
                let replay = !self.leading || now < self.led_since + REPLAY_WAIT;
                invariant!(replay, "{name} assigned while it has an execution");
                self.end_all(now, name);
                self.evicting.remove(name);
                self.terminating.remove(name);
                self.reserve(now, name, fence, members, false)
            },
        };
        self.counts.assigned += 1;
        if self.ledger.start(name, fence) {
            self.counts.resumed += 1;
        }
        if let Some(job) = self.jobs.get_mut(name) {
            invariant!(fence > job.fence, "{name} started again under {fence}");
            job.fence = fence;
            job.begun = false;
            job.advance_checkpoint(from);
            job.done = job.checkpoint.done;
            job.state = State::Running(places);
        }
        self.unconfirmed.insert(name.clone());
        self.send_starts(now, name, out);
    }

    /// Whether the places have the workers and grants of a decision.
    fn matches_members(&self, places: &[Place], members: &[Member]) -> bool {
        let worker = |place: &Place| &self.workers[place.id].info.name;
        let same = |(place, member): (&Place, &Member)| {
            *worker(place) == member.worker && place.grant == member.grant
        };
        places.len() == members.len() && places.iter().zip(members).all(same)
    }

    /// Sends or resends the starts that their workers have not confirmed.
    fn send_starts(&mut self, now: Moment, name: &Name, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let (fence, from, lease) = (job.fence, job.checkpoint, self.settings.lease);
        let live = job.places().iter().filter(|p| !p.ended);
        for (id, grant) in live.map(|p| (p.id, p.grant)).collect::<Vec<_>>() {
            let target = self.target(name, fence, id);
            let worker = &mut self.workers[id];
            let alive = worker.alive;
            if let Some(task) = worker.task(name.as_str())
                && alive
                && !task.confirmed
                && task.sent.is_none_or(|at| at + RESEND_AFTER <= now)
            {
                task.sent = Some(now);
                out.push(Effect::Start { from, grant, lease, target });
            }
        }
    }

    /// Resends unconfirmed starts, and evicts replayed executions that no worker has reported in
    /// time.
    pub(super) fn review_unconfirmed(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: Vec<Name> = self.unconfirmed.iter().cloned().collect();
        for name in names {
            let Some(job) = self.jobs.get(&name).filter(|job| job.is_running()) else {
                self.unconfirmed.remove(&name);
                continue;
            };
            let live = job.places().iter().filter(|p| !p.ended);
            let workers = live.map(|p| &self.workers[p.id]);
            let tasks = workers.flat_map(|w| w.tasks.iter().map(|task| (w.first_heard, task)));
            let mut open = tasks.filter(|(_, task)| task.job == name && !task.confirmed);
            let first = open.next();
            let heard = first.and_then(|(heard, _)| heard).map(|heard| heard.max(self.led_since));
            let due = self.led_since + REPLAY_WAIT <= now
                || job.spec.urgent && heard.is_some_and(|at| at + URGENT_REPLAY_WAIT <= now);
            match first.map(|(_, task)| task.replayed) {
                Some(true) if due => {
                    self.begin_evict(now, &name, Cause::Lost, out);
                },
                Some(true) => {},
                Some(false) => self.send_starts(now, &name, out),
                None => {
                    self.unconfirmed.remove(&name);
                },
            }
        }
    }

    /// Records the final outcome of a job and stops its execution; later outcomes are ignored.
    pub(super) fn finished(
        &mut self,
        now: Moment,
        name: &Name,
        fence: u64,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let current = fence == job.fence || outcome == Outcome::Cancelled;
        if job.over || !current {
            return;
        }
        match &job.state {
            State::Waiting => self.dequeue(name),
            // Nothing has been started for the proposed assignment, which now has no effect.
            State::Proposed(_) => self.end_all(now, name),
            State::Running(_) | State::Terminating(_) => {},
        }
        if outcome == Outcome::Done {
            // A replay doesn't include the workers' reports that the members have ended.
            self.end_all(now, name);
        }
        if outcome == Outcome::Failed {
            // The job was at fault, not the workers that it failed on.
            for id in self.jobs[name].failed_on.clone() {
                self.workers[id].health.forgive(name);
            }
        }
        let before = self.outcomes.insert(name.clone(), outcome);
        invariant!(before.is_none(), "{name} has a second outcome");
        self.counts.ended += 1;
        self.ended.push_back(name.clone());
        if self.ended.len() > OUTCOMES_KEPT
            && let Some(old) = self.ended.pop_front()
        {
            self.outcomes.remove(&old);
        }
        self.ledger.end(name);
        self.evicting.remove(name);
        self.unconfirmed.remove(name);
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.over = true;
        self.ending.insert(name.clone());
        if job.places().iter().all(|p| p.ended) {
            self.remove_job(name);
        } else {
            let state = std::mem::replace(&mut job.state, State::Waiting);
            if let State::Running(places) | State::Terminating(places) = state {
                job.state = State::Terminating(places);
            }
            self.terminating.insert(name.clone());
            self.send_stops(now, name, out);
        }
        let open = self.open() as u64;
        invariant!(
            self.counts.submitted == self.counts.ended + open,
            "{} submitted, {} ended, {open} open",
            self.counts.submitted,
            self.counts.ended
        );
    }

    /// Removes a job with a final outcome whose last execution has ended.
    pub(super) fn remove_job(&mut self, name: &Name) {
        self.terminating.remove(name);
        self.ending.remove(name);
        self.jobs.remove(name);
    }

    /// Undoes a proposed decision that will never be committed.
    pub(super) fn rejected(&mut self, now: Moment, decision: &Decision) {
        let name = decision.job();
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        match decision {
            Decision::Assign { fence, .. } => {
                if matches!(job.state, State::Proposed(_)) && *fence == job.fence + 1 {
                    self.end_all(now, name);
                    self.enqueue(name);
                }
            },
            // The next report proposes it again.
            Decision::Begin { fence, .. } => job.begun &= job.fence != *fence,
            Decision::Evict { .. } => {
                self.evicting.remove(name);
            },
            Decision::Finish { .. } | Decision::Refuse { .. } => {
                self.retry.insert(name.clone());
            },
        }
    }
}
