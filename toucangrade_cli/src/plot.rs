//! Draws a review as one self-contained SVG file.

use std::collections::BTreeMap;
use std::path::Path;

use jiff::Timestamp;
use plotters::prelude::*;
use serde_json::Value;

use crate::failure::Failure;

/// Width and height of the picture in pixels.
const SIZE_PX: (u32, u32) = (1_200, 1_160);
/// Height of the latency chart, the upper one, in pixels.
const UPPER_HEIGHT_PX: u32 = 520;
/// Height of the chart of causes in pixels; the chart of evictions takes the rest.
const MIDDLE_HEIGHT_PX: u32 = 380;
/// Maximum number of causes drawn, the first of the review's list.
const CAUSES_MAX: usize = 12;

/// Points of each line by its name: Unix time in milliseconds and latency in milliseconds.
type Curves = BTreeMap<String, Vec<(i64, f64)>>;

/// Draws the 99th and 99.9th percentile of each service and kind over time, the most frequent
/// causes, and evictions by cause.
pub(crate) fn draw(review: &Value, file: &Path) -> Result<(), Failure> {
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| Failure::Plot(error.to_string());
    root.fill(&WHITE).map_err(|e| failed(&e))?;
    let (upper, lower) = root.split_vertically(UPPER_HEIGHT_PX);
    draw_latencies(review, &upper).map_err(|e| failed(&e))?;
    let (middle, lower) = lower.split_vertically(MIDDLE_HEIGHT_PX);
    let bars = cause_bars(review);
    draw_bars("What went wrong, by count", &bars, &middle).map_err(|e| failed(&e))?;
    let bars = eviction_bars(review);
    draw_bars("Evictions by cause", &bars, &lower).map_err(|e| failed(&e))?;
    root.present().map_err(|e| failed(&e))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw_latencies<'a>(review: &Value, area: &Area<'a>) -> DrawResult<'a> {
    let mut curves = Curves::new();
    for point in review["curves"].as_array().into_iter().flatten() {
        let at = point["at_ms"].as_i64().unwrap_or_default();
        let name = point["name"].as_str().unwrap_or_default();
        for (field, percentile) in [("p99_us", "p99"), ("p999_us", "p99.9")] {
            let micros = point[field].as_f64().unwrap_or_default();
            curves.entry(format!("{name} {percentile}")).or_default().push((at, micros / 1_000.0));
        }
    }
    let from = review["from_ms"].as_i64().unwrap_or_default();
    let to = review["to_ms"].as_i64().unwrap_or_default().max(from + 1);
    let points = curves.values().flatten();
    let max = points.clone().map(|(_, millis)| *millis).fold(1.0, f64::max) * 1.5;
    let min = points.map(|(_, millis)| *millis).fold(max, f64::min).max(0.001) / 1.5;
    let mut chart = ChartBuilder::on(area)
        .caption("Tail latency of answers", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(from..to, (min..max).log_scale())?;
    let label = |at: &i64| match Timestamp::from_millisecond(*at) {
        Ok(time) => time.strftime("%d %b %H:%M").to_string(),
        Err(_) => String::new(),
    };
    chart
        .configure_mesh()
        .x_labels(10)
        .x_label_formatter(&label)
        .x_desc("UTC")
        .y_desc("milliseconds")
        .draw()?;
    for (index, (name, points)) in curves.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let dots = points.iter().map(|point| Circle::new(*point, 2, colour.filled()));
        chart.draw_series(dots)?;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

/// One bar: its label and count.
type Bar = (String, i32);

fn cause_bars(review: &Value) -> Vec<Bar> {
    let causes = review["causes"].as_array().into_iter().flatten().take(CAUSES_MAX);
    let bars = causes.map(|cause| {
        let part = |field: &str| cause[field].as_str().unwrap_or_default();
        let (service, kind) = (part("service"), part("kind"));
        let name = format!("{service}/{kind} {} {}", part("verdict"), part("code"));
        (name, clamped(cause["count"].as_u64().unwrap_or(0)))
    });
    bars.collect()
}

/// Evictions of all services, kinds and jobs together, by cause, the most frequent first.
fn eviction_bars(review: &Value) -> Vec<Bar> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for row in review["evictions"].as_array().into_iter().flatten() {
        let cause = row["cause"].as_str().unwrap_or_default();
        *counts.entry(cause).or_default() += row["count"].as_u64().unwrap_or(0);
    }
    let mut bars: Vec<Bar> =
        counts.into_iter().map(|(cause, count)| (cause.to_owned(), clamped(count))).collect();
    bars.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    bars
}

fn clamped(count: u64) -> i32 {
    i32::try_from(count).unwrap_or(i32::MAX)
}

/// Draws a bar chart, the first bar at the top.
fn draw_bars<'a>(caption: &str, bars: &[Bar], area: &Area<'a>) -> DrawResult<'a> {
    let max = bars.iter().map(|(_, count)| *count).max().unwrap_or(0).saturating_add(1);
    let rows = i32::try_from(bars.len()).unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(12)
        .build_cartesian_2d(0..max, 0..rows)?;
    chart.configure_mesh().disable_y_mesh().disable_y_axis().draw()?;
    for (row, (name, count)) in (0..).zip(bars) {
        let (low, high) = (rows - row - 1, rows - row);
        let colour = Palette99::pick(usize::try_from(row).unwrap_or(0)).to_rgba().mix(0.5);
        let bar = Rectangle::new([(0, low), (*count, high)], colour.filled());
        chart.draw_series([bar])?;
        let label = Text::new(format!("{count}  {name}"), (0, high), ("sans-serif", 14));
        chart.draw_series([label])?;
    }
    Ok(())
}
