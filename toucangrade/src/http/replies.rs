//! Routes replies from duty threads to the HTTP handlers that wait for them.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use tokio::sync::oneshot;

struct Pending<T> {
    next_ticket: u64,
    handlers: BTreeMap<u64, oneshot::Sender<T>>,
}

/// Table of the handlers that wait for a reply, by ticket.
pub(crate) struct Replies<T> {
    pending: Mutex<Pending<T>>,
}

impl<T> Replies<T> {
    pub(crate) fn new() -> Self {
        Self { pending: Mutex::new(Pending { next_ticket: 1, handlers: BTreeMap::new() }) }
    }

    /// Registers a handler and returns its ticket and the receiver of its reply.
    pub(crate) fn open(&self) -> (u64, oneshot::Receiver<T>) {
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let ticket = pending.next_ticket;
        pending.next_ticket += 1;
        pending.handlers.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Sends the reply to the handler with this ticket; returns false if it no longer waits.
    pub(crate) fn close(&self, ticket: u64, value: T) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = pending.handlers.remove(&ticket);
        drop(pending);
        sender.is_some_and(|sender| sender.send(value).is_ok())
    }

    /// Number of waiting handlers.
    pub(crate) fn len(&self) -> usize {
        self.open_before(u64::MAX)
    }

    /// Ticket of the next handler that registers.
    pub(crate) fn next(&self) -> u64 {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).next_ticket
    }

    /// Number of waiting handlers that registered before this ticket was assigned.
    pub(crate) fn open_before(&self, ticket: u64) -> usize {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.handlers.range(..ticket).count()
    }
}
