//! Tests of partition grants.

use rstest::rstest;

use super::*;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

enum Act {
    Apply,
    Lead,
    Poll(&'static str, u64),
    Release(&'static str),
    Wait(u64),
}

struct Case {
    acts: Vec<Act>,
    /// Owner, incarnation, number of partitions and whether the grants are clean.
    owners: Vec<(&'static str, u64, usize, bool)>,
}

/// Guards against two owners of a partition and against partitions that no one owns.
#[rstest]
#[case::first(Case {
    acts: vec![Act::Lead, Act::Poll("one", 1), Act::Apply],
    owners: vec![("one", 1, 64, true)],
})]
#[case::silent_owner_keeps_until_lease(Case {
    acts: vec![
        Act::Lead, Act::Poll("one", 1), Act::Apply, Act::Wait(2_900), Act::Poll("two", 2), Act::Apply,
    ],
    owners: vec![("one", 1, 64, true)],
})]
#[case::silent_owner_loses_after_lease(Case {
    acts: vec![
        Act::Lead, Act::Poll("one", 1), Act::Apply, Act::Wait(3_100), Act::Poll("two", 2), Act::Apply,
    ],
    owners: vec![("two", 2, 64, false)],
})]
#[case::new_leader_waits_a_lease(Case {
    acts: vec![
        Act::Lead, Act::Poll("one", 1), Act::Apply, Act::Wait(9_000), Act::Lead, Act::Poll("two", 2),
        Act::Apply,
    ],
    owners: vec![("one", 1, 64, true)],
})]
#[case::restarted_owner_waits(Case {
    acts: vec![
        Act::Lead, Act::Poll("one", 1), Act::Apply, Act::Wait(9_000), Act::Poll("one", 1),
        Act::Wait(2_000), Act::Poll("one", 2), Act::Poll("one", 1), Act::Apply,
    ],
    owners: vec![("one", 1, 64, true)],
})]
#[case::release_vouches_for_no_lost_owner(Case {
    acts: vec![
        Act::Lead, Act::Poll("one", 1), Act::Apply, Act::Wait(3_100), Act::Poll("two", 2), Act::Apply,
        Act::Poll("three", 3), Act::Release("two"), Act::Apply,
    ],
    owners: vec![("two", 2, 32, false), ("three", 3, 32, false)],
})]
#[case::released_half(Case {
    acts: vec![
        Act::Lead, Act::Poll("one", 1), Act::Apply, Act::Poll("two", 2), Act::Release("one"), Act::Apply,
    ],
    owners: vec![("one", 1, 32, true), ("two", 2, 32, true)],
})]
fn partitions_have_one_owner(#[case] case: Case) {
    let (mut agreed, mut balancer) = (Partitions::default(), Balancer::default());
    let mut now = Moment::START;
    for act in case.acts {
        match act {
            Act::Apply => {
                for command in balancer.grants(now, &agreed) {
                    agreed.apply(&command);
                }
            },
            Act::Lead => {
                balancer.lead(now, false);
                balancer.lead(now, true);
            },
            Act::Poll(entry, incarnation) => balancer.seen(now, &name(entry), incarnation, false),
            Act::Release(entry) => {
                for partition in balancer.surplus(now, &agreed, &name(entry)) {
                    balancer.released(partition, agreed.epoch(partition));
                }
            },
            Act::Wait(millis) => now = now + Span::millis(millis),
        }
    }
    for (entry, incarnation, count, clean) in case.owners {
        let same = |o: &&Owner| o.entry == name(entry) && o.incarnation == incarnation;
        let owned: Vec<_> = agreed.owners().values().filter(same).collect();
        assert_eq!(owned.len(), count, "{entry}");
        assert!(owned.iter().all(|owner| owner.clean == clean), "{entry}");
    }
}

/// Guards against a late grant that overwrites a newer one.
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
