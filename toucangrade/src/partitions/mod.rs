//! Partitions of the key space and the entries that own them.
//!
//! [`Partitions`] is the replicated state. [`Balancer`] is the soft state of the leader, which
//! proposes grants to the live entries and balances the partitions between them.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{Moment, Name, Span};

/// Number of partitions of the key space.
pub(crate) const PARTITIONS: u32 = 64;
/// Time after its last poll from which an owner has certainly stopped using its partitions.
pub(crate) const LEASE: Span = Span::millis(3_000);
/// Share of the lease that an owner uses, in percent. The rest covers clock rates that differ by
/// less than 5% on each side.
pub(crate) const LEASE_USED_PERCENT: u64 = 90;

/// Earlier incarnations of an entry that are remembered, so that their delayed polls are ignored.
const EARLIER_MAX: usize = 16;

/// Owner of a partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Owner {
    pub(crate) entry: Name,
    pub(crate) incarnation: u64,
    /// Incremented with each grant of the partition.
    pub(crate) epoch: u64,
    /// Whether every earlier owner confirmed that none of its attempts is left.
    pub(crate) clean: bool,
}

/// Grant of partitions to one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Command {
    pub(crate) entry: Name,
    pub(crate) incarnation: u64,
    /// Partitions, with the epoch that each must still have when the command is applied.
    pub(crate) grants: Vec<(u32, u64)>,
    /// Whether the owners before the grant confirmed that none of their own attempts is left.
    pub(crate) clean: bool,
}

/// Replicated state: the owner of each partition.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Partitions {
    owners: BTreeMap<u32, Owner>,
}

impl Partitions {
    /// Grants each partition whose epoch has not changed since the grant was proposed.
    pub(crate) fn apply(&mut self, command: &Command) {
        for &(partition, epoch) in &command.grants {
            if self.epoch(partition) == epoch {
                // Before the first owner there are no attempts. An owner that took the partition
                // from a lost one can't confirm that the attempts of the lost one have ended.
                let before = self.owners.get(&partition).is_none_or(|owner| owner.clean);
                let clean = epoch == 0 || (command.clean && before);
                let (entry, incarnation) = (command.entry.clone(), command.incarnation);
                let owner = Owner { entry, incarnation, epoch: epoch + 1, clean };
                self.owners.insert(partition, owner);
            }
        }
    }

    /// Owners by partition.
    pub(crate) fn owners(&self) -> &BTreeMap<u32, Owner> {
        &self.owners
    }

    /// Epoch of the current owner; zero if the partition was never granted.
    pub(crate) fn epoch(&self, partition: u32) -> u64 {
        self.owners.get(&partition).map_or(0, |owner| owner.epoch)
    }
}

/// An entry that polls the leader and may own partitions.
#[derive(Clone, Debug, Serialize)]
struct Holder {
    incarnation: u64,
    /// Time of the last poll.
    seen: Moment,
    draining: bool,
    /// Earlier incarnations and the time of the last poll of each.
    earlier: BTreeMap<u64, Moment>,
}

impl Holder {
    /// Time of the last poll of an incarnation.
    fn last_seen(&self, incarnation: u64) -> Option<Moment> {
        if self.incarnation == incarnation {
            return Some(self.seen);
        }
        self.earlier.get(&incarnation).copied()
    }
}

/// Soft state of the leader: the polls of the entries, and the partitions that can be granted.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Balancer {
    /// Start of this instance's leadership; `None` when it doesn't lead.
    leading: Option<Moment>,
    holders: BTreeMap<Name, Holder>,
    /// Partitions and epochs whose owner confirmed that none of its attempts is left.
    released: BTreeSet<(u32, u64)>,
}

impl Balancer {
    /// Starts or ends leadership. The state is reset, as an earlier leader's polls are unknown
    /// here.
    pub(crate) fn set_leading(&mut self, now: Moment, leading: bool) {
        if leading != self.leading.is_some() {
            *self = Self { leading: leading.then_some(now), ..Self::default() };
        }
    }

