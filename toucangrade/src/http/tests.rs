//! Tests of the HTTP edges over loopback.

use std::net::TcpListener;
use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;

use super::*;
use crate::core::{Span, Verdict};

struct Case {
    path: &'static str,
    size: usize,
    status: u16,
    length: usize,
}

/// Guards against bodies that are cut short, mixed up or accepted beyond the limit.
#[rstest]
#[case::small(Case { path: "/echo", size: 5, status: 200, length: 5 })]
#[case::empty(Case { path: "/echo", size: 0, status: 200, length: 0 })]
#[case::large(Case { path: "/echo", size: BODY_LIMIT, status: 200, length: BODY_LIMIT })]
#[case::too_large(Case { path: "/echo", size: BODY_LIMIT + 1, status: 413, length: 0 })]
#[case::stream(Case { path: "/stream", size: 0, status: 200, length: 9 })]
fn bodies_arrive_whole(#[case] case: Case) {
    let handler: Handler = Arc::new(|call: Inbound| {
        Box::pin(async move {
            if call.path == "/echo" {
                return Outbound::new(200, call.body);
            }
            let (sender, receiver) = tokio::sync::mpsc::channel(4);
            for chunk in ["one", "two", "six"] {
                sender.send(Bytes::from(chunk)).await.unwrap();
            }
            Outbound { status: 200, headers: Vec::new(), body: Payload::Stream(receiver) }
        })
    });
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let client = Client::start().unwrap();
    let body = Bytes::from(vec![7; case.size]);
    let response =
        client.call(Exchange::post(server.addr, case.path, body, Span::secs(60))).unwrap();
    assert_eq!(response.status, case.status);
    if case.status == 200 {
        assert_eq!(response.body.len(), case.length);
    }
}

/// Guards against a verdict of not run for a request that was sent.
#[test]
fn connection_refused_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::start().unwrap();
    let error = client.call(Exchange::post(addr, "/", Bytes::new(), Span::secs(60))).unwrap_err();
    assert_eq!((error, error.verdict()), (CallError::Connect, Verdict::NotRun));
}
