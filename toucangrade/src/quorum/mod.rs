//! Membership of this instance in the control group: asks to be taken in until it is a member that
//! hears from a leader.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use serde::Serialize;

use crate::core::{Moment, Name, Span};

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(250);
/// Time between two requests to be taken in; one is answered by a change of the membership, which
/// takes a few round trips.
const ASK_EVERY: Span = Span::millis(500);
/// Time that the founders of a new group get to find each other.
const FOUNDING: Span = Span::secs(3);

/// Time without a leader after which a member asks as well. A voter is removed after as long a
/// silence, and nobody tells it.
const UNLED: Span = Span::secs(5);

/// Input of the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Control instances that an answer or the agreed membership names. Only the leader changes the
    /// membership, and it may be none of the seeds.
    Found(Vec<Name>),
    /// Whether this instance knows a leader.
    Led(bool),
    /// Whether the newest committed membership holds this instance as a voter.
    Member(bool),
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
    /// Since when no leader is known, if none is.
    unled: Option<Moment>,
    asked: Moment,
    seeds: Vec<Name>,
    /// The newest control instances that others have named.
    found: Vec<Name>,
}

impl Quorum {
    /// `founder` tells whether this instance may found a new group with others.
    pub(crate) fn new(me: Name, founder: bool, seeds: Vec<Name>) -> Self {
        let (member, unled, asked) = (false, Some(Moment::START), Moment::START);
        Self { me, founder, member, unled, asked, seeds, found: Vec::new() }
    }

    /// Takes a message and gives the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            // An instance that belongs to no group names nobody.
            Message::Found(names) if names.is_empty() => {},
            Message::Found(names) => self.found = names,
            Message::Led(false) => drop(self.unled.get_or_insert(now)),
            Message::Led(true) => self.unled = None,
            Message::Member(member) => self.member = member,
            Message::Seeds(seeds) => self.seeds = seeds,
            Message::Tick => {},
        }
        let founding = self.founder && now.since(Moment::START) < FOUNDING;
        let led = self.unled.is_none_or(|since| now.since(since) < UNLED);
        if (self.member && led) || founding || now.since(self.asked) < ASK_EVERY {
            return Vec::new();
        }
        self.asked = now;
        vec![Effect::Join { to: self.known() }]
    }

    fn known(&self) -> Vec<Name> {
        let known: BTreeSet<&Name> = self.seeds.iter().chain(&self.found).collect();
        known.into_iter().filter(|name| **name != self.me).cloned().collect()
    }
}
