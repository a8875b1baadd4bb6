//! Tests of settings.

use rstest::rstest;

use super::*;

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
#[case::bad_name(Case {
    args: &["--role", "entry", "--name", "One", "--centre", "olinda", "--control", "c1=127.0.0.1:1"],
    refused: Some("--name"),
})]
fn settings_are_checked(#[case] case: Case) {
    let settings = parser().run_inner(case.args).unwrap();
    assert_eq!(settings.err().map(|bad| bad.name), case.refused);
}
