//! Fuzzing of the decoders of messages between processes and of the product's own interface: no
//! input may end a process.

use rstest::rstest;

use crate::admission::{self, Admission, Announce};
use crate::agreement::{self, Members, Replica};
use crate::core::{Moment, Name, Span};
use crate::daemon::listed_tasks;
use crate::dispatch::{
    ClientReply, ClientRequest, Denial, Doubts, EndedRun, Orders, Report, RunProfile, RunStatus,
    Runner, Start, Verb,
};
use crate::hosting::{self, Hosting};
use crate::http::tests::mutate::Mutator;
use crate::jobs::{
    Command, Configuration, End, Incarnation, Job, Need, Queue, RunKey, Schedule, Service, Step,
    TaskKey,
};
use crate::peer::{Reply, Request, decode, encode};
use crate::resources::{Collection, Spec};

/// Mutations of each body; all tests together take a few seconds in a debug build.
const ROUNDS: u32 = 4_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn key(index: u16) -> RunKey {
    RunKey { task: TaskKey { job: 7, round: 0, step: 0, index }, run: 1 }
}

fn step() -> Step {
    Step {
        count: 2,
        need: Need { millicores: 500, memory: 100, accelerators: 1 },
        estimate: Span::millis(900),
        image: Some("film".into()),
        target: 50,
        ..Step::default()
    }
}

fn setup() -> Configuration {
    let queue = Queue {
        name: "match".into(),
        host: "shop.example".into(),
        prefix: "/match/".into(),
        service: "balcao".into(),
        priority: 1,
        attempts: 3,
        stretch: 1.5,
        objective: Span::secs(1),
        timeout: Span::secs(3),
    };
    let service = Service { name: "balcao".into(), guarded: true, standby: false };
    let source = bytes::Bytes::from_static(b"{}");
    Configuration { version: 3, queues: vec![queue], services: vec![service], source }
}

fn report() -> Report {
    Report {
        agent: name("10.0.0.1"),
        incarnation: 5,
        seq: 9,
        runner: Some(Runner {
            incarnation: Incarnation { runner: name("i-1"), born: 10 },
            service: "balcao".into(),
            centre: "olinda".into(),
            cold: Span::ZERO,
            labels: vec!["a".into(), "r1".into()],
            capacity: Need { millicores: 4_000, memory: 10_000, accelerators: 0 },
            draining: false,
            clock: 1_000,
        }),
        rows: vec![RunStatus {
            key: key(0),
            saved: Some("c1".into()),
            percent: 4,
            figure: 9,
            share: 90,
        }],
        handling: vec![key(1)],
        stopping: vec![key(2)],
        ended: vec![EndedRun { number: 3, key: key(3), end: End::Done, saved: None }],
        denied: vec![(key(4), Denial::Room)],
        silent: Span::millis(3),
        gone: false,
        amnesia: true,
        doubts: Doubts::default(),
    }
}

fn orders() -> Orders {
    let profile = RunProfile { image: Some("film".into()), cores: 500, target: 50, fills: true };
    let spec = "spec".into();
    Orders {
        until: Some(6_800),
        noted: 3,
        starts: vec![Start { key: key(1), spec, saved: None, profile: profile.clone() }],
        stops: vec![key(0)],
        profiles: vec![(key(0), profile)],
        late: Some(vec![key(0)]),
        table: None,
    }
}

fn requests() -> Vec<Request> {
    let ask = |verb| {
        let (host, path) = ("shop.example".into(), "/match/0000000000000007".into());
        Request::Ask(Box::new(ClientRequest { host, path, job: Some(7), verb }))
    };
    let schedule = Some(Schedule { times: 2, first: 10, every: 5 });
    let entry = agreement::Entry {
        index: 4,
        term: 6,
        payload: agreement::Payload::Command(bytes::Bytes::from_static(b"command")),
    };
    let replica = Replica { name: name("10.0.0.2"), identity: 77 };
    let body =
        agreement::Body::Append { prev_index: 3, prev_term: 2, commit: 1, entries: vec![entry] };
    let message =
        agreement::PeerMessage { from: replica.clone(), target: 1, term: 6, members_at: 1, body };
    vec![
        ask(Verb::Submit { spec: "spec".into(), steps: vec![step(), step()], schedule }),
        ask(Verb::Configure(std::sync::Arc::new(setup()))),
        ask(Verb::Show),
        Request::Report(Box::new(report())),
        Request::Agree(message),
        Request::Join(replica.clone()),
        Request::Leave(replica),
        Request::Find,
    ]
}

