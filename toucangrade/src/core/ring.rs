//! Bounded queue that carries messages between duty threads.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use thiserror::Error;

/// The message was not queued, as the ring is closed or has reached the length limit for this kind
/// of send. Contains the message.
#[derive(Debug, Error)]
#[error("ring is full or closed")]
pub(crate) struct SendError<T>(pub(crate) T);

/// Result of waiting for a message.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Received<T> {
    /// The oldest message.
    Message(T),
    /// No message arrived within the wait.
    Timeout,
    /// The ring is closed and empty.
    Closed,
}

struct State<T> {
    queue: VecDeque<T>,
    closed: bool,
    /// Number of messages refused since the start.
    shed: u64,
}

/// Bounded queue with many senders and one receiver.
///
/// New work is sent with [`Ring::offer`], which fails once `limit` messages are queued. Messages
/// about admitted work are sent with [`Ring::push`], which may also fill the reserve above the
/// limit. `crossbeam-channel` and `std::sync::mpsc` spin and yield before they park, so this ring
/// waits on a condition variable, which parks at once.
pub(crate) struct Ring<T> {
    state: Mutex<State<T>>,
    ready: Condvar,
    limit: usize,
    capacity: usize,
}

impl<T> Ring<T> {
    /// Creates a ring that refuses new work from `limit` queued messages on, and holds at most
    /// `limit + reserve`.
    pub(crate) fn new(limit: usize, reserve: usize) -> Self {
        let capacity = limit + reserve;
        let state = State { queue: VecDeque::new(), closed: false, shed: 0 };
        Self { state: Mutex::new(state), ready: Condvar::new(), limit, capacity }
    }

    /// Queues new work; fails if the limit is reached or the ring is closed.
    pub(crate) fn offer(&self, message: T) -> Result<(), SendError<T>> {
        self.add(message, self.limit)
    }

    /// Queues a message about admitted work; fails if the reserve is full or the ring is closed.
    pub(crate) fn push(&self, message: T) -> Result<(), SendError<T>> {
        self.add(message, self.capacity)
    }

    fn add(&self, message: T, max_len: usize) -> Result<(), SendError<T>> {
        let mut state = self.lock();
        if state.closed || state.queue.len() >= max_len {
            state.shed += 1;
            return Err(SendError(message));
        }
        state.queue.push_back(message);
        drop(state);
        self.ready.notify_one();
        Ok(())
    }

    /// Waits up to `wait` for the oldest message.
    pub(crate) fn recv(&self, wait: Duration) -> Received<T> {
        let state = self.lock();
        let waiting = |state: &mut State<T>| state.queue.is_empty() && !state.closed;
        let (mut state, _) = self
            .ready
            .wait_timeout_while(state, wait, waiting)
            .unwrap_or_else(PoisonError::into_inner);
        match state.queue.pop_front() {
            Some(message) => Received::Message(message),
            None if state.closed => Received::Closed,
            None => Received::Timeout,
        }
    }

    /// Number of queued messages.
    pub(crate) fn len(&self) -> usize {
        self.lock().queue.len()
    }

    /// Number of queued messages, and number of messages refused since the start.
    pub(crate) fn load(&self) -> (usize, u64) {
        let state = self.lock();
        (state.queue.len(), state.shed)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Refuses further messages; queued ones can still be received.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.ready.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
