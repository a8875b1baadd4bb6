//! Decides how much each connection of a process may hold, and which connection is closed when the
//! process has nothing left. It has no clock and no socket.

use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of a request that count as part of its connection, so that small requests are read even
/// while others hold everything.
pub(super) const FREE_BYTES: usize = 4 * 1024;
/// Time for which a body may be read, or an answer written, before its connection can be closed in
/// favour of another one. Clients that don't stop need far less for the largest bodies.
const SHED_AFTER: Duration = Duration::from_millis(500);

/// Whose requests a listener serves. Each tier may use up to three quarters of the memory and of
/// the connections, so neither can take all.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// Clients outside the system.
    Open,
    /// Processes of the system, whose requests may push out those of others.
    Own,
}

/// A listener of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Source {
    pub(super) port: u16,
    pub(super) tier: Tier,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Writing a complete answer.
    Answer,
    /// Reading a body.
    Body,
    /// Waiting for the handler, or sending a stream. Never closed, since the request may have run.
    Handling,
    /// Waiting for a head, or idle.
    Head,
}

struct Entry {
    source: Source,
    phase: Phase,
    /// When the phase began.
    since: Duration,
    held: usize,
    /// Whether a request has been answered on this connection.
    served: bool,
}

/// Result of a reservation or of a new connection.
#[derive(Debug, Default, Eq, PartialEq)]
pub(super) struct Grant {
    pub(super) granted: bool,
    /// Connections that are closed to make room, which no longer count.
    pub(super) closed: Vec<u64>,
}

/// Connections of a process and the bytes that each holds.
pub(super) struct Ledger {
    memory: usize,
    connections: usize,
    entries: BTreeMap<u64, Entry>,
    held: BTreeMap<Tier, usize>,
    counts: BTreeMap<Source, usize>,
    next: u64,
}

/// The part of a total that one tier may use.
fn share(total: usize) -> usize {
    total / 4 * 3
}

impl Ledger {
    pub(super) fn new(memory: usize, connections: usize) -> Self {
        let (entries, held, counts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { memory, connections, entries, held, counts, next: 1 }
    }

    /// Number of the next connection.
    pub(super) fn next(&self) -> u64 {
        self.next
    }

    pub(super) fn open_connections(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn held_bytes(&self) -> usize {
        self.held.values().sum()
    }

    /// Adds a connection, numbered `next`. If its tier has no connection left, the oldest idle one
    /// of the listener with the most connections is closed.
    pub(super) fn open(&mut self, now: Duration, source: Source) -> Grant {
        let mut grant = Grant::default();
        let of_tier = |counts: &BTreeMap<Source, usize>| {
            let same = counts.iter().filter(|(other, _)| other.tier == source.tier);
            same.map(|(_, count)| count).sum::<usize>()
        };
        let is_full = of_tier(&self.counts) >= share(self.connections)
            || self.entries.len() >= self.connections;
        if is_full {
            let same = self.counts.iter().filter(|(other, _)| other.tier == source.tier);
            let Some((&crowded, _)) = same.max_by_key(|(_, count)| **count) else { return grant };
            let idle = self
                .entries
                .iter()
                .filter(|(_, entry)| entry.source == crowded && entry.phase != Phase::Handling);
            let oldest = idle.min_by_key(|(_, entry)| (entry.served, entry.since));
            let Some((&oldest, _)) = oldest else { return grant };
            self.close(oldest);
            grant.closed.push(oldest);
        }
        let entry = Entry { source, phase: Phase::Head, since: now, held: 0, served: false };
        self.entries.insert(self.next, entry);
        self.next += 1;
        *self.counts.entry(source).or_default() += 1;
        grant.granted = true;
        grant
    }

    pub(super) fn close(&mut self, id: u64) {
        let Some(entry) = self.entries.remove(&id) else { return };
        *self.held.entry(entry.source.tier).or_default() -= entry.held;
        if let Some(count) = self.counts.get_mut(&entry.source) {
            *count -= 1;
        }
    }

    /// Records the phase of a connection, which holds nothing once it waits for a head. False if it
    /// was closed before.
    pub(super) fn enter(&mut self, now: Duration, id: u64, phase: Phase) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        entry.since = now;
        entry.phase = phase;
        if phase == Phase::Head {
            entry.served = true;
            let held = std::mem::take(&mut entry.held);
            *self.held.entry(entry.source.tier).or_default() -= held;
        }
        true
    }

    /// Reserves bytes of a body that is being read. If nothing is left, connections that have held
    /// the most for the longest are closed; without any, the reservation fails.
    pub(super) fn reserve(&mut self, now: Duration, id: u64, bytes: usize) -> Grant {
        let mut grant = Grant::default();
        let Some(tier) = self.entries.get(&id).map(|entry| entry.source.tier) else {
            return grant;
        };
        while !self.fits(tier, bytes) {
            let Some(victim) = self.victim(now, tier) else { return grant };
            if victim == id {
                return grant;
            }
            self.close(victim);
            grant.closed.push(victim);
        }
        self.add(id, bytes);
        grant.granted = true;
        grant
    }

    /// Counts bytes of an answer, which can't be refused since the request has run. Other
    /// connections are closed if the memory is exceeded.
    pub(super) fn charge(&mut self, now: Duration, id: u64, bytes: usize) -> Vec<u64> {
        let Some(tier) = self.entries.get(&id).map(|entry| entry.source.tier) else {
            return Vec::new();
        };
        let mut closed = Vec::new();
        while !self.fits(tier, bytes) {
            let Some(victim) = self.victim(now, tier).filter(|victim| *victim != id) else { break };
            self.close(victim);
            closed.push(victim);
        }
        self.add(id, bytes);
        closed
    }

    /// Returns the bytes that a connection holds.
    pub(super) fn release(&mut self, id: u64) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let held = std::mem::take(&mut entry.held);
        *self.held.entry(entry.source.tier).or_default() -= held;
    }

    fn fits(&self, tier: Tier, bytes: usize) -> bool {
        let held = self.held.get(&tier).copied().unwrap_or_default();
        held + bytes <= share(self.memory) && self.held_bytes() + bytes <= self.memory
    }

    fn add(&mut self, id: u64, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.held += bytes;
        *self.held.entry(entry.source.tier).or_default() += bytes;
    }

    /// The connection to close in favour of one of `tier`: the one with the greatest product of
    /// bytes and time among those that have had their time; for the system's own requests, any
    /// other body of clients outside.
    fn victim(&self, now: Duration, tier: Tier) -> Option<u64> {
        let age = |entry: &Entry| now.saturating_sub(entry.since);
        let can_close = |entry: &Entry| match entry.phase {
            Phase::Answer | Phase::Body if entry.held == 0 => false,
            Phase::Answer | Phase::Body if entry.source.tier == tier => age(entry) >= SHED_AFTER,
            Phase::Body => tier == Tier::Own,
            Phase::Answer | Phase::Handling | Phase::Head => false,
        };
        let weight = |entry: &Entry| entry.held as u128 * age(entry).as_millis().max(1);
        let candidates = self.entries.iter().filter(|(_, entry)| can_close(entry));
        candidates.max_by_key(|(_, entry)| weight(entry)).map(|(&id, _)| id)
    }
}
