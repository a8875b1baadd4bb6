//! Whether a runner is trusted with work, from how its tasks end: a circuit breaker with trials.
//!
//! A runner that fails several tasks in a row is barred. When that time is over it gets one task at
//! a time until one of them works, and is barred again, for longer, if one fails. Runs that began
//! before it was barred say nothing new about it when they fail.

use serde::Serialize;

use super::settings::{FAILURES_LIMIT, QUARANTINE, QUARANTINE_LIMIT, TRIAL_PAUSE};
use crate::core::{Moment, Span};

/// What a runner may be given.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Trust {
    /// Nothing.
    Barred,
    /// One lasting task, if no other runner has room for it: it has to run somewhere, and loses
    /// nothing if it fails.
    LastResort,
    /// One task.
    Trial,
    /// As much as there is room for.
    #[default]
    Full,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Bar {
    since: Moment,
    /// End of the time in which only lasting tasks are tried.
    until: Moment,
}

/// How the tasks of one life of a runner ended.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Health {
    /// Failures of tasks that had not failed elsewhere, since a task last ended well.
    failures: u32,
    /// Failed trials in a row, with the failures before them counted as one.
    bars: u32,
    bar: Option<Bar>,
}

impl Health {
    /// What the runner may be given; `on_trial` tells for a moment whether a run that began later
    /// goes on there.
    pub(crate) fn trust(&self, now: Moment, on_trial: impl FnOnce(Moment) -> bool) -> Trust {
        let Some(bar) = self.bar else { return Trust::Full };
        if on_trial(bar.since) {
            Trust::Barred
        } else if now >= bar.until {
            Trust::Trial
        } else if now.since(bar.since) >= TRIAL_PAUSE {
            Trust::LastResort
        } else {
            Trust::Barred
        }
    }

    /// Takes that a run which began at `began` works or ended well; true if that ends a bar.
    pub(crate) fn worked(&mut self, began: Moment, now: Moment) -> bool {
        self.failures = 0;
        let Some(bar) = &mut self.bar else { return false };
        if began <= bar.since {
            // It may fail whatever starts, but this is reason enough for a trial.
            bar.until = bar.until.min(now);
            return false;
        }
        (self.bars, self.bar) = (0, None);
        true
    }

    /// Takes that a run which began at `began` failed; the time for which that bars the runner.
    pub(crate) fn failed(&mut self, began: Moment, now: Moment) -> Option<Span> {
        match self.bar {
            Some(bar) if began <= bar.since => return None,
            Some(_) => {},
            None => {
                self.failures += 1;
                if self.failures < FAILURES_LIMIT {
                    return None;
                }
            },
        }
        let doubled = QUARANTINE.percent(100 << self.bars.min(8));
        let barred = doubled.min(QUARANTINE_LIMIT);
        self.bars += 1;
        self.bar = Some(Bar { since: now, until: now + barred });
        Some(barred)
    }

    /// Failures that count against it at present.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether it is barred or on trial.
    pub(crate) fn suspect(&self) -> bool {
        self.bar.is_some()
    }
}
