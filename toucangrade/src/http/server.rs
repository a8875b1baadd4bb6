//! HTTP server on `xitca-web`; all decisions are left to the handler.

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
use super::body::{Gauge, Open, Stream, Whole};

/// Longest time that responses under way get to be written when a server is stopped; the default
/// of the drain timeout.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Time for which a connection without a request is kept. Clients of this project drop theirs after
/// 4 s, so that none is reused just when the server closes it, which would look like a lost answer.
#[cfg(not(test))]
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// In tests a stop that waits for an idle connection does not end within any test's limit.
#[cfg(test)]
const KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Time in which connections that were accepted before a stop are read for their first request.
const QUEUED: Duration = Duration::from_millis(100);
/// Drops segments that ask for a new connection, and passes all others: loads the byte with the
/// flags of the TCP header and tests SYN.
const NO_SYN: [(u16, u8, u8, u32); 4] =
    [(0x30, 0, 0, 13), (0x45, 0, 1, 0x02), (0x06, 0, 0, 0), (0x06, 0, 0, u32::MAX)];
/// Time in which a connection writes the end mark of a stream, which follows after its body.
const END_MARK: Duration = Duration::from_millis(50);

/// A request as the handler sees it.
#[derive(Debug)]
pub struct Inbound {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty when missing.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Inbound {
    /// The value of a header when it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of a query parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// The path's segments.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}

/// Body of a response.
#[derive(Debug)]
pub enum Payload {
    /// Chunks that are sent as they come; the response ends when the sender is dropped or the
    /// server is stopped.
    Stream(mpsc::Receiver<Bytes>),
    /// The whole body.
    Whole(Bytes),
}

/// A response as the handler gives it.
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
    /// A response with a whole body.
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

    /// Adds a header whose value is text; text that is no header value is left out.
    #[must_use]
    pub fn with_text(self, name: &'static str, value: &str) -> Self {
        match HeaderValue::from_str(value) {
            Ok(value) => self.with(HeaderName::from_static(name), value),
            Err(_) => self,
        }
    }
}

/// Answers one request.
pub type Handler = Arc<dyn Fn(Inbound) -> LocalBoxFuture<'static, Outbound> + Send + Sync>;

/// A running HTTP server.
pub struct Server {
    gauge: Arc<Gauge>,
    /// The listening socket, for the filter that a stop sets on it.
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
    /// The error of the operating system when the server can't be started.
    pub fn start(listener: TcpListener, threads: usize, handler: Handler) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        let socket = listener.try_clone()?;
        let gauge = Gauge::new();
        let mut running = App::new()
            .with_state((handler, Arc::clone(&gauge)))
            .at("/", fn_service(answer))
            .at("/{*path}", fn_service(answer))
            .serve()
            .worker_threads(threads)
            .disable_signal()
            .keep_alive_timeout(KEEP_ALIVE)
            .listen(listener)?
            .run();
        let handle = running.handle()?;
        let thread = std::thread::Builder::new().name("http".to_owned()).spawn(move || {
            if let Err(error) = running.wait() {
                tracing::error!(%error, "HTTP server ended");
            }
        })?;
        Ok(Self { gauge, listener: socket, handle, thread, addr })
    }

    /// Waits until every response under way is written, for 30 s at most, and ends the server;
    /// gives the number of responses that were cut off.
    pub fn stop(self) -> usize {
        self.stop_within(STOP_LIMIT)
    }

    /// Waits until every response under way is written, at most for `limit`, and ends the server;
    /// gives the number of responses that were cut off.
    ///
    /// Connections without a request are closed. The server's own graceful stop would wait until
    /// their keep-alive timeout.
    ///
    /// Closing a listening socket resets the connections in its queue, and a caller can't tell
    /// whether its request was read. So no new connection is let in first, and those in the queue
    /// are served. A caller that connects meanwhile is refused once the socket is closed.
    pub fn stop_within(self, limit: Duration) -> usize {
        self.gauge.stop();
        let filter = NO_SYN.map(|(code, jt, jf, k)| SockFilter::new(code, jt, jf, k));
        if let Err(error) = SockRef::from(&self.listener).attach_filter(&filter) {
            tracing::warn!(%error, "connections in the queue may be reset");
        }
        std::thread::sleep(QUEUED);
        let cut = self.gauge.wait(limit);
        std::thread::sleep(END_MARK);
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

type State = (Handler, Arc<Gauge>);

/// Reads the body, calls the handler and writes its response.
async fn answer(mut ctx: WebContext<'_, State>) -> Result<WebResponse, Infallible> {
    let (handler, gauge) = ctx.state().clone();
    let open = gauge.enter();
    let request = ctx.take_request();
    let (head, ext) = request.into_parts();
    let (_, body) = ext.replace_body(());
    let outbound = match read(body).await {
        Ok(body) => {
            let path = head.uri.path().to_owned();
            let query = head.uri.query().unwrap_or_default().to_owned();
            handler(Inbound { method: head.method, path, query, headers: head.headers, body }).await
        },
        Err(refused) => refused,
    };
    let mut response = respond(outbound, open);
    if gauge.stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Collects a request body up to the limit.
async fn read(body: RequestBody) -> Result<Bytes, Outbound> {
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| refusal(400, "cut-body", "the request body was cut off"))?;
        if whole.len() + chunk.len() > BODY_LIMIT {
            let reason = format!("the request body exceeds {BODY_LIMIT} bytes");
            return Err(refusal(413, "body-too-large", &reason));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// A refusal before any handler was called, so nothing ran.
fn refusal(status: u16, code: &str, reason: &str) -> Outbound {
    let body = serde_json::json!({ "error": code, "reason": reason, "verdict": "not-run" });
    Outbound::json(status, &body).with_text("toucangrade-verdict", "not-run")
}

fn respond(outbound: Outbound, open: Open) -> WebResponse {
    let body = match outbound.body {
        Payload::Whole(bytes) => ResponseBody::boxed(Whole::new(bytes, open)),
        Payload::Stream(chunks) => ResponseBody::boxed(Stream::new(chunks, open)),
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() =
        StatusCode::from_u16(outbound.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().extend(outbound.headers);
    response
}
