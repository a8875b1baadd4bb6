//! Parser of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};

/// A command with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Writes a resource from a JSON file.
    Apply { revision: Option<u64>, file: PathBuf, collection: String, name: String },
    /// Deletes a job.
    Cancel { name: String },
    /// Deletes a resource.
    Delete { revision: Option<u64>, collection: String, name: String },
    /// Makes a process drain and exit.
    Drain { process: Option<SocketAddr> },
    /// Prints the state dump of a process.
    Dump { process: Option<SocketAddr> },
    /// Prints why a request had its outcome.
    Explain { key: String },
    /// Prints a resource.
    Get { collection: String, name: String },
    /// Prints all resources of a collection.
    List { collection: String },
    /// Lists or changes the members of the control group.
    Members(Members),
    /// Summarises the failures of a period.
    Review { from: Option<String>, to: Option<String>, plot: Option<PathBuf> },
    /// Prints which processes are live and which revision of the settings each has in force.
    Status,
    /// Writes a job from a JSON file.
    Submit { wait: bool, limit: u64, file: PathBuf, name: String },
    /// Prints changes as they happen.
    Watch { since: Option<u64>, count: Option<u64> },
}

/// Subcommands of `members`.
#[derive(Clone, Debug)]
pub(crate) enum Members {
    Add { member: String },
    List,
    Remove { name: String },
}

/// Options that all commands share, and the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) token: Option<String>,
    pub(crate) json: bool,
    pub(crate) action: Action,
}

/// Parser of the command line and environment.
pub(crate) fn parser() -> OptionParser<Options> {
    let control = long("control")
        .env("TOUCANGRADE_OPERATOR_ADDR")
        .help("Operator addresses of control instances, with commas; tried in turn")
        .argument::<String>("ADDR,..")
        .parse(|list| list.split(',').map(str::parse).collect::<Result<Vec<SocketAddr>, _>>());
    // Read here and not with `env` of the parser, which would show the token in the help.
    let token = long("token")
        .help("Token for writes and drains; from TOUCANGRADE_TOKEN if not set")
        .argument::<String>("TOKEN")
        .optional()
        .map(|token| token.or_else(|| std::env::var("TOUCANGRADE_TOKEN").ok()));
    let json = long("json").help("Print JSON for programs").switch();
    let action = action();
    construct!(Options { control, token, json, action })
        .to_options()
        .descr("Declares and follows services, batch jobs, watches and quotas")
        .version(env!("CARGO_PKG_VERSION"))
}

fn collection() -> impl Parser<String> {
    let names = |value: &String| -> Vec<(&'static str, Option<&'static str>)> {
        let all = ["jobs", "quotas", "services", "watches"];
        all.into_iter().filter(|n| n.starts_with(value.as_str())).map(|n| (n, None)).collect()
    };
    positional::<String>("COLLECTION").help("services, jobs, watches or quotas").complete(names)
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("Name of the resource")
}

fn file() -> impl Parser<PathBuf> {
    long("file").help("JSON file with the contents").argument::<PathBuf>("FILE")
}

fn revision() -> impl Parser<Option<u64>> {
    long("if-revision")
        .help("Write only if the resource has this revision; 0 if it must not exist")
        .argument::<u64>("REVISION")
        .optional()
}

fn process() -> impl Parser<Option<SocketAddr>> {
    long("process")
        .help("Peer or operator address of the process, when it is not the control instance")
        .argument::<SocketAddr>("ADDR")
        .optional()
}

/// Lists and changes the members of the control group.
fn members() -> impl Parser<Action> {
    let member = positional::<String>("NAME=ADDR").help("Name and peer address");
    let add = construct!(Members::Add { member }).to_options().command("add");
    let list = pure(Members::List).to_options().command("list");
    let name = name();
    let remove = construct!(Members::Remove { name }).to_options().command("remove");
    let members = construct!([add, list, remove]);
    members
        .map(Action::Members)
        .to_options()
        .descr("Members of the control group")
        .command("members")
}

fn resources() -> impl Parser<Action> {
    let (collection1, name1, revision1, file1) = (collection(), name(), revision(), file());
    let apply = construct!(Action::Apply {
        revision(revision1),
        file(file1),
        collection(collection1),
        name(name1),
    })
    .to_options()
    .descr("Write a resource")
    .command("apply");
    let name2 = positional::<String>("NAME").help("Name of the job");
    let cancel = construct!(Action::Cancel { name(name2) })
        .to_options()
        .descr("Delete a job")
        .command("cancel");
    let (collection3, name3, revision3) = (collection(), name(), revision());
    let delete =
        construct!(Action::Delete { revision(revision3), collection(collection3), name(name3) })
            .to_options()
            .descr("Delete a resource")
            .command("delete");
    let (collection4, name4) = (collection(), name());
    let get = construct!(Action::Get { collection(collection4), name(name4) })
        .to_options()
        .descr("Print a resource")
        .command("get");
    let collection5 = collection();
    let list = construct!(Action::List { collection(collection5) })
        .to_options()
        .descr("Print all resources of a collection")
        .command("list");
    construct!([apply, cancel, delete, get, list])
}

fn jobs() -> impl Parser<Action> {
    let wait = long("wait").help("Follow the job to its final state").switch();
    let limit = long("wait-limit-s")
        .help("Longest wait in seconds; a day if missing")
        .argument::<u64>("SECONDS")
        .fallback(86_400);
    let (file, name) = (file(), positional::<String>("NAME").help("Name of the job"));
    construct!(Action::Submit { wait, limit, file, name })
        .to_options()
        .descr("Write a job that must not exist yet")
        .command("submit")
}

fn process_commands() -> impl Parser<Action> {
    let process1 = process();
    let drain = construct!(Action::Drain { process(process1) })
        .to_options()
        .descr("Ask a process to drain and end")
        .command("drain");
    let process2 = process();
    let dump = construct!(Action::Dump { process(process2) })
        .to_options()
        .descr("Print the state of a process")
        .command("dump");
    let status = pure(Action::Status)
        .to_options()
        .descr("Print which processes are live and current")
        .command("status");
    construct!([drain, dump, status])
}

fn action() -> impl Parser<Action> {
    let (resources, jobs, process, members) = (resources(), jobs(), process_commands(), members());
    let key = positional::<String>("KEY").help("Idempotency key of the request");
    let explain = construct!(Action::Explain { key })
        .to_options()
        .descr("Say why a request came out as it did")
        .command("explain");
    let time = |flag: &'static str, help: &'static str| {
        long(flag).help(help).argument::<String>("TIME").optional()
    };
    let from =
        time("from", "Start as RFC 3339 time or unix seconds; a day before the end if missing");
    let to = time("to", "End as RFC 3339 time or unix seconds; now if missing");
    let plot = long("plot")
        .help("Draw latencies and causes into this SVG file")
        .argument::<PathBuf>("FILE")
        .optional();
    let review = construct!(Action::Review { from, to, plot })
        .to_options()
        .descr("Say what went wrong in a period, how often and why")
        .command("review");
    let since = long("since")
        .help("Revision after which changes are shown; all that are kept if missing")
        .argument::<u64>("REVISION")
        .optional();
    let count = long("count").help("End after this many changes").argument::<u64>("N").optional();
    let watch = construct!(Action::Watch { since, count })
        .to_options()
        .descr("Follow changes to resources")
        .command("watch");
    construct!([resources, jobs, explain, review, watch, process, members])
}
