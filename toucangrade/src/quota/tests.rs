//! Tests of quotas and fair shares.

use rstest::rstest;

use super::*;
use crate::core::Moment;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

struct Case {
    weights: [u32; 2],
    /// Used cores of each team, in thousandths.
    used: [u64; 2],
    first: &'static str,
}

/// Guards against a team that is served before another one with a smaller weighted share.
#[rstest]
#[case::equal_weights(Case { weights: [1, 1], used: [2_000, 1_000], first: "b" })]
#[case::tie_by_name(Case { weights: [1, 1], used: [1_000, 1_000], first: "a" })]
#[case::heavier_team(Case { weights: [3, 1], used: [2_000, 1_000], first: "a" })]
fn smallest_weighted_share_goes_first(#[case] case: Case) {
    let mut shares = Shares::default();
    shares.set_capacity(Size::new(10_000, 10_000, 0));
    for (i, team) in ["a", "b"].iter().enumerate() {
        let team = name(team);
        let weight = case.weights[i];
        shares.set(&Quota { team: team.clone(), weight, limit: None });
        shares.charge(&team, Size::new(case.used[i], 0, 0));
        shares.enqueue(&team, QueueEntry::new(0, Moment::micros(1), name("job")));
    }
    assert_eq!(shares.order()[0].as_str(), case.first);
}

/// Guards against a job that is overtaken by one of lower priority, or by one of higher priority
/// that was submitted much later.
#[test]
fn priority_moves_a_job_forward_by_a_bounded_time() {
    let mut shares = Shares::default();
    let team = name("a");
    for (job, priority, secs) in [("late", 1, 9), ("early", 1, 3), ("high", 2, 20), ("far", 2, 400)]
    {
        let since = Moment::micros(secs * 1_000_000);
        shares.enqueue(&team, QueueEntry::new(priority, since, name(job)));
    }
    let order: Vec<_> = shares.first_waiting(&team, 4);
    assert_eq!(order, ["high", "early", "late", "far"].map(name));
}

/// Guards against usage beyond the quota, and usage that remains after its release.
#[test]
fn quota_limits_what_a_team_holds() {
    let mut shares = Shares::default();
    let team = name("a");
    let limit = Some(Size::new(4_000, 4_000, 1));
    shares.set(&Quota { team: team.clone(), weight: 1, limit });
    let part = Size::new(3_000, 1_000, 1);
    assert!(shares.admits(&team, part));
    shares.charge(&team, part);
    assert!(!shares.admits(&team, part));
    shares.release(&team, part);
    assert!(shares.admits(&team, part));
    assert_eq!(shares.exceeded_limit(&team, part.times(2)), limit);
}
