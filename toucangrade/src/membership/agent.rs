//! Membership of an agent: sends heartbeats to control and maintains the lease that allows it to
//! accept new work.

use std::net::SocketAddr;

use serde::Serialize;

use super::{BEAT_EVERY, Beat, Beaten, LAPSE, Offer};
use crate::core::{Moment, Name, Span};

/// Input of [`Membership::step`].
#[derive(Debug)]
pub(crate) enum Message {
    /// Result of the heartbeat sent at `sent`; `None` if control did not answer.
    Beaten { sent: Moment, beaten: Option<Beaten> },
    /// The agent starts to drain and stays draining.
    Drain,
    /// The offers of the agent's runners changed.
    Offers(Vec<Offer>),
    /// Checks whether a heartbeat is due; sent at least every [`Membership::PERIOD`].
    Tick,
}

/// Output of [`Membership::step`].
#[derive(Debug)]
pub(crate) enum Effect {
    /// Sends a heartbeat to control.
    Beat(Beat),
    /// New work may be accepted until this moment.
    Confirmed { until: Moment },
}

/// Name, incarnation, address and location of an agent.
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
    /// Send time of the heartbeat that is not answered yet.
    pending: Option<Moment>,
}

impl Membership {
    /// Initial state of an agent, before its first heartbeat.
    pub(crate) fn new(identity: Identity) -> Self {
        let (offers, next) = (Vec::new(), Moment::START);
        Self { identity, offers, draining: false, applied: 0, next, pending: None }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Beaten { sent, beaten } => self.on_reply(sent, beaten),
            Message::Drain => {
                self.draining = true;
                self.send_heartbeat(now)
            },
            Message::Offers(offers) => {
                self.offers = offers;
                self.send_heartbeat(now)
            },
            Message::Tick if now >= self.next => self.send_heartbeat(now),
            Message::Tick => Vec::new(),
        }
    }

    fn on_reply(&mut self, sent: Moment, beaten: Option<Beaten>) -> Vec<Effect> {
        if self.pending == Some(sent) {
            self.pending = None;
        }
        let Some(Beaten { revision, lease }) = beaten else { return Vec::new() };
        // A late answer of an earlier leader must not revert to an older revision.
        if revision < self.applied {
            return Vec::new();
        }
        self.applied = revision;
        vec![Effect::Confirmed { until: sent + lease.percent(90) }]
    }

    fn send_heartbeat(&mut self, now: Moment) -> Vec<Effect> {
        // While a heartbeat is unanswered for less than `LAPSE`, the next one is not sent early.
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

    /// Interval between ticks.
    pub(crate) const PERIOD: Span = Span::millis(50);
}
