//! Replicated state of batch jobs and standing watches: executions, checkpoints and final outcomes.
//! It changes only by jobs and leaders' decisions that the log has committed.

#[cfg(test)]
pub(crate) mod tests;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::core::{Name, invariant};
use crate::history::{Body, Ending};
use crate::placement::{Cause, Checkpoint, Decision, Member, Outcome, Spec};

/// Number of jobs with a final outcome that are kept: more than two days at 44,000 jobs a day.
const ENDED_KEPT: usize = 100_000;
/// Number of steps of one job that are kept for `explain`.
const STEPS_KEPT: usize = 64;

/// State of a job, as watch streams deliver it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Phase {
    Cancelled,
    Done,
    /// Its execution was evicted or lost, or failed and is repeated; it waits until the workers have
    /// confirmed the start of the next one.
    Evicted,
    Failed,
    Refused,
    /// The workers have confirmed the start of its execution.
    Running,
    /// It waits until the workers have confirmed the start of its first execution.
    Waiting,
}

/// Phase of a job, with the fencing token of its newest execution.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Step {
    pub(crate) phase: Phase,
    pub(crate) fence: u64,
}

/// What the log holds about the newest execution of a job, besides its assignment.
///
/// Encoded as the optional members by which earlier versions store only `Leaving`. These ignore it
/// while the job has an execution, and no execution has zero members.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Option<Vec<Member>>", into = "Option<Vec<Member>>")]
pub(crate) enum Evidence {
    /// Workers of the evicted execution, until the workers of the next one have confirmed its start.
    /// The log does not say whether it has ended, so a new leader has to make sure of that while
    /// there is no next one.
    Leaving(Vec<Member>),
    /// None.
    #[default]
    Missing,
    /// The workers have confirmed its start.
    Started,
}

impl From<Option<Vec<Member>>> for Evidence {
    fn from(stored: Option<Vec<Member>>) -> Self {
        match stored {
            None => Self::Missing,
            Some(members) if members.is_empty() => Self::Started,
            Some(members) => Self::Leaving(members),
        }
    }
}

impl From<Evidence> for Option<Vec<Member>> {
    fn from(evidence: Evidence) -> Self {
        match evidence {
            Evidence::Leaving(members) => Some(members),
            Evidence::Missing => None,
            Evidence::Started => Some(Vec::new()),
        }
    }
}

/// Agreed state of one job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct JobRecord {
    pub(crate) spec: Spec,
    /// Fencing token of the newest execution.
    pub(crate) fence: u64,
    /// Newest synced checkpoint that the log holds.
    pub(crate) from: Checkpoint,
    /// Workers and grants of the current execution, which may not have started yet; `None` while the
    /// job has none.
    pub(crate) members: Option<Vec<Member>>,
    pub(crate) outcome: Option<Outcome>,
    /// Number of evictions of this job.
    pub(crate) evicted: u64,
    /// Whether an operator deleted the job.
    pub(crate) cancelled: bool,
    /// Log index and sentence of each step, for `explain`.
    pub(crate) steps: VecDeque<(u64, String)>,
    // Encoded by position: new fields go last, so that older snapshots can be read.
    /// Number of executions that were evicted or lost, by cause.
    #[serde(default)]
    pub(crate) causes: BTreeMap<Cause, u64>,
    /// Number of executions that resumed the job after such an end and whose start is confirmed.
    #[serde(default)]
    pub(crate) resumed: u64,
    /// Snapshots of earlier versions end before this field.
    #[serde(default)]
    #[serde(rename = "leaving")]
    pub(crate) evidence: Evidence,
}

/// Agreed state of all jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct JobRecords {
    runs: BTreeMap<Name, JobRecord>,
    /// Jobs with a final outcome, oldest first.
    ended: VecDeque<Name>,
    /// Number of the last eviction or outcome that the history received.
    #[serde(default)]
    #[serde(rename = "noted")]
    recorded: u64,
}

impl JobRecords {
    /// Adds a declared job; returns false if a job of this name exists.
    pub(crate) fn submit(&mut self, index: u64, spec: Spec) -> bool {
        let name = spec.name.clone();
        if self.runs.contains_key(&name) {
            return false;
        }
        let mut run = JobRecord {
            spec,
            fence: 0,
            from: Checkpoint::default(),
            members: None,
            outcome: None,
            evicted: 0,
            cancelled: false,
            steps: VecDeque::new(),
            causes: BTreeMap::new(),
            resumed: 0,
            evidence: Evidence::Missing,
        };
        run.add_step(index, "declared".to_owned());
        self.runs.insert(name, run);
        true
    }

    /// Marks a job as deleted by an operator; returns false if it is unknown or has an outcome
    /// already.
    pub(crate) fn cancel(&mut self, index: u64, name: &Name) -> bool {
        let Some(run) = self.runs.get_mut(name).filter(|run| run.outcome.is_none()) else {
            return false;
        };
        run.cancelled = true;
        run.add_step(index, "an operator deleted it".to_owned());
        true
    }

