//! Ground truth of a run: what really runs at the runners, and the safety and liveness checks that
//! compare it with the log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::QUEUES;
use super::Scope;
use super::evacuations::Evacuations;
use super::gangs::Gangs;
use super::runner::Runner;
use super::world::{SERVICE, World};
use crate::core::invariant;
use crate::dispatch::EndedRun;
use crate::jobs::{Command, End, Job, JobEntry, Need, Phase, RunKey, Step, TaskKey};

/// Time after the end of its last run in which a lasting task may be down, in microseconds.
const RESTART_GRACE: u64 = 6_000_000;
/// Time without faults within which the system must act on a change, in microseconds.
pub(super) const REACTION_TIME: u64 = 3_000_000;
/// Time within which a call without an answer may be carried out, in microseconds.
const LATE_CALL: u64 = 12_000_000;
/// Time from which on a job that waits must be counted as waiting, in microseconds.
const WAITING_TIME: u64 = 5_000_000;
/// Maximum number of lines in the trace; older ones are dropped.
const TRACE_LINES: usize = 1_500;

/// Record of all jobs and runs.
#[derive(Default)]
pub(super) struct Truth {
    /// Whether runners refuse tasks that exceed their free resources.
    pub(super) guarded: bool,
    pub(super) scope: Scope,
    pub(super) gangs: Gangs,
    pub(super) evacuations: Evacuations,
    /// Maximum lease of runners, in ms.
    pub(super) longest: u64,
    /// Maximum number of ends in a listing.
    pub(super) page: usize,
    /// All jobs that callers submitted.
    pub(super) jobs: BTreeMap<u64, Arc<Job>>,
    /// Runs that ever started, with the machine, the serial number of the runner, and the time.
    pub(super) started: BTreeMap<RunKey, (usize, u64, u64)>,
    /// Time at which a runner first started a task of each job.
    begun: BTreeMap<u64, u64>,
    /// Tasks with an end as done that was acknowledged to the runner.
    acknowledged: BTreeSet<TaskKey>,
    /// Time at which the last start without an answer was given up.
    unanswered: BTreeMap<RunKey, u64>,
    /// Time at which the last run of each task ended.
    ends: BTreeMap<TaskKey, u64>,
    /// Number of failed runs, by task.
    failures: BTreeMap<TaskKey, u32>,
    /// Time at which each job was cancelled.
    cancelled: BTreeMap<u64, u64>,
    /// Time since which each lasting task could run but doesn't.
    idle: BTreeMap<TaskKey, u64>,
    trace: Option<VecDeque<String>>,
}

impl Truth {
    pub(super) fn enable_trace(&mut self) {
        self.trace = Some(VecDeque::new());
    }

    /// Adds a line to the trace; `text` is only called if the trace is enabled.
    pub(super) fn note(&mut self, now: u64, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            if trace.len() == TRACE_LINES {
                trace.pop_front();
            }
            trace.push_back(format!("{:>10.3} ms  {}", now as f64 / 1_000.0, text()));
        }
    }

    pub(super) fn lines(&self) -> impl Iterator<Item = &String> {
        self.trace.iter().flatten()
    }

    /// Records ends that a runner forgets, as they were acknowledged to it, with their times.
    ///
    /// No later run may have started, nor any run after the end: the next incarnation of another
    /// runner may have started an earlier one again.
    pub(super) fn record_acknowledged(&mut self, ends: &[(u64, EndedRun)]) {
        for (at, ended) in ends.iter().filter(|(_, ended)| ended.end == End::Done) {
            let job = self.jobs.get(&ended.key.task.job);
            let step = job.and_then(|job| job.steps.get(usize::from(ended.key.task.step)));
            if step.is_some_and(|step| !step.lasting) {
                let [first, last] = [0, u32::MAX].map(|run| RunKey { run, ..ended.key });
                let runs = self.started.range(first..=last);
                let later = |key: &RunKey, began: u64| key.run > ended.key.run || began > *at;
                let again = runs.filter(|(key, (.., began))| later(key, *began));
                let again: Vec<_> = again.map(|(key, _)| key).collect();
                invariant!(
                    again.is_empty(),
                    "{} has ended as done, which is acknowledged after {again:?} has started",
                    ended.key
                );
                self.acknowledged.insert(ended.key.task);
            }
        }
    }

    /// Records that an agent has got no answer to a start.
    pub(super) fn record_unanswered(&mut self, now: u64, key: RunKey) {
        self.unanswered.insert(key, now);
    }

    /// Records the end of a run, by itself or with its runner.
    pub(super) fn record_end(&mut self, now: u64, key: RunKey, failed: bool) {
        self.ends.insert(key.task, now);
        *self.failures.entry(key.task).or_default() += u32::from(failed);
    }
}

