//! Randomised runs that are run again with a trace when they break an invariant.

use std::any::Any;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// An invariant that a randomised run broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// What was broken.
    pub reason: String,
    /// The last lines of what happened before.
    pub trace: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.trace {
            writeln!(f, "{line}")?;
        }
        f.write_str(&self.reason)
    }
}

/// Runs what `start` gives; when that breaks an invariant, runs it a second time with a trace.
///
/// `start` is told whether the run is to keep a trace, which costs time and memory.
pub(crate) fn replayed<W, R>(
    start: impl Fn(bool) -> W,
    run: impl Fn(&mut W) -> R,
    trace: impl Fn(&W) -> Vec<String>,
) -> Result<R, Violation> {
    let mut first = start(false);
    if let Ok(report) = catch_unwind(AssertUnwindSafe(|| run(&mut first))) {
        return Ok(report);
    }
    let mut second = start(true);
    let broken = catch_unwind(AssertUnwindSafe(|| run(&mut second)));
    let reason = match broken {
        Ok(_) => {
            "an invariant was broken only once, so the run depends on more than its seed".into()
        },
        Err(reason) => text(&*reason),
    };
    Err(Violation { reason, trace: trace(&second) })
}

fn text(reason: &(dyn Any + Send)) -> String {
    let text = reason.downcast_ref::<String>().cloned();
    text.or_else(|| reason.downcast_ref::<&str>().map(|&text| text.to_owned())).unwrap_or_default()
}
