//! Tests of the options and of what is printed.

use rstest::rstest;
use toucangrade::Violation;

use crate::runs::{Parts, parser, run};

struct Case {
    args: &'static [&'static str],
    /// What is printed, or nothing when the arguments are refused.
    lines: Option<&'static [&'static str]>,
    whole: bool,
}

/// Runs in which seed 3 of the log breaks an invariant.
fn parts() -> Parts {
    let requests = |seed, steps| Ok(format!("seed {seed}: {steps} steps"));
    let log = |seed, steps| match seed {
        3 => Err(Violation { reason: "two leaders".into(), trace: vec!["1 us, a: Tick".into()] }),
        _ => Ok(format!("seed {seed}: {steps} steps")),
    };
    Parts(vec![("requests", Box::new(requests)), ("log", Box::new(log))])
}

/// Guards against runs of other seeds than those asked for, and against a violation that passes
/// for a success, goes without its trace or can't be replayed.
#[rstest]
#[case::fallback(Case {
    args: &[],
    lines: Some(&["requests seed 1: 40000 steps", "log seed 1: 40000 steps"]),
    whole: true,
})]
#[case::one_seed(Case {
    args: &["--part", "requests", "--seed", "3", "--steps", "9"],
    lines: Some(&["requests seed 3: 9 steps"]),
    whole: true,
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
    whole: false,
})]
#[case::unknown_part(Case { args: &["--part", "disk"], lines: None, whole: true })]
#[case::empty_range(Case { args: &["--seeds", "5..5"], lines: None, whole: true })]
#[case::no_range(Case { args: &["--seeds", "5"], lines: None, whole: true })]
#[case::both(Case { args: &["--seed", "5", "--seeds", "1..2"], lines: None, whole: true })]
fn seeds_are_run_and_violations_shown(#[case] case: Case) {
    let options = parser().run_inner(case.args);
    let printed = options.ok().map(|options| {
        let mut out = Vec::new();
        let whole = run(&options, &parts(), &mut out).unwrap();
        assert_eq!(whole, case.whole);
        String::from_utf8(out).unwrap()
    });
    let lines = printed.as_ref().map(|text| text.lines().collect::<Vec<_>>());
    assert_eq!(lines.as_deref(), case.lines);
}
