//! Tests of settings.

use rstest::rstest;

use super::*;
use crate::admission::EvictReply;
use crate::core::{Checkpoint, Name};
use crate::http::{CallError, Response};

struct Case {
    args: &'static [&'static str],
    refused: Option<&'static str>,
}

/// Guards against a daemon that starts with settings that can't work together.
#[rstest]
#[case::one_machine(Case {
    args: &["--role", "all", "--name", "one", "--centre", "olinda", "--data", "data"],
    refused: None,
})]
#[case::no_role(Case { args: &["--name", "one", "--centre", "olinda"], refused: Some("--role") })]
#[case::unknown_role(Case {
    args: &["--role", "worker", "--name", "one", "--centre", "olinda"],
    refused: Some("--role"),
})]
#[case::control_without_disk(Case {
    args: &["--role", "control", "--name", "one", "--centre", "olinda"],
    refused: Some("--data"),
})]
#[case::entry_without_control(Case {
    args: &["--role", "entry", "--name", "one", "--centre", "olinda"],
    refused: Some("--control"),
})]
#[case::bad_member(Case {
    args: &["--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=nowhere"],
    refused: Some("--control"),
})]
#[case::member_listed_twice(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda",
        "--control", "c1=127.0.0.1:1,c1=127.0.0.1:2",
    ],
    refused: Some("--control"),
})]
#[case::drain_too_short(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:1",
        "--drain-timeout-ms", "5",
    ],
    refused: Some("--drain-timeout-ms"),
})]
#[case::link_too_dear(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:1",
        "--link-cost-us", "1000001",
    ],
    refused: Some("--link-cost-us"),
})]
#[case::bad_name(Case {
    args: &["--role", "entry", "--name", "One", "--centre", "olinda", "--control", "c1=127.0.0.1:1"],
    refused: Some("--name"),
})]
#[case::data_without_control(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:1",
        "--data", "data",
    ],
    refused: Some("--data"),
})]
#[case::data_is_a_file(Case {
    args: &["--role", "control", "--name", "one", "--centre", "olinda", "--data", "Cargo.toml"],
    refused: Some("--data"),
})]
#[case::member_without_port(Case {
    args: &["--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:0"],
    refused: Some("--control"),
})]
#[case::two_members_at_one_address(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda",
        "--control", "c1=127.0.0.1:1,c2=127.0.0.1:1",
    ],
    refused: Some("--control"),
})]
#[case::control_not_in_its_group(Case {
    args: &[
        "--role", "control", "--name", "c1", "--centre", "olinda", "--data", "data",
        "--peer-addr", "127.0.0.1:7", "--control", "c1=127.0.0.1:8",
    ],
    refused: Some("--control"),
})]
#[case::peers_reach_no_unspecified_address(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:1",
        "--peer-addr", "0.0.0.0:7",
    ],
    refused: Some("--peer-addr"),
})]
#[case::address_used_twice(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:1",
        "--peer-addr", "127.0.0.1:7", "--caller-addr", "127.0.0.1:7",
    ],
    refused: Some("--caller-addr"),
})]
#[case::address_of_another_role_is_unused(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:1",
        "--peer-addr", "127.0.0.1:7", "--announce-addr", "127.0.0.1:7",
    ],
    refused: None,
})]
#[case::bad_address(Case {
    args: &[
        "--role", "entry", "--name", "one", "--centre", "olinda", "--control", "c1=127.0.0.1:1",
        "--caller-addr", "localhost",
    ],
    refused: Some("--caller-addr"),
})]
#[case::operator_port_open_without_token(Case {
    args: &[
        "--role", "control", "--name", "c1", "--centre", "olinda", "--data", "data",
        "--operator-addr", "10.0.0.1:7",
    ],
    refused: Some("--operator-addr"),
})]
#[case::operator_port_open_with_token(Case {
    args: &[
        "--role", "control", "--name", "c1", "--centre", "olinda", "--data", "data",
        "--operator-addr", "10.0.0.1:7", "--token", "t",
    ],
    refused: None,
})]
#[case::empty_token(Case {
    args: &["--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data", "--token", ""],
    refused: Some("--token"),
})]
#[case::token_with_space(Case {
    args: &["--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data", "--token", "a b"],
    refused: Some("--token"),
})]
#[case::history_too_small(Case {
    args: &["--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data", "--history-mb", "9"],
    refused: Some("--history-mb"),
})]
#[case::history_is_no_number(Case {
    args: &["--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data", "--history-mb", "1G"],
    refused: Some("--history-mb"),
})]
#[case::statsd_without_port(Case {
    args: &[
        "--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data",
        "--statsd-addr", "127.0.0.1:0",
    ],
    refused: Some("--statsd-addr"),
})]
#[case::caller_dump_without_entry(Case {
    args: &["--role", "control", "--name", "c1", "--centre", "olinda", "--data", "data", "--caller-dump"],
    refused: Some("--caller-dump"),
})]
#[case::ports_file_in_no_folder(Case {
    args: &[
        "--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data",
        "--ports-file", "no-such-folder/ports",
    ],
    refused: Some("--ports-file"),
})]
fn settings_are_checked(#[case] case: Case) {
    let settings = parser().run_inner(case.args).unwrap();
    assert_eq!(settings.err().map(|bad| bad.name), case.refused);
}

