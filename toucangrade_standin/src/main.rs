//! Stand-in back end: announces itself to an agent, answers requests after a delay, injects faults
//! on request and records every execution in a journal.

mod options;
mod runner;

#[cfg(test)]
mod tests;

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;
use toucangrade::{Client, Exchange, Server, Span};

use crate::options::Options;
use crate::runner::Runner;

/// Interval between announcements; also their timeout.
const ANNOUNCE_INTERVAL: Span = Span::millis(500);
/// Time that a leaving back end keeps serving for starts that its agent sent before it received the
/// announcement.
const LEAVE_DELAY: Duration = Duration::from_secs(1);
/// Time that a leaving back end keeps serving if its agent did not acknowledge the announcement. An
/// announcement expires after 3 s, so the agent drops the back end by itself before.
const LEAVE_DELAY_UNACKNOWLEDGED: Duration = Duration::from_secs(4);
/// Interval at which the SIGTERM flag is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> io::Result<()> {
    let options = options::parser().run();
    let leaving = Arc::new(AtomicBool::new(false));
    // A second signal ends the process at once.
    flag::register_conditional_shutdown(SIGTERM, 1, Arc::clone(&leaving))?;
    flag::register(SIGTERM, Arc::clone(&leaving))?;
    let runner = Runner::open(&options)?;
    let server = Server::start(TcpListener::bind(options.addr)?, 2, runner.handler())?;
    if let Some(path) = &options.ports_file {
        let draft = path.with_extension("draft");
        std::fs::write(&draft, format!("backend={}\n", server.addr))?;
        std::fs::rename(draft, path)?;
    }
    announce(&options, &runner, server.addr, &leaving)?;
    server.stop();
    Ok(())
}

/// Announces the runner to its agent until `leaving` is set and all executions have ended.
fn announce(
    options: &Options,
    runner: &Runner,
    addr: std::net::SocketAddr,
    leaving: &AtomicBool,
) -> io::Result<()> {
    let client = Client::start()?;
    let mut leaving_since: Option<Instant> = None;
    loop {
        if leaving.load(Ordering::Relaxed) {
            leaving_since = leaving_since.or_else(|| Some(Instant::now()));
        }
        let body = json!({
            "service": options.service,
            "kinds": options.kinds.split(',').collect::<Vec<_>>(),
            "slots": options.slots,
            "connections": options.connections,
            "addr": addr,
            "busy": runner.busy(),
            "checkpoints": options.checkpointed().collect::<Vec<_>>(),
            "leaving": leaving_since.is_some(),
        });
        let body = Bytes::from(body.to_string());
        let exchange = Exchange::post(options.agent, "/v1/announce", body, ANNOUNCE_INTERVAL);
        let mut acknowledged = false;
        match client.call(exchange) {
            Ok(response) if response.status == 200 => acknowledged = leaving_since.is_some(),
            Ok(response) => {
                let reason = String::from_utf8_lossy(&response.body).into_owned();
                eprintln!("toucangrade_standin: announcement refused: {reason}");
            },
            Err(error) => eprintln!("toucangrade_standin: {error}"),
        }
        let wait = if acknowledged { LEAVE_DELAY } else { LEAVE_DELAY_UNACKNOWLEDGED };
        if leaving_since.is_some_and(|since| since.elapsed() >= wait) && runner.busy() == 0 {
            return Ok(());
        }
        let next = Instant::now() + ANNOUNCE_INTERVAL.duration();
        while Instant::now() < next && (leaving_since.is_some() || !leaving.load(Ordering::Relaxed))
        {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
