//! Specifications of resources: parsing, validation and conversion to the planner's types.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::core::{Class, Name, Span};
use crate::placement::{self, Objective, Quota, Size};

/// Allowed timeout of a kind in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Allowed limits on the running or queued requests of a kind at one entry.
const REQUESTS: RangeInclusive<u64> = 1..=100_000;
/// Allowed number of kinds of a service.
const KINDS: RangeInclusive<u64> = 1..=64;
/// Allowed CPU request of a task in thousandths of a core.
const MILLICORES: RangeInclusive<u64> = 1..=1_024_000;
/// Allowed memory request of a task in megabytes.
const MEMORY_MB: RangeInclusive<u64> = 1..=16_000_000;
/// Allowed number of accelerators of a task.
const ACCELERATORS: RangeInclusive<u64> = 0..=64;
/// Allowed number of tasks of a gang.
const TASKS: RangeInclusive<u64> = 1..=1_000;
/// Allowed priorities; larger values are placed first.
const PRIORITY: RangeInclusive<u64> = 0..=100;
/// Allowed weights in fair sharing.
const WEIGHT: RangeInclusive<u64> = 1..=1_000;
/// Allowed CPU limit of all running jobs of a team in thousandths of a core.
const TEAM_MILLICORES: RangeInclusive<u64> = 1..=1_000_000_000;
/// Allowed memory limit of all running jobs of a team in megabytes.
const TEAM_MEMORY_MB: RangeInclusive<u64> = 1..=16_000_000_000;
/// Allowed limit on the accelerators of all running jobs of a team.
const TEAM_ACCELERATORS: RangeInclusive<u64> = 0..=100_000;
/// Allowed rate of a quota in requests per second; also the allowed burst in requests.
const RATE: RangeInclusive<u64> = 1..=1_000_000;

/// Type of a resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Collection {
    Jobs,
    Quotas,
    Services,
    Watches,
}

impl FromStr for Collection {
    type Err = Invalid;

    fn from_str(value: &str) -> Result<Self, Invalid> {
        match value {
            "jobs" => Ok(Self::Jobs),
            "quotas" => Ok(Self::Quotas),
            "services" => Ok(Self::Services),
            "watches" => Ok(Self::Watches),
            _ => Err(Invalid::new("collection", value, "jobs, quotas, services or watches")),
        }
    }
}

impl fmt::Display for Collection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Jobs => "jobs",
            Self::Quotas => "quotas",
            Self::Services => "services",
            Self::Watches => "watches",
        })
    }
}

/// A field of a resource whose value is not allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{field} is {value}, allowed is {allowed}")]
pub(crate) struct Invalid {
    pub(crate) field: String,
    pub(crate) value: String,
    pub(crate) allowed: String,
}

impl Invalid {
    fn new(field: &str, value: impl fmt::Display, allowed: impl fmt::Display) -> Self {
        let (value, allowed) = (value.to_string(), allowed.to_string());
        Self { field: field.to_owned(), value, allowed }
    }
}

/// Checks that a number is in its allowed range.
fn check_range(field: &str, value: u64, range: &RangeInclusive<u64>) -> Result<(), Invalid> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(Invalid::new(field, value, format!("{} to {}", range.start(), range.end())))
}

/// Specification of a resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Spec {
    Job(JobSpec),
    Quota(QuotaSpec),
    Service(ServiceSpec),
    Watch(WatchSpec),
}

impl Spec {
    /// Parses and validates the JSON body of a resource.
    ///
    /// # Errors
    ///
    /// [`Invalid`] with the field, its value and the allowed values.
    pub(crate) fn parse(collection: Collection, body: &[u8]) -> Result<Self, Invalid> {
        let invalid_body = |error: serde_json::Error| {
            Invalid::new("body", error, "a JSON object with the documented fields")
        };
        let spec = match collection {
            Collection::Jobs => Self::Job(serde_json::from_slice(body).map_err(invalid_body)?),
            Collection::Quotas => {
                let value: Value = serde_json::from_slice(body).map_err(invalid_body)?;
                check_objective(&value)?;
                Self::Quota(serde_json::from_value(value).map_err(invalid_body)?)
            },
            Collection::Services => {
                Self::Service(serde_json::from_slice(body).map_err(invalid_body)?)
            },
            Collection::Watches => Self::Watch(serde_json::from_slice(body).map_err(invalid_body)?),
        };
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), Invalid> {
        match self {
            Self::Job(job) => job.check(),
            Self::Quota(quota) => quota.check(),
            Self::Service(service) => service.check(),
            Self::Watch(watch) => watch.check(),
        }
    }

