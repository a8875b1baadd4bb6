//! A fake worker: runs tasks under guards and leases, and reports with a lag.

use std::collections::BTreeMap;

use toucangrade::Name;
use toucangrade::placement::{Checkpoint, Event, Fault, Instance, Report, Size, Target};

use super::STEP;
use super::truth::{Hidden, Truth};

/// Time between checkpoints in seconds.
const CHECKPOINT_EACH: f64 = 60.0;
/// Time that a checkpoint on request takes until it is synced.
const CHECKPOINT_TIME: f64 = 0.5;
/// Time that a start takes, and a restore from a checkpoint.
const START_TIME: f64 = 1.0;
const RESTORE_TIME: f64 = 8.0;
/// Time between progress reports.
const PROGRESS_EACH: f64 = 2.0;

/// A running task.
#[derive(Clone, Debug)]
pub struct Task {
    pub fence: u64,
    pub grant: Size,
    pub hidden: Hidden,
    pub share: f64,
    pub done: f64,
    pub checkpoint: Checkpoint,
    /// Cores that it used in the last step.
    pub using: f64,
    idle: f64,
    asked: Option<f64>,
    since_checkpoint: f64,
    since_report: f64,
    lease: f64,
}

/// A quick task's load and what was measured in the present window.
#[derive(Clone, Debug)]
pub struct Quick {
    pub kind: usize,
    pub load: f64,
    pub noise: f64,
    pub sum: f64,
    pub count: f64,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub info: Instance,
    pub tasks: BTreeMap<Name, Task>,
    pub ended: BTreeMap<Name, (u64, Event)>,
    pub quick: Vec<Quick>,
    /// Whether control can be reached.
    pub reachable: bool,
    pub crashed: bool,
    /// Fails every task that it starts.
    pub rotten: bool,
}

/// What a worker's step gave.
#[derive(Default)]
pub struct Output {
    pub reports: Vec<Report>,
    /// Core seconds lost by executions that ended before their job did.
    pub lost: f64,
}

impl Worker {
    fn target(&self, job: &Name, fence: u64) -> Target {
        Target { fence, job: job.clone(), worker: self.info.name.clone() }
    }

    /// Starts a task, or repeats the last report of one that ended under this token.
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
                idle: if from.number > 0 { RESTORE_TIME } else { START_TIME },
                asked: None,
                since_checkpoint: 0.0,
                since_report: 0.0,
                lease,
            };
            self.tasks.insert(job.clone(), task);
            let held = self.tasks.values().fold(Size::default(), |sum, t| sum + t.grant);
            assert!(held.fits(self.info.size), "{} is over capacity", self.info.name);
        }
        Report { event, target: target.clone() }
    }

    /// Stops a task; a task that is not known has stopped already.
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
            task.asked.get_or_insert(CHECKPOINT_TIME);
        }
    }

    pub fn throttle(&mut self, target: &Target, share: u8) {
        if let Some(task) = self.tasks.get_mut(&target.job).filter(|t| t.fence == target.fence) {
            task.share = f64::from(share) / 100.0;
        }
    }

    /// Parts of the cores that each batch kind uses.
    pub fn mix(&self) -> Vec<(usize, f64)> {
        let cores = self.info.size.cores as f64 / 1_000.0;
        let tasks = self.tasks.values();
        tasks.map(|t| (t.hidden.kind, t.using / cores)).collect()
    }

    /// Lets all tasks run for one step.
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
            // A task without contact to control stops by itself when its lease ends.
            task.lease = if self.reachable { 10.0 } else { task.lease - STEP };
            let event = if task.lease <= 0.0 {
                Some(Event::Stopped(task.checkpoint))
            } else {
                advance(task, truth, &mix, self.rotten)
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
            if let Some(left) = &mut task.asked {
                *left -= STEP;
            }
            let due = task.asked.is_some_and(|left| left <= 0.0);
            if due || task.since_checkpoint >= CHECKPOINT_EACH {
                task.asked = None;
                task.since_checkpoint = 0.0;
                task.checkpoint = Checkpoint { done: task.done as u64, number: number + 1 };
            }
            if task.checkpoint.number != number || task.since_report >= PROGRESS_EACH {
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

/// Lets one task run for a step; gives the event that ends it, if any.
fn advance(task: &mut Task, truth: &Truth, mix: &[(usize, f64)], rotten: bool) -> Option<Event> {
    if task.idle > 0.0 {
        task.idle -= STEP;
        task.using = 0.0;
        return None;
    }
    if rotten {
        return Some(Event::Failed(Fault::Error));
    }
    let hidden = &task.hidden;
    // The guard throttles a task at its granted cores.
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
