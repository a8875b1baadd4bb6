//! Monotonic time. Step functions get the current time as an argument, so that tests can control
//! it.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Duration in whole microseconds; arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Span(u64);

impl Span {
    /// A span of zero length.
    pub const ZERO: Self = Self(0);

    /// A span of `n` microseconds.
    pub const fn micros(n: u64) -> Self {
        Self(n)
    }

    /// A span of `n` milliseconds.
    pub const fn millis(n: u64) -> Self {
        Self(n.saturating_mul(1_000))
    }

    /// A span of `n` seconds.
    pub const fn secs(n: u64) -> Self {
        Self(n.saturating_mul(1_000_000))
    }

    /// The span in whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// `percent` percent of the span.
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// The span as a standard duration.
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Point in monotonic time: microseconds since the process started.
///
/// Moments of different processes can't be compared, so messages between them contain spans.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Moment(u64);

impl Moment {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// The moment `n` microseconds after the start.
    pub const fn micros(n: u64) -> Self {
        Self(n)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, or zero if `earlier` is later than this moment.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

/// Source of monotonic time.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Moment + Send + Sync>,
}

impl Clock {
    /// The system's monotonic clock, starting at zero now.
    pub fn system() -> Self {
        let start = Instant::now();
        let read = move || Moment(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
        Self { read: Arc::new(read) }
    }

    /// The system's clock that also advances while the instance is suspended (`CLOCK_BOOTTIME`),
    /// starting at zero now.
    ///
    /// Required for leases: the monotonic clock stops during a suspension, so a deposed leader that
    /// resumes would consider its expired lease valid.
    pub fn suspend_aware() -> Self {
        let read = || {
            let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
            let micros = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
            u64::try_from(micros).unwrap_or(0)
        };
        let start = read();
        Self { read: Arc::new(move || Moment(read().saturating_sub(start))) }
    }

    /// A clock that reads the time from `read`.
    pub fn from_fn(read: impl Fn() -> Moment + Send + Sync + 'static) -> Self {
        Self { read: Arc::new(read) }
    }

    /// Current time.
    pub fn now(&self) -> Moment {
        (self.read)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now", &self.now()).finish()
    }
}
