//! Review of a period: failures by cause, evictions and ended jobs, and the latency quantiles of
//! each service.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use super::{Body, Ending, Item, Outcome, Tally};
use crate::core::{Key, Verdict};

/// Largest number of causes in a review; the most frequent are listed.
const MAX_CAUSES: usize = 200;
/// Largest number of ended jobs in a review; those with the most evictions are listed.
const MAX_JOBS: usize = 200;
/// Service name under which declared jobs are counted.
const JOBS: &str = "jobs";
/// Shortest time that a point of a curve covers, in milliseconds.
const MIN_POINT_MS: u64 = 60_000;
/// Number of points of the curves over a long period, in which a point covers more than
/// `MIN_POINT_MS`.
const MAX_POINTS: u64 = 1_440;

/// Counts of a service and kind.
#[derive(Debug, Default)]
struct Row {
    tally: Tally,
    /// Number of requests whose outcome followed the caller's timeout.
    late: u64,
    /// Number of batch requests or jobs that ran to completion.
    finished: u64,
    /// Number of evictions of batch requests or jobs.
    evictions: u64,
}

/// Failed or late outcomes with a common cause.
#[derive(Debug, Default, Serialize)]
struct Cause {
    count: u64,
    /// Key of the last such outcome that was added, to be used with `explain`.
    example: String,
    /// Last step of that outcome.
    reason: String,
}

/// Answers of a service and kind in the time of one point of a curve.
#[derive(Debug, Default)]
struct Point {
    tally: Tally,
}

/// Aggregates items into a review.
#[derive(Debug)]
pub(crate) struct Report {
    /// Start of the period, in milliseconds since 1970.
    from: u64,
    /// End of the period (exclusive), in milliseconds since 1970.
    to: u64,
    /// Time that a point of a curve covers.
    point_ms: u64,
    /// Number of items that this instance is missing.
    missed: u64,
    /// Number of items removed with the oldest segments.
    removed: u64,
    /// Number of items that entries dropped in the period.
    dropped: u64,
    /// Number of items in the period.
    items: u64,
    rows: BTreeMap<(String, String), Row>,
    causes: BTreeMap<CauseKey, Cause>,
    /// Requests whose outcome was still unknown at the caller's timeout, with the cause under which
    /// they are counted.
    unresolved: BTreeMap<Key, CauseKey>,
    curves: BTreeMap<(String, u64), Point>,
    /// Number of evictions by service, kind and cause.
    evictions: BTreeMap<(String, String, String), u64>,
    /// Number of ended jobs by outcome.
    endings: BTreeMap<String, u64>,
    /// The ended jobs with the most evictions.
    jobs: Vec<Ending>,
}

/// Service, kind, code and verdict.
type CauseKey = (String, String, String, String);

impl Report {
    /// An empty review of the period from `from` to `to` (exclusive), in milliseconds since 1970.
    pub(crate) fn new(from: u64, to: u64, missed: u64, removed: u64) -> Self {
        Self {
            from,
            to,
            point_ms: (to.saturating_sub(from) / MAX_POINTS).max(MIN_POINT_MS),
            missed,
            removed,
            dropped: 0,
            items: 0,
            rows: BTreeMap::new(),
            causes: BTreeMap::new(),
            unresolved: BTreeMap::new(),
            curves: BTreeMap::new(),
            evictions: BTreeMap::new(),
            endings: BTreeMap::new(),
            jobs: Vec::new(),
        }
    }

    /// Adds an item if it is in the period.
    pub(crate) fn add(&mut self, item: Item) {
        if item.wall < self.from || item.wall >= self.to {
            return;
        }
        self.items += 1;
        match item.body {
            Body::Dropped { count } => self.dropped += count,
            Body::Ended(ending) => self.count_job(ending),
            Body::Evicted { kind, cause } => self.count_evictions(JOBS, kind.as_str(), cause, 1),
            Body::Outcome(outcome) => self.count_outcome(&outcome),
            Body::Summary { service, kind, summary } => {
                let names = (service.to_string(), kind.to_string());
                let point = (item.wall - self.from) / self.point_ms;
                let curve = self.curves.entry((format!("{service}/{kind}"), point)).or_default();
                curve.tally.merge(&summary);
                self.rows.entry(names).or_default().tally.merge(&summary);
            },
        }
    }

    /// Counts evictions of a service and kind; declared jobs have the service [`JOBS`].
    fn count_evictions(&mut self, service: &str, kind: &str, cause: String, count: u64) {
        let (service, kind) = (service.to_owned(), kind.to_owned());
        self.rows.entry((service.clone(), kind.clone())).or_default().evictions += count;
        *self.evictions.entry((service, kind, cause)).or_default() += count;
    }

