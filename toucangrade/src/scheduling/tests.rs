//! Tests of the leader's scheduling duty.

use super::*;
use crate::learned::Slope;
use crate::placement::{Event, Report, Size, Target};
use crate::runs::Runs;
use crate::runs::tests::spec;

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
    runs: Runs,
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
    let mut runs = Runs::default();
    runs.submit(1, spec());
    let scheduling = Scheduling::new(Settings::latency());
    let (index, now, starts) = (1, Moment::START, Vec::new());
    let mut world = World { scheduling, runs, index, now, starts };
    let open: Vec<Run> = world.runs.open().cloned().collect();
    world.tell(Message::Lead { learned: None, runs: open });
    world.run(&[]);
    assert_eq!(world.starts.first().map(|t| t.fence), Some(1));
    let target = world.starts[0].clone();
    let started = Report { event: Event::Started, target: target.clone() };
    world.run(std::slice::from_ref(&started));
    world.starts.clear();
    world.tell(Message::Follow);
    let open: Vec<Run> = world.runs.open().cloned().collect();
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
