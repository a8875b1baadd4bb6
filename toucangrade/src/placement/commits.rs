//! Decisions that the log holds, and the starts that follow from them.

use super::job::{Place, State};
use super::message::{Checkpoint, Decision, Effect, Member, Outcome, Spec};
use super::{OUTCOMES_KEPT, Planner};
use crate::core::{Moment, Name, Span, invariant};
use crate::eviction::Cause;

use super::runs::RESEND;

/// Time after a replay in which a worker must report on a replayed execution.
///
/// An execution that ended before the replay, which the log does not say, must not start again
/// under its old token. Without a report it is stopped and resumed under a new one.
pub(super) const REPLAY_WAIT: Span = Span::secs(6);
/// The same for urgent work, counted from the worker's first heartbeat to this leader.
///
/// It covers the next heartbeat, 0.5 s later, which names an execution that began just before.
const URGENT_REPLAY_WAIT: Span = Span::millis(750);

impl Planner {
    /// Takes in a decision that the log holds; one that came too late has no effect.
    pub(super) fn committed(&mut self, now: Moment, decision: Decision, out: &mut Vec<Effect>) {
        match decision {
            Decision::Assign { fence, from, job, members } => {
                self.assigned(now, &job, fence, from, &members, out);
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

    /// Takes in a job of the log with the execution that stands there.
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
        job.keep(from);
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
            State::Proposed(places) if self.is_at(places, members) => places.clone(),
            // The log holds another assignment than the one proposed here.
            State::Proposed(_) => {
                self.end_all(now, name);
                self.reserve(now, name, fence, members, false)
            },
            State::Waiting => {
                self.dequeue(name);
                self.reserve(now, name, fence, members, false)
            },
            // The log holds the end of an execution before the next one, but its replay does not
            // hold the workers' reports that ended it. A new leader takes in the last decisions of
            // the one before when it leads already.
            State::Running(_) | State::Settling(_) => {
                let replay = !self.leading || now < self.led_since + REPLAY_WAIT;
                invariant!(replay, "{name} assigned while it has an execution");
                self.end_all(now, name);
                self.evicting.remove(name);
                self.settling.remove(name);
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
            job.keep(from);
            job.done = job.checkpoint.done;
            job.state = State::Running(places);
        }
        self.unconfirmed.insert(name.clone());
        self.send_starts(now, name, out);
    }

    /// Whether places are those that a decision names.
    fn is_at(&self, places: &[Place], members: &[Member]) -> bool {
        let worker = |place: &Place| &self.workers[place.id].info.name;
        let same = |(place, member): (&Place, &Member)| {
            *worker(place) == member.worker && place.grant == member.grant
        };
        places.len() == members.len() && places.iter().zip(members).all(same)
    }

    /// Sends the starts that no worker has confirmed.
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
                && task.sent.is_none_or(|at| at + RESEND <= now)
            {
                task.sent = Some(now);
                out.push(Effect::Start { from, grant, lease, target });
            }
        }
    }

    pub(super) fn review_unconfirmed(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let names: Vec<Name> = self.unconfirmed.iter().cloned().collect();
        for name in names {
            let Some(job) = self.jobs.get(&name).filter(|job| job.is_running()) else {
                self.unconfirmed.remove(&name);
                continue;
            };
            let live = job.places().iter().filter(|p| !p.ended);
            let workers = live.map(|p| &self.workers[p.id]);
            let tasks = workers.flat_map(|w| w.tasks.iter().map(|task| (w.heard, task)));
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

    /// Takes in the final outcome of a job; only the first one counts.
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
            // Nothing was started for a proposal, which now comes too late.
            State::Proposed(_) => self.end_all(now, name),
            State::Running(_) | State::Settling(_) => {},
        }
        if outcome == Outcome::Done {
            // A replay does not hold the workers' reports.
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
            self.forget(name);
        } else {
            let state = std::mem::replace(&mut job.state, State::Waiting);
            if let State::Running(places) | State::Settling(places) = state {
                job.state = State::Settling(places);
            }
            self.settling.insert(name.clone());
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

    pub(super) fn forget(&mut self, name: &Name) {
        self.settling.remove(name);
        self.ending.remove(name);
        self.jobs.remove(name);
    }

    /// Takes back a decision that the log will never hold.
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
            Decision::Evict { .. } => {
                self.evicting.remove(name);
            },
            Decision::Finish { .. } | Decision::Refuse { .. } => {
                self.retry.insert(name.clone());
            },
        }
    }
}
