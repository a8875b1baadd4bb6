//! Life cycle of one request: claims, attempts, queries and retries. At most one attempt may run at
//! any time.

use rand::Rng;

use super::message::{Completion, Effect, Request};
use super::record::{Dispatched, Phase, Record};
use super::{ANSWER_BYTES_MAX, Execution, SETTLED_MAX};
use crate::admission::{AttemptQuery, Report, Start};
use crate::claims::{Action, Claim, Command, OPEN_LIMIT, Outcome, Reply};
use crate::core::{Answer, Class, Key, Moment, Refusal, Span, Verdict, invariant};
use crate::http::CallError;
use crate::partitions::PARTITIONS;
use crate::routing::{Candidate, Pick, START_TIMEOUT, Target};

/// Initial backoff between two queries about an attempt; doubled up to [`QUERY_BACKOFF_MAX`].
const QUERY_BACKOFF: Span = Span::millis(50);
/// Maximum backoff between two queries about an attempt.
const QUERY_BACKOFF_MAX: Span = Span::millis(1_000);
/// Delay before a command on a claim is resent when control could not be reached.
const CLAIM_RETRY_DELAY: Span = Span::millis(200);
/// Time after which a command on a claim is resent when no reply came.
const CLAIM_TIMEOUT: Span = Span::millis(2_000);
/// Number of low bits of a quick attempt's fencing token that hold the entry's attempt number; the
/// bits above hold the partition's epoch.
const SERIAL_BITS: u32 = 40;
const SERIAL_MASK: u64 = (1 << SERIAL_BITS) - 1;
/// Time after the end of an attempt in which its agent retains the outcome.
const AGENT_RETENTION: Span = Span::secs(60);

/// Largest answer that is stored in the log for resent requests, in bytes; a command of the log is
/// limited to 1 MiB. Callers that wait get larger answers too.
const LOGGED_ANSWER_MAX: usize = 512 * 1024;

/// Time from dispatch by which an attempt must have ended: its start-by time and lease on the
/// agent's clock, whose rate differs by less than 5%.
pub(super) fn max_duration(lease: Span) -> Span {
    (START_TIMEOUT + lease).percent(106)
}

impl Execution {
    /// Asks routing for an agent for the next attempt.
    pub(super) fn pick(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        let partition = key.partition(PARTITIONS);
        let epoch = self.epoch(now, partition).filter(|_| self.owns(now, partition));
        let Some(epoch) = epoch else { return self.fail(now, key, moved(), out) };
        let attempt = self.next_attempt();
        let lease = self.records.get(&key).map_or(Span::ZERO, |record| record.lease);
        let before = self.earlier_end(partition, lease).filter(|until| now < *until);
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.epoch != epoch {
            // The partition was granted again, so an owner in between may have run the request.
            (record.epoch, record.claim_known) = (epoch, false);
            if let Some(until) = before.filter(|_| !record.needs_claim()) {
                record.maybe_ran = true;
                record.phase = Phase::Waiting { until };
                self.timers.insert((until, key));
                return;
            }
        }
        (record.attempt, record.tries) = (attempt, record.tries + 1);
        record.phase = Phase::Picking;
        let (service, kind) = (record.request.service.clone(), record.request.kind.clone());
        let (attempt, exclude) = (record.attempt, record.exclude.clone());
        out.push(Effect::Pick(Pick { key, attempt, service, kind, exclude }));
    }

    pub(super) fn chosen(
        &mut self,
        now: Moment,
        key: Key,
        attempt: u32,
        target: Target,
        candidates: &[Candidate],
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let epoch = self.epoch(now, key.partition(PARTITIONS));
        let serial = self.serial & SERIAL_MASK;
        let record = self.records.get_mut(&key);
        let picking = |r: &&mut Record| r.attempt == attempt && matches!(r.phase, Phase::Picking);
        let Some(record) = record.filter(picking) else {
            return out.push(Effect::ReleaseAgent { agent: target.agent });
        };
        if epoch != Some(record.epoch) {
            out.push(Effect::ReleaseAgent { agent: target.agent });
            return self.fail(now, key, moved(), out);
        }
        let text = format!("attempt {attempt} goes to {}; {}", target.agent, reasons(candidates));
        record.note(now, &entry, text);
        if record.needs_claim() {
            record.phase = Phase::Claiming { target };
            self.claim(now, &key, out);
        } else {
            let fence = (record.epoch << SERIAL_BITS) | serial;
            self.call(now, key, target, fence, out);
        }
    }

