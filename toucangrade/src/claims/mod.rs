//! Replicated claims, which keep batch and once requests from running twice.
//!
//! The owner of a key's partition needs a claim in the log before it sends an attempt to an agent.
//! A claim permits one attempt at a time, and keeps its outcome or its checkpoint for the next
//! owner.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{Answer, Checkpoint, Class, Key, Name, Refusal, Span, invariant};
use crate::routing::Target;

/// Settled claims that are retained, so that a resent request gets its outcome.
const SETTLED_MAX: usize = 200_000;
/// Limit on the bytes of retained answers. Beyond it the oldest answers are dropped, but their
/// verdicts are retained.
const ANSWER_BYTES_MAX: usize = 48 * 1024 * 1024;

/// Final outcome of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// The complete answer of the runner.
    Ran(Answer),
    /// It ran, but its answer is no longer retained.
    Dropped { status: u16 },
    /// It did not run, or it is unknown whether it ran.
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

/// Maximum number of evictions of one key. After these it runs to its end, so that a restart of the
/// whole fleet can't move it again and again.
pub(crate) const EVICTIONS_MAX: u32 = 8;
/// Evicted claims without an attempt that are retained. The checkpoint of one takes at most 1 KiB.
/// A request whose claim was dropped starts from the beginning.
const EVICTED_MAX: usize = 10_000;

/// Checkpoint from which an evicted execution resumes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Resume {
    /// The newest checkpoint.
    pub(crate) checkpoint: Checkpoint,
    /// Evictions of the key so far.
    pub(crate) evictions: u32,
}

/// Denials that are retained. An attempt that was requested before a denial is delayed by minutes
/// at most, and at the peak of 290 requests per second this number covers more than five minutes.
const DENIALS_MAX: usize = 100_000;
/// Maximum number of open claims in one reply to an owner.
pub(crate) const OPEN_LIMIT: usize = 256;

/// Replicated state of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Claim {
    pub(crate) service: Name,
    pub(crate) kind: Name,
    /// Class of the kind, which decides whether a lost attempt may be followed by another.
    pub(crate) class: Class,
    /// Digest of the request's body, to refuse a key that is reused with another body.
    pub(crate) digest: String,
    /// Epoch of the partition's owner that made the last change.
    pub(crate) epoch: u64,
    /// The attempt that may run.
    pub(crate) grant: Option<Grant>,
    pub(crate) outcome: Option<Outcome>,
    /// Log index at which the claim was created.
    pub(crate) since: u64,
    /// Checkpoint for the next attempt after an eviction.
    #[serde(default)]
    pub(crate) resume: Option<Resume>,
}

/// Command on the claim of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Action {
    /// Requests permission for an attempt at this agent.
    Attempt {
        service: Name,
        kind: Name,
        class: Class,
        digest: String,
        target: Target,
        lease: Span,
        /// Log index of the newest denial after which the request was sent.
        seen: u64,
    },
    /// Denies every attempt that was requested before. Any entry may propose it.
    Deny,
    /// The attempt with this fence was evicted, and the next one resumes from this checkpoint.
    Evict { fence: u64, checkpoint: Checkpoint },
    /// Reads the claim, before a caller is refused with the verdict not run.
    #[serde(rename = "Look")]
    Read,
    /// The attempt with this fence did not run and will not.
    Release { fence: u64 },
    /// The outcome is final.
    Settle { fence: u64, outcome: Outcome },
}

/// Command on the claim of a key, under the epoch of the owner that proposes it.
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
    /// The key is denied to attempts that were requested before this log index.
    Denied { at: u64 },
    /// The attempt may run under this fence, and resumes from the checkpoint if there is one.
    Granted { fence: u64, resume: Option<Resume> },
    /// The command was not applied because of this claim, whose state the owner has to follow.
    #[serde(rename = "Stands")]
    Existing(Box<Claim>),
    /// The key was used with another body, service or kind.
    Mismatch,
    /// The partition has a newer owner.
    Outdated,
    /// The command was applied, or there was nothing to apply it to.
    Done,
}

/// Replicated state: all open claims, and the settled and evicted ones within the retention limits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Claims {
    claims: BTreeMap<Key, Claim>,
    /// Claims with a grant and no outcome, by partition.
    open: BTreeMap<u32, BTreeSet<Key>>,
    /// Keys of settled claims by the log index of their outcome.
    settled: BTreeMap<u64, Key>,
    /// Keys of settled claims whose answers are retained, by the same index.
    answers: BTreeMap<u64, Key>,
    /// Log index of the newest denial of each key, and the keys by that index.
    denials: BTreeMap<Key, u64>,
    denied: BTreeMap<u64, Key>,
    /// Bytes of the retained answers.
    bytes: usize,
    /// Keys of evicted claims without an attempt or outcome, by the log index of their creation.
    #[serde(default)]
    evicted: BTreeMap<u64, Key>,
}

