//! Executions of the stand-in back end: fencing, leases, stops, checkpoints and the journal.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use toucangrade::{Handler, Inbound, Outbound};

use crate::options::Options;

/// Maximum number of stopped keys, and of checkpoints, that are kept.
const RETAINED_MAX: usize = 10_000;
/// Prefix of a checkpoint name; the work done so far follows, in milliseconds. The name holds the
/// whole progress, so that any other stand-in can resume from it without a shared store.
const CHECKPOINT_PREFIX: &str = "progress-ms-";

struct Shared {
    /// Unbuffered: each line is written at once.
    journal: Option<File>,
    /// Running executions by key and fencing token.
    running: BTreeMap<(String, u64), Running>,
    /// Checkpoints by key and fencing token, so that a repeated eviction returns the same one.
    checkpoints: BTreeMap<(String, u64), String>,
    /// Largest stopped fencing token of each key, so that a start that arrives after its stop does
    /// not run.
    stopped: BTreeMap<String, u64>,
    /// Number of start requests so far.
    requests: u64,
}

/// A running execution.
struct Running {
    stop: oneshot::Sender<()>,
    started: Instant,
    /// Work done before this execution, from the checkpoint that it resumed from.
    prior_work: Duration,
}

/// Faults injected into one execution, as the options set their shares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Faults {
    pub(crate) cut: bool,
    pub(crate) decline: bool,
    pub(crate) fail: bool,
    pub(crate) slow: bool,
}

impl Faults {
    /// Faults of execution `number`. Each share is spread evenly over the executions and not drawn
    /// at random, so that runs can be repeated.
    pub(crate) fn of(number: u64, options: &Options) -> Self {
        // Different offsets combine the faults roughly as if they were independent.
        let due = |percent: u64, offset: u64| {
            let number = number + offset;
            number * percent / 100 != (number + 1) * percent / 100
        };
        Self {
            cut: due(options.cut_percent, 17),
            decline: due(options.decline_percent, 41),
            fail: due(options.fail_percent, 0),
            slow: due(options.slow_percent, 73),
        }
    }
}

/// How an execution ended.
enum Outcome {
    Done,
    LeaseExpired,
    Stopped,
}

