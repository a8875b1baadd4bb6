//! Stand-in back end: announces itself, answers after a delay and journals every execution.

mod options;
mod runner;

#[cfg(test)]
mod tests;

use std::io;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use serde_json::json;
use toucangrade::{Client, Exchange, Server, Span};

use crate::options::Options;
use crate::runner::Runner;

/// Time between two announcements.
const ANNOUNCE_EVERY: Span = Span::millis(500);

fn main() -> io::Result<()> {
    let options = options::parser().run();
    let runner = Runner::open(&options)?;
    let server = Server::start(TcpListener::bind(options.addr)?, 2, runner.handler())?;
    if let Some(path) = &options.ports {
        let draft = path.with_extension("draft");
        std::fs::write(&draft, format!("backend={}\n", server.addr))?;
        std::fs::rename(draft, path)?;
    }
    announce(&options, &runner, server.addr)
}

/// Announces the runner to its agent until the process is ended.
fn announce(options: &Options, runner: &Runner, addr: std::net::SocketAddr) -> io::Result<()> {
    let client = Client::start()?;
    loop {
        let body = json!({
            "service": options.service,
            "kinds": options.kinds.split(',').collect::<Vec<_>>(),
            "slots": options.slots,
            "connections": options.connections,
            "addr": addr,
            "busy": runner.busy(),
            "checkpoints": options.checkpointed().collect::<Vec<_>>(),
        });
        let body = Bytes::from(body.to_string());
        let exchange = Exchange::post(options.agent, "/v1/announce", body, ANNOUNCE_EVERY);
        match client.call(exchange) {
            Ok(response) if response.status == 200 => {},
            Ok(response) => {
                let reason = String::from_utf8_lossy(&response.body).into_owned();
                eprintln!("toucangrade_standin: announcement refused: {reason}");
            },
            Err(error) => eprintln!("toucangrade_standin: {error}"),
        }
        thread::sleep(ANNOUNCE_EVERY.duration());
    }
}
