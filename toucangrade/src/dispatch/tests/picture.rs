//! Tests of what the leader holds against runners and keeps free on them, against what they list.

use rstest::rstest;

use super::*;
use crate::dispatch::settings::{FAILURES_LIMIT, QUARANTINE};

/// An agent that reports each 100 ms and does at once what it is ordered.
struct Beside {
    life: Life,
    seq: u64,
    /// How its runner refuses starts, if it does.
    refuses: Option<Denial>,
    /// Whether it carries stops out.
    stops: bool,
    /// How runs end at once, if they do.
    end: Option<End>,
    percent: u8,
    /// Share at which runs work.
    share: u8,
    report: Report,
}

impl Beside {
    fn new(agent: &str, runner: &str) -> Self {
        let life = life(runner, 10);
        let (seq, share, report) = (0, 100, report(agent, 0, &life));
        let (refuses, stops, end, percent) = (None, true, None, 100);
        Self { life, seq, refuses, stops, end, percent, share, report }
    }

    fn play(&mut self, world: &mut World) {
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
                    self.report.ended.push(Ended { number, key: start.key, end, saved: None });
                },
                (None, None) => {
                    let row = Row {
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
            self.report.ended.push(Ended { number, key, end: End::Stopped, saved: None });
        }
    }
}

fn play(world: &mut World, agents: &mut [&mut Beside], millis: u64) {
    for _ in 0..millis / 100 {
        for agent in &mut *agents {
            agent.play(world);
        }
        world.pass(100);
    }
}

fn lasting(memory: u64) -> Step {
    let need = Need { millicores: 500, memory, accelerators: 0 };
    Step { lasting: true, need, ..step(1, 500) }
}

struct Refusal {
    denial: Denial,
}

/// A runner that refuses what it is given looks the emptiest of all and gets it again and again, so
/// that a lasting task did not run though another runner had room for it.
#[rstest]
#[case::unhealthy(Refusal { denial: Denial::Unhealthy })]
#[case::no_room(Refusal { denial: Denial::Room })]
#[case::silent(Refusal { denial: Denial::Silent })]
fn refused_task_is_offered_elsewhere(#[case] case: Refusal) {
    let mut world = World::new();
    let mut refusing = Beside::new("10.0.0.1", "i-1");
    let mut sound = Beside::new("10.0.0.2", "i-2");
    refusing.refuses = Some(case.denial);
    play(&mut world, &mut [&mut refusing, &mut sound], 300);
    // The sound runner is the fuller one.
    world.submit("match", 1, vec![Step { label: Some("a".into()), ..step(1, 1_000) }]);
    play(&mut world, &mut [&mut refusing, &mut sound], 3_000);
    world.submit("match", 7, vec![lasting(100)]);
    play(&mut world, &mut [&mut refusing, &mut sound], 3_000);
    let live = world.live(&sound.life);
    assert!(live.iter().any(|key| key.task.job == 7), "runs {live:?}");
}

/// Starts that a runner refuses are bounded by the time for which one that fails everything is left
/// alone; each takes two entries of the log.
#[test]
fn refused_starts_do_not_flood_the_log() {
    let mut world = World::new();
    let mut refusing = Beside::new("10.0.0.1", "i-1");
    refusing.refuses = Some(Denial::Unhealthy);
    play(&mut world, &mut [&mut refusing], 300);
    world.submit("match", 7, vec![lasting(100)]);
    let seconds = 10;
    play(&mut world, &mut [&mut refusing], seconds * 1_000);
    let task = key(7, 0, 0, 1).task;
    let runs = world.dispatch.book.jobs[&7].task(task).map_or(0, |task| task.runs);
    let trials = seconds * 1_000 / QUARANTINE.as_millis();
    let most = u64::from(FAILURES_LIMIT) + trials;
    assert!(u64::from(runs) <= most, "{runs} starts in {seconds} s, at most {most} are expected");
}

