//! Tests of the candidates that are kept between rounds of placement.

use rstest::rstest;

use super::*;

impl Dispatch {
    /// Compares the kept candidates with newly computed ones. Their headroom may be older, since
    /// estimates change with each report of any runner.
    pub(super) fn check_views(&mut self) {
        self.refresh_views();
        for agent in self.fleet.workers.keys() {
            let room = |candidate: &crate::dispatch::place::Candidate| {
                (
                    candidate.incarnation.clone(),
                    (candidate.capacity, candidate.free),
                    (candidate.filling, candidate.reserved, candidate.serving),
                    candidate.labels.clone(),
                )
            };
            let (kept, computed) = (self.views.get(agent), self.candidate(agent));
            assert_eq!(kept.map(room), computed.as_ref().map(room), "view of {agent}");
        }
    }
}

struct Round {
    /// Number of runners.
    runners: u64,
    /// Runners that report before the next round.
    reports: u64,
}

/// A round of placement computes only the runners that have changed since the last one. With 160
/// runners the leader computed all of them in every round: two thirds of its processor time, so that
/// half of the jobs waited 0.6 s for their first task.
#[rstest]
#[case::small(Round { runners: 10, reports: 1 })]
#[case::large(Round { runners: 160, reports: 1 })]
#[case::several(Round { runners: 160, reports: 12 })]
fn round_computes_only_changed_runners(#[case] case: Round) {
    let mut world = World::new();
    let agent = |number: u64| format!("10.0.1.{number}");
    let runner = |number: u64| incarnation(&format!("i-{number}"), 10);
    for number in 0..case.runners {
        world.report(report(&agent(number), 1, &runner(number)));
    }
    // It fits on no runner, so that each round looks for one.
    world.submit("match", 1, vec![step(1, 900_000)]);
    let before = world.dispatch.views.built();
    for number in 0..case.reports {
        world.report(report(&agent(number), 2, &runner(number)));
    }
    world.advance(100);
    assert_eq!(world.dispatch.views.built() - before, case.reports);
}

/// A runner whose lease was removed and granted anew is not taken for unchanged.
#[test]
fn view_follows_a_lease_that_is_granted_anew() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    for job in 1..=3 {
        world.submit("match", job, vec![step(1, 500)]);
        let run = key(job, 0, 0, 1);
        assert_eq!(world.live(&runner), [run]);
        world.end(&runner, 2 * job, &[(job, run, End::Done)]);
        world.advance(100);
    }
}
