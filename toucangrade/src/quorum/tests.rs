//! Tests of when join requests are sent, and to which instances.

use rstest::rstest;

use super::*;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

struct Case {
    founder: bool,
    /// Whether the instance becomes a member at 1 s.
    member: bool,
    /// Times at which a leader becomes known or unknown, in quarters of a second.
    leader: &'static [(u64, bool)],
    /// Number of join requests within 6 s.
    joins: usize,
}

/// A founder waits for the other founders first, and a member that knows a leader sends no
/// requests. A member without a leader may have been removed while it was cut off, of which it is
/// not notified.
#[rstest]
#[case::founder_joined(Case { founder: true, member: true, leader: &[(4, true)], joins: 0 })]
#[case::founder_alone(Case { founder: true, member: false, leader: &[], joins: 7 })]
#[case::empty_disk(Case { founder: false, member: true, leader: &[(4, true)], joins: 1 })]
#[case::never_admitted(Case { founder: false, member: false, leader: &[], joins: 12 })]
#[case::no_leader_from_the_start(Case { founder: true, member: true, leader: &[], joins: 7 })]
#[case::leader_is_lost(Case {
    founder: true, member: true, leader: &[(4, true), (8, false)], joins: 3,
})]
#[case::leader_changes(Case {
    founder: true,
    member: true,
    leader: &[(4, true), (8, false), (12, true), (16, false)],
    joins: 0,
})]
fn sends_join_requests_until_it_is_a_member(#[case] case: Case) {
    let mut quorum = Quorum::new(name("10.0.0.1"), case.founder, vec![name("10.0.0.2")]);
    let mut joins = 0;
    for quarter in 1..=24u64 {
        let now = Moment::micros(quarter * 250_000);
        if quarter == 4 && case.member {
            joins += quorum.step(now, Message::Member(true)).len();
        }
        for (_, known) in case.leader.iter().filter(|(at, _)| *at == quarter) {
            joins += quorum.step(now, Message::Leader(*known)).len();
        }
        joins += quorum.step(now, Message::Tick).len();
    }
    assert_eq!(joins, case.joins);
}

struct RecipientsCase {
    /// Messages before each join request; the last request is checked.
    learned: Vec<Vec<Message>>,
    /// Expected recipients of the last request.
    recipients: Vec<&'static str>,
}

fn names(texts: &[&str]) -> Vec<Name> {
    texts.iter().copied().map(name).collect()
}

fn found(texts: &[&str]) -> Message {
    Message::Found(names(texts))
}

fn recorded(texts: &[&str]) -> Message {
    Message::LogMembers(names(texts))
}

/// The same answer before each of several join requests.
fn repeated(times: u32, answer: &[&str]) -> impl Iterator<Item = Vec<Message>> {
    (0..times).map(|_| vec![found(answer)])
}

/// Join requests have to reach the leader though it is no seed, in whatever order the answers
/// arrive, and never go to the instance itself. An instance that drops useful names can't join the
/// group if the seeds are out of date.
#[rstest]
#[case::seeds_alone(RecipientsCase {
    learned: vec![vec![]],
    recipients: vec!["10.0.0.2", "10.0.0.3"],
})]
#[case::leader_is_no_seed(RecipientsCase {
    learned: vec![vec![found(&["10.0.0.1", "10.0.0.3", "10.0.0.5"])]],
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::empty_answer_comes_last(RecipientsCase {
    learned: vec![vec![found(&["10.0.0.5"]), found(&[])]],
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::only_empty_answers(RecipientsCase {
    learned: [vec![found(&["10.0.0.5"])]].into_iter().chain(repeated(100, &[])).collect(),
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::answers_name_only_this_instance(RecipientsCase {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain(repeated(100, &["10.0.0.1"]))
        .collect(),
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::outdated_answer_comes_last(RecipientsCase {
    learned: vec![vec![found(&["10.0.0.5"]), found(&["10.0.0.6"])]],
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5", "10.0.0.6"],
})]
#[case::group_has_moved_on(RecipientsCase {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain(repeated(FORGET_AFTER, &["10.0.0.6"]))
        .collect(),
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.6"],
})]
#[case::group_may_have_moved_on(RecipientsCase {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain(repeated(FORGET_AFTER - 1, &["10.0.0.6"]))
        .collect(),
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5", "10.0.0.6"],
})]
#[case::nobody_answers(RecipientsCase {
    learned: [vec![found(&["10.0.0.5"])]]
        .into_iter()
        .chain((0..100).map(|_| vec![]))
        .collect(),
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.5"],
})]
#[case::own_log_names_members(RecipientsCase {
    learned: vec![vec![recorded(&["10.0.0.1", "10.0.0.7"])]],
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.7"],
})]
#[case::empty_answers_after_own_log(RecipientsCase {
    learned: [vec![recorded(&["10.0.0.7"])]].into_iter().chain(repeated(100, &[])).collect(),
    recipients: vec!["10.0.0.2", "10.0.0.3", "10.0.0.7"],
})]
#[case::seeds_change(RecipientsCase {
    learned: vec![vec![Message::Seeds(vec![name("10.0.0.9")])]],
    recipients: vec!["10.0.0.9"],
})]
fn known_instances_get_join_requests(#[case] case: RecipientsCase) {
    let seeds = ["10.0.0.1", "10.0.0.2", "10.0.0.3"].map(name).to_vec();
    let mut quorum = Quorum::new(name("10.0.0.1"), false, seeds);
    let (mut now, mut effects) = (Moment::START, Vec::new());
    for messages in case.learned {
        for message in messages {
            quorum.step(now, message);
        }
        now = now + JOIN_INTERVAL;
        effects = quorum.step(now, Message::Tick);
    }
    let to = case.recipients.into_iter().map(name).collect();
    assert_eq!(effects, vec![Effect::Join { to }]);
}

/// False names in answers must neither use unbounded memory nor displace recently named instances.
#[test]
fn names_are_bounded() {
    let mut quorum = Quorum::new(name("10.0.0.1"), false, names(&["10.0.0.2"]));
    let mut now = Moment::START;
    for round in 0..200 {
        let other = format!("10.1.0.{round}");
        quorum.step(now, found(&["10.0.0.5", &other]));
        now = now + JOIN_INTERVAL;
        let effects = quorum.step(now, Message::Tick);
        let [Effect::Join { to }] = effects.as_slice() else { panic!("{effects:?}") };
        assert!(to.len() <= 1 + NAMES_LIMIT, "{} names", to.len());
        assert!(to.contains(&name("10.0.0.5")));
        assert!(to.contains(&name(&other)));
    }
    let many: Vec<Name> = (0..200).map(|part| name(&format!("10.2.0.{part}"))).collect();
    quorum.step(now, Message::Found(many));
    let effects = quorum.step(now + JOIN_INTERVAL, Message::Tick);
    let [Effect::Join { to }] = effects.as_slice() else { panic!("{effects:?}") };
    assert!(to.len() <= 1 + NAMES_LIMIT, "{} names", to.len());
    assert!(to.contains(&name("10.0.0.5")));
}
