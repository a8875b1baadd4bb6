//! Tests of the replicated state machine.

use rstest::rstest;

use super::*;
use crate::core::Name;
use crate::partitions;
use crate::peer;
use crate::placement::{Cause, Checkpoint, Decision, Member, Outcome, Size, Summary};
use crate::resources::{self, Collection, Expect, Spec};

/// Guards against replicas that diverge after the same commands, and against missing replies.
#[test]
fn replicas_agree() {
    let spec = br#"{"shop": "neto", "kinds": {"quote": {"class": "quick", "timeout_ms": 100}}}"#;
    let write = |name: &str| {
        Command::Resource(resources::Command {
            collection: Collection::Services,
            name: Name::new(name).unwrap(),
            spec: Some(Spec::parse(Collection::Services, spec).unwrap()),
            expect: Expect::Absent,
            key: None,
        })
    };
    let (mut one, mut two) = (State::default(), State::default());
    for (index, name) in (1..).zip(["a", "b", "a"]) {
        let message = |ticket| Message::Apply { index, ticket, command: write(name) };
        let effects = one.step(Moment::START, message(Some(index)));
        assert!(
            effects.iter().any(|e| matches!(e, Effect::Reply { ticket, .. } if *ticket == index))
        );
        two.step(Moment::START, message(None));
    }
    assert_eq!(one.machine, two.machine);
    assert_eq!((one.machine.index, one.config().revision, one.config().services.len()), (3, 2, 2));
}

fn job_name() -> Name {
    Name::new("oak").unwrap()
}

fn create(collection: Collection) -> Command {
    let body: &[u8] = match collection {
        Collection::Watches => {
            br#"{"shop": "klopca", "kind": "humidity", "millicores": 5, "memory_mb": 9}"#
        },
        _ => {
            br#"{"shop": "klopca", "team": "nave", "kind": "finish-layer", "millicores": 5,
                "memory_mb": 9, "runtime_s": 5}"#
        },
    };
    let spec = Some(Spec::parse(collection, body).unwrap());
    Command::Resource(resources::Command {
        collection,
        name: job_name(),
        spec,
        expect: Expect::Absent,
        key: None,
    })
}

fn delete() -> Command {
    Command::Resource(resources::Command {
        collection: Collection::Jobs,
        name: job_name(),
        spec: None,
        expect: Expect::Any,
        key: None,
    })
}

fn assign(fence: u64) -> Command {
    let from = Checkpoint::default();
    let grant = Size::new(5, 9, 0);
    let members = vec![Member { grant, worker: Name::new("w1").unwrap() }];
    Command::Run(Decision::Assign { fence, from, job: job_name(), members })
}

fn begin(fence: u64) -> Command {
    Command::Run(Decision::Begin { fence, job: job_name() })
}

fn evict(fence: u64) -> Command {
    let (cause, from) = (Cause::Lost, Checkpoint::default());
    Command::Run(Decision::Evict { cause, fence, from, job: job_name() })
}

fn finish(fence: u64, outcome: Outcome) -> Command {
    Command::Run(Decision::Finish { fence, job: job_name(), outcome })
}

fn refuse() -> Command {
    let (change, reason) = (String::new(), String::new());
    Command::Run(Decision::Refuse { change, job: job_name(), reason })
}

struct StreamCase {
    commands: Vec<Command>,
    /// Expected changes: revision, action, collection, and phase and fencing token of the job.
    lines: Vec<&'static str>,
}

/// Formats a change like a line of the watch stream.
fn format_change(change: &resources::Change) -> String {
    let action = match (&change.spec, change.step) {
        (Some(_), _) => "put",
        (None, Some(_)) => "state",
        (None, None) => "delete",
    };
    let step = change.step.map(|step| format!(" {:?} {}", step.phase, step.fence));
    let (revision, collection) = (change.revision, &change.collection);
    format!("{revision} {action} {collection}{}", step.unwrap_or_default())
}

