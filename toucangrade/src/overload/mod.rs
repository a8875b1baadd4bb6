//! Decisions for times in which more work arrives than can be done: which jobs are started so that
//! they end in time.

mod admission;
mod durations;
mod limit;
mod turns;
mod worked;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

pub(crate) use self::admission::VALUE_FACTOR;
use self::admission::{Demand, Forecast, Refused, forecast, retry_after};
pub(crate) use self::durations::TaskTime;
pub(crate) use self::limit::{Backlog, HALF_SPEED, Pool, Usage, choose};
use self::turns::Turns;
pub(crate) use self::worked::Worked;
use crate::core::{Moment, Span};

/// Shortest interval between two log lines about one service.
const LOG_EVERY: Span = Span::secs(2);

/// Time for which ends have to be seen before anything is refused.
const LEARN_FOR: Span = Span::secs(2);

/// Kind of work by what it takes from a runner.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Kind {
    Counted,
    Filling,
}

/// Refusal of a job.
#[derive(Debug, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: String,
    pub(crate) after: Span,
}

/// State of the decisions of one leader. All of it is computed anew from reports, so a new leader
/// starts without any.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Overload {
    pub(crate) enabled: bool,
    /// Work by service and kind.
    #[serde(skip)]
    pools: BTreeMap<(Arc<str>, Kind), Pool>,
    #[serde(skip)]
    turns: BTreeMap<(Arc<str>, Kind), Turns>,
    /// Jobs that have been passed over so often that they are the next ones to start.
    #[serde(skip)]
    next: BTreeSet<u64>,
    /// Accepted jobs that are not done, by service and kind.
    #[serde(skip)]
    accepted: BTreeMap<(Arc<str>, Kind), Vec<Backlog>>,
    /// Work that arrives, by service and kind.
    #[serde(skip)]
    demand: BTreeMap<(Arc<str>, Kind), Demand>,
    /// When the first task ended under this leader.
    #[serde(skip)]
    first_end: Option<Moment>,
    /// Whether the outcome of a proposal of this term is unknown.
    #[serde(skip)]
    pub(crate) unsure: bool,
    #[serde(skip)]
    refused: Refused,
    /// Smallest fraction of full speed at which tasks of a filling job are started.
    #[serde(skip)]
    least: BTreeMap<u64, f64>,
    /// Filling jobs that can't end in time any more, or not before those ahead of them.
    #[serde(skip)]
    doomed: BTreeSet<u64>,
    #[serde(skip)]
    logged: BTreeMap<Arc<str>, Moment>,
}

impl Overload {
    /// Whether a filling job is not expected to meet its objective.
    pub(crate) fn is_doomed(&self, job: u64) -> bool {
        self.doomed.contains(&job)
    }

    /// Whether a job was passed over so often that it keeps its turn although it is late.
    pub(crate) fn is_next(&self, job: u64) -> bool {
        self.next.contains(&job) && !self.is_doomed(job)
    }

    /// Turn of a job among those of its priority and lateness: started ones go on first, and among
    /// both those that were passed over too often.
    pub(crate) fn turn(&self, job: u64, started: bool) -> u8 {
        if !self.enabled {
            return 0;
        }
        2 * u8::from(!started) + u8::from(!self.next.contains(&job))
    }

    /// Smallest fraction of full speed at which a filling task of a job is started now.
    pub(crate) fn least_speed(&self, job: u64) -> f64 {
        self.least.get(&job).copied().unwrap_or(HALF_SPEED)
    }

    /// Lets a job start at any speed that is worth its memory, once all jobs have had their turn.
    pub(crate) fn relax(&mut self, job: u64) -> bool {
        let least = self.least.get_mut(&job);
        least.is_some_and(|least| std::mem::replace(least, HALF_SPEED) > HALF_SPEED)
    }

