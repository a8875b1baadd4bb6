//! Processes that serve multi-step jobs: entries, agents and control instances. A front end decodes
//! the messages of callers, operators and runners and calls these types.

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
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use crate::core::{Clock, Name, Span};
use crate::http::{Budget, Client};

pub use self::agent::{Agent, Done, RunnerPort};
pub use self::control::{Control, Elsewhere};
pub use self::entry::{Entry, Failed};
pub use self::meter::Meter;

/// Timeout of connecting to another process: some ten round trips between data centres. An instance
/// without power never answers, and a request that was not sent can be sent to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Settings of a process, given at its start.
#[derive(Clone, Debug, Serialize)]
pub struct NodeSettings {
    /// Address of this process.
    ip: IpAddr,
    /// Port on which control instances accept requests of each other and of all other processes.
    port: u16,
    /// Addresses of some control instances, at which the control group is looked up.
    seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time, so that the seeds create the control
    /// group.
    first: bool,
    /// Folder for durable state.
    data: Option<PathBuf>,
    /// Number of simultaneous losses of control instances to tolerate.
    losses: usize,
    /// Longest lease that runners accept.
    hold_limit: Span,
    /// Names of the data centres, empty if they are not known.
    centres: Vec<Arc<str>>,
    /// Whether decisions for times of overload are made.
    overload: bool,
    /// Whether placement looks at what waits and at what will end soon.
    lookahead: bool,
    /// What clients of the process's HTTP servers may use.
    #[serde(skip)]
    budget: Budget,
}

/// Builder of [`NodeSettings`].
#[derive(Clone, Debug)]
pub struct NodeSettingsBuilder(NodeSettings);

impl NodeSettings {
    /// Builder of settings with the address of this process and the port of control instances.
    pub fn builder(ip: IpAddr, port: u16) -> NodeSettingsBuilder {
        NodeSettingsBuilder(Self {
            ip,
            port,
            seeds: Vec::new(),
            first: false,
            data: None,
            losses: 1,
            hold_limit: Span::secs(10),
            centres: Vec::new(),
            overload: false,
            lookahead: false,
            budget: Budget::default(),
        })
    }

    /// Address at which the control instance of this name accepts requests.
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

    /// Sets whether the whole system starts for the first time, so that the seeds create the
    /// control group.
    #[must_use]
    pub fn first(mut self, first: bool) -> Self {
        self.0.first = first;
        self
    }

    /// Sets the folder for durable state, which a control instance needs.
    #[must_use]
    pub fn data(mut self, data: Option<PathBuf>) -> Self {
        self.0.data = data;
        self
    }

    /// Sets the number of simultaneous losses of control instances to tolerate.
    #[must_use]
    pub fn losses(mut self, losses: usize) -> Self {
        self.0.losses = losses;
        self
    }

    /// Sets the longest lease that runners accept, 10 s unless set; they shorten longer ones.
    #[must_use]
    pub fn hold_limit(mut self, limit: Span) -> Self {
        self.0.hold_limit = limit;
        self
    }

    /// Sets the names of the data centres. Orders for others are refused, unless a runner announces
    /// them; without names all are accepted.
    #[must_use]
    pub fn centres(mut self, centres: Vec<Arc<str>>) -> Self {
        self.0.centres = centres;
        self
    }

    /// Sets whether placement looks at what waits and at what will end soon; off unless set.
    #[must_use]
    pub fn lookahead(mut self, on: bool) -> Self {
        self.0.lookahead = on;
        self
    }

    /// Sets whether a control instance makes decisions for times of overload, off unless set.
    #[must_use]
    pub fn overload(mut self, overload: bool) -> Self {
        self.0.overload = overload;
        self
    }

    /// Sets the account that all HTTP servers of the process share; one of its own unless set.
    #[must_use]
    pub fn budget(mut self, budget: &Budget) -> Self {
        self.0.budget = budget.clone();
        self
    }

    /// Builds the settings.
    pub fn build(self) -> NodeSettings {
        self.0
    }
}

/// Name of the process with this address. The name is the address, which is unique and lets other
/// processes reach it.
fn name_of(ip: &IpAddr) -> Option<Name> {
    Name::new(&ip.to_string()).ok()
}

/// Settings and handles that all duties of a process share.
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
        let (clock, client) = (Clock::suspend_aware(), Client::connecting_within(CONNECT_TIMEOUT)?);
        Ok(Self { settings, name, clock, client, meter })
    }
}

/// Wall-clock time in ms since 1970.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
