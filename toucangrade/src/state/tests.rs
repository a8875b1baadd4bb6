//! Tests of the agreed state machine.

use rstest::rstest;

use super::*;
use crate::core::Name;
use crate::partitions;
use crate::peer;
use crate::placement::{Cause, Checkpoint, Decision, Outcome, Summary};
use crate::resources::{self, Collection, Expect, Spec};

/// Guards against replicas that differ after the same commands, and against a lost reply.
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

fn oak() -> Name {
    Name::new("oak").unwrap()
}

fn put(collection: Collection) -> Command {
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
        name: oak(),
        spec,
        expect: Expect::Absent,
        key: None,
    })
}

fn delete() -> Command {
    Command::Resource(resources::Command {
        collection: Collection::Jobs,
        name: oak(),
        spec: None,
        expect: Expect::Any,
        key: None,
    })
}

fn assign(fence: u64) -> Command {
    let from = Checkpoint::default();
    Command::Run(Decision::Assign { fence, from, job: oak(), members: Vec::new() })
}

fn evict(fence: u64) -> Command {
    let (cause, from) = (Cause::Lost, Checkpoint::default());
    Command::Run(Decision::Evict { cause, fence, from, job: oak() })
}

fn finish(fence: u64, outcome: Outcome) -> Command {
    Command::Run(Decision::Finish { fence, job: oak(), outcome })
}

fn refuse() -> Command {
    let (change, reason) = (String::new(), String::new());
    Command::Run(Decision::Refuse { change, job: oak(), reason })
}

struct Steps {
    commands: Vec<Command>,
    /// Revision, action and state of each line.
    lines: Vec<&'static str>,
}

/// A change as the watch stream shows it.
fn line(change: &resources::Change) -> String {
    let action = match (&change.spec, change.step) {
        (Some(_), _) => "put",
        (None, Some(_)) => "state",
        (None, None) => "delete",
    };
    let step = change.step.map(|step| format!(" {:?} {}", step.phase, step.fence));
    let (revision, collection) = (change.revision, &change.collection);
    format!("{revision} {action} {collection}{}", step.unwrap_or_default())
}

/// Guards against job states that the watch stream leaves out, repeats or shows although they are
/// not in force, against other lines after a restart from a snapshot, and against streams that
/// are not woken.
#[rstest]
#[case::evicted_and_done(Steps {
    commands: vec![
        put(Collection::Jobs), assign(1), evict(1), evict(1), assign(2), finish(1, Outcome::Done),
        finish(2, Outcome::Done), finish(2, Outcome::Failed),
    ],
    lines: vec![
        "1 put jobs Waiting 0", "2 state jobs Running 1", "3 state jobs Evicted 1",
        "5 state jobs Running 2", "7 state jobs Done 2",
    ],
})]
#[case::failed(Steps {
    commands: vec![put(Collection::Jobs), assign(1), finish(1, Outcome::Failed)],
    lines: vec!["1 put jobs Waiting 0", "2 state jobs Running 1", "3 state jobs Failed 1"],
})]
#[case::refused(Steps {
    commands: vec![put(Collection::Jobs), refuse()],
    lines: vec!["1 put jobs Waiting 0", "2 state jobs Refused 0"],
})]
#[case::deletion_is_not_the_outcome(Steps {
    commands: vec![put(Collection::Jobs), assign(1), delete(), finish(1, Outcome::Done)],
    lines: vec![
        "1 put jobs Waiting 0", "2 state jobs Running 1", "3 delete jobs", "4 state jobs Done 1",
    ],
})]
#[case::cancelled(Steps {
    commands: vec![put(Collection::Jobs), delete(), finish(0, Outcome::Cancelled)],
    lines: vec!["1 put jobs Waiting 0", "2 delete jobs", "3 state jobs Cancelled 0"],
})]
#[case::name_used_again(Steps {
    commands: vec![
        put(Collection::Jobs), refuse(), delete(), put(Collection::Jobs), assign(1),
    ],
    lines: vec![
        "1 put jobs Waiting 0", "2 state jobs Refused 0", "3 delete jobs", "4 put jobs Refused 0",
    ],
})]
#[case::standing_watch(Steps {
    commands: vec![put(Collection::Watches), assign(1), evict(1), assign(2)],
    lines: vec![
        "1 put watches Waiting 0", "2 state watches Running 1", "3 state watches Evicted 1",
        "4 state watches Running 2",
    ],
})]
fn watch_streams_follow_jobs(#[case] case: Steps) {
    let (mut state, mut woken) = (State::default(), Vec::new());
    for (index, command) in (1..).zip(case.commands) {
        // Each step is applied to what a snapshot of the state so far gives.
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
    assert_eq!(all.iter().map(line).collect::<Vec<_>>(), case.lines);
    assert_eq!(woken, all.iter().map(|change| change.revision).collect::<Vec<_>>());
    for (at, change) in all.iter().enumerate() {
        assert_eq!(state.machine.resources.since(change.revision).unwrap(), all[at + 1..]);
    }
}

/// Guards against a summary that a snapshot loses or makes younger, and against snapshots of
/// earlier versions that can't be read.
#[test]
fn a_snapshot_carries_the_summary() {
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
    let other = partitions::Command { entry, incarnation: 1, grants, clean: true };
    let effects = one.step(at(20), apply(SNAPSHOT_EVERY, Command::Partition(other)));
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
