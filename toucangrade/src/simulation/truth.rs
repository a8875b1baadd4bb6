//! What really happened: which request ran where and when, and what its callers were told.

use std::collections::{BTreeMap, VecDeque};

use super::link::Node;
use crate::claims::{Action, Reply};
use crate::core::{Checkpoint, Class, Key, Verdict, invariant};
use crate::execution::Completion;

/// Time in which an agent that leaves may still start what it had admitted, in microseconds.
const LEAVING: u64 = 3_000_000;
/// Lines of the trace that are kept.
const TRACE: usize = 200;

/// An execution as the runner saw it.
#[derive(Clone, Debug)]
pub(crate) struct Ran {
    pub(crate) runner: usize,
    pub(crate) from: u64,
    pub(crate) until: Option<u64>,
    /// Whether it ended with its answer rather than by a stop, a crash or the end of its lease.
    pub(crate) whole: bool,
    /// Checkpoint that it went on from, and the one that it was evicted with.
    pub(crate) resumed: Option<Checkpoint>,
    pub(crate) evicted: Option<Checkpoint>,
}

/// Piece of work of one key that callers ask for.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    /// Index of its kind.
    pub(crate) kind: usize,
    pub(crate) class: Class,
    pub(crate) key: Option<Key>,
    /// Time that its execution takes, in microseconds.
    pub(crate) work: u64,
    /// Other work uses the same key, so that either may get the other's refusal.
    pub(crate) shared: bool,
    pub(crate) runs: Vec<Ran>,
}

/// What the log permits for one key, followed apart from the state machine.
#[derive(Debug, Default)]
struct Agreed {
    /// The attempt that may run, and whether its execution started.
    grant: Option<(u64, bool)>,
    /// Checkpoint of the newest eviction.
    checkpoint: Option<Checkpoint>,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub(crate) enum Response {
    /// The entry ended, so the connection broke.
    Cut,
    /// The entry's response.
    Completion(Completion),
}

impl Response {
    /// The verdict that the caller read.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Cut => None,
            Self::Completion(Completion::Answer(_)) => Some(Verdict::Ran),
            Self::Completion(Completion::Refused(refusal)) => Some(refusal.verdict),
        }
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) subject: usize,
    pub(crate) response: Option<Response>,
}

/// Record of the truth, with the checks that span processes.
#[derive(Debug, Default)]
pub(crate) struct Truth {
    pub(crate) subjects: Vec<Subject>,
    pub(crate) submissions: Vec<Submission>,
    /// Largest epoch under which an attempt was handed out, by partition.
    epochs: BTreeMap<u32, u64>,
    /// Configuration revision in force, by process and its life.
    revisions: BTreeMap<(Node, u64), u64>,
    agreed: BTreeMap<Key, Agreed>,
    /// Subjects of the checkpoints and the work that was done until each, in microseconds.
    saved: BTreeMap<Checkpoint, (usize, u64)>,
    trace: Option<VecDeque<String>>,
}

impl Truth {
    /// Keeps the last lines of what happens.
    pub(crate) fn record(&mut self) {
        self.trace = Some(VecDeque::new());
    }

