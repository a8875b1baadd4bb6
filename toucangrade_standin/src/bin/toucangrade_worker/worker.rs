//! Simulates tasks by elapsed time, with checkpoints, leases and fencing tokens.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use toucangrade::{Handler, Inbound, Outbound};

/// Interval between the periodic checkpoints of a task.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// Core seconds of work that an unthrottled task does in a second.
const WORK_RATE: f64 = 1.0;

/// One execution of a job. While it runs, its work grows with the time that passed.
struct Task {
    fence: u64,
    cores: u64,
    memory: u64,
    /// Share of full speed, from 0 to 1; set by throttling.
    share: f64,
    /// Core seconds of work done up to `since`.
    done: f64,
    since: Instant,
    /// Number of the newest checkpoint; `saved` is its work in core seconds.
    checkpoint: u64,
    saved: f64,
    saved_at: Instant,
    /// When the agent last renewed the lease by listing the tasks; the task stops `lease` later.
    renewed: Instant,
    lease: Duration,
    stage: &'static str,
}

struct Shared {
    tasks: BTreeMap<String, Task>,
    journal: Option<File>,
    /// Core seconds of work after which a task is finished.
    task_work: f64,
}

/// Handle to the shared state of the worker.
#[derive(Clone)]
pub(crate) struct Worker {
    shared: Arc<Mutex<Shared>>,
}

impl Worker {
    /// Opens the journal; every task takes `task_work` core seconds.
    pub(crate) fn open(task_work: u64, journal: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().append(true).create(true).open(path);
        let journal = journal.map(open).transpose()?;
        let shared = Shared { tasks: BTreeMap::new(), journal, task_work: task_work as f64 };
        Ok(Self { shared: Arc::new(Mutex::new(shared)) })
    }

    /// The HTTP handler for the agent's requests.
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
            ("PUT", ["tasks", job]) => shared.start(job, &body),
            ("POST", ["tasks", job, action]) => shared.apply_action(job, action, &body),
            _ => Outbound::new(404, "no such path"),
        }
    }
}

impl Shared {
    /// Updates every running task to the current time: adds work, takes a due checkpoint, finishes
    /// the task or stops it after its lease expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let mut lines = Vec::new();
        for (job, task) in &mut self.tasks {
            if task.stage != "running" {
                continue;
            }
            // No work is done after the lease expired, since the job may be resumed elsewhere.
            let until = now.min(task.renewed + task.lease);
            task.done +=
                until.saturating_duration_since(task.since).as_secs_f64() * WORK_RATE * task.share;
            task.since = until;
            if now.duration_since(task.saved_at) >= CHECKPOINT_INTERVAL {
                (task.checkpoint, task.saved, task.saved_at) =
                    (task.checkpoint + 1, task.done, now);
            }
            if task.done >= self.task_work {
                task.stage = "finished";
                lines.push(format!("end {job} {}", task.fence));
            } else if now > task.renewed + task.lease {
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
            task.renewed = now;
            listed.push(json!({
                "job": job,
                "fence": task.fence,
                "stage": task.stage,
                "done": task.done as u64,
                "checkpoint": { "number": task.checkpoint, "done": task.saved as u64 },
                "used": { "cores": task.cores, "memory": task.memory, "accelerators": 0 },
            }));
        }
        Outbound::json(200, &Value::Array(listed))
    }

    fn start(&mut self, job: &str, body: &Value) -> Outbound {
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
            checkpoint: number(&body["from"]["number"]),
            saved,
            saved_at: now,
            renewed: now,
            lease: Duration::from_millis(number(&body["lease_ms"])),
            stage: "running",
        };
        self.tasks.insert(job.to_owned(), task);
        self.write(&format!("start {job} {fence} from {saved}"));
        Outbound::new(200, "started")
    }

    fn apply_action(&mut self, job: &str, action: &str, body: &Value) -> Outbound {
        let fence = body["fence"].as_u64();
        let Some(task) = self.tasks.get_mut(job).filter(|task| Some(task.fence) == fence) else {
            return Outbound::new(409, "no execution with this fence");
        };
        if task.stage != "running" {
            return Outbound::new(200, "ended already");
        }
        match action {
            "checkpoint" => (task.checkpoint, task.saved) = (task.checkpoint + 1, task.done),
            "stop" => {
                (task.checkpoint, task.saved) = (task.checkpoint + 1, task.done);
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
