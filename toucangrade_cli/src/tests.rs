//! Tests of the commands against a stand-in for a control instance.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use toucangrade::{Inbound, Outbound, Payload, Server};

use crate::{commands, options};

/// Response of the stand-in to one request.
#[derive(Clone)]
enum Response {
    /// A status and a JSON body.
    Body(u16, Value),
    /// A stream that ends after these lines.
    Lines(Vec<Value>),
    /// A stream that stays open after these lines.
    Open(Vec<Value>),
}

/// Stands in for a control instance: returns fixed responses and records the requests.
struct Standin {
    server: Server,
    requests: Arc<Mutex<Vec<String>>>,
}

fn summary(call: &Inbound) -> String {
    let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
    let headers = ["if-match", "if-none-match", "authorization"];
    let headers = headers.into_iter().filter_map(|name| Some(format!(" {}", call.header(name)?)));
    format!("{} {}{query}{}", call.method, call.path, headers.collect::<String>())
}

impl Standin {
    fn start(responses: Vec<Response>) -> Self {
        let (requests, responses) = (Arc::default(), Mutex::new(VecDeque::from(responses)));
        let notes: Arc<Mutex<Vec<String>>> = Arc::clone(&requests);
        let handler = Arc::new(move |call: Inbound| {
            notes.lock().unwrap().push(summary(&call));
            let response = responses.lock().unwrap().pop_front();
            let reply: futures_reply::Reply = Box::pin(async move { outbound(response) });
            reply
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Self { server: Server::start(listener, 1, handler).unwrap(), requests }
    }

    fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Names the future that a handler returns, without a dependency on another crate.
mod futures_reply {
    use std::pin::Pin;

    use toucangrade::Outbound;

    pub(super) type Reply = Pin<Box<dyn Future<Output = Outbound>>>;
}

fn outbound(response: Option<Response>) -> Outbound {
    let stream = |lines: Vec<Value>| {
        let (sender, receiver) = mpsc::channel(64);
        for line in lines {
            sender.try_send(Bytes::from(format!("{line}\n"))).unwrap();
        }
        let body = Payload::Stream(receiver);
        (sender, Outbound { status: 200, headers: Vec::new(), body })
    };
    match response {
        Some(Response::Body(status, body)) => Outbound::json(status, &body),
        Some(Response::Lines(lines)) => stream(lines).1,
        Some(Response::Open(lines)) => {
            let (sender, outbound) = stream(lines);
            // A sender that is never dropped keeps the stream open.
            std::mem::forget(sender);
            outbound
        },
        None => Outbound::json(500, &json!({ "error": "unexpected", "reason": "no more" })),
    }
}

/// Runs a command line and returns its exit status, standard output and standard error.
fn run(control: &str, args: &[&str]) -> (u8, String, String) {
    let args = [&["--control", control], args].concat();
    let options = options::parser().run_inner(&args[..]).unwrap_or_else(|e| panic!("{e:?}"));
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let code = match commands::run(&options, &mut out, &mut notes) {
        Ok(()) => 0,
        Err(failure) => {
            notes.extend(failure.to_string().into_bytes());
            failure.code()
        },
    };
    (code, String::from_utf8(out).unwrap(), String::from_utf8(notes).unwrap())
}

struct Case {
    args: Vec<&'static str>,
    responses: Vec<Response>,
    /// Requests that the control instance receives.
    requests: Vec<&'static str>,
    code: u8,
    /// Parts of the output, or of standard error if the command fails.
    expected: Vec<&'static str>,
}

fn change(revision: u64, action: &str, collection: &str, name: &str) -> Value {
    json!({ "revision": revision, "action": action, "collection": collection, "name": name })
}

fn job(revision: u64, state: &str) -> Value {
    let mut change = change(revision, "state", "jobs", "scan");
    change["state"] = state.into();
    change
}

fn refused(status: u16, error: &str, rest: Value) -> Response {
    let mut body = json!({ "error": error, "reason": "for a reason" });
    if let Value::Object(rest) = rest {
        body.as_object_mut().unwrap().extend(rest);
    }
    Response::Body(status, body)
}

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");

/// Guards against commands that send a wrong request, hide why they failed, or exit with a status
/// that does not tell the kinds of failure apart.
#[rstest]
#[case::apply(Case {
    args: vec!["--token", "t", "apply", "services", "balcao", "--file", FILE, "--if-revision", "4"],
    responses: vec![Response::Body(201, json!({ "revision": 5 }))],
    requests: vec!["PUT /v1/resources/services/balcao \"4\" Bearer t"],
    code: 0,
    expected: vec!["revision 5"],
})]
#[case::apply_new(Case {
    args: vec!["apply", "services", "balcao", "--file", FILE, "--if-revision", "0"],
    responses: vec![refused(412, "lost-race", json!({ "current": { "revision": 9 } }))],
    requests: vec!["PUT /v1/resources/services/balcao *"],
    code: 3,
    expected: vec!["for a reason", "apply --if-revision 9"],
})]
#[case::no_token(Case {
    args: vec!["delete", "services", "balcao"],
    responses: vec![refused(401, "unauthorised", json!({}))],
    requests: vec!["DELETE /v1/resources/services/balcao"],
    code: 2,
    expected: vec!["TOUCANGRADE_TOKEN"],
})]
#[case::missing(Case {
    args: vec!["get", "jobs", "scan"],
    responses: vec![refused(404, "not-found", json!({}))],
    requests: vec!["GET /v1/resources/jobs/scan"],
    code: 4,
    expected: vec!["(not-found)", "list"],
})]
#[case::no_file(Case {
    args: vec!["apply", "services", "balcao", "--file", "/nonexistent/file"],
    responses: vec![],
    requests: vec![],
    code: 6,
    expected: vec!["/nonexistent/file", "check the path"],
})]
#[case::list(Case {
    args: vec!["list", "services"],
    responses: vec![Response::Body(200, json!({ "items": [
        { "name": "balcao", "revision": 7 }, { "name": "pew-atelier", "revision": 123 },
    ] }))],
    requests: vec!["GET /v1/resources/services"],
    code: 0,
    expected: vec!["NAME         REVISION\nbalcao              7\npew-atelier       123\n"],
})]
#[case::status_as_json(Case {
    args: vec!["--json", "status"],
    responses: vec![Response::Body(200, json!({ "revision": 3, "processes": [] }))],
    requests: vec!["GET /v1/status"],
    code: 0,
    expected: vec!["{\n  \"processes\": [],\n  \"revision\": 3\n}\n"],
})]
#[case::status(Case {
    args: vec!["status"],
    responses: vec![Response::Body(200, json!({ "revision": 3, "in_force": 1, "known": 1, "processes": [
        { "role": "entry", "name": "e1", "centre": "olinda", "revision": 3, "current": true,
          "live": true },
    ] }))],
    requests: vec!["GET /v1/status"],
    code: 0,
    expected: vec!["in force at 1 of 1", "entry  e1    olinda         3  true     true"],
})]
#[case::explain(Case {
    args: vec!["explain", "order-7"],
    responses: vec![Response::Body(200, json!({ "key": "order-7", "claim": null, "steps": [
        { "by": "e1", "wall_ms": 1_796_296_132_903_u64, "at_us": 5, "text": "refused" },
    ] }))],
    requests: vec!["GET /v1/explain/order-7"],
    code: 0,
    expected: vec!["2026-12-03T", ".903Z  e1: refused"],
})]
#[case::review(Case {
    args: vec!["review", "--from", "2026-12-01T00:00:00+01:00", "--to", "1796296132"],
    responses: vec![Response::Body(200, json!({
        "from_ms": 0, "to_ms": 1, "not_sent": 3,
        "services": [{ "service": "balcao", "kind": "quote", "answers": 10, "p99_us": 12_340 }],
        "causes": [{ "count": 2, "code": "over-quota", "verdict": "not-run" }],
        "evictions": [{ "service": "jobs", "kind": "sand", "cause": "protect", "count": 7 }],
        "jobs_ended": { "cancelled": 1, "done": 5 },
        "jobs": [{ "job": "oak", "evictions": { "lost": 1, "protect": 2 }, "resumed": 3 }],
    }))],
    requests: vec!["GET /v1/review?from=2026-12-01T00:00:00%2B01:00&to=1796296132"],
    code: 0,
    expected: vec![
        "incomplete: 3 outcomes", "12.3", "over-quota", "7  protect", "1 cancelled, 5 done",
        "lost 1, protect 2",
    ],
})]
#[case::drain(Case {
    args: vec!["--token", "t", "drain"],
    responses: vec![Response::Body(202, json!({ "name": "c1", "draining": true }))],
    requests: vec!["POST /v1/drain Bearer t"],
    code: 0,
    expected: vec!["c1 drains"],
})]
#[case::cancel(Case {
    args: vec!["cancel", "scan"],
    responses: vec![Response::Body(200, json!({ "revision": 8 }))],
    requests: vec!["DELETE /v1/resources/jobs/scan"],
    code: 0,
    expected: vec!["revision 8"],
})]
#[case::submit_twice(Case {
    args: vec!["submit", "scan", "--file", FILE],
    responses: vec![refused(412, "lost-race", json!({ "current": { "revision": 9 } }))],
    requests: vec!["PUT /v1/resources/jobs/scan *"],
    code: 3,
    expected: vec!["for a reason"],
})]
#[case::submit_and_wait(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        Response::Lines(vec![
            job(8, "waiting"),
            job(9, "running"),
            change(10, "put", "jobs", "other"),
        ]),
        refused(503, "unavailable", json!({})),
        Response::Lines(vec![job(11, "evicted"), job(12, "running"), job(13, "done")]),
    ],
    requests: vec![
        "PUT /v1/resources/jobs/scan *",
        "GET /v1/watch?since=7&beat=1",
        "GET /v1/watch?since=10&beat=1",
        "GET /v1/watch?since=10&beat=1",
    ],
    code: 0,
    expected: vec!["done at revision 13"],
})]
#[case::job_failed(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        Response::Lines(vec![job(9, "failed")]),
    ],
    requests: vec!["PUT /v1/resources/jobs/scan *", "GET /v1/watch?since=7&beat=1"],
    code: 7,
    expected: vec!["ended as failed", "explain scan"],
})]
#[case::job_refused(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        Response::Lines(vec![job(9, "refused")]),
    ],
    requests: vec!["PUT /v1/resources/jobs/scan *", "GET /v1/watch?since=7&beat=1"],
    code: 10,
    expected: vec!["ended as refused", "explain scan"],
})]
#[case::job_name_used_before(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        Response::Lines(vec![job(8, "failed")]),
    ],
    requests: vec!["PUT /v1/resources/jobs/scan *", "GET /v1/watch?since=7&beat=1"],
    code: 7,
    expected: vec!["ended as failed"],
})]
#[case::job_cancelled(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        Response::Lines(vec![change(9, "delete", "jobs", "scan"), job(10, "cancelled")]),
    ],
    requests: vec!["PUT /v1/resources/jobs/scan *", "GET /v1/watch?since=7&beat=1"],
    code: 11,
    expected: vec!["ended as cancelled"],
})]
#[case::job_done_before_its_cancellation(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        Response::Lines(vec![change(9, "delete", "jobs", "scan"), job(10, "done")]),
    ],
    requests: vec!["PUT /v1/resources/jobs/scan *", "GET /v1/watch?since=7&beat=1"],
    code: 0,
    expected: vec!["done at revision 10"],
})]
#[case::wait_limit(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait", "--wait-limit-s", "1"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        Response::Open(vec![job(8, "waiting")]),
    ],
    requests: vec!["PUT /v1/resources/jobs/scan *", "GET /v1/watch?since=7&beat=1"],
    code: 9,
    expected: vec!["no final state after 1 s"],
})]
#[case::wait_compacted(Case {
    args: vec!["submit", "scan", "--file", FILE, "--wait"],
    responses: vec![
        Response::Body(201, json!({ "revision": 8 })),
        refused(410, "compacted", json!({ "oldest": 40 })),
    ],
    requests: vec!["PUT /v1/resources/jobs/scan *", "GET /v1/watch?since=7&beat=1"],
    code: 8,
    expected: vec!["after revision 7"],
})]
#[case::watch_resumes(Case {
    args: vec!["watch", "--since", "3", "--count", "3"],
    responses: vec![
        Response::Lines(vec![change(4, "put", "services", "a"), change(5, "put", "services", "b")]),
        refused(503, "unavailable", json!({})),
        // Revision 5 was printed before the connection was lost and is not printed again.
        Response::Lines(vec![change(5, "put", "services", "b"), change(6, "delete", "jobs", "c")]),
    ],
    requests: vec![
        "GET /v1/watch?since=3&beat=1",
        "GET /v1/watch?since=5&beat=1",
        "GET /v1/watch?since=5&beat=1",
    ],
    code: 0,
    expected: vec![
        "       4 put    services/a\n       5 put    services/b\n       6 delete jobs/c\n",
    ],
})]
#[case::watch_compacted(Case {
    args: vec!["watch", "--since", "3"],
    responses: vec![refused(410, "compacted", json!({ "oldest": 40 }))],
    requests: vec!["GET /v1/watch?since=3&beat=1"],
    code: 8,
    expected: vec!["after revision 3", "--since 40"],
})]
#[case::watch_from_oldest(Case {
    args: vec!["watch", "--count", "1"],
    responses: vec![
        refused(410, "compacted", json!({ "oldest": 40 })),
        Response::Lines(vec![change(41, "put", "services", "a")]),
    ],
    requests: vec!["GET /v1/watch?since=0&beat=1", "GET /v1/watch?since=40&beat=1"],
    code: 0,
    expected: vec!["41 put"],
})]
fn commands_send_requests_and_print(#[case] case: Case) {
    let standin = Standin::start(case.responses);
    let (code, out, notes) = run(&standin.addr().to_string(), &case.args);
    assert_eq!(standin.requests(), case.requests);
    assert_eq!(code, case.code, "{out}{notes}");
    let printed = if code == 0 { out } else { notes };
    for part in case.expected {
        assert!(printed.contains(part), "{part:?} is missing in {printed:?}");
    }
}