    fn count_job(&mut self, ending: Ending) {
        let row = self.rows.entry((JOBS.to_owned(), ending.kind.to_string())).or_default();
        row.finished += u64::from(ending.outcome == "done");
        *self.endings.entry(ending.outcome.clone()).or_default() += 1;
        self.jobs.push(ending);
        // Bounds the memory, as a long period may have any number of jobs.
        if self.jobs.len() >= 2 * MAX_JOBS {
            self.jobs.sort_by_key(|ending| std::cmp::Reverse(ending.total_evictions()));
            self.jobs.truncate(MAX_JOBS);
        }
    }

    fn count_outcome(&mut self, outcome: &Outcome) {
        let course = &outcome.course;
        let names = (course.service.to_string(), course.kind.to_string());
        let row = self.rows.entry(names.clone()).or_default();
        // An outcome that was unknown at the caller's timeout is recorded again once it is final,
        // so its first count is undone.
        if let Some(cause) =
            self.unresolved.remove(&outcome.key).and_then(|r| self.causes.get_mut(&r))
        {
            cause.count -= 1;
            row.late = row.late.saturating_sub(1);
        }
        row.late += u64::from(course.late);
        let succeeded = course.verdict == Verdict::Ran && course.code.is_none();
        row.finished += u64::from(course.finished_batch());
        // An outcome that is still unknown is recorded again with the same evictions.
        if course.evictions > 0 && course.verdict != Verdict::MayHaveRun {
            let (service, kind) = (&names.0, &names.1);
            self.count_evictions(service, kind, "drain".to_owned(), u64::from(course.evictions));
        }
        if succeeded && !course.late {
            return;
        }
        let code = course.code.clone().unwrap_or_else(|| "late".to_owned());
        let verdict = course.verdict.to_string();
        let cause_key = (names.0, names.1, code, verdict);
        if course.late && course.verdict == Verdict::MayHaveRun {
            self.unresolved.insert(outcome.key.clone(), cause_key.clone());
        }
        let cause = self.causes.entry(cause_key).or_default();
        cause.count += 1;
        cause.example = outcome.key.to_string();
        cause.reason = outcome.events.last().map(|e| e.text.clone()).unwrap_or_default();
    }

    /// Renders the review as JSON.
    pub(crate) fn value(&self) -> Value {
        let mut jobs: Vec<&Ending> = self.jobs.iter().collect();
        jobs.sort_by_key(|ending| std::cmp::Reverse(ending.total_evictions()));
        jobs.truncate(MAX_JOBS);
        let evictions = self.evictions.iter().map(|((service, kind, cause), count)| {
            json!({ "service": service, "kind": kind, "cause": cause, "count": count })
        });
        let evictions: Vec<Value> = evictions.collect();
        let hours = (self.to.saturating_sub(self.from)) as f64 / 3_600_000.0;
        let services: Vec<Value> =
            self.rows.iter().map(|(names, row)| row_json(names, row, hours)).collect();
        let mut causes: Vec<_> = self.causes.iter().filter(|(_, c)| c.count > 0).collect();
        causes.sort_by_key(|(_, cause)| std::cmp::Reverse(cause.count));
        let causes: Vec<Value> = causes
            .into_iter()
            .take(MAX_CAUSES)
            .map(|((service, kind, code, verdict), cause)| {
                json!({
                    "service": service, "kind": kind, "code": code, "verdict": verdict,
                    "count": cause.count, "example": cause.example, "reason": cause.reason,
                })
            })
            .collect();
        let curves: Vec<Value> = self
            .curves
            .iter()
            .map(|((name, point), curve)| {
                json!({
                    "name": name,
                    "at_ms": self.from + point * self.point_ms,
                    "answers": curve.tally.len(),
                    "p50_us": curve.tally.quantile(0.5),
                    "p99_us": curve.tally.quantile(0.99),
                    "p999_us": curve.tally.quantile(0.999),
                })
            })
            .collect();
        json!({
            "from_ms": self.from,
            "to_ms": self.to,
            "items": self.items,
            "not_sent": self.dropped,
            "missed_by_this_instance": self.missed,
            "removed_for_size": self.removed,
            "services": services,
            "causes": causes,
            "curves": curves,
            "evictions": evictions,
            "jobs_ended": self.endings,
            "jobs": jobs,
        })
    }
}

fn row_json(names: &(String, String), row: &Row, hours: f64) -> Value {
    let per_hour = if hours > 0.0 { row.finished as f64 / hours } else { 0.0 };
    json!({
        "service": names.0,
        "kind": names.1,
        "answers": row.tally.len(),
        "results": row.tally.counts(),
        "late": row.late,
        "p50_us": row.tally.quantile(0.5),
        "p99_us": row.tally.quantile(0.99),
        "p999_us": row.tally.quantile(0.999),
        "max_us": row.tally.max(),
        "batch_finished": row.finished,
        "batch_per_hour": per_hour,
        "evictions": row.evictions,
    })
}
