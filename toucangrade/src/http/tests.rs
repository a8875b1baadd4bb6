//! Tests of the HTTP server and client over loopback.

mod limits;
pub(crate) mod mutate;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;

use super::*;
use crate::core::{Span, Verdict};

struct Case {
    path: &'static str,
    /// Size of the request body in bytes.
    size: usize,
    status: u16,
    /// Expected size of the response body in bytes.
    length: usize,
}

/// Guards against bodies that are truncated, mixed up or accepted above the limit.
#[rstest]
#[case::small(Case { path: "/echo", size: 5, status: 200, length: 5 })]
#[case::empty(Case { path: "/echo", size: 0, status: 200, length: 0 })]
#[case::large(Case { path: "/echo", size: BODY_LIMIT, status: 200, length: BODY_LIMIT })]
#[case::too_large(Case { path: "/echo", size: BODY_LIMIT + 1, status: 413, length: 0 })]
#[case::root(Case { path: "/", size: 5, status: 200, length: 9 })]
#[case::stream(Case { path: "/stream", size: 0, status: 200, length: 9 })]
fn bodies_are_complete(#[case] case: Case) {
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

/// A refused connection must give the verdict not run, as nothing was sent.
#[test]
fn connection_refused_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // Nothing listens on the client end of a connection, and no other test can bind its port.
    let connection = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let addr = connection.local_addr().unwrap();
    let client = Client::start().unwrap();
    let error = client.call(Exchange::post(addr, "/", Bytes::new(), Span::secs(60))).unwrap_err();
    assert_eq!((error, error.verdict()), (CallError::Refused, Verdict::NotRun));
}

/// Sends a request on a raw connection and leaves the connection open.
fn send_request(addr: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    write!(stream, "POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: 0\r\n\r\n").unwrap();
    stream
}

/// Reads until the connection ends, with a `pause` after each read, and returns the length of the
/// body.
fn body_length(stream: &mut TcpStream, pause: Duration) -> usize {
    let (mut received, mut buffer) = (Vec::new(), vec![0; 256 * 1024]);
    loop {
        let count = stream.read(&mut buffer).unwrap_or(0);
        if count == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..count]);
        std::thread::sleep(pause);
    }
    let head = received.windows(4).position(|window| window == b"\r\n\r\n");
    head.map_or(0, |head| received.len() - head - 4)
}

struct StopCase {
    /// Path of the request in flight when the server is stopped, if any.
    path: Option<&'static str>,
    /// Pause of the client after each read.
    pause: Duration,
    limit: Duration,
    /// Expected length of the body that the client receives, in bytes.
    length: usize,
    /// Expected number of responses that are cut off.
    cut: usize,
}

/// Guards against a stop that waits for idle connections, and against one that cuts off a response
/// before its last byte is written to the socket.
#[rstest]
#[case::idle_connection(StopCase {
    path: None, pause: Duration::ZERO, limit: Duration::from_secs(600), length: 0, cut: 0,
})]
#[case::late_response(StopCase {
    path: Some("/late"), pause: Duration::ZERO, limit: Duration::from_secs(600), length: 5, cut: 0,
})]
#[case::large_response_to_slow_reader(StopCase {
    path: Some("/large"),
    pause: Duration::from_millis(5),
    limit: Duration::from_secs(600),
    length: BODY_LIMIT,
    cut: 0,
})]
#[case::open_ended_stream(StopCase {
    path: Some("/stream"),
    pause: Duration::ZERO,
    limit: Duration::from_secs(600),
    length: "4\r\nnews\r\n0\r\n\r\n".len(),
    cut: 0,
})]
#[case::response_never_sent(StopCase {
    path: Some("/never"), pause: Duration::ZERO, limit: Duration::from_millis(50), length: 0, cut: 1,
})]
fn stop_completes_responses(#[case] case: StopCase) {
    let (entered, handled) = std::sync::mpsc::channel();
    let release = Arc::new(tokio::sync::Semaphore::new(0));
    let released = Arc::clone(&release);
    let handler: Handler = Arc::new(move |call: Inbound| {
        let (entered, release) = (entered.clone(), Arc::clone(&release));
        Box::pin(async move {
            entered.send(()).unwrap();
            match call.path.as_str() {
                "/large" => Outbound::new(200, vec![7; BODY_LIMIT]),
                "/late" => {
                    release.acquire().await.unwrap().forget();
                    Outbound::new(200, "whole")
                },
                "/stream" => {
                    let (sender, receiver) = tokio::sync::mpsc::channel(1);
                    sender.send(Bytes::from("news")).await.unwrap();
                    // The sender is never dropped, so only the stop can end the stream.
                    std::mem::forget(sender);
                    Outbound { status: 200, headers: Vec::new(), body: Payload::Stream(receiver) }
                },
                "/never" => std::future::pending().await,
                _ => Outbound::new(200, ""),
            }
        })
    });
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let mut idle = send_request(server.addr, "/idle");
    handled.recv().unwrap();
    let mut first = [0; 1];
    idle.read_exact(&mut first).unwrap();
    let mut busy = case.path.map(|path| send_request(server.addr, path));
    if busy.is_some() {
        handled.recv().unwrap();
    }
    let (stopped, cut) = std::sync::mpsc::channel();
    let stopping = std::thread::spawn(move || stopped.send(server.stop_within(case.limit)));
    released.add_permits(1);
    let length = busy.as_mut().map_or(0, |busy| body_length(busy, case.pause));
    // Idle connections are kept for an hour, so a stop that waits for one doesn't end in this time.
    let cut =
        cut.recv_timeout(Duration::from_secs(120)).expect("the stop does not end within 120 s");
    stopping.join().unwrap().unwrap();
    assert_eq!((length, cut), (case.length, case.cut));
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).unwrap();
}