/// Guards against watch streams that miss, repeat or invent job states, that differ after a restart
/// from a snapshot, or that are not woken by a change.
#[rstest]
#[case::evicted_and_done(StreamCase {
    commands: vec![
        create(Collection::Jobs), assign(1), begin(1), begin(1), evict(1), evict(1), assign(2),
        begin(1), begin(2), finish(1, Outcome::Done), finish(2, Outcome::Done),
        finish(2, Outcome::Failed),
    ],
    lines: vec![
        "1 put jobs Waiting 0", "3 state jobs Running 1", "5 state jobs Evicted 1",
        "9 state jobs Running 2", "11 state jobs Done 2",
    ],
})]
#[case::failed(StreamCase {
    commands: vec![create(Collection::Jobs), assign(1), begin(1), finish(1, Outcome::Failed)],
    lines: vec!["1 put jobs Waiting 0", "3 state jobs Running 1", "4 state jobs Failed 1"],
})]
#[case::never_started(StreamCase {
    commands: vec![create(Collection::Jobs), assign(1), evict(1), assign(2), evict(2)],
    lines: vec!["1 put jobs Waiting 0", "3 state jobs Evicted 1"],
})]
#[case::failed_and_repeated(StreamCase {
    commands: vec![create(Collection::Jobs), assign(1), begin(1), assign(2), begin(2)],
    lines: vec![
        "1 put jobs Waiting 0", "3 state jobs Running 1", "4 state jobs Evicted 2",
        "5 state jobs Running 2",
    ],
})]
#[case::refused(StreamCase {
    commands: vec![create(Collection::Jobs), refuse()],
    lines: vec!["1 put jobs Waiting 0", "2 state jobs Refused 0"],
})]
#[case::deletion_precedes_outcome(StreamCase {
    commands: vec![
        create(Collection::Jobs), assign(1), begin(1), delete(), finish(1, Outcome::Done),
    ],
    lines: vec![
        "1 put jobs Waiting 0", "3 state jobs Running 1", "4 delete jobs", "5 state jobs Done 1",
    ],
})]
#[case::cancelled(StreamCase {
    commands: vec![create(Collection::Jobs), delete(), finish(0, Outcome::Cancelled)],
    lines: vec!["1 put jobs Waiting 0", "2 delete jobs", "3 state jobs Cancelled 0"],
})]
#[case::name_used_again(StreamCase {
    commands: vec![
        create(Collection::Jobs), refuse(), delete(), create(Collection::Jobs), assign(1),
    ],
    lines: vec![
        "1 put jobs Waiting 0", "2 state jobs Refused 0", "3 delete jobs", "4 put jobs Refused 0",
    ],
})]
#[case::standing_watch(StreamCase {
    commands: vec![
        create(Collection::Watches), assign(1), begin(1), evict(1), assign(2), begin(2),
    ],
    lines: vec![
        "1 put watches Waiting 0", "3 state watches Running 1", "4 state watches Evicted 1",
        "6 state watches Running 2",
    ],
})]
fn watch_streams_report_job_states(#[case] case: StreamCase) {
    let (mut state, mut woken) = (State::default(), Vec::new());
    for (index, command) in (1..).zip(case.commands) {
        // Applies each command to a state that was restored from a snapshot.
        let machine = peer::decode(&peer::encode(&state.machine)).unwrap();
        let mut next = State::default();
        let installed = next.step(Moment::START, Message::Install { index: index - 1, machine });
        let newest = state.machine.resources.newest();
        assert!(
            installed
                .iter()
                .any(|e| matches!(e, Effect::Changed { revision } if *revision == newest))
        );
        state = next;
        let message = Message::Apply { index, ticket: None, command };
        woken.extend(state.step(Moment::START, message).into_iter().filter_map(
            |effect| match effect {
                Effect::Changed { revision } => Some(revision),
                _ => None,
            },
        ));
    }
    let all = state.machine.resources.since(0).unwrap();
    assert_eq!(all.iter().map(format_change).collect::<Vec<_>>(), case.lines);
    assert_eq!(woken, all.iter().map(|change| change.revision).collect::<Vec<_>>());
    for (at, change) in all.iter().enumerate() {
        assert_eq!(state.machine.resources.since(change.revision).unwrap(), all[at + 1..]);
    }
}

