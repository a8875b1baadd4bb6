//! Settings of the daemon, read from flags and the environment and validated at start-up.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use serde::Serialize;
use thiserror::Error;

use crate::core::Name;

/// Allowed processor share of a worker, in thousandths of a core.
const MILLICORES: std::ops::RangeInclusive<u64> = 100..=1_024_000;
/// Allowed memory of a worker, in megabytes.
const MEMORY_MB: std::ops::RangeInclusive<u64> = 1..=16_000_000;
/// Allowed number of a worker's accelerators.
const ACCELERATORS: std::ops::RangeInclusive<u64> = 0..=64;
/// Allowed drain timeout, in milliseconds.
const DRAIN_MS: RangeInclusive<u64> = 100..=600_000;

/// Allowed size of the durable history, in megabytes. A segment has 4 MB, and rotation needs at
/// least two.
const HISTORY_MB: RangeInclusive<u64> = 10..=100_000;
/// Allowed cost of a link, in microseconds. Above a second, no request would ever be sent to
/// another data centre.
const LINK_COST_US: RangeInclusive<u64> = 0..=1_000_000;

/// Allowed length of a token, in bytes.
const TOKEN_BYTES: RangeInclusive<usize> = 1..=256;

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs on the instance of an endpoint or a worker.
    Agent,
    /// Holds the replicated state; runs on an instance with a disk.
    Control,
    /// Accepts callers' requests.
    Entry,
}

/// Error for a setting whose value is not allowed or contradicts another setting.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{name} is {value:?}, allowed is {allowed}")]
pub struct BadSetting {
    /// Flag of the setting.
    pub name: &'static str,
    /// Value that was refused.
    pub value: String,
    /// Description of the allowed values, with their unit.
    pub allowed: String,
}

impl BadSetting {
    fn new(name: &'static str, value: impl ToString, allowed: impl ToString) -> Self {
        Self { name, value: value.to_string(), allowed: allowed.to_string() }
    }
}

/// Validated settings of a daemon.
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
    /// Address of the caller port, which an entry serves.
    pub caller: SocketAddr,
    /// Address of the peer port, which other processes use.
    pub peer: SocketAddr,
    /// Address of the operator port, which control serves.
    pub operator: SocketAddr,
    /// Address of the announce port, which an agent serves for its runners.
    pub announce: SocketAddr,
    /// Names and peer addresses of the control instances.
    pub control: BTreeMap<Name, SocketAddr>,
    /// Folder for the files of control.
    pub data: Option<PathBuf>,
    /// Bearer token that operators' writes must carry.
    #[serde(serialize_with = "hidden")]
    pub token: Option<String>,
    /// Address of the agent's worker.
    pub worker: Option<SocketAddr>,
    /// Processor share of the worker that jobs may use, in thousandths of a core.
    pub millicores: u64,
    /// Memory of the worker that jobs may use, in megabytes.
    pub memory_mb: u64,
    /// Accelerators of the worker.
    pub accelerators: u64,
    /// Longest time that a drain may take, in milliseconds.
    pub drain_ms: u64,
    /// Size of the durable history of outcomes, in megabytes.
    pub history_mb: u64,
    /// Cost of a request to another data centre, in microseconds of latency.
    pub link_cost: u64,
    /// Address of the StatsD server for metrics.
    pub statsd: Option<SocketAddr>,
    /// File to which the addresses in use are written.
    pub ports: Option<PathBuf>,
    /// Whether the state dump is also served on the caller port.
    pub caller_dump: bool,
    /// Whether to only validate and print the settings, and then exit.
    pub check: bool,
}

