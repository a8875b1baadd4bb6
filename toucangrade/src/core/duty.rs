//! One thread for each duty, fed by one bounded ring.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use serde::Serialize;
use serde_json::Value;
use tokio::sync::oneshot;
use tracing::error;

use super::ring::{Full, Received, Ring};
use super::time::{Clock, Moment, Span};

/// New messages that a ring takes before it sheds.
const RING_LIMIT: usize = 8_192;
/// Room above the limit for messages about work that was already admitted.
const RING_RESERVE: usize = 57_344;
/// Exit status after a broken invariant, `EX_SOFTWARE` of sysexits.
const EXIT_BROKEN: i32 = 70;

/// A message to a duty thread, or a request for its state.
enum Mail<M> {
    Dump(oneshot::Sender<Value>),
    Message(M),
}

/// Sending side of a duty.
pub(crate) struct Handle<M> {
    name: &'static str,
    ring: Arc<Ring<Mail<M>>>,
}

impl<M> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Self { name: self.name, ring: Arc::clone(&self.ring) }
    }
}

impl<M> Handle<M> {
    /// A handle whose duty is not running yet, so that duties can refer to each other.
    pub(crate) fn new(name: &'static str) -> Self {
        Self { name, ring: Arc::new(Ring::new(RING_LIMIT, RING_RESERVE)) }
    }

    /// Sends new work; the caller sheds it when it is handed back.
    pub(crate) fn offer(&self, message: M) -> Result<(), M> {
        match self.ring.offer(Mail::Message(message)) {
            Err(Full(Mail::Message(message))) => Err(message),
            _ => Ok(()),
        }
    }

    /// Sends a message about work that was already admitted.
    ///
    /// The number of messages for admitted work is bounded below the reserve, so a full ring here
    /// means that a bound is broken and the process stops.
    pub(crate) fn push(&self, message: M) {
        if self.ring.push(Mail::Message(message)).is_err() && !self.ring.is_closed() {
            error!(duty = self.name, waiting = self.ring.len(), "ring reserve used up");
            std::process::exit(EXIT_BROKEN);
        }
    }

    /// Asks for the state of the duty as JSON; `None` when the ring is full or the duty ended.
    pub(crate) fn dump(&self) -> Option<oneshot::Receiver<Value>> {
        let (sender, receiver) = oneshot::channel();
        self.ring.push(Mail::Dump(sender)).ok()?;
        Some(receiver)
    }

    /// Name of the duty, messages that wait for it and messages refused since its start.
    pub(crate) fn load(&self) -> (&'static str, usize, u64) {
        let (waiting, shed) = self.ring.load();
        (self.name, waiting, shed)
    }

    /// Ends the duty once the messages that wait are handled.
    pub(crate) fn close(&self) {
        self.ring.close();
    }
}

/// State and functions of a duty.
pub(crate) struct Duty<S, M, E> {
    /// The state that only this duty's thread touches.
    pub(crate) state: S,
    /// Decides: takes a message, changes the state, gives effects.
    pub(crate) step: fn(&mut S, Moment, M) -> Vec<E>,
    /// Makes the message that is handed in when `period` has passed without one.
    pub(crate) tick: fn() -> M,
    /// Greatest time between two ticks.
    pub(crate) period: Span,
}

impl<S, M, E> Duty<S, M, E>
where
    S: Send + Serialize + 'static,
    M: Send + 'static,
    E: 'static,
{
    /// Starts the thread; `perform` carries out the effects.
    ///
    /// A panic in a step, such as a broken invariant, logs the state and ends the process.
    ///
    /// # Errors
    ///
    /// The error of the operating system when no thread can be started.
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
                    Received::Message(Mail::Dump(reply)) => {
                        // A caller that no longer waits for its dump is of no concern.
                        let _ = reply.send(dump(&state));
                        continue;
                    },
                    Received::Message(Mail::Message(message)) => message,
                    Received::Timeout => tick(),
                };
                let now = clock.now();
                let effects = guarded(name, &mut state, |state| step(state, now, message));
                for effect in effects {
                    perform(now, effect);
                }
                // A steady flow of messages must not hold ticks back.
                if clock.now() >= next {
                    let effects = guarded(name, &mut state, |state| step(state, now, tick()));
                    for effect in effects {
                        perform(now, effect);
                    }
                    next = clock.now() + period;
                }
            }
        })
    }
}

/// Runs a step and stops the process with the state logged when it panics.
fn guarded<S: Serialize, T>(name: &str, state: &mut S, step: impl FnOnce(&mut S) -> T) -> T {
    match catch_unwind(AssertUnwindSafe(|| step(state))) {
        Ok(result) => result,
        Err(_) => {
            error!(duty = name, state = %dump(state), "step failed, stopping the process");
            std::process::exit(EXIT_BROKEN);
        },
    }
}

fn dump<S: Serialize>(state: &S) -> Value {
    serde_json::to_value(state).unwrap_or_else(|error| Value::String(error.to_string()))
}
