//! Tests of the leader's scheduling duty.

mod starts;

use rstest::rstest;

use super::*;
use crate::learned::Slope;
use crate::placement::{Event, Finding, Report, Size, Target};
use crate::resources::{self, Collection, Expect, Spec};
use crate::runs::JobRecords;
use crate::runs::tests::spec;
use crate::state::{self, Command, State};

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn heartbeat(reports: Vec<Report>) -> Message {
    let size = Size::new(32_000, 64_000, 0);
    let instance = Instance { centre: name("kranj-b"), name: name("w1"), rack: name("r1"), size };
    let (quick, latency) = (Vec::new(), Vec::new());
    let work =
        Work { instance, incarnation: 1, quick, reports, usage: None, latency, probed: None };
    Message::Work { ticket: 9, work }
}

/// A leader with a log that commits every proposal at once.
struct Harness {
    scheduling: Scheduling,
    runs: JobRecords,
    index: u64,
    now: Moment,
    starts: Vec<Target>,
}

impl Harness {
    fn send(&mut self, message: Message) {
        let mut effects = self.scheduling.step(self.now, message);
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Propose(decision) => {
                    self.index += 1;
                    let accepted = self.runs.apply(self.index, &decision);
                    let decided = Message::Decided { decision, accepted };
                    effects.extend(self.scheduling.step(self.now, decided));
                },
                Effect::Orders { orders, .. } => {
                    for order in orders {
                        if let Order::Start { target, .. } = order {
                            self.starts.push(target);
                        }
                    }
                },
                _ => {},
            }
        }
    }

    /// Sends eight ticks and heartbeats, 500 ms apart.
    fn exchange_heartbeats(&mut self, reports: &[Report]) {
        for _ in 0..8 {
            self.now = self.now + Span::millis(500);
            self.send(Message::Tick);
            self.send(heartbeat(reports.to_vec()));
        }
    }
}

/// Guards against a new leader that starts a running job again, or loses it.
#[test]
fn job_survives_a_change_of_leader() {
    let mut runs = JobRecords::default();
    runs.submit(1, spec());
    let scheduling = Scheduling::new(Settings::latency());
    let (index, now, starts) = (1, Moment::START, Vec::new());
    let mut harness = Harness { scheduling, runs, index, now, starts };
    let open: Vec<JobRecord> = harness.runs.open().cloned().collect();
    harness.send(Message::Lead { learned: None, runs: open });
    harness.exchange_heartbeats(&[]);
    assert_eq!(harness.starts.first().map(|t| t.fence), Some(1));
    let target = harness.starts[0].clone();
    let started = Report { event: Event::Started, target: target.clone() };
    harness.exchange_heartbeats(std::slice::from_ref(&started));
    harness.starts.clear();
    harness.send(Message::Follow);
    let open: Vec<JobRecord> = harness.runs.open().cloned().collect();
    harness.send(Message::Lead { learned: None, runs: open });
    harness.exchange_heartbeats(std::slice::from_ref(&started));
    assert_eq!(harness.starts, [], "a running execution was started again");
    let finished = Report { event: Event::Finished, target };
    harness.exchange_heartbeats(&[started, finished]);
    let outcome = harness.runs.get(&name("oak")).unwrap().outcome.clone();
    assert_eq!(outcome, Some(crate::placement::Outcome::Done));
}

/// Guards against orders from an instance that doesn't lead.
#[test]
fn follower_refuses_heartbeats() {
    let mut scheduling = Scheduling::new(Settings::latency());
    let effects = scheduling.step(Moment::START, heartbeat(Vec::new()));
    assert!(matches!(effects[..], [Effect::Refuse { ticket: 9 }]));
}

struct Explained {
    looked: Option<Finding>,
    result: Finding,
    text: &'static [&'static str],
}

/// Guards against explanations that contain Rust identifiers instead of sentences.
#[test]
fn findings_read_as_sentences() {
    let cases = [
        Explained {
            looked: Some(Finding::Costlier(0.144_31)),
            result: Finding::Chosen(0.25),
            text: &["w1: not chosen at a cost of 0.144", "oak-17: chosen at a cost of 0.250"],
        },
        Explained {
            looked: Some(Finding::Memory),
            result: Finding::Waits,
            text: &["w1: too little memory is free", "oak-17: waits, since no worker has room now"],
        },
        Explained {
            looked: None,
            result: Finding::Quota,
            text: &["oak-17: waits, since the quota of its team is used up"],
        },
    ];
    for case in cases {
        let looked = case.looked.map(|finding| (name("w1"), finding)).into_iter().collect();
        let record = placement::Record { job: name("oak-17"), looked, result: case.result };
        assert_eq!(message::sentences(&record), case.text);
    }
}

/// Quotas written before and after a change of leader, and the number of jobs that start.
struct Quotas {
    /// Bodies of the quota of team `nave`, written before the instance leads; `None` deletes it.
    before: Vec<Option<&'static str>>,
    /// Same as `before`, but written while the instance leads.
    after: Vec<Option<&'static str>>,
    starts: usize,
}

