//! Simulated runner that follows the runner protocol: starts, stops and lists runs, keeps their
//! ends until they are acknowledged, and models their progress.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::gangs::first_member;
use crate::dispatch::{Denial, EndedRun, RunStatus, Start};
use crate::hosting::Listing;
use crate::jobs::{Checkpoint, End, Incarnation, Job, Need, RunKey, Step, TaskKey};

/// Work until a lasting task is ready to serve, in microseconds.
const STARTUP: u64 = 300_000;
/// Work between two checkpoints, in microseconds.
const CHECKPOINT_EVERY: u64 = 500_000;
/// Scale of the tail latency of a serving task, in ms; the latency rises with the load.
const BASE_LATENCY: f64 = 40.0;

/// Behaviour of a runner: healthy (`Sound`) or with a fault.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Habit {
    /// Its link to the agent is down; its runs go on.
    CutOff,
    /// All runs fail.
    Failing,
    /// Its runs make no progress.
    Hanging,
    /// It leaves most orders unanswered and executes them late or twice.
    Late,
    /// Its runs make no progress, and it sends no heartbeats and answers no requests.
    Mute,
    /// It refuses to start runs.
    Sick,
    #[default]
    Sound,
}

/// A run in progress.
#[derive(Debug)]
pub(super) struct Run {
    job: Arc<Job>,
    step: usize,
    /// Total work and completed work, in microseconds.
    work: u64,
    done: u64,
    /// Completed work at which it fails, in microseconds.
    fails: Option<u64>,
    /// Percentage of its share of the unused cores that a filler task uses.
    pace: u8,
    /// Time at which a requested stop takes effect.
    stopping: Option<u64>,
    saved: Option<Checkpoint>,
    /// Checkpoint with which it started, and when.
    pub(super) from: Option<Checkpoint>,
    pub(super) began: u64,
    /// Whether its gang, if it belongs to one, was present as a whole.
    pub(super) together: bool,
    /// How it ends through the other members of its gang.
    pub(super) gang_end: Option<End>,
}

impl Run {
    pub(super) fn step(&self) -> &Step {
        &self.job.steps[self.step]
    }
}

/// Course of a run, drawn at its start; units as in `Run`.
pub(super) struct Plan {
    pub(super) job: Arc<Job>,
    pub(super) work: u64,
    pub(super) fails: Option<u64>,
}

