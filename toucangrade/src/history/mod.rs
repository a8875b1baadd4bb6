//! History behind `explain` and `review`: each entry keeps the steps of recent requests in memory
//! and sends durable outcomes in batches to the control instances, which store them in files.

pub(crate) mod archive;
pub(crate) mod files;
mod message;
mod ranges;
pub(crate) mod review;
mod tally;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

pub(crate) use self::message::{
    ArchiveEffect, ArchiveMessage, Body, Course, Effect, Ending, Event, Frame, Held, Item, Message,
    Outcome, Place, Source, Summary,
};
pub(crate) use self::ranges::Ranges;
pub(crate) use self::tally::Tally;
use crate::core::{Key, Moment, Name, Span};

/// Number of requests whose steps are kept in memory.
const MAX_KEYS: usize = 20_000;
/// Number of steps kept for a request; of more, those in the middle are dropped, as the first and
/// the last ones explain the most.
const MAX_STEPS: usize = 64;
/// Largest text of a step, in bytes; longer ones, such as lists of many candidates, are truncated.
const MAX_TEXT_BYTES: usize = 2_000;
/// Capacity of the outbox to control, in items; the oldest are dropped first.
const MAX_OUTBOX_ITEMS: usize = 20_000;
/// Rate limit of durable outcomes, in bytes per second. A batch is sent to three control instances,
/// so the history uses at most 12 of the 17 KB per second of a node.
const BYTES_PER_SECOND: u64 = 4_000;
/// Capacity of the token bucket of the rate limit, in bytes, for bursts of failures.
const BURST_BYTES: u64 = 256_000;
/// Estimated size at which a batch is full, in bytes.
const BATCH_BYTES: u64 = 64_000;
/// Interval between a stored batch and the next one.
const SEND_INTERVAL: Span = Span::secs(2);
/// Delay before a batch that no control instance stored is sent again.
const RESEND_DELAY: Span = Span::secs(5);
/// Period of a summary.
const SUMMARY_INTERVAL: Span = Span::secs(60);

/// State of the history duty of an entry.
#[derive(Debug, Serialize)]
pub(crate) struct History {
    entry: Name,
    incarnation: u64,
    /// Steps of recent requests.
    #[serde(serialize_with = "serialize_len")]
    steps: BTreeMap<Key, Vec<Event>>,
    /// Keys of `steps`, the oldest first.
    #[serde(skip)]
    insertion_order: VecDeque<Key>,
    /// Items that no control instance has confirmed yet.
    #[serde(skip)]
    outbox: VecDeque<Item>,
    /// Number of the newest item.
    number: u64,
    /// Whether a batch awaits its confirmation.
    sending: bool,
    #[serde(rename = "next")]
    next_send: Moment,
    /// Bytes left in the token bucket of the rate limit.
    credit: u64,
    /// Time at which the token bucket was last refilled.
    #[serde(rename = "credited")]
    last_refill: Moment,
    /// Items dropped since the last summary, and since the start.
    dropped: (u64, u64),
    /// Answers since the last summary, by service and kind.
    #[serde(skip)]
    tallies: BTreeMap<(Name, Name), Tally>,
    #[serde(rename = "summarise")]
    next_summary: Moment,
    draining: bool,
}

