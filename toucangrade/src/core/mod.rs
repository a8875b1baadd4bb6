//! Types shared by all modules: names, time, verdicts, and the threads and queues of duties.

mod duty;
mod names;
mod replay;
mod ring;
mod time;
mod verdict;

#[cfg(test)]
mod tests;

pub(crate) use self::duty::{Duty, Handle};
pub(crate) use self::names::Checkpoint;
pub use self::names::{BadName, Key, Name};
pub use self::replay::Violation;
pub(crate) use self::replay::replayed;
pub(crate) use self::ring::{Received, Ring};
pub use self::time::{Clock, Moment, Span};
pub use self::verdict::{Answer, Class, Refusal, Verdict};

/// Panics if the condition, an invariant, does not hold.
///
/// A duty thread catches the panic, logs its whole state and exits the process, see
/// [`Duty::spawn`].
macro_rules! invariant {
    ($cond:expr, $($arg:tt)+) => {
        if !$cond {
            panic!("invariant broken: {}", format_args!($($arg)+));
        }
    };
}

pub(crate) use invariant;
