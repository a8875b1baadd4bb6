//! Membership on the control side: soft state about live agents and entries, and the answers to
//! their heartbeats and polls. Only the leader answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{Value, json};

use super::{Agent, Beat, Beaten, CONFIG_LEASE, Config, LAPSE, Owned, Poll, View};
use crate::core::{Moment, Name};
use crate::partitions::{self, Balancer, Partitions};

/// Maximum number of earlier incarnations kept per agent. Their delayed heartbeats are refused.
const MAX_EARLIER: usize = 16;

/// Input of [`Membership::step`].
#[derive(Debug)]
pub(crate) enum Message {
    /// A heartbeat arrived.
    Beat { ticket: u64, beat: Beat },
    /// The replicated configuration changed.
    Configure(Config),
    /// This instance became leader or lost leadership.
    Lead { leading: bool },
    /// The replicated owners of partitions changed.
    Partitions(Partitions),
    /// A poll arrived.
    Poll { ticket: u64, poll: Poll },
    /// Requests the addresses of the live entries.
    Entries { ticket: u64 },
    /// Requests, for an operator, the liveness and the applied revision of each known process.
    Status { ticket: u64 },
    /// Checks for silent processes and for grants to propose; sent periodically.
    Tick,
}

/// Output of [`Membership::step`].
#[derive(Debug)]
pub(crate) enum Effect {
    /// Answers a heartbeat.
    Beaten { ticket: u64, beaten: Beaten },
    /// Peer addresses of the live entries.
    Entries { ticket: u64, addrs: Vec<SocketAddr> },
    /// Proposes grants of partitions.
    Grant(partitions::Command),
    /// Refuses a message, as this instance doesn't lead or the sender is an earlier incarnation.
    Refuse { ticket: u64 },
    /// Answers an operator.
    Status { ticket: u64, status: Value },
    /// Answers a poll.
    View { ticket: u64, view: View },
}

#[derive(Clone, Debug, Serialize)]
struct AgentRecord {
    beat: Beat,
    seen: Moment,
    earlier: BTreeSet<u64>,
}

