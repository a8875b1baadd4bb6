//! Tests of the HTTP edges over loopback.

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
#[case::root(Case { path: "/", size: 5, status: 200, length: 9 })]
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
    // The near end of a connection listens nowhere, and no other test is given its port.
    let held = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let addr = held.local_addr().unwrap();
    let client = Client::start().unwrap();
    let error = client.call(Exchange::post(addr, "/", Bytes::new(), Span::secs(60))).unwrap_err();
    assert_eq!((error, error.verdict()), (CallError::Refused, Verdict::NotRun));
}

/// Sends a request on a raw connection and leaves the connection open.
fn ask(addr: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    write!(stream, "POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: 0\r\n\r\n").unwrap();
    stream
}

/// Reads until a whole head and `length` bytes of body have come or the connection ends.
fn body_length(stream: &mut TcpStream, pause: Duration) -> usize {
    let (mut seen, mut buffer) = (Vec::new(), vec![0; 256 * 1024]);
    loop {
        let count = stream.read(&mut buffer).unwrap_or(0);
        if count == 0 {
            break;
        }
        seen.extend_from_slice(&buffer[..count]);
        std::thread::sleep(pause);
    }
    let head = seen.windows(4).position(|window| window == b"\r\n\r\n");
    head.map_or(0, |head| seen.len() - head - 4)
}

struct StopCase {
    /// Path of the request that is under way when the server is stopped, if any.
    path: Option<&'static str>,
    /// Time between two reads of the caller.
    pause: Duration,
    limit: Duration,
    length: usize,
    cut: usize,
}

/// Guards against a stop that waits for idle connections, and against one that cuts a response off
/// before its last byte is in the socket.
#[rstest]
#[case::idle_connection(StopCase {
    path: None, pause: Duration::ZERO, limit: Duration::from_secs(600), length: 0, cut: 0,
})]
#[case::late_answer(StopCase {
    path: Some("/late"), pause: Duration::ZERO, limit: Duration::from_secs(600), length: 5, cut: 0,
})]
#[case::large_answer_to_slow_reader(StopCase {
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
#[case::answer_that_never_comes(StopCase {
    path: Some("/never"), pause: Duration::ZERO, limit: Duration::from_millis(50), length: 0, cut: 1,
})]
fn stop_writes_answers_whole(#[case] case: StopCase) {
    let (entered, seen) = std::sync::mpsc::channel();
    let go = Arc::new(tokio::sync::Semaphore::new(0));
    let released = Arc::clone(&go);
    let handler: Handler = Arc::new(move |call: Inbound| {
        let (entered, go) = (entered.clone(), Arc::clone(&go));
        Box::pin(async move {
            entered.send(()).unwrap();
            match call.path.as_str() {
                "/large" => Outbound::new(200, vec![7; BODY_LIMIT]),
                "/late" => {
                    go.acquire().await.unwrap().forget();
                    Outbound::new(200, "whole")
                },
                "/stream" => {
                    let (sender, receiver) = tokio::sync::mpsc::channel(1);
                    sender.send(Bytes::from("news")).await.unwrap();
                    // The stream's sender is never dropped.
                    std::mem::forget(sender);
                    Outbound { status: 200, headers: Vec::new(), body: Payload::Stream(receiver) }
                },
                "/never" => std::future::pending().await,
                _ => Outbound::new(200, ""),
            }
        })
    });
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let mut idle = ask(server.addr, "/idle");
    seen.recv().unwrap();
    let mut first = [0; 1];
    idle.read_exact(&mut first).unwrap();
    let mut busy = case.path.map(|path| ask(server.addr, path));
    if busy.is_some() {
        seen.recv().unwrap();
    }
    let (stopped, cut) = std::sync::mpsc::channel();
    let stopping = std::thread::spawn(move || stopped.send(server.stop_within(case.limit)));
    released.add_permits(1);
    let length = busy.as_mut().map_or(0, |busy| body_length(busy, case.pause));
    // The idle connection is kept for an hour, so a stop that waits for it is not seen here.
    let cut = cut.recv_timeout(Duration::from_secs(120)).expect("the stop ends");
    stopping.join().unwrap().unwrap();
    assert_eq!((length, cut), (case.length, case.cut));
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).unwrap();
}

struct Cut {
    /// What a back end sends before it closes the connection.
    sent: &'static str,
    result: Result<usize, CallError>,
}

/// Guards against a cut answer that passes for a short whole one.
#[rstest]
#[case::whole(Cut { sent: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd", result: Ok(4) })]
#[case::cut(Cut {
    sent: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabcd",
    result: Err(CallError::Lost),
})]
#[case::cut_head(Cut { sent: "HTTP/1.1 200 OK\r\ncontent-le", result: Err(CallError::Lost) })]
#[case::chunks(Cut {
    sent: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    result: Ok(4),
})]
#[case::cut_chunks(Cut {
    sent: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n",
    result: Err(CallError::Lost),
})]
#[case::no_length(Cut { sent: "HTTP/1.1 200 OK\r\n\r\nabcd", result: Err(CallError::Lost) })]
#[case::nothing(Cut { sent: "", result: Err(CallError::Lost) })]
fn cut_answers_are_errors(#[case] case: Cut) {
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

/// What a listener does with the second request of a client that keeps its first connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Second {
    /// Answers it.
    Answer,
    /// Closes the connection when the request has come.
    CloseAfter,
    /// Closes the connection while it is idle, before the request.
    CloseBefore,
}

