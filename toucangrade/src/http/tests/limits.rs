//! Tests of the limits on clients: the account of what they hold, and requests that are refused.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use super::super::ledger::{Ledger, Phase, Source, Tier};
use super::super::{Budget, Handler, Head, Limits, Outbound, Server, check_values};

const CALLERS: Source = Source { port: 1, tier: Tier::Open };
const READY: Source = Source { port: 2, tier: Tier::Open };
const PEERS: Source = Source { port: 3, tier: Tier::Own };

/// A connection that is open when the case begins, numbered from 1 on.
struct Open {
    source: Source,
    phase: Phase,
    /// Time in ms at which it entered the phase.
    since: u64,
    held: usize,
}

fn reads(source: Source, since: u64, held: usize) -> Open {
    Open { source, phase: Phase::Body, since, held }
}

fn idles(source: Source, since: u64) -> Open {
    Open { source, phase: Phase::Head, since, held: 0 }
}

fn handles(source: Source) -> Open {
    Open { source, phase: Phase::Handling, since: 0, held: 0 }
}

fn ledger(open: &[Open], memory: usize, connections: usize) -> Ledger {
    let mut ledger = Ledger::new(memory, connections);
    for connection in open {
        let id = ledger.next();
        let at = Duration::from_millis(connection.since);
        assert!(ledger.open(at, connection.source).granted);
        if connection.phase != Phase::Head {
            ledger.enter(at, id, connection.phase);
        }
        assert!(connection.held == 0 || ledger.reserve(at, id, connection.held).granted);
    }
    ledger
}

struct Reservation {
    open: Vec<Open>,
    /// Listener of the connection that asks for 100 of 400 bytes at 1,000 ms.
    source: Source,
    granted: bool,
    closed: &'static [u64],
}

/// Guards against a body that is refused although a stalled one holds the memory, against a fresh
/// one that is closed, and against clients that leave nothing to the system's own messages.
#[rstest]
#[case::room(Reservation {
    open: vec![reads(CALLERS, 0, 200)], source: CALLERS, granted: true, closed: &[],
})]
#[case::all_held_by_fresh_bodies(Reservation {
    open: vec![reads(CALLERS, 900, 150), reads(CALLERS, 900, 150)],
    source: CALLERS, granted: false, closed: &[],
})]
#[case::most_for_longest_is_closed(Reservation {
    open: vec![reads(CALLERS, 0, 100), reads(CALLERS, 400, 200)],
    source: READY, granted: true, closed: &[2],
})]
#[case::longest_of_the_same_size_is_closed(Reservation {
    open: vec![reads(CALLERS, 300, 150), reads(CALLERS, 100, 150)],
    source: CALLERS, granted: true, closed: &[2],
})]
#[case::handled_requests_are_kept(Reservation {
    open: vec![handles(CALLERS), reads(CALLERS, 900, 300)],
    source: CALLERS, granted: false, closed: &[],
})]
#[case::own_share_is_left(Reservation {
    open: vec![reads(CALLERS, 0, 300)], source: PEERS, granted: true, closed: &[],
})]
#[case::own_requests_come_first(Reservation {
    open: vec![reads(PEERS, 900, 200), reads(CALLERS, 900, 100), reads(CALLERS, 900, 100)],
    source: PEERS, granted: true, closed: &[3],
})]
#[case::outside_clients_leave_own_bodies(Reservation {
    open: vec![reads(PEERS, 0, 300), reads(CALLERS, 900, 50)],
    source: CALLERS, granted: false, closed: &[],
})]
fn memory_is_granted(#[case] case: Reservation) {
    let mut ledger = ledger(&case.open, 400, 100);
    let now = Duration::from_millis(1_000);
    let id = ledger.next();
    ledger.open(now, case.source);
    ledger.enter(now, id, Phase::Body);
    let grant = ledger.reserve(now, id, 100);
    assert_eq!((grant.granted, grant.closed.as_slice()), (case.granted, case.closed));
    ledger.close(id);
    let left: usize = (1..id).filter(|id| !case.closed.contains(id)).count();
    assert_eq!(ledger.open_connections(), left);
}

struct Arrival {
    open: Vec<Open>,
    /// Listener of the connection that arrives, of 4 in total.
    source: Source,
    granted: bool,
    closed: &'static [u64],
}

