//! Answers and refusals sent to callers, and the verdict on whether a request may have run.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::names::Key;

/// Whether a request ran.
///
/// `NotRun` is only reported if it is certain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The outcome is not known: the request may have run, may be running, or may never run.
    MayHaveRun,
    /// This attempt did not run the request and will not run it.
    NotRun,
    /// The request ran to completion.
    Ran,
}

impl Verdict {
    /// The verdict as written in the `Toucangrade-Verdict` header.
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

/// Refusal or failure reported to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Stable machine-readable code, for example `over-quota`.
    pub code: String,
    /// Human-readable reason, one sentence.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time to wait before a retry, in milliseconds; `None` if waiting doesn't help.
    pub after: Option<u64>,
}

impl Refusal {
    /// Refusal of a request that certainly did not run.
    pub fn not_run(status: u16, code: &str, reason: impl Into<String>) -> Self {
        let (code, reason) = (code.to_owned(), reason.into());
        Self { status, code, reason, verdict: Verdict::NotRun, after: None }
    }

    /// Failure of a request whose outcome is not known yet.
    pub fn unknown(reason: impl Into<String>) -> Self {
        let (code, reason) = ("outcome-unknown".to_owned(), reason.into());
        Self { status: 504, code, reason, verdict: Verdict::MayHaveRun, after: Some(1_000) }
    }

    /// Whether an earlier attempt with the same key may have run the refused request. The verdict
    /// `not-run` is then only certain once a denial of the key is in the log.
    pub(crate) fn repeatable(&self, class: Option<Class>, key: Option<&Key>) -> bool {
        let unknown = class.is_none() && self.status == 404;
        key.is_some() && class != Some(Class::Quick) && !unknown
    }

    /// Sets the time after which a retry may succeed, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.after = Some(millis);
        self
    }
}

/// Complete response of a back end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status of the response.
    pub status: u16,
    /// Content type of the response, empty if it has none.
    pub media: String,
    /// Body of the response.
    pub body: Bytes,
}
