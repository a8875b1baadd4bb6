//! Tests of attempts, verdicts and partition ownership.

use bytes::Bytes;
use rstest::rstest;

use super::*;
use crate::admission::Report;
use crate::claims::{self, Reply};
use crate::core::{Answer, Checkpoint, Verdict};
use crate::retry;
use crate::routing::Target;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn key() -> Key {
    Key::new("k").unwrap()
}

fn at(millis: u64) -> Moment {
    Moment::START + Span::millis(millis)
}

fn owned(entry: &str, epoch: u64, clean: bool) -> Owned {
    let addr = Some("127.0.0.1:2".parse().unwrap());
    Owned { entry: name(entry), incarnation: 1, epoch, clean, addr }
}

fn owners(entry: &str, epoch: u64, clean: bool, until: u64, surplus: Vec<u32>) -> Message {
    let owners = (0..PARTITIONS).map(|p| (p, owned(entry, epoch, clean))).collect();
    Message::Owners { owners, until: at(until), surplus }
}

fn begin(class: Class, ticket: u64, body: &'static str) -> Message {
    Message::Begin(Admitted {
        ticket,
        service: name("balcao"),
        kind: name("quote"),
        class,
        key: Some(key()),
        deadline: at(5_000),
        lease: Span::millis(1_000),
        revision: 1,
        body: Bytes::from(body),
    })
}

fn chosen(attempt: u32) -> Message {
    let target = Target {
        agent: name("a"),
        addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        centre: name("olinda"),
        start_by: at(500),
    };
    Message::Chosen { key: key(), attempt, target, candidates: Vec::new() }
}

fn report(attempt: u32, report: Result<Report, CallError>) -> Message {
    Message::Outcome { key: key(), attempt, report }
}

fn answer() -> Report {
    Report::Ended(Answer { status: 200, media: String::new(), body: Bytes::from("whole") })
}

fn refused() -> Report {
    Report::Refused { code: "full".to_owned(), reason: "full".to_owned(), after: None }
}

fn lost() -> Report {
    Report::Lost { reason: "cut".to_owned() }
}

fn evicted(checkpoint: &str) -> Report {
    Report::Evicted { checkpoint: Checkpoint::new(checkpoint).unwrap() }
}

fn granted(attempt: u32, fence: u64, from: Option<&str>) -> Message {
    let resume = from
        .map(|name| claims::Resume { checkpoint: Checkpoint::new(name).unwrap(), evictions: 1 });
    claimed(attempt, Some(Reply::Granted { fence, resume }))
}

fn claimed(attempt: u32, reply: Option<Reply>) -> Message {
    Message::Claimed { key: key(), attempt, reply }
}

/// Summary of each effect that the cases check.
fn summarise(effects: Vec<Effect>) -> Vec<String> {
    let summary = |effect| match effect {
        Effect::Answer { completion: Completion::Answer(answer), .. } => {
            Some(format!("answer {}", String::from_utf8_lossy(&answer.body)))
        },
        Effect::Answer { completion: Completion::Refused(refusal), .. } => {
            Some(format!("{} {}", refusal.code, refusal.verdict))
        },
        Effect::QueryAttempt { .. } => Some("ask".to_owned()),
        Effect::Call { start, .. } => {
            let from = start.resume.map(|resume| format!(" from {}", resume.checkpoint));
            Some(format!("call {}{}", start.fence & 0xfffff, from.unwrap_or_default()))
        },
        Effect::Claim { command, .. } => Some(match command.action {
            claims::Action::Attempt { .. } => "claim".to_owned(),
            claims::Action::Deny => "deny".to_owned(),
            claims::Action::Evict { fence, .. } => format!("evict {fence}"),
            claims::Action::Read => "read".to_owned(),
            claims::Action::Release { fence } => format!("release {fence}"),
            claims::Action::Settle { fence, .. } => format!("settle {fence}"),
        }),
        Effect::Forward { .. } => Some("forward".to_owned()),
        Effect::ListOpenClaims { .. } => None,
        Effect::Pick(pick) => Some(format!("pick {}", pick.attempt)),
        Effect::Record { .. } | Effect::ReleaseAgent { .. } => None,
        Effect::Released(released) => Some(format!("released {}", released.len())),
    };
    effects.into_iter().filter_map(summary).collect()
}

fn open_claim(fence: u64) -> Message {
    let Message::Chosen { target, .. } = chosen(1) else { unreachable!() };
    let grant = Some(claims::Grant { target, fence, lease: Span::millis(1_000) });
    Message::OpenClaims { claims: vec![(key(), claim(grant, None))] }
}

