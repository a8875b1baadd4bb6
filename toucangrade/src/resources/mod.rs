//! Resources that operators declare: services, jobs, watches and quotas, with revisions.

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

/// Changes that watch streams can resume from before they are compacted: the steps of about
/// 15,000 jobs, a third of a day at 44,000 jobs a day.
const CHANGES_KEPT: usize = 50_000;
/// Changes that one question gets, so that a reader far behind doesn't hold up the duty.
const CHANGES_READ: usize = 1_000;
/// First responses that are kept for resent writes.
const WRITES_KEPT: usize = 10_000;

/// Agreed state: every resource, the newest changes and the first responses to recent writes.
///
/// Only [`Resources::apply`] changes it, in log order, so it is the same on every replica.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Resources {
    stored: BTreeMap<Collection, BTreeMap<Name, Stored>>,
    changes: BTreeMap<u64, Change>,
    /// Revision up to which changes were compacted.
    compacted: u64,
    revision: u64,
    writes: BTreeMap<Key, (u64, Reply)>,
    order: BTreeMap<u64, Key>,
}

impl Resources {
    /// Applies the command at log position `index`, which becomes the revision of the change.
    pub(crate) fn apply(&mut self, index: u64, command: Command) -> Reply {
        if let Some((_, first)) = command.key.as_ref().and_then(|key| self.writes.get(key)) {
            return first.clone();
        }
        let key = command.key.clone();
        let reply = self.write(index, command);
        if let Some(key) = key {
            self.remember(index, key, reply.clone());
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

    /// Records where a job or watch stands from log position `index` on.
    ///
    /// A write at the same position gets the step added to its change, so that every revision is
    /// one line and a stream that resumes at it misses nothing.
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

    fn compact(&mut self) {
        while self.changes.len() > CHANGES_KEPT {
            if let Some((oldest, _)) = self.changes.pop_first() {
                self.compacted = oldest;
            }
        }
    }

    fn remember(&mut self, index: u64, key: Key, reply: Reply) {
        self.order.insert(index, key.clone());
        self.writes.insert(key, (index, reply));
        while self.order.len() > WRITES_KEPT {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.writes.remove(&oldest);
            }
        }
    }

    /// The resource with this name.
    pub(crate) fn get(&self, collection: Collection, name: &Name) -> Option<&Stored> {
        self.stored.get(&collection)?.get(name)
    }

    /// All resources of a collection by name.
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

    /// The next changes after revision `since`, or the oldest revision that can be resumed from
    /// when some of them were compacted.
    pub(crate) fn since(&self, since: u64) -> Result<Vec<Change>, u64> {
        if since < self.compacted {
            return Err(self.compacted);
        }
        let after = (Bound::Excluded(since), Bound::Unbounded);
        let changes = self.changes.range(after).take(CHANGES_READ);
        Ok(changes.map(|(_, change)| change.clone()).collect())
    }

    /// Services in force, by name.
    pub(crate) fn services(&self) -> BTreeMap<Name, ServiceSpec> {
        let services = self.list(Collection::Services);
        services
            .filter_map(|(name, stored)| Some((name.clone(), stored.spec.service()?.clone())))
            .collect()
    }

    /// Quotas in force, by name of the shop or team.
    pub(crate) fn quotas(&self) -> BTreeMap<Name, QuotaSpec> {
        let quotas = self.list(Collection::Quotas);
        quotas
            .filter_map(|(name, stored)| Some((name.clone(), stored.spec.quota()?.clone())))
            .collect()
    }
}
