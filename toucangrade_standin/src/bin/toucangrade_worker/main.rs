//! Stand-in worker: serves the task API of a worker to an agent.

mod worker;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;

use bpaf::{OptionParser, Parser, construct, long};
use toucangrade::Server;

use crate::worker::Worker;

/// Settings of a stand-in worker.
#[derive(Clone, Debug)]
struct Options {
    addr: SocketAddr,
    /// Core seconds of work in a task.
    task_seconds: u64,
    journal: Option<PathBuf>,
}

fn parser() -> OptionParser<Options> {
    let addr = long("addr").help("Address to listen on").argument::<SocketAddr>("ADDR");
    let task_seconds = long("task-seconds")
        .help("Work of a task, in core seconds")
        .argument::<u64>("SECONDS")
        .fallback(5);
    let journal = long("journal")
        .help("File that starts, ends and stops are appended to")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Options { addr, task_seconds, journal })
        .to_options()
        .descr("Stand-in worker for tests and the demo")
}

fn main() -> io::Result<()> {
    let options = parser().run();
    let worker = Worker::open(options.task_seconds, options.journal.as_deref())?;
    let _server = Server::start(TcpListener::bind(options.addr)?, 1, worker.handler())?;
    loop {
        thread::park();
    }
}
