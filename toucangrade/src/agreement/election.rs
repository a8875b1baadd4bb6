//! Bootstrap of a group, receipt of peer messages, elections and changes of role.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{Body, Effect, PeerMessage, Rejection, Replica, Report, Snapshot, Store};
use super::{Agreement, Deferred, ELECTION_MIN, HEARTBEAT, LeaderState, Log, Members, Role};
use crate::core::{Moment, Name, invariant};

impl Agreement {
    /// Handles a message from another instance.
    pub(super) fn receive(&mut self, now: Moment, message: PeerMessage) {
        if self.failed.is_some() || !self.admit(&message) {
            return;
        }
        let bounds = (self.leading() == Some(message.term)).then(|| (now, self.log.last()));
        if let Some(reason) = message.invalid_reason(bounds) {
            let Replica { name, identity } = message.from;
            let report = Report::InvalidMessage { name: name.clone(), reason };
            return self.report(&name, identity, report);
        }
        let PeerMessage { from, term, body, .. } = message;
        match body {
            Body::Hello => return self.on_hello(&from),
            Body::HelloReply { fresh } => return self.on_hello_reply(now, from, fresh),
            Body::Vote { pre: true, .. } | Body::VoteReply { pre: true, .. } => {},
            // Granting this vote could elect another leader while the present one still relies on
            // its lease, and would let an instance that was isolated disrupt the group.
            Body::Vote { transfer: false, .. } if self.has_recent_leader(now) => return,
            _ if term > self.term => self.adopt_term(now, term),
            _ => {},
        }
        match body {
            Body::Vote { last_index, last_term, pre, .. } => {
                self.on_vote(now, &from, term, (last_term, last_index), pre);
            },
            Body::VoteReply { pre, granted } => self.on_vote_reply(now, &from, term, pre, granted),
            // The term of the reply makes a stale leader step down.
            _ if term < self.term => {
                let reply = Body::HeartbeatReply { matched: 0, sent: 0 };
                self.send_to(self.term, &from.name, from.identity, reply);
            },
            Body::TimeoutNow => {
                if self.leader.as_ref() == Some(&from) && self.members().is_voter(&self.me) {
                    self.start_election(now, true);
                }
            },
            body => self.on_replication(now, &from, body),
        }
    }

    /// Checks that a message is addressed to this instance, and that its sender has the recorded
    /// identity or, unless the message is a reply, may be a member that this instance doesn't know
    /// yet.
    fn admit(&mut self, message: &PeerMessage) -> bool {
        let PeerMessage { from, target, members_at, body, .. } = message;
        let (name, found) = (from.name.clone(), from.identity);
        let hello = matches!(body, Body::Hello);
        if *target != self.me.identity && !hello {
            let report = Report::Target { name: name.clone(), found: *target };
            self.report(&name, *target, report);
            return false;
        }
        let reply = matches!(
            body,
            Body::Appended { .. }
                | Body::ChunkReply { .. }
                | Body::Conflict { .. }
                | Body::HeartbeatReply { .. }
                | Body::VoteReply { .. }
        );
        let newer = *members_at > self.members_at();
        match self.members().get(&name).map(|member| member.identity) {
            Some(recorded) if recorded != found => {
                // A sender with a later membership may be the replacement of a lost member.
                if newer && !reply && !hello {
                    return true;
                }
                let report = Report::Identity { name: name.clone(), found, recorded };
                self.report(&name, found, report);
                hello
            },
            Some(_) => true,
            None => !reply,
        }
    }

    /// Emits a report, unless the last one about this name was for the same identity.
    fn report(&mut self, name: &Name, identity: u64, report: Report) {
        if self.reported.insert(name.clone(), identity) != Some(identity) {
            self.out.push(Effect::Report(report));
        }
    }

    /// As a founder, sends `Hello` to the other founders at each heartbeat interval, and creates
    /// the group if that is possible.
    pub(super) fn send_hellos(&mut self, now: Moment) {
        if self.founders.contains(&self.me.name) && now >= self.next_hello {
            self.next_hello = now + HEARTBEAT;
            for name in self.founders.clone() {
                if name != self.me.name {
                    self.send_to(0, &name, 0, Body::Hello);
                }
            }
            self.found_group(now);
        }
    }

