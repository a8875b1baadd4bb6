//! Measures the work of a task while it is paced.

use crate::core::Span;

/// Smallest progress, in percentage points, from which the work of a whole task is extrapolated:
/// progress is reported as a whole number.
const MIN_POINTS: u8 = 25;

/// Work and progress of a run between its first and its newest listing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Worked {
    /// Time that the work would have taken at full speed.
    work: Span,
    first: Option<u8>,
    last: u8,
}

impl Worked {
    /// Records a listing: the progress, and the fraction of full speed since the one before.
    pub(crate) fn record(&mut self, percent: u8, speed: f64, elapsed: Span) {
        if self.first.is_none() {
            self.first = Some(percent);
        } else {
            let work = elapsed.as_micros() as f64 * speed.clamp(0.0, 1.0);
            self.work = self.work + Span::micros(work as u64);
        }
        self.last = percent;
    }

    /// Time that the whole task takes at full speed; `None` if too little of it was observed.
    pub(crate) fn whole(&self) -> Option<Span> {
        let points = self.last.saturating_sub(self.first?);
        (points >= MIN_POINTS).then(|| self.work.percent(10_000 / u64::from(points)))
    }
}
