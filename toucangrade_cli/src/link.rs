//! Requests to control instances, each tried in turn.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use rand::Rng;
use serde_json::Value;
use toucangrade::{CallError, Client, Exchange, Response, Span};

use crate::failure::Failure;

/// Time that a response may take; control answers a write within 2 s or with 503.
const TIMEOUT: Span = Span::secs(5);

/// Control instances and how to ask them.
pub(crate) struct Link {
    client: Client,
    control: Vec<SocketAddr>,
    token: Option<String>,
}

/// One request.
pub(crate) struct Request {
    method: Method,
    path: String,
    body: Bytes,
    /// Revision that the resource must have, 0 when it must not exist.
    expect: Option<u64>,
}

impl Request {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: Bytes::new(), expect: None }
    }

    pub(crate) fn write(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method, path: path.into(), body: body.into(), expect: None }
    }

    pub(crate) fn expect(self, expect: Option<u64>) -> Self {
        Self { expect, ..self }
    }
}

impl Link {
    /// Starts the client.
    pub(crate) fn new(control: &[SocketAddr], token: Option<&str>) -> Result<Self, Failure> {
        let client = Client::start().map_err(Failure::Local)?;
        Ok(Self { client, control: control.to_vec(), token: token.map(str::to_owned) })
    }

    pub(crate) fn control(&self) -> &[SocketAddr] {
        &self.control
    }

    /// Asks the control instances in turn until one answers.
    ///
    /// A write carries one idempotency key, so that a control instance that gets it again after a
    /// lost response returns the first response.
    pub(crate) fn call(&self, request: &Request) -> Result<Value, Failure> {
        let key = format!("{:032x}", rand::rng().random::<u128>());
        let mut last = None;
        for &addr in &self.control {
            let mut exchange =
                Exchange::post(addr, request.path.as_str(), request.body.clone(), TIMEOUT)
                    .method(request.method.clone());
            exchange = match request.expect {
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
                Ok(response) => return accepted(response),
                Err(error) => last = last.or(Some(Ok(error))),
            }
        }
        match last {
            Some(Err(response)) => accepted(response),
            Some(Ok(error)) => Err(self.unreachable(error)),
            None => Err(self.unreachable(CallError::Connect)),
        }
    }

    /// No control instance answered.
    pub(crate) fn unreachable(&self, error: CallError) -> Failure {
        let asked: Vec<String> = self.control.iter().map(ToString::to_string).collect();
        Failure::Unreachable { asked: asked.join(", "), error }
    }
}

fn accepted(response: Response) -> Result<Value, Failure> {
    let body = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if (200..300).contains(&response.status) {
        return Ok(body);
    }
    Err(Failure::Refused { status: response.status, body })
}
