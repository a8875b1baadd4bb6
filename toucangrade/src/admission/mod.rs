//! Admission duty of an agent: tracks the attempts at the runners that announced themselves to it
//! and admits, starts, evicts and stops them. No other duty admits an attempt.

mod evict;
mod message;
mod runner;
mod wire;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Serialize;

use self::evict::Evict;
pub(crate) use self::message::{
    AgentReply, Announce, AttemptQuery, Effect, EvictReply, Message, Report, RunnerAnswer, Start,
};
use self::runner::{ANNOUNCE_TIMEOUT, CAPACITY_MAX, Runner};
use crate::claims::Resume;
use crate::core::{Class, Key, Moment, Name, Span, invariant};
use crate::http::CallError;
use crate::membership::Offer;

/// Time for which the outcome of an attempt is retained for queries.
const RETENTION: Span = Span::secs(60);
/// Limit on the bytes of retained outcomes; the oldest are dropped beyond it.
const RETAINED_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Limit on the number of retained outcomes, and on that of remembered refused starts.
const RETAINED_MAX: usize = 65_536;
/// Interval at which a request to stop or evict the same execution is repeated.
const STOP_INTERVAL: Span = Span::millis(500);

/// State of an attempt.
#[derive(Debug, PartialEq, Serialize)]
enum Phase {
    /// The outcome is known.
    Done(Report),
    /// The runner executes it. `end` is the end of its lease, `stop` when to request a stop.
    Running { end: Moment, stop: Option<Moment> },
    /// It waits for a slot.
    Waiting,
}

