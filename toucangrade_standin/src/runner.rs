//! Executions of the stand-in and their journal.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use toucangrade::{Handler, Inbound, Outbound};

use crate::options::Options;

/// Stopped keys and checkpoints that are remembered.
const STOPPED_KEPT: usize = 10_000;
/// Start of a checkpoint's name; the work done until then follows, in milliseconds. The name holds
/// the whole progress, so that any other stand-in can resume from it without a common store.
const PROGRESS: &str = "progress-ms-";

struct Shared {
    /// Each line is written at once.
    journal: Option<File>,
    /// Executions under way by key and fencing token.
    running: BTreeMap<(String, u64), Running>,
    /// Checkpoints by key and fencing token, so that a repeated eviction gives the same one.
    checkpoints: BTreeMap<(String, u64), String>,
    /// Largest fencing token that was stopped for each key, so that a start that arrives after
    /// its stop does not run.
    stopped: BTreeMap<String, u64>,
    count: u64,
}

/// An execution under way.
struct Running {
    /// Stops the execution.
    stop: oneshot::Sender<()>,
    started: Instant,
    /// Work that was done before its checkpoint.
    before: Duration,
}

/// What the options tell one execution to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Orders {
    pub(crate) cut: bool,
    pub(crate) decline: bool,
    pub(crate) fail: bool,
    pub(crate) slow: bool,
}

impl Orders {
    /// Spreads each share evenly over the executions, so that runs can be repeated.
    pub(crate) fn of(number: u64, options: &Options) -> Self {
        // Shares begin at different places, so that they meet as if they were independent.
        let due = |percent: u64, offset: u64| {
            let number = number + offset;
            number * percent / 100 != (number + 1) * percent / 100
        };
        Self {
            cut: due(options.cut, 17),
            decline: due(options.decline, 41),
            fail: due(options.fail, 0),
            slow: due(options.slow, 73),
        }
    }
}

/// How an execution ended.
enum Ended {
    Done,
    LeaseOver,
    Stopped,
}

/// The back end.
#[derive(Clone)]
pub(crate) struct Runner {
    shared: Arc<Mutex<Shared>>,
    options: Arc<Options>,
}

impl Runner {
    /// Opens the journal.
    pub(crate) fn open(options: &Options) -> io::Result<Self> {
        let open = |path| OpenOptions::new().append(true).create(true).open(path);
        let journal = options.journal.as_ref().map(open).transpose()?;
        let (running, checkpoints) = (BTreeMap::new(), BTreeMap::new());
        let shared = Shared { journal, running, checkpoints, stopped: BTreeMap::new(), count: 0 };
        Ok(Self { shared: Arc::new(Mutex::new(shared)), options: Arc::new(options.clone()) })
    }

    /// Answers `POST /{kind}` with an execution and `DELETE /{kind}` with its stop.
    pub(crate) fn handler(&self) -> Handler {
        let runner = self.clone();
        Arc::new(move |call| {
            let runner = runner.clone();
            Box::pin(async move {
                let key = call.header("idempotency-key").unwrap_or("none").to_owned();
                let fence = call.header("toucangrade-fence").and_then(|value| value.parse().ok());
                match call.method.as_str() {
                    "POST" => runner.execute(call, key, fence.unwrap_or(0)).await,
                    "DELETE" if runner.evicts(&call) => runner.evict(&key, fence.unwrap_or(0)),
                    "DELETE" => runner.lock().stop(&key, fence),
                    _ => Outbound::new(405, "only POST and DELETE"),
                }
            })
        })
    }

    async fn execute(&self, call: Inbound, key: String, fence: u64) -> Outbound {
        let lease = call.header("toucangrade-lease-ms").and_then(|value| value.parse().ok());
        let number = self.next();
        let orders = Orders::of(number, &self.options);
        if orders.decline {
            return declined("declined as told");
        }
        let checkpoint = call.header("toucangrade-checkpoint");
        let before = checkpoint.and_then(progress).unwrap_or_default();
        let stopped = match self.start(&key, fence, checkpoint, before) {
            Ok(stopped) => stopped,
            Err(refused) => return refused,
        };
        let extra = if orders.slow { self.options.slow_ms } else { 0 };
        let delay = Duration::from_millis(self.options.delay + extra);
        let rest = delay.saturating_sub(before);
        match run(rest, lease.map(Duration::from_millis), stopped).await {
            Ended::Done => {
                if !self.end("end", &key, fence) {
                    return Outbound::new(409, "stopped");
                }
                if orders.cut {
                    return cut(&call.body);
                }
                if orders.fail {
                    return Outbound::new(500, "failed as told");
                }
                Outbound::new(200, [b"done ".as_slice(), &call.body].concat())
            },
            Ended::LeaseOver => {
                self.end("stop", &key, fence);
                Outbound::new(409, "lease ended")
            },
            Ended::Stopped => Outbound::new(409, "stopped"),
        }
    }