/// An incarnation of a runner.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) incarnation: Incarnation,
    pub(super) labels: Vec<Arc<str>>,
    pub(super) capacity: Need,
    /// Whether it refuses tasks that exceed its free resources.
    pub(super) guarded: bool,
    /// Start time, and rate of its clock in local time per 1,000 units of simulated time.
    pub(super) boot: u64,
    pub(super) rate: u64,
    /// Maximum lease in ms; longer leases are shortened.
    pub(super) longest: u64,
    /// Maximum number of ends in a listing.
    pub(super) page: usize,
    /// Unique number; distinguishes incarnations with the same name and start time.
    pub(super) serial: u64,
    pub(super) habit: Habit,
    pub(super) draining: bool,
    /// Sequence number of the last heartbeat.
    pub(super) sequence: u64,
    pub(super) runs: BTreeMap<RunKey, Run>,
    /// Ended runs that were not acknowledged, each with its end time.
    pub(super) ended: Vec<(u64, EndedRun)>,
    /// Calls of list requests that are held until a run ends, each with its latest answer time.
    pub(super) waits: Vec<(u64, u64)>,
    /// Number of the last ended run.
    numbered: u64,
    /// Largest fencing token received.
    token: u64,
    /// End of the lease, in ms of its own clock.
    until: u64,
    /// Last time at which it held no lease.
    lapsed: u64,
    /// Highest run number of each task that was stopped or has ended; runs up to it can't start.
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
            page: usize::MAX,
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
            lapsed: now,
            floors: BTreeMap::new(),
        }
    }

    /// Time of its own clock, in ms.
    pub(super) fn clock(&self, now: u64) -> u64 {
        (now - self.boot) / 1_000 * self.rate / 1_000 + 1_000
    }

    /// Resources that the runs leave free.
    pub(super) fn free(&self) -> Need {
        let mut free = self.capacity;
        for run in self.runs.values() {
            free.remove(&run.step().counted());
        }
        free
    }

    /// Whether the runs fit the capacity.
    pub(super) fn fits(&self) -> bool {
        let mut used = Need::default();
        for run in self.runs.values() {
            used.add(&run.step().counted());
        }
        self.capacity.holds(&used)
    }

    /// Number of running tasks of the step of a task.
    pub(super) fn same_step_count(&self, task: TaskKey) -> u32 {
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

    fn extend_lease(&mut self, now: u64, until: u64) {
        self.until = self.until.max(until.min(self.clock(now) + self.longest));
    }

    /// Starts a run; returns false if it already runs.
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
            self.extend_lease(now, until);
            return Ok(false);
        }
        if self.floors.get(&key.task).is_some_and(|floor| key.run <= *floor) {
            self.extend_lease(now, until);
            return Err(Denial::Old);
        }
        if until <= self.clock(now) {
            return Err(Denial::Late);
        }
        self.extend_lease(now, until);
        let step = usize::from(key.task.step);
        if self.guarded && !self.free().holds(&plan.job.steps[step].counted()) {
            return Err(Denial::Room);
        }
        let owner = checkpoint_owner(key, &plan.job.steps[step]);
        let done = start.saved.as_ref().map_or(0, |saved| progress(owner, saved));
        let fails = if self.habit == Habit::Failing { Some(done + 50_000) } else { plan.fails };
        let Plan { job, work, .. } = plan;
        let (saved, from) = (start.saved.clone(), start.saved.clone());
        let (began, together) = (now, !job.steps[step].gang);
        let run = Run {
            job,
            step,
            work,
            done,
            fails,
            pace: 100,
            stopping: None,
            saved,
            from,
            began,
            together,
            gang_end: None,
        };
        self.runs.insert(key, run);
        Ok(true)
    }

    /// Stops a run in `within` microseconds, or prevents its start if it doesn't run.
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
            None => self.raise_floor(key),
        }
        Ok(())
    }

    fn raise_floor(&mut self, key: RunKey) {
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

    /// Applies a list request: drops the acknowledged ends and extends the lease. Returns the ends
    /// since which the lease has not lapsed, with their times.
    pub(super) fn acknowledge(
        &mut self,
        now: u64,
        token: u64,
        recorded: u64,
        until: Option<u64>,
    ) -> Result<Vec<(u64, EndedRun)>, Denial> {
        self.fence(token)?;
        let acknowledged = self.ended.extract_if(.., |(_, ended)| ended.number <= recorded);
        let lapsed = self.lapsed;
        let acknowledged = acknowledged.filter(|(at, _)| *at > lapsed).collect();
        if let Some(until) = until {
            self.extend_lease(now, until);
        }
        Ok(acknowledged)
    }

    pub(super) fn listing(&self, now: u64) -> Listing {
        let row = |(key, run): (&RunKey, &Run)| {
            let step = run.step();
            let percent = match step.lasting {
                true => 100 * u8::from(run.done >= STARTUP),
                false => (run.done * 100 / run.work.max(1)).min(100) as u8,
            };
            let figure = if step.target > 0 { self.latency() } else { self.usage(run) as u32 };
            RunStatus { key: *key, saved: run.saved.clone(), percent, figure, share: 100 }
        };
        Listing {
            clock: self.clock(now),
            born: self.incarnation.born,
            rows: self.runs.iter().map(row).collect(),
            ended: self.ended.iter().take(self.page).map(|(_, ended)| ended.clone()).collect(),
            unread: false,
            complete: self.ended.len() < self.page,
        }
    }

    fn is_hung(&self) -> bool {
        matches!(self.habit, Habit::Hanging | Habit::Mute)
    }

    /// CPU use of a run, in millicores.
    fn usage(&self, run: &Run) -> u64 {
        let need = run.step().need.millicores;
        if self.is_hung() {
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

    /// Millicores available to filler tasks: the free ones and half of those that lasting tasks
    /// reserve, which use only the other half.
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
        let load: f64 = filling.map(|run| pressure(run) * self.usage(run) as f64 / cores).sum();
        (BASE_LATENCY / (1.0 - (0.3 + load).min(0.95))) as u32
    }

    /// Advances all runs by `passed` microseconds and returns those that ended, with the reason.
    pub(super) fn advance(&mut self, now: u64, passed: u64) -> Vec<(RunKey, End)> {
        let lapsed = self.clock(now) >= self.until;
        if lapsed {
            self.lapsed = now;
        }
        let hung = self.is_hung();
        let speeds: BTreeMap<RunKey, u64> = self
            .runs
            .iter()
            .map(|(key, run)| {
                let need = run.step().need.millicores.max(1);
                (*key, if hung || !run.together { 0 } else { self.usage(run) * 1_000 / need })
            })
            .collect();
        let mut over = Vec::new();
        for (key, run) in &mut self.runs {
            let owner = checkpoint_owner(*key, run.step());
            run.done += passed * speeds[key] / 1_000;
            if run.step().checkpoints {
                let done = run.done / CHECKPOINT_EVERY * CHECKPOINT_EVERY;
                if done > run.saved.as_ref().map_or(0, |saved| progress(owner, saved)) {
                    run.saved = Some(checkpoint(owner, done));
                }
            }
            let end = if lapsed {
                End::Lapsed
            } else if run.stopping.is_some_and(|at| at <= now) {
                if run.step().checkpoints {
                    run.saved = Some(checkpoint(owner, run.done));
                }
                End::Stopped
            } else if let Some(end) = run.gang_end {
                end
            } else if !run.together {
                // A member of a gang that waits for the others doesn't work, whatever it resumed from.
                continue;
            } else if run.fails.is_some_and(|fails| run.done >= fails) && !hung {
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
            self.raise_floor(*key);
            self.numbered += 1;
            let ended = EndedRun { number: self.numbered, key: *key, end: *end, saved };
            self.ended.push((now, ended));
        }
        over
    }
}

/// The task that may resume from the checkpoints of a run: any member's is valid for its gang.
fn checkpoint_owner(key: RunKey, step: &Step) -> TaskKey {
    if step.gang { first_member(key).task } else { key.task }
}

fn checkpoint(task: TaskKey, done: u64) -> Checkpoint {
    format!("{task}@{done}").into()
}

/// Progress saved in a checkpoint, in microseconds; a checkpoint of another task violates an
/// invariant.
fn progress(task: TaskKey, saved: &Checkpoint) -> u64 {
    let done = saved.strip_prefix(&format!("{task}@")).and_then(|done| done.parse().ok());
    crate::core::invariant!(done.is_some(), "{task} resumes from the foreign checkpoint {saved:?}");
    done.unwrap_or_default()
}
