//! Forecast of the own load of a task with a latency target.

use crate::core::{Moment, Span};

/// Time by which the load is forecast. The effect of a share shows up to a second after the figures
/// that decided it, but the full second held filling tasks back for more than it saved.
const LEAD_SECONDS: f64 = 0.3;
/// Samples from which on the slope is used.
const MIN_SAMPLES: u32 = 4;
/// Weights of a new sample for the level and for the slope.
const LEVEL_WEIGHT: f64 = 0.6;
const SLOPE_WEIGHT: f64 = 0.2;
/// Largest forecast rise. Loads swing by half of their mean within 14 s, which is 0.1 a second.
const MAX_RISE: f64 = 0.15;
/// Shortest time between two samples, and the time after which the course is not followed further.
const SAMPLE_EVERY: Span = Span::millis(300);
const GAP_LIMIT: Span = Span::millis(2_000);

/// Level and slope of a load (double exponential smoothing).
#[derive(Clone, Copy, Debug)]
pub(super) struct Trend {
    at: Moment,
    level: f64,
    /// Change per second.
    slope: f64,
    samples: u32,
}

impl Trend {
    pub(super) fn new(now: Moment, load: f64) -> Self {
        Self { at: now, level: load, slope: 0.0, samples: 1 }
    }

    /// Takes in a sample.
    pub(super) fn follow(&mut self, now: Moment, load: f64) {
        let gap = now.since(self.at);
        if gap > GAP_LIMIT {
            *self = Self::new(now, load);
        } else if gap >= SAMPLE_EVERY {
            let seconds = gap.as_micros() as f64 / 1e6;
            let expected = self.level + self.slope * seconds;
            let error = load - expected;
            self.level = expected + LEVEL_WEIGHT * error;
            self.slope += SLOPE_WEIGHT * error / seconds;
            self.at = now;
            self.samples += 1;
        }
    }

    /// The rise that is to be expected, 0 if the load falls or too little is known.
    pub(super) fn rise(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        (self.slope * LEAD_SECONDS).clamp(0.0, MAX_RISE)
    }
}
