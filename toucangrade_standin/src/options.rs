//! Options of the stand-in back end.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

/// Settings of a stand-in back end.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) agent: SocketAddr,
    pub(crate) addr: SocketAddr,
    pub(crate) service: String,
    pub(crate) kinds: String,
    pub(crate) checkpoints: String,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) delay_ms: u64,
    pub(crate) fail_percent: u64,
    pub(crate) slow_percent: u64,
    pub(crate) slow_ms: u64,
    pub(crate) decline_percent: u64,
    pub(crate) cut_percent: u64,
    pub(crate) journal: Option<PathBuf>,
    pub(crate) ports_file: Option<PathBuf>,
}

impl Options {
    /// Kinds whose executions can be stopped with a checkpoint.
    pub(crate) fn checkpointed(&self) -> impl Iterator<Item = &str> {
        self.checkpoints.split(',').filter(|kind| !kind.is_empty())
    }
}

/// Parser of the command line.
pub(crate) fn parser() -> OptionParser<Options> {
    let agent = long("agent").help("Announce port of the agent").argument::<SocketAddr>("ADDR");
    let addr = long("addr")
        .help("Address to listen on")
        .argument::<SocketAddr>("ADDR")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let service = long("service").help("Service to announce").argument::<String>("NAME");
    let kinds = long("kinds").help("Kinds to announce, with commas").argument::<String>("NAMES");
    let checkpoints = long("checkpoints")
        .help("Kinds whose executions can be stopped with a checkpoint, with commas")
        .argument::<String>("NAMES")
        .fallback(String::new());
    let slots = long("slots").help("Executions at once").argument::<u32>("N").fallback(8);
    let connections =
        long("connections").help("Connections at once").argument::<u32>("N").fallback(64);
    let delay_ms = long("delay-ms")
        .help("Time that an execution takes, in milliseconds")
        .argument::<u64>("MS")
        .fallback(5);
    let share = |flag: &'static str, help: &'static str| {
        long(flag)
            .help(help)
            .argument::<u64>("PERCENT")
            .guard(|percent| *percent <= 100, "allowed is 0 to 100 percent")
            .fallback(0)
    };
    let fail_percent =
        share("fail-percent", "Share of executions that answer with status 500, in percent");
    let slow_percent = share("slow-percent", "Share of executions that take longer, in percent");
    let slow_ms = long("slow-ms")
        .help("Further time that a slow execution takes, in milliseconds")
        .argument::<u64>("MS")
        .fallback(100);
    let decline_percent = share(
        "decline-percent",
        "Share of requests that are refused as not run, with status 503, in percent",
    );
    let cut_percent = share("cut-percent", "Share of answers whose connection is cut, in percent");
    let journal = long("journal")
        .help("File that every execution is appended to")
        .argument::<PathBuf>("FILE")
        .optional();
    let ports_file = long("ports-file")
        .help("File that the address in use is written to")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Options {
        agent,
        addr,
        service,
        kinds,
        checkpoints,
        slots,
        connections,
        delay_ms,
        fail_percent,
        slow_percent,
        slow_ms,
        decline_percent,
        cut_percent,
        journal,
        ports_file
    })
    .to_options()
    .descr("Stand-in back end for tests and the demo")
}
