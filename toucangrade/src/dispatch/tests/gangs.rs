//! Tests of gangs, whose members are assigned together with one run number.

use super::*;
use crate::jobs::Checkpoint;

/// A runner with room for any gang. It starts and stops what its agent is ordered to, and its runs
/// make no progress.
struct Host {
    agent: &'static str,
    incarnation: Incarnation,
    seq: u64,
    /// Ticket of the newest report.
    ticket: u64,
    rows: BTreeMap<RunKey, RunStatus>,
    ended: Vec<EndedRun>,
    /// Starts and stops in the order in which they came.
    starts: Vec<Start>,
    stops: Vec<RunKey>,
}

impl Host {
    fn new(agent: &'static str, runner: &str) -> Self {
        let incarnation = incarnation(runner, 10);
        let (rows, ended) = (BTreeMap::new(), Vec::new());
        let (starts, stops) = (Vec::new(), Vec::new());
        Self { agent, incarnation, seq: 0, ticket: 0, rows, ended, starts, stops }
    }

    fn report(&self) -> Report {
        let mut report = report(self.agent, self.seq, &self.incarnation);
        if let Some(runner) = &mut report.runner {
            runner.capacity = Need { millicores: 10_000_000, memory: 10_000_000, accelerators: 0 };
        }
        report.rows = self.rows.values().cloned().collect();
        report.ended.clone_from(&self.ended);
        report
    }

    /// Reports to the leader, lets 100 ms pass and obeys the orders.
    fn step(&mut self, world: &mut World) {
        self.seq += 1;
        let orders = world.report(self.report());
        self.ticket = world.ticket;
        world.advance(100);
        let later = world.orders.remove(&self.ticket).flatten().map(|orders| *orders);
        for orders in orders.into_iter().chain(later) {
            self.obey(orders);
        }
    }

    fn obey(&mut self, orders: Orders) {
        self.ended.retain(|ended| ended.number > orders.noted);
        for start in orders.starts {
            let row = RunStatus { saved: start.saved.clone(), percent: 0, ..row(start.key) };
            self.rows.insert(start.key, row);
            self.starts.push(start);
        }
        for key in orders.stops {
            self.stops.push(key);
            self.end(key, End::Stopped);
        }
    }

    fn end(&mut self, key: RunKey, end: End) {
        let saved = self.rows.remove(&key).and_then(|row| row.saved);
        let number = self.seq * 10_000 + self.ended.len() as u64;
        self.ended.push(EndedRun { number, key, end, saved });
    }
}

fn gang(count: u32) -> Step {
    Step { gang: true, ..step(count, 100) }
}

/// Commits commands that an earlier leader has proposed.
fn replay(world: &mut World, commands: Vec<Command>) {
    world.index += 1;
    let message = Message::Commit { index: world.index, ticket: None, commands, bytes: 0 };
    world.send(message);
}

struct Undivided {
    /// Sizes of the gangs that wait for the runner.
    gangs: Vec<u32>,
    /// Single tasks that wait beside each of them.
    singles: u32,
}

/// A loss of the leader between two proposals left a gang with only some of its members. They waited
/// for the others in vain, and the others were never assigned.
#[rstest]
#[case::as_many_as_fit(Undivided { gangs: vec![36; 80], singles: 0 })]
#[case::beside_others(Undivided { gangs: vec![100; 7], singles: 5 })]
#[case::larger_than_a_proposal(Undivided { gangs: vec![3, 300, 36], singles: 1 })]
#[case::largest_step(Undivided { gangs: vec![4_096], singles: 0 })]
fn gang_is_not_divided_between_proposals(#[case] case: Undivided) {
    let mut world = World::new();
    for (count, job) in case.gangs.iter().zip(1..) {
        let singles = if case.singles > 0 { vec![step(case.singles, 100)] } else { vec![] };
        world.submit("match", job, [vec![gang(*count)], singles].concat());
    }
    world.hold = true;
    let mut host = Host::new("10.0.0.1", &"x".repeat(63));
    host.step(&mut world);
    let mut assigned = 0;
    while !world.held.is_empty() {
        let (ticket, commands) = world.held.remove(0);
        let bytes = crate::peer::encode(&commands).len();
        assert!(bytes <= 1024 * 1024, "a proposal of {bytes} bytes");
        let mut members: BTreeMap<u64, u32> = BTreeMap::new();
        for command in &commands {
            if let Command::Assign { key, .. } = command
                && key.task.step == 0
            {
                *members.entry(key.task.job).or_default() += 1;
            }
        }
        for (job, members) in members {
            assert_eq!(members, case.gangs[job as usize - 1], "members of gang {job}");
            assigned += 1;
        }
        world.index += 1;
        let index = world.index;
        world.send(Message::Commit { index, ticket: Some(ticket), commands, bytes });
    }
    assert_eq!(assigned, case.gangs.len());
}

