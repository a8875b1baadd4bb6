//! HTTP server on `xitca-web` that reads requests and writes the responses of a handler. It keeps
//! its clients within the limits of the process, and waits for responses in flight when it is
//! stopped.

use std::convert::Infallible;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, select};
use socket2::{SockFilter, SockRef};
use tokio::sync::mpsc;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::Stream;
use xitca_web::body::ResponseBody;
use xitca_web::http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use xitca_web::http::{Method, StatusCode, WebResponse};
use xitca_web::service::{Service, ServiceExt, fn_service};
use xitca_web::{App, WebContext};

use super::body::{FullBody, RefusalBody, RequestGuard, RequestTracker, StreamBody};
use super::budget::{Budget, Cause, Connection};
use super::intake::{self, Refused};
use super::ledger::{Phase, Source, Tier};
use super::limits::{READ_BUFFER, WRITE_BUFFER};

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

/// Answer to a connection that isn't served.
const NO_CONNECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    toucangrade-verdict: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

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
        segments(&self.path)
    }
}

/// The non-empty segments of a path.
pub fn segments(path: &str) -> Vec<&str> {
    path.split('/').filter(|segment| !segment.is_empty()).collect()
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

/// The head of a request, before its body is read.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path without the query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
}

/// Closure that sees the head of a request before its body is read. It returns the number of bytes
/// that the body may have, or refuses the request, which then isn't run.
pub type Screen = Arc<dyn Fn(Head<'_>) -> Result<usize, Outbound> + Send + Sync>;

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
    /// Starts a server on `listener` with `threads` worker threads and the default limits.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the server can't be started.
    pub fn start(listener: TcpListener, threads: usize, handler: Handler) -> io::Result<Self> {
        Self::builder(listener, handler).threads(threads).start()
    }

    /// Builder of a server on `listener` with one worker thread, for clients outside the system.
    pub fn builder(listener: TcpListener, handler: Handler) -> ServerBuilder {
        let (budget, tier) = (Budget::default(), Tier::Open);
        ServerBuilder { listener, handler, budget, screen: None, threads: 1, tier }
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

/// Builder of [`Server`].
pub struct ServerBuilder {
    listener: TcpListener,
    handler: Handler,
    budget: Budget,
    screen: Option<Screen>,
    threads: usize,
    tier: Tier,
}

impl ServerBuilder {
    /// Sets the account of the process, which all its servers share; one of its own unless set.
    #[must_use]
    pub fn budget(mut self, budget: &Budget) -> Self {
        self.budget = budget.clone();
        self
    }

    /// Sets the closure that sees the head of each request first; unless set, all bodies up to the
    /// limit are read.
    #[must_use]
    pub fn screen(mut self, screen: Screen) -> Self {
        self.screen = Some(screen);
        self
    }

    /// Sets the number of worker threads, one unless set.
    #[must_use]
    pub fn threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Sets whose requests the server serves, those of clients outside the system unless set.
    #[must_use]
    pub fn tier(mut self, tier: Tier) -> Self {
        self.tier = tier;
        self
    }

    /// Starts the server.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the server can't be started.
    pub fn start(self) -> io::Result<Server> {
        let Self { listener, handler, budget, screen, threads, tier } = self;
        let addr = listener.local_addr()?;
        let listening_socket = listener.try_clone()?;
        let limits = budget.limits();
        // Accepted sockets inherit the timeout. The kernel resets a connection whose client doesn't
        // read, which the server can't do while it writes.
        SockRef::from(&listener).set_tcp_user_timeout(Some(limits.write_timeout))?;
        let config = HttpServiceConfig::new()
            .max_read_buf_size::<READ_BUFFER>()
            .max_write_buf_size::<WRITE_BUFFER>()
            .keep_alive_timeout(KEEP_ALIVE)
            .request_head_timeout(limits.head_timeout);
        let tracker = RequestTracker::new();
        let source = Source { port: addr.port(), tier };
        let state =
            Arc::new(State { handler, screen, budget: budget.clone(), tracker: tracker.clone() });
        let service = App::new()
            .with_state(state)
            .at("/", fn_service(handle_request))
            .at("/{*path}", fn_service(handle_request))
            .finish()
            .enclosed(HttpServiceBuilder::with_config(config))
            .enclosed_fn(async move |next: &_, stream: Stream| {
                serve_connection(&budget, source, next, stream).await
            });
        let mut running = xitca_server::Builder::new()
            .worker_threads(threads)
            .disable_signal()
            .listen("http", listener, service)
            .build();
        let handle = running.handle()?;
        let thread = std::thread::Builder::new().name("http".to_owned()).spawn(move || {
            if let Err(error) = running.wait() {
                tracing::error!(%error, "HTTP server failed");
            }
        })?;
        Ok(Server { tracker, listener: listening_socket, handle, thread, addr })
    }
}

/// What all connections of a server share.
pub(super) struct State {
    handler: Handler,
    pub(super) screen: Option<Screen>,
    pub(super) budget: Budget,
    pub(super) tracker: Arc<RequestTracker>,
}

tokio::task_local! {
    /// The connection that the current task serves.
    static CURRENT: Arc<Connection>;
}

/// Serves a connection until it ends or is closed in favour of another one.
async fn serve_connection<S: Service<Stream, Response = ()>>(
    budget: &Budget,
    source: Source,
    next: &S,
    stream: Stream,
) -> Result<(), S::Error> {
    let Some(connection) = budget.open(source).map(Arc::new) else {
        budget.note(Cause::Connections, source);
        if let Stream::Tcp(mut socket, _) = stream {
            // The buffer of a new socket has room for the answer, so this doesn't block.
            let _ = socket.write_all(NO_CONNECTION);
        }
        return Ok(());
    };
    let serving = pin!(CURRENT.scope(Arc::clone(&connection), next.call(stream)));
    select(pin!(connection.closed()), serving).await;
    Ok(())
}

/// Screens the head, reads the body, calls the handler and builds the response.
async fn handle_request(mut ctx: WebContext<'_, Arc<State>>) -> Result<WebResponse, Infallible> {
    let state = Arc::clone(ctx.state());
    let connection = CURRENT.with(Arc::clone);
    let guard = state.tracker.track(Arc::clone(&connection));
    let (head, ext) = ctx.take_request().into_parts();
    let (_, body) = ext.replace_body(());
    let mut body = intake::has_body(&head).then(|| Box::pin(body));
    let result = match intake::body_limit(&state, &head) {
        Ok(limit) => intake::read(&state, &connection, &mut body, limit).await,
        Err(refused) => Err(refused),
    };
    let mut response = match result {
        Ok(body) if connection.enter(Phase::Handling) => {
            let path = head.uri.path().to_owned();
            let query = head.uri.query().unwrap_or_default().to_owned();
            let call = Inbound { method: head.method, path, query, headers: head.headers, body };
            respond((state.handler)(call).await, guard)
        },
        Ok(_) => refuse(intake::shed(), None, guard),
        Err(refused) => {
            connection.note(refused.cause);
            let rest = body.take().filter(|_| !intake::expects_continue(&head.headers));
            refuse(refused, rest, guard)
        },
    };
    if state.tracker.stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn refuse(refused: Refused, rest: intake::Rest, guard: RequestGuard) -> WebResponse {
    let Refused { outbound, close, .. } = refused;
    let bytes = match outbound.body {
        Payload::Whole(bytes) => bytes,
        Payload::Stream(_) => Bytes::new(),
    };
    let body = RefusalBody::new(FullBody::new(bytes, guard), rest);
    let mut response = build(outbound.status, outbound.headers, ResponseBody::boxed(body));
    if close {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn respond(outbound: Outbound, guard: RequestGuard) -> WebResponse {
    let body = match outbound.body {
        Payload::Whole(bytes) => ResponseBody::boxed(FullBody::new(bytes, guard)),
        Payload::Stream(chunks) => ResponseBody::boxed(StreamBody::new(chunks, guard)),
    };
    build(outbound.status, outbound.headers, body)
}

fn build(status: u16, headers: Vec<(HeaderName, HeaderValue)>, body: ResponseBody) -> WebResponse {
    let mut response = WebResponse::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().extend(headers);
    response
}
