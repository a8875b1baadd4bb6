//! Tests of the retry budget.

use rstest::rstest;

use super::*;

struct Case {
    attempts: u32,
    after: Option<Span>,
    spent: u64,
    deadline: Moment,
    granted: bool,
}

/// Guards against retries without end, beyond the deadline or beyond the budget.
#[rstest]
#[case::first(Case {
    attempts: 1, after: None, spent: 0, deadline: Moment::micros(1_000_000), granted: true,
})]
#[case::attempts_limit(Case {
    attempts: ATTEMPTS, after: None, spent: 0, deadline: Moment::micros(1_000_000), granted: false,
})]
#[case::budget_is_spent(Case {
    attempts: 1, after: None, spent: 100, deadline: Moment::micros(1_000_000), granted: false,
})]
#[case::beyond_deadline(Case {
    attempts: 1, after: None, spent: 0, deadline: Moment::micros(1_000), granted: false,
})]
#[case::retry_after_is_honoured(Case {
    attempts: 1,
    after: Some(Span::secs(2)),
    spent: 0,
    deadline: Moment::micros(1_000_000),
    granted: false,
})]
fn retries_are_bounded(#[case] case: Case) {
    let mut budget = Budget::new();
    let far = Moment::micros(u64::MAX);
    for _ in 0..case.spent {
        assert!(budget.next_attempt(Moment::START, 1, None, 0, far).is_some());
    }
    let next = budget.next_attempt(Moment::START, case.attempts, case.after, 50, case.deadline);
    assert_eq!(next.is_some(), case.granted);
}

/// Guards against a budget that never refills or refills without bound.
#[test]
fn budget_refills_with_traffic() {
    let (mut budget, far) = (Budget::new(), Moment::micros(u64::MAX));
    while budget.next_attempt(Moment::START, 1, None, 0, far).is_some() {}
    for _ in 0..10 {
        budget.earn();
    }
    assert!(budget.next_attempt(Moment::START, 1, None, 0, far).is_some());
    assert!(budget.next_attempt(Moment::START, 1, None, 0, far).is_none());
    for _ in 0..1_000_000 {
        budget.earn();
    }
    let granted =
        (0..1_000).filter(|_| budget.next_attempt(Moment::START, 1, None, 0, far).is_some());
    assert_eq!(granted.count(), 100);
}