    /// Adds a line to the trace; the text is only made when a trace is kept.
    pub(crate) fn note(&mut self, now: u64, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            if trace.len() == TRACE {
                trace.pop_front();
            }
            trace.push_back(format!("{:>10.3} ms  {}", now as f64 / 1_000.0, text()));
        }
    }

    /// The lines of the trace.
    pub(crate) fn lines(&self) -> impl Iterator<Item = &String> {
        self.trace.iter().flatten()
    }

    /// Body of the request for a subject.
    pub(crate) fn body(subject: usize) -> String {
        format!("subject {subject}")
    }

    /// Subject of a body.
    pub(crate) fn subject(body: &[u8]) -> usize {
        let text = std::str::from_utf8(body).unwrap_or_default();
        let number = text.strip_prefix("subject ").and_then(|number| number.parse().ok());
        invariant!(number.is_some(), "a runner got the body {text:?} that no caller sent");
        number.unwrap_or_default()
    }

    /// Notes that an execution started; `left` is when its agent began to leave.
    pub(crate) fn start(&mut self, now: u64, subject: usize, runner: usize, left: Option<u64>) {
        let name = Self::body(subject);
        if let Some(left) = left {
            invariant!(now <= left + LEAVING, "{name} started at an agent that left at {left}");
        }
        let open = self.subjects[subject].runs.iter().find(|run| run.until.is_none());
        if let Some(Ran { runner: other, from, .. }) = open {
            invariant!(false, "{name} runs at runner {other} since {from} and at runner {runner}");
        }
        let Subject { class, runs, shared, .. } = &self.subjects[subject];
        let again = *class == Class::Once && !runs.is_empty();
        invariant!(!again, "{name} of class once runs again");
        // An execution needs a request that was not refused with the verdict that it did not run.
        let wanted = self.submissions.iter().any(|submission| {
            let verdict = submission.response.as_ref().and_then(Response::verdict);
            submission.subject == subject && verdict != Some(Verdict::NotRun)
        });
        invariant!(wanted || *shared, "{name} runs although every caller was told not-run");
        let (resumed, evicted) = (None, None);
        let run = Ran { runner, from: now, until: None, whole: false, resumed, evicted };
        self.subjects[subject].runs.push(run);
    }

    /// Notes what the log decided on a claim.
    pub(crate) fn agree(&mut self, key: &Key, action: &Action, reply: &Reply) {
        let agreed = self.agreed.entry(key.clone()).or_default();
        let current = agreed.grant.map(|(fence, _)| fence);
        match (action, reply) {
            (Action::Attempt { .. }, Reply::Granted { fence, resume }) => {
                let from = resume.as_ref().map(|resume| &resume.checkpoint);
                invariant!(current.is_none(), "{key} is granted again beside fence {current:?}");
                invariant!(from == agreed.checkpoint.as_ref(), "{key} is granted from {from:?}");
                agreed.grant = Some((*fence, false));
            },
            (Action::Evict { fence, checkpoint }, Reply::Done) if current == Some(*fence) => {
                (agreed.grant, agreed.checkpoint) = (None, Some(checkpoint.clone()));
            },
            (Action::Release { fence }, Reply::Done) if current == Some(*fence) => {
                agreed.grant = None;
            },
            _ => {},
        }
    }

    /// Checks that the log permits the execution of batch work that starts: each grant permits
    /// one, from the newest checkpoint.
    pub(crate) fn permit(
        &mut self,
        subject: usize,
        key: &Key,
        fence: u64,
        from: Option<&Checkpoint>,
    ) {
        if self.subjects[subject].class != Class::Batch {
            return;
        }
        let Agreed { grant, checkpoint } = self.agreed.entry(key.clone()).or_default();
        invariant!(
            *grant == Some((fence, false)),
            "{key} starts from {from:?} under fence {fence}, but the log permits {grant:?}"
        );
        invariant!(
            checkpoint.as_ref() == from,
            "{key} starts from {from:?}, but the newest checkpoint is {checkpoint:?}"
        );
        *grant = Some((fence, true));
    }

    /// Notes the checkpoint with which the open execution of a subject is evicted.
    pub(crate) fn save(&mut self, checkpoint: Checkpoint, subject: usize, progress: u64) {
        let open = self.subjects[subject].runs.iter_mut().find(|run| run.until.is_none());
        if let Some(run) = open {
            run.evicted = Some(checkpoint.clone());
        }
        self.saved.insert(checkpoint, (subject, progress));
    }

    /// Notes that the execution that just started goes on from a checkpoint, and gives the work
    /// that was done until then.
    pub(crate) fn resume(&mut self, subject: usize, checkpoint: &Checkpoint) -> u64 {
        let saved = self.saved.get(checkpoint).copied();
        let own = saved.filter(|(of, _)| *of == subject);
        invariant!(own.is_some(), "subject {subject} resumes from {checkpoint:?} of {saved:?}");
        if let Some(run) = self.subjects[subject].runs.last_mut() {
            run.resumed = Some(checkpoint.clone());
        }
        own.map_or(0, |(_, progress)| progress.min(self.subjects[subject].work))
    }

    /// Notes that the open execution of a subject ended.
    pub(crate) fn end(&mut self, now: u64, subject: usize, whole: bool) {
        let open = self.subjects[subject].runs.iter_mut().find(|run| run.until.is_none());
        if let Some(run) = open {
            (run.until, run.whole) = (Some(now), whole);
        }
    }

    /// Notes what a caller got.
    pub(crate) fn respond(&mut self, submission: usize, key: Option<Key>, response: Response) {
        let Submission { subject, response: before, .. } = &mut self.submissions[submission];
        invariant!(before.is_none(), "caller {submission} got two responses");
        let subject = *subject;
        let name = Self::body(subject);
        let runs = &self.subjects[subject].runs;
        if let Response::Completion(Completion::Answer(answer)) = &response {
            let own = answer.body == format!("done {name}");
            invariant!(own, "caller {submission} of {name} got the answer {:?}", answer.body);
        }
        let shared = self.subjects[subject].shared;
        if response.verdict() == Some(Verdict::NotRun) && !runs.is_empty() && !shared {
            // Another request for the same key may be what ran.
            let other = self.submissions.iter().enumerate().any(|(index, other)| {
                let verdict = other.response.as_ref().and_then(Response::verdict);
                index != submission && other.subject == subject && verdict != Some(Verdict::NotRun)
            });
            invariant!(other, "caller {submission} of {name} is told not-run, but it ran");
        }
        if response.verdict() == Some(Verdict::Ran) {
            invariant!(runs.iter().any(|run| run.whole), "{name} is said to have run");
        }
        self.submissions[submission].response = Some(response);
        let known = &mut self.subjects[subject].key;
        *known = known.take().or(key);
    }

    /// Notes that an entry handed out an attempt in a partition.
    pub(crate) fn dispatch(&mut self, partition: u32, epoch: u64) {
        let newest = self.epochs.entry(partition).or_default();
        invariant!(
            epoch >= *newest,
            "the owner of partition {partition} under epoch {epoch} starts work after epoch {newest}"
        );
        *newest = epoch;
    }

    #[cfg(test)]
    /// Configuration revision in force at a process, zero when there is none.
    pub(crate) fn revision(&self, node: Node, life: u64) -> u64 {
        self.revisions.get(&(node, life)).copied().unwrap_or_default()
    }

    /// Notes the configuration revision that is in force at a process.
    pub(crate) fn revise(&mut self, node: Node, life: u64, revision: u64) {
        let before = self.revisions.entry((node, life)).or_default();
        invariant!(revision >= *before, "revision {revision} follows {before} at {node:?}");
        *before = revision;
    }
}
