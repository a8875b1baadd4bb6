//! Tests of the agreed state machine.

use super::*;
use crate::core::Name;
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
