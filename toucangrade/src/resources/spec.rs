//! Contents of resources and their validation.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::core::{Class, Name, Span};
use crate::placement::{self, Objective, Quota, Size};

/// Timeouts that a kind may declare, in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Requests of a kind that may run or wait at one entry.
const REQUESTS: RangeInclusive<u64> = 1..=100_000;
/// Kinds that a service may declare.
const KINDS: RangeInclusive<u64> = 1..=64;
/// Processor share in thousandths of a core.
const MILLICORES: RangeInclusive<u64> = 1..=1_024_000;
/// Memory in megabytes.
const MEMORY_MB: RangeInclusive<u64> = 1..=16_000_000;
/// Accelerators of a task.
const ACCELERATORS: RangeInclusive<u64> = 0..=64;
/// Tasks of a gang.
const TASKS: RangeInclusive<u64> = 1..=1_000;
/// Priorities; larger goes first.
const PRIORITY: RangeInclusive<u64> = 0..=100;
/// Weights of fair shares.
const WEIGHT: RangeInclusive<u64> = 1..=1_000;
/// Processor share of all running jobs of a team, in thousandths of a core.
const TEAM_MILLICORES: RangeInclusive<u64> = 1..=1_000_000_000;
/// Memory of all running jobs of a team in megabytes.
const TEAM_MEMORY_MB: RangeInclusive<u64> = 1..=16_000_000_000;
/// Accelerators of all running jobs of a team.
const TEAM_ACCELERATORS: RangeInclusive<u64> = 0..=100_000;
/// Requests a second of a quota.
const RATE: RangeInclusive<u64> = 1..=1_000_000;

/// Kind of resource.
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

/// Checks a number against the range that is allowed for it.
fn within(field: &str, value: u64, range: &RangeInclusive<u64>) -> Result<(), Invalid> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(Invalid::new(field, value, format!("{} to {}", range.start(), range.end())))
}

/// Contents of a resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Spec {
    Job(JobSpec),
    Quota(QuotaSpec),
    Service(ServiceSpec),
    Watch(WatchSpec),
}

