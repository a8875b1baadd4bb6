//! Settings of the daemon by flags and environment, checked at the start.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use serde::Serialize;
use thiserror::Error;

use crate::core::Name;

/// Drain timeouts that may be set, in milliseconds.
const DRAIN_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// Sizes of the durable history that may be set, in megabytes. A segment has 4 MB, and two are the
/// least that can rotate.
const HISTORY_MB: std::ops::RangeInclusive<u64> = 10..=100_000;

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Beside an endpoint or worker.
    Agent,
    /// On an instance with a disk.
    Control,
    /// Takes callers' requests.
    Entry,
}

/// A setting whose value is not allowed, or settings that contradict each other.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{name} is {value:?}, allowed is {allowed}")]
pub struct BadSetting {
    /// Flag of the setting.
    pub name: &'static str,
    /// Value that was refused.
    pub value: String,
    /// What is allowed, with its unit.
    pub allowed: String,
}

impl BadSetting {
    fn new(name: &'static str, value: impl ToString, allowed: impl ToString) -> Self {
        Self { name, value: value.to_string(), allowed: allowed.to_string() }
    }
}

/// Checked settings of a daemon.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Roles of the process.
    pub roles: BTreeSet<Role>,
    /// Name of the process, unique within its role.
    pub name: Name,
    /// Data centre of the process.
    pub centre: Name,
    /// Rack of the process.
    pub rack: Name,
    /// Where callers reach an entry.
    pub caller: SocketAddr,
    /// Where the other processes reach this one.
    pub peer: SocketAddr,
    /// Where operators reach control.
    pub operator: SocketAddr,
    /// Where runners reach their agent.
    pub announce: SocketAddr,
    /// Peer addresses of the control instances.
    pub control: BTreeMap<Name, SocketAddr>,
    /// Folder for the files of control.
    pub data: Option<PathBuf>,
    /// Token that operators' writes need.
    #[serde(skip)]
    pub token: Option<String>,
    /// Longest time that a drain may take, in milliseconds.
    pub drain_ms: u64,
    /// Size of the durable history of outcomes, in megabytes.
    pub history_mb: u64,
    /// StatsD server that metrics are sent to.
    pub statsd: Option<SocketAddr>,
    /// File that the addresses in use are written to.
    pub ports: Option<PathBuf>,
    /// Whether the state dump is also served on the caller port.
    pub caller_dump: bool,
    /// Only validate the settings and print those in force.
    pub check: bool,
}

/// Settings as they stand on the command line.
struct Raw {
    roles: Vec<String>,
    name: String,
    centre: String,
    rack: String,
    caller: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
    announce: SocketAddr,
    control: Vec<String>,
    data: Option<PathBuf>,
    token: Option<String>,
    drain_ms: u64,
    history_mb: u64,
    statsd: Option<SocketAddr>,
    ports: Option<PathBuf>,
    caller_dump: bool,
    check: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Parser of the daemon's command line and environment.
pub fn parser() -> OptionParser<Result<Settings, BadSetting>> {
    let addr = |flag: &'static str, env: &'static str, help: &'static str| {
        long(flag).env(env).help(help).argument::<SocketAddr>("ADDR").fallback(any_port())
    };
    let roles = long("role")
        .env("TOUCANGRADE_ROLE")
        .help("Roles of this process: entry, agent, control or all; several with commas")
        .argument::<String>("ROLE")
        .many();
    let name = long("name")
        .env("TOUCANGRADE_NAME")
        .help("Name of this process, unique within its role")
        .argument::<String>("NAME");
    let centre = long("centre")
        .env("TOUCANGRADE_CENTRE")
        .help("Data centre of this process")
        .argument::<String>("NAME");
    let rack = long("rack")
        .env("TOUCANGRADE_RACK")
        .help("Rack of this process")
        .argument::<String>("NAME")
        .fallback("default".to_owned());
    let caller = addr("caller-addr", "TOUCANGRADE_CALLER_ADDR", "Where callers reach an entry");
    let peer = addr("peer-addr", "TOUCANGRADE_PEER_ADDR", "Where other processes reach this one");
    let operator =
        addr("operator-addr", "TOUCANGRADE_OPERATOR_ADDR", "Where operators reach control");
    let announce =
        addr("announce-addr", "TOUCANGRADE_ANNOUNCE_ADDR", "Where runners reach their agent");
    let control = long("control")
        .env("TOUCANGRADE_CONTROL")
        .help("Control instances as NAME=ADDR of their peer ports; several with commas")
        .argument::<String>("NAME=ADDR")
        .many();
    let data = long("data")
        .env("TOUCANGRADE_DATA")
        .help("Folder for the files of control")
        .argument::<PathBuf>("DIR")
        .optional();
    let token = long("token")
        .env("TOUCANGRADE_TOKEN")
        .help("Token that operators' writes need")
        .argument::<String>("TOKEN")
        .optional();
    let drain_ms = long("drain-timeout-ms")
        .env("TOUCANGRADE_DRAIN_TIMEOUT_MS")
        .help("Longest time that a drain may take, in milliseconds")
        .argument::<u64>("MS")
        .fallback(30_000);
    let history_mb = long("history-mb")
        .env("TOUCANGRADE_HISTORY_MB")
        .help("Size of the durable history of outcomes at control, in megabytes")
        .argument::<u64>("MB")
        .fallback(1_000);
    let statsd = long("statsd-addr")
        .env("TOUCANGRADE_STATSD_ADDR")
        .help("StatsD server that metrics are sent to over UDP")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let ports = long("ports-file")
        .env("TOUCANGRADE_PORTS_FILE")
        .help("File that the addresses in use are written to, as NAME=ADDR lines")
        .argument::<PathBuf>("FILE")
        .optional();
    let caller_dump =
        long("caller-dump").help("Serve the state dump on the caller port too").switch();
    let check = long("check").help("Validate the settings, print those in force and exit").switch();
    construct!(Raw {
        roles,
        name,
        centre,
        rack,
        caller,
        peer,
        operator,
        announce,
        control,
        data,
        token,
        drain_ms,
        history_mb,
        statsd,
        ports,
        caller_dump,
        check,
    })
    .map(Settings::check)
    .to_options()
    .descr("Scheduler daemon: entry, agent or control")
    .version(env!("CARGO_PKG_VERSION"))
}

