//! Where the tasks of a job would be placed now, and why, by a trial run of placement that changes
//! nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use super::Dispatch;
use super::place::{Candidate, Constraints, Exclusion, Ranking};
use super::plan::index;
use crate::core::{Moment, Name, Span};
use crate::jobs::{Command, Incarnation, Job, Queue, RunKey, Step, TaskKey};
use crate::lookahead::{Passed, Reason, expected_start};

/// Most runners named in a ranking.
const RANKED_LIMIT: usize = 5;

/// The job to explain.
#[derive(Clone, Debug)]
pub(crate) enum Question {
    /// A job that is not submitted: the reference of its queue, and its steps.
    Described { queue: Arc<str>, steps: Vec<Step> },
    /// A submitted one.
    Known(u64),
}

/// Runners that are alike for a task.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RunnerClass {
    /// What excludes them; `None` if they are eligible.
    pub(crate) excluded: Option<Exclusion>,
    pub(crate) runners: u32,
    /// The agent of one of them.
    pub(crate) example: Name,
}

/// Outlook of the waiting tasks of a step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct StepOutlook {
    pub(crate) round: u32,
    pub(crate) step: u16,
    pub(crate) waiting: usize,
    /// Tasks that would be placed now, by agent.
    pub(crate) placed: BTreeMap<Name, usize>,
    /// Runners as the first task finds them, or as the first one without room does.
    pub(crate) classes: Vec<RunnerClass>,
    /// Agents of the best eligible runners for the first task, from the best one.
    pub(crate) ranked: Vec<Name>,
    /// Time until the next task without room is expected to find it, if there is one and this is known.
    pub(crate) start: Option<Span>,
}

/// Answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Explanation {
    /// Why the job would not be accepted, or has no tasks that could start.
    pub(crate) refused: Option<String>,
    pub(crate) steps: Vec<StepOutlook>,
}

impl Explanation {
    fn refused(reason: impl Into<String>) -> Self {
        Self { refused: Some(reason.into()), steps: Vec::new() }
    }
}

impl Dispatch {
    /// Explains the placement of a job in a round of placement now.
    pub(crate) fn explain(&mut self, now: Moment, question: Question) -> Explanation {
        if !self.leading {
            return Explanation::refused("this instance does not lead");
        }
        let (queue, steps) = match question {
            Question::Known(id) => return self.trial_run(now, id),
            Question::Described { queue, steps } => (queue, steps),
        };
        let taken = |id: &u64| {
            let withdrawn = self.job_table.withdrawn.iter().any(|(withdrawn, _)| withdrawn == id);
            withdrawn || self.job_table.jobs.contains_key(id)
        };
        let Some(id) = (0..=u64::MAX).rev().find(|id| !taken(id)) else {
            return Explanation::refused("no id is free");
        };
        let job = Job { id, queue, spec: "".into(), steps, schedule: None };
        if let Err(bad) = job.check() {
            return Explanation::refused(bad.to_string());
        }
        if self.job_table.queue(&job.queue).is_none() {
            return Explanation::refused("no such queue");
        }
        // It is in the table for the trial run only. It has the highest id, as the newest job has to
        // come last among equal ones.
        self.job_table.apply(&Command::Accept { job: Arc::new(job), wall: self.wall });
        self.active.insert(id);
        let explanation = self.trial_run(now, id);
        self.active.remove(&id);
        self.job_table.jobs.remove(&id);
        explanation
    }

    /// Runs a round of placement up to a job, without proposing anything.
    fn trial_run(&mut self, now: Moment, target: u64) -> Explanation {
        if !self.active.contains(&target) {
            return Explanation::refused("the job has ended or is not known");
        }
        let lookahead = self.lookahead.trial(now);
        let lookahead = std::mem::replace(&mut self.lookahead, lookahead);
        let mut candidates = self.candidates(now);
        let index = index(&candidates);
        self.claim_room(now, &mut candidates, &index);
        let mut steps = Vec::new();
        for id in self.job_order() {
            let Some(entry) = self.job_table.jobs.get(&id) else { continue };
            let Some(queue) = self.job_table.queue(&entry.job.queue) else { continue };
            for (key, tasks) in self.waiting(entry) {
                if id == target {
                    let outlook =
                        self.outlook(now, &mut candidates, &index, queue, &entry.job, key, &tasks);
                    steps.push(outlook);
                } else {
                    self.choose(&mut candidates, &index, queue, &entry.job, key, &tasks);
                }
            }
            if id == target {
                break;
            }
        }
        self.lookahead = lookahead;
        Explanation { refused: None, steps }
    }

