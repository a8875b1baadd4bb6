//! The course of one request: attempts one after the other, never two at once.

use rand::Rng;

use super::message::{Completion, Effect, Request};
use super::record::{Dispatched, Phase, Record};
use super::{ANSWERS_KEPT, Execution, SETTLED_KEPT};
use crate::admission::{Question, Report, Start};
use crate::claims::{Action, Claim, Command, OPEN_LIMIT, Outcome, Reply};
use crate::core::{Answer, Class, Key, Moment, Refusal, Span, Verdict, invariant};
use crate::http::CallError;
use crate::partitions::PARTITIONS;
use crate::routing::{Candidate, Pick, START_WITHIN, Target};

/// First wait between two questions about an attempt; doubled up to [`ASK_MAX`].
const ASK_WAIT: Span = Span::millis(50);
/// Longest wait between two questions about an attempt.
const ASK_MAX: Span = Span::millis(1_000);
/// Wait before a command on a claim is sent again after control could not be reached.
const CLAIM_WAIT: Span = Span::millis(200);
/// Time after which a command on a claim is sent again for lack of any reply.
const CLAIM_TIMEOUT: Span = Span::millis(2_000);
/// Bits of a quick attempt's fencing token that number the attempts of one owner; the bits above
/// are the partition's epoch.
const SERIAL_BITS: u32 = 40;
const SERIAL_MASK: u64 = (1 << SERIAL_BITS) - 1;
/// Time after the end of an attempt for which its agent keeps the outcome.
const KEPT_AT_AGENT: Span = Span::secs(60);

/// Largest answer that the log keeps for later questions, in bytes; a command of the log is limited
/// to 1 MiB. Callers that wait get larger ones as well.
const LOGGED_ANSWER: usize = 512 * 1024;

/// Time after dispatch when an attempt must have ended: its start-by time and lease on the agent's
/// clock, whose rate differs by less than 5%.
pub(super) fn bound(lease: Span) -> Span {
    (START_WITHIN + lease).percent(106)
}

