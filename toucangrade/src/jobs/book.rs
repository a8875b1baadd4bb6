//! State machine of the replicated log for jobs: applies the log's commands, so that all replicas
//! hold the same configuration and jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, OnceLock};

use serde::{Deserialize, Serialize};

use super::{Checkpoint, Command, Configuration, End, Incarnation, Job, Queue, RunKey, TaskKey};
use crate::core::invariant;
use crate::evacuation::Evacuations;

/// Maximum number of concurrent runs of a task whose step allows speculative copies.
const COPIES_LIMIT: usize = 2;

/// Lifecycle state of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Phase {
    Active,
    Cancelled,
    Completed,
    Failed,
}

/// A run without a recorded end, which may still be active on its runner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LiveRun {
    pub(crate) run: u32,
    #[serde(rename = "life")]
    pub(crate) incarnation: Arc<Incarnation>,
}

/// Agreed state of a task.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Task {
    pub(crate) live: Vec<LiveRun>,
    /// Number of the last assigned run.
    pub(crate) runs: u32,
    /// Number of failed runs.
    pub(crate) failed: u32,
    pub(crate) done: bool,
    /// Last recorded checkpoint.
    pub(crate) saved: Option<Checkpoint>,
}

/// One repetition of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Repetition {
    /// Tasks of each step.
    pub(crate) steps: Vec<Vec<Task>>,
    /// Number of tasks of each step that are not done.
    pub(crate) open: Vec<u32>,
}

impl Repetition {
    fn new(job: &Job) -> Self {
        let tasks = |count: u32| vec![Task::default(); count as usize];
        Self {
            steps: job.steps.iter().map(|step| tasks(step.count)).collect(),
            open: job.steps.iter().map(|step| step.count).collect(),
        }
    }

    /// Whether all steps that this one depends on are done.
    pub(crate) fn ready(&self, job: &Job, step: usize) -> bool {
        job.steps[step].after.iter().all(|&before| self.open[usize::from(before)] == 0)
    }

    fn done(&self) -> bool {
        self.open.iter().all(|&open| open == 0)
    }

    fn live(&self) -> bool {
        self.steps.iter().flatten().any(|task| !task.live.is_empty())
    }
}

/// Agreed state of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct JobEntry {
    pub(crate) job: Arc<Job>,
    pub(crate) phase: Phase,
    /// Repetitions that are not done or have live runs.
    pub(crate) rounds: BTreeMap<u32, Repetition>,
    /// Number of repetitions added so far.
    pub(crate) opened: u32,
    /// Whether a runner has shown that it had started a run. Instances of earlier versions set it when
    /// a run is assigned, and so may their snapshots.
    pub(crate) begun: bool,
    /// Time of acceptance in ms since 1970, on the clock of the leader at that time.
    pub(crate) wall: u64,
}

impl JobEntry {
    pub(crate) fn task(&self, key: TaskKey) -> Option<&Task> {
        let round = self.rounds.get(&key.round)?;
        round.steps.get(usize::from(key.step))?.get(usize::from(key.index))
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let round = self.rounds.get_mut(&key.round)?;
        round.steps.get_mut(usize::from(key.step))?.get_mut(usize::from(key.index))
    }

    /// Runs without a recorded end.
    pub(crate) fn live_runs(&self) -> impl Iterator<Item = (RunKey, &LiveRun)> {
        let job = self.job.id;
        self.rounds.iter().flat_map(move |(&round, state)| {
            state.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                tasks.iter().enumerate().flat_map(move |(index, task)| {
                    let task_key = TaskKey { job, round, step: step as u16, index: index as u16 };
                    let key = move |live: &LiveRun| RunKey { task: task_key, run: live.run };
                    task.live.iter().map(move |live| (key(live), live))
                })
            })
        })
    }

    /// Tasks that are not done, without a live run but with an earlier one.
    pub(crate) fn closed_tasks(&self) -> impl Iterator<Item = TaskKey> {
        let job = self.job.id;
        self.rounds.iter().flat_map(move |(&round, state)| {
            state.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                let closed = |task: &Task| task.runs > 0 && task.live.is_empty() && !task.done;
                let tasks = tasks.iter().enumerate().filter(move |(_, task)| closed(task));
                let key = move |index| TaskKey { job, round, step: step as u16, index };
                tasks.map(move |(index, _)| key(index as u16))
            })
        })
    }

    /// Whether a task that has to end has failed this often.
    fn exhausted(&self, attempts: u32) -> bool {
        let failed = |task: &Task| !task.done && task.failed > 0 && task.failed >= attempts;
        let steps = self.rounds.values().flat_map(|round| round.steps.iter().zip(&self.job.steps));
        steps.filter(|(_, step)| !step.lasting).any(|(tasks, _)| tasks.iter().any(failed))
    }

    /// Moves the job to a final phase. Rounds with live runs are kept until those have ended.
    fn finish(&mut self, phase: Phase) {
        self.phase = phase;
        self.prune();
    }

    /// Removes rounds without live runs that are done or whose job has ended. Live runs have to be
    /// stopped first.
    fn prune(&mut self) {
        let active = self.phase == Phase::Active;
        self.rounds.retain(|_, round| round.live() || (active && !round.done()));
    }
}

