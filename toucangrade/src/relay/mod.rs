//! Delivery of requests to the leader of the control group: finds the leader, retries requests at
//! other control instances, and ends them when they can't be delivered in time.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::core::{Moment, Name, Span};
use crate::dispatch::ClientReply;
use crate::http::CallError;
use crate::peer::{Reply, Request};

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(50);
/// Timeout of one attempt: a commit takes two round trips and a sync, a few hundred milliseconds on
/// a slow disk, and the caller's 3 s have to leave time for another attempt.
const ATTEMPT_TIMEOUT: Span = Span::millis(900);
/// Delay before the next attempt while there is no leader that was not asked yet.
const RETRY_DELAY: Span = Span::millis(60);
/// Time after which a request that can't have had an effect is given up if no attempt is in
/// progress.
const GIVE_UP_AFTER: Span = Span::millis(450);
/// Time after a reply of an instance in which a request that is not `patient` is sent to it without
/// a probe. Longer silence may mean that the instance has lost power, and an open connection to it
/// would accept the request without an error.
const CONFIRMED_FOR: Span = Span::millis(250);
/// Timeout of a probe. A sound instance answers within a round trip.
const PROBE_TIMEOUT: Span = Span::millis(250);
/// Least time before its deadline at which a request that is not `patient` is sent: two round trips
/// and a sync of the log. Without an answer its outcome would be unknown.
const ATTEMPT_MIN: Span = Span::millis(100);
/// Interval of requests for the current members and leader.
const FIND_INTERVAL: Span = Span::millis(1_000);
/// Interval of `Find` requests to all known instances after a call has failed, while requests that
/// are not `patient` arrive. A whole fleet of agents doing this would delay a recovering leader.
const SEARCH_INTERVAL: Span = Span::millis(200);
/// Time after the last request that is not `patient` in which all instances are searched.
const SEARCH_FOR: Span = Span::millis(2_000);
/// Time without a reply of any control instance after which control counts as unreachable.
const UNREACHABLE_AFTER: Span = Span::millis(2_500);

/// Input of the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Result of `Effect::Call`.
    Answered { call: u64, result: Result<Reply, CallError> },
    /// Control instances that the settings name.
    Seeds(Vec<Name>),
    /// Sends a request to the leader, with retries until `deadline`. Unless it is `patient`, it is
    /// given up earlier when no instance can take it, and is only sent to instances that have
    /// replied recently.
    Send { ticket: u64, request: Arc<Request>, deadline: Moment, patient: bool },
    /// Periodic timer, every `TICK`.
    Tick,
}

/// Output of the duty.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Sends a request to a control instance.
    Call { call: u64, to: Name, request: Arc<Request>, timeout: Span },
    /// Ends a request of `Message::Send` with its outcome.
    Done { ticket: u64, outcome: Outcome },
    /// Whether any control instance can be reached, sent on each change.
    Reachable(bool),
}

/// Outcome of a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The leader's reply.
    Reply(Box<Reply>),
    /// The request had no effect: no instance can have processed it.
    NotTaken,
    /// The request may have had an effect.
    Unknown,
}

/// Progress of a request without a reply so far.
#[derive(Debug, Eq, PartialEq, Serialize)]
enum Progress {
    /// The next attempt is due at this time.
    Due(Moment),
    /// The next attempt waits for the answer of this instance to a probe.
    Probing(Name),
    /// An attempt is in progress.
    Sent,
}

/// A request without a reply so far.
#[derive(Debug, Serialize)]
struct Pending {
    #[serde(skip)]
    request: Arc<Request>,
    /// Time at which the relay received it.
    since: Moment,
    deadline: Moment,
    /// Whether it is retried until its deadline even if it can't have had an effect.
    patient: bool,
    /// Whether an attempt may have had an effect.
    uncertain: bool,
    /// Instances that were asked in the current pass over all instances.
    asked: BTreeSet<Name>,
    progress: Progress,
}

impl Pending {
    /// Whether it may have had an effect.
    fn may_have_effect(&self) -> bool {
        self.uncertain || self.progress == Progress::Sent
    }
}

/// Purpose of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
enum Purpose {
    /// Periodic request for the current members and leader.
    Find,
    /// The same request, sent to learn whether the instance replies.
    Probe,
    /// Attempt of the request with this ticket.
    Request(u64),
}

/// A call to a control instance without an answer so far.
#[derive(Debug, Serialize)]
struct Call {
    purpose: Purpose,
    to: Name,
}