    /// Takes over the accepted jobs, and decides anew which filling ones are to end in time.
    pub(crate) fn decide(
        &mut self,
        now: Moment,
        usage: &BTreeMap<(Arc<str>, Kind), Usage>,
        mut jobs: BTreeMap<(Arc<str>, Kind), Vec<Backlog>>,
    ) {
        self.least.clear();
        let before = std::mem::take(&mut self.doomed);
        self.next.clear();
        self.pools.retain(|pool, _| jobs.contains_key(pool));
        self.turns.retain(|pool, _| jobs.contains_key(pool));
        for (name, jobs) in &mut jobs {
            let (service, kind) = name;
            self.turns.entry(name.clone()).or_default().update(jobs);
            self.next.extend(jobs.iter().filter(|job| job.next).map(|job| job.id));
            let pool = self.pools.entry(name.clone()).or_default();
            let short = jobs.iter().any(|job| job.waits_long() && !before.contains(&job.id));
            pool.observe(now, usage.get(name).copied().unwrap_or_default(), short);
            if *kind == Kind::Counted {
                continue;
            }
            let chosen = choose(jobs, pool.rate(now), pool.speed());
            for turn in &chosen {
                self.least.insert(turn.id, turn.least);
                if !turn.timely {
                    self.doomed.insert(turn.id);
                }
            }
            let doomed = chosen.iter().filter(|turn| !turn.timely).count();
            let last = self.logged.get(service).copied().unwrap_or(Moment::START);
            if doomed > 0 && now.since(last) >= LOG_EVERY {
                self.logged.insert(Arc::clone(service), now);
                tracing::info!(
                    service = &**service,
                    jobs = jobs.len(),
                    doomed,
                    started = jobs.iter().filter(|job| job.started).count(),
                    rate = pool.rate(now),
                    speed = pool.speed(),
                    "filling jobs are not expected to end in time"
                );
            }
        }
        self.accepted = jobs;
    }

    /// Records that a task has ended.
    pub(crate) fn record_end(&mut self, now: Moment) {
        self.first_end.get_or_insert(now);
    }

    /// Refusal of a job that was refused before, until its caller may come back: a copy of that
    /// submission may still be under way, and must not run.
    pub(crate) fn refuse_again(&self, now: Moment, job: u64) -> Option<Refusal> {
        let after = self.refused.find(now, job).filter(|after| *after > Span::ZERO)?;
        Some(Refusal { reason: "refused before, retry later".to_owned(), after })
    }

    /// Decides whether a job that is submitted now is refused. `floor` are the millicores that tasks
    /// of its kind can use in any case.
    pub(crate) fn admit(
        &mut self,
        now: Moment,
        name: &(Arc<str>, Kind),
        job: Backlog,
        floor: f64,
    ) -> Option<Refusal> {
        let returning = self.refused.find(now, job.id);
        let learned = self.first_end.is_some_and(|first| now.since(first) >= LEARN_FOR);
        let pool = self.pools.get(name).filter(|_| learned);
        let rate = pool.and_then(|pool| pool.rate(now)).map(|rate| rate.max(floor));
        let accepted = self.accepted.entry(name.clone()).or_default();
        let demand = self.demand.entry(name.clone()).or_default().record(now, job.work);
        let limit = VALUE_FACTOR * job.objective;
        let forecast = rate.map(|rate| (rate, forecast(&job, accepted, rate, demand)));
        let Some((rate, Forecast { end, ahead })) = forecast.filter(|(_, f)| f.end > limit) else {
            self.refused.remove(job.id);
            accepted.push(job);
            return None;
        };
        let after = retry_after(job.id, end - limit, returning.is_some());
        let id = job.id;
        self.refused.insert(now, id, after);
        if let Some(refusals) = self.refused.due(now) {
            tracing::info!(
                service = &*name.0,
                job = format_args!("{id:016x}"),
                forecast_ms = end as u64,
                objective_ms = job.objective as u64,
                ahead_core_seconds = (ahead / 1e6) as u64,
                rate_millicores = rate as u64,
                demand_millicores = demand as u64,
                after_ms = after.as_millis(),
                refusals,
                remembered = self.refused.len(),
                "job refused, it would end without value"
            );
        }
        let reason = format!(
            "the job would end after {} ms, its objective is {} ms",
            end as u64, job.objective as u64
        );
        Some(Refusal { reason, after })
    }

    /// Refuses a lasting job for which no runner has capacity.
    pub(crate) fn refuse_lasting(&mut self, now: Moment, job: u64) -> Refusal {
        let after = retry_after(job, 0.0, self.refused.find(now, job).is_some());
        self.refused.insert(now, job, after);
        if let Some(refusals) = self.refused.due(now) {
            let job = format_args!("{job:016x}");
            tracing::info!(job, refusals, "lasting job refused, no runner has capacity for it");
        }
        Refusal { reason: "no runner has capacity for a task of the job".to_owned(), after }
    }

    /// Number of filling jobs that are not expected to meet their objective.
    pub(crate) fn doomed(&self) -> u64 {
        self.doomed.len() as u64
    }

    /// Forgets what was learned from reports, since another instance decides from now on.
    pub(crate) fn clear(&mut self) {
        *self = Self { enabled: self.enabled, ..Self::default() };
    }
}
