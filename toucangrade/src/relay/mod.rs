//! Requests to whichever control instance leads: which instance is asked, when it is asked again,
//! and when a request is given up.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::core::{Moment, Name, Span};
use crate::dispatch::Told;
use crate::http::CallError;
use crate::peer::{Reply, Request};

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(50);
/// Time that one attempt may take: a commit takes two round trips and a sync, a few hundred
/// milliseconds on a slow disk, and a caller's 3 s have to leave room for another attempt.
const ATTEMPT_LIMIT: Span = Span::millis(900);
/// Time between two attempts while no leader is known.
const PAUSE: Span = Span::millis(60);
/// Time after which a request that certainly had no effect is refused while no leader is known.
const PATIENCE: Span = Span::millis(450);
/// Time between two questions for the members and the leader.
const FIND_EVERY: Span = Span::millis(1_000);
/// Silence of all control instances after which this process counts as cut off.
const CUT_OFF: Span = Span::millis(2_500);

/// Input of the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Result of `Effect::Call`.
    Answered { call: u64, result: Result<Reply, CallError> },
    /// Addresses that the settings name.
    Seeds(Vec<Name>),
    /// A request to the leader, given up at `deadline`.
    Send { ticket: u64, request: Arc<Request>, deadline: Moment, patient: bool },
    /// Time passes.
    Tick,
}

/// Output of the duty.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Sends a request to a control instance.
    Call { call: u64, to: Name, request: Arc<Request>, timeout: Span },
    /// The outcome of a request.
    Done { ticket: u64, outcome: Outcome },
    /// Whether some control instance can be reached.
    Reach(bool),
}

/// What became of a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The leader's reply.
    Reply(Box<Reply>),
    /// No instance can have taken it.
    NotTaken,
    /// An instance may have taken it.
    Unknown,
}

/// A request that has no reply yet.
#[derive(Debug, Serialize)]
struct Pending {
    #[serde(skip)]
    request: Arc<Request>,
    since: Moment,
    deadline: Moment,
    /// Whether it waits until its deadline though nothing has taken it.
    patient: bool,
    /// Whether an attempt may have had an effect.
    uncertain: bool,
    /// Instances that were asked since a leader was last known.
    asked: BTreeSet<Name>,
    /// When the next attempt is due; `None` while one is under way.
    next: Option<Moment>,
}

