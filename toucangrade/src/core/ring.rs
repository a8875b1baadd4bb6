//! Bounded ring that joins duty threads.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use thiserror::Error;

/// The ring takes no further message of this grade; the message is handed back.
#[derive(Debug, Error)]
#[error("ring is full or closed")]
pub(crate) struct Full<T>(pub(crate) T);

/// Result of waiting for a message.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Received<T> {
    /// The oldest message.
    Message(T),
    /// No message came in time.
    Timeout,
    /// The ring is closed and empty.
    Closed,
}

struct Slots<T> {
    queue: VecDeque<T>,
    closed: bool,
    /// Messages refused since the start.
    shed: u64,
}

/// Bounded queue with many senders and one receiver.
///
/// New work uses [`Ring::offer`], which fails once `limit` messages wait. Work that was already
/// admitted uses [`Ring::push`], which may fill the reserve above the limit. `crossbeam-channel`
/// and `std::sync::mpsc` spin and yield before they park, so this ring waits on a condition
/// variable, which parks at once.
pub(crate) struct Ring<T> {
    slots: Mutex<Slots<T>>,
    ready: Condvar,
    limit: usize,
    capacity: usize,
}

impl<T> Ring<T> {
    /// A ring that sheds new work at `limit` messages and holds `limit + reserve` at most.
    pub(crate) fn new(limit: usize, reserve: usize) -> Self {
        let capacity = limit + reserve;
        let slots = Slots { queue: VecDeque::new(), closed: false, shed: 0 };
        Self { slots: Mutex::new(slots), ready: Condvar::new(), limit, capacity }
    }

    /// Adds new work, or hands it back when the limit is reached or the ring is closed.
    pub(crate) fn offer(&self, message: T) -> Result<(), Full<T>> {
        self.add(message, self.limit)
    }

    /// Adds work that was already admitted, or hands it back when the reserve is used up too.
    pub(crate) fn push(&self, message: T) -> Result<(), Full<T>> {
        self.add(message, self.capacity)
    }

    fn add(&self, message: T, bound: usize) -> Result<(), Full<T>> {
        let mut slots = self.lock();
        if slots.closed || slots.queue.len() >= bound {
            slots.shed += 1;
            return Err(Full(message));
        }
        slots.queue.push_back(message);
        drop(slots);
        self.ready.notify_one();
        Ok(())
    }

    /// Waits for the oldest message, at most for `wait`.
    pub(crate) fn recv(&self, wait: Duration) -> Received<T> {
        let slots = self.lock();
        let idle = |slots: &mut Slots<T>| slots.queue.is_empty() && !slots.closed;
        let (mut slots, _) = self
            .ready
            .wait_timeout_while(slots, wait, idle)
            .unwrap_or_else(PoisonError::into_inner);
        match slots.queue.pop_front() {
            Some(message) => Received::Message(message),
            None if slots.closed => Received::Closed,
            None => Received::Timeout,
        }
    }

    /// Number of messages that wait.
    pub(crate) fn len(&self) -> usize {
        self.lock().queue.len()
    }

    /// Number of messages that wait, and of those refused since the start.
    pub(crate) fn load(&self) -> (usize, u64) {
        let slots = self.lock();
        (slots.queue.len(), slots.shed)
    }

    /// Whether the ring refuses all messages.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Refuses further messages; those that wait are still received.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.ready.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Slots<T>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