fn write(collection: Collection, name: &str, body: Option<&str>) -> Command {
    Command::Resource(resources::Command {
        collection,
        name: Name::new(name).unwrap(),
        spec: body.map(|body| Spec::parse(collection, body.as_bytes()).unwrap()),
        expect: Expect::Any,
        key: None,
    })
}

/// The replicated state and the scheduling duty, connected as in the daemon.
struct StateHarness {
    state: State,
    scheduling: Scheduling,
    index: u64,
    now: Moment,
    starts: usize,
    /// Whether the log drops proposals.
    dropping: bool,
}

impl StateHarness {
    fn apply(&mut self, command: Command) {
        self.index += 1;
        let message = state::Message::Apply { index: self.index, ticket: None, command };
        self.step_state(message);
    }

    fn step_state(&mut self, message: state::Message) {
        for effect in self.state.step(self.now, message) {
            match effect {
                state::Effect::Schedule(message) => self.send(message),
                state::Effect::Configure(config) => self.send(Message::Configure(config)),
                _ => {},
            }
        }
    }

    fn send(&mut self, message: Message) {
        for effect in self.scheduling.step(self.now, message) {
            match effect {
                Effect::Propose(decision) if self.dropping => self.send(Message::Dropped(decision)),
                Effect::Propose(decision) => self.apply(Command::Run(decision)),
                Effect::Orders { orders, .. } => {
                    let start = |order: &&Order| matches!(order, Order::Start { .. });
                    self.starts += orders.iter().filter(start).count();
                },
                _ => {},
            }
        }
    }
}

/// Guards against a leader that ignores a quota written before it led, misses a change of a quota,
/// or still enforces a deleted one.
#[rstest]
#[case::none(Quotas { before: vec![], after: vec![], starts: 3 })]
#[case::declared_before(Quotas {
    before: vec![Some(r#"{"millicores": 2000}"#)], after: vec![], starts: 2,
})]
#[case::memory(Quotas {
    before: vec![Some(r#"{"memory_mb": 1000}"#)], after: vec![], starts: 1,
})]
#[case::accelerators(Quotas {
    before: vec![Some(r#"{"accelerators": 0}"#)], after: vec![], starts: 3,
})]
#[case::raised(Quotas {
    before: vec![Some(r#"{"millicores": 1000}"#)],
    after: vec![Some(r#"{"millicores": 2000}"#)],
    starts: 2,
})]
#[case::deleted(Quotas {
    before: vec![Some(r#"{"millicores": 1000}"#)], after: vec![None], starts: 3,
})]
#[case::deleted_before(Quotas {
    before: vec![Some(r#"{"millicores": 1000}"#), None], after: vec![], starts: 3,
})]
fn quotas_of_teams_reach_the_planner(#[case] case: Quotas) {
    let (state, now) = (State::default(), Moment::START);
    let scheduling = Scheduling::new(Settings::latency());
    let mut harness = StateHarness { state, scheduling, index: 0, now, starts: 0, dropping: false };
    for body in case.before {
        harness.apply(write(Collection::Quotas, "nave", body));
    }
    let job = r#"{"shop": "klopca", "team": "nave", "kind": "sand", "millicores": 1000,
        "memory_mb": 1000}"#;
    for name in ["a", "b", "c"] {
        harness.apply(write(Collection::Jobs, name, Some(job)));
    }
    harness.step_state(state::Message::Lead { leading: true });
    for body in case.after {
        harness.apply(write(Collection::Quotas, "nave", body));
    }
    for _ in 0..3 {
        harness.now = harness.now + Span::millis(500);
        harness.send(heartbeat(Vec::new()));
        harness.send(Message::Tick);
    }
    assert_eq!(harness.starts, case.starts);
}

/// Guards against a summary that is proposed again although it is committed, or that is never
/// proposed again after its proposal was lost.
#[test]
fn summary_is_proposed_when_it_changed() {
    let mut scheduling = Scheduling::new(Settings::latency());
    let slope =
        Slope { kind: name("oak"), victim: name("match"), mean: 2.0, error: 0.5, evidence: 3.0 };
    let summary = Summary { sizes: Vec::new(), slopes: vec![slope] };
    let learned = Some((summary.clone(), Span::ZERO));
    scheduling.step(Moment::START, Message::Lead { learned, runs: Vec::new() });
    let proposed = |scheduling: &mut Scheduling, secs| {
        let effects = scheduling.step(Moment::START + Span::secs(secs), Message::Tick);
        effects.into_iter().any(|effect| matches!(effect, Effect::Learn(_)))
    };
    assert!(!proposed(&mut scheduling, 60), "the summary is already committed");
    scheduling.step(Moment::START, Message::Learned(Summary::default()));
    assert!(!proposed(&mut scheduling, 119), "proposed twice within a minute");
    assert!(proposed(&mut scheduling, 120) && proposed(&mut scheduling, 180));
    scheduling.step(Moment::START, Message::Learned(summary));
    assert!(!proposed(&mut scheduling, 240), "the summary is committed by now");
}
