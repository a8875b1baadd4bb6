//! Errors of commands, with their exit status and a message that names the next step.

use std::fmt;
use std::io;
use std::path::PathBuf;

use serde_json::Value;
use toucangrade::CallError;

/// Error of a command.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The changes after revision `since` are no longer kept.
    Compacted { since: u64, oldest: u64 },
    /// A file can't be read or written.
    File { path: PathBuf, error: io::Error },
    /// The job ended in another final state than `done`.
    Job { name: String, state: String },
    /// The output can't be written, or the HTTP client or its runtime can't be started.
    Io(io::Error),
    /// The plot can't be drawn.
    Plot(String),
    /// The process answered with an error status.
    Refused { status: u16, body: Value },
    /// No control instance answered.
    Unreachable { addrs: String, error: CallError },
    /// The job reached no final state within `--wait-limit-s`.
    TimedOut { seconds: u64 },
}

impl Failure {
    /// The exit status, as `docs/operators/cli.md` lists it.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Io(_) => 1,
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
            Self::TimedOut { .. } => 9,
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
            Self::Io(error) => write!(f, "{error}"),
            Self::Plot(error) => write!(f, "the plot can't be drawn: {error}"),
            Self::Refused { status, body } => write_refusal(f, *status, body),
            Self::Unreachable { addrs, error } => write!(
                f,
                "{error} (asked {addrs}); check --control, or that a control instance runs there"
            ),
            Self::TimedOut { seconds } => {
                write!(
                    f,
                    "no final state after {seconds} s; the job continues, follow it with: \
                     toucangrade watch"
                )
            },
        }
    }
}

fn write_refusal(f: &mut fmt::Formatter<'_>, status: u16, body: &Value) -> fmt::Result {
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
