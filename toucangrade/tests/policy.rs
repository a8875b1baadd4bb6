//! Randomised runs of the placement policy against simulated workers under faults. The planner and
//! the simulation assert the invariants.

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

/// Guards against lost jobs and duplicate executions when several faults occur together.
///
/// The planner asserts capacity, and one execution per job, one resumption per eviction and one
/// outcome. The simulated workers assert capacity and one execution per job for what really runs.
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
        let settings = case.settings.clone();
        let mut fake = Fake::new(settings, case.company, case.trouble, seed, secs);
        for step in 0..secs * 4 {
            fake.advance();
            // The check visits all jobs so far, so it runs only every 25 s of simulated time.
            if step % 100 == 0 {
                assert_eq!(fake.unaccounted(), 0, "seed {seed}");
            }
        }
        assert!(fake.figures.done > 50, "seed {seed}: {} done", fake.figures.done);
    }
}