/// Result of applying a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Applied {
    /// The job is stored, possibly by an earlier command.
    Accepted,
    /// The run is assigned and may be started.
    Assigned,
    /// The job has ended, by this command or before.
    Cancelled,
    /// The end of the run is recorded.
    Closed,
    /// This configuration or a newer one is in force.
    Configured,
    /// The job's queue does not exist.
    NoQueue,
    /// The order for a data centre is in force, by this command or before.
    Evacuating,
    /// A job of another queue has this id.
    Occupied,
    /// The runner's incarnation that holds the run is recorded.
    Settled,
    /// The command does not match the agreed state; nothing changed.
    Stale,
    /// The command was applied and has no answer of its own.
    Taken,
    /// The job is unknown, and a later submission of it has no effect.
    Withdrawn,
}

/// Agreed configuration and jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct JobTable {
    pub(crate) setup: Arc<Configuration>,
    pub(crate) jobs: BTreeMap<u64, JobEntry>,
    /// Ids and queues of jobs that were cancelled before any submission of them was applied.
    #[serde(default)]
    pub(crate) withdrawn: BTreeSet<(u64, Arc<str>)>,
    /// Positions of the queues of `setup` by name and by address, computed when first needed. A
    /// search would take most of a placement round with a thousand queues.
    #[serde(skip)]
    positions: OnceLock<BTreeMap<Arc<str>, usize>>,
    /// Evacuated data centres. Earlier versions refuse a snapshot with a field more, so it is left out
    /// while there are none.
    #[serde(default, skip_serializing_if = "Evacuations::is_empty")]
    pub(crate) evacuations: Evacuations,
    /// Live runs that their runner's incarnation is known to hold: a report has shown them there, and
    /// no copy of their start can be carried out by a later one. Snapshots have it as a part of its
    /// own, see [`snapshot`](super::snapshot).
    #[serde(skip)]
    pub(crate) settled: BTreeSet<RunKey>,
    /// Jobs of whose runs a start has got no answer and may be carried out later. Stored like `settled`.
    #[serde(skip)]
    pub(crate) doubtful: BTreeSet<u64>,
}

impl JobTable {
    pub(crate) fn apply(&mut self, command: &Command) -> Applied {
        match command {
            Command::Accept { job, wall } => self.accept(job, *wall),
            Command::Assign { key, incarnation } => self.assign(*key, incarnation),
            Command::Begin { job } => self.begin(*job),
            Command::Cancel { job, queue } => self.cancel(*job, queue.as_ref()),
            Command::Close { key, end, saved } => self.close(*key, *end, saved.as_ref()),
            Command::Configure(setup) => {
                if setup.version > self.setup.version {
                    self.configure(setup);
                    self.fail_exhausted();
                }
                Applied::Configured
            },
            Command::Doubt { job, open } => {
                let active = self.jobs.get(job).is_some_and(|e| e.phase == Phase::Active);
                let changed = match open {
                    true => active && self.doubtful.insert(*job),
                    false => self.doubtful.remove(job),
                };
                if changed { Applied::Taken } else { Applied::Stale }
            },
            Command::Evacuate(order) => {
                self.evacuations.apply(order);
                Applied::Evacuating
            },
            Command::Forget(ids) => {
                for id in ids {
                    let ended = |entry: &JobEntry| entry.phase != Phase::Active;
                    if self.jobs.get(id).is_some_and(|e| ended(e) && e.rounds.is_empty()) {
                        self.jobs.remove(id);
                        self.doubtful.remove(id);
                    }
                }
                self.withdrawn.retain(|(id, _)| !ids.contains(id));
                Applied::Taken
            },
            Command::Open { job, round } => self.open(*job, *round),
        }
    }

    /// Position of a queue in the configuration, from its name or its address.
    pub(crate) fn queue_position(&self, reference: &str) -> Option<usize> {
        let positions = self.positions.get_or_init(|| {
            let queues = || self.setup.queues.iter().enumerate().rev();
            // The first one of a name counts, as in `Configuration::queue`.
            let names = queues().map(|(at, queue)| (Arc::clone(&queue.name), at));
            names.chain(queues().map(|(at, queue)| (queue.address(), at))).collect()
        });
        positions.get(reference).copied()
    }