    /// JSON body of the resource, in the format that operators write, with defaults filled in.
    pub(crate) fn body(&self) -> Value {
        let body = match self {
            Self::Job(job) => serde_json::to_value(job),
            Self::Quota(quota) => serde_json::to_value(quota),
            Self::Service(service) => serde_json::to_value(service),
            Self::Watch(watch) => serde_json::to_value(watch),
        };
        body.unwrap_or_else(|error| Value::String(error.to_string()))
    }

    /// Converts a job or watch to a specification for the planner; `None` for other resources.
    pub(crate) fn planned(&self, name: &Name) -> Option<placement::Spec> {
        match self {
            Self::Job(job) => Some(placement::Spec {
                estimate: Span::secs(job.runtime_s),
                gang: u32::try_from(job.tasks).unwrap_or(u32::MAX),
                home: None,
                kind: job.kind.clone(),
                name: name.clone(),
                priority: u8::try_from(job.priority).unwrap_or(u8::MAX),
                shop: job.shop.clone(),
                size: Size::new(job.millicores, job.memory_mb, job.accelerators),
                standing: false,
                team: job.team.clone(),
                urgent: job.urgent,
            }),
            Self::Watch(watch) => Some(placement::Spec {
                estimate: Span::secs(1),
                gang: 1,
                home: None,
                kind: watch.kind.clone(),
                name: name.clone(),
                // A watch never ends, so it is placed before all jobs.
                priority: u8::MAX,
                shop: watch.shop.clone(),
                size: Size::new(watch.millicores, watch.memory_mb, 0),
                standing: true,
                team: watch.shop.clone(),
                urgent: false,
            }),
            Self::Quota(_) | Self::Service(_) => None,
        }
    }

    pub(crate) fn service(&self) -> Option<&ServiceSpec> {
        if let Self::Service(service) = self { Some(service) } else { None }
    }

    pub(crate) fn quota(&self) -> Option<&QuotaSpec> {
        if let Self::Quota(quota) = self { Some(quota) } else { None }
    }
}

/// Service with the kinds of request that it handles.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceSpec {
    pub(crate) shop: Name,
    pub(crate) kinds: BTreeMap<Name, KindSpec>,
}

impl ServiceSpec {
    fn check(&self) -> Result<(), Invalid> {
        check_range("kinds", self.kinds.len() as u64, &KINDS)?;
        for (name, kind) in &self.kinds {
            check_range(&format!("kinds.{name}.timeout_ms"), kind.timeout_ms, &TIMEOUT_MS)?;
            check_range(&format!("kinds.{name}.running"), kind.running, &REQUESTS)?;
            check_range(&format!("kinds.{name}.queue"), kind.queue, &REQUESTS)?;
        }
        Ok(())
    }
}

/// Class, timeout and limits of a kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KindSpec {
    pub(crate) class: Class,
    /// Maximum duration of an execution in milliseconds; also the length of its lease.
    pub(crate) timeout_ms: u64,
    /// Maximum number of running requests at one entry.
    #[serde(default = "default_running")]
    pub(crate) running: u64,
    /// Maximum number of queued requests at one entry.
    #[serde(default = "default_queue")]
    pub(crate) queue: u64,
}

impl KindSpec {
    /// Maximum duration of an execution.
    pub(crate) fn timeout(&self) -> Span {
        Span::millis(self.timeout_ms)
    }
}

fn default_running() -> u64 {
    256
}

fn default_queue() -> u64 {
    1_024
}

fn one() -> u64 {
    1
}

