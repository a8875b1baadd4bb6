//! Processes that serve jobs of several steps: entries, agents and control, without any encoding of
//! what callers, operators and runners say.

mod agent;
mod control;
mod entry;
mod leader;
mod meter;

#[cfg(test)]
mod tests;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use crate::core::{Clock, Name};
use crate::http::Client;

pub use self::agent::{Agent, Done, RunnerPort};
pub use self::control::{Control, Elsewhere};
pub use self::entry::{Entry, Failed};
pub use self::meter::Meter;

/// Time that a connection to another process may take: some ten round trips between data centres. An
/// instance without power answers nothing, and what was never sent can be sent elsewhere.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// What a process is told at its start.
#[derive(Clone, Debug, Serialize)]
pub struct NodeSettings {
    /// Own address.
    ip: IpAddr,
    /// Port on which control instances talk to each other and are asked by all others.
    port: u16,
    /// Addresses of some control instances.
    seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time.
    first: bool,
    /// Folder for durable state.
    data: Option<PathBuf>,
    /// Losses of control instances that are survived at a time.
    losses: usize,
}

/// Builder of [`NodeSettings`].
#[derive(Clone, Debug)]
pub struct NodeSettingsBuilder(NodeSettings);

impl NodeSettings {
    /// Settings with the process's own address and the port of control instances.
    pub fn builder(ip: IpAddr, port: u16) -> NodeSettingsBuilder {
        let settings = Self { ip, port, seeds: Vec::new(), first: false, data: None, losses: 1 };
        NodeSettingsBuilder(settings)
    }

    /// Address at which the control instance of this name takes requests.
    fn addr(&self, name: &Name) -> Option<SocketAddr> {
        Some(SocketAddr::new(name.as_str().parse().ok()?, self.port))
    }

    fn seeds(&self) -> Vec<Name> {
        self.seeds.iter().filter_map(name_of).collect()
    }
}

impl NodeSettingsBuilder {
    /// Sets the addresses of some control instances.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<IpAddr>) -> Self {
        self.0.seeds = seeds;
        self
    }

    /// Sets whether the whole system starts for the first time.
    #[must_use]
    pub fn first(mut self, first: bool) -> Self {
        self.0.first = first;
        self
    }

    /// Sets the folder for durable state.
    #[must_use]
    pub fn data(mut self, data: Option<PathBuf>) -> Self {
        self.0.data = data;
        self
    }

    /// Sets how many control instances may be lost at a time.
    #[must_use]
    pub fn losses(mut self, losses: usize) -> Self {
        self.0.losses = losses;
        self
    }

    /// The settings.
    pub fn build(self) -> NodeSettings {
        self.0
    }
}

/// The name of a process is its address, which is unique and by which it is reached.
fn name_of(ip: &IpAddr) -> Option<Name> {
    Name::new(&ip.to_string()).ok()
}

/// What all duties of a process share.
#[derive(Clone)]
struct Context {
    settings: NodeSettings,
    name: Name,
    clock: Clock,
    client: Client,
    meter: Meter,
}

impl Context {
    fn new(settings: NodeSettings, meter: Meter) -> io::Result<Self> {
        let name = name_of(&settings.ip)
            .ok_or_else(|| io::Error::other(format!("{} can't be a name", settings.ip)))?;
        let (clock, client) = (Clock::suspend_aware(), Client::connecting_within(CONNECT_LIMIT)?);
        Ok(Self { settings, name, clock, client, meter })
    }
}

/// Time of day in ms since 1970.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
