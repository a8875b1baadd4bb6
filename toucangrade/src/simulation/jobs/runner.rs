//! A runner: what it starts, stops, lists and forgets.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::dispatch::{Denial, EndedRun, RunStatus, Start};
use crate::hosting::Listing;
use crate::jobs::{Checkpoint, End, Incarnation, Job, Need, RunKey, Step, TaskKey};

/// Time that a lasting task takes until it is at work, in microseconds.
const STARTUP: u64 = 300_000;
/// Work between two checkpoints, in microseconds.
const CHECKPOINT_EVERY: u64 = 500_000;
/// Tail latency of a task that serves without load, in ms.
const BASE_LATENCY: f64 = 40.0;

/// How a runner misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Habit {
    /// Everything that it starts fails.
    Failing,
    /// Its tasks stand still.
    Hanging,
    /// It leaves orders unanswered and carries them out late or twice.
    Late,
    /// Its tasks stand still, and it answers nothing.
    Mute,
    /// It refuses to start anything.
    Sick,
    #[default]
    Sound,
}

/// A run that goes on.
#[derive(Debug)]
pub(super) struct Run {
    job: Arc<Job>,
    step: usize,
    /// Work in microseconds, all of it and what is done.
    work: u64,
    done: u64,
    /// Work after which it fails.
    fails: Option<u64>,
    pace: u8,
    /// When a stop takes effect.
    stopping: Option<u64>,
    saved: Option<Checkpoint>,
}

impl Run {
    pub(super) fn step(&self) -> &Step {
        &self.job.steps[self.step]
    }
}

/// How a run will go.
pub(super) struct Plan {
    pub(super) job: Arc<Job>,
    pub(super) work: u64,
    pub(super) fails: Option<u64>,
}

/// One life of a runner.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) incarnation: Incarnation,
    pub(super) labels: Vec<Arc<str>>,
    pub(super) capacity: Need,
    /// Whether it refuses what does not fit.
    pub(super) guarded: bool,
    /// When it started, and how many of its seconds pass in 1,000.
    pub(super) boot: u64,
    pub(super) rate: u64,
    /// Longest lease in ms; longer ones are shortened.
    pub(super) longest: u64,
    /// Tells lives of equal name and start apart.
    pub(super) serial: u64,
    pub(super) habit: Habit,
    pub(super) draining: bool,
    /// Number of the last heartbeat.
    pub(super) sequence: u64,
    pub(super) runs: BTreeMap<RunKey, Run>,
    /// Ends that were not acknowledged, with the time of each.
    pub(super) ended: Vec<(u64, EndedRun)>,
    /// Listings held back until something ends, with the time of their answer.
    pub(super) waits: Vec<(u64, u64)>,
    numbered: u64,
    token: u64,
    /// End of the lease on its own clock in ms.
    until: u64,
    /// Newest run of each task that was stopped or has ended.
    floors: BTreeMap<TaskKey, u32>,
}

impl Runner {
    pub(super) fn new(now: u64, incarnation: Incarnation, serial: u64, capacity: Need) -> Self {
        Self {
            incarnation,
            labels: Vec::new(),
            capacity,
            guarded: true,
            boot: now,
            rate: 1_000,
            longest: 6_000,
            serial,
            habit: Habit::Sound,
            draining: false,
            sequence: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            waits: Vec::new(),
            numbered: 0,
            token: 0,
            until: 0,
            floors: BTreeMap::new(),
        }
    }

    pub(super) fn clock(&self, now: u64) -> u64 {
        (now - self.boot) / 1_000 * self.rate / 1_000 + 1_000
    }

    /// Room that nothing running takes.
    pub(super) fn free(&self) -> Need {
        let mut free = self.capacity;
        for run in self.runs.values() {
            free.remove(&run.step().counted());
        }
        free
    }

