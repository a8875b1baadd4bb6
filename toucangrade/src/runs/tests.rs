//! Tests of the agreed state of jobs.

use rstest::rstest;

use super::*;
use crate::core::Span;
use crate::placement::Size;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

/// Declaration of the job `oak`, used by the tests of this module and of scheduling.
pub(crate) fn spec() -> Spec {
    Spec {
        estimate: Span::secs(60),
        gang: 1,
        home: None,
        kind: name("finish-layer"),
        name: name("oak"),
        priority: 1,
        shop: name("klopca"),
        size: Size::new(1_000, 1_000, 0),
        standing: false,
        team: name("nave"),
        urgent: false,
    }
}

fn assign(fence: u64, number: u64) -> Decision {
    let members = vec![Member { grant: Size::new(1_000, 1_000, 0), worker: name("w1") }];
    Decision::Assign { fence, from: Checkpoint { done: number, number }, job: name("oak"), members }
}

fn evict(fence: u64, number: u64) -> Decision {
    let from = Checkpoint { done: number, number };
    Decision::Evict { cause: Cause::Quick, fence, from, job: name("oak") }
}

fn finish(fence: u64, outcome: Outcome) -> Decision {
    Decision::Finish { fence, job: name("oak"), outcome }
}

struct Case {
    decisions: Vec<Decision>,
    accepted: Vec<bool>,
    fence: u64,
    outcome: Option<Outcome>,
}

/// Guards against jobs that resume twice, lose a checkpoint or get two outcomes.
#[rstest]
#[case::evicted_job_resumes_once(Case {
    decisions: vec![assign(1, 0), evict(1, 3), assign(2, 3), assign(2, 3)],
    accepted: vec![true, true, true, false],
    fence: 2,
    outcome: None,
})]
#[case::stale_eviction(Case {
    decisions: vec![assign(1, 0), evict(1, 3), assign(2, 3), evict(1, 3)],
    accepted: vec![true, true, true, false],
    fence: 2,
    outcome: None,
})]
#[case::one_outcome(Case {
    decisions: vec![assign(1, 0), finish(1, Outcome::Done), finish(1, Outcome::Cancelled)],
    accepted: vec![true, true, false],
    fence: 1,
    outcome: Some(Outcome::Done),
})]
#[case::stale_result(Case {
    decisions: vec![assign(1, 0), evict(1, 0), assign(2, 0), finish(1, Outcome::Done)],
    accepted: vec![true, true, true, false],
    fence: 2,
    outcome: None,
})]
#[case::cancelled_while_waiting(Case {
    decisions: vec![finish(0, Outcome::Cancelled), assign(1, 0)],
    accepted: vec![true, false],
    fence: 0,
    outcome: Some(Outcome::Cancelled),
})]
fn decisions_must_match_the_agreed_state(#[case] case: Case) {
    let mut runs = JobRecords::default();
    assert!(runs.submit(1, spec()));
    assert!(!runs.submit(2, spec()), "a name runs once");
    let accepted: Vec<bool> =
        (3..).zip(&case.decisions).map(|(index, decision)| runs.apply(index, decision)).collect();
    let run = runs.get(&name("oak")).unwrap();
    assert_eq!(accepted, case.accepted);
    assert_eq!((run.fence, run.outcome.clone()), (case.fence, case.outcome));
}

struct HistoryCase {
    decisions: Vec<Decision>,
    /// Evictions by cause, and number of resumptions, in the job's record of the history.
    evictions: Vec<(&'static str, u64)>,
    resumed: u64,
    /// Number of records for the history.
    records: u64,
}

fn evict_for(fence: u64, cause: Cause) -> Decision {
    Decision::Evict { cause, fence, from: Checkpoint::default(), job: name("oak") }
}

/// Guards against evictions that are counted twice, without a cause or not at all, and against gaps
/// in the numbers by which replicas find the records that they lack.
#[rstest]
#[case::no_eviction(HistoryCase {
    decisions: vec![assign(1, 0), finish(1, Outcome::Done)],
    evictions: vec![], resumed: 0, records: 1,
})]
#[case::two_causes(HistoryCase {
    decisions: vec![
        assign(1, 0), evict_for(1, Cause::Quick), assign(2, 0), evict_for(2, Cause::Lost),
        assign(3, 0), finish(3, Outcome::Done),
    ],
    evictions: vec![("lost", 1), ("protect", 1)], resumed: 2, records: 3,
})]
#[case::repeated(HistoryCase {
    decisions: vec![
        assign(1, 0), evict_for(1, Cause::Aged), evict_for(1, Cause::Aged),
        finish(1, Outcome::Cancelled),
    ],
    evictions: vec![("waited", 1)], resumed: 0, records: 2,
})]
#[case::gang_ends_together(HistoryCase {
    decisions: vec![
        assign(1, 0), evict_for(1, Cause::Gang), assign(2, 0), finish(2, Outcome::Failed),
    ],
    evictions: vec![], resumed: 1, records: 1,
})]
#[case::failed_execution(HistoryCase {
    decisions: vec![assign(1, 0), assign(2, 0), finish(2, Outcome::Done)],
    evictions: vec![], resumed: 0, records: 1,
})]
fn history_gets_each_eviction_once(#[case] case: HistoryCase) {
    let mut runs = JobRecords::default();
    runs.submit(1, spec());
    let mut records = Vec::new();
    for (index, decision) in (2..).zip(&case.decisions) {
        if runs.apply(index, decision) {
            records.extend(runs.record(decision));
        }
    }
    let numbers: Vec<u64> = records.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, (1..=case.records).collect::<Vec<_>>());
    let Some((_, Body::Ended(ending))) = records.pop() else { panic!("{records:?}") };
    let evictions: Vec<_> = ending.evictions.iter().map(|(c, n)| (c.as_str(), *n)).collect();
    assert_eq!((evictions, ending.resumed), (case.evictions, case.resumed));
}