    pub(super) fn unplaced(
        &mut self,
        now: Moment,
        key: Key,
        attempt: u32,
        candidates: &[Candidate],
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.attempt != attempt || !matches!(record.phase, Phase::Picking) {
            return;
        }
        record.note(now, &entry, format!("no agent can take it; {}", reasons(candidates)));
        let none = || Refusal::not_run(503, "nowhere-to-run", "no agent can take the request now");
        let refusal = record.refusal.clone().unwrap_or_else(none);
        // Agents that refused may have free capacity again at the next attempt.
        record.exclude.clear();
        self.retry(now, key, refusal, None, out);
    }

    /// Sends the attempt to its agent.
    fn call(&mut self, now: Moment, key: Key, target: Target, fence: u64, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let end = now + max_duration(record.lease);
        let start = Start {
            key: key.clone(),
            fence,
            service: record.request.service.clone(),
            kind: record.request.kind.clone(),
            class: record.class,
            partition: key.partition(PARTITIONS),
            epoch: record.epoch,
            incarnation: target.incarnation,
            start_by: target.start_by,
            lease: record.lease,
            resume: record.resume.clone(),
            body: record.request.body.clone(),
        };
        let dispatched = Dispatched { target: target.clone(), fence, end };
        invariant!(
            matches!(record.phase, Phase::Picking | Phase::Claiming { .. }),
            "request {key} gets a second attempt while one may run"
        );
        record.phase = Phase::Running { dispatched };
        out.push(Effect::Call { attempt: record.attempt, target, start });
    }

    /// Sends the command on the claim for the record's phase and sets the timer that resends it.
    pub(super) fn claim(&mut self, now: Moment, key: &Key, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(key) else { return };
        let request = &record.request;
        let action = match &record.phase {
            Phase::Claiming { target } => Action::Attempt {
                service: request.service.clone(),
                kind: request.kind.clone(),
                class: record.class,
                seen: self.denied_at.get(key).copied().unwrap_or(0),
                digest: request.digest.clone(),
                target: target.clone(),
                lease: record.lease,
            },
            Phase::Evicting { fence, checkpoint } => {
                Action::Evict { fence: *fence, checkpoint: checkpoint.clone() }
            },
            Phase::ReadingClaim { .. } => Action::Read,
            Phase::Releasing { fence, .. } => Action::Release { fence: *fence },
            Phase::Settling { fence, outcome, .. } => {
                Action::Settle { fence: *fence, outcome: outcome.clone() }
            },
            _ => return,
        };
        let partition = key.partition(PARTITIONS);
        let command = Command { key: key.clone(), partition, epoch: record.epoch, action };
        record.resend = now + CLAIM_TIMEOUT;
        self.timers.insert((record.resend, key.clone()));
        out.push(Effect::Claim { attempt: record.attempt, command });
    }

