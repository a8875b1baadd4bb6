//! Tests of the choice and the ledger of evictions.

use rstest::rstest;

use super::*;

fn candidate(job: &str, priority: u8, cores: u64, lost: f64) -> Candidate {
    Candidate { job: Name::new(job).unwrap(), priority, frees: Size::new(cores, 1_000, 0), lost }
}

struct Case {
    need: u64,
    free: u64,
    /// Job, priority, freed millicores and lost core seconds of each candidate.
    running: Vec<(&'static str, u8, u64, f64)>,
    chosen: Option<Vec<&'static str>>,
}

/// Guards against the eviction of the wrong jobs or of more jobs than needed.
#[rstest]
#[case::nothing_needed(Case { need: 2, free: 4, running: vec![("a", 0, 4, 0.0)], chosen: Some(vec![]) })]
#[case::less_lost(Case {
    need: 4, free: 0, running: vec![("a", 0, 4, 900.0), ("b", 0, 4, 10.0)], chosen: Some(vec!["b"]),
})]
#[case::priority_before_loss(Case {
    need: 4, free: 0, running: vec![("a", 0, 4, 900.0), ("b", 5, 4, 10.0)], chosen: Some(vec!["a"]),
})]
#[case::drops_unneeded(Case {
    need: 6, free: 0, running: vec![("a", 0, 2, 0.0), ("b", 0, 6, 100.0)], chosen: Some(vec!["b"]),
})]
#[case::not_enough(Case { need: 9, free: 1, running: vec![("a", 0, 4, 0.0)], chosen: None })]
fn the_cheapest_sufficient_set_is_chosen(#[case] case: Case) {
    let running: Vec<_> = case
        .running
        .iter()
        .map(|&(job, priority, cores, lost)| candidate(job, priority, cores, lost))
        .collect();
    let plan = choose(Size::new(case.need, 0, 0), Size::new(case.free, 0, 0), &running);
    let chosen = plan
        .map(|plan| plan.chosen.iter().map(|&i| running[i].job.to_string()).collect::<Vec<_>>());
    assert_eq!(chosen, case.chosen.map(|jobs| jobs.into_iter().map(str::to_owned).collect()));
}

/// Guards against an eviction that is counted twice: evictions must equal resumed, ended and open
/// ones.
#[test]
#[should_panic(expected = "before it resumed")]
fn a_second_eviction_before_a_resumption_is_a_fault() {
    let mut ledger = Ledger::default();
    let job = Name::new("a").unwrap();
    ledger.evict(&job, 1, Cause::Quick);
    ledger.evict(&job, 1, Cause::Quick);
}

/// Guards against a job that resumes under the fencing token of its evicted execution.
#[test]
#[should_panic(expected = "resumed under fence 1")]
fn a_resumption_needs_a_larger_fence() {
    let mut ledger = Ledger::default();
    let job = Name::new("a").unwrap();
    ledger.evict(&job, 1, Cause::Quick);
    ledger.start(&job, 1);
}