impl World {
    /// Records the start of a run and checks that the log and the runner's resources allow it.
    ///
    /// A call to another incarnation (`stray`) may be carried out after the log has the task as done.
    /// Then the end must never be acknowledged, which this and [`Truth::record_acknowledged`] check.
    pub(super) fn record_start(&mut self, agent: usize, key: RunKey, stray: bool) {
        let Some(serial) = self.machines[agent].runner.as_ref().map(|runner| runner.serial) else {
            return;
        };
        self.truth.begun.entry(key.task.job).or_insert(self.now);
        // A late copy of a start may reach the next incarnation of a runner under the same name.
        let again = self.truth.started.insert(key, (agent, serial, self.now));
        invariant!(
            again.is_none_or(|(earlier, last, _)| {
                self.truth.scope.restarts && earlier == agent && last < serial
            }),
            "{key} starts for a second time, at {agent}"
        );
        self.check_evacuated_start(agent, key);
        let acknowledged = self.truth.acknowledged.contains(&key.task);
        invariant!(!acknowledged, "{key} starts at {agent} after an acknowledged end as done");
        for (other, machine) in self.machines.iter().enumerate() {
            let runs = machine.runner.iter().flat_map(|runner| runner.runs.keys());
            let mut others = runs.filter(|run| other != agent || **run != key);
            let duplicate = others.find(|run| run.task == key.task);
            invariant!(
                duplicate.is_none(),
                "{key} starts at {agent} while {duplicate:?} runs at {other}"
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
        let late = stray && (done || over);
        invariant!(late || (!done && !over), "{key} starts at {agent} after its task was done");
        let ready = round
            .is_some_and(|round| step.after.iter().all(|at| round.open[usize::from(*at)] == 0));
        invariant!(
            late || ready,
            "{key} starts at {agent} before the steps that it depends on have ended"
        );
        invariant!(runner.fits(), "{key} exceeds the capacity of {agent}: {runner:?}");
        let labelled = step.label.as_ref().is_none_or(|label| runner.labels.contains(label));
        invariant!(labelled, "{key} starts at {agent} without the label {:?}", step.label);
        let siblings = runner.same_step_count(key.task);
        let spread = step.spread == 0 || siblings <= step.spread;
        invariant!(spread, "{siblings} tasks of the step of {key} run at {agent}");
    }

    /// Applies a committed command to the job table.
    pub(super) fn apply_command(&mut self, command: &Command) {
        let applied = self.log.job_table.apply(command);
        self.truth.note(self.now, || format!("committed {applied:?}: {}", describe(command)));
        self.check_begun(command);
        let (job, failed) = match command {
            Command::Cancel { job, .. } => (*job, false),
            Command::Close { key, end, .. } => (key.task.job, *end == End::Failed),
            Command::Evacuate(order) => return self.record_evacuation(order),
            _ => return,
        };
        let Some(entry) = self.log.job_table.jobs.get(&job) else { return };
        if entry.phase == Phase::Cancelled {
            self.truth.cancelled.entry(job).or_insert(self.now);
        }
        if failed && entry.phase == Phase::Failed {
            let queue = self.log.job_table.queue(&entry.job.queue);
            let Some(allowed) = queue.map(|queue| queue.attempts) else {
                invariant!(false, "job {job:x} has failed while its queue was not configured");
                return;
            };
            let failures = self.truth.failures.iter().filter(|(task, _)| task.job == job);
            let most = failures.map(|(_, failures)| *failures).max().unwrap_or_default();
            invariant!(
                most >= allowed,
                "job {job:x} has failed after {most} of {allowed} attempts"
            );
        }
    }

    /// Checks that a job is recorded as begun only after a runner has started a task of it.
    fn check_begun(&self, command: &Command) {
        let job = match command {
            Command::Assign { key, .. } | Command::Close { key, .. } => key.task.job,
            Command::Begin { job } => *job,
            _ => return,
        };
        let entry = self.log.job_table.jobs.get(&job);
        let recorded = entry.is_some_and(|entry| entry.begun);
        let started = self.truth.begun.contains_key(&job);
        invariant!(
            started || !recorded,
            "job {job:x} is recorded as begun, but no task has started"
        );
    }

    /// Checks that a leader counts all jobs that have waited for `WAITING_TIME`, whatever faults are
    /// active.
    pub(super) fn check_waiting(&mut self) {
        for queue in QUEUES.map(|(name, _)| name) {
            let waiting = |entry: &&JobEntry| {
                entry.phase == Phase::Active
                    && *entry.job.queue == *queue
                    && (entry.wall + WAITING_TIME / 1_000) < self.wall()
                    && !self.truth.begun.contains_key(&entry.job.id)
            };
            let waiting = self.log.job_table.jobs.values().filter(waiting).count() as u64;
            let Some(counted) = self.waiting_jobs(queue) else { return };
            invariant!(
                counted >= waiting,
                "{counted} jobs of {queue} are said to wait, but {waiting} do"
            );
        }
    }

    /// Checks that jobs with a task that runs are recorded as begun.
    fn check_recorded(&self) {
        for key in self.machines.iter().flat_map(|m| &m.runner).flat_map(|r| r.runs.keys()) {
            let entry = self.log.job_table.jobs.get(&key.task.job);
            let open = entry.is_some_and(|entry| entry.phase == Phase::Active && !entry.begun);
            let began = self.truth.started.get(key).map(|(.., began)| *began);
            let late = began.is_some_and(|at| at + REACTION_TIME < self.now);
            invariant!(!open || !late, "{key} runs since {began:?} us, its job is not recorded");
        }
    }

    /// Checks that the system acts within `REACTION_TIME` when there are no faults.
    pub(super) fn check_liveness(&mut self) {
        self.watch_evacuations();
        let Some(calm) = self.calm_since() else { return self.truth.idle.clear() };
        if calm + REACTION_TIME <= self.now {
            self.check_ends();
            self.check_cancelled();
            self.check_recorded();
        }
        let mut idle = BTreeMap::new();
        let lasting = |entry: &&JobEntry| entry.phase == Phase::Active && entry.job.lasting();
        let lasting = self.log.job_table.jobs.values().filter(lasting);
        let waiting: Vec<_> = lasting.flat_map(|entry| self.waiting_tasks(entry)).collect();
        for (task, step) in waiting {
            let ended = *self.truth.ends.entry(task).or_insert(self.now);
            let places = self.places(task, &step);
            if self.now < ended + RESTART_GRACE || places.len() < 2 {
                continue;
            }
            let since = self.truth.idle.get(&task).copied().unwrap_or(self.now);
            idle.insert(task, since);
            if since + REACTION_TIME < self.now {
                let leader_state = self.leader_state();
                self.truth.note(self.now, || format!("state of the leader: {leader_state}"));
                invariant!(
                    false,
                    "{task} has not run since {ended} us; free capacity at {places:?}"
                );
            }
        }
        self.truth.idle = idle;
    }

    /// Checks that ends are acknowledged, once no copy of an unanswered start can be carried out: until
    /// then an end as done and the ones after it are kept.
    fn check_ends(&self) {
        for (agent, machine) in self.machines.iter().enumerate() {
            let mut kept = 0;
            for (at, ended) in machine.runner.iter().flat_map(|runner| &runner.ended) {
                let unanswered = self.truth.unanswered.get(&ended.key);
                if let Some(asked) = unanswered.filter(|_| ended.end == End::Done) {
                    kept = kept.max(asked + LATE_CALL);
                }
                let late = kept.max(*at) + REACTION_TIME < self.now;
                invariant!(!late, "{ended:?} at {agent} is not acknowledged since {at} us");
            }
        }
    }

    fn check_cancelled(&self) {
        for (agent, machine) in self.machines.iter().enumerate() {
            for key in machine.runner.iter().flat_map(|runner| runner.runs.keys()) {
                let cancelled = self.truth.cancelled.get(&key.task.job);
                let late = cancelled.is_some_and(|at| at + REACTION_TIME < self.now);
                invariant!(!late, "{key} still runs at {agent}, cancelled at {cancelled:?} us");
            }
        }
    }

    /// Tasks of a job that could run but don't: their step is ready and they have not completed.
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

    /// Machines with free capacity for a task; one that can take several is listed twice.
    pub(super) fn places(&self, task: TaskKey, step: &Step) -> Vec<usize> {
        let mut places = Vec::new();
        for (agent, machine) in self.machines.iter().enumerate() {
            let open = |runner: &&Runner| !runner.draining && !self.is_evacuated(agent);
            let Some(runner) = machine.runner.as_ref().filter(open) else { continue };
            if step.label.as_ref().is_some_and(|label| !runner.labels.contains(label)) {
                continue;
            }
            let siblings = runner.same_step_count(task);
            let mut free = runner.free();
            let mut places_here = 0;
            while places_here < 2
                && free.holds(&step.counted())
                && (step.spread == 0 || siblings + places_here < step.spread)
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

    /// Number of active jobs that end by themselves.
    pub(super) fn open_jobs(&self) -> usize {
        self.unfinished_jobs().count()
    }

    /// Describes such a job with a running task, with at least two places for a waiting one, or with
    /// room for a whole waiting gang.
    pub(super) fn unfinished(&self) -> Option<String> {
        let entry = self.unfinished_jobs().find(|entry| self.can_progress(entry))?;
        Some(format!("job {:x} has not ended: {:?}", entry.job.id, entry.rounds))
    }

    fn can_progress(&self, entry: &JobEntry) -> bool {
        let id = entry.job.id;
        let runners = || self.machines.iter().flat_map(|machine| &machine.runner);
        runners().any(|runner| runner.runs.keys().any(|key| key.task.job == id))
            || self.waiting_tasks(entry).iter().any(|(task, step)| match step.gang {
                true => self.gang_room(*task, step) >= step.count,
                false => self.places(*task, step).len() > 1,
            })
    }

    /// Total capacity of all runners, in millicores.
    pub(super) fn capacity(&self) -> u64 {
        let runners = self.machines.iter().flat_map(|machine| &machine.runner);
        runners
            .map(|runner| runner.capacity)
            .fold(0, |sum, Need { millicores, .. }| sum + millicores)
    }
}

fn describe(command: &Command) -> String {
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