    pub(super) fn claimed(
        &mut self,
        now: Moment,
        key: Key,
        attempt: u32,
        reply: Option<Reply>,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let epoch = self.epoch(now, key.partition(PARTITIONS));
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.attempt != attempt {
            return;
        }
        let Some(reply) = reply else {
            // The command is sent again when the timer fires.
            record.resend = now + CLAIM_RETRY_DELAY;
            self.timers.insert((record.resend, key));
            return;
        };
        let called = matches!(reply, Reply::Granted { .. }) && epoch == Some(record.epoch);
        let newer = epoch.is_some_and(|epoch| epoch > record.epoch);
        let repeated = matches!(reply, Reply::Outdated) && newer;
        if let Phase::Claiming { target } = &record.phase
            && !called
            && !repeated
        {
            out.push(Effect::ReleaseAgent { agent: target.agent.clone() });
        }
        match (&record.phase, reply) {
            (Phase::Claiming { target }, Reply::Granted { fence, resume }) => {
                let target = target.clone();
                record.claim_known = true;
                record.note_grant(now, &entry, fence, resume);
                if epoch != Some(record.epoch) {
                    // An entry must not start attempts in a partition that it does not own.
                    record.phase = Phase::Releasing { fence, refusal: moved(), after: None };
                    return self.claim(now, &key, out);
                }
                self.call(now, key, target, fence, out);
            },
            (
                Phase::Claiming { .. }
                | Phase::Evicting { .. }
                | Phase::ReadingClaim { .. }
                | Phase::Releasing { .. },
                Reply::Existing(claim),
            ) => self.follow_claim(now, key, *claim, out),
            (Phase::Evicting { .. }, Reply::Done) => self.resume(now, key, out),
            (Phase::ReadingClaim { refusal }, Reply::Done) => {
                let refusal = refusal.clone();
                record.claim_known = true;
                self.fail(now, key, refusal, out);
            },
            (Phase::Releasing { refusal, after, .. }, Reply::Done) => {
                let (refusal, after) = (refusal.clone(), *after);
                self.retry(now, key, refusal, after, out);
            },
            (Phase::Settling { .. }, Reply::Existing(claim)) if claim.outcome.is_some() => {
                self.follow_claim(now, key, *claim, out);
            },
            (Phase::Settling { completion, .. }, Reply::Done | Reply::Existing(_)) => {
                let completion = completion.clone();
                self.finish(key, completion, out);
            },
            (_, Reply::Outdated) if epoch.is_some_and(|epoch| epoch > record.epoch) => {
                // This entry owns the partition again under a newer epoch, so it repeats the
                // command.
                record.epoch = epoch.unwrap_or_default();
                record.claim_known = false;
                self.claim(now, &key, out);
            },
            (Phase::Settling { completion, .. }, Reply::Outdated) => {
                // The newer owner queries the outcome as well and stores it.
                let completion = completion.clone();
                self.drop_record(now, key, &completion, out);
            },
            (Phase::Claiming { .. }, Reply::Denied { at }) => {
                // An earlier copy was refused as not run; requests sent from now on may run.
                self.note_denial(&key, at);
                let reason = "another entry refused this key before; send it again";
                let refusal = Refusal::not_run(503, "denied", reason).retry_after(100);
                self.drop_record(now, key, &Completion::Refused(refusal), out);
            },
            (_, Reply::Mismatch) => {
                let reason = "the key was used for another request";
                let refusal = Refusal::not_run(422, "key-reused", reason);
                self.drop_record(now, key, &Completion::Refused(refusal), out);
            },
            (
                Phase::Claiming { .. }
                | Phase::Evicting { .. }
                | Phase::ReadingClaim { .. }
                | Phase::Releasing { .. },
                Reply::Outdated,
            ) => {
                let completion =
                    Completion::Refused(Refusal::unknown("the key's partition has a newer owner"));
                self.drop_record(now, key, &completion, out);
            },
            _ => {},
        }
    }

    /// Creates records for the open claims of earlier owners and queries the outcomes of their
    /// attempts.
    pub(super) fn adopt(&mut self, now: Moment, claims: Vec<(Key, Claim)>, out: &mut Vec<Effect>) {
        let last = claims.last().map(|(key, _)| (key.partition(PARTITIONS), key.clone()));
        self.sweep_cursor = last.filter(|_| claims.len() == OPEN_LIMIT);
        for (key, claim) in claims {
            let partition = key.partition(PARTITIONS);
            let Some(epoch) = self.epoch(now, partition) else { continue };
            if self.records.contains_key(&key) || !self.owns(now, partition) {
                continue;
            }
            let Claim { service, kind, class, digest, .. } = claim.clone();
            let Some(grant) = claim.grant else { continue };
            let request = Request { service, kind, digest, body: bytes::Bytes::new() };
            let mut record = Record::new(request, class, grant.lease, epoch);
            record.attempt = self.next_attempt();
            record.claim_known = true;
            let text = format!("an earlier owner left an attempt at {}", grant.target.agent);
            record.note(now, &self.entry, text);
            *self.open.entry(partition).or_default() += 1;
            self.records.insert(key.clone(), record);
            let end = now + max_duration(grant.lease);
            let dispatched = Dispatched { target: grant.target, fence: grant.fence, end };
            self.query_later(now, key, dispatched, Span::ZERO, out);
        }
    }

    /// Takes over the state of an existing claim: its outcome, its running attempt or its
    /// checkpoint.
    fn follow_claim(&mut self, now: Moment, key: Key, claim: Claim, out: &mut Vec<Effect>) {
        let entry = self.entry.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        let request = &record.request;
        if (&claim.service, &claim.kind, &claim.digest)
            != (&request.service, &request.kind, &request.digest)
        {
            let reason = "the key was used for another request";
            let refusal = Refusal::not_run(422, "key-reused", reason);
            return self.drop_record(now, key, &Completion::Refused(refusal), out);
        }
        record.claim_known = true;
        if let Some(outcome) = claim.outcome {
            record.note(now, &entry, "the log has its outcome".to_owned());
            return self.finish(key, completion(outcome), out);
        }
        if let Some(grant) = claim.grant {
            let text = format!("an attempt at {} stands in the log", grant.target.agent);
            record.note(now, &entry, text);
            let end = now + max_duration(grant.lease);
            let dispatched = Dispatched { target: grant.target, fence: grant.fence, end };
            return self.query_later(now, key, dispatched, Span::ZERO, out);
        }
        self.refuse_evicted(now, key, out);
    }

