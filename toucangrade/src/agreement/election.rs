//! Founding of a group, elections and changes of role.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{Body, Effect, PeerMessage, Rejection, Replica, Report, Snapshot, Store};
use super::{Agreement, ELECTION_MIN, HEARTBEAT, Held, Lead, Log, Members, Role};
use crate::core::{Moment, Name, invariant};

impl Agreement {
    /// Takes a message of another instance.
    pub(super) fn receive(&mut self, now: Moment, message: PeerMessage) {
        if self.failed.is_some() || !self.admit(&message) {
            return;
        }
        let asked = (self.leading() == Some(message.term)).then(|| (now, self.log.last()));
        if let Some(flaw) = message.flaw(asked) {
            let Replica { name, identity } = message.from;
            let report = Report::Unsound { name: name.clone(), flaw };
            return self.report(&name, identity, report);
        }
        let PeerMessage { from, term, body, .. } = message;
        match body {
            Body::Hello => return self.greet(&from),
            Body::HelloReply { fresh } => return self.greeted(now, from, fresh),
            Body::Vote { pre: true, .. } | Body::VoteReply { pre: true, .. } => {},
            // A vote within this time could end the lease of a leader that still relies on it, and
            // an instance that was isolated could disrupt the group.
            Body::Vote { transfer: false, .. } if self.led(now) => return,
            _ if term > self.term => self.adopt(now, term),
            _ => {},
        }
        match body {
            Body::Vote { last_index, last_term, pre, .. } => {
                self.on_vote(now, &from, term, (last_term, last_index), pre);
            },
            Body::VoteReply { pre, granted } => self.on_vote_reply(now, &from, term, pre, granted),
            // The reply's term tells a stale leader to step down.
            _ if term < self.term => {
                let reply = Body::HeartbeatReply { matched: 0, sent: 0 };
                self.send_to(self.term, &from.name, from.identity, reply);
            },
            Body::TimeoutNow => {
                if self.leader.as_ref() == Some(&from) && self.members().is_voter(&self.me) {
                    self.stand(now, true);
                }
            },
            body => self.on_replication(now, &from, body),
        }
    }

    /// Whether a message is meant for this instance and comes from one that may send it.
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
                // A sender that knows a later membership may be the replacement of a lost member.
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

    /// Reports a name and identity once.
    fn report(&mut self, name: &Name, identity: u64, report: Report) {
        if self.reported.insert(name.clone(), identity) != Some(identity) {
            self.out.push(Effect::Report(report));
        }
    }

    /// Announces to the founders that this instance belongs to no group.
    pub(super) fn announce_fresh(&mut self, now: Moment) {
        if self.founders.contains(&self.me.name) && now >= self.hello {
            self.hello = now + HEARTBEAT;
            for name in self.founders.clone() {
                if name != self.me.name {
                    self.send_to(0, &name, 0, Body::Hello);
                }
            }
            self.found(now);
        }
    }

    fn is_fresh(&self) -> bool {
        self.term == 0 && self.members().is_empty() && self.log.last() == 0
    }

    fn greet(&mut self, from: &Replica) {
        let fresh = self.is_fresh();
        let reply = Body::HelloReply { fresh };
        self.send_to(self.term, &from.name, from.identity, reply);
    }

    fn greeted(&mut self, now: Moment, from: Replica, fresh: bool) {
        if fresh && self.founders.contains(&from.name) {
            self.fresh.insert(from.name, from.identity);
            self.found(now);
        } else {
            self.fresh.remove(&from.name);
        }
    }

    /// Founds the group when this is the lowest founder and all others are fresh.
    ///
    /// An instance that lost its disk finds the others not fresh and founds nothing.
    fn found(&mut self, now: Moment) {
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
        self.postpone(now);
    }

