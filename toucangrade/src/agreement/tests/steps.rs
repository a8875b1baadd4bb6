//! Tests of single steps of one instance, which scripts of a whole group do not cover.

use bytes::Bytes;
use rstest::rstest;

use super::group::name;
use crate::agreement::fake_disk::FakeDisk;
use crate::agreement::message::Change;
use crate::agreement::storage::Storage;
use crate::agreement::*;
use crate::core::{Moment, Verdict};

pub(super) fn replica(n: &str, identity: u64) -> Replica {
    Replica { name: name(n), identity }
}

pub(super) fn at(millis: u64) -> Moment {
    Moment::micros(millis * 1_000)
}

/// Instance `a` of a group of three. Its log has entries with these terms after a snapshot at index
/// 1.
pub(super) fn instance(term: u64, terms: &[u64]) -> Agreement {
    let entry = |(n, term): (usize, &u64)| Entry {
        index: n as u64 + 2,
        term: *term,
        payload: Payload::Command(Bytes::new()),
    };
    let members = Members::voting([replica("a", 1), replica("b", 2), replica("c", 3)]);
    let recovered = Recovered {
        identity: 1,
        term,
        snapshot: Snapshot { index: 1, term: 1, members, members_at: 1, state: Bytes::new() },
        entries: terms.iter().enumerate().map(entry).collect(),
        ..Recovered::default()
    };
    let settings = Settings { name: name("a"), founders: Vec::new(), seed: 1, target_voters: None };
    Agreement::new(settings, recovered, at(0))
}

pub(super) fn peer(from: Replica, term: u64, body: Body) -> Message {
    Message::Peer(PeerMessage { from, target: 1, term, members_at: 1, body })
}

/// Makes `a` the leader of the term after `term` with the votes of `b`.
pub(super) fn leader(term: u64, terms: &[u64]) -> Agreement {
    let mut a = instance(term, terms);
    a.step(at(1_100), Message::Tick);
    for pre in [true, false] {
        let granted = Body::VoteReply { pre, granted: true };
        a.step(at(1_100), peer(replica("b", 2), term + 1, granted));
        let upto = a.seq;
        a.step(at(1_100), Message::Synced { upto });
    }
    let granted = Body::VoteReply { pre: false, granted: true };
    a.step(at(1_100), peer(replica("b", 2), term + 1, granted));
    assert_eq!(a.leading(), Some(term + 1));
    a
}

struct CommitCase {
    matched: u64,
    commit: u64,
}

/// Guards against committing an entry of an earlier term because a majority has it, although a
/// later leader may still replace it (figure 8 of the Raft paper).
#[rstest]
#[case::earlier_term(CommitCase { matched: 3, commit: 1 })]
#[case::own_term(CommitCase { matched: 4, commit: 4 })]
fn earlier_terms_commit_with_current_term(#[case] case: CommitCase) {
    let mut a = leader(5, &[2, 2]);
    let upto = a.seq;
    a.step(at(1_110), Message::Synced { upto });
    let matched = case.matched;
    a.step(at(1_120), peer(replica("b", 2), 6, Body::Appended { matched }));
    assert_eq!(a.commit, case.commit);
}

struct VoteCase {
    from: Replica,
    term: u64,
    last: (u64, u64),
    granted: bool,
}

/// Guards against a second vote in one term, also after a restart, and against votes for a
/// candidate that may lack committed entries.
#[rstest]
#[case::same_candidate(VoteCase { from: replica("b", 2), term: 6, last: (2, 3), granted: true })]
#[case::other_candidate(VoteCase { from: replica("c", 3), term: 6, last: (2, 3), granted: false })]
#[case::later_term(VoteCase { from: replica("c", 3), term: 7, last: (2, 3), granted: true })]
#[case::shorter_log(VoteCase { from: replica("c", 3), term: 7, last: (2, 2), granted: false })]
#[case::earlier_last_term(VoteCase { from: replica("c", 3), term: 7, last: (1, 9), granted: false })]
#[case::other_identity(VoteCase { from: replica("c", 4), term: 7, last: (2, 3), granted: false })]
fn votes_are_durable(#[case] case: VoteCase) {
    let disk = FakeDisk::default();
    let (mut storage, _) = Storage::open(disk.disk(), replica("a", 1)).expect("opens");
    let vote =
        |(last_term, last_index)| Body::Vote { last_index, last_term, pre: false, transfer: false };
    let mut a = instance(5, &[2, 2]);
    let effects = a.step(at(600), peer(replica("b", 2), 6, vote((2, 3))));
    let granted = |effects: &[Effect]| {
        effects.iter().any(|effect| {
            matches!(effect, Effect::Send { body, .. }
                if matches!(body.body, Body::VoteReply { granted: true, .. }))
        })
    };
    assert!(!granted(&effects), "voted before the vote was durable");
    for effect in effects {
        if let Effect::Store { store, .. } = effect {
            storage.perform(&store).expect("stored");
        }
    }
    disk.crash(&mut 1);
    let (_, recovered) = Storage::open(disk.disk(), replica("a", 9)).expect("opens");
    let mut a = instance(recovered.term, &[2, 2]);
    a.vote = recovered.vote;
    let mut effects = a.step(at(600), peer(case.from, case.term, vote(case.last)));
    let upto = a.seq;
    effects.extend(a.step(at(600), Message::Synced { upto }));
    assert_eq!(granted(&effects), case.granted);
}