    /// Applies a decision of a leader; returns false if it has no effect, as it does not match the
    /// agreed state. Leaders may propose decisions from an outdated state.
    pub(crate) fn apply(&mut self, index: u64, decision: &Decision) -> bool {
        let name = decision.job();
        let Some(run) = self.runs.get_mut(name).filter(|run| run.outcome.is_none()) else {
            return false;
        };
        match decision {
            Decision::Assign { fence, from, members, .. } => {
                // The leader knows from reports or leases that the previous execution has ended.
                if *fence != run.fence + 1 || run.cancelled {
                    return false;
                }
                if from.number < run.from.number {
                    return false;
                }
                run.fence = *fence;
                run.members = Some(members.clone());
                // A failed execution is not evicted, and nothing is resumed after it.
                if run.evidence == Evidence::Started {
                    run.evidence = Evidence::Missing;
                }
                let workers: Vec<&str> = members.iter().map(|m| m.worker.as_str()).collect();
                let (done, at) = (from.done, workers.join(", "));
                run.add_step(
                    index,
                    format!("execution {fence} is assigned to {at}, from {done} core seconds"),
                );
            },
            Decision::Begin { fence, .. } => {
                if run.members.is_none() || *fence != run.fence {
                    return false;
                }
                run.begin(index);
            },
            Decision::Evict { cause, fence, from, .. } => {
                if run.members.is_none() || *fence != run.fence {
                    return false;
                }
                let ends = match run.evidence {
                    Evidence::Started => "ends",
                    _ => "ends without a confirmed start",
                };
                run.evidence = run.members.take().into();
                run.from = run.from.max_by_number(*from);
                run.evicted += u64::from(is_eviction(*cause));
                *run.causes.entry(*cause).or_default() += 1;
                run.add_step(index, format!("execution {fence} {ends}: {cause}"));
            },
            Decision::Finish { fence, outcome, .. } => {
                if *fence != run.fence && *outcome != Outcome::Cancelled {
                    return false;
                }
                if *outcome == Outcome::Done && run.members.is_some() {
                    // The confirmed start may have been dropped.
                    run.begin(index);
                }
                run.add_step(index, format!("outcome {outcome}"));
                self.end(&name.clone(), outcome.clone());
            },
            Decision::Refuse { reason, change, .. } => {
                if run.fence != 0 {
                    return false;
                }
                run.add_step(index, format!("refused: {reason}; {change}"));
                self.end(&name.clone(), Outcome::Refused);
            },
        }
        true
    }

    /// Record of an accepted decision for the history, with its number; `None` for decisions that
    /// the history does not keep.
    ///
    /// The numbers follow from the log and have no gaps, so that all replicas assign the same ones,
    /// a replay repeats numbers that are stored already, and a replica can tell which records it
    /// lacks.
    pub(crate) fn record(&mut self, decision: &Decision) -> Option<(u64, Body)> {
        let run = self.runs.get(decision.job())?;
        let body = match decision {
            Decision::Assign { .. } | Decision::Begin { .. } => return None,
            Decision::Evict { cause, .. } => {
                Body::Evicted { kind: run.spec.kind.clone(), cause: cause.label()?.to_owned() }
            },
            Decision::Finish { .. } | Decision::Refuse { .. } => Body::Ended(run.ending()?),
        };
        self.recorded += 1;
        Some((self.recorded, body))
    }

    fn end(&mut self, name: &Name, outcome: Outcome) {
        let Some(run) = self.runs.get_mut(name) else { return };
        invariant!(run.outcome.is_none(), "{name} has a second outcome");
        run.outcome = Some(outcome);
        (run.members, run.evidence) = (None, Evidence::Missing);
        self.ended.push_back(name.clone());
        if self.ended.len() > ENDED_KEPT
            && let Some(oldest) = self.ended.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    /// Agreed state of a job.
    pub(crate) fn get(&self, name: &Name) -> Option<&JobRecord> {
        self.runs.get(name)
    }

    /// Jobs without a final outcome.
    pub(crate) fn open(&self) -> impl Iterator<Item = &JobRecord> {
        self.runs.values().filter(|run| run.outcome.is_none())
    }
}

/// Whether the cause is an eviction rather than the loss of the worker.
fn is_eviction(cause: Cause) -> bool {
    !matches!(cause, Cause::Lost)
}

impl JobRecord {
    /// Current phase and fencing token.
    pub(crate) fn step(&self) -> Step {
        let phase = match &self.outcome {
            Some(Outcome::Cancelled) => Phase::Cancelled,
            Some(Outcome::Done) => Phase::Done,
            Some(Outcome::Failed) => Phase::Failed,
            Some(Outcome::Refused) => Phase::Refused,
            None => match (&self.members, &self.evidence) {
                (Some(_), Evidence::Started) => Phase::Running,
                (Some(_), _) if self.fence > 1 => Phase::Evicted,
                (None, _) if self.fence > 0 => Phase::Evicted,
                _ => Phase::Waiting,
            },
        };
        Step { phase, fence: self.fence }
    }

    /// Records that the current execution has started, once.
    fn begin(&mut self, index: u64) {
        let before = std::mem::replace(&mut self.evidence, Evidence::Started);
        if before != Evidence::Started {
            self.resumed += u64::from(before != Evidence::Missing);
            self.add_step(index, format!("execution {} has started", self.fence));
        }
    }

    fn ending(&self) -> Option<Ending> {
        let labelled = self.causes.iter().filter_map(|(cause, n)| Some((cause.label()?, *n)));
        Some(Ending {
            job: self.spec.name.clone(),
            shop: self.spec.shop.clone(),
            kind: self.spec.kind.clone(),
            outcome: self.outcome.as_ref()?.to_string(),
            evictions: labelled.map(|(cause, n)| (cause.to_owned(), n)).collect(),
            resumed: self.resumed,
        })
    }

    fn add_step(&mut self, index: u64, text: String) {
        self.steps.push_back((index, text));
        if self.steps.len() > STEPS_KEPT {
            // The first step is kept, as it says when the job was declared.
            self.steps.remove(1);
        }
    }
}
