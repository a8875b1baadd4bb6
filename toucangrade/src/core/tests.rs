//! Tests of names, rings and duty threads.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use super::*;

struct NameCase {
    value: &'static str,
    valid: bool,
}

/// Guards against names that are invalid in a path or a log line.
#[rstest]
#[case::plain(NameCase { value: "route-plan", valid: true })]
#[case::digits(NameCase { value: "celje-c.2", valid: true })]
#[case::empty(NameCase { value: "", valid: false })]
#[case::upper(NameCase { value: "Balcao", valid: false })]
#[case::slash(NameCase { value: "a/b", valid: false })]
#[case::long(NameCase { value: "0123456789012345678901234567890123456789012345678901234567890123", valid: false })]
fn names_are_checked(#[case] case: NameCase) {
    assert_eq!(Name::new(case.value).is_ok(), case.valid, "{:?}", case.value);
}

/// Guards against checkpoints that are invalid in a header or make the log too large.
#[test]
fn checkpoints_are_checked() {
    let long = "c".repeat(1_024);
    for (value, valid) in [("step-7/a=b", true), ("", false), ("a b", false), ("é", false)] {
        assert_eq!(Checkpoint::new(value).is_ok(), valid, "{value:?}");
    }
    assert!(Checkpoint::new(&long).is_ok());
    assert!(Checkpoint::new(&format!("{long}c")).is_err());
}

struct RingCase {
    offered: usize,
    pushed: usize,
    kept: usize,
}

/// Guards against new work that fills the reserve for messages about admitted work.
#[rstest]
#[case::offers_stop_at_limit(RingCase { offered: 5, pushed: 0, kept: 2 })]
#[case::pushes_use_reserve(RingCase { offered: 5, pushed: 9, kept: 5 })]
#[case::pushes_alone(RingCase { offered: 0, pushed: 9, kept: 5 })]
fn ring_keeps_a_reserve(#[case] case: RingCase) {
    let ring = Ring::new(2, 3);
    let offered = (0..case.offered).filter(|&n| ring.offer(n).is_ok()).count();
    let pushed = (0..case.pushed).filter(|&n| ring.push(n).is_ok()).count();
    assert_eq!(offered + pushed, case.kept);
    assert_eq!(ring.len(), case.kept);
}

/// Guards against a receiver that is not woken by a message or a close.
#[test]
fn ring_wakes_its_receiver() {
    let ring = Arc::new(Ring::new(4, 0));
    let sender = Arc::clone(&ring);
    let thread = thread::spawn(move || {
        sender.offer(7).unwrap();
        sender.close();
    });
    assert_eq!(ring.recv(Duration::from_secs(60)), Received::Message(7));
    assert_eq!(ring.recv(Duration::from_secs(60)), Received::Closed);
    thread.join().unwrap();
}

/// Guards against a duty that handles messages out of order, or whose dump differs from its state.
#[test]
fn duty_handles_messages_in_order() {
    let handle = Handle::new("sum");
    let duty = Duty {
        state: Vec::new(),
        step: |state: &mut Vec<u32>, _, message: Option<u32>| {
            state.extend(message);
            Vec::<()>::new()
        },
        tick: || None,
        period: Span::millis(5),
    };
    let thread = duty.spawn(&handle, Clock::system(), |_, ()| {}).unwrap();
    for n in 0..100 {
        handle.offer(Some(n)).unwrap();
    }
    let dump = handle.dump().unwrap().blocking_recv().unwrap();
    handle.close();
    thread.join().unwrap();
    assert_eq!(dump, serde_json::json!((0..100).collect::<Vec<u32>>()));
}