struct LeaseCase {
    /// Milliseconds after the sending of the last answered heartbeat.
    after: u64,
    ready: bool,
}

/// Guards against a lease that lasts longer than the time in which a follower with a 5% faster
/// clock grants no vote.
#[rstest]
#[case::within(LeaseCase { after: 449, ready: true })]
#[case::over(LeaseCase { after: 451, ready: false })]
#[case::nearly_election(LeaseCase { after: 480, ready: false })]
fn leases_end_early(#[case] case: LeaseCase) {
    let mut a = leader(5, &[]);
    let upto = a.seq;
    a.step(at(1_100), Message::Synced { upto });
    let sent = at(1_100).as_micros();
    let matched = a.log.last();
    let reply = Body::HeartbeatReply { matched, sent };
    a.step(at(1_101), peer(replica("b", 2), 6, reply));
    assert_eq!(a.commit, matched);
    let effects = a.step(at(1_100 + case.after), Message::Read { ticket: 1 });
    let ready = effects.iter().any(|e| matches!(e, Effect::ReadReady { .. }));
    assert_eq!(ready, case.ready);
}

/// Indices that the follower `a` acknowledged as durable, in the order of its replies.
fn matched(effects: &[Effect]) -> Vec<u64> {
    let matched = effects.iter().filter_map(|effect| match effect {
        Effect::Send { body, .. } => match body.body {
            Body::Appended { matched } | Body::HeartbeatReply { matched, .. } => Some(matched),
            _ => None,
        },
        _ => None,
    });
    matched.collect()
}

fn append(prev: (u64, u64), indices: std::ops::RangeInclusive<u64>, term: u64) -> Body {
    let entry = |index| Entry { index, term, payload: Payload::Noop };
    Body::Append {
        prev_index: prev.0,
        prev_term: prev.1,
        commit: 1,
        entries: indices.map(entry).collect(),
    }
}

/// Guards against a sync of replaced entries that is counted for the entries that replace them.
#[test]
fn replaced_entries_do_not_count_as_durable() {
    let mut a = instance(5, &[]);
    let effects = a.step(at(1), peer(replica("b", 2), 5, append((1, 1), 2..=5, 5)));
    assert!(matched(&effects).is_empty(), "acknowledged before the sync");
    let upto = a.seq;
    a.step(at(2), peer(replica("c", 3), 6, append((2, 5), 3..=3, 6)));
    let effects = a.step(at(3), Message::Synced { upto });
    assert_eq!(matched(&effects), [2]);
    let upto = a.seq;
    let effects = a.step(at(4), Message::Synced { upto });
    assert_eq!(matched(&effects), [3]);
}

struct SnapshotCase {
    /// Terms of the log that the snapshot replaces.
    replaced: &'static [u64],
}

/// Guards against acknowledging a snapshot before it is durable.
#[rstest]
#[case::shorter_log(SnapshotCase { replaced: &[] })]
#[case::longer_log(SnapshotCase { replaced: &[2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2] })]
fn snapshots_count_once_durable(#[case] case: SnapshotCase) {
    let mut a = instance(5, case.replaced);
    let part = Snapshot {
        index: 9,
        term: 4,
        members: a.members().clone(),
        members_at: 1,
        state: Bytes::from_static(b"state"),
    };
    let chunk = Body::Chunk { part, offset: 0, total: 5 };
    let mut effects = a.step(at(1), peer(replica("b", 2), 5, chunk));
    let (commit, sent) = (9, 0);
    let heartbeat = Body::Heartbeat { commit, sent };
    effects.extend(a.step(at(2), peer(replica("b", 2), 5, heartbeat)));
    assert!(matched(&effects).iter().all(|&matched| matched < 9), "{effects:?}");
    let upto = a.seq;
    let effects = a.step(at(3), Message::Synced { upto });
    assert_eq!(matched(&effects), [9]);
}

struct ChunkCase {
    /// Offset and content of each chunk of the state `abcdef`.
    chunks: &'static [(u64, &'static [u8])],
    /// Offset in the last reply.
    offset: u64,
    installed: bool,
}