fn open_batch_claim(fence: u64) -> Message {
    let Message::OpenClaims { mut claims } = open_claim(fence) else { unreachable!() };
    claims.iter_mut().for_each(|(_, claim)| claim.class = Class::Batch);
    Message::OpenClaims { claims }
}

fn claim(grant: Option<claims::Grant>, outcome: Option<claims::Outcome>) -> claims::Claim {
    let (service, kind, digest) = (name("balcao"), name("quote"), digest(b"q"));
    let class = Class::Once;
    claims::Claim { service, kind, class, digest, epoch: 1, grant, outcome, since: 1, resume: None }
}

fn forwarded(ticket: u64, origin_ticket: u64) -> Message {
    let Message::Begin(admitted) = begin(Class::Quick, origin_ticket, "q") else { unreachable!() };
    Message::ReceiveForwarded { ticket, admitted, hop: ForwardRoute { origin: 7, owner: 1 } }
}

struct Case {
    messages: Vec<(u64, Message)>,
    expected: Vec<&'static str>,
}

/// Guards against overlapping or repeated attempts, wrong verdicts and lost answers.
#[rstest]
#[case::quick(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Ok(answer()))),
    ],
    expected: vec!["pick 1", "call 1", "answer whole"],
})]
#[case::resend_joins_and_gets_same_answer(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (0, begin(Class::Quick, 2, "q")),
        (1, report(1, Ok(answer()))), (2, begin(Class::Quick, 3, "q")),
    ],
    expected: vec!["pick 1", "call 1", "answer whole", "answer whole", "answer whole"],
})]
#[case::key_reuse_with_other_body_is_refused(Case {
    messages: vec![(0, begin(Class::Quick, 1, "q")), (0, begin(Class::Quick, 2, "r"))],
    expected: vec!["pick 1", "key-reused not-run"],
})]
#[case::refusal_is_retried(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Ok(refused()))),
        (100, Message::Tick), (100, chosen(2)), (101, report(2, Ok(answer()))),
    ],
    expected: vec!["pick 1", "call 1", "pick 2", "call 2", "answer whole"],
})]
#[case::late_report_of_an_earlier_attempt(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Ok(refused()))),
        (100, Message::Tick), (100, chosen(2)), (101, report(1, Ok(answer()))),
    ],
    expected: vec!["pick 1", "call 1", "pick 2", "call 2"],
})]
#[case::lost_answer_blocks_the_next_attempt(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Err(CallError::Lost))),
        (60, Message::Tick), (61, report(1, Err(CallError::Connect))), (1_500, Message::Tick),
        (1_501, report(1, Err(CallError::Timeout))), (4_000, Message::Tick), (4_100, Message::Tick),
    ],
    expected: vec!["pick 1", "call 1", "ask", "ask", "pick 2"],
})]
#[case::unsent_is_retried_at_once(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Err(CallError::Connect))),
        (100, Message::Tick),
    ],
    expected: vec!["pick 1", "call 1", "pick 2"],
})]
#[case::timeout_before_start_is_not_run(Case {
    messages: vec![(0, begin(Class::Quick, 1, "q")), (5_000, Message::Tick)],
    expected: vec!["pick 1", "deadline-passed not-run"],
})]
#[case::timeout_after_start_may_have_run(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (5_000, Message::Tick),
        (5_001, report(1, Ok(answer()))), (5_002, begin(Class::Quick, 2, "q")),
    ],
    expected: vec!["pick 1", "call 1", "outcome-unknown may-have-run", "answer whole"],
})]
#[case::once_needs_a_claim(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
        (2, report(1, Ok(answer()))), (3, claimed(1, Some(Reply::Done))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "settle 9", "answer whole"],
})]
#[case::once_never_runs_again_when_lost(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
        (2, report(1, Ok(lost()))), (3, claimed(1, Some(Reply::Done))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "settle 9", "outcome-unknown may-have-run"],
})]
#[case::once_refused_is_released_first(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
        (2, report(1, Ok(refused()))), (3, claimed(1, Some(Reply::Done))), (100, Message::Tick),
    ],
    expected: vec!["pick 1", "claim", "call 9", "release 9", "pick 2"],
})]
#[case::once_reads_claim_before_not_run(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (5_000, Message::Tick), (5_001, claimed(1, Some(Reply::Done))),
    ],
    expected: vec!["pick 1", "read", "deadline-passed not-run"],
})]
#[case::once_without_control_is_not_called(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, None)), (201, Message::Tick),
        (5_000, Message::Tick),
    ],
    expected: vec!["pick 1", "claim", "claim", "outcome-unknown may-have-run", "claim"],
})]
#[case::once_refused_by_non_owner_is_denied_first(Case {
    messages: vec![
        (0, owners("other", 2, true, 9_000, vec![])), (0, begin(Class::Once, 1, "q")),
        (1, Message::ForwardReplied { key: key(), ticket: 1, completion: Err(CallError::Connect) }),
        (2, claimed(0, Some(Reply::Denied { at: 5 }))),
    ],
    expected: vec!["forward", "deny", "owner-unreachable not-run"],
})]
#[case::once_without_a_denial_may_have_run(Case {
    messages: vec![
        (0, owners("other", 2, true, 9_000, vec![])), (0, begin(Class::Once, 1, "q")),
        (1, Message::ForwardReplied { key: key(), ticket: 1, completion: Err(CallError::Connect) }),
        (2, claimed(0, None)),
    ],
    expected: vec!["forward", "deny", "outcome-unknown may-have-run"],
})]
#[case::denied_once_is_not_called(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Denied { at: 5 }))),
    ],
    expected: vec!["pick 1", "claim", "denied not-run"],
})]
#[case::batch_runs_again_after_loss(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
        (2, report(1, Ok(lost()))), (3, claimed(1, Some(Reply::Done))), (100, Message::Tick),
    ],
    expected: vec!["pick 1", "claim", "call 9", "release 9", "pick 2"],
})]
#[case::restarted_agent_blocks_until_the_lease_ends(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Err(CallError::Lost))),
        (60, Message::Tick), (61, report(1, Ok(Report::Forgotten))), (1_500, Message::Tick),
        (1_600, Message::Tick), (1_700, Message::Tick),
    ],
    expected: vec!["pick 1", "call 1", "ask", "pick 2"],
})]
#[case::expired_partition_lease_starts_nothing(Case {
    messages: vec![
        (0, owners("me", 1, true, 1_000, vec![])), (1_000, begin(Class::Quick, 1, "q")),
    ],
    expected: vec!["no-owner not-run"],
})]
#[case::key_of_other_owner_is_forwarded(Case {
    messages: vec![(0, owners("other", 2, true, 9_000, vec![])), (0, begin(Class::Quick, 1, "q"))],
    expected: vec!["forward"],
})]
#[case::unclean_partition_waits(Case {
    messages: vec![
        (0, owners("me", 2, false, 9_000, vec![])), (0, begin(Class::Quick, 1, "q")),
        (1_500, Message::Tick), (1_600, Message::Tick),
    ],
    expected: vec!["pick 1"],
})]
#[case::late_grant_of_an_earlier_record(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Mismatch))),
        (2, begin(Class::Once, 2, "q")), (2, chosen(2)), (3, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
    ],
    expected: vec!["pick 1", "claim", "key-reused not-run", "pick 2", "claim"],
})]
#[case::fences_are_not_used_again(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Ok(refused()))),
        (5_000, Message::Tick), (5_000, begin(Class::Quick, 2, "q")), (5_000, chosen(2)),
    ],
    expected: vec!["pick 1", "call 1", "deadline-passed not-run", "pick 2", "call 2"],
})]
#[case::grant_after_the_partition_lease(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (0, owners("me", 1, true, 500, vec![])),
        (600, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
    ],
    expected: vec!["pick 1", "claim", "release 9"],
})]
#[case::partition_is_granted_again(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)), (1, report(1, Ok(refused()))),
        (2, owners("other", 2, false, 9_000, vec![])), (3, owners("me", 3, false, 9_000, vec![])),
        (100, Message::Tick), (1_592, Message::Tick), (1_593, Message::Tick),
    ],
    expected: vec!["pick 1", "call 1", "pick 3"],
})]
#[case::older_owners_are_ignored(Case {
    messages: vec![
        (1, owners("other", 2, true, 9_000, vec![])), (2, owners("me", 1, true, 9_000, vec![])),
        (3, begin(Class::Quick, 1, "q")),
    ],
    expected: vec!["forward"],
})]
#[case::outdated_settle_is_repeated(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
        (2, report(1, Ok(answer()))), (3, owners("me", 3, false, 9_000, vec![])),
        (4, claimed(1, Some(Reply::Outdated))), (5, claimed(1, Some(Reply::Done))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "settle 9", "settle 9", "answer whole"],
})]
#[case::outcome_in_the_log_takes_precedence(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
        (2, report(1, Ok(lost()))),
        (3, claimed(1, Some(Reply::Existing(Box::new(claim(None, Some(
            claims::Outcome::Dropped { status: 200 },
        ))))))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "settle 9", "answer-dropped ran"],
})]
#[case::open_claim_is_settled_without_a_caller(Case {
    messages: vec![
        (0, open_claim(9)), (1, report(1, Ok(answer()))), (2, claimed(1, Some(Reply::Done))), (3, open_claim(9)),
        (4, begin(Class::Once, 1, "q")),
    ],
    expected: vec!["ask", "settle 9", "answer whole"],
})]
#[case::open_claim_that_never_started(Case {
    messages: vec![
        (0, open_claim(9)), (1, report(1, Ok(refused()))), (2, claimed(1, Some(Reply::Done))),
        (3, begin(Class::Once, 1, "q")),
    ],
    expected: vec!["ask", "release 9", "pick 2"],
})]
#[case::copy_of_a_forwarded_request(Case {
    messages: vec![
        (0, forwarded(1, 5)), (5_000, Message::Tick), (5_001, forwarded(2, 5)),
        (5_002, forwarded(3, 6)),
    ],
    expected: vec!["pick 1", "deadline-passed not-run", "outcome-unknown may-have-run", "pick 2"],
})]
#[case::claims_without_callers_allow_release(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, claimed(1, Some(Reply::Granted { fence: 9, resume: None }))),
        (1, owners("me", 1, true, 9_000, vec![key().partition(PARTITIONS)])), (5_000, Message::Tick),
    ],
    expected: vec!["pick 1", "claim", "call 9", "outcome-unknown may-have-run", "released 1"],
})]
#[case::surplus_is_released_when_idle(Case {
    messages: vec![
        (0, begin(Class::Quick, 1, "q")), (0, chosen(1)),
        (1, owners("me", 1, true, 9_000, (0..PARTITIONS).collect())),
        (2, report(1, Ok(answer()))), (3, Message::Tick),
    ],
    expected: vec!["pick 1", "call 1", "released 63", "answer whole", "released 64"],
})]
#[case::evicted_batch_resumes(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (0, chosen(1)), (1, granted(1, 9, None)),
        (2, report(1, Ok(evicted("c")))), (3, claimed(1, Some(Reply::Done))), (3, chosen(2)),
        (4, granted(2, 11, Some("c"))), (5, report(2, Ok(answer()))), (6, claimed(2, Some(Reply::Done))),
    ],
    expected: vec![
        "pick 1", "claim", "call 9", "evict 9", "pick 2", "claim", "call 11 from c", "settle 11",
        "answer whole",
    ],
})]
#[case::lost_eviction_report_is_asked_for(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (0, chosen(1)), (1, granted(1, 9, None)),
        (2, report(1, Err(CallError::Lost))), (60, Message::Tick), (61, report(1, Ok(evicted("c")))),
        (62, claimed(1, Some(Reply::Done))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "ask", "evict 9", "pick 2"],
})]
#[case::duplicate_eviction_report(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (0, chosen(1)), (1, granted(1, 9, None)),
        (2, report(1, Ok(evicted("c")))), (2, report(1, Ok(evicted("c")))),
        (3, claimed(1, Some(Reply::Done))), (4, claimed(1, Some(Reply::Done))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "evict 9", "pick 2"],
})]
#[case::late_eviction_report_of_an_older_fence(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (0, chosen(1)), (1, granted(1, 9, None)),
        (2, report(1, Ok(evicted("c")))), (3, claimed(1, Some(Reply::Done))), (3, chosen(2)),
        (4, granted(2, 11, Some("c"))), (5, report(1, Ok(evicted("c")))), (6, report(2, Ok(answer()))),
    ],
    expected: vec![
        "pick 1", "claim", "call 9", "evict 9", "pick 2", "claim", "call 11 from c", "settle 11",
    ],
})]
#[case::eviction_is_sent_to_the_log_again(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (0, chosen(1)), (1, granted(1, 9, None)),
        (2, report(1, Ok(evicted("c")))), (3, claimed(1, None)), (203, Message::Tick),
        (204, claimed(1, Some(Reply::Done))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "evict 9", "evict 9", "pick 2"],
})]
#[case::later_owner_continues_from_the_checkpoint(Case {
    messages: vec![
        (0, owners("me", 2, false, 9_000, vec![])), (0, begin(Class::Batch, 1, "q")), (0, chosen(1)),
        (1, granted(1, 11, Some("c"))), (2, report(1, Ok(refused()))), (3, claimed(1, Some(Reply::Done))),
        (4_999, owners("other", 3, true, 9_000, vec![])), (4_999, Message::Tick),
    ],
    expected: vec!["pick 1", "claim", "call 11 from c", "release 11", "not-owner may-have-run"],
})]
#[case::open_claim_that_was_evicted_waits_for_a_caller(Case {
    messages: vec![
        (0, open_batch_claim(9)), (1, report(1, Ok(evicted("c")))), (2, claimed(1, Some(Reply::Done))),
        (3, begin(Class::Batch, 1, "q")), (3, chosen(2)), (4, granted(2, 11, Some("c"))),
    ],
    expected: vec!["ask", "evict 9", "pick 2", "claim", "call 11 from c"],
})]
#[case::agent_restarts_during_eviction(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (0, chosen(1)), (1, granted(1, 9, Some("c"))),
        (2, report(1, Err(CallError::Lost))), (60, Message::Tick), (61, report(1, Ok(Report::Forgotten))),
        (1_500, Message::Tick), (1_600, Message::Tick), (1_601, claimed(1, Some(Reply::Done))),
        (1_700, Message::Tick), (1_700, chosen(2)), (1_701, granted(2, 11, Some("c"))),
    ],
    expected: vec![
        "pick 1", "claim", "call 9 from c", "ask", "release 9", "pick 2", "claim", "call 11 from c",
    ],
})]
#[case::once_is_never_resumed(Case {
    messages: vec![
        (0, begin(Class::Once, 1, "q")), (0, chosen(1)), (1, granted(1, 9, None)),
        (2, report(1, Ok(evicted("c")))),
    ],
    expected: vec!["pick 1", "claim", "call 9", "settle 9"],
})]
#[case::evicted_claim_without_an_attempt_may_have_run(Case {
    messages: vec![
        (0, begin(Class::Batch, 1, "q")), (5_000, Message::Tick),
        (5_001, claimed(1, Some(Reply::Existing(Box::new(claim(None, None)))))),
    ],
    expected: vec!["pick 1", "read", "deadline-passed may-have-run"],
})]
fn attempts_do_not_overlap(#[case] case: Case) {
    let mut execution = Execution::new(name("me"), 1);
    execution.step(Moment::START, owners("me", 1, true, 9_000, vec![]));
    let mut actual = Vec::new();
    for (millis, message) in case.messages {
        actual.extend(summarise(execution.step(at(millis), message)));
    }
    assert_eq!(actual, case.expected);
}

