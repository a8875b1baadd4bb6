//! The ledger of what runs beside this agent, and the only place where an attempt is admitted.

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
    Announce, Effect, Halt, Message, Outcome, Question, Report, Reported, Start,
};
use self::runner::{ANNOUNCE_LAPSE, ROOM_MAX, Runner};
use crate::claims::Resume;
use crate::core::{Class, Key, Moment, Name, Span, invariant};
use crate::http::CallError;
use crate::membership::Offer;

/// Time for which the outcome of an attempt is kept for questions.
const KEEP: Span = Span::secs(60);
/// Bytes of kept answers; the oldest are dropped beyond it.
const KEEP_BYTES: usize = 64 * 1024 * 1024;
/// Attempts that are remembered at most.
const KEEP_COUNT: usize = 65_536;
/// Time between two requests to stop the same execution.
const STOP_EVERY: Span = Span::millis(500);

/// State of an attempt.
#[derive(Debug, PartialEq, Serialize)]
enum Phase {
    /// The outcome is known.
    Done(Report),
    /// The runner works on it; `end` is the end of its lease, `stop` when to ask for a stop.
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
    /// Where the execution went on.
    resume: Option<Resume>,
    evict: Evict,
    #[serde(skip)]
    body: Bytes,
    /// Requests that wait for the outcome.
    tickets: Vec<u64>,
    ended: Moment,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Admission {
    incarnation: u64,
    runners: BTreeMap<SocketAddr, Runner>,
    attempts: BTreeMap<Key, Attempt>,
    /// Attempts that run or wait, so that a tick does not look at every ended one.
    active: BTreeSet<Key>,
    /// Ended attempts, oldest first.
    ended: VecDeque<(Moment, Key, u64)>,
    kept: usize,
    /// Starts that were refused, by key with the largest fence. A copy of such a start that
    /// arrives later must not run, since the owner was told that it will not.
    declined: BTreeMap<Key, u64>,
    /// Start-by times of the starts in `declined`, after which a copy is too late anyway.
    lapses: VecDeque<(Moment, Key, u64)>,
    /// Largest start-by time among the attempts whose outcomes were dropped. An unknown attempt
    /// certainly never started only if its start-by time is later.
    floor: Moment,
    epochs: BTreeMap<u32, u64>,
    until: Moment,
    /// When the agent began to leave.
    drained: Option<Moment>,
    /// Time that batch attempts get to end by themselves before they are evicted.
    grace: Span,
    refused: BTreeMap<String, u64>,
}

impl Admission {
    /// The empty ledger of an agent.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            runners: BTreeMap::new(),
            attempts: BTreeMap::new(),
            active: BTreeSet::new(),
            ended: VecDeque::new(),
            kept: 0,
            declined: BTreeMap::new(),
            lapses: VecDeque::new(),
            floor: Moment::START,
            epochs: BTreeMap::new(),
            until: Moment::START,
            drained: None,
            grace: Span::ZERO,
            refused: BTreeMap::new(),
        }
    }

    /// The same ledger that evicts batch attempts only after this time.
    #[must_use]
    pub(crate) fn grace(self, grace: Span) -> Self {
        Self { grace, ..self }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Announce { ticket, announce } => self.announce(now, ticket, announce),
            Message::Confirmed { until } => {
                self.until = self.until.max(until);
                Vec::new()
            },
            Message::Drain => {
                self.drained.get_or_insert(now);
                let mut effects = vec![self.offers(now)];
                effects.extend(self.evictions(now));
                effects
            },
            Message::Ended { key, fence, result } => self.ended(now, &key, fence, result),
            Message::Evicted { key, fence, halt } => self.halted(now, &key, fence, halt),
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
        let room = |n: u32| (1..=ROOM_MAX).contains(&n);
        let error = if !room(announce.slots) {
            Some(format!("slots is {}, allowed is 1 to {ROOM_MAX}", announce.slots))
        } else if !room(announce.connections) || announce.connections < announce.slots {
            let Announce { connections, slots, .. } = announce;
            Some(format!("connections is {connections}, allowed is {slots} to {ROOM_MAX}"))
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
                // Nothing of this incarnation runs there yet, so all that runs is foreign.
                let foreign = announce.busy;
                self.runners.insert(addr, Runner { foreign, ..Runner::new(announce, now) });
            },
        }
        if let Some(runner) = self.runners.get_mut(&addr) {
            runner.left = runner.left.or(Some(now)).filter(|_| leaving);
        }
        let mut effects = vec![Effect::Announced { ticket, error: None }, self.offers(now)];
        effects.extend(self.evictions(now));
        effects.extend(self.advance(now, addr));
        effects
    }

    /// What the available runners offer.
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
                // The same start again, after a lost answer.
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
                self.decline(start);
                return vec![self.refuse(now, ticket, "earlier-attempt", reason)];
            }
        }
        if self.declined.get(&start.key).is_some_and(|fence| *fence >= start.fence) {
            return vec![self.refuse(now, ticket, "refused-before", "the attempt was refused")];
        }
        match self.obstacle(now, &start) {
            Err((code, reason)) => {
                self.decline(start);
                vec![self.refuse(now, ticket, code, reason)]
            },
            Ok(addr) => self.admit(now, ticket, start, addr),
        }
    }

    /// Keeps a copy of a refused start from running.
    fn decline(&mut self, start: Start) {
        let fence = self.declined.entry(start.key.clone()).or_default();
        *fence = start.fence.max(*fence);
        self.lapses.push_back((start.start_by, start.key, start.fence));
        if self.lapses.len() > KEEP_COUNT
            && let Some((start_by, key, fence)) = self.lapses.pop_front()
        {
            // What is no longer remembered is too late from now on.
            self.floor = self.floor.max(start_by);
            self.allow(&key, fence);
        }
    }

    fn allow(&mut self, key: &Key, fence: u64) {
        if self.declined.get(key) == Some(&fence) {
            self.declined.remove(key);
        }
    }

    /// The runner for an attempt, or why it can't be admitted.
    fn obstacle(
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
        self.forget(&key);
        self.attempts.insert(key.clone(), attempt);
        self.active.insert(key.clone());
        let Some(runner) = self.runners.get_mut(&addr) else { return Vec::new() };
        runner.held += 1;
        let (used, connections) = (runner.used(), runner.announce.connections);
        invariant!(used <= connections, "runner {addr} has {used} of {connections} connections");
        if class == Class::Quick {
            runner.quick = true;
            runner.waiting.push_back(key);
        } else {
            runner.heavy_held += 1;
            runner.heavy_waiting.push_back(key);
        }
        self.advance(now, addr)
    }

    /// Starts waiting attempts while the runner has free slots.
    fn advance(&mut self, now: Moment, addr: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(runner) = self.runners.get_mut(&addr) else { return effects };
        let slots = runner.announce.slots;
        while runner.running.saturating_add(runner.foreign) < slots {
            let Some(key) = runner.pop() else { break };
            let Some(attempt) = self.attempts.get_mut(&key) else { continue };
            if attempt.phase != Phase::Waiting || now > attempt.start_by {
                // The tick refuses what waits beyond its start-by time.
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
        // A runner may announce fewer slots than it has in use, but nothing starts beyond them.
        invariant!(
            effects.is_empty() || runner.running + runner.foreign <= slots,
            "runner {addr} has {} and {} of {slots} slots in use",
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
        result: Result<Outcome, CallError>,
    ) -> Vec<Effect> {
        let report = match result {
            Ok(outcome) if outcome.declined => Report::Refused {
                code: "declined".to_owned(),
                reason: "the runner declined the request".to_owned(),
                after: None,
            },
            Ok(outcome) if self.interrupted(key, fence, &outcome) => return Vec::new(),
            Ok(outcome) if self.aborted(now, key, fence, &outcome) => {
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
            // The runner may still work on it, so the slot stays in use until it is stopped.
            Err(CallError::Lost | CallError::Timeout | CallError::TooLarge) => {
                return self.doubt(now, key, fence);
            },
        };
        self.settle(now, key, fence, report)
    }

    /// Whether an answer only says that the execution was cut short.
    ///
    /// A runner answers an error when it is asked to stop or its lease ends. That is no answer to
    /// the request, so it must not be passed on as one. The runner's clock may be 5% faster.
    fn aborted(&self, now: Moment, key: &Key, fence: u64, outcome: &Outcome) -> bool {
        let attempt = self.attempts.get(key).filter(|attempt| attempt.fence == fence);
        let Some(Attempt { phase: Phase::Running { end, stop }, lease, evict, .. }) = attempt
        else {
            return false;
        };
        let stopped = stop.is_some() || matches!(evict, Evict::Stopped { .. });
        let over = stopped || now + lease.percent(6) >= *end;
        over && !(200..300).contains(&outcome.answer.status)
    }

    /// Asks the runner to stop an execution whose answer was lost.
    fn doubt(&mut self, now: Moment, key: &Key, fence: u64) -> Vec<Effect> {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.fence == fence) else {
            return Vec::new();
        };
        if let Phase::Running { stop, .. } = &mut attempt.phase {
            *stop = Some(now);
        }
        self.stops(now)
    }

    /// Notes the outcome of an attempt and frees its slot, once.
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
        self.kept += size(&report);
        self.ended.push_back((now, key.clone(), fence));
        let mut effects = Vec::new();
        if let Some(runner) = addr.and_then(|addr| self.runners.get_mut(&addr)) {
            invariant!(runner.held > 0, "an attempt was released twice");
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
        effects.extend(addr.map(|addr| self.advance(now, addr)).unwrap_or_default());
        self.trim(now);
        effects
    }

    fn query(&mut self, now: Moment, ticket: u64, about: Option<Question>) -> Vec<Effect> {
        let Some(Question { key, fence, incarnation, start_by }) = about else {
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
            // It ended or never came, but which of the two is no longer known.
            let reason = "the agent no longer keeps the outcome of the attempt".to_owned();
            return vec![self.reply(ticket, now, Report::Lost { reason })];
        }
        // The attempt never came; remembering the refusal keeps a late start from running.
        let reason = "the attempt had not arrived when its outcome was asked for".to_owned();
        let report = Report::Refused { code: "never-started".to_owned(), reason, after: None };
        self.forget(&key);
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
        self.kept += size(&report);
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
        effects.extend(self.evictions(now));
        effects.extend(self.stops(now));
        self.trim(now);
        let gone = |runner: &Runner| runner.held == 0 && now.since(runner.seen) > ANNOUNCE_LAPSE;
        let before = self.runners.len();
        self.runners.retain(|_, runner| !gone(runner));
        if before != self.runners.len() {
            effects.push(self.offers(now));
        }
        effects
    }

    /// Asks runners to stop executions that outlived their lease or whose answer was lost.
    fn stops(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        for key in &self.active {
            let Some(attempt) = self.attempts.get_mut(key) else { continue };
            if attempt.evicting(now) {
                continue;
            }
            let Phase::Running { end, stop } = &mut attempt.phase else { continue };
            let due = if now >= *end { Some(stop.unwrap_or(now)) } else { *stop };
            if let (Some(at), Some(addr)) = (due, attempt.runner)
                && now >= at
            {
                *stop = Some(now + STOP_EVERY);
                let (key, kind) = (key.clone(), attempt.kind.clone());
                effects.push(Effect::Stop { addr, key, fence: attempt.fence, kind });
            }
        }
        effects
    }

    /// Drops outcomes that are older or larger than what is kept.
    fn trim(&mut self, now: Moment) {
        while let Some((at, key, fence)) = self.ended.front() {
            let over = self.kept > KEEP_BYTES || self.ended.len() > KEEP_COUNT;
            if now.since(*at) <= KEEP && !over {
                break;
            }
            let (key, fence) = (key.clone(), *fence);
            self.ended.pop_front();
            if let Some(attempt) = self.attempts.get(&key).filter(|a| a.fence == fence) {
                self.floor = self.floor.max(attempt.start_by);
                self.forget(&key);
            }
        }
        while let Some((_, key, fence)) = self.lapses.pop_front_if(|(at, ..)| now > *at) {
            self.allow(&key, fence);
        }
    }

    fn forget(&mut self, key: &Key) {
        if let Some(Attempt { phase: Phase::Done(report), .. }) = self.attempts.remove(key) {
            self.kept -= size(&report);
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
        Effect::Reply { ticket, reported: Reported { report, incarnation, clock, used, slots } }
    }
}

/// Bytes that a kept report takes.
fn size(report: &Report) -> usize {
    match report {
        Report::Ended(answer) => answer.body.len() + 256,
        _ => 256,
    }
}

/// Kind of an attempt that never arrived.
fn unknown_kind() -> Name {
    Name::new("unknown").unwrap_or_else(|error| unreachable!("{error}"))
}
