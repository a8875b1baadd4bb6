//! Stand-in worker: runs the tasks that an agent starts on it.

mod worker;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;

use bpaf::{OptionParser, Parser, construct, long};
use toucangrade::Server;

use crate::worker::Worker;

/// Settings of one stand-in worker.
#[derive(Clone, Debug)]
struct Options {
    addr: SocketAddr,
    length: u64,
    journal: Option<PathBuf>,
}

fn parser() -> OptionParser<Options> {
    let addr = long("addr").help("Address to listen on").argument::<SocketAddr>("ADDR");
    let length = long("task-seconds")
        .help("Work of a task, in core seconds")
        .argument::<u64>("SECONDS")
        .fallback(5);
    let journal = long("journal")
        .help("File that starts, ends and stops are appended to")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Options { addr, length, journal })
        .to_options()
        .descr("Stand-in worker for tests and the demo")
}

fn main() -> io::Result<()> {
    let options = parser().run();
    let worker = Worker::open(options.length, options.journal.as_deref())?;
    let _server = Server::start(TcpListener::bind(options.addr)?, 1, worker.handler())?;
    loop {
        thread::park();
    }
}