#[derive(Debug, Serialize)]
struct Call {
    /// The request; `None` for a question of this duty's own.
    ticket: Option<u64>,
    to: Name,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Relay {
    seeds: BTreeSet<Name>,
    members: BTreeSet<Name>,
    leader: Option<Name>,
    pending: BTreeMap<u64, Pending>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    found: Moment,
    heard: Moment,
    reached: bool,
    #[serde(skip)]
    out: Vec<Effect>,
}

impl Relay {
    pub(crate) fn new(seeds: Vec<Name>) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            members: BTreeSet::new(),
            leader: None,
            pending: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            found: Moment::START,
            heard: Moment::START,
            reached: false,
            out: Vec::new(),
        }
    }

    /// Takes a message and gives the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Answered { call, result } => self.answered(now, call, result),
            Message::Seeds(seeds) => self.seeds = seeds.into_iter().collect(),
            Message::Send { ticket, request, deadline, patient } => {
                let pending = Pending {
                    request,
                    since: now,
                    deadline,
                    patient,
                    uncertain: false,
                    asked: BTreeSet::new(),
                    next: Some(now),
                };
                self.pending.insert(ticket, pending);
            },
            Message::Tick => self.tick(now),
        }
        self.attempt(now);
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Moment) {
        if now.since(self.found) >= FIND_EVERY || self.found == Moment::START {
            self.found = now;
            let to = self.leader.clone().or_else(|| self.candidate(&BTreeSet::new(), now));
            if let Some(to) = to {
                self.call(None, to, Arc::new(Request::Find), ATTEMPT_LIMIT);
            }
        }
        let reached = self.heard != Moment::START && now.since(self.heard) < CUT_OFF;
        if reached != self.reached {
            self.reached = reached;
            tracing::info!(reached, leader = self.leader.as_ref().map(Name::as_str), "control");
            self.out.push(Effect::Reach(reached));
        }
        let over = |pending: &Pending| {
            let idle = !pending.patient
                && !pending.uncertain
                && pending.next.is_some()
                && now.since(pending.since) >= PATIENCE;
            now >= pending.deadline || idle
        };
        let due: Vec<u64> =
            self.pending.iter().filter(|(_, p)| over(p)).map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            if let Some(pending) = self.pending.remove(&ticket) {
                let open = pending.uncertain || pending.next.is_none();
                let outcome = if open { Outcome::Unknown } else { Outcome::NotTaken };
                self.out.push(Effect::Done { ticket, outcome });
            }
        }
    }

    /// Sends requests whose next attempt is due.
    fn attempt(&mut self, now: Moment) {
        let due = |pending: &Pending| pending.next.is_some_and(|next| next <= now);
        let tickets: Vec<u64> =
            self.pending.iter().filter(|(_, p)| due(p)).map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            let Some(pending) = self.pending.get(&ticket) else { continue };
            let to = self.leader.clone().or_else(|| self.candidate(&pending.asked, now));
            let Some(pending) = self.pending.get_mut(&ticket) else { continue };
            let Some(to) = to else {
                pending.asked.clear();
                pending.next = Some(now + PAUSE);
                continue;
            };
            pending.asked.insert(to.clone());
            pending.next = None;
            let (request, left) = (Arc::clone(&pending.request), pending.deadline.since(now));
            self.call(Some(ticket), to, request, left.min(ATTEMPT_LIMIT));
        }
    }

    fn call(&mut self, ticket: Option<u64>, to: Name, request: Arc<Request>, timeout: Span) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, Call { ticket, to: to.clone() });
        self.out.push(Effect::Call { call, to, request, timeout });
    }

    /// An instance that was not asked, in an order that differs from process to process over time.
    fn candidate(&self, asked: &BTreeSet<Name>, now: Moment) -> Option<Name> {
        let known = if self.members.is_empty() { &self.seeds } else { &self.members };
        let open: Vec<&Name> =
            known.iter().chain(&self.seeds).filter(|name| !asked.contains(*name)).collect();
        let turn = usize::try_from(now.as_micros() / 1_000).unwrap_or(0);
        open.get(turn.checked_rem(open.len())?).copied().cloned()
    }

    fn answered(&mut self, now: Moment, call: u64, result: Result<Reply, CallError>) {
        let Some(Call { ticket, to }) = self.calls.remove(&call) else { return };
        if result.is_ok() {
            self.heard = now;
        }
        let mut uncertain = false;
        match result {
            Ok(Reply::Found { leader, members }) => {
                // An instance that belongs to no group names nobody.
                if !members.is_empty() {
                    self.members = members.into_iter().collect();
                }
                self.turn(leader);
            },
            Ok(Reply::Refused { leader, .. }) => {
                let leader = leader.filter(|leader| *leader != to);
                if leader.is_some() || self.leader.as_ref() == Some(&to) {
                    self.turn(leader);
                }
            },
            Ok(Reply::Told(Told::Unknown)) => uncertain = true,
            Ok(reply) => {
                self.turn(Some(to));
                if let Some(ticket) = ticket
                    && self.pending.remove(&ticket).is_some()
                {
                    let outcome = Outcome::Reply(Box::new(reply));
                    self.out.push(Effect::Done { ticket, outcome });
                }
                return;
            },
            Err(error) => {
                uncertain = error.verdict() != crate::core::Verdict::NotRun;
                if self.leader.as_ref() == Some(&to) {
                    self.turn(None);
                }
            },
        }
        if let Some(pending) = ticket.and_then(|ticket| self.pending.get_mut(&ticket)) {
            pending.uncertain |= uncertain;
            let untried =
                self.leader.as_ref().is_some_and(|leader| !pending.asked.contains(leader));
            pending.next = Some(if untried { now } else { now + PAUSE });
        }
    }

    fn turn(&mut self, leader: Option<Name>) {
        if self.leader != leader {
            let name = leader.as_ref().map(Name::as_str);
            tracing::info!(leader = name, "leader");
            self.leader = leader;
        }
    }
}
