//! A simulated worker: runs tasks within their grants and leases, and reports their progress and end.

use std::collections::BTreeMap;

use toucangrade::Name;
use toucangrade::placement::{Checkpoint, Event, Fault, Instance, Report, Size, Target};

use super::STEP;
use super::truth::{Hidden, Truth};

/// Interval of periodic checkpoints in seconds.
const CHECKPOINT_INTERVAL: f64 = 60.0;
/// Time until a requested checkpoint is durable, in seconds.
const CHECKPOINT_TIME: f64 = 0.5;
/// Duration of a start without a checkpoint, in seconds.
const START_TIME: f64 = 1.0;
/// Duration of a start from a checkpoint, in seconds.
const RESTORE_TIME: f64 = 8.0;
/// Interval of progress reports in seconds.
const PROGRESS_INTERVAL: f64 = 2.0;

/// A running task.
#[derive(Clone, Debug)]
pub struct Task {
    pub fence: u64,
    pub grant: Size,
    pub hidden: Hidden,
    /// Throttling factor of the cores, 1 without throttling.
    pub share: f64,
    /// Core seconds of work done.
    pub done: f64,
    pub checkpoint: Checkpoint,
    /// Cores used in the last step.
    pub using: f64,
    /// Seconds until the start or restore is complete.
    startup: f64,
    /// Seconds until a requested checkpoint is durable.
    requested: Option<f64>,
    since_checkpoint: f64,
    since_report: f64,
    /// Seconds until the lease ends.
    lease: f64,
}

/// A quick task's load, and its latency measured in the current window.
#[derive(Clone, Debug)]
pub struct Quick {
    pub kind: usize,
    pub load: f64,
    /// Random part of the load.
    pub noise: f64,
    /// Sum of the latency ratios in the window.
    pub sum: f64,
    /// Number of latency samples in the window.
    pub count: f64,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub info: Instance,
    pub tasks: BTreeMap<Name, Task>,
    /// Fencing token and last report of ended tasks.
    pub ended: BTreeMap<Name, (u64, Event)>,
    pub quick: Vec<Quick>,
    /// Whether the worker and control can reach each other.
    pub reachable: bool,
    pub crashed: bool,
    /// Whether every task on the worker fails.
    pub faulty: bool,
}

/// Results of a worker's step.
#[derive(Default)]
pub struct Output {
    pub reports: Vec<Report>,
    /// Core seconds of work since the last checkpoint of runs that ended without completing.
    pub lost: f64,
}

impl Worker {
    fn target(&self, job: &Name, fence: u64) -> Target {
        Target { fence, job: job.clone(), worker: self.info.name.clone() }
    }

    /// Starts a task; if it ended under this fencing token or a later one, repeats its last report.
    pub fn start(
        &mut self,
        target: &Target,
        hidden: &Hidden,
        from: Checkpoint,
        grant: Size,
        lease: f64,
    ) -> Report {
        let job = &target.job;
        let (mut event, mut new) = (Event::Started, !self.tasks.contains_key(job));
        if let Some(&(fence, last)) = self.ended.get(job)
            && target.fence <= fence
        {
            (event, new) = (last, false);
        }
        if new {
            let task = Task {
                fence: target.fence,
                grant,
                hidden: hidden.clone(),
                share: 1.0,
                done: from.done as f64,
                checkpoint: from,
                using: 0.0,
                startup: if from.number > 0 { RESTORE_TIME } else { START_TIME },
                requested: None,
                since_checkpoint: 0.0,
                since_report: 0.0,
                lease,
            };
            self.tasks.insert(job.clone(), task);
            let held = self.tasks.values().fold(Size::default(), |sum, t| sum + t.grant);
            assert!(held.fits(self.info.size), "grants on {} exceed its capacity", self.info.name);
        }
        Report { event, target: target.clone() }
    }

    /// Stops a task and returns the report and the lost core seconds. An unknown task counts as stopped.
    pub fn stop(&mut self, target: &Target) -> (Report, f64) {
        let known = self.tasks.get(&target.job).filter(|t| t.fence == target.fence);
        let (event, lost) = match known {
            Some(task) => {
                let lost = task.done - task.checkpoint.done as f64;
                (Event::Stopped(task.checkpoint), lost)
            },
            None => match self.ended.get(&target.job) {
                Some(&(fence, last)) if fence == target.fence => (last, 0.0),
                _ => (Event::Stopped(Checkpoint::default()), 0.0),
            },
        };
        if known.is_some() {
            self.tasks.remove(&target.job);
            self.ended.insert(target.job.clone(), (target.fence, event));
        }
        let target = target.clone();
        (Report { event, target }, lost)
    }

