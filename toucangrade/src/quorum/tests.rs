//! Tests of when an instance asks to be taken in.

use rstest::rstest;

use super::*;

struct Case {
    founder: bool,
    /// Whether the instance learns at 1 s that it is a member.
    member: bool,
    /// Requests within 6 s.
    asks: usize,
}

/// A founder waits for the others first; a member does not ask.
#[rstest]
#[case::founder_found(Case { founder: true, member: true, asks: 0 })]
#[case::founder_alone(Case { founder: true, member: false, asks: 7 })]
#[case::empty_disk(Case { founder: false, member: true, asks: 1 })]
#[case::never_taken_in(Case { founder: false, member: false, asks: 12 })]
fn asks_until_it_is_a_member(#[case] case: Case) {
    let mut quorum = Quorum::new(case.founder);
    let mut asks = 0;
    for quarter in 1..=24u64 {
        let now = Moment::micros(quarter * 250_000);
        if quarter == 4 && case.member {
            asks += quorum.step(now, Message::Member(true)).len();
        }
        asks += quorum.step(now, Message::Tick).len();
    }
    assert_eq!(asks, case.asks);
}
