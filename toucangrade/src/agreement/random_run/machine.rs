//! State machine of the randomised run, and what an instance has durably.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::agreement::message::{Body, Store};
use crate::agreement::snapshots::CHUNK_BYTES;
use crate::agreement::storage::Recovered;
use crate::agreement::{Agreement, next_random};
use crate::core::invariant;

/// Sequence of commands that a member has applied, as a checksum.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Machine {
    pub(super) index: u64,
    pub(super) chain: u64,
    pub(super) count: u64,
}

impl Machine {
    pub(super) fn apply(&mut self, index: u64, command: &[u8]) {
        invariant!(index > self.index, "{index} applied after {}", self.index);
        let mut chain = self.chain ^ u64::from(crc32fast::hash(command)) ^ (index << 32);
        self.chain = next_random(&mut chain);
        self.index = index;
        self.count += 1;
    }

    pub(super) fn encode(self) -> Bytes {
        let words = [self.index, self.chain, self.count];
        let mut state: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
        // Some states need more than one message; the same index gives the same state everywhere.
        if self.chain.is_multiple_of(4) {
            state.resize(2 * CHUNK_BYTES + 100, 0);
        }
        state.into()
    }

    pub(super) fn decode(state: &[u8]) -> Self {
        let word = |at: usize| {
            let bytes = state.get(at * 8..at * 8 + 8)?.try_into().ok()?;
            Some(u64::from_le_bytes(bytes))
        };
        let [index, chain, count] = [0, 1, 2].map(|at| word(at).unwrap_or(0));
        Self { index, chain, count }
    }
}

/// Terms of the entries that the storage made durable.
pub(super) struct Durable {
    snapshot: u64,
    terms: BTreeMap<u64, u64>,
}

impl Durable {
    pub(super) fn new(recovered: &Recovered) -> Self {
        let terms = recovered.entries.iter().map(|e| (e.index, e.term));
        Self { snapshot: recovered.snapshot.index, terms: terms.collect() }
    }

    pub(super) fn perform(&mut self, store: &Store) {
        match store {
            Store::Append(entries) => {
                if let Some(first) = entries.first() {
                    self.terms.split_off(&first.index);
                }
                self.terms.extend(entries.iter().map(|e| (e.index, e.term)));
            },
            Store::Snapshot { snapshot, reset } => {
                self.snapshot = snapshot.index;
                if *reset {
                    self.terms.clear();
                }
            },
            Store::Vote { .. } => {},
        }
    }

    /// Checks that an acknowledgement covers only what is durable in the acknowledged form.
    pub(super) fn check(&self, agreement: &Agreement, body: &Body) {
        let (Body::Appended { matched } | Body::HeartbeatReply { matched, .. }) = body else {
            return;
        };
        let term = agreement.log.term(*matched);
        let same = term.is_some() && self.terms.get(matched).copied() == term;
        invariant!(
            *matched <= self.snapshot || same,
            "entry {matched} of term {term:?} acknowledged but not durable, states {:?}",
            serde_json::to_string(agreement).unwrap_or_default()
        );
    }
}
