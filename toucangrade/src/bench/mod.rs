//! Simulation of the request path under load: a discrete-event loop in one thread.
//!
//! Only the `requests` benchmark uses this module. The loop simulates the network, the runners and
//! control; limits, execution, routing and admission are the code that the daemon runs.

mod baseline;
mod model;
mod report;

pub use self::report::{Plan, capacity, run};

use crate::core::Span;
use crate::routing::Tuning;

/// Deployment of one of the two companies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Company {
    pub(crate) name: &'static str,
    pub(crate) centres: u64,
    /// One-way delay between data centres.
    pub(crate) link: Span,
    /// One-way delay between clients and entries.
    pub(crate) client: Span,
}

/// Number of runners of each company.
pub(crate) const RUNNERS: u64 = 11;
/// Execution slots of each runner.
pub(crate) const SLOTS: u32 = 8;
/// Connections to each runner.
pub(crate) const CONNECTIONS: u32 = 64;

/// Fault injected during a run at the first runner or its agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The agent process exits: connections to it are refused, open ones break.
    AgentCrash,
    /// All packets from and to the agent are lost.
    AgentIsolated,
    /// The runner announces that it is leaving.
    Leaving,
    /// The runner refuses connections and stops announcing itself.
    RunnerCrash,
    /// The runner refuses connections for this time and comes back with cold caches.
    RunnerRestart {
        down: Span,
    },
    /// The runner responds at once with status 500.
    RunnerErrors,
    /// The runner takes ten times as long for each request.
    RunnerSlow,
}

/// Policy that picks the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Chooser {
    LeastLoaded,
    Random,
    Routing,
}

/// Configuration of the request path in a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Variant {
    pub(crate) name: &'static str,
    pub(crate) chooser: Chooser,
    /// Whether the limits duty may refuse requests early; otherwise each starts at once.
    pub(crate) limits: bool,
    /// Whether execution decides on retries; otherwise a failed attempt is retried at once.
    pub(crate) budget: bool,
    pub(crate) tuning: Tuning,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) company: Company,
    pub(crate) variant: Variant,
    /// Offered load in percent of the runners' capacity.
    pub(crate) load: u64,
    /// Batch requests per thousand requests.
    pub(crate) batch: u64,
    pub(crate) fault: Fault,
    pub(crate) seed: u64,
    /// Start of the measured time; requests that arrive earlier are not counted.
    pub(crate) from: Span,
    /// Time from the start of the run at which requests stop arriving.
    pub(crate) length: Span,
    /// Percentage of requests sent to the first entry; the rest is spread evenly over all entries.
    pub(crate) skew: u32,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Latencies of quick requests with a response, in microseconds.
    pub(crate) latencies: Vec<u64>,
    /// Quick requests that arrived.
    pub(crate) offered: u64,
    /// Quick requests with status 200 within the callers' time limit.
    pub(crate) useful: u64,
    /// Quick requests neither answered nor refused.
    pub(crate) unknown: u64,
    pub(crate) refused: u64,
    /// Latencies of refusals of quick requests, in microseconds.
    pub(crate) refusals: Vec<u64>,
    pub(crate) batch_offered: u64,
    pub(crate) batch_done: u64,
    /// Requests admitted by the limits duty, or all arrivals without it.
    pub(crate) begun: u64,
    /// Calls to agents that start an attempt.
    pub(crate) calls: u64,
    /// Calls to an agent in a different data centre than the entry.
    pub(crate) across: u64,
    /// Time from the fault to the last start of a request at the faulty runner.
    pub(crate) last_start: Span,
    /// Time from the fault to the last call to its agent.
    pub(crate) last_call: Span,
    /// Offered and useful quick requests per 100 ms of arrival time.
    pub(crate) series: Vec<(u64, u64)>,
}