    /// Replaces log and state by a snapshot.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        self.log = Log::new(index, snapshot.term, Vec::new());
        self.configs = BTreeMap::from([(snapshot.members_at, snapshot.members.clone())]);
        (self.commit, self.applied, self.verified) = (index, index, index);
        self.stored = index;
        // What was durable belongs to the replaced log.
        self.saved = 0;
        self.saving = None;
        self.snapshot = Arc::clone(&snapshot);
        let reset = true;
        let seq = self.store(Store::Snapshot { snapshot, reset });
        self.hold(seq, Held::Installed { index });
        self.hand_on_snapshot();
    }

    /// Whether a leader was heard of within the shortest election timeout.
    fn led(&self, now: Moment) -> bool {
        let contact = match &self.role {
            Role::Leader(lead) => self.confirmed(lead, now).unwrap_or(lead.since),
            _ => self.contact,
        };
        now.since(contact) < ELECTION_MIN
    }

    /// Enters a later term.
    fn adopt(&mut self, now: Moment, term: u64) {
        self.follow(now, None);
        self.enter(term, None);
    }

    fn enter(&mut self, term: u64, vote: Option<Replica>) -> u64 {
        invariant!(term > self.term, "term {} followed by {term}", self.term);
        self.term = term;
        self.vote = vote.clone();
        self.verified = self.commit;
        self.store(Store::Vote { term, vote })
    }

    /// Becomes a follower in the present term.
    pub(super) fn follow(&mut self, now: Moment, leader: Option<Replica>) {
        self.leader = leader;
        if let Role::Leader(lead) = std::mem::replace(&mut self.role, Role::Follower) {
            self.postpone(now);
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

    /// Asks whether an election could be won before it starts one, so that an isolated instance
    /// does not raise the term again and again.
    pub(super) fn campaign(&mut self, now: Moment) {
        self.postpone(now);
        self.leader = None;
        let votes = [self.me.name.clone()].into();
        self.role = Role::PreCandidate { votes };
        self.ask(self.term + 1, true, false);
        self.count(now);
    }

    /// Starts an election.
    fn stand(&mut self, now: Moment, transfer: bool) {
        self.postpone(now);
        self.follow(now, None);
        let votes = std::collections::BTreeSet::new();
        self.role = Role::Candidate { votes };
        let term = self.term + 1;
        let seq = self.enter(term, Some(self.me.clone()));
        self.hold(seq, Held::Ballot { term, transfer });
    }

    /// Counts the own vote, which is durable now, and asks the others.
    pub(super) fn request_votes(&mut self, now: Moment, term: u64, transfer: bool) {
        match &mut self.role {
            Role::Candidate { votes } if self.term == term => {
                votes.insert(self.me.name.clone());
                self.ask(term, false, transfer);
                self.count(now);
            },
            _ => {},
        }
    }

    fn ask(&mut self, term: u64, pre: bool, transfer: bool) {
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
            let granted = longer && term > self.term && !self.led(now);
            // A refusal carries the own term, so that a candidate that is behind learns of it.
            let reply_term = if granted { term } else { self.term };
            let body = Body::VoteReply { pre, granted };
            return self.send_to(reply_term, &from.name, from.identity, body);
        }
        let free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = term == self.term && longer && free;
        if granted {
            self.postpone(now);
            if self.vote.is_none() {
                self.vote = Some(from.clone());
                let vote = self.vote.clone();
                self.store(Store::Vote { term, vote });
            }
        }
        let body = Body::VoteReply { pre, granted };
        let body = self.envelope(self.term, from.identity, body);
        let to = from.name.clone();
        if self.synced < self.seq {
            self.hold(self.seq, Held::Send { to, body });
        } else {
            self.out.push(Effect::Send { to, body });
        }
    }

    fn on_vote_reply(&mut self, now: Moment, from: &Replica, term: u64, pre: bool, granted: bool) {
        if pre && !granted && term > self.term {
            return self.adopt(now, term);
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
        self.count(now);
    }

    /// Goes on once a majority of voters granted their votes.
    fn count(&mut self, now: Moment) {
        match &self.role {
            Role::PreCandidate { votes } if self.members().quorum(|n| votes.contains(n)) => {
                self.stand(now, false);
            },
            Role::Candidate { votes } if self.members().quorum(|n| votes.contains(n)) => {
                self.lead(now);
            },
            _ => {},
        }
    }

    fn lead(&mut self, now: Moment) {
        self.leader = Some(self.me.clone());
        self.verified = self.log.last();
        self.role = Role::Leader(Box::new(Lead {
            progress: BTreeMap::new(),
            tracked: 0,
            reads: std::collections::VecDeque::new(),
            transfer: None,
            lease_void: false,
            beat: now,
            since: now,
        }));
        self.track_members();
        self.append(None, super::Payload::Noop);
        self.beat(now);
    }
}
