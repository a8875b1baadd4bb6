//! Scheduler for latency-critical services and batch work that share the same instances.
//!
//! Each duty is a module with its own state, messages and tests, and runs on its own thread.

mod admission;
// The daemon uses a part of it; the benchmarks and the tests use all of it.
#[allow(dead_code)]
mod agreement;
#[cfg(feature = "bench")]
pub mod bench;
mod claims;
mod core;
mod daemon;
mod dispatch;
mod evacuation;
mod eviction;
mod execution;
mod history;
mod hosting;
mod http;
mod interference;
mod jobs;
mod learned;
mod limits;
mod lookahead;
mod membership;
mod metrics;
mod node;
mod overload;
mod pacing;
mod partitions;
mod peer;
pub mod placement;
mod platform;
mod pressure;
mod quorum;
mod quota;
mod relay;
mod resources;
mod retry;
mod routing;
mod runs;
mod scheduling;
mod simulation;
mod state;

pub use crate::agreement::{RunReport, measure, random_run, try_random_run};
pub use crate::core::{
    Answer, BadName, Class, Clock, Key, Moment, Name, Refusal, Span, Verdict, Violation,
};
pub use crate::daemon::{BadSetting, Role, Settings, parser, run};
pub use crate::dispatch::{
    ClientReply, ClientRequest, Denial, Doubts, EndedRun, JobState, Orders, Report, RunProfile,
    RunStatus, Runner, Start, Verb,
};
pub use crate::evacuation::{Evacuation, EvacuationOrder, EvacuationVerb, Evacuations};
pub use crate::hosting::{Announcement, Fault, Listing, RunnerTarget};
pub use crate::http::{
    Budget, CallError, Client, Exchange, Handler, Head, Inbound, LimitError, Limits, LimitsBuilder,
    Outbound, Parts, Payload, Response, Screen, Server, ServerBuilder, Tier, TooManyValues,
    check_values, segments,
};
pub use crate::jobs::{
    Checkpoint, Configuration, ConfigurationError, End, Incarnation, Job, JobError, Need, Queue,
    RunKey, Schedule, Service, Step, TaskKey,
};
pub use crate::node::{
    Agent, Control, Done, Elsewhere, Entry, Failed, Meter, NodeSettings, NodeSettingsBuilder,
    RunnerPort,
};
pub use crate::pressure::{Pressure, Table};
pub use crate::simulation::jobs::{Report as JobsReport, Scope as JobsScope, try_run as try_jobs};
pub use crate::simulation::{Report as SimulationReport, try_run as try_simulation};
