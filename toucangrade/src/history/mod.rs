//! Why each outcome came about: steps of recent requests at entries, durable outcomes at control.

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

/// Requests whose steps are kept.
const KEYS_KEPT: usize = 20_000;
/// Steps of one request that are kept; the first ones and the last ones tell the most.
const STEPS_KEPT: usize = 64;
/// Bytes of one step that are kept; a list of many candidates is cut off there.
const TEXT_KEPT: usize = 2_000;
/// Items that wait for control; the oldest are dropped first.
const OUTBOX_KEPT: usize = 20_000;
/// Bytes a second that durable outcomes may use. A batch goes to three control instances, so this
/// bounds the history's part of the 17 KB a second of a node at 12 KB.
const BYTES_RATE: u64 = 4_000;
/// Unused bytes that are kept for a burst of failures.
const BYTES_BURST: u64 = 256_000;
/// Bytes of one batch, estimated.
const BATCH_BYTES: u64 = 64_000;
/// Time between two batches.
const SEND_EVERY: Span = Span::secs(2);
/// Time after which a batch that no control instance stored is sent again.
const RESEND_AFTER: Span = Span::secs(5);
/// Time that a summary covers.
const SUMMARY_EVERY: Span = Span::secs(60);

/// State of the duty of an entry.
#[derive(Debug, Serialize)]
pub(crate) struct History {
    entry: Name,
    incarnation: u64,
    #[serde(serialize_with = "count")]
    steps: BTreeMap<Key, Vec<Event>>,
    #[serde(skip)]
    order: VecDeque<Key>,
    #[serde(skip)]
    outbox: VecDeque<Item>,
    number: u64,
    /// Whether a batch is under way.
    sending: bool,
    next: Moment,
    credit: u64,
    credited: Moment,
    /// Outcomes dropped since the last summary, and since the start.
    dropped: (u64, u64),
    #[serde(skip)]
    tallies: BTreeMap<(Name, Name), Tally>,
    summarise: Moment,
    draining: bool,
}

