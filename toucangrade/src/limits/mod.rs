//! Limits duty of an entry: decides which requests begin, wait or are refused, by declared kinds,
//! quotas, bounded queues and deadlines, and shares the capacity fairly between shops.

mod message;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

pub(crate) use self::message::{Admitted, Arrival, Effect, Message};
use crate::core::{Moment, Name, Refusal, Span, invariant};
use crate::membership::Config;
use crate::resources::KindSpec;

/// Maximum number of requests in flight at one entry, over all kinds.
const IN_FLIGHT_MAX: usize = 4_096;
/// Weight of a new sample in the moving average of run times, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 10;
/// Maximum retry delay that is sent to a refused caller, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// Queue and running requests of one kind.
#[derive(Debug, Default, Serialize)]
struct Lane {
    running: u64,
    /// Waiting requests with their deadlines.
    #[serde(serialize_with = "length")]
    waiting: VecDeque<(Moment, Arrival)>,
    /// Moving average of the time from begin to answer, in microseconds.
    average: u64,
}

/// A request that began and has no answer yet.
#[derive(Debug, Serialize)]
struct Open {
    /// Service and kind.
    lane: (Name, Name),
    shop: Name,
    began: Moment,
}

/// Token bucket of one shop, in millionths of a request.
#[derive(Debug, Serialize)]
struct Bucket {
    tokens: u64,
    filled: Moment,
}

/// State of the duty.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Limits {
    config: Config,
    /// Number of entries that share the quotas.
    entries: u32,
    /// Moment until which new work may be accepted.
    until: Moment,
    draining: bool,
    /// Lanes by service and kind.
    lanes: BTreeMap<Name, BTreeMap<Name, Lane>>,
    /// Requests in flight, by ticket.
    open: BTreeMap<u64, Open>,
    /// Number of requests in flight, by shop.
    shops: BTreeMap<Name, u64>,
    buckets: BTreeMap<Name, Bucket>,
    /// Number of refusals, by code.
    refused: BTreeMap<String, u64>,
}

