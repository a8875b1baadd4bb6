//! Decides from the head of a request whether its body is read, and reads it within the limits.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, FutureExt, select};
use tokio::time::{Instant, sleep, timeout_at};
use xitca_web::body::{BodyExt, RequestBody};
use xitca_web::error::BodyError;
use xitca_web::http::header::{CONTENT_LENGTH, EXPECT, HeaderMap, TRANSFER_ENCODING};
use xitca_web::http::request;

use super::budget::{Cause, Connection};
use super::ledger::{FREE_BYTES, Phase};
use super::server::{Head, Outbound, State};

/// Bytes of a body that have to arrive within each body timeout. A client that sends single bytes
/// would otherwise keep its connection and memory for days.
const MIN_PROGRESS: usize = 1_024;
/// Time for which bodies are still read while the server stops.
const STOP_GRACE: Duration = Duration::from_millis(250);
/// Value of `retry-after` if no memory is left: bodies are read within a fraction of it.
const RETRY_AFTER_S: &str = "1";

/// The body of a request, as far as it isn't read.
pub(super) type Rest = Option<Pin<Box<RequestBody>>>;

/// A request that is refused before the handler is called, so nothing has run.
pub(super) struct Refused {
    pub(super) cause: Cause,
    pub(super) outbound: Outbound,
    /// Whether the connection is closed after the answer.
    pub(super) close: bool,
}

fn refused(cause: Cause, status: u16, code: &str, reason: &str) -> Refused {
    let body = serde_json::json!({ "error": code, "reason": reason, "verdict": "not-run" });
    let outbound = Outbound::json(status, &body).with_text("toucangrade-verdict", "not-run");
    Refused { cause, outbound, close: true }
}

fn no_memory() -> Refused {
    let reason = "no memory is left for the body of this request";
    let mut refused = refused(Cause::Memory, 503, "no-memory", reason);
    refused.outbound = refused.outbound.with_text("retry-after", RETRY_AFTER_S);
    refused
}

/// The answer on a connection that is closed before its request is run.
pub(super) fn shed() -> Refused {
    no_memory()
}

fn too_large(limit: usize) -> Refused {
    let reason = format!("the request body exceeds {limit} bytes");
    refused(Cause::BodySize, 413, "body-too-large", &reason)
}

/// Whether the head announces a body.
pub(super) fn has_body(head: &request::Parts) -> bool {
    head.headers.contains_key(TRANSFER_ENCODING)
        || declared(&head.headers).is_some_and(|length| length > 0)
}

/// Whether the client waits for leave to send the body.
pub(super) fn expects_continue(headers: &HeaderMap) -> bool {
    headers.contains_key(EXPECT)
}

fn declared(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The number of bytes that the body of this request may have; refuses it if the head suffices.
pub(super) fn body_limit(state: &State, head: &request::Parts) -> Result<usize, Refused> {
    let limits = state.budget.limits();
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    if fields.sum::<usize>() + target > limits.header {
        let reason = format!("the request head exceeds {} bytes", limits.header);
        return Err(refused(Cause::HeadSize, 431, "head-too-large", &reason));
    }
    let mut limit = limits.body;
    if let Some(screen) = &state.screen {
        let path = head.uri.path();
        let screened = screen(Head { method: &head.method, path, headers: &head.headers });
        let wanted = screened.map_err(|outbound| Refused {
            cause: Cause::Route,
            outbound: outbound.with_text("toucangrade-verdict", "not-run"),
            close: has_body(head),
        })?;
        limit = limit.min(wanted);
    }
    let length = declared(&head.headers).unwrap_or_default();
    if usize::try_from(length).is_ok_and(|length| length <= limit) {
        return Ok(limit);
    }
    Err(too_large(limit))
}

/// Reads a body of at most `limit` bytes.
pub(super) async fn read(
    state: &State,
    connection: &Connection,
    rest: &mut Rest,
    limit: usize,
) -> Result<Bytes, Refused> {
    let Some(body) = rest else { return Ok(Bytes::new()) };
    connection.enter(Phase::Body);
    let timeout = state.budget.limits().body_timeout;
    let mut stopped = pin!(async {
        state.tracker.stopped().await;
        sleep(STOP_GRACE).await;
    });
    let (mut collected, mut recent) = (Vec::new(), 0);
    let mut deadline = Instant::now() + timeout;
    loop {
        // Small bodies come with their head, so most need no timer.
        let next = match body.as_mut().data().now_or_never() {
            Some(next) => next,
            None => wait(body, deadline, stopped.as_mut()).await?,
        };
        let Some(chunk) = next else { return Ok(Bytes::from(collected)) };
        let chunk = chunk
            .map_err(|_| refused(Cause::BodyStalled, 400, "cut-body", "the body was cut off"))?;
        if collected.len() + chunk.len() > limit {
            return Err(too_large(limit));
        }
        if !grow(connection, &mut collected, chunk.len(), limit) {
            return Err(no_memory());
        }
        collected.extend_from_slice(&chunk);
        recent += chunk.len();
        if recent >= MIN_PROGRESS {
            recent = 0;
            deadline = Instant::now() + timeout;
        }
    }
}

/// Waits for the next bytes of a body until the deadline passes or the server stops.
async fn wait(
    body: &mut Pin<Box<RequestBody>>,
    deadline: Instant,
    stopped: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<Result<Bytes, BodyError>>, Refused> {
    let mut body = body.as_mut();
    let next = pin!(timeout_at(deadline, body.data()));
    match select(next, stopped).await {
        Either::Left((Ok(next), _)) => Ok(next),
        Either::Left((Err(_), _)) => {
            let reason = "the request body made no progress";
            Err(refused(Cause::BodyStalled, 408, "stalled-body", reason))
        },
        Either::Right(_) => Err(refused(Cause::Stopping, 503, "stopping", "the server stops")),
    }
}

/// Makes room for `more` bytes, for which the connection reserves memory; false if none is left.
fn grow(connection: &Connection, collected: &mut Vec<u8>, more: usize, limit: usize) -> bool {
    let (needed, before) = (collected.len() + more, collected.capacity());
    if needed <= before {
        return true;
    }
    let after = needed.max(before * 2).min(limit);
    let counted = |bytes: usize| bytes.saturating_sub(FREE_BYTES);
    let reserve = counted(after) - counted(before);
    if reserve > 0 && !connection.reserve(reserve) {
        return false;
    }
    collected.reserve_exact(after - collected.len());
    true
}