/// An address that refuses connections as long as the returned stream is kept.
///
/// The port stays in use, so that a test that runs in parallel can't get it for its stand-in.
fn refusing_addr(listener: &TcpListener) -> (SocketAddr, TcpStream) {
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (stream.local_addr().unwrap(), stream)
}

struct FailoverCase {
    args: Vec<&'static str>,
    /// Response of the first control instance; `None` if it is unreachable.
    first: Option<Response>,
    second: Option<Response>,
    code: u8,
}

/// Guards against a command that fails although another control instance could answer it.
#[rstest]
#[case::first_unreachable(FailoverCase {
    args: vec!["status"],
    first: None,
    second: Some(Response::Body(200, json!({}))),
    code: 0,
})]
#[case::first_has_no_quorum(FailoverCase {
    args: vec!["status"],
    first: Some(refused(503, "unavailable", json!({}))),
    second: Some(Response::Body(200, json!({}))),
    code: 0,
})]
#[case::watch_first_unreachable(FailoverCase {
    args: vec!["watch", "--count", "1"],
    first: None,
    second: Some(Response::Lines(vec![change(1, "put", "services", "a")])),
    code: 0,
})]
#[case::all_unreachable(FailoverCase { args: vec!["status"], first: None, second: None, code: 5 })]
#[case::watch_all_unreachable(FailoverCase {
    args: vec!["watch"],
    first: None,
    second: None,
    code: 5,
})]
fn next_control_instance_is_tried(#[case] case: FailoverCase) {
    let start =
        |response: Option<Response>| response.map(|response| Standin::start(vec![response]));
    let standins = [start(case.first), start(case.second)];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let refusing = [refusing_addr(&listener), refusing_addr(&listener)];
    let addr = |at: usize| standins[at].as_ref().map_or(refusing[at].0, Standin::addr);
    let addrs = [addr(0), addr(1)];
    let (code, _, notes) = run(&format!("{},{}", addrs[0], addrs[1]), &case.args);
    assert_eq!(code, case.code, "{notes}");
}

