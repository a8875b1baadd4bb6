//! Tests of runners that can't be reached: what was never ordered is placed elsewhere at once.

use rstest::rstest;

use super::*;

/// What happens between the assignment of a run and the silence of its agent.
#[derive(Clone, Copy)]
enum Before {
    /// The agent's report is held, so the assignment is ordered at once.
    Held,
    /// The agent was answered before and does not report again.
    Answered,
    /// The agent was answered before, and its next report gets the order.
    Reported,
    /// The agent was answered before, and leadership changes.
    Elected,
    /// The agent was answered before and restarts, so that it reports no runner.
    Restarted,
}

struct Silenced {
    before: Before,
    /// Time without a report, in ms.
    silent: u64,
    /// Whether the task is assigned to the other runner.
    moved: bool,
}

/// The tasks of 16 jobs were assigned to runners that had been cut off after their last orders. They
/// waited for the end of a lease, though no order had left the leader and others had room.
#[rstest]
#[case::never_ordered(Silenced { before: Before::Answered, silent: 1_800, moved: true })]
#[case::may_report_again(Silenced { before: Before::Answered, silent: 1_400, moved: false })]
#[case::ordered_at_once(Silenced { before: Before::Held, silent: 6_000, moved: false })]
#[case::ordered_later(Silenced { before: Before::Reported, silent: 6_000, moved: false })]
#[case::assigned_by_an_earlier_leader(Silenced {
    before: Before::Elected, silent: 5_800, moved: false,
})]
#[case::agent_without_a_runner(Silenced { before: Before::Restarted, silent: 500, moved: true })]
fn run_that_was_never_ordered_waits_for_no_lease(#[case] case: Silenced) {
    let mut world = World::new();
    let (silent, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &silent));
    if !matches!(case.before, Before::Held) {
        world.advance(500);
    }
    world.submit("match", 7, vec![step(1, 1_000)]);
    assert_eq!(world.live(&silent), [key(7, 0, 0, 1)]);
    match case.before {
        Before::Held | Before::Answered => {},
        Before::Reported => drop(world.report(report("10.0.0.1", 2, &silent))),
        Before::Elected => {
            world.send(Message::Lead { leading: false });
            world.send(Message::Lead { leading: true });
        },
        Before::Restarted => {
            let restarted = report("10.0.0.1", 1, &silent);
            world.report(Report { incarnation: 2, runner: None, ..restarted });
        },
    }
    let before = if matches!(case.before, Before::Answered) { 500 } else { 0 };
    for seq in 1..=(case.silent - before) / 100 {
        world.report(report("10.0.0.2", seq, &other));
        world.advance(100);
    }
    assert_eq!(!world.live(&other).is_empty(), case.moved);
}

/// What becomes of the proposal that gives a run back.
#[derive(Clone, Copy)]
enum Outcome {
    Committed,
    /// It was not appended to the log.
    Refused,
    /// It may still be committed by the next leader.
    Lost,
}

struct GivenBack {
    outcome: Outcome,
    /// Runs of the task, by number, that are ordered afterwards.
    ordered: &'static [u32],
    /// Runs of the task on the runner after a second silence.
    live: &'static [u32],
}

/// An agent that was only slow reports again while the end of its run is being recorded. An order
/// for that run would start a task that may be started elsewhere.
#[rstest]
#[case::committed(GivenBack { outcome: Outcome::Committed, ordered: &[2], live: &[2] })]
#[case::refused(GivenBack { outcome: Outcome::Refused, ordered: &[1], live: &[1] })]
#[case::lost(GivenBack { outcome: Outcome::Lost, ordered: &[], live: &[1] })]
fn run_that_is_given_back_is_not_ordered(#[case] case: GivenBack) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    let starts = |orders: Option<Orders>| -> Vec<u32> {
        orders.iter().flat_map(|orders| &orders.starts).map(|start| start.key.run).collect()
    };
    world.report(report("10.0.0.1", 1, &runner));
    world.advance(500);
    world.submit("match", 7, vec![step(1, 1_000)]);
    world.hold = true;
    world.advance(1_500);
    let held: Vec<_> = world.held.iter().flat_map(|(_, commands)| commands).collect();
    let close = Command::Close { key: key(7, 0, 0, 1), end: End::Refused, saved: None };
    assert_eq!(held, [&close]);
    assert_eq!(starts(world.report(report("10.0.0.1", 2, &runner))), [0_u32; 0]);
    world.advance(500);
    assert_eq!(starts(world.later_orders()), [0_u32; 0]);
    match case.outcome {
        Outcome::Committed => world.release(),
        Outcome::Refused | Outcome::Lost => {
            world.hold = false;
            let lost = matches!(case.outcome, Outcome::Lost);
            for (ticket, _) in std::mem::take(&mut world.held) {
                world.send(Message::Rejected { ticket, lost });
            }
        },
    }
    assert_eq!(starts(world.report(report("10.0.0.1", 3, &runner))), case.ordered);
    world.advance(2_000);
    let live: Vec<u32> = world.live(&runner).iter().map(|key| key.run).collect();
    assert_eq!(live, case.live);
}

/// How a runner looks to the leader when a task is placed.
#[derive(Clone, Copy)]
enum Seen {
    /// Its agent's report is held.
    Held,
    /// Its agent was answered this many ms ago and has not reported again.
    Answered(u64),
    /// It has not answered its agent for this many ms.
    Silent(u64),
}

struct Preference {
    emptier: Seen,
    /// Cores of the task; the other runner has three left.
    cores: u64,
    /// Whether the task is placed on the emptier runner.
    emptier_wins: bool,
}

