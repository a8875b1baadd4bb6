//! What went wrong in a period, how often and why, with the tail latency of each service.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use super::{Body, Ending, Item, Outcome, Tally};
use crate::core::{Key, Verdict};

/// Causes that a review lists; the rarest are left out.
const CAUSES_SHOWN: usize = 200;
/// Ended jobs that a review lists, those with the most evictions first.
const JOBS_SHOWN: usize = 200;
/// Stands for the service in what is counted of declared jobs.
const JOBS: &str = "jobs";
/// Length of one point of the curves, in milliseconds.
const POINT_MS: u64 = 60_000;
/// Points of the curves; longer periods get longer points.
const POINTS: u64 = 1_440;

/// Outcomes of one service and kind.
#[derive(Debug, Default)]
struct Row {
    tally: Tally,
    late: u64,
    /// Batch work that ran to its end.
    finished: u64,
    /// Evictions of batch work.
    evictions: u64,
}

/// One reason for outcomes that went wrong.
#[derive(Debug, Default, Serialize)]
struct Cause {
    count: u64,
    /// Key of the newest such outcome, to be explained.
    example: String,
    /// Last step of that outcome.
    reason: String,
}

/// Answers of one service and kind during one point of a curve.
#[derive(Debug, Default)]
struct Point {
    tally: Tally,
}

/// Gathers a review.
#[derive(Debug)]
pub(crate) struct Report {
    from: u64,
    to: u64,
    point: u64,
    missed: u64,
    removed: u64,
    dropped: u64,
    items: u64,
    rows: BTreeMap<(String, String), Row>,
    causes: BTreeMap<Reason, Cause>,
    /// Requests counted while their outcome was open, with the reason they were counted under.
    open: BTreeMap<Key, Reason>,
    curves: BTreeMap<(String, u64), Point>,
    /// Evictions by service, kind and cause.
    evictions: BTreeMap<(String, String, String), u64>,
    /// Ended jobs by outcome.
    endings: BTreeMap<String, u64>,
    /// The ended jobs with the most evictions.
    jobs: Vec<Ending>,
}

/// Service, kind, code and verdict.
type Reason = (String, String, String, String);

impl Report {
    /// A review of the time from `from` to `to`, in milliseconds since 1970.
    pub(crate) fn new(from: u64, to: u64, missed: u64, removed: u64) -> Self {
        Self {
            from,
            to,
            point: (to.saturating_sub(from) / POINTS).max(POINT_MS),
            missed,
            removed,
            dropped: 0,
            items: 0,
            rows: BTreeMap::new(),
            causes: BTreeMap::new(),
            open: BTreeMap::new(),
            curves: BTreeMap::new(),
            evictions: BTreeMap::new(),
            endings: BTreeMap::new(),
            jobs: Vec::new(),
        }
    }

    /// Counts an item if it belongs to the period.
    pub(crate) fn add(&mut self, item: Item) {
        if item.wall < self.from || item.wall >= self.to {
            return;
        }
        self.items += 1;
        match item.body {
            Body::Dropped { count } => self.dropped += count,
            Body::Ended(ending) => self.ended(ending),
            Body::Evicted { kind, cause } => self.evicted(JOBS, kind.as_str(), cause, 1),
            Body::Outcome(outcome) => self.outcome(&outcome),
            Body::Summary { service, kind, summary } => {
                let names = (service.to_string(), kind.to_string());
                let point = (item.wall - self.from) / self.point;
                let curve = self.curves.entry((format!("{service}/{kind}"), point)).or_default();
                curve.tally.merge(&summary);
                self.rows.entry(names).or_default().tally.merge(&summary);
            },
        }
    }

    /// Counts evictions of a service's kind, or of a kind of declared jobs.
    fn evicted(&mut self, service: &str, kind: &str, cause: String, count: u64) {
        let (service, kind) = (service.to_owned(), kind.to_owned());
        self.rows.entry((service.clone(), kind.clone())).or_default().evictions += count;
        *self.evictions.entry((service, kind, cause)).or_default() += count;
    }

    fn ended(&mut self, ending: Ending) {
        let row = self.rows.entry((JOBS.to_owned(), ending.kind.to_string())).or_default();
        row.finished += u64::from(ending.outcome == "done");
        *self.endings.entry(ending.outcome.clone()).or_default() += 1;
        self.jobs.push(ending);
        // Long periods hold more jobs than memory should.
        if self.jobs.len() >= 2 * JOBS_SHOWN {
            self.jobs.sort_by_key(|ending| std::cmp::Reverse(ending.evicted()));
            self.jobs.truncate(JOBS_SHOWN);
        }
    }

    fn outcome(&mut self, outcome: &Outcome) {
        let course = &outcome.course;
        let names = (course.service.to_string(), course.kind.to_string());
        let row = self.rows.entry(names.clone()).or_default();
        // An outcome that was open at the caller's timeout comes again once it is final.
        if let Some(cause) = self.open.remove(&outcome.key).and_then(|r| self.causes.get_mut(&r)) {
            cause.count -= 1;
            row.late = row.late.saturating_sub(1);
        }
        row.late += u64::from(course.late);
        let whole = course.verdict == Verdict::Ran && course.code.is_none();
        row.finished += u64::from(course.finished_batch());
        // An outcome that is still open comes again with the same evictions.
        if course.evictions > 0 && course.verdict != Verdict::MayHaveRun {
            let (service, kind) = (&names.0, &names.1);
            self.evicted(service, kind, "drain".to_owned(), u64::from(course.evictions));
        }
        if whole && !course.late {
            return;
        }
        let code = course.code.clone().unwrap_or_else(|| "late".to_owned());
        let verdict = course.verdict.to_string();
        let reason = (names.0, names.1, code, verdict);
        if course.late && course.verdict == Verdict::MayHaveRun {
            self.open.insert(outcome.key.clone(), reason.clone());
        }
        let cause = self.causes.entry(reason).or_default();
        cause.count += 1;
        cause.example = outcome.key.to_string();
        cause.reason = outcome.events.last().map(|e| e.text.clone()).unwrap_or_default();
    }

    /// The review as JSON.
    pub(crate) fn value(&self) -> Value {
        let mut jobs: Vec<&Ending> = self.jobs.iter().collect();
        jobs.sort_by_key(|ending| std::cmp::Reverse(ending.evicted()));
        jobs.truncate(JOBS_SHOWN);
        let evictions = self.evictions.iter().map(|((service, kind, cause), count)| {
            json!({ "service": service, "kind": kind, "cause": cause, "count": count })
        });
        let evictions: Vec<Value> = evictions.collect();
        let hours = (self.to.saturating_sub(self.from)) as f64 / 3_600_000.0;
        let services: Vec<Value> =
            self.rows.iter().map(|(names, row)| shown(names, row, hours)).collect();
        let mut causes: Vec<_> = self.causes.iter().filter(|(_, c)| c.count > 0).collect();
        causes.sort_by_key(|(_, cause)| std::cmp::Reverse(cause.count));
        let causes: Vec<Value> = causes
            .into_iter()
            .take(CAUSES_SHOWN)
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
                    "at_ms": self.from + point * self.point,
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

fn shown(names: &(String, String), row: &Row, hours: f64) -> Value {
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
