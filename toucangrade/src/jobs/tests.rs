//! Tests of the checks of job declarations and configurations.

use rstest::rstest;

use super::*;
use crate::core::Span;
use crate::evacuation::EvacuationVerb;

fn step(count: u32, after: Vec<u16>) -> Step {
    Step { count, after, estimate: Span::secs(1), ..Step::default() }
}

fn job(steps: Vec<Step>) -> Job {
    Job { id: 1, queue: "quotes".into(), spec: "spec".into(), steps, schedule: None }
}

struct JobCheck {
    steps: Vec<Step>,
    refused: Option<&'static str>,
}

/// An invalid job is refused with the field, its value and the allowed range.
#[rstest]
#[case::valid(JobCheck { steps: vec![step(1, vec![]), step(2, vec![0])], refused: None })]
#[case::no_steps(JobCheck {
    steps: vec![], refused: Some("the job has 0 steps, allowed are 1 to 256"),
})]
#[case::no_tasks(JobCheck {
    steps: vec![step(0, vec![])],
    refused: Some("steps[0] has 0 tasks, allowed are 1 to 4096"),
})]
#[case::after_itself(JobCheck {
    steps: vec![step(1, vec![0])],
    refused: Some("steps[0].after names step 0, allowed are steps before 0"),
})]
#[case::after_a_later_one(JobCheck {
    steps: vec![step(1, vec![]), step(1, vec![7])],
    refused: Some("steps[1].after names step 7, allowed are steps before 1"),
})]
#[case::too_many_tasks(JobCheck {
    steps: vec![step(4_096, vec![]); 5],
    refused: Some("the job has 20480 tasks, allowed are 1 to 16384"),
})]
#[case::too_much_memory(JobCheck {
    steps: vec![Step { need: Need { memory: 100_000_001, ..Need::default() }, ..step(1, vec![]) }],
    refused: Some("steps[0] needs 100000001 MB of memory, allowed are 0 to 100000000"),
})]
#[case::too_many_accelerators(JobCheck {
    steps: vec![Step { need: Need { accelerators: u64::MAX, ..Need::default() }, ..step(1, vec![]) }],
    refused: Some("steps[0] needs 18446744073709551615 accelerators, allowed are 0 to 10000"),
})]
#[case::long_label(JobCheck {
    steps: vec![Step { label: Some("x".repeat(256).into()), ..step(1, vec![]) }],
    refused: Some("steps[0].label has 256 bytes, allowed are 0 to 255"),
})]
#[case::long_rack(JobCheck {
    steps: vec![step(1, vec![]), Step { rack: Some("x".repeat(256).into()), ..step(1, vec![]) }],
    refused: Some("steps[1].rack has 256 bytes, allowed are 0 to 255"),
})]
fn jobs_are_checked(#[case] case: JobCheck) {
    let refused = job(case.steps).check().err().map(|bad| bad.to_string());
    assert_eq!(refused.as_deref(), case.refused);
}

/// A `spec` that is too long for a log entry is refused.
#[test]
fn long_texts_are_refused() {
    let spec = "x".repeat(65_537).into();
    let refused = Job { spec, ..job(vec![step(1, vec![])]) }.check().err();
    let refused = refused.map(|bad| bad.to_string());
    assert_eq!(refused.as_deref(), Some("spec has 65537 bytes, allowed are 0 to 65536"));
}

/// Sums of resources saturate instead of wrapping round to small numbers.
#[test]
fn sums_of_needs_saturate() {
    let max = Need { millicores: u64::MAX, memory: u64::MAX, accelerators: u64::MAX };
    let mut sum = Need { millicores: 1, memory: 1, accelerators: 1 };
    sum.add(&max);
    assert_eq!(sum, max);
}

struct DepthCase {
    steps: Vec<Step>,
    depth: usize,
}

