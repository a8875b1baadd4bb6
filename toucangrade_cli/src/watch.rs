//! Reads the watch stream of a control instance and resumes it after a lost connection.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::{sleep, timeout};
use toucangrade::CallError;

use crate::failure::Failure;
use crate::instances::ControlClient;

/// Time without a byte after which a connection counts as lost. With `beat=1`, control sends an
/// empty line every 5 s, so three of them are missing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum time until a control instance begins its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// First delay before the control instances are tried again; doubled up to [`RETRY_DELAY_MAX`].
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay before the control instances are tried again.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);

/// Start and limit of a watch.
pub(crate) struct Watch {
    /// Revision after which changes are delivered; `None` starts at the oldest change that is kept.
    pub(crate) since: Option<u64>,
    /// Time after which the watch fails; `None` has no limit.
    pub(crate) limit: Option<Duration>,
    /// Whether a control instance answered an earlier request, so that the addresses are known to
    /// be right and unreachable instances are retried.
    pub(crate) answered: bool,
}

/// Result of one connection.
enum Outcome {
    /// The callback ended the watch.
    Done,
    /// The connection failed or was lost, or the watch has to be started again.
    Lost,
}

impl Watch {
    /// Passes each change to `on_change` until that returns true; reports reconnections on `notes`.
    pub(crate) fn follow(
        &self,
        client: &ControlClient,
        notes: &mut dyn Write,
        mut on_change: impl FnMut(&Value) -> Result<bool, Failure>,
    ) -> Result<(), Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Failure::Io)?;
        let (since, strict) = (self.since.unwrap_or(0), self.since.is_some());
        let mut position = Position { since, strict, answered: self.answered };
        let run = self.run(client, notes, &mut position, &mut on_change);
        runtime.block_on(async {
            match self.limit {
                Some(limit) => timeout(limit, run)
                    .await
                    .unwrap_or(Err(Failure::TimedOut { seconds: limit.as_secs() })),
                None => run.await,
            }
        })
    }

    async fn run(
        &self,
        client: &ControlClient,
        notes: &mut dyn Write,
        position: &mut Position,
        on_change: &mut impl FnMut(&Value) -> Result<bool, Failure>,
    ) -> Result<(), Failure> {
        let mut delay = RETRY_DELAY;
        loop {
            for &addr in client.addrs() {
                let began = Instant::now();
                if matches!(position.read(addr, on_change).await?, Outcome::Done) {
                    return Ok(());
                }
                // A connection that lasted shows that control works, so the delay starts over.
                if began.elapsed() > RETRY_DELAY_MAX {
                    delay = RETRY_DELAY;
                }
                let note = format!("{addr}: no stream, resuming after revision {}", position.since);
                writeln!(notes, "toucangrade: {note}").map_err(Failure::Io)?;
            }
            if !position.answered {
                // No instance ever answered, so the addresses are probably wrong.
                return Err(client.unreachable(CallError::Connect));
            }
            sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }
}

/// Progress of a watch across connections.
struct Position {
    /// Revision after which the stream resumes.
    since: u64,
    /// Whether missing changes after `since` are an error, since the caller asked for that revision
    /// or has received changes up to it.
    strict: bool,
    /// Whether any control instance has answered.
    answered: bool,
}

impl Position {
    /// Reads from one control instance until the connection ends.
    async fn read(
        &mut self,
        addr: SocketAddr,
        on_change: &mut impl FnMut(&Value) -> Result<bool, Failure>,
    ) -> Result<Outcome, Failure> {
        let client: legacy::Client<HttpConnector, Empty<Bytes>> =
            legacy::Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{addr}/v1/watch?since={}&beat=1", self.since);
        let Ok(uri) = uri.parse() else { return Ok(Outcome::Lost) };
        let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, client.get(uri)).await else {
            return Ok(Outcome::Lost);
        };
        self.answered = true;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        if status == 410 {
            return self.handle_compacted(body).await;
        }
        if status == 503 {
            return Ok(Outcome::Lost);
        }
        if status != 200 {
            let body = read_json(body).await;
            return Err(Failure::Refused { status, body });
        }
        let mut text: Vec<u8> = Vec::new();
        while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, body.frame()).await {
            text.extend(frame.into_data().unwrap_or_default());
            while let Some(end) = text.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                // Empty lines only show that the connection is alive.
                let Ok(change) = serde_json::from_slice::<Value>(&line) else { continue };
                let revision = change["revision"].as_u64().unwrap_or_default();
                if revision <= self.since {
                    continue;
                }
                (self.since, self.strict) = (revision, true);
                if on_change(&change)? {
                    return Ok(Outcome::Done);
                }
            }
        }
        Ok(Outcome::Lost)
    }

    /// Handles status 410: resumes at the oldest change that is kept, or fails if changes after a
    /// required revision would be skipped.
    async fn handle_compacted(&mut self, body: Incoming) -> Result<Outcome, Failure> {
        let oldest = read_json(body).await["oldest"].as_u64().unwrap_or_default();
        if self.strict {
            return Err(Failure::Compacted { since: self.since, oldest });
        }
        self.since = oldest;
        Ok(Outcome::Lost)
    }
}

async fn read_json(body: Incoming) -> Value {
    let bytes = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}
