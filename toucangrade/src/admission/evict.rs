//! Eviction of batch attempts from runners that are leaving.

use serde::Serialize;

use super::{Admission, Attempt, Effect, Halt, Outcome, Phase, Report, STOP_EVERY};
use crate::claims::EVICTIONS_MAX;
use crate::core::{Class, Key, Moment};

/// How far the eviction of an attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub(super) enum Evict {
    /// The runner was asked; it is asked again at `next` when its answer was lost. `over` says
    /// that it closed the execution's own response without a result.
    Asked { next: Option<Moment>, over: bool },
    /// The attempt is not to be evicted.
    No,
    /// The runner did not stop the execution, so it goes on until it ends.
    Refused,
    /// The runner stopped the execution without a checkpoint, or it had just ended. Its own
    /// response tells which of the two, until `until` at most.
    Stopped { until: Moment },
}

impl Admission {
    /// Evicts batch attempts from runners that are leaving, and refuses those that wait there.
    pub(super) fn evictions(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut over = Vec::new();
        for key in &self.active {
            let Some(attempt) = self.attempts.get_mut(key) else { continue };
            let Some(addr) = attempt.runner.filter(|_| attempt.class == Class::Batch) else {
                continue;
            };
            let Some(runner) = self.runners.get_mut(&addr) else { continue };
            let since = [self.drained, runner.left].into_iter().flatten().min();
            let leaving = since.is_some();
            // Most attempts end by themselves in this time, and an eviction delays them.
            let due = since.is_some_and(|since| now >= since + self.grace);
            let able = due && runner.announce.checkpoints.contains(&attempt.kind);
            match (&attempt.phase, attempt.evict) {
                (Phase::Waiting, _) if leaving => {
                    // Out of the queue first, so that a slot that gets free doesn't start it.
                    runner.heavy_waiting.retain(|waiting| waiting != key);
                    let reason = "the runner is leaving".to_owned();
                    let report =
                        Report::Refused { code: "leaving".to_owned(), reason, after: None };
                    over.push((key.clone(), attempt.fence, report));
                },
                (Phase::Running { .. }, Evict::Stopped { until }) if now >= until => {
                    over.push((key.clone(), attempt.fence, stopped()));
                },
                (Phase::Running { .. }, _) if attempt.due(now, able) => {
                    attempt.evict = Evict::Asked { next: None, over: attempt.over() };
                    let (key, kind) = (key.clone(), attempt.kind.clone());
                    effects.push(Effect::Evict { addr, key, fence: attempt.fence, kind });
                },
                _ => {},
            }
        }
        for (key, fence, report) in over {
            effects.extend(self.settle(now, &key, fence, report));
        }
        effects
    }

    /// Takes a runner's answer to the request to evict an execution.
    pub(super) fn halted(&mut self, now: Moment, key: &Key, fence: u64, halt: Halt) -> Vec<Effect> {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.fence == fence) else {
            return Vec::new();
        };
        let report = match halt {
            Halt::Checkpointed(checkpoint) => Report::Evicted { checkpoint },
            // The execution's own response ended, so nothing runs any more.
            Halt::Refused | Halt::Stopped if attempt.over() => stopped(),
            Halt::Stopped => {
                attempt.evict = Evict::Stopped { until: now + STOP_EVERY };
                return Vec::new();
            },
            Halt::Refused => {
                attempt.evict = Evict::Refused;
                return Vec::new();
            },
            Halt::Unknown => {
                // Without an answer the slot stays in use; a runner that has stopped the execution
                // answers the repeated request with the same checkpoint.
                let next = Some(now + STOP_EVERY);
                attempt.evict = Evict::Asked { next, over: attempt.over() };
                return Vec::new();
            },
        };
        self.settle(now, key, fence, report)
    }

    /// Whether an answer only says that the execution was stopped by the eviction under way, whose
    /// checkpoint is still to come.
    pub(super) fn interrupted(&mut self, key: &Key, fence: u64, outcome: &Outcome) -> bool {
        let failed = !(200..300).contains(&outcome.answer.status);
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.fence == fence) else {
            return false;
        };
        match &mut attempt.evict {
            Evict::Asked { over, .. } if failed => {
                *over = true;
                true
            },
            _ => false,
        }
    }
}

impl Attempt {
    /// Whether the runner is to be asked now to evict the attempt; `able` says that it leaves and
    /// has checkpoints.
    fn due(&self, now: Moment, able: bool) -> bool {
        let Phase::Running { end, stop } = self.phase else { return false };
        let evictions = self.resume.as_ref().map_or(0, |resume| resume.evictions);
        let asked = match self.evict {
            Evict::Asked { next, .. } => next.is_some_and(|next| now >= next),
            // An execution that is being stopped already keeps nothing.
            Evict::No => able && stop.is_none(),
            Evict::Refused | Evict::Stopped { .. } => false,
        };
        asked && evictions < EVICTIONS_MAX && now < end
    }

    /// Whether the runner may still answer with a checkpoint, so that no plain stop is sent.
    pub(super) fn evicting(&self, now: Moment) -> bool {
        let within = matches!(self.phase, Phase::Running { end, .. } if now < end);
        within && matches!(self.evict, Evict::Asked { .. })
    }

    /// Whether the runner closed the execution's own response without a result.
    fn over(&self) -> bool {
        matches!(self.evict, Evict::Asked { over: true, .. })
    }
}

/// Outcome of an eviction that gave no checkpoint.
fn stopped() -> Report {
    Report::Lost { reason: "the execution was evicted without a checkpoint".to_owned() }
}
