//! Routing duty of an entry: chooses the agent for an attempt by load, latency, distance and recent
//! errors. It polls the agents' clocks to set start-by times, and ejects failing agents for a
//! while.

mod message;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use serde::Serialize;

pub(crate) use self::message::{
    Candidate, ClockReading, Effect, Feedback, Message, Pick, Signal, Target,
};
use crate::core::{Moment, Name, Span};
use crate::membership::Agent;

/// Candidates that are compared for one attempt. Two give most of the gain of comparing all, and
/// keep many entries from choosing the same agent by the same stale state (Mitzenmacher, "The
/// Power of Two Choices in Randomized Load Balancing", 2001).
const CHOICES: usize = 2;
/// Weight of a new sample in the moving averages, as a fraction.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Consecutive errors after which an agent is ejected.
const EJECT_ERRORS: u32 = 3;
/// Time after which an ejected agent is probed.
const EJECT_FOR: Span = Span::millis(2_000);
/// Maximum share of the agents that may be ejected at once, in percent.
const EJECT_PERCENT_MAX: usize = 34;
/// Extra cost of an agent in another data centre before its round trip is measured, in
/// microseconds: a round trip over a link of 4 ms one way.
const REMOTE_COST_US: f64 = 8_000.0;
/// Time in which the traffic share of an agent that is new or was ejected grows to the full one;
/// the caches of a restarted runner are cold.
const SLOW_START: Span = Span::secs(10);
/// Minimum share during slow start, as a fraction. Without any requests the caches would never
/// fill.
const SLOW_START_SHARE_MIN: f64 = 0.1;
/// Latency that is assumed before the first answer, in microseconds.
const INITIAL_LATENCY_US: f64 = 1_000.0;
/// Age at which a clock reading is renewed. At a rate difference of 5% it is then off by at most
/// 250 ms, half of the start-by time.
const READING_AGE_MAX: Span = Span::millis(5_000);
/// Time from dispatch within which an attempt must start.
pub(crate) const START_TIMEOUT: Span = Span::millis(500);

/// Settings of the agent choice.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Tuning {
    /// Cost of a request to another data centre, as added latency.
    pub(crate) link_cost: Span,
    /// Duration of the slow start.
    pub(crate) slow_start: Span,
}

impl Default for Tuning {
    fn default() -> Self {
        Self { link_cost: Span::micros(0), slow_start: SLOW_START }
    }
}

/// State of one agent as seen by this entry.
#[derive(Clone, Debug, Serialize)]
struct Peer {
    agent: Agent,
    /// Attempts that this entry sent and that have not ended.
    open: u32,
    /// Connections in use by all entries and number of slots, as last reported by the agent.
    used: u32,
    slots: u32,
    /// Moving average of the latency, in microseconds.
    latency: f64,
    /// Consecutive errors.
    errors: u32,
    /// When the ejected agent may be probed; `None` if it is not ejected.
    ejected: Option<Moment>,
    /// Whether a probe is under way.
    probing: bool,
    /// Start of the slow start.
    since: Moment,
    reading: Option<ClockReading>,
    /// When the pending request for a clock reading was sent.
    sampled: Option<Moment>,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Routing {
    centre: Name,
    tuning: Tuning,
    peers: BTreeMap<Name, Peer>,
    /// Moving averages of the round trip to each data centre, in microseconds.
    links: BTreeMap<Name, f64>,
    #[serde(skip)]
    rng: SmallRng,
}

impl Routing {
    /// State of an entry in `centre` without agents.
    pub(crate) fn new(centre: Name, seed: u64, tuning: Tuning) -> Self {
        let (peers, links) = (BTreeMap::new(), BTreeMap::new());
        Self { centre, tuning, peers, links, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Feedback(feedback) => {
                self.feedback(now, feedback);
                Vec::new()
            },
            Message::Pick(pick) => vec![self.pick(now, pick)],
            Message::ReadingReceived { agent, reading } => {
                self.store_reading(&agent, reading);
                Vec::new()
            },
            Message::Tick => self.request_readings(now),
            Message::AgentsChanged(agents) => {
                self.update_agents(now, agents);
                self.request_readings(now)
            },
        }
    }

    /// Replaces the set of live agents and keeps the state of the known ones. An agent that offers
    /// a new service restarts its slow start.
    fn update_agents(&mut self, now: Moment, agents: BTreeMap<Name, Agent>) {
        let mut old = std::mem::take(&mut self.peers);
        for (name, agent) in agents {
            let known = old.remove(&name).filter(|p| p.agent.incarnation == agent.incarnation);
            let slots = agent.offers.iter().map(|offer| offer.slots).sum();
            let peer = match known {
                Some(peer) if agent.offers.iter().all(|offer| peer.offers(&offer.service)) => {
                    Peer { agent, slots, ..peer }
                },
                Some(peer) => Peer { agent, slots, since: now, ..peer },
                None => Peer::new(now, agent, slots),
            };
            self.peers.insert(name, peer);
        }
    }