impl History {
    /// Initial state of an entry.
    pub(crate) fn new(entry: Name, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            steps: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            outbox: VecDeque::new(),
            number: 0,
            sending: false,
            next_send: Moment::START,
            credit: BURST_BYTES,
            last_refill: Moment::START,
            dropped: (0, 0),
            tallies: BTreeMap::new(),
            next_summary: Moment::START + SUMMARY_INTERVAL,
            draining: false,
        }
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Drain { wall } => {
                self.draining = true;
                self.queue_summaries(wall);
                (self.next_send, self.sending) = (now, false);
                return self.next_batch(now).into_iter().collect();
            },
            Message::Explain { ticket, key } => {
                let events = self.steps.get(&key).cloned().unwrap_or_default();
                return vec![Effect::Explained { ticket, events }];
            },
            Message::Record { key, course, mut events, wall } => {
                for event in events.iter_mut().filter(|event| event.wall == 0) {
                    event.wall = wall.saturating_sub(now.since(event.at).as_millis());
                    if event.text.len() > MAX_TEXT_BYTES {
                        event.text.truncate(event.text.floor_char_boundary(MAX_TEXT_BYTES));
                        event.text.push_str(" (cut off)");
                    }
                }
                if let Some(course) = course.filter(Course::durable) {
                    self.queue_outcome(now, wall, key.clone(), course, events.clone());
                }
                self.record_steps(key, events);
            },
            Message::Sent { through, stored } => {
                self.sending = false;
                if stored {
                    while self.outbox.front().is_some_and(|item| item.number <= through) {
                        self.outbox.pop_front();
                    }
                }
                self.next_send = now + if stored { SEND_INTERVAL } else { RESEND_DELAY };
                if stored && self.draining {
                    self.next_send = now;
                    return self.next_batch(now).into_iter().collect();
                }
            },
            Message::Tally(tallies) => {
                for (service, kind, summary) in tallies {
                    self.tallies.entry((service, kind)).or_default().merge(&summary);
                }
            },
            Message::Tick { wall } => {
                if now >= self.next_summary {
                    self.next_summary = now + SUMMARY_INTERVAL;
                    self.queue_summaries(wall);
                }
                return self.next_batch(now).into_iter().collect();
            },
        }
        Vec::new()
    }

    fn record_steps(&mut self, key: Key, events: Vec<Event>) {
        if !self.steps.contains_key(&key) {
            self.insertion_order.push_back(key.clone());
        }
        let steps = self.steps.entry(key).or_default();
        for event in events {
            // An outcome that follows the caller's timeout is recorded with the same steps again.
            if !steps.iter().any(|s| (s.at, &s.by, &s.text) == (event.at, &event.by, &event.text)) {
                steps.push(event);
            }
        }
        if steps.len() > MAX_STEPS {
            let middle = MAX_STEPS / 2;
            steps.drain(middle..steps.len() - middle);
        }
        while self.insertion_order.len() > MAX_KEYS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.steps.remove(&oldest);
            }
        }
    }

    /// Queues a durable outcome for control, or drops it if the rate limit is exceeded.
    fn queue_outcome(
        &mut self,
        now: Moment,
        wall: u64,
        key: Key,
        course: Course,
        mut events: Vec<Event>,
    ) {
        let refill = now.since(self.last_refill).as_micros() * BYTES_PER_SECOND / 1_000_000;
        if refill > 0 {
            self.credit = (self.credit + refill).min(BURST_BYTES);
            self.last_refill = now;
        }
        let took = events.first().map_or(Span::ZERO, |first| now.since(first.at));
        if events.len() > MAX_STEPS {
            events.drain(MAX_STEPS / 2..events.len() - MAX_STEPS / 2);
        }
        let item = self.new_item(wall, Body::Outcome(Outcome { key, course, took, events }));
        let size = estimated_size(&item);
        if size > self.credit {
            self.dropped.0 += 1;
            self.dropped.1 += 1;
            return;
        }
        self.credit -= size;
        self.enqueue(item);
    }

    fn new_item(&self, wall: u64, body: Body) -> Item {
        let (entry, incarnation) = (self.entry.clone(), self.incarnation);
        Item { entry, incarnation, number: 0, wall, body }
    }

    fn enqueue(&mut self, mut item: Item) {
        self.number += 1;
        item.number = self.number;
        self.outbox.push_back(item);
        if self.outbox.len() > MAX_OUTBOX_ITEMS {
            self.outbox.pop_front();
            self.dropped.0 += 1;
            self.dropped.1 += 1;
        }
    }

    /// Queues the summaries of the answers, and the number of dropped items, since the last call.
    fn queue_summaries(&mut self, wall: u64) {
        for ((service, kind), tally) in std::mem::take(&mut self.tallies) {
            let summary = tally.summary();
            let item = self.new_item(wall, Body::Summary { service, kind, summary });
            self.enqueue(item);
        }
        let count = std::mem::take(&mut self.dropped.0);
        if count > 0 {
            let item = self.new_item(wall, Body::Dropped { count });
            self.enqueue(item);
        }
    }

    /// Next batch to send, if one is due; `Drained` if the outbox is empty in a drain.
    fn next_batch(&mut self, now: Moment) -> Option<Effect> {
        if self.sending || now < self.next_send {
            return None;
        }
        let mut bytes = 0;
        let fits = |item: &&Item| {
            // A batch has at least one item whatever its size, so that a large item can't block the
            // others.
            let fits = bytes < BATCH_BYTES;
            bytes += estimated_size(item);
            fits
        };
        let items: Vec<Item> = self.outbox.iter().take_while(fits).cloned().collect();
        let Some(last) = items.last() else {
            return self.draining.then_some(Effect::Drained);
        };
        let through = last.number;
        self.sending = true;
        Some(Effect::Send { items, through })
    }
}

/// Estimated size of an encoded item, in bytes.
fn estimated_size(item: &Item) -> u64 {
    let body = match &item.body {
        Body::Dropped { .. } => 16,
        // Recorded by control itself, so they don't count against the rate limit of an entry.
        Body::Ended(_) | Body::Evicted { .. } => 0,
        Body::Outcome(outcome) => {
            let texts = outcome.events.iter().map(|event| event.text.len() + 40).sum::<usize>();
            outcome.key.as_str().len() + texts + 120
        },
        Body::Summary { summary, .. } => summary.latencies.len() * 8 + summary.counts.len() * 32,
    };
    body as u64 + 64
}

/// Serialises the steps as the number of their keys, since a dump of all steps would be large.
fn serialize_len<S: serde::Serializer>(
    steps: &BTreeMap<Key, Vec<Event>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(steps.len() as u64)
}
