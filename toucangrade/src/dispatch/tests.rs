//! Tests of dispatch with a log that commits at once and scripted agents.

mod ahead;
mod answers;
mod begun;
mod evacuation;
mod exclusion;
mod explain;
mod extremes;
mod faulty_runners;
mod fuzz;
mod gangs;
mod health;
mod late;
mod leases;
mod lives;
mod load;
mod log;
mod overload;
mod queues;
mod slow_start;
mod trials;
mod unreachable;
mod views;
mod waits;

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;

use super::*;
use crate::jobs::{Configuration, Need, Queue, Service, Step};

const SERVICE: &str = "pew-atelier";

/// A leader, and its answers to callers and agents by ticket.
pub(super) struct World {
    pub(super) dispatch: Dispatch,
    now: Moment,
    index: u64,
    answers: BTreeMap<u64, Option<ClientReply>>,
    orders: BTreeMap<u64, Option<Box<Orders>>>,
    gauges: BTreeMap<&'static str, u64>,
    ticket: u64,
    /// Whether proposals are collected in `held` instead of being committed.
    hold: bool,
    held: Vec<(u64, Vec<Command>)>,
    /// The committed proposals as the log stores them.
    log: Vec<Bytes>,
}

pub(super) fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn setup(version: u64) -> Configuration {
    let queue = |name: &str, priority| Queue {
        name: name.into(),
        host: "shop.example".into(),
        prefix: format!("/{name}/").into(),
        service: SERVICE.into(),
        priority,
        attempts: 3,
        stretch: 2.0,
        objective: Span::secs(1),
        timeout: Span::secs(3),
    };
    Configuration {
        version,
        queues: vec![queue("match", 0), queue("recon", 2)],
        services: vec![Service { name: SERVICE.into(), guarded: true, standby: false }],
        source: Bytes::from_static(b"{}"),
    }
}

pub(super) fn step(count: u32, millicores: u64) -> Step {
    Step {
        count,
        need: Need { millicores, memory: 100, accelerators: 0 },
        estimate: Span::millis(500),
        ..Step::default()
    }
}

pub(super) fn incarnation(runner: &str, born: u64) -> Incarnation {
    Incarnation { runner: name(runner), born }
}

pub(super) fn key(job: u64, step: u16, index: u16, run: u32) -> RunKey {
    RunKey { task: TaskKey { job, round: 0, step, index }, run }
}

pub(super) fn report(agent: &str, seq: u64, incarnation: &Incarnation) -> Report {
    Report {
        agent: name(agent),
        incarnation: 1,
        seq,
        runner: Some(Runner {
            incarnation: incarnation.clone(),
            service: SERVICE.into(),
            centre: "ljubljana-a".into(),
            cold: Span::ZERO,
            labels: vec!["a".into(), "r1".into()],
            capacity: Need { millicores: 4_000, memory: 10_000, accelerators: 0 },
            draining: false,
            clock: 1_000,
        }),
        rows: Vec::new(),
        handling: Vec::new(),
        stopping: Vec::new(),
        ended: Vec::new(),
        denied: Vec::new(),
        silent: Span::ZERO,
        gone: false,
        amnesia: false,
        doubts: Doubts::default(),
    }
}

impl World {
    pub(super) fn new() -> Self {
        let mut world = Self {
            dispatch: Dispatch::new(),
            now: Moment::micros(1_000_000),
            index: 0,
            answers: BTreeMap::new(),
            orders: BTreeMap::new(),
            gauges: BTreeMap::new(),
            ticket: 0,
            hold: false,
            held: Vec::new(),
            log: Vec::new(),
        };
        // The time of day is known from the first tick on.
        world.advance(100);
        world.send(Message::Lead { leading: true });
        world.ask("", Verb::Configure(Arc::new(setup(1))), None);
        world
    }

