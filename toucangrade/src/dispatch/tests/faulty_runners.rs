//! Tests of runners that refuse starts, fail tasks, get stuck or don't carry out stops.

use rstest::rstest;

use super::*;
use crate::dispatch::settings::{FAILURES_LIMIT, QUARANTINE};

/// An agent that reports every 100 ms and carries out orders at once, with its runner.
struct SimulatedAgent {
    incarnation: Incarnation,
    seq: u64,
    /// Reason for which the runner refuses starts, if it does.
    refuses: Option<Denial>,
    /// Whether it carries out stops.
    stops: bool,
    /// How runs end right after the start, if they do.
    end: Option<End>,
    /// Progress of new runs in percent.
    percent: u8,
    /// Share of their speed that new runs are allowed, in percent.
    share: u8,
    report: Report,
}

impl SimulatedAgent {
    fn new(agent: &str, runner: &str) -> Self {
        let incarnation = incarnation(runner, 10);
        let (seq, share, report) = (0, 100, report(agent, 0, &incarnation));
        let (refuses, stops, end, percent) = (None, true, None, 100);
        Self { incarnation, seq, refuses, stops, end, percent, share, report }
    }

    fn exchange(&mut self, world: &mut World) {
        self.seq += 1;
        self.report.seq = self.seq;
        let orders = world.report(self.report.clone()).unwrap_or_default();
        let number = orders.noted;
        self.report.ended.retain(|ended| ended.number > number);
        for start in orders.starts {
            match (self.refuses, self.end) {
                (Some(denial), _) => self.report.denied.push((start.key, denial)),
                (None, Some(end)) => {
                    let number = self.report.ended.last().map_or(number, |e| e.number) + 1;
                    self.report.ended.push(EndedRun { number, key: start.key, end, saved: None });
                },
                (None, None) => {
                    let row = RunStatus {
                        key: start.key,
                        saved: None,
                        percent: self.percent,
                        figure: 0,
                        share: self.share,
                    };
                    self.report.rows.push(row);
                },
            }
        }
        for key in orders.stops.into_iter().filter(|_| self.stops) {
            self.report.rows.retain(|row| row.key != key);
            let number = self.report.ended.last().map_or(number, |e| e.number) + 1;
            self.report.ended.push(EndedRun { number, key, end: End::Stopped, saved: None });
        }
    }
}

fn run_agents(world: &mut World, agents: &mut [&mut SimulatedAgent], millis: u64) {
    for _ in 0..millis / 100 {
        for agent in &mut *agents {
            agent.exchange(world);
        }
        world.advance(100);
    }
}

fn lasting(memory: u64) -> Step {
    let need = Need { millicores: 500, memory, accelerators: 0 };
    Step { lasting: true, need, ..step(1, 500) }
}

struct Refusal {
    denial: Denial,
}

/// A runner that refuses starts always has the most free room, so it was chosen again and again,
/// and a lasting task did not run although another runner had room.
#[rstest]
#[case::unhealthy(Refusal { denial: Denial::Unhealthy })]
#[case::no_room(Refusal { denial: Denial::Room })]
#[case::silent(Refusal { denial: Denial::Silent })]
fn refused_task_is_offered_elsewhere(#[case] case: Refusal) {
    let mut world = World::new();
    let mut refusing = SimulatedAgent::new("10.0.0.1", "i-1");
    let mut healthy = SimulatedAgent::new("10.0.0.2", "i-2");
    refusing.refuses = Some(case.denial);
    run_agents(&mut world, &mut [&mut refusing, &mut healthy], 300);
    // The healthy runner has less free room than the refusing one.
    world.submit("match", 1, vec![Step { label: Some("a".into()), ..step(1, 1_000) }]);
    run_agents(&mut world, &mut [&mut refusing, &mut healthy], 3_000);
    world.submit("match", 7, vec![lasting(100)]);
    run_agents(&mut world, &mut [&mut refusing, &mut healthy], 3_000);
    let live = world.live(&healthy.incarnation);
    assert!(live.iter().any(|key| key.task.job == 7), "live runs: {live:?}");
}

