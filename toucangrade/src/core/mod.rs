//! Types that every slice shares: names, time, verdicts, rings and duty threads.

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

/// Stops the process when a property that must always hold is broken.
///
/// The duty thread that runs the broken step logs its whole state before the process ends, see
/// [`Duty::spawn`].
macro_rules! invariant {
    ($cond:expr, $($arg:tt)+) => {
        if !$cond {
            panic!("invariant broken: {}", format_args!($($arg)+));
        }
    };
}

pub(crate) use invariant;