impl Claims {
    /// Applies the command at log index `index`; `owner` is the current epoch of the partition.
    pub(crate) fn apply(&mut self, index: u64, owner: u64, command: Command) -> Reply {
        let Command { key, partition, epoch, action } = command;
        if epoch != owner && action != Action::Deny {
            return Reply::Outdated;
        }
        match action {
            Action::Attempt { seen, .. }
                if !self.claims.contains_key(&key) && self.denied_at(&key) > seen =>
            {
                Reply::Denied { at: self.denied_at(&key) }
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
                    return Reply::Existing(Box::new(claim.clone()));
                }
                claim.epoch = epoch;
                claim.grant = Some(Grant { target, fence: index, lease });
                self.evicted.remove(&claim.since);
                let resume = claim.resume.clone();
                self.open.entry(partition).or_default().insert(key);
                Reply::Granted { fence: index, resume }
            },
            Action::Deny => match self.claims.get(&key) {
                Some(claim) => Reply::Existing(Box::new(claim.clone())),
                None => self.deny(index, key),
            },
            Action::Read => match self.claims.get(&key) {
                // A claim without an attempt is retained only after an eviction.
                Some(claim) => Reply::Existing(Box::new(claim.clone())),
                None => Reply::Done,
            },
            Action::Evict { fence, checkpoint } => self.evict(partition, key, fence, checkpoint),
            Action::Release { fence } => {
                let Some(claim) = self.claims.get_mut(&key) else { return Reply::Done };
                if claim.outcome.is_some() {
                    return Reply::Existing(Box::new(claim.clone()));
                }
                if claim.grant.as_ref().is_none_or(|grant| grant.fence == fence) {
                    if claim.resume.is_some() {
                        self.retain_evicted(partition, key);
                    } else {
                        // A claim without an attempt or checkpoint holds no information.
                        self.claims.remove(&key);
                        self.remove_open(partition, &key);
                    }
                }
                Reply::Done
            },
            Action::Settle { fence, outcome } => self.settle(index, partition, key, fence, outcome),
        }
    }

    /// Ends the grant with this fence and stores the checkpoint, from which the next grant resumes.
    /// Changes nothing if the current grant has another fence.
    fn evict(&mut self, partition: u32, key: Key, fence: u64, checkpoint: Checkpoint) -> Reply {
        let Some(claim) = self.claims.get_mut(&key) else { return Reply::Done };
        match &claim.grant {
            _ if claim.outcome.is_some() => Reply::Existing(Box::new(claim.clone())),
            Some(grant) if grant.fence == fence => {
                let before = claim.resume.as_ref().map_or(0, |resume| resume.evictions);
                invariant!(before < EVICTIONS_MAX, "request {key} was evicted {before} times");
                claim.resume = Some(Resume { checkpoint, evictions: before + 1 });
                self.retain_evicted(partition, key);
                Reply::Done
            },
            Some(_) => Reply::Existing(Box::new(claim.clone())),
            None => Reply::Done,
        }
    }

    /// Ends the grant of an evicted claim and retains the claim for the next attempt.
    fn retain_evicted(&mut self, partition: u32, key: Key) {
        self.remove_open(partition, &key);
        let Some(claim) = self.claims.get_mut(&key) else { return };
        claim.grant = None;
        self.evicted.insert(claim.since, key);
        if self.evicted.len() > EVICTED_MAX
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
            return Reply::Existing(Box::new(claim.clone()));
        }
        let granted = claim.grant.as_ref().map(|grant| grant.fence);
        if granted.is_some_and(|granted| granted != fence) {
            return Reply::Existing(Box::new(claim.clone()));
        }
        let ran = !matches!(outcome, Outcome::Refused(_));
        invariant!(!ran || granted.is_some(), "request {key} ran without a grant");
        self.bytes += size(&outcome);
        claim.outcome = Some(outcome);
        claim.resume = None;
        self.evicted.remove(&claim.since);
        self.remove_open(partition, &key);
        self.settled.insert(index, key.clone());
        self.answers.insert(index, key);
        self.trim();
        Reply::Done
    }

    /// Log index of the newest denial of a key; zero if there is none.
    fn denied_at(&self, key: &Key) -> u64 {
        self.denials.get(key).copied().unwrap_or(0)
    }

    fn deny(&mut self, index: u64, key: Key) -> Reply {
        if let Some(before) = self.denials.insert(key.clone(), index) {
            self.denied.remove(&before);
        }
        self.denied.insert(index, key);
        if self.denied.len() > DENIALS_MAX
            && let Some((_, oldest)) = self.denied.pop_first()
        {
            self.denials.remove(&oldest);
        }
        Reply::Denied { at: index }
    }

    fn remove_open(&mut self, partition: u32, key: &Key) {
        if let Some(open) = self.open.get_mut(&partition) {
            open.remove(key);
            if open.is_empty() {
                self.open.remove(&partition);
            }
        }
    }

    /// Drops the oldest answers and the oldest settled claims beyond the retention limits.
    fn trim(&mut self) {
        while self.bytes > ANSWER_BYTES_MAX {
            let Some((_, key)) = self.answers.pop_first() else { break };
            let Some(claim) = self.claims.get_mut(&key) else { continue };
            if let Some(Outcome::Ran(answer)) = &claim.outcome {
                let status = answer.status;
                self.bytes -= answer.body.len();
                claim.outcome = Some(Outcome::Dropped { status });
            }
        }
        while self.settled.len() > SETTLED_MAX {
            let Some((index, key)) = self.settled.pop_first() else { break };
            self.answers.remove(&index);
            if let Some(claim) = self.claims.remove(&key) {
                self.bytes -= claim.outcome.as_ref().map_or(0, size);
            }
        }
    }

    /// Number of claims with a grant and no outcome.
    pub(crate) fn open_count(&self) -> usize {
        self.open.values().map(BTreeSet::len).sum()
    }

    /// Lists up to [`OPEN_LIMIT`] open claims of the partitions, ordered by partition and key, that
    /// follow `after`.
    pub(crate) fn list_open(
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

/// Bytes of the answer in an outcome.
fn size(outcome: &Outcome) -> usize {
    if let Outcome::Ran(answer) = outcome { answer.body.len() } else { 0 }
}