impl Execution {
    /// Asks routing for an agent for the next attempt.
    pub(super) fn pick(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        let partition = key.partition(PARTITIONS);
        let epoch = self.epoch(now, partition).filter(|_| self.owns(now, partition));
        let Some(epoch) = epoch else { return self.fail(now, key, moved(), out) };
        let attempt = self.number();
        let lease = self.records.get(&key).map_or(Span::ZERO, |record| record.lease);
        let before = self.predecessor(partition, lease).filter(|until| now < *until);
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.epoch != epoch {
            // The partition went away and came back, so an owner in between may have run it.
            (record.epoch, record.looked) = (epoch, false);
            if let Some(until) = before.filter(|_| !record.claims()) {
                record.doubtful = true;
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
            return out.push(Effect::Unused { agent: target.agent });
        };
        if epoch != Some(record.epoch) {
            out.push(Effect::Unused { agent: target.agent });
            return self.fail(now, key, moved(), out);
        }
        let text = format!("attempt {attempt} goes to {}; {}", target.agent, reasons(candidates));
        record.note(now, &entry, text);
        if record.claims() {
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
        // Agents that refused may have room again at the next attempt.
        record.exclude.clear();
        self.retry(now, key, refusal, None, out);
    }

    /// Hands the attempt to its agent.
    fn call(&mut self, now: Moment, key: Key, target: Target, fence: u64, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let end = now + bound(record.lease);
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

    /// Sends the claim command that the record's phase asks for.
    pub(super) fn claim(&mut self, now: Moment, key: &Key, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(key) else { return };
        let request = &record.request;
        let action = match &record.phase {
            Phase::Claiming { target } => Action::Attempt {
                service: request.service.clone(),
                kind: request.kind.clone(),
                class: record.class,
                seen: self.known.get(key).copied().unwrap_or(0),
                digest: request.digest.clone(),
                target: target.clone(),
                lease: record.lease,
            },
            Phase::Evicting { fence, checkpoint } => {
                Action::Evict { fence: *fence, checkpoint: checkpoint.clone() }
            },
            Phase::Looking { .. } => Action::Look,
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
            // Control is asked again when the timer fires.
            record.resend = now + CLAIM_WAIT;
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
            out.push(Effect::Unused { agent: target.agent.clone() });
        }
        match (&record.phase, reply) {
            (Phase::Claiming { target }, Reply::Granted { fence, resume }) => {
                let target = target.clone();
                record.looked = true;
                record.granted(now, &entry, fence, resume);
                if epoch != Some(record.epoch) {
                    // Without its partition an entry starts nothing.
                    record.phase = Phase::Releasing { fence, refusal: moved(), after: None };
                    return self.claim(now, &key, out);
                }
                self.call(now, key, target, fence, out);
            },
            (
                Phase::Claiming { .. }
                | Phase::Evicting { .. }
                | Phase::Looking { .. }
                | Phase::Releasing { .. },
                Reply::Stands(claim),
            ) => self.stands(now, key, *claim, out),
            (Phase::Evicting { .. }, Reply::Done) => self.resume(now, key, out),
            (Phase::Looking { refusal }, Reply::Done) => {
                let refusal = refusal.clone();
                record.looked = true;
                self.fail(now, key, refusal, out);
            },
            (Phase::Releasing { refusal, after, .. }, Reply::Done) => {
                let (refusal, after) = (refusal.clone(), *after);
                self.retry(now, key, refusal, after, out);
            },
            (Phase::Settling { .. }, Reply::Stands(claim)) if claim.outcome.is_some() => {
                self.stands(now, key, *claim, out);
            },
            (Phase::Settling { completion, .. }, Reply::Done | Reply::Stands(_)) => {
                let completion = completion.clone();
                self.finish(key, completion, out);
            },
            (_, Reply::Outdated) if epoch.is_some_and(|epoch| epoch > record.epoch) => {
                // The partition came back under a newer epoch, so the command may be repeated.
                record.epoch = epoch.unwrap_or_default();
                record.looked = false;
                self.claim(now, &key, out);
            },
            (Phase::Settling { completion, .. }, Reply::Outdated) => {
                // The newer owner finds out the outcome as well and keeps it.
                let completion = completion.clone();
                self.drop_record(now, key, &completion, out);
            },
            (Phase::Claiming { .. }, Reply::Denied { at }) => {
                // The caller was told that it did not run; what is sent from now on may run.
                self.learn(&key, at);
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
                | Phase::Looking { .. }
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

    /// Finds out the outcomes of attempts that an earlier owner left open.
    pub(super) fn adopt(&mut self, now: Moment, claims: Vec<(Key, Claim)>, out: &mut Vec<Effect>) {
        let last = claims.last().map(|(key, _)| (key.partition(PARTITIONS), key.clone()));
        self.swept = last.filter(|_| claims.len() == OPEN_LIMIT);
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
            record.attempt = self.number();
            record.looked = true;
            let text = format!("an earlier owner left an attempt at {}", grant.target.agent);
            record.note(now, &self.entry, text);
            *self.open.entry(partition).or_default() += 1;
            self.records.insert(key.clone(), record);
            let end = now + bound(grant.lease);
            let dispatched = Dispatched { target: grant.target, fence: grant.fence, end };
            self.ask_later(now, key, dispatched, Span::ZERO, out);
        }
    }

    /// Follows a claim that an earlier attempt left.
    fn stands(&mut self, now: Moment, key: Key, claim: Claim, out: &mut Vec<Effect>) {
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
        record.looked = true;
        if let Some(outcome) = claim.outcome {
            record.note(now, &entry, "the log has its outcome".to_owned());
            return self.finish(key, completion(outcome), out);
        }
        if let Some(grant) = claim.grant {
            let text = format!("an attempt at {} stands in the log", grant.target.agent);
            record.note(now, &entry, text);
            let end = now + bound(grant.lease);
            let dispatched = Dispatched { target: grant.target, fence: grant.fence, end };
            return self.ask_later(now, key, dispatched, Span::ZERO, out);
        }
        self.left(now, key, out);
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
            Ok(Report::Running) => self.ask_later(now, key, dispatched, ASK_WAIT, out),
            Err(CallError::Connect | CallError::Refused | CallError::Shed | CallError::Unsent)
                if !asked =>
            {
                let reason = "the agent could not be reached".to_owned();
                self.refused(now, key, dispatched, "agent-unreachable", reason, None, out);
            },
            Err(_) => self.ask_later(now, key, dispatched, ASK_WAIT, out),
        }
    }

    /// The runner answered.
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
        if record.claims() {
            let status = answer.status;
            let outcome = if size <= LOGGED_ANSWER {
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

    /// The attempt did not start and will not.
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
        if record.claims() {
            record.phase = Phase::Releasing { fence, refusal, after };
            self.claim(now, &key, out);
        } else {
            self.retry(now, key, refusal, after, out);
        }
    }

    /// The attempt ended, but its answer is lost for good.
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
        record.doubtful = true;
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

    /// The agent was restarted: nothing can be asked, but the runner may still work on it.
    fn forgotten(&mut self, now: Moment, key: Key, dispatched: Dispatched, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.class == Class::Once || now >= dispatched.end {
            let reason = "the agent was restarted while it had the attempt".to_owned();
            return self.lost(now, key, dispatched, reason, out);
        }
        let wait = dispatched.end.since(now);
        self.ask_later(now, key, dispatched, wait, out);
    }

    /// Asks the agent about the attempt after `wait`, zero for at once.
    fn ask_later(
        &mut self,
        now: Moment,
        key: Key,
        dispatched: Dispatched,
        wait: Span,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let wait = match &record.phase {
            Phase::Asking { wait: last, .. } => wait.max((*last + *last).min(ASK_MAX)),
            _ => wait,
        };
        let next = now + wait;
        record.phase = Phase::Asking { dispatched, next, wait: wait.max(ASK_WAIT), pending: false };
        self.timers.insert((next, key.clone()));
        if wait == Span::ZERO {
            self.due(now, key, out);
        }
    }

    /// Tries again if the budget and the callers' timeouts allow, else refuses.
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
        let next = self.budget.next(now, record.tries, after, jitter, deadline);
        let next = next.or_else(|| self.held(now, &key));
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

    /// Refuses a request that no attempt of this owner ran or can still run.
    pub(super) fn fail(
        &mut self,
        now: Moment,
        key: Key,
        mut refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.claims() && !record.looked {
            record.phase = Phase::Looking { refusal };
            return self.claim(now, &key, out);
        }
        if record.doubtful {
            refusal.verdict = Verdict::MayHaveRun;
            refusal.status = 504;
        }
        self.drop_record(now, key, &Completion::Refused(refusal), out);
    }

    /// Notes the final outcome, keeps it and tells everyone who waits.
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
        while self.settled.len() > SETTLED_KEPT || self.bytes > ANSWERS_KEPT {
            let Some(oldest) = self.settled.pop_front() else { break };
            if let Some(Record { phase: Phase::Settled(completion), .. }) =
                self.records.remove(&oldest)
            {
                self.bytes -= size(&completion);
            }
        }
    }

    /// Tells everyone who waits and forgets the key, so that it may be tried anew.
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

    /// Does what is due for a record: the next attempt, a question, a claim, a caller's timeout.
    pub(super) fn due(&mut self, now: Moment, key: Key, out: &mut Vec<Effect>) {
        self.expire(now, &key, out);
        let Some(record) = self.records.get_mut(&key) else { return };
        match &mut record.phase {
            Phase::Waiting { until } if now >= *until => self.pick(now, key, out),
            Phase::Asking { dispatched, next, wait, pending } if now >= *next => {
                let dispatched = dispatched.clone();
                let kept = match record.class {
                    Class::Once => KEPT_AT_AGENT,
                    Class::Batch | Class::Quick => Span::ZERO,
                };
                if now >= dispatched.end + kept {
                    let reason = "the agent gave no outcome before the lease ended".to_owned();
                    return self.lost(now, key, dispatched, reason, out);
                }
                let again = *wait + ASK_MAX;
                *next = now + again;
                *pending = true;
                self.timers.insert((now + again, key.clone()));
                let Target { addr, incarnation, start_by, .. } = dispatched.target;
                let question = Question { key, fence: dispatched.fence, incarnation, start_by };
                out.push(Effect::Ask { attempt: record.attempt, addr, question });
            },
            Phase::Claiming { .. }
            | Phase::Evicting { .. }
            | Phase::Looking { .. }
            | Phase::Releasing { .. }
            | Phase::Settling { .. }
                if now >= record.resend =>
            {
                self.claim(now, &key, out);
            },
            _ => {},
        }
    }

    /// Tells callers whose timeout has passed; the request goes on if it may have run.
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
            // The outcome may take long, and this process may end before it is known.
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

/// What a caller is told of an outcome in the log.
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

/// The candidates and the reason of each, in one sentence part.
fn reasons(candidates: &[Candidate]) -> String {
    if candidates.is_empty() {
        return "no agent offers the kind".to_owned();
    }
    let reasons: Vec<String> =
        candidates.iter().map(|c| format!("{} {}", c.agent, c.reason)).collect();
    format!("candidates: {}", reasons.join(", "))
}
