//! Tests of grants, outcomes, denials and evictions of claims.

use bytes::Bytes;
use rstest::rstest;

use super::*;
use crate::core::Moment;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn attempt(epoch: u64, digest: &str) -> Command {
    let target = Target {
        agent: name("a"),
        addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        centre: name("olinda"),
        start_by: Moment::START,
    };
    let (service, kind, lease) = (name("balcao"), name("stock-order"), Span::secs(1));
    command(
        epoch,
        Action::Attempt {
            service,
            kind,
            class: Class::Once,
            digest: digest.to_owned(),
            target,
            lease,
            seen: 0,
        },
    )
}

/// An attempt that was requested after the denial at log index `seen`.
fn attempt_after(epoch: u64, seen: u64) -> Command {
    let mut command = attempt(epoch, "d");
    if let Action::Attempt { seen: known, .. } = &mut command.action {
        *known = seen;
    }
    command
}

fn command(epoch: u64, action: Action) -> Command {
    Command { key: Key::new("order-1").unwrap(), partition: 0, epoch, action }
}

fn settle(epoch: u64, fence: u64) -> Command {
    let answer = Answer { status: 200, media: String::new(), body: Bytes::from("done") };
    command(epoch, Action::Settle { fence, outcome: Outcome::Ran(answer) })
}

fn evict(epoch: u64, fence: u64, checkpoint: &str) -> Command {
    command(epoch, Action::Evict { fence, checkpoint: Checkpoint::new(checkpoint).unwrap() })
}

struct Case {
    /// Current epoch of the partition, and the command.
    commands: Vec<(u64, Command)>,
    replies: Vec<&'static str>,
}

/// Guards against open claims that are not listed for the next owner, and against released claims
/// that are never removed.
#[test]
fn open_claims_are_listed_until_they_end() {
    let mut claims = Claims::default();
    let listed = |claims: &Claims, after: Option<(u32, Key)>| {
        claims.list_open(&[0, 1], after.as_ref()).len()
    };
    claims.apply(1, 1, attempt(1, "d"));
    assert_eq!((claims.open_count(), listed(&claims, None)), (1, 1));
    assert_eq!(listed(&claims, Some((0, Key::new("order-1").unwrap()))), 0);
    assert_eq!(claims.list_open(&[1], None).len(), 0);
    claims.apply(2, 1, command(1, Action::Release { fence: 1 }));
    assert_eq!((claims.open_count(), claims.claims.len(), claims.open.len()), (0, 0, 0));
    claims.apply(3, 1, attempt(1, "d"));
    claims.apply(4, 1, settle(1, 3));
    assert_eq!((claims.open_count(), claims.claims.len(), claims.open.len()), (0, 1, 0));
}

