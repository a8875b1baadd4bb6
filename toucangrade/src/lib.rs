//! Scheduler for latency-critical services and batch work that share the same instances.
//!
//! Every duty is a folder with its own state, messages and tests, and runs on its own thread.

// Slices land before the daemon uses them.
#![allow(dead_code, unused_imports, unused_macros)]

mod agreement;
mod core;
mod http;

pub use crate::agreement::measure;
pub use crate::core::{Answer, BadName, Class, Clock, Key, Moment, Name, Refusal, Span, Verdict};
pub use crate::http::{
    CallError, Client, Exchange, Handler, Inbound, Outbound, Payload, Response, Server,
};
