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

fn begin(fence: u64) -> Decision {
    Decision::Begin { fence, job: name("oak") }
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
#[case::begun(Case {
    decisions: vec![assign(1, 0), begin(1), begin(1), finish(1, Outcome::Done), begin(1)],
    accepted: vec![true, true, true, true, false],
    fence: 1,
    outcome: Some(Outcome::Done),
})]
#[case::stale_start(Case {
    decisions: vec![begin(0), assign(1, 0), evict(1, 0), begin(1), assign(2, 0), begin(1)],
    accepted: vec![false, true, true, false, true, false],
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
        assign(1, 0), begin(1), evict_for(1, Cause::Quick), assign(2, 0), begin(2),
        evict_for(2, Cause::Lost), assign(3, 0), begin(3), finish(3, Outcome::Done),
    ],
    evictions: vec![("lost", 1), ("protect", 1)], resumed: 2, records: 3,
})]
#[case::resumed_without_a_confirmed_start(HistoryCase {
    decisions: vec![
        assign(1, 0), begin(1), evict_for(1, Cause::Quick), assign(2, 0),
        evict_for(2, Cause::Lost), assign(3, 0), finish(3, Outcome::Failed),
    ],
    evictions: vec![("lost", 1), ("protect", 1)], resumed: 0, records: 3,
})]
#[case::confirmed_only_by_its_end(HistoryCase {
    decisions: vec![
        assign(1, 0), begin(1), evict_for(1, Cause::Quick), assign(2, 0),
        finish(2, Outcome::Done),
    ],
    evictions: vec![("protect", 1)], resumed: 1, records: 2,
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
        assign(1, 0), begin(1), evict_for(1, Cause::Gang), assign(2, 0), begin(2),
        finish(2, Outcome::Failed),
    ],
    evictions: vec![], resumed: 1, records: 1,
})]
#[case::failed_execution(HistoryCase {
    decisions: vec![
        assign(1, 0), begin(1), assign(2, 0), begin(2), finish(2, Outcome::Done),
    ],
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

/// Record as instances before confirmed starts encode it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierRecord {
    spec: Spec,
    fence: u64,
    from: Checkpoint,
    members: Option<Vec<Member>>,
    outcome: Option<Outcome>,
    evicted: u64,
    cancelled: bool,
    steps: VecDeque<(u64, String)>,
    causes: BTreeMap<Cause, u64>,
    resumed: u64,
    leaving: Option<Vec<Member>>,
}

struct Stored {
    decisions: Vec<Decision>,
    phase: Phase,
    /// Whether earlier versions read that the job has an execution, and the number of workers that
    /// they read as leaving.
    earlier: (bool, Option<usize>),
}

/// Snapshots are read by instances of the previous version, and the reverse.
#[rstest]
#[case::declared(Stored { decisions: vec![], phase: Phase::Waiting, earlier: (false, None) })]
#[case::assigned(Stored {
    decisions: vec![assign(1, 0)], phase: Phase::Waiting, earlier: (true, None),
})]
#[case::begun(Stored {
    decisions: vec![assign(1, 0), begin(1)], phase: Phase::Running, earlier: (true, Some(0)),
})]
#[case::evicted(Stored {
    decisions: vec![assign(1, 0), begin(1), evict(1, 3)],
    phase: Phase::Evicted,
    earlier: (false, Some(1)),
})]
#[case::assigned_again(Stored {
    decisions: vec![assign(1, 0), begin(1), evict(1, 3), assign(2, 3)],
    phase: Phase::Evicted,
    earlier: (true, Some(1)),
})]
#[case::resumed(Stored {
    decisions: vec![assign(1, 0), begin(1), evict(1, 3), assign(2, 3), begin(2)],
    phase: Phase::Running,
    earlier: (true, Some(0)),
})]
#[case::done(Stored {
    decisions: vec![assign(1, 0), begin(1), finish(1, Outcome::Done)],
    phase: Phase::Done,
    earlier: (false, None),
})]
fn snapshots_are_decoded_by_earlier_versions(#[case] case: Stored) {
    let mut runs = JobRecords::default();
    runs.submit(1, spec());
    for (index, decision) in (2..).zip(&case.decisions) {
        assert!(runs.apply(index, decision), "{decision:?}");
    }
    let run = runs.get(&name("oak")).unwrap();
    let bytes = crate::peer::encode(run);
    let earlier: EarlierRecord = crate::peer::decode(&bytes).expect("an earlier record");
    let leaving = earlier.leaving.as_ref().map(Vec::len);
    assert_eq!((earlier.members.is_some(), leaving), case.earlier);
    let read: JobRecord = crate::peer::decode(&crate::peer::encode(&earlier)).expect("a record");
    assert_eq!((&read, read.step().phase), (run, case.phase));
}