/// State of the relay duty.
#[derive(Debug, Serialize)]
pub(crate) struct Relay {
    seeds: BTreeSet<Name>,
    /// Members of the control group, as the last answer named them.
    members: BTreeSet<Name>,
    leader: Option<Name>,
    /// Requests by ticket.
    pending: BTreeMap<u64, Pending>,
    calls: BTreeMap<u64, Call>,
    /// Time of the last reply of each instance.
    replied: BTreeMap<Name, Moment>,
    /// Instances to which a call has failed since the last reply of any.
    failed: BTreeSet<Name>,
    /// Time of the last request that was not `patient`.
    urgent: Moment,
    next_call: u64,
    /// Round-robin counter for the choice of the instance to ask.
    turn: u64,
    /// Time of the last `Find` request.
    #[serde(rename = "found")]
    find_sent: Moment,
    /// Time of the last reply.
    #[serde(rename = "heard")]
    last_reply: Moment,
    /// Whether control counts as reachable.
    reached: bool,
    #[serde(skip)]
    out: Vec<Effect>,
}

impl Relay {
    /// `turn` selects the instance that is asked first; it differs between the processes of a
    /// system.
    pub(crate) fn new(seeds: Vec<Name>, turn: u64) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            members: BTreeSet::new(),
            leader: None,
            pending: BTreeMap::new(),
            calls: BTreeMap::new(),
            replied: BTreeMap::new(),
            failed: BTreeSet::new(),
            urgent: Moment::START,
            next_call: 1,
            turn,
            find_sent: Moment::START,
            last_reply: Moment::START,
            reached: false,
            out: Vec::new(),
        }
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Answered { call, result } => self.answered(now, call, result),
            Message::Seeds(seeds) => self.seeds = seeds.into_iter().collect(),
            Message::Send { ticket, request, deadline, patient } => {
                if !patient {
                    self.urgent = now;
                }
                let pending = Pending {
                    request,
                    since: now,
                    deadline,
                    patient,
                    uncertain: false,
                    asked: BTreeSet::new(),
                    progress: Progress::Due(now),
                };
                self.pending.insert(ticket, pending);
            },
            Message::Tick => self.tick(now),
        }
        self.attempt(now);
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Moment) {
        let since_find = now.since(self.find_sent);
        if !self.failed.is_empty()
            && now.since(self.urgent) < SEARCH_FOR
            && since_find >= SEARCH_INTERVAL
        {
            self.find_sent = now;
            for to in self.known() {
                self.probe(to);
            }
        } else if since_find >= FIND_INTERVAL || self.find_sent == Moment::START {
            self.find_sent = now;
            let to = self.leader.clone().or_else(|| self.candidate(&BTreeSet::new()));
            if let Some(to) = to {
                self.call(Purpose::Find, to, Arc::new(Request::Find), ATTEMPT_TIMEOUT);
            }
        }
        let reached =
            self.last_reply != Moment::START && now.since(self.last_reply) < UNREACHABLE_AFTER;
        if reached != self.reached {
            self.reached = reached;
            tracing::info!(reached, leader = self.leader.as_ref().map(Name::as_str), "control");
            self.out.push(Effect::Reachable(reached));
        }
        let silent = self.is_silent();
        let expired = |pending: &Pending| {
            let undeliverable = !pending.patient
                && !pending.may_have_effect()
                && (silent || now.since(pending.since) >= GIVE_UP_AFTER);
            now >= pending.deadline || undeliverable
        };
        let due: Vec<u64> =
            self.pending.iter().filter(|(_, p)| expired(p)).map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            if let Some(pending) = self.pending.remove(&ticket) {
                self.give_up(ticket, &pending);
            }
        }
    }

    fn give_up(&mut self, ticket: u64, pending: &Pending) {
        let outcome = if pending.may_have_effect() { Outcome::Unknown } else { Outcome::NotTaken };
        self.out.push(Effect::Done { ticket, outcome });
    }

    /// Sends the requests whose next attempt is due.
    fn attempt(&mut self, now: Moment) {
        let silent = self.is_silent();
        let due = |pending: &Pending| matches!(pending.progress, Progress::Due(at) if at <= now);
        let tickets: Vec<u64> =
            self.pending.iter().filter(|(_, p)| due(p)).map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            let Some(mut pending) = self.pending.remove(&ticket) else { continue };
            let left = pending.deadline.since(now);
            let hopeless = left < ATTEMPT_MIN || (silent && !pending.may_have_effect());
            if !pending.patient && hopeless {
                self.give_up(ticket, &pending);
                continue;
            }
            let to = self.leader.clone().or_else(|| self.candidate(&pending.asked));
            match to {
                Some(to) => {
                    pending.asked.insert(to.clone());
                    if pending.patient || self.is_confirmed(&to, now) {
                        pending.progress = Progress::Sent;
                        let request = Arc::clone(&pending.request);
                        self.call(Purpose::Request(ticket), to, request, left.min(ATTEMPT_TIMEOUT));
                    } else {
                        pending.progress = Progress::Probing(to.clone());
                        self.probe(to);
                    }
                },
                None => {
                    pending.asked.clear();
                    pending.progress = Progress::Due(now + RETRY_DELAY);
                },
            }
            self.pending.insert(ticket, pending);
        }
    }

    fn known(&self) -> BTreeSet<Name> {
        self.members.union(&self.seeds).cloned().collect()
    }

    /// Whether calls to every known instance have failed since the last reply, so that no request
    /// can be delivered.
    fn is_silent(&self) -> bool {
        !self.failed.is_empty() && self.known().is_subset(&self.failed)
    }

    /// Whether an instance has replied recently.
    fn is_confirmed(&self, name: &Name, now: Moment) -> bool {
        self.replied.get(name).is_some_and(|at| now.since(*at) < CONFIRMED_FOR)
    }

    /// Probes an instance, unless a probe of it is in progress.
    fn probe(&mut self, to: Name) {
        let same = |call: &Call| call.purpose == Purpose::Probe && call.to == to;
        if !self.calls.values().any(same) {
            self.call(Purpose::Probe, to, Arc::new(Request::Find), PROBE_TIMEOUT);
        }
    }

    /// Lets the requests that wait for an answer of this instance continue at `next`.
    fn end_probe(&mut self, name: &Name, next: Moment) {
        for pending in self.pending.values_mut() {
            if matches!(&pending.progress, Progress::Probing(probed) if probed == name) {
                pending.progress = Progress::Due(next);
            }
        }
    }

    fn call(&mut self, purpose: Purpose, to: Name, request: Arc<Request>, timeout: Span) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, Call { purpose, to: to.clone() });
        self.out.push(Effect::Call { call, to, request, timeout });
    }

    /// Chooses an instance that was not asked yet, round robin. A choice by the time would repeat
    /// the same instance if the request interval is a multiple of their number.
    fn candidate(&mut self, asked: &BTreeSet<Name>) -> Option<Name> {
        let known = self.members.union(&self.seeds);
        let untried: Vec<&Name> = known.filter(|name| !asked.contains(*name)).collect();
        let index = self.turn.checked_rem(untried.len() as u64)?;
        let chosen = untried.get(usize::try_from(index).ok()?).copied().cloned();
        self.turn = self.turn.wrapping_add(1);
        chosen
    }

    fn answered(&mut self, now: Moment, call: u64, result: Result<Reply, CallError>) {
        let Some(Call { purpose, to }) = self.calls.remove(&call) else { return };
        if result.is_ok() {
            self.last_reply = now;
            self.replied.retain(|_, at| now.since(*at) < CONFIRMED_FOR);
            self.replied.insert(to.clone(), now);
            self.failed.clear();
        } else {
            self.failed.insert(to.clone());
        }
        let mut uncertain = false;
        match result {
            Ok(Reply::Found { leader, members }) => {
                // An instance that belongs to no group yet names no members.
                if !members.is_empty() {
                    self.members = members.into_iter().collect();
                }
                self.set_leader(leader);
            },
            Ok(Reply::Refused { leader, .. }) => {
                let leader = leader.filter(|leader| *leader != to);
                if leader.is_some() || self.leader.as_ref() == Some(&to) {
                    self.set_leader(leader);
                }
            },
            Ok(Reply::Told(ClientReply::Unknown)) => uncertain = true,
            Ok(reply) => {
                self.set_leader(Some(to));
                if let Purpose::Request(ticket) = purpose
                    && let Some(pending) = self.pending.remove(&ticket)
                {
                    // A leader's refusal says nothing about an earlier attempt at another instance,
                    // which may still take effect.
                    let refused = matches!(reply, Reply::Told(ClientReply::Refused { .. }));
                    let outcome = if refused && pending.uncertain {
                        Outcome::Unknown
                    } else {
                        Outcome::Reply(Box::new(reply))
                    };
                    self.out.push(Effect::Done { ticket, outcome });
                }
                return;
            },
            Err(error) => {
                uncertain = error.verdict() != crate::core::Verdict::NotRun;
                if self.leader.as_ref() == Some(&to) {
                    self.set_leader(None);
                }
            },
        }
        match purpose {
            Purpose::Find => {},
            Purpose::Probe => {
                let next = if self.leader.is_some() { now } else { now + RETRY_DELAY };
                self.end_probe(&to, next);
            },
            Purpose::Request(ticket) => {
                let Some(pending) = self.pending.get_mut(&ticket) else { return };
                pending.uncertain |= uncertain;
                let untried =
                    self.leader.as_ref().is_some_and(|leader| !pending.asked.contains(leader));
                pending.progress = Progress::Due(if untried { now } else { now + RETRY_DELAY });
            },
        }
    }

    fn set_leader(&mut self, leader: Option<Name>) {
        if self.leader != leader {
            let name = leader.as_ref().map(Name::as_str);
            tracing::info!(leader = name, "leader");
            self.leader = leader;
        }
    }
}
