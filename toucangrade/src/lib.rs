//! Scheduler for latency-critical services and batch work that share the same instances.
//!
//! Every duty is a folder with its own state, messages and tests, and runs on its own thread.

mod admission;
#[cfg(feature = "bench")]
pub mod bench;
mod claims;
mod core;
mod daemon;
mod execution;
mod history;
mod http;
mod journal;
mod limits;
mod membership;
mod partitions;
mod peer;
mod resources;
mod retry;
mod routing;
mod state;

pub use crate::core::{Answer, BadName, Class, Clock, Key, Moment, Name, Refusal, Span, Verdict};
pub use crate::daemon::{BadSetting, Role, Settings, parser, run};
pub use crate::http::{
    CallError, Client, Exchange, Handler, Inbound, Outbound, Payload, Response, Server,
};
