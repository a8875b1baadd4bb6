//! Gangs of a run: members work only while all tasks of one run are present with the same
//! checkpoint, and the checks of whether they are.

use std::collections::{BTreeMap, BTreeSet};

use super::Driver;
use super::runner::Runner;
use super::truth::REACTION_TIME;
use super::world::World;
use crate::core::{Span, invariant};
use crate::dispatch::{Start, Verb};
use crate::jobs::{Checkpoint, End, Job, JobEntry, Need, Phase, RunKey, Step, TaskKey};

/// Time that a member waits for the others, in microseconds.
pub(super) const GANG_TIMEOUT: u64 = 3_000_000;
/// Maximum time, without faults, for which a gang with room for all members is not at work, in
/// microseconds. One attempt may fail as a runner that takes no tasks is found out.
const GANG_REACTION_TIME: u64 = 2 * GANG_TIMEOUT + REACTION_TIME;
/// Gangs of a burst, and their members.
const BURST: (u32, u32) = (10, 36);

/// Members of gangs that are present, by the first member's run and the checkpoint at the start.
type Present = BTreeMap<(RunKey, Option<Checkpoint>), u32>;

/// Record of the gangs.
#[derive(Default)]
pub(super) struct Gangs {
    /// Checkpoint with which the members of each run started.
    starts: BTreeMap<RunKey, Option<Checkpoint>>,
    /// Runs that have ended as done.
    done: BTreeSet<RunKey>,
    /// Time since which each gang could be at work but isn't, by its first member.
    idle: BTreeMap<TaskKey, u64>,
}

/// The run of the first member of a gang.
pub(super) fn first_member(key: RunKey) -> RunKey {
    RunKey { task: TaskKey { index: 0, ..key.task }, ..key }
}

impl Runner {
    fn gang_members(&self) -> impl Iterator<Item = (RunKey, Option<Checkpoint>)> {
        let members = self.runs.iter().filter(|(_, run)| run.step().gang);
        members.map(|(key, run)| (first_member(*key), run.from.clone()))
    }

    /// Lets the members of gangs work that are present as a whole, and ends those that lack others.
    fn update_gangs(&mut self, now: u64, present: &Present, done: &BTreeSet<RunKey>) {
        for (key, run) in self.runs.iter_mut().filter(|(_, run)| run.step().gang) {
            let first = first_member(*key);
            let count = present.get(&(first, run.from.clone())).copied().unwrap_or_default();
            let whole = count == run.step().count;
            run.gang_end = if done.contains(&first) {
                Some(End::Done)
            } else if run.together && !whole {
                Some(End::Broken)
            } else if !whole && run.began + GANG_TIMEOUT <= now {
                Some(End::Alone)
            } else {
                None
            };
            run.together |= whole;
        }
    }
}

impl World {
    fn present_gangs(&self) -> Present {
        let mut present = Present::new();
        let runners = self.machines.iter().flat_map(|machine| &machine.runner);
        for member in runners.flat_map(Runner::gang_members) {
            *present.entry(member).or_default() += 1;
        }
        present
    }

    pub(super) fn update_gangs(&mut self, agent: usize) {
        if !self.truth.scope.gangs {
            return;
        }
        let present = self.present_gangs();
        if let Some(runner) = &mut self.machines[agent].runner {
            runner.update_gangs(self.now, &present, &self.truth.gangs.done);
        }
    }