    pub(super) fn outcome(
        &mut self,
        now: Moment,
        key: Key,
        attempt: u32,
        report: Result<Report, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.attempt != attempt {
            return;
        }
        let (dispatched, asked) = match &record.phase {
            Phase::Asking { dispatched, .. } => (dispatched.clone(), true),
            Phase::Running { dispatched } => (dispatched.clone(), false),
            _ => return,
        };
        match report {
            Ok(Report::Ended(answer)) => self.ran(now, key, dispatched, answer, out),
            Ok(Report::Evicted { checkpoint }) => {
                self.evicted(now, key, dispatched, checkpoint, out);
            },
            Ok(Report::Refused { code, reason, after }) => {
                self.refused(now, key, dispatched, &code, reason, after, out);
            },
            Ok(Report::Lost { reason }) => self.lost(now, key, dispatched, reason, out),
            Ok(Report::Forgotten) => self.forgotten(now, key, dispatched, out),
            Ok(Report::Running) => self.query_later(now, key, dispatched, QUERY_BACKOFF, out),
            Err(CallError::Connect | CallError::Refused | CallError::Shed | CallError::Unsent)
                if !asked =>
            {
                let reason = "the agent could not be reached".to_owned();
                self.refused(now, key, dispatched, "agent-unreachable", reason, None, out);
            },
            Err(_) => self.query_later(now, key, dispatched, QUERY_BACKOFF, out),
        }
    }

    /// Handles the answer of the runner: stores it in the log if the request has a claim.
    fn ran(
        &mut self,
        now: Moment,
        key: Key,
        dispatched: Dispatched,
        answer: Answer,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        let Dispatched { target, fence, .. } = dispatched;
        let size = answer.body.len();
        record.note(
            now,
            &entry,
            format!("{} answered with status {} and {size} bytes", target.agent, answer.status),
        );
        let completion = Completion::Answer(answer.clone());
        if record.needs_claim() {
            let status = answer.status;
            let outcome = if size <= LOGGED_ANSWER_MAX {
                Outcome::Ran(answer)
            } else {
                Outcome::Dropped { status }
            };
            record.phase = Phase::Settling { fence, outcome, completion };
            self.claim(now, &key, out);
        } else {
            self.finish(key, completion, out);
        }
    }

    /// Handles an attempt that did not start and will not: releases its claim and tries again.
    #[expect(clippy::too_many_arguments, reason = "the parts of one report")]
    fn refused(
        &mut self,
        now: Moment,
        key: Key,
        dispatched: Dispatched,
        code: &str,
        reason: String,
        after: Option<Span>,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        let Dispatched { target, fence, .. } = dispatched;
        record.note(now, &entry, format!("{} did not run it: {reason}", target.agent));
        record.exclude.insert(target.agent);
        let mut refusal = Refusal::not_run(503, code, reason);
        refusal.after = after.map(Span::as_millis).or(Some(100));
        if record.needs_claim() {
            record.phase = Phase::Releasing { fence, refusal, after };
            self.claim(now, &key, out);
        } else {
            self.retry(now, key, refusal, after, out);
        }
    }

    /// Handles an attempt that has ended without a known outcome: quick and batch requests are
    /// tried again, a once request is settled as unknown.
    pub(super) fn lost(
        &mut self,
        now: Moment,
        key: Key,
        dispatched: Dispatched,
        reason: String,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        let fence = dispatched.fence;
        record.maybe_ran = true;
        record.note(now, &entry, format!("its answer is lost: {reason}"));
        record.exclude.insert(dispatched.target.agent);
        let refusal = Refusal { after: None, ..Refusal::unknown(reason) };
        match record.class {
            Class::Quick => self.retry(now, key, refusal, None, out),
            Class::Batch => {
                record.phase = Phase::Releasing { fence, refusal, after: None };
                self.claim(now, &key, out);
            },
            Class::Once => {
                let outcome = Outcome::Refused(refusal.clone());
                let completion = Completion::Refused(refusal);
                record.phase = Phase::Settling { fence, outcome, completion };
                self.claim(now, &key, out);
            },
        }
    }

