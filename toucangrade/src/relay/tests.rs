//! Tests of the search for the leader and of what is told when there is none.

use rstest::rstest;

use super::*;
use crate::core::Name;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// What an instance does with a request.
#[derive(Clone, Copy)]
enum Act {
    /// Leads and answers.
    Answers,
    /// Has no power: a connection is given up after 250 ms.
    Dark,
    /// Can't be reached.
    Down,
    /// Names another instance as the leader.
    Names(&'static str),
    /// Takes the request and is not heard of again.
    Silent,
    /// Answers that the outcome is not known.
    Unknown,
    /// Knows no leader.
    Waits,
}

struct Case {
    a: Act,
    b: Act,
    patient: bool,
    /// Outcome and the greatest time until it, in ms.
    outcome: &'static str,
    within: u64,
}

/// Plays a request of 2 s against two instances.
fn play(case: &Case) -> (&'static str, u64) {
    let mut relay = Relay::new(vec![name("a"), name("b")]);
    let request =
        Arc::new(Request::Join(crate::agreement::Replica { name: name("x"), identity: 1 }));
    let deadline = Moment::micros(2_000_000);
    let patient = case.patient;
    let mut queue =
        relay.step(Moment::START, Message::Send { ticket: 1, request, deadline, patient });
    let mut timeouts: Vec<(u64, u64, CallError)> = Vec::new();
    for millis in (0..3_000u64).step_by(10) {
        let now = Moment::micros(millis * 1_000);
        if millis % 50 == 0 {
            queue.extend(relay.step(now, Message::Tick));
        }
        for (_, call, error) in
            timeouts.extract_if(.., |(at, ..)| *at <= millis).collect::<Vec<_>>()
        {
            let result = Err(error);
            queue.extend(relay.step(now, Message::Answered { call, result }));
        }
        while !queue.is_empty() {
            for effect in std::mem::take(&mut queue) {
                let (call, to, request, timeout) = match effect {
                    Effect::Call { call, to, request, timeout } => (call, to, request, timeout),
                    Effect::Done { outcome, .. } => {
                        let outcome = match outcome {
                            Outcome::Reply(_) => "reply",
                            Outcome::NotTaken => "not taken",
                            Outcome::Unknown => "unknown",
                        };
                        return (outcome, millis);
                    },
                    Effect::Reach(_) => continue,
                };
                let act = if to.as_str() == "a" { case.a } else { case.b };
                let refused = |leader: Option<&str>| {
                    let leader = leader.map(name);
                    Ok(Reply::Refused { reason: String::new(), leader })
                };
                let result = match act {
                    Act::Answers if matches!(*request, Request::Find) => {
                        Ok(Reply::Found { leader: Some(to), members: vec![name("a"), name("b")] })
                    },
                    Act::Answers => Ok(Reply::Told(Told::Accepted)),
                    Act::Down => Err(CallError::Connect),
                    Act::Names(leader) => refused(Some(leader)),
                    Act::Unknown => Ok(Reply::Told(Told::Unknown)),
                    Act::Waits => refused(None),
                    Act::Dark => {
                        timeouts.push((millis + 250, call, CallError::Connect));
                        continue;
                    },
                    Act::Silent => {
                        timeouts.push((millis + timeout.as_millis(), call, CallError::Timeout));
                        continue;
                    },
                };
                queue.extend(relay.step(now, Message::Answered { call, result }));
            }
        }
    }
    ("none", 3_000)
}

/// A leader is found within a few attempts; a request that nothing can have taken is refused early
/// and one that may have been taken is never said to be refused.
#[rstest]
#[case::first_leads(Case {
    a: Act::Answers, b: Act::Waits, patient: false, outcome: "reply", within: 200,
})]
#[case::other_leads(Case {
    a: Act::Down, b: Act::Answers, patient: false, outcome: "reply", within: 200,
})]
#[case::leader_is_named(Case {
    a: Act::Names("b"), b: Act::Answers, patient: false, outcome: "reply", within: 200,
})]
#[case::silent_then_other(Case {
    a: Act::Silent, b: Act::Answers, patient: false, outcome: "reply", within: 1_100,
})]
#[case::nobody_leads(Case {
    a: Act::Waits, b: Act::Waits, patient: false, outcome: "not taken", within: 600,
})]
#[case::all_without_power(Case {
    a: Act::Dark, b: Act::Dark, patient: false, outcome: "not taken", within: 850,
})]
#[case::one_without_power(Case {
    a: Act::Dark, b: Act::Answers, patient: false, outcome: "reply", within: 400,
})]
#[case::all_down_and_patient(Case {
    a: Act::Down, b: Act::Down, patient: true, outcome: "not taken", within: 2_050,
})]
#[case::all_silent(Case {
    a: Act::Silent, b: Act::Silent, patient: false, outcome: "unknown", within: 2_050,
})]
#[case::outcome_lost(Case {
    a: Act::Unknown, b: Act::Waits, patient: false, outcome: "unknown", within: 2_050,
})]
fn request_finds_the_leader_or_is_told_the_truth(#[case] case: Case) {
    let (outcome, at) = play(&case);
    assert_eq!(outcome, case.outcome);
    assert!(at <= case.within, "told after {at} ms");
}

/// An entry that nothing answers counts as cut off, and is back with the first answer.
#[test]
fn reach_follows_answers() {
    let mut relay = Relay::new(vec![name("a")]);
    let mut reached = Vec::new();
    let mut calls: Vec<u64> = Vec::new();
    for step in 0..200u64 {
        let now = Moment::micros(step * 50_000);
        let up = !(40..120).contains(&step);
        let mut effects = relay.step(now, Message::Tick);
        for call in calls.drain(..) {
            let found = Reply::Found { leader: Some(name("a")), members: vec![name("a")] };
            let result = if up { Ok(found) } else { Err(CallError::Connect) };
            effects.extend(relay.step(now, Message::Answered { call, result }));
        }
        for effect in effects {
            match effect {
                Effect::Call { call, .. } => calls.push(call),
                Effect::Reach(now) => reached.push(now),
                Effect::Done { .. } => {},
            }
        }
    }
    assert_eq!(reached, [true, false, true]);
}

struct Find {
    /// Members that instance `a` names when it is asked, and those that `b` names later.
    named: [Vec<&'static str>; 2],
    /// Instances that are asked afterwards.
    asked: Vec<&'static str>,
}

/// An instance that belongs to no group names nobody, which says nothing about those that do: with
/// seeds that were replaced, entries and agents lost every instance that could answer.
#[rstest]
#[case::newer_members(Find { named: [vec!["c", "d"], vec!["e"]], asked: vec!["a", "b", "e"] })]
#[case::no_members(Find { named: [vec!["c", "d"], vec![]], asked: vec!["a", "b", "c", "d"] })]
fn members_are_kept_until_others_are_named(#[case] case: Find) {
    let mut relay = Relay::new(vec![name("a"), name("b")]);
    let mut named = case.named.into_iter();
    let mut asked = BTreeSet::new();
    for step in 0..200u64 {
        let now = Moment::micros(step * 1_001_000);
        for effect in relay.step(now, Message::Tick) {
            let Effect::Call { call, to, .. } = effect else { continue };
            let result = match named.next() {
                Some(members) => {
                    let members = members.into_iter().map(name).collect();
                    Ok(Reply::Found { leader: None, members })
                },
                None => {
                    asked.insert(to);
                    Err(CallError::Connect)
                },
            };
            relay.step(now, Message::Answered { call, result });
        }
    }
    let asked: Vec<&str> = asked.iter().map(Name::as_str).collect();
    assert_eq!(asked, case.asked);
}