    /// Records a poll of an entry, unless it is a delayed one of an earlier incarnation.
    pub(crate) fn record_poll(
        &mut self,
        now: Moment,
        entry: &Name,
        incarnation: u64,
        draining: bool,
    ) {
        let mut earlier = BTreeMap::new();
        if let Some(holder) = self.holders.remove(entry) {
            if holder.earlier.contains_key(&incarnation) {
                // A delayed poll of an earlier incarnation.
                self.holders.insert(entry.clone(), holder);
                return;
            }
            earlier = holder.earlier;
            if holder.incarnation != incarnation {
                earlier.insert(holder.incarnation, holder.seen);
                if earlier.len() > EARLIER_MAX {
                    earlier.pop_first();
                }
            }
        }
        self.holders.insert(entry.clone(), Holder { incarnation, seen: now, draining, earlier });
    }

    /// Records that the owner of `partition` under `epoch` has no attempt left and starts none.
    pub(crate) fn record_release(&mut self, partition: u32, epoch: u64) {
        self.released.insert((partition, epoch));
    }

    /// Grants to propose, each to the live entry with the fewest partitions: partitions that were
    /// never granted, are released, or whose owner's lease has certainly expired.
    pub(crate) fn grants(&mut self, now: Moment, agreed: &Partitions) -> Vec<Command> {
        let Some(since) = self.leading else { return Vec::new() };
        let live = self.live(now);
        if live.is_empty() {
            return Vec::new();
        }
        self.released.retain(|&(partition, epoch)| agreed.epoch(partition) <= epoch);
        let mut load = self.load(agreed, &live);
        let mut grants: BTreeMap<(Name, bool), Vec<(u32, u64)>> = BTreeMap::new();
        for partition in 0..PARTITIONS {
            let Some(clean) = self.grantable(now, since, agreed, partition) else { continue };
            let Some(entry) = live.iter().min_by_key(|name| load.get(*name).copied()).cloned()
            else {
                continue;
            };
            *load.entry(entry.clone()).or_default() += 1;
            grants.entry((entry, clean)).or_default().push((partition, agreed.epoch(partition)));
        }
        let command = |((entry, clean), grants): ((Name, bool), Vec<(u32, u64)>)| {
            let incarnation = self.holders[&entry].incarnation;
            Command { entry, incarnation, grants, clean }
        };
        grants.into_iter().map(command).collect()
    }

    /// Partitions that `entry` should release, so that all live entries own about the same number.
    pub(crate) fn surplus(&self, now: Moment, agreed: &Partitions, entry: &Name) -> Vec<u32> {
        let live = self.live(now);
        let share = (PARTITIONS as usize).div_ceil(live.len().max(1));
        let keep = if live.contains(entry) { share } else { 0 };
        let owned = agreed.owners.iter().filter(|(_, owner)| owner.entry == *entry);
        owned.map(|(&partition, _)| partition).skip(keep).collect()
    }

    /// `None` if the partition must not be granted; otherwise whether its owner confirmed that no
    /// attempt is left.
    fn grantable(
        &self,
        now: Moment,
        since: Moment,
        agreed: &Partitions,
        partition: u32,
    ) -> Option<bool> {
        let Some(owner) = agreed.owners.get(&partition) else { return Some(true) };
        if self.released.contains(&(partition, owner.epoch)) {
            return Some(true);
        }
        // The polls at the preceding leader are unknown, so the lease counts from the start of this
        // leadership at the earliest.
        let seen = self.holders.get(&owner.entry).and_then(|h| h.last_seen(owner.incarnation));
        let last = seen.map_or(since, |seen| seen.max(since));
        (now.since(last) > LEASE).then_some(false)
    }

    /// Entries that polled within the lease and are not draining.
    fn live(&self, now: Moment) -> BTreeSet<Name> {
        let live = |h: &Holder| !h.draining && now.since(h.seen) <= LEASE;
        self.holders.iter().filter(|(_, h)| live(h)).map(|(name, _)| name.clone()).collect()
    }

    /// Number of partitions of each live entry.
    fn load(&self, agreed: &Partitions, live: &BTreeSet<Name>) -> BTreeMap<Name, usize> {
        let mut load: BTreeMap<Name, usize> = live.iter().map(|n| (n.clone(), 0)).collect();
        for owner in agreed.owners.values() {
            let holder = self.holders.get(&owner.entry);
            if holder.is_some_and(|h| h.incarnation == owner.incarnation) {
                load.entry(owner.entry.clone()).and_modify(|count| *count += 1);
            }
        }
        load
    }
}