    fn is_fresh(&self) -> bool {
        self.term == 0 && self.members().is_empty() && self.log.last() == 0
    }

    fn on_hello(&mut self, from: &Replica) {
        let fresh = self.is_fresh();
        let reply = Body::HelloReply { fresh };
        self.send_to(self.term, &from.name, from.identity, reply);
    }

    fn on_hello_reply(&mut self, now: Moment, from: Replica, fresh: bool) {
        if fresh && self.founders.contains(&from.name) {
            self.fresh.insert(from.name, from.identity);
            self.found_group(now);
        } else {
            self.fresh.remove(&from.name);
        }
    }

    /// Creates the group if this instance has the lowest name of the founders and all others
    /// answered that they belong to no group.
    ///
    /// An instance that lost its disk can't create a second group, as the others belong to one.
    fn found_group(&mut self, now: Moment) {
        let lowest = self.founders.iter().min() == Some(&self.me.name);
        let mut others = self.founders.iter().filter(|name| **name != self.me.name);
        if !lowest || !self.is_fresh() || !others.all(|name| self.fresh.contains_key(name)) {
            return;
        }
        let fresh = std::mem::take(&mut self.fresh).into_iter();
        let others = fresh.map(|(name, identity)| Replica { name, identity });
        let members = Members::voting(others.chain([self.me.clone()]));
        let snapshot = Arc::new(Snapshot {
            index: 1,
            term: 1,
            members: members.clone(),
            members_at: 1,
            state: bytes::Bytes::new(),
        });
        self.term = 1;
        self.store(Store::Vote { term: 1, vote: None });
        self.install(snapshot);
        self.reset_election_timer(now);
    }