struct Truncation {
    /// Bytes that the server sends before it closes the connection.
    sent: &'static str,
    /// Expected length of the body, or the error.
    result: Result<usize, CallError>,
}

/// Guards against a truncated response that is taken for a shorter complete one.
#[rstest]
#[case::complete(Truncation {
    sent: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd", result: Ok(4),
})]
#[case::truncated_body(Truncation {
    sent: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabcd",
    result: Err(CallError::Lost),
})]
#[case::truncated_head(Truncation {
    sent: "HTTP/1.1 200 OK\r\ncontent-le", result: Err(CallError::Lost),
})]
#[case::chunks(Truncation {
    sent: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    result: Ok(4),
})]
#[case::truncated_chunks(Truncation {
    sent: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n",
    result: Err(CallError::Lost),
})]
#[case::no_length(Truncation { sent: "HTTP/1.1 200 OK\r\n\r\nabcd", result: Err(CallError::Lost) })]
#[case::no_response(Truncation { sent: "", result: Err(CallError::Lost) })]
fn truncated_responses_are_errors(#[case] case: Truncation) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        let read = stream.read(&mut request).unwrap();
        assert!(read > 0);
        stream.write_all(case.sent.as_bytes()).unwrap();
    });
    let client = Client::start().unwrap();
    let result = client.call(Exchange::post(addr, "/quote", Bytes::from("x"), Span::secs(60)));
    assert_eq!(result.map(|response| response.body.len()), case.result);
    peer.join().unwrap();
}

/// Behaviour of a server on the second request of a client that reuses its first connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum SecondRequest {
    /// Answers it.
    Answer,
    /// Closes the connection after it has received the request.
    CloseAfter,
    /// Closes the idle connection before the request.
    CloseBefore,
}

struct Resend {
    second: SecondRequest,
    result: Result<u16, CallError>,
    /// Expected number of times that the server receives the second request.
    sent: usize,
}

/// Reads a request without a body and returns its path; `None` if the connection ends before the
/// end of the head.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()?.split(' ').nth(1).map(str::to_owned)
}

