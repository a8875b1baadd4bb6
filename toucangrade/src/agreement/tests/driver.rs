//! Tests of the driver threads on real files.

use std::sync::mpsc;
use std::time::Duration;

use super::group::name;
use crate::agreement::*;
use crate::core::{Clock, Handle};

/// Guards against a driver that loses messages between its threads, or state across a restart.
#[test]
fn a_group_of_one_commits_and_restarts() {
    let directory = tempfile::tempdir().expect("temporary directory");
    for round in 0..2_u64 {
        let handle = Handle::new("agreement");
        let (sender, effects) = mpsc::channel();
        let settings =
            Settings { name: name("a"), founders: vec![name("a")], seed: 1, target_voters: None };
        let handlers = EffectHandlers {
            send: Box::new(|_, _| {}),
            record_sync: Box::new(|_| {}),
            deliver: Box::new(move |_, effect| {
                // The receiver is dropped at the end of the test.
                let _ = sender.send(effect);
            }),
        };
        let disk = Disk::directory(directory.path()).expect("directory");
        assert!(Disk::directory(directory.path()).is_err(), "the directory is locked");
        let driver = Driver::start(&handle, settings, Clock::system(), disk, handlers);
        let driver = driver.expect("starts");
        let next = || effects.recv_timeout(Duration::from_secs(30)).expect("an effect");
        while !matches!(next(), Effect::Role { leading: true, .. }) {}
        let command = bytes::Bytes::from_static(b"x");
        handle.push(Message::Propose { ticket: round, command });
        let mut commits = 0;
        loop {
            if let Effect::Commit { ticket, .. } = next() {
                commits += 1;
                if ticket == Some(round) {
                    break;
                }
            }
        }
        assert_eq!(commits, round + 1);
        driver.stop();
    }
}
