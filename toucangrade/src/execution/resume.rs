//! Evictions of batch attempts, and the attempts that resume from their checkpoints.

use super::message::{Completion, Effect};
use super::record::{Dispatched, Phase, Record};
use super::{Execution, digest};
use crate::claims::Resume;
use crate::core::{Checkpoint, Class, Key, Moment, Name, Refusal, Span};

/// Wait between two attempts to find an agent for an evicted request whose retries are used up.
const HOLD_WAIT: Span = Span::millis(500);
/// Time after an eviction in which such attempts are made, so that the only agent of a kind can
/// restart. It is a third of the default drain timeout, so that an entry that leaves together with
/// the agent still answers its callers.
const HOLD: Span = Span::secs(10);

impl Record {
    /// Notes a grant of the log and the checkpoint that its execution goes on from.
    pub(super) fn granted(&mut self, now: Moment, by: &Name, fence: u64, resume: Option<Resume>) {
        let from = match &resume {
            Some(Resume { checkpoint, evictions }) => {
                // An attempt of another owner may be what was evicted.
                self.doubtful = true;
                format!(" and resumes it from checkpoint {checkpoint:?}, eviction {evictions}")
            },
            None => String::new(),
        };
        self.note(now, by, format!("the log grants the attempt under fence {fence}{from}"));
        self.resume = resume;
    }
}

impl Execution {
    /// The runner is leaving and stopped the execution with a checkpoint.
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
        record.doubtful = true;
        record.exclude.insert(target.agent);
        let evictions = record.resume.as_ref().map_or(0, |resume| resume.evictions) + 1;
        record.resume = Some(Resume { checkpoint: checkpoint.clone(), evictions });
        record.hold = now + HOLD;
        // An eviction is no failed attempt.
        record.tries = record.tries.saturating_sub(1);
        record.phase = Phase::Evicting { fence, checkpoint };
        self.claim(now, &key, out);
    }

    /// The log has the checkpoint: the next attempt goes on from it.
    pub(super) fn resume(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if digest(&record.request.body) == record.request.digest {
            return self.pick(now, key, out);
        }
        // The claim of an earlier owner holds no body, so the next caller brings it.
        let refusal = Refusal::unknown("it was evicted and goes on when it is sent again");
        self.drop_record(now, key, &Completion::Refused(refusal), out);
    }

    /// Moment of the next attempt of an evicted request whose retries are used up, if its callers
    /// wait that long.
    pub(super) fn held(&self, now: Moment, key: &Key) -> Option<Moment> {
        let record = self.records.get(key)?;
        let until = now + HOLD_WAIT;
        (until < record.deadline().min(record.hold)).then_some(until)
    }

    /// The log keeps a checkpoint of the request, but no attempt of it.
    pub(super) fn left(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        record.doubtful = true;
        let refusal = match &record.phase {
            Phase::Looking { refusal } => refusal.clone(),
            _ => Refusal::unknown("it was evicted and goes on when it is sent again"),
        };
        self.fail(now, key, refusal, out);
    }
}
