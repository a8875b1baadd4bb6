//! Tests of the proposals that record confirmed starts.

use super::*;

struct Begin {
    gang: u32,
    /// Reports on members of the newest execution, in order; `None` rejects the proposal.
    reports: &'static [Option<(usize, Event)>],
    proposed: usize,
}

const CHECKPOINT: Checkpoint = Checkpoint { done: 0, number: 0 };
const PROGRESS: Event = Event::Progress { checkpoint: CHECKPOINT, done: 3 };

/// Guards against starts that are recorded before each member's worker has confirmed them, never,
/// or again and again.
#[rstest]
#[case::not_reported(Begin { gang: 1, reports: &[], proposed: 0 })]
#[case::started(Begin { gang: 1, reports: &[Some((0, Event::Started))], proposed: 1 })]
#[case::first_report_lost(Begin { gang: 1, reports: &[Some((0, PROGRESS))], proposed: 1 })]
#[case::repeated_report(Begin {
    gang: 1,
    reports: &[Some((0, Event::Started)), Some((0, PROGRESS)), Some((0, Event::Started))],
    proposed: 1,
})]
#[case::rejected(Begin {
    gang: 1,
    reports: &[Some((0, Event::Started)), None, Some((0, PROGRESS)), Some((0, PROGRESS))],
    proposed: 2,
})]
#[case::refused(Begin {
    gang: 1, reports: &[Some((0, Event::Stopped(CHECKPOINT)))], proposed: 0,
})]
#[case::failed(Begin {
    gang: 1, reports: &[Some((0, Event::Failed(Fault::Error)))], proposed: 0,
})]
#[case::part_of_a_gang(Begin {
    gang: 2, reports: &[Some((0, Event::Started)), Some((0, PROGRESS))], proposed: 0,
})]
#[case::whole_gang(Begin {
    gang: 2, reports: &[Some((0, Event::Started)), Some((1, Event::Started))], proposed: 1,
})]
#[case::member_finished_early(Begin {
    gang: 2,
    reports: &[
        Some((0, Event::Started)), Some((0, Event::Finished)), Some((1, Event::Started)),
    ],
    proposed: 1,
})]
#[case::member_refused(Begin {
    gang: 2,
    reports: &[Some((0, Event::Stopped(CHECKPOINT))), Some((1, Event::Started))],
    proposed: 0,
})]
fn starts_are_recorded_once_confirmed(#[case] case: Begin) {
    let mut harness = Harness::new(3);
    harness.submit(Spec { gang: case.gang, ..spec("j", 20) });
    let targets: Vec<Target> = harness.starts("j").into_iter().map(|(target, _)| target).collect();
    assert_eq!(targets.len(), case.gang as usize);
    for report in case.reports {
        match report {
            Some((member, event)) => harness.report(&targets[*member], *event),
            None => {
                harness.send(Message::Rejected(Decision::Begin { fence: 1, job: name("j") }));
            },
        }
    }
    let begins = |effect: &Effect| matches!(effect, Effect::Propose(Decision::Begin { .. }));
    assert_eq!(harness.count(begins), case.proposed);
}

struct Restored {
    begun: bool,
    leaving: bool,
    proposed: usize,
}

/// Guards against a new leader that records a start twice or never, or one of an evicted execution.
#[rstest]
#[case::recorded(Restored { begun: true, leaving: false, proposed: 0 })]
#[case::not_recorded(Restored { begun: false, leaving: false, proposed: 1 })]
#[case::evicted(Restored { begun: false, leaving: true, proposed: 0 })]
fn new_leader_records_starts_that_the_log_lacks(#[case] case: Restored) {
    let mut harness = Harness::new(0);
    harness.planner = Planner::new(Settings::latency());
    let members = vec![Member { grant: Size::new(4_000, 4_000, 0), worker: worker(0) }];
    harness.send(Message::Restore {
        begun: case.begun,
        fence: 3,
        from: Checkpoint::default(),
        leaving: case.leaving,
        members: Some(members),
        spec: spec("j", 4),
    });
    harness.send(Message::Lead);
    harness.join(0);
    let target = Target { fence: 3, job: name("j"), worker: worker(0) };
    for _ in 0..3 {
        harness.report(&target, Event::Started);
        harness.ticks(2);
    }
    let begins =
        |effect: &Effect| matches!(effect, Effect::Propose(Decision::Begin { fence: 3, .. }));
    assert_eq!(harness.count(begins), case.proposed);
}