    /// The queue with this name or address.
    pub(crate) fn queue(&self, reference: &str) -> Option<&Queue> {
        self.setup.queues.get(self.queue_position(reference)?)
    }

    /// The reference by which jobs name a queue of the configuration in force. It is the name where
    /// possible, as instances of earlier versions know no other one.
    pub(crate) fn reference(&self, queue: &Queue) -> Arc<str> {
        let named = self.queue(&queue.name);
        if named.is_some_and(|n| n.host == queue.host && n.prefix == queue.prefix) {
            Arc::clone(&queue.name)
        } else {
            queue.address()
        }
    }

    /// The reference that jobs have to the queue with this name or address.
    fn resolve(&self, reference: &Arc<str>) -> Arc<str> {
        self.queue(reference).map_or_else(|| Arc::clone(reference), |queue| self.reference(queue))
    }

    /// Replaces the configuration. A job belongs to the address at which it was submitted, whatever
    /// name the queue of that address has.
    fn configure(&mut self, setup: &Arc<Configuration>) {
        let jobs = self.jobs.values().map(|entry| &entry.job.queue);
        let references: BTreeSet<&Arc<str>> =
            jobs.chain(self.withdrawn.iter().map(|(_, queue)| queue)).collect();
        let addressed: Vec<(Arc<str>, Arc<str>)> = references
            .into_iter()
            .map(|reference| {
                let address = self.queue(reference).map(Queue::address);
                (Arc::clone(reference), address.unwrap_or_else(|| Arc::clone(reference)))
            })
            .collect();
        self.setup = Arc::clone(setup);
        self.positions = OnceLock::new();
        let changed: BTreeMap<Arc<str>, Arc<str>> = addressed
            .into_iter()
            .map(|(reference, address)| (reference, self.resolve(&address)))
            .filter(|(before, now)| before != now)
            .collect();
        if changed.is_empty() {
            return;
        }
        for entry in self.jobs.values_mut() {
            if let Some(reference) = changed.get(&entry.job.queue) {
                Arc::make_mut(&mut entry.job).queue = Arc::clone(reference);
            }
        }
        self.withdrawn = std::mem::take(&mut self.withdrawn)
            .into_iter()
            .map(|(id, queue)| (id, changed.get(&queue).map_or(queue, Arc::clone)))
            .collect();
    }

    /// The run with this key, if its end is not recorded.
    pub(crate) fn live(&self, key: RunKey) -> Option<&LiveRun> {
        let task = self.jobs.get(&key.task.job)?.task(key.task)?;
        task.live.iter().find(|live| live.run == key.run)
    }

    fn accept(&mut self, job: &Arc<Job>, wall: u64) -> Applied {
        let queue = self.resolve(&job.queue);
        if let Some(entry) = self.jobs.get(&job.id) {
            return if entry.job.queue == queue { Applied::Accepted } else { Applied::Occupied };
        }
        if self.queue(&queue).is_none() {
            return Applied::NoQueue;
        }
        let phase = if self.withdrawn.remove(&(job.id, Arc::clone(&queue))) {
            Phase::Cancelled
        } else if job.rounds() == 0 {
            Phase::Completed
        } else {
            Phase::Active
        };
        let mut rounds = BTreeMap::new();
        if job.schedule.is_none() && phase == Phase::Active {
            rounds.insert(0, Repetition::new(job));
        }
        let opened = u32::from(job.schedule.is_none());
        let mut job = Arc::clone(job);
        if job.queue != queue {
            Arc::make_mut(&mut job).queue = queue;
        }
        let entry = JobEntry { phase, rounds, opened, begun: false, wall, job };
        self.jobs.insert(entry.job.id, entry);
        Applied::Accepted
    }

    fn open(&mut self, job: u64, round: u32) -> Applied {
        let entry = self.jobs.get_mut(&job).filter(|entry| entry.phase == Phase::Active);
        let Some(entry) = entry.filter(|e| e.opened == round && round < e.job.rounds()) else {
            return Applied::Stale;
        };
        entry.opened += 1;
        let opened = Repetition::new(&entry.job);
        entry.rounds.insert(round, opened);
        Applied::Taken
    }

