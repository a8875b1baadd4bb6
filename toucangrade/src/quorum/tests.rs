//! Tests of when an instance asks to be taken in.

use rstest::rstest;

use super::*;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

struct Case {
    founder: bool,
    /// Whether the instance learns at 1 s that it is a member.
    member: bool,
    /// Quarters of a second at which a leader becomes known or unknown.
    leader: &'static [(u64, bool)],
    /// Requests within 6 s.
    asks: usize,
}

/// A founder waits for the others first, and a member that knows a leader does not ask. One that
/// knows none may have been removed while it was cut off, which nobody tells it.
#[rstest]
#[case::founder_found(Case { founder: true, member: true, leader: &[(4, true)], asks: 0 })]
#[case::founder_alone(Case { founder: true, member: false, leader: &[], asks: 7 })]
#[case::empty_disk(Case { founder: false, member: true, leader: &[(4, true)], asks: 1 })]
#[case::never_taken_in(Case { founder: false, member: false, leader: &[], asks: 12 })]
#[case::no_leader_from_the_start(Case { founder: true, member: true, leader: &[], asks: 7 })]
#[case::leader_is_lost(Case { founder: true, member: true, leader: &[(4, true), (8, false)], asks: 3 })]
#[case::leader_changes(Case {
    founder: true, member: true, leader: &[(4, true), (8, false), (12, true), (16, false)], asks: 0,
})]
fn asks_until_it_is_a_member(#[case] case: Case) {
    let mut quorum = Quorum::new(name("10.0.0.1"), case.founder, vec![name("10.0.0.2")]);
    let mut asks = 0;
    for quarter in 1..=24u64 {
        let now = Moment::micros(quarter * 250_000);
        if quarter == 4 && case.member {
            asks += quorum.step(now, Message::Member(true)).len();
        }
        for (_, known) in case.leader.iter().filter(|(at, _)| *at == quarter) {
            asks += quorum.step(now, Message::Leader(*known)).len();
        }
        asks += quorum.step(now, Message::Tick).len();
    }
    assert_eq!(asks, case.asks);
}

struct Known {
    /// What is learned before each request; the last request is compared.
    learned: Vec<Vec<Message>>,
    /// Instances that are asked.
    asked: Vec<&'static str>,
}

fn names(texts: &[&str]) -> Vec<Name> {
    texts.iter().copied().map(name).collect()
}

fn found(texts: &[&str]) -> Message {
    Message::Found(names(texts))
}

fn recorded(texts: &[&str]) -> Message {
    Message::Recorded(names(texts))
}

/// Requests, each after the same answer.
fn repeated(times: u32, answer: &[&str]) -> impl Iterator<Item = Vec<Message>> {
    (0..times).map(|_| vec![found(answer)])
}

/// The leader is asked though no seed leads, whatever order the answers come in, and an instance
/// never asks itself. One that forgets useful names stays out of the group where the seeds are
/// out of date.
#[rstest]
#[case::seeds_alone(Known { learned: vec![vec![]], asked: vec!["10.0.0.2", "10.0.0.3"] })]
#[case::leader_is_no_seed(Known {
    learned: vec![vec![found(&["10.0.0.1", "10.0.0.3", "10.0.0.5"])]],
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::empty_answer_comes_last(Known {
    learned: vec![vec![found(&["10.0.0.5"]), found(&[])]],
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::empty_answers_alone_come(Known {
    learned: [vec![found(&["10.0.0.5"])]].into_iter().chain(repeated(100, &[])).collect(),
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::answer_names_itself_alone(Known {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain(repeated(100, &["10.0.0.1"]))
        .collect(),
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::outdated_answer_comes_last(Known {
    learned: vec![vec![found(&["10.0.0.5"]), found(&["10.0.0.6"])]],
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5", "10.0.0.6"],
})]
#[case::group_has_moved_on(Known {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain(repeated(FORGET_AFTER, &["10.0.0.6"]))
        .collect(),
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.6"],
})]
#[case::group_may_have_moved_on(Known {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain(repeated(FORGET_AFTER - 1, &["10.0.0.6"]))
        .collect(),
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5", "10.0.0.6"],
})]
#[case::nobody_answers(Known {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain((0..100).map(|_| vec![]))
        .collect(),
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::own_log_names_members(Known {
    learned: vec![vec![recorded(&["10.0.0.1", "10.0.0.7"])]],
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.7"],
})]
#[case::empty_answers_after_own_log(Known {
    learned: [vec![recorded(&["10.0.0.7"])]].into_iter().chain(repeated(100, &[])).collect(),
    asked: vec!["10.0.0.2", "10.0.0.3", "10.0.0.7"],
})]
#[case::seeds_change(Known {
    learned: vec![vec![Message::Seeds(vec![name("10.0.0.9")])]],
    asked: vec!["10.0.0.9"],
})]
fn asks_whoever_is_known(#[case] case: Known) {
    let seeds = ["10.0.0.1", "10.0.0.2", "10.0.0.3"].map(name).to_vec();
    let mut quorum = Quorum::new(name("10.0.0.1"), false, seeds);
    let (mut now, mut effects) = (Moment::START, Vec::new());
    for messages in case.learned {
        for message in messages {
            quorum.step(now, message);
        }
        now = now + ASK_EVERY;
        effects = quorum.step(now, Message::Tick);
    }
    let to = case.asked.into_iter().map(name).collect();
    assert_eq!(effects, vec![Effect::Join { to }]);
}

/// Names that answers make up neither fill the memory nor displace those that were named lately.
#[test]
fn names_are_bounded() {
    let mut quorum = Quorum::new(name("10.0.0.1"), false, names(&["10.0.0.2"]));
    let mut now = Moment::START;
    for round in 0..200 {
        let other = format!("10.1.0.{round}");
        quorum.step(now, found(&["10.0.0.5", &other]));
        now = now + ASK_EVERY;
        let effects = quorum.step(now, Message::Tick);
        let [Effect::Join { to }] = effects.as_slice() else { panic!("{effects:?}") };
        assert!(to.len() <= 1 + NAMES_LIMIT, "{} names", to.len());
        assert!(to.contains(&name("10.0.0.5")));
        assert!(to.contains(&name(&other)));
    }
    let many: Vec<Name> = (0..200).map(|part| name(&format!("10.2.0.{part}"))).collect();
    quorum.step(now, Message::Found(many));
    let effects = quorum.step(now + ASK_EVERY, Message::Tick);
    let [Effect::Join { to }] = effects.as_slice() else { panic!("{effects:?}") };
    assert!(to.len() <= 1 + NAMES_LIMIT, "{} names", to.len());
    assert!(to.contains(&name("10.0.0.5")));
}
