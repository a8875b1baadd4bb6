//! Forwards operators' requests to the leader of the control group.

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

/// Most attempts to reach a leader; an election takes 2 s at most.
const MAX_ATTEMPTS: u32 = 30;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a request to the leader.
const FORWARD_TIMEOUT: Span = Span::millis(5_000);
/// Paths that every instance answers locally.
const LOCAL_PATHS: [&str; 2] = ["/dump", "/v1/watch"];

/// Wraps the operator handler `local` so that the leader answers, except for [`LOCAL_PATHS`].
pub(crate) fn handler(control: Control, link: Link, local: Handler) -> Handler {
    Arc::new(move |mut call| {
        let (control, link, local) = (control.clone(), link.clone(), Arc::clone(&local));
        Box::pin(async move {
            if LOCAL_PATHS.contains(&call.path.as_str()) {
                return local(call).await;
            }
            // The key lets a write that is forwarded twice take effect only once.
            if call.method != Method::GET && !call.headers.contains_key("idempotency-key") {
                let key = format!("{:032x}", rand::rng().random::<u128>());
                if let Ok(value) = HeaderValue::from_str(&key) {
                    call.headers.insert("idempotency-key", value);
                }
            }
            let operation = to_operation(&call);
            for _ in 0..MAX_ATTEMPTS {
                let outbound = if control.is_leader() {
                    Some(local(to_inbound(operation.clone())).await)
                } else {
                    send_to_leader(&link, operation.clone()).await
                };
                match outbound {
                    Some(outbound) if outbound.status != StatusCode::SERVICE_UNAVAILABLE => {
                        return outbound;
                    },
                    _ => sleep(RETRY_DELAY).await,
                }
            }
            let reason = "no control instance leads; a write may or may not be in force";
            Outbound::json(503, &json!({ "error": "unavailable", "reason": reason }))
                .with_text("retry-after", "1")
        })
    })
}

/// Answers an operator's request that another instance forwarded.
pub(crate) async fn answer(control: &Control, local: &Handler, operation: Operation) -> Reply {
    if !control.is_leader() {
        return control.refuse();
    }
    let Outbound { status, headers, body } = local(to_inbound(operation)).await;
    let Payload::Whole(body) = body else { return control.refuse() };
    let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
    let headers = headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect();
    Reply::Operated(Box::new(OperationResponse { status, headers, body }))
}

async fn send_to_leader(link: &Link, operation: Operation) -> Option<Outbound> {
    let (sender, receiver) = oneshot::channel();
    link.control(&Request::Operate(Box::new(operation)), FORWARD_TIMEOUT, move |reply| {
        drop(sender.send(reply));
    });
    let Ok(Some(Reply::Operated(operated))) = receiver.await else { return None };
    let OperationResponse { status, headers, body } = *operated;
    Some(Outbound { status, headers: parse_headers(headers), body: Payload::Whole(body) })
}

fn to_operation(call: &Inbound) -> Operation {
    let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
    Operation {
        method: call.method.to_string(),
        path: call.path.clone(),
        query: call.query.clone(),
        headers: call.headers.iter().map(|(n, v)| (n.to_string(), text(v))).collect(),
        body: Bytes::clone(&call.body),
    }
}

fn to_inbound(operation: Operation) -> Inbound {
    let Operation { method, path, query, headers, body } = operation;
    let method = method.parse().unwrap_or(Method::GET);
    let headers: HeaderMap = parse_headers(headers).into_iter().collect();
    Inbound { method, path, query, headers, body }
}

fn parse_headers(headers: Vec<(String, String)>) -> Vec<(HeaderName, HeaderValue)> {
    let pair = |(name, value): (String, String)| Some((name.parse().ok()?, value.parse().ok()?));
    headers.into_iter().filter_map(pair).collect()
}
