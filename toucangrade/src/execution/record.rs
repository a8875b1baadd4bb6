//! State of one key: its request, the phase of its current attempt and the callers that wait.

use serde::Serialize;

use super::message::{Completion, Request, Waiter};
use crate::claims::{Outcome, Resume};
use crate::core::{Checkpoint, Class, Moment, Name, Refusal, Span, Verdict};
use crate::history::{Course, Event};
use crate::routing::{Agents, Target};

/// An attempt that was sent to an agent.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Dispatched {
    pub(crate) target: Target,
    pub(crate) fence: u64,
    /// Moment when the attempt must have ended, even if its agent is lost.
    pub(crate) end: Moment,
}

/// Phase of a request.
#[derive(Debug, Serialize)]
pub(crate) enum Phase {
    /// The outcome of an attempt is unknown; the agent is queried at `next`, with backoff `wait`.
    Asking { dispatched: Dispatched, next: Moment, wait: Span, pending: bool },
    /// A claim that permits an attempt at the target is requested from control.
    Claiming { target: Target },
    /// The checkpoint of an evicted attempt is being stored in the log.
    Evicting { fence: u64, checkpoint: Checkpoint },
    /// The claim is being read from the log before the caller is refused.
    #[serde(rename = "Looking")]
    ReadingClaim { refusal: Refusal },
    /// Routing is choosing an agent.
    Picking,
    /// The claim on an attempt that did not run or was lost is being released.
    Releasing { fence: u64, refusal: Refusal, after: Option<Span> },
    /// The attempt was sent to its agent, whose report is awaited.
    Running { dispatched: Dispatched },
    /// The outcome is final.
    Settled(Completion),
    /// The outcome is being stored in the log.
    Settling { fence: u64, outcome: Outcome, completion: Completion },
    /// The next attempt starts at `until`.
    Waiting { until: Moment },
}

/// State of one key.
#[derive(Debug, Serialize)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) class: Class,
    /// Maximum run time of an attempt.
    pub(crate) lease: Span,
    /// Epoch of the partition under which the attempts are made.
    pub(crate) epoch: u64,
    /// Number of the current attempt. It is unique within this entry, so that late messages about
    /// earlier attempts or records of the same key are ignored.
    pub(crate) attempt: u32,
    /// Attempts that count against the retry limit.
    pub(crate) tries: u32,
    /// Agents that are not to be chosen for the next attempt.
    pub(crate) exclude: Agents,
    pub(crate) phase: Phase,
    /// Waiters with their deadlines.
    pub(crate) waiters: Vec<(Waiter, Moment)>,
    /// When the command on the claim is sent again if no reply came.
    pub(crate) resend: Moment,
    /// Whether the claim in the log is known, or the key was generated here and so has none. If
    /// not, an earlier owner may have made an attempt.
    #[serde(rename = "looked")]
    pub(crate) claim_known: bool,
    /// Whether an earlier attempt may have run without a known outcome.
    #[serde(rename = "doubtful")]
    pub(crate) maybe_ran: bool,
    /// Whether a caller's timeout passed before the outcome was known.
    pub(crate) late: bool,
    /// Newest checkpoint and number of evictions, as known to this entry.
    pub(crate) resume: Option<Resume>,
    /// Until when an evicted request is retried although its retries are used up.
    #[serde(rename = "hold")]
    pub(crate) retry_until: Moment,
    /// Why the last attempt did not run.
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
            claim_known: false,
            maybe_ran: false,
            late: false,
            resume: None,
            retry_until: Moment::START,
            refusal: None,
            events: Vec::new(),
        }
    }

    /// Whether `other` has the same service, kind and body, so that it is this request resent.
    pub(crate) fn matches_request(&self, other: &Request) -> bool {
        let Request { service, kind, digest, .. } = &self.request;
        (service, kind, digest) == (&other.service, &other.kind, &other.digest)
    }

    /// Adds a step for the history.
    pub(crate) fn note(&mut self, now: Moment, by: &Name, text: String) {
        self.events.push(super::event(now, by, text));
    }

    /// Result of the request, for the history.
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
    pub(crate) fn needs_claim(&self) -> bool {
        self.class != Class::Quick
    }

    /// Latest deadline of the waiters.
    pub(crate) fn deadline(&self) -> Moment {
        self.waiters.iter().map(|(_, deadline)| *deadline).max().unwrap_or(Moment::START)
    }
}