    /// Executions under way.
    pub(crate) fn busy(&self) -> usize {
        self.lock().running.len()
    }

    fn next(&self) -> u64 {
        let mut shared = self.lock();
        shared.count += 1;
        shared.count
    }

    /// Begins an execution, unless it was stopped before it came or runs already.
    fn start(
        &self,
        key: &str,
        fence: u64,
        checkpoint: Option<&str>,
        before: Duration,
    ) -> Result<oneshot::Receiver<()>, Outbound> {
        let mut shared = self.lock();
        if shared.stopped.get(key).is_some_and(|stopped| fence <= *stopped) {
            return Err(declined("stopped before it started"));
        }
        let id = (key.to_owned(), fence);
        if shared.running.contains_key(&id) {
            return Err(Outbound::new(409, "this attempt runs already"));
        }
        let (stop, stopped) = oneshot::channel();
        shared.write("start", key);
        if let Some(checkpoint) = checkpoint {
            shared.write("resume", &format!("{key} {checkpoint}"));
        }
        shared.running.insert(id, Running { stop, started: Instant::now(), before });
        Ok(stopped)
    }

    /// Whether a stop asks for a checkpoint of a kind that has them.
    fn evicts(&self, call: &Inbound) -> bool {
        let kind = call.path.trim_start_matches('/');
        let known = self.options.checkpointed().any(|other| other == kind);
        known && call.header("toucangrade-evict") == Some("true")
    }

    /// Stops an attempt with a checkpoint.
    fn evict(&self, key: &str, fence: u64) -> Outbound {
        let id = (key.to_owned(), fence);
        let mut shared = self.lock();
        if let Some(running) = shared.running.get(&id) {
            let done = running.before + running.started.elapsed();
            let checkpoint = format!("{PROGRESS}{}", done.as_millis());
            shared.write("evict", key);
            shared.checkpoints.insert(id.clone(), checkpoint);
            if shared.checkpoints.len() > STOPPED_KEPT {
                shared.checkpoints.pop_first();
            }
        }
        let stopped = shared.stop(key, Some(fence));
        match shared.checkpoints.get(&id) {
            Some(checkpoint) => stopped.with_text("toucangrade-checkpoint", checkpoint),
            None => stopped,
        }
    }

    /// Notes the end of an execution; false when it was stopped just before.
    fn end(&self, word: &str, key: &str, fence: u64) -> bool {
        let mut shared = self.lock();
        let running = shared.running.remove(&(key.to_owned(), fence)).is_some();
        if running {
            shared.write(word, key);
        }
        running
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Works for `delay`, but not beyond the lease or a stop.
async fn run(delay: Duration, lease: Option<Duration>, stopped: oneshot::Receiver<()>) -> Ended {
    let work = async {
        let stopped = tokio::time::timeout(delay, stopped).await.is_ok();
        if stopped { Ended::Stopped } else { Ended::Done }
    };
    match lease {
        Some(lease) => tokio::time::timeout(lease, work).await.unwrap_or(Ended::LeaseOver),
        None => work.await,
    }
}

/// Work that was done until a checkpoint of a stand-in.
fn progress(checkpoint: &str) -> Option<Duration> {
    let millis = checkpoint.strip_prefix(PROGRESS)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// A refusal by which the agent knows that the request did not run.
fn declined(reason: &'static str) -> Outbound {
    Outbound::new(503, reason).with_text("toucangrade-verdict", "not-run")
}

/// A response whose body ends before its declared length, so that the connection is cut.
fn cut(body: &[u8]) -> Outbound {
    let whole = b"done ".len() + body.len();
    Outbound::new(200, "do").with_text("content-length", &whole.to_string())
}

impl Shared {
    /// Stops the attempts of a key up to a fencing token, or all of them without one.
    fn stop(&mut self, key: &str, fence: Option<u64>) -> Outbound {
        if let Some(fence) = fence {
            let stopped = self.stopped.entry(key.to_owned()).or_default();
            *stopped = fence.max(*stopped);
            if self.stopped.len() > STOPPED_KEPT {
                self.stopped.pop_first();
            }
        }
        let last = fence.unwrap_or(u64::MAX);
        let ids = (key.to_owned(), 0)..=(key.to_owned(), last);
        let ids: Vec<(String, u64)> = self.running.range(ids).map(|(id, _)| id.clone()).collect();
        for id in ids {
            if let Some(running) = self.running.remove(&id) {
                self.write("stop", key);
                // The receiver is gone when the delay has passed just now; it finds itself stopped.
                let _ = running.stop.send(());
            }
        }
        Outbound::new(200, "stopped")
    }

    fn write(&mut self, word: &str, key: &str) {
        if let Some(journal) = &mut self.journal
            && let Err(error) = writeln!(journal, "{word} {key}")
        {
            eprintln!("toucangrade_standin: the journal can't be written: {error}");
        }
    }
}