    /// Handles a restarted agent: it has lost the attempt, but the runner may still execute it
    /// until its lease ends.
    fn forgotten(&mut self, now: Moment, key: Key, dispatched: Dispatched, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.class == Class::Once || now >= dispatched.end {
            let reason = "the agent was restarted while it had the attempt".to_owned();
            return self.lost(now, key, dispatched, reason, out);
        }
        let wait = dispatched.end.since(now);
        self.query_later(now, key, dispatched, wait, out);
    }

    /// Schedules a query to the agent after `wait` or the next backoff, whichever is longer; zero
    /// on the first query sends it at once.
    fn query_later(
        &mut self,
        now: Moment,
        key: Key,
        dispatched: Dispatched,
        wait: Span,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let wait = match &record.phase {
            Phase::Asking { wait: last, .. } => wait.max((*last + *last).min(QUERY_BACKOFF_MAX)),
            _ => wait,
        };
        let next = now + wait;
        record.phase =
            Phase::Asking { dispatched, next, wait: wait.max(QUERY_BACKOFF), pending: false };
        self.timers.insert((next, key.clone()));
        if wait == Span::ZERO {
            self.handle_timer(now, key, out);
        }
    }

    /// Schedules another attempt if the retry budget and the callers' deadlines allow one,
    /// otherwise refuses the request.
    fn retry(
        &mut self,
        now: Moment,
        key: Key,
        refusal: Refusal,
        after: Option<Span>,
        out: &mut Vec<Effect>,
    ) {
        let jitter = self.rng.random();
        let Some(record) = self.records.get_mut(&key) else { return };
        let deadline = record.deadline();
        let next = self.budget.next_attempt(now, record.tries, after, jitter, deadline);
        let next = next.or_else(|| self.resume_retry(now, &key));
        let Some(record) = self.records.get_mut(&key) else { return };
        match next {
            Some(until) => {
                record.refusal = Some(refusal);
                record.phase = Phase::Waiting { until };
                self.timers.insert((until, key));
            },
            None => self.fail(now, key, refusal, out),
        }
    }

    /// Refuses a request of which this entry has no attempt left. Unless it is known that no
    /// earlier owner made one, the claim is read from the log first.
    pub(super) fn fail(
        &mut self,
        now: Moment,
        key: Key,
        mut refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.needs_claim() && !record.claim_known {
            record.phase = Phase::ReadingClaim { refusal };
            return self.claim(now, &key, out);
        }
        if record.maybe_ran {
            refusal.verdict = Verdict::MayHaveRun;
            refusal.status = 504;
        }
        self.drop_record(now, key, &Completion::Refused(refusal), out);
    }

    /// Settles the record, retains the outcome and answers all waiters; drops the oldest settled
    /// records beyond the limits.
    fn finish(&mut self, key: Key, completion: Completion, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        self.bytes += size(&completion);
        record.phase = Phase::Settled(completion.clone());
        let course = record.course(&completion);
        record.request.body = bytes::Bytes::new();
        let waiters = std::mem::take(&mut record.waiters);
        let events = std::mem::take(&mut record.events);
        self.close(&key);
        self.settled.push_back(key.clone());
        for (waiter, _) in waiters {
            out.push(Effect::Answer { waiter, key: key.clone(), completion: completion.clone() });
        }
        out.push(Effect::Record { key, course: Some(course), events });
        while self.settled.len() > SETTLED_MAX || self.bytes > ANSWER_BYTES_MAX {
            let Some(oldest) = self.settled.pop_front() else { break };
            if let Some(Record { phase: Phase::Settled(completion), .. }) =
                self.records.remove(&oldest)
            {
                self.bytes -= size(&completion);
            }
        }
    }

    /// Answers all waiters and removes the record, so that the request may be sent again.
    pub(super) fn drop_record(
        &mut self,
        now: Moment,
        key: Key,
        completion: &Completion,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.entry.clone();
        let Some(mut record) = self.records.remove(&key) else { return };
        self.close(&key);
        if let Completion::Refused(refusal) = completion {
            let text = format!("refused, {}: {}", refusal.verdict, refusal.reason);
            record.note(now, &entry, text);
        }
        let course = record.course(completion);
        for (waiter, _) in record.waiters {
            out.push(Effect::Answer { waiter, key: key.clone(), completion: completion.clone() });
        }
        out.push(Effect::Record { key, course: Some(course), events: record.events });
    }