struct Closed {
    second: Second,
    result: Result<u16, CallError>,
    /// Times that the listener read the second request.
    sent: usize,
}

/// Reads one request without a body; nothing when the connection ends before its head does.
fn path_read(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()?.split(' ').nth(1).map(str::to_owned)
}

/// Guards against a request that the client sends again by itself, and against a verdict of not run
/// for one that was sent.
#[rstest]
#[case::answered(Closed { second: Second::Answer, result: Ok(200), sent: 1 })]
#[case::closed_with_the_request(Closed {
    second: Second::CloseAfter, result: Err(CallError::Lost), sent: 1,
})]
#[case::closed_while_idle(Closed { second: Second::CloseBefore, result: Ok(200), sent: 1 })]
fn requests_are_sent_once(#[case] case: Closed) {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (answered, first_over) = std::sync::mpsc::channel();
    let peer = std::thread::spawn(move || {
        let mut sent = 0;
        loop {
            let (mut stream, _) = listener.accept().unwrap();
            while let Some(path) = path_read(&mut stream) {
                match path.as_str() {
                    "/end" => return sent,
                    "/second" => sent += 1,
                    _ => {},
                }
                if path == "/second" && case.second == Second::CloseAfter {
                    break;
                }
                stream.write_all(ANSWER).unwrap();
                if path == "/first" && case.second == Second::CloseBefore {
                    break;
                }
            }
            drop(stream);
            let _ = answered.send(());
        }
    });
    let client = Client::start().unwrap();
    let call = |path| {
        let exchange = Exchange::post(addr, path, Bytes::new(), Span::secs(60));
        client.call(exchange).map(|response| response.status)
    };
    assert_eq!(call("/first"), Ok(200));
    if case.second == Second::CloseBefore {
        first_over.recv().unwrap();
    }
    let mut result = call("/second");
    // The client may choose the closed connection before it sees the end of it. Nobody reads what
    // is sent on it, so the caller repeats it.
    while case.second == Second::CloseBefore && result.is_err() {
        result = call("/second");
    }
    assert_eq!(result, case.result);
    ask(addr, "/end");
    drop(client);
    assert_eq!(peer.join().unwrap(), case.sent);
}

struct Waiting {
    /// Handlers that wait when the drain begins, and those of them that get their reply.
    before: usize,
    replied: &'static [u64],
    after: usize,
    left: usize,
}

/// Guards against a drain that waits for requests which came after it began, and never ends under
/// load.
#[rstest]
#[case::none(Waiting { before: 0, replied: &[], after: 3, left: 0 })]
#[case::one_is_left(Waiting { before: 3, replied: &[1, 3], after: 3, left: 1 })]
#[case::all_replied(Waiting { before: 2, replied: &[1, 2], after: 9, left: 0 })]
fn drain_waits_for_earlier_requests(#[case] case: Waiting) {
    let replies = Replies::new();
    let mut handlers: Vec<_> = (0..case.before).map(|_| replies.open()).collect();
    let mark = replies.next();
    handlers.extend((0..case.after).map(|_| replies.open()));
    for &ticket in case.replied {
        assert!(replies.close(ticket, ()));
    }
    assert_eq!(replies.open_before(mark), case.left);
    assert_eq!(replies.len(), case.before + case.after - case.replied.len());
}

/// Sends requests on new connections until one is refused; gives the whole answers and the others.
fn storm(addr: SocketAddr) -> (usize, usize) {
    let (mut whole, mut cut) = (0, 0);
    let head = "POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    while let Ok(mut stream) = TcpStream::connect(addr) {
        let sent = stream.write_all(head.as_bytes());
        let answered = sent.is_ok() && body_length(&mut stream, Duration::ZERO) == 5;
        if answered {
            whole += 1;
        } else {
            cut += 1;
        }
    }
    (whole, cut)
}

/// Guards against a stop that resets connections which wait in the queue of the listening socket.
#[test]
fn stop_serves_connections_in_the_queue() {
    let handler: Handler = Arc::new(|_| Box::pin(async { Outbound::new(200, "whole") }));
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let addr = server.addr;
    let callers: Vec<_> = (0..16).map(|_| std::thread::spawn(move || storm(addr))).collect();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(server.stop_within(Duration::from_secs(60)), 0);
    let counts: Vec<(usize, usize)> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(counts.iter().all(|(whole, cut)| *whole > 0 && *cut == 0), "{counts:?}");
}

/// Guards against a response above the limit that passes for a lost one, which would be run again.
#[rstest]
#[case::at_the_limit(8, Ok(8))]
#[case::above_the_limit(9, Err(CallError::TooLarge))]
fn responses_keep_to_the_limit(#[case] size: usize, #[case] result: Result<usize, CallError>) {
    let handler: Handler =
        Arc::new(move |_| Box::pin(async move { Outbound::new(200, vec![7; size]) }));
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let client = Client::start().unwrap();
    let exchange = Exchange::post(server.addr, "/quote", Bytes::new(), Span::secs(60)).limit(8);
    assert_eq!(client.call(exchange).map(|response| response.body.len()), result);
}
