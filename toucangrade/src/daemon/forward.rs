//! Hands operators' requests to the control instance that leads.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use rand::Rng;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::control::Control;
use super::link::Link;
use crate::core::Span;
use crate::http::{Handler, Inbound, Outbound, Payload};
use crate::peer::{Operation, OperationResponse, Reply, Request};

/// Tries to find a leader; an election takes 2 s at most.
const TRIES: u32 = 30;
/// Wait between two tries.
const TRY_WAIT: Duration = Duration::from_millis(100);
/// Time that the leader's response may take.
const TIMEOUT: Span = Span::millis(5_000);
/// Paths that every instance answers from its own state.
const LOCAL: [&str; 2] = ["/dump", "/v1/watch"];

/// Wraps the handler of the operator port so that writes and reads reach the leader.
pub(crate) fn handler(control: Control, link: Link, local: Handler) -> Handler {
    Arc::new(move |mut call| {
        let (control, link, local) = (control.clone(), link.clone(), Arc::clone(&local));
        Box::pin(async move {
            if LOCAL.contains(&call.path.as_str()) {
                return local(call).await;
            }
            // With a key, a write that is handed on twice takes effect once.
            if call.method != Method::GET && !call.headers.contains_key("idempotency-key") {
                let key = format!("{:032x}", rand::rng().random::<u128>());
                if let Ok(value) = HeaderValue::from_str(&key) {
                    call.headers.insert("idempotency-key", value);
                }
            }
            let operation = operation(&call);
            for _ in 0..TRIES {
                let outbound = if control.leads() {
                    Some(local(inbound(operation.clone())).await)
                } else {
                    remote(&link, operation.clone()).await
                };
                match outbound {
                    Some(outbound) if outbound.status != StatusCode::SERVICE_UNAVAILABLE => {
                        return outbound;
                    },
                    _ => sleep(TRY_WAIT).await,
                }
            }
            let reason = "no control instance leads; a write may or may not be in force";
            Outbound::json(503, &json!({ "error": "unavailable", "reason": reason }))
                .with_text("retry-after", "1")
        })
    })
}

/// Answers a request that another instance handed on.
pub(crate) async fn answer(control: &Control, local: &Handler, operation: Operation) -> Reply {
    if !control.leads() {
        return control.refuse();
    }
    let Outbound { status, headers, body } = local(inbound(operation)).await;
    let Payload::Whole(body) = body else { return control.refuse() };
    let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
    let headers = headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect();
    Reply::Operated(Box::new(OperationResponse { status, headers, body }))
}

async fn remote(link: &Link, operation: Operation) -> Option<Outbound> {
    let (sender, receiver) = oneshot::channel();
    link.control(&Request::Operate(Box::new(operation)), TIMEOUT, move |reply| {
        drop(sender.send(reply));
    });
    let Ok(Some(Reply::Operated(operated))) = receiver.await else { return None };
    let OperationResponse { status, headers, body } = *operated;
    Some(Outbound { status, headers: pairs(headers), body: Payload::Whole(body) })
}

fn operation(call: &Inbound) -> Operation {
    let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
    Operation {
        method: call.method.to_string(),
        path: call.path.clone(),
        query: call.query.clone(),
        headers: call.headers.iter().map(|(n, v)| (n.to_string(), text(v))).collect(),
        body: Bytes::clone(&call.body),
    }
}

fn inbound(operation: Operation) -> Inbound {
    let Operation { method, path, query, headers, body } = operation;
    let method = method.parse().unwrap_or(Method::GET);
    let headers: HeaderMap = pairs(headers).into_iter().collect();
    Inbound { method, path, query, headers, body }
}

fn pairs(headers: Vec<(String, String)>) -> Vec<(HeaderName, HeaderValue)> {
    let pair = |(name, value): (String, String)| Some((name.parse().ok()?, value.parse().ok()?));
    headers.into_iter().filter_map(pair).collect()
}
