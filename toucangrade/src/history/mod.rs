//! Why each outcome came about: the steps of recent requests, by key.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::core::{Key, Moment, Name};

/// Requests whose steps are kept.
const KEYS_KEPT: usize = 20_000;
/// Steps of one request that are kept; the first ones and the last ones tell the most.
const STEPS_KEPT: usize = 64;

/// One step in the life of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Event {
    /// Clock of the process that noted it, in microseconds since its start.
    pub(crate) at: Moment,
    /// Process that noted it.
    pub(crate) by: Name,
    /// One sentence.
    pub(crate) text: String,
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// Steps of a request.
    Record { key: Key, events: Vec<Event> },
    /// Someone asks for the steps of a request.
    Explain { ticket: u64, key: Key },
    /// Time passed.
    Tick,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Answers a question.
    Explained { ticket: u64, events: Vec<Event> },
}

/// State of the duty: a bounded window of requests.
#[derive(Debug, Default, Serialize)]
pub(crate) struct History {
    steps: BTreeMap<Key, Vec<Event>>,
    #[serde(skip)]
    order: VecDeque<Key>,
}

impl History {
    /// Handles one message.
    pub(crate) fn step(&mut self, _now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Record { key, events } => {
                self.record(key, events);
                Vec::new()
            },
            Message::Explain { ticket, key } => {
                let events = self.steps.get(&key).cloned().unwrap_or_default();
                vec![Effect::Explained { ticket, events }]
            },
            Message::Tick => Vec::new(),
        }
    }

    fn record(&mut self, key: Key, events: Vec<Event>) {
        if !self.steps.contains_key(&key) {
            self.order.push_back(key.clone());
        }
        let steps = self.steps.entry(key).or_default();
        steps.extend(events);
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
}