impl Limits {
    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Arrive(arrival) => self.arrive(now, arrival),
            Message::Configure { config, entries } => {
                (self.config, self.entries) = (config, entries);
                Vec::new()
            },
            Message::LeaseExtended { until } => {
                self.until = until;
                Vec::new()
            },
            Message::Drain => {
                self.draining = true;
                Vec::new()
            },
            Message::Finish { ticket } => self.finish(now, ticket),
            Message::Tick => self.expire(now),
        }
    }

    fn arrive(&mut self, now: Moment, arrival: Arrival) -> Vec<Effect> {
        match self.check(now, &arrival) {
            Err(refusal) => vec![self.refuse(arrival, refusal)],
            Ok(kind) => {
                let deadline = now + arrival.timeout.unwrap_or(kind.timeout());
                let lane = self.lane(&arrival.service, &arrival.kind);
                lane.waiting.push_back((deadline, arrival));
                self.begin(now)
            },
        }
    }

    /// Checks whether a request may begin or wait; returns the specification of its kind.
    fn check(&mut self, now: Moment, arrival: &Arrival) -> Result<KindSpec, Refusal> {
        if self.draining {
            return Err(Refusal::not_run(503, "draining", "this entry is leaving").retry_after(100));
        }
        if now >= self.until {
            let reason = "this entry can't confirm that its configuration is current";
            return Err(Refusal::not_run(503, "unconfirmed", reason).retry_after(1_000));
        }
        let (service, kind) = (&arrival.service, &arrival.kind);
        let Some(spec) = self.config.services.get(service) else {
            let reason = format!("no service {service} is declared");
            return Err(Refusal::not_run(404, "unknown-service", reason));
        };
        let Some(spec) = spec.kinds.get(kind).cloned() else {
            let reason = format!("service {service} declares no kind {kind}");
            return Err(Refusal::not_run(404, "unknown-kind", reason));
        };
        let shop = self.config.services[service].shop.clone();
        self.take_token(now, &shop)?;
        let remaining = arrival.timeout.unwrap_or(spec.timeout());
        let lane = self.lane(service, kind);
        let waiting = lane.waiting.len() as u64;
        let wait = Span::micros(lane.average.saturating_mul(waiting) / spec.running);
        let after = wait.as_millis().clamp(1, RETRY_AFTER_MAX_MS);
        if waiting >= spec.queue {
            let reason = format!("{waiting} requests of kind {kind} wait already");
            return Err(Refusal::not_run(503, "queue-full", reason).retry_after(after));
        }
        if lane.running >= spec.running && wait >= remaining {
            let reason = format!("the wait of about {} ms exceeds the timeout", wait.as_millis());
            return Err(Refusal::not_run(503, "would-miss-deadline", reason).retry_after(after));
        }
        Ok(spec)
    }

    /// Takes a token of the shop's quota; each entry has an equal share of the rate and the burst.
    fn take_token(&mut self, now: Moment, shop: &Name) -> Result<(), Refusal> {
        let Some(quota) = self.config.quotas.get(shop) else { return Ok(()) };
        let Some(rate) = quota.rate else { return Ok(()) };
        let entries = u64::from(self.entries.max(1));
        let cap = (quota.burst.unwrap_or(rate) * 1_000_000 / entries).max(1_000_000);
        let full = Bucket { tokens: cap, filled: now };
        let bucket = self.buckets.entry(shop.clone()).or_insert(full);
        let earned = now.since(bucket.filled).as_micros().saturating_mul(rate) / entries;
        bucket.tokens = bucket.tokens.saturating_add(earned).min(cap);
        bucket.filled = now;
        if bucket.tokens < 1_000_000 {
            let missing = 1_000_000 - bucket.tokens;
            let after = (missing * entries / rate / 1_000).clamp(1, RETRY_AFTER_MAX_MS);
            let reason = format!("shop {shop} exceeds its quota of {rate} requests a second");
            return Err(Refusal::not_run(429, "over-quota", reason).retry_after(after));
        }
        bucket.tokens -= 1_000_000;
        Ok(())
    }

    /// Begins waiting requests while there is capacity, those of the shop with the smallest use
    /// relative to its weight first. Refuses those whose deadline has passed.
    fn begin(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.open.len() < IN_FLIGHT_MAX {
            let Some((service, kind)) = self.next_lane() else { break };
            let spec = self.config.services[&service].kinds[&kind].clone();
            let shop = self.config.services[&service].shop.clone();
            let lane = self.lane(&service, &kind);
            let Some((deadline, arrival)) = lane.waiting.pop_front() else { break };
            if now >= deadline {
                effects.push(self.refuse(arrival, expired()));
                continue;
            }
            lane.running += 1;
            let Arrival { ticket, key, body, .. } = arrival;
            let open =
                Open { lane: (service.clone(), kind.clone()), shop: shop.clone(), began: now };
            let before = self.open.insert(ticket, open);
            invariant!(before.is_none(), "ticket {ticket} began twice");
            *self.shops.entry(shop).or_default() += 1;
            effects.push(Effect::Begin(Admitted {
                ticket,
                service,
                kind,
                class: spec.class,
                key,
                deadline,
                lease: spec.timeout(),
                revision: self.config.revision,
                body,
            }));
        }
        effects
    }

    /// Service and kind of the lane that begins next: it has a waiting request and free capacity,
    /// and its shop has the fewest requests in flight relative to its weight.
    fn next_lane(&self) -> Option<(Name, Name)> {
        let mut best: Option<(u64, Name, Name)> = None;
        for (service, kinds) in &self.lanes {
            let Some(spec) = self.config.services.get(service) else { continue };
            let weight = self.config.quotas.get(&spec.shop).map_or(1, |quota| quota.weight);
            let used = self.shops.get(&spec.shop).copied().unwrap_or(0) * 1_000 / weight;
            for (kind, lane) in kinds {
                let room = spec.kinds.get(kind).is_some_and(|k| lane.running < k.running);
                if room && !lane.waiting.is_empty() && best.as_ref().is_none_or(|b| used < b.0) {
                    best = Some((used, service.clone(), kind.clone()));
                }
            }
        }
        best.map(|(_, service, kind)| (service, kind))
    }

    fn finish(&mut self, now: Moment, ticket: u64) -> Vec<Effect> {
        let Some(open) = self.open.remove(&ticket) else {
            invariant!(false, "ticket {ticket} finished without having begun");
            return Vec::new();
        };
        let took = now.since(open.began).as_micros();
        let lane = self.lane(&open.lane.0, &open.lane.1);
        lane.running -= 1;
        lane.average =
            (lane.average * (100 - SAMPLE_WEIGHT_PERCENT) + took * SAMPLE_WEIGHT_PERCENT) / 100;
        if let Some(used) = self.shops.get_mut(&open.shop) {
            *used -= 1;
        }
        self.begin(now)
    }

    /// Refuses waiting requests whose deadline has passed or whose kind is no longer declared.
    fn expire(&mut self, now: Moment) -> Vec<Effect> {
        let mut gone = Vec::new();
        for (service, kinds) in &mut self.lanes {
            let spec = self.config.services.get(service);
            for (kind, lane) in kinds {
                let known = spec.is_some_and(|spec| spec.kinds.contains_key(kind));
                let expired = |(deadline, _): &(Moment, Arrival)| !known || now >= *deadline;
                if lane.waiting.iter().any(expired) {
                    let (late, keep): (Vec<_>, Vec<_>) = lane.waiting.drain(..).partition(expired);
                    lane.waiting = keep.into();
                    gone.extend(late);
                }
            }
        }
        gone.into_iter().map(|(_, arrival)| self.refuse(arrival, expired())).collect()
    }

    fn refuse(&mut self, arrival: Arrival, refusal: Refusal) -> Effect {
        *self.refused.entry(refusal.code.clone()).or_default() += 1;
        let Arrival { ticket, service, kind, key, .. } = arrival;
        let declared = self.config.services.get(&service).and_then(|s| s.kinds.get(&kind));
        let class = declared.map(|kind| kind.class);
        Effect::Refuse { ticket, service, kind, class, key, refusal }
    }

    fn lane(&mut self, service: &Name, kind: &Name) -> &mut Lane {
        self.lanes.entry(service.clone()).or_default().entry(kind.clone()).or_default()
    }
}

fn expired() -> Refusal {
    Refusal::not_run(503, "deadline-passed", "the timeout passed before the request could begin")
}

/// Serialises a queue as its length, since request bodies must not be in a state dump.
fn length<T, S: serde::Serializer>(queue: &VecDeque<T>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(queue.len() as u64)
}
