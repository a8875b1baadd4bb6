//! When an attempt that did not run may be tried again.

#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::core::{Moment, Span};

/// Retries that are earned by each first attempt, in percent.
const BUDGET_PERCENT: u64 = 10;
/// Retries that may be saved up.
const BUDGET_CAP: u64 = 100;
/// Attempts of one request. The failure handling guide of llm-interactive-proxy caps failover at 5
/// instances; three attempts already reach a quarter of 11 runners.
pub(crate) const ATTEMPTS: u32 = 3;
/// Wait before the first retry; doubled for each further one.
const WAIT: Span = Span::millis(10);

/// Retry budget of one entry, in hundredths of a retry.
#[derive(Debug, Serialize)]
pub(crate) struct Budget {
    tokens: u64,
}

impl Budget {
    pub(crate) fn new() -> Self {
        Self { tokens: BUDGET_CAP * 100 }
    }

    /// Counts a first attempt.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + BUDGET_PERCENT).min(BUDGET_CAP * 100);
    }

    /// Moment of the next attempt after `attempts` that did not run, or `None` to give up.
    ///
    /// `after` is the wait that the agent asked for, `jitter` a random number that spreads the
    /// retries of many requests, `deadline` the end of the caller's timeout.
    pub(crate) fn next(
        &mut self,
        now: Moment,
        attempts: u32,
        after: Option<Span>,
        jitter: u64,
        deadline: Moment,
    ) -> Option<Moment> {
        if attempts >= ATTEMPTS || self.tokens < 100 {
            return None;
        }
        let base = Span::micros(WAIT.as_micros() << attempts.saturating_sub(1).min(8));
        let wait = base.percent(50 + jitter % 101);
        let at = now + wait.max(after.unwrap_or(Span::ZERO));
        if at >= deadline {
            return None;
        }
        self.tokens -= 100;
        Some(at)
    }
}
