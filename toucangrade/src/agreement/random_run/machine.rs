//! State machine of the randomised run, and a record of the durable entries of an instance.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::agreement::message::{Body, Store};
use crate::agreement::snapshots::CHUNK_BYTES;
use crate::agreement::storage::Recovered;
use crate::agreement::{Agreement, next_random};
use crate::core::invariant;

/// State machine whose state is a checksum of the applied commands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct StateMachine {
    /// Index of the last applied command.
    pub(super) index: u64,
    /// Checksum chained over all applied commands and their indices.
    pub(super) chain: u64,
    /// Number of applied commands.
    pub(super) count: u64,
}

impl StateMachine {
    pub(super) fn apply(&mut self, index: u64, command: &[u8]) {
        invariant!(
            index > self.index,
            "command at index {index} applied after index {}",
            self.index
        );
        let mut chain = self.chain ^ u64::from(crc32fast::hash(command)) ^ (index << 32);
        self.chain = next_random(&mut chain);
        self.index = index;
        self.count += 1;
    }

    pub(super) fn encode(self) -> Bytes {
        let words = [self.index, self.chain, self.count];
        let mut state: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
        // Some states need several chunks. The padding depends only on the state, so that all
        // members encode the same index to the same bytes.
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

/// Record of the entries that the storage made durable.
pub(super) struct DurableLog {
    /// Index of the durable snapshot.
    snapshot: u64,
    /// Term of each durable entry by index.
    terms: BTreeMap<u64, u64>,
}

impl DurableLog {
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
            Store::Reopen | Store::Vote { .. } => {},
        }
    }

    /// Checks that reopened files hold exactly the entries that were durable.
    pub(super) fn check_reopened(&self, recovered: &Recovered) {
        let found = Self::new(recovered);
        // A snapshot may become durable although the store that wrote it failed.
        let terms = self.terms.range(found.snapshot + 1..);
        invariant!(
            found.snapshot > self.snapshot || found.terms.iter().eq(terms),
            "reopened files hold {:?} after snapshot {}, durable were {:?}",
            found.terms,
            found.snapshot,
            self.terms
        );
    }

    /// Checks that the last entry that a message acknowledges is durable with the same term.
    pub(super) fn check_acknowledged(&self, agreement: &Agreement, body: &Body) {
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