/// Guards against snapshots that lose the summary or reset its age, and against snapshots of
/// earlier versions that can't be decoded.
#[test]
fn snapshot_contains_the_summary() {
    let at = |secs| Moment::START + Span::secs(secs);
    let learned = || Command::Learned(Summary::default());
    let apply = |index, command| Message::Apply { index, ticket: None, command };
    let age = |state: &mut State, secs| {
        let mut effects = state.step(at(secs), Message::Lead { leading: true });
        match effects.pop() {
            Some(Effect::Schedule(scheduling::Message::Lead { learned, .. })) => {
                learned.map(|(_, age)| age)
            },
            other => panic!("{other:?}"),
        }
    };
    let mut one = State::default();
    one.step(at(10), apply(SNAPSHOT_EVERY - 1, learned()));
    let (entry, grants) = (Name::new("e1").unwrap(), Vec::new());
    let unrelated = partitions::Command { entry, incarnation: 1, grants, clean: true };
    let effects = one.step(at(20), apply(SNAPSHOT_EVERY, Command::Partition(unrelated)));
    let snapshot = effects.into_iter().find_map(|effect| match effect {
        Effect::Snapshot { index, machine } => Some((index, peer::encode(&*machine))),
        _ => None,
    });
    let (index, bytes) = snapshot.expect("a snapshot");
    let install = |bytes: &[u8]| {
        let machine = Box::new(peer::decode::<Machine>(bytes).expect("a machine"));
        Message::Install { index, machine }
    };
    let mut two = State::default();
    two.step(at(30), install(&bytes));
    two.step(at(50), install(&bytes));
    assert_eq!(two.machine, one.machine);
    assert_eq!(age(&mut one, 100), Some(Span::secs(90)));
    assert_eq!(age(&mut two, 100), Some(Span::secs(70)));
    two.step(at(100), Message::Tick);
    let dump = serde_json::to_value(&two).expect("a dump");
    assert_eq!(dump["learned_age"], 70_000_000);
    assert!(dump["learned_bytes"].as_u64() > Some(0));
    let Machine { index, resources, partitions, claims, runs, .. } = one.machine;
    let earlier = peer::encode(&(index, resources, partitions, claims, runs));
    two.step(at(110), install(&earlier));
    assert_eq!(two.machine.learned, Learned::default());
}

/// Decision as instances before confirmed starts decode it.
#[derive(Debug, Deserialize, PartialEq)]
enum EarlierDecision {
    Assign { fence: u64, from: Checkpoint, job: Name, members: Vec<Member> },
    Evict { cause: Cause, fence: u64, from: Checkpoint, job: Name },
    Finish { fence: u64, job: Name, outcome: Outcome },
}

/// Command as instances before confirmed starts decode it.
#[derive(Debug, Deserialize, PartialEq)]
enum EarlierCommand {
    Run(EarlierDecision),
}

struct Stored {
    command: Command,
    earlier: EarlierDecision,
}

/// An instance of an earlier version stops at a command that it can't decode.
#[rstest]
#[case::assigned(Stored {
    command: assign(1),
    earlier: EarlierDecision::Assign {
        fence: 1,
        from: Checkpoint::default(),
        job: job_name(),
        members: vec![Member { grant: Size::new(5, 9, 0), worker: Name::new("w1").unwrap() }],
    },
})]
#[case::begun(Stored {
    command: begin(7),
    // Earlier versions reject an assignment unless its token follows the newest one.
    earlier: EarlierDecision::Assign {
        fence: 0,
        from: Checkpoint { done: 0, number: 7 },
        job: job_name(),
        members: Vec::new(),
    },
})]
#[case::evicted(Stored {
    command: evict(1),
    earlier: EarlierDecision::Evict {
        cause: Cause::Lost,
        fence: 1,
        from: Checkpoint::default(),
        job: job_name(),
    },
})]
#[case::done(Stored {
    command: finish(1, Outcome::Done),
    earlier: EarlierDecision::Finish { fence: 1, job: job_name(), outcome: Outcome::Done },
})]
fn stored_decisions_are_decoded_by_earlier_versions(#[case] case: Stored) {
    let bytes = peer::encode(&case.command);
    assert_eq!(peer::decode::<EarlierCommand>(&bytes), Some(EarlierCommand::Run(case.earlier)));
    assert_eq!(peer::decode::<Command>(&bytes), Some(case.command));
}
