//! Tests of the leader's scheduling duty.

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

fn work(reports: Vec<Report>) -> Message {
    let size = Size::new(32_000, 64_000, 0);
    let instance = Instance { centre: name("kranj-b"), name: name("w1"), rack: name("r1"), size };
    let (quick, latency) = (Vec::new(), Vec::new());
    let work =
        Work { instance, incarnation: 1, quick, reports, usage: None, latency, probed: None };
    Message::Work { ticket: 9, work }
}

/// A leader and the log, in which every proposal is agreed at once.
struct World {
    scheduling: Scheduling,
    runs: JobRecords,
    index: u64,
    now: Moment,
    starts: Vec<Target>,
}

impl World {
    fn tell(&mut self, message: Message) {
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

    fn run(&mut self, reports: &[Report]) {
        for _ in 0..8 {
            self.now = self.now + Span::millis(500);
            self.tell(Message::Tick);
            self.tell(work(reports.to_vec()));
        }
    }
}

/// Guards against a job that a new leader starts a second time or forgets.
#[test]
fn job_survives_a_change_of_leader() {
    let mut runs = JobRecords::default();
    runs.submit(1, spec());
    let scheduling = Scheduling::new(Settings::latency());
    let (index, now, starts) = (1, Moment::START, Vec::new());
    let mut world = World { scheduling, runs, index, now, starts };
    let open: Vec<JobRecord> = world.runs.open().cloned().collect();
    world.tell(Message::Lead { learned: None, runs: open });
    world.run(&[]);
    assert_eq!(world.starts.first().map(|t| t.fence), Some(1));
    let target = world.starts[0].clone();
    let started = Report { event: Event::Started, target: target.clone() };
    world.run(std::slice::from_ref(&started));
    world.starts.clear();
    world.tell(Message::Follow);
    let open: Vec<JobRecord> = world.runs.open().cloned().collect();
    world.tell(Message::Lead { learned: None, runs: open });
    world.run(std::slice::from_ref(&started));
    assert_eq!(world.starts, [], "the execution that runs is not started again");
    let finished = Report { event: Event::Finished, target };
    world.run(&[started, finished]);
    let outcome = world.runs.get(&name("oak")).unwrap().outcome.clone();
    assert_eq!(outcome, Some(crate::placement::Outcome::Done));
}

/// Guards against orders from an instance that does not lead.
#[test]
fn follower_refuses_heartbeats() {
    let mut scheduling = Scheduling::new(Settings::latency());
    let effects = scheduling.step(Moment::START, work(Vec::new()));
    assert!(matches!(effects[..], [Effect::Refuse { ticket: 9 }]));
}

struct Explained {
    looked: Option<Finding>,
    result: Finding,
    text: &'static [&'static str],
}

/// Guards against an explanation that shows names of the code in place of a sentence.
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

/// What is agreed before a leader begins, and which jobs start while it leads.
struct Quotas {
    /// Bodies of the quota of team `nave`; `None` deletes it.
    before: Vec<Option<&'static str>>,
    /// The same, written while the instance leads.
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

/// The agreed state joined with the scheduling duty as the daemon joins them.
struct Joined {
    state: State,
    scheduling: Scheduling,
    index: u64,
    now: Moment,
    starts: usize,
}

impl Joined {
    fn apply(&mut self, command: Command) {
        self.index += 1;
        let message = state::Message::Apply { index: self.index, ticket: None, command };
        self.agreed(message);
    }

    fn agreed(&mut self, message: state::Message) {
        for effect in self.state.step(self.now, message) {
            match effect {
                state::Effect::Schedule(message) => self.tell(message),
                state::Effect::Configure(config) => self.tell(Message::Configure(config)),
                _ => {},
            }
        }
    }

    fn tell(&mut self, message: Message) {
        for effect in self.scheduling.step(self.now, message) {
            match effect {
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

/// Guards against a leader that starts jobs beyond a quota that was declared before it led, that
/// misses a change of a quota, or that keeps a deleted one.
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
    let mut joined = Joined { state, scheduling, index: 0, now, starts: 0 };
    for body in case.before {
        joined.apply(write(Collection::Quotas, "nave", body));
    }
    let job = r#"{"shop": "klopca", "team": "nave", "kind": "sand", "millicores": 1000,
        "memory_mb": 1000}"#;
    for name in ["a", "b", "c"] {
        joined.apply(write(Collection::Jobs, name, Some(job)));
    }
    joined.agreed(state::Message::Lead { leading: true });
    for body in case.after {
        joined.apply(write(Collection::Quotas, "nave", body));
    }
    for _ in 0..3 {
        joined.now = joined.now + Span::millis(500);
        joined.tell(work(Vec::new()));
        joined.tell(Message::Tick);
    }
    assert_eq!(joined.starts, case.starts);
}

/// Guards against a summary that is proposed again although the log holds it, or never again after
/// its proposal was lost.
#[test]
fn what_was_learned_is_proposed_when_it_changed() {
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
    assert!(!proposed(&mut scheduling, 60), "the log holds it already");
    scheduling.step(Moment::START, Message::Learned(Summary::default()));
    assert!(!proposed(&mut scheduling, 119), "twice within a minute");
    assert!(proposed(&mut scheduling, 120) && proposed(&mut scheduling, 180));
    scheduling.step(Moment::START, Message::Learned(summary));
    assert!(!proposed(&mut scheduling, 240), "the log holds it now");
}
