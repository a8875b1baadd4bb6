//! Runs a command against a control instance.

use std::fmt;
use std::fmt::Write as _;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use toucangrade::{CallError, Client, Exchange, Response, Span};

use crate::options::{Action, Options};

/// Time that a response may take.
const TIMEOUT: Span = Span::secs(10);

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The file could not be read.
    File(std::io::Error),
    /// The process refused.
    Refused { status: u16, body: String },
    /// No response came.
    Unreachable(CallError),
}

impl Failure {
    /// Exit status: 2 for a refusal, 3 for a lost race, 4 for a missing resource, 5 when the
    /// process can't be reached, 6 for a file that can't be read.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Refused { status: 412, .. } => 3,
            Self::Refused { status: 404, .. } => 4,
            Self::Refused { .. } => 2,
            Self::Unreachable(_) => 5,
            Self::File(_) => 6,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(error) => write!(f, "the file can't be read: {error}"),
            Self::Refused { status, body } => write!(f, "refused with status {status}: {body}"),
            Self::Unreachable(error) => {
                write!(f, "{error}; check --control, or ask another control instance")
            },
        }
    }
}

/// Runs the command and gives what to print.
pub(crate) fn run(options: &Options) -> Result<String, Failure> {
    let client = Client::start().map_err(Failure::File)?;
    let call = |method: Method, path: String, body: Bytes, revision: Option<u64>| {
        let mut exchange = Exchange::post(options.control, path, body, TIMEOUT).method(method);
        exchange = match revision {
            Some(0) => exchange.header("if-none-match", "*"),
            Some(revision) => exchange.header("if-match", &format!("\"{revision}\"")),
            None => exchange,
        };
        if let Some(token) = &options.token {
            exchange = exchange.header("authorization", &format!("Bearer {token}"));
        }
        client.call(exchange).map_err(Failure::Unreachable).and_then(accepted)
    };
    let get = |path: String| call(Method::GET, path, Bytes::new(), None);
    let response = match &options.action {
        Action::Apply { collection, name, file, revision } => {
            let body = std::fs::read(file).map_err(Failure::File)?;
            let path = format!("/v1/resources/{collection}/{name}");
            call(Method::PUT, path, Bytes::from(body), *revision)?
        },
        Action::Delete { collection, name, revision } => {
            let path = format!("/v1/resources/{collection}/{name}");
            call(Method::DELETE, path, Bytes::new(), *revision)?
        },
        Action::Dump => get("/dump".to_owned())?,
        Action::Explain { key } => get(format!("/v1/explain/{key}"))?,
        Action::Get { collection, name } => get(format!("/v1/resources/{collection}/{name}"))?,
        Action::List { collection } => get(format!("/v1/resources/{collection}"))?,
        Action::Status => get("/v1/status".to_owned())?,
    };
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if options.json || matches!(options.action, Action::Dump | Action::Get { .. }) {
        return Ok(format!("{value:#}\n"));
    }
    Ok(match &options.action {
        Action::Explain { .. } => explained(&value),
        Action::List { .. } => listed(&value),
        Action::Status => status(&value),
        _ => format!("revision {}\n", value["revision"]),
    })
}

fn accepted(response: Response) -> Result<Response, Failure> {
    if (200..300).contains(&response.status) {
        return Ok(response);
    }
    let body = String::from_utf8_lossy(&response.body).into_owned();
    Err(Failure::Refused { status: response.status, body })
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn rows<'a>(value: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    value[field].as_array().into_iter().flatten()
}

fn explained(value: &Value) -> String {
    let mut out = format!("request {}\n", text(&value["key"]));
    let claim = &value["claim"];
    if !claim.is_null() {
        let verdict =
            if claim["verdict"].is_null() { "none yet".into() } else { text(&claim["verdict"]) };
        let (agent, fence) = (text(&claim["agent"]), text(&claim["fence"]));
        let _ = writeln!(out, "  in the log: agent {agent}, fence {fence}, verdict {verdict}");
    }
    for step in rows(value, "steps") {
        let millis = step["at_us"].as_u64().unwrap_or_default() as f64 / 1_000.0;
        let _ =
            writeln!(out, "  {millis:>12.3} ms  {}: {}", text(&step["by"]), text(&step["text"]));
    }
    out
}

fn listed(value: &Value) -> String {
    let mut out = format!("{:<24} REVISION\n", "NAME");
    for item in rows(value, "items") {
        let _ = writeln!(out, "{:<24} {}", text(&item["name"]), item["revision"]);
    }
    out
}

fn status(value: &Value) -> String {
    let mut out = format!(
        "revision {} is in force at {} of {} processes\n{:<8} {:<16} {:<16} {:<9} {:<8} LIVE\n",
        value["revision"],
        value["in_force"],
        value["known"],
        "ROLE",
        "NAME",
        "CENTRE",
        "REVISION",
        "CURRENT",
    );
    for process in rows(value, "processes") {
        let _ = writeln!(
            out,
            "{:<8} {:<16} {:<16} {:<9} {:<8} {}",
            text(&process["role"]),
            text(&process["name"]),
            text(&process["centre"]),
            process["revision"],
            process["current"],
            process["live"],
        );
    }
    out
}