/// Runners that were cut off got every task for 1.6 s, as they were the emptiest. A runner without a
/// held report comes after others, but its room stays in use.
#[rstest]
#[case::both_report(Preference { emptier: Seen::Held, cores: 1, emptier_wins: true })]
#[case::answered_just_now(Preference { emptier: Seen::Answered(200), cores: 1, emptier_wins: true })]
#[case::answered_long_ago(Preference { emptier: Seen::Answered(400), cores: 1, emptier_wins: false })]
#[case::only_room(Preference { emptier: Seen::Answered(400), cores: 4, emptier_wins: true })]
#[case::starts_held_back(Preference { emptier: Seen::Silent(700), cores: 1, emptier_wins: false })]
#[case::between_listings(Preference { emptier: Seen::Silent(600), cores: 1, emptier_wins: true })]
fn runner_that_reports_is_preferred(#[case] case: Preference) {
    let mut world = World::new();
    let (emptier, fuller) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.2", 1, &fuller));
    world.submit("match", 6, vec![step(1, 1_000)]);
    let silent = if let Seen::Silent(millis) = case.emptier { millis } else { 0 };
    world.report(Report { silent: Span::millis(silent), ..report("10.0.0.1", 1, &emptier) });
    if let Seen::Answered(millis) = case.emptier {
        // Its report is answered after 500 ms.
        world.advance(500 + millis);
    }
    let handling = world.live(&fuller);
    world.report(Report { handling, ..report("10.0.0.2", 2, &fuller) });
    world.submit("match", 7, vec![step(1, case.cores * 1_000)]);
    assert_eq!(!world.live(&emptier).is_empty(), case.emptier_wins);
}

struct CutOff {
    /// Whether the reports of the agents that are cut off are held at that time.
    held: bool,
    /// Time between the cut and the first job, in ms.
    after: u64,
    /// Longest time in ms for which a task may wait beside free room if its order was not lost.
    limit: u64,
    /// Most tasks whose orders may be lost: one for each held report.
    lost: usize,
}

/// Runners of which a third is cut off.
struct Thirds {
    world: World,
    runners: Vec<Incarnation>,
    cut: bool,
}

impl Thirds {
    /// Runners 0, 3 and 6 are the ones that are cut off.
    fn is_reached(&self, number: usize) -> bool {
        !self.cut || !number.is_multiple_of(3)
    }

    fn report(&mut self) {
        for number in 0..self.runners.len() {
            if self.is_reached(number) {
                let runner = self.runners[number].clone();
                let (seq, rows) = (self.world.seq(), self.world.live(&runner));
                let rows = rows.into_iter().map(row).collect();
                self.world
                    .report(Report { rows, ..report(&format!("10.0.0.{number}"), seq, &runner) });
            }
        }
    }

    /// Whether a job's task is on a runner that is reached.
    fn runs(&self, job: u64) -> bool {
        let reached = (0..self.runners.len()).filter(|number| self.is_reached(*number));
        let mut live = reached.flat_map(|number| self.world.live(&self.runners[number]));
        live.any(|key| key.task.job == job)
    }
}

/// A quick job waited for 9 s beside free room when the emptiest runners were cut off. A task may
/// wait until its runner counts as silent, and until the leases have ended if it was ordered.
#[rstest]
#[case::just_answered(CutOff { held: false, after: 0, limit: 1_700, lost: 0 })]
#[case::answered_before(CutOff { held: false, after: 200, limit: 1_700, lost: 0 })]
#[case::report_overdue(CutOff { held: false, after: 300, limit: 100, lost: 0 })]
#[case::report_long_overdue(CutOff { held: false, after: 1_000, limit: 100, lost: 0 })]
#[case::held(CutOff { held: true, after: 0, limit: 1_700, lost: 3 })]
#[case::held_until_answered(CutOff { held: true, after: 900, limit: 100, lost: 0 })]
fn quick_job_waits_little_beside_free_room(#[case] case: CutOff) {
    let runners = (0..9).map(|number| incarnation(&format!("i-{number}"), 10)).collect();
    let mut thirds = Thirds { world: World::new(), runners, cut: false };
    thirds.report();
    thirds.world.submit("match", 1, vec![Step { spread: 1, ..step(9, 500) }]);
    thirds.report();
    // The runners that are to be cut off become the emptiest.
    for number in [0, 3, 6] {
        let runner = thirds.runners[number].clone();
        let key = thirds.world.live(&runner)[0];
        let ended = vec![EndedRun { number: 1, key, end: End::Done, saved: None }];
        let seq = thirds.world.seq() + 1;
        thirds.world.report(Report { ended, ..report(&format!("10.0.0.{number}"), seq, &runner) });
    }
    thirds.world.advance(100);
    thirds.report();
    thirds.cut = true;
    if !case.held {
        thirds.world.advance(500);
    }
    for _ in 0..case.after / 100 {
        thirds.report();
        thirds.world.advance(100);
    }
    let mut waiting: BTreeMap<u64, u64> = BTreeMap::new();
    let mut waits = Vec::new();
    // A start without an answer may be carried out for 12 s, and gives a lease of 10 s.
    for tenth in 0..260 {
        thirds.report();
        if tenth < 20 {
            let job = 100 + tenth;
            thirds.world.submit("match", job, vec![step(1, 200)]);
            waiting.insert(job, tenth);
        }
        thirds.world.advance(100);
        waiting.retain(|job, since| {
            let runs = thirds.runs(*job);
            waits.extend(runs.then_some((tenth - *since) * 100));
            !runs
        });
    }
    assert!(waiting.is_empty(), "still waiting: {waiting:?}");
    let lost = waits.iter().filter(|wait| **wait > case.limit).count();
    assert!(lost <= case.lost, "waits in ms: {waits:?}");
}
