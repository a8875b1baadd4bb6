//! Joins this control instance to the control group: sends join requests until it is a member and
//! there is a leader.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::core::{Moment, Name, Span};

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(250);
/// Interval of join requests. Each is answered by a membership change, which takes a few round
/// trips.
const JOIN_INTERVAL: Span = Span::millis(500);
/// Time without a leader after which a member sends join requests again. An election takes one
/// second; a group that has removed this instance does not notify it.
const LEADERLESS_LIMIT: Span = Span::secs(3);
/// Number of consecutive answered requests without a mention of an instance after which it is
/// dropped. They take 10 s, in which a change of leader or membership completes.
const FORGET_AFTER: u32 = 20;
/// Maximum number of names kept besides the seeds. A group has 17 members at most; the rest is for
/// recently replaced ones.
const NAMES_LIMIT: usize = 64;
/// Time that the founders of a new group have to find each other before they send join requests.
const FOUNDING_PERIOD: Span = Span::secs(3);

/// Input of the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Control instances that an answer names. Only the leader can change the membership, and it
    /// need not be one of the seeds.
    Found(Vec<Name>),
    /// Whether a leader is known.
    Leader(bool),
    /// Whether this instance is a voter in the newest committed membership.
    Member(bool),
    /// Members according to this instance's own log.
    LogMembers(Vec<Name>),
    /// Replaces the configured seeds.
    Seeds(Vec<Name>),
    /// This instance stops and must not join again.
    Stop,
    /// Periodic timer, every `TICK`.
    Tick,
}

/// Output of the duty.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Sends a join request to control instances.
    Join { to: Vec<Name> },
}

/// State of the quorum duty.
#[derive(Debug, Serialize)]
pub(crate) struct Quorum {
    /// Name of this instance.
    me: Name,
    founder: bool,
    member: bool,
    /// Time since which no leader is known; `None` while there is one.
    #[serde(rename = "lost")]
    leaderless_since: Option<Moment>,
    /// Time of the last join request.
    #[serde(rename = "asked")]
    last_join: Moment,
    seeds: Vec<Name>,
    stopping: bool,
    /// Other control instances, with the number of consecutive requests whose answers did not name
    /// them.
    found: BTreeMap<Name, u32>,
    /// Whether an answer since the last request named another instance.
    answered: bool,
}

impl Quorum {
    /// `founder` is whether this instance may found a new group with others.
    pub(crate) fn new(me: Name, founder: bool, seeds: Vec<Name>) -> Self {
        Self {
            me,
            founder,
            member: false,
            leaderless_since: Some(Moment::START),
            last_join: Moment::START,
            seeds,
            stopping: false,
            found: BTreeMap::new(),
            answered: false,
        }
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Found(names) => self.answered |= self.learn(names),
            Message::Leader(true) => self.leaderless_since = None,
            Message::Leader(false) => self.leaderless_since = self.leaderless_since.or(Some(now)),
            Message::Member(member) => self.member = member,
            Message::LogMembers(names) => {
                self.learn(names);
            },
            Message::Seeds(seeds) => self.seeds = seeds,
            Message::Stop => self.stopping = true,
            Message::Tick => {},
        }
        let founding = self.founder && now.since(Moment::START) < FOUNDING_PERIOD;
        let has_leader =
            self.leaderless_since.is_none_or(|since| now.since(since) < LEADERLESS_LIMIT);
        if self.stopping
            || (self.member && has_leader)
            || founding
            || now.since(self.last_join) < JOIN_INTERVAL
        {
            return Vec::new();
        }
        self.last_join = now;
        self.drop_unnamed();
        vec![Effect::Join { to: self.recipients() }]
    }

    /// Adds names to the instances that get join requests; returns whether any is not this
    /// instance's.
    fn learn(&mut self, names: Vec<Name>) -> bool {
        let mut learned = false;
        for name in names.into_iter().filter(|name| *name != self.me) {
            learned = true;
            if self.found.len() < NAMES_LIMIT || self.found.contains_key(&name) {
                self.found.insert(name, 0);
            }
        }
        learned
    }

    /// Drops instances that the answers have not named for `FORGET_AFTER` requests. Requests
    /// without an answer, or whose answers name no other instance, don't count: the known names may
    /// then be the only way to the group.
    fn drop_unnamed(&mut self) {
        if std::mem::take(&mut self.answered) {
            self.found.retain(|_, unnamed| {
                *unnamed += 1;
                *unnamed <= FORGET_AFTER
            });
        }
    }

    /// Recipients of a join request: all known instances except this one.
    fn recipients(&self) -> Vec<Name> {
        let recipients: BTreeSet<&Name> = self.seeds.iter().chain(self.found.keys()).collect();
        recipients.into_iter().filter(|name| **name != self.me).cloned().collect()
    }
}
