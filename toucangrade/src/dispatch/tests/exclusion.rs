//! Tests of how long work is kept from a runner, and on what evidence.

use rstest::rstest;

use super::*;

impl World {
    /// Passes time while one agent reports each 500 ms; `rows` gives what it lists after so many ms.
    fn reports(
        &mut self,
        agent: &str,
        life: &Life,
        millis: u64,
        mut rows: impl FnMut(u64) -> Vec<Row>,
    ) {
        for half in 1..=millis / 500 {
            self.pass(500);
            let (seq, rows) = (self.seq(), rows(half * 500));
            let handling = self.live(life);
            let listed = |key: &RunKey| rows.iter().any(|row| row.key == *key);
            let handling = handling.into_iter().filter(|key| !listed(key)).collect();
            self.report(Report { rows, handling, ..report(agent, seq, life) });
        }
    }

    /// A number for a report that is above all of an earlier moment.
    fn seq(&self) -> u64 {
        self.now.as_micros() / 1_000
    }

    /// Time in ms until a lasting task gets a run on the runner, up to a limit.
    fn lasting_starts(&mut self, agent: &str, life: &Life, limit: u64) -> Option<u64> {
        self.submit("match", 50, vec![Step { lasting: true, target: 50, ..step(1, 500) }]);
        let key = key(50, 0, 0, 1);
        if self.live(life).contains(&key) {
            return Some(0);
        }
        for half in 1..=limit / 500 {
            self.reports(agent, life, 500, |_| Vec::new());
            if self.live(life).contains(&key) {
                return Some(half * 500);
            }
        }
        None
    }
}

fn row(key: RunKey, percent: u8, share: u8) -> Row {
    Row { key, saved: None, percent, figure: 100, share }
}

const AGENT: &str = "10.0.0.1";

struct Still {
    /// Share at which the runs work while they make no progress.
    share: u8,
    /// Whether the agent reports meanwhile.
    heard: bool,
    stopped: bool,
}

/// Runs are taken for stuck only when reports show that they stand still at full speed. On a played
/// day agents were cut off for 3.7 s, and all 23 runs beside two of them were taken for stuck.
#[rstest]
#[case::stands_still(Still { share: 100, heard: true, stopped: true })]
#[case::cut_off(Still { share: 100, heard: false, stopped: false })]
#[case::paced_down(Still { share: 0, heard: true, stopped: false })]
fn silence_is_not_lack_of_progress(#[case] case: Still) {
    let mut world = World::new();
    let runner = life("i-1", 10);
    world.report(report(AGENT, 1, &runner));
    world.submit("match", 7, vec![step(4, 500)]);
    let rows = |percent, share| (0..4).map(|at| row(key(7, 0, at, 1), percent, share)).collect();
    world.reports(AGENT, &runner, 500, |_| rows(10, case.share));
    if case.heard {
        world.reports(AGENT, &runner, 3_500, |_| rows(10, case.share));
        world.reports(AGENT, &runner, 1_000, |_| rows(10, 100));
    } else {
        world.pass(3_500);
    }
    let stopped = world.dispatch.fleet.holds[&runner].runs.values().any(|run| run.stop);
    assert_eq!(stopped, case.stopped);
}

/// A lasting task that does not get to work is begun anew, as its runner may hang; one at work is
/// left alone.
#[rstest]
#[case::starting(0, true)]
#[case::at_work(100, false)]
fn lasting_task_that_does_not_start_is_begun_anew(#[case] percent: u8, #[case] stopped: bool) {
    let mut world = World::new();
    let runner = life("i-1", 10);
    world.report(report(AGENT, 1, &runner));
    world.submit("match", 7, vec![Step { lasting: true, ..step(1, 500) }]);
    world.reports(AGENT, &runner, 7_000, |_| vec![row(key(7, 0, 0, 1), percent, 100)]);
    assert_eq!(world.dispatch.fleet.holds[&runner].runs[&key(7, 0, 0, 1)].stop, stopped);
}

struct Exclusion {
    /// Tasks whose first runs stand still or fail.
    tasks: u16,
    /// Whether they end as failed, rather than standing still.
    fail: bool,
    /// Whether a task ends well afterwards.
    recovers: bool,
    /// Latest start of a lasting task on the only runner, in ms after its submission.
    starts: u64,
}

/// A runner that failed takes a lasting task that finds no other, within the 3 s that are promised
/// where there is room. On a played day one fault of 8 runs barred a sound runner for 16 s.
#[rstest]
#[case::sound(Exclusion { tasks: 0, fail: false, recovers: false, starts: 0 })]
#[case::three_failed(Exclusion { tasks: 3, fail: true, recovers: false, starts: 2_000 })]
#[case::many_failed(Exclusion { tasks: 8, fail: true, recovers: false, starts: 2_000 })]
#[case::many_stood_still(Exclusion { tasks: 8, fail: false, recovers: false, starts: 2_000 })]
#[case::recovered(Exclusion { tasks: 8, fail: true, recovers: true, starts: 0 })]
fn lasting_task_is_not_kept_from_the_only_runner(#[case] case: Exclusion) {
    let mut world = World::new();
    let runner = life("i-1", 10);
    world.report(report(AGENT, 1, &runner));
    world.submit("recon", 7, vec![step(u32::from(case.tasks) + 1, 300)]);
    let (last, rest) = (key(7, 0, case.tasks, 1), 0..case.tasks);
    let keys: Vec<RunKey> = rest.map(|at| key(7, 0, at, 1)).collect();
    if !case.fail {
        let rows = || keys.iter().map(|key| row(*key, 10, 100)).collect();
        world.reports(AGENT, &runner, 4_000, |_| rows());
    }
    let end = if case.fail { End::Failed } else { End::Stopped };
    let mut ends: Vec<_> = keys.iter().zip(1..).map(|(key, number)| (number, *key, end)).collect();
    world.end(&runner, world.seq() + 1, &ends);
    if case.recovers {
        ends.push((u64::from(case.tasks) + 1, last, End::Done));
        world.end(&runner, world.seq() + 2, &ends);
    }
    world.ask("/recon/0000000000000007", Verb::Cancel, Some(7));
    let started = world.lasting_starts(AGENT, &runner, 20_000);
    assert!(
        started.is_some_and(|at| at <= case.starts),
        "starts after {started:?} ms, expected within {} ms",
        case.starts
    );
}
