//! Evictions of batch attempts and the attempts that resume from their checkpoints.

use super::message::{Completion, Effect};
use super::record::{Dispatched, Phase, Record};
use super::{Execution, digest};
use crate::claims::Resume;
use crate::core::{Checkpoint, Class, Key, Moment, Name, Refusal, Span};

/// Interval at which an agent is sought for an evicted request whose retries are used up.
const RESUME_INTERVAL: Span = Span::millis(500);
/// Time after an eviction in which these retries are made, so that the only agent of a kind can
/// restart. It is a third of the default drain timeout, so that an entry that drains together with
/// the agent still answers its callers.
const RESUME_WINDOW: Span = Span::secs(10);

impl Record {
    /// Records a granted claim and the checkpoint from which the attempt resumes.
    pub(super) fn note_grant(
        &mut self,
        now: Moment,
        by: &Name,
        fence: u64,
        resume: Option<Resume>,
    ) {
        let from = match &resume {
            Some(Resume { checkpoint, evictions }) => {
                // The evicted attempt may have been made by another owner.
                self.maybe_ran = true;
                format!(" and resumes it from checkpoint {checkpoint:?}, eviction {evictions}")
            },
            None => String::new(),
        };
        self.note(now, by, format!("the log grants the attempt under fence {fence}{from}"));
        self.resume = resume;
    }
}

impl Execution {
    /// Handles the report that the runner stopped the execution with a checkpoint as it is leaving.
    pub(super) fn evicted(
        &mut self,
        now: Moment,
        key: Key,
        dispatched: Dispatched,
        checkpoint: Checkpoint,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.class != Class::Batch {
            let reason = "the agent evicted a request that is not batch work".to_owned();
            return self.lost(now, key, dispatched, reason, out);
        }
        let Dispatched { target, fence, .. } = dispatched;
        let text =
            format!("{} evicted it with checkpoint {checkpoint:?}, cause drain", target.agent);
        record.note(now, &entry, text);
        record.maybe_ran = true;
        record.exclude.insert(target.agent);
        let evictions = record.resume.as_ref().map_or(0, |resume| resume.evictions) + 1;
        record.resume = Some(Resume { checkpoint: checkpoint.clone(), evictions });
        record.retry_until = now + RESUME_WINDOW;
        // An eviction does not count as a failed attempt.
        record.tries = record.tries.saturating_sub(1);
        record.phase = Phase::Evicting { fence, checkpoint };
        self.claim(now, &key, out);
    }

    /// Starts the next attempt after the log stored the checkpoint.
    pub(super) fn resume(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if digest(&record.request.body) == record.request.digest {
            return self.pick(now, key, out);
        }
        // The record was made from a claim, which holds no body, so only a resent request can
        // resume it.
        let refusal = Refusal::unknown("it was evicted and goes on when it is sent again");
        self.drop_record(now, key, &Completion::Refused(refusal), out);
    }

    /// Moment of the next attempt of an evicted request whose retries are used up; `None` if its
    /// callers or [`RESUME_WINDOW`] do not allow one.
    pub(super) fn resume_retry(&self, now: Moment, key: &Key) -> Option<Moment> {
        let record = self.records.get(key)?;
        let until = now + RESUME_INTERVAL;
        (until < record.deadline().min(record.retry_until)).then_some(until)
    }

    /// Refuses a request whose claim in the log has no attempt. Such a claim is only kept with a
    /// checkpoint, so the request may have run.
    pub(super) fn refuse_evicted(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        record.maybe_ran = true;
        let refusal = match &record.phase {
            Phase::ReadingClaim { refusal } => refusal.clone(),
            _ => Refusal::unknown("it was evicted and goes on when it is sent again"),
        };
        self.fail(now, key, refusal, out);
    }
}