#[derive(Debug, Serialize)]
struct Attempt {
    runner: Option<SocketAddr>,
    fence: u64,
    kind: Name,
    class: Class,
    phase: Phase,
    start_by: Moment,
    lease: Span,
    /// Checkpoint that the execution resumed from, and the evictions before it.
    resume: Option<Resume>,
    evict: Evict,
    #[serde(skip)]
    body: Bytes,
    /// Tickets of the requests that wait for the outcome.
    tickets: Vec<u64>,
    ended: Moment,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Admission {
    incarnation: u64,
    runners: BTreeMap<SocketAddr, Runner>,
    attempts: BTreeMap<Key, Attempt>,
    /// Keys of attempts that run or wait, so that a tick does not visit the ended ones.
    active: BTreeSet<Key>,
    /// Ended attempts, oldest first.
    ended: VecDeque<(Moment, Key, u64)>,
    /// Bytes of the retained outcomes.
    #[serde(rename = "kept")]
    kept_bytes: usize,
    /// Largest fence of a refused start, by key. A copy of such a start that arrives later must not
    /// run, since the owner has the reply that it will not.
    declined: BTreeMap<Key, u64>,
    /// Start-by times of the starts in `declined`. After these, a copy is refused as too late.
    #[serde(rename = "lapses")]
    declined_expiry: VecDeque<(Moment, Key, u64)>,
    /// Largest start-by time among the attempts and refused starts that were dropped. An unknown
    /// attempt has certainly not started only if its start-by time is later.
    floor: Moment,
    /// Largest epoch seen of each partition.
    epochs: BTreeMap<u32, u64>,
    /// Moment until which new work may be admitted.
    until: Moment,
    /// When the agent began to drain.
    drained: Option<Moment>,
    /// Time in which batch attempts may end by themselves before they are evicted.
    grace: Span,
    /// Number of refused starts, by code.
    refused: BTreeMap<String, u64>,
}

impl Admission {
    /// State of an agent without runners or attempts.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            runners: BTreeMap::new(),
            attempts: BTreeMap::new(),
            active: BTreeSet::new(),
            ended: VecDeque::new(),
            kept_bytes: 0,
            declined: BTreeMap::new(),
            declined_expiry: VecDeque::new(),
            floor: Moment::START,
            epochs: BTreeMap::new(),
            until: Moment::START,
            drained: None,
            grace: Span::ZERO,
            refused: BTreeMap::new(),
        }
    }

    /// Sets the time in which batch attempts may end by themselves before they are evicted.
    #[must_use]
    pub(crate) fn grace(self, grace: Span) -> Self {
        Self { grace, ..self }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Announce { ticket, announce } => self.announce(now, ticket, announce),
            Message::LeaseExtended { until } => {
                self.until = self.until.max(until);
                Vec::new()
            },
            Message::Drain => {
                self.drained.get_or_insert(now);
                let mut effects = vec![self.offers(now)];
                effects.extend(self.evict_leaving(now));
                effects
            },
            Message::Ended { key, fence, result } => self.ended(now, &key, fence, result),
            Message::EvictReplied { key, fence, halt } => {
                self.evict_replied(now, &key, fence, halt)
            },
            Message::Query { ticket, about } => self.query(now, ticket, about),
            Message::Start { ticket, start } => self.start(now, ticket, start),
            Message::Stopped { key, fence, confirmed } => {
                if !confirmed {
                    return Vec::new();
                }
                let reason = "the execution was stopped when its lease ended".to_owned();
                self.settle(now, &key, fence, Report::Lost { reason })
            },
            Message::Tick => self.tick(now),
        }
    }

    fn announce(&mut self, now: Moment, ticket: u64, announce: Announce) -> Vec<Effect> {
        let in_range = |n: u32| (1..=CAPACITY_MAX).contains(&n);
        let error = if !in_range(announce.slots) {
            Some(format!("slots is {}, allowed is 1 to {CAPACITY_MAX}", announce.slots))
        } else if !in_range(announce.connections) || announce.connections < announce.slots {
            let Announce { connections, slots, .. } = announce;
            Some(format!("connections is {connections}, allowed is {slots} to {CAPACITY_MAX}"))
        } else if announce.addr.port() == 0 {
            Some(format!("addr is {}, allowed are ports from 1 to 65535", announce.addr))
        } else if announce.kinds.is_empty() {
            Some("kinds is empty, allowed is one kind or more".to_owned())
        } else {
            let other = announce.checkpoints.iter().find(|kind| !announce.kinds.contains(kind));
            other.map(|kind| format!("checkpoints names {kind}, allowed are the names in kinds"))
        };
        if error.is_some() {
            return vec![Effect::Announced { ticket, error }];
        }
        let (addr, leaving) = (announce.addr, announce.leaving);
        match self.runners.get_mut(&addr) {
            Some(runner) => {
                runner.foreign = runner.foreign.min(announce.busy);
                (runner.announce, runner.seen) = (announce, now);
            },
            None => {
                // This incarnation has started nothing there, so all executions are foreign.
                let foreign = announce.busy;
                self.runners.insert(addr, Runner { foreign, ..Runner::new(announce, now) });
            },
        }
        if let Some(runner) = self.runners.get_mut(&addr) {
            runner.leaving_since = runner.leaving_since.or(Some(now)).filter(|_| leaving);
        }
        let mut effects = vec![Effect::Announced { ticket, error: None }, self.offers(now)];
        effects.extend(self.evict_leaving(now));
        effects.extend(self.start_waiting(now, addr));
        effects
    }

    /// Capacity and kinds of the available runners, for the membership duty.
    fn offers(&self, now: Moment) -> Effect {
        let available =
            self.runners.values().filter(|r| self.drained.is_none() && r.available(now));
        let offer = |runner: &Runner| {
            let Announce { service, kinds, slots, connections, .. } = runner.announce.clone();
            Offer { service, kinds, slots, connections }
        };
        Effect::Offers(available.map(offer).collect())
    }

    fn start(&mut self, now: Moment, ticket: u64, start: Start) -> Vec<Effect> {
        if let Some(attempt) = self.attempts.get_mut(&start.key) {
            let settled = match &attempt.phase {
                Phase::Done(report) => Some(report.clone()),
                _ => None,
            };
            if attempt.fence == start.fence {
                // A copy of the start, sent again after its reply was lost.
                return match settled {
                    Some(report) => vec![self.reply(ticket, now, report)],
                    None => {
                        attempt.tickets.push(ticket);
                        Vec::new()
                    },
                };
            }
            if attempt.fence > start.fence {
                return vec![self.refuse(now, ticket, "stale-fence", "a newer attempt is known")];
            }
            if settled.is_none() {
                let reason = "an earlier attempt for this key has not ended";
                self.remember_declined(start);
                return vec![self.refuse(now, ticket, "earlier-attempt", reason)];
            }
        }
        if self.declined.get(&start.key).is_some_and(|fence| *fence >= start.fence) {
            return vec![self.refuse(now, ticket, "refused-before", "the attempt was refused")];
        }
        match self.find_runner(now, &start) {
            Err((code, reason)) => {
                self.remember_declined(start);
                vec![self.refuse(now, ticket, code, reason)]
            },
            Ok(addr) => self.admit(now, ticket, start, addr),
        }
    }

    /// Remembers a refused start, so that a copy of it that the network delivers later does not
    /// run.
    fn remember_declined(&mut self, start: Start) {
        let fence = self.declined.entry(start.key.clone()).or_default();
        *fence = start.fence.max(*fence);
        self.declined_expiry.push_back((start.start_by, start.key, start.fence));
        if self.declined_expiry.len() > RETAINED_MAX
            && let Some((start_by, key, fence)) = self.declined_expiry.pop_front()
        {
            // Copies of the dropped start are from now on refused as too late.
            self.floor = self.floor.max(start_by);
            self.forget_declined(&key, fence);
        }
    }

    fn forget_declined(&mut self, key: &Key, fence: u64) {
        if self.declined.get(key) == Some(&fence) {
            self.declined.remove(key);
        }
    }

    /// The least used runner for an attempt, or the code and reason of its refusal.
    fn find_runner(
        &mut self,
        now: Moment,
        start: &Start,
    ) -> Result<SocketAddr, (&'static str, &'static str)> {
        if start.incarnation != self.incarnation {
            return Err(("other-incarnation", "the agent was restarted"));
        }
        let epoch = self.epochs.entry(start.partition).or_default();
        if start.epoch < *epoch {
            return Err(("stale-epoch", "the partition of the key has a newer owner"));
        }
        *epoch = start.epoch;
        if now > start.start_by || start.start_by <= self.floor {
            return Err(("too-late", "the attempt arrived after its start-by time"));
        }
        if self.drained.is_some() {
            return Err(("draining", "the agent is leaving"));
        }
        if now >= self.until {
            return Err((
                "unconfirmed",
                "the agent can't confirm that its configuration is current",
            ));
        }
        let able = |runner: &&Runner| {
            let Announce { service, kinds, .. } = &runner.announce;
            *service == start.service && kinds.contains(&start.kind) && runner.available(now)
        };
        let runners = self.runners.values().filter(able);
        let used = |runner: &&Runner| runner.used() * 1_000 / runner.announce.connections;
        let Some(runner) = runners.min_by_key(used) else {
            return Err(("no-runner", "no runner beside the agent offers the kind"));
        };
        if !runner.has_room(start.class) {
            return Err(("full", "all connections of the runner for the class are in use"));
        }
        Ok(runner.announce.addr)
    }

    fn admit(&mut self, now: Moment, ticket: u64, start: Start, addr: SocketAddr) -> Vec<Effect> {
        let Start { key, fence, kind, class, start_by, lease, resume, body, .. } = start;
        let tickets = vec![ticket];
        let (runner, phase) = (Some(addr), Phase::Waiting);
        let attempt = Attempt {
            runner,
            fence,
            kind,
            class,
            phase,
            start_by,
            lease,
            resume,
            evict: Evict::No,
            body,
            tickets,
            ended: now,
        };
        self.drop_attempt(&key);
        self.attempts.insert(key.clone(), attempt);
        self.active.insert(key.clone());
        let Some(runner) = self.runners.get_mut(&addr) else { return Vec::new() };
        runner.held += 1;
        let (used, connections) = (runner.used(), runner.announce.connections);
        invariant!(
            used <= connections,
            "runner {addr} has {used} connections in use, but announced {connections}"
        );
        if class == Class::Quick {
            runner.quick_seen = true;
            runner.waiting.push_back(key);
        } else {
            runner.heavy_held += 1;
            runner.heavy_waiting.push_back(key);
        }
        self.start_waiting(now, addr)
    }

    /// Starts waiting attempts while the runner has free slots.
    fn start_waiting(&mut self, now: Moment, addr: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(runner) = self.runners.get_mut(&addr) else { return effects };
        let slots = runner.announce.slots;
        while runner.running.saturating_add(runner.foreign) < slots {
            let Some(key) = runner.next_waiting() else { break };
            let Some(attempt) = self.attempts.get_mut(&key) else { continue };
            if attempt.phase != Phase::Waiting || now > attempt.start_by {
                // The next tick refuses attempts whose start-by time has passed.
                continue;
            }
            runner.running += 1;
            runner.heavy_running += u32::from(attempt.class != Class::Quick);
            attempt.phase = Phase::Running { end: now + attempt.lease, stop: None };
            effects.push(Effect::Run {
                addr,
                key,
                fence: attempt.fence,
                kind: attempt.kind.clone(),
                class: attempt.class,
                lease: attempt.lease,
                checkpoint: attempt.resume.as_ref().map(|resume| resume.checkpoint.clone()),
                body: std::mem::take(&mut attempt.body),
            });
        }
        // A runner may announce fewer slots than are in use, but no attempt starts beyond them.
        invariant!(
            effects.is_empty() || runner.running + runner.foreign <= slots,
            "runner {addr} has {} own and {} foreign executions, but announced {slots} slots",
            runner.running,
            runner.foreign
        );
        effects
    }

    fn ended(
        &mut self,
        now: Moment,
        key: &Key,
        fence: u64,
        result: Result<RunnerAnswer, CallError>,
    ) -> Vec<Effect> {
        let report = match result {
            Ok(outcome) if outcome.declined => Report::Refused {
                code: "declined".to_owned(),
                reason: "the runner declined the request".to_owned(),
                after: None,
            },
            Ok(outcome) if self.note_interrupted(key, fence, &outcome) => return Vec::new(),
            Ok(outcome) if self.is_aborted(now, key, fence, &outcome) => {
                Report::Lost { reason: "the execution was stopped or its lease ended".to_owned() }
            },
            Ok(outcome) => Report::Ended(outcome.answer),
            Err(CallError::Connect | CallError::Refused | CallError::Shed | CallError::Unsent) => {
                Report::Refused {
                    code: "runner-unreachable".to_owned(),
                    reason: "the runner took no connection".to_owned(),
                    after: None,
                }
            },
            // The runner may still execute it, so the slot stays in use until it is stopped.
            Err(CallError::Lost | CallError::Timeout | CallError::TooLarge) => {
                return self.request_stop(now, key, fence);
            },
        };
        self.settle(now, key, fence, report)
    }

    /// Whether an error answer only says that the execution was stopped or its lease ended.
    ///
    /// Such an error is no answer to the request, so it must not be returned as one. The runner's
    /// clock may be 5% faster.
    fn is_aborted(&self, now: Moment, key: &Key, fence: u64, outcome: &RunnerAnswer) -> bool {
        let attempt = self.attempts.get(key).filter(|attempt| attempt.fence == fence);
        let Some(Attempt { phase: Phase::Running { end, stop }, lease, evict, .. }) = attempt
        else {
            return false;
        };
        let stopped = stop.is_some() || matches!(evict, Evict::Stopped { .. });
        let over = stopped || now + lease.percent(6) >= *end;
        over && !(200..300).contains(&outcome.answer.status)
    }

    /// Requests that the runner stops an execution whose answer was lost.
    fn request_stop(&mut self, now: Moment, key: &Key, fence: u64) -> Vec<Effect> {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.fence == fence) else {
            return Vec::new();
        };
        if let Phase::Running { stop, .. } = &mut attempt.phase {
            *stop = Some(now);
        }
        self.request_stops(now)
    }

    /// Records the outcome of an attempt, frees its slot and replies to the requests that wait for
    /// it. Does nothing if the attempt already has an outcome.
    fn settle(&mut self, now: Moment, key: &Key, fence: u64, report: Report) -> Vec<Effect> {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.fence == fence) else {
            return Vec::new();
        };
        let running = match attempt.phase {
            Phase::Done(_) => return Vec::new(),
            Phase::Running { .. } => true,
            Phase::Waiting => false,
        };
        attempt.phase = Phase::Done(report.clone());
        self.active.remove(key);
        attempt.ended = now;
        attempt.body = Bytes::new();
        let tickets = std::mem::take(&mut attempt.tickets);
        let (addr, heavy) = (attempt.runner, attempt.class != Class::Quick);
        self.kept_bytes += size(&report);
        self.ended.push_back((now, key.clone(), fence));
        let mut effects = Vec::new();
        if let Some(runner) = addr.and_then(|addr| self.runners.get_mut(&addr)) {
            invariant!(runner.held > 0, "the connection of an attempt was released twice");
            runner.held -= 1;
            runner.running -= u32::from(running);
            runner.heavy_held -= u32::from(heavy);
            runner.heavy_running -= u32::from(heavy && running);
            if !running {
                let waiting = if heavy { &mut runner.heavy_waiting } else { &mut runner.waiting };
                waiting.retain(|waiting| waiting != key);
            }
        }
        for ticket in tickets {
            effects.push(self.reply(ticket, now, report.clone()));
        }
        effects.extend(addr.map(|addr| self.start_waiting(now, addr)).unwrap_or_default());
        self.trim(now);
        effects
    }

    fn query(&mut self, now: Moment, ticket: u64, about: Option<AttemptQuery>) -> Vec<Effect> {
        let Some(AttemptQuery { key, fence, incarnation, start_by }) = about else {
            return vec![self.reply(ticket, now, Report::Running)];
        };
        if incarnation != self.incarnation {
            return vec![self.reply(ticket, now, Report::Forgotten)];
        }
        let known = self.attempts.get(&key);
        if let Some(attempt) = known.filter(|attempt| attempt.fence >= fence) {
            let report = match &attempt.phase {
                _ if attempt.fence > fence => {
                    Report::Lost { reason: "a newer attempt ran".to_owned() }
                },
                Phase::Done(report) => report.clone(),
                _ => Report::Running,
            };
            return vec![self.reply(ticket, now, report)];
        }
        if known.is_some_and(|attempt| !matches!(attempt.phase, Phase::Done(_))) {
            return vec![self.reply(ticket, now, Report::Running)];
        }
        if start_by <= self.floor {
            // It has ended or never arrived; its record may have been dropped.
            let reason = "the agent no longer keeps the outcome of the attempt".to_owned();
            return vec![self.reply(ticket, now, Report::Lost { reason })];
        }
        // The attempt never arrived; a record of the refusal keeps a late start from running.
        let reason = "the attempt had not arrived when its outcome was asked for".to_owned();
        let report = Report::Refused { code: "never-started".to_owned(), reason, after: None };
        self.drop_attempt(&key);
        let attempt = Attempt {
            runner: None,
            fence,
            kind: unknown_kind(),
            class: Class::Quick,
            phase: Phase::Done(report.clone()),
            start_by,
            lease: Span::ZERO,
            resume: None,
            evict: Evict::No,
            body: Bytes::new(),
            tickets: Vec::new(),
            ended: now,
        };
        self.attempts.insert(key.clone(), attempt);
        self.ended.push_back((now, key, fence));
        self.kept_bytes += size(&report);
        vec![self.reply(ticket, now, report)]
    }

    fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let late = |attempt: &Attempt| attempt.phase == Phase::Waiting && now > attempt.start_by;
        let active = self.active.iter().filter_map(|key| Some((key, self.attempts.get(key)?)));
        let late: Vec<(Key, u64)> =
            active.filter(|(_, a)| late(a)).map(|(k, a)| (k.clone(), a.fence)).collect();
        let mut effects = Vec::new();
        for (key, fence) in late {
            let reason = "no slot was free before the start-by time".to_owned();
            let report = Report::Refused { code: "full".to_owned(), reason, after: None };
            effects.extend(self.settle(now, &key, fence, report));
        }
        effects.extend(self.evict_leaving(now));
        effects.extend(self.request_stops(now));
        self.trim(now);
        let gone = |runner: &Runner| runner.held == 0 && now.since(runner.seen) > ANNOUNCE_TIMEOUT;
        let before = self.runners.len();
        self.runners.retain(|_, runner| !gone(runner));
        if before != self.runners.len() {
            effects.push(self.offers(now));
        }
        effects
    }

    /// Requests stops of the executions whose lease has ended or whose answer was lost.
    fn request_stops(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        for key in &self.active {
            let Some(attempt) = self.attempts.get_mut(key) else { continue };
            if attempt.awaits_checkpoint(now) {
                continue;
            }
            let Phase::Running { end, stop } = &mut attempt.phase else { continue };
            let due = if now >= *end { Some(stop.unwrap_or(now)) } else { *stop };
            if let (Some(at), Some(addr)) = (due, attempt.runner)
                && now >= at
            {
                *stop = Some(now + STOP_INTERVAL);
                let (key, kind) = (key.clone(), attempt.kind.clone());
                effects.push(Effect::Stop { addr, key, fence: attempt.fence, kind });
            }
        }
        effects
    }

    /// Drops outcomes beyond the retention limits, and refused starts after their start-by time.
    fn trim(&mut self, now: Moment) {
        while let Some((at, key, fence)) = self.ended.front() {
            let over = self.kept_bytes > RETAINED_BYTES_MAX || self.ended.len() > RETAINED_MAX;
            if now.since(*at) <= RETENTION && !over {
                break;
            }
            let (key, fence) = (key.clone(), *fence);
            self.ended.pop_front();
            if let Some(attempt) = self.attempts.get(&key).filter(|a| a.fence == fence) {
                self.floor = self.floor.max(attempt.start_by);
                self.drop_attempt(&key);
            }
        }
        while let Some((_, key, fence)) = self.declined_expiry.pop_front_if(|(at, ..)| now > *at) {
            self.forget_declined(&key, fence);
        }
    }

    fn drop_attempt(&mut self, key: &Key) {
        if let Some(Attempt { phase: Phase::Done(report), .. }) = self.attempts.remove(key) {
            self.kept_bytes -= size(&report);
        }
    }

    fn refuse(&mut self, now: Moment, ticket: u64, code: &str, reason: &str) -> Effect {
        *self.refused.entry(code.to_owned()).or_default() += 1;
        let (code, reason) = (code.to_owned(), reason.to_owned());
        self.reply(ticket, now, Report::Refused { code, reason, after: None })
    }

    fn reply(&self, ticket: u64, now: Moment, report: Report) -> Effect {
        let (incarnation, clock) = (self.incarnation, now);
        let used = self.runners.values().map(Runner::used).sum();
        let slots = self.runners.values().map(|runner| runner.announce.slots).sum();
        Effect::Reply { ticket, reported: AgentReply { report, incarnation, clock, used, slots } }
    }
}

/// Bytes that a retained report counts for.
fn size(report: &Report) -> usize {
    match report {
        Report::Ended(answer) => answer.body.len() + 256,
        _ => 256,
    }
}

/// Placeholder kind of an attempt that never arrived.
fn unknown_kind() -> Name {
    Name::new("unknown").unwrap_or_else(|error| unreachable!("{error}"))
}
