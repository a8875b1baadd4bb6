//! What a process has counted since its start, in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::core::Span;

/// Upper bounds of histogram buckets in ms: from a call within a data centre to the longest
/// deadline.
const BOUNDS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 3_000, 10_000];
/// Begins every name.
const PREFIX: &str = "toucangrade_";

/// A histogram whose last bucket has no bound.
#[derive(Debug, Default)]
struct Times {
    buckets: [u64; BOUNDS_MS.len() + 1],
    sum: Span,
}

impl Times {
    fn add(&mut self, span: Span) {
        let at = BOUNDS_MS.iter().position(|&bound| span <= Span::millis(bound));
        self.buckets[at.unwrap_or(BOUNDS_MS.len())] += 1;
        self.sum = self.sum + span;
    }
}

/// Totals by name; a name may end with labels, as in `requests_total{verb="submit"}`.
#[derive(Debug, Default)]
pub(super) struct Totals {
    counts: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<&'static str, Times>,
}

impl Totals {
    pub(super) fn count(&mut self, name: &str, by: u64) {
        match self.counts.get_mut(name) {
            Some(count) => *count += by,
            None => drop(self.counts.insert(name.to_owned(), by)),
        }
    }

    pub(super) fn gauge(&mut self, name: &str, value: u64) {
        self.gauges.insert(name.to_owned(), value);
    }

    pub(super) fn time(&mut self, name: &'static str, span: Span) {
        self.times.entry(name).or_default().add(span);
    }

    /// The text that a scrape gets.
    pub(super) fn render(&self) -> String {
        let mut text = String::new();
        let values = [("counter", &self.counts), ("gauge", &self.gauges)];
        for (kind, values) in values {
            let mut last = "";
            for (name, value) in values {
                let (base, _) = parts(name);
                if base != last {
                    line(&mut text, format_args!("# TYPE {PREFIX}{base} {kind}"));
                    last = base;
                }
                line(&mut text, format_args!("{PREFIX}{name} {value}"));
            }
        }
        let mut last = "";
        for (name, times) in &self.times {
            let (base, labels) = parts(name);
            if base != last {
                line(&mut text, format_args!("# TYPE {PREFIX}{base} histogram"));
                last = base;
            }
            histogram(&mut text, base, labels, times);
        }
        text
    }
}

fn histogram(text: &mut String, base: &str, labels: &str, times: &Times) {
    let comma = if labels.is_empty() { "" } else { "," };
    let mut below = 0;
    for (at, count) in times.buckets.iter().enumerate() {
        below += count;
        let bound = BOUNDS_MS.get(at).map(|&ms| (ms as f64 / 1_000.0).to_string());
        let bound = bound.as_deref().unwrap_or("+Inf");
        let name = format_args!("{PREFIX}{base}_bucket{{{labels}{comma}le=\"{bound}\"}}");
        line(text, format_args!("{name} {below}"));
    }
    let labels = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
    let seconds = times.sum.as_micros() as f64 / 1e6;
    line(text, format_args!("{PREFIX}{base}_sum{labels} {seconds}"));
    line(text, format_args!("{PREFIX}{base}_count{labels} {below}"));
}

/// A name and its labels without braces.
fn parts(name: &str) -> (&str, &str) {
    let (base, labels) = name.split_once('{').unwrap_or((name, ""));
    (base, labels.strip_suffix('}').unwrap_or(labels))
}

fn line(text: &mut String, content: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{content}");
}
