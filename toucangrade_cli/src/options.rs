//! Options of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// What to do.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Writes a resource from a JSON file.
    Apply { collection: String, name: String, file: PathBuf, revision: Option<u64> },
    /// Deletes a resource.
    Delete { collection: String, name: String, revision: Option<u64> },
    /// Prints the state of a process.
    Dump,
    /// Says why a request came out as it did.
    Explain { key: String },
    /// Prints a resource.
    Get { collection: String, name: String },
    /// Prints all resources of a collection.
    List { collection: String },
    /// Prints which processes are live and which revision each has in force.
    Status,
}

/// Options of all commands, and the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) control: SocketAddr,
    pub(crate) token: Option<String>,
    pub(crate) json: bool,
    pub(crate) action: Action,
}

/// Parser of the command line and environment.
pub(crate) fn parser() -> OptionParser<Options> {
    let control = long("control")
        .env("TOUCANGRADE_OPERATOR_ADDR")
        .help("Operator address of a control instance; for dump, any port of a process")
        .argument::<SocketAddr>("ADDR");
    let token = long("token")
        .env("TOUCANGRADE_TOKEN")
        .help("Token for writes")
        .argument::<String>("TOKEN")
        .optional();
    let json = long("json").help("Print JSON for programs").switch();
    let action = action();
    construct!(Options { control, token, json, action })
        .to_options()
        .descr("Declares and follows services, batch jobs, watches and quotas")
        .version(env!("CARGO_PKG_VERSION"))
}

fn collection() -> impl Parser<String> {
    positional::<String>("COLLECTION").help("services, jobs, watches or quotas")
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("Name of the resource")
}

fn revision() -> impl Parser<Option<u64>> {
    long("if-revision")
        .help("Write only if the resource has this revision; 0 if it must not exist")
        .argument::<u64>("REVISION")
        .optional()
}

fn action() -> impl Parser<Action> {
    let file = long("file").help("JSON file with the contents").argument::<PathBuf>("FILE");
    let (collection1, name1, revision1) = (collection(), name(), revision());
    let apply = construct!(Action::Apply {
        revision(revision1),
        file,
        collection(collection1),
        name(name1),
    })
    .to_options()
    .descr("Write a resource")
    .command("apply");
    let (collection2, name2, revision2) = (collection(), name(), revision());
    let delete = construct!(Action::Delete {
        revision(revision2),
        collection(collection2),
        name(name2),
    })
    .to_options()
    .descr("Delete a resource")
    .command("delete");
    let (collection3, name3) = (collection(), name());
    let get = construct!(Action::Get { collection(collection3), name(name3) })
        .to_options()
        .descr("Print a resource")
        .command("get");
    let collection4 = collection();
    let list = construct!(Action::List { collection(collection4) })
        .to_options()
        .descr("Print all resources of a collection")
        .command("list");
    let key = positional::<String>("KEY").help("Idempotency key of the request");
    let explain = construct!(Action::Explain { key })
        .to_options()
        .descr("Say why a request came out as it did")
        .command("explain");
    let dump =
        bpaf::pure(Action::Dump).to_options().descr("Print the state of a process").command("dump");
    let status = bpaf::pure(Action::Status)
        .to_options()
        .descr("Print which processes are live and current")
        .command("status");
    construct!([apply, delete, dump, explain, get, list, status])
}