    pub(super) fn send(&mut self, message: Message) {
        let mut queue = self.dispatch.step(self.now, message);
        while !queue.is_empty() {
            for effect in std::mem::take(&mut queue) {
                match effect {
                    Effect::Propose { ticket, commands } if self.hold => {
                        self.held.push((ticket, commands));
                    },
                    Effect::Propose { ticket, commands } => {
                        queue.extend(self.commit(ticket, commands));
                    },
                    Effect::Orders { ticket, orders } => {
                        self.orders.insert(ticket, orders);
                    },
                    Effect::Gauge { name, value } => drop(self.gauges.insert(name, value)),
                    Effect::Count { .. } | Effect::Snapshot { .. } => {},
                    Effect::Reply { ticket, reply } => {
                        self.answers.insert(ticket, reply);
                    },
                }
            }
        }
        self.dispatch.check_views();
    }

    fn commit(&mut self, ticket: u64, commands: Vec<Command>) -> Vec<Effect> {
        self.index += 1;
        let stored: Vec<Command> = commands.iter().cloned().map(Command::into_stored).collect();
        self.log.push(crate::peer::encode(&stored));
        let message =
            Message::Commit { index: self.index, ticket: Some(ticket), commands, bytes: 0 };
        self.dispatch.step(self.now, message)
    }

    fn release(&mut self) {
        self.hold = false;
        for (ticket, commands) in std::mem::take(&mut self.held) {
            self.index += 1;
            let message =
                Message::Commit { index: self.index, ticket: Some(ticket), commands, bytes: 0 };
            self.send(message);
        }
    }

    pub(super) fn ask(&mut self, path: &str, verb: Verb, job: Option<u64>) -> u64 {
        self.ticket += 1;
        let request = ClientRequest { host: "shop.example".into(), path: path.into(), job, verb };
        let ticket = self.ticket;
        self.send(Message::Request { ticket, request: Box::new(request) });
        ticket
    }

    pub(super) fn submit(
        &mut self,
        queue: &str,
        job: u64,
        steps: Vec<Step>,
    ) -> Option<ClientReply> {
        let verb = Verb::Submit { spec: "spec".into(), steps, schedule: None };
        let ticket = self.ask(&format!("/{queue}/{job:016x}"), verb, Some(job));
        self.answers.get(&ticket).cloned().flatten()
    }

    fn state(&mut self, queue: &str, job: u64) -> Option<ClientReply> {
        let ticket = self.ask(&format!("/{queue}/{job:016x}"), Verb::Show, Some(job));
        self.answers.get(&ticket).cloned().flatten()
    }

    /// Sends a report and returns the orders if it was answered at once.
    pub(super) fn report(&mut self, report: Report) -> Option<Orders> {
        self.ticket += 1;
        let ticket = self.ticket;
        self.send(Message::Report { ticket, report: Box::new(report) });
        self.orders.remove(&ticket).flatten().map(|orders| *orders)
    }

    /// Returns the orders if the newest report was answered later.
    pub(super) fn later_orders(&mut self) -> Option<Orders> {
        self.orders.remove(&self.ticket).flatten().map(|orders| *orders)
    }

    pub(super) fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Span::millis(100);
            self.send(Message::Tick { wall: 1_700_000_000_000 + self.now.as_micros() / 1_000 });
        }
    }

    /// Runs assigned to an incarnation of a runner.
    pub(super) fn live(&self, incarnation: &Incarnation) -> Vec<RunKey> {
        let lease = self.dispatch.fleet.leases.get(incarnation);
        lease.map(|lease| lease.runs.keys().copied().collect()).unwrap_or_default()
    }

    fn end(
        &mut self,
        incarnation: &Incarnation,
        seq: u64,
        ends: &[(u64, RunKey, End)],
    ) -> Option<Orders> {
        let ended = |&(number, key, end)| EndedRun { number, key, end, saved: None };
        let ended: Vec<_> = ends.iter().map(ended).collect();
        let ends = |key: &RunKey| ended.iter().any(|ended| ended.key == *key);
        let handling = self.live(incarnation).into_iter().filter(|key| !ends(key)).collect();
        self.report(Report { ended, handling, ..report("10.0.0.1", seq, incarnation) })
    }
}