struct Unused {
    messages: Vec<(u64, Message)>,
    /// Number of chosen agents that are reported as unused.
    unused: usize,
}

/// Guards against chosen agents that get no attempt and are not reported to routing. An ejected
/// agent that was chosen as a probe then stayed in the probing state and got no more requests.
#[rstest]
#[case::called(Unused {
    messages: vec![(0, chosen(1)), (1, granted(1, 9, None))],
    unused: 0,
})]
#[case::key_used_elsewhere(Unused {
    messages: vec![(0, chosen(1)), (1, claimed(1, Some(Reply::Mismatch)))],
    unused: 1,
})]
#[case::newer_owner(Unused {
    messages: vec![(0, chosen(1)), (1, claimed(1, Some(Reply::Outdated)))],
    unused: 1,
})]
#[case::claim_is_repeated(Unused {
    messages: vec![
        (0, chosen(1)), (1, owners("me", 3, true, 9_000, vec![])),
        (2, claimed(1, Some(Reply::Outdated))), (3, granted(1, 9, None)),
    ],
    unused: 0,
})]
#[case::grant_after_the_partition_lease(Unused {
    messages: vec![
        (0, chosen(1)), (0, owners("me", 1, true, 500, vec![])), (600, granted(1, 9, None)),
    ],
    unused: 1,
})]
fn unused_agents_are_reported(#[case] case: Unused) {
    let mut execution = Execution::new(name("me"), 1);
    execution.step(Moment::START, owners("me", 1, true, 9_000, vec![]));
    execution.step(Moment::START, begin(Class::Once, 1, "q"));
    let mut unused = 0;
    for (millis, message) in case.messages {
        let effects = execution.step(at(millis), message);
        unused += effects.iter().filter(|e| matches!(e, Effect::ReleaseAgent { .. })).count();
    }
    assert_eq!(unused, case.unused);
}