/// Guards against messages that don't say what to change, and against secrets in what is printed.
#[rstest]
#[case::range_and_unit(
    &["--drain-timeout-ms", "5"],
    "--drain-timeout-ms is \"5\", allowed is 100 to 600000 ms"
)]
#[case::address(
    &["--peer-addr", "here"],
    "--peer-addr is \"here\", allowed is IP:PORT, such as 127.0.0.1:7000"
)]
#[case::secret(
    &["--token", "secret word"],
    "--token is \"(hidden)\", allowed is 1 to 256 visible ASCII characters"
)]
fn messages_say_what_is_allowed(#[case] args: &[&'static str], #[case] message: &str) {
    let fixed = ["--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data"];
    let settings = parser().run_inner(&[&fixed[..], args].concat()[..]).unwrap();
    assert_eq!(settings.unwrap_err().to_string(), message);
}

/// Guards against a token in the output of `--check` and in dumps.
#[test]
fn token_is_hidden() {
    let args = ["--role", "all", "--name", "c1", "--centre", "olinda", "--data", "data"];
    let settings = |token: &[&'static str]| {
        let settings = parser().run_inner(&[&args[..], token].concat()[..]).unwrap().unwrap();
        serde_json::to_value(settings).unwrap()["token"].clone()
    };
    assert_eq!(settings(&["--token", "secret"]), "(hidden)");
    assert_eq!(settings(&[]), "(not set)");
}

fn call(method: &str, path: &str, body: &str) -> Inbound {
    Inbound {
        method: method.parse().unwrap(),
        path: path.to_owned(),
        query: String::new(),
        headers: http::HeaderMap::new(),
        body: body.to_owned().into(),
    }
}

struct Membership {
    method: &'static str,
    body: &'static str,
    wired: bool,
    asked: Option<members::Change>,
    status: u16,
}

