//! Randomised runs of the policy against fake workers, with the invariants of the program.

#![allow(missing_docs)]

#[path = "../benches/fake/mod.rs"]
mod fake;

use fake::truth::{ALBUQUERQUE, Company, KLOPCA};
use fake::{Fake, Trouble};
use rstest::rstest;
use toucangrade::placement::{Rank, Settings};

struct Case {
    company: Company,
    settings: Settings,
    trouble: Trouble,
    seeds: std::ops::Range<u64>,
}

/// Guards against lost or doubled work when several faults come together.
///
/// The program asserts capacity, one execution for each job, one resumption for each eviction and
/// one outcome; the fake asserts capacity and one execution on what really runs.
#[rstest]
#[case::storm_at_albuquerque(Case {
    company: ALBUQUERQUE, settings: Settings::latency(), trouble: Trouble::Storm, seeds: 100..103,
})]
#[case::storm_at_klopca(Case {
    company: KLOPCA, settings: Settings::throughput(), trouble: Trouble::Storm, seeds: 200..203,
})]
#[case::storm_by_declared_sizes(Case {
    company: ALBUQUERQUE,
    settings: Settings::latency().baseline(Rank::FirstFit),
    trouble: Trouble::Storm,
    seeds: 300..301,
})]
#[case::failover(Case {
    company: KLOPCA, settings: Settings::throughput(), trouble: Trouble::Failover, seeds: 400..401,
})]
fn invariants_hold_under_faults(#[case] case: Case) {
    for seed in case.seeds {
        let secs = 2_500;
        let set = case.settings.clone();
        let mut fake = Fake::new(set, case.company, case.trouble, seed, secs);
        for step in 0..secs * 4 {
            fake.advance();
            // The count goes over all jobs so far, so it is made every 25 s.
            if step % 100 == 0 {
                assert_eq!(fake.unaccounted(), 0, "seed {seed}");
            }
        }
        assert!(fake.figures.done > 50, "seed {seed}: {} done", fake.figures.done);
    }
}