    /// Whether what runs fits.
    pub(super) fn fits(&self) -> bool {
        let mut used = Need::default();
        for run in self.runs.values() {
            used.add(&run.step().counted());
        }
        self.capacity.holds(&used)
    }

    /// Tasks of a step that run here.
    pub(super) fn beside(&self, task: TaskKey) -> u32 {
        let same =
            |key: &TaskKey| (key.job, key.round, key.step) == (task.job, task.round, task.step);
        self.runs.keys().filter(|key| same(&key.task)).count() as u32
    }

    fn fence(&mut self, token: u64) -> Result<(), Denial> {
        if token < self.token {
            return Err(Denial::Fenced);
        }
        self.token = token;
        Ok(())
    }

    fn extend(&mut self, now: u64, until: u64) {
        self.until = self.until.max(until.min(self.clock(now) + self.longest));
    }

    /// Starts a run; gives whether it was not there yet.
    pub(super) fn start(
        &mut self,
        now: u64,
        token: u64,
        start: &Start,
        until: u64,
        plan: Plan,
    ) -> Result<bool, Denial> {
        let key = start.key;
        if self.habit == Habit::Sick {
            return Err(Denial::Unhealthy);
        }
        self.fence(token)?;
        if self.runs.contains_key(&key) {
            self.extend(now, until);
            return Ok(false);
        }
        if self.floors.get(&key.task).is_some_and(|floor| key.run <= *floor) {
            self.extend(now, until);
            return Err(Denial::Old);
        }
        if until <= self.clock(now) {
            return Err(Denial::Late);
        }
        self.extend(now, until);
        let step = usize::from(key.task.step);
        if self.guarded && !self.free().holds(&plan.job.steps[step].counted()) {
            return Err(Denial::Room);
        }
        let done = start.saved.as_ref().map_or(0, |saved| progress(key.task, saved));
        let fails = if self.habit == Habit::Failing { Some(done + 50_000) } else { plan.fails };
        let Plan { job, work, .. } = plan;
        let saved = start.saved.clone();
        let run = Run { job, step, work, done, fails, pace: 100, stopping: None, saved };
        self.runs.insert(key, run);
        Ok(true)
    }

    /// Stops a run within `within` microseconds, or keeps it from being started.
    pub(super) fn stop(
        &mut self,
        now: u64,
        token: u64,
        key: RunKey,
        within: u64,
    ) -> Result<(), Denial> {
        self.fence(token)?;
        match self.runs.get_mut(&key) {
            Some(run) => run.stopping = run.stopping.or(Some(now + within)),
            None => self.bury(key),
        }
        Ok(())
    }

    fn bury(&mut self, key: RunKey) {
        let floor = self.floors.entry(key.task).or_default();
        *floor = key.run.max(*floor);
    }

    pub(super) fn pace(&mut self, token: u64, key: RunKey, percent: u8) -> Result<(), Denial> {
        self.fence(token)?;
        if let Some(run) = self.runs.get_mut(&key) {
            run.pace = percent;
        }
        Ok(())
    }

    /// Takes the acknowledgement and the lease of a request for the lists.
    pub(super) fn hold(
        &mut self,
        now: u64,
        token: u64,
        recorded: u64,
        until: Option<u64>,
    ) -> Result<(), Denial> {
        self.fence(token)?;
        self.ended.retain(|(_, ended)| ended.number > recorded);
        if let Some(until) = until {
            self.extend(now, until);
        }
        Ok(())
    }

    pub(super) fn listing(&self, now: u64) -> Listing {
        let row = |(key, run): (&RunKey, &Run)| {
            let step = run.step();
            let percent = match step.lasting {
                true => 100 * u8::from(run.done >= STARTUP),
                false => (run.done * 100 / run.work.max(1)).min(100) as u8,
            };
            let figure = if step.target > 0 { self.latency() } else { self.used(run) as u32 };
            RunStatus { key: *key, saved: run.saved.clone(), percent, figure, share: 100 }
        };
        Listing {
            clock: self.clock(now),
            born: self.incarnation.born,
            rows: self.runs.iter().map(row).collect(),
            ended: self.ended.iter().map(|(_, ended)| ended.clone()).collect(),
            unread: false,
        }
    }

