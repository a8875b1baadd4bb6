//! The limits of a process, shared by all its HTTP servers: which connections are open, what each
//! holds, and why clients were refused.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tracing::warn;

use super::ledger::{Ledger, Phase, Source};
use super::limits::Limits;

/// Shortest time between two log lines for the same cause.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a client was refused or its connection closed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Cause {
    /// The body exceeds the limit of its path.
    BodySize,
    /// The body made no progress.
    BodyStalled,
    /// No connection was left.
    Connections,
    /// The head exceeds its limit.
    HeadSize,
    /// No memory was left for a body.
    Memory,
    /// The path or method doesn't exist.
    Route,
    /// The connection held the most for the longest.
    Shed,
    /// The server stops before the body is complete.
    Stopping,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::BodySize => "body-size",
            Self::BodyStalled => "body-stalled",
            Self::Connections => "connections",
            Self::HeadSize => "head-size",
            Self::Memory => "memory",
            Self::Route => "route",
            Self::Shed => "shed",
            Self::Stopping => "stopping",
        }
    }
}

/// How often a cause occurred, and when it was last logged.
#[derive(Default)]
struct Occurrences {
    count: u64,
    logged: Option<Instant>,
    /// Occurrences since the last log line.
    unlogged: u64,
}

struct State {
    ledger: Ledger,
    closers: BTreeMap<u64, Arc<Notify>>,
    causes: BTreeMap<Cause, Occurrences>,
    /// Connections that aren't dropped yet, closed ones included.
    alive: usize,
}

struct Shared {
    limits: Limits,
    began: Instant,
    state: Mutex<State>,
}

/// Limits of a process and what its clients hold of them; clones share the same account.
#[derive(Clone)]
pub struct Budget(Arc<Shared>);

impl Default for Budget {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Budget").field(&self.0.limits).finish()
    }
}

impl Budget {
    /// An account with these limits, of which nothing is held.
    pub fn new(limits: Limits) -> Self {
        let ledger = Ledger::new(limits.memory, limits.connections);
        let (closers, causes) = (BTreeMap::new(), BTreeMap::new());
        let state = State { ledger, closers, causes, alive: 0 };
        Self(Arc::new(Shared { limits, began: Instant::now(), state: Mutex::new(state) }))
    }

    pub(super) fn limits(&self) -> &Limits {
        &self.0.limits
    }

    /// Registers a connection; `None` if none is left.
    pub(super) fn open(&self, source: Source) -> Option<Connection> {
        let now = self.now();
        let mut state = self.lock();
        // Closed connections keep their descriptor until their task runs. A flood would close more
        // and more of them before that.
        if state.alive >= self.0.limits.connections {
            return None;
        }
        let id = state.ledger.next();
        let grant = state.ledger.open(now, source);
        let closer = Arc::new(Notify::new());
        if grant.granted {
            state.closers.insert(id, Arc::clone(&closer));
            state.alive += 1;
        }
        state.shut(&grant.closed);
        drop(state);
        for _ in &grant.closed {
            self.note(Cause::Connections, source);
        }
        grant.granted.then(|| Connection { budget: self.clone(), source, id, closer })
    }

    /// Counts a cause and logs it, at most once per `LOG_INTERVAL`.
    pub(super) fn note(&self, cause: Cause, source: Source) {
        let now = Instant::now();
        let mut state = self.lock();
        let occurrences = state.causes.entry(cause).or_default();
        occurrences.count += 1;
        occurrences.unlogged += 1;
        if occurrences.logged.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        occurrences.logged = Some(now);
        let times = std::mem::take(&mut occurrences.unlogged);
        drop(state);
        warn!(cause = cause.name(), port = source.port, times, "HTTP clients refused");
    }

    /// How often clients were refused since the start, by cause.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        let state = self.lock();
        state.causes.iter().map(|(cause, seen)| (cause.name(), seen.count)).collect()
    }

    /// Number of open connections, and bytes of bodies and answers in memory.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.ledger.open_connections(), state.ledger.held_bytes())
    }

    fn now(&self) -> Duration {
        self.0.began.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Lets the tasks of closed connections end.
    fn shut(&mut self, closed: &[u64]) {
        for id in closed {
            if let Some(closer) = self.closers.remove(id) {
                closer.notify_one();
            }
        }
    }
}

/// A registered connection, which returns what it holds when it is dropped.
pub(super) struct Connection {
    budget: Budget,
    pub(super) source: Source,
    id: u64,
    closer: Arc<Notify>,
}

impl Connection {
    /// Waits until the connection has to be closed in favour of another one.
    pub(super) async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Records what the connection does; false if it has to be closed.
    pub(super) fn enter(&self, phase: Phase) -> bool {
        let now = self.budget.now();
        self.budget.lock().ledger.enter(now, self.id, phase)
    }

    /// Reserves memory for a body; false if none is left.
    pub(super) fn reserve(&self, bytes: usize) -> bool {
        let now = self.budget.now();
        let mut state = self.budget.lock();
        let grant = state.ledger.reserve(now, self.id, bytes);
        state.shut(&grant.closed);
        drop(state);
        self.note_shed(grant.closed.len());
        grant.granted
    }

    /// Counts the memory of an answer.
    pub(super) fn charge(&self, bytes: usize) {
        let now = self.budget.now();
        let mut state = self.budget.lock();
        let closed = state.ledger.charge(now, self.id, bytes);
        state.shut(&closed);
        drop(state);
        self.note_shed(closed.len());
    }

    /// Returns what the connection holds.
    pub(super) fn release(&self) {
        self.budget.lock().ledger.release(self.id);
    }

    pub(super) fn note(&self, cause: Cause) {
        self.budget.note(cause, self.source);
    }

    fn note_shed(&self, count: usize) {
        for _ in 0..count {
            self.note(Cause::Shed);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.ledger.close(self.id);
        state.closers.remove(&self.id);
        state.alive -= 1;
    }
}
