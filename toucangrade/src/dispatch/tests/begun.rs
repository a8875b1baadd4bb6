//! Tests of the number of waiting jobs and of the state of jobs whose starts are not confirmed.

use rstest::rstest;

use super::*;
use crate::jobs::Schedule;

/// What happens to the newest run of job 7, which has one task on the only runner.
#[derive(Clone, Copy)]
enum Event {
    /// The agent reports the end of the run, which no listing has shown before.
    Ended(End),
    /// The agent reports that the first run, which was closed meanwhile, has lapsed.
    EndedAgain,
    /// Leadership is lost and gained again before the log has taken what is proposed meanwhile.
    Deposed(&'static Event),
    /// The log refuses what is proposed meanwhile.
    Refusing(&'static Event),
    /// The agent reports that it handles the order and has no answer.
    Handled,
    /// Another instance leads, which has installed a snapshot.
    Installed,
    /// The agent reports that the runner lists the run.
    Listed,
    /// The agent reports that the runner lists the first run, which was closed meanwhile.
    ListedAgain,
    /// Another instance leads, which has applied the log.
    NewLeader,
    /// Another instance leads, which has read the log from its files. An earlier version that led
    /// before has not recorded any start.
    Replayed { earlier: bool },
    /// The agent reports the next incarnation of the runner, which runs nothing.
    Reborn,
    /// The same, but the start has reached the next incarnation.
    RebornWith,
    /// The agent reports that the run was refused and will not start.
    Refused(Denial),
    /// Nothing is heard from the agent until all leases have lapsed.
    Silent,
}

struct Waiting {
    events: &'static [Event],
    pending: u64,
    state: JobState,
}

/// A runner, the world, and the numbers of reports and ends so far.
struct Scene {
    world: World,
    runner: Incarnation,
    seq: u64,
    ends: u64,
}

impl Scene {
    fn new(schedule: Option<Schedule>) -> Self {
        let mut scene =
            Self { world: World::new(), runner: incarnation("i-1", 10), seq: 0, ends: 0 };
        scene.report(|report| report);
        let (spec, steps) = ("spec".into(), vec![step(1, 1_000)]);
        let verb = Verb::Submit { spec, steps, schedule };
        scene.world.ask("/match/0000000000000007", verb, Some(7));
        scene.world.advance(100);
        scene
    }

    fn report(&mut self, change: impl FnOnce(Report) -> Report) {
        self.seq += 1;
        let report = report("10.0.0.1", self.seq, &self.runner);
        self.world.report(change(report));
    }

    fn newest_run(&self) -> RunKey {
        let entry = &self.world.dispatch.job_table.jobs[&7];
        let task = TaskKey { job: 7, round: 0, step: 0, index: 0 };
        RunKey { task, run: entry.task(task).expect("an open task").runs }
    }

    fn play(&mut self, played: Event) {
        let key = self.newest_run();
        match played {
            Event::Ended(end) => {
                self.ends += 1;
                let ended = vec![EndedRun { number: self.ends, key, end, saved: None }];
                self.report(|report| Report { ended, ..report });
            },
            Event::EndedAgain => {
                self.ends += 1;
                let (number, key) = (self.ends, RunKey { run: 1, ..key });
                let ended = vec![EndedRun { number, key, end: End::Lapsed, saved: None }];
                self.report(|report| Report { ended, ..report });
            },
            Event::Deposed(event) | Event::Refusing(event) => {
                self.world.hold = true;
                self.play(*event);
                let lost = matches!(played, Event::Deposed(_));
                if lost {
                    self.world.send(Message::Lead { leading: false });
                }
                self.world.hold = false;
                for (ticket, _) in std::mem::take(&mut self.world.held) {
                    self.world.send(Message::Rejected { ticket, lost });
                }
                if lost {
                    self.world.send(Message::Lead { leading: true });
                }
                self.play(*event);
            },
            Event::Handled => self.report(|report| Report { handling: vec![key], ..report }),
            Event::Installed => {
                let bytes = crate::peer::encode(&self.world.dispatch.job_table);
                let job_table = crate::peer::decode(&bytes).expect("a decodable snapshot");
                self.world.dispatch = Dispatch::new();
                let index = self.world.index;
                self.world.send(Message::Install { index, job_table: Box::new(job_table) });
                self.world.advance(100);
                self.world.send(Message::Lead { leading: true });
            },
            Event::Replayed { earlier } => {
                self.world.dispatch = Dispatch::new();
                for (bytes, index) in self.world.log.clone().iter().zip(1..) {
                    let stored: Vec<Command> = crate::peer::decode(bytes).expect("a stored entry");
                    let commands = stored.into_iter().map(Command::from_stored);
                    let recorded = |command: &Command| !matches!(command, Command::Begin { .. });
                    let commands = commands.filter(|c| !earlier || recorded(c)).collect();
                    self.world.send(Message::Commit { index, ticket: None, commands, bytes: 0 });
                }
                self.world.advance(100);
                self.world.send(Message::Lead { leading: true });
            },
            Event::Listed => self.report(|report| Report { rows: vec![row(key)], ..report }),
            Event::ListedAgain => {
                let rows = vec![row(RunKey { run: 1, ..key })];
                self.report(|report| Report { rows, ..report });
            },
            Event::NewLeader => {
                self.world.send(Message::Lead { leading: false });
                self.world.send(Message::Lead { leading: true });
            },
            Event::Reborn | Event::RebornWith => {
                self.runner = incarnation("i-1", self.runner.born + 10);
                let rows = if matches!(played, Event::Reborn) { vec![] } else { vec![row(key)] };
                self.report(|report| Report { rows, ..report });
            },
            Event::Refused(denial) => {
                self.report(|report| Report { denied: vec![(key, denial)], ..report });
            },
            Event::Silent => self.world.advance(20_000),
        }
    }

    fn pending(&mut self) -> Option<ClientReply> {
        let ticket = self.world.ask("/match/", Verb::Show, None);
        self.world.answers.get(&ticket).cloned().flatten()
    }
}

/// Jobs whose tasks were assigned and that no runner had begun were not counted as waiting, and were
/// said to run.
#[rstest]
#[case::assigned(Waiting { events: &[], pending: 1, state: JobState::Queued })]
#[case::no_answer(Waiting { events: &[Event::Handled], pending: 1, state: JobState::Queued })]
#[case::refused(Waiting {
    events: &[Event::Refused(Denial::Room)], pending: 1, state: JobState::Queued,
})]
#[case::always_refused(Waiting {
    events: &[
        Event::Refused(Denial::Unhealthy), Event::Refused(Denial::Unhealthy),
        Event::Refused(Denial::Unhealthy),
    ],
    pending: 1, state: JobState::Queued,
})]
#[case::stopped_before_it_began(Waiting {
    events: &[Event::Handled, Event::Refused(Denial::Silent)],
    pending: 1, state: JobState::Queued,
})]
#[case::cut_off(Waiting { events: &[Event::Silent], pending: 1, state: JobState::Queued })]
#[case::cut_off_while_handled(Waiting {
    events: &[Event::Handled, Event::Silent], pending: 1, state: JobState::Queued,
})]
#[case::restarted(Waiting { events: &[Event::Reborn], pending: 1, state: JobState::Queued })]
#[case::new_leader(Waiting { events: &[Event::NewLeader], pending: 1, state: JobState::Queued })]
#[case::snapshot(Waiting { events: &[Event::Installed], pending: 1, state: JobState::Queued })]
#[case::replayed(Waiting {
    events: &[Event::Replayed { earlier: false }], pending: 1, state: JobState::Queued,
})]
#[case::log_of_an_earlier_version(Waiting {
    events: &[Event::Listed, Event::Replayed { earlier: true }],
    pending: 1, state: JobState::Queued,
})]
#[case::log_of_an_earlier_version_and_listed(Waiting {
    events: &[Event::Listed, Event::Replayed { earlier: true }, Event::Listed],
    pending: 0, state: JobState::Running,
})]
#[case::end_in_the_log_of_an_earlier_version(Waiting {
    events: &[Event::Ended(End::Stopped), Event::Replayed { earlier: true }],
    pending: 0, state: JobState::Running,
})]
#[case::begun_before_the_replay(Waiting {
    events: &[Event::Listed, Event::Replayed { earlier: false }],
    pending: 0, state: JobState::Running,
})]
#[case::listed(Waiting { events: &[Event::Listed], pending: 0, state: JobState::Running })]
#[case::listed_late(Waiting {
    events: &[Event::Handled, Event::Handled, Event::Listed], pending: 0, state: JobState::Running,
})]
#[case::listed_by_the_next_incarnation(Waiting {
    events: &[Event::RebornWith], pending: 0, state: JobState::Running,
})]
#[case::listed_by_two(Waiting {
    events: &[Event::Listed, Event::NewLeader, Event::Listed],
    pending: 0, state: JobState::Running,
})]
#[case::listed_while_the_log_refuses(Waiting {
    events: &[Event::Refusing(&Event::Listed)], pending: 0, state: JobState::Running,
})]
#[case::listed_by_a_deposed_leader(Waiting {
    events: &[Event::Deposed(&Event::Listed)], pending: 0, state: JobState::Running,
})]
#[case::listed_after_it_was_lost(Waiting {
    events: &[Event::Handled, Event::Silent, Event::ListedAgain],
    pending: 0, state: JobState::Running,
})]
#[case::ended_after_it_was_lost(Waiting {
    events: &[Event::Handled, Event::Silent, Event::EndedAgain],
    pending: 0, state: JobState::Running,
})]
#[case::ended_unseen(Waiting {
    events: &[Event::Ended(End::Stopped)], pending: 0, state: JobState::Running,
})]
#[case::failed_unseen(Waiting {
    events: &[Event::Ended(End::Failed)], pending: 0, state: JobState::Running,
})]
#[case::lapsed_unseen(Waiting {
    events: &[Event::Ended(End::Lapsed)], pending: 0, state: JobState::Running,
})]
#[case::begun_and_cut_off(Waiting {
    events: &[Event::Listed, Event::Silent], pending: 0, state: JobState::Running,
})]
#[case::begun_and_refused_again(Waiting {
    events: &[Event::Listed, Event::Ended(End::Stopped), Event::Refused(Denial::Room)],
    pending: 0, state: JobState::Running,
})]
#[case::begun_before_the_election(Waiting {
    events: &[Event::Listed, Event::NewLeader], pending: 0, state: JobState::Running,
})]
#[case::begun_before_the_snapshot(Waiting {
    events: &[Event::Listed, Event::Installed], pending: 0, state: JobState::Running,
})]
#[case::begun_and_restarted(Waiting {
    events: &[Event::Listed, Event::Reborn], pending: 0, state: JobState::Running,
})]
fn unconfirmed_starts_are_counted_as_waiting(#[case] case: Waiting) {
    let repeated = Some(Schedule { first: 0, every: 1_000, times: 1 });
    for schedule in [None, repeated] {
        let mut scene = Scene::new(schedule);
        for event in case.events {
            scene.play(*event);
        }
        assert_eq!(scene.pending(), Some(ClientReply::Pending(case.pending)), "{schedule:?}");
        let state = scene.world.state("match", 7);
        assert_eq!(state, Some(ClientReply::State(case.state)), "{schedule:?}");
    }
}

