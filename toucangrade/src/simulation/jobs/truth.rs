//! What really runs, and the promises that it is compared with.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::world::{SERVICE, World};
use crate::core::invariant;
use crate::jobs::{Command, End, Job, JobEntry, Need, Phase, RunKey, Step, TaskKey};

/// Time after the end of its last run in which a lasting task need not run, in microseconds.
const PAUSE: u64 = 6_000_000;
/// Time without faults in which what is possible has to happen, in microseconds.
const PROMPT: u64 = 3_000_000;
/// Lines of the trace that are kept.
const TRACE: usize = 1_500;

/// Record of what happened.
#[derive(Default)]
pub(super) struct Truth {
    /// Whether runners refuse what does not fit.
    pub(super) guarded: bool,
    /// Longest lease of runners in ms.
    pub(super) longest: u64,
    /// All jobs that callers submitted.
    pub(super) jobs: BTreeMap<u64, Arc<Job>>,
    /// Runs that ever started.
    pub(super) started: BTreeSet<RunKey>,
    /// When the last run of each task ended.
    ends: BTreeMap<TaskKey, u64>,
    /// Runs of each task that failed.
    failures: BTreeMap<TaskKey, u32>,
    cancelled: BTreeMap<u64, u64>,
    /// Since when each lasting task could run and does not.
    idle: BTreeMap<TaskKey, u64>,
    trace: Option<VecDeque<String>>,
}

impl Truth {
    pub(super) fn record(&mut self) {
        self.trace = Some(VecDeque::new());
    }

    /// Adds a line to the trace; the text is only made when a trace is kept.
    pub(super) fn note(&mut self, now: u64, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            if trace.len() == TRACE {
                trace.pop_front();
            }
            trace.push_back(format!("{:>10.3} ms  {}", now as f64 / 1_000.0, text()));
        }
    }

    pub(super) fn lines(&self) -> impl Iterator<Item = &String> {
        self.trace.iter().flatten()
    }

    /// Notes that a run ended, or that its runner did.
    pub(super) fn ended(&mut self, now: u64, key: RunKey, failed: bool) {
        self.ends.insert(key.task, now);
        *self.failures.entry(key.task).or_default() += u32::from(failed);
    }
}

impl World {
    /// Notes that a runner has started a run.
    pub(super) fn started(&mut self, agent: usize, key: RunKey) {
        let again = !self.truth.started.insert(key);
        invariant!(!again, "{key} starts for a second time, at {agent}");
        for (other, machine) in self.machines.iter().enumerate() {
            let runs = machine.runner.iter().flat_map(|runner| runner.runs.keys());
            let beside = runs.into_iter().find(|run| run.task == key.task && **run != key);
            invariant!(
                beside.is_none(),
                "{key} starts at {agent} while {beside:?} runs at {other}"
            );
        }
        let Some(runner) = &self.machines[agent].runner else { return };
        let Some(job) = self.truth.jobs.get(&key.task.job) else { return };
        let index = usize::from(key.task.step);
        let step = &job.steps[index];
        let entry = self.log.job_table.jobs.get(&key.task.job);
        let round = entry.and_then(|entry| entry.rounds.get(&key.task.round));
        let done = entry.and_then(|entry| entry.task(key.task)).is_none_or(|task| task.done);
        let over = entry.is_none_or(|entry| entry.phase == Phase::Completed);
        invariant!(!done && !over, "{key} starts at {agent} after its task was done");
        let ready = round
            .is_some_and(|round| step.after.iter().all(|at| round.open[usize::from(*at)] == 0));
        invariant!(ready, "{key} starts at {agent} before its turn");
        invariant!(runner.fits(), "{key} exceeds the room of {agent}: {runner:?}");
        let labelled = step.label.as_ref().is_none_or(|label| runner.labels.contains(label));
        invariant!(labelled, "{key} starts at {agent} without the label {:?}", step.label);
        let beside = runner.beside(key.task);
        let spread = step.spread == 0 || beside <= step.spread;
        invariant!(spread, "{beside} tasks of the step of {key} run at {agent}");
    }

    /// Applies a command to the agreed state.
    pub(super) fn agree(&mut self, command: &Command) {
        let applied = self.log.job_table.apply(command);
        self.truth.note(self.now, || format!("agreed {applied:?}: {}", brief(command)));
        let (job, failed) = match command {
            Command::Cancel { job } => (*job, false),
            Command::Close { key, end, .. } => (key.task.job, *end == End::Failed),
            _ => return,
        };
        let Some(entry) = self.log.job_table.jobs.get(&job) else { return };
        if entry.phase == Phase::Cancelled {
            self.truth.cancelled.entry(job).or_insert(self.now);
        }
        if failed && entry.phase == Phase::Failed {
            let queue = self.log.job_table.setup.queue(&entry.job.queue);
            let allowed = queue.map_or(1, |queue| queue.attempts);
            let failures = self.truth.failures.iter().filter(|(task, _)| task.job == job);
            let most = failures.map(|(_, failures)| *failures).max().unwrap_or_default();
            invariant!(
                most >= allowed,
                "job {job:x} has failed after {most} of {allowed} attempts"
            );
        }
    }