    pub fn checkpoint(&mut self, target: &Target) {
        if let Some(task) = self.tasks.get_mut(&target.job).filter(|t| t.fence == target.fence) {
            task.requested.get_or_insert(CHECKPOINT_TIME);
        }
    }

    pub fn throttle(&mut self, target: &Target, share: u8) {
        if let Some(task) = self.tasks.get_mut(&target.job).filter(|t| t.fence == target.fence) {
            task.share = f64::from(share) / 100.0;
        }
    }

    /// Batch kind of each task and the share of the worker's cores that it uses.
    pub fn mix(&self) -> Vec<(usize, f64)> {
        let cores = self.info.size.cores as f64 / 1_000.0;
        let tasks = self.tasks.values();
        tasks.map(|t| (t.hidden.kind, t.using / cores)).collect()
    }

    /// Simulates all tasks for one step.
    pub fn run(&mut self, truth: &Truth) -> Output {
        let mut output = Output::default();
        if self.crashed {
            return output;
        }
        let mix = self.mix();
        let names: Vec<Name> = self.tasks.keys().cloned().collect();
        for name in names {
            let Some(task) = self.tasks.get_mut(&name) else {
                continue;
            };
            // A task on a worker without contact to control stops itself when its lease ends.
            task.lease = if self.reachable { 10.0 } else { task.lease - STEP };
            let event = if task.lease <= 0.0 {
                Some(Event::Stopped(task.checkpoint))
            } else {
                advance(task, truth, &mix, self.faulty)
            };
            let (fence, checkpoint, done) = (task.fence, task.checkpoint, task.done);
            let target = |worker: &Self| worker.target(&name, fence);
            if let Some(event) = event {
                if !matches!(event, Event::Finished) {
                    output.lost += done - checkpoint.done as f64;
                }
                output.reports.push(Report { event, target: target(self) });
                self.tasks.remove(&name);
                self.ended.insert(name, (fence, event));
                continue;
            }
            let number = task.checkpoint.number;
            task.since_checkpoint += STEP;
            task.since_report += STEP;
            if let Some(left) = &mut task.requested {
                *left -= STEP;
            }
            let due = task.requested.is_some_and(|left| left <= 0.0);
            if due || task.since_checkpoint >= CHECKPOINT_INTERVAL {
                task.requested = None;
                task.since_checkpoint = 0.0;
                task.checkpoint = Checkpoint { done: task.done as u64, number: number + 1 };
            }
            if task.checkpoint.number != number || task.since_report >= PROGRESS_INTERVAL {
                task.since_report = 0.0;
                let (checkpoint, done) = (task.checkpoint, task.done as u64);
                output.reports.push(Report {
                    event: Event::Progress { checkpoint, done },
                    target: target(self),
                });
            }
        }
        output
    }
}

/// Simulates one task for a step; returns the event that ends it, if any.
fn advance(task: &mut Task, truth: &Truth, mix: &[(usize, f64)], faulty: bool) -> Option<Event> {
    if task.startup > 0.0 {
        task.startup -= STEP;
        task.using = 0.0;
        return None;
    }
    if faulty {
        return Some(Event::Failed(Fault::Error));
    }
    let hidden = &task.hidden;
    // The guard limits a task to its granted cores.
    task.using = hidden.cores.min(task.grant.cores as f64 / 1_000.0) * task.share;
    task.done += task.using * truth.rate(hidden.kind, mix) * STEP;
    let part = task.done / hidden.work;
    // Memory grows over the first fifth of the work.
    if memory(task) > task.grant.memory as f64 {
        return Some(Event::Failed(Fault::Memory));
    }
    if hidden.doomed && part > 0.33 {
        return Some(Event::Failed(Fault::Error));
    }
    (part >= 1.0).then_some(Event::Finished)
}

/// Memory that a task uses now, in MB.
pub fn memory(task: &Task) -> f64 {
    let part = task.done / task.hidden.work;
    task.hidden.memory * (0.3 + 0.7 * (part / 0.2).min(1.0))
}