/// Guards against generated keys in partitions of other entries, whose requests need forwarding.
#[test]
fn generated_keys_belong_to_the_entry() {
    let mut execution = Execution::new(name("me"), 1);
    let owners =
        (0..PARTITIONS).map(|p| (p, owned(if p == 5 { "me" } else { "other" }, 1, true))).collect();
    let until = at(9_000);
    execution.step(Moment::START, Message::Owners { owners, until, surplus: Vec::new() });
    for ticket in 0..100 {
        let Message::Begin(admitted) = begin(Class::Quick, ticket, "q") else { unreachable!() };
        let message = Message::Begin(Admitted { key: None, ..admitted });
        let effects = execution.step(Moment::START, message);
        let Some(Effect::Pick(pick)) = effects.into_iter().next() else { panic!("not picked") };
        assert_eq!(pick.key.partition(PARTITIONS), 5);
    }
}

/// Guards against a not-run verdict for a quick request that an earlier owner may have run.
#[test]
fn unclean_partition_is_refused_as_may_have_run() {
    let mut execution = Execution::new(name("me"), 1);
    execution.step(Moment::START, owners("me", 2, false, 9_000, vec![]));
    execution.step(Moment::START, begin(Class::Quick, 1, "q"));
    let effects = execution.step(at(5_000), Message::Tick);
    let verdict = effects.iter().find_map(|effect| match effect {
        Effect::Answer { completion: Completion::Refused(refusal), .. } => Some(refusal.verdict),
        _ => None,
    });
    assert_eq!(verdict, Some(Verdict::MayHaveRun));
}