/// A delayed report of an earlier incarnation must not end the runs of the present one. In a trial
/// run the leader took such a report for another restart and started a second run of a task while
/// the first was still running.
#[test]
fn late_report_of_an_earlier_life_changes_nothing() {
    let mut world = World::new();
    let (old, new) = (incarnation("i-1", 10), incarnation("i-2", 20));
    world.report(report("10.0.0.1", 1, &old));
    world.report(report("10.0.0.1", 3, &new));
    world.submit("match", 7, vec![step(1, 1_000)]);
    assert_eq!(world.live(&new), [key(7, 0, 0, 1)]);
    world.report(report("10.0.0.1", 2, &old));
    assert_eq!(world.live(&new), [key(7, 0, 0, 1)]);
}

/// Reports of an agent that restarts after its instance's clock stepped back are not ignored.
#[test]
fn report_of_an_earlier_incarnation_counts_after_silence() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(Report { incarnation: 5, ..report("10.0.0.1", 9, &runner) });
    world.advance(3_000);
    world.report(Report { incarnation: 3, ..report("10.0.0.1", 1, &runner) });
    world.submit("match", 7, vec![step(1, 1_000)]);
    assert_eq!(world.live(&runner), [key(7, 0, 0, 1)]);
}

struct StepEnds {
    steps: Vec<Step>,
    /// Ends of the first runs of the first step, by task.
    ends: Vec<End>,
    /// Runs that are live afterwards, as step, index and run.
    live: Vec<(u16, u16, u32)>,
    state: JobState,
}

fn after(earlier: u16, step: Step) -> Step {
    Step { after: vec![earlier], ..step }
}

/// Guards the order of steps, and which tasks run again after each kind of end.
#[rstest]
#[case::next_step_waits_for_all(StepEnds {
    steps: vec![step(2, 500), after(0, step(1, 500))],
    ends: vec![End::Done],
    live: vec![(0, 1, 1)],
    state: JobState::Running,
})]
#[case::next_step_follows(StepEnds {
    steps: vec![step(2, 500), after(0, step(1, 500))],
    ends: vec![End::Done, End::Done],
    live: vec![(1, 0, 1)],
    state: JobState::Running,
})]
#[case::all_done(StepEnds {
    steps: vec![step(2, 500)],
    ends: vec![End::Done, End::Done],
    live: vec![],
    state: JobState::Completed,
})]
#[case::failed_runs_again(StepEnds {
    steps: vec![step(1, 500)],
    ends: vec![End::Failed],
    live: vec![(0, 0, 2)],
    state: JobState::Running,
})]
#[case::stopped_runs_again(StepEnds {
    steps: vec![step(1, 500)],
    ends: vec![End::Stopped],
    live: vec![(0, 0, 2)],
    state: JobState::Running,
})]
#[case::lasting_task_that_ends_runs_again(StepEnds {
    steps: vec![Step { lasting: true, ..step(1, 500) }],
    ends: vec![End::Done],
    live: vec![(0, 0, 2)],
    state: JobState::Running,
})]
#[case::one_end_completes_gang(StepEnds {
    steps: vec![Step { gang: true, ..step(2, 500) }],
    ends: vec![End::Done],
    live: vec![(0, 1, 1)],
    state: JobState::Completed,
})]
fn ends_decide_what_runs_next(#[case] case: StepEnds) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    assert_eq!(world.submit("match", 7, case.steps), Some(ClientReply::Accepted));
    let ends: Vec<_> = case.ends.iter().zip(0u16..).collect();
    let ends: Vec<_> =
        ends.iter().map(|&(end, at)| (u64::from(at) + 1, key(7, 0, at, 1), *end)).collect();
    let orders = world.end(&runner, 2, &ends).expect("ends are answered once they are recorded");
    assert_eq!(orders.noted, ends.len() as u64);
    let live: Vec<_> = case.live.iter().map(|&(s, i, r)| key(7, s, i, r)).collect();
    assert_eq!(world.live(&runner), live);
    assert_eq!(world.state("match", 7), Some(ClientReply::State(case.state)));
}

