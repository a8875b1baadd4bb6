//! HTTP server on `xitca-web` that reads requests and writes the responses of a handler. It also
//! limits body sizes, and waits for responses in flight when it is stopped.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use socket2::{SockFilter, SockRef};
use tokio::sync::mpsc;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use xitca_web::http::{Method, StatusCode, WebResponse};
use xitca_web::service::fn_service;
use xitca_web::{App, WebContext};

use super::BODY_LIMIT;
use super::body::{FullBody, RequestGuard, RequestTracker, StreamBody};

/// Longest time that [`Server::stop`] waits for responses in flight; equal to the default of the
/// drain timeout setting.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which an idle connection is closed. The client of this crate closes its idle
/// connections after 4 s, so it doesn't reuse one just as the server closes it, which would look
/// like a lost response.
#[cfg(not(test))]
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Time after which an idle connection is closed in tests: longer than the limits of all tests, so
/// that a stop that waits for an idle connection fails the test.
#[cfg(test)]
const KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Time after a stop begins in which connections of the accept queue are read for their first
/// request.
const BACKLOG_GRACE: Duration = Duration::from_millis(100);
/// BPF program that drops TCP segments with the SYN flag, which open new connections, and passes
/// all others: loads the byte with the flags of the TCP header and tests SYN.
const DROP_SYN_FILTER: [(u16, u8, u8, u32); 4] =
    [(0x30, 0, 0, 13), (0x45, 0, 1, 0x02), (0x06, 0, 0, 0), (0x06, 0, 0, u32::MAX)];
/// Time for connections to write the terminating chunk of a stream, which is written after the body
/// has ended.
const STREAM_END_DELAY: Duration = Duration::from_millis(50);

/// A request as passed to the handler.
#[derive(Debug)]
pub struct Inbound {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty if missing.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Inbound {
    /// The value of a header, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of a query parameter, without percent-decoding.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// The non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}

/// Body of a response.
#[derive(Debug)]
pub enum Payload {
    /// Chunks that are sent as they arrive; the response ends when the sender is dropped or the
    /// server is stopped.
    Stream(mpsc::Receiver<Bytes>),
    /// The complete body.
    Whole(Bytes),
}

/// A response as returned by the handler.
#[derive(Debug)]
pub struct Outbound {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Payload,
}

impl Outbound {
    /// A response with a complete body.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self { status, headers: Vec::new(), body: Payload::Whole(body.into()) }
    }

    /// A JSON response.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::new(status, value.to_string())
            .with(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Adds a header with a text value; a text that is no valid header value is ignored.
    #[must_use]
    pub fn with_text(self, name: &'static str, value: &str) -> Self {
        match HeaderValue::from_str(value) {
            Ok(value) => self.with(HeaderName::from_static(name), value),
            Err(_) => self,
        }
    }
}

/// Closure that handles one request.
pub type Handler = Arc<dyn Fn(Inbound) -> LocalBoxFuture<'static, Outbound> + Send + Sync>;

/// A running HTTP server.
pub struct Server {
    tracker: Arc<RequestTracker>,
    /// Clone of the listening socket, on which a stop sets the SYN filter.
    listener: TcpListener,
    handle: xitca_server::ServerHandle,
    thread: JoinHandle<()>,
    /// The address that the server listens on.
    pub addr: SocketAddr,
}

impl Server {
    /// Starts a server on `listener` with `threads` worker threads.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the server can't be started.
    pub fn start(listener: TcpListener, threads: usize, handler: Handler) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        let listening_socket = listener.try_clone()?;
        let tracker = RequestTracker::new();
        let mut running = App::new()
            .with_state((handler, Arc::clone(&tracker)))
            .at("/", fn_service(handle_request))
            .at("/{*path}", fn_service(handle_request))
            .serve()
            .worker_threads(threads)
            .disable_signal()
            .keep_alive_timeout(KEEP_ALIVE)
            .listen(listener)?
            .run();
        let handle = running.handle()?;
        let thread = std::thread::Builder::new().name("http".to_owned()).spawn(move || {
            if let Err(error) = running.wait() {
                tracing::error!(%error, "HTTP server failed");
            }
        })?;
        Ok(Self { tracker, listener: listening_socket, handle, thread, addr })
    }