/// Batch job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobSpec {
    pub(crate) shop: Name,
    pub(crate) team: Name,
    pub(crate) kind: Name,
    /// CPU request of each task in thousandths of a core.
    pub(crate) millicores: u64,
    /// Memory request of each task in megabytes.
    pub(crate) memory_mb: u64,
    #[serde(default)]
    pub(crate) accelerators: u64,
    /// Number of tasks of the gang, which start together or not at all.
    #[serde(default = "one")]
    pub(crate) tasks: u64,
    /// Estimated run time in seconds.
    #[serde(default = "one")]
    pub(crate) runtime_s: u64,
    #[serde(default)]
    pub(crate) priority: u64,
    #[serde(default)]
    pub(crate) urgent: bool,
}

impl JobSpec {
    fn check(&self) -> Result<(), Invalid> {
        check_range("millicores", self.millicores, &MILLICORES)?;
        check_range("memory_mb", self.memory_mb, &MEMORY_MB)?;
        check_range("accelerators", self.accelerators, &ACCELERATORS)?;
        check_range("tasks", self.tasks, &TASKS)?;
        check_range("priority", self.priority, &PRIORITY)
    }
}

/// Long-running task of which exactly one execution is live.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WatchSpec {
    pub(crate) shop: Name,
    pub(crate) kind: Name,
    /// CPU request in thousandths of a core.
    pub(crate) millicores: u64,
    /// Memory request in megabytes.
    pub(crate) memory_mb: u64,
}

impl WatchSpec {
    fn check(&self) -> Result<(), Invalid> {
        check_range("millicores", self.millicores, &MILLICORES)?;
        check_range("memory_mb", self.memory_mb, &MEMORY_MB)
    }
}

/// Limits of the shop or team that has the same name as the resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct QuotaSpec {
    /// Requests per second, over all entries.
    #[serde(default)]
    pub(crate) rate: Option<u64>,
    /// Number of requests that may exceed the rate in a burst.
    #[serde(default)]
    pub(crate) burst: Option<u64>,
    /// CPU limit of all running jobs in thousandths of a core.
    #[serde(default)]
    pub(crate) millicores: Option<u64>,
    /// Weight in fair sharing.
    #[serde(default = "one")]
    pub(crate) weight: u64,
    // Fields are encoded by position: add new ones at the end, so that older logs and snapshots can
    // be decoded.
    /// Memory limit of all running jobs in megabytes.
    #[serde(default)]
    pub(crate) memory_mb: Option<u64>,
    /// Limit on the accelerators of all running jobs.
    #[serde(default)]
    pub(crate) accelerators: Option<u64>,
    /// Placement objective of the shop: latency or throughput.
    #[serde(default)]
    pub(crate) objective: Objective,
}

/// Checks the objective separately, so that the error contains the field and the allowed values.
fn check_objective(quota: &Value) -> Result<(), Invalid> {
    match quota.get("objective") {
        Some(value) if Objective::deserialize(value).is_err() => {
            let shown = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            Err(Invalid::new("objective", shown, "latency or throughput"))
        },
        _ => Ok(()),
    }
}

impl QuotaSpec {
    fn check(&self) -> Result<(), Invalid> {
        for (field, value) in [("rate", self.rate), ("burst", self.burst)] {
            value.map_or(Ok(()), |value| check_range(field, value, &RATE))?;
        }
        for (field, value, range) in [
            ("millicores", self.millicores, &TEAM_MILLICORES),
            ("memory_mb", self.memory_mb, &TEAM_MEMORY_MB),
            ("accelerators", self.accelerators, &TEAM_ACCELERATORS),
        ] {
            value.map_or(Ok(()), |value| check_range(field, value, range))?;
        }
        check_range("weight", self.weight, &WEIGHT)
    }

    /// Converts the limits on running jobs to a quota for the planner. A resource without a value
    /// is not limited.
    pub(crate) fn planned(&self, team: &Name) -> Quota {
        let limits = [self.millicores, self.memory_mb, self.accelerators];
        let [cores, memory, accelerators] = limits.map(|limit| limit.unwrap_or(u64::MAX));
        let limited = limits.iter().any(Option::is_some);
        Quota {
            team: team.clone(),
            weight: u32::try_from(self.weight).unwrap_or(u32::MAX),
            limit: limited.then(|| Size::new(cores, memory, accelerators)),
        }
    }
}
