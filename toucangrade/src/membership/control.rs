//! Control's soft state: live agents and entries, and the answers to their messages.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{Value, json};

use super::{Agent, Beat, Beaten, CONFIG_LEASE, Config, LAPSE, Owned, Poll, View};
use crate::core::{Moment, Name};
use crate::partitions::{self, Balancer, Partitions};

/// Earlier incarnations of an agent whose delayed heartbeats are refused.
const EARLIER_KEPT: usize = 16;

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// A heartbeat arrived.
    Beat { ticket: u64, beat: Beat },
    /// The agreed configuration changed.
    Configure(Config),
    /// This instance began or ceased to lead.
    Lead { leading: bool },
    /// The agreed owners of partitions changed.
    Partitions(Partitions),
    /// A poll arrived.
    Poll { ticket: u64, poll: Poll },
    /// Someone asks for the live entries.
    Entries { ticket: u64 },
    /// An operator asks which processes are live and which revision each has in force.
    Status { ticket: u64 },
    /// Time passed.
    Tick,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Answers a heartbeat.
    Beaten { ticket: u64, beaten: Beaten },
    /// Peer addresses of the live entries.
    Entries { ticket: u64, addrs: Vec<SocketAddr> },
    /// Proposes grants of partitions.
    Grant(partitions::Command),
    /// Refuses a message since this instance doesn't lead or the sender is outdated.
    Refuse { ticket: u64 },
    /// Answers an operator.
    Status { ticket: u64, status: Value },
    /// Answers a poll.
    View { ticket: u64, view: View },
}

#[derive(Clone, Debug, Serialize)]
struct Heard {
    beat: Beat,
    seen: Moment,
    earlier: BTreeSet<u64>,
}

#[derive(Clone, Debug, Serialize)]
struct Polled {
    poll: Poll,
    seen: Moment,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Membership {
    /// Tells this run of this instance from others, since versions of views are counted per run.
    source: u64,
    leading: bool,
    since: Moment,
    agents: BTreeMap<Name, Heard>,
    entries: BTreeMap<Name, Polled>,
    view: u64,
    live: BTreeMap<Name, Agent>,
    table: u64,
    owners: BTreeMap<u32, Owned>,
    config: Config,
    partitions: Partitions,
    balancer: Balancer,
    proposed: Option<Moment>,
}

impl Membership {
    /// State of an instance that doesn't lead yet.
    pub(crate) fn new(source: u64) -> Self {
        Self {
            source,
            leading: false,
            since: Moment::START,
            agents: BTreeMap::new(),
            entries: BTreeMap::new(),
            view: 0,
            live: BTreeMap::new(),
            table: 0,
            owners: BTreeMap::new(),
            config: Config::default(),
            partitions: Partitions::default(),
            balancer: Balancer::default(),
            proposed: None,
        }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Beat { ticket, beat } => vec![self.beat(now, ticket, beat)],
            Message::Configure(config) => {
                self.config = config;
                Vec::new()
            },
            Message::Entries { ticket } => {
                let live = self.entries.values().filter(|p| now.since(p.seen) <= LAPSE);
                let addrs = live.map(|polled| polled.poll.addr).collect();
                vec![Effect::Entries { ticket, addrs }]
            },
            Message::Lead { leading } => {
                self.lead(now, leading);
                Vec::new()
            },
            Message::Partitions(partitions) => {
                self.partitions = partitions;
                self.proposed = None;
                Vec::new()
            },
            Message::Poll { ticket, poll } => vec![self.poll(now, ticket, poll)],
            Message::Status { ticket } => vec![Effect::Status { ticket, status: self.status(now) }],
            Message::Tick => self.tick(now),
        }
    }

    fn lead(&mut self, now: Moment, leading: bool) {
        if leading == self.leading {
            return;
        }
        self.leading = leading;
        self.since = now;
        self.agents.clear();
        self.entries.clear();
        self.proposed = None;
        self.balancer.set_leading(now, leading);
    }

    fn beat(&mut self, now: Moment, ticket: u64, beat: Beat) -> Effect {
        if !self.leading {
            return Effect::Refuse { ticket };
        }
        let mut earlier = BTreeSet::new();
        if let Some(heard) = self.agents.get_mut(&beat.agent) {
            if heard.earlier.contains(&beat.incarnation) {
                return Effect::Refuse { ticket };
            }
            earlier = std::mem::take(&mut heard.earlier);
            if heard.beat.incarnation != beat.incarnation {
                earlier.insert(heard.beat.incarnation);
            }
            while earlier.len() > EARLIER_KEPT {
                earlier.pop_first();
            }
        }
        self.agents.insert(beat.agent.clone(), Heard { beat, seen: now, earlier });
        self.refresh(now);
        let beaten = Beaten { revision: self.config.revision, lease: CONFIG_LEASE };
        Effect::Beaten { ticket, beaten }
    }

