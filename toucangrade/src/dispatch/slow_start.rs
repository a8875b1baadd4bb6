//! Slow start of runners that are cold or whose data centre was restored. They get a few starts at first
//! and twice as many each second, so that the work that waits doesn't go there all at once (thundering
//! herd), and cold ones rank as slower.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::Dispatch;
use super::fleet::Worker;
use super::message::Effect;
use super::place::Candidate;
use crate::core::{Moment, Span};
use crate::jobs::Incarnation;

/// Starts in the first step. A task that lasts has to run within 3 s where there is room, so the first
/// step is not one or none.
const FIRST_STARTS: u32 = 4;
/// Length of a step; each has twice the starts of the one before.
const STEP: Span = Span::secs(1);
/// Number of steps, the last with 64 starts. After that there is no limit.
const STEPS: u32 = 5;
/// Time that a cold runner takes for a task, relative to a warm one, in percent.
const COLD_PERCENT: u64 = 150;

/// Why a runner starts slowly.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cause {
    /// It has announced that it is cold.
    Cold,
    /// Its data centre was restored.
    Restored,
}

/// Runners that start slowly. Lost with the leader; the next one knows of cold runners by their
/// announcements.
#[derive(Debug, Default, Serialize)]
pub(super) struct SlowStart {
    /// When each runner began to start slowly.
    #[serde(skip)]
    since: BTreeMap<Incarnation, Moment>,
    /// Last value of the gauge.
    gauge: u64,
}

impl SlowStart {
    /// Starts a runner slowly from now on, unless it does already.
    pub(super) fn begin(&mut self, now: Moment, incarnation: &Incarnation) -> bool {
        self.expire(now);
        let known = self.since.contains_key(incarnation);
        self.since.entry(incarnation.clone()).or_insert(now);
        !known
    }

    fn expire(&mut self, now: Moment) {
        self.since.retain(|_, since| steps_since(*since, now) < STEPS);
    }

    /// Beginning of the present step of a runner and the starts allowed in it; `None` without a
    /// limit.
    fn step(&self, now: Moment, incarnation: &Incarnation) -> Option<(Moment, u32)> {
        let since = *self.since.get(incarnation)?;
        let at = steps_since(since, now);
        let began = since + Span::micros(STEP.as_micros() * u64::from(at));
        (at < STEPS).then_some((began, FIRST_STARTS << at))
    }
}

fn steps_since(since: Moment, now: Moment) -> u32 {
    let steps = now.since(since).as_micros() / STEP.as_micros();
    u32::try_from(steps).unwrap_or(u32::MAX)
}

impl Dispatch {
    /// Starts runners slowly.
    pub(super) fn start_slowly(
        &mut self,
        now: Moment,
        incarnations: &BTreeSet<Incarnation>,
        cause: Cause,
    ) {
        let begun = |incarnation: &&Incarnation| self.slow_start.begin(now, incarnation);
        let begun: Vec<&str> =
            incarnations.iter().filter(begun).map(|i| i.runner.as_str()).collect();
        if let Some(first) = begun.first() {
            tracing::info!(runners = begun.len(), first, ?cause, "runners start slowly");
        }
    }

    /// Starts a runner slowly when a report shows for the first time that it is cold.
    pub(super) fn note_cold(&mut self, now: Moment, incarnation: &Incarnation, cold: Span) {
        let known = self.fleet.agent(incarnation).and_then(|agent| self.fleet.workers.get(agent));
        if cold > Span::ZERO && !known.is_some_and(Worker::is_cold) {
            self.start_slowly(now, &BTreeSet::from([incarnation.clone()]), Cause::Cold);
        }
    }

    /// Limits the starts at a candidate in a slow start, and ranks it behind warm ones; a cold one counts
    /// as slower.
    pub(super) fn limit_starts(&self, now: Moment, worker: &Worker, candidate: &mut Candidate) {
        let step = self.slow_start.step(now, &candidate.incarnation);
        candidate.warm = !worker.is_cold() && step.is_none();
        if worker.is_cold() {
            candidate.slowness = candidate.slowness.saturating_mul(COLD_PERCENT) / 100;
        }
        candidate.starts = step.map(|(began, allowed)| {
            let lease = self.fleet.leases.get(&candidate.incarnation);
            let runs = lease.into_iter().flat_map(|lease| lease.runs.values());
            let recent = runs.filter(|run| run.since >= began).count();
            allowed.saturating_sub(u32::try_from(recent).unwrap_or(u32::MAX))
        });
    }

    /// Periodically forgets the runners that are through, and updates the gauge.
    pub(super) fn report_slow_starts(&mut self, now: Moment) {
        self.slow_start.expire(now);
        let count = self.slow_start.since.len() as u64;
        if std::mem::replace(&mut self.slow_start.gauge, count) != count {
            self.out.push(Effect::Gauge { name: "runners_starting_slowly", value: count });
        }
    }

    /// Forgets all, since another instance decides from now on.
    pub(super) fn clear_slow_starts(&mut self) {
        self.slow_start.since.clear();
        self.report_slow_starts(Moment::START);
    }
}
