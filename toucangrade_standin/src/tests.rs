//! Tests of the stand-in back end from the view of its agent.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use rstest::rstest;
use toucangrade::{CallError, Client, Exchange, Handler, Inbound, Outbound, Server, Span};

use crate::options::{self, Options};
use crate::runner::{Faults, Runner};

/// Maximum wait for a journal line.
const TIMEOUT: Duration = Duration::from_secs(30);

fn options(args: &[&str]) -> Options {
    let fixed = ["--agent", "127.0.0.1:1", "--service", "s", "--kinds", "k"];
    let args = [&fixed[..], args].concat();
    options::parser().run_inner(&args[..]).unwrap_or_else(|error| panic!("{error:?}"))
}

struct Standin {
    server: Server,
    options: Options,
    runner: Runner,
    client: Client,
    journal: std::path::PathBuf,
    _folder: tempfile::TempDir,
}

impl Standin {
    fn start(args: &[&str]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let journal = folder.path().join("journal");
        let options = Options { journal: Some(journal.clone()), ..options(args) };
        let runner = Runner::open(&options).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Server::start(listener, 1, runner.handler()).unwrap();
        let client = Client::start().unwrap();
        Self { server, options, runner, client, journal, _folder: folder }
    }

    fn exchange(&self, method: Method, key: &str, fence: Option<u64>, lease: u64) -> Exchange {
        let body = Bytes::from_static(b"cord");
        let exchange = Exchange::post(self.server.addr, "/k", body, Span::secs(30)).method(method);
        let exchange = exchange.header("idempotency-key", key);
        let exchange = exchange.header("toucangrade-lease-ms", &lease.to_string());
        match fence {
            Some(fence) => exchange.header("toucangrade-fence", &fence.to_string()),
            None => exchange,
        }
    }

    fn post(&self, key: &str, fence: u64, lease: u64) -> Result<(u16, String), CallError> {
        let response = self.client.call(self.exchange(Method::POST, key, Some(fence), lease))?;
        let verdict = response.headers.get("toucangrade-verdict");
        let body = match verdict {
            Some(verdict) => verdict.to_str().unwrap().to_owned(),
            None => String::from_utf8(response.body.to_vec()).unwrap(),
        };
        Ok((response.status, body))
    }

    fn journal(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.journal).unwrap();
        text.lines().map(str::to_owned).collect()
    }

    fn await_journal(&self, lines: usize) {
        let began = Instant::now();
        while self.journal().len() < lines {
            assert!(began.elapsed() < TIMEOUT, "{:?}", self.journal());
            thread::sleep(Duration::from_millis(5));
        }
    }
}

struct Case {
    args: &'static [&'static str],
    lease: u64,
    answer: Result<(u16, &'static str), CallError>,
    journal: &'static [&'static str],
}

/// Guards against a stand-in that runs beyond its lease, or that reports not-run for an execution
/// that ran.
#[rstest]
#[case::answers(Case {
    args: &[],
    lease: 10_000,
    answer: Ok((200, "done cord")),
    journal: &["start a", "end a"],
})]
#[case::fails(Case {
    args: &["--fail-percent", "100"],
    lease: 10_000,
    answer: Ok((500, "failed as told")),
    journal: &["start a", "end a"],
})]
#[case::declines(Case {
    args: &["--decline-percent", "100"],
    lease: 10_000,
    answer: Ok((503, "not-run")),
    journal: &[],
})]
#[case::cuts(Case {
    args: &["--cut-percent", "100"],
    lease: 10_000,
    answer: Err(CallError::Lost),
    journal: &["start a", "end a"],
})]
#[case::lease_ends(Case {
    args: &["--slow-percent", "100", "--slow-ms", "20000"],
    lease: 30,
    answer: Ok((409, "lease ended")),
    journal: &["start a", "stop a"],
})]
fn executions_follow_options(#[case] case: Case) {
    let standin = Standin::start(case.args);
    let answer = standin.post("a", 1, case.lease);
    assert_eq!(answer, case.answer.map(|(status, body)| (status, body.to_owned())));
    assert_eq!(standin.journal(), case.journal);
}

struct StopCase {
    /// Fencing token of the stop; `None` stops every attempt.
    stop: Option<u64>,
    /// Whether it stops the attempt with fencing token 5.
    stopped: bool,
}

/// Guards against stops that miss their attempt, and against a delayed stop of an old attempt that
/// stops a newer one.
#[rstest]
#[case::same(StopCase { stop: Some(5), stopped: true })]
#[case::any(StopCase { stop: None, stopped: true })]
#[case::older(StopCase { stop: Some(4), stopped: false })]
fn stops_are_fenced(#[case] case: StopCase) {
    let standin = Standin::start(&["--delay-ms", if case.stopped { "20000" } else { "1000" }]);
    thread::scope(|scope| {
        let answer = scope.spawn(|| standin.post("a", 5, 25_000).unwrap().0);
        standin.await_journal(1);
        let stop = standin.exchange(Method::DELETE, "a", case.stop, 0);
        assert_eq!(standin.client.call(stop).unwrap().status, 200);
        assert_eq!(answer.join().unwrap(), if case.stopped { 409 } else { 200 });
    });
    let last = if case.stopped { "stop a" } else { "end a" };
    assert_eq!(standin.journal(), ["start a", last]);
}

