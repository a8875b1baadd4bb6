//! What is known about one key.

use serde::Serialize;

use super::message::{Completion, Request, Waiter};
use crate::claims::{Outcome, Resume};
use crate::core::{Checkpoint, Class, Moment, Name, Refusal, Span, Verdict};
use crate::history::{Course, Event};
use crate::routing::{Agents, Target};

/// An attempt that was handed to an agent.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Dispatched {
    pub(crate) target: Target,
    pub(crate) fence: u64,
    /// Moment when the attempt must have ended, whatever became of the agent.
    pub(crate) end: Moment,
}

/// Where a request stands.
#[derive(Debug, Serialize)]
pub(crate) enum Phase {
    /// The outcome of an attempt is not known; the agent is asked at `next`.
    Asking { dispatched: Dispatched, next: Moment, wait: Span, pending: bool },
    /// Control is asked for leave to run an attempt at the target.
    Claiming { target: Target },
    /// Control is told that an attempt was evicted with a checkpoint.
    Evicting { fence: u64, checkpoint: Checkpoint },
    /// Control is asked what stands before the caller is refused.
    Looking { refusal: Refusal },
    /// Routing is asked for an agent.
    Picking,
    /// Control is told that an attempt did not run.
    Releasing { fence: u64, refusal: Refusal, after: Option<Span> },
    /// An agent has the attempt.
    Running { dispatched: Dispatched },
    /// The outcome is final.
    Settled(Completion),
    /// Control is told the outcome.
    Settling { fence: u64, outcome: Outcome, completion: Completion },
    /// The next attempt starts at `until`.
    Waiting { until: Moment },
}

/// State of one key.
#[derive(Debug, Serialize)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) class: Class,
    /// Longest time that an execution may take.
    pub(crate) lease: Span,
    /// Epoch of the partition under which attempts are made.
    pub(crate) epoch: u64,
    /// Number of the attempt, which this entry uses for no other attempt, so that a late message
    /// about an earlier record of the same key is told apart.
    pub(crate) attempt: u32,
    /// Attempts that were made for this request.
    pub(crate) tries: u32,
    pub(crate) exclude: Agents,
    pub(crate) phase: Phase,
    /// Who waits, and until when.
    pub(crate) waiters: Vec<(Waiter, Moment)>,
    /// When a command on the claim is sent again for lack of a reply.
    pub(crate) resend: Moment,
    /// Whether control confirmed that no earlier owner made an attempt.
    pub(crate) looked: bool,
    /// Whether an earlier attempt may have run although its outcome is lost.
    pub(crate) doubtful: bool,
    /// Whether a caller's timeout passed before the outcome was known.
    pub(crate) late: bool,
    /// Checkpoint and evictions as far as this owner knows them.
    pub(crate) resume: Option<Resume>,
    /// Until when an evicted request waits for an agent although its retries are used up.
    pub(crate) hold: Moment,
    /// Last reason for which an attempt did not run.
    pub(crate) refusal: Option<Refusal>,
    #[serde(skip)]
    pub(crate) events: Vec<Event>,
}

impl Record {
    pub(crate) fn new(request: Request, class: Class, lease: Span, epoch: u64) -> Self {
        Self {
            request,
            class,
            lease,
            epoch,
            attempt: 0,
            tries: 0,
            exclude: Agents::new(),
            phase: Phase::Picking,
            waiters: Vec::new(),
            resend: Moment::START,
            looked: false,
            doubtful: false,
            late: false,
            resume: None,
            hold: Moment::START,
            refusal: None,
            events: Vec::new(),
        }
    }

    /// Whether `other` is the same request sent again.
    pub(crate) fn same(&self, other: &Request) -> bool {
        let Request { service, kind, digest, .. } = &self.request;
        (service, kind, digest) == (&other.service, &other.kind, &other.digest)
    }

    /// Notes a step for the history.
    pub(crate) fn note(&mut self, now: Moment, by: &Name, text: String) {
        self.events.push(super::event(now, by, text));
    }

    /// How the request came out, for the history.
    pub(crate) fn course(&self, completion: &Completion) -> Course {
        let (verdict, code) = match completion {
            Completion::Answer(answer) if (200..300).contains(&answer.status) => {
                (Verdict::Ran, None)
            },
            Completion::Answer(_) => (Verdict::Ran, Some("back-end-failed".to_owned())),
            Completion::Refused(refusal) => (refusal.verdict, Some(refusal.code.clone())),
        };
        let (service, kind) = (self.request.service.clone(), self.request.kind.clone());
        let evictions = self.resume.as_ref().map_or(0, |resume| resume.evictions);
        let class = Some(self.class);
        Course { service, kind, class, verdict, code, late: self.late, evictions }
    }

    /// Whether attempts need a claim in the log.
    pub(crate) fn claims(&self) -> bool {
        self.class != Class::Quick
    }

    /// End of the longest wait.
    pub(crate) fn deadline(&self) -> Moment {
        self.waiters.iter().map(|(_, deadline)| *deadline).max().unwrap_or(Moment::START)
    }
}