    /// Checks what has to happen within some time without faults.
    pub(super) fn check(&mut self) {
        let Some(calm) = self.calm() else { return self.truth.idle.clear() };
        if calm + PROMPT <= self.now {
            self.check_ends();
            self.check_cancelled();
        }
        let mut idle = BTreeMap::new();
        let lasting = |entry: &&JobEntry| entry.phase == Phase::Active && entry.job.lasting();
        let lasting = self.log.job_table.jobs.values().filter(lasting);
        let waiting: Vec<_> = lasting.flat_map(|entry| self.waiting_tasks(entry)).collect();
        for (task, step) in waiting {
            let ended = *self.truth.ends.entry(task).or_insert(self.now);
            let places = self.places(task, &step);
            if self.now < ended + PAUSE || places.len() < 2 {
                continue;
            }
            let since = self.truth.idle.get(&task).copied().unwrap_or(self.now);
            idle.insert(task, since);
            if since + PROMPT < self.now {
                let picture = self.picture();
                self.truth.note(self.now, || format!("the leader's picture: {picture}"));
                invariant!(false, "{task} has not run since {ended} us; room at {places:?}");
            }
        }
        self.truth.idle = idle;
    }

    fn check_ends(&self) {
        for (agent, machine) in self.machines.iter().enumerate() {
            for (at, ended) in machine.runner.iter().flat_map(|runner| &runner.ended) {
                let late = at + PROMPT < self.now;
                invariant!(!late, "{ended:?} at {agent} is not noted since {at} us");
            }
        }
    }

    fn check_cancelled(&self) {
        for (agent, machine) in self.machines.iter().enumerate() {
            for key in machine.runner.iter().flat_map(|runner| runner.runs.keys()) {
                let cancelled = self.truth.cancelled.get(&key.task.job);
                let late = cancelled.is_some_and(|at| at + PROMPT < self.now);
                invariant!(!late, "{key} still runs at {agent}, cancelled at {cancelled:?} us");
            }
        }
    }

    /// Tasks of an active job whose turn has come and that don't run.
    fn waiting_tasks(&self, entry: &JobEntry) -> Vec<(TaskKey, Step)> {
        let runs = self.machines.iter().flat_map(|machine| &machine.runner);
        let running: BTreeSet<TaskKey> =
            runs.flat_map(|runner| runner.runs.keys()).map(|key| key.task).collect();
        let mut waiting = Vec::new();
        for (round, state) in &entry.rounds {
            let steps = entry.job.steps.iter().zip(&state.steps).enumerate();
            for (at, (step, tasks)) in steps.filter(|(at, _)| state.ready(&entry.job, *at)) {
                for (index, _) in tasks.iter().enumerate().filter(|(_, task)| !task.done) {
                    let (job, round, index) = (entry.job.id, *round, index as u16);
                    let task = TaskKey { job, round, step: at as u16, index };
                    if !running.contains(&task) {
                        waiting.push((task, step.clone()));
                    }
                }
            }
        }
        waiting
    }

    /// Machines with room for a task, each as often as it has, twice at most.
    pub(super) fn places(&self, task: TaskKey, step: &Step) -> Vec<usize> {
        let mut places = Vec::new();
        for (agent, machine) in self.machines.iter().enumerate() {
            let Some(runner) = machine.runner.as_ref().filter(|runner| !runner.draining) else {
                continue;
            };
            if step.label.as_ref().is_some_and(|label| !runner.labels.contains(label)) {
                continue;
            }
            let beside = runner.beside(task);
            let mut free = runner.free();
            let mut places_here = 0;
            while places_here < 2
                && free.holds(&step.counted())
                && (step.spread == 0 || beside + places_here < step.spread)
            {
                free.remove(&step.counted());
                places.push(agent);
                places_here += 1;
            }
        }
        places
    }

    fn unfinished_jobs(&self) -> impl Iterator<Item = &JobEntry> {
        let open = |entry: &&JobEntry| entry.phase == Phase::Active && !entry.job.lasting();
        self.log.job_table.jobs.values().filter(open)
    }

    /// Jobs that end by themselves and have not yet.
    pub(super) fn open(&self) -> usize {
        self.unfinished_jobs().count()
    }

    /// One of these that has something running or room to run, if there is one.
    pub(super) fn unfinished(&self) -> Option<String> {
        let entry = self.unfinished_jobs().find(|entry| self.goes_on(entry))?;
        Some(format!("job {:x} is not over: {:?}", entry.job.id, entry.rounds))
    }

    fn goes_on(&self, entry: &JobEntry) -> bool {
        let id = entry.job.id;
        let runners = || self.machines.iter().flat_map(|machine| &machine.runner);
        runners().any(|runner| runner.runs.keys().any(|key| key.task.job == id))
            || self
                .waiting_tasks(entry)
                .iter()
                .any(|(task, step)| self.places(*task, step).len() > 1)
    }

    /// Room of all runners, in millicores.
    pub(super) fn capacity(&self) -> u64 {
        let runners = self.machines.iter().flat_map(|machine| &machine.runner);
        runners
            .map(|runner| runner.capacity)
            .fold(0, |sum, Need { millicores, .. }| sum + millicores)
    }
}

fn brief(command: &Command) -> String {
    match command {
        Command::Accept { job, .. } => format!("accept {:x} {:?}", job.id, job.steps),
        Command::Configure(setup) => format!("configure {} of {SERVICE}", setup.version),
        Command::Assign { key, incarnation } => {
            format!("assign {key} to {} {}", incarnation.runner, incarnation.born)
        },
        Command::Close { key, end, .. } => format!("close {key} {end:?}"),
        other => format!("{other:?}"),
    }
}