/// Guards against a client that resends a request on its own, and against a verdict of not run for
/// a request that was sent.
#[rstest]
#[case::answered(Resend { second: SecondRequest::Answer, result: Ok(200), sent: 1 })]
#[case::closed_after_request(Resend {
    second: SecondRequest::CloseAfter, result: Err(CallError::Lost), sent: 1,
})]
#[case::closed_while_idle(Resend { second: SecondRequest::CloseBefore, result: Ok(200), sent: 1 })]
fn requests_are_sent_once(#[case] case: Resend) {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (closed, first_closed) = std::sync::mpsc::channel();
    let peer = std::thread::spawn(move || {
        let mut sent = 0;
        loop {
            let (mut stream, _) = listener.accept().unwrap();
            while let Some(path) = read_path(&mut stream) {
                match path.as_str() {
                    "/end" => return sent,
                    "/second" => sent += 1,
                    _ => {},
                }
                if path == "/second" && case.second == SecondRequest::CloseAfter {
                    break;
                }
                stream.write_all(ANSWER).unwrap();
                if path == "/first" && case.second == SecondRequest::CloseBefore {
                    break;
                }
            }
            drop(stream);
            let _ = closed.send(());
        }
    });
    let client = Client::start().unwrap();
    let call = |path| {
        let exchange = Exchange::post(addr, path, Bytes::new(), Span::secs(60));
        client.call(exchange).map(|response| response.status)
    };
    assert_eq!(call("/first"), Ok(200));
    if case.second == SecondRequest::CloseBefore {
        first_closed.recv().unwrap();
    }
    let mut result = call("/second");
    // The client may pick the closed connection from its pool before it notices the close. The
    // server doesn't read what is sent on it, so the request can be repeated.
    while case.second == SecondRequest::CloseBefore && result.is_err() {
        result = call("/second");
    }
    assert_eq!(result, case.result);
    send_request(addr, "/end");
    drop(client);
    assert_eq!(peer.join().unwrap(), case.sent);
}

struct Drain {
    /// Number of handlers that wait when the drain begins.
    before: usize,
    /// Tickets of the handlers that get their reply.
    replied: &'static [u64],
    /// Number of handlers that register after the drain begins.
    after: usize,
    /// Expected number of handlers that the drain still waits for.
    left: usize,
}

/// Guards against a drain that waits for requests that arrive after it began, so that it never ends
/// under load.
#[rstest]
#[case::no_earlier_requests(Drain { before: 0, replied: &[], after: 3, left: 0 })]
#[case::one_waiting(Drain { before: 3, replied: &[1, 3], after: 3, left: 1 })]
#[case::all_replied(Drain { before: 2, replied: &[1, 2], after: 9, left: 0 })]
fn drain_waits_for_earlier_requests(#[case] case: Drain) {
    let replies = Replies::new();
    let mut handlers: Vec<_> = (0..case.before).map(|_| replies.open()).collect();
    let first_later = replies.next();
    handlers.extend((0..case.after).map(|_| replies.open()));
    for &ticket in case.replied {
        assert!(replies.close(ticket, ()));
    }
    assert_eq!(replies.open_before(first_later), case.left);
    assert_eq!(replies.len(), case.before + case.after - case.replied.len());
}

/// Sends requests, each on a new connection, until a connection is refused; returns the numbers of
/// complete and of other responses.
fn send_until_refused(addr: SocketAddr) -> (usize, usize) {
    let (mut complete, mut failed) = (0, 0);
    let head = "POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    while let Ok(mut stream) = TcpStream::connect(addr) {
        let sent = stream.write_all(head.as_bytes());
        let answered = sent.is_ok() && body_length(&mut stream, Duration::ZERO) == 5;
        if answered {
            complete += 1;
        } else {
            failed += 1;
        }
    }
    (complete, failed)
}

/// Guards against a stop that resets connections in the accept queue of the listening socket.
#[test]
fn stop_serves_connections_in_the_queue() {
    let handler: Handler = Arc::new(|_| Box::pin(async { Outbound::new(200, "whole") }));
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let addr = server.addr;
    let clients: Vec<_> =
        (0..16).map(|_| std::thread::spawn(move || send_until_refused(addr))).collect();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(server.stop_within(Duration::from_secs(60)), 0);
    let counts: Vec<(usize, usize)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(counts.iter().all(|(complete, failed)| *complete > 0 && *failed == 0), "{counts:?}");
}

/// Guards against a response above the limit that is taken for a lost one, so that the request
/// would be run again.
#[rstest]
#[case::at_the_limit(8, Ok(8))]
#[case::above_the_limit(9, Err(CallError::TooLarge))]
fn responses_above_the_limit_are_errors(
    #[case] size: usize,
    #[case] result: Result<usize, CallError>,
) {
    let handler: Handler =
        Arc::new(move |_| Box::pin(async move { Outbound::new(200, vec![7; size]) }));
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let client = Client::start().unwrap();
    let exchange = Exchange::post(server.addr, "/quote", Bytes::new(), Span::secs(60)).limit(8);
    assert_eq!(client.call(exchange).map(|response| response.body.len()), result);
}