/// The rate of refused starts is bounded by the time for which a failing runner is barred, since
/// each costs two log entries.
#[test]
fn refused_starts_do_not_flood_the_log() {
    let mut world = World::new();
    let mut refusing = SimulatedAgent::new("10.0.0.1", "i-1");
    refusing.refuses = Some(Denial::Unhealthy);
    run_agents(&mut world, &mut [&mut refusing], 300);
    world.submit("match", 7, vec![lasting(100)]);
    let seconds = 10;
    run_agents(&mut world, &mut [&mut refusing], seconds * 1_000);
    let task = key(7, 0, 0, 1).task;
    let runs = world.dispatch.job_table.jobs[&7].task(task).map_or(0, |task| task.runs);
    let trials = seconds * 1_000 / QUARANTINE.as_millis();
    let most = u64::from(FAILURES_LIMIT) + trials;
    assert!(u64::from(runs) <= most, "{runs} starts in {seconds} s, at most {most} are expected");
}

/// Tasks that fail on every runner don't count against the runners. A batch of them barred all
/// runners at once, and a lasting task waited although there was room everywhere.
#[test]
fn bad_tasks_do_not_bar_all_runners() {
    let mut world = World::new();
    let mut agents =
        [SimulatedAgent::new("10.0.0.1", "i-1"), SimulatedAgent::new("10.0.0.2", "i-2")];
    let [first, second] = &mut agents;
    run_agents(&mut world, &mut [first, second], 300);
    first.end = Some(End::Failed);
    second.end = Some(End::Failed);
    for job in 1..=12 {
        world.submit("recon", job, vec![step(1, 500)]);
    }
    run_agents(&mut world, &mut [first, second], 1_500);
    (first.end, second.end) = (None, None);
    world.submit("match", 77, vec![lasting(100)]);
    run_agents(&mut world, &mut [first, second], 500);
    let live: Vec<RunKey> =
        [&first.incarnation, &second.incarnation].iter().flat_map(|l| world.live(l)).collect();
    assert!(live.iter().any(|key| key.task.job == 77), "live runs: {live:?}");
}

/// Room reserved for a moving run is released if the stop of that run is not carried out. A lasting
/// task waited for this room for as long as the run continued.
#[test]
fn room_is_not_kept_for_a_run_that_does_not_stop() {
    let mut world = World::new();
    let mut full = SimulatedAgent::new("10.0.0.1", "i-1");
    let mut free = SimulatedAgent::new("10.0.0.2", "i-2");
    (full.stops, full.percent, full.share) = (false, 50, 0);
    run_agents(&mut world, &mut [&mut full], 300);
    let need = Need { millicores: 5_000, memory: 9_950, accelerators: 0 };
    let slow = Step { fills: true, checkpoints: true, need, ..step(1, 5_000) };
    world.submit("recon", 1, vec![slow]);
    world.submit("match", 2, vec![Step { need: Need { memory: 10, ..need }, ..step(1, 4_000) }]);
    run_agents(&mut world, &mut [&mut full], 2_000);
    run_agents(&mut world, &mut [&mut full, &mut free], 500);
    assert_eq!(world.dispatch.moving.len(), 1);
    world.submit("match", 7, vec![lasting(100)]);
    run_agents(&mut world, &mut [&mut full, &mut free], 10_000);
    assert_eq!(world.live(&free.incarnation), [key(7, 0, 0, 1)]);
}

/// A lasting task that is listed but does not come up is moved like others without progress. On a
/// runner that hangs it earned nothing for as long as it was left there.
#[test]
fn lasting_task_that_stands_still_is_moved() {
    let mut world = World::new();
    let mut stuck = SimulatedAgent::new("10.0.0.1", "i-1");
    let mut healthy = SimulatedAgent::new("10.0.0.2", "i-2");
    stuck.percent = 0;
    run_agents(&mut world, &mut [&mut stuck], 300);
    world.submit("match", 7, vec![lasting(100)]);
    run_agents(&mut world, &mut [&mut stuck, &mut healthy], 10_000);
    assert_eq!(world.live(&healthy.incarnation), [key(7, 0, 0, 2)]);
}

/// A runner stays barred across a restart of its agent, which reports no runner at first.
#[test]
fn agent_restart_keeps_quarantine() {
    let mut world = World::new();
    let mut failing = SimulatedAgent::new("10.0.0.1", "i-1");
    run_agents(&mut world, &mut [&mut failing], 300);
    failing.end = Some(End::Failed);
    for job in 1..=3 {
        world.submit("match", job, vec![step(1, 500)]);
    }
    run_agents(&mut world, &mut [&mut failing], 300);
    let barred =
        |world: &World| world.dispatch.fleet.workers[&name("10.0.0.1")].health.is_quarantined();
    assert!(barred(&world));
    let known = failing.report.runner.take();
    failing.report.incarnation = 2;
    run_agents(&mut world, &mut [&mut failing], 100);
    failing.report.runner = known;
    run_agents(&mut world, &mut [&mut failing], 100);
    assert!(barred(&world));
}
