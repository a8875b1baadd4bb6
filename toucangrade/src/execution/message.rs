//! Messages of the execution duty.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::admission::{AttemptQuery, Report, Start};
use crate::claims;
use crate::core::{Answer, Class, Key, Moment, Name, Refusal, Span};
use crate::history::{Course, Event};
use crate::http::CallError;
use crate::limits::Admitted;
use crate::membership::Owned;
use crate::routing::{Candidate, Pick, Target};

/// Where the outcome of a request is sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Waiter {
    /// A caller at this entry.
    Caller { ticket: u64 },
    /// Another entry that forwarded the request.
    Entry { ticket: u64 },
    /// A caller at this entry whose request was refused by the limits and not admitted.
    Refused { ticket: u64 },
}

/// Incarnations at both ends of a forwarded request, so that duplicates and requests for an earlier
/// incarnation are recognised.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ForwardRoute {
    /// Incarnation of the forwarding entry.
    pub(crate) origin: u64,
    /// Incarnation of the entry that the request is meant for.
    pub(crate) owner: u64,
}

/// Answer to a waiter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Completion {
    /// The complete answer of the runner.
    Answer(Answer),
    /// The request was refused, failed, or its outcome is not known yet.
    Refused(Refusal),
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request that this entry's limits admitted.
    Begin(Admitted),
    /// Routing chose an agent.
    Chosen { key: Key, attempt: u32, target: Target, candidates: Vec<Candidate> },
    /// Control replied to a command on a claim; `None` if it could not be reached.
    Claimed { key: Key, attempt: u32, reply: Option<claims::Reply> },
    /// This entry's limits refuse a request; an earlier copy of it may have run elsewhere.
    Deny { waiter: Waiter, key: Key, class: Class, refusal: Refusal },
    /// The owner replied to a forwarded request, or the call failed.
    ForwardReplied { key: Key, ticket: u64, completion: Result<Completion, CallError> },
    /// Control listed open claims of partitions that this entry asked about.
    OpenClaims { claims: Vec<(Key, claims::Claim)> },
    /// Another entry forwarded a request whose key this entry should own.
    ReceiveForwarded { ticket: u64, admitted: Admitted, hop: ForwardRoute },
    /// An agent reported on an attempt, or the call to it failed.
    Outcome { key: Key, attempt: u32, report: Result<Report, CallError> },
    /// Owners of partitions. This entry's lease ends at `until`; it should release `surplus`.
    Owners { owners: BTreeMap<u32, Owned>, until: Moment, surplus: Vec<u32> },
    /// Time passed.
    Tick,
    /// No agent can take the attempt now.
    NoAgent { key: Key, attempt: u32, candidates: Vec<Candidate> },
}

/// Effect returned by a step.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Answers a waiter.
    Answer { waiter: Waiter, key: Key, completion: Completion },
    /// Asks an agent for the outcome of an attempt.
    QueryAttempt { attempt: u32, addr: SocketAddr, question: AttemptQuery },
    /// Sends a command on a claim to control.
    Claim { attempt: u32, command: claims::Command },
    /// Sends an attempt to an agent.
    Call { attempt: u32, target: Target, start: Start },
    /// Forwards a request to the entry that owns its key.
    Forward {
        addr: SocketAddr,
        ticket: u64,
        remaining: Span,
        admitted: Admitted,
        hop: ForwardRoute,
    },
    /// Asks control for open claims of partitions, after the given partition and key.
    ListOpenClaims { partitions: Vec<u32>, after: Option<(u32, Key)> },
    /// Asks routing for an agent.
    Pick(Pick),
    /// Records a request's steps and result in the history.
    Record { key: Key, course: Option<Course>, events: Vec<Event> },
    /// Tells routing that the chosen agent gets no attempt.
    ReleaseAgent { agent: Name },
    /// Partitions, with their epochs, that this entry no longer needs.
    Released(Vec<(u32, u64)>),
}

/// Request for which a key was first used; a reuse must match its service, kind and digest.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Request {
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) digest: String,
    #[serde(skip)]
    pub(crate) body: Bytes,
}