/// What an earlier leader has left of a gang's member.
#[derive(Clone, Copy)]
struct Left {
    /// Number of its last run.
    runs: u32,
    live: bool,
}

fn ended(runs: u32) -> Left {
    Left { runs, live: false }
}

fn live(runs: u32) -> Left {
    Left { runs, live: true }
}

struct EarlierGang {
    members: Vec<Left>,
    /// Whether the runner lists the live runs.
    listed: bool,
    /// Number of the run in which all members come together.
    run: u32,
}

/// Members with different run numbers were given the highest one, and the log refused it for the
/// others. So the gang of a job that an earlier leader had assigned in part never worked again.
#[rstest]
#[case::assigned_in_part(EarlierGang {
    members: vec![live(1), live(1), ended(0)], listed: true, run: 2,
})]
#[case::started_in_part(EarlierGang {
    members: vec![ended(0), live(1), ended(0)], listed: false, run: 2,
})]
#[case::some_were_alone(EarlierGang {
    members: vec![ended(1), ended(0), ended(1)], listed: false, run: 2,
})]
#[case::alone_again_and_again(EarlierGang {
    members: vec![ended(40), ended(0), ended(39), live(40)], listed: true, run: 41,
})]
#[case::alone_for_an_hour(EarlierGang {
    members: [vec![ended(1_000); 2], vec![ended(0); 34]].concat(), listed: false, run: 1_001,
})]
#[case::live_in_different_runs(EarlierGang {
    members: vec![live(2), live(1)], listed: true, run: 3,
})]
#[case::whole(EarlierGang { members: vec![live(1), live(1)], listed: true, run: 1 })]
fn divided_gang_comes_together(#[case] case: EarlierGang) {
    let mut world = World::new();
    let mut host = Host::new("10.0.0.1", "i-1");
    let count = case.members.len() as u32;
    world.submit("match", 7, vec![gang(count)]);
    for (left, index) in case.members.iter().zip(0..) {
        for run in 1..=left.runs {
            let key = key(7, 0, index, run);
            let mut commands = vec![Command::Assign { key, incarnation: host.incarnation.clone() }];
            if run < left.runs || !left.live {
                commands.push(Command::Close { key, end: End::Alone, saved: None });
            } else if case.listed {
                host.rows.insert(key, RunStatus { percent: 0, ..row(key) });
            }
            replay(&mut world, commands);
        }
    }
    world.send(Message::Lead { leading: false });
    world.send(Message::Lead { leading: true });
    let expected: Vec<RunKey> = (0..count as u16).map(|index| key(7, 0, index, case.run)).collect();
    for _ in 0..24 {
        host.step(&mut world);
        for start in &host.starts {
            let run = start.key.run;
            assert!(run == case.run || !case.listed, "member started in run {run}");
        }
    }
    let running: Vec<RunKey> = host.rows.keys().copied().collect();
    assert_eq!(running, expected);
    assert_eq!(world.live(&host.incarnation), expected);
}

struct Waiting {
    /// Whether the runner of the second member lists it.
    listed: bool,
    /// Whether the first member is stopped within 5 s.
    stopped: bool,
}

/// Members that waited for the others were taken for stuck, and their runners for faulty.
#[rstest]
#[case::for_a_member(Waiting { listed: false, stopped: false })]
#[case::whole_gang_is_stuck(Waiting { listed: true, stopped: true })]
fn waiting_member_is_not_stuck(#[case] case: Waiting) {
    let mut world = World::new();
    let mut hosts = [Host::new("10.0.0.1", "i-1"), Host::new("10.0.0.2", "i-2")];
    hosts.iter_mut().for_each(|host| host.step(&mut world));
    world.submit("match", 7, vec![Step { spread: 1, ..gang(2) }]);
    for _ in 0..25 {
        for (at, host) in hosts.iter_mut().enumerate() {
            host.step(&mut world);
            if at == 1 && !case.listed {
                host.rows.clear();
            }
        }
    }
    let stopped = !hosts[0].stops.is_empty();
    assert_eq!(stopped, case.stopped);
}

/// A slow member was moved to another runner, which ends the whole gang.
#[test]
fn slow_member_is_not_moved() {
    let mut world = World::new();
    let mut hosts = [Host::new("10.0.0.1", "i-1"), Host::new("10.0.0.2", "i-2")];
    hosts.iter_mut().for_each(|host| host.step(&mut world));
    world.submit("match", 7, vec![Step { fills: true, spread: 1, ..gang(2) }]);
    for _ in 0..10 {
        hosts.iter_mut().for_each(|host| host.step(&mut world));
    }
    assert_eq!(hosts.iter().map(|host| host.rows.len()).sum::<usize>(), 2);
    assert!(hosts.iter().all(|host| host.stops.is_empty()), "a member was stopped");
}

