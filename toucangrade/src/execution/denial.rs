//! Refusals of batch and once requests before any attempt.
//!
//! The same key may have been sent through another entry. So the verdict is `not run` only once
//! the log holds a denial of the key, which rejects every attempt that was requested before it.

use super::Execution;
use super::message::{Completion, Effect, Waiter};
use super::record::Phase;
use crate::claims::{Action, Command, Reply};
use crate::core::{Class, Key, Refusal};
use crate::partitions::PARTITIONS;

/// Attempt number in the command of a denial; the attempts of requests are numbered from one.
pub(super) const DENIAL: u32 = 0;
/// Denials that an entry remembers, so that a request that is resent after one may run.
const DENIALS_MAX: usize = 10_000;

impl Execution {
    /// Refuses a request before any attempt; unless it is quick, only after the log has a denial.
    pub(super) fn deny(
        &mut self,
        waiter: Waiter,
        key: Key,
        class: Class,
        refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        if class == Class::Quick {
            out.push(Effect::Answer { waiter, key, completion: Completion::Refused(refusal) });
            return;
        }
        if let Some(record) = self.records.get(&key) {
            let completion = match &record.phase {
                // The body is not compared here, so the retained answer must not be returned.
                Phase::Settled(_) => "the outcome is known, ask again later",
                _ => "an earlier request with this key is not settled",
            };
            out.push(Effect::Answer {
                waiter,
                key,
                completion: Completion::Refused(Refusal::unknown(completion)),
            });
            return;
        }
        let waiting = self.denials.entry(key.clone()).or_default();
        waiting.push((waiter, refusal));
        if waiting.len() == 1 {
            let partition = key.partition(PARTITIONS);
            let command = Command { key, partition, epoch: 0, action: Action::Deny };
            out.push(Effect::Claim { attempt: DENIAL, command });
        }
    }

    /// Answers the callers whose refusal waited for the reply to a denial.
    pub(super) fn denied(&mut self, key: &Key, reply: Option<&Reply>, out: &mut Vec<Effect>) {
        if let Some(Reply::Denied { at }) = reply {
            self.note_denial(key, *at);
        }
        for (waiter, refusal) in self.denials.remove(key).unwrap_or_default() {
            let completion = match reply {
                Some(Reply::Denied { .. }) => refusal,
                _ => Refusal::unknown(format!("{}, and it may have run before", refusal.reason)),
            };
            out.push(Effect::Answer {
                waiter,
                key: key.clone(),
                completion: Completion::Refused(completion),
            });
        }
    }

    /// Remembers the log index of a denial. Requests that arrive from now on were sent after it.
    pub(super) fn note_denial(&mut self, key: &Key, at: u64) {
        if self.denied_at.len() >= DENIALS_MAX {
            // Without its entry here a later request is refused once more, which is safe.
            self.denied_at.pop_first();
        }
        self.denied_at.insert(key.clone(), at);
    }
}