/// Guards against a request that is never settled because its answer is too large for the log. The
/// caller still gets the whole answer.
#[test]
fn large_answer_is_settled_without_its_body() {
    let mut execution = Execution::new(name("me"), 1);
    execution.step(Moment::START, owners("me", 1, true, 9_000, vec![]));
    execution.step(Moment::START, begin(Class::Once, 1, "q"));
    execution.step(Moment::START, chosen(1));
    execution.step(at(1), claimed(1, Some(Reply::Granted { fence: 9, resume: None })));
    let body = Bytes::from(vec![7; 2 * 1024 * 1024]);
    let size = body.len();
    let whole = Report::Ended(Answer { status: 200, media: String::new(), body });
    let effects = execution.step(at(2), report(1, Ok(whole)));
    let settled = effects.iter().find_map(|effect| match effect {
        Effect::Claim { command, .. } => match &command.action {
            claims::Action::Settle { outcome, .. } => Some(outcome.clone()),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(settled, Some(claims::Outcome::Dropped { status: 200 }));
    let effects = execution.step(at(3), claimed(1, Some(Reply::Done)));
    let answered = effects.iter().find_map(|effect| match effect {
        Effect::Answer { completion: Completion::Answer(answer), .. } => Some(answer.body.len()),
        _ => None,
    });
    assert_eq!(answered, Some(size));
}

/// Guards against evictions that use up the retries of a request, and against a request that fails
/// although its callers wait and an agent may return within the resume window.
#[test]
fn evictions_do_not_count_as_attempts() {
    let mut execution = Execution::new(name("me"), 1);
    execution.step(Moment::START, owners("me", 1, true, 9_000, vec![]));
    execution.step(Moment::START, begin(Class::Batch, 1, "q"));
    let mut picked = 1;
    for eviction in 0..u64::from(claims::EVICTIONS_MAX) {
        let now = at(eviction);
        execution.step(now, chosen(picked));
        execution.step(now, granted(picked, eviction + 1, None));
        execution.step(now, report(picked, Ok(evicted("c"))));
        let actual = summarise(execution.step(now, claimed(picked, Some(Reply::Done))));
        picked += 1;
        assert_eq!(actual, [format!("pick {picked}")]);
    }
    let mut picks = 0;
    for millis in 10..4_500 {
        for effect in execution.step(at(millis), Message::Tick) {
            if let Effect::Pick(pick) = effect {
                picked = pick.attempt;
            }
        }
        let candidates = Vec::new();
        let unplaced = Message::NoAgent { key: key(), attempt: picked, candidates };
        picks += usize::from(matches!(execution.records[&key()].phase, Phase::Picking));
        assert_eq!(summarise(execution.step(at(millis), unplaced)), [""; 0]);
    }
    assert!(picks > retry::ATTEMPTS as usize, "{picks} attempts");
}