/// A runner on trial got one task at a time, so a gang with room on no other runner waited for
/// another task to succeed there.
#[test]
fn runner_on_trial_takes_one_gang() {
    let mut world = World::new();
    let mut host = Host::new("10.0.0.1", "i-1");
    host.step(&mut world);
    let now = world.now;
    for worker in world.dispatch.fleet.workers.values_mut() {
        (0..3).for_each(|_| worker.record_failure(now, now));
    }
    for job in 7..10 {
        world.submit("match", job, vec![gang(3)]);
    }
    for _ in 0..15 {
        host.step(&mut world);
        assert!(host.rows.is_empty(), "a run on a barred runner");
    }
    for job in 7..9 {
        for _ in 0..10 {
            host.step(&mut world);
        }
        let running: Vec<RunKey> = host.rows.keys().copied().collect();
        let expected = match job {
            7 => vec![key(7, 0, 0, 1), key(7, 0, 1, 1), key(7, 0, 2, 1)],
            _ => (8..10).flat_map(|job| (0..3).map(move |at| key(job, 0, at, 1))).collect(),
        };
        assert_eq!(running, expected);
        running.into_iter().for_each(|key| host.end(key, End::Done));
    }
}

struct Saved {
    /// How the runs of the members ended, and with which checkpoint, in this order.
    ends: Vec<(End, Option<&'static str>)>,
    /// Whether another instance leads before the gang starts again.
    handed_over: bool,
    /// The checkpoint with which all members start again.
    common: Option<&'static str>,
}

/// Each member of a gang was started with the checkpoint of its own last run. After one had been
/// stopped on a draining runner they differed, and members with different checkpoints never work.
#[rstest]
#[case::stopped_first(Saved {
    ends: vec![(End::Stopped, Some("02")), (End::Broken, Some("01")), (End::Broken, Some("01"))],
    handed_over: false,
    common: Some("02"),
})]
#[case::stopped_last(Saved {
    ends: vec![(End::Broken, Some("b")), (End::Broken, Some("b")), (End::Stopped, Some("a"))],
    handed_over: false,
    common: Some("a"),
})]
#[case::stopped_before_others(Saved {
    ends: vec![(End::Broken, Some("b")), (End::Stopped, Some("a")), (End::Broken, Some("b"))],
    handed_over: false,
    common: Some("a"),
})]
#[case::only_one_has_saved(Saved {
    ends: vec![(End::Broken, None), (End::Lost, None), (End::Broken, Some("01"))],
    handed_over: false,
    common: Some("01"),
})]
#[case::none_has_saved(Saved {
    ends: vec![(End::Broken, None), (End::Failed, None)], handed_over: false, common: None,
})]
#[case::all_agree(Saved {
    ends: vec![(End::Broken, Some("01")), (End::Broken, Some("01"))],
    handed_over: false,
    common: Some("01"),
})]
#[case::state_of_an_earlier_version(Saved {
    ends: vec![(End::Broken, Some("01")), (End::Stopped, Some("02")), (End::Broken, Some("01"))],
    handed_over: true,
    common: Some("02"),
})]
fn gang_starts_with_one_checkpoint(#[case] case: Saved) {
    let mut world = World::new();
    let mut host = Host::new("10.0.0.1", "i-1");
    let count = case.ends.len() as u32;
    world.submit("match", 7, vec![Step { checkpoints: true, ..gang(count) }]);
    let mut commands = Vec::new();
    for ((end, saved), index) in case.ends.iter().zip(0..) {
        let key = key(7, 0, index, 1);
        commands.push(Command::Assign { key, incarnation: host.incarnation.clone() });
        commands.push(Command::Close { key, end: *end, saved: saved.map(Into::into) });
    }
    replay(&mut world, commands);
    if case.handed_over {
        let job_table = Box::new(world.dispatch.job_table.clone());
        world.send(Message::Lead { leading: false });
        world.send(Message::Install { index: world.index, job_table });
        world.send(Message::Lead { leading: true });
    }
    for _ in 0..4 {
        host.step(&mut world);
    }
    let starts: Vec<_> = host.starts.iter().map(|start| (start.key, start.saved.clone())).collect();
    let run = starts.first().map_or(0, |(key, _)| key.run);
    let common: Option<Checkpoint> = case.common.map(Into::into);
    let expected: Vec<_> =
        (0..count as u16).map(|index| (key(7, 0, index, run), common.clone())).collect();
    assert_eq!(starts, expected);
}
