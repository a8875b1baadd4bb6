//! Joins replies from duty threads with the HTTP handlers that wait for them.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use tokio::sync::oneshot;

struct Open<T> {
    next: u64,
    waiting: BTreeMap<u64, oneshot::Sender<T>>,
}

/// Table of handlers that wait for a reply, by ticket.
pub(crate) struct Replies<T> {
    open: Mutex<Open<T>>,
}

impl<T> Replies<T> {
    pub(crate) fn new() -> Self {
        Self { open: Mutex::new(Open { next: 1, waiting: BTreeMap::new() }) }
    }

    /// Registers a handler and gives it a ticket.
    pub(crate) fn open(&self) -> (u64, oneshot::Receiver<T>) {
        let (sender, receiver) = oneshot::channel();
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let ticket = open.next;
        open.next += 1;
        open.waiting.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Replies to the handler with this ticket; false when it no longer waits.
    pub(crate) fn close(&self, ticket: u64, value: T) -> bool {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = open.waiting.remove(&ticket);
        drop(open);
        sender.is_some_and(|sender| sender.send(value).is_ok())
    }

    /// Number of handlers that wait.
    pub(crate) fn len(&self) -> usize {
        self.open_before(u64::MAX)
    }

    /// The ticket that the next handler gets.
    pub(crate) fn next(&self) -> u64 {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).next
    }

    /// Number of handlers that wait and got their ticket before this one.
    pub(crate) fn open_before(&self, ticket: u64) -> usize {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.waiting.range(..ticket).count()
    }
}
