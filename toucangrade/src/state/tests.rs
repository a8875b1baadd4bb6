//! Tests of the agreed state machine.

use super::*;
use crate::core::Name;
use crate::placement::Summary;
use crate::resources::{self, Collection, Expect, Spec};
use crate::{partitions, peer};

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