/// The depth of a job is the number of steps in its longest chain of dependencies.
#[rstest]
#[case::independent_steps(DepthCase { steps: vec![step(1, vec![]), step(1, vec![])], depth: 1 })]
#[case::joined(DepthCase {
    steps: vec![step(1, vec![]), step(1, vec![]), step(1, vec![0, 1]), step(1, vec![2])],
    depth: 3,
})]
#[case::shortcut(DepthCase {
    steps: vec![step(1, vec![]), step(1, vec![0]), step(1, vec![0])],
    depth: 2,
})]
fn depth_is_the_longest_chain(#[case] case: DepthCase) {
    assert_eq!(job(case.steps).depth(), case.depth);
}

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        service: "balcao".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        objective: Span::ZERO,
        timeout: Span::secs(3),
    }
}

fn setup(queues: Vec<Queue>) -> Configuration {
    let services = vec![Service { name: "balcao".into(), guarded: true, standby: false }];
    Configuration { version: 1, queues, services, source: bytes::Bytes::new() }
}

struct SetupCheck {
    queues: Vec<Queue>,
    refused: Option<&'static str>,
}

/// An invalid configuration is refused, and the reason names the queue and the invalid value.
#[rstest]
#[case::valid(SetupCheck { queues: vec![queue("a", "/a/"), queue("b", "/b/")], refused: None })]
#[case::same_host_and_prefix(SetupCheck {
    queues: vec![queue("a", "/a/"), queue("b", "/a/")],
    refused: Some("queues \"a\" and \"b\" share host \"shop.example\" and prefix \"/a/\""),
})]
#[case::unknown_service(SetupCheck {
    queues: vec![Queue { service: "other".into(), ..queue("a", "/a/") }],
    refused: Some("queue \"a\" names service \"other\", which is not declared"),
})]
#[case::no_timeout(SetupCheck {
    queues: vec![Queue { timeout: Span::ZERO, ..queue("a", "/a/") }],
    refused: Some("queue \"a\" has a timeout of 0 ms, it must be at least 1"),
})]
fn configurations_are_checked(#[case] case: SetupCheck) {
    let refused = setup(case.queues).check().err().map(|bad| bad.to_string());
    assert_eq!(refused.as_deref(), case.refused);
}

struct FindCase {
    host: &'static str,
    path: &'static str,
    found: Option<(&'static str, &'static str)>,
}

/// The host and the longest matching path prefix select the queue.
#[rstest]
#[case::shorter(FindCase { host: "shop.example", path: "/a/x", found: Some(("a", "x")) })]
#[case::longer(FindCase { host: "shop.example", path: "/a/b/x", found: Some(("ab", "x")) })]
#[case::other_host(FindCase { host: "other.example", path: "/a/x", found: None })]
#[case::no_prefix(FindCase { host: "shop.example", path: "/c/x", found: None })]
fn queues_are_found(#[case] case: FindCase) {
    let setup = setup(vec![queue("a", "/a/"), queue("ab", "/a/b/")]);
    let found = setup.find(case.host, case.path);
    assert_eq!(found.map(|(queue, rest)| (&*queue.name, rest)), case.found);
}

struct Replacement {
    /// Versions and queue names of the configurations, in the order in which they are committed.
    committed: &'static [(u64, &'static [&'static str])],
    /// Names that are found afterwards.
    found: &'static [&'static str],
}

/// The positions of queues follow the configuration in force.
#[rstest]
#[case::first(Replacement { committed: &[(1, &["a", "b"])], found: &["a", "b"] })]
#[case::newer(Replacement { committed: &[(1, &["a", "b"]), (2, &["c", "b"])], found: &["b", "c"] })]
#[case::older(Replacement { committed: &[(2, &["a"]), (1, &["b"])], found: &["a"] })]
fn queues_are_found_in_the_configuration_in_force(#[case] case: Replacement) {
    let mut table = JobTable::default();
    for (version, names) in case.committed {
        let queues = names.iter().map(|name| queue(name, &format!("/{name}/"))).collect();
        let next = Configuration { version: *version, ..setup(queues) };
        table.apply(&Command::Configure(std::sync::Arc::new(next)));
        for name in ["a", "b", "c"] {
            assert_eq!(table.queue(name), table.setup.queue(name), "queue {name}");
        }
    }
    let found: Vec<&str> =
        ["a", "b", "c"].into_iter().filter(|name| table.queue(name).is_some()).collect();
    assert_eq!(found, case.found);
}

