//! Tests of the answers to callers.

use rstest::rstest;

use super::*;

struct Answer {
    path: &'static str,
    job: Option<u64>,
    verb: Verb,
    expected: ClientReply,
}

/// Guards the answers about queues and jobs that exist or don't.
#[rstest]
#[case::unknown_queue(Answer {
    path: "/other/0000000000000001", job: Some(1), verb: Verb::Show, expected: ClientReply::NoQueue,
})]
#[case::unknown_job(Answer {
    path: "/match/0000000000000001", job: Some(1), verb: Verb::Show, expected: ClientReply::Gone,
})]
#[case::cancel_unknown_job(Answer {
    path: "/match/0000000000000001", job: Some(1), verb: Verb::Cancel, expected: ClientReply::Gone,
})]
#[case::pending(Answer {
    path: "/match/", job: None, verb: Verb::Show, expected: ClientReply::Pending(1),
})]
#[case::other_queue(Answer {
    path: "/recon/0000000000000007", job: Some(7), verb: Verb::Show, expected: ClientReply::Gone,
})]
#[case::queued(Answer {
    path: "/match/0000000000000007", job: Some(7), verb: Verb::Show,
    expected: ClientReply::State(JobState::Queued),
})]
#[case::no_name(Answer {
    path: "/match/x", job: None, verb: Verb::Show, expected: ClientReply::NoQueue,
})]
fn callers_are_answered(#[case] answer: Answer) {
    let mut world = World::new();
    world.submit("match", 7, vec![step(1, 1_000)]);
    let ticket = world.ask(answer.path, answer.verb, answer.job);
    assert_eq!(world.answers[&ticket], Some(answer.expected));
}

/// A second submission under the same name, even with other content, does not change the job.
#[test]
fn repeated_submission_is_one_job() {
    let mut world = World::new();
    assert_eq!(world.submit("match", 7, vec![step(1, 1_000)]), Some(ClientReply::Accepted));
    assert_eq!(world.submit("match", 7, vec![step(3, 1_000)]), Some(ClientReply::Accepted));
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    assert_eq!(world.live(&runner), [key(7, 0, 0, 1)]);
}

/// A request whose proposal may still be committed gets the answer `Unknown`; one whose proposal
/// was certainly refused gets none.
#[rstest]
#[case::lost(true, Some(ClientReply::Unknown))]
#[case::not_taken(false, None)]
fn rejected_proposals_are_answered(#[case] lost: bool, #[case] reply: Option<ClientReply>) {
    let mut world = World::new();
    world.hold = true;
    world.submit("match", 7, vec![step(1, 1_000)]);
    let (ticket, _) = world.held.remove(0);
    world.send(Message::Rejected { ticket, lost });
    assert_eq!(world.answers[&world.ticket], reply);
}
