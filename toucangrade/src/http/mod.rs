//! HTTP server and client: the server passes requests to a handler closure, the client runs on a
//! thread of its own.

mod body;
mod client;
mod parts;
mod replies;
mod server;

#[cfg(test)]
pub(crate) mod tests;

pub use self::client::{CallError, Client, Exchange, Response};
pub use self::parts::Parts;
pub(crate) use self::replies::Replies;
pub use self::server::{Handler, Inbound, Outbound, Payload, Server};

/// Largest body of a request or response, in bytes.
pub(crate) const BODY_LIMIT: usize = 8 * 1024 * 1024;
