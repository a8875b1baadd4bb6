//! Why a command failed, with its exit status and the next step.

use std::fmt;
use std::io;
use std::path::PathBuf;

use serde_json::Value;
use toucangrade::CallError;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Changes that the watch asked for are no longer kept.
    Compacted { since: u64, oldest: u64 },
    /// A file could not be read or written.
    File { path: PathBuf, error: io::Error },
    /// The job ended otherwise than by being done.
    Job { name: String, state: String },
    /// The output can't be written, or this process lacks a resource.
    Local(io::Error),
    /// The plot could not be drawn.
    Plot(String),
    /// The process refused.
    Refused { status: u16, body: Value },
    /// No control instance answered.
    Unreachable { asked: String, error: CallError },
    /// A wait ended before what was waited for came.
    Waited { seconds: u64 },
}

impl Failure {
    /// The exit status, as `docs/operators/cli.md` lists it.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Local(_) => 1,
            Self::Refused { status: 412, .. } => 3,
            Self::Refused { status: 404, .. } => 4,
            Self::Refused { .. } => 2,
            Self::Unreachable { .. } => 5,
            Self::File { .. } | Self::Plot(_) => 6,
            Self::Job { state, .. } => match state.as_str() {
                "refused" => 10,
                "cancelled" => 11,
                _ => 7,
            },
            Self::Compacted { .. } => 8,
            Self::Waited { .. } => 9,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted { since, oldest } => write!(
                f,
                "changes after revision {since} are no longer kept; list the resources, then watch \
                 with --since {oldest}"
            ),
            Self::File { path, error } => {
                write!(f, "{} can't be used: {error}; check the path", path.display())
            },
            Self::Job { name, state } => {
                write!(f, "job {name} ended as {state}; run: toucangrade explain {name}")
            },
            Self::Local(error) => write!(f, "{error}"),
            Self::Plot(error) => write!(f, "the plot can't be drawn: {error}"),
            Self::Refused { status, body } => refused(f, *status, body),
            Self::Unreachable { asked, error } => write!(
                f,
                "{error} (asked {asked}); check --control, or that a control instance runs there"
            ),
            Self::Waited { seconds } => {
                write!(
                    f,
                    "nothing final after {seconds} s; the work goes on, follow it with: toucangrade \
                     watch"
                )
            },
        }
    }
}

fn refused(f: &mut fmt::Formatter<'_>, status: u16, body: &Value) -> fmt::Result {
    let reason = body["reason"].as_str().unwrap_or("the response has no reason");
    let code = body["error"].as_str().unwrap_or("no code");
    write!(f, "refused with status {status} ({code}): {reason}")?;
    match status {
        401 => write!(f, "; set --token or TOUCANGRADE_TOKEN"),
        404 if code == "unknown-key" => {
            write!(f, "; check the key; ordinary quick answers are kept for a while only")
        },
        404 => write!(f, "; check the name with the command list"),
        412 => match body["current"]["revision"].as_u64() {
            Some(revision) => {
                write!(
                    f,
                    "; it has revision {revision}: get it, merge, apply --if-revision {revision}"
                )
            },
            None => write!(f, "; it does not exist: apply --if-revision 0"),
        },
        503 => write!(f, "; try again, or ask another control instance"),
        _ => Ok(()),
    }
}