/// Tasks that fail wherever they run say nothing about runners. A wave of them barred every runner at
/// once, so that a lasting task waited with room for it everywhere.
#[test]
fn bad_tasks_do_not_bar_all_runners() {
    let mut world = World::new();
    let mut agents = [Beside::new("10.0.0.1", "i-1"), Beside::new("10.0.0.2", "i-2")];
    let [first, second] = &mut agents;
    play(&mut world, &mut [first, second], 300);
    first.end = Some(End::Failed);
    second.end = Some(End::Failed);
    for job in 1..=12 {
        world.submit("recon", job, vec![step(1, 500)]);
    }
    play(&mut world, &mut [first, second], 1_500);
    (first.end, second.end) = (None, None);
    world.submit("match", 77, vec![lasting(100)]);
    play(&mut world, &mut [first, second], 500);
    let live: Vec<RunKey> =
        [&first.life, &second.life].iter().flat_map(|l| world.live(l)).collect();
    assert!(live.iter().any(|key| key.task.job == 77), "runs {live:?}");
}

/// Room that is kept for a run which is to move is given up when its stop is not carried out. A
/// lasting task waited for it as long as the run went on.
#[test]
fn room_is_not_kept_for_a_run_that_does_not_stop() {
    let mut world = World::new();
    let mut full = Beside::new("10.0.0.1", "i-1");
    let mut free = Beside::new("10.0.0.2", "i-2");
    (full.stops, full.percent, full.share) = (false, 50, 0);
    play(&mut world, &mut [&mut full], 300);
    let need = Need { millicores: 5_000, memory: 9_950, accelerators: 0 };
    let slow = Step { fills: true, checkpoints: true, need, ..step(1, 5_000) };
    world.submit("recon", 1, vec![slow]);
    world.submit("match", 2, vec![Step { need: Need { memory: 10, ..need }, ..step(1, 4_000) }]);
    play(&mut world, &mut [&mut full], 2_000);
    play(&mut world, &mut [&mut full, &mut free], 500);
    assert_eq!(world.dispatch.moving.len(), 1);
    world.submit("match", 7, vec![lasting(100)]);
    play(&mut world, &mut [&mut full, &mut free], 10_000);
    assert_eq!(world.live(&free.life), [key(7, 0, 0, 1)]);
}

/// A lasting task that is listed but not at work is moved like others that make no progress; on a
/// runner whose tasks stand still it earned nothing for as long as it was left there.
#[test]
fn lasting_task_that_stands_still_is_moved() {
    let mut world = World::new();
    let mut stuck = Beside::new("10.0.0.1", "i-1");
    let mut sound = Beside::new("10.0.0.2", "i-2");
    stuck.percent = 0;
    play(&mut world, &mut [&mut stuck], 300);
    world.submit("match", 7, vec![lasting(100)]);
    play(&mut world, &mut [&mut stuck, &mut sound], 10_000);
    assert_eq!(world.live(&sound.life), [key(7, 0, 0, 2)]);
}

/// What a runner that failed everything is barred for outlasts a restart of its agent, which knows no
/// runner at first.
#[test]
fn restarted_agent_lifts_no_quarantine() {
    let mut world = World::new();
    let mut failing = Beside::new("10.0.0.1", "i-1");
    play(&mut world, &mut [&mut failing], 300);
    failing.end = Some(End::Failed);
    for job in 1..=3 {
        world.submit("match", job, vec![step(1, 500)]);
    }
    play(&mut world, &mut [&mut failing], 300);
    let barred = |world: &World| world.dispatch.fleet.workers[&name("10.0.0.1")].health.suspect();
    assert!(barred(&world));
    let known = failing.report.runner.take();
    failing.report.incarnation = 2;
    play(&mut world, &mut [&mut failing], 100);
    failing.report.runner = known;
    play(&mut world, &mut [&mut failing], 100);
    assert!(barred(&world));
}
