//! Stand-in back end: announces itself, answers after a delay and journals every execution.

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

/// Time between two announcements.
const ANNOUNCE_EVERY: Span = Span::millis(500);
/// Time for which a leaving back end serves on, so that starts sent before its agent knew arrive.
const LEAVE: Duration = Duration::from_secs(1);
/// Time after which an agent that can't be told drops the back end by itself: an announcement
/// lapses after 3 s.
const LAPSE: Duration = Duration::from_secs(4);
/// Time between two looks at whether the process was told to end.
const LOOK: Duration = Duration::from_millis(50);

fn main() -> io::Result<()> {
    let options = options::parser().run();
    let leaving = Arc::new(AtomicBool::new(false));
    // A second signal ends the process at once.
    flag::register_conditional_shutdown(SIGTERM, 1, Arc::clone(&leaving))?;
    flag::register(SIGTERM, Arc::clone(&leaving))?;
    let runner = Runner::open(&options)?;
    let server = Server::start(TcpListener::bind(options.addr)?, 2, runner.handler())?;
    if let Some(path) = &options.ports {
        let draft = path.with_extension("draft");
        std::fs::write(&draft, format!("backend={}\n", server.addr))?;
        std::fs::rename(draft, path)?;
    }
    announce(&options, &runner, server.addr, &leaving)?;
    server.stop();
    Ok(())
}

/// Announces the runner to its agent until the process is told to end and all work is done.
fn announce(
    options: &Options,
    runner: &Runner,
    addr: std::net::SocketAddr,
    leaving: &AtomicBool,
) -> io::Result<()> {
    let client = Client::start()?;
    let mut left: Option<Instant> = None;
    loop {
        if leaving.load(Ordering::Relaxed) {
            left = left.or_else(|| Some(Instant::now()));
        }
        let body = json!({
            "service": options.service,
            "kinds": options.kinds.split(',').collect::<Vec<_>>(),
            "slots": options.slots,
            "connections": options.connections,
            "addr": addr,
            "busy": runner.busy(),
            "checkpoints": options.checkpointed().collect::<Vec<_>>(),
            "leaving": left.is_some(),
        });
        let body = Bytes::from(body.to_string());
        let exchange = Exchange::post(options.agent, "/v1/announce", body, ANNOUNCE_EVERY);
        let mut known = false;
        match client.call(exchange) {
            Ok(response) if response.status == 200 => known = left.is_some(),
            Ok(response) => {
                let reason = String::from_utf8_lossy(&response.body).into_owned();
                eprintln!("toucangrade_standin: announcement refused: {reason}");
            },
            Err(error) => eprintln!("toucangrade_standin: {error}"),
        }
        let wait = if known { LEAVE } else { LAPSE };
        if left.is_some_and(|left| left.elapsed() >= wait) && runner.busy() == 0 {
            return Ok(());
        }
        let next = Instant::now() + ANNOUNCE_EVERY.duration();
        while Instant::now() < next && (left.is_some() || !leaving.load(Ordering::Relaxed)) {
            thread::sleep(LOOK);
        }
    }
}
