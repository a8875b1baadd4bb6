//! Gangs, which are steps whose tasks work only together: their members are assigned in one
//! proposal, with the same run number, or not at all.

use super::Dispatch;
use super::settings::BATCH_LIMIT;
use crate::core::Moment;
use crate::jobs::{Command, End, Incarnation, RunKey, Task, TaskKey};

/// Live runs of a gang, with the incarnations that hold them.
struct LiveGang {
    members: Vec<(RunKey, Incarnation)>,
    /// Whether these are all members, with the same run number.
    whole: bool,
}

impl Dispatch {
    /// Proposes the next runs of all members of a gang on the given incarnations. Members whose run
    /// numbers differ are brought together first, and assigned in the next round of placement.
    pub(super) fn assign_gang(&mut self, members: Vec<(RunKey, Incarnation)>) {
        let Some((first, _)) = members.first() else { return };
        let next = members.iter().map(|(key, _)| key.run).max().unwrap_or(first.run);
        if members.iter().all(|(key, _)| key.run == next) {
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
                self.skip_run(RunKey { run, ..key }, &incarnation);
            }
        }
    }

    /// Proposes a run that ends before it is ordered. All versions apply it alike: it raises the
    /// task's run number.
    fn skip_run(&mut self, key: RunKey, incarnation: &Incarnation) {
        let assign = Command::Assign { key, incarnation: incarnation.clone() };
        let close = Command::Close { key, end: End::Refused, saved: None };
        self.propose_together(vec![assign, close]);
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
}
