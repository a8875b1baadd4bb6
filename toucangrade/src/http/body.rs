//! Bodies of responses, counted until their last byte is handed to the socket.

use std::pin::Pin;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, watch};
use xitca_web::body::{Body, Frame, SizeHint};
use xitca_web::error::BodyError;

/// Largest piece that is copied into a connection's buffer at once, in bytes.
const PIECE: usize = 64 * 1024;

/// Responses of one server that are under way.
pub(super) struct Gauge {
    open: Mutex<usize>,
    idle: Condvar,
    stopping: watch::Sender<bool>,
}

impl Gauge {
    pub(super) fn new() -> Arc<Self> {
        let stopping = watch::Sender::new(false);
        Arc::new(Self { open: Mutex::new(0), idle: Condvar::new(), stopping })
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn enter(self: &Arc<Self>) -> Open {
        *self.lock() += 1;
        Open(Arc::clone(self))
    }

    /// Whether connections should end after their present response.
    pub(super) fn stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Ends open-ended streams and connections without a request.
    pub(super) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Waits until no response is under way, at most for `limit`; gives the number that remain.
    pub(super) fn wait(&self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        let mut open = self.lock();
        while *open > 0 {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.idle.wait_timeout(open, left);
            open = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        *open
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request from its arrival until its response is written or its connection is lost.
pub(super) struct Open(Arc<Gauge>);

impl Drop for Open {
    fn drop(&mut self) {
        let mut open = self.0.lock();
        *open -= 1;
        if *open == 0 {
            self.0.idle.notify_all();
        }
    }
}

/// A whole body with its length.
///
/// It ends only when it is polled after a pending poll. The connection writes its buffer to the
/// socket in between, so no byte is left in the process when the body is dropped.
pub(super) struct Whole {
    rest: Bytes,
    flushed: bool,
    _open: Open,
}

impl Whole {
    pub(super) fn new(rest: Bytes, open: Open) -> Self {
        Self { rest, flushed: false, _open: open }
    }
}

impl Body for Whole {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        if !body.rest.is_empty() {
            let piece = body.rest.split_to(body.rest.len().min(PIECE));
            return Poll::Ready(Some(Ok(Frame::Data(piece))));
        }
        if !body.flushed {
            body.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.rest.len() as u64)
    }
}

/// Chunks that are sent as they come, until the sender is dropped or the server stops.
pub(super) struct Stream {
    chunks: mpsc::Receiver<Bytes>,
    stopped: BoxFuture<'static, ()>,
    _open: Open,
}

impl Stream {
    pub(super) fn new(chunks: mpsc::Receiver<Bytes>, open: Open) -> Self {
        let mut stopping = open.0.stopping.subscribe();
        let stopped = Box::pin(async move {
            // The sender lives in the gauge, which this stream keeps.
            let _ = stopping.wait_for(|stopping| *stopping).await;
        });
        Self { chunks, stopped, _open: open }
    }
}

impl Body for Stream {
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
