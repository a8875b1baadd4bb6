//! The whole path over real sockets: an entry, an agent and a control instance.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;
use crate::core::Span;
use crate::dispatch::{ClientReply, ClientRequest, EndedRun, JobState, RunStatus, Verb};
use crate::hosting::{Announcement, Listing};
use crate::jobs::{Configuration, End, Incarnation, Need, Queue, RunKey, Service, Step};
use crate::peer;

/// Longest wait for anything; a sound run takes about two seconds.
const LIMIT: Duration = Duration::from_secs(60);
const PORT: u16 = 7_720;

/// An address of this machine that no other test or run uses, so that the port can be fixed.
fn address(part: u8) -> IpAddr {
    let id = std::process::id();
    Ipv4Addr::new(127, 80 + part, (id >> 8) as u8, id as u8).into()
}

fn meter() -> Meter {
    Meter::start().expect("a thread")
}

fn queue() -> Queue {
    Queue {
        name: "quotes".into(),
        host: "shop.example".into(),
        prefix: "/quotes/".into(),
        service: "balcao".into(),
        priority: 0,
        attempts: 2,
        stretch: 1.5,
        objective: Span::millis(300),
        timeout: Span::secs(3),
    }
}

fn setup() -> Configuration {
    let services = vec![Service { name: "balcao".into(), guarded: true, standby: false }];
    let source = bytes::Bytes::from_static(b"{}");
    Configuration { version: 3, queues: vec![queue()], services, source }
}

/// Runs of a runner that ends each of them at once in the same way.
#[derive(Default)]
struct Runs {
    rows: BTreeMap<RunKey, RunStatus>,
    ended: Vec<EndedRun>,
    /// Ends so far.
    count: u64,
}

fn port(end: Option<End>) -> RunnerPort {
    let runs = std::sync::Arc::new(Mutex::new(Runs::default()));
    let lists = std::sync::Arc::clone(&runs);
    RunnerPort {
        list: Box::new(move |target, noted, _, _, done| {
            let mut runs = lists.lock().expect("no panic");
            runs.ended.retain(|ended| ended.number > noted);
            let rows = runs.rows.values().cloned().collect();
            let ended = runs.ended.clone();
            drop(runs);
            done(Ok(Listing {
                clock: 1_000,
                born: target.incarnation.born,
                rows,
                ended,
                unread: false,
            }));
        }),
        pace: Box::new(|_, _, _, done| done(Ok(()))),
        start: Box::new(move |_, start, _, done| {
            let (key, saved) = (start.key, None);
            let mut runs = runs.lock().expect("no panic");
            match end {
                Some(end) => {
                    runs.count += 1;
                    let number = runs.count;
                    runs.ended.push(EndedRun { number, key, end, saved });
                },
                None => {
                    let row = RunStatus { key, saved, percent: 1, figure: 0, share: 100 };
                    runs.rows.insert(key, row);
                },
            }
            drop(runs);
            done(Ok(()));
        }),
        stop: Box::new(|_, _, done| done(Ok(()))),
    }
}

struct Case {
    part: u8,
    /// How each run ends; it goes on without.
    end: Option<End>,
    state: JobState,
}