/// Handle to the executions of the back end.
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
        let shared =
            Shared { journal, running, checkpoints, stopped: BTreeMap::new(), requests: 0 };
        Ok(Self { shared: Arc::new(Mutex::new(shared)), options: Arc::new(options.clone()) })
    }

    /// The HTTP handler: `POST /{kind}` executes, `DELETE /{kind}` stops an execution.
    pub(crate) fn handler(&self) -> Handler {
        let runner = self.clone();
        Arc::new(move |call| {
            let runner = runner.clone();
            Box::pin(async move {
                let key = call.header("idempotency-key").unwrap_or("none").to_owned();
                let fence = call.header("toucangrade-fence").and_then(|value| value.parse().ok());
                match call.method.as_str() {
                    "POST" => runner.execute(call, key, fence.unwrap_or(0)).await,
                    "DELETE" if runner.is_eviction(&call) => runner.evict(&key, fence.unwrap_or(0)),
                    "DELETE" => runner.lock().stop(&key, fence),
                    _ => Outbound::new(405, "only POST and DELETE"),
                }
            })
        })
    }

    async fn execute(&self, call: Inbound, key: String, fence: u64) -> Outbound {
        let lease = call.header("toucangrade-lease-ms").and_then(|value| value.parse().ok());
        let number = self.next_number();
        let faults = Faults::of(number, &self.options);
        if faults.decline {
            return not_run("declined as told");
        }
        let checkpoint = call.header("toucangrade-checkpoint");
        let prior_work = checkpoint.and_then(parse_progress).unwrap_or_default();
        let stopped = match self.start(&key, fence, checkpoint, prior_work) {
            Ok(stopped) => stopped,
            Err(refused) => return refused,
        };
        let extra = if faults.slow { self.options.slow_ms } else { 0 };
        let delay = Duration::from_millis(self.options.delay_ms + extra);
        let remaining = delay.saturating_sub(prior_work);
        match run(remaining, lease.map(Duration::from_millis), stopped).await {
            Outcome::Done => {
                if !self.finish("end", &key, fence) {
                    return Outbound::new(409, "stopped");
                }
                if faults.cut {
                    return truncated(&call.body);
                }
                if faults.fail {
                    return Outbound::new(500, "failed as told");
                }
                Outbound::new(200, [b"done ".as_slice(), &call.body].concat())
            },
            Outcome::LeaseExpired => {
                self.finish("stop", &key, fence);
                Outbound::new(409, "lease ended")
            },
            Outcome::Stopped => Outbound::new(409, "stopped"),
        }
    }

    /// Number of running executions.
    pub(crate) fn busy(&self) -> usize {
        self.lock().running.len()
    }

    fn next_number(&self) -> u64 {
        let mut shared = self.lock();
        shared.requests += 1;
        shared.requests
    }

    /// Registers an execution, unless its fencing token is already stopped or running.
    fn start(
        &self,
        key: &str,
        fence: u64,
        checkpoint: Option<&str>,
        prior_work: Duration,
    ) -> Result<oneshot::Receiver<()>, Outbound> {
        let mut shared = self.lock();
        if shared.stopped.get(key).is_some_and(|stopped| fence <= *stopped) {
            return Err(not_run("stopped before it started"));
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
        shared.running.insert(id, Running { stop, started: Instant::now(), prior_work });
        Ok(stopped)
    }

    /// Whether a stop requests a checkpoint and its kind supports checkpoints.
    fn is_eviction(&self, call: &Inbound) -> bool {
        let kind = call.path.trim_start_matches('/');
        let checkpointed = self.options.checkpointed().any(|other| other == kind);
        checkpointed && call.header("toucangrade-evict") == Some("true")
    }

    /// Takes a checkpoint of an attempt and stops it.
    fn evict(&self, key: &str, fence: u64) -> Outbound {
        let id = (key.to_owned(), fence);
        let mut shared = self.lock();
        if let Some(running) = shared.running.get(&id) {
            let done = running.prior_work + running.started.elapsed();
            let checkpoint = format!("{CHECKPOINT_PREFIX}{}", done.as_millis());
            shared.write("evict", key);
            shared.checkpoints.insert(id.clone(), checkpoint);
            if shared.checkpoints.len() > RETAINED_MAX {
                shared.checkpoints.pop_first();
            }
        }
        let stopped = shared.stop(key, Some(fence));
        match shared.checkpoints.get(&id) {
            Some(checkpoint) => stopped.with_text("toucangrade-checkpoint", checkpoint),
            None => stopped,
        }
    }

    /// Records the end of an execution; false if it was stopped just before.
    fn finish(&self, event: &str, key: &str, fence: u64) -> bool {
        let mut shared = self.lock();
        let running = shared.running.remove(&(key.to_owned(), fence)).is_some();
        if running {
            shared.write(event, key);
        }
        running
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for `delay`, or until the lease expires or the execution is stopped.
async fn run(delay: Duration, lease: Option<Duration>, stopped: oneshot::Receiver<()>) -> Outcome {
    let work = async {
        let stopped = tokio::time::timeout(delay, stopped).await.is_ok();
        if stopped { Outcome::Stopped } else { Outcome::Done }
    };
    match lease {
        Some(lease) => tokio::time::timeout(lease, work).await.unwrap_or(Outcome::LeaseExpired),
        None => work.await,
    }
}

/// Work done until a checkpoint, from the checkpoint's name.
fn parse_progress(checkpoint: &str) -> Option<Duration> {
    let millis = checkpoint.strip_prefix(CHECKPOINT_PREFIX)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// A rejection whose verdict tells the agent that the request did not run.
fn not_run(reason: &'static str) -> Outbound {
    Outbound::new(503, reason).with_text("toucangrade-verdict", "not-run")
}

/// A response whose body is shorter than its declared length, so that the connection breaks off.
fn truncated(body: &[u8]) -> Outbound {
    let length = b"done ".len() + body.len();
    Outbound::new(200, "do").with_text("content-length", &length.to_string())
}

impl Shared {
    /// Stops the attempts of a key up to and including a fencing token, or all without one.
    fn stop(&mut self, key: &str, fence: Option<u64>) -> Outbound {
        if let Some(fence) = fence {
            let stopped = self.stopped.entry(key.to_owned()).or_default();
            *stopped = fence.max(*stopped);
            if self.stopped.len() > RETAINED_MAX {
                self.stopped.pop_first();
            }
        }
        let last = fence.unwrap_or(u64::MAX);
        let ids = (key.to_owned(), 0)..=(key.to_owned(), last);
        let ids: Vec<(String, u64)> = self.running.range(ids).map(|(id, _)| id.clone()).collect();
        for id in ids {
            if let Some(running) = self.running.remove(&id) {
                self.write("stop", key);
                // If the delay has just passed, the receiver is gone; `finish` then returns false.
                let _ = running.stop.send(());
            }
        }
        Outbound::new(200, "stopped")
    }

    fn write(&mut self, event: &str, key: &str) {
        if let Some(journal) = &mut self.journal
            && let Err(error) = writeln!(journal, "{event} {key}")
        {
            eprintln!("toucangrade_standin: the journal can't be written: {error}");
        }
    }
}
