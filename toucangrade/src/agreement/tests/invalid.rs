//! Tests with messages that no correct instance of the group sends.

use bytes::Bytes;
use rstest::rstest;

use super::steps::{at, instance, leader, peer, replica};
use crate::agreement::message::Report;
use crate::agreement::*;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Noop }
}

fn append(prev_index: u64, prev_term: u64, entries: Vec<Entry>) -> Body {
    Body::Append { prev_index, prev_term, commit: 0, entries }
}

fn chunk(index: u64, term: u64, members: Members, offset: u64, total: u64) -> Body {
    let state = Bytes::from_static(b"state");
    Body::Chunk { part: Snapshot { index, term, members, members_at: 1, state }, offset, total }
}

fn group() -> Members {
    Members::voting([replica("a", 1), replica("b", 2), replica("c", 3)])
}

struct InvalidCase {
    term: u64,
    body: Body,
}

/// Guards against invalid messages that change the state of a follower or end the process. They
/// must be dropped with a report. An accepted term near the limit would be stored, and the next
/// election would overflow.
#[rstest]
#[case::last_term(InvalidCase { term: u64::MAX, body: Body::Heartbeat { commit: 0, sent: 0 } })]
#[case::last_term_but_one(InvalidCase { term: u64::MAX - 1, body: append(3, 2, vec![]) })]
#[case::vote_in_the_last_term(InvalidCase {
    term: u64::MAX,
    body: Body::Vote { last_index: 9, last_term: 9, pre: false, transfer: true },
})]
#[case::refusal_in_the_last_term(InvalidCase {
    term: u64::MAX, body: Body::VoteReply { pre: true, granted: false },
})]
#[case::gap(InvalidCase { term: 6, body: append(3, 2, vec![entry(5, 6)]) })]
#[case::backwards(InvalidCase { term: 6, body: append(3, 2, vec![entry(4, 6), entry(4, 6)]) })]
#[case::earlier_term(InvalidCase { term: 6, body: append(3, 2, vec![entry(4, 6), entry(5, 3)]) })]
#[case::later_term(InvalidCase { term: 6, body: append(3, 2, vec![entry(4, 7)]) })]
#[case::last_index(InvalidCase { term: 6, body: append(u64::MAX, 2, vec![entry(0, 6)]) })]
#[case::snapshot_without_members(InvalidCase { term: 6, body: chunk(9, 6, Members::none(), 0, 5) })]
#[case::snapshot_of_the_last_index(InvalidCase { term: 6, body: chunk(u64::MAX, 6, group(), 0, 5) })]
#[case::snapshot_of_a_later_term(InvalidCase { term: 6, body: chunk(9, 7, group(), 0, 5) })]
#[case::chunk_beyond_the_end(InvalidCase { term: 6, body: chunk(9, 6, group(), 0, 4) })]
#[case::chunk_at_the_last_byte(InvalidCase { term: 6, body: chunk(9, 6, group(), u64::MAX, u64::MAX) })]
fn follower_drops_invalid_messages(#[case] case: InvalidCase) {
    let mut a = instance(5, &[2, 2]);
    let effects = a.step(at(600), peer(replica("b", 2), case.term, case.body));
    assert!(reported(&effects), "{effects:?}");
    assert_eq!((a.term, a.log.last(), a.commit), (5, 3, 1));
    // A valid message is still accepted.
    let append = append(3, 2, vec![entry(4, 6)]);
    a.step(at(610), peer(replica("c", 3), 6, append));
    assert_eq!((a.term, a.log.last()), (6, 4));
}

/// Guards against the same at a leader, with answers to messages that it did not send.
#[rstest]
#[case::heartbeat_not_sent(Body::HeartbeatReply { matched: 0, sent: u64::MAX })]
#[case::entries_not_there(Body::Appended { matched: u64::MAX })]
#[case::entries_beyond(Body::HeartbeatReply { matched: 40, sent: 0 })]
#[case::conflict_at_the_last_index(Body::Conflict { prev_index: u64::MAX, hint: 0 })]
#[case::chunk(Body::ChunkReply { index: u64::MAX, offset: u64::MAX })]
fn leader_drops_invalid_messages(#[case] body: Body) {
    let mut a = leader(5, &[2, 2]);
    let upto = a.seq;
    a.step(at(1_110), Message::Synced { upto });
    let effects = a.step(at(1_115), peer(replica("b", 2), 6, body));
    assert!(reported(&effects), "{effects:?}");
    a.step(at(1_120), peer(replica("c", 3), 6, Body::Appended { matched: 4 }));
    assert_eq!((a.leading(), a.commit), (Some(6), 4));
}

fn reported(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Report(Report::InvalidMessage { .. })))
}