impl Settings {
    fn check(raw: Raw) -> Result<Self, BadSetting> {
        let name = |flag, value: &str| {
            Name::new(value).map_err(|error| BadSetting::new(flag, value, error))
        };
        let roles = parse_roles(&raw.roles)?;
        let control = parse_control(&raw.control)?;
        if roles.contains(&Role::Control) && raw.data.is_none() {
            return Err(BadSetting::new("--data", "", "a folder, since the role control is set"));
        }
        if !roles.contains(&Role::Control) && control.is_empty() {
            let allowed = "one NAME=ADDR or more, unless this process has the role control";
            return Err(BadSetting::new("--control", "", allowed));
        }
        if !DRAIN_MS.contains(&raw.drain_ms) {
            let allowed = format!("{} to {} milliseconds", DRAIN_MS.start(), DRAIN_MS.end());
            return Err(BadSetting::new("--drain-timeout-ms", raw.drain_ms, allowed));
        }
        if !HISTORY_MB.contains(&raw.history_mb) {
            let allowed = format!("{} to {} megabytes", HISTORY_MB.start(), HISTORY_MB.end());
            return Err(BadSetting::new("--history-mb", raw.history_mb, allowed));
        }
        if raw.token.as_ref().is_some_and(String::is_empty) {
            return Err(BadSetting::new("--token", "", "one character or more"));
        }
        let settings = Self {
            roles,
            name: name("--name", &raw.name)?,
            centre: name("--centre", &raw.centre)?,
            rack: name("--rack", &raw.rack)?,
            caller: raw.caller,
            peer: raw.peer,
            operator: raw.operator,
            announce: raw.announce,
            control,
            data: raw.data,
            token: raw.token,
            drain_ms: raw.drain_ms,
            history_mb: raw.history_mb,
            statsd: raw.statsd,
            ports: raw.ports,
            caller_dump: raw.caller_dump,
            check: raw.check,
        };
        let own = settings.control.get(&settings.name);
        if settings.roles.contains(&Role::Control)
            && !settings.control.is_empty()
            && own != Some(&settings.peer)
        {
            let allowed = format!("a list with {}={}", settings.name, settings.peer);
            return Err(BadSetting::new("--control", raw.control.join(","), allowed));
        }
        Ok(settings)
    }

    /// Whether the process has a role.
    pub fn has(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

fn parse_roles(values: &[String]) -> Result<BTreeSet<Role>, BadSetting> {
    let mut roles = BTreeSet::new();
    for value in values.iter().flat_map(|value| value.split(',')) {
        match value {
            "agent" => roles.extend([Role::Agent]),
            "all" => roles.extend([Role::Agent, Role::Control, Role::Entry]),
            "control" => roles.extend([Role::Control]),
            "entry" => roles.extend([Role::Entry]),
            _ => {
                return Err(BadSetting::new("--role", value, "entry, agent, control or all"));
            },
        }
    }
    if roles.is_empty() {
        return Err(BadSetting::new("--role", "", "entry, agent, control or all"));
    }
    Ok(roles)
}

fn parse_control(values: &[String]) -> Result<BTreeMap<Name, SocketAddr>, BadSetting> {
    let mut control = BTreeMap::new();
    for value in values.iter().flat_map(|value| value.split(',')) {
        let member = value.split_once('=').and_then(|(name, addr)| {
            Some((Name::new(name).ok()?, addr.parse::<SocketAddr>().ok()?))
        });
        let Some((name, addr)) = member else {
            return Err(BadSetting::new("--control", value, "NAME=IP:PORT"));
        };
        if control.insert(name, addr).is_some() {
            return Err(BadSetting::new("--control", value, "each name once"));
        }
    }
    Ok(control)
}
