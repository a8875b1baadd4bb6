//! Tests of starts that are held back, as their runner does not answer.

use rstest::rstest;

use super::*;

struct HeldBack {
    /// Time after the runner's last answer at which the start arrives, in ms.
    ordered: u64,
    /// Time after the order at which the runner answers again, in ms.
    answers: u64,
    /// Number of start calls until then.
    sent: u32,
    /// Whether the start is denied before the runner answers again.
    denied: bool,
    /// Whether the run is listed afterwards.
    runs: bool,
}

/// A start that was held back waited for the end of the lease, though it had never been sent and the
/// leader could place it elsewhere. Once denied it must not be sent any more, and a start that was
/// sent must not be denied, as the runner may carry it out.
#[rstest]
#[case::never_sent(HeldBack { ordered: 900, answers: 1_000, sent: 0, denied: true, runs: false })]
#[case::answers_soon(HeldBack { ordered: 900, answers: 200, sent: 0, denied: false, runs: true })]
#[case::long_silent(HeldBack { ordered: 3_000, answers: 200, sent: 0, denied: true, runs: false })]
#[case::sent_before(HeldBack { ordered: 100, answers: 4_000, sent: 3, denied: false, runs: true })]
fn start_that_is_held_back_is_denied(#[case] case: HeldBack) {
    let mut world = World::new(Behaviour::Healthy);
    world.behaviour = Behaviour::Hangs;
    world.advance(case.ordered);
    world.start(0);
    world.advance(case.answers);
    assert_eq!(world.starts, case.sent);
    let denied = world.last_report().denied.clone();
    assert_eq!(denied, if case.denied { vec![(key(0), Denial::Stopped)] } else { vec![] });
    if case.denied {
        // The leader places no other task there when it learns of the denial.
        assert!(world.last_report().silent >= Span::millis(1_600));
    }
    world.behaviour = Behaviour::Healthy;
    world.advance(1_500);
    // A delayed copy of the order.
    world.start(0);
    world.advance(1_000);
    assert_eq!(world.rows.contains_key(&key(0)), case.runs);
}
