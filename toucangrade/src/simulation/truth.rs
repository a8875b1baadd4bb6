//! Ground truth of a run: which request ran where and when, and which responses its callers got.
//! Checks the invariants that span several processes.

use std::collections::{BTreeMap, VecDeque};

use super::link::Node;
use crate::claims::{Action, Reply};
use crate::core::{Checkpoint, Class, Key, Verdict, invariant};
use crate::execution::Completion;

/// Time for which a draining agent may still start work that it has admitted, in microseconds.
const LEAVING_START_LIMIT: u64 = 3_000_000;
/// Maximum number of lines in the trace; older ones are dropped.
const TRACE_LINES: usize = 200;

/// An execution as observed at the runner.
#[derive(Clone, Debug)]
pub(crate) struct ExecutionRecord {
    pub(crate) runner: usize,
    pub(crate) from: u64,
    pub(crate) until: Option<u64>,
    /// Whether it ended with its answer and not by a stop, a crash or the expiry of its lease.
    pub(crate) completed: bool,
    /// Checkpoint that it resumed from, and the one that its eviction created.
    pub(crate) resumed: Option<Checkpoint>,
    pub(crate) evicted: Option<Checkpoint>,
}

/// A unit of work that callers request under one key.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    /// Index into `KINDS`.
    pub(crate) kind: usize,
    pub(crate) class: Class,
    pub(crate) key: Option<Key>,
    /// Duration of its execution, in microseconds.
    pub(crate) work: u64,
    /// Whether another subject has the same key, so that either may get the refusal of the other.
    pub(crate) shared: bool,
    pub(crate) runs: Vec<ExecutionRecord>,
}

/// Execution that the log permits for one key, tracked independently of the state machine.
#[derive(Debug, Default)]
struct Permit {
    /// Fencing token of the granted attempt, and whether its execution has started.
    grant: Option<(u64, bool)>,
    /// Checkpoint of the last eviction.
    checkpoint: Option<Checkpoint>,
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) enum Response {
    /// The connection broke because the entry exited.
    Disconnected,
    /// The response of the entry.
    Completion(Completion),
}

impl Response {
    /// Verdict in the response; none if the connection broke.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Disconnected => None,
            Self::Completion(Completion::Answer(_)) => Some(Verdict::Ran),
            Self::Completion(Completion::Refused(refusal)) => Some(refusal.verdict),
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) subject: usize,
    pub(crate) response: Option<Response>,
}

/// Record of all requests and executions, with checks that span processes.
#[derive(Debug, Default)]
pub(crate) struct Truth {
    pub(crate) subjects: Vec<Subject>,
    pub(crate) submissions: Vec<Submission>,
    /// Largest epoch under which an attempt was started, by partition.
    epochs: BTreeMap<u32, u64>,
    /// Configuration revision in force, by process and incarnation.
    revisions: BTreeMap<(Node, u64), u64>,
    permits: BTreeMap<Key, Permit>,
    /// Subject of each checkpoint and its saved progress in microseconds.
    saved: BTreeMap<Checkpoint, (usize, u64)>,
    trace: Option<VecDeque<String>>,
}

impl Truth {
    /// Enables the trace, which keeps the last `TRACE_LINES` lines.
    pub(crate) fn enable_trace(&mut self) {
        self.trace = Some(VecDeque::new());
    }

