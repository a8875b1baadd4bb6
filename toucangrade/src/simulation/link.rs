//! The fake link: delays, loses, duplicates and reorders messages between processes.

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

/// Clock of one process: starts at zero and runs at its own rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    /// Time of the simulation at which the process started.
    pub(crate) origin: u64,
    /// Local microseconds in 1,000 microseconds of the simulation.
    pub(crate) rate: u64,
}

impl Rate {
    /// The local time.
    pub(crate) fn read(self, now: u64) -> Moment {
        Moment::micros((now - self.origin) * self.rate / 1_000)
    }

    /// Time of the simulation that a local span takes.
    pub(crate) fn real(self, span: Span) -> u64 {
        span.as_micros() * 1_000 / self.rate
    }
}

/// Probabilities of faults of the link, each out of 1,000 messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Noise {
    pub(crate) lose: u32,
    pub(crate) duplicate: u32,
    /// Messages that are held back for up to 4 s, longer than every lease of a partition.
    pub(crate) hold: u32,
    /// Additional delay of any message, in microseconds.
    pub(crate) jitter: u64,
}

/// State of the link.
#[derive(Debug, Default)]
pub(crate) struct Link {
    pub(crate) noise: Noise,
    /// Processes that are silently cut off.
    pub(crate) isolated: BTreeSet<Node>,
    /// Directed pairs between which everything is lost.
    pub(crate) blocked: BTreeSet<(Node, Node)>,
    /// Additional delay by directed pair, in microseconds.
    pub(crate) slow: BTreeMap<(Node, Node), u64>,
}

/// One-way delay between two processes without faults, 4 ms as between two data centres.
const DELAY: u64 = 4_000;

impl Link {
    /// Whether nothing passes between two processes.
    pub(crate) fn cut(&self, from: Node, to: Node) -> bool {
        let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        isolated || self.blocked.contains(&(from, to))
    }

    /// Delays of the copies of one message that arrive.
    pub(crate) fn delays(&self, rng: &mut SmallRng, from: Node, to: Node) -> Vec<u64> {
        if self.cut(from, to) {
            return Vec::new();
        }
        let Noise { lose, duplicate, hold, jitter } = self.noise;
        let mut chance = |share: u32| share > 0 && rng.random_ratio(share, 1_000);
        if chance(lose) {
            return Vec::new();
        }
        let copies = if chance(duplicate) { 2 } else { 1 };
        let slow = self.slow.get(&(from, to)).copied().unwrap_or(0);
        let mut delay = || {
            let held = if hold > 0 && rng.random_ratio(hold, 1_000) {
                // Some within the time in which an attempt may start, some beyond every lease.
                let longest = if rng.random_bool(0.5) { 600_000 } else { 4_000_000 };
                rng.random_range(0..longest)
            } else {
                0
            };
            DELAY + slow + held + rng.random_range(0..=jitter)
        };
        (0..copies).map(|_| delay()).collect()
    }
}