    #[allow(clippy::too_many_arguments)]
    fn outlook(
        &self,
        now: Moment,
        candidates: &mut Vec<Candidate>,
        index: &BTreeMap<Incarnation, usize>,
        queue: &Queue,
        job: &Job,
        (round, step): (u32, u16),
        tasks: &[RunKey],
    ) -> StepOutlook {
        let declared = &job.steps[usize::from(step)];
        let first = TaskKey { job: job.id, round, step, index: 0 };
        let mut siblings = self.siblings(index, job.id, round, step);
        let work = self.work(job.id, queue, declared);
        let (wanted, score) = self.larger_wanted(&queue.service, declared);
        let table = &self.learner.table;
        let trial = declared.fills && self.waits.trial_due(job.id);
        let constraints = Constraints {
            trial,
            least: self.overload.least_speed(job.id),
            work: work.as_ref(),
            wanted: &wanted,
            score,
            ..Constraints::plain(declared, &queue.service, table)
        };
        let ranking = Ranking::new(candidates, constraints, siblings.clone());
        let agent = |at: usize| candidates[at].agent.clone();
        let ranked = ranking.order(candidates).into_iter().take(RANKED_LIMIT).map(agent).collect();
        let mut classes = self.runner_classes(now, candidates, constraints, &siblings);
        let chosen = self.choose(candidates, index, queue, job, (round, step), tasks);
        let mut placed = BTreeMap::new();
        for at in chosen.iter().filter_map(|(_, incarnation)| index.get(incarnation)) {
            *placed.entry(candidates[*at].agent.clone()).or_default() += 1;
            siblings[*at] += 1;
        }
        let left = tasks.len() - chosen.len();
        let mut start = None;
        if left > 0 {
            classes = self.runner_classes(now, candidates, constraints, &siblings);
            start = self.expected_start(now, candidates, index, queue, declared, first, left);
        }
        StepOutlook { round, step, waiting: tasks.len(), placed, classes, ranked, start }
    }

    /// Time until the first of the tasks that are left finds room. Filling tasks wait for speed, which
    /// is not forecast.
    #[allow(clippy::too_many_arguments)]
    fn expected_start(
        &self,
        now: Moment,
        candidates: &[Candidate],
        index: &BTreeMap<Incarnation, usize>,
        queue: &Queue,
        step: &Step,
        owner: TaskKey,
        left: usize,
    ) -> Option<Span> {
        if step.fills {
            return None;
        }
        let (service, need, count) = (Arc::clone(&queue.service), step.counted(), left as u64);
        let (urgency, reason) = ((queue.priority, 0), Reason::Wide);
        let passed = Passed { owner, service, urgency, need, count, reason };
        let mut places = self.places(now, candidates, &[passed]).remove(&queue.service)?;
        for place in &mut places {
            let at = index.get(&place.incarnation);
            place.most = at.map_or(0, |at| self.most_tasks(owner, &candidates[*at]));
        }
        Some(expected_start(&places, now, &need, count, step.gang)?.since(now))
    }

    /// Groups all runners by what excludes them for a task.
    fn runner_classes(
        &self,
        now: Moment,
        candidates: &mut [Candidate],
        constraints: Constraints<'_>,
        siblings: &[u32],
    ) -> Vec<RunnerClass> {
        let Constraints { step, service, table, .. } = constraints;
        let mut classes: BTreeMap<Option<Exclusion>, RunnerClass> = BTreeMap::new();
        let mut count = |excluded: Option<Exclusion>, agent: &Name| {
            let example = agent.clone();
            let class = RunnerClass { excluded, runners: 0, example };
            classes.entry(excluded).or_insert(class).runners += 1;
        };
        for (candidate, siblings) in candidates.iter_mut().zip(siblings) {
            let barred = candidate.barred(step).then_some(Exclusion::Barred);
            let mismatch = candidate.mismatch(step, service, *siblings);
            let reserved = !step.lasting && !constraints.admitted(candidate);
            let reserved = reserved.then_some(Exclusion::Reserved);
            let slow = candidate.slow_reason(table, step);
            count(barred.or(mismatch).or(reserved).or(slow), &candidate.agent);
        }
        for (agent, worker) in &self.fleet.workers {
            if let Some(excluded) = self.exclusion(worker, now) {
                count(Some(excluded), agent);
            }
        }
        classes.into_values().collect()
    }
}