    /// Stops the server after the responses in flight are written, for which it waits at most 30 s;
    /// returns the number of responses that were cut off.
    pub fn stop(self) -> usize {
        self.stop_within(DRAIN_TIMEOUT)
    }

    /// Stops the server after the responses in flight are written, for which it waits at most
    /// `limit`; returns the number of responses that were cut off.
    ///
    /// Idle connections are closed. The graceful stop of `xitca-web` would wait for their
    /// keep-alive timeout.
    ///
    /// Closing a listening socket resets the connections in its accept queue, and their clients
    /// can't know whether their request was read. So a filter blocks new connections first, and
    /// those in the queue are served. A client that connects meanwhile is refused once the socket
    /// is closed.
    pub fn stop_within(self, limit: Duration) -> usize {
        self.tracker.stop();
        let filter = DROP_SYN_FILTER.map(|(code, jt, jf, k)| SockFilter::new(code, jt, jf, k));
        if let Err(error) = SockRef::from(&self.listener).attach_filter(&filter) {
            tracing::warn!(%error, "SYN filter can't be set, queued connections may be reset");
        }
        std::thread::sleep(BACKLOG_GRACE);
        let cut = self.tracker.wait(limit);
        std::thread::sleep(STREAM_END_DELAY);
        self.handle.stop(false);
        if self.thread.join().is_err() {
            tracing::error!("HTTP server thread panicked");
        }
        if cut > 0 {
            tracing::error!(cut, addr = %self.addr, "responses were cut off");
        }
        cut
    }
}

type State = (Handler, Arc<RequestTracker>);

/// Reads the body, calls the handler and builds the response.
async fn handle_request(mut ctx: WebContext<'_, State>) -> Result<WebResponse, Infallible> {
    let (handler, tracker) = ctx.state().clone();
    let guard = tracker.track();
    let request = ctx.take_request();
    let (head, ext) = request.into_parts();
    let (_, body) = ext.replace_body(());
    let outbound = match read_body(body).await {
        Ok(body) => {
            let path = head.uri.path().to_owned();
            let query = head.uri.query().unwrap_or_default().to_owned();
            handler(Inbound { method: head.method, path, query, headers: head.headers, body }).await
        },
        Err(refused) => refused,
    };
    let mut response = respond(outbound, guard);
    if tracker.stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Reads a request body of at most `BODY_LIMIT` bytes.
async fn read_body(body: RequestBody) -> Result<Bytes, Outbound> {
    let mut body = pin!(body);
    let mut collected = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| refusal(400, "cut-body", "the request body was cut off"))?;
        if collected.len() + chunk.len() > BODY_LIMIT {
            let reason = format!("the request body exceeds {BODY_LIMIT} bytes");
            return Err(refusal(413, "body-too-large", &reason));
        }
        collected.extend_from_slice(&chunk);
    }
    Ok(collected.freeze())
}

/// Refuses a request before the handler is called, so nothing has run.
fn refusal(status: u16, code: &str, reason: &str) -> Outbound {
    let body = serde_json::json!({ "error": code, "reason": reason, "verdict": "not-run" });
    Outbound::json(status, &body).with_text("toucangrade-verdict", "not-run")
}

fn respond(outbound: Outbound, guard: RequestGuard) -> WebResponse {
    let body = match outbound.body {
        Payload::Whole(bytes) => ResponseBody::boxed(FullBody::new(bytes, guard)),
        Payload::Stream(chunks) => ResponseBody::boxed(StreamBody::new(chunks, guard)),
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() =
        StatusCode::from_u16(outbound.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().extend(outbound.headers);
    response
}
