//! Tests that callers are shown a job as running only once its worker has confirmed the start.

use super::*;
use crate::peer;
use crate::placement::Fault;

/// What happens to the job `oak` and its worker `w1`.
#[derive(Clone, Copy)]
enum Act {
    /// The worker sends a heartbeat, with a report on the newest execution if there is one.
    Beat(Option<Event>),
    /// Same as `Beat`, but the log drops whatever is proposed.
    Drop(Event),
    /// Another instance with the same log leads.
    Lead,
    /// Another instance leads that has installed a snapshot.
    Snapshot,
    /// The worker is silent for 20 s.
    Silence,
}

struct Shown {
    acts: &'static [Act],
    /// Phases and fencing tokens on the watch stream.
    lines: &'static [&'static str],
    /// Last step that `explain` shows.
    step: &'static str,
    resumed: u64,
}

const STARTED: Act = Act::Beat(Some(Event::Started));
const IDLE: Act = Act::Beat(None);

impl StateHarness {
    fn query(&mut self, query: state::Query) -> state::Reply {
        let message = state::Message::Query { ticket: 1, query };
        match self.state.step(self.now, message).pop() {
            Some(state::Effect::Reply { reply, .. }) => reply,
            other => panic!("{other:?}"),
        }
    }

    fn run(&mut self) -> JobRecord {
        match self.query(state::Query::Run { name: name("oak") }) {
            state::Reply::Run(Some(run)) => *run,
            other => panic!("{other:?}"),
        }
    }

    fn lines(&mut self) -> Vec<String> {
        let state::Reply::Changes(Ok(changes)) = self.query(state::Query::Changes { since: 0 })
        else {
            panic!("no changes");
        };
        let steps = changes.into_iter().filter_map(|change| change.step);
        steps.map(|step| format!("{:?} {}", step.phase, step.fence)).collect()
    }

    fn beat(&mut self, event: Option<Event>) {
        self.now = self.now + Span::millis(500);
        let fence = self.run().fence;
        let target = Target { fence, job: name("oak"), worker: name("w1") };
        let report = event.map(|event| Report { event, target });
        self.send(heartbeat(report.into_iter().collect()));
        self.send(Message::Tick);
    }

    fn lead(&mut self) {
        self.step_state(state::Message::Lead { leading: false });
        self.scheduling = Scheduling::new(Settings::latency());
        self.step_state(state::Message::Lead { leading: true });
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Beat(event) => self.beat(event),
            Act::Drop(event) => {
                self.dropping = true;
                self.beat(Some(event));
                self.dropping = false;
            },
            Act::Lead => self.lead(),
            Act::Snapshot => {
                // Snapshots are due every 5,000 entries.
                self.index += 5_000;
                let (index, command) = (self.index, Command::Learned(Summary::default()));
                let apply = state::Message::Apply { index, ticket: None, command };
                let snapshot = self.state.step(self.now, apply).into_iter().find_map(|effect| {
                    let state::Effect::Snapshot { machine, .. } = effect else { return None };
                    peer::decode(&peer::encode(&*machine))
                });
                let machine = Box::new(snapshot.expect("a snapshot"));
                self.state = State::default();
                self.step_state(state::Message::Install { index, machine });
                self.lead();
            },
            Act::Silence => {
                for _ in 0..80 {
                    self.now = self.now + Span::millis(250);
                    self.send(Message::Tick);
                }
            },
        }
    }
}

