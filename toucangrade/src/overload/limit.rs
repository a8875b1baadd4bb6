//! Concurrency limit of filling work: which jobs may start their tasks, and at which speed, so that
//! those that are started end in time.
//!
//! It answers bursts of heavy jobs. Without it all of them are started as soon as there is memory,
//! share the cores that are left unused, and end late together.

use std::cmp::Ordering;

use super::admission::VALUE_FACTOR;
use crate::core::{Moment, Span};

/// Fraction of full speed from which on a filling task is worth its memory.
pub(crate) const HALF_SPEED: f64 = 0.5;
/// Largest fraction of full speed that is asked for. Estimates are not exact, so that more would
/// leave cores idle.
const MOST_SPEED: f64 = 0.9;
/// Time after which a job that has not started shows that its service has no room: several rounds
/// of placement.
const SHORT_AFTER: Span = Span::millis(500);
/// Time for which there has to be no room before the rate of the running tasks counts as what the
/// service can do, and time for which there has to be room before it no longer does. Figures are
/// averages over half a second.
const SHORT_FOR: Span = Span::secs(1);
/// Time constant of the mean rate.
const RATE_MEAN: Span = Span::secs(2);
/// Fewest runs whose mean speed says something about a further one.
const RUNS_LIMIT: u32 = 8;

/// Runs of a service that are in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Millicores that all of them use, and those that just started at least.
    pub(crate) used: u64,
    /// Filling runs of jobs that are to end in time, of those that have run for so long that their
    /// figures are their own: their number, and the millicores that they use and ask for.
    pub(crate) runs: u32,
    pub(crate) timely: u64,
    pub(crate) asked: u64,
}

/// What is known of the work of one kind on a service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Mean of the millicores in use.
    mean: f64,
    observed: Option<Moment>,
    /// First and last time at which there was no room.
    short: Option<(Moment, Moment)>,
    usage: Usage,
}

impl Pool {
    /// Records what runs now, and whether a job waits long for its start.
    pub(crate) fn observe(&mut self, now: Moment, usage: Usage, short: bool) {
        let used = usage.used as f64;
        let elapsed = self.observed.map_or(RATE_MEAN, |observed| now.since(observed));
        let weight = elapsed.as_micros() as f64 / RATE_MEAN.as_micros() as f64;
        self.mean += (used - self.mean) * weight.min(1.0);
        (self.usage, self.observed) = (usage, Some(now));
        let over = |(_, last): &(Moment, Moment)| now.since(*last) >= SHORT_FOR;
        self.short = match self.short.filter(|short| !over(short)) {
            Some((first, _)) if short => Some((first, now)),
            None if short => Some((now, now)),
            same => same,
        };
    }

    /// Millicores that all tasks can use together; `None` while there is room for more.
    pub(crate) fn rate(&self, now: Moment) -> Option<f64> {
        let (first, _) = self.short?;
        let known = now.since(first) >= SHORT_FOR && self.usage.used > 0;
        known.then(|| self.mean.max(self.usage.used as f64))
    }

    /// Fraction of full speed at which the tasks of jobs that are to end in time really work.
    pub(crate) fn speed(&self) -> f64 {
        if self.usage.runs < RUNS_LIMIT {
            return 1.0;
        }
        (self.usage.timely as f64 / self.usage.asked.max(1) as f64).clamp(HALF_SPEED, 1.0)
    }
}

/// What is left of a job.
#[derive(Clone, Debug)]
pub(crate) struct Backlog {
    pub(crate) id: u64,
    pub(crate) priority: u32,
    /// Time in ms after its acceptance at which it is to be done.
    pub(crate) objective: f64,
    /// Whether a run of it has been assigned.
    pub(crate) started: bool,
    /// Whether it has been passed over so often that it is the next one to start.
    pub(crate) next: bool,
    /// Millicores of all its tasks.
    pub(crate) size: u64,
    /// Millicores times milliseconds that its open tasks need.
    pub(crate) work: f64,
    /// Time in ms that its longest chain of open steps takes at full speed.
    pub(crate) chain: f64,
    /// Time in ms until its objective; negative if it is missed.
    pub(crate) left: f64,
    /// Time since its acceptance.
    pub(crate) age: Span,
}

impl Backlog {
    /// Whether it has waited for its start for so long that there is no room for it.
    pub(crate) fn waits_long(&self) -> bool {
        !self.started && self.age >= SHORT_AFTER
    }

    /// Time in ms until it has no value any more.
    pub(crate) fn value_left(&self) -> f64 {
        self.left + (VALUE_FACTOR - 1.0) * self.objective
    }
}

/// Decision about a filling job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Turn {
    pub(crate) id: u64,
    /// Whether it is to end in time. Others use what is left.
    pub(crate) timely: bool,
    /// Smallest estimated fraction of full speed at which its tasks are started.
    pub(crate) least: f64,
}

/// Chooses the jobs that are to end in time, and sorts the jobs into the order in which they are
/// served. `rate` is the number of millicores that they can use together, if known; `speed` the
/// fraction of full speed at which tasks really work.
///
/// Started jobs come first, then those that were passed over too often, then those with the least
/// work left. A job that would not end in time
/// behind those chosen before it is not chosen, so that the ones after it, which have more time
/// left, can be.
pub(crate) fn choose(jobs: &mut [Backlog], rate: Option<f64>, speed: f64) -> Vec<Turn> {
    jobs.sort_by(|a, b| {
        let turn = b.started.cmp(&a.started).then(b.next.cmp(&a.next));
        let work = if a.next { Ordering::Equal } else { a.work.total_cmp(&b.work) };
        turn.then(work).then(b.age.cmp(&a.age)).then(a.id.cmp(&b.id))
    });
    let mut ahead = 0.0;
    let turns = jobs.iter().map(|job| {
        // A started job is given up only once even full speed would not do, since its work would be
        // lost; one whose turn it is
        // keeps it while it has value.
        let timely = if job.next {
            job.chain <= job.value_left()
        } else if job.started {
            job.chain <= job.left
        } else {
            let served = rate.is_none_or(|rate| (ahead + job.work) / rate <= job.left);
            served && job.chain / speed <= job.left
        };
        if timely {
            ahead += job.work;
        }
        let needed = if timely { job.chain / job.left.max(1.0) } else { HALF_SPEED };
        let least = (needed / speed).clamp(HALF_SPEED, MOST_SPEED);
        Turn { id: job.id, timely, least }
    });
    turns.collect()
}
