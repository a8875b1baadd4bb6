//! Tests of the start of filling tasks beside tasks that are close to their latency target.

use rstest::rstest;

use super::*;

const AGENTS: [&str; 3] = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
const TARGET: u64 = 100;
/// Tail latency of the serving tasks at their lowest load, in ms.
const CALM: u32 = 30;
/// Longest wait of a job beside room for twice its need, in ms.
const WAIT_LIMIT: u64 = 3_000;

fn serving() -> Step {
    let image = Some("shop".into());
    Step { lasting: true, image, target: TARGET, spread: 1, ..step(3, 1_000) }
}

fn filling(count: u32) -> Step {
    Step { fills: true, image: Some("batch".into()), ..step(count, 1_000) }
}

fn gang(count: u32) -> Step {
    Step { gang: true, ..filling(count) }
}

fn large(memory: u64) -> Step {
    let need = Need { millicores: 1_000, memory, accelerators: 0 };
    Step { need, ..filling(1) }
}

fn wide(millicores: u64) -> Step {
    Step { lasting: true, ..step(3, millicores) }
}

/// Three runners, each with a task with a latency target.
struct Runners {
    world: World,
    /// Tail latency on each runner, in ms.
    tails: [u32; 3],
}

impl Runners {
    fn new(tails: [u32; 3]) -> Self {
        let mut runners = Self { world: World::new(), tails: [CALM; 3] };
        runners.advance(500);
        runners.world.submit("match", 1, vec![serving()]);
        runners.advance(1_000);
        runners.tails = tails;
        runners.advance(1_000);
        runners
    }

    fn incarnation(at: usize) -> Incarnation {
        incarnation(&format!("i-{at}"), 10)
    }

    /// Advances time while all agents report. Filling runs are listed at a share of 0.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 500 {
            self.world.advance(500);
            for (at, agent) in AGENTS.iter().enumerate() {
                let (runner, seq) = (Self::incarnation(at), self.world.seq());
                let row = |key: RunKey| {
                    let serves = key.task.job == 1;
                    let (percent, figure) = if serves { (100, self.tails[at]) } else { (0, 0) };
                    RunStatus { key, saved: None, percent, figure, share: percent }
                };
                let rows = self.world.live(&runner).into_iter().map(row).collect();
                self.world.report(Report { rows, ..report(agent, seq, &runner) });
            }
        }
    }

    /// Runs of a job on each runner.
    fn runs(&self, job: u64) -> [usize; 3] {
        [0, 1, 2].map(|at| {
            let live = self.world.live(&Self::incarnation(at));
            live.iter().filter(|key| key.task.job == job).count()
        })
    }
}

struct Case {
    /// Tail latency on each runner in ms, with a target of 100 ms.
    tails: [u32; 3],
    /// Step of each filling job.
    jobs: Vec<Step>,
    /// Number of runs of each job after the longest wait.
    runs: Vec<usize>,
}

/// A filling job starts beside tasks that are close to their latency target, with one task and so
/// that the effect of each is seen. In review/8 a job whose image was not known waited for 37 s
/// beside three runners with nine tenths of their memory free.
#[rstest]
#[case::far_from_target(Case { tails: [40; 3], jobs: vec![filling(3)], runs: vec![3] })]
#[case::near_target(Case { tails: [75; 3], jobs: vec![filling(4)], runs: vec![1] })]
#[case::above_aim(Case { tails: [90; 3], jobs: vec![filling(4)], runs: vec![1] })]
#[case::over_target(Case { tails: [120; 3], jobs: vec![filling(4)], runs: vec![1] })]
#[case::three_jobs(Case {
    tails: [90; 3], jobs: vec![filling(2), filling(2), filling(2)], runs: vec![1, 1, 1],
})]
#[case::more_jobs_than_runners(Case {
    tails: [90; 3], jobs: vec![filling(1); 5], runs: vec![1, 1, 1, 0, 0],
})]
#[case::gang(Case { tails: [90; 3], jobs: vec![gang(4)], runs: vec![4] })]
#[case::room_twice(Case { tails: [90; 3], jobs: vec![large(9_000)], runs: vec![1] })]
#[case::room_less_than_twice(Case {
    tails: [90; 3], jobs: vec![large(9_000), large(9_000), large(9_000)], runs: vec![1, 1, 0],
})]
#[case::gang_without_room_twice(Case { tails: [90; 3], jobs: vec![gang(200)], runs: vec![0] })]
fn filling_job_starts_near_latency_targets(#[case] case: Case) {
    let mut runners = Runners::new(case.tails);
    for (job, step) in (7..).zip(&case.jobs) {
        runners.world.submit("match", job, vec![step.clone()]);
    }
    runners.advance(WAIT_LIMIT);
    let runs: Vec<usize> =
        (7..).zip(&case.jobs).map(|(job, _)| runners.runs(job).iter().sum()).collect();
    assert_eq!(runs, case.runs);
}

/// A trial goes to the runner whose tasks are furthest from their targets.
#[test]
fn trial_goes_where_headroom_is_largest() {
    let mut runners = Runners::new([95, 84, 99]);
    runners.world.submit("match", 7, vec![filling(2)]);
    runners.advance(WAIT_LIMIT);
    assert_eq!(runners.runs(7), [0, 1, 0]);
}

/// Jobs beyond the first on each runner are tried once the effect of the earlier ones is known.
#[test]
fn every_waiting_job_is_tried() {
    let mut runners = Runners::new([90; 3]);
    for job in 7..15 {
        let need = Need { millicores: 300, ..step(1, 0).need };
        runners.world.submit("match", job, vec![Step { need, ..filling(1) }]);
    }
    runners.advance(3 * WAIT_LIMIT);
    let runs: Vec<usize> = (7..15).map(|job| runners.runs(job).iter().sum()).collect();
    assert_eq!(runs, [1; 8]);
}

struct Busy {
    /// Millicores of a lasting task on each runner besides the one with a latency target.
    lasting: u64,
    /// Millicores of the waiting filling task.
    filling: u64,
}

/// No trial takes place where it would slow down other filling tasks, or with little room left.
#[rstest]
#[case::no_free_cores(Busy { lasting: 3_000, filling: 5_000 })]
#[case::over_half_in_use(Busy { lasting: 1_500, filling: 500 })]
fn busy_runners_get_no_trial(#[case] case: Busy) {
    let mut runners = Runners::new([90; 3]);
    runners.world.submit("match", 2, vec![wide(case.lasting)]);
    runners.advance(1_000);
    let need = Need { millicores: case.filling, ..step(1, 0).need };
    runners.world.submit("match", 7, vec![Step { need, ..filling(1) }]);
    runners.advance(2 * WAIT_LIMIT);
    assert_eq!(runners.runs(7), [0; 3]);
}