impl Spec {
    /// Reads and checks the JSON body of a resource.
    ///
    /// # Errors
    ///
    /// [`Invalid`] with the field, its value and what is allowed.
    pub(crate) fn parse(collection: Collection, body: &[u8]) -> Result<Self, Invalid> {
        let unreadable = |error: serde_json::Error| {
            Invalid::new("body", error, "a JSON object with the documented fields")
        };
        let spec = match collection {
            Collection::Jobs => Self::Job(serde_json::from_slice(body).map_err(unreadable)?),
            Collection::Quotas => {
                let value: Value = serde_json::from_slice(body).map_err(unreadable)?;
                check_objective(&value)?;
                Self::Quota(serde_json::from_value(value).map_err(unreadable)?)
            },
            Collection::Services => {
                Self::Service(serde_json::from_slice(body).map_err(unreadable)?)
            },
            Collection::Watches => Self::Watch(serde_json::from_slice(body).map_err(unreadable)?),
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

    /// The body as operators wrote it, without the collection around it.
    pub(crate) fn body(&self) -> Value {
        let body = match self {
            Self::Job(job) => serde_json::to_value(job),
            Self::Quota(quota) => serde_json::to_value(quota),
            Self::Service(service) => serde_json::to_value(service),
            Self::Watch(watch) => serde_json::to_value(watch),
        };
        body.unwrap_or_else(|error| Value::String(error.to_string()))
    }

    /// What the planner is told of a job or watch; `None` for other resources.
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
                // A watch has no end to wait for, so it goes before all jobs.
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

/// A service and the kinds of request that it answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceSpec {
    pub(crate) shop: Name,
    pub(crate) kinds: BTreeMap<Name, KindSpec>,
}

impl ServiceSpec {
    fn check(&self) -> Result<(), Invalid> {
        within("kinds", self.kinds.len() as u64, &KINDS)?;
        for (name, kind) in &self.kinds {
            within(&format!("kinds.{name}.timeout_ms"), kind.timeout_ms, &TIMEOUT_MS)?;
            within(&format!("kinds.{name}.running"), kind.running, &REQUESTS)?;
            within(&format!("kinds.{name}.queue"), kind.queue, &REQUESTS)?;
        }
        Ok(())
    }
}

/// Class, timeout and limits of a kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KindSpec {
    pub(crate) class: Class,
    /// Longest time that an execution may take, in milliseconds; also its lease.
    pub(crate) timeout_ms: u64,
    /// Requests in flight at one entry.
    #[serde(default = "default_running")]
    pub(crate) running: u64,
    /// Requests that wait at one entry.
    #[serde(default = "default_queue")]
    pub(crate) queue: u64,
}

impl KindSpec {
    /// The longest time that an execution may take.
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

/// A batch job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobSpec {
    pub(crate) shop: Name,
    pub(crate) team: Name,
    pub(crate) kind: Name,
    /// Processor share in thousandths of a core.
    pub(crate) millicores: u64,
    /// Memory in megabytes.
    pub(crate) memory_mb: u64,
    #[serde(default)]
    pub(crate) accelerators: u64,
    /// Tasks that start together or not at all.
    #[serde(default = "one")]
    pub(crate) tasks: u64,
    /// Expected run time in seconds.
    #[serde(default = "one")]
    pub(crate) runtime_s: u64,
    #[serde(default)]
    pub(crate) priority: u64,
    #[serde(default)]
    pub(crate) urgent: bool,
}

impl JobSpec {
    fn check(&self) -> Result<(), Invalid> {
        within("millicores", self.millicores, &MILLICORES)?;
        within("memory_mb", self.memory_mb, &MEMORY_MB)?;
        within("accelerators", self.accelerators, &ACCELERATORS)?;
        within("tasks", self.tasks, &TASKS)?;
        within("priority", self.priority, &PRIORITY)
    }
}

/// A long-running task with exactly one live holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WatchSpec {
    pub(crate) shop: Name,
    pub(crate) kind: Name,
    /// Processor share in thousandths of a core.
    pub(crate) millicores: u64,
    /// Memory in megabytes.
    pub(crate) memory_mb: u64,
}

impl WatchSpec {
    fn check(&self) -> Result<(), Invalid> {
        within("millicores", self.millicores, &MILLICORES)?;
        within("memory_mb", self.memory_mb, &MEMORY_MB)
    }
}

/// Limits of a shop or team; the resource's name is the shop's or team's.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct QuotaSpec {
    /// Requests a second over all entries.
    #[serde(default)]
    pub(crate) rate: Option<u64>,
    /// Requests that may come at once beyond the rate.
    #[serde(default)]
    pub(crate) burst: Option<u64>,
    /// Processor share of running jobs, in thousandths of a core.
    #[serde(default)]
    pub(crate) millicores: Option<u64>,
    /// Weight in fair sharing.
    #[serde(default = "one")]
    pub(crate) weight: u64,
    // Encoded by position: new fields go last, so that older logs and snapshots can be read.
    /// Memory of running jobs in megabytes.
    #[serde(default)]
    pub(crate) memory_mb: Option<u64>,
    /// Accelerators of running jobs.
    #[serde(default)]
    pub(crate) accelerators: Option<u64>,
    /// What the shop weighs most in placement.
    #[serde(default)]
    pub(crate) objective: Objective,
}

/// Checks the objective by itself, so that the error names the field and what is allowed.
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
            value.map_or(Ok(()), |value| within(field, value, &RATE))?;
        }
        for (field, value, range) in [
            ("millicores", self.millicores, &TEAM_MILLICORES),
            ("memory_mb", self.memory_mb, &TEAM_MEMORY_MB),
            ("accelerators", self.accelerators, &TEAM_ACCELERATORS),
        ] {
            value.map_or(Ok(()), |value| within(field, value, range))?;
        }
        within("weight", self.weight, &WEIGHT)
    }

    /// What the planner is told of the quota; a resource without a number is not limited.
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