/// A task fails for good after its queue's number of attempts; only `End::Failed` counts as one.
#[test]
fn attempts_are_counted() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(1, 500)]);
    let ends = [End::Failed, End::Stopped, End::Lapsed, End::Failed, End::Failed];
    for (end, run) in ends.into_iter().zip(1u32..) {
        let state = if run == 1 { JobState::Queued } else { JobState::Running };
        assert_eq!(world.state("match", 7), Some(ClientReply::State(state)));
        assert_eq!(world.live(&runner), [key(7, 0, 0, run)]);
        let number = u64::from(run);
        world.end(&runner, number + 1, &[(number, key(7, 0, 0, run), end)]);
        world.advance(100);
    }
    assert_eq!(world.state("match", 7), Some(ClientReply::State(JobState::Failed)));
}

/// An end is acknowledged to the runner only after the log has committed it.
#[test]
fn ends_are_acknowledged_after_commit() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(1, 500)]);
    world.hold = true;
    assert_eq!(world.end(&runner, 2, &[(1, key(7, 0, 0, 1), End::Done)]), None);
    world.release();
    assert_eq!(world.later_orders().map(|orders| orders.noted), Some(1));
}

struct Room {
    /// Jobs of one step.
    jobs: Vec<Step>,
    /// Runners, of 4 cores each.
    runners: usize,
    /// Runs on each runner, sorted.
    runs: Vec<usize>,
}

/// Guards against overcommitted runners, a step above its spread, and gangs that start in part.
#[rstest]
#[case::room_is_kept(Room { jobs: vec![step(10, 1_000)], runners: 1, runs: vec![4] })]
#[case::spread_is_kept(Room {
    jobs: vec![Step { spread: 1, ..step(4, 500) }],
    runners: 2,
    runs: vec![1, 1],
})]
#[case::gang_waits_for_room(Room {
    jobs: vec![Step { gang: true, ..step(5, 1_000) }],
    runners: 1,
    runs: vec![0],
})]
#[case::gang_starts_whole(Room {
    jobs: vec![Step { gang: true, ..step(5, 1_000) }],
    runners: 2,
    runs: vec![2, 3],
})]
#[case::filling_tasks_use_unused_cores(Room {
    jobs: vec![step(2, 1_000), Step { fills: true, ..step(1, 4_000) }, step(2, 1_000)],
    runners: 1,
    runs: vec![5],
})]
#[case::filling_tasks_wait_for_unused_cores(Room {
    jobs: vec![step(4, 1_000), Step { fills: true, ..step(1, 4_000) }],
    runners: 1,
    runs: vec![4],
})]
#[case::missing_label(Room {
    jobs: vec![Step { label: Some("z".into()), ..step(1, 500) }],
    runners: 1,
    runs: vec![0],
})]
#[case::serving_tasks_are_packed(Room {
    jobs: vec![Step { target: 50, lasting: true, ..step(3, 1_000) }],
    runners: 2,
    runs: vec![0, 3],
})]
#[case::other_tasks_are_spread(Room { jobs: vec![step(4, 1_000)], runners: 2, runs: vec![2, 2] })]
fn placement_respects_capacity(#[case] room: Room) {
    let mut world = World::new();
    let incarnations: Vec<Incarnation> =
        (0..room.runners).map(|n| incarnation(&format!("i-{n}"), 10)).collect();
    for (n, incarnation) in incarnations.iter().enumerate() {
        world.report(report(&format!("10.0.0.{n}"), 1, incarnation));
    }
    for (step, id) in room.jobs.into_iter().zip(1..) {
        world.submit("match", id, vec![step]);
    }
    let mut runs: Vec<usize> =
        incarnations.iter().map(|incarnation| world.live(incarnation).len()).collect();
    runs.sort_unstable();
    assert_eq!(runs, room.runs);
}

