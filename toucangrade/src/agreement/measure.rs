//! Benchmarks of the replicated log: commits and restart on real files, and replication cost
//! without disk or network.

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
use super::{Agreement, Disk, Driver, EffectHandlers, Members, Settings};
use crate::core::{Clock, Handle, Moment, Name, Received, Ring};

/// Longest wait for one commit.
const COMMIT_WAIT: Duration = Duration::from_secs(30);
const NAMES: [&str; 3] = ["a", "b", "c"];

/// Commit throughput and latency of a group of three in one process, each with its own files.
#[derive(Clone, Debug)]
pub struct Commits {
    /// Commits per second at the leader.
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
    /// Time to open it and create the state from it, in microseconds.
    pub micros: u64,
}

/// Cost of replication to one follower, per entry.
#[derive(Clone, Debug)]
pub struct FollowerCost {
    /// Encoded bytes of the messages from the leader.
    pub sent: f64,
    /// Encoded bytes of the messages to the leader.
    pub received: f64,
    /// Time in `Agreement::step` at the leader, which never blocks, in nanoseconds.
    pub leader: f64,
    /// Time in `Agreement::step` at the follower, in nanoseconds.
    pub follower: f64,
}

fn name(value: &str) -> io::Result<Name> {
    Name::new(value).map_err(io::Error::other)
}

/// Commits `count` commands of `size` bytes with `writers` proposals outstanding. Without
/// `group_commit`, each entry has its own sync.
///
/// # Errors
///
/// The error of the operating system, a rejected proposal, or `TimedOut` when nothing is committed
/// within 30 seconds.
pub fn commits(
    path: &Path,
    count: u64,
    size: usize,
    writers: u64,
    group_commit: bool,
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
            target_voters: None,
        };
        let (peers, sink, at) = (Arc::clone(&handles), Arc::clone(&effects), name.clone());
        let handlers = EffectHandlers {
            send: Box::new(move |to, body| {
                if let Some(peer) = peers.get(&to) {
                    peer.push(Message::Peer(body));
                }
            }),
            record_sync: Box::new(|_| {}),
            deliver: Box::new(move |_, effect| {
                // The result is not needed: effects after the last answer are not read.
                let _ = sink.push((at.clone(), effect));
            }),
        };
        let disk = Disk::directory(&path.join(name.as_str()))?;
        let prepare = |agreement: &mut Agreement| {
            if !group_commit {
                agreement.limit_batch(1);
            }
        };
        let driver = Driver::start_with(handle, settings, clock.clone(), disk, handlers, prepare);
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

/// Writes `count` entries of `size` bytes, with a snapshot of `state` bytes every
/// `snapshot_interval` entries, and measures how long the next start takes.
///
/// # Errors
///
/// The error of the operating system.
pub fn restart(
    path: &Path,
    count: u64,
    size: usize,
    snapshot_interval: Option<u64>,
    state: usize,
) -> io::Result<Restart> {
    let me = || name("a").map(|name| Replica { name, identity: 1 });
    let open = || Storage::open(Disk::directory(path)?, me()?).map_err(io::Error::other);
    let (mut storage, _) = open()?;
    let entry =
        |index| Entry { index, term: 1, payload: Payload::Command(Bytes::from(vec![7; size])) };
    let step = snapshot_interval.unwrap_or(count).min(1_000);
    for first in (1..=count).step_by(usize::try_from(step).map_err(io::Error::other)?) {
        let last = count.min(first + step - 1);
        storage
            .perform(&Store::Append((first..=last).map(entry).collect()))
            .map_err(io::Error::other)?;
        if snapshot_interval.is_some_and(|interval| last.is_multiple_of(interval)) {
            let snapshot = Arc::new(Snapshot {
                index: last,
                term: 1,
                state: Bytes::from(vec![7; state]),
                ..Snapshot::default()
            });
            let reset = false;
            storage.perform(&Store::Snapshot { snapshot, reset }).map_err(io::Error::other)?;
        }
    }
    drop(storage);
    let mut bytes = 0;
    for file in fs::read_dir(path)? {
        bytes += file?.metadata()?.len();
    }
    let begin = Instant::now();
    let (_, recovered) = open()?;
    let settings =
        Settings { name: name("a")?, founders: Vec::new(), seed: 1, target_voters: None };
    let agreement = Agreement::new(settings, recovered, Moment::START);
    let micros = begin.elapsed().as_micros();
    drop(agreement);
    Ok(Restart { bytes, micros: u64::try_from(micros).unwrap_or(u64::MAX) })
}

/// Replicates `count` commands of `size` bytes, `batch` at a time, to one follower without disk or
/// network, and measures encoded bytes and the time in `Agreement::step`.
///
/// # Errors
///
/// The error of the encoding.
pub fn follower_cost(count: u64, size: usize, batch: u64) -> io::Result<FollowerCost> {
    let mut leader = BenchInstance::new("a", 1)?;
    let mut follower = BenchInstance::new("b", 2)?;
    let tick = |millis: u64| Moment::micros(millis * 1_000);
    leader.step(tick(2_000), Message::Tick);
    exchange(&mut leader, &mut follower)?;
    let (sent, received) = (leader.sent, follower.sent);
    let (at_leader, at_follower) = (leader.busy_ns, follower.busy_ns);
    for first in (0..count).step_by(usize::try_from(batch).map_err(io::Error::other)?) {
        for ticket in first..count.min(first + batch) {
            let command = Bytes::from(vec![7; size]);
            leader.step(tick(2_000), Message::Propose { ticket, command });
        }
        exchange(&mut leader, &mut follower)?;
        for instance in [&mut leader, &mut follower] {
            // Snapshots keep the log short, as they do in production.
            let (index, state) = (instance.applied, Bytes::new());
            instance.step(tick(2_000), Message::SnapshotTaken { index, state });
        }
    }
    let each = |value: u64| value as f64 / count as f64;
    Ok(FollowerCost {
        sent: each(leader.sent - sent),
        received: each(follower.sent - received),
        leader: each(leader.busy_ns - at_leader),
        follower: each(follower.busy_ns - at_follower),
    })
}

/// One of two instances, with the effects that it has not performed yet.
struct BenchInstance {
    agreement: Agreement,
    messages: Vec<PeerMessage>,
    stores: Vec<u64>,
    applied: u64,
    /// Encoded bytes of the messages sent.
    sent: u64,
    /// Time in `Agreement::step`.
    busy_ns: u64,
}

impl BenchInstance {
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
        let settings =
            Settings { name: name(me)?, founders: Vec::new(), seed: 1, target_voters: None };
        Ok(Self {
            agreement: Agreement::new(settings, recovered, Moment::START),
            messages: Vec::new(),
            stores: Vec::new(),
            applied: 0,
            sent: 0,
            busy_ns: 0,
        })
    }

    fn step(&mut self, now: Moment, message: Message) {
        let begin = Instant::now();
        let effects = self.agreement.step(now, message);
        self.busy_ns += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX);
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

/// Delivers messages and syncs until none is left.
fn exchange(a: &mut BenchInstance, b: &mut BenchInstance) -> io::Result<()> {
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
