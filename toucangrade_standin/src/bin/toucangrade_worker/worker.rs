//! Stand-in worker: runs tasks as timers, checkpoints them and keeps to leases and fences.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use toucangrade::{Handler, Inbound, Outbound};

/// Time between two checkpoints of a task.
const CHECKPOINT_EVERY: Duration = Duration::from_millis(500);
/// Core seconds of work that a task does in a second at its full share.
const WORK_RATE: f64 = 1.0;

/// One task; its work goes on while it runs.
struct Task {
    fence: u64,
    cores: u64,
    memory: u64,
    share: f64,
    /// Work done up to `since`, in core seconds.
    done: f64,
    since: Instant,
    /// Newest checkpoint: its number and the work that it holds.
    number: u64,
    saved: f64,
    saved_at: Instant,
    /// When the agent was last heard, and how long the task may run without.
    heard: Instant,
    lease: Duration,
    stage: &'static str,
}

struct Shared {
    tasks: BTreeMap<String, Task>,
    journal: Option<File>,
    /// Work that a task takes, in core seconds.
    length: f64,
}

/// The worker.
#[derive(Clone)]
pub(crate) struct Worker {
    shared: Arc<Mutex<Shared>>,
}

impl Worker {
    /// Opens the journal; every task takes `length` core seconds.
    pub(crate) fn open(length: u64, journal: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().append(true).create(true).open(path);
        let journal = journal.map(open).transpose()?;
        let shared = Shared { tasks: BTreeMap::new(), journal, length: length as f64 };
        Ok(Self { shared: Arc::new(Mutex::new(shared)) })
    }

    /// Answers the agent.
    pub(crate) fn handler(&self) -> Handler {
        let worker = self.clone();
        Arc::new(move |call| {
            let worker = worker.clone();
            Box::pin(async move { worker.serve(&call) })
        })
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, call: &Inbound) -> Outbound {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        let mut shared = self.lock();
        shared.advance();
        match (call.method.as_str(), &call.segments()[..]) {
            ("GET", ["tasks"]) => shared.list(),
            ("PUT", ["tasks", job]) => shared.begin(job, &body),
            ("POST", ["tasks", job, action]) => shared.act(job, action, &body),
            _ => Outbound::new(404, "no such path"),
        }
    }
}

impl Shared {
    /// Brings every task up to now: work, checkpoints, ends and leases.
    fn advance(&mut self) {
        let now = Instant::now();
        let mut lines = Vec::new();
        for (job, task) in &mut self.tasks {
            if task.stage != "running" {
                continue;
            }
            // A task ends with its lease, so that it can be resumed elsewhere.
            let until = now.min(task.heard + task.lease);
            task.done +=
                until.saturating_duration_since(task.since).as_secs_f64() * WORK_RATE * task.share;
            task.since = until;
            if now.duration_since(task.saved_at) >= CHECKPOINT_EVERY {
                (task.number, task.saved, task.saved_at) = (task.number + 1, task.done, now);
            }
            if task.done >= self.length {
                task.stage = "finished";
                lines.push(format!("end {job} {}", task.fence));
            } else if now > task.heard + task.lease {
                task.stage = "stopped";
                lines.push(format!("stop {job} {}", task.fence));
            }
        }
        for line in lines {
            self.write(&line);
        }
    }

    fn list(&mut self) -> Outbound {
        let now = Instant::now();
        let mut listed = Vec::new();
        for (job, task) in &mut self.tasks {
            task.heard = now;
            listed.push(json!({
                "job": job,
                "fence": task.fence,
                "stage": task.stage,
                "done": task.done as u64,
                "checkpoint": { "number": task.number, "done": task.saved as u64 },
                "used": { "cores": task.cores, "memory": task.memory, "accelerators": 0 },
            }));
        }
        Outbound::json(200, &Value::Array(listed))
    }

    fn begin(&mut self, job: &str, body: &Value) -> Outbound {
        let number = |value: &Value| value.as_u64().unwrap_or(0);
        let fence = number(&body["fence"]);
        if self.tasks.get(job).is_some_and(|task| task.fence >= fence || task.stage == "running") {
            return Outbound::new(409, "an execution with this fence or a newer one is known");
        }
        let now = Instant::now();
        let saved = number(&body["from"]["done"]) as f64;
        let task = Task {
            fence,
            cores: number(&body["grant"]["cores"]),
            memory: number(&body["grant"]["memory"]),
            share: 1.0,
            done: saved,
            since: now,
            number: number(&body["from"]["number"]),
            saved,
            saved_at: now,
            heard: now,
            lease: Duration::from_millis(number(&body["lease_ms"])),
            stage: "running",
        };
        self.tasks.insert(job.to_owned(), task);
        self.write(&format!("start {job} {fence} from {saved}"));
        Outbound::new(200, "started")
    }

    fn act(&mut self, job: &str, action: &str, body: &Value) -> Outbound {
        let fence = body["fence"].as_u64();
        let Some(task) = self.tasks.get_mut(job).filter(|task| Some(task.fence) == fence) else {
            return Outbound::new(409, "no execution with this fence");
        };
        if task.stage != "running" {
            return Outbound::new(200, "ended already");
        }
        match action {
            "checkpoint" => (task.number, task.saved) = (task.number + 1, task.done),
            "stop" => {
                (task.number, task.saved) = (task.number + 1, task.done);
                task.stage = "stopped";
                let line = format!("stop {job} {}", task.fence);
                self.write(&line);
            },
            "throttle" => task.share = body["share"].as_u64().unwrap_or(100) as f64 / 100.0,
            _ => return Outbound::new(404, "no such action"),
        }
        Outbound::new(200, "done")
    }

    fn write(&mut self, line: &str) {
        if let Some(journal) = &mut self.journal
            && let Err(error) = writeln!(journal, "{line}")
        {
            eprintln!("toucangrade_standin: the journal can't be written: {error}");
        }
    }
}
