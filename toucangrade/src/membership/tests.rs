//! Tests of heartbeats, polls and configuration leases.

use std::net::SocketAddr;

use rstest::rstest;

use super::control::{Effect, Membership, Message};
use super::*;
use crate::core::{Moment, Name, Span};

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn addr() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn beat(agent: &str, incarnation: u64, draining: bool) -> Beat {
    Beat {
        agent: name(agent),
        incarnation,
        addr: addr(),
        centre: name("olinda"),
        rack: name("r1"),
        offers: Vec::new(),
        draining,
        applied: 0,
    }
}

fn poll() -> Poll {
    Poll {
        entry: name("one"),
        incarnation: 1,
        addr: addr(),
        centre: name("olinda"),
        applied: 0,
        view: 0,
        table: 0,
        source: 0,
        released: Vec::new(),
        draining: false,
    }
}

enum Op {
    Beat(&'static str, u64),
    Drain(&'static str, u64),
    Wait(u64),
}

struct ViewCase {
    ops: Vec<Op>,
    /// Expected live agents and incarnations in the answer; `None` if the answer has no list.
    view: Option<Vec<(&'static str, u64)>>,
}

/// Guards against work for agents that are draining, dead or replaced, and against empty lists of
/// agents after a change of leader or during a network partition.
#[rstest]
#[case::new_leader_sends_no_list(ViewCase {
    ops: vec![Op::Beat("a", 1)],
    view: None,
})]
#[case::live(ViewCase {
    ops: vec![Op::Wait(4_000), Op::Beat("a", 1)],
    view: Some(vec![("a", 1)]),
})]
#[case::silent_agent_is_removed(ViewCase {
    ops: vec![
        Op::Beat("a", 1), Op::Wait(2_000), Op::Beat("b", 1), Op::Beat("c", 1), Op::Wait(2_000),
    ],
    view: Some(vec![("b", 1), ("c", 1)]),
})]
#[case::half_silent_means_isolated(ViewCase {
    ops: vec![
        Op::Beat("a", 1), Op::Beat("b", 1), Op::Wait(2_000), Op::Beat("c", 1), Op::Beat("d", 1),
        Op::Wait(2_000),
    ],
    view: Some(vec![("a", 1), ("b", 1), ("c", 1), ("d", 1)]),
})]
#[case::agents_without_lease_do_not_count(ViewCase {
    ops: [Op::Beat("a", 1), Op::Beat("b", 1)]
        .into_iter()
        .chain((0..6).flat_map(|_| [Op::Beat("c", 1), Op::Beat("d", 1), Op::Wait(2_000)]))
        .collect(),
    view: Some(vec![("c", 1), ("d", 1)]),
})]
#[case::draining_agent_is_removed_at_once(ViewCase {
    ops: vec![Op::Wait(4_000), Op::Beat("a", 1), Op::Beat("b", 1), Op::Drain("a", 1)],
    view: Some(vec![("b", 1)]),
})]
#[case::old_incarnation_is_refused(ViewCase {
    ops: vec![Op::Wait(4_000), Op::Beat("a", 1), Op::Beat("a", 2), Op::Beat("a", 1)],
    view: Some(vec![("a", 2)]),
})]
fn view_lists_live_agents(#[case] case: ViewCase) {
    let mut membership = Membership::new(7);
    let mut now = Moment::START;
    membership.step(now, Message::Lead { leading: true });
    for op in case.ops {
        let message = match op {
            Op::Beat(agent, incarnation) => {
                Message::Beat { ticket: 1, beat: beat(agent, incarnation, false) }
            },
            Op::Drain(agent, incarnation) => {
                Message::Beat { ticket: 1, beat: beat(agent, incarnation, true) }
            },
            Op::Wait(millis) => {
                now = now + Span::millis(millis);
                Message::Tick
            },
        };
        membership.step(now, message);
    }
    let effects = membership.step(now, Message::Poll { ticket: 2, poll: poll() });
    let Some(Effect::View { view, .. }) = effects.into_iter().next() else { panic!("no view") };
    let agents = view.agents.map(|agents| {
        agents.into_iter().map(|(name, a)| (name.to_string(), a.incarnation)).collect::<Vec<_>>()
    });
    let expected = case
        .view
        .map(|view| view.into_iter().map(|(name, n)| (name.to_owned(), n)).collect::<Vec<_>>());
    assert_eq!(agents, expected);
}

struct AnswerCase {
    /// Answers of control in order of arrival: send time of the poll in milliseconds, and revision.
    answers: Vec<(u64, u64)>,
    revision: u64,
    confirmed: u64,
}

/// Guards against a poll at every tick while a released partition has no new owner.
#[test]
fn released_partitions_are_reported_once() {
    let identity =
        entry::Identity { name: name("one"), incarnation: 1, addr: addr(), centre: name("olinda") };
    let mut membership = entry::Membership::new(identity);
    let mut polls = |released: Vec<(u32, u64)>| {
        membership.step(Moment::START, entry::Message::Released(released)).len()
    };
    assert_eq!([polls(vec![(1, 1)]), polls(vec![(1, 1)]), polls(vec![(1, 1), (2, 1)])], [1, 0, 1]);
}

/// Guards against outdated answers that revert the configuration or change its lease.
#[rstest]
#[case::newer(AnswerCase { answers: vec![(100, 3), (200, 5)], revision: 5, confirmed: 9_200 })]
#[case::older_is_ignored(AnswerCase { answers: vec![(100, 5), (200, 3)], revision: 5, confirmed: 9_100 })]
#[case::out_of_order(AnswerCase { answers: vec![(200, 5), (100, 5)], revision: 5, confirmed: 9_200 })]
fn configuration_never_reverts(#[case] case: AnswerCase) {
    let identity =
        entry::Identity { name: name("one"), incarnation: 1, addr: addr(), centre: name("olinda") };
    let mut membership = entry::Membership::new(identity);
    let (mut revision, mut confirmed) = (0, Moment::START);
    for (sent, answer) in case.answers {
        let view = View {
            view: 1,
            table: 1,
            source: 1,
            agents: None,
            config: Some(Config { revision: answer, ..Config::default() }),
            owners: None,
            surplus: Vec::new(),
            entries: 1,
            revision: answer,
            lease: CONFIG_LEASE,
        };
        let sent = Moment::START + Span::millis(sent);
        let message = entry::Message::Polled { sent, view: Some(view) };
        for effect in membership.step(Moment::START + Span::secs(1), message) {
            match effect {
                entry::Effect::Configure { config, .. } => revision = config.revision,
                entry::Effect::Confirmed { until } => confirmed = until,
                _ => {},
            }
        }
    }
    assert_eq!(revision, case.revision);
    assert_eq!(confirmed, Moment::START + Span::millis(case.confirmed));
}
