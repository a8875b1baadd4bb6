//! Tests of when an instance asks to be taken in.

use rstest::rstest;

use super::*;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

struct Case {
    founder: bool,
    /// Whether the instance learns at 1 s that it is a member, and of the leader.
    member: bool,
    /// Quarter of a second from which on it knows no leader.
    unled: u64,
    /// Requests within 6 s.
    asks: usize,
}

/// A founder waits for the others first. A member does not ask until it has known no leader for so
/// long that it may have been removed.
#[rstest]
#[case::founder_found(Case { founder: true, member: true, unled: 99, asks: 0 })]
#[case::founder_alone(Case { founder: true, member: false, unled: 99, asks: 7 })]
#[case::empty_disk(Case { founder: false, member: true, unled: 99, asks: 1 })]
#[case::never_taken_in(Case { founder: false, member: false, unled: 99, asks: 12 })]
#[case::election(Case { founder: true, member: true, unled: 8, asks: 0 })]
#[case::removed(Case { founder: true, member: true, unled: 4, asks: 1 })]
fn asks_until_it_is_a_member(#[case] case: Case) {
    let mut quorum = Quorum::new(name("10.0.0.1"), case.founder, vec![name("10.0.0.2")]);
    let mut asks = 0;
    for quarter in 1..=24u64 {
        let now = Moment::micros(quarter * 250_000);
        if quarter == 4 && case.member {
            asks += quorum.step(now, Message::Member(true)).len();
            asks += quorum.step(now, Message::Led(true)).len();
        }
        if quarter == case.unled {
            asks += quorum.step(now, Message::Led(false)).len();
        }
        asks += quorum.step(now, Message::Tick).len();
    }
    assert_eq!(asks, case.asks);
}

struct Known {
    /// What is learned before the request.
    learned: Vec<Message>,
    /// Instances that are asked.
    asked: Vec<&'static str>,
}

fn found(names: &[&str]) -> Message {
    Message::Found(names.iter().copied().map(name).collect())
}

/// The leader is asked though no seed leads, and an instance never asks itself.
#[rstest]
#[case::seeds_alone(Known { learned: vec![], asked: vec!["10.0.0.2", "10.0.0.3"] })]
#[case::leader_is_no_seed(Known {
    learned: vec![found(&["10.0.0.1", "10.0.0.3", "10.0.0.5"])],
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::group_has_moved_on(Known {
    learned: vec![found(&["10.0.0.5"]), found(&["10.0.0.6"])],
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.6"],
})]
#[case::newcomer_names_nobody(Known {
    learned: vec![found(&["10.0.0.5"]), found(&[])],
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::seeds_change(Known {
    learned: vec![Message::Seeds(vec![name("10.0.0.9")])],
    asked: vec!["10.0.0.9"],
})]
fn asks_whoever_is_known(#[case] case: Known) {
    let seeds = ["10.0.0.1", "10.0.0.2", "10.0.0.3"].map(name).to_vec();
    let mut quorum = Quorum::new(name("10.0.0.1"), false, seeds);
    for message in case.learned {
        quorum.step(Moment::START, message);
    }
    let effects = quorum.step(Moment::START + ASK_EVERY, Message::Tick);
    let to = case.asked.into_iter().map(name).collect();
    assert_eq!(effects, vec![Effect::Join { to }]);
}
