//! Tests of the log file.

use std::fs;

use rstest::rstest;

use super::*;

struct Case {
    damage: fn(&mut Vec<u8>),
    commands: Option<usize>,
}

/// Guards against lost commands, and against a damaged log that is read as if it were whole.
#[rstest]
#[case::whole(Case { damage: |_| {}, commands: Some(3) })]
#[case::torn_tail(Case { damage: |bytes| bytes.truncate(bytes.len() - 2), commands: Some(2) })]
#[case::torn_head(Case { damage: |bytes| bytes.extend([9, 0, 0]), commands: Some(3) })]
#[case::corrupt_middle(Case { damage: |bytes| bytes[12] ^= 1, commands: None })]
fn log_is_recovered(#[case] case: Case) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (mut log, empty) = Log::open(&path).unwrap();
    assert!(empty.is_empty());
    for command in ["first", "second", "third"] {
        log.append(command.as_bytes()).unwrap();
    }
    drop(log);
    let mut bytes = fs::read(&path).unwrap();
    (case.damage)(&mut bytes);
    fs::write(&path, bytes).unwrap();
    let opened = Log::open(&path).ok().map(|(mut log, commands)| {
        log.append(b"next").unwrap();
        commands.len()
    });
    assert_eq!(opened, case.commands);
    if let Some(count) = case.commands {
        assert_eq!(Log::open(&path).unwrap().1.len(), count + 1);
    }
}
