//! Replication of the log from the leader to the other members, with heartbeats and check-quorum.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

use super::message::{Body, Effect, Entry, Replica, Report, Snapshot};
use super::{
    APPEND_BYTES, APPEND_ENTRIES, Agreement, ELECTION_MAX, HEARTBEAT, LOSS_THRESHOLD, LeaderState,
    PendingAppend, RESEND, Role, STORE_TIMEOUT, WINDOW,
};
use crate::core::{Moment, Name, invariant};

/// How the leader replicates to one member.
#[derive(Debug, Serialize)]
pub(super) enum Mode {
    /// Sends one append at a time until the last entry common to both logs is found.
    Probe,
    /// Sends up to `WINDOW` appends without waiting for replies.
    Stream,
    /// Sends a snapshot, of which `offset` bytes are confirmed.
    Snapshot {
        #[serde(serialize_with = "super::snapshot_index")]
        snapshot: Arc<Snapshot>,
        offset: u64,
    },
}

/// Replication state of one member at the leader.
#[derive(Debug, Serialize)]
pub(super) struct Progress {
    /// Index up to which the member's log is durable and equal to the leader's.
    pub(super) matched: u64,
    /// Index of the next entry to send.
    pub(super) next: u64,
    pub(super) mode: Mode,
    /// Last index of each unanswered append.
    pub(super) unanswered: VecDeque<u64>,
    /// When an append or chunk was last sent, or `matched` last advanced; the resend timer starts
    /// here.
    pub(super) sent: Moment,
    /// When the latest heartbeat that the member answered was sent, by the leader's clock.
    pub(super) confirmed: Option<Moment>,
    /// Number of consecutive conflicts at `matched`, which the member had acknowledged.
    refused: u32,
}

impl Agreement {
    /// Adds and removes `Progress` records after a change of membership.
    pub(super) fn track_members(&mut self) {
        let (next, at) = (self.log.last() + 1, self.members_at());
        if !matches!(&self.role, Role::Leader(lead) if lead.tracked != at) {
            return;
        }
        let members = self.members().clone();
        let me = self.me.name.clone();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.tracked = at;
        let progress = &mut lead.progress;
        progress.retain(|name, _| members.get(name).is_some());
        for (name, _) in members.iter().filter(|(name, _)| **name != me) {
            progress.entry(name.clone()).or_insert_with(|| Progress {
                matched: 0,
                next,
                mode: Mode::Probe,
                unanswered: VecDeque::new(),
                sent: Moment::START,
                confirmed: None,
                refused: 0,
            });
        }
    }

    /// Latest time at which a majority of voters is known to have followed this leader. This is the
    /// sending time of the heartbeats that they answered.
    pub(super) fn quorum_confirmed(&self, lead: &LeaderState, now: Moment) -> Option<Moment> {
        self.members().quorum(|name| {
            if *name == self.me.name {
                Some(now)
            } else {
                lead.progress.get(name).and_then(|p| p.confirmed)
            }
        })
    }

