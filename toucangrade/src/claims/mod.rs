//! Claims on work that must not run twice, agreed before the work is handed to an agent.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{Answer, Checkpoint, Class, Key, Name, Refusal, Span, invariant};
use crate::routing::Target;

/// Settled claims that are kept, so that a resent request gets its outcome.
const SETTLED_KEPT: usize = 200_000;
/// Bytes of kept answers; older answers are dropped beyond it, their verdicts stay.
const ANSWERS_KEPT: usize = 48 * 1024 * 1024;

/// Final outcome of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// The whole answer of the runner.
    Ran(Answer),
    /// It ran, but its answer is no longer kept.
    Dropped { status: u16 },
    /// It did not run, or whether it ran can't be found out.
    Refused(Refusal),
}

/// An attempt that a claim permits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Grant {
    pub(crate) target: Target,
    /// Fencing token: the log index of the grant.
    pub(crate) fence: u64,
    pub(crate) lease: Span,
}

/// Evictions of one key; after these it stays where it is until it ends, so that a restart of the
/// whole fleet can't keep moving it.
pub(crate) const EVICTIONS_MAX: u32 = 8;
/// Evicted claims without an attempt that are kept. One takes 1 KiB for its checkpoint at most, and
/// the oldest starts anew once it is dropped.
const EVICTED_KEPT: usize = 10_000;

/// Where an execution that was evicted goes on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Resume {
    /// The newest checkpoint.
    pub(crate) checkpoint: Checkpoint,
    /// Evictions of the key so far.
    pub(crate) evictions: u32,
}

/// Denials that are kept. An attempt that was asked for before one waits for minutes at most, and
/// at the peak of 290 requests a second these last for more than five minutes.
const DENIALS_KEPT: usize = 100_000;
/// Open claims in one answer to an owner that asks for them.
pub(crate) const OPEN_LIMIT: usize = 256;

/// Agreed state of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Claim {
    pub(crate) service: Name,
    pub(crate) kind: Name,
    /// Whether a lost attempt may be followed by another.
    pub(crate) class: Class,
    /// Digest of the request's body, so that a key reused with another body is refused.
    pub(crate) digest: String,
    /// Epoch of the partition's owner that made the last change.
    pub(crate) epoch: u64,
    /// The attempt that may run.
    pub(crate) grant: Option<Grant>,
    pub(crate) outcome: Option<Outcome>,
    /// Log index of the first claim.
    pub(crate) since: u64,
    /// Where the next attempt goes on, after an eviction.
    #[serde(default)]
    pub(crate) resume: Option<Resume>,
}

/// Command on the claim of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Action {
    /// Asks for leave to run an attempt at this agent.
    Attempt {
        service: Name,
        kind: Name,
        class: Class,
        digest: String,
        target: Target,
        lease: Span,
        /// Log index of the newest denial that the request was sent after.
        seen: u64,
    },
    /// Refuses every attempt that was asked for before; any entry may propose it.
    Deny,
    /// The attempt with this fence was evicted, and the next one goes on from this checkpoint.
    Evict { fence: u64, checkpoint: Checkpoint },
    /// Asks what stands, before a caller is told that its request did not run.
    Look,
    /// The attempt with this fence did not run and will not.
    Release { fence: u64 },
    /// The outcome is final.
    Settle { fence: u64, outcome: Outcome },
}

/// Command with the owner that proposes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Command {
    pub(crate) key: Key,
    pub(crate) partition: u32,
    pub(crate) epoch: u64,
    pub(crate) action: Action,
}

/// Result of a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    /// The key is denied to attempts that were asked for before this log index.
    Denied { at: u64 },
    /// The attempt may run under this fence, from the newest checkpoint if there is one.
    Granted { fence: u64, resume: Option<Resume> },
    /// The claim stands as shown; what it says goes before what the owner asked for.
    Stands(Box<Claim>),
    /// The key was used with another body, service or kind.
    Mismatch,
    /// The partition has a newer owner.
    Outdated,
    /// The claim was released, or its outcome noted.
    Done,
}

