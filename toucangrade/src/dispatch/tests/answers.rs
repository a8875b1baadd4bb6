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

/// What happens around the cancellation of job 7 of queue `match`.
#[derive(Clone, Copy)]
enum Event {
    Advance(u64),
    /// A caller cancels the job of a queue and is told this.
    Cancel(&'static str, ClientReplyKind),
    /// Proposals are neither committed nor refused until `Release`.
    Hold,
    NewLeader,
    Release,
    Submit(&'static str),
}

#[derive(Clone, Copy)]
enum ClientReplyKind {
    Gone,
    Waits,
}

struct Withdrawal {
    events: &'static [Event],
    state: Option<JobState>,
    /// Whether a runner gets the job's task.
    runs: bool,
}

/// A job that was cancelled before its submission arrived, as it waited in a stalled entry or in an
/// uncommitted proposal, ran after its cancellation had been answered.
#[rstest]
#[case::submission_comes_late(Withdrawal {
    events: &[Event::Cancel("match", ClientReplyKind::Gone), Event::Submit("match")],
    state: Some(JobState::Cancelled), runs: false,
})]
#[case::submission_comes_twice(Withdrawal {
    events: &[
        Event::Cancel("match", ClientReplyKind::Gone), Event::Submit("match"),
        Event::Submit("match"),
    ],
    state: Some(JobState::Cancelled), runs: false,
})]
#[case::submission_is_proposed(Withdrawal {
    events: &[
        Event::Hold, Event::Submit("match"), Event::Cancel("match", ClientReplyKind::Waits),
        Event::Release,
    ],
    state: Some(JobState::Cancelled), runs: false,
})]
#[case::leader_changes(Withdrawal {
    events: &[
        Event::Cancel("match", ClientReplyKind::Gone), Event::NewLeader, Event::Submit("match"),
    ],
    state: Some(JobState::Cancelled), runs: false,
})]
#[case::cancelled_again(Withdrawal {
    events: &[
        Event::Cancel("match", ClientReplyKind::Gone),
        Event::Cancel("match", ClientReplyKind::Gone), Event::Advance(100_000),
        Event::Submit("match"),
    ],
    state: Some(JobState::Cancelled), runs: false,
})]
#[case::other_queue(Withdrawal {
    events: &[Event::Cancel("recon", ClientReplyKind::Gone), Event::Submit("match")],
    state: Some(JobState::Running), runs: true,
})]
#[case::job_of_another_queue(Withdrawal {
    events: &[Event::Submit("match"), Event::Cancel("recon", ClientReplyKind::Gone)],
    state: Some(JobState::Running), runs: true,
})]
#[case::never_submitted(Withdrawal {
    events: &[Event::Cancel("match", ClientReplyKind::Gone)], state: None, runs: false,
})]
#[case::forgotten(Withdrawal {
    events: &[
        Event::Cancel("match", ClientReplyKind::Gone), Event::Advance(160_000),
        Event::Submit("match"),
    ],
    state: Some(JobState::Running), runs: true,
})]
fn cancelled_job_does_not_run(#[case] case: Withdrawal) {
    let mut world = World::new();
    for event in case.events {
        match *event {
            Event::Advance(millis) => world.advance(millis),
            Event::Cancel(queue, kind) => {
                let path = format!("/{queue}/{:016x}", 7);
                let ticket = world.ask(&path, Verb::Cancel, Some(7));
                let expected = match kind {
                    ClientReplyKind::Gone => Some(Some(ClientReply::Gone)),
                    ClientReplyKind::Waits => None,
                };
                assert_eq!(world.answers.get(&ticket).cloned(), expected);
            },
            Event::Hold => world.hold = true,
            Event::NewLeader => {
                world.send(Message::Lead { leading: false });
                let job_table = Box::new(world.dispatch.job_table.clone());
                let index = world.index;
                world.send(Message::Install { index, job_table });
                world.send(Message::Lead { leading: true });
            },
            Event::Release => world.release(),
            Event::Submit(queue) => drop(world.submit(queue, 7, vec![step(1, 1_000)])),
        }
    }
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.advance(200);
    assert_eq!(!world.live(&runner).is_empty(), case.runs);
    let rows: Vec<_> = world.live(&runner).into_iter().map(row).collect();
    if !rows.is_empty() {
        assert_eq!(world.state("match", 7), Some(ClientReply::State(JobState::Queued)));
    }
    world.report(Report { rows, ..report("10.0.0.1", 2, &runner) });
    let state = case.state.map_or(ClientReply::Gone, ClientReply::State);
    assert_eq!(world.state("match", 7), Some(state));
}

/// Cancellations of unknown jobs must not grow the state without bound. Beyond the limit, none is
/// answered as if the job could not run later.
#[test]
fn withdrawn_names_are_limited() {
    let mut world = World::new();
    let cancel = |world: &mut World, job: u64| {
        let ticket = world.ask(&format!("/match/{job:016x}"), Verb::Cancel, Some(job));
        world.answers.remove(&ticket).flatten()
    };
    for job in 0..settings::WITHDRAWN_LIMIT as u64 {
        assert_eq!(cancel(&mut world, job), Some(ClientReply::Gone));
    }
    let refused = cancel(&mut world, 1 << 40);
    assert!(matches!(refused, Some(ClientReply::Refused { .. })), "{refused:?}");
    assert_eq!(cancel(&mut world, 3), Some(ClientReply::Gone));
    world.advance(200_000);
    assert!(world.dispatch.job_table.withdrawn.is_empty());
    assert_eq!(cancel(&mut world, 1 << 40), Some(ClientReply::Gone));
}