    fn stands_still(&self) -> bool {
        matches!(self.habit, Habit::Hanging | Habit::Mute)
    }

    /// Millicores that a run uses.
    fn used(&self, run: &Run) -> u64 {
        let need = run.step().need.millicores;
        if self.stands_still() {
            return 0;
        }
        if !run.step().fills {
            return need;
        }
        let filling = self.runs.values().filter(|run| run.step().fills);
        let wanted: u64 = filling.map(|run| run.step().need.millicores).sum();
        let share = need * self.unused() / wanted.max(1);
        need.min(share) * u64::from(run.pace) / 100
    }

    /// Millicores that are left to tasks that fill: lasting tasks use half of theirs.
    fn unused(&self) -> u64 {
        let lasting = self.runs.values().filter(|run| run.step().lasting);
        let reserved: u64 = lasting.map(|run| run.step().need.millicores).sum();
        self.free().millicores + reserved / 2
    }

    fn latency(&self) -> u32 {
        let filling = self.runs.values().filter(|run| run.step().fills);
        let cores = self.capacity.millicores as f64;
        let pressure = |run: &Run| match run.step().image.as_deref() {
            Some("heavy") => 1.2,
            _ => 0.1,
        };
        let load: f64 = filling.map(|run| pressure(run) * self.used(run) as f64 / cores).sum();
        (BASE_LATENCY / (1.0 - (0.3 + load).min(0.95))) as u32
    }

    /// Lets time pass; gives the runs that ended, how, and the work that each did.
    pub(super) fn advance(&mut self, now: u64, passed: u64) -> Vec<(RunKey, End)> {
        let lapsed = self.clock(now) >= self.until;
        let still = self.stands_still();
        let speeds: BTreeMap<RunKey, u64> = self
            .runs
            .iter()
            .map(|(key, run)| {
                let need = run.step().need.millicores.max(1);
                (*key, if still { 0 } else { self.used(run) * 1_000 / need })
            })
            .collect();
        let mut over = Vec::new();
        for (key, run) in &mut self.runs {
            run.done += passed * speeds[key] / 1_000;
            if run.step().checkpoints {
                let done = run.done / CHECKPOINT_EVERY * CHECKPOINT_EVERY;
                if done > run.saved.as_ref().map_or(0, |saved| progress(key.task, saved)) {
                    run.saved = Some(checkpoint(key.task, done));
                }
            }
            let end = if lapsed {
                End::Lapsed
            } else if run.stopping.is_some_and(|at| at <= now) {
                if run.step().checkpoints {
                    run.saved = Some(checkpoint(key.task, run.done));
                }
                End::Stopped
            } else if run.fails.is_some_and(|fails| run.done >= fails) && !still {
                End::Failed
            } else if run.done >= run.work && !run.step().lasting {
                End::Done
            } else {
                continue;
            };
            over.push((*key, end));
        }
        for (key, end) in &over {
            let saved = self.runs.remove(key).and_then(|run| run.saved);
            self.bury(*key);
            self.numbered += 1;
            let ended = EndedRun { number: self.numbered, key: *key, end: *end, saved };
            self.ended.push((now, ended));
        }
        over
    }
}

fn checkpoint(task: TaskKey, done: u64) -> Checkpoint {
    format!("{task}@{done}").into()
}

/// Work that a checkpoint saves; one of another task is never valid.
fn progress(task: TaskKey, saved: &Checkpoint) -> u64 {
    let done = saved.strip_prefix(&format!("{task}@")).and_then(|done| done.parse().ok());
    crate::core::invariant!(done.is_some(), "{task} resumes from {saved:?}");
    done.unwrap_or_default()
}