/// A snapshot or a log of an earlier version, without withdrawn names, can still be read.
#[test]
fn earlier_encodings_are_read() {
    #[derive(Serialize)]
    struct EarlierTable {
        setup: Configuration,
        jobs: std::collections::BTreeMap<u64, u8>,
    }
    #[derive(Serialize)]
    enum EarlierCommand {
        Cancel { job: u64 },
    }
    let table = EarlierTable { setup: setup(vec![queue("a", "/a/")]), jobs: [].into() };
    let table = rmp_serde::to_vec(&table).expect("encodes");
    let table: JobTable = rmp_serde::from_slice(&table).expect("decodes");
    assert!(table.withdrawn.is_empty() && table.queue("a").is_some());
    let command = rmp_serde::to_vec(&EarlierCommand::Cancel { job: 7 }).expect("encodes");
    let command: Command = rmp_serde::from_slice(&command).expect("decodes");
    assert_eq!(command, Command::Cancel { job: 7, queue: None });
}

/// What happens to a job with one task, of a queue that allows three attempts at first.
#[derive(Clone, Copy)]
enum Change {
    /// A configuration with the job's queue and this many attempts, or without the queue.
    Configure(Option<u32>),
    /// A run of the task ends.
    End(End),
}

struct Attempts {
    changes: &'static [Change],
    phase: Phase,
}

/// A job whose queue was missing from the configuration for a moment was failed by the first failed
/// run, as if its queue allowed a single attempt.
#[rstest]
#[case::queue_is_away(Attempts {
    changes: &[Change::Configure(None), Change::End(End::Failed)], phase: Phase::Active,
})]
#[case::queue_returns(Attempts {
    changes: &[
        Change::Configure(None), Change::End(End::Failed), Change::Configure(Some(3)),
        Change::End(End::Failed),
    ],
    phase: Phase::Active,
})]
#[case::failures_count(Attempts {
    changes: &[
        Change::Configure(None), Change::End(End::Failed), Change::Configure(Some(3)),
        Change::End(End::Failed), Change::End(End::Failed),
    ],
    phase: Phase::Failed,
})]
#[case::exhausted_while_away(Attempts {
    changes: &[
        Change::End(End::Failed), Change::End(End::Failed), Change::Configure(None),
        Change::End(End::Failed), Change::Configure(Some(3)),
    ],
    phase: Phase::Failed,
})]
#[case::more_allowed_later(Attempts {
    changes: &[
        Change::End(End::Failed), Change::End(End::Failed), Change::Configure(None),
        Change::End(End::Failed), Change::Configure(Some(5)),
    ],
    phase: Phase::Active,
})]
#[case::fewer_allowed_later(Attempts {
    changes: &[Change::End(End::Failed), Change::End(End::Failed), Change::Configure(Some(2))],
    phase: Phase::Failed,
})]
#[case::not_failed_yet(Attempts { changes: &[Change::Configure(Some(0))], phase: Phase::Active })]
#[case::done_while_away(Attempts {
    changes: &[Change::Configure(None), Change::End(End::Done), Change::Configure(Some(1))],
    phase: Phase::Completed,
})]
#[case::three_attempts(Attempts {
    changes: &[Change::End(End::Failed), Change::End(End::Failed), Change::End(End::Failed)],
    phase: Phase::Failed,
})]
fn attempts_of_a_missing_queue_are_unknown(#[case] case: Attempts) {
    let incarnation = Incarnation { runner: Name::new("i-1").expect("valid name"), born: 1 };
    let mut table = JobTable::default();
    let mut version = 0;
    let mut configure = |table: &mut JobTable, attempts: Option<u32>| {
        version += 1;
        let queues = attempts.map(|attempts| Queue { attempts, ..queue("quotes", "/quotes/") });
        let setup = Configuration { version, ..setup(queues.into_iter().collect()) };
        table.apply(&Command::Configure(Arc::new(setup)));
    };
    configure(&mut table, Some(3));
    let job = Arc::new(job(vec![step(1, vec![])]));
    table.apply(&Command::Accept { job, wall: 0 });
    let task = TaskKey { job: 1, round: 0, step: 0, index: 0 };
    let mut run = 0;
    for change in case.changes {
        match *change {
            Change::Configure(attempts) => configure(&mut table, attempts),
            Change::End(end) => {
                run += 1;
                let key = RunKey { task, run };
                let incarnation = incarnation.clone();
                assert_eq!(table.apply(&Command::Assign { key, incarnation }), Applied::Assigned);
                table.apply(&Command::Close { key, end, saved: None });
            },
        }
    }
    assert_eq!(table.jobs[&1].phase, case.phase);
}

