//! Snapshots: log compaction, and transfer to members that need entries no longer in the log.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;

use super::message::{Body, Replica, Snapshot, Store};
use super::replication::Mode;
use super::{Agreement, KEPT_BYTES, KEPT_ENTRIES, RESEND, Role};
use crate::core::{Moment, Name};

/// Greatest size of the part of a snapshot in one message.
pub(super) const CHUNK_BYTES: usize = 256 * 1024;

/// A partly received snapshot.
#[derive(Debug, Serialize)]
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    #[serde(skip)]
    data: Vec<u8>,
}

impl Agreement {
    /// Stores a snapshot of the state machine and compacts the log.
    pub(super) fn snapshot_taken(&mut self, index: u64, state: Bytes) {
        // After the files were reopened, an applied entry may be missing from the log.
        let valid = index > self.snapshot.index && index <= self.applied.min(self.commit);
        let config = self.configs.range(..=index).next_back();
        let (Some(term), Some((members_at, members))) = (self.log.term(index), config) else {
            return;
        };
        if !valid || self.failed.is_some() {
            return;
        }
        let members_at = *members_at;
        let snapshot =
            Arc::new(Snapshot { index, term, members: members.clone(), members_at, state });
        self.snapshot = Arc::clone(&snapshot);
        self.configs = self.configs.split_off(&members_at);
        self.log.compact(index, KEPT_ENTRIES, KEPT_BYTES);
        let reset = false;
        self.store(Store::Snapshot { snapshot, reset });
    }

    /// Sends the next chunk of the snapshot to a member.
    pub(super) fn send_chunk(&mut self, now: Moment, name: &Name) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(name) else {
            return;
        };
        let Mode::Snapshot { snapshot, offset } = &progress.mode else {
            return;
        };
        progress.sent = now;
        let offset = *offset;
        let total = snapshot.state.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = total.min(start + CHUNK_BYTES);
        let part = Snapshot {
            state: snapshot.state.slice(start..end),
            members: snapshot.members.clone(),
            ..**snapshot
        };
        let total = total as u64;
        self.send(name, Body::Chunk { part, offset, total });
    }

    pub(super) fn resend_chunks(&mut self, now: Moment) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let late = lead.progress.iter().filter(|(_, progress)| {
            matches!(progress.mode, Mode::Snapshot { .. }) && now.since(progress.sent) >= RESEND
        });
        let names: Vec<Name> = late.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.send_chunk(now, &name);
        }
    }

    pub(super) fn on_chunk(&mut self, from: &Replica, part: Snapshot, offset: u64, total: u64) {
        let (index, term) = (part.index, part.term);
        if self.log.term(index) == Some(term) {
            // The log contains the snapshot's last entry and therefore all entries before it.
            self.verified = self.verified.max(index);
            self.commit = self.commit.max(index);
        }
        if index <= self.commit {
            self.incoming = None;
            return self.acknowledge();
        }
        let same = |incoming: &IncomingSnapshot| incoming.index == index && incoming.term == term;
        if !self.incoming.as_ref().is_some_and(same) {
            let data = Vec::new();
            self.incoming = Some(IncomingSnapshot { index, term, data });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(&part.state);
        }
        let offset = incoming.data.len() as u64;
        if offset == total {
            let state = std::mem::take(&mut incoming.data).into();
            self.incoming = None;
            self.install(Arc::new(Snapshot { state, ..part }));
        }
        let body = Body::ChunkReply { index, offset };
        self.send_to(self.term, &from.name, from.identity, body);
    }

    pub(super) fn on_chunk_reply(&mut self, now: Moment, name: &Name, index: u64, confirmed: u64) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(name) else {
            return;
        };
        let Mode::Snapshot { snapshot, offset } = &mut progress.mode else {
            return;
        };
        let total = snapshot.state.len() as u64;
        // A repeated reply must not cause chunks to be sent twice.
        if snapshot.index == index && confirmed <= total && confirmed != *offset {
            *offset = confirmed;
            if confirmed < total {
                self.send_chunk(now, name);
            }
        }
    }
}
