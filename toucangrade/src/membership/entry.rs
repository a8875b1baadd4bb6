//! An entry's part: polls of control, the view, the configuration and its lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::{Agent, Config, Owned, POLL_EVERY, Poll, View};
use crate::core::{Moment, Name, Span};
use crate::partitions::{LEASE, LEASE_USED_PERCENT};

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// The entry is leaving.
    Drain,
    /// Control answered the poll that was sent at `sent`, or did not.
    Polled { sent: Moment, view: Option<View> },
    /// The entry has no attempt left of these partitions and starts none.
    Released(Vec<(u32, u64)>),
    /// Time passed.
    Tick,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// A configuration is in force; `entries` share its quotas.
    Configure { config: Config, entries: u32 },
    /// New work may be taken until this moment.
    Confirmed { until: Moment },
    /// Owners of partitions; those of this entry may be used until `until`.
    Owners { owners: BTreeMap<u32, Owned>, until: Moment, surplus: Vec<u32> },
    /// Sends a poll to control.
    Poll(Poll),
    /// The live agents changed.
    View(BTreeMap<Name, Agent>),
}

/// Names and address of an entry.
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
    /// Start of the newest poll that was answered.
    answered: Moment,
}

impl Membership {
    /// State of an entry that knows nothing yet.
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
                vec![self.poll(now)]
            },
            Message::Polled { sent, view } => view.map_or(Vec::new(), |v| self.polled(sent, v)),
            // The list comes with every tick until control grants the partitions to others.
            Message::Released(released) if released == self.released => Vec::new(),
            Message::Released(released) => {
                self.released = released;
                vec![self.poll(now)]
            },
            Message::Tick if now >= self.next => vec![self.poll(now)],
            Message::Tick => Vec::new(),
        }
    }

    fn poll(&mut self, now: Moment) -> Effect {
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

    fn polled(&mut self, sent: Moment, view: View) -> Vec<Effect> {
        // Answers may overtake each other; an older one must bring nothing back.
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
            // Versions of another run mean nothing here; ask for both again.
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

    /// Greatest time between two ticks.
    pub(crate) const PERIOD: Span = Span::millis(50);
}