fn row(key: RunKey) -> RunStatus {
    RunStatus { key, saved: None, percent: 1, figure: 0, share: 100 }
}

struct Leaving {
    step: Step,
    stopped: bool,
}

/// Guards against the loss of lasting tasks and unsaved progress when a draining runner shuts down.
#[rstest]
#[case::lasting(Leaving { step: Step { lasting: true, ..step(1, 500) }, stopped: true })]
#[case::with_checkpoint(Leaving { step: Step { checkpoints: true, ..step(1, 500) }, stopped: true })]
#[case::short(Leaving { step: step(1, 500), stopped: false })]
fn runner_that_leaves_is_evacuated(#[case] case: Leaving) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![case.step]);
    let key = key(7, 0, 0, 1);
    let mut report = report("10.0.0.1", 2, &runner);
    report.rows = vec![RunStatus { key, saved: None, percent: 1, figure: 0, share: 100 }];
    report.runner.as_mut().expect("the report has a runner").draining = true;
    world.report(report);
    world.advance(600);
    let stops = world.later_orders().map(|orders| orders.stops).unwrap_or_default();
    assert_eq!(stops.contains(&key), case.stopped);
}

/// A restart of a runner ends all runs of its earlier incarnation, so their tasks are started
/// again.
#[test]
fn restarted_runner_gets_new_runs() {
    let mut world = World::new();
    let (old, new) = (incarnation("i-1", 10), incarnation("i-1", 20));
    world.report(report("10.0.0.1", 1, &old));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let orders = world.report(report("10.0.0.1", 2, &new));
    assert_eq!(world.live(&old), []);
    let starts: Vec<_> =
        orders.expect("a start order").starts.iter().map(|start| start.key).collect();
    assert_eq!(starts, [key(7, 0, 0, 2)]);
}

/// Lost orders are repeated with the next report, but not for runs that are already being started.
#[test]
fn lost_orders_are_repeated() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.submit("match", 7, vec![step(1, 1_000)]);
    let start = |orders: Option<Orders>| orders.map(|o| o.starts.len()).unwrap_or_default();
    assert_eq!(start(world.report(report("10.0.0.1", 1, &runner))), 1);
    assert_eq!(start(world.report(report("10.0.0.1", 2, &runner))), 1);
    let handling = vec![key(7, 0, 0, 1)];
    let orders = world.report(Report { handling, ..report("10.0.0.1", 3, &runner) });
    assert_eq!(orders, None);
}

struct Stop {
    /// Whether the report says that the run is being stopped already.
    stopping: bool,
    /// Number of stop orders in the answer to the report.
    stops: usize,
}

/// The runs of a cancelled job are stopped. An agent that is already stopping them gets no second
/// order: it sends its next report at once after each order, so orders and reports would follow
/// each other in a loop without a pause.
#[rstest]
#[case::running(Stop { stopping: false, stops: 1 })]
#[case::being_stopped(Stop { stopping: true, stops: 0 })]
fn cancelled_runs_are_stopped(#[case] case: Stop) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let ticket = world.ask("/match/0000000000000007", Verb::Cancel, Some(7));
    assert_eq!(world.answers[&ticket], Some(ClientReply::Cancelled));
    let key = key(7, 0, 0, 1);
    let rows = vec![RunStatus { key, saved: None, percent: 1, figure: 0, share: 100 }];
    let stopping = if case.stopping { vec![key] } else { Vec::new() };
    let orders = world.report(Report { rows, stopping, ..report("10.0.0.1", 2, &runner) });
    assert_eq!(orders.map_or(0, |orders| orders.stops.len()), case.stops);
}

/// Runs that are not assigned to the runner that lists them are stopped.
#[test]
fn unknown_runs_are_stopped() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    let key = key(9, 0, 0, 4);
    let rows = vec![RunStatus { key, saved: None, percent: 1, figure: 0, share: 100 }];
    let orders = world.report(Report { rows, ..report("10.0.0.1", 1, &runner) });
    assert_eq!(orders.expect("a stop order").stops, [key]);
}

