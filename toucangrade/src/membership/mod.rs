//! Who takes part: heartbeats of agents, polls of entries, and the view that control gives.

pub(crate) mod agent;
pub(crate) mod control;
pub(crate) mod entry;
mod message;

#[cfg(test)]
mod tests;

pub(crate) use self::message::{Agent, Beat, Beaten, Config, Offer, Owned, Poll, View};
use crate::core::Span;

/// Time between two heartbeats of an agent.
pub(crate) const BEAT_EVERY: Span = Span::millis(500);
/// Time between two polls of an entry.
pub(crate) const POLL_EVERY: Span = Span::millis(500);
/// Time after its last heartbeat when an agent gets no new work.
pub(crate) const LAPSE: Span = Span::millis(3_000);
/// Time for which a confirmation of the configuration lasts; with one poll it stays below the
/// 13 s in which a change must be in force everywhere.
pub(crate) const CONFIG_LEASE: Span = Span::millis(10_000);
