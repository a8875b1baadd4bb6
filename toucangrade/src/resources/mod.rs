//! Replicated store of the resources that operators declare: services, jobs, watches and quotas.
//! Writes are conditional on revisions, and watch streams deliver the changes.

mod message;
mod spec;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

pub(crate) use self::message::{Change, Command, Expect, Reply, Stored};
pub(crate) use self::spec::{Collection, KindSpec, QuotaSpec, ServiceSpec, Spec};
use crate::core::{Key, Name};
use crate::runs::Step;

/// Maximum number of changes kept for watch streams that resume; older ones are compacted. Holds
/// the steps of about 15,000 jobs, a third of a day at 44,000 jobs a day.
const MAX_CHANGES: usize = 50_000;
/// Maximum number of changes per query, so that a watch stream far behind doesn't block the duty.
const CHANGES_PER_QUERY: usize = 1_000;
/// Maximum number of replies kept for repeated writes with the same key.
const MAX_REPLIES: usize = 10_000;

/// Replicated state: all resources, the newest changes and the replies to recent writes.
///
/// Only [`Resources::apply`] and [`Resources::record_step`] change it, in log order, so it is
/// identical on all replicas.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Resources {
    stored: BTreeMap<Collection, BTreeMap<Name, Stored>>,
    changes: BTreeMap<u64, Change>,
    /// Revision of the newest compacted change.
    compacted: u64,
    revision: u64,
    writes: BTreeMap<Key, (u64, Reply)>,
    order: BTreeMap<u64, Key>,
}

impl Resources {
    /// Applies the write at log index `index`, which becomes the revision of the change. A repeated
    /// write with a known key gets the first reply again.
    pub(crate) fn apply(&mut self, index: u64, command: Command) -> Reply {
        if let Some((_, first)) = command.key.as_ref().and_then(|key| self.writes.get(key)) {
            return first.clone();
        }
        let key = command.key.clone();
        let reply = self.write(index, command);
        if let Some(key) = key {
            self.store_reply(index, key, reply.clone());
        }
        reply
    }

    fn write(&mut self, index: u64, command: Command) -> Reply {
        let Command { collection, name, spec, expect, .. } = command;
        let current = self.get(collection, &name);
        if !expect.allows(current.map(|stored| stored.revision)) {
            return Reply::Lost { current: current.cloned() };
        }
        if spec.is_none() && current.is_none() {
            return Reply::Missing;
        }
        let resources = self.stored.entry(collection).or_default();
        match &spec {
            Some(spec) => {
                let stored = Stored { revision: index, spec: spec.clone() };
                resources.insert(name.clone(), stored);
            },
            None => {
                resources.remove(&name);
            },
        }
        self.revision = index;
        self.changes.insert(index, Change { revision: index, collection, name, spec, step: None });
        self.compact();
        Reply::Written { revision: index }
    }

    /// Records the state of a job or watch from log index `index` on.
    ///
    /// If there is a write at the same index, the step is added to its change. So each revision has
    /// exactly one change, and a watch stream that resumes after it misses nothing.
    pub(crate) fn record_step(
        &mut self,
        index: u64,
        collection: Collection,
        name: &Name,
        step: Step,
    ) {
        let change = self.changes.entry(index).or_insert_with(|| Change {
            revision: index,
            collection,
            name: name.clone(),
            spec: None,
            step: None,
        });
        change.step = Some(step);
        self.compact();
    }

    /// Removes the oldest changes beyond `MAX_CHANGES`.
    fn compact(&mut self) {
        while self.changes.len() > MAX_CHANGES {
            if let Some((oldest, _)) = self.changes.pop_first() {
                self.compacted = oldest;
            }
        }
    }

    fn store_reply(&mut self, index: u64, key: Key, reply: Reply) {
        self.order.insert(index, key.clone());
        self.writes.insert(key, (index, reply));
        while self.order.len() > MAX_REPLIES {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.writes.remove(&oldest);
            }
        }
    }

    /// Returns a resource by name.
    pub(crate) fn get(&self, collection: Collection, name: &Name) -> Option<&Stored> {
        self.stored.get(&collection)?.get(name)
    }

    /// All resources of a collection, ordered by name.
    pub(crate) fn list(&self, collection: Collection) -> impl Iterator<Item = (&Name, &Stored)> {
        self.stored.get(&collection).into_iter().flatten()
    }

    /// Revision of the newest write.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest change that watch streams deliver.
    pub(crate) fn newest(&self) -> u64 {
        self.changes.last_key_value().map_or(0, |(&revision, _)| revision)
    }

    /// The next changes after revision `since`. If some of them were compacted, the error is the
    /// oldest revision from which a watch stream can resume.
    pub(crate) fn since(&self, since: u64) -> Result<Vec<Change>, u64> {
        if since < self.compacted {
            return Err(self.compacted);
        }
        let after = (Bound::Excluded(since), Bound::Unbounded);
        let changes = self.changes.range(after).take(CHANGES_PER_QUERY);
        Ok(changes.map(|(_, change)| change.clone()).collect())
    }

    /// All services by name.
    pub(crate) fn services(&self) -> BTreeMap<Name, ServiceSpec> {
        let services = self.list(Collection::Services);
        services
            .filter_map(|(name, stored)| Some((name.clone(), stored.spec.service()?.clone())))
            .collect()
    }

    /// All quotas by name of the shop or team.
    pub(crate) fn quotas(&self) -> BTreeMap<Name, QuotaSpec> {
        let quotas = self.list(Collection::Quotas);
        quotas
            .filter_map(|(name, stored)| Some((name.clone(), stored.spec.quota()?.clone())))
            .collect()
    }
}