    /// Replaces the log and the state by a snapshot.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        self.log = Log::new(index, snapshot.term, Vec::new());
        self.configs = BTreeMap::from([(snapshot.members_at, snapshot.members.clone())]);
        (self.commit, self.applied, self.verified) = (index, index, index);
        self.submitted = index;
        // The durable entries belong to the replaced log.
        self.durable = 0;
        self.pending_append = None;
        self.snapshot = Arc::clone(&snapshot);
        let reset = true;
        let seq = self.store(Store::Snapshot { snapshot, reset });
        self.defer(seq, Deferred::Installed { index });
        self.emit_snapshot();
    }

    /// Whether there was contact with a leader, or as leader with a quorum, within `ELECTION_MIN`.
    fn has_recent_leader(&self, now: Moment) -> bool {
        let contact = match &self.role {
            Role::Leader(lead) => self.quorum_confirmed(lead, now).unwrap_or(lead.since),
            _ => self.contact,
        };
        now.since(contact) < ELECTION_MIN
    }

    /// Becomes a follower in a later term.
    fn adopt_term(&mut self, now: Moment, term: u64) {
        self.become_follower(now, None);
        self.enter_term(term, None);
    }

    fn enter_term(&mut self, term: u64, vote: Option<Replica>) -> u64 {
        invariant!(term > self.term, "term {} can't be followed by term {term}", self.term);
        self.term = term;
        self.vote = vote.clone();
        self.verified = self.commit;
        self.store(Store::Vote { term, vote })
    }

    /// Becomes a follower in the current term. A leader that steps down rejects its pending
    /// proposals and reads.
    pub(super) fn become_follower(&mut self, now: Moment, leader: Option<Replica>) {
        self.leader = leader;
        if let Role::Leader(lead) = std::mem::replace(&mut self.role, Role::Follower) {
            self.reset_election_timer(now);
            for (_, waiting) in std::mem::take(&mut self.waiting) {
                let (ticket, reason) = (waiting.ticket, Rejection::LostLeadership);
                self.out.push(Effect::Reject { ticket, reason });
            }
            self.waiting_bytes = 0;
            for read in lead.reads {
                let ticket = read.ticket;
                let leader = self.leader_name();
                let reason = Rejection::NotLeader { leader };
                self.out.push(Effect::Reject { ticket, reason });
            }
        }
    }

    /// Starts a pre-vote, which finds out whether an election could be won, so that an isolated
    /// instance does not raise the term repeatedly.
    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.reset_election_timer(now);
        self.leader = None;
        let votes = [self.me.name.clone()].into();
        self.role = Role::PreCandidate { votes };
        self.send_vote_requests(self.term + 1, true, false);
        self.count_votes(now);
    }

    /// Starts an election in the next term. Vote requests are sent once the own vote is durable.
    fn start_election(&mut self, now: Moment, transfer: bool) {
        self.reset_election_timer(now);
        self.become_follower(now, None);
        let votes = std::collections::BTreeSet::new();
        self.role = Role::Candidate { votes };
        let term = self.term + 1;
        let seq = self.enter_term(term, Some(self.me.clone()));
        self.defer(seq, Deferred::OwnVote { term, transfer });
    }

    /// Counts the own vote, which is now durable, and requests the votes of the others.
    pub(super) fn request_votes(&mut self, now: Moment, term: u64, transfer: bool) {
        match &mut self.role {
            Role::Candidate { votes } if self.term == term => {
                votes.insert(self.me.name.clone());
                self.send_vote_requests(term, false, transfer);
                self.count_votes(now);
            },
            _ => {},
        }
    }

    fn send_vote_requests(&mut self, term: u64, pre: bool, transfer: bool) {
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        let others = self.members().voters().map(|(name, _)| name.clone());
        let others: Vec<Name> = others.filter(|name| *name != self.me.name).collect();
        for name in &others {
            let body = Body::Vote { last_index, last_term, pre, transfer };
            self.send_in(term, name, body);
        }
    }

    fn on_vote(&mut self, now: Moment, from: &Replica, term: u64, last: (u64, u64), pre: bool) {
        let longer = last >= (self.log.last_term(), self.log.last());
        if pre {
            let granted = longer && term > self.term && !self.has_recent_leader(now);
            // A refusal carries the own term, so that a candidate with an older term learns it.
            let reply_term = if granted { term } else { self.term };
            let body = Body::VoteReply { pre, granted };
            return self.send_to(reply_term, &from.name, from.identity, body);
        }
        let free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = term == self.term && longer && free;
        if granted {
            self.reset_election_timer(now);
            if self.vote.is_none() {
                self.vote = Some(from.clone());
                let vote = self.vote.clone();
                self.store(Store::Vote { term, vote });
            }
        }
        let body = Body::VoteReply { pre, granted };
        let body = self.envelope(self.term, from.identity, body);
        let to = from.name.clone();
        if self.synced_seq < self.seq {
            self.defer(self.seq, Deferred::Send { to, body });
        } else {
            self.out.push(Effect::Send { to, body });
        }
    }

    fn on_vote_reply(&mut self, now: Moment, from: &Replica, term: u64, pre: bool, granted: bool) {
        if pre && !granted && term > self.term {
            return self.adopt_term(now, term);
        }
        let expected = if pre { self.term + 1 } else { self.term };
        match &mut self.role {
            Role::PreCandidate { votes } if pre && granted && term == expected => {
                votes.insert(from.name.clone());
            },
            Role::Candidate { votes } if !pre && granted && term == expected => {
                votes.insert(from.name.clone());
            },
            _ => return,
        }
        self.count_votes(now);
    }

    /// Starts the election after a won pre-vote, or becomes leader after a won election.
    fn count_votes(&mut self, now: Moment) {
        match &self.role {
            Role::PreCandidate { votes } if self.members().quorum(|n| votes.contains(n)) => {
                self.start_election(now, false);
            },
            Role::Candidate { votes } if self.members().quorum(|n| votes.contains(n)) => {
                self.become_leader(now);
            },
            _ => {},
        }
    }

    /// Becomes leader of the current term. The empty entry that it appends lets entries of earlier
    /// terms commit.
    fn become_leader(&mut self, now: Moment) {
        self.leader = Some(self.me.clone());
        self.verified = self.log.last();
        self.role = Role::Leader(Box::new(LeaderState {
            progress: BTreeMap::new(),
            tracked: 0,
            reads: std::collections::VecDeque::new(),
            transfer: None,
            lease_void: false,
            last_heartbeat: now,
            since: now,
        }));
        self.track_members();
        self.append(None, super::Payload::Noop);
        self.send_heartbeats(now);
    }
}