/// Command as instances before confirmed starts decode it.
#[derive(Debug, Deserialize, PartialEq)]
enum EarlierCommand {
    Assign { key: RunKey, life: Incarnation },
    Close { key: RunKey, end: End, saved: Option<Checkpoint> },
    Open { job: u64, round: u32 },
}

struct Stored {
    command: Command,
    earlier: EarlierCommand,
}

/// An instance of an earlier version stopped at a command that it could not decode.
#[test]
fn stored_commands_are_decoded_by_earlier_versions() {
    let task = TaskKey { job: 7, round: 0, step: 0, index: 0 };
    let key = RunKey { task, run: 1 };
    let runner = Name::new("i-1").expect("a valid name");
    let incarnation = Incarnation { runner, born: 10 };
    let cases = [
        Stored {
            command: Command::Assign { key, incarnation: incarnation.clone() },
            earlier: EarlierCommand::Assign { key, life: incarnation },
        },
        Stored {
            command: Command::Begin { job: 7 },
            earlier: EarlierCommand::Open { job: 7, round: u32::MAX },
        },
        Stored {
            command: Command::Close { key, end: End::Done, saved: None },
            earlier: EarlierCommand::Close { key, end: End::Done, saved: None },
        },
        Stored {
            command: Command::Open { job: 7, round: 3 },
            earlier: EarlierCommand::Open { job: 7, round: 3 },
        },
    ];
    for Stored { command, earlier } in cases {
        let bytes = crate::peer::encode(&command.clone().into_stored());
        assert_eq!(crate::peer::decode::<EarlierCommand>(&bytes), Some(earlier));
        let read: Command = crate::peer::decode(&bytes).expect("a decodable command");
        assert_eq!(Command::from_stored(read), command);
    }
}

/// Table as instances before evacuations decode a snapshot.
#[derive(Debug, Deserialize)]
struct EarlierTable {
    setup: Configuration,
    jobs: std::collections::BTreeMap<u64, u8>,
    withdrawn: std::collections::BTreeSet<(u64, Arc<str>)>,
}

struct Evacuated {
    orders: &'static [(&'static str, EvacuationVerb)],
    /// Whether an instance of an earlier version can decode the snapshot.
    earlier: bool,
    covered: &'static [&'static str],
}