/// A configuration and a job of two steps go through the log, and the job's state comes back.
#[rstest]
#[case::done(Case { part: 0, end: Some(End::Done), state: JobState::Completed })]
#[case::failed(Case { part: 10, end: Some(End::Failed), state: JobState::Failed })]
#[case::running(Case { part: 20, end: None, state: JobState::Running })]
fn job_goes_the_whole_way(#[case] case: Case) {
    let folder = tempfile::tempdir().expect("a folder");
    let (control, agent, entry) =
        (address(case.part), address(case.part + 1), address(case.part + 2));
    let settings = |ip| NodeSettings::builder(ip, PORT).seeds(vec![control]).first(true).losses(0);
    let data = Some(folder.path().to_owned());
    let control = Control::start(settings(control).data(data).build(), meter()).expect("control");
    let agent = Agent::start(settings(agent).build(), meter(), port(case.end)).expect("agent");
    let counted = meter();
    let entry = Entry::start(settings(entry).build(), counted.clone()).expect("entry");
    assert!(agent.announce(Announcement {
        incarnation: Incarnation { runner: Name::new("i-1").expect("a name"), born: 5 },
        addr: "127.0.0.1:9".parse().expect("an address"),
        service: "balcao".into(),
        centre: "olinda".into(),
        labels: vec!["a".into(), "r1".into()],
        capacity: Need { millicores: 8_000, memory: 8_000, accelerators: 0 },
        draining: false,
        sequence: 1,
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let ask = |job: Option<u64>, verb: Verb| {
        let path = job.map_or_else(String::new, |job| format!("/quotes/{job:016x}"));
        let ask = ClientRequest { host: "shop.example".into(), path: path.into(), job, verb };
        runtime.block_on(entry.ask(ask, Span::secs(10)))
    };
    let began = Instant::now();
    let until = |job: Option<u64>, verb: Verb, wanted: ClientReply| {
        loop {
            let told = ask(job, verb.clone());
            if told == Ok(wanted.clone()) {
                return;
            }
            assert!(began.elapsed() < LIMIT, "told {told:?}, expected {wanted:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    until(None, Verb::Configure(std::sync::Arc::new(setup())), ClientReply::Configured);
    until(None, Verb::ReadSetup, ClientReply::Setup(setup().source));
    let step =
        Step { count: 1, need: Need { millicores: 500, ..Need::default() }, ..Step::default() };
    let steps = vec![step.clone(), Step { after: vec![0], ..step }];
    let verb = Verb::Submit { spec: "spec".into(), steps, schedule: None };
    until(Some(7), verb, ClientReply::Accepted);
    until(Some(7), Verb::Show, ClientReply::State(case.state));
    until(Some(8), Verb::Show, ClientReply::Gone);
    let text = runtime.block_on(counted.text()).expect("no overload");
    assert!(text.contains("toucangrade_answers_total{outcome=\"accepted\"} 1\n"), "{text}");
    assert!(text.contains("toucangrade_answer_seconds_count{verb=\"submit\"} "), "{text}");
    control.stop();
}

/// Number of the members that a control instance knows.
fn members(control: IpAddr) -> usize {
    let client = crate::http::Client::start().expect("a thread");
    let body = peer::encode(&peer::Request::Find);
    let addr = SocketAddr::new(control, PORT);
    let exchange = crate::http::Exchange::post(addr, peer::PATH, body, Span::secs(1));
    match peer::reply(client.call(exchange)) {
        Ok(peer::Reply::Found { members, .. }) => members.len(),
        _ => 0,
    }
}

/// A voter that was silent for a while and was removed is taken in again when it comes back. Nobody
/// tells it of its removal, so it counted itself a member and never heard of a leader again.
#[test]
fn removed_voter_is_taken_in_again() {
    let ips = [0, 1, 2, 3].map(|part| address(60 + part));
    let folders = [0; 4].map(|_| tempfile::tempdir().expect("a folder"));
    let start = |at: usize, first| {
        let settings = NodeSettings::builder(ips[at], PORT).seeds(ips[..3].to_vec()).first(first);
        let settings = settings.data(Some(folders[at].path().to_owned())).build();
        Control::start(settings, meter()).expect("control")
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let began = Instant::now();
    let until = |wanted: &dyn Fn() -> bool, what: &str| {
        while !wanted() {
            assert!(began.elapsed() < LIMIT, "{what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let leader_of = |control: &Control| {
        let ask =
            ClientRequest { host: "".into(), path: "".into(), job: None, verb: Verb::ReadSetup };
        runtime.block_on(control.ask(ask)).err().and_then(|elsewhere| elsewhere.leader)
    };
    let mut group: Vec<Option<Control>> = (0..3).map(|at| Some(start(at, true))).collect();
    until(&|| group.iter().flatten().any(|c| leader_of(c).is_some()), "no leader is elected");
    group.push(Some(start(3, false)));
    let known = |at: usize, count| members(ips[at]) == count;
    until(&|| (0..4).all(|at| known(at, 4)), "the newcomer is no member");
    let follows = |at: &usize| group[*at].as_ref().and_then(leader_of).is_some();
    let silent = (0..3).find(follows).expect("two founders follow");
    if let Some(control) = group[silent].take() {
        control.stop();
    }
    let others: Vec<usize> = (0..4).filter(|at| *at != silent).collect();
    until(&|| others.iter().all(|at| known(*at, 3)), "the silent voter is no member any more");
    let returned = start(silent, false);
    until(&|| leader_of(&returned).is_some(), "the voter that came back hears of no leader");
    for control in group.iter().flatten().chain([&returned]) {
        control.stop();
    }
}

struct Newcomer {
    part: u8,
    /// Whether its only seed is the leader.
    knows_leader: bool,
}

/// An instance with an empty disk hears from the leader though it is only told of another one.
#[rstest]
#[case::knows_the_leader(Newcomer { part: 30, knows_leader: true })]
#[case::knows_a_follower(Newcomer { part: 40, knows_leader: false })]
fn newcomer_is_taken_in(#[case] case: Newcomer) {
    let founders = [0, 1, 2].map(|part| address(case.part + part));
    let folders = [0; 4].map(|_| tempfile::tempdir().expect("a folder"));
    let start = |ip, seeds: &[IpAddr], folder: &tempfile::TempDir, first| {
        let settings = NodeSettings::builder(ip, PORT).seeds(seeds.to_vec()).first(first);
        let settings = settings.data(Some(folder.path().to_owned())).build();
        Control::start(settings, meter()).expect("control")
    };
    let group: Vec<Control> =
        founders.iter().zip(&folders).map(|(ip, f)| start(*ip, &founders, f, true)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let leader_of = |control: &Control| {
        let ask =
            ClientRequest { host: "".into(), path: "".into(), job: None, verb: Verb::ReadSetup };
        runtime.block_on(control.ask(ask)).err().and_then(|elsewhere| elsewhere.leader)
    };
    let began = Instant::now();
    let wait = |control: &Control| loop {
        if let Some(leader) = leader_of(control) {
            return leader;
        }
        assert!(began.elapsed() < LIMIT, "no leader is known");
        std::thread::sleep(Duration::from_millis(20));
    };
    // Of two instances at least one follows.
    let leader = loop {
        if let Some(leader) = group.iter().find_map(leader_of) {
            break leader;
        }
        assert!(began.elapsed() < LIMIT, "no leader is elected");
        std::thread::sleep(Duration::from_millis(20));
    };
    let wanted = |ip: &&IpAddr| (**ip == leader) == case.knows_leader;
    let seed = founders.iter().find(wanted).copied().expect("three instances");
    let newcomer = start(address(case.part + 3), &[seed], &folders[3], false);
    assert!(founders.contains(&wait(&newcomer)));
    for control in group.iter().chain([&newcomer]) {
        control.stop();
    }
}

/// An instance that was removed while it was away finds the group by the members in its own log,
/// though its settings name nobody who is left.
#[test]
fn removed_member_returns_with_outdated_seeds() {
    let founders = [0, 1, 2].map(|part| address(50 + part));
    let folders = [0; 4].map(|_| tempfile::tempdir().expect("a folder"));
    let counted = meter();
    let start = |ip, seeds: &[IpAddr], folder: &tempfile::TempDir, first, meter| {
        let settings = NodeSettings::builder(ip, PORT).seeds(seeds.to_vec()).first(first);
        let settings = settings.data(Some(folder.path().to_owned())).build();
        Control::start(settings, meter).expect("control")
    };
    let meters = [counted.clone(), meter(), meter()];
    let group: Vec<Control> = founders
        .iter()
        .zip(&folders)
        .zip(meters)
        .map(|((ip, folder), meter)| start(*ip, &founders, folder, true, meter))
        .collect();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let until = |what: &str, reached: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !reached() {
            assert!(began.elapsed() < LIMIT, "{what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let voters = |count: u64| {
        let text = runtime.block_on(counted.text()).expect("no overload");
        text.contains(&format!("toucangrade_voters {count}\n"))
    };
    let fourth = start(address(53), &founders, &folders[3], false, meter());
    until("the fourth instance is not taken in", &|| voters(4));
    fourth.stop();
    until("the silent instance is not removed", &|| voters(3));
    let fourth = start(address(53), &[address(54)], &folders[3], false, meter());
    until("the instance that returns is not taken in", &|| voters(4));
    for control in group.iter().chain([&fourth]) {
        control.stop();
    }
}