#[derive(Clone, Debug, Serialize)]
struct EntryRecord {
    poll: Poll,
    seen: Moment,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Membership {
    /// Identifies this process start, as the versions `view` and `table` are counted per process.
    source: u64,
    leading: bool,
    /// Time of the last change of `leading`.
    since: Moment,
    agents: BTreeMap<Name, AgentRecord>,
    entries: BTreeMap<Name, EntryRecord>,
    /// Version of `live`.
    view: u64,
    live: BTreeMap<Name, Agent>,
    /// Version of `owners`.
    table: u64,
    owners: BTreeMap<u32, Owned>,
    config: Config,
    partitions: Partitions,
    balancer: Balancer,
    /// Time at which grants were proposed that are not replicated yet.
    proposed: Option<Moment>,
}

impl Membership {
    /// Initial state of an instance, before it leads.
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
            Message::Beat { ticket, beat } => vec![self.on_heartbeat(now, ticket, beat)],
            Message::Configure(config) => {
                self.config = config;
                Vec::new()
            },
            Message::Entries { ticket } => {
                let live = self.entries.values().filter(|record| now.since(record.seen) <= LAPSE);
                let addrs = live.map(|record| record.poll.addr).collect();
                vec![Effect::Entries { ticket, addrs }]
            },
            Message::Lead { leading } => {
                self.set_leading(now, leading);
                Vec::new()
            },
            Message::Partitions(partitions) => {
                self.partitions = partitions;
                self.proposed = None;
                Vec::new()
            },
            Message::Poll { ticket, poll } => vec![self.on_poll(now, ticket, poll)],
            Message::Status { ticket } => vec![Effect::Status { ticket, status: self.status(now) }],
            Message::Tick => self.tick(now),
        }
    }

    fn set_leading(&mut self, now: Moment, leading: bool) {
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

    fn on_heartbeat(&mut self, now: Moment, ticket: u64, beat: Beat) -> Effect {
        if !self.leading {
            return Effect::Refuse { ticket };
        }
        let mut earlier = BTreeSet::new();
        if let Some(record) = self.agents.get_mut(&beat.agent) {
            if record.earlier.contains(&beat.incarnation) {
                return Effect::Refuse { ticket };
            }
            earlier = std::mem::take(&mut record.earlier);
            if record.beat.incarnation != beat.incarnation {
                earlier.insert(record.beat.incarnation);
            }
            while earlier.len() > MAX_EARLIER {
                earlier.pop_first();
            }
        }
        self.agents.insert(beat.agent.clone(), AgentRecord { beat, seen: now, earlier });
        self.refresh_live(now);
        let beaten = Beaten { revision: self.config.revision, lease: CONFIG_LEASE };
        Effect::Beaten { ticket, beaten }
    }

    fn on_poll(&mut self, now: Moment, ticket: u64, poll: Poll) -> Effect {
        if !self.leading {
            return Effect::Refuse { ticket };
        }
        self.balancer.record_poll(now, &poll.entry, poll.incarnation, poll.draining);
        for &(partition, epoch) in &poll.released {
            self.balancer.record_release(partition, epoch);
        }
        let same_source = poll.source == self.source;
        // A new leader receives the heartbeats of all agents within `LAPSE`. Until then, entries
        // keep their list of agents, so that a change of leader does not empty it.
        let complete = now.since(self.since) > LAPSE;
        let agents =
            (complete && !(same_source && poll.view == self.view)).then(|| self.live.clone());
        let owners = self.owners(now);
        if owners != self.owners {
            self.owners = owners;
            self.table += 1;
        }
        let stale = !(same_source && poll.table == self.table);
        let view = View {
            table: self.table,
            view: if agents.is_some() { self.view } else { poll.view },
            source: self.source,
            agents,
            config: (poll.applied != self.config.revision).then(|| self.config.clone()),
            owners: stale.then(|| self.owners.clone()),
            surplus: self.balancer.surplus(now, &self.partitions, &poll.entry),
            entries: self.live_entries(now).max(1),
            revision: self.config.revision,
            lease: CONFIG_LEASE,
        };
        self.entries.insert(poll.entry.clone(), EntryRecord { poll, seen: now });
        Effect::View { ticket, view }
    }

    fn live_entries(&self, now: Moment) -> u32 {
        let live = self.entries.values().filter(|record| now.since(record.seen) <= LAPSE);
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    fn owners(&self, now: Moment) -> BTreeMap<u32, Owned> {
        let owned = |owner: &partitions::Owner| {
            let record = self.entries.get(&owner.entry);
            let live = record.filter(|record| {
                record.poll.incarnation == owner.incarnation && now.since(record.seen) <= LAPSE
            });
            Owned {
                entry: owner.entry.clone(),
                incarnation: owner.incarnation,
                epoch: owner.epoch,
                clean: owner.clean,
                addr: live.map(|record| record.poll.addr),
            }
        };
        self.partitions.owners().iter().map(|(&p, owner)| (p, owned(owner))).collect()
    }

    fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if !self.leading {
            return Vec::new();
        }
        self.refresh_live(now);
        // Only one proposal is pending, otherwise the same grant would be proposed at every tick.
        if self.proposed.is_some_and(|at| now.since(at) < LAPSE) {
            return Vec::new();
        }
        let grants = self.balancer.grants(now, &self.partitions);
        if !grants.is_empty() {
            self.proposed = Some(now);
        }
        grants.into_iter().map(Effect::Grant).collect()
    }

    /// Recomputes the live agents and increments the version of the view if they changed.
    fn refresh_live(&mut self, now: Moment) {
        // An agent whose lease expired accepts no new work, so it is removed. If all agents are
        // silent, none is removed.
        if self.agents.values().any(|record| now.since(record.seen) <= LAPSE) {
            self.agents.retain(|_, record| now.since(record.seen) <= CONFIG_LEASE);
        }
        let total = self.agents.len();
        let silent = self.agents.values().filter(|h| now.since(h.seen) > LAPSE).count();
        // If at least half of more than two agents are silent, this instance is probably the one
        // that is partitioned from the network. Then silent agents still count as live.
        let isolated = total > 2 && silent * 2 >= total;
        let live = |r: &&AgentRecord| !r.beat.draining && (isolated || now.since(r.seen) <= LAPSE);
        let agents: BTreeMap<Name, Agent> = self
            .agents
            .values()
            .filter(live)
            .map(|AgentRecord { beat, .. }| (beat.agent.clone(), Agent::from(beat)))
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
        let agents = self.agents.iter().map(|(name, record)| {
            process("agent", name, record.beat.applied, &record.beat.centre, record.seen)
        });
        let entries = self.entries.iter().map(|(name, record)| {
            process("entry", name, record.poll.applied, &record.poll.centre, record.seen)
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
