//! Membership of an entry: polls control and maintains the configuration, its lease and the owners
//! of partitions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::{Agent, Config, Owned, POLL_EVERY, Poll, View};
use crate::core::{Moment, Name, Span};
use crate::partitions::{LEASE, LEASE_USED_PERCENT};

/// Input of [`Membership::step`].
#[derive(Debug)]
pub(crate) enum Message {
    /// The entry starts to drain and stays draining.
    Drain,
    /// Result of the poll sent at `sent`; `None` if control did not answer.
    Polled { sent: Moment, view: Option<View> },
    /// Partitions and epochs of which the entry has no attempt left and will not start any.
    Released(Vec<(u32, u64)>),
    /// Checks whether a poll is due; sent at least every [`Membership::PERIOD`].
    Tick,
}

/// Output of [`Membership::step`].
#[derive(Debug)]
pub(crate) enum Effect {
    /// Puts a configuration in force; its quotas are divided among `entries` live entries.
    Configure { config: Config, entries: u32 },
    /// The configuration is confirmed, so new work may be accepted, until this moment.
    Confirmed { until: Moment },
    /// Owners of partitions. This entry may use its own partitions until `until`, and should
    /// release those in `surplus`.
    Owners { owners: BTreeMap<u32, Owned>, until: Moment, surplus: Vec<u32> },
    /// Sends a poll to control.
    Poll(Poll),
    /// The live agents changed.
    View(BTreeMap<Name, Agent>),
}

/// Name, incarnation, address and data centre of an entry.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Identity {
    pub(crate) name: Name,
    pub(crate) incarnation: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) centre: Name,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Membership {
    identity: Identity,
    draining: bool,
    config: Config,
    entries: u32,
    view: u64,
    source: u64,
    table: u64,
    owners: BTreeMap<u32, Owned>,
    released: Vec<(u32, u64)>,
    next: Moment,
    /// Send time of the newest poll that was answered.
    answered: Moment,
}

impl Membership {
    /// Initial state of an entry, before the first answer of control.
    pub(crate) fn new(identity: Identity) -> Self {
        Self {
            identity,
            draining: false,
            config: Config::default(),
            entries: 1,
            view: 0,
            source: 0,
            table: 0,
            owners: BTreeMap::new(),
            released: Vec::new(),
            next: Moment::START,
            answered: Moment::START,
        }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Drain => {
                self.draining = true;
                vec![self.send_poll(now)]
            },
            Message::Polled { sent, view } => view.map_or(Vec::new(), |v| self.on_view(sent, v)),
            // The same list arrives at every tick until control grants the partitions to others.
            Message::Released(released) if released == self.released => Vec::new(),
            Message::Released(released) => {
                self.released = released;
                vec![self.send_poll(now)]
            },
            Message::Tick if now >= self.next => vec![self.send_poll(now)],
            Message::Tick => Vec::new(),
        }
    }

    fn send_poll(&mut self, now: Moment) -> Effect {
        self.next = now + POLL_EVERY;
        let Identity { name, incarnation, addr, centre } = self.identity.clone();
        Effect::Poll(Poll {
            entry: name,
            incarnation,
            addr,
            centre,
            applied: self.config.revision,
            view: self.view,
            table: self.table,
            source: self.source,
            released: self.released.clone(),
            draining: self.draining,
        })
    }

    fn on_view(&mut self, sent: Moment, view: View) -> Vec<Effect> {
        // Answers may arrive out of order. An older one must not revert newer state.
        if sent < self.answered || view.revision < self.config.revision {
            return Vec::new();
        }
        self.answered = sent;
        let mut effects = Vec::new();
        if let Some(config) = view.config.filter(|c| c.revision > self.config.revision) {
            self.config = config;
            self.entries = 0;
        }
        if self.config.revision != view.revision {
            return effects;
        }
        if self.entries != view.entries {
            self.entries = view.entries;
            let config = self.config.clone();
            effects.push(Effect::Configure { config, entries: view.entries });
        }
        effects.push(Effect::Confirmed { until: sent + view.lease.percent(LEASE_USED_PERCENT) });
        if self.source != view.source {
            // Versions counted by another control process can't be compared: request the agents and
            // the owners again.
            (self.source, self.view, self.table) = (view.source, 0, 0);
        }
        if let Some(agents) = view.agents {
            self.view = view.view;
            effects.push(Effect::View(agents));
        }
        if let Some(owners) = view.owners {
            (self.table, self.owners) = (view.table, owners);
        }
        let until = sent + LEASE.percent(LEASE_USED_PERCENT);
        effects.push(Effect::Owners { owners: self.owners.clone(), until, surplus: view.surplus });
        effects
    }

    /// Interval between ticks.
    pub(crate) const PERIOD: Span = Span::millis(50);
}
