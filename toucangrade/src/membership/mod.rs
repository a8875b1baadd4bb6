//! Liveness of agents and entries. Agents send heartbeats to the leader of control; entries poll it
//! for the live agents, the configuration and the owners of partitions.

pub(crate) mod agent;
pub(crate) mod control;
pub(crate) mod entry;
mod message;

#[cfg(test)]
mod tests;

pub(crate) use self::message::{Agent, Beat, Beaten, Config, Offer, Owned, Poll, View};
use crate::core::Span;

/// Interval between heartbeats of an agent.
pub(crate) const BEAT_EVERY: Span = Span::millis(500);
/// Interval between polls of an entry.
pub(crate) const POLL_EVERY: Span = Span::millis(500);
/// Time without a heartbeat or poll after which a process counts as silent. A silent agent gets no
/// new work.
pub(crate) const LAPSE: Span = Span::millis(3_000);
/// Time for which control confirms the configuration. Together with one poll interval it stays
/// below the 13 s within which a change must be in force everywhere.
pub(crate) const CONFIG_LEASE: Span = Span::millis(10_000);