/// Guards against a corrupt snapshot when chunks are repeated, delayed or lost.
#[rstest]
#[case::in_order(ChunkCase { chunks: &[(0, b"abc"), (3, b"def")], offset: 6, installed: true })]
#[case::repeated(ChunkCase { chunks: &[(0, b"abc"), (0, b"abc"), (3, b"def")], offset: 6, installed: true })]
#[case::lost(ChunkCase { chunks: &[(3, b"def")], offset: 0, installed: false })]
#[case::late(ChunkCase { chunks: &[(0, b"abc"), (3, b"d"), (0, b"abc")], offset: 4, installed: false })]
fn chunks_assemble_the_snapshot(#[case] case: ChunkCase) {
    let mut a = instance(5, &[]);
    // The first step installs the snapshot that the instance started from.
    let mut effects = a.step(at(0), Message::Tick);
    for (offset, data) in case.chunks {
        let part = Snapshot {
            index: 9,
            term: 4,
            members: a.members().clone(),
            members_at: 1,
            state: Bytes::from_static(data),
        };
        let chunk = Body::Chunk { part, offset: *offset, total: 6 };
        effects = a.step(at(1), peer(replica("b", 2), 5, chunk));
    }
    let offset = effects.iter().find_map(|effect| match effect {
        Effect::Send { body, .. } => match body.body {
            Body::ChunkReply { offset, .. } => Some(offset),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(offset, Some(case.offset));
    let installed = effects.iter().find_map(|effect| match effect {
        Effect::Install { state, .. } => Some(state.clone()),
        _ => None,
    });
    assert_eq!(installed, case.installed.then(|| Bytes::from_static(b"abcdef")));
}

struct BatchCase {
    limit: usize,
    syncs: usize,
}

/// Guards against a separate sync for each proposal with group commit.
#[rstest]
#[case::group_commit(BatchCase { limit: usize::MAX, syncs: 2 })]
#[case::single(BatchCase { limit: 1, syncs: 100 })]
fn proposals_share_a_sync(#[case] case: BatchCase) {
    let mut a = leader(5, &[]);
    a.limit_batch(case.limit);
    let mut syncs = 0;
    for ticket in 0..100 {
        let command = Bytes::from_static(b"x");
        a.step(at(1_100), Message::Propose { ticket, command });
    }
    while a.durable < a.log.last() {
        syncs += 1;
        let upto = a.seq;
        a.step(at(1_100), Message::Synced { upto });
    }
    assert_eq!(syncs, case.syncs);
}

/// Guards against two concurrent membership changes, whose quorums need not overlap.
#[test]
fn one_membership_change_at_a_time() {
    let mut a = leader(5, &[]);
    let mut refused = |ticket, change| {
        let effects = a.step(at(1_100), Message::Change { ticket, change });
        effects.iter().any(|e| matches!(e, Effect::Reject { .. }))
    };
    let add = |n: &str| Change::Add(replica(n, 9));
    assert!(refused(1, add("d")), "changed before an entry of the own term was committed");
    let upto = a.seq;
    a.step(at(1_100), Message::Synced { upto });
    let matched = a.log.last();
    a.step(at(1_100), peer(replica("b", 2), 6, Body::Appended { matched }));
    let mut refused = |ticket, change| {
        let effects = a.step(at(1_100), Message::Change { ticket, change });
        effects.iter().any(|e| matches!(e, Effect::Reject { .. }))
    };
    assert!(refused(2, Change::Remove(name("d"))), "removed a name that is no member");
    assert!(!refused(3, add("d")));
    assert!(refused(4, add("e")), "a second change began before the first was committed");
}

struct VerdictCase {
    reason: Rejection,
    verdict: Verdict,
}

/// Guards against reporting a proposal as not run that may still be committed.
#[rstest]
#[case::change(VerdictCase { reason: Rejection::Change("x"), verdict: Verdict::NotRun })]
#[case::lost(VerdictCase { reason: Rejection::LostLeadership, verdict: Verdict::MayHaveRun })]
#[case::follower(VerdictCase { reason: Rejection::NotLeader { leader: None }, verdict: Verdict::NotRun })]
#[case::storage(VerdictCase { reason: Rejection::Storage { reason: String::new() }, verdict: Verdict::NotRun })]
#[case::large(VerdictCase { reason: Rejection::TooLarge { size: 2, limit: 1 }, verdict: Verdict::NotRun })]
#[case::many(VerdictCase { reason: Rejection::TooMany { waiting: 1 }, verdict: Verdict::NotRun })]
fn rejections_have_verdicts(#[case] case: VerdictCase) {
    assert_eq!(case.reason.verdict(), case.verdict);
}

/// Guards against a state that can't be serialised for the state dump.
#[test]
fn state_is_json() {
    let a = leader(5, &[2, 2]);
    let state = serde_json::to_value(&a).expect("state as JSON");
    assert_eq!(state["term"], 6);
}