impl History {
    /// State of an entry that just started.
    pub(crate) fn new(entry: Name, incarnation: u64) -> Self {
        Self {
            entry,
            incarnation,
            steps: BTreeMap::new(),
            order: VecDeque::new(),
            outbox: VecDeque::new(),
            number: 0,
            sending: false,
            next: Moment::START,
            credit: BYTES_BURST,
            credited: Moment::START,
            dropped: (0, 0),
            tallies: BTreeMap::new(),
            summarise: Moment::START + SUMMARY_EVERY,
            draining: false,
        }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Drain { wall } => {
                self.draining = true;
                self.summarise(wall);
                (self.next, self.sending) = (now, false);
                return self.send(now).into_iter().collect();
            },
            Message::Explain { ticket, key } => {
                let events = self.steps.get(&key).cloned().unwrap_or_default();
                return vec![Effect::Explained { ticket, events }];
            },
            Message::Record { key, course, mut events, wall } => {
                for event in events.iter_mut().filter(|event| event.wall == 0) {
                    event.wall = wall.saturating_sub(now.since(event.at).as_millis());
                    if event.text.len() > TEXT_KEPT {
                        event.text.truncate(event.text.floor_char_boundary(TEXT_KEPT));
                        event.text.push_str(" (cut off)");
                    }
                }
                if let Some(course) = course.filter(Course::durable) {
                    self.keep(now, wall, key.clone(), course, events.clone());
                }
                self.record(key, events);
            },
            Message::Sent { through, stored } => {
                self.sending = false;
                if stored {
                    while self.outbox.front().is_some_and(|item| item.number <= through) {
                        self.outbox.pop_front();
                    }
                }
                self.next = now + if stored { SEND_EVERY } else { RESEND_AFTER };
                if stored && self.draining {
                    self.next = now;
                    return self.send(now).into_iter().collect();
                }
            },
            Message::Tally(tallies) => {
                for (service, kind, summary) in tallies {
                    self.tallies.entry((service, kind)).or_default().merge(&summary);
                }
            },
            Message::Tick { wall } => {
                if now >= self.summarise {
                    self.summarise = now + SUMMARY_EVERY;
                    self.summarise(wall);
                }
                return self.send(now).into_iter().collect();
            },
        }
        Vec::new()
    }

    fn record(&mut self, key: Key, events: Vec<Event>) {
        if !self.steps.contains_key(&key) {
            self.order.push_back(key.clone());
        }
        let steps = self.steps.entry(key).or_default();
        for event in events {
            // A request is recorded again when its outcome follows the caller's timeout.
            if !steps.iter().any(|s| (s.at, &s.by, &s.text) == (event.at, &event.by, &event.text)) {
                steps.push(event);
            }
        }
        if steps.len() > STEPS_KEPT {
            let middle = STEPS_KEPT / 2;
            steps.drain(middle..steps.len() - middle);
        }
        while self.order.len() > KEYS_KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.steps.remove(&oldest);
            }
        }
    }

    /// Queues a durable outcome for control, as far as the bytes a second allow.
    fn keep(&mut self, now: Moment, wall: u64, key: Key, course: Course, mut events: Vec<Event>) {
        let earned = now.since(self.credited).as_micros() * BYTES_RATE / 1_000_000;
        if earned > 0 {
            self.credit = (self.credit + earned).min(BYTES_BURST);
            self.credited = now;
        }
        let took = events.first().map_or(Span::ZERO, |first| now.since(first.at));
        if events.len() > STEPS_KEPT {
            events.drain(STEPS_KEPT / 2..events.len() - STEPS_KEPT / 2);
        }
        let item = self.item(wall, Body::Outcome(Outcome { key, course, took, events }));
        let size = size(&item);
        if size > self.credit {
            self.dropped.0 += 1;
            self.dropped.1 += 1;
            return;
        }
        self.credit -= size;
        self.queue(item);
    }

    fn item(&self, wall: u64, body: Body) -> Item {
        let (entry, incarnation) = (self.entry.clone(), self.incarnation);
        Item { entry, incarnation, number: 0, wall, body }
    }

    fn queue(&mut self, mut item: Item) {
        self.number += 1;
        item.number = self.number;
        self.outbox.push_back(item);
        if self.outbox.len() > OUTBOX_KEPT {
            self.outbox.pop_front();
            self.dropped.0 += 1;
            self.dropped.1 += 1;
        }
    }

    /// Queues what was answered since the last summary.
    fn summarise(&mut self, wall: u64) {
        for ((service, kind), tally) in std::mem::take(&mut self.tallies) {
            let summary = tally.summary();
            let item = self.item(wall, Body::Summary { service, kind, summary });
            self.queue(item);
        }
        let count = std::mem::take(&mut self.dropped.0);
        if count > 0 {
            let item = self.item(wall, Body::Dropped { count });
            self.queue(item);
        }
    }

    fn send(&mut self, now: Moment) -> Option<Effect> {
        if self.sending || now < self.next {
            return None;
        }
        let mut bytes = 0;
        let fits = |item: &&Item| {
            // One item goes out whatever its size, so that it can't hold up the others.
            let fits = bytes < BATCH_BYTES;
            bytes += size(item);
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

/// Estimate of an item's encoded size in bytes.
fn size(item: &Item) -> u64 {
    let body = match &item.body {
        Body::Dropped { .. } => 16,
        // Control notes these itself, so they don't count against the bytes of an entry.
        Body::Ended(_) | Body::Evicted { .. } => 0,
        Body::Outcome(outcome) => {
            let texts = outcome.events.iter().map(|event| event.text.len() + 40).sum::<usize>();
            outcome.key.as_str().len() + texts + 120
        },
        Body::Summary { summary, .. } => summary.latencies.len() * 8 + summary.counts.len() * 32,
    };
    body as u64 + 64
}

/// Shows the window as its number of keys, since a dump of all steps would be large.
fn count<S: serde::Serializer>(
    steps: &BTreeMap<Key, Vec<Event>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(steps.len() as u64)
}
