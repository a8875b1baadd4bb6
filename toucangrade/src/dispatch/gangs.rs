//! Gangs, which are steps whose tasks work only together: their members are assigned in one
//! proposal, with the same run number and checkpoint, or not at all.

use std::collections::BTreeSet;

use super::Dispatch;
use super::settings::BATCH_LIMIT;
use crate::core::Moment;
use crate::jobs::{Checkpoint, Command, End, Incarnation, RunKey, Task, TaskKey};

/// Live runs of a gang, with the incarnations that hold them.
struct LiveGang {
    members: Vec<(RunKey, Incarnation)>,
    /// Whether these are all members, with the same run number.
    whole: bool,
}

/// The newest checkpoint of a gang's members.
#[derive(Clone, Debug)]
pub(super) struct GangSave {
    run: u32,
    /// Whether it was made at a stop, so later than those that the other members had made by then.
    stopped: bool,
    checkpoint: Checkpoint,
}

fn first_member(task: TaskKey) -> TaskKey {
    TaskKey { index: 0, ..task }
}

impl Dispatch {
    /// Proposes the next runs of all members of a gang on the given incarnations. Members whose run
    /// numbers or checkpoints differ are brought together first, and assigned in the next round of
    /// placement.
    pub(super) fn assign_gang(&mut self, members: Vec<(RunKey, Incarnation)>) {
        let Some((first, _)) = members.first() else { return };
        let saved = self.gang_checkpoint(&members);
        let differs = |key: &RunKey| self.task(key.task).is_some_and(|task| task.saved != saved);
        let next = members.iter().map(|(key, _)| key.run + u32::from(differs(key))).max();
        let next = next.unwrap_or(first.run);
        if members.iter().all(|(key, _)| key.run == next && !differs(key)) {
            let assign = |(key, incarnation): &(RunKey, Incarnation)| Command::Assign {
                key: *key,
                incarnation: incarnation.clone(),
            };
            let commands = members.iter().map(assign).collect();
            self.assigning.extend(members);
            return self.propose_together(commands);
        }
        tracing::info!(
            gang = %first.task,
            members = members.len(),
            next,
            behind = members.iter().filter(|(key, _)| key.run < next).count(),
            saved = saved.as_deref(),
            "gang members differ, bringing them together"
        );
        let mut left = BATCH_LIMIT as u32 / 2;
        for (key, incarnation) in members {
            let skipped = key.run..next.min(key.run.saturating_add(left));
            left -= skipped.len() as u32;
            // The last one takes the room of the member until it is committed.
            if let Some(run) = skipped.clone().last() {
                self.assigning.insert(RunKey { run, ..key }, incarnation.clone());
            }
            for run in skipped {
                self.skip_run(RunKey { run, ..key }, &incarnation, saved.clone());
            }
        }
    }

    /// Proposes a run that ends before it is ordered. All versions apply it alike: it raises the
    /// task's run number and replaces its checkpoint.
    fn skip_run(&mut self, key: RunKey, incarnation: &Incarnation, saved: Option<Checkpoint>) {
        let assign = Command::Assign { key, incarnation: incarnation.clone() };
        self.propose_together(vec![assign, Command::Close { key, end: End::Refused, saved }]);
    }

    /// The checkpoint with which all members of a gang start: the last one that a member has saved, as
    /// far as this instance knows, and else any of them.
    fn gang_checkpoint(&self, members: &[(RunKey, Incarnation)]) -> Option<Checkpoint> {
        let tasks = members.iter().filter_map(|(key, _)| self.task(key.task));
        let saved: BTreeSet<&Checkpoint> = tasks.filter_map(|task| task.saved.as_ref()).collect();
        let (key, _) = members.first()?;
        let newest = self.gang_saves.get(&first_member(key.task)).map(|save| &save.checkpoint);
        newest.filter(|newest| saved.contains(newest)).or(saved.last().copied()).cloned()
    }

    /// Notes the checkpoint of a member whose run ends.
    pub(super) fn record_gang_save(&mut self, key: RunKey, end: End, saved: Option<&Checkpoint>) {
        let gang = first_member(key.task);
        if !self.step_of(key).is_some_and(|step| step.gang) || self.job_table.live(key).is_none() {
            return;
        }
        if end == End::Done {
            self.gang_saves.remove(&gang);
            return;
        }
        let before = self.task(key.task).and_then(|task| task.saved.as_ref());
        let Some(checkpoint) = saved.filter(|saved| Some(*saved) != before) else { return };
        let save =
            GangSave { run: key.run, stopped: end == End::Stopped, checkpoint: checkpoint.clone() };
        let newer = |last: &GangSave| (save.run, save.stopped) >= (last.run, last.stopped);
        if self.gang_saves.get(&gang).is_none_or(newer) {
            self.gang_saves.insert(gang, save);
        }
    }

    /// Stops the members of gangs that lack others. They can't work, and the gang is assigned again
    /// once all have ended. The wait of a whole gang for its last members is no lack of progress.
    pub(super) fn mend_gangs(&mut self, now: Moment) {
        for LiveGang { members, whole } in self.live_gangs() {
            let run =
                |(key, incarnation): &(RunKey, Incarnation)| self.fleet.run(incarnation, *key);
            if whole {
                if members.iter().filter_map(run).all(|run| run.listed) {
                    continue;
                }
                for (key, incarnation) in members {
                    if let Some(run) = self.fleet.run_mut(&incarnation, key) {
                        run.stalled_since = run.seen;
                    }
                }
                continue;
            }
            let stops = |member: &&(RunKey, Incarnation)| run(member).is_some_and(|run| !run.stop);
            let stops: Vec<_> = members.iter().filter(stops).cloned().collect();
            let Some((first, _)) = stops.first() else { continue };
            tracing::info!(run = %first, members = stops.len(), "gang lacks members, stopping");
            for (key, incarnation) in stops {
                self.order_stop(&incarnation, key, now);
            }
        }
    }

    fn live_gangs(&self) -> Vec<LiveGang> {
        let mut gangs = Vec::new();
        let entries = self.active.iter().filter_map(|id| self.job_table.jobs.get(id));
        for entry in entries.filter(|entry| entry.job.steps.iter().any(|step| step.gang)) {
            for (&round, state) in &entry.rounds {
                for (at, tasks) in state.steps.iter().enumerate() {
                    if entry.job.steps[at].gang && state.open[at] > 0 {
                        let first = TaskKey { job: entry.job.id, round, step: at as u16, index: 0 };
                        gangs.extend(self.live_gang(first, tasks));
                    }
                }
            }
        }
        gangs
    }

    /// Live runs of the gang with this first member; `None` if there are none.
    fn live_gang(&self, first: TaskKey, tasks: &[Task]) -> Option<LiveGang> {
        let mut members = Vec::new();
        for (task, index) in tasks.iter().zip(0..) {
            members.extend(task.live.iter().map(|live| {
                let key = RunKey { task: TaskKey { index, ..first }, run: live.run };
                (key, self.fleet.holder(&live.incarnation, key))
            }));
        }
        let run = members.first()?.0.run;
        let whole = members.len() == tasks.len() && members.iter().all(|(key, _)| key.run == run);
        Some(LiveGang { members, whole })
    }

    fn task(&self, key: TaskKey) -> Option<&Task> {
        self.job_table.jobs.get(&key.job)?.task(key)
    }
}
