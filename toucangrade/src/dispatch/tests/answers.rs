//! Tests of what callers are told.

use rstest::rstest;

use super::*;

struct Answer {
    path: &'static str,
    job: Option<u64>,
    verb: Verb,
    told: Told,
}

/// Guards what callers are told about queues and jobs that exist or don't.
#[rstest]
#[case::unknown_queue(Answer {
    path: "/other/0000000000000001", job: Some(1), verb: Verb::Show, told: Told::NoQueue,
})]
#[case::unknown_job(Answer {
    path: "/match/0000000000000001", job: Some(1), verb: Verb::Show, told: Told::Gone,
})]
#[case::cancel_unknown_job(Answer {
    path: "/match/0000000000000001", job: Some(1), verb: Verb::Cancel, told: Told::Gone,
})]
#[case::pending(Answer { path: "/match/", job: None, verb: Verb::Show, told: Told::Pending(1) })]
#[case::other_queue(Answer {
    path: "/recon/0000000000000007", job: Some(7), verb: Verb::Show, told: Told::Gone,
})]
#[case::queued(Answer {
    path: "/match/0000000000000007", job: Some(7), verb: Verb::Show,
    told: Told::State(JobState::Queued),
})]
#[case::no_name(Answer {
    path: "/match/x", job: None, verb: Verb::Show, told: Told::NoQueue,
})]
fn callers_are_told(#[case] answer: Answer) {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    let ticket = world.ask(answer.path, answer.verb, answer.job);
    assert_eq!(world.told[&ticket], Some(answer.told));
}

/// A job that is sent again, also with other content, remains the job that was accepted.
#[test]
fn repeated_submission_is_one_job() {
    let mut world = World::new();
    assert_eq!(world.submit("match", 7, vec![step(1, 1_000)]), Some(Told::Accepted));
    assert_eq!(world.submit("match", 7, vec![step(3, 1_000)]), Some(Told::Accepted));
    let runner = life("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    assert_eq!(world.live(&runner), [key(7, 0, 0, 1)]);
}

/// A proposal whose outcome is lost is answered as unknown, one that was not taken as no answer.
#[rstest]
#[case::lost(true, Some(Told::Unknown))]
#[case::not_taken(false, None)]
fn refused_proposals_are_told(#[case] lost: bool, #[case] told: Option<Told>) {
    let mut world = World::new();
    world.hold = true;
    world.submit("match", 7, vec![step(1, 1_000)]);
    let (ticket, _) = world.held.remove(0);
    world.send(Message::Rejected { ticket, lost });
    assert_eq!(world.told[&world.ticket], told);
}