/// Guards against a crowd at one listener that keeps others from connecting, and against requests
/// that are cut off while they may run.
#[rstest]
#[case::room(Arrival {
    open: vec![idles(CALLERS, 0), idles(CALLERS, 0)], source: CALLERS, granted: true, closed: &[],
})]
#[case::oldest_idle_is_closed(Arrival {
    open: vec![idles(CALLERS, 2), idles(CALLERS, 1), idles(CALLERS, 3)],
    source: CALLERS, granted: true, closed: &[2],
})]
#[case::other_listener(Arrival {
    open: vec![idles(READY, 1), idles(CALLERS, 2), idles(CALLERS, 3)],
    source: READY, granted: true, closed: &[2],
})]
#[case::all_in_use(Arrival {
    open: vec![handles(CALLERS), handles(CALLERS), handles(CALLERS)],
    source: CALLERS, granted: false, closed: &[],
})]
#[case::own_share_is_left(Arrival {
    open: vec![idles(CALLERS, 1), idles(CALLERS, 2), idles(CALLERS, 3)],
    source: PEERS, granted: true, closed: &[],
})]
fn connections_are_granted(#[case] case: Arrival) {
    let mut ledger = ledger(&case.open, 400, 4);
    let grant = ledger.open(Duration::from_millis(10), case.source);
    assert_eq!((grant.granted, grant.closed.as_slice()), (case.granted, case.closed));
}

/// Guards against a text that makes a decoder build more values than allowed, and against commas in
/// texts that count.
#[rstest]
#[case::at_the_limit("[1,2,3]", true)]
#[case::above("[1,2,3,4,5]", false)]
#[case::nested("[[[[[]]]]]", false)]
#[case::fields(r#"{"a":1,"b":2,"c":3,"d":4,"e":5}"#, false)]
#[case::commas_in_texts(r#"["a,b,c,d,e,f","\",,,,,[["]"#, true)]
fn values_are_counted(#[case] text: &str, #[case] allowed: bool) {
    assert_eq!(check_values(text.as_bytes(), 4).is_ok(), allowed);
}

/// Guards against limits outside their range, under which no ordinary request is served.
#[test]
fn limits_have_ranges() {
    assert!(Limits::builder().build().is_ok());
    assert!(Limits::builder().memory(0).build().is_err());
    assert!(Limits::builder().connections(0).build().is_err());
    assert!(Limits::builder().header(1 << 20).build().is_err());
    assert!(Limits::builder().body_timeout(Duration::ZERO).build().is_err());
    let limits = Limits::for_machine(Some(160), Some(4_096));
    assert_eq!((limits.memory, limits.connections), (40 << 20, 853));
}

struct Refusal {
    /// What the client sends; the connection stays open.
    sent: &'static str,
    status: &'static str,
}

/// Guards against a request whose body is awaited although its head suffices to refuse it, and
/// against a refusal without the verdict or on a connection that stays open.
#[rstest]
#[case::no_route(Refusal {
    sent: "POST /none HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n", status: "404",
})]
#[case::declared_too_large(Refusal {
    sent: "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n", status: "413",
})]
#[case::chunks_too_large(Refusal {
    sent: "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n9\r\n123456789\r\n",
    status: "413",
})]
#[case::stalled(Refusal {
    sent: "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n1234567", status: "408",
})]
#[case::head_too_large(Refusal {
    sent: concat!("POST /a HTTP/1.1\r\nhost: a\r\nx: 0123456789012345678901234567890123456789",
        "012345678901234567890123456789012345678901234567890123456789012345678901234567890123",
        "012345678901234567890123456789012345678901234567890123456789012345678901234567890123",
        "012345678901234567890123456789012345678901234567890123456789012345678901234567890123",
        "\r\ncontent-length: 8\r\n\r\n"),
    status: "431",
})]
fn requests_are_refused(#[case] case: Refusal) {
    let handler: Handler = Arc::new(|_| panic!("a refused request is handled"));
    let limits = Limits::builder().header(256).body_timeout(Duration::from_millis(50));
    let server = Server::builder(TcpListener::bind("127.0.0.1:0").unwrap(), handler)
        .budget(&Budget::new(limits.build().unwrap()))
        .screen(Arc::new(|head: Head<'_>| match head.path {
            "/a" => Ok(8),
            _ => Err(Outbound::new(404, "")),
        }))
        .start()
        .unwrap();
    let mut stream = TcpStream::connect(server.addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    stream.write_all(case.sent.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with(&format!("HTTP/1.1 {} ", case.status)), "{answer}");
    assert!(answer.contains("toucangrade-verdict: not-run\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert_eq!(server.stop_within(Duration::from_secs(60)), 0);
}

/// Guards against a stop that waits for bodies that don't arrive.
#[test]
fn stop_refuses_open_bodies() {
    let handler: Handler = Arc::new(|_| Box::pin(async { Outbound::new(200, "") }));
    let server = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let mut stream = TcpStream::connect(server.addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n1").unwrap();
    assert_eq!(server.stop_within(Duration::from_secs(60)), 0);
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("toucangrade-verdict: not-run\r\n"), "{answer}");
}
