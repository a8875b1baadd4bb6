//! Messages of the execution duty.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::admission::{Question, Report, Start};
use crate::claims;
use crate::core::{Answer, Class, Key, Moment, Name, Refusal, Span};
use crate::history::{Course, Event};
use crate::http::CallError;
use crate::limits::Admitted;
use crate::membership::Owned;
use crate::routing::{Candidate, Pick, Target};

/// Who waits for the outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Waiter {
    /// A caller at this entry.
    Caller { ticket: u64 },
    /// Another entry that forwarded the request.
    Entry { ticket: u64 },
    /// A caller at this entry whose request its limits refused.
    Refused { ticket: u64 },
}

/// Way of a forwarded request, by incarnations, so that a copy that arrives again is told apart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Hop {
    /// The entry that forwards.
    pub(crate) origin: u64,
    /// The entry that is meant.
    pub(crate) owner: u64,
}

/// What a waiter is told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Completion {
    /// The whole answer of the runner.
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
    /// Control answered a claim, or could not be reached.
    Claimed { key: Key, attempt: u32, reply: Option<claims::Reply> },
    /// This entry's limits refuse a request that may have been sent before.
    Deny { waiter: Waiter, key: Key, class: Class, refusal: Refusal },
    /// The other entry answered a forwarded request, or did not.
    Forwarded { key: Key, ticket: u64, completion: Result<Completion, CallError> },
    /// Control listed open claims of partitions that this entry asked about.
    Open { claims: Vec<(Key, claims::Claim)> },
    /// Another entry forwarded a request whose key belongs to this one.
    Owned { ticket: u64, admitted: Admitted, hop: Hop },
    /// An agent reported on an attempt, or the report was lost.
    Outcome { key: Key, attempt: u32, report: Result<Report, CallError> },
    /// Owners of partitions; those of this entry may be used until `until`.
    Owners { owners: BTreeMap<u32, Owned>, until: Moment, surplus: Vec<u32> },
    /// Time passed.
    Tick,
    /// No agent can take the attempt now.
    Unplaced { key: Key, attempt: u32, candidates: Vec<Candidate> },
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Tells a waiter.
    Answer { waiter: Waiter, key: Key, completion: Completion },
    /// Asks an agent for the outcome of an attempt.
    Ask { attempt: u32, addr: SocketAddr, question: Question },
    /// Sends a command on a claim to control.
    Claim { attempt: u32, command: claims::Command },
    /// Hands an attempt to an agent.
    Call { attempt: u32, target: Target, start: Start },
    /// Forwards a request to the entry that owns its key.
    Forward { addr: SocketAddr, ticket: u64, remaining: Span, admitted: Admitted, hop: Hop },
    /// Asks control for open claims of partitions, after the given partition and key.
    Open { partitions: Vec<u32>, after: Option<(u32, Key)> },
    /// Asks routing for an agent.
    Pick(Pick),
    /// Hands the steps of a request and how it came out to the history.
    Record { key: Key, course: Option<Course>, events: Vec<Event> },
    /// The agent that routing chose gets nothing.
    Unused { agent: Name },
    /// Partitions of which no attempt is left, with their epochs.
    Released(Vec<(u32, u64)>),
}

/// Identity of a request: what the key was first used for.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Request {
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) digest: String,
    #[serde(skip)]
    pub(crate) body: Bytes,
}
