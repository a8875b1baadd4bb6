//! HTTP client that sends a request to the control instances in turn until one answers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use rand::Rng;
use serde_json::Value;
use toucangrade::{CallError, Client, Exchange, Response, Span};

use crate::failure::Failure;

/// Maximum time for a response; control answers a write within 2 s, or with status 503.
const RESPONSE_TIMEOUT: Span = Span::secs(5);

/// Sends requests to a list of control instances.
pub(crate) struct ControlClient {
    client: Client,
    addrs: Vec<SocketAddr>,
    token: Option<String>,
}

/// A request that can be sent to any control instance.
pub(crate) struct Request {
    method: Method,
    path: String,
    body: Bytes,
    /// Revision that the resource must have; 0 if it must not exist.
    if_revision: Option<u64>,
}

impl Request {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: Bytes::new(), if_revision: None }
    }

    pub(crate) fn write(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method, path: path.into(), body: body.into(), if_revision: None }
    }

    pub(crate) fn if_revision(self, if_revision: Option<u64>) -> Self {
        Self { if_revision, ..self }
    }
}

impl ControlClient {
    /// Starts the HTTP client.
    pub(crate) fn new(addrs: &[SocketAddr], token: Option<&str>) -> Result<Self, Failure> {
        let client = Client::start().map_err(Failure::Io)?;
        Ok(Self { client, addrs: addrs.to_vec(), token: token.map(str::to_owned) })
    }

    pub(crate) fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Sends the request to the control instances in turn until one answers with another status
    /// than 503.
    ///
    /// All attempts of a write carry the same idempotency key, so that a control instance that
    /// receives it again after a lost response returns the first response.
    pub(crate) fn call(&self, request: &Request) -> Result<Value, Failure> {
        let key = format!("{:032x}", rand::rng().random::<u128>());
        let mut last = None;
        for &addr in &self.addrs {
            let mut exchange =
                Exchange::post(addr, request.path.as_str(), request.body.clone(), RESPONSE_TIMEOUT)
                    .method(request.method.clone());
            exchange = match request.if_revision {
                Some(0) => exchange.header("if-none-match", "*"),
                Some(revision) => exchange.header("if-match", &format!("\"{revision}\"")),
                None => exchange,
            };
            if request.method != Method::GET {
                exchange = exchange.header("idempotency-key", &key);
            }
            if let Some(token) = &self.token {
                exchange = exchange.header("authorization", &format!("Bearer {token}"));
            }
            match self.client.call(exchange) {
                Ok(response) if response.status == 503 => last = Some(Err(response)),
                Ok(response) => return into_result(response),
                Err(error) => last = last.or(Some(Ok(error))),
            }
        }
        match last {
            Some(Err(response)) => into_result(response),
            Some(Ok(error)) => Err(self.unreachable(error)),
            None => Err(self.unreachable(CallError::Connect)),
        }
    }

    /// The failure if no control instance answered.
    pub(crate) fn unreachable(&self, error: CallError) -> Failure {
        let addrs: Vec<String> = self.addrs.iter().map(ToString::to_string).collect();
        Failure::Unreachable { addrs: addrs.join(", "), error }
    }
}

fn into_result(response: Response) -> Result<Value, Failure> {
    let body = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if (200..300).contains(&response.status) {
        return Ok(body);
    }
    Err(Failure::Refused { status: response.status, body })
}
