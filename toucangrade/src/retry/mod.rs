//! Retry policy for attempts that did not run: limit of attempts, exponential backoff with jitter,
//! and a retry budget for each entry.

#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::core::{Moment, Span};

/// Budget that each first attempt adds, in percent of a retry.
const BUDGET_PERCENT: u64 = 10;
/// Maximum budget, in retries.
const BUDGET_CAP: u64 = 100;
/// Maximum number of attempts of one request. The failure handling guide of llm-interactive-proxy
/// caps failover at 5 instances; three attempts already reach a quarter of 11 runners.
pub(crate) const ATTEMPTS: u32 = 3;
/// Base delay before the first retry; doubled for each further one.
const BASE_DELAY: Span = Span::millis(10);

/// Retry budget of one entry.
#[derive(Debug, Serialize)]
pub(crate) struct Budget {
    /// Remaining budget in hundredths of a retry.
    tokens: u64,
}

impl Budget {
    pub(crate) fn new() -> Self {
        Self { tokens: BUDGET_CAP * 100 }
    }

    /// Adds the share of a first attempt to the budget.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + BUDGET_PERCENT).min(BUDGET_CAP * 100);
    }

    /// Time of the next attempt after `attempts` attempts that did not run, or `None` to give up.
    ///
    /// `after` is the minimum delay that the agent asked for, `jitter` a random number that spreads
    /// the retries of many requests, and `deadline` the end of the caller's timeout.
    pub(crate) fn next_attempt(
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
        let base = Span::micros(BASE_DELAY.as_micros() << attempts.saturating_sub(1).min(8));
        let wait = base.percent(50 + jitter % 101);
        let at = now + wait.max(after.unwrap_or(Span::ZERO));
        if at >= deadline {
            return None;
        }
        self.tokens -= 100;
        Some(at)
    }
}
