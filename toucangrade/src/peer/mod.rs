//! Messages between the processes and their encoding.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::admission::{Question, Reported, Start};
use crate::claims;
use crate::core::{Key, Name, Span};
use crate::execution::Told;
use crate::history::{Event, Held, Item};
use crate::limits::Admitted;
use crate::membership::{Beat, Beaten, Poll, View};

/// Path of the endpoint that takes all of these.
pub(crate) const PATH: &str = "/peer";

/// Request from one process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Request {
    /// An agent's heartbeat, to control.
    Beat(Beat),
    /// A command on a claim, from an entry to control.
    Claim(claims::Command),
    /// A question for the steps of a request, to an entry or a control instance.
    Explain(Key),
    /// A request whose key the other entry owns, and how long its caller still waits.
    Forward { admitted: Box<Admitted>, patience: Span },
    /// A question for durable items that the asking control instance lacks.
    Missing(Vec<Held>),
    /// An entry's poll, to control.
    Poll(Poll),
    /// A question for the outcome of an attempt, or only for clock and load, to an agent.
    Query(Option<Question>),
    /// Start of an attempt, to an agent.
    Start(Box<Start>),
    /// Durable outcomes and summaries, from an entry to control.
    Store(Vec<Item>),
}

/// Reply to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    Beaten(Beaten),
    Claimed(claims::Reply),
    Explained(Vec<Event>),
    /// Durable items, as many as one message may carry.
    Items(Vec<Item>),
    /// The process can't answer: it has another role, doesn't lead, or is overloaded. Nothing was
    /// done, except that a command on a claim may still be agreed.
    Refused {
        reason: String,
        leader: Option<Name>,
    },
    Reported(Reported),
    /// The items are durable at this control instance.
    Stored,
    Told(Told),
    Viewed(Box<View>),
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

/// Decodes a message; `None` when it is none.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
