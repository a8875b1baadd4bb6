//! Threads of duties. Each duty has one thread, which owns the duty's state and receives messages
//! from one bounded ring.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use serde::Serialize;
use serde_json::Value;
use tokio::sync::oneshot;
use tracing::error;

use super::ring::{Received, Ring, SendError};
use super::time::{Clock, Moment, Span};

/// Number of queued messages from which a ring refuses new work.
const RING_LIMIT: usize = 8_192;
/// Number of messages about admitted work that a ring can hold above `RING_LIMIT`.
const RING_RESERVE: usize = 57_344;
/// Exit status after a violated invariant: `EX_SOFTWARE` of `sysexits.h`.
const EXIT_SOFTWARE: i32 = 70;

/// Item in the ring of a duty: a message, or a request for a state dump.
enum Item<M> {
    Dump(oneshot::Sender<Value>),
    Message(M),
}

/// Sender of messages to a duty.
pub(crate) struct Handle<M> {
    name: &'static str,
    ring: Arc<Ring<Item<M>>>,
}

impl<M> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Self { name: self.name, ring: Arc::clone(&self.ring) }
    }
}

impl<M> Handle<M> {
    /// Creates the ring before the thread is started, so that duties can refer to each other.
    pub(crate) fn new(name: &'static str) -> Self {
        Self { name, ring: Arc::new(Ring::new(RING_LIMIT, RING_RESERVE)) }
    }

    /// Sends new work. If the ring is full or closed, returns the message, and the caller sheds it.
    pub(crate) fn offer(&self, message: M) -> Result<(), M> {
        match self.ring.offer(Item::Message(message)) {
            Err(SendError(Item::Message(message))) => Err(message),
            _ => Ok(()),
        }
    }

    /// Sends a message about work that was already admitted.
    ///
    /// There are always fewer messages about admitted work than the reserve can hold. A full ring
    /// means that this invariant is violated, so the process exits.
    pub(crate) fn push(&self, message: M) {
        if self.ring.push(Item::Message(message)).is_err() && !self.ring.is_closed() {
            error!(duty = self.name, waiting = self.ring.len(), "ring reserve is full, exiting");
            std::process::exit(EXIT_SOFTWARE);
        }
    }

    /// Requests the state of the duty as JSON; `None` if the ring is full or closed.
    pub(crate) fn dump(&self) -> Option<oneshot::Receiver<Value>> {
        let (sender, receiver) = oneshot::channel();
        self.ring.push(Item::Dump(sender)).ok()?;
        Some(receiver)
    }

    /// Name of the duty, number of queued messages and number of messages refused since the start.
    pub(crate) fn load(&self) -> (&'static str, usize, u64) {
        let (waiting, shed) = self.ring.load();
        (self.name, waiting, shed)
    }

    /// Closes the ring. The thread ends after it has handled the queued messages.
    pub(crate) fn close(&self) {
        self.ring.close();
    }
}

/// State, step function and tick interval of a duty.
pub(crate) struct Duty<S, M, E> {
    /// State, accessed only by the duty's thread.
    pub(crate) state: S,
    /// Handles a message: updates the state and returns the effects to perform.
    pub(crate) step: fn(&mut S, Moment, M) -> Vec<E>,
    /// Creates the tick message, which is handled about every `period`.
    pub(crate) tick: fn() -> M,
    /// Interval between ticks.
    pub(crate) period: Span,
}

impl<S, M, E> Duty<S, M, E>
where
    S: Send + Serialize + 'static,
    M: Send + 'static,
    E: 'static,
{
    /// Starts the thread; `perform` performs the effects on it.
    ///
    /// If a step panics, for example due to a violated invariant, the state is logged and the
    /// process exits.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the thread can't be created.
    pub(crate) fn spawn(
        self,
        handle: &Handle<M>,
        clock: Clock,
        mut perform: impl FnMut(Moment, E) + Send + 'static,
    ) -> std::io::Result<JoinHandle<()>> {
        let Handle { name, ring } = handle.clone();
        let Self { mut state, step, tick, period } = self;
        Builder::new().name(name.to_owned()).spawn(move || {
            let mut next = clock.now() + period;
            loop {
                let wait = next.since(clock.now());
                let message = match ring.recv(wait.duration()) {
                    Received::Closed => return,
                    Received::Message(Item::Dump(reply)) => {
                        // Fails if the caller no longer waits for the dump.
                        let _ = reply.send(dump(&state));
                        continue;
                    },
                    Received::Message(Item::Message(message)) => message,
                    Received::Timeout => tick(),
                };
                let now = clock.now();
                let effects = exit_on_panic(name, &mut state, |state| step(state, now, message));
                for effect in effects {
                    perform(now, effect);
                }
                // Ticks must also occur if messages arrive so often that `recv` never times out.
                if clock.now() >= next {
                    let effects = exit_on_panic(name, &mut state, |state| step(state, now, tick()));
                    for effect in effects {
                        perform(now, effect);
                    }
                    next = clock.now() + period;
                }
            }
        })
    }
}

/// Runs a step. If it panics, logs the state and exits the process.
fn exit_on_panic<S: Serialize, T>(name: &str, state: &mut S, step: impl FnOnce(&mut S) -> T) -> T {
    match catch_unwind(AssertUnwindSafe(|| step(state))) {
        Ok(result) => result,
        Err(_) => {
            error!(duty = name, state = %dump(state), "step failed, stopping the process");
            std::process::exit(EXIT_SOFTWARE);
        },
    }
}

fn dump<S: Serialize>(state: &S) -> Value {
    serde_json::to_value(state).unwrap_or_else(|error| Value::String(error.to_string()))
}