fn replies() -> Vec<Reply> {
    vec![
        Reply::Ordered(Box::new(orders())),
        Reply::Told(ClientReply::Refused { reason: "full".into(), after: Span::secs(1) }),
        Reply::Found { leader: Some(name("10.0.0.1")), members: vec![name("10.0.0.1")] },
    ]
}

fn commands() -> Vec<Command> {
    let (spec, queue) = ("spec".into(), "match".into());
    let job = Job { id: 7, queue, spec, steps: vec![step()], schedule: None };
    vec![
        Command::Configure(std::sync::Arc::new(setup())),
        Command::Accept { job: std::sync::Arc::new(job), wall: 9 },
        Command::Assign { key: key(0), incarnation: Incarnation { runner: name("i-1"), born: 10 } },
        Command::Close { key: key(0), end: End::Failed, saved: Some("c1".into()) },
        Command::Open { job: 7, round: 1 },
    ]
}

/// Passes mutations of every body to `check`, which returns whether the body could be decoded. Some
/// have to be, so that the code behind the decoder is tested too.
fn mutate(seed: u64, bodies: &[Vec<u8>], mut check: impl FnMut(&[u8]) -> bool) {
    let mut mutator = Mutator::new(seed);
    let mut read = 0;
    for body in bodies {
        for _ in 0..ROUNDS {
            let other = &bodies[mutator.below(bodies.len())];
            read += u32::from(check(&mutator.body(body, other)));
        }
    }
    assert!(read > ROUNDS / 100, "{read} mutations were decoded");
}

/// A request that can be decoded can be encoded and decoded again: its content may go through the log,
/// where a command that can't be decoded stops every control instance.
#[test]
fn decoded_requests_can_be_encoded() {
    let bodies: Vec<_> = requests().iter().map(|request| encode(request).to_vec()).collect();
    mutate(1, &bodies, |body| {
        let read = decode::<Request>(body);
        let again = read.as_ref().and_then(|request| decode::<Request>(&encode(request)));
        // NaN is not equal to itself, so the debug output is compared.
        assert_eq!(format!("{again:?}"), format!("{read:?}"));
        read.is_some()
    });
}

/// The same for replies and for commands in the log.
#[test]
fn replies_and_commands_are_decoded_or_refused() {
    let bodies: Vec<_> = replies().iter().map(|reply| encode(reply).to_vec()).collect();
    mutate(2, &bodies, |body| decode::<Reply>(body).is_some());
    let bodies = [encode(&commands()).to_vec()];
    mutate(3, &bodies, |body| {
        let read = decode::<Vec<Command>>(body);
        let again = read.as_ref().and_then(|read| decode::<Vec<Command>>(&encode(read)));
        assert_eq!(again.is_some(), read.is_some());
        read.is_some()
    });
}

/// An agent handles any orders that it can decode.
#[test]
fn agents_handle_any_orders() {
    let bodies = [encode(&orders()).to_vec()];
    let mut hosting = Hosting::new(name("10.0.0.1"), 1);
    let mut now = Moment::micros(1_000_000);
    mutate(4, &bodies, |body| {
        let Some(orders) = decode::<Orders>(body) else { return false };
        now = now + Span::millis(10);
        let message = hosting::Message::Ordered { seq: u64::MAX, orders: Some(Box::new(orders)) };
        hosting.step(now, message);
        hosting.step(now, hosting::Message::Tick);
        true
    });
}