/// Evacuations are rebuilt from the log and from a snapshot. A snapshot without any must not have a
/// further field, as earlier versions stop at it.
#[rstest]
#[case::unused(Evacuated { orders: &[], earlier: true, covered: &[] })]
#[case::in_force(Evacuated {
    orders: &[("a", EvacuationVerb::Start), ("b", EvacuationVerb::Start)],
    earlier: false,
    covered: &["a", "b"],
})]
#[case::finished(Evacuated {
    orders: &[("a", EvacuationVerb::Start), ("a", EvacuationVerb::Finish)],
    earlier: true,
    covered: &[],
})]
#[case::repeated(Evacuated {
    orders: &[("a", EvacuationVerb::Start), ("a", EvacuationVerb::Start)],
    earlier: false,
    covered: &["a"],
})]
fn evacuations_survive_the_log_and_snapshots(#[case] case: Evacuated) {
    let order = |(wall, (centre, verb)): (u64, &(&str, EvacuationVerb))| EvacuationOrder {
        centre: (*centre).into(),
        verb: *verb,
        wall,
        by: "10.0.0.9".into(),
    };
    let orders: Vec<EvacuationOrder> = (0..).zip(case.orders).map(order).collect();
    let mut table = JobTable::default();
    for order in orders {
        let stored = crate::peer::encode(&Command::Evacuate(order).into_stored());
        let read: Command = crate::peer::decode(&stored).expect("a decodable command");
        assert_eq!(table.apply(&Command::from_stored(read)), Applied::Evacuating);
    }
    let covered: Vec<&str> = table.evacuations.iter().map(|(centre, _)| &**centre).collect();
    assert_eq!(covered, case.covered);
    let snapshot = crate::peer::encode(&table);
    let read: JobTable = crate::peer::decode(&snapshot).expect("a decodable snapshot");
    assert_eq!(read.evacuations, table.evacuations);
    let earlier = crate::peer::decode::<EarlierTable>(&snapshot);
    assert_eq!(earlier.is_some(), case.earlier);
    let Some(EarlierTable { setup, jobs, withdrawn }) = earlier else { return };
    assert!(jobs.is_empty() && withdrawn.is_empty());
    // A snapshot that an earlier version has written lacks the field.
    let written = rmp_serde::to_vec(&(setup, jobs, withdrawn)).expect("encodes");
    let read: JobTable = rmp_serde::from_slice(&written).expect("decodes");
    assert!(read.evacuations.is_empty());
}

struct Recorded {
    /// Whether the log names the incarnation that holds the run.
    settled: bool,
    /// Whether the run's end is recorded afterwards.
    closed: bool,
    /// Whether the snapshot has the record.
    kept: bool,
}

/// A snapshot lost who holds a run, or had a field more, at which earlier versions stop.
#[rstest]
#[case::assigned(Recorded { settled: false, closed: false, kept: false })]
#[case::settled(Recorded { settled: true, closed: false, kept: true })]
#[case::ended(Recorded { settled: true, closed: true, kept: false })]
fn holders_of_runs_survive_snapshots(#[case] case: Recorded) {
    let incarnation = |born| Incarnation { runner: Name::new("i-1").expect("a name"), born };
    let key = RunKey { task: TaskKey { job: 1, round: 0, step: 0, index: 0 }, run: 1 };
    let queue = Queue {
        name: "quotes".into(),
        host: "h.example".into(),
        prefix: "/a/".into(),
        service: "s".into(),
        priority: 0,
        attempts: 1,
        stretch: 1.0,
        objective: Span::secs(1),
        timeout: Span::secs(3),
    };
    let setup = Configuration { version: 1, queues: vec![queue], ..Configuration::default() };
    let mut table = JobTable::default();
    table.apply(&Command::Configure(Arc::new(setup)));
    let job = Arc::new(job(vec![step(1, vec![])]));
    assert_eq!(table.apply(&Command::Accept { job, wall: 1 }), Applied::Accepted);
    let assign = |born| Command::Assign { key, incarnation: incarnation(born) };
    assert_eq!(table.apply(&assign(10)), Applied::Assigned);
    if case.settled {
        assert_eq!(table.apply(&assign(20)), Applied::Settled);
        let live = table.live(key).map(|live| live.incarnation.born);
        assert_eq!(live, Some(20));
    }
    if case.closed {
        let close = Command::Close { key, end: End::Stopped, saved: None };
        assert_eq!(table.apply(&close), Applied::Closed);
    }
    let bytes = snapshot::encode(&table);
    let read = snapshot::decode(&bytes).expect("a readable snapshot");
    assert_eq!((&read.jobs, &read.settled), (&table.jobs, &table.settled));
    assert_eq!(read.settled.contains(&key), case.kept);
    // Earlier versions read the table alone, and write nothing after it.
    let earlier: JobTable = crate::peer::decode(&bytes).expect("a readable table");
    let read = snapshot::decode(&crate::peer::encode(&earlier)).expect("a readable snapshot");
    assert_eq!((&read.jobs, read.settled.len()), (&table.jobs, 0));
}
