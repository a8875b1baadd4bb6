//! HTTP client thread on `hyper-util`, shared by all duties of a process.

use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{Method, Request, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body as _;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use thiserror::Error;
use tokio::sync::{Semaphore, mpsc};

use super::BODY_LIMIT;
use crate::core::{Span, Verdict};

/// Exchanges that wait for the client thread.
const QUEUE_LIMIT: usize = 16_384;
/// Exchanges that are under way at once.
const OPEN_LIMIT: usize = 8_192;
/// Time that a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why an exchange gave no response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No connection could be made, so nothing was sent.
    #[error("no connection could be made")]
    Connect,
    /// The connection was lost after the request may have been sent.
    #[error("the connection was lost before the whole response came")]
    Lost,
    /// Too many exchanges are under way, so nothing was sent.
    #[error("too many exchanges are under way")]
    Shed,
    /// No whole response came in time.
    #[error("no whole response came in time")]
    Timeout,
    /// Nothing listens at the address, so nothing was sent.
    #[error("the connection was refused")]
    Refused,
    /// The response is larger than the limit and was dropped.
    #[error("the response exceeds the limit")]
    TooLarge,
    /// The connection that was chosen had closed, so nothing was sent.
    #[error("the connection closed before the request was sent")]
    Unsent,
}

impl CallError {
    /// Whether the receiver may have run the request.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Connect | Self::Refused | Self::Shed | Self::Unsent => Verdict::NotRun,
            Self::Lost | Self::Timeout | Self::TooLarge => Verdict::MayHaveRun,
        }
    }
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Content type of the response, empty when it has none.
    pub fn media(&self) -> &str {
        self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// One request and the closure that takes its result.
pub struct Exchange {
    to: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
    timeout: Span,
    limit: usize,
}

impl Exchange {
    /// A `POST` of `body` to `path`, given up after `timeout`.
    pub fn post(to: SocketAddr, path: impl Into<String>, body: Bytes, timeout: Span) -> Self {
        let (method, headers) = (Method::POST, Vec::new());
        Self { to, method, path: path.into(), headers, body, timeout, limit: BODY_LIMIT }
    }

    /// Changes the largest response that is taken, in bytes.
    #[must_use]
    pub fn limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Changes the method.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Adds a header whose value is text; text that is no header value is left out.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((HeaderName::from_static(name), value));
        }
        self
    }
}

type Done = Box<dyn FnOnce(Result<Response, CallError>) + Send>;

/// Sending side of the client thread.
#[derive(Clone)]
pub struct Client {
    queue: mpsc::Sender<(Exchange, Done)>,
}

impl Client {
    /// Starts the client thread.
    ///
    /// # Errors
    ///
    /// The error of the operating system when the thread or its runtime can't be started.
    pub fn start() -> io::Result<Self> {
        Self::connecting_within(CONNECT_TIMEOUT)
    }

    /// Starts the client thread; a connection that is not made within `limit` is given up, and
    /// nothing of its request was sent.
    ///
    /// # Errors
    ///
    /// As [`Client::start`].
    pub fn connecting_within(limit: Duration) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (queue, exchanges) = mpsc::channel(QUEUE_LIMIT);
        Builder::new()
            .name("client".to_owned())
            .spawn(move || runtime.block_on(run(exchanges, limit)))?;
        Ok(Self { queue })
    }

    /// Starts an exchange; `done` is called once, on the client thread, and must not block.
    pub fn send(
        &self,
        exchange: Exchange,
        done: impl FnOnce(Result<Response, CallError>) + Send + 'static,
    ) {
        if let Err(refused) = self.queue.try_send((exchange, Box::new(done))) {
            let (_, done) = refused.into_inner();
            done(Err(CallError::Shed));
        }
    }

    /// Starts an exchange and waits for its result; not for use on a server's worker thread.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn call(&self, exchange: Exchange) -> Result<Response, CallError> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.send(exchange, move |result| drop(sender.send(result)));
        receiver.blocking_recv().unwrap_or(Err(CallError::Lost))
    }
}

type Pool = legacy::Client<HttpConnector, Full<Bytes>>;

async fn run(mut exchanges: mpsc::Receiver<(Exchange, Done)>, connecting: Duration) {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connecting));
    // A repeated request is a decision of the execution duty, so a request is sent once and a
    // connection that closes is reported.
    let pool = legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector);
    let open = Arc::new(Semaphore::new(OPEN_LIMIT));
    while let Some((exchange, done)) = exchanges.recv().await {
        let Ok(permit) = Arc::clone(&open).acquire_owned().await else { return };
        let pool = pool.clone();
        tokio::spawn(async move {
            let limit = exchange.timeout.duration();
            let result = tokio::time::timeout(limit, exchange_once(&pool, exchange)).await;
            done(result.unwrap_or(Err(CallError::Timeout)));
            drop(permit);
        });
    }
}

async fn exchange_once(pool: &Pool, exchange: Exchange) -> Result<Response, CallError> {
    let uri = format!("http://{}{}", exchange.to, exchange.path);
    let uri: Uri = uri.parse().map_err(|_| CallError::Connect)?;
    let mut request = Request::new(Full::new(exchange.body));
    *request.method_mut() = exchange.method;
    *request.uri_mut() = uri;
    request.headers_mut().extend(exchange.headers);
    let response = pool.request(request).await.map_err(classify)?;
    let (head, body) = response.into_parts();
    // Without a length the end of the connection would pass for the end of the answer, so a cut
    // answer could not be told from a whole one.
    if body.size_hint().exact().is_none() && !head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(CallError::Lost);
    }
    let body = Limited::new(body, exchange.limit).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() { CallError::TooLarge } else { CallError::Lost }
    })?;
    Ok(Response { status: head.status.as_u16(), headers: head.headers, body: body.to_bytes() })
}

/// Whether some cause of the error is that nothing listens at the address.
fn refused(error: &Error) -> bool {
    let mut cause = error.source();
    while let Some(error) = cause {
        let found = error.downcast_ref::<io::Error>();
        if found.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

fn classify(error: Error) -> CallError {
    if error.is_connect() {
        return if refused(&error) { CallError::Refused } else { CallError::Connect };
    }
    // A request is cancelled only while it waits for its connection, before its first byte.
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    if cause.is_some_and(hyper::Error::is_canceled) { CallError::Unsent } else { CallError::Lost }
}