    /// Adds a line to the trace; `text` is only called if the trace is enabled.
    pub(crate) fn note(&mut self, now: u64, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            if trace.len() == TRACE_LINES {
                trace.pop_front();
            }
            trace.push_back(format!("{:>10.3} ms  {}", now as f64 / 1_000.0, text()));
        }
    }

    /// Lines of the trace, the oldest first.
    pub(crate) fn lines(&self) -> impl Iterator<Item = &String> {
        self.trace.iter().flatten()
    }

    /// Request body that identifies a subject.
    pub(crate) fn body(subject: usize) -> String {
        format!("subject {subject}")
    }

    /// Parses the subject from a request body.
    pub(crate) fn parse_subject(body: &[u8]) -> usize {
        let text = std::str::from_utf8(body).unwrap_or_default();
        let number = text.strip_prefix("subject ").and_then(|number| number.parse().ok());
        invariant!(number.is_some(), "a runner received the body {text:?}, which no caller sent");
        number.unwrap_or_default()
    }

    /// Records the start of an execution; `leaving_since` is when its agent or runner began to
    /// leave.
    pub(crate) fn record_start(
        &mut self,
        now: u64,
        subject: usize,
        runner: usize,
        leaving_since: Option<u64>,
    ) {
        let name = Self::body(subject);
        if let Some(leaving_since) = leaving_since {
            invariant!(
                now <= leaving_since + LEAVING_START_LIMIT,
                "{name} started at an agent that left at {leaving_since}"
            );
        }
        let open = self.subjects[subject].runs.iter().find(|run| run.until.is_none());
        if let Some(ExecutionRecord { runner: other, from, .. }) = open {
            invariant!(
                false,
                "{name} starts at runner {runner} while it runs at runner {other} since {from}"
            );
        }
        let Subject { class, runs, shared, .. } = &self.subjects[subject];
        let again = *class == Class::Once && !runs.is_empty();
        invariant!(!again, "{name} of class once runs again");
        // At least one request must have no response yet or a response other than not-run.
        let wanted = self.submissions.iter().any(|submission| {
            let verdict = submission.response.as_ref().and_then(Response::verdict);
            submission.subject == subject && verdict != Some(Verdict::NotRun)
        });
        invariant!(
            wanted || *shared,
            "{name} runs although the response to every caller was not-run"
        );
        let (resumed, evicted) = (None, None);
        let run =
            ExecutionRecord { runner, from: now, until: None, completed: false, resumed, evicted };
        self.subjects[subject].runs.push(run);
    }

    /// Records the result of a claim command that was committed to the log.
    pub(crate) fn record_claim(&mut self, key: &Key, action: &Action, reply: &Reply) {
        let permit = self.permits.entry(key.clone()).or_default();
        let current = permit.grant.map(|(fence, _)| fence);
        match (action, reply) {
            (Action::Attempt { .. }, Reply::Granted { fence, resume }) => {
                let from = resume.as_ref().map(|resume| &resume.checkpoint);
                invariant!(
                    current.is_none(),
                    "{key} is granted again while fence {current:?} holds the grant"
                );
                invariant!(from == permit.checkpoint.as_ref(), "{key} is granted from {from:?}");
                permit.grant = Some((*fence, false));
            },
            (Action::Evict { fence, checkpoint }, Reply::Done) if current == Some(*fence) => {
                (permit.grant, permit.checkpoint) = (None, Some(checkpoint.clone()));
            },
            (Action::Release { fence }, Reply::Done) if current == Some(*fence) => {
                permit.grant = None;
            },
            _ => {},
        }
    }

    /// Checks that the log permits a batch execution to start: each grant permits one execution,
    /// which starts from the newest checkpoint.
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
        let Permit { grant, checkpoint } = self.permits.entry(key.clone()).or_default();
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

    /// Records the checkpoint with which the running execution of a subject is evicted.
    pub(crate) fn record_eviction(
        &mut self,
        checkpoint: Checkpoint,
        subject: usize,
        progress: u64,
    ) {
        let open = self.subjects[subject].runs.iter_mut().find(|run| run.until.is_none());
        if let Some(run) = open {
            run.evicted = Some(checkpoint.clone());
        }
        self.saved.insert(checkpoint, (subject, progress));
    }

    /// Records that the execution that just started resumes from a checkpoint, and returns the
    /// progress saved in it, in microseconds.
    pub(crate) fn record_resume(&mut self, subject: usize, checkpoint: &Checkpoint) -> u64 {
        let saved = self.saved.get(checkpoint).copied();
        let own = saved.filter(|(of, _)| *of == subject);
        invariant!(own.is_some(), "subject {subject} resumes from {checkpoint:?} of {saved:?}");
        if let Some(run) = self.subjects[subject].runs.last_mut() {
            run.resumed = Some(checkpoint.clone());
        }
        own.map_or(0, |(_, progress)| progress.min(self.subjects[subject].work))
    }

    /// Records the end of the running execution of a subject.
    pub(crate) fn record_end(&mut self, now: u64, subject: usize, completed: bool) {
        let open = self.subjects[subject].runs.iter_mut().find(|run| run.until.is_none());
        if let Some(run) = open {
            (run.until, run.completed) = (Some(now), completed);
        }
    }

    /// Records the response to a caller and checks it against the executions.
    pub(crate) fn record_response(
        &mut self,
        submission: usize,
        key: Option<Key>,
        response: Response,
    ) {
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
            // The execution may belong to another request for the same key.
            let other = self.submissions.iter().enumerate().any(|(index, other)| {
                let verdict = other.response.as_ref().and_then(Response::verdict);
                index != submission && other.subject == subject && verdict != Some(Verdict::NotRun)
            });
            invariant!(other, "caller {submission} of {name} got not-run, but it ran");
        }
        if response.verdict() == Some(Verdict::Ran) {
            invariant!(
                runs.iter().any(|run| run.completed),
                "{name} got the verdict ran without a completed execution"
            );
        }
        self.submissions[submission].response = Some(response);
        let known = &mut self.subjects[subject].key;
        *known = known.take().or(key);
    }

    /// Records that an entry started an attempt in a partition, and checks that the epoch of the
    /// partition does not go back.
    pub(crate) fn record_attempt(&mut self, partition: u32, epoch: u64) {
        let newest = self.epochs.entry(partition).or_default();
        invariant!(
            epoch >= *newest,
            "the owner of partition {partition} under epoch {epoch} starts work after epoch {newest}"
        );
        *newest = epoch;
    }

    #[cfg(test)]
    /// Configuration revision in force at a process; zero if none.
    pub(crate) fn revision(&self, node: Node, incarnation: u64) -> u64 {
        self.revisions.get(&(node, incarnation)).copied().unwrap_or_default()
    }

    /// Records the configuration revision in force at a process, which must not go back.
    pub(crate) fn record_revision(&mut self, node: Node, incarnation: u64, revision: u64) {
        let before = self.revisions.entry((node, incarnation)).or_default();
        invariant!(revision >= *before, "revision {revision} follows {before} at {node:?}");
        *before = revision;
    }
}
