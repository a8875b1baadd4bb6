//! What a caller is told: answers, refusals and the verdict on whether a request may have run.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::names::Key;

/// Whether a request ran.
///
/// `NotRun` is only said when it is certain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The outcome is not known: the request ran, runs, or will not run.
    MayHaveRun,
    /// The request did not run and will not run for this attempt.
    NotRun,
    /// The request ran to its end.
    Ran,
}

impl Verdict {
    /// The verdict as it stands in the `Toucangrade-Verdict` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may-have-run",
            Self::NotRun => "not-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Scheduling class of a kind of request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Heavy work that may be evicted and resumed.
    Batch,
    /// Non-idempotent work that runs at most once.
    Once,
    /// Latency-critical idempotent work.
    Quick,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Batch => "batch",
            Self::Once => "once",
            Self::Quick => "quick",
        })
    }
}

/// A refusal or failure that is reported to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Stable code for programs, for example `over-quota`.
    pub code: String,
    /// One sentence for people.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Wait before another try, in milliseconds, where waiting helps.
    pub after: Option<u64>,
}

impl Refusal {
    /// A refusal for a request that certainly did not run.
    pub fn not_run(status: u16, code: &str, reason: impl Into<String>) -> Self {
        let (code, reason) = (code.to_owned(), reason.into());
        Self { status, code, reason, verdict: Verdict::NotRun, after: None }
    }

    /// A report that the outcome is not known yet.
    pub fn unknown(reason: impl Into<String>) -> Self {
        let (code, reason) = ("outcome-unknown".to_owned(), reason.into());
        Self { status: 504, code, reason, verdict: Verdict::MayHaveRun, after: Some(1_000) }
    }

    /// Whether the refused request may have run before under the same key, so that `not run` is
    /// only certain once the log denies the key.
    pub(crate) fn repeatable(&self, class: Option<Class>, key: Option<&Key>) -> bool {
        let unknown = class.is_none() && self.status == 404;
        key.is_some() && class != Some(Class::Quick) && !unknown
    }

    /// Adds the wait after which another try may succeed, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.after = Some(millis);
        self
    }
}

/// The whole answer of a back end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status that the back end gave.
    pub status: u16,
    /// Content type that the back end gave, empty when it gave none.
    pub media: String,
    /// Body of the answer.
    pub body: Bytes,
}