    /// Assigns a run, if the agreed state allows it, or records the incarnation that holds a live one.
    /// The leader may have proposed it from an outdated state.
    fn assign(&mut self, key: RunKey, incarnation: &Incarnation) -> Applied {
        let entry = self.jobs.get_mut(&key.task.job).filter(|e| e.phase == Phase::Active);
        let Some(entry) = entry else { return Applied::Stale };
        let job = Arc::clone(&entry.job);
        let step = usize::from(key.task.step);
        let ready = entry
            .rounds
            .get(&key.task.round)
            .is_some_and(|round| step < job.steps.len() && round.ready(&job, step));
        let limit = if job.steps.get(step).is_some_and(|s| s.copies) { COPIES_LIMIT } else { 1 };
        let Some(task) = entry.task_mut(key.task) else { return Applied::Stale };
        let same = |live: &&mut LiveRun| {
            live.run == key.run && live.incarnation.runner == incarnation.runner
        };
        if let Some(live) = task.live.iter_mut().find(same) {
            live.incarnation = Arc::new(incarnation.clone());
            self.settled.insert(key);
            return Applied::Settled;
        }
        if !ready || task.done || task.live.len() >= limit || key.run != task.runs + 1 {
            return Applied::Stale;
        }
        task.runs = key.run;
        task.live.push(LiveRun { run: key.run, incarnation: Arc::new(incarnation.clone()) });
        Applied::Assigned
    }

    fn begin(&mut self, job: u64) -> Applied {
        match self.jobs.get_mut(&job).filter(|entry| !entry.begun) {
            Some(entry) => {
                entry.begun = true;
                Applied::Taken
            },
            None => Applied::Stale,
        }
    }

    fn cancel(&mut self, job: u64, queue: Option<&Arc<str>>) -> Applied {
        let queue = queue.map(|queue| self.resolve(queue));
        match (self.jobs.get_mut(&job), queue) {
            (Some(entry), queue)
                if queue.as_ref().is_none_or(|queue| *queue == entry.job.queue) =>
            {
                if entry.phase == Phase::Active {
                    entry.finish(Phase::Cancelled);
                }
                Applied::Cancelled
            },
            (None, Some(queue)) => {
                self.withdrawn.insert((job, queue));
                Applied::Withdrawn
            },
            _ => Applied::Stale,
        }
    }

    /// Fails the jobs with a task that has failed as often as the configuration allows. Its runs may
    /// have failed while the queue was not configured.
    fn fail_exhausted(&mut self) {
        let exhausted = |entry: &JobEntry| {
            let queue = self.queue(&entry.job.queue);
            queue.is_some_and(|queue| entry.exhausted(queue.attempts))
        };
        let active = self.jobs.values().filter(|entry| entry.phase == Phase::Active);
        let ids: Vec<u64> = active.filter(|e| exhausted(e)).map(|e| e.job.id).collect();
        for id in ids {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.finish(Phase::Failed);
            }
        }
    }

    fn close(&mut self, key: RunKey, end: End, saved: Option<&Checkpoint>) -> Applied {
        let Some(entry) = self.jobs.get(&key.task.job) else { return Applied::Stale };
        // Without the queue, the limit is unknown until a configuration has it again.
        let allowed = self.queue(&entry.job.queue).map(|queue| queue.attempts);
        let Some(entry) = self.jobs.get_mut(&key.task.job) else { return Applied::Stale };
        let Some(task) = entry.task_mut(key.task) else { return Applied::Stale };
        let Some(at) = task.live.iter().position(|live| live.run == key.run) else {
            return Applied::Stale;
        };
        task.live.remove(at);
        self.settled.remove(&key);
        entry.begun |= end.shows_start();
        let Some(task) = entry.task_mut(key.task) else { return Applied::Stale };
        if let Some(saved) = saved {
            task.saved = Some(Arc::clone(saved));
        }
        let step = entry.job.steps[usize::from(key.task.step)].clone();
        let mut failed = false;
        match end {
            End::Done if !step.lasting => entry.complete(key.task, step.gang),
            End::Failed if !step.lasting => {
                let task = entry.task_mut(key.task).filter(|task| !task.done);
                failed = task.is_some_and(|task| {
                    task.failed += 1;
                    allowed.is_some_and(|allowed| task.failed >= allowed)
                });
            },
            _ => {},
        }
        if failed && entry.phase == Phase::Active {
            entry.finish(Phase::Failed);
        }
        entry.prune();
        Applied::Closed
    }
}

impl JobEntry {
    /// Marks a task done, or all tasks of the step if it is a gang.
    fn complete(&mut self, key: TaskKey, gang: bool) {
        let Some(round) = self.rounds.get_mut(&key.round) else { return };
        let step = usize::from(key.step);
        let index = usize::from(key.index);
        let mut finished = 0;
        for (at, task) in round.steps[step].iter_mut().enumerate() {
            if (gang || at == index) && !task.done {
                task.done = true;
                finished += 1;
            }
        }
        invariant!(round.open[step] >= finished, "{key} ends twice");
        round.open[step] -= finished;
        let open = self.rounds.values().any(|round| !round.done());
        if self.phase == Phase::Active && !open && self.opened >= self.job.rounds() {
            self.finish(Phase::Completed);
        }
    }
}
