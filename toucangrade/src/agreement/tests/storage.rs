//! Tests of the storage.

use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;

use super::group::name;
use crate::agreement::fake_disk::FakeDisk;
use crate::agreement::storage::Storage;
use crate::agreement::*;

fn me() -> Replica {
    Replica { name: name("a"), identity: 5 }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(Bytes::from(vec![7; 100])) }
}

fn append(first: u64, last: u64, term: u64) -> Store {
    Store::Append((first..=last).map(|index| entry(index, term)).collect())
}

fn snapshot(index: u64, term: u64, reset: bool) -> Store {
    let snapshot = Arc::new(Snapshot { index, term, ..Snapshot::default() });
    Store::Snapshot { snapshot, reset }
}

/// Last index after each of `stores`.
const ENDS: [u64; 7] = [0, 5, 6, 6, 8, 20, 22];

/// Changes of every kind, in an order that is possible.
fn stores() -> [Store; 7] {
    [
        Store::Vote { term: 1, vote: Some(me()) },
        append(1, 5, 1),
        append(4, 6, 2),
        snapshot(5, 2, false),
        append(7, 8, 2),
        snapshot(20, 3, true),
        append(21, 22, 3),
    ]
}

enum Damage {
    Cut(usize),
    Flip(usize),
    None,
}

struct OpenCase {
    stores: Vec<Store>,
    damage: Damage,
    /// Snapshot index, last index and whether an incomplete write was removed; or the beginning of
    /// the error message.
    expected: Result<(u64, u64, bool), &'static str>,
}

/// Guards against silent data loss: only an incomplete write at the end of the log may be removed.
#[rstest]
#[case::empty(OpenCase { stores: vec![], damage: Damage::None, expected: Ok((0, 0, false)) })]
#[case::plain(OpenCase { stores: vec![append(1, 3, 1), append(4, 5, 1)], damage: Damage::None, expected: Ok((0, 5, false)) })]
#[case::overwritten(OpenCase { stores: vec![append(1, 5, 1), append(3, 3, 2)], damage: Damage::None, expected: Ok((0, 3, false)) })]
#[case::torn(OpenCase { stores: vec![append(1, 3, 1), append(4, 5, 1)], damage: Damage::Cut(1), expected: Ok((0, 3, true)) })]
#[case::torn_header(OpenCase { stores: vec![append(1, 1, 1), append(2, 2, 1)], damage: Damage::Cut(110), expected: Ok((0, 1, true)) })]
#[case::corrupt_middle(OpenCase { stores: vec![append(1, 3, 1), append(4, 5, 1)], damage: Damage::Flip(50), expected: Err("log-00000000000000000000 is corrupt at byte 0") })]
#[case::corrupt_length(OpenCase { stores: vec![append(1, 3, 1), append(4, 5, 1)], damage: Damage::Flip(3), expected: Err("log-00000000000000000000 is corrupt at byte 0") })]
#[case::snapshot(OpenCase { stores: vec![append(1, 9, 1), snapshot(6, 1, false), append(10, 10, 1)], damage: Damage::None, expected: Ok((6, 10, false)) })]
#[case::reset(OpenCase { stores: vec![append(1, 9, 1), snapshot(20, 2, true), append(21, 21, 2)], damage: Damage::None, expected: Ok((20, 21, false)) })]
#[case::reset_shorter(OpenCase { stores: vec![append(1, 9, 1), snapshot(6, 2, true)], damage: Damage::None, expected: Ok((6, 6, false)) })]
// The crash happened between the write of the snapshot and the reset of the log.
#[case::reset_missing(OpenCase { stores: vec![append(1, 9, 1), snapshot(20, 2, false)], damage: Damage::None, expected: Ok((20, 20, false)) })]
#[case::reset_missing_conflict(OpenCase { stores: vec![append(1, 9, 1), snapshot(6, 2, false)], damage: Damage::None, expected: Ok((6, 6, false)) })]
fn open_recovers_durable_entries(#[case] case: OpenCase) {
    let disk = FakeDisk::default();
    let (mut storage, _) = Storage::open(disk.disk(), me()).expect("opens empty");
    for store in &case.stores {
        storage.perform(store).expect("performs");
    }
    let last = disk.sizes().into_keys().rfind(|file| file.starts_with("log-"));
    match case.damage {
        Damage::Cut(bytes) => disk.tear(&last.expect("a log"), bytes),
        Damage::Flip(offset) => disk.flip_bit(&last.expect("a log"), offset),
        Damage::None => {},
    }
    // The second start recovers the files that the first one repaired.
    for start in 0..2 {
        let opened = Storage::open(disk.disk(), me());
        match (&opened, &case.expected) {
            (Ok((_, found)), Ok((index, last, torn))) => {
                let end = found.entries.last().map_or(found.snapshot.index, |e| e.index);
                assert_eq!((found.snapshot.index, end), (*index, *last));
                assert_eq!(found.torn.is_some(), *torn && start == 0);
                assert_eq!(found.identity, 5);
            },
            (Err(error), Err(text)) => {
                assert!(error.to_string().starts_with(text), "{error}");
            },
            (opened, _) => panic!("opened {:?}", opened.as_ref().map(|(_, found)| found)),
        }
    }
}

