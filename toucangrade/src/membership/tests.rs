//! Tests of heartbeats, polls and leases.

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

enum Act {
    Beat(&'static str, u64),
    Leave(&'static str, u64),
    Wait(u64),
}

struct Case {
    acts: Vec<Act>,
    /// Live agents and their incarnations in the view; none when the entry keeps its own.
    view: Option<Vec<(&'static str, u64)>>,
}

/// Guards against work for agents that left, died or were replaced, and against emptied views.
#[rstest]
#[case::fresh_leader_empties_no_view(Case {
    acts: vec![Act::Beat("a", 1)],
    view: None,
})]
#[case::live(Case {
    acts: vec![Act::Wait(4_000), Act::Beat("a", 1)],
    view: Some(vec![("a", 1)]),
})]
#[case::silent_agent_lapses(Case {
    acts: vec![
        Act::Beat("a", 1), Act::Wait(2_000), Act::Beat("b", 1), Act::Beat("c", 1), Act::Wait(2_000),
    ],
    view: Some(vec![("b", 1), ("c", 1)]),
})]
#[case::half_silent_means_isolated(Case {
    acts: vec![
        Act::Beat("a", 1), Act::Beat("b", 1), Act::Wait(2_000), Act::Beat("c", 1), Act::Beat("d", 1),
        Act::Wait(2_000),
    ],
    view: Some(vec![("a", 1), ("b", 1), ("c", 1), ("d", 1)]),
})]
#[case::agents_that_are_gone_are_no_isolation(Case {
    acts: [Act::Beat("a", 1), Act::Beat("b", 1)]
        .into_iter()
        .chain((0..6).flat_map(|_| [Act::Beat("c", 1), Act::Beat("d", 1), Act::Wait(2_000)]))
        .collect(),
    view: Some(vec![("c", 1), ("d", 1)]),
})]
#[case::leaving_agent_is_dropped_at_once(Case {
    acts: vec![Act::Wait(4_000), Act::Beat("a", 1), Act::Beat("b", 1), Act::Leave("a", 1)],
    view: Some(vec![("b", 1)]),
})]
#[case::old_incarnation_is_refused(Case {
    acts: vec![Act::Wait(4_000), Act::Beat("a", 1), Act::Beat("a", 2), Act::Beat("a", 1)],
    view: Some(vec![("a", 2)]),
})]
fn view_holds_live_agents(#[case] case: Case) {
    let mut membership = Membership::new(7);
    let mut now = Moment::START;
    membership.step(now, Message::Lead { leading: true });
    for act in case.acts {
        let message = match act {
            Act::Beat(agent, incarnation) => {
                Message::Beat { ticket: 1, beat: beat(agent, incarnation, false) }
            },
            Act::Leave(agent, incarnation) => {
                Message::Beat { ticket: 1, beat: beat(agent, incarnation, true) }
            },
            Act::Wait(millis) => {
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
    let wanted = case
        .view
        .map(|view| view.into_iter().map(|(name, n)| (name.to_owned(), n)).collect::<Vec<_>>());
    assert_eq!(agents, wanted);
}

struct Applied {
    /// Revisions that control answers with, and when each poll was sent.
    answers: Vec<(u64, u64)>,
    revision: u64,
    confirmed: u64,
}

/// Guards against a poll at every tick while a released partition waits for its next owner.
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

/// Guards against a configuration that reverts and against leases from outdated answers.
#[rstest]
#[case::newer(Applied { answers: vec![(100, 3), (200, 5)], revision: 5, confirmed: 9_200 })]
#[case::older_is_refused(Applied { answers: vec![(100, 5), (200, 3)], revision: 5, confirmed: 9_100 })]
#[case::overtaken(Applied { answers: vec![(200, 5), (100, 5)], revision: 5, confirmed: 9_200 })]
fn configuration_never_reverts(#[case] case: Applied) {
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
