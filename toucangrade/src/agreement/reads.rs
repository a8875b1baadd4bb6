//! Linearizable reads and leadership transfer.

use serde::Serialize;

use super::message::{Body, Effect, Rejection};
use super::{Agreement, ELECTION_MAX, ELECTION_MIN, LEASE_PERCENT, Role, Transfer, WAITING_LIMIT};
use crate::core::{Moment, Name, Span};

/// A read that is neither answered nor rejected yet.
#[derive(Debug, Serialize)]
pub(super) struct PendingRead {
    pub(super) ticket: u64,
    arrived: Moment,
    /// Commit index that the state machine has to reach; set once leadership at or after the
    /// arrival is confirmed.
    index: Option<u64>,
}

impl Agreement {
    pub(super) fn read(&mut self, now: Moment, ticket: u64) {
        let leader = self.leader_name();
        let reason = match (&self.failed, &mut self.role) {
            (Some(failure), _) => Rejection::Storage { reason: failure.reason.clone() },
            (None, Role::Leader(lead)) if lead.reads.len() < WAITING_LIMIT => {
                return lead.reads.push_back(PendingRead {
                    ticket,
                    // A heartbeat sent in the same microsecond may precede the read.
                    arrived: now.max(lead.last_heartbeat + Span::micros(1)),
                    index: None,
                });
            },
            (None, Role::Leader(lead)) => Rejection::TooMany { waiting: lead.reads.len() },
            _ => Rejection::NotLeader { leader },
        };
        self.out.push(Effect::Reject { ticket, reason });
    }

    /// Answers the reads for which leadership is confirmed and the state machine is up to date.
    ///
    /// Leadership is confirmed if either the lease holds, during which no other leader can be
    /// elected, or a majority has answered a heartbeat that was sent after the read arrived.
    pub(super) fn answer_reads(&mut self, now: Moment) {
        let own_term = self.log.term(self.commit) == Some(self.term);
        let (commit, applied) = (self.commit, self.applied);
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let confirmed = self.quorum_confirmed(lead, now);
        let lease = ELECTION_MIN.percent(LEASE_PERCENT);
        let leased = !lead.lease_void && confirmed.is_some_and(|at| now < at + lease);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        // Until an entry of this term is committed, the commit index may be too low.
        let current = |read: &PendingRead| {
            own_term && (leased || confirmed.is_some_and(|at| at >= read.arrived))
        };
        for read in &mut lead.reads {
            if read.index.is_none() && current(read) {
                read.index = Some(commit);
            }
        }
        let ready = |read: &PendingRead| read.index.is_some_and(|index| index <= applied);
        while let Some(read) = lead.reads.pop_front_if(|read| ready(read)) {
            let (ticket, index) = (read.ticket, read.index.unwrap_or(applied));
            self.out.push(Effect::ReadReady { ticket, index });
        }
        // A further round of heartbeats is sent only after the last one was answered. One round
        // confirms all reads that arrived before it.
        let unconfirmed = lead.reads.iter().any(|read| read.index.is_none());
        let answered = confirmed.is_some_and(|at| at >= lead.last_heartbeat);
        if unconfirmed && own_term && answered && now > lead.last_heartbeat {
            self.send_heartbeats(now);
        }
    }

    /// Starts a leadership transfer. Proposals are rejected until it ends.
    pub(super) fn transfer(&mut self, now: Moment, to: Option<Name>) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let voters = lead.progress.iter().filter(|(name, _)| self.is_voter(name));
        let wanted = voters.filter(|(name, _)| to.as_ref().is_none_or(|to| to == *name));
        let best = wanted.max_by_key(|(_, p)| (p.confirmed, p.matched));
        if let Some(to) = best.map(|(name, _)| name.clone()) {
            let until = now + ELECTION_MAX;
            let sent = false;
            if let Role::Leader(lead) = &mut self.role {
                lead.transfer = Some(Transfer { to, until, sent });
            }
        }
    }

    /// Sends `TimeoutNow` to the new leader once all entries are applied here and durable there.
    pub(super) fn finish_transfer(&mut self) {
        let last = self.log.last();
        let done = self.applied == last;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut lead.transfer else {
            return;
        };
        let matched = lead.progress.get(&transfer.to).map(|p| p.matched);
        if done && matched == Some(last) && !transfer.sent {
            transfer.sent = true;
            lead.lease_void = true;
            let to = transfer.to.clone();
            self.send(&to, Body::TimeoutNow);
        }
    }
}