/// Guards against a second grant while an earlier attempt may run, and against lost outcomes and
/// checkpoints.
#[rstest]
#[case::granted_once(Case {
    commands: vec![(1, attempt(1, "d")), (1, attempt(1, "d"))],
    replies: vec!["granted 1", "existing granted"],
})]
#[case::released_then_granted(Case {
    commands: vec![
        (1, attempt(1, "d")), (1, command(1, Action::Release { fence: 1 })), (1, attempt(1, "d")),
    ],
    replies: vec!["granted 1", "done", "granted 3"],
})]
#[case::stale_release_is_ignored(Case {
    commands: vec![
        (1, attempt(1, "d")),
        (1, command(1, Action::Release { fence: 1 })),
        (1, attempt(1, "d")),
        (1, command(1, Action::Release { fence: 1 })),
        (1, attempt(1, "d")),
    ],
    replies: vec!["granted 1", "done", "granted 3", "done", "existing granted"],
})]
#[case::settled_is_final(Case {
    commands: vec![(1, attempt(1, "d")), (1, settle(1, 1)), (1, attempt(1, "d")), (1, settle(1, 1))],
    replies: vec!["granted 1", "done", "existing settled", "existing settled"],
})]
#[case::settled_under_its_own_fence_only(Case {
    commands: vec![(1, attempt(1, "d")), (1, settle(1, 9)), (1, settle(1, 1))],
    replies: vec!["granted 1", "existing granted", "done"],
})]
#[case::old_owner_is_refused(Case {
    commands: vec![(2, attempt(1, "d")), (2, attempt(2, "d")), (2, settle(1, 2))],
    replies: vec!["outdated", "granted 2", "outdated"],
})]
#[case::denied_attempt_never_runs(Case {
    commands: vec![(1, command(0, Action::Deny)), (1, attempt(1, "d")), (1, attempt_after(1, 1))],
    replies: vec!["denied 1", "denied 1", "granted 3"],
})]
#[case::outcome_takes_precedence_over_a_denial(Case {
    commands: vec![
        (1, command(0, Action::Deny)), (1, attempt_after(1, 1)), (1, settle(1, 2)), (1, attempt(1, "d")),
    ],
    replies: vec!["denied 1", "granted 2", "done", "existing settled"],
})]
#[case::granted_is_not_denied(Case {
    commands: vec![(1, attempt(1, "d")), (1, command(0, Action::Deny))],
    replies: vec!["granted 1", "existing granted"],
})]
#[case::other_body(Case {
    commands: vec![(1, attempt(1, "d")), (1, attempt(1, "e"))],
    replies: vec!["granted 1", "mismatch"],
})]
#[case::evicted_then_granted_from_its_checkpoint(Case {
    commands: vec![
        (1, attempt(1, "d")), (1, evict(1, 1, "c")), (1, attempt(1, "d")), (1, attempt(1, "d")),
    ],
    replies: vec!["granted 1", "done", "granted 3 from c after 1", "existing granted"],
})]
#[case::eviction_counts_once(Case {
    commands: vec![
        (1, attempt(1, "d")), (1, evict(1, 1, "c")), (1, evict(1, 1, "e")), (1, attempt(1, "d")),
    ],
    replies: vec!["granted 1", "done", "done", "granted 4 from c after 1"],
})]
#[case::eviction_of_an_older_fence_changes_nothing(Case {
    commands: vec![
        (1, attempt(1, "d")), (1, evict(1, 1, "c")), (1, attempt(1, "d")), (1, evict(1, 1, "e")),
        (1, attempt(1, "d")), (1, evict(1, 3, "f")), (1, attempt(1, "d")),
    ],
    replies: vec![
        "granted 1", "done", "granted 3 from c after 1", "existing granted", "existing granted", "done",
        "granted 7 from f after 2",
    ],
})]
#[case::next_owner_resumes(Case {
    commands: vec![
        (1, attempt(1, "d")), (1, evict(1, 1, "c")), (2, evict(1, 1, "e")), (2, attempt(2, "d")),
    ],
    replies: vec!["granted 1", "done", "outdated", "granted 4 from c after 1"],
})]
#[case::release_keeps_the_checkpoint(Case {
    commands: vec![
        (1, attempt(1, "d")), (1, evict(1, 1, "c")), (1, attempt(1, "d")),
        (1, command(1, Action::Release { fence: 3 })), (1, attempt(1, "d")),
    ],
    replies: vec![
        "granted 1", "done", "granted 3 from c after 1", "done", "granted 5 from c after 1",
    ],
})]
#[case::evicted_is_not_denied(Case {
    commands: vec![
        (1, attempt(1, "d")), (1, evict(1, 1, "c")), (1, command(0, Action::Deny)),
        (1, command(1, Action::Read)), (1, attempt(1, "e")),
    ],
    replies: vec!["granted 1", "done", "existing evicted", "existing evicted", "mismatch"],
})]
#[case::settled_is_not_evicted(Case {
    commands: vec![(1, attempt(1, "d")), (1, settle(1, 1)), (1, evict(1, 1, "c"))],
    replies: vec!["granted 1", "done", "existing settled"],
})]
fn claims_permit_one_attempt(#[case] case: Case) {
    let mut claims = Claims::default();
    let replies: Vec<String> = (1..)
        .zip(case.commands)
        .map(|(index, (owner, command))| match claims.apply(index, owner, command) {
            Reply::Granted { fence, resume: None } => format!("granted {fence}"),
            Reply::Granted { fence, resume: Some(Resume { checkpoint, evictions }) } => {
                format!("granted {fence} from {checkpoint} after {evictions}")
            },
            Reply::Existing(claim) if claim.outcome.is_some() => "existing settled".to_owned(),
            Reply::Existing(claim) if claim.grant.is_none() => "existing evicted".to_owned(),
            Reply::Existing(_) => "existing granted".to_owned(),
            Reply::Denied { at } => format!("denied {at}"),
            Reply::Mismatch => "mismatch".to_owned(),
            Reply::Outdated => "outdated".to_owned(),
            Reply::Done => "done".to_owned(),
        })
        .collect();
    assert_eq!(replies, case.replies);
}

/// Guards against unbounded growth when the requests of evicted claims are never sent again.
#[test]
fn evicted_claims_are_bounded() {
    let mut claims = Claims::default();
    for number in 0..EVICTED_MAX as u64 + 10 {
        let key = Key::new(&format!("plan-{number}")).unwrap();
        let fence = 2 * number + 1;
        claims.apply(fence, 1, Command { key: key.clone(), ..attempt(1, "d") });
        claims.apply(fence + 1, 1, Command { key, ..evict(1, fence, "c") });
    }
    assert_eq!((claims.claims.len(), claims.evicted.len()), (EVICTED_MAX, EVICTED_MAX));
    assert_eq!((claims.open_count(), claims.open.len()), (0, 0));
}

/// Guards against snapshots of an earlier version, without `resume`, that can't be read.
#[test]
fn claims_without_checkpoints_are_read() {
    let mut claims = Claims::default();
    claims.apply(1, 1, attempt(1, "d"));
    let claim = claims.claims.values().next().unwrap();
    let bytes = rmp_serde::to_vec(claim).unwrap();
    // The first byte holds the number of fields, the last one is the absent checkpoint.
    let older = [&[bytes[0] - 1], &bytes[1..bytes.len() - 1]].concat();
    assert_eq!(&rmp_serde::from_slice::<Claim>(&older).unwrap(), claim);
}
