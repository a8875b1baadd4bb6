//! Runner of randomised tests: a run that violates an invariant is repeated with a trace.

use std::any::Any;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Violation of an invariant in a randomised run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Panic message of the violated invariant.
    pub reason: String,
    /// Last events before the violation.
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

/// Runs the world that `start` creates. If the run panics, repeats it with tracing and returns the
/// violation.
///
/// The argument of `start` enables tracing, which costs time and memory.
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
    let result = catch_unwind(AssertUnwindSafe(|| run(&mut second)));
    let reason = match result {
        Ok(_) => {
            "an invariant was violated only once, so the run is not determined by its seed".into()
        },
        Err(reason) => panic_text(&*reason),
    };
    Err(Violation { reason, trace: trace(&second) })
}

fn panic_text(reason: &(dyn Any + Send)) -> String {
    let text = reason.downcast_ref::<String>().cloned();
    text.or_else(|| reason.downcast_ref::<&str>().map(|&text| text.to_owned())).unwrap_or_default()
}