/// Callers saw jobs as running, and resumptions, that no worker had confirmed.
#[rstest]
#[case::assigned(Shown {
    acts: &[IDLE, IDLE],
    lines: &["Waiting 0"],
    step: "execution 1 is assigned to w1, from 0 core seconds",
    resumed: 0,
})]
#[case::refused(Shown {
    acts: &[IDLE, Act::Beat(Some(Event::Stopped(placement::Checkpoint { done: 0, number: 0 })))],
    lines: &["Waiting 0", "Evicted 2"],
    step: "execution 2 is assigned to w1, from 0 core seconds",
    resumed: 0,
})]
#[case::lost_before_a_start(Shown {
    acts: &[IDLE, IDLE, Act::Silence],
    lines: &["Waiting 0", "Evicted 1"],
    step: "execution 1 ends without a confirmed start: its worker was lost",
    resumed: 0,
})]
#[case::confirmed(Shown {
    acts: &[IDLE, STARTED],
    lines: &["Waiting 0", "Running 1"],
    step: "execution 1 has started",
    resumed: 0,
})]
#[case::confirmed_by_each_heartbeat(Shown {
    acts: &[IDLE, STARTED, STARTED, STARTED],
    lines: &["Waiting 0", "Running 1"],
    step: "execution 1 has started",
    resumed: 0,
})]
#[case::confirmation_dropped(Shown {
    acts: &[IDLE, Act::Drop(Event::Started)],
    lines: &["Waiting 0"],
    step: "execution 1 is assigned to w1, from 0 core seconds",
    resumed: 0,
})]
#[case::dropped_confirmation_is_repeated(Shown {
    acts: &[IDLE, Act::Drop(Event::Started), STARTED],
    lines: &["Waiting 0", "Running 1"],
    step: "execution 1 has started",
    resumed: 0,
})]
#[case::leader_changed_before_the_confirmation(Shown {
    acts: &[IDLE, Act::Lead, IDLE],
    lines: &["Waiting 0"],
    step: "execution 1 is assigned to w1, from 0 core seconds",
    resumed: 0,
})]
#[case::confirmed_to_the_next_leader(Shown {
    acts: &[IDLE, Act::Lead, STARTED],
    lines: &["Waiting 0", "Running 1"],
    step: "execution 1 has started",
    resumed: 0,
})]
#[case::leader_changed_after_the_confirmation(Shown {
    acts: &[IDLE, STARTED, Act::Lead, STARTED],
    lines: &["Waiting 0", "Running 1"],
    step: "execution 1 has started",
    resumed: 0,
})]
#[case::snapshot_before_the_confirmation(Shown {
    acts: &[IDLE, Act::Snapshot, IDLE],
    lines: &["Waiting 0"],
    step: "execution 1 is assigned to w1, from 0 core seconds",
    resumed: 0,
})]
#[case::snapshot_after_the_confirmation(Shown {
    acts: &[IDLE, STARTED, Act::Snapshot, STARTED],
    lines: &["Waiting 0", "Running 1"],
    step: "execution 1 has started",
    resumed: 0,
})]
#[case::assigned_again(Shown {
    acts: &[IDLE, STARTED, Act::Silence, IDLE, IDLE],
    lines: &["Waiting 0", "Running 1", "Evicted 1"],
    step: "execution 2 is assigned to w1, from 0 core seconds",
    resumed: 0,
})]
#[case::resumed(Shown {
    acts: &[IDLE, STARTED, Act::Silence, IDLE, IDLE, Act::Snapshot, STARTED],
    lines: &["Waiting 0", "Running 1", "Evicted 1", "Running 2"],
    step: "execution 2 has started",
    resumed: 1,
})]
#[case::failed_execution_is_assigned_again(Shown {
    acts: &[IDLE, STARTED, Act::Beat(Some(Event::Failed(Fault::Memory)))],
    lines: &["Waiting 0", "Running 1", "Evicted 2"],
    step: "execution 2 is assigned to w1, from 0 core seconds",
    resumed: 0,
})]
fn running_is_shown_once_the_worker_confirms_the_start(#[case] case: Shown) {
    let (state, now) = (State::default(), Moment::START);
    let scheduling = Scheduling::new(Settings::latency());
    let mut harness = StateHarness { state, scheduling, index: 0, now, starts: 0, dropping: false };
    harness.lead();
    let job = r#"{"shop": "klopca", "team": "nave", "kind": "sand", "millicores": 1000,
        "memory_mb": 1000}"#;
    harness.apply(write(Collection::Jobs, "oak", Some(job)));
    for act in case.acts {
        harness.act(*act);
    }
    let run = harness.run();
    let step = run.steps.back().map(|(_, text)| text.clone()).expect("a step");
    assert_eq!(harness.lines(), case.lines);
    assert_eq!((step.as_str(), run.resumed), (case.step, case.resumed));
}
