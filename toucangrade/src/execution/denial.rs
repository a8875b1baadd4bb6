//! Refusals of work that must not run twice and may have been sent before.
//!
//! An entry that refuses such a request can't know whether the same key was sent through another
//! entry. It says `not run` only once the log holds a denial, which keeps every attempt from
//! running that was asked for before.

use super::Execution;
use super::message::{Completion, Effect, Waiter};
use super::record::Phase;
use crate::claims::{Action, Command, Reply};
use crate::core::{Class, Key, Refusal};
use crate::partitions::PARTITIONS;

/// Attempt number of a denial's command; attempts of requests count from one.
pub(super) const DENIAL: u32 = 0;
/// Denials that an entry remembers, so that a request that is sent again later may run.
const DENIED_KEPT: usize = 10_000;

impl Execution {
    /// Refuses a request before any attempt, once that is certain.
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
                // The body is not compared here, so the kept answer is not given.
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

    /// Tells the callers whose refusal waited for the log.
    pub(super) fn denied(&mut self, key: &Key, reply: Option<&Reply>, out: &mut Vec<Effect>) {
        if let Some(Reply::Denied { at }) = reply {
            self.learn(key, *at);
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

    /// Remembers a denial: requests that arrive from now on were sent after it.
    pub(super) fn learn(&mut self, key: &Key, at: u64) {
        if self.known.len() >= DENIED_KEPT {
            // A forgotten denial refuses a later request once more, which is safe.
            self.known.pop_first();
        }
        self.known.insert(key.clone(), at);
    }
}