/// Unparsed settings of the command line. They are parsed later, so that every error names its
/// flag.
struct RawSettings {
    roles: Vec<String>,
    name: String,
    centre: String,
    rack: String,
    caller: Option<String>,
    peer: Option<String>,
    operator: Option<String>,
    announce: Option<String>,
    control: Vec<String>,
    data: Option<PathBuf>,
    token: Option<String>,
    worker: Option<SocketAddr>,
    millicores: Option<String>,
    memory_mb: Option<String>,
    accelerators: Option<String>,
    drain_ms: Option<String>,
    history_mb: Option<String>,
    link_cost: Option<String>,
    statsd: Option<String>,
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
        long(flag).env(env).help(help).argument::<String>("ADDR").optional()
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
    // The variable is not read by the parser, whose help would show the value.
    let token = long("token")
        .help("Token that operators' writes need; from TOUCANGRADE_TOKEN if not set")
        .argument::<String>("TOKEN")
        .optional()
        .map(|token| token.or_else(|| std::env::var("TOUCANGRADE_TOKEN").ok()));
    let worker = long("worker")
        .env("TOUCANGRADE_WORKER")
        .help("Where the agent's worker listens")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let millicores = long("worker-millicores")
        .env("TOUCANGRADE_WORKER_MILLICORES")
        .help("Processor share of the worker that jobs may use, in thousandths of a core")
        .argument::<String>("N")
        .optional();
    let memory_mb = long("worker-memory-mb")
        .env("TOUCANGRADE_WORKER_MEMORY_MB")
        .help("Memory of the worker that jobs may use, in megabytes")
        .argument::<String>("MB")
        .optional();
    let accelerators = long("worker-accelerators")
        .env("TOUCANGRADE_WORKER_ACCELERATORS")
        .help("Accelerators of the worker")
        .argument::<String>("N")
        .optional();
    let drain_ms = long("drain-timeout-ms")
        .env("TOUCANGRADE_DRAIN_TIMEOUT_MS")
        .help("Longest time that a drain may take, in milliseconds; 30000 if not set")
        .argument::<String>("MS")
        .optional();
    let history_mb = long("history-mb")
        .env("TOUCANGRADE_HISTORY_MB")
        .help("Size of the durable history of outcomes at control, in megabytes; 1000 if not set")
        .argument::<String>("MB")
        .optional();
    let link_cost = long("link-cost-us")
        .env("TOUCANGRADE_LINK_COST_US")
        .help("Price of a request to another data centre, as microseconds of latency; 0 if not set")
        .argument::<String>("US")
        .optional();
    let statsd = long("statsd-addr")
        .env("TOUCANGRADE_STATSD_ADDR")
        .help("StatsD server that metrics are sent to over UDP")
        .argument::<String>("ADDR")
        .optional();
    let ports = long("ports-file")
        .env("TOUCANGRADE_PORTS_FILE")
        .help("File that the addresses in use are written to, as NAME=ADDR lines")
        .argument::<PathBuf>("FILE")
        .optional();
    let caller_dump =
        long("caller-dump").help("Serve the state dump on the caller port too").switch();
    let check = long("check").help("Validate the settings, print those in force and exit").switch();
    construct!(RawSettings {
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
        worker,
        millicores,
        memory_mb,
        accelerators,
        drain_ms,
        history_mb,
        link_cost,
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
    fn check(raw: RawSettings) -> Result<Self, BadSetting> {
        let settings = Self::parse(raw)?;
        settings.check_roles()?;
        settings.check_addrs()?;
        settings.check_files()?;
        Ok(settings)
    }

    /// Parses each setting on its own.
    fn parse(raw: RawSettings) -> Result<Self, BadSetting> {
        let name = |flag, value: &str| {
            Name::new(value).map_err(|error| BadSetting::new(flag, value, error))
        };
        let addr = |flag, value: Option<String>| parse_addr(flag, value.as_deref());
        let or_any = |addr: Option<SocketAddr>| addr.unwrap_or(any_port());
        Ok(Self {
            roles: parse_roles(&raw.roles)?,
            name: name("--name", &raw.name)?,
            centre: name("--centre", &raw.centre)?,
            rack: name("--rack", &raw.rack)?,
            caller: or_any(addr("--caller-addr", raw.caller)?),
            peer: or_any(addr("--peer-addr", raw.peer)?),
            operator: or_any(addr("--operator-addr", raw.operator)?),
            announce: or_any(addr("--announce-addr", raw.announce)?),
            control: parse_control(&raw.control)?,
            data: raw.data,
            token: parse_token(raw.token)?,
            worker: raw.worker,
            millicores: parse_number(
                "--worker-millicores",
                raw.millicores,
                32_000,
                &MILLICORES,
                "thousandths of a core",
            )?,
            memory_mb: parse_number(
                "--worker-memory-mb",
                raw.memory_mb,
                125_000,
                &MEMORY_MB,
                "MB",
            )?,
            accelerators: parse_number(
                "--worker-accelerators",
                raw.accelerators,
                0,
                &ACCELERATORS,
                "accelerators",
            )?,
            drain_ms: parse_number("--drain-timeout-ms", raw.drain_ms, 30_000, &DRAIN_MS, "ms")?,
            history_mb: parse_number("--history-mb", raw.history_mb, 1_000, &HISTORY_MB, "MB")?,
            link_cost: parse_number("--link-cost-us", raw.link_cost, 0, &LINK_COST_US, "us")?,
            statsd: addr("--statsd-addr", raw.statsd)?,
            ports: raw.ports,
            caller_dump: raw.caller_dump,
            check: raw.check,
        })
    }

    /// Rejects settings that contradict the roles.
    fn check_roles(&self) -> Result<(), BadSetting> {
        let control = self.has(Role::Control);
        match &self.data {
            None if control => {
                let allowed = "a folder, since the role control is set";
                return Err(BadSetting::new("--data", "", allowed));
            },
            Some(data) if !control => {
                let allowed = "not to be set without the role control";
                return Err(BadSetting::new("--data", data.display(), allowed));
            },
            _ => {},
        }
        if !control && self.control.is_empty() {
            let allowed = "one NAME=ADDR or more, unless this process has the role control";
            return Err(BadSetting::new("--control", "", allowed));
        }
        if self.caller_dump && !self.has(Role::Entry) {
            let allowed = "not to be set without the role entry";
            return Err(BadSetting::new("--caller-dump", "set", allowed));
        }
        let own = self.control.get(&self.name);
        if control && !self.control.is_empty() && own != Some(&self.peer) {
            let list: Vec<String> = self.control.iter().map(|(n, a)| format!("{n}={a}")).collect();
            let allowed = format!("a list with {}={}", self.name, self.peer);
            return Err(BadSetting::new("--control", list.join(","), allowed));
        }
        Ok(())
    }

    /// Rejects addresses that other processes can't reach or that are used twice, and an operator
    /// port that other instances can reach without a token.
    fn check_addrs(&self) -> Result<(), BadSetting> {
        if self.peer.ip().is_unspecified() {
            let allowed = "an IP address at which other processes reach this one";
            return Err(BadSetting::new("--peer-addr", self.peer, allowed));
        }
        let mut used = BTreeMap::from([(self.peer, "--peer-addr")]);
        for (role, flag, addr) in [
            (Role::Agent, "--announce-addr", self.announce),
            (Role::Control, "--operator-addr", self.operator),
            (Role::Entry, "--caller-addr", self.caller),
        ] {
            if !self.has(role) || addr.port() == 0 {
                continue;
            }
            if let Some(other) = used.insert(addr, flag) {
                let allowed = format!("another address than that of {other}");
                return Err(BadSetting::new(flag, addr, allowed));
            }
        }
        let open = self.has(Role::Control) && !self.operator.ip().is_loopback();
        if open && self.token.is_none() {
            let allowed = "a loopback address, unless --token is set";
            return Err(BadSetting::new("--operator-addr", self.operator, allowed));
        }
        match self.statsd {
            Some(addr) if addr.port() == 0 || addr.ip().is_unspecified() => {
                let allowed = "the IP address and port of a server";
                Err(BadSetting::new("--statsd-addr", addr, allowed))
            },
            _ => Ok(()),
        }
    }

    /// Rejects a data path that is a file and a ports file that can't be created.
    fn check_files(&self) -> Result<(), BadSetting> {
        if let Some(data) = self.data.as_ref().filter(|data| data.exists() && !data.is_dir()) {
            return Err(BadSetting::new("--data", data.display(), "a folder, not a file"));
        }
        let Some(ports) = &self.ports else { return Ok(()) };
        let folder = ports.parent().filter(|folder| !folder.as_os_str().is_empty());
        if ports.is_dir() || folder.is_some_and(|folder| !folder.is_dir()) {
            let allowed = "a file in a folder that exists";
            return Err(BadSetting::new("--ports-file", ports.display(), allowed));
        }
        Ok(())
    }

    /// Whether the process has a role.
    pub fn has(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

/// Serializes whether a secret is set, but not its value.
fn hidden<S: serde::Serializer>(token: &Option<String>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(if token.is_some() { "(hidden)" } else { "(not set)" })
}

fn parse_addr(flag: &'static str, value: Option<&str>) -> Result<Option<SocketAddr>, BadSetting> {
    let Some(value) = value else { return Ok(None) };
    match value.parse() {
        Ok(addr) => Ok(Some(addr)),
        Err(_) => Err(BadSetting::new(flag, value, "IP:PORT, such as 127.0.0.1:7000")),
    }
}

fn parse_number(
    flag: &'static str,
    value: Option<String>,
    default: u64,
    range: &RangeInclusive<u64>,
    unit: &str,
) -> Result<u64, BadSetting> {
    let Some(value) = value else { return Ok(default) };
    match value.parse::<u64>().ok().filter(|number| range.contains(number)) {
        Some(number) => Ok(number),
        None => {
            let allowed = format!("{} to {} {unit}", range.start(), range.end());
            Err(BadSetting::new(flag, value, allowed))
        },
    }
}

/// Validates a token; errors don't contain its value.
fn parse_token(token: Option<String>) -> Result<Option<String>, BadSetting> {
    let Some(token) = token else { return Ok(None) };
    if !TOKEN_BYTES.contains(&token.len()) || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        let (least, most) = (TOKEN_BYTES.start(), TOKEN_BYTES.end());
        let allowed = format!("{least} to {most} visible ASCII characters");
        return Err(BadSetting::new("--token", "(hidden)", allowed));
    }
    Ok(Some(token))
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
        if addr.port() == 0 || addr.ip().is_unspecified() {
            return Err(BadSetting::new("--control", value, "NAME=IP:PORT of a known port"));
        }
        if control.values().any(|other| *other == addr) {
            return Err(BadSetting::new("--control", value, "each address once"));
        }
        if control.insert(name, addr).is_some() {
            return Err(BadSetting::new("--control", value, "each name once"));
        }
    }
    Ok(control)
}
