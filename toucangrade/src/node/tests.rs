//! End-to-end tests over real sockets with an entry, an agent and control instances.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;
use crate::agreement::Disk;
use crate::core::Span;
use crate::dispatch::{ClientReply, ClientRequest, EndedRun, JobState, RunStatus, Verb};
use crate::hosting::{Announcement, Listing};
use crate::jobs::{Configuration, End, Incarnation, Need, Queue, RunKey, Service, Step};
use crate::peer;

/// Longest time for all conditions of a test; a passing run takes about two seconds.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const PORT: u16 = 7_720;

/// A loopback address that no other test or test run uses, so that the port can be fixed.
fn address(subnet: u8) -> IpAddr {
    let id = std::process::id();
    Ipv4Addr::new(127, 80 + subnet, (id >> 8) as u8, id as u8).into()
}

fn meter() -> Meter {
    Meter::start().expect("thread starts")
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

/// State of a runner stub, which ends all runs immediately in the same way, or none.
#[derive(Default)]
struct Runs {
    rows: BTreeMap<RunKey, RunStatus>,
    ended: Vec<EndedRun>,
    /// Number of ended runs.
    count: u64,
}

fn port(end: Option<End>) -> RunnerPort {
    let runs = std::sync::Arc::new(Mutex::new(Runs::default()));
    let listed_runs = std::sync::Arc::clone(&runs);
    RunnerPort {
        list: Box::new(move |target, noted, _, _, done| {
            let mut runs = listed_runs.lock().expect("mutex is not poisoned");
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
                complete: true,
            }));
        }),
        pace: Box::new(|_, _, _, done| done(Ok(()))),
        start: Box::new(move |_, start, _, done| {
            let (key, saved) = (start.key, None);
            let mut runs = runs.lock().expect("mutex is not poisoned");
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
    subnet: u8,
    /// How each run ends; `None` if runs keep running.
    end: Option<End>,
    state: JobState,
}

/// Guards against a job of two steps that doesn't reach its state by way of entry, log, dispatch
/// and agent.
#[rstest]
#[case::done(Case { subnet: 0, end: Some(End::Done), state: JobState::Completed })]
#[case::failed(Case { subnet: 10, end: Some(End::Failed), state: JobState::Failed })]
#[case::running(Case { subnet: 20, end: None, state: JobState::Running })]
fn job_runs_end_to_end(#[case] case: Case) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (control, agent, entry) =
        (address(case.subnet), address(case.subnet + 1), address(case.subnet + 2));
    let settings = |ip| NodeSettings::builder(ip, PORT).seeds(vec![control]).first(true).losses(0);
    let data = Some(folder.path().to_owned());
    let control =
        Control::start(settings(control).data(data).build(), meter()).expect("control starts");
    let agent =
        Agent::start(settings(agent).build(), meter(), port(case.end)).expect("agent starts");
    let counted = meter();
    let entry = Entry::start(settings(entry).build(), counted.clone()).expect("entry starts");
    assert!(agent.announce(Announcement {
        incarnation: Incarnation { runner: Name::new("i-1").expect("valid name"), born: 5 },
        addr: "127.0.0.1:9".parse().expect("valid address"),
        service: "balcao".into(),
        centre: "olinda".into(),
        cold: Span::ZERO,
        labels: vec!["a".into(), "r1".into()],
        capacity: Need { millicores: 8_000, memory: 8_000, accelerators: 0 },
        draining: false,
        sequence: 1,
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
    let ask = |job: Option<u64>, verb: Verb| {
        let path = job.map_or_else(String::new, |job| format!("/quotes/{job:016x}"));
        let ask = ClientRequest { host: "shop.example".into(), path: path.into(), job, verb };
        runtime.block_on(entry.ask(ask, Span::secs(10)))
    };
    let began = Instant::now();
    let wait_until = |job: Option<u64>, verb: Verb, wanted: ClientReply| {
        loop {
            let told = ask(job, verb.clone());
            if told == Ok(wanted.clone()) {
                return;
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "answer is {told:?}, expected {wanted:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    wait_until(None, Verb::Configure(std::sync::Arc::new(setup())), ClientReply::Configured);
    wait_until(None, Verb::ReadSetup, ClientReply::Setup(setup().source));
    let step =
        Step { count: 1, need: Need { millicores: 500, ..Need::default() }, ..Step::default() };
    let steps = vec![step.clone(), Step { after: vec![0], ..step }];
    let verb = Verb::Submit { spec: "spec".into(), steps, schedule: None };
    wait_until(Some(7), verb, ClientReply::Accepted);
    wait_until(Some(7), Verb::Show, ClientReply::State(case.state));
    wait_until(Some(8), Verb::Show, ClientReply::Gone);
    let text = runtime.block_on(counted.text()).expect("metrics are not shed");
    assert!(text.contains("toucangrade_answers_total{outcome=\"accepted\"} 1\n"), "{text}");
    assert!(text.contains("toucangrade_answer_seconds_count{verb=\"submit\"} "), "{text}");
    control.stop();
}

/// Number of group members that a control instance reports.
fn members(control: IpAddr) -> usize {
    let client = crate::http::Client::start().expect("thread starts");
    let body = peer::encode(&peer::Request::Find);
    let addr = SocketAddr::new(control, PORT);
    let exchange = crate::http::Exchange::post(addr, peer::PATH, body, Span::secs(1));
    match peer::reply(client.call(exchange)) {
        Ok(peer::Reply::Found { members, .. }) => members.len(),
        _ => 0,
    }
}

/// Guards against a removed voter that never rejoins: nobody notifies a silent voter of its
/// removal, so on its return it considered itself a member and never learned of a leader.
#[test]
fn removed_voter_rejoins() {
    let ips = [0, 1, 2, 3].map(|index| address(60 + index));
    let folders = [0; 4].map(|_| tempfile::tempdir().expect("temporary folder"));
    let start = |at: usize, first| {
        let settings = NodeSettings::builder(ips[at], PORT).seeds(ips[..3].to_vec()).first(first);
        let settings = settings.data(Some(folders[at].path().to_owned())).build();
        Control::start(settings, meter()).expect("control starts")
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
    let began = Instant::now();
    let wait_until = |wanted: &dyn Fn() -> bool, what: &str| {
        while !wanted() {
            assert!(began.elapsed() < TEST_TIMEOUT, "{what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let leader_of = |control: &Control| {
        let ask =
            ClientRequest { host: "".into(), path: "".into(), job: None, verb: Verb::ReadSetup };
        runtime.block_on(control.ask(ask)).err().and_then(|elsewhere| elsewhere.leader)
    };
    let mut group: Vec<Option<Control>> = (0..3).map(|at| Some(start(at, true))).collect();
    wait_until(&|| group.iter().flatten().any(|c| leader_of(c).is_some()), "no leader is elected");
    group.push(Some(start(3, false)));
    let known = |at: usize, count| members(ips[at]) == count;
    wait_until(&|| (0..4).all(|at| known(at, 4)), "the new instance does not become a member");
    let follows = |at: &usize| group[*at].as_ref().and_then(leader_of).is_some();
    let silent = (0..3).find(follows).expect("one of the founders is a follower");
    if let Some(control) = group[silent].take() {
        control.stop();
    }
    let others: Vec<usize> = (0..4).filter(|at| *at != silent).collect();
    wait_until(&|| others.iter().all(|at| known(*at, 3)), "the stopped voter is not removed");
    let returned = start(silent, false);
    wait_until(&|| leader_of(&returned).is_some(), "the returned voter learns of no leader");
    for control in group.iter().flatten().chain([&returned]) {
        control.stop();
    }
}

struct JoinCase {
    subnet: u8,
    /// Whether its only seed is the leader, or a follower.
    seed_leads: bool,
}

/// Guards against a new instance that doesn't learn of the leader if its only seed is a follower.
#[rstest]
#[case::seed_is_leader(JoinCase { subnet: 30, seed_leads: true })]
#[case::seed_is_follower(JoinCase { subnet: 40, seed_leads: false })]
fn new_instance_joins(#[case] case: JoinCase) {
    let founders = [0, 1, 2].map(|index| address(case.subnet + index));
    let folders = [0; 4].map(|_| tempfile::tempdir().expect("temporary folder"));
    let start = |ip, seeds: &[IpAddr], folder: &tempfile::TempDir, first| {
        let settings = NodeSettings::builder(ip, PORT).seeds(seeds.to_vec()).first(first);
        let settings = settings.data(Some(folder.path().to_owned())).build();
        Control::start(settings, meter()).expect("control starts")
    };
    let group: Vec<Control> =
        founders.iter().zip(&folders).map(|(ip, f)| start(*ip, &founders, f, true)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
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
        assert!(began.elapsed() < TEST_TIMEOUT, "no leader is known");
        std::thread::sleep(Duration::from_millis(20));
    };
    // A follower names the leader; at least one of any two instances is a follower.
    let leader = loop {
        if let Some(leader) = group.iter().find_map(leader_of) {
            break leader;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "no leader is elected");
        std::thread::sleep(Duration::from_millis(20));
    };
    let wanted = |ip: &&IpAddr| (**ip == leader) == case.seed_leads;
    let seed = founders.iter().find(wanted).copied().expect("one of the founders matches");
    let newcomer = start(address(case.subnet + 3), &[seed], &folders[3], false);
    assert!(founders.contains(&wait(&newcomer)));
    for control in group.iter().chain([&newcomer]) {
        control.stop();
    }
}

/// Guards against an instance that was removed while it was stopped and can't rejoin since its
/// seeds are outdated: it has to find the group by the members in its own log.
#[test]
fn removed_member_rejoins_with_outdated_seeds() {
    let founders = [0, 1, 2].map(|index| address(50 + index));
    let folders = [0; 4].map(|_| tempfile::tempdir().expect("temporary folder"));
    let counted = meter();
    let start = |ip, seeds: &[IpAddr], folder: &tempfile::TempDir, first, meter| {
        let settings = NodeSettings::builder(ip, PORT).seeds(seeds.to_vec()).first(first);
        let settings = settings.data(Some(folder.path().to_owned())).build();
        Control::start(settings, meter).expect("control starts")
    };
    let meters = [counted.clone(), meter(), meter()];
    let group: Vec<Control> = founders
        .iter()
        .zip(&folders)
        .zip(meters)
        .map(|((ip, folder), meter)| start(*ip, &founders, folder, true, meter))
        .collect();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
    let wait_until = |what: &str, reached: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !reached() {
            assert!(began.elapsed() < TEST_TIMEOUT, "{what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let voters = |count: u64| {
        let text = runtime.block_on(counted.text()).expect("metrics are not shed");
        text.contains(&format!("toucangrade_voters {count}\n"))
    };
    let fourth = start(address(53), &founders, &folders[3], false, meter());
    wait_until("the fourth instance does not become a member", &|| voters(4));
    fourth.stop();
    wait_until("the stopped instance is not removed", &|| voters(3));
    let fourth = start(address(53), &[address(54)], &folders[3], false, meter());
    wait_until("the returned instance does not become a member", &|| voters(4));
    for control in group.iter().chain([&fourth]) {
        control.stop();
    }
}

struct Replacement {
    subnet: u8,
    /// Order in which the founders stop; the first leader may be any of them.
    order: [usize; 3],
}

/// Guards against a group that can't elect a leader for good after all of its instances were
/// replaced as planned: those that had stopped counted as voters for 5 s.
#[rstest]
#[case::in_order(Replacement { subnet: 110, order: [0, 1, 2] })]
#[case::in_reverse(Replacement { subnet: 120, order: [2, 1, 0] })]
fn planned_replacement_keeps_a_leader(#[case] case: Replacement) {
    let mut group = Group::new(case.subnet);
    group.configure();
    let folders = [0; 3].map(|_| tempfile::tempdir().expect("temporary folder"));
    let counted = [0; 3].map(|_| meter());
    let successors: Vec<Control> = folders
        .iter()
        .zip(&counted)
        .enumerate()
        .map(|(at, (folder, meter))| {
            let ip = address(case.subnet + 3 + at as u8);
            let settings = NodeSettings::builder(ip, PORT).seeds(group.ips.to_vec());
            let settings = settings.data(Some(folder.path().to_owned())).build();
            Control::start(settings, meter.clone()).expect("control starts")
        })
        .collect();
    let began = Instant::now();
    let voters = |meter: &Meter, count: u64| {
        let text = group.runtime.block_on(meter.text()).expect("metrics are not shed");
        text.contains(&format!("toucangrade_voters {count}\n"))
    };
    while !counted.iter().all(|meter| voters(meter, 6)) {
        assert!(began.elapsed() < TEST_TIMEOUT, "the successors do not become voters");
        std::thread::sleep(Duration::from_millis(50));
    }
    for at in case.order {
        let stopped = group.instances[at].take().expect("a running instance");
        stopped.stop();
    }
    group.instances = successors
        .into_iter()
        .map(Some)
        .collect::<Vec<_>>()
        .try_into()
        .unwrap_or_else(|_| unreachable!("three successors"));
    group.configure();
    group.stop();
}

/// The files of a folder, on a disk that takes no more bytes while `full` is set.
fn disk(folder: &tempfile::TempDir, full: &Arc<AtomicBool>) -> Disk {
    let mut disk = Disk::directory(folder.path()).expect("folder can be used");
    let (full, mut append) = (Arc::clone(full), disk.append);
    disk.append = Box::new(move |name, data| {
        if full.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        append(name, data)
    });
    disk
}

/// Three control instances on disks that can be full.
struct Group {
    instances: [Option<Control>; 3],
    ips: [IpAddr; 3],
    folders: [tempfile::TempDir; 3],
    full: [Arc<AtomicBool>; 3],
    runtime: tokio::runtime::Runtime,
    version: u64,
}

impl Group {
    fn new(subnet: u8) -> Self {
        let mut group = Self {
            instances: [const { None }; 3],
            ips: [0, 1, 2].map(|index| address(subnet + index)),
            folders: [0; 3].map(|_| tempfile::tempdir().expect("temporary folder")),
            full: [0; 3].map(|_| Arc::new(AtomicBool::new(false))),
            runtime: tokio::runtime::Builder::new_current_thread().build().expect("runtime starts"),
            version: 0,
        };
        (0..3).for_each(|at| group.start(at, true));
        group
    }

    fn start(&mut self, at: usize, first: bool) {
        let settings = NodeSettings::builder(self.ips[at], PORT).seeds(self.ips.to_vec());
        let disk = disk(&self.folders[at], &self.full[at]);
        let control = Control::start_on(settings.first(first).build(), meter(), disk);
        self.instances[at] = Some(control.expect("control starts"));
    }

    /// Stops all instances, then starts them on the same files.
    fn restart(&mut self) {
        self.stop();
        (0..3).for_each(|at| self.start(at, false));
    }

    fn stop(&mut self) {
        self.instances.iter_mut().filter_map(Option::take).for_each(|control| control.stop());
    }

    /// Sends a request to all instances in turn until it is answered as wanted.
    fn wait_for(&self, job: Option<u64>, verb: &Verb, wanted: &ClientReply) {
        let path = job.map_or_else(String::new, |job| format!("/quotes/{job:016x}"));
        let (host, path, verb) = ("shop.example".into(), path.into(), verb.clone());
        let request = ClientRequest { host, path, job, verb };
        let ask = |control: &Control| self.runtime.block_on(control.ask(request.clone())).ok();
        let began = Instant::now();
        while self.instances.iter().flatten().find_map(ask).as_ref() != Some(wanted) {
            assert!(began.elapsed() < TEST_TIMEOUT, "no answer {wanted:?} to {request:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a newer configuration, which has to be stored and read.
    fn configure(&mut self) {
        self.version += 1;
        let source = bytes::Bytes::from(format!("{{\"version\":{}}}", self.version));
        let setup = Configuration { version: self.version, source: source.clone(), ..setup() };
        self.wait_for(None, &Verb::Configure(Arc::new(setup)), &ClientReply::Configured);
        self.wait_for(None, &Verb::ReadSetup, &ClientReply::Setup(source));
    }

    /// Lets the disk of an instance be full while the configuration changes twice.
    fn fill_disk(&mut self, at: usize) {
        self.full[at].store(true, Ordering::Relaxed);
        self.configure();
        self.configure();
        self.full[at].store(false, Ordering::Relaxed);
    }
}

struct FullDisks {
    subnet: u8,
    /// Instances whose disks are full, one after the other.
    order: &'static [usize],
}

/// Guards against a configuration that can't be read any more, since each control instance whose
/// disk was full for a moment rejected all requests until its process was started again.
#[rstest]
#[case::two(FullDisks { subnet: 70, order: &[0, 1] })]
#[case::all_twice(FullDisks { subnet: 90, order: &[2, 0, 1, 0, 2, 1] })]
fn configuration_is_read_after_full_disks(#[case] case: FullDisks) {
    let mut group = Group::new(case.subnet);
    group.configure();
    case.order.iter().for_each(|at| group.fill_disk(*at));
    group.configure();
    group.stop();
}

/// Guards against a cancelled job that runs again after a restart of all processes, since full disks
/// had left no leader to take the cancellation before it.
#[test]
fn cancellation_is_taken_after_full_disks() {
    let mut group = Group::new(100);
    group.configure();
    let step =
        Step { count: 1, need: Need { millicores: 500, ..Need::default() }, ..Step::default() };
    let verb = Verb::Submit { spec: "spec".into(), steps: vec![step], schedule: None };
    group.wait_for(Some(7), &verb, &ClientReply::Accepted);
    [2, 0].into_iter().for_each(|at| group.fill_disk(at));
    group.wait_for(Some(7), &Verb::Cancel, &ClientReply::Cancelled);
    group.restart();
    group.wait_for(Some(7), &Verb::Show, &ClientReply::State(JobState::Cancelled));
    group.stop();
}
