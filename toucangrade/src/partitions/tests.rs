//! Tests of partition grants, leases and releases.

use rstest::rstest;

use super::*;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

enum Step {
    Apply,
    Lead,
    Poll(&'static str, u64),
    Release(&'static str),
    Wait(u64),
}

struct Case {
    steps: Vec<Step>,
    /// Expected owner, its incarnation, the number of its partitions, and whether they are clean.
    owners: Vec<(&'static str, u64, usize, bool)>,
}

/// Guards against a grant while the lease of the owner may still be valid, and against partitions
/// without an owner.
#[rstest]
#[case::first(Case {
    steps: vec![Step::Lead, Step::Poll("one", 1), Step::Apply],
    owners: vec![("one", 1, 64, true)],
})]
#[case::silent_owner_keeps_partitions_within_lease(Case {
    steps: vec![
        Step::Lead, Step::Poll("one", 1), Step::Apply, Step::Wait(2_900), Step::Poll("two", 2), Step::Apply,
    ],
    owners: vec![("one", 1, 64, true)],
})]
#[case::silent_owner_loses_partitions_after_lease(Case {
    steps: vec![
        Step::Lead, Step::Poll("one", 1), Step::Apply, Step::Wait(3_100), Step::Poll("two", 2), Step::Apply,
    ],
    owners: vec![("two", 2, 64, false)],
})]
#[case::new_leader_waits_a_lease(Case {
    steps: vec![
        Step::Lead, Step::Poll("one", 1), Step::Apply, Step::Wait(9_000), Step::Lead, Step::Poll("two", 2),
        Step::Apply,
    ],
    owners: vec![("one", 1, 64, true)],
})]
#[case::restarted_owner_waits(Case {
    steps: vec![
        Step::Lead, Step::Poll("one", 1), Step::Apply, Step::Wait(9_000), Step::Poll("one", 1),
        Step::Wait(2_000), Step::Poll("one", 2), Step::Poll("one", 1), Step::Apply,
    ],
    owners: vec![("one", 1, 64, true)],
})]
#[case::release_after_a_lost_owner_is_not_clean(Case {
    steps: vec![
        Step::Lead, Step::Poll("one", 1), Step::Apply, Step::Wait(3_100), Step::Poll("two", 2), Step::Apply,
        Step::Poll("three", 3), Step::Release("two"), Step::Apply,
    ],
    owners: vec![("two", 2, 32, false), ("three", 3, 32, false)],
})]
#[case::half_is_released(Case {
    steps: vec![
        Step::Lead, Step::Poll("one", 1), Step::Apply, Step::Poll("two", 2), Step::Release("one"), Step::Apply,
    ],
    owners: vec![("one", 1, 32, true), ("two", 2, 32, true)],
})]
fn partitions_have_one_owner(#[case] case: Case) {
    let (mut agreed, mut balancer) = (Partitions::default(), Balancer::default());
    let mut now = Moment::START;
    for step in case.steps {
        match step {
            Step::Apply => {
                for command in balancer.grants(now, &agreed) {
                    agreed.apply(&command);
                }
            },
            Step::Lead => {
                balancer.set_leading(now, false);
                balancer.set_leading(now, true);
            },
            Step::Poll(entry, started) => balancer.record_poll(now, &name(entry), started, false),
            Step::Release(entry) => {
                for partition in balancer.surplus(now, &agreed, &name(entry)) {
                    balancer.record_release(partition, agreed.epoch(partition));
                }
            },
            Step::Wait(millis) => now = now + Span::millis(millis),
        }
    }
    for (entry, incarnation, count, clean) in case.owners {
        let same = |o: &&Owner| o.entry == name(entry) && o.incarnation == incarnation;
        let owned: Vec<_> = agreed.owners().values().filter(same).collect();
        assert_eq!(owned.len(), count, "{entry}");
        assert!(owned.iter().all(|owner| owner.clean == clean), "{entry}");
    }
}

/// Guards against a delayed grant that overwrites a newer one.
#[test]
fn stale_grant_is_ignored() {
    let mut agreed = Partitions::default();
    let grant = |entry: &str, epoch| Command {
        entry: name(entry),
        incarnation: 1,
        grants: vec![(7, epoch)],
        clean: true,
    };
    agreed.apply(&grant("one", 0));
    agreed.apply(&grant("two", 0));
    assert_eq!(agreed.owners()[&7].entry, name("one"));
    agreed.apply(&grant("two", 1));
    assert_eq!((agreed.owners()[&7].entry.clone(), agreed.epoch(7)), (name("two"), 2));
}