    fn close(&mut self, key: &Key) {
        let open = self.open.entry(key.partition(PARTITIONS)).or_default();
        invariant!(*open > 0, "request {key} was closed twice");
        *open -= 1;
    }

    /// Handles an expired timer of a record: a waiter's deadline, the next attempt, a query to the
    /// agent, or a command on the claim.
    pub(super) fn handle_timer(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        self.expire(now, &key, out);
        let Some(record) = self.records.get_mut(&key) else { return };
        match &mut record.phase {
            Phase::Waiting { until } if now >= *until => self.pick(now, key, out),
            Phase::Asking { dispatched, next, wait, pending } if now >= *next => {
                let dispatched = dispatched.clone();
                let kept = match record.class {
                    Class::Once => AGENT_RETENTION,
                    Class::Batch | Class::Quick => Span::ZERO,
                };
                if now >= dispatched.end + kept {
                    let reason = "the agent gave no outcome before the lease ended".to_owned();
                    return self.lost(now, key, dispatched, reason, out);
                }
                let again = *wait + QUERY_BACKOFF_MAX;
                *next = now + again;
                *pending = true;
                self.timers.insert((now + again, key.clone()));
                let Target { addr, incarnation, start_by, .. } = dispatched.target;
                let question = AttemptQuery { key, fence: dispatched.fence, incarnation, start_by };
                out.push(Effect::QueryAttempt { attempt: record.attempt, addr, question });
            },
            Phase::Claiming { .. }
            | Phase::Evicting { .. }
            | Phase::ReadingClaim { .. }
            | Phase::Releasing { .. }
            | Phase::Settling { .. }
                if now >= record.resend =>
            {
                self.claim(now, &key, out);
            },
            _ => {},
        }
    }

    /// Answers the waiters whose deadline has passed. The request is refused if no waiter is left
    /// and no attempt was sent; otherwise it continues.
    fn expire(&mut self, now: Moment, key: &Key, out: &mut Vec<Effect>) {
        let entry = self.entry.clone();
        let Some(record) = self.records.get_mut(key) else { return };
        let (late, waiting): (Vec<_>, Vec<_>) =
            record.waiters.drain(..).partition(|(_, deadline)| now >= *deadline);
        record.waiters = waiting;
        if late.is_empty() {
            return;
        }
        let idle = matches!(record.phase, Phase::Picking | Phase::Waiting { .. });
        if idle && record.waiters.is_empty() {
            record.waiters = late;
            let reason = "the timeout passed before an agent took the request";
            let refusal = Refusal::not_run(503, "deadline-passed", reason).retry_after(100);
            return self.fail(now, key.clone(), refusal, out);
        }
        let completion = match &record.phase {
            Phase::Settling { completion, .. } => completion.clone(),
            _ => Completion::Refused(Refusal::unknown("the outcome is not known yet")),
        };
        if let Completion::Refused(_) = completion {
            record.note(now, &entry, "the caller's timeout passed, outcome not known".to_owned());
            record.late = true;
            // This process may end before the outcome is known, so the history gets what is known.
            let (course, events) = (Some(record.course(&completion)), record.events.clone());
            out.push(Effect::Record { key: key.clone(), course, events });
        }
        for (waiter, _) in late {
            out.push(Effect::Answer { waiter, key: key.clone(), completion: completion.clone() });
        }
    }
}

fn moved() -> Refusal {
    Refusal::not_run(503, "not-owner", "the key's partition moved away").retry_after(1_000)
}

/// Answer to a caller for an outcome in the log.
fn completion(outcome: Outcome) -> Completion {
    match outcome {
        Outcome::Ran(answer) => Completion::Answer(answer),
        Outcome::Dropped { status } => {
            let reason = format!("it ran with status {status}; its answer is no longer kept");
            let mut refusal = Refusal::not_run(410, "answer-dropped", reason);
            refusal.verdict = Verdict::Ran;
            Completion::Refused(refusal)
        },
        Outcome::Refused(refusal) => Completion::Refused(refusal),
    }
}

fn size(completion: &Completion) -> usize {
    if let Completion::Answer(answer) = completion { answer.body.len() } else { 0 }
}

/// Lists the candidates with their reasons, as part of a sentence.
fn reasons(candidates: &[Candidate]) -> String {
    if candidates.is_empty() {
        return "no agent offers the kind".to_owned();
    }
    let reasons: Vec<String> =
        candidates.iter().map(|c| format!("{} {}", c.agent, c.reason)).collect();
    format!("candidates: {}", reasons.join(", "))
}
