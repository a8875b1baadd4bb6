//! Admission: which jobs are refused since they would end without value, and when their callers may
//! come back.
//!
//! It answers long overload and callers that return together after an outage. Without it jobs that
//! can't be served any more are accepted, and their callers learn of it only when they give up.

use std::collections::BTreeMap;

use super::limit::Backlog;
use crate::core::{Moment, Span};

/// Multiple of its objective at which a job loses all its value.
pub(crate) const VALUE_FACTOR: f64 = 3.0;
/// Shortest and longest time after which a refused caller may come back. The forecast doesn't reach
/// farther than about three objectives.
const SHORTEST: Span = Span::secs(1);
const LONGEST: Span = Span::secs(30);
/// Least part of the rate that late jobs get, since room is left between the others.
const LEAST_SPARE: f64 = 0.1;
/// Time constant of the mean demand, about the objective of a heavy job: a shorter burst is a
/// backlog that will be worked off.
const DEMAND_MEAN: Span = Span::secs(10);
/// Most refused ids that are remembered, and for how long.
const REFUSED_LIMIT: usize = 4_096;
const REFUSED_FOR: Span = Span::secs(30);
/// Time between two log lines about refusals.
const LOG_EVERY: Span = Span::secs(1);

/// Forecast of the end of a job that was accepted now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Forecast {
    /// Time in ms until its end.
    pub(crate) end: f64,
    /// Millicores times milliseconds that are served before it.
    pub(crate) ahead: f64,
}

/// Forecasts the end of `job` behind `accepted` jobs that share `rate` millicores.
///
/// Those of higher priority are served first, then the ones that can end in time. If the job would
/// miss its objective behind these, it shares what is left beside them with the others that are
/// late, as long as these have value. Jobs that arrive later are served before it then, so what is
/// left is the rate less `demand`, the millicores that arriving jobs ask for.
pub(crate) fn forecast(job: &Backlog, accepted: &[Backlog], rate: f64, demand: f64) -> Forecast {
    let mut order: Vec<&Backlog> = accepted.iter().filter(|a| a.priority <= job.priority).collect();
    order.sort_by(|a, b| {
        let turn = a.priority.cmp(&b.priority).then(b.started.cmp(&a.started));
        turn.then(b.age.cmp(&a.age)).then(a.id.cmp(&b.id))
    });
    let (mut ahead, mut others) = (0.0, Vec::new());
    for other in order {
        if other.priority < job.priority || (ahead + other.work) / rate <= other.left {
            ahead += other.work;
        } else {
            others.push(other);
        }
    }
    let end = ((ahead + job.work) / rate).max(job.chain);
    if end <= job.objective {
        return Forecast { end, ahead };
    }
    let spare = (rate - demand).max(rate * LEAST_SPARE);
    let (turn, mut late) = (ahead / rate, 0.0);
    for other in others {
        if turn + (late + other.work) / spare <= other.value_left() {
            late += other.work;
        }
    }
    Forecast { end: (turn + (late + job.work) / spare).max(job.chain), ahead: ahead + late }
}

/// Mean of the work that arrives.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Millicores.
    mean: f64,
    observed: Moment,
}

impl Demand {
    /// Records a job that is submitted and returns the mean.
    pub(crate) fn record(&mut self, now: Moment, work: f64) -> f64 {
        let window = DEMAND_MEAN.as_micros() as f64 / 1_000.0;
        let elapsed = now.since(self.observed).as_micros() as f64 / 1_000.0;
        self.mean = self.mean * (-elapsed / window).exp() + work / window;
        self.observed = now;
        self.mean
    }
}

/// Time after which a refused caller may come back: when the backlog will have shrunk so far that
/// the job would end with value. The jitter by its id keeps callers from returning together; one
/// that has come back before waits half as long.
pub(crate) fn retry_after(job: u64, excess: f64, returning: bool) -> Span {
    // The upper bits of the product depend on all bits of the id.
    let jitter = (job.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48) as f64 / 65_536.0;
    let wait = excess.max(0.0) * if returning { 0.5 } else { 1.0 };
    let wait = Span::millis((wait.max(SHORTEST.as_millis() as f64) * (1.0 + 0.5 * jitter)) as u64);
    wait.min(LONGEST)
}

/// Ids that were refused lately.
#[derive(Debug, Default)]
pub(crate) struct Refused {
    /// When an id was refused, and until when its caller was asked to wait.
    ids: BTreeMap<u64, (Moment, Moment)>,
    logged: Option<Moment>,
    /// Number of refusals since the last log line.
    since_logged: u64,
}

impl Refused {
    /// Whether an id was refused lately, and the time until its caller may come back, which may be
    /// over.
    pub(crate) fn find(&self, now: Moment, job: u64) -> Option<Span> {
        let (at, until) = self.ids.get(&job)?;
        (now.since(*at) < REFUSED_FOR).then(|| until.since(now))
    }

    pub(crate) fn insert(&mut self, now: Moment, job: u64, after: Span) {
        if self.ids.len() >= REFUSED_LIMIT {
            self.ids.retain(|_, (at, _)| now.since(*at) < REFUSED_FOR);
        }
        if self.ids.len() >= REFUSED_LIMIT {
            let oldest = self.ids.iter().min_by_key(|(_, (at, _))| *at).map(|(id, _)| *id);
            oldest.map(|id| self.ids.remove(&id));
        }
        self.ids.insert(job, (now, now + after));
        self.since_logged += 1;
    }

    pub(crate) fn remove(&mut self, job: u64) {
        self.ids.remove(&job);
    }

    /// Number of refusals to report if a log line is due.
    pub(crate) fn due(&mut self, now: Moment) -> Option<u64> {
        if self.logged.is_some_and(|logged| now.since(logged) < LOG_EVERY) {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.since_logged))
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }
}
