//! Requests and replies between the processes of the system, and their encoding in MessagePack.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::admission::{AgentReply, AttemptQuery, Start};
use crate::agreement;
use crate::claims;
use crate::core::{Key, Name, Span};
use crate::dispatch::{ClientReply, ClientRequest, Orders, Report};
use crate::execution::{Completion, ForwardRoute};
use crate::history::{Event, Held, Item};
use crate::http::{CallError, Response};
use crate::limits::Admitted;
use crate::membership::{Beat, Beaten, Poll, View};
use crate::scheduling::{Order, Work};

/// HTTP path of the endpoint that takes all requests.
pub(crate) const PATH: &str = "/peer";

/// A request from one process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Request {
    /// A message of the replicated log, from one control instance to another.
    Agree(agreement::PeerMessage),
    /// A request of a caller or operator about jobs or their configuration.
    Ask(Box<ClientRequest>),
    /// Heartbeat of an agent, to a control instance.
    Beat(Beat),
    /// A command on a claim, from an entry to a control instance.
    Claim(claims::Command),
    /// Asks an entry or a control instance for the recorded steps of a request.
    Explain(Key),
    /// Asks a control instance for the current leader and members.
    Find,
    /// Forwards a request to the entry that owns its key, with the time that its caller still
    /// waits.
    Forward { admitted: Box<Admitted>, remaining: Span, hop: ForwardRoute },
    /// Asks a control instance for its name and the identity of its data directory.
    Identify,
    /// Asks for membership of an instance in the control group.
    Join(agreement::Replica),
    /// Announces to the leader that a control instance stops.
    Leave(agreement::Replica),
    /// Asks a control instance for durable items that the sender lacks, given those it holds.
    Missing(Vec<Held>),
    /// An operator's request, forwarded from a control instance to the leader.
    Operate(Box<Operation>),
    /// Asks control for the open claims of partitions that the entry owns, beginning after the
    /// given partition and key.
    Open { partitions: Vec<u32>, after: Option<(u32, Key)> },
    /// Poll of an entry for the current view, to a control instance.
    Poll(Poll),
    /// Asks an agent for the outcome of an attempt, or with `None` only for its clock and load.
    Query(Option<AttemptQuery>),
    /// Report of an agent on the tasks of its runner, to the leader.
    Report(Box<Report>),
    /// Starts an attempt at an agent.
    Start(Box<Start>),
    /// Heartbeat of an agent about its worker, to a control instance.
    Work(Box<Work>),
    /// Durable outcomes and summaries of an entry, for storage at a control instance.
    Store(Vec<Item>),
}

/// Reply to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    /// The message of the replicated log was received; any answer is a separate request.
    Agreed,
    /// Answer to `Beat`.
    Beaten(Beaten),
    Claimed(claims::Reply),
    Explained(Vec<Event>),
    /// Answer to `Find`.
    Found {
        leader: Option<Name>,
        members: Vec<Name>,
    },
    Identity(agreement::Replica),
    /// Durable items, up to the limit of one message.
    Items(Vec<Item>),
    Open(Vec<(Key, claims::Claim)>),
    /// The process can't answer: it has another role, is not the leader, or is overloaded. The
    /// request had no effect, except that a command on a claim may still be committed.
    Refused {
        reason: String,
        leader: Option<Name>,
    },
    Operated(Box<OperationResponse>),
    Ordered(Box<Orders>),
    Orders(Vec<Order>),
    Reported(AgentReply),
    /// The items of `Store` are durable at this control instance.
    Stored,
    /// Answer to `Ask`.
    Told(ClientReply),
    Completion(Completion),
    Viewed(Box<View>),
}

impl Reply {
    /// Returns an agent's answer about an attempt.
    ///
    /// # Errors
    ///
    /// [`CallError::Shed`] if the agent refused the message, [`CallError::Lost`] for a reply of
    /// another kind.
    pub(crate) fn reported(self) -> Result<AgentReply, CallError> {
        match self {
            Self::Reported(reported) => Ok(reported),
            Self::Refused { .. } => Err(CallError::Shed),
            _ => Err(CallError::Lost),
        }
    }
}

/// An operator's HTTP request, as one control instance forwards it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Operation {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

/// The response to a forwarded operator's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OperationResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

/// Encodes a message.
///
/// # Panics
///
/// Panics if the message can't be encoded, which is a bug: all message types are serialisable.
pub(crate) fn encode<T: Serialize>(message: &T) -> Bytes {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => panic!("a message can't be encoded: {error}"),
    }
}

/// Decodes the reply to a call.
///
/// # Errors
///
/// The error of the call, or [`CallError::Lost`] if the response can't be decoded.
pub(crate) fn reply(result: Result<Response, CallError>) -> Result<Reply, CallError> {
    // A response that can't be decoded does not tell whether the receiver carried the request out.
    result.and_then(|response| decode(&response.body).ok_or(CallError::Lost))
}

/// Decodes a message; returns `None` if the bytes are invalid.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
