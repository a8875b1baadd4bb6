//! Runs a command against the control instances.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use crate::failure::Failure;
use crate::link::{Link, Request};
use crate::options::{Action, Members, Options};
use crate::watch::Watch;
use crate::{plot, shown};

/// States in which a job changes no more.
const FINAL: [&str; 4] = ["cancelled", "done", "failed", "refused"];

/// Runs the command; results go to `out`, progress to `notes`.
pub(crate) fn run(
    options: &Options,
    out: &mut dyn Write,
    notes: &mut dyn Write,
) -> Result<(), Failure> {
    let link = Link::new(&options.control, options.token.as_deref())?;
    let resource = |collection: &str, name: &str| format!("/v1/resources/{collection}/{name}");
    let (value, show): (Value, fn(&Value) -> String) = match &options.action {
        Action::Apply { revision, file, collection, name } => {
            let request = Request::write(Method::PUT, resource(collection, name), read(file)?);
            (link.call(&request.expect(*revision))?, shown::written)
        },
        Action::Cancel { name } => {
            let request = Request::write(Method::DELETE, resource("jobs", name), "");
            (link.call(&request)?, shown::written)
        },
        Action::Delete { revision, collection, name } => {
            let request = Request::write(Method::DELETE, resource(collection, name), "");
            (link.call(&request.expect(*revision))?, shown::written)
        },
        Action::Drain { process } => {
            let link = at(options, *process)?;
            (link.call(&Request::write(Method::POST, "/v1/drain", ""))?, shown::drained)
        },
        Action::Dump { process } => {
            let link = at(options, *process)?;
            (link.call(&Request::get("/dump"))?, shown::json)
        },
        Action::Explain { key } => {
            (link.call(&Request::get(format!("/v1/explain/{key}")))?, shown::explained)
        },
        Action::Get { collection, name } => {
            (link.call(&Request::get(resource(collection, name)))?, shown::json)
        },
        Action::List { collection } => {
            (link.call(&Request::get(format!("/v1/resources/{collection}")))?, shown::listed)
        },
        Action::Members(members) => (link.call(&member_request(members)?)?, shown::members),
        Action::Review { from, to, plot: file } => {
            let value = link.call(&Request::get(review_path(from.as_deref(), to.as_deref())))?;
            if let Some(file) = file {
                plot::draw(&value, file)?;
                note(notes, &format!("plot written to {}", file.display()))?;
            }
            (value, shown::review)
        },
        Action::Status => (link.call(&Request::get("/v1/status"))?, shown::status),
        Action::Submit { wait, limit, file, name } => {
            let request = Request::write(Method::PUT, resource("jobs", name), read(file)?);
            let value = link.call(&request.expect(Some(0)))?;
            if !wait {
                (value, shown::written)
            } else {
                let limit = Duration::from_secs(*limit);
                (await_job(&link, notes, name, &value, limit)?, shown::job)
            }
        },
        Action::Watch { since, count } => {
            return watch(&link, options.json, *since, *count, out, notes);
        },
    };
    let text = if options.json { shown::json(&value) } else { show(&value) };
    out.write_all(text.as_bytes()).map_err(Failure::Local)
}

/// A link to one process instead of the control instances.
fn at(options: &Options, process: Option<SocketAddr>) -> Result<Link, Failure> {
    let process = process.or(options.control.first().copied());
    Link::new(process.as_slice(), options.token.as_deref())
}

fn read(file: &Path) -> Result<Vec<u8>, Failure> {
    fs::read(file).map_err(|error| Failure::File { path: file.to_owned(), error })
}

fn note(notes: &mut dyn Write, text: &str) -> Result<(), Failure> {
    writeln!(notes, "toucangrade: {text}").map_err(Failure::Local)
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
    // A plus sign in a query would be read as a space.
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
    link: &Link,
    json: bool,
    since: Option<u64>,
    count: Option<u64>,
    out: &mut dyn Write,
    notes: &mut dyn Write,
) -> Result<(), Failure> {
    let mut left = count.unwrap_or(u64::MAX);
    Watch { since, limit: None, answered: false }.follow(link, notes, |change| {
        let line = if json { format!("{change}\n") } else { shown::change(change) };
        // A reader must see each change as it happens.
        out.write_all(line.as_bytes()).and_then(|()| out.flush()).map_err(Failure::Local)?;
        left -= 1;
        Ok(left == 0)
    })
}

/// Follows a job from the write that declared it until its state changes no more.
///
/// The line of the write itself is read too: it says how a name stands that was used before, which
/// is not run again. A deletion is no end, since the job may still finish before it is stopped.
fn await_job(
    link: &Link,
    notes: &mut dyn Write,
    name: &str,
    written: &Value,
    limit: Duration,
) -> Result<Value, Failure> {
    let revision = written["revision"].as_u64().unwrap_or(1);
    note(notes, &format!("job {name} is written at revision {revision}, waiting"))?;
    let (mut ended, mut states) = (Value::Null, Vec::new());
    let since = Some(revision.saturating_sub(1));
    let watch = Watch { since, limit: Some(limit), answered: true };
    watch.follow(link, notes, |change| {
        if change["collection"] != "jobs" || change["name"] != name {
            return Ok(false);
        }
        let Some(state) = change["state"].as_str() else { return Ok(false) };
        states.push(state.to_owned());
        ended = json!({ "name": name, "state": state, "revision": change["revision"] });
        Ok(FINAL.contains(&state))
    })?;
    note(notes, &format!("job {name}: {}", states.join(", ")))?;
    match ended["state"].as_str() {
        Some("done") => Ok(ended),
        state => {
            let (name, state) = (name.to_owned(), state.unwrap_or("unknown").to_owned());
            Err(Failure::Job { name, state })
        },
    }
}
