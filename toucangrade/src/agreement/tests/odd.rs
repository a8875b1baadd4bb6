//! Messages that no instance of the group sends.

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

struct Odd {
    term: u64,
    body: Body,
}

/// What no instance sends is dropped with a report, and the instance goes on as before. Such a term
/// would have stayed on disk, and the next election overflowed; other cases ended the process.
#[rstest]
#[case::last_term(Odd { term: u64::MAX, body: Body::Heartbeat { commit: 0, sent: 0 } })]
#[case::last_term_but_one(Odd { term: u64::MAX - 1, body: append(3, 2, vec![]) })]
#[case::vote_in_the_last_term(Odd {
    term: u64::MAX,
    body: Body::Vote { last_index: 9, last_term: 9, pre: false, transfer: true },
})]
#[case::refusal_in_the_last_term(Odd {
    term: u64::MAX, body: Body::VoteReply { pre: true, granted: false },
})]
#[case::gap(Odd { term: 6, body: append(3, 2, vec![entry(5, 6)]) })]
#[case::backwards(Odd { term: 6, body: append(3, 2, vec![entry(4, 6), entry(4, 6)]) })]
#[case::earlier_term(Odd { term: 6, body: append(3, 2, vec![entry(4, 6), entry(5, 3)]) })]
#[case::later_term(Odd { term: 6, body: append(3, 2, vec![entry(4, 7)]) })]
#[case::last_index(Odd { term: 6, body: append(u64::MAX, 2, vec![entry(0, 6)]) })]
#[case::snapshot_without_members(Odd { term: 6, body: chunk(9, 6, Members::none(), 0, 5) })]
#[case::snapshot_of_the_last_index(Odd { term: 6, body: chunk(u64::MAX, 6, group(), 0, 5) })]
#[case::snapshot_of_a_later_term(Odd { term: 6, body: chunk(9, 7, group(), 0, 5) })]
#[case::chunk_beyond_the_end(Odd { term: 6, body: chunk(9, 6, group(), 0, 4) })]
#[case::chunk_at_the_last_byte(Odd { term: 6, body: chunk(9, 6, group(), u64::MAX, u64::MAX) })]
fn odd_messages_to_a_follower_are_dropped(#[case] odd: Odd) {
    let mut a = instance(5, &[2, 2]);
    let effects = a.step(at(600), peer(replica("b", 2), odd.term, odd.body));
    assert!(reported(&effects), "{effects:?}");
    assert_eq!((a.term, a.log.last(), a.commit), (5, 3, 1));
    // The others go on.
    let append = append(3, 2, vec![entry(4, 6)]);
    a.step(at(610), peer(replica("c", 3), 6, append));
    assert_eq!((a.term, a.log.last()), (6, 4));
}

/// The same for a leader.
#[rstest]
#[case::heartbeat_not_sent(Body::HeartbeatReply { matched: 0, sent: u64::MAX })]
#[case::entries_not_there(Body::Appended { matched: u64::MAX })]
#[case::entries_beyond(Body::HeartbeatReply { matched: 40, sent: 0 })]
#[case::conflict_at_the_last_index(Body::Conflict { prev_index: u64::MAX, hint: 0 })]
#[case::chunk(Body::ChunkReply { index: u64::MAX, offset: u64::MAX })]
fn odd_messages_to_a_leader_are_dropped(#[case] odd: Body) {
    let mut a = leader(5, &[2, 2]);
    let upto = a.seq;
    a.step(at(1_110), Message::Synced { upto });
    let effects = a.step(at(1_115), peer(replica("b", 2), 6, odd));
    assert!(reported(&effects), "{effects:?}");
    a.step(at(1_120), peer(replica("c", 3), 6, Body::Appended { matched: 4 }));
    assert_eq!((a.leading(), a.commit), (Some(6), 4));
}

fn reported(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Report(Report::Unsound { .. })))
}
