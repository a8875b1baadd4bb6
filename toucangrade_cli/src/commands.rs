//! Turns a command into requests to the control instances and prints the responses.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use crate::failure::Failure;
use crate::instances::{ControlClient, Request};
use crate::options::{Action, Members, Options};
use crate::watch::Watch;
use crate::{plot, render};

/// States that a job does not leave.
const FINAL_STATES: [&str; 4] = ["cancelled", "done", "failed", "refused"];

/// Runs the command; results go to `out`, progress messages to `notes`.
pub(crate) fn run(
    options: &Options,
    out: &mut dyn Write,
    notes: &mut dyn Write,
) -> Result<(), Failure> {
    let client = ControlClient::new(&options.control, options.token.as_deref())?;
    let resource = |collection: &str, name: &str| format!("/v1/resources/{collection}/{name}");
    let (value, show): (Value, fn(&Value) -> String) = match &options.action {
        Action::Apply { revision, file, collection, name } => {
            let request = Request::write(Method::PUT, resource(collection, name), read_file(file)?);
            (client.call(&request.if_revision(*revision))?, render::revision)
        },
        Action::Cancel { name } => {
            let request = Request::write(Method::DELETE, resource("jobs", name), "");
            (client.call(&request)?, render::revision)
        },
        Action::Delete { revision, collection, name } => {
            let request = Request::write(Method::DELETE, resource(collection, name), "");
            (client.call(&request.if_revision(*revision))?, render::revision)
        },
        Action::Drain { process } => {
            let client = process_client(options, *process)?;
            (client.call(&Request::write(Method::POST, "/v1/drain", ""))?, render::drain)
        },
        Action::Dump { process } => {
            let client = process_client(options, *process)?;
            (client.call(&Request::get("/dump"))?, render::json)
        },
        Action::Explain { key } => {
            (client.call(&Request::get(format!("/v1/explain/{key}")))?, render::explanation)
        },
        Action::Get { collection, name } => {
            (client.call(&Request::get(resource(collection, name)))?, render::json)
        },
        Action::List { collection } => {
            (client.call(&Request::get(format!("/v1/resources/{collection}")))?, render::list)
        },
        Action::Members(members) => (client.call(&member_request(members)?)?, render::members),
        Action::Review { from, to, plot: file } => {
            let value = client.call(&Request::get(review_path(from.as_deref(), to.as_deref())))?;
            if let Some(file) = file {
                plot::draw(&value, file)?;
                print_note(notes, &format!("plot written to {}", file.display()))?;
            }
            (value, render::review)
        },
        Action::Status => (client.call(&Request::get("/v1/status"))?, render::status),
        Action::Submit { wait, limit, file, name } => {
            let request = Request::write(Method::PUT, resource("jobs", name), read_file(file)?);
            let value = client.call(&request.if_revision(Some(0)))?;
            if !wait {
                (value, render::revision)
            } else {
                let limit = Duration::from_secs(*limit);
                (await_job(&client, notes, name, &value, limit)?, render::job)
            }
        },
        Action::Watch { since, count } => {
            return watch(&client, options.json, *since, *count, out, notes);
        },
    };
    let text = if options.json { render::json(&value) } else { show(&value) };
    out.write_all(text.as_bytes()).map_err(Failure::Io)
}

/// A client for one process, by default the first control instance.
fn process_client(
    options: &Options,
    process: Option<SocketAddr>,
) -> Result<ControlClient, Failure> {
    let process = process.or(options.control.first().copied());
    ControlClient::new(process.as_slice(), options.token.as_deref())
}

fn read_file(file: &Path) -> Result<Vec<u8>, Failure> {
    fs::read(file).map_err(|error| Failure::File { path: file.to_owned(), error })
}

fn print_note(notes: &mut dyn Write, text: &str) -> Result<(), Failure> {
    writeln!(notes, "toucangrade: {text}").map_err(Failure::Io)
}

fn member_request(members: &Members) -> Result<Request, Failure> {
    match members {
        Members::Add { member } => {
            let Some((name, addr)) = member.split_once('=') else {
                let reason = format!("member is {member:?}, allowed is NAME=IP:PORT");
                let body = json!({ "error": "bad-request", "reason": reason });
                return Err(Failure::Refused { status: 400, body });
            };
            let body = json!({ "addr": addr }).to_string();
            Ok(Request::write(Method::PUT, format!("/v1/members/{name}"), body))
        },
        Members::List => Ok(Request::get("/v1/members")),
        Members::Remove { name } => {
            Ok(Request::write(Method::DELETE, format!("/v1/members/{name}"), ""))
        },
    }
}

fn review_path(from: Option<&str>, to: Option<&str>) -> String {
    // The server decodes a plus sign in a query as a space.
    let param = |name: &str, value: &str| format!("{name}={}", value.replace('+', "%2B"));
    let from = from.map(|value| param("from", value));
    let params: Vec<String> = from.into_iter().chain(to.map(|value| param("to", value))).collect();
    if params.is_empty() {
        "/v1/review".to_owned()
    } else {
        format!("/v1/review?{}", params.join("&"))
    }
}

fn watch(
    client: &ControlClient,
    json: bool,
    since: Option<u64>,
    count: Option<u64>,
    out: &mut dyn Write,
    notes: &mut dyn Write,
) -> Result<(), Failure> {
    let mut remaining = count.unwrap_or(u64::MAX);
    Watch { since, limit: None, answered: false }.follow(client, notes, |change| {
        let line = if json { format!("{change}\n") } else { render::change(change) };
        // Flushed, so that a reader of a pipe sees each change at once.
        out.write_all(line.as_bytes()).and_then(|()| out.flush()).map_err(Failure::Io)?;
        remaining -= 1;
        Ok(remaining == 0)
    })
}

/// Watches a job from the write that declared it until it is in a final state.
///
/// The watch includes the change of the write itself: a job whose name was used before is not run
/// again, and this change holds its state. A deletion is not final, since the job may still finish
/// before it is stopped.
fn await_job(
    client: &ControlClient,
    notes: &mut dyn Write,
    name: &str,
    written: &Value,
    limit: Duration,
) -> Result<Value, Failure> {
    let revision = written["revision"].as_u64().unwrap_or(1);
    print_note(notes, &format!("job {name} is written at revision {revision}, waiting"))?;
    let (mut last, mut states) = (Value::Null, Vec::new());
    let since = Some(revision.saturating_sub(1));
    let watch = Watch { since, limit: Some(limit), answered: true };
    watch.follow(client, notes, |change| {
        if change["collection"] != "jobs" || change["name"] != name {
            return Ok(false);
        }
        let Some(state) = change["state"].as_str() else { return Ok(false) };
        states.push(state.to_owned());
        last = json!({ "name": name, "state": state, "revision": change["revision"] });
        Ok(FINAL_STATES.contains(&state))
    })?;
    print_note(notes, &format!("job {name}: {}", states.join(", ")))?;
    match last["state"].as_str() {
        Some("done") => Ok(last),
        state => {
            let (name, state) = (name.to_owned(), state.unwrap_or("unknown").to_owned());
            Err(Failure::Job { name, state })
        },
    }
}
