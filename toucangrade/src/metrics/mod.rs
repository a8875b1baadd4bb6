//! Aggregates the counters, gauges and timers that other duties report. They are sent to a StatsD
//! server at a fixed interval, or scraped in the Prometheus text format.

mod answers;
mod message;
mod text;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

pub(crate) use self::answers::Answers;
pub(crate) use self::message::{Effect, Load, Message, Stat};
use self::text::Totals;
use crate::core::{Moment, Name, Span};
use crate::history::Tally;

/// Interval at which values are sent; the usual flush interval of StatsD servers.
const FLUSH_INTERVAL: Span = Span::secs(10);

/// State of the metrics duty.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Metrics {
    /// Answers since the last flush, by service and kind.
    #[serde(skip)]
    answers: BTreeMap<(Name, Name), Tally>,
    /// Counters since the last flush.
    counts: BTreeMap<String, u64>,
    gauges: BTreeMap<&'static str, u64>,
    /// Durations since the last flush.
    #[serde(skip)]
    timers: BTreeMap<&'static str, Tally>,
    /// Number of messages that each duty's ring had rejected when its load was last reported.
    shed: BTreeMap<&'static str, u64>,
    /// Values since the start, for scrapes.
    #[serde(skip)]
    totals: Totals,
    #[serde(rename = "next")]
    next_flush: Moment,
}

impl Metrics {
    /// Longest interval between two ticks.
    pub(crate) const PERIOD: Span = Span::secs(1);

    /// Initial state; the counters `zeros` are sent from the start, even while they are zero.
    pub(crate) fn new(zeros: &[&str]) -> Self {
        let counts = zeros.iter().map(|&name| (name.to_owned(), 0)).collect();
        Self { counts, ..Self::default() }
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Answers(answers) => {
                for (service, kind, summary) in answers {
                    self.answers.entry((service, kind)).or_default().merge(&summary);
                }
            },
            Message::Count { name, by } => {
                self.totals.count(&name, by);
                *self.counts.entry(name).or_default() += by;
            },
            Message::Gauge { name, value } => {
                self.totals.gauge(name, value);
                self.gauges.insert(name, value);
            },
            Message::Loads(loads) => return self.record_loads(loads),
            Message::Scrape { ticket } => {
                return vec![Effect::Text { ticket, text: self.totals.render() }];
            },
            Message::Tick if now >= self.next_flush => {
                self.next_flush = now + FLUSH_INTERVAL;
                return self.flush();
            },
            Message::Tick => {},
            Message::Timer { name, span } => {
                self.totals.time(name, span);
                self.timers.entry(name).or_default().record_time(span.as_micros());
            },
        }
        Vec::new()
    }

    fn record_loads(&mut self, loads: Vec<Load>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for Load { duty, waiting, shed } in loads {
            let before = self.shed.insert(duty, shed).unwrap_or(0);
            let label = format!("{{duty=\"{duty}\"}}");
            self.totals.gauge(&format!("ring_waiting{label}"), waiting as u64);
            self.totals.count(&format!("ring_shed_total{label}"), shed.saturating_sub(before));
            let name = format!("duty.{duty}.waiting");
            effects.push(Effect::Send(Stat::Gauge { name, value: waiting as u64 }));
            let name = format!("duty.{duty}.shed");
            effects.push(Effect::Send(Stat::Count { name, value: shed.saturating_sub(before) }));
        }
        effects.push(Effect::Flush);
        effects
    }

    /// Returns the values since the last flush and resets all but the gauges.
    fn flush(&mut self) -> Vec<Effect> {
        let mut stats = Vec::new();
        for (name, value) in &mut self.counts {
            stats.push(Stat::Count { name: name.clone(), value: std::mem::take(value) });
        }
        for (&name, &value) in &self.gauges {
            stats.push(Stat::Gauge { name: name.to_owned(), value });
        }
        for (name, tally) in std::mem::take(&mut self.timers) {
            push_timer_stats(name, &format!("{name}_us"), &tally, &mut stats);
        }
        for ((service, kind), tally) in std::mem::take(&mut self.answers) {
            let path = format!("{}.{}", flat(&service), flat(&kind));
            for (result, &value) in tally.counts() {
                let name = format!("answers.{path}.{}", result.replace(' ', "."));
                stats.push(Stat::Count { name, value });
            }
            let (name, micros) = (format!("latency.{path}"), format!("latency_us.{path}"));
            push_timer_stats(&name, &micros, &tally, &mut stats);
        }
        let mut effects: Vec<Effect> = stats.into_iter().map(Effect::Send).collect();
        effects.push(Effect::Sample);
        effects
    }
}

/// Adds the durations of a tally as timers, and its quantiles in microseconds as gauges, since
/// timer lines are in whole milliseconds.
fn push_timer_stats(name: &str, quantiles: &str, tally: &Tally, stats: &mut Vec<Stat>) {
    for (micros, count) in tally.summary().latencies {
        stats.push(Stat::Timer { name: name.to_owned(), micros, count });
    }
    for (quantile, word) in [(0.5, "p50"), (0.99, "p99"), (0.999, "p999")] {
        let name = format!("{quantiles}.{word}");
        stats.push(Stat::Gauge { name, value: tally.quantile(quantile) });
    }
}

/// Converts a name to one component of a metric path by replacing the dots, which separate
/// components.
pub(crate) fn flat(name: &Name) -> String {
    name.as_str().replace('.', "_")
}
