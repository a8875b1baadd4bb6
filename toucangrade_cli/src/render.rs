//! Formats responses as text and tables for people.

use std::fmt::Write;

use comfy_table::{CellAlignment, Table, presets};
use jiff::Timestamp;
use serde_json::Value;

pub(crate) fn json(value: &Value) -> String {
    format!("{value:#}\n")
}

/// A table with aligned columns; `right` has the indices of the right-aligned ones.
fn table(header: &[&str], right: &[usize], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header.to_vec()).add_rows(rows);
    for (index, column) in table.column_iter_mut().enumerate() {
        // No padding left of the first column.
        column.set_padding((if index == 0 { 0 } else { 1 }, 1));
        if right.contains(&index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let lines = table.lines().map(|line| line.trim_end().to_owned() + "\n");
    lines.collect()
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

fn rows<'a>(value: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    value[field].as_array().into_iter().flatten()
}

fn fields(item: &Value, fields: &[&str]) -> Vec<String> {
    fields.iter().map(|field| text(&item[*field])).collect()
}

/// Wall-clock time in UTC with milliseconds.
fn time(millis: &Value) -> String {
    let millis = millis.as_i64().unwrap_or_default();
    match Timestamp::from_millisecond(millis) {
        Ok(time) => format!("{time:.3}"),
        Err(_) => millis.to_string(),
    }
}

/// Microseconds as milliseconds.
fn millis(micros: &Value) -> String {
    format!("{:.1}", micros.as_f64().unwrap_or_default() / 1_000.0)
}

pub(crate) fn revision(value: &Value) -> String {
    format!("revision {}\n", value["revision"])
}

pub(crate) fn drain(value: &Value) -> String {
    format!("{} drains and ends once its requests are answered\n", text(&value["name"]))
}

pub(crate) fn job(value: &Value) -> String {
    format!("{} at revision {}\n", text(&value["state"]), value["revision"])
}

/// One line of a watch.
pub(crate) fn change(value: &Value) -> String {
    let resource = format!("{}/{}", text(&value["collection"]), text(&value["name"]));
    let state = value["state"].as_str().map(|state| format!(" {state}")).unwrap_or_default();
    let (revision, action) = (text(&value["revision"]), text(&value["action"]));
    format!("{revision:>8} {action:<6} {resource}{state}\n")
}

pub(crate) fn list(value: &Value) -> String {
    let items = rows(value, "items").map(|item| fields(item, &["name", "revision"]));
    table(&["NAME", "REVISION"], &[1], items)
}

pub(crate) fn members(value: &Value) -> String {
    match value["members"].as_array() {
        Some(members) => {
            let members = members.iter().map(|member| fields(member, &["name", "addr"]));
            table(&["NAME", "ADDRESS"], &[], members)
        },
        None => json(value),
    }
}

pub(crate) fn status(value: &Value) -> String {
    let processes = rows(value, "processes")
        .map(|process| fields(process, &["role", "name", "centre", "revision", "current", "live"]));
    let header = ["ROLE", "NAME", "CENTRE", "REVISION", "CURRENT", "LIVE"];
    format!(
        "revision {} is in force at {} of {} processes\n{}",
        value["revision"],
        value["in_force"],
        value["known"],
        table(&header, &[3], processes)
    )
}

pub(crate) fn explanation(value: &Value) -> String {
    let mut out = format!("request {}\n", text(&value["key"]));
    let claim = &value["claim"];
    if !claim.is_null() {
        let verdict =
            if claim["verdict"].is_null() { "none yet".into() } else { text(&claim["verdict"]) };
        let (agent, fence) = (text(&claim["agent"]), text(&claim["fence"]));
        let _ = writeln!(out, "  in the log: agent {agent}, fence {fence}, verdict {verdict}");
    }
    let job = &value["job"];
    if !job.is_null() {
        let _ = writeln!(out, "  declared job at revision {}: {}", job["revision"], job["spec"]);
        for step in rows(&job["run"], "steps") {
            let _ = writeln!(out, "  log {}: {}", step["at"], text(&step["text"]));
        }
        for reason in rows(job, "reasons") {
            let _ = writeln!(out, "  last looked at, {}", text(reason));
        }
    }
    for step in rows(value, "steps") {
        let (time, by) = (time(&step["wall_ms"]), text(&step["by"]));
        let _ = writeln!(out, "  {time}  {by}: {}", text(&step["text"]));
    }
    out
}

pub(crate) fn review(value: &Value) -> String {
    let mut out = format!("{} to {}\n", time(&value["from_ms"]), time(&value["to_ms"]));
    for (field, reason) in [
        ("not_sent", "dropped by entries for lack of bytes a second"),
        ("missed_by_this_instance", "never received by this control instance"),
        ("removed_for_size", "removed by this instance since its start to keep the size"),
    ] {
        if let Some(count) = value[field].as_u64().filter(|count| *count > 0) {
            let _ = writeln!(out, "incomplete: {count} outcomes {reason}");
        }
    }
    let services = rows(value, "services").map(|row| {
        let mut cells = fields(row, &["service", "kind", "answers"]);
        cells.extend(["p50_us", "p99_us", "p999_us", "max_us"].map(|field| millis(&row[field])));
        cells.extend(fields(row, &["late", "batch_finished"]));
        cells.push(format!("{:.1}", row["batch_per_hour"].as_f64().unwrap_or_default()));
        cells.push(text(&row["evictions"]));
        cells
    });
    let header = [
        "SERVICE",
        "KIND",
        "ANSWERS",
        "P50 MS",
        "P99 MS",
        "P99.9 MS",
        "MAX MS",
        "LATE",
        "BATCH",
        "BATCH/H",
        "EVICTIONS",
    ];
    out += "\n";
    out += &table(&header, &[2, 3, 4, 5, 6, 7, 8, 9, 10], services);
    let causes = rows(value, "causes").map(|row| {
        fields(row, &["count", "service", "kind", "code", "verdict", "example", "reason"])
    });
    let header = ["COUNT", "SERVICE", "KIND", "CODE", "VERDICT", "EXAMPLE", "LAST STEP"];
    out += "\n";
    out += &table(&header, &[0], causes);
    let evictions = rows(value, "evictions")
        .map(|row| fields(row, &["count", "cause", "service", "kind"]))
        .collect::<Vec<_>>();
    if !evictions.is_empty() {
        out += "\n";
        out += &table(&["COUNT", "EVICTED FOR", "SERVICE", "KIND"], &[0], evictions.into_iter());
    }
    let ended = value["jobs_ended"].as_object().into_iter().flatten();
    let ended: Vec<String> = ended.map(|(outcome, n)| format!("{n} {outcome}")).collect();
    if !ended.is_empty() {
        let _ = writeln!(out, "\njobs ended: {}", ended.join(", "));
        let jobs = rows(value, "jobs").map(|row| {
            let causes = row["evictions"].as_object().into_iter().flatten();
            let causes: Vec<String> = causes.map(|(cause, n)| format!("{cause} {n}")).collect();
            let mut cells = fields(row, &["job", "shop", "kind", "outcome"]);
            cells.extend([causes.join(", "), text(&row["resumed"])]);
            cells
        });
        let header = ["JOB", "SHOP", "KIND", "OUTCOME", "EVICTIONS", "RESUMED"];
        out += &table(&header, &[5], jobs);
    }
    out
}