    /// Requests a clock reading from each agent whose reading is missing or old.
    fn request_readings(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (name, peer) in &mut self.peers {
            let fresh = peer.reading.as_ref().is_some_and(|r| now.since(r.taken) < READING_AGE_MAX);
            let pending = peer.sampled.is_some_and(|at| now.since(at) < START_TIMEOUT);
            if !fresh && !pending {
                peer.sampled = Some(now);
                effects.push(Effect::RequestReading { agent: name.clone(), addr: peer.agent.addr });
            }
        }
        effects
    }

    /// Stores a clock reading, its load and the measured round trip.
    fn store_reading(&mut self, agent: &Name, reading: Option<ClockReading>) {
        let Some(peer) = self.peers.get_mut(agent) else { return };
        let asked = peer.sampled.take();
        peer.reading = reading.filter(|r| r.incarnation == peer.agent.incarnation);
        let (Some(asked), Some(reading)) = (asked, &peer.reading) else { return };
        (peer.used, peer.slots) = (reading.used, reading.slots.max(1));
        let trip = reading.taken.since(asked).as_micros() as f64;
        let link = self.links.entry(peer.agent.centre.clone()).or_insert(trip);
        *link += SAMPLE_WEIGHT * (trip - *link);
    }

    fn feedback(&mut self, now: Moment, feedback: Feedback) {
        let pool = self.peers.len();
        let ejected = self.peers.values().filter(|peer| peer.ejected.is_some()).count();
        let Some(peer) = self.peers.get_mut(&feedback.agent) else { return };
        peer.open = peer.open.saturating_sub(1);
        peer.probing = false;
        if let Some(reading) = feedback.reading.filter(|r| r.incarnation == peer.agent.incarnation)
        {
            (peer.used, peer.slots) = (reading.used, reading.slots.max(1));
            peer.reading = Some(reading);
        }
        match feedback.signal {
            Signal::Answered { took } => {
                peer.latency += SAMPLE_WEIGHT * (took.as_micros() as f64 - peer.latency);
                peer.errors = 0;
                if peer.ejected.take().is_some() {
                    peer.since = now;
                }
            },
            // A full agent is healthy, so a refusal is not counted as an error.
            Signal::Refused => {},
            Signal::Failed => {
                peer.errors += 1;
                let room = (ejected + 1) * 100 <= pool * EJECT_PERCENT_MAX;
                if peer.ejected.is_some() || (peer.errors >= EJECT_ERRORS && room) {
                    peer.ejected = Some(now + EJECT_FOR);
                }
            },
        }
    }

    fn pick(&mut self, now: Moment, pick: Pick) -> Effect {
        let mut candidates = Vec::new();
        let mut able = Vec::new();
        for (name, peer) in &self.peers {
            let reason = peer.exclusion_reason(now, &pick, name);
            if reason.is_none() {
                able.push(name.clone());
            }
            // Agents that don't offer the kind are left out of the explanation, for brevity.
            if reason != Some(NO_OFFER) {
                candidates
                    .push(Candidate { agent: name.clone(), reason: reason.unwrap_or("able") });
            }
        }
        let (key, attempt) = (pick.key, pick.attempt);
        let Some(best) = self.best(now, &able) else {
            return Effect::NoAgent { key, attempt, candidates };
        };
        for candidate in &mut candidates {
            if candidate.agent == best {
                candidate.reason = "chosen";
            }
        }
        let target = self.target(now, &best);
        Effect::Chosen { key, attempt, target, candidates }
    }

    /// Chooses the cheapest agent of this data centre, or one of another if all slots here are in
    /// use and the other is cheaper. Sometimes probes an ejected agent instead.
    fn best(&mut self, now: Moment, able: &[Name]) -> Option<Name> {
        let probe = able.iter().find(|name| self.peers[*name].ejected.is_some());
        // An ejected agent whose ejection time has passed gets a single request as a probe.
        if let Some(name) = probe.filter(|_| self.rng.random_ratio(1, 4) || able.len() == 1) {
            return Some(name.clone());
        }
        let healthy = able.iter().filter(|name| self.peers[*name].ejected.is_none());
        let (near, far): (Vec<&Name>, Vec<&Name>) =
            healthy.partition(|name| self.peers[*name].agent.centre == self.centre);
        match (self.cheapest_of_draw(now, &near), self.cheapest_of_draw(now, &far)) {
            (Some(near), Some(far)) => {
                // With a free slot here there is no wait to save; the costs differ only by noise.
                let waits = self.peers[&near.0].full();
                Some(if waits && far.1 < near.1 { far.0 } else { near.0 })
            },
            (near, far) => near.or(far).map(|(name, _)| name),
        }
    }

