//! Tests of the options and the output.

use rstest::rstest;
use toucangrade::Violation;

use crate::runs::{Parts, parser, run};

struct Case {
    args: &'static [&'static str],
    /// Printed lines; `None` if the arguments are rejected.
    lines: Option<&'static [&'static str]>,
    success: bool,
}

/// Runs in which seed 3 of the log violates an invariant.
fn parts() -> Parts {
    let requests = |seed, steps| Ok(format!("seed {seed}: {steps} steps"));
    let log = |seed, steps| match seed {
        3 => Err(Violation { reason: "two leaders".into(), trace: vec!["1 us, a: Tick".into()] }),
        _ => Ok(format!("seed {seed}: {steps} steps")),
    };
    Parts(vec![("requests", Box::new(requests)), ("log", Box::new(log))])
}

/// Guards against running other seeds than requested, and against a violation that counts as a
/// success or is printed without its trace or replay command.
#[rstest]
#[case::fallback(Case {
    args: &[],
    lines: Some(&["requests seed 1: 40000 steps", "log seed 1: 40000 steps"]),
    success: true,
})]
#[case::one_seed(Case {
    args: &["--part", "requests", "--seed", "3", "--steps", "9"],
    lines: Some(&["requests seed 3: 9 steps"]),
    success: true,
})]
#[case::violation(Case {
    args: &["--part", "log", "--seeds", "2..5", "--steps", "9"],
    lines: Some(&[
        "log seed 2: 9 steps",
        "1 us, a: Tick",
        "two leaders",
        "log seed 3: an invariant is violated, replay with:",
        "toucangrade_simulate --part log --seed 3 --steps 9",
        "log seed 4: 9 steps",
    ]),
    success: false,
})]
#[case::unknown_part(Case { args: &["--part", "disk"], lines: None, success: true })]
#[case::empty_range(Case { args: &["--seeds", "5..5"], lines: None, success: true })]
#[case::no_range(Case { args: &["--seeds", "5"], lines: None, success: true })]
#[case::both(Case { args: &["--seed", "5", "--seeds", "1..2"], lines: None, success: true })]
fn seeds_are_run_and_violations_shown(#[case] case: Case) {
    let options = parser().run_inner(case.args);
    let printed = options.ok().map(|options| {
        let mut out = Vec::new();
        let success = run(&options, &parts(), &mut out).unwrap();
        assert_eq!(success, case.success);
        String::from_utf8(out).unwrap()
    });
    let lines = printed.as_ref().map(|text| text.lines().collect::<Vec<_>>());
    assert_eq!(lines.as_deref(), case.lines);
}
