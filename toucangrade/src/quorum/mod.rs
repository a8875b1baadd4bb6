//! Membership of this instance in the control group: asks to be taken in until it is a member that
//! hears from a leader.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::core::{Moment, Name, Span};

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(250);
/// Time between two requests to be taken in; one is answered by a change of the membership, which
/// takes a few round trips.
const ASK_EVERY: Span = Span::millis(500);
/// Time without a leader after which a member asks again. An election takes one second; the leader
/// of a group that has removed this instance does not tell it.
const LEADERLESS: Span = Span::secs(3);
/// Requests in a row whose answers name others, after which an instance that none of them names is
/// forgotten. They take 10 s, in which a change of leader or membership is over.
const FORGET_AFTER: u32 = 20;
/// Names that are kept besides the seeds. A group has 17 members at most; the rest is room for
/// those that were replaced lately.
const NAMES_LIMIT: usize = 64;
/// Time that the founders of a new group get to find each other.
const FOUNDING: Span = Span::secs(3);

/// Input of the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Control instances that an answer names. Only the leader changes the membership, and it may be
    /// none of the seeds.
    Found(Vec<Name>),
    /// Whether a leader is known.
    Leader(bool),
    /// Whether the newest committed membership holds this instance as a voter.
    Member(bool),
    /// Members that this instance's own log names.
    Recorded(Vec<Name>),
    /// Other seeds are configured.
    Seeds(Vec<Name>),
    /// Time passes.
    Tick,
}

/// Output of the duty.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Asks control instances to take this one in.
    Join { to: Vec<Name> },
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Quorum {
    /// Name of this instance.
    me: Name,
    founder: bool,
    member: bool,
    /// Since when no leader is known.
    lost: Option<Moment>,
    asked: Moment,
    seeds: Vec<Name>,
    /// Other control instances, with the requests in a row whose answers did not name them.
    found: BTreeMap<Name, u32>,
    /// Whether an answer to the last request named another instance.
    answered: bool,
}

impl Quorum {
    /// `founder` tells whether this instance may found a new group with others.
    pub(crate) fn new(me: Name, founder: bool, seeds: Vec<Name>) -> Self {
        Self {
            me,
            founder,
            member: false,
            lost: Some(Moment::START),
            asked: Moment::START,
            seeds,
            found: BTreeMap::new(),
            answered: false,
        }
    }

    /// Takes a message and gives the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Found(names) => self.answered |= self.learn(names),
            Message::Leader(true) => self.lost = None,
            Message::Leader(false) => self.lost = self.lost.or(Some(now)),
            Message::Member(member) => self.member = member,
            Message::Recorded(names) => {
                self.learn(names);
            },
            Message::Seeds(seeds) => self.seeds = seeds,
            Message::Tick => {},
        }
        let founding = self.founder && now.since(Moment::START) < FOUNDING;
        let led = self.lost.is_none_or(|lost| now.since(lost) < LEADERLESS);
        if (self.member && led) || founding || now.since(self.asked) < ASK_EVERY {
            return Vec::new();
        }
        self.asked = now;
        self.forget();
        vec![Effect::Join { to: self.known() }]
    }

    /// Adds names to those that are asked, and tells whether any is another instance's.
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

    /// Drops instances that the answers no longer name. Silence and answers of instances that know
    /// nobody are no reason to, as what is known may then be the only way to the group.
    fn forget(&mut self) {
        if std::mem::take(&mut self.answered) {
            self.found.retain(|_, unnamed| {
                *unnamed += 1;
                *unnamed <= FORGET_AFTER
            });
        }
    }

    fn known(&self) -> Vec<Name> {
        let known: BTreeSet<&Name> = self.seeds.iter().chain(self.found.keys()).collect();
        known.into_iter().filter(|name| **name != self.me).cloned().collect()
    }
}