/// A control instance that belongs to no group handles any message of the log that it can decode.
#[test]
fn new_instances_handle_any_log_message() {
    let message = requests().into_iter().find_map(|request| match request {
        Request::Agree(message) => Some(message),
        _ => None,
    });
    let mut message = message.expect("one of them");
    let group = Members::voting([message.from.clone(), Replica { name: name("a"), identity: 1 }]);
    let part = agreement::Snapshot {
        index: 3,
        term: 2,
        members: group,
        members_at: 1,
        state: bytes::Bytes::from_static(b"state"),
    };
    let mut bodies = vec![encode(&message).to_vec()];
    message.body = agreement::Body::Chunk { part, offset: 0, total: 5 };
    bodies.push(encode(&message).to_vec());
    message.body =
        agreement::Body::Vote { last_index: 3, last_term: 2, pre: false, transfer: false };
    bodies.push(encode(&message).to_vec());
    mutate(5, &bodies, |body| {
        let Some(message) = decode::<agreement::PeerMessage>(body) else { return false };
        let settings = agreement::Settings {
            name: name("a"),
            founders: Vec::new(),
            seed: 1,
            target_voters: None,
        };
        let recovered = agreement::Recovered { identity: 1, ..Default::default() };
        let now = Moment::micros(1_000_000);
        let mut instance = agreement::Agreement::new(settings, recovered, now);
        instance.step(now, agreement::Message::Peer(message));
        instance.step(now + Span::secs(9), agreement::Message::Tick);
        true
    });
}

/// Announcements of endpoints are accepted or refused.
#[test]
fn announcements_are_accepted_or_refused() {
    let body = br#"{"service":"balcao","kinds":["quote"],"slots":8,"connections":64,
        "addr":"127.0.0.1:8080","leaving":false,"busy":1,"checkpoints":["quote"]}"#;
    let mut admission = Admission::new(1);
    let mut now = Moment::micros(1_000_000);
    mutate(6, &[body.to_vec()], |body| {
        let Ok(announce) = serde_json::from_slice::<Announce>(body) else { return false };
        now = now + Span::millis(10);
        admission.step(now, admission::Message::Announce { ticket: 1, announce });
        admission.step(now, admission::Message::Tick);
        true
    });
}

struct Resource {
    collection: Collection,
    body: &'static str,
}

/// Bodies of resources are decoded or refused.
#[rstest]
#[case::job(Resource {
    collection: Collection::Jobs,
    body: r#"{"shop":"klopca","team":"t","kind":"k","millicores":500,"memory_mb":64,"tasks":2}"#,
})]
#[case::quota(Resource {
    collection: Collection::Quotas,
    body: r#"{"objective":"latency","memory_mb":64,"accelerators":1}"#,
})]
#[case::service(Resource {
    collection: Collection::Services,
    body: r#"{"shop":"klopca","kinds":{"match":{"class":"quick","timeout_ms":500}}}"#,
})]
#[case::watch(Resource {
    collection: Collection::Watches,
    body: r#"{"shop":"klopca","kind":"humidity","millicores":5,"memory_mb":9}"#,
})]
fn resources_are_decoded_or_refused(#[case] case: Resource) {
    let collection = case.collection;
    Spec::parse(collection, case.body.as_bytes()).expect("sound");
    mutate(7, &[case.body.as_bytes().to_vec()], |body| Spec::parse(collection, body).is_ok());
}

const TASK: &str = r#"{"job":"j-1","fence":3,"stage":"running","done":7,
    "checkpoint":{"number":1,"done":5},"used":{"cores":4,"memory":9,"accelerators":0}}"#;

/// An invalid entry of a worker's list is skipped. One such entry made the whole list unreadable.
#[rstest]
#[case::null("null")]
#[case::deep(&"[".repeat(300).chars().chain("]".repeat(300).chars()).collect::<String>())]
#[case::unknown_stage(&TASK.replace("running", "dreaming"))]
#[case::large(&TASK.replace(":7,", ":1e400,"))]
#[case::negative(&TASK.replace(":7,", ":-7,"))]
#[case::no_name(&TASK.replace("j-1", ""))]
fn invalid_task_is_skipped(#[case] invalid: &str) {
    let body = format!("[{TASK},{invalid},{}]", TASK.replace("j-1", "j-2"));
    let tasks = listed_tasks(body.as_bytes()).expect("a list");
    let names: Vec<&str> = tasks.iter().map(|task| task.job.as_str()).collect();
    assert_eq!(names, ["j-1", "j-2"]);
    mutate(8, &[body.into_bytes()], |body| listed_tasks(body).is_some());
}
