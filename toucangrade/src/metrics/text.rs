//! Metrics of a process since its start, rendered in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::core::Span;

/// Upper bounds of the histogram buckets in milliseconds, from the time of a call within a data
/// centre to the longest deadline.
const BUCKET_BOUNDS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 3_000, 10_000];
/// Prefix of every metric name.
const PREFIX: &str = "toucangrade_";

/// Histogram of durations; the last bucket has no upper bound.
#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len() + 1],
    sum: Span,
}

impl Histogram {
    fn add(&mut self, span: Span) {
        let index = BUCKET_BOUNDS_MS.iter().position(|&bound| span <= Span::millis(bound));
        self.buckets[index.unwrap_or(BUCKET_BOUNDS_MS.len())] += 1;
        self.sum = self.sum + span;
    }
}

/// Metrics by name; a name may end with labels, as in `requests_total{verb="submit"}`.
#[derive(Debug, Default)]
pub(super) struct Totals {
    counts: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    histograms: BTreeMap<&'static str, Histogram>,
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
        self.histograms.entry(name).or_default().add(span);
    }

    /// Renders all metrics as the response to a scrape.
    pub(super) fn render(&self) -> String {
        let mut text = String::new();
        let values = [("counter", &self.counts), ("gauge", &self.gauges)];
        for (kind, values) in values {
            let mut last_base = "";
            for (name, value) in values {
                let (base, _) = split_labels(name);
                if base != last_base {
                    write_line(&mut text, format_args!("# TYPE {PREFIX}{base} {kind}"));
                    last_base = base;
                }
                write_line(&mut text, format_args!("{PREFIX}{name} {value}"));
            }
        }
        let mut last_base = "";
        for (name, histogram) in &self.histograms {
            let (base, labels) = split_labels(name);
            if base != last_base {
                write_line(&mut text, format_args!("# TYPE {PREFIX}{base} histogram"));
                last_base = base;
            }
            write_histogram(&mut text, base, labels, histogram);
        }
        text
    }
}

fn write_histogram(text: &mut String, base: &str, labels: &str, histogram: &Histogram) {
    let comma = if labels.is_empty() { "" } else { "," };
    let mut cumulative = 0;
    for (index, count) in histogram.buckets.iter().enumerate() {
        cumulative += count;
        let bound = BUCKET_BOUNDS_MS.get(index).map(|&ms| (ms as f64 / 1_000.0).to_string());
        let bound = bound.as_deref().unwrap_or("+Inf");
        let name = format_args!("{PREFIX}{base}_bucket{{{labels}{comma}le=\"{bound}\"}}");
        write_line(text, format_args!("{name} {cumulative}"));
    }
    let labels = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
    let seconds = histogram.sum.as_micros() as f64 / 1e6;
    write_line(text, format_args!("{PREFIX}{base}_sum{labels} {seconds}"));
    write_line(text, format_args!("{PREFIX}{base}_count{labels} {cumulative}"));
}

/// Splits a name from its labels, which are returned without braces.
fn split_labels(name: &str) -> (&str, &str) {
    let (base, labels) = name.split_once('{').unwrap_or((name, ""));
    (base, labels.strip_suffix('}').unwrap_or(labels))
}

fn write_line(text: &mut String, content: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{content}");
}
