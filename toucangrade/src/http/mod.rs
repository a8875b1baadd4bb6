//! HTTP server and client: the server passes requests to a handler closure, the client runs on a
//! thread of its own.

mod body;
mod budget;
mod client;
mod intake;
mod ledger;
mod limits;
mod parts;
mod replies;
mod server;
mod shape;

#[cfg(test)]
pub(crate) mod tests;

pub use self::budget::Budget;
pub use self::client::{CallError, Client, Exchange, Response};
pub use self::ledger::Tier;
pub use self::limits::{LimitError, Limits, LimitsBuilder};
pub use self::parts::Parts;
pub(crate) use self::replies::Replies;
pub use self::server::{
    Handler, Head, Inbound, Outbound, Payload, Screen, Server, ServerBuilder, segments,
};
pub use self::shape::{TooManyValues, check_values};

/// Largest body of a request or response, in bytes.
pub(crate) const BODY_LIMIT: usize = 8 * 1024 * 1024;