/// Guards against a log that grows without bound and slows down restarts.
#[test]
fn snapshots_remove_old_segments() {
    let disk = FakeDisk::default();
    let (mut storage, _) = Storage::open(disk.disk(), me()).expect("opens empty");
    for round in 0..20 {
        for batch in 0..10 {
            let first = round * 10_000 + batch * 1_000 + 1;
            storage.perform(&append(first, first + 999, 1)).expect("performs");
        }
        let index = (round + 1) * 10_000;
        storage.perform(&snapshot(index, 1, false)).expect("performs");
    }
    let files = disk.sizes();
    assert!(files.keys().filter(|f| f.starts_with("snapshot-")).count() == 1, "{files:?}");
    let bytes: usize = files.values().sum();
    assert!(bytes < 3 * 4 * 1024 * 1024, "{files:?}");
    let (_, recovered) = Storage::open(disk.disk(), me()).expect("opens");
    assert_eq!(recovered.snapshot.index, 200_000);
}

/// Guards against the loss of durable data in a crash between any two file operations.
#[test]
fn every_crash_point_is_recovered() {
    let stores = stores();
    for (operations, seed) in
        (0..40).flat_map(|operations| (0..8).map(move |seed| (operations, seed)))
    {
        let disk = FakeDisk::default();
        let (mut storage, _) = Storage::open(disk.disk(), me()).expect("opens empty");
        disk.fail_after(operations);
        let done = stores.iter().take_while(|store| storage.perform(store).is_ok()).count();
        disk.crash(&mut (seed + operations * 100));
        let (_, found) = Storage::open(disk.disk(), me()).expect("opens after a crash");
        let end = found.entries.last().map_or(found.snapshot.index, |e| e.index);
        let durable = done.checked_sub(1).map_or(0, |n| ENDS[n]);
        let next = ENDS.get(done).copied().unwrap_or(22);
        assert!(
            end == durable || end == next,
            "{operations} operations: recovered up to {end}, not {durable} or {next}"
        );
        assert!(done == 0 || found.vote == Some(me()), "{operations} operations: the vote is lost");
    }
}

/// Guards against a failed operation after which the files can't be used, hold less than was durable,
/// or hold data of a failed sync that may be lost later.
#[test]
fn every_failed_operation_is_repaired() {
    let stores = stores();
    for operations in 0..30 {
        let disk = FakeDisk::default();
        let (mut storage, _) = Storage::open(disk.disk(), me()).expect("opens empty");
        disk.fail_after(operations);
        let done = stores.iter().take_while(|store| storage.perform(store).is_ok()).count();
        disk.fail_after(0);
        let reopened = storage.answer(1, &Store::Reopen);
        assert!(matches!(reopened, Some(Message::StoreFailed { .. })), "the disk still fails");
        assert!(storage.answer(2, &append(9, 9, 9)).is_none(), "written after a failure");
        disk.fail_after(u64::MAX);
        let Some(Message::Reopened(found)) = storage.answer(3, &Store::Reopen) else {
            panic!("{operations} operations: not reopened");
        };
        let end = found.entries.last().map_or(found.snapshot.index, |e| e.index);
        let durable = done.checked_sub(1).map_or(0, |n| ENDS[n]);
        // The snapshot alone may be durable although its store has failed.
        let reset = done == 5 && end == 20;
        assert!(end == durable || reset, "{operations} operations: recovered up to {end}");
        // The whole log is written again, and the next start finds it.
        for store in &stores[done..] {
            assert!(matches!(storage.answer(4, store), Some(Message::Synced { upto: 4 })));
        }
        disk.crash(&mut 1);
        let (_, found) = Storage::open(disk.disk(), me()).expect("opens");
        let end = found.entries.last().map_or(found.snapshot.index, |e| e.index);
        assert_eq!((end, found.vote), (22, Some(me())), "{operations} operations");
    }
}

/// Guards against a start that fails on files whose names only resemble those of the log. Such
/// files must be ignored and kept.
#[rstest]
#[case::unpadded("log-7")]
#[case::last("log-18446744073709551616")]
#[case::signed("log-+0000000000000000007")]
#[case::no_number("snapshot-")]
#[case::snapshot_unpadded("snapshot-9")]
#[case::empty_snapshot("snapshot-0x00000000000000000")]
fn foreign_files_are_left_alone(#[case] file: &str) {
    let disk = FakeDisk::default();
    let (mut storage, _) = Storage::open(disk.disk(), me()).expect("opens empty");
    storage.perform(&Store::Append(vec![entry(1, 1), entry(2, 1)])).expect("stored");
    (disk.disk().append)(file, b"something else").expect("written");
    let (_, recovered) = Storage::open(disk.disk(), me()).expect("opens");
    assert_eq!(recovered.entries.len(), 2);
    assert_eq!((disk.disk().read)(file).expect("still there"), b"something else");
}