/// Guards against a change to the control group that is not the one asked for, or that seems to be
/// done where nothing carries it out.
#[rstest]
#[case::add(Membership {
    method: "PUT",
    body: r#"{"addr": "127.0.0.1:7"}"#,
    wired: true,
    asked: Some(members::Change::Add {
        name: Name::new("c4").unwrap(),
        addr: SocketAddr::from(([127, 0, 0, 1], 7)),
    }),
    status: 200,
})]
#[case::remove(Membership {
    method: "DELETE",
    body: "",
    wired: true,
    asked: Some(members::Change::Remove { name: Name::new("c4").unwrap() }),
    status: 200,
})]
#[case::bad_body(Membership {
    method: "PUT",
    body: r#"{"address": "127.0.0.1:7"}"#,
    wired: true,
    asked: None,
    status: 400,
})]
#[case::not_wired(Membership { method: "DELETE", body: "", wired: false, asked: None, status: 404 })]
fn members_are_translated(#[case] case: Membership) {
    let asked = Arc::new(std::sync::Mutex::new(None));
    let noted = Arc::clone(&asked);
    let apply: members::Apply = Arc::new(move |change| {
        *noted.lock().unwrap() = Some(change);
        Box::pin(async { Ok(7) })
    });
    let mut group = members::Members::fixed(std::collections::BTreeMap::new());
    group.apply = case.wired.then_some(apply);
    let call = call(case.method, "/v1/members/c4", case.body);
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let reply = runtime.block_on(group.change(&call, "c4"));
    let status = reply.unwrap_or_else(|refused| refused).status;
    assert_eq!((status, asked.lock().unwrap().clone()), (case.status, case.asked));
}

/// Guards against reviews of another period than the one asked for.
#[rstest]
#[case::seconds("1796296132", Some(1_796_296_132_000))]
#[case::utc("2026-12-03T10:28:52Z", Some(1_796_293_732_000))]
#[case::offset("2026-12-03T11:28:52%2B01:00", Some(1_796_293_732_000))]
#[case::encoded("2026-12-03T10%3A28%3A52Z", Some(1_796_293_732_000))]
#[case::no_time("yesterday", None)]
#[case::no_zone("2026-12-03T10:28:52", None)]
#[case::too_large("99999999999999999999", None)]
fn periods_are_parsed(#[case] value: &str, #[case] millis: Option<u64>) {
    let parsed = operator::period("from", Some(value), 7);
    assert_eq!(parsed.as_ref().ok(), millis.as_ref());
    assert_eq!(parsed.err().map(|refused| refused.status), millis.is_none().then_some(400));
    assert_eq!(operator::period("from", None, 7).ok(), Some(7));
}

struct Halted {
    result: Result<(u16, Option<&'static str>), CallError>,
    halt: EvictReply,
}

/// Guards against an execution that is taken for stopped, or for checkpointed, when it is not.
#[rstest]
#[case::checkpoint(Halted {
    result: Ok((200, Some("step-7"))),
    halt: EvictReply::Checkpointed(Checkpoint::new("step-7").unwrap()),
})]
#[case::no_checkpoint(Halted { result: Ok((200, None)), halt: EvictReply::Stopped })]
#[case::bad_checkpoint(Halted { result: Ok((200, Some("a b"))), halt: EvictReply::Stopped })]
#[case::other_success(Halted { result: Ok((202, Some("step-7"))), halt: EvictReply::Stopped })]
#[case::refused(Halted { result: Ok((409, Some("step-7"))), halt: EvictReply::Refused })]
#[case::failed(Halted { result: Ok((500, None)), halt: EvictReply::Refused })]
#[case::gone(Halted { result: Err(CallError::Connect), halt: EvictReply::Stopped })]
#[case::lost(Halted { result: Err(CallError::Lost), halt: EvictReply::Unknown })]
#[case::not_sent(Halted { result: Err(CallError::Shed), halt: EvictReply::Unknown })]
#[case::late(Halted { result: Err(CallError::Timeout), halt: EvictReply::Unknown })]
fn evictions_are_confirmed(#[case] case: Halted) {
    let result = case.result.map(|(status, checkpoint)| {
        let name = http::HeaderName::from_static("toucangrade-checkpoint");
        let value = checkpoint.map(http::HeaderValue::from_static);
        let headers = value.map(|value| (name, value)).into_iter().collect();
        Response { status, headers, body: bytes::Bytes::new() }
    });
    assert_eq!(agent::halt(result), case.halt);
}

/// Guards against a second execution of a request whose answer is too large: it counts as run.
#[test]
fn too_large_answer_is_an_outcome() {
    let outcome = agent::outcome(Err(CallError::TooLarge)).unwrap();
    assert_eq!((outcome.answer.status, outcome.declined), (502, false));
}
