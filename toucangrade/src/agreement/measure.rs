//! Measurements of the replicated log on real files.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;

use super::message::{Effect, Entry, Message, Payload, PeerMessage, Replica, Snapshot, Store};
use super::storage::{Recovered, Storage};
use super::{Agreement, Disk, Driver, Members, Outlets, Settings};
use crate::core::{Clock, Handle, Moment, Name, Received, Ring};

/// Longest wait for one commit.
const COMMIT_WAIT: Duration = Duration::from_secs(30);
const NAMES: [&str; 3] = ["a", "b", "c"];

/// Commits of a group of three in one process, each with its own files.
#[derive(Clone, Debug)]
pub struct Commits {
    /// Commits a second at the leader.
    pub per_second: f64,
    /// Median time from proposal to commit, in microseconds.
    pub median: u64,
    /// 99th percentile of that time, in microseconds.
    pub p99: u64,
}

/// Time to recover a data directory.
#[derive(Clone, Debug)]
pub struct Restart {
    /// Bytes in the data directory.
    pub bytes: u64,
    /// Time to open it, in microseconds.
    pub micros: u64,
}

/// Cost of replicating to one follower, for each entry.
#[derive(Clone, Debug)]
pub struct FollowerCost {
    /// Encoded bytes of messages from the leader.
    pub sent: f64,
    /// Encoded bytes of messages to the leader.
    pub received: f64,
    /// Time of the decisions at the leader, which never wait, in nanoseconds.
    pub leader: f64,
    /// Time of the decisions at the follower, in nanoseconds.
    pub follower: f64,
}

fn name(value: &str) -> io::Result<Name> {
    Name::new(value).map_err(io::Error::other)
}

/// Commits `count` commands of `size` bytes with `writers` proposals outstanding.
///
/// # Errors
///
/// The error of the system, or `TimedOut` when the group makes no progress.
pub fn commits(
    path: &Path,
    count: u64,
    size: usize,
    writers: u64,
    group: bool,
) -> io::Result<Commits> {
    let clock = Clock::system();
    let effects = Arc::new(Ring::new(1 << 20, 0));
    let mut handles = BTreeMap::new();
    for n in NAMES {
        handles.insert(name(n)?, Handle::new("agreement"));
    }
    let handles = Arc::new(handles);
    let mut drivers = Vec::new();
    for (name, handle) in handles.iter() {
        let settings = Settings {
            name: name.clone(),
            founders: handles.keys().cloned().collect(),
            seed: rand::random(),
            voters: None,
        };
        let (peers, sink, at) = (Arc::clone(&handles), Arc::clone(&effects), name.clone());
        let outlets = Outlets {
            send: Box::new(move |to, body| {
                if let Some(peer) = peers.get(&to) {
                    peer.push(Message::Peer(body));
                }
            }),
            synced: Box::new(|_| {}),
            deliver: Box::new(move |_, effect| {
                // The receiver reads until all proposals are answered.
                let _ = sink.push((at.clone(), effect));
            }),
        };
        let disk = Disk::directory(&path.join(name.as_str()))?;
        let prepare = |agreement: &mut Agreement| {
            if !group {
                agreement.limit_batch(1);
            }
        };
        let driver = Driver::start_with(handle, settings, clock.clone(), disk, outlets, prepare);
        drivers.push(driver.map_err(io::Error::other)?);
    }
    let next = || match effects.recv(COMMIT_WAIT) {
        Received::Message(message) => Ok(message),
        _ => Err(io::Error::from(io::ErrorKind::TimedOut)),
    };
    let leader = loop {
        if let (name, Effect::Role { leading: true, .. }) = next()? {
            break name;
        }
    };
    let propose = |ticket| {
        let command = Bytes::from(vec![7; size]);
        handles[&leader].push(Message::Propose { ticket, command });
    };
    let mut started = BTreeMap::new();
    let mut latency = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let begin = Instant::now();
    let mut proposed = 0;
    while latency.len() < count {
        while proposed < count && (started.len() as u64) < writers {
            started.insert(proposed, Instant::now());
            propose(proposed);
            proposed += 1;
        }
        match next()?.1 {
            Effect::Commit { ticket: Some(ticket), .. } => {
                let since = started.remove(&ticket).map(|at: Instant| at.elapsed());
                let micros = since.unwrap_or_default().as_micros();
                let micros = u64::try_from(micros).unwrap_or(u64::MAX);
                latency.record(micros).map_err(io::Error::other)?;
            },
            Effect::Reject { reason, .. } => return Err(io::Error::other(reason)),
            _ => {},
        }
    }
    let seconds = begin.elapsed().as_secs_f64();
    drivers.into_iter().for_each(Driver::stop);
    Ok(Commits {
        per_second: count as f64 / seconds,
        median: latency.value_at_quantile(0.5),
        p99: latency.value_at_quantile(0.99),
    })
}

