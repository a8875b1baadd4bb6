//! HTTP client on `hyper-util`, which runs on one thread and is shared by all duties of a process.

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

/// Capacity of the queue of exchanges to the client thread.
const QUEUE_LIMIT: usize = 16_384;
/// Largest number of concurrent exchanges.
const IN_FLIGHT_LIMIT: usize = 8_192;
/// Default connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why an exchange gave no response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// The connection could not be established, so nothing was sent.
    #[error("no connection could be made")]
    Connect,
    /// The connection was lost after the request may have been sent.
    #[error("the connection was lost before the whole response came")]
    Lost,
    /// Too many exchanges are queued, so nothing was sent.
    #[error("too many exchanges are under way")]
    Shed,
    /// The complete response did not arrive within the timeout.
    #[error("no whole response came in time")]
    Timeout,
    /// The connection was refused because nothing listens at the address, so nothing was sent.
    #[error("the connection was refused")]
    Refused,
    /// The response is larger than the limit and was discarded.
    #[error("the response exceeds the limit")]
    TooLarge,
    /// The pooled connection had closed before the request was sent, so nothing was sent.
    #[error("the connection closed before the request was sent")]
    Unsent,
}

impl CallError {
    /// Whether the receiver may have executed the request.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Connect | Self::Refused | Self::Shed | Self::Unsent => Verdict::NotRun,
            Self::Lost | Self::Timeout | Self::TooLarge => Verdict::MayHaveRun,
        }
    }
}

/// A complete response.
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
    /// Value of the `Content-Type` header, empty if missing or not visible ASCII.
    pub fn media(&self) -> &str {
        self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A request with its destination, timeout and response size limit.
pub struct Exchange {
    to: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
    timeout: Span,
    /// Largest response body, in bytes.
    limit: usize,
}

impl Exchange {
    /// A `POST` of `body` to `path`, which fails after `timeout`.
    pub fn post(to: SocketAddr, path: impl Into<String>, body: Bytes, timeout: Span) -> Self {
        let (method, headers) = (Method::POST, Vec::new());
        Self { to, method, path: path.into(), headers, body, timeout, limit: BODY_LIMIT }
    }

    /// Sets the largest response body that is accepted, in bytes; the default is 8 MiB.
    #[must_use]
    pub fn limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the method.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Adds a header with a text value; a text that is no valid header value is ignored.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((HeaderName::from_static(name), value));
        }
        self
    }
}

type Callback = Box<dyn FnOnce(Result<Response, CallError>) + Send>;

/// Handle of the client thread.
#[derive(Clone)]
pub struct Client {
    queue: mpsc::Sender<(Exchange, Callback)>,
}

impl Client {
    /// Starts the client thread.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the thread or its runtime can't be started.
    pub fn start() -> io::Result<Self> {
        Self::connecting_within(CONNECT_TIMEOUT)
    }

    /// Starts the client thread with a connect timeout of `limit`. A request whose connection is
    /// not established in that time fails with nothing sent.
    ///
    /// # Errors
    ///
    /// Same as [`Client::start`].
    pub fn connecting_within(limit: Duration) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (queue, exchanges) = mpsc::channel(QUEUE_LIMIT);
        Builder::new()
            .name("client".to_owned())
            .spawn(move || runtime.block_on(run(exchanges, limit)))?;
        Ok(Self { queue })
    }

    /// Starts an exchange; `callback` is called once and must not block. It runs on the client
    /// thread, or on this one if too many exchanges are queued.
    pub fn send(
        &self,
        exchange: Exchange,
        callback: impl FnOnce(Result<Response, CallError>) + Send + 'static,
    ) {
        if let Err(error) = self.queue.try_send((exchange, Box::new(callback))) {
            let (_, callback) = error.into_inner();
            callback(Err(CallError::Shed));
        }
    }

    /// Starts an exchange and blocks until its result; must not be called on a worker thread of a
    /// server.
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

async fn run(mut exchanges: mpsc::Receiver<(Exchange, Callback)>, connect_timeout: Duration) {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    // Retries are decided by the execution duty. So a request is sent once, and a closed connection
    // is reported as an error.
    let pool = legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector);
    let permits = Arc::new(Semaphore::new(IN_FLIGHT_LIMIT));
    while let Some((exchange, callback)) = exchanges.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let pool = pool.clone();
        tokio::spawn(async move {
            let limit = exchange.timeout.duration();
            let result = tokio::time::timeout(limit, exchange_once(&pool, exchange)).await;
            callback(result.unwrap_or(Err(CallError::Timeout)));
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
    // Without a length or chunked encoding the body ends when the connection closes, so a truncated
    // response could not be distinguished from a complete one.
    if body.size_hint().exact().is_none() && !head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(CallError::Lost);
    }
    let body = Limited::new(body, exchange.limit).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() { CallError::TooLarge } else { CallError::Lost }
    })?;
    Ok(Response { status: head.status.as_u16(), headers: head.headers, body: body.to_bytes() })
}

/// Whether the chain of causes contains a refused connection, as when nothing listens at the
/// address.
fn is_refused(error: &Error) -> bool {
    let mut cause = error.source();
    while let Some(error) = cause {
        let io_error = error.downcast_ref::<io::Error>();
        if io_error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

fn classify(error: Error) -> CallError {
    if error.is_connect() {
        return if is_refused(&error) { CallError::Refused } else { CallError::Connect };
    }
    // hyper cancels a request only while it waits for a connection, before its first byte is sent.
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    if cause.is_some_and(hyper::Error::is_canceled) { CallError::Unsent } else { CallError::Lost }
}
