//! Simulated link between processes: delays, loses, duplicates and reorders messages.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::core::{Moment, Span};

/// A process of the simulated cluster.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Node {
    Agent(usize),
    Control,
    Entry(usize),
}

/// Local clock of a process: starts at zero and runs at its own rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// Simulated time at which the process started, in microseconds.
    pub(crate) origin: u64,
    /// Local microseconds in 1,000 simulated microseconds.
    pub(crate) rate: u64,
}

impl Clock {
    /// Local time at the simulated time `now`.
    pub(crate) fn read(self, now: u64) -> Moment {
        Moment::micros((now - self.origin) * self.rate / 1_000)
    }

    /// Converts a local span to simulated microseconds.
    pub(crate) fn to_simulated(self, span: Span) -> u64 {
        span.as_micros() * 1_000 / self.rate
    }
}

/// Faults of the link; probabilities are per 1,000 messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkFaults {
    pub(crate) lose: u32,
    pub(crate) duplicate: u32,
    /// Messages that are delayed by up to 4 s, which is longer than any partition lease.
    pub(crate) hold: u32,
    /// Maximum random delay added to each message, in microseconds.
    pub(crate) jitter: u64,
}

/// State of the link.
#[derive(Debug, Default)]
pub(crate) struct Link {
    pub(crate) faults: LinkFaults,
    /// Processes whose messages are all lost, in both directions, without an error.
    pub(crate) isolated: BTreeSet<Node>,
    /// Pairs (sender, receiver) whose messages are all lost.
    pub(crate) blocked: BTreeSet<(Node, Node)>,
    /// Delay added to each message, by (sender, receiver), in microseconds.
    pub(crate) slow: BTreeMap<(Node, Node), u64>,
}

/// One-way delay without faults, in microseconds: 4 ms, as between two data centres.
const LINK_DELAY: u64 = 4_000;

impl Link {
    /// Whether all messages from one process to another are lost.
    pub(crate) fn blocks(&self, from: Node, to: Node) -> bool {
        let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        isolated || self.blocked.contains(&(from, to))
    }

    /// Draws the delay of each copy of a message that arrives, in microseconds; empty if all is
    /// lost.
    pub(crate) fn delays(&self, rng: &mut SmallRng, from: Node, to: Node) -> Vec<u64> {
        if self.blocks(from, to) {
            return Vec::new();
        }
        let LinkFaults { lose, duplicate, hold, jitter } = self.faults;
        let mut chance = |share: u32| share > 0 && rng.random_ratio(share, 1_000);
        if chance(lose) {
            return Vec::new();
        }
        let copies = if chance(duplicate) { 2 } else { 1 };
        let slow = self.slow.get(&(from, to)).copied().unwrap_or(0);
        let mut delay = || {
            let held = if hold > 0 && rng.random_ratio(hold, 1_000) {
                // Some arrive within the start window of an attempt, some after every partition
                // lease has expired.
                let longest = if rng.random_bool(0.5) { 600_000 } else { 4_000_000 };
                rng.random_range(0..longest)
            } else {
                0
            };
            LINK_DELAY + slow + held + rng.random_range(0..=jitter)
        };
        (0..copies).map(|_| delay()).collect()
    }
}