/// Writes `count` entries of `size` bytes, with a snapshot of `state` bytes every `every` entries,
/// and measures how long the next start takes.
///
/// # Errors
///
/// The error of the system.
pub fn restart(
    path: &Path,
    count: u64,
    size: usize,
    every: Option<u64>,
    state: usize,
) -> io::Result<Restart> {
    let me = || name("a").map(|name| Replica { name, identity: 1 });
    let open = || Storage::open(Disk::directory(path)?, me()?).map_err(io::Error::other);
    let (mut storage, _) = open()?;
    let entry =
        |index| Entry { index, term: 1, payload: Payload::Command(Bytes::from(vec![7; size])) };
    let step = every.unwrap_or(count).min(1_000);
    for first in (1..=count).step_by(usize::try_from(step).map_err(io::Error::other)?) {
        let last = count.min(first + step - 1);
        storage.perform(&Store::Append((first..=last).map(entry).collect()))?;
        if every.is_some_and(|every| last.is_multiple_of(every)) {
            let snapshot = Arc::new(Snapshot {
                index: last,
                term: 1,
                state: Bytes::from(vec![7; state]),
                ..Snapshot::default()
            });
            let reset = false;
            storage.perform(&Store::Snapshot { snapshot, reset })?;
        }
    }
    drop(storage);
    let mut bytes = 0;
    for file in fs::read_dir(path)? {
        bytes += file?.metadata()?.len();
    }
    let begin = Instant::now();
    let (_, recovered) = open()?;
    let settings = Settings { name: name("a")?, founders: Vec::new(), seed: 1, voters: None };
    let agreement = Agreement::new(settings, recovered, Moment::START);
    let micros = begin.elapsed().as_micros();
    drop(agreement);
    Ok(Restart { bytes, micros: u64::try_from(micros).unwrap_or(u64::MAX) })
}

/// Replicates `count` commands of `size` bytes, `batch` at a time, to one follower without disk or
/// network, and measures encoded bytes and the time of the decisions.
///
/// # Errors
///
/// The error of the system or of the encoding.
pub fn follower_cost(count: u64, size: usize, batch: u64) -> io::Result<FollowerCost> {
    let mut leader = Side::new("a", 1)?;
    let mut follower = Side::new("b", 2)?;
    let tick = |millis: u64| Moment::micros(millis * 1_000);
    leader.step(tick(2_000), Message::Tick);
    exchange(&mut leader, &mut follower)?;
    let (sent, received) = (leader.sent, follower.sent);
    let (at_leader, at_follower) = (leader.busy, follower.busy);
    for first in (0..count).step_by(usize::try_from(batch).map_err(io::Error::other)?) {
        for ticket in first..count.min(first + batch) {
            let command = Bytes::from(vec![7; size]);
            leader.step(tick(2_000), Message::Propose { ticket, command });
        }
        exchange(&mut leader, &mut follower)?;
        for side in [&mut leader, &mut follower] {
            // Snapshots keep the log short, as in use.
            let (index, state) = (side.applied, Bytes::new());
            side.step(tick(2_000), Message::SnapshotTaken { index, state });
        }
    }
    let each = |value: u64| value as f64 / count as f64;
    Ok(FollowerCost {
        sent: each(leader.sent - sent),
        received: each(follower.sent - received),
        leader: each(leader.busy - at_leader),
        follower: each(follower.busy - at_follower),
    })
}

/// One instance whose effects are kept for the other.
struct Side {
    agreement: Agreement,
    messages: Vec<PeerMessage>,
    stores: Vec<u64>,
    applied: u64,
    sent: u64,
    busy: u64,
}

impl Side {
    fn new(me: &str, identity: u64) -> io::Result<Self> {
        let (a, b) = (name("a")?, name("b")?);
        let replica = |(name, identity)| Replica { name, identity };
        let recovered = Recovered {
            identity,
            term: 1,
            snapshot: Snapshot {
                index: 1,
                term: 1,
                members: Members::voting([(a, 1), (b, 2)].map(replica)),
                members_at: 1,
                state: Bytes::new(),
            },
            ..Recovered::default()
        };
        let settings = Settings { name: name(me)?, founders: Vec::new(), seed: 1, voters: None };
        Ok(Self {
            agreement: Agreement::new(settings, recovered, Moment::START),
            messages: Vec::new(),
            stores: Vec::new(),
            applied: 0,
            sent: 0,
            busy: 0,
        })
    }

    fn step(&mut self, now: Moment, message: Message) {
        let begin = Instant::now();
        let effects = self.agreement.step(now, message);
        self.busy += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX);
        for effect in effects {
            match effect {
                Effect::Send { body, .. } => self.messages.push(body),
                Effect::Store { seq, .. } => self.stores.push(seq),
                Effect::Commit { index, .. } => self.applied = index,
                _ => {},
            }
        }
    }
}

/// Delivers messages and syncs until nothing is left.
fn exchange(a: &mut Side, b: &mut Side) -> io::Result<()> {
    let now = Moment::micros(2_000_000);
    loop {
        let mut idle = true;
        for turn in 0..2 {
            let (from, to) = if turn == 0 { (&mut *a, &mut *b) } else { (&mut *b, &mut *a) };
            if let Some(upto) = std::mem::take(&mut from.stores).pop() {
                from.step(now, Message::Synced { upto });
                idle = false;
            }
            for message in std::mem::take(&mut from.messages) {
                let encoded = rmp_serde::to_vec(&message).map_err(io::Error::other)?;
                from.sent += encoded.len() as u64;
                to.step(now, Message::Peer(message));
                idle = false;
            }
        }
        if idle {
            return Ok(());
        }
    }
}
