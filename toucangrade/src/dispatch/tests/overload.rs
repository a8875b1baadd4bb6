//! Tests of refusals: what is refused never runs, and what may run is not refused.

use rstest::rstest;

use super::*;

#[derive(Clone, Copy, PartialEq)]
enum Earlier {
    Nothing,
    /// The same id was accepted before.
    Accepted,
    /// A submission of the same id is proposed and not committed yet.
    Proposed,
    /// A proposal with the same id may still be committed, though the log has given it up.
    Lost,
    /// It was refused, and its caller waited this long; meanwhile room was found.
    Refused(u64),
}

struct Submission {
    earlier: Earlier,
    enabled: bool,
    refused: bool,
}

fn lasting() -> Vec<Step> {
    vec![Step { lasting: true, ..step(1, 3_000) }]
}

/// A refusal must stay true: an id was refused while its earlier submission was about to be stored,
/// or a late copy of a refused submission was accepted.
#[rstest]
#[case::no_room(Submission { earlier: Earlier::Nothing, enabled: true, refused: true })]
#[case::switched_off(Submission { earlier: Earlier::Nothing, enabled: false, refused: false })]
#[case::accepted(Submission { earlier: Earlier::Accepted, enabled: true, refused: false })]
#[case::proposed(Submission { earlier: Earlier::Proposed, enabled: true, refused: false })]
#[case::lost(Submission { earlier: Earlier::Lost, enabled: true, refused: false })]
#[case::copy(Submission { earlier: Earlier::Refused(500), enabled: true, refused: true })]
#[case::returned(Submission { earlier: Earlier::Refused(1_600), enabled: true, refused: false })]
fn refusals_are_true(#[case] case: Submission) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 1, lasting());
    world.hold = matches!(case.earlier, Earlier::Proposed | Earlier::Lost);
    world.dispatch.overload.enabled = matches!(case.earlier, Earlier::Refused(_));
    if case.earlier != Earlier::Nothing {
        world.submit("match", 2, lasting());
    }
    if case.earlier == Earlier::Lost {
        for (ticket, _) in std::mem::take(&mut world.held) {
            world.send(Message::Rejected { ticket, lost: true });
        }
    }
    if let Earlier::Refused(waited) = case.earlier {
        world.report(report("10.0.0.2", 1, &incarnation("i-2", 10)));
        world.advance(waited);
    }
    world.dispatch.overload.enabled = case.enabled;
    let proposals = world.log.len() + world.held.len();
    let reply = world.submit("match", 2, lasting());
    let refused = matches!(reply, Some(ClientReply::Refused { .. }));
    assert_eq!(refused, case.refused, "{reply:?}");
    if refused {
        assert_eq!(world.log.len() + world.held.len(), proposals, "a refused job was proposed");
        assert!(!world.dispatch.job_table.jobs.contains_key(&2));
    }
    world.release();
    let accepted = world.dispatch.job_table.jobs.contains_key(&2);
    assert_eq!(accepted, !refused, "stored against the answer {reply:?}");
}
