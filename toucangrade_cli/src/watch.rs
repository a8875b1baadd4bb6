//! Follows changes, one line each, and resumes by itself after a lost connection.

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
use crate::link::Link;

/// Time without a byte after which a connection counts as lost. Control sends an empty line every
/// 5 s when asked to, so this is three of them missing.
const SILENCE: Duration = Duration::from_secs(15);
/// Time that a control instance may take to begin its response.
const BEGIN: Duration = Duration::from_secs(5);
/// First wait before control instances are tried again; doubled up to [`WAIT_MAX`].
const WAIT: Duration = Duration::from_millis(200);
/// Longest wait before control instances are tried again.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Where and how long to watch.
pub(crate) struct Watch {
    /// Revision after which changes are delivered; from the oldest kept when missing.
    pub(crate) since: Option<u64>,
    /// End of the wait.
    pub(crate) limit: Option<Duration>,
    /// Whether a control instance answered before, so that the addresses are known to be right.
    pub(crate) answered: bool,
}

/// Why a connection ended.
enum Ended {
    /// The reader has what it wanted.
    Done,
    /// The connection was lost or control can't answer now.
    Lost,
}

impl Watch {
    /// Delivers each change to `take` until that gives true; notes reconnections on `notes`.
    pub(crate) fn follow(
        &self,
        link: &Link,
        notes: &mut dyn Write,
        mut take: impl FnMut(&Value) -> Result<bool, Failure>,
    ) -> Result<(), Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Failure::Local)?;
        let (since, given) = (self.since.unwrap_or(0), self.since.is_some());
        let mut position = Position { since, given, begun: self.answered };
        let run = self.run(link, notes, &mut position, &mut take);
        runtime.block_on(async {
            match self.limit {
                Some(limit) => timeout(limit, run)
                    .await
                    .unwrap_or(Err(Failure::Waited { seconds: limit.as_secs() })),
                None => run.await,
            }
        })
    }

    async fn run(
        &self,
        link: &Link,
        notes: &mut dyn Write,
        position: &mut Position,
        take: &mut impl FnMut(&Value) -> Result<bool, Failure>,
    ) -> Result<(), Failure> {
        let mut wait = WAIT;
        loop {
            for &addr in link.control() {
                let began = Instant::now();
                if matches!(position.read(addr, take).await?, Ended::Done) {
                    return Ok(());
                }
                // A connection that held for a while proves that control can answer.
                if began.elapsed() > WAIT_MAX {
                    wait = WAIT;
                }
                let note = format!("{addr}: no stream, resuming after revision {}", position.since);
                writeln!(notes, "toucangrade: {note}").map_err(Failure::Local)?;
            }
            if !position.begun {
                // Nothing was ever reached, so the addresses are probably wrong.
                return Err(link.unreachable(CallError::Connect));
            }
            sleep(wait).await;
            wait = (wait * 2).min(WAIT_MAX);
        }
    }
}

/// How far a watch came.
struct Position {
    since: u64,
    /// Whether the revision to resume from is one that the reader relies on.
    given: bool,
    /// Whether any control instance ever answered.
    begun: bool,
}

impl Position {
    /// Reads from one control instance until the connection ends.
    async fn read(
        &mut self,
        addr: SocketAddr,
        take: &mut impl FnMut(&Value) -> Result<bool, Failure>,
    ) -> Result<Ended, Failure> {
        let client: legacy::Client<HttpConnector, Empty<Bytes>> =
            legacy::Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{addr}/v1/watch?since={}&beat=1", self.since);
        let Ok(uri) = uri.parse() else { return Ok(Ended::Lost) };
        let Ok(Ok(response)) = timeout(BEGIN, client.get(uri)).await else {
            return Ok(Ended::Lost);
        };
        self.begun = true;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        if status == 410 {
            return self.compacted(body).await;
        }
        if status == 503 {
            return Ok(Ended::Lost);
        }
        if status != 200 {
            let body = whole(body).await;
            return Err(Failure::Refused { status, body });
        }
        let mut text: Vec<u8> = Vec::new();
        while let Ok(Some(Ok(frame))) = timeout(SILENCE, body.frame()).await {
            text.extend(frame.into_data().unwrap_or_default());
            while let Some(end) = text.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                // Empty lines only show that the connection lives.
                let Ok(change) = serde_json::from_slice::<Value>(&line) else { continue };
                let revision = change["revision"].as_u64().unwrap_or_default();
                if revision <= self.since {
                    continue;
                }
                (self.since, self.given) = (revision, true);
                if take(&change)? {
                    return Ok(Ended::Done);
                }
            }
        }
        Ok(Ended::Lost)
    }

    /// Goes on from the oldest change kept, unless the reader would miss changes unnoticed.
    async fn compacted(&mut self, body: Incoming) -> Result<Ended, Failure> {
        let oldest = whole(body).await["oldest"].as_u64().unwrap_or_default();
        if self.given {
            return Err(Failure::Compacted { since: self.since, oldest });
        }
        self.since = oldest;
        Ok(Ended::Lost)
    }
}

async fn whole(body: Incoming) -> Value {
    let bytes = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}
