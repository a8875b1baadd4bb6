//! Membership of this instance in the control group: asks to be taken in until it is a member that
//! hears from a leader.

#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::core::{Moment, Span};

/// Time between two ticks.
pub(crate) const TICK: Span = Span::millis(250);
/// Time between two requests to be taken in; one is answered by a change of the membership, which
/// takes a few round trips.
const ASK_EVERY: Span = Span::millis(500);
/// Time that the founders of a new group get to find each other.
const FOUNDING: Span = Span::secs(3);

/// Input of the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Whether the newest committed membership holds this instance as a voter.
    Member(bool),
    /// Time passes.
    Tick,
}

/// Output of the duty.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Asks the known control instances to take this one in.
    Join,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Quorum {
    founder: bool,
    member: bool,
    asked: Moment,
}

impl Quorum {
    /// `founder` tells whether this instance may found a new group with others.
    pub(crate) fn new(founder: bool) -> Self {
        Self { founder, member: false, asked: Moment::START }
    }

    /// Takes a message and gives the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Member(member) => self.member = member,
            Message::Tick => {},
        }
        let founding = self.founder && now.since(Moment::START) < FOUNDING;
        if self.member || founding || now.since(self.asked) < ASK_EVERY {
            return Vec::new();
        }
        self.asked = now;
        vec![Effect::Join]
    }
}