    fn poll(&mut self, now: Moment, ticket: u64, poll: Poll) -> Effect {
        if !self.leading {
            return Effect::Refuse { ticket };
        }
        self.balancer.record_poll(now, &poll.entry, poll.incarnation, poll.draining);
        for &(partition, epoch) in &poll.released {
            self.balancer.record_release(partition, epoch);
        }
        let known = poll.source == self.source;
        // A new leader's list of agents fills up within the lapse; until then an entry keeps its
        // own, so that a change of leader empties no view.
        let settled = now.since(self.since) > LAPSE;
        let agents = (settled && !(known && poll.view == self.view)).then(|| self.live.clone());
        let owners = self.owners(now);
        if owners != self.owners {
            self.owners = owners;
            self.table += 1;
        }
        let fresh = !(known && poll.table == self.table);
        let view = View {
            table: self.table,
            view: if agents.is_some() { self.view } else { poll.view },
            source: self.source,
            agents,
            config: (poll.applied != self.config.revision).then(|| self.config.clone()),
            owners: fresh.then(|| self.owners.clone()),
            surplus: self.balancer.surplus(now, &self.partitions, &poll.entry),
            entries: self.live_entries(now).max(1),
            revision: self.config.revision,
            lease: CONFIG_LEASE,
        };
        self.entries.insert(poll.entry.clone(), Polled { poll, seen: now });
        Effect::View { ticket, view }
    }

    fn live_entries(&self, now: Moment) -> u32 {
        let live = self.entries.values().filter(|polled| now.since(polled.seen) <= LAPSE);
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    fn owners(&self, now: Moment) -> BTreeMap<u32, Owned> {
        let owned = |owner: &partitions::Owner| {
            let polled = self.entries.get(&owner.entry);
            let live = polled.filter(|polled| {
                polled.poll.incarnation == owner.incarnation && now.since(polled.seen) <= LAPSE
            });
            Owned {
                entry: owner.entry.clone(),
                incarnation: owner.incarnation,
                epoch: owner.epoch,
                clean: owner.clean,
                addr: live.map(|polled| polled.poll.addr),
            }
        };
        self.partitions.owners().iter().map(|(&p, owner)| (p, owned(owner))).collect()
    }

    fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if !self.leading {
            return Vec::new();
        }
        self.refresh(now);
        // One proposal at a time, or the same grant would be proposed at every tick.
        if self.proposed.is_some_and(|at| now.since(at) < LAPSE) {
            return Vec::new();
        }
        let grants = self.balancer.grants(now, &self.partitions);
        if !grants.is_empty() {
            self.proposed = Some(now);
        }
        grants.into_iter().map(Effect::Grant).collect()
    }

    /// Recomputes the live agents and counts a new version of the view when they changed.
    fn refresh(&mut self, now: Moment) {
        // An agent without a lease takes no new work, so it is not missed in a view; if none is heard
        // the view stays as it is.
        if self.agents.values().any(|heard| now.since(heard.seen) <= LAPSE) {
            self.agents.retain(|_, heard| now.since(heard.seen) <= CONFIG_LEASE);
        }
        let total = self.agents.len();
        let silent = self.agents.values().filter(|h| now.since(h.seen) > LAPSE).count();
        // When half of several agents fall silent at once this instance is likely cut off itself.
        let isolated = total > 2 && silent * 2 >= total;
        let live =
            |heard: &&Heard| !heard.beat.draining && (isolated || now.since(heard.seen) <= LAPSE);
        let agents: BTreeMap<Name, Agent> = self
            .agents
            .values()
            .filter(live)
            .map(|Heard { beat, .. }| (beat.agent.clone(), Agent::from(beat)))
            .collect();
        if agents != self.live {
            self.live = agents;
            self.view += 1;
        }
    }

    fn status(&self, now: Moment) -> Value {
        let newest = self.config.revision;
        let process = |role: &str, name: &Name, applied: u64, centre: &Name, seen: Moment| {
            json!({
                "role": role,
                "name": name,
                "centre": centre,
                "revision": applied,
                "current": applied == newest,
                "live": now.since(seen) <= LAPSE,
                "heard_ms": now.since(seen).as_millis(),
            })
        };
        let agents = self.agents.iter().map(|(name, heard)| {
            process("agent", name, heard.beat.applied, &heard.beat.centre, heard.seen)
        });
        let entries = self.entries.iter().map(|(name, polled)| {
            process("entry", name, polled.poll.applied, &polled.poll.centre, polled.seen)
        });
        let processes: Vec<Value> = agents.chain(entries).collect();
        let current = processes.iter().filter(|p| p["current"] == json!(true)).count();
        json!({
            "revision": newest,
            "in_force": current,
            "known": processes.len(),
            "processes": processes,
            "partitions": self.partitions.owners().len(),
        })
    }
}

impl From<&Beat> for Agent {
    fn from(beat: &Beat) -> Self {
        Self {
            incarnation: beat.incarnation,
            addr: beat.addr,
            centre: beat.centre.clone(),
            rack: beat.rack.clone(),
            offers: beat.offers.clone(),
        }
    }
}