    /// Records the end of a member of a gang as done, which is that of all members.
    pub(super) fn record_gang_end(&mut self, key: RunKey, end: End) {
        let job = self.truth.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.steps.get(usize::from(key.task.step)));
        if end == End::Done && step.is_some_and(|step| step.gang) {
            self.truth.gangs.done.insert(first_member(key));
        }
    }

    /// Checks that the members of a run of a gang start with one checkpoint.
    pub(super) fn record_gang_start(&mut self, start: &Start) {
        let key = start.key;
        let job = self.truth.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.steps.get(usize::from(key.task.step)));
        if !step.is_some_and(|step| step.gang) {
            return;
        }
        let starts = &mut self.truth.gangs.starts;
        let first = starts.entry(first_member(key)).or_insert_with(|| start.saved.clone());
        invariant!(
            *first == start.saved,
            "{key} starts with the checkpoint {:?}, others of its gang with {first:?}",
            start.saved
        );
    }

    /// Checks that gangs with room for all members twice over are at work in time.
    pub(super) fn check_gangs(&mut self) {
        let Some(calm) = self.calm_since() else { return self.truth.gangs.idle.clear() };
        let mut idle = BTreeMap::new();
        for (first, step) in self.waiting_gangs() {
            if self.gang_room(first, &step) < 2 * step.count {
                continue;
            }
            let before = self.truth.gangs.idle.get(&first).copied();
            let since = before.unwrap_or(self.now).max(calm);
            idle.insert(first, since);
            if since + GANG_REACTION_TIME < self.now {
                let leader_state = self.leader_state();
                self.note(|| format!("state of the leader: {leader_state}"));
                invariant!(false, "the gang of {first} is not at work since {since} us");
            }
        }
        self.truth.gangs.idle = idle;
    }

    /// Gangs of active jobs that are ready but don't work.
    fn waiting_gangs(&self) -> Vec<(TaskKey, Step)> {
        let runners = self.machines.iter().flat_map(|machine| &machine.runner);
        let working: BTreeSet<TaskKey> = runners
            .flat_map(|runner| runner.runs.iter().filter(|(_, run)| run.together))
            .map(|(key, _)| first_member(*key).task)
            .collect();
        let active = |entry: &&JobEntry| entry.phase == Phase::Active;
        let mut waiting = Vec::new();
        for entry in self.log.job_table.jobs.values().filter(active) {
            for (&round, state) in &entry.rounds {
                for (at, step) in entry.job.steps.iter().enumerate().filter(|(_, s)| s.gang) {
                    let (job, at16) = (entry.job.id, at as u16);
                    let first = TaskKey { job, round, step: at16, index: 0 };
                    let open = state.open[at] > 0 && state.ready(&entry.job, at);
                    if open && !working.contains(&first) {
                        waiting.push((first, step.clone()));
                    }
                }
            }
        }
        waiting
    }

    /// Number of members of a task's gang that fit beside the runs of other steps, at most twice the
    /// gang.
    pub(super) fn gang_room(&self, task: TaskKey, step: &Step) -> u32 {
        let own = |key: &RunKey| first_member(*key).task == TaskKey { index: 0, ..task };
        let mut room = 0;
        for runner in self.machines.iter().flat_map(|machine| &machine.runner) {
            if runner.draining {
                continue;
            }
            let mut free = runner.free();
            runner.runs.keys().filter(|key| own(key)).for_each(|_| free.add(&step.counted()));
            while room < 2 * step.count && free.holds(&step.counted()) {
                free.remove(&step.counted());
                room += 1;
            }
        }
        room
    }
}

impl Driver {
    /// Submits a gang, or rarely many large ones at once.
    pub(super) fn submit_gangs(&mut self) {
        let burst = self.world.chance(50);
        let (gangs, members) = if burst { BURST } else { (1, self.world.draw(2..8) as u32) };
        for _ in 0..gangs {
            let world = &mut self.world;
            let millicores = if burst { 20 } else { world.draw(1..8) * 100 };
            let step = Step {
                count: members,
                need: Need { millicores, memory: 20, accelerators: 0 },
                estimate: Span::millis(world.draw(300..4_000)),
                checkpoints: world.chance(600),
                gang: true,
                ..Step::default()
            };
            let id = self.world.truth.jobs.len() as u64 + 1;
            let (queue, spec) = ("quick".into(), "spec".into());
            let job = Job { id, queue, spec, steps: vec![step], schedule: None };
            let verb =
                Verb::Submit { spec: job.spec.clone(), steps: job.steps.clone(), schedule: None };
            self.world.truth.jobs.insert(id, job.into());
            self.request("quick", id, verb);
        }
    }
}