/// Agreed state: every claim that is open or settled within the retention.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Claims {
    claims: BTreeMap<Key, Claim>,
    /// Claims with a grant and no outcome, by partition.
    open: BTreeMap<u32, BTreeSet<Key>>,
    /// Settled claims by the log index of their outcome.
    settled: BTreeMap<u64, Key>,
    /// Settled claims whose answers are kept.
    answers: BTreeMap<u64, Key>,
    /// Log index of the newest denial of each key, and the keys by that index.
    denials: BTreeMap<Key, u64>,
    denied: BTreeMap<u64, Key>,
    bytes: usize,
    /// Evicted claims without an attempt or outcome, by the log index of the first claim.
    #[serde(default)]
    evicted: BTreeMap<u64, Key>,
}

impl Claims {
    /// Applies a command at log position `index`; `owner` is the partition's present epoch.
    pub(crate) fn apply(&mut self, index: u64, owner: u64, command: Command) -> Reply {
        let Command { key, partition, epoch, action } = command;
        if epoch != owner && action != Action::Deny {
            return Reply::Outdated;
        }
        match action {
            Action::Attempt { seen, .. }
                if !self.claims.contains_key(&key) && self.denied(&key) > seen =>
            {
                Reply::Denied { at: self.denied(&key) }
            },
            Action::Attempt { service, kind, class, digest, target, lease, .. } => {
                let claim = self.claims.entry(key.clone()).or_insert_with(|| Claim {
                    service: service.clone(),
                    kind: kind.clone(),
                    class,
                    digest: digest.clone(),
                    epoch,
                    grant: None,
                    outcome: None,
                    since: index,
                    resume: None,
                });
                if (&claim.service, &claim.kind, &claim.digest) != (&service, &kind, &digest) {
                    return Reply::Mismatch;
                }
                if claim.outcome.is_some() || claim.grant.is_some() {
                    return Reply::Stands(Box::new(claim.clone()));
                }
                claim.epoch = epoch;
                claim.grant = Some(Grant { target, fence: index, lease });
                self.evicted.remove(&claim.since);
                let resume = claim.resume.clone();
                self.open.entry(partition).or_default().insert(key);
                Reply::Granted { fence: index, resume }
            },
            Action::Deny => match self.claims.get(&key) {
                Some(claim) => Reply::Stands(Box::new(claim.clone())),
                None => self.deny(index, key),
            },
            Action::Look => match self.claims.get(&key) {
                // A claim without an attempt is kept only when an earlier attempt was evicted.
                Some(claim) => Reply::Stands(Box::new(claim.clone())),
                None => Reply::Done,
            },
            Action::Evict { fence, checkpoint } => self.evict(partition, key, fence, checkpoint),
            Action::Release { fence } => {
                let Some(claim) = self.claims.get_mut(&key) else { return Reply::Done };
                if claim.outcome.is_some() {
                    return Reply::Stands(Box::new(claim.clone()));
                }
                if claim.grant.as_ref().is_none_or(|grant| grant.fence == fence) {
                    if claim.resume.is_some() {
                        self.vacate(partition, key);
                    } else {
                        // A claim without an attempt or checkpoint says nothing.
                        self.claims.remove(&key);
                        self.close(partition, &key);
                    }
                }
                Reply::Done
            },
            Action::Settle { fence, outcome } => self.settle(index, partition, key, fence, outcome),
        }
    }

    /// Ends the grant with this fence and keeps the checkpoint, so that the next grant resumes from
    /// it; any other fence changes nothing.
    fn evict(&mut self, partition: u32, key: Key, fence: u64, checkpoint: Checkpoint) -> Reply {
        let Some(claim) = self.claims.get_mut(&key) else { return Reply::Done };
        match &claim.grant {
            _ if claim.outcome.is_some() => Reply::Stands(Box::new(claim.clone())),
            Some(grant) if grant.fence == fence => {
                let before = claim.resume.as_ref().map_or(0, |resume| resume.evictions);
                invariant!(before < EVICTIONS_MAX, "request {key} was evicted {before} times");
                claim.resume = Some(Resume { checkpoint, evictions: before + 1 });
                self.vacate(partition, key);
                Reply::Done
            },
            Some(_) => Reply::Stands(Box::new(claim.clone())),
            None => Reply::Done,
        }
    }

