//! Heartbeats of agents and polls of entries, with the answers of control.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{Name, Span};
use crate::resources::{QuotaSpec, ServiceSpec};

/// Service, kinds and capacity that a runner offers through its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Offer {
    pub(crate) service: Name,
    pub(crate) kinds: Vec<Name>,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Heartbeat of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Beat {
    pub(crate) agent: Name,
    pub(crate) incarnation: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) centre: Name,
    pub(crate) rack: Name,
    pub(crate) offers: Vec<Offer>,
    pub(crate) draining: bool,
    /// Revision of the configuration that is in force at the agent.
    pub(crate) applied: u64,
}

/// Poll of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Poll {
    pub(crate) entry: Name,
    pub(crate) incarnation: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) centre: Name,
    /// Revision of the configuration that is in force at the entry.
    pub(crate) applied: u64,
    /// Version of the list of live agents that the entry has.
    pub(crate) view: u64,
    /// Version of the partition owners that the entry has.
    pub(crate) table: u64,
    /// Control process that counted these versions.
    pub(crate) source: u64,
    /// Partitions and epochs of which the entry has no attempt left and will not start any.
    pub(crate) released: Vec<(u32, u64)>,
    pub(crate) draining: bool,
}

/// A live agent, as sent to entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Agent {
    pub(crate) incarnation: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) centre: Name,
    pub(crate) rack: Name,
    pub(crate) offers: Vec<Offer>,
}

/// Owner of a partition, as sent to entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Owned {
    pub(crate) entry: Name,
    pub(crate) incarnation: u64,
    pub(crate) epoch: u64,
    pub(crate) clean: bool,
    /// Peer address of the owner, if it is live.
    pub(crate) addr: Option<SocketAddr>,
}

/// Services and quotas in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Config {
    pub(crate) revision: u64,
    pub(crate) services: BTreeMap<Name, ServiceSpec>,
    pub(crate) quotas: BTreeMap<Name, QuotaSpec>,
}

/// Answer to a poll. The agents, configuration and owners are omitted if the entry has the current
/// version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct View {
    pub(crate) view: u64,
    pub(crate) table: u64,
    pub(crate) source: u64,
    pub(crate) agents: Option<BTreeMap<Name, Agent>>,
    pub(crate) config: Option<Config>,
    pub(crate) owners: Option<BTreeMap<u32, Owned>>,
    /// Partitions that the entry should release.
    pub(crate) surplus: Vec<u32>,
    /// Number of live entries, among which quotas are divided.
    pub(crate) entries: u32,
    /// Revision of the newest configuration.
    pub(crate) revision: u64,
    /// Time for which the configuration is confirmed, counted from the sending of the poll.
    pub(crate) lease: Span,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Beaten {
    /// Revision of the newest configuration.
    pub(crate) revision: u64,
    /// Time for which the agent may accept new work, counted from the sending of the heartbeat.
    pub(crate) lease: Span,
}
