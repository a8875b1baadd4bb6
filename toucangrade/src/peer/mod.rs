//! Messages between the processes and their encoding.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::admission::{Question, Reported, Start};
use crate::agreement;
use crate::claims;
use crate::core::{Key, Name, Span};
use crate::dispatch::{Ask, Orders, Report, Told};
use crate::execution::{Completion, Hop};
use crate::history::{Event, Held, Item};
use crate::http::{CallError, Response};
use crate::limits::Admitted;
use crate::membership::{Beat, Beaten, Poll, View};
use crate::scheduling::{Order, Work};

/// Path of the endpoint that takes all of these.
pub(crate) const PATH: &str = "/peer";

/// Request from one process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Request {
    /// A message of the replicated log, from one control instance to another.
    Agree(agreement::PeerMessage),
    /// A request of a caller or operator about jobs or their configuration.
    Ask(Box<Ask>),
    /// An agent's heartbeat, to control.
    Beat(Beat),
    /// A command on a claim, from an entry to control.
    Claim(claims::Command),
    /// A question for the steps of a request, to an entry or a control instance.
    Explain(Key),
    /// A request whose key the other entry owns, and how long its caller still waits.
    /// Which control instance leads, and which are members.
    Find,
    Forward {
        admitted: Box<Admitted>,
        remaining: Span,
        hop: Hop,
    },
    /// A question for the name and identity of a control instance's data directory.
    Identify,
    /// A question for durable items that the asking control instance lacks.
    /// An instance asks to become a member of the control group.
    Join(agreement::Replica),
    Missing(Vec<Held>),
    /// An operator's request, from a control instance to the leader.
    Operate(Box<Operation>),
    /// A question for the open claims of partitions that the entry owns, to control, after the
    /// given partition and key.
    Open {
        partitions: Vec<u32>,
        after: Option<(u32, Key)>,
    },
    /// An entry's poll, to control.
    Poll(Poll),
    /// A question for the outcome of an attempt, or only for clock and load, to an agent.
    Query(Option<Question>),
    /// An agent reports on its runner's tasks.
    Report(Box<Report>),
    /// Start of an attempt, to an agent.
    Start(Box<Start>),
    /// An agent's heartbeat about its worker, to control.
    Work(Box<Work>),
    /// Durable outcomes and summaries, from an entry to control.
    Store(Vec<Item>),
}

/// Reply to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    /// The message was taken; an answer comes as a message of its own.
    Agreed,
    Beaten(Beaten),
    Claimed(claims::Reply),
    Explained(Vec<Event>),
    /// Answer to `Find`.
    Found {
        leader: Option<Name>,
        members: Vec<Name>,
    },
    Identity(agreement::Replica),
    /// Durable items, as many as one message may carry.
    Items(Vec<Item>),
    Open(Vec<(Key, claims::Claim)>),
    /// The process can't answer: it has another role, doesn't lead, or is overloaded. Nothing was
    /// done, except that a command on a claim may still be agreed.
    Refused {
        reason: String,
        leader: Option<Name>,
    },
    Operated(Box<Operated>),
    Ordered(Box<Orders>),
    Orders(Vec<Order>),
    Reported(Reported),
    /// The items are durable at this control instance.
    Stored,
    /// Answer to `Ask`.
    Told(Told),
    Completion(Completion),
    Viewed(Box<View>),
}

impl Reply {
    /// What an agent said of an attempt.
    ///
    /// # Errors
    ///
    /// [`CallError::Shed`] when the agent refused the message, [`CallError::Lost`] for a reply of
    /// another kind.
    pub(crate) fn reported(self) -> Result<Reported, CallError> {
        match self {
            Self::Reported(reported) => Ok(reported),
            Self::Refused { .. } => Err(CallError::Shed),
            _ => Err(CallError::Lost),
        }
    }
}

/// An operator's request as one control instance hands it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Operation {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

/// The response to an operator's request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Operated {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

/// Encodes a message.
///
/// Every message type serialises, so a failure is an error of this program.
pub(crate) fn encode<T: Serialize>(message: &T) -> Bytes {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => panic!("a message can't be encoded: {error}"),
    }
}

/// Reads the reply to a call.
///
/// # Errors
///
/// The error of the call, or [`CallError::Lost`] when the response is not a reply.
pub(crate) fn reply(result: Result<Response, CallError>) -> Result<Reply, CallError> {
    // A response that can't be read says nothing about what the receiver did.
    result.and_then(|response| decode(&response.body).ok_or(CallError::Lost))
}

/// Decodes a message; `None` when it is none.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
