//! Circuit breaker of a runner, driven by how its tasks end.
//!
//! A runner that fails or refuses several tasks in a row is barred for a while. After that it is on
//! trial: it gets one task or gang at a time until one succeeds, and is barred again, for longer, if one
//! fails. Failures of runs that began before it was barred are ignored. Lasting tasks that fit on
//! no other runner are placed there earlier.

use serde::Serialize;

use super::settings::{FAILURES_LIMIT, QUARANTINE, QUARANTINE_LIMIT, TRIAL_PAUSE};
use crate::core::{Moment, Span};

/// Tasks that may be placed on a runner.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Trust {
    /// None.
    Barred,
    /// Only lasting tasks that no other runner has room for: they have to run somewhere, and lose
    /// no work if they fail.
    LastResort,
    /// One task or gang, and lasting tasks as in [`Self::LastResort`].
    Trial,
    /// As many as there is room for.
    #[default]
    Full,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Quarantine {
    since: Moment,
    /// End of the time in which no other than lasting tasks are placed there.
    until: Moment,
}

/// Circuit breaker state of one incarnation of a runner.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Health {
    /// Failures of tasks that had not failed elsewhere, since the last success.
    failures: u32,
    /// Consecutive times that the runner was barred: once for the initial failures and once for
    /// each failed trial since.
    #[serde(rename = "bars")]
    quarantines: u32,
    #[serde(rename = "bar")]
    quarantine: Option<Quarantine>,
}

impl Health {
    /// Tasks that may be placed on the runner. `on_trial` returns whether a run that began after
    /// the given moment is running there.
    pub(crate) fn trust(&self, now: Moment, on_trial: impl FnOnce(Moment) -> bool) -> Trust {
        let Some(quarantine) = self.quarantine else { return Trust::Full };
        let pause = if self.quarantines > 1 { TRIAL_PAUSE + TRIAL_PAUSE } else { TRIAL_PAUSE };
        if now >= quarantine.until && !on_trial(quarantine.since) {
            Trust::Trial
        } else if now >= quarantine.until || now.since(quarantine.since) >= pause {
            Trust::LastResort
        } else {
            Trust::Barred
        }
    }

    /// Records that a run which began at `began` is up or has succeeded; true if this ends a
    /// quarantine.
    pub(crate) fn record_success(&mut self, began: Moment, now: Moment) -> bool {
        self.failures = 0;
        let Some(quarantine) = &mut self.quarantine else { return false };
        if began <= quarantine.since {
            // New runs may still fail there, but this justifies an earlier trial.
            quarantine.until = quarantine.until.min(now);
            return false;
        }
        (self.quarantines, self.quarantine) = (0, None);
        true
    }

    /// Records that a run which began at `began` failed; returns the time for which the runner is
    /// barred as a result, if it is.
    pub(crate) fn record_failure(&mut self, began: Moment, now: Moment) -> Option<Span> {
        match self.quarantine {
            Some(quarantine) if began <= quarantine.since => return None,
            Some(_) => {},
            None => {
                self.failures += 1;
                if self.failures < FAILURES_LIMIT {
                    return None;
                }
            },
        }
        let doubled = QUARANTINE.percent(100 << self.quarantines.min(8));
        let barred = doubled.min(QUARANTINE_LIMIT);
        self.quarantines += 1;
        self.quarantine = Some(Quarantine { since: now, until: now + barred });
        Some(barred)
    }

    /// Failures counted since the last success.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the runner is barred or on trial.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }
}