    /// Sends heartbeats, handles time-outs and steps down without contact to a quorum.
    pub(super) fn leader_tick(&mut self, now: Moment) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let confirmed = self.quorum_confirmed(lead, now).unwrap_or(lead.since);
        if now.since(confirmed) >= ELECTION_MAX {
            return self.become_follower(now, None);
        }
        let late = |append: &PendingAppend| now.since(append.since) >= STORE_TIMEOUT;
        if self.pending_append.as_ref().is_some_and(late) {
            return self.step_down(now);
        }
        let heartbeat_due = now.since(lead.last_heartbeat) >= HEARTBEAT;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.transfer.take_if(|transfer| now >= transfer.until);
        for progress in lead.progress.values_mut() {
            let late = now.since(progress.sent) >= RESEND;
            if !progress.unanswered.is_empty() && late {
                progress.unanswered.clear();
                progress.next = progress.matched + 1;
                progress.mode = Mode::Probe;
            }
        }
        if heartbeat_due {
            self.send_heartbeats(now);
        }
        self.resend_chunks(now);
    }

    /// Sends a heartbeat to every member.
    pub(super) fn send_heartbeats(&mut self, now: Moment) {
        let (commit, sent) = (self.commit, now.as_micros());
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.last_heartbeat = now;
        let names: Vec<Name> = lead.progress.keys().cloned().collect();
        for name in names {
            self.send(&name, Body::Heartbeat { commit, sent });
        }
    }

    /// Commits the entries that are durable at a majority of voters. Entries of earlier terms are
    /// committed only together with one of this term, as a later leader may still replace them even
    /// if a majority has them.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let index = self.members().quorum(|name| {
            if *name == self.me.name {
                self.durable
            } else {
                lead.progress.get(name).map_or(0, |p| p.matched)
            }
        });
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit = index;
        }
    }

    /// Sends missing entries to all members, as far as their windows allow.
    pub(super) fn replicate_all(&mut self, now: Moment) {
        self.track_members();
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let names: Vec<Name> = lead.progress.keys().cloned().collect();
        for name in names {
            while self.replicate(now, &name) {}
        }
    }

    /// Sends one append or starts a snapshot. Returns whether there may be more to send.
    fn replicate(&mut self, now: Moment, name: &Name) -> bool {
        let (last, commit) = (self.log.last(), self.commit);
        let Role::Leader(lead) = &mut self.role else {
            return false;
        };
        let Some(progress) = lead.progress.get_mut(name) else {
            return false;
        };
        let room = match progress.mode {
            Mode::Probe => progress.unanswered.is_empty(),
            Mode::Stream => progress.unanswered.len() < WINDOW && progress.next <= last,
            Mode::Snapshot { .. } => false,
        };
        if !room {
            return false;
        }
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            let snapshot = Arc::clone(&self.snapshot);
            progress.unanswered.clear();
            progress.mode = Mode::Snapshot { snapshot, offset: 0 };
            self.send_chunk(now, name);
            return false;
        };
        let entries = self.log.batch(progress.next, APPEND_ENTRIES, APPEND_BYTES);
        let upto = prev_index + entries.len() as u64;
        progress.unanswered.push_back(upto);
        progress.sent = now;
        if matches!(progress.mode, Mode::Stream) {
            progress.next = upto + 1;
        }
        let body = Body::Append { prev_index, prev_term, commit, entries };
        self.send(name, body);
        true
    }

    /// Handles the replication messages of the current term, both from the leader and to it.
    pub(super) fn on_replication(&mut self, now: Moment, from: &Replica, body: Body) {
        match body {
            Body::Append { prev_index, prev_term, commit, entries } => {
                self.on_leader_contact(now, from);
                self.on_append(from, prev_index, prev_term, commit, entries);
            },
            Body::Chunk { part, offset, total } => {
                self.on_leader_contact(now, from);
                self.on_chunk(from, part, offset, total);
            },
            Body::Heartbeat { commit, sent } => {
                self.on_leader_contact(now, from);
                self.commit = self.commit.max(commit.min(self.verified));
                let matched = self.durable.min(self.verified);
                self.reply(from, Body::HeartbeatReply { matched, sent });
            },
            Body::Appended { matched } => self.on_matched(now, &from.name, matched, true),
            Body::HeartbeatReply { matched, sent } => {
                self.on_confirmed(now, &from.name, Moment::micros(sent));
                self.on_matched(now, &from.name, matched, false);
            },
            Body::Conflict { prev_index, hint } => {
                self.on_conflict(&from.name, prev_index, hint);
            },
            Body::ChunkReply { index, offset } => {
                self.on_chunk_reply(now, &from.name, index, offset);
            },
            _ => {},
        }
    }

    fn reply(&mut self, to: &Replica, body: Body) {
        self.send_to(self.term, &to.name, to.identity, body);
    }

    /// Records contact with the leader of the current term.
    fn on_leader_contact(&mut self, now: Moment, leader: &Replica) {
        let other = self.leader.as_ref().is_some_and(|known| known != leader);
        let leading = matches!(self.role, Role::Leader(_));
        invariant!(
            !leading && !other,
            "message from {} as leader of term {}, but the known leader is {:?}",
            leader.name,
            self.term,
            self.leader
        );
        if !matches!(self.role, Role::Follower) || self.leader.is_none() {
            self.become_follower(now, Some(leader.clone()));
        }
        self.contact = now;
        self.reset_election_timer(now);
    }

    fn on_append(
        &mut self,
        from: &Replica,
        prev_index: u64,
        prev_term: u64,
        commit: u64,
        entries: Vec<Entry>,
    ) {
        let last = self.log.last();
        let differs = self.log.term(prev_index) != Some(prev_term);
        if prev_index > last || (prev_index >= self.log.base() && differs) {
            let hint = if prev_index > last {
                last + 1
            } else {
                self.log.term_start(prev_index).max(self.commit + 1)
            };
            return self.reply(from, Body::Conflict { prev_index, hint });
        }
        let upto = prev_index + entries.len() as u64;
        let empty = entries.is_empty();
        for entry in entries {
            if entry.index <= self.log.base() {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => {},
            }
            self.push(entry);
        }
        self.verified = self.verified.max(upto);
        self.commit = self.commit.max(commit.min(self.verified));
        // Otherwise the reply is sent after the sync.
        if empty || self.durable >= upto {
            let matched = self.durable.min(self.verified);
            self.reply(from, Body::Appended { matched });
        }
    }

    fn truncate(&mut self, index: u64) {
        invariant!(
            index > self.commit && index > self.verified,
            "entry {index} can't be replaced: committed up to {}, verified up to {}",
            self.commit,
            self.verified
        );
        self.log.truncate(index);
        self.configs.split_off(&index);
        self.submitted = self.submitted.min(index - 1);
        self.durable = self.durable.min(index - 1);
        if let Some(append) = &mut self.pending_append {
            append.upto = append.upto.min(index - 1);
        }
    }

    /// Sends the leader the index up to which the log is durable and verified.
    pub(super) fn acknowledge(&mut self) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        if leader != self.me {
            let matched = self.durable.min(self.verified);
            self.reply(&leader, Body::Appended { matched });
        }
    }

    fn on_confirmed(&mut self, now: Moment, name: &Name, sent: Moment) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        invariant!(sent <= now, "heartbeat answered before it was sent");
        if let Some(progress) = lead.progress.get_mut(name) {
            progress.confirmed = progress.confirmed.max(Some(sent));
        }
    }

    fn on_matched(&mut self, now: Moment, name: &Name, matched: u64, from_append: bool) {
        let last = self.log.last();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(name) else {
            return;
        };
        invariant!(
            matched <= last,
            "{name} acknowledged entry {matched}, but the log ends at {last}"
        );
        if matched > progress.matched {
            progress.matched = matched;
            progress.sent = now;
        }
        let idle = progress.unanswered.is_empty();
        if matched < progress.matched && idle && matches!(progress.mode, Mode::Stream) {
            // A member that restarted advances its commit index only after its log was compared
            // with the leader's.
            progress.mode = Mode::Probe;
            progress.next = progress.matched + 1;
            return;
        }
        if from_append && matched == progress.matched {
            progress.refused = 0;
        }
        progress.unanswered.retain(|upto| *upto > matched);
        match &progress.mode {
            Mode::Snapshot { snapshot, .. } if matched < snapshot.index => {},
            Mode::Probe if !from_append => progress.next = progress.next.max(matched + 1),
            Mode::Stream => progress.next = progress.next.max(matched + 1),
            Mode::Probe | Mode::Snapshot { .. } => {
                progress.mode = Mode::Stream;
                progress.unanswered.clear();
                progress.next = progress.matched + 1;
            },
        }
    }

    fn on_conflict(&mut self, name: &Name, prev_index: u64, hint: u64) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(name) else {
            return;
        };
        // Delayed replies to earlier appends must not change `next`.
        let current = match progress.mode {
            Mode::Probe => prev_index + 1 == progress.next,
            Mode::Stream => prev_index < progress.next,
            Mode::Snapshot { .. } => false,
        };
        if current && prev_index == progress.matched {
            // The durable entries of a member cannot disappear, unless its disk lost them.
            progress.refused += 1;
            if progress.refused == LOSS_THRESHOLD {
                let (name, index) = (name.clone(), prev_index);
                self.out.push(Effect::Report(Report::Loss { name, index }));
            }
        } else if current && prev_index > progress.matched {
            progress.next = hint.min(prev_index).max(progress.matched + 1);
            progress.mode = Mode::Probe;
            progress.unanswered.clear();
        }
    }
}
