//! Tests of resource writes and validation.

use rstest::rstest;

use super::*;

fn service(timeout: u64) -> Spec {
    let body = format!(
        r#"{{"shop": "klopca", "kinds": {{"match": {{"class": "quick", "timeout_ms": {timeout}}}}}}}"#
    );
    Spec::parse(Collection::Services, body.as_bytes()).unwrap()
}

fn write(name: &str, spec: Option<Spec>, expect: Expect, key: Option<&str>) -> Command {
    Command {
        collection: Collection::Services,
        name: Name::new(name).unwrap(),
        spec,
        expect,
        key: key.map(|key| Key::new(key).unwrap()),
    }
}

struct WriteCase {
    writes: Vec<Command>,
    replies: Vec<&'static str>,
    revision: u64,
}

/// Guards against two successful writes on the same revision, repeated writes that are applied
/// twice, and lost deletions.
#[rstest]
#[case::concurrent_writes(WriteCase {
    writes: vec![
        write("pew-atelier", Some(service(100)), Expect::Absent, None),
        write("pew-atelier", Some(service(200)), Expect::Revision(1), Some("a")),
        write("pew-atelier", Some(service(300)), Expect::Revision(1), Some("b")),
    ],
    replies: vec!["written 1", "written 2", "lost to 2"],
    revision: 2,
})]
#[case::repeated_key(WriteCase {
    writes: vec![
        write("pew-atelier", Some(service(100)), Expect::Absent, Some("a")),
        write("pew-atelier", Some(service(100)), Expect::Absent, Some("a")),
    ],
    replies: vec!["written 1", "written 1"],
    revision: 1,
})]
#[case::delete_twice(WriteCase {
    writes: vec![
        write("pew-atelier", Some(service(100)), Expect::Any, None),
        write("pew-atelier", None, Expect::Any, None),
        write("pew-atelier", None, Expect::Any, None),
    ],
    replies: vec!["written 1", "written 2", "missing"],
    revision: 2,
})]
#[case::absent_when_present(WriteCase {
    writes: vec![
        write("pew-atelier", Some(service(100)), Expect::Absent, None),
        write("pew-atelier", Some(service(100)), Expect::Absent, None),
    ],
    replies: vec!["written 1", "lost to 1"],
    revision: 1,
})]
fn one_write_per_revision_succeeds(#[case] case: WriteCase) {
    let mut resources = Resources::default();
    let replies: Vec<String> = (1..)
        .zip(case.writes)
        .map(|(index, write)| match resources.apply(index, write) {
            Reply::Written { revision } => format!("written {revision}"),
            Reply::Lost { current } => format!("lost to {}", current.map_or(0, |c| c.revision)),
            Reply::Missing => "missing".to_owned(),
        })
        .collect();
    assert_eq!(replies, case.replies);
    assert_eq!(resources.revision(), case.revision);
}

/// Guards against watch streams that miss or repeat a change when they resume.
#[test]
fn changes_resume_without_gaps() {
    let mut resources = Resources::default();
    for index in 1..=MAX_CHANGES as u64 + 5 {
        resources.apply(index, write("balcao", Some(service(100)), Expect::Any, None));
    }
    assert_eq!(resources.since(4), Err(5));
    let (mut since, mut revisions) = (5, Vec::new());
    while since <= MAX_CHANGES as u64 + 4 {
        let changes = resources.since(since).unwrap();
        assert!((1..=CHANGES_PER_QUERY).contains(&changes.len()));
        revisions.extend(changes.iter().map(|c| c.revision));
        since = changes.last().unwrap().revision;
    }
    assert_eq!(revisions, (6..=MAX_CHANGES as u64 + 5).collect::<Vec<_>>());
    assert_eq!(resources.since(u64::MAX), Ok(Vec::new()));
}

struct BodyCase {
    collection: Collection,
    body: &'static str,
    field: &'static str,
}

/// Guards against invalid resources that are accepted, or whose error refers to the wrong field.
#[rstest]
#[case::timeout(BodyCase {
    collection: Collection::Services,
    body: r#"{"shop": "klopca", "kinds": {"match": {"class": "quick", "timeout_ms": 1}}}"#,
    field: "kinds.match.timeout_ms",
})]
#[case::no_kinds(BodyCase {
    collection: Collection::Services,
    body: r#"{"shop": "klopca", "kinds": {}}"#,
    field: "kinds",
})]
#[case::unknown_field(BodyCase {
    collection: Collection::Quotas,
    body: r#"{"speed": 4}"#,
    field: "body",
})]
#[case::unknown_objective(BodyCase {
    collection: Collection::Quotas,
    body: r#"{"objective": "fairness"}"#,
    field: "objective",
})]
#[case::objective_is_not_a_string(BodyCase {
    collection: Collection::Quotas,
    body: r#"{"objective": null}"#,
    field: "objective",
})]
#[case::team_memory_is_zero(BodyCase {
    collection: Collection::Quotas,
    body: r#"{"memory_mb": 0}"#,
    field: "memory_mb",
})]
#[case::too_many_accelerators_for_a_team(BodyCase {
    collection: Collection::Quotas,
    body: r#"{"accelerators": 100001}"#,
    field: "accelerators",
})]
#[case::memory_is_zero(BodyCase {
    collection: Collection::Watches,
    body: r#"{"shop": "klopca", "kind": "humidity", "millicores": 5, "memory_mb": 0}"#,
    field: "memory_mb",
})]
fn errors_contain_the_invalid_field(#[case] case: BodyCase) {
    let invalid = Spec::parse(case.collection, case.body.as_bytes()).unwrap_err();
    assert_eq!(invalid.field, case.field, "{invalid}");
}
