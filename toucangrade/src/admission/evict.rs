//! Eviction of batch attempts from runners that are leaving.

use serde::Serialize;

use super::{Admission, Attempt, Effect, EvictReply, Phase, Report, RunnerAnswer, STOP_INTERVAL};
use crate::claims::EVICTIONS_MAX;
use crate::core::{Class, Key, Moment};

/// State of the eviction of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub(super) enum Evict {
    /// The eviction was requested. `next` is when to repeat the request after its answer was lost;
    /// `ended` is set once the request to execute was answered with an error.
    Asked {
        next: Option<Moment>,
        #[serde(rename = "over")]
        ended: bool,
    },
    /// No eviction was requested.
    No,
    /// The runner did not stop the execution, so it runs until it ends.
    Refused,
    /// The runner stopped the execution without a checkpoint, or it had just ended. The answer to
    /// the request to execute tells which; it is awaited until `until`.
    Stopped { until: Moment },
}

impl Admission {
    /// Requests evictions of the batch attempts that run at leaving runners, and refuses those that
    /// wait there.
    pub(super) fn evict_leaving(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut reports = Vec::new();
        for key in &self.active {
            let Some(attempt) = self.attempts.get_mut(key) else { continue };
            let Some(addr) = attempt.runner.filter(|_| attempt.class == Class::Batch) else {
                continue;
            };
            let Some(runner) = self.runners.get_mut(&addr) else { continue };
            let since = [self.drained, runner.leaving_since].into_iter().flatten().min();
            let leaving = since.is_some();
            // Most attempts end by themselves within the grace time, and an eviction delays them.
            let due = since.is_some_and(|since| now >= since + self.grace);
            let able = due && runner.announce.checkpoints.contains(&attempt.kind);
            match (&attempt.phase, attempt.evict) {
                (Phase::Waiting, _) if leaving => {
                    // Leaves the queue first, so that a freed slot does not start it.
                    runner.heavy_waiting.retain(|waiting| waiting != key);
                    let reason = "the runner is leaving".to_owned();
                    let report =
                        Report::Refused { code: "leaving".to_owned(), reason, after: None };
                    reports.push((key.clone(), attempt.fence, report));
                },
                (Phase::Running { .. }, Evict::Stopped { until }) if now >= until => {
                    reports.push((key.clone(), attempt.fence, no_checkpoint()));
                },
                (Phase::Running { .. }, _) if attempt.eviction_due(now, able) => {
                    attempt.evict = Evict::Asked { next: None, ended: attempt.response_ended() };
                    let (key, kind) = (key.clone(), attempt.kind.clone());
                    effects.push(Effect::Evict { addr, key, fence: attempt.fence, kind });
                },
                _ => {},
            }
        }
        for (key, fence, report) in reports {
            effects.extend(self.settle(now, &key, fence, report));
        }
        effects
    }

    /// Handles the result of a request to evict an execution.
    pub(super) fn evict_replied(
        &mut self,
        now: Moment,
        key: &Key,
        fence: u64,
        halt: EvictReply,
    ) -> Vec<Effect> {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.fence == fence) else {
            return Vec::new();
        };
        let report = match halt {
            EvictReply::Checkpointed(checkpoint) => Report::Evicted { checkpoint },
            // The request to execute was answered with an error, so nothing runs any more.
            EvictReply::Refused | EvictReply::Stopped if attempt.response_ended() => {
                no_checkpoint()
            },
            EvictReply::Stopped => {
                attempt.evict = Evict::Stopped { until: now + STOP_INTERVAL };
                return Vec::new();
            },
            EvictReply::Refused => {
                attempt.evict = Evict::Refused;
                return Vec::new();
            },
            EvictReply::Unknown => {
                // The slot stays in use. A runner that has stopped the execution answers a repeated
                // request with the same checkpoint.
                let next = Some(now + STOP_INTERVAL);
                attempt.evict = Evict::Asked { next, ended: attempt.response_ended() };
                return Vec::new();
            },
        };
        self.settle(now, key, fence, report)
    }

    /// Whether an error answer only says that the execution was stopped by an eviction whose
    /// checkpoint is still to come. Records that the execution is over.
    pub(super) fn note_interrupted(
        &mut self,
        key: &Key,
        fence: u64,
        outcome: &RunnerAnswer,
    ) -> bool {
        let failed = !(200..300).contains(&outcome.answer.status);
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.fence == fence) else {
            return false;
        };
        match &mut attempt.evict {
            Evict::Asked { ended, .. } if failed => {
                *ended = true;
                true
            },
            _ => false,
        }
    }
}

impl Attempt {
    /// Whether an eviction of the attempt is to be requested now; `able` is set if its runner is
    /// leaving and can checkpoint its kind.
    fn eviction_due(&self, now: Moment, able: bool) -> bool {
        let Phase::Running { end, stop } = self.phase else { return false };
        let evictions = self.resume.as_ref().map_or(0, |resume| resume.evictions);
        let asked = match self.evict {
            Evict::Asked { next, .. } => next.is_some_and(|next| now >= next),
            // An execution that is already being stopped saves no checkpoint.
            Evict::No => able && stop.is_none(),
            Evict::Refused | Evict::Stopped { .. } => false,
        };
        asked && evictions < EVICTIONS_MAX && now < end
    }

    /// Whether the runner may still answer with a checkpoint, so that no stop is requested.
    pub(super) fn awaits_checkpoint(&self, now: Moment) -> bool {
        let within = matches!(self.phase, Phase::Running { end, .. } if now < end);
        within && matches!(self.evict, Evict::Asked { .. })
    }

    /// Whether the request to execute was answered with an error during an eviction.
    fn response_ended(&self) -> bool {
        matches!(self.evict, Evict::Asked { ended: true, .. })
    }
}

/// Report on an eviction without a checkpoint.
fn no_checkpoint() -> Report {
    Report::Lost { reason: "the execution was evicted without a checkpoint".to_owned() }
}