/// Guards against an attempt that runs although its stop overtook its start.
#[test]
fn start_after_its_stop_does_not_run() {
    let standin = Standin::start(&[]);
    let stop = standin.exchange(Method::DELETE, "a", Some(5), 0);
    assert_eq!(standin.client.call(stop).unwrap().status, 200);
    assert_eq!(standin.post("a", 5, 10_000), Ok((503, "not-run".to_owned())));
    assert_eq!(standin.post("a", 6, 10_000), Ok((200, "done cord".to_owned())));
    assert_eq!(standin.journal(), ["start a", "end a"]);
}

/// Guards against fault shares that differ from the options.
#[test]
fn shares_are_exact() {
    let options =
        options(&["--slow-percent", "7", "--decline-percent", "30", "--cut-percent", "1"]);
    let faults: Vec<Faults> = (0..1_000).map(|n| Faults::of(n, &options)).collect();
    let count =
        |selected: fn(&Faults) -> bool| faults.iter().filter(|faults| selected(faults)).count();
    assert_eq!(
        [count(|o| o.slow), count(|o| o.decline), count(|o| o.cut), count(|o| o.fail)],
        [70, 300, 10, 0]
    );
}

/// Guards against progress that is lost or repeated, and against a repeated eviction that returns
/// another checkpoint.
#[test]
fn evicted_execution_resumes_elsewhere() {
    let args = &["--checkpoints", "k", "--delay-ms", "20000"];
    let (standin, other) = (Standin::start(args), Standin::start(args));
    let evict = || {
        let stop = standin.exchange(Method::DELETE, "a", Some(5), 0);
        let response = standin.client.call(stop.header("toucangrade-evict", "true")).unwrap();
        let checkpoint = response.headers.get("toucangrade-checkpoint");
        (response.status, checkpoint.map(|value| value.to_str().unwrap().to_owned()))
    };
    let checkpoint = thread::scope(|scope| {
        let caller = scope.spawn(|| standin.post("a", 5, 25_000).unwrap().0);
        standin.await_journal(1);
        let (status, checkpoint) = evict();
        assert_eq!((status, caller.join().unwrap()), (200, 409));
        checkpoint.unwrap()
    });
    assert_eq!(evict(), (200, Some(checkpoint)));
    assert_eq!(standin.journal(), ["start a", "evict a", "stop a"]);
    let exchange = other.exchange(Method::POST, "a", Some(6), 25_000);
    // All 20,000 ms of the work are done at this checkpoint.
    let exchange = exchange.header("toucangrade-checkpoint", "progress-ms-20000");
    assert_eq!(other.client.call(exchange).unwrap().status, 200);
    assert_eq!(other.journal(), ["start a", "resume a progress-ms-20000", "end a"]);
}

/// Guards against a checkpoint of a kind that does not support them.
#[test]
fn eviction_without_checkpoints_is_a_stop() {
    let standin = Standin::start(&["--checkpoints", "other"]);
    let stop = standin.exchange(Method::DELETE, "a", Some(5), 0);
    let response = standin.client.call(stop.header("toucangrade-evict", "true")).unwrap();
    assert_eq!(response.status, 200);
    assert!(response.headers.get("toucangrade-checkpoint").is_none());
}

/// Guards against a back end that exits with executions running, or before it has announced to its
/// agent that it leaves.
#[test]
fn leaving_back_end_finishes_its_work() {
    let announcements: Arc<Mutex<Vec<serde_json::Value>>> = Arc::default();
    let received = Arc::clone(&announcements);
    let handler: Handler = Arc::new(move |call: Inbound| {
        received.lock().unwrap().push(serde_json::from_slice(&call.body).unwrap());
        Box::pin(async { Outbound::new(200, "") })
    });
    let agent = Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), 1, handler).unwrap();
    let standin = Standin::start(&["--delay-ms", "2500"]);
    let options = Options { agent: agent.addr, ..standin.options.clone() };
    let (leaving, runner) = (Arc::new(AtomicBool::new(false)), standin.runner.clone());
    let (flag, addr) = (Arc::clone(&leaving), standin.server.addr);
    let announcing = thread::spawn(move || crate::announce(&options, &runner, addr, &flag));
    thread::scope(|scope| {
        let caller = scope.spawn(|| standin.post("a", 1, 60_000));
        standin.await_journal(1);
        leaving.store(true, Ordering::Relaxed);
        announcing.join().unwrap().unwrap();
        assert_eq!(standin.journal(), ["start a", "end a"]);
        assert_eq!(caller.join().unwrap(), Ok((200, "done cord".to_owned())));
    });
    let announcements = announcements.lock().unwrap();
    let first = announcements.iter().position(|announce| announce["leaving"] == true).unwrap();
    assert!(announcements[first..].iter().all(|announce| announce["leaving"] == true));
    assert_eq!(announcements[first]["busy"], 1);
}