/// Guards against a write that takes effect twice when its first response is lost.
#[test]
fn write_is_resent_under_the_same_key() {
    let keys: Arc<Mutex<Vec<String>>> = Arc::default();
    let start = |status: u16| {
        let keys = Arc::clone(&keys);
        let handler = Arc::new(move |call: Inbound| {
            keys.lock().unwrap().push(call.header("idempotency-key").unwrap().to_owned());
            let reply: futures_reply::Reply =
                Box::pin(async move { Outbound::json(status, &json!({ "revision": 1 })) });
            reply
        });
        Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap()
    };
    let servers = [start(503), start(200)];
    let control = format!("{},{}", servers[0].addr, servers[1].addr);
    assert_eq!(run(&control, &["delete", "services", "balcao"]).0, 0);
    let keys = keys.lock().unwrap();
    assert_eq!((keys.len(), &keys[0]), (2, &keys[1]));
}

/// Guards against a plot that refers to other files or lacks curves, and against a review without
/// outcomes that can't be drawn.
#[rstest]
#[case::curves(json!({
    "from_ms": 0, "to_ms": 120_000,
    "curves": [
        { "name": "balcao/quote", "at_ms": 0, "p99_us": 4_000, "p999_us": 9_000 },
        { "name": "balcao/quote", "at_ms": 60_000, "p99_us": 5_000, "p999_us": 90_000 },
    ],
    "causes": [{ "service": "balcao", "kind": "quote", "code": "over-quota", "verdict": "not-run", "count": 4 }],
    "evictions": [
        { "service": "jobs", "kind": "sand", "cause": "waited", "count": 2 },
        { "service": "jobs", "kind": "scan", "cause": "waited", "count": 3 },
    ],
}), vec!["balcao/quote p99.9", "4  balcao/quote not-run over-quota", "5  waited"])]
#[case::nothing(json!({ "from_ms": 0, "to_ms": 1, "curves": [], "causes": [] }), vec!["Tail latency"])]
fn plot_is_one_file(#[case] review: Value, #[case] expected: Vec<&str>) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("review.svg");
    let standin = Standin::start(vec![Response::Body(200, review)]);
    let args = ["review", "--plot", file.to_str().unwrap()];
    let (code, _, notes) = run(&standin.addr().to_string(), &args);
    assert_eq!(code, 0, "{notes}");
    let svg = std::fs::read_to_string(file).unwrap();
    assert!(svg.starts_with("<svg") && !svg.contains("href") && !svg.contains("<script"));
    for part in expected {
        assert!(svg.contains(part), "{part:?} is missing");
    }
}