    /// Keeps an evicted claim without an attempt for its next one.
    fn vacate(&mut self, partition: u32, key: Key) {
        self.close(partition, &key);
        let Some(claim) = self.claims.get_mut(&key) else { return };
        claim.grant = None;
        self.evicted.insert(claim.since, key);
        if self.evicted.len() > EVICTED_KEPT
            && let Some((_, oldest)) = self.evicted.pop_first()
        {
            self.claims.remove(&oldest);
        }
    }

    fn settle(
        &mut self,
        index: u64,
        partition: u32,
        key: Key,
        fence: u64,
        outcome: Outcome,
    ) -> Reply {
        let Some(claim) = self.claims.get_mut(&key) else { return Reply::Done };
        if claim.outcome.is_some() {
            return Reply::Stands(Box::new(claim.clone()));
        }
        let granted = claim.grant.as_ref().map(|grant| grant.fence);
        if granted.is_some_and(|granted| granted != fence) {
            return Reply::Stands(Box::new(claim.clone()));
        }
        let ran = !matches!(outcome, Outcome::Refused(_));
        invariant!(!ran || granted.is_some(), "request {key} ran without a grant");
        self.bytes += size(&outcome);
        claim.outcome = Some(outcome);
        claim.resume = None;
        self.evicted.remove(&claim.since);
        self.close(partition, &key);
        self.settled.insert(index, key.clone());
        self.answers.insert(index, key);
        self.trim();
        Reply::Done
    }

    /// Log index of the newest denial of a key, zero when there is none.
    fn denied(&self, key: &Key) -> u64 {
        self.denials.get(key).copied().unwrap_or(0)
    }

    fn deny(&mut self, index: u64, key: Key) -> Reply {
        if let Some(before) = self.denials.insert(key.clone(), index) {
            self.denied.remove(&before);
        }
        self.denied.insert(index, key);
        if self.denied.len() > DENIALS_KEPT
            && let Some((_, oldest)) = self.denied.pop_first()
        {
            self.denials.remove(&oldest);
        }
        Reply::Denied { at: index }
    }

    fn close(&mut self, partition: u32, key: &Key) {
        if let Some(open) = self.open.get_mut(&partition) {
            open.remove(key);
            if open.is_empty() {
                self.open.remove(&partition);
            }
        }
    }

    /// Drops the oldest answers, then the oldest settled claims.
    fn trim(&mut self) {
        while self.bytes > ANSWERS_KEPT {
            let Some((_, key)) = self.answers.pop_first() else { break };
            let Some(claim) = self.claims.get_mut(&key) else { continue };
            if let Some(Outcome::Ran(answer)) = &claim.outcome {
                let status = answer.status;
                self.bytes -= answer.body.len();
                claim.outcome = Some(Outcome::Dropped { status });
            }
        }
        while self.settled.len() > SETTLED_KEPT {
            let Some((index, key)) = self.settled.pop_first() else { break };
            self.answers.remove(&index);
            if let Some(claim) = self.claims.remove(&key) {
                self.bytes -= claim.outcome.as_ref().map_or(0, size);
            }
        }
    }

    /// Number of claims that permit an attempt and have no outcome.
    pub(crate) fn open(&self) -> usize {
        self.open.values().map(BTreeSet::len).sum()
    }

    /// Open claims of some partitions, in the order of partition and key, after the given one.
    pub(crate) fn open_of(
        &self,
        partitions: &[u32],
        after: Option<&(u32, Key)>,
    ) -> Vec<(Key, Claim)> {
        let keys = partitions.iter().filter_map(|p| Some((*p, self.open.get(p)?)));
        let all = keys.flat_map(|(p, keys)| keys.iter().map(move |key| (p, key)));
        let later = all.filter(|&(p, key)| after.is_none_or(|(q, last)| (p, key) > (*q, last)));
        let claims =
            later.filter_map(|(_, key)| Some((key.clone(), self.claims.get(key)?.clone())));
        claims.take(OPEN_LIMIT).collect()
    }

    /// The claim of a key.
    pub(crate) fn get(&self, key: &Key) -> Option<&Claim> {
        self.claims.get(key)
    }
}

/// Bytes of the answer that an outcome keeps.
fn size(outcome: &Outcome) -> usize {
    if let Outcome::Ran(answer) = outcome { answer.body.len() } else { 0 }
}