/// A job that is cancelled before it begins does not wait any more.
#[test]
fn cancelled_jobs_do_not_wait() {
    let mut scene = Scene::new(None);
    scene.world.ask("/match/0000000000000007", Verb::Cancel, Some(7));
    assert_eq!(scene.pending(), Some(ClientReply::Pending(0)));
    assert_eq!(scene.world.state("match", 7), Some(ClientReply::State(JobState::Cancelled)));
}

/// Confirmed starts filled the window of proposals, and submissions waited for the log to take them.
#[test]
fn submission_does_not_wait_for_confirmed_starts() {
    let mut world = World::new();
    let runners = [incarnation("i-1", 10), incarnation("i-2", 10), incarnation("i-3", 10)];
    let agents = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    for (agent, runner) in agents.iter().zip(&runners) {
        world.report(report(agent, 1, runner));
    }
    for job in 1..=3 {
        world.submit("match", job, vec![step(1, 4_000)]);
    }
    world.hold = true;
    for (agent, runner) in agents.iter().zip(&runners) {
        let rows: Vec<_> = world.live(runner).into_iter().map(row).collect();
        assert_eq!(rows.len(), 1);
        world.report(Report { rows, ..report(agent, 2, runner) });
    }
    world.submit("match", 4, vec![step(1, 100)]);
    let commands: Vec<&Command> = world.held.iter().flat_map(|(_, commands)| commands).collect();
    assert!(commands.iter().any(|command| matches!(command, Command::Accept { .. })));
    let begun = commands.iter().filter(|command| matches!(command, Command::Begin { .. })).count();
    assert_eq!(begun, 3);
}
