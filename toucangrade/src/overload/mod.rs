//! Decisions for times in which more work arrives than can be done: which jobs are started so that
//! they end in time.

mod limit;
mod worked;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

pub(crate) use self::limit::{Backlog, HALF_SPEED, Pool, Usage, choose};
pub(crate) use self::worked::Worked;
use crate::core::{Moment, Span};

/// Shortest interval between two log lines about one service.
const LOG_EVERY: Span = Span::secs(2);

/// State of the decisions of one leader. All of it is computed anew from reports, so a new leader
/// starts without any.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Overload {
    pub(crate) enabled: bool,
    /// Filling work by service.
    #[serde(skip)]
    pools: BTreeMap<Arc<str>, Pool>,
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

    /// Smallest fraction of full speed at which a filling task of a job is started now.
    pub(crate) fn least_speed(&self, job: u64) -> f64 {
        self.least.get(&job).copied().unwrap_or(HALF_SPEED)
    }

    /// Lets a job start at any speed that is worth its memory, once all jobs have had their turn.
    pub(crate) fn relax(&mut self, job: u64) -> bool {
        let least = self.least.get_mut(&job);
        least.is_some_and(|least| std::mem::replace(least, HALF_SPEED) > HALF_SPEED)
    }

    /// Decides anew which filling jobs of each service are to end in time.
    pub(crate) fn decide(
        &mut self,
        now: Moment,
        usage: &BTreeMap<Arc<str>, Usage>,
        mut jobs: BTreeMap<Arc<str>, Vec<Backlog>>,
    ) {
        self.least.clear();
        let before = std::mem::take(&mut self.doomed);
        self.pools.retain(|service, _| jobs.contains_key(service));
        for (service, jobs) in &mut jobs {
            let pool = self.pools.entry(Arc::clone(service)).or_default();
            let short = jobs.iter().any(|job| job.waits_long() && !before.contains(&job.id));
            pool.observe(now, usage.get(service).copied().unwrap_or_default(), short);
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
