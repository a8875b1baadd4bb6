//! Response bodies, which keep their request counted as in flight until the last byte is written to
//! the socket, and its connection charged for the answer.

use std::pin::Pin;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, watch};
use tokio::time::Sleep;
use xitca_web::body::{Body, Frame, RequestBody, SizeHint};
use xitca_web::error::BodyError;

use super::budget::Connection;
use super::ledger::Phase;
use super::limits::WRITE_BUFFER;

/// Longest time for which the rest of a refused body is read and discarded. Closing the connection
/// at once would reset it, and the client could lose the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest rest of a refused body that is discarded, in bytes.
const DISCARD_LIMIT: usize = 512 * 1024;

/// Counts the requests in flight of one server and signals its shutdown to them.
pub(super) struct RequestTracker {
    in_flight: Mutex<usize>,
    idle: Condvar,
    stopping: watch::Sender<bool>,
}

impl RequestTracker {
    pub(super) fn new() -> Arc<Self> {
        let stopping = watch::Sender::new(false);
        Arc::new(Self { in_flight: Mutex::new(0), idle: Condvar::new(), stopping })
    }

    /// Counts a request of a connection as in flight until the guard is dropped.
    pub(super) fn track(self: &Arc<Self>, connection: Arc<Connection>) -> RequestGuard {
        *self.lock() += 1;
        RequestGuard { tracker: Arc::clone(self), connection }
    }

    /// Waits until the server is being stopped.
    pub(super) async fn stopped(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender isn't dropped meanwhile, as it is part of the tracker.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }

    /// Whether connections should be closed after their current response.
    pub(super) fn stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Ends streams and lets each connection close after its next response.
    pub(super) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Waits for at most `limit` until no request is in flight; returns the number that still are.
    pub(super) fn wait(&self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        let mut in_flight = self.lock();
        while *in_flight > 0 {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.idle.wait_timeout(in_flight, left);
            in_flight = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        *in_flight
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request as in flight from its arrival until its response is written or its connection
/// is lost.
pub(super) struct RequestGuard {
    tracker: Arc<RequestTracker>,
    connection: Arc<Connection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.enter(Phase::Head);
        let mut in_flight = self.tracker.lock();
        *in_flight -= 1;
        if *in_flight == 0 {
            self.tracker.idle.notify_all();
        }
    }
}

/// A complete body of known length.
///
/// After the last frame it returns `Poll::Pending` once before it ends. The connection writes its
/// buffer to the socket in between, so no byte is left in the process when the body is dropped.
pub(super) struct FullBody {
    remaining: Bytes,
    flushed: bool,
    _guard: RequestGuard,
}

impl FullBody {
    pub(super) fn new(remaining: Bytes, guard: RequestGuard) -> Self {
        let connection = &guard.connection;
        connection.enter(Phase::Answer);
        connection.release();
        // A shared answer needs no memory of its own but the write buffer, which is part of its
        // connection.
        if remaining.len() > WRITE_BUFFER && remaining.is_unique() {
            connection.charge(remaining.len());
        }
        Self { remaining, flushed: false, _guard: guard }
    }
}

impl Body for FullBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        if !body.remaining.is_empty() {
            let frame = body.remaining.split_to(body.remaining.len().min(WRITE_BUFFER));
            return Poll::Ready(Some(Ok(Frame::Data(frame))));
        }
        if !body.flushed {
            body.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.remaining.len() as u64)
    }
}

/// The answer to a request whose body isn't wanted. After the answer it discards some of the rest.
pub(super) struct RefusalBody {
    answer: FullBody,
    rest: Option<Pin<Box<RequestBody>>>,
    left: usize,
    end: Pin<Box<Sleep>>,
}

impl RefusalBody {
    pub(super) fn new(answer: FullBody, rest: Option<Pin<Box<RequestBody>>>) -> Self {
        let end = Box::pin(tokio::time::sleep(DISCARD_TIMEOUT));
        Self { answer, rest, left: DISCARD_LIMIT, end }
    }
}

impl Body for RefusalBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        if let Some(frame) = ready!(Pin::new(&mut body.answer).poll_frame(cx)) {
            return Poll::Ready(Some(frame));
        }
        while let Some(rest) = &mut body.rest {
            if body.end.as_mut().poll(cx).is_ready() {
                break;
            }
            match ready!(rest.as_mut().poll_frame(cx)) {
                Some(Ok(Frame::Data(chunk))) if chunk.len() < body.left => {
                    body.left -= chunk.len();
                },
                _ => break,
            }
        }
        body.rest = None;
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        self.answer.size_hint()
    }
}

/// A body of chunks that are sent as they arrive, until the sender is dropped or the server stops.
pub(super) struct StreamBody {
    chunks: mpsc::Receiver<Bytes>,
    stopped: BoxFuture<'static, ()>,
    _guard: RequestGuard,
}

impl StreamBody {
    pub(super) fn new(chunks: mpsc::Receiver<Bytes>, guard: RequestGuard) -> Self {
        let tracker = Arc::clone(&guard.tracker);
        let stopped = Box::pin(async move { tracker.stopped().await });
        Self { chunks, stopped, _guard: guard }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        if let Poll::Ready(chunk) = body.chunks.poll_recv(cx) {
            return Poll::Ready(chunk.map(|chunk| Ok(Frame::Data(chunk))));
        }
        ready!(body.stopped.as_mut().poll(cx));
        Poll::Ready(None)
    }
}
