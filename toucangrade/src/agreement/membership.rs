//! Membership of the group and its changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::message::{Change, Effect, Payload, Rejection, Replica};
use super::{Agreement, ELECTION_MIN, Role, VOTER_SILENCE};
use crate::core::{Moment, Name};

/// An instance recorded in the membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Member {
    /// Random number created with the data directory. It is lost with the disk, so an instance that
    /// forgot its vote cannot vote again under the same name.
    pub(crate) identity: u64,
    /// Whether the member counts towards a quorum. Others are learners, which only receive the log.
    pub(crate) voter: bool,
}

/// Members of the group by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub(crate) struct Members(BTreeMap<Name, Member>);

impl Members {
    /// A membership in which all replicas are voters.
    pub(crate) fn voting(replicas: impl IntoIterator<Item = Replica>) -> Self {
        let member = |replica: Replica| {
            let identity = replica.identity;
            (replica.name, Member { identity, voter: true })
        };
        Self(replicas.into_iter().map(member).collect())
    }

    pub(super) const fn none() -> Self {
        Self(BTreeMap::new())
    }

    pub(crate) fn get(&self, name: &Name) -> Option<&Member> {
        self.0.get(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.0.iter()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.0.iter().filter(|(_, member)| member.voter)
    }

    pub(crate) fn is_voter(&self, replica: &Replica) -> bool {
        let recorded = self.0.get(&replica.name);
        recorded.is_some_and(|member| member.voter && member.identity == replica.identity)
    }

    /// The greatest value that a majority of voters has reached or exceeded.
    pub(super) fn quorum<T: Copy + Default + Ord>(&self, value: impl Fn(&Name) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(|(name, _)| value(name)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or_default()
    }

    /// The membership after a change.
    fn changed(&self, change: &Change) -> Result<Self, &'static str> {
        let mut members = self.clone();
        match change {
            Change::Add(replica) => {
                if members.0.contains_key(&replica.name) {
                    return Err("the name is a member already, remove it first");
                }
                let member = Member { identity: replica.identity, voter: false };
                members.0.insert(replica.name.clone(), member);
            },
            Change::Remove(name) => {
                if members.0.remove(name).is_none() {
                    return Err("the name is not a member");
                }
                if members.voters().next().is_none() {
                    return Err("the last voter cannot be removed");
                }
            },
        }
        Ok(members)
    }

    fn promoted(&self, name: &Name) -> Self {
        let mut members = self.clone();
        if let Some(member) = members.0.get_mut(name) {
            member.voter = true;
        }
        members
    }
}

impl Agreement {
    /// Proposes a change of the membership.
    pub(super) fn change(&mut self, ticket: u64, change: &Change) {
        let refused = self.refusal().or_else(|| {
            let blocked = self.change_blocked();
            blocked.map(Rejection::Change)
        });
        let changed = match refused {
            Some(reason) => Err(reason),
            None => self.members().changed(change).map_err(Rejection::Change),
        };
        match changed {
            Ok(members) => self.append(Some(ticket), Payload::Members(members)),
            Err(reason) => self.out.push(Effect::Reject { ticket, reason }),
        }
    }

    /// Why no membership change may start now, if there is a reason.
    ///
    /// Two changes in progress could have disjoint quorums. So could a change by a leader that has
    /// not yet committed an entry of its own term.
    fn change_blocked(&self) -> Option<&'static str> {
        if self.members_at() > self.commit {
            Some("another change is in progress")
        } else if self.log.term(self.commit) != Some(self.term) {
            Some("the leader has not committed an entry of its term yet")
        } else {
            None
        }
    }

    /// Handles the request of an instance to join. An instance that returns with another identity
    /// has lost its disk, so its acknowledgements no longer count: the old member is removed first,
    /// and a later request adds the instance as a learner.
    pub(super) fn join(&mut self, replica: &Replica) {
        if self.refusal().is_some() || self.change_blocked().is_some() {
            return;
        }
        let change = match self.members().get(&replica.name) {
            Some(member) if member.identity == replica.identity => return,
            Some(_) => Change::Remove(replica.name.clone()),
            None => Change::Add(replica.clone()),
        };
        if let Ok(members) = self.members().changed(&change) {
            self.append(None, Payload::Members(members));
        }
    }

    /// Handles the announcement of an instance that it stops: removes it if there are more voters
    /// than `Settings::target_voters`, so that it doesn't count in the quorum until it is found to be
    /// silent. Otherwise it is expected to return.
    pub(super) fn leave(&mut self, replica: &Replica) {
        let Some(limit) = self.target_voters else { return };
        let Role::Leader(lead) = &self.role else { return };
        if self.members().voters().count() <= limit
            || !self.members().is_voter(replica)
            || replica.name == self.me.name
            || lead.transfer.is_some()
            || self.change_blocked().is_some()
        {
            return;
        }
        if let Ok(members) = self.members().changed(&Change::Remove(replica.name.clone())) {
            self.append(None, Payload::Members(members));
        }
    }

    /// Removes a silent voter if there are more than `Settings::target_voters`, so that an instance
    /// that never returns doesn't raise the quorum.
    pub(super) fn remove_silent(&mut self, now: Moment) {
        let Some(limit) = self.target_voters else { return };
        let Role::Leader(lead) = &self.role else { return };
        let silent = |name: &Name| {
            let contact =
                lead.progress.get(name).map(|p| p.confirmed.unwrap_or(lead.since).max(lead.since));
            contact.is_some_and(|contact| now.since(contact) > VOTER_SILENCE)
        };
        if self.members().voters().count() <= limit
            || lead.transfer.is_some()
            || self.change_blocked().is_some()
        {
            return;
        }
        let others = self.members().voters().filter(|(name, _)| **name != self.me.name);
        let found = others.map(|(name, _)| name).find(|name| silent(name)).cloned();
        let changed = found.and_then(|name| self.members().changed(&Change::Remove(name)).ok());
        if let Some(members) = changed {
            self.append(None, Payload::Members(members));
        }
    }

    /// Promotes one learner that has all committed entries and answered a recent heartbeat. Without
    /// an answer it would count as silent at once, and against the leader's quorum.
    pub(super) fn promote(&mut self, now: Moment) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        if lead.transfer.is_some() || self.change_blocked().is_some() {
            return;
        }
        let caught_up = |name: &&Name| {
            let progress = lead.progress.get(*name);
            progress.is_some_and(|p| {
                let answers = p.confirmed.is_some_and(|at| now.since(at) < ELECTION_MIN);
                answers && p.matched >= self.commit
            })
        };
        let learners = self.members().iter().filter(|(_, m)| !m.voter);
        let ready = learners.map(|(name, _)| name).find(caught_up);
        if let Some(name) = ready {
            let members = self.members().promoted(name);
            self.append(None, Payload::Members(members));
        }
    }
}