/// The state of a job is kept for a while after its end, however long the job existed before.
#[test]
fn ended_jobs_are_retained() {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.advance(200_000);
    world.ask("/match/0000000000000007", Verb::Cancel, Some(7));
    world.advance(100_000);
    assert_eq!(world.state("match", 7), Some(ClientReply::State(JobState::Cancelled)));
    world.advance(100_000);
    assert_eq!(world.state("match", 7), Some(ClientReply::Gone));
}

/// Jobs that end during the replay of the log before the first tick are not forgotten as old. In a
/// trial run a new leader forgot 139 jobs whose callers were still polling them.
#[test]
fn replayed_ends_are_retained() {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.ask("/match/0000000000000007", Verb::Cancel, Some(7));
    let job = Arc::clone(&world.dispatch.job_table.jobs[&7].job);
    let mut other = World::new();
    other.dispatch = Dispatch::new();
    let commands = vec![
        Command::Configure(Arc::new(setup(1))),
        Command::Accept { job, wall: 1_700_000_000_000 },
        Command::Cancel { job: 7, queue: None },
    ];
    other.send(Message::Commit { index: 1, ticket: None, commands, bytes: 0 });
    other.advance(500);
    other.send(Message::Lead { leading: true });
    other.advance(500);
    assert_eq!(other.state("match", 7), Some(ClientReply::State(JobState::Cancelled)));
}

/// Large jobs that arrive together are split into several proposals, since the log refuses those
/// above 1 MiB.
#[test]
fn proposals_stay_below_the_limit_of_the_log() {
    let mut world = World::new();
    world.hold = true;
    let spec: Arc<str> = "x".repeat(4_000).into();
    for job in 1..=600u64 {
        let steps = vec![step(1, 500); 8];
        let verb = Verb::Submit { spec: Arc::clone(&spec), steps, schedule: None };
        world.ask(&format!("/match/{job:016x}"), verb, Some(job));
    }
    let mut proposed = 0;
    while let Some((ticket, commands)) = world.held.pop() {
        let bytes = crate::peer::encode(&commands).len();
        assert!(bytes <= 1024 * 1024, "a proposal of {bytes} bytes");
        proposed += commands.len();
        world.index += 1;
        let index = world.index;
        world.send(Message::Commit { index, ticket: Some(ticket), commands, bytes });
    }
    assert_eq!(proposed, 600);
}

/// An instance that loses leadership answers held reports and new requests without a decision.
#[test]
fn follower_rejects_requests_and_reports() {
    let mut world = World::new();
    world.report(report("10.0.0.1", 1, &incarnation("i-1", 10)));
    let parked = world.ticket;
    world.send(Message::Lead { leading: false });
    assert_eq!(world.orders.get(&parked), Some(&None));
    assert_eq!(world.submit("match", 7, vec![step(1, 1_000)]), None);
}

/// The configuration with the higher version stays in force, in whatever order two arrive.
#[test]
fn older_configuration_is_ignored() {
    let mut world = World::new();
    for version in [5, 3] {
        let ticket = world.ask("", Verb::Configure(Arc::new(setup(version))), None);
        assert_eq!(world.answers[&ticket], Some(ClientReply::Configured));
        assert_eq!(world.dispatch.job_table.setup.version, 5);
    }
}

/// A snapshot holds the whole replicated state, so that an instance that installs it has the same
/// jobs and runs.
#[test]
fn snapshot_restores_the_state() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(2, 500), after(0, step(1, 500))]);
    world.end(&runner, 2, &[(1, key(7, 0, 0, 1), End::Done)]);
    let bytes = crate::peer::encode(&world.dispatch.job_table);
    let job_table = crate::peer::decode(&bytes).expect("a decodable book");
    let mut other = World::new();
    other.send(Message::Install { index: 9, job_table: Box::new(job_table) });
    assert_eq!(other.dispatch.job_table, world.dispatch.job_table);
    assert_eq!(other.live(&runner), [key(7, 0, 1, 1)]);
}