    /// The cheapest of [`CHOICES`] randomly drawn candidates, and its cost. Candidates in slow
    /// start are discarded at random, unless that leaves none.
    fn cheapest_of_draw(&mut self, now: Moment, pool: &[&Name]) -> Option<(Name, f64)> {
        let share = |name: &Name| self.peers[name].share(now, self.tuning.slow_start);
        // If all are in slow start, their shares are relative to the largest.
        let top = pool.iter().map(|name| share(name)).fold(SLOW_START_SHARE_MIN, f64::max);
        let mut drawn =
            index::sample(&mut self.rng, pool.len(), CHOICES.min(pool.len())).into_vec();
        let kept: Vec<usize> = drawn
            .iter()
            .copied()
            .filter(|&i| self.rng.random::<f64>() * top < share(pool[i]))
            .collect();
        if !kept.is_empty() {
            drawn = kept;
        }
        let costs = drawn.iter().map(|&i| (pool[i].clone(), self.cost(&self.peers[pool[i]])));
        costs.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Expected cost of another attempt at an agent, in microseconds.
    fn cost(&self, peer: &Peer) -> f64 {
        if peer.agent.centre == self.centre {
            return peer.attempt_time(0.0);
        }
        let trip = |centre| self.links.get(centre).copied();
        let price = self.tuning.link_cost.as_micros() as f64;
        match trip(&peer.agent.centre) {
            Some(far) => {
                let link = (far - trip(&self.centre).unwrap_or(0.0)).max(0.0);
                // The latency includes the round trip, which does not grow with the load.
                peer.attempt_time(link) + link + price
            },
            None => peer.attempt_time(0.0) + REMOTE_COST_US + price,
        }
    }

    fn target(&mut self, now: Moment, name: &Name) -> Target {
        let Some(peer) = self.peers.get_mut(name) else { unreachable!("candidates are known") };
        peer.open += 1;
        peer.probing = peer.ejected.is_some();
        let start_by = peer.reading.as_ref().map_or(Moment::START, |reading| reading.clock_at(now))
            + START_TIMEOUT;
        Target {
            agent: name.clone(),
            addr: peer.agent.addr,
            incarnation: peer.agent.incarnation,
            centre: peer.agent.centre.clone(),
            start_by,
        }
    }
}

const NO_OFFER: &str = "does not offer the kind";

impl Peer {
    fn new(now: Moment, agent: Agent, slots: u32) -> Self {
        Self {
            agent,
            open: 0,
            used: 0,
            slots,
            latency: INITIAL_LATENCY_US,
            errors: 0,
            ejected: None,
            probing: false,
            since: now,
            reading: None,
            sampled: None,
        }
    }

    /// Reason why the agent can't take the attempt; `None` if it can.
    fn exclusion_reason(&self, now: Moment, pick: &Pick, name: &Name) -> Option<&'static str> {
        let offers = |service: &Name, kind: &Name| {
            let mut offers = self.agent.offers.iter();
            offers.any(|offer| offer.service == *service && offer.kinds.contains(kind))
        };
        if !offers(&pick.service, &pick.kind) {
            return Some(NO_OFFER);
        }
        if pick.exclude.contains(name) {
            return Some("already tried");
        }
        if self.reading.is_none() {
            return Some("its clock was not read yet");
        }
        if self.ejected.is_some_and(|until| now < until || self.probing) {
            return Some("ejected after errors");
        }
        None
    }

    fn offers(&self, service: &Name) -> bool {
        self.agent.offers.iter().any(|offer| offer.service == *service)
    }

    /// Fraction of its full traffic that the agent gets, below one during slow start.
    fn share(&self, now: Moment, slow_start: Span) -> f64 {
        let part = now.since(self.since).as_micros() as f64 / slow_start.as_micros().max(1) as f64;
        if slow_start == Span::micros(0) { 1.0 } else { part.clamp(SLOW_START_SHARE_MIN, 1.0) }
    }

    /// Expected time of another attempt, in microseconds, without the round trip `link`. Grows with
    /// the load, and fourfold if the attempt has to wait for a slot.
    fn attempt_time(&self, link: f64) -> f64 {
        let busy = f64::from(self.busy()) / f64::from(self.slots.max(1));
        let full = if self.full() { 4.0 } else { 1.0 };
        (self.latency - link).max(0.0) * (1.0 + busy) * full
    }

    /// Requests at the agent. The reported number counts all entries but is delayed; the open
    /// attempts count only this entry but are current.
    fn busy(&self) -> u32 {
        self.used.max(self.open)
    }

    /// Whether another attempt would wait for a slot.
    fn full(&self) -> bool {
        self.busy() >= self.slots.max(1)
    }
}

/// Set of agents, by name.
pub(crate) type Agents = BTreeSet<Name>;
