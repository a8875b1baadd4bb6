//! An agent's part: heartbeats to control and the lease for taking new work.

use std::net::SocketAddr;

use serde::Serialize;

use super::{BEAT_EVERY, Beat, Beaten, LAPSE, Offer};
use crate::core::{Moment, Name, Span};

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Control answered the heartbeat that was sent at `sent`, or did not.
    Beaten { sent: Moment, beaten: Option<Beaten> },
    /// The agent is leaving.
    Drain,
    /// The runners' offers changed.
    Offers(Vec<Offer>),
    /// Time passed.
    Tick,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Sends a heartbeat to control.
    Beat(Beat),
    /// New work may be taken until this moment.
    Confirmed { until: Moment },
}

/// Names and address of an agent.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Identity {
    pub(crate) name: Name,
    pub(crate) incarnation: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) centre: Name,
    pub(crate) rack: Name,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Membership {
    identity: Identity,
    offers: Vec<Offer>,
    draining: bool,
    applied: u64,
    next: Moment,
    /// Start of the heartbeat that is under way.
    pending: Option<Moment>,
}

impl Membership {
    /// State of an agent that has not been heard yet.
    pub(crate) fn new(identity: Identity) -> Self {
        let (offers, next) = (Vec::new(), Moment::START);
        Self { identity, offers, draining: false, applied: 0, next, pending: None }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Beaten { sent, beaten } => self.beaten(sent, beaten),
            Message::Drain => {
                self.draining = true;
                self.beat(now)
            },
            Message::Offers(offers) => {
                self.offers = offers;
                self.beat(now)
            },
            Message::Tick if now >= self.next => self.beat(now),
            Message::Tick => Vec::new(),
        }
    }

    fn beaten(&mut self, sent: Moment, beaten: Option<Beaten>) -> Vec<Effect> {
        if self.pending == Some(sent) {
            self.pending = None;
        }
        let Some(Beaten { revision, lease }) = beaten else { return Vec::new() };
        // A late answer of an earlier leader must not bring an older revision back.
        if revision < self.applied {
            return Vec::new();
        }
        self.applied = revision;
        vec![Effect::Confirmed { until: sent + lease.percent(90) }]
    }

    fn beat(&mut self, now: Moment) -> Vec<Effect> {
        // One heartbeat at a time, unless its answer is long overdue.
        if self.pending.is_some_and(|sent| now.since(sent) < LAPSE) && now < self.next {
            return Vec::new();
        }
        self.next = now + BEAT_EVERY;
        self.pending = Some(now);
        let Identity { name, incarnation, addr, centre, rack } = self.identity.clone();
        vec![Effect::Beat(Beat {
            agent: name,
            incarnation,
            addr,
            centre,
            rack,
            offers: self.offers.clone(),
            draining: self.draining,
            applied: self.applied,
        })]
    }

    /// Greatest time between two ticks.
    pub(crate) const PERIOD: Span = Span::millis(50);
}
