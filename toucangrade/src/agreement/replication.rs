//! Replication of the log from the leader to the others.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

use super::message::{Body, Effect, Entry, Replica, Report, Snapshot};
use super::{
    APPEND_BYTES, APPEND_ENTRIES, Agreement, ELECTION_MAX, HEARTBEAT, LOSS_REPORT, Lead, RESEND,
    Role, STORE_STALL, Saving, WINDOW,
};
use crate::core::{Moment, Name, invariant};

/// How the leader sends to one member.
#[derive(Debug, Serialize)]
pub(super) enum Mode {
    /// One append at a time until the end of the common log is found.
    Probe,
    /// Up to `WINDOW` appends without waiting for replies.
    Stream,
    /// A snapshot, of which `offset` bytes are confirmed.
    Snapshot {
        #[serde(serialize_with = "super::snapshot_index")]
        snapshot: Arc<Snapshot>,
        offset: u64,
    },
}

/// What the leader knows about one member.
#[derive(Debug, Serialize)]
pub(super) struct Progress {
    /// The member's log is durable and equal up to this index.
    pub(super) matched: u64,
    /// Index of the next entry to send.
    pub(super) next: u64,
    pub(super) mode: Mode,
    /// Last index of each append that is not answered.
    pub(super) unanswered: VecDeque<u64>,
    /// When something was last sent that needs an answer.
    pub(super) sent: Moment,
    /// Latest own sending time of a heartbeat that the member answered.
    pub(super) confirmed: Option<Moment>,
    /// Refusals in a row of entries that the member acknowledged before.
    refused: u32,
}

impl Agreement {
    /// Keeps one progress record for each other member.
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

    /// When a majority of voters was last certain to follow this leader.
    pub(super) fn confirmed(&self, lead: &Lead, now: Moment) -> Option<Moment> {
        self.members().quorum(|name| {
            if *name == self.me.name {
                Some(now)
            } else {
                lead.progress.get(name).and_then(|p| p.confirmed)
            }
        })
    }

    /// Heartbeats, time-outs and check-quorum of the leader.
    pub(super) fn lead_tick(&mut self, now: Moment) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let confirmed = self.confirmed(lead, now).unwrap_or(lead.since);
        if now.since(confirmed) >= ELECTION_MAX {
            return self.follow(now, None);
        }
        let late = |saving: &Saving| now.since(saving.since) >= STORE_STALL;
        if self.saving.as_ref().is_some_and(late) {
            return self.abdicate(now);
        }
        let beat_due = now.since(lead.beat) >= HEARTBEAT;
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
        if beat_due {
            self.beat(now);
        }
        self.resend_chunks(now);
    }

    /// Sends a heartbeat to every member.
    pub(super) fn beat(&mut self, now: Moment) {
        let (commit, sent) = (self.commit, now.as_micros());
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.beat = now;
        let names: Vec<Name> = lead.progress.keys().cloned().collect();
        for name in names {
            self.send(&name, Body::Heartbeat { commit, sent });
        }
    }

    /// Commits what a majority of voters has durably. Entries of earlier terms are committed only
    /// together with one of this term, as a majority alone does not protect them.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let index = self.members().quorum(|name| {
            if *name == self.me.name {
                self.saved
            } else {
                lead.progress.get(name).map_or(0, |p| p.matched)
            }
        });
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit = index;
        }
    }

    /// Sends what the members lack, as far as their windows allow.
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

    /// Sends one append or starts a snapshot; whether there may be more to send.
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

    /// Messages of replication in the present term, both from the leader and to it.
    pub(super) fn on_replication(&mut self, now: Moment, from: &Replica, body: Body) {
        match body {
            Body::Append { prev_index, prev_term, commit, entries } => {
                self.hear(now, from);
                self.on_append(from, prev_index, prev_term, commit, entries);
            },
            Body::Chunk { part, offset, total } => {
                self.hear(now, from);
                self.on_chunk(from, part, offset, total);
            },
            Body::Heartbeat { commit, sent } => {
                self.hear(now, from);
                self.commit = self.commit.max(commit.min(self.verified));
                let matched = self.saved.min(self.verified);
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

    /// Notes contact with the leader of the present term.
    fn hear(&mut self, now: Moment, leader: &Replica) {
        let other = self.leader.as_ref().is_some_and(|known| known != leader);
        let leading = matches!(self.role, Role::Leader(_));
        invariant!(
            !leading && !other,
            "{} leads term {} besides {:?}",
            leader.name,
            self.term,
            self.leader
        );
        if !matches!(self.role, Role::Follower) || self.leader.is_none() {
            self.follow(now, Some(leader.clone()));
        }
        self.contact = now;
        self.postpone(now);
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
                self.log.run_start(prev_index).max(self.commit + 1)
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
        // Otherwise the reply follows the sync.
        if empty || self.saved >= upto {
            let matched = self.saved.min(self.verified);
            self.reply(from, Body::Appended { matched });
        }
    }

    fn truncate(&mut self, index: u64) {
        invariant!(
            index > self.commit && index > self.verified,
            "entry {index} replaced, committed is {}, verified {}",
            self.commit,
            self.verified
        );
        self.log.truncate(index);
        self.configs.split_off(&index);
        self.stored = self.stored.min(index - 1);
        self.saved = self.saved.min(index - 1);
        if let Some(saving) = &mut self.saving {
            saving.upto = saving.upto.min(index - 1);
        }
    }

    /// Tells the leader how far the log is durable.
    pub(super) fn acknowledge(&mut self) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        if leader != self.me {
            let matched = self.saved.min(self.verified);
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

    fn on_matched(&mut self, now: Moment, name: &Name, matched: u64, answer: bool) {
        let last = self.log.last();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(name) else {
            return;
        };
        invariant!(matched <= last, "{name} acknowledged {matched}, the log ends at {last}");
        if matched > progress.matched {
            progress.matched = matched;
            progress.sent = now;
        }
        let idle = progress.unanswered.is_empty();
        if matched < progress.matched && idle && matches!(progress.mode, Mode::Stream) {
            // A member that restarted learns what is committed only after it compared its log.
            progress.mode = Mode::Probe;
            progress.next = progress.matched + 1;
            return;
        }
        if answer && matched == progress.matched {
            progress.refused = 0;
        }
        progress.unanswered.retain(|upto| *upto > matched);
        match &progress.mode {
            Mode::Snapshot { snapshot, .. } if matched < snapshot.index => {},
            Mode::Probe if !answer => progress.next = progress.next.max(matched + 1),
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
        // Late replies of an earlier attempt must not move `next`.
        let current = match progress.mode {
            Mode::Probe => prev_index + 1 == progress.next,
            Mode::Stream => prev_index < progress.next,
            Mode::Snapshot { .. } => false,
        };
        if current && prev_index == progress.matched {
            // What is durable at a member cannot go back, unless its disk lost it.
            progress.refused += 1;
            if progress.refused == LOSS_REPORT {
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
