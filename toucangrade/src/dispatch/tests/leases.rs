//! Tests of runners that fall silent or are gone, whose runs start elsewhere once their leases have
//! ended.

use rstest::rstest;

use super::*;

struct Silence {
    /// Whether leadership changes before the silence.
    elected: bool,
    /// Whether the runner has listed the run before the silence.
    listed: bool,
    /// Time without a report, in ms.
    silent: u64,
    /// Whether the task is assigned to the other runner.
    moved: bool,
}

/// A task is assigned to another runner only when the lease of the first has certainly expired.
/// After a change of leader that takes a whole lease, since the previous leader may have granted
/// one just before. A run that was never listed may be started by a later incarnation under the same
/// name, within 12 s of the call, and that one accepts a lease of 10 s for it.
#[rstest]
#[case::lease_valid(Silence { elected: false, listed: true, silent: 5_800, moved: false })]
#[case::lease_expired(Silence { elected: false, listed: true, silent: 6_400, moved: true })]
#[case::new_leader_within_lease(Silence {
    elected: true, listed: true, silent: 5_800, moved: false,
})]
#[case::new_leader_after_lease(Silence { elected: true, listed: true, silent: 6_400, moved: true })]
#[case::never_listed(Silence { elected: false, listed: false, silent: 23_200, moved: false })]
#[case::never_listed_and_expired(Silence {
    elected: false, listed: false, silent: 23_600, moved: true,
})]
#[case::never_listed_before_an_election(Silence {
    elected: true, listed: false, silent: 11_300, moved: false,
})]
#[case::never_listed_before_an_election_and_expired(Silence {
    elected: true, listed: false, silent: 11_600, moved: true,
})]
fn silent_runner_loses_its_runs_with_its_lease(#[case] case: Silence) {
    let mut world = World::new();
    world.advance(100);
    let (silent, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &silent));
    world.submit("match", 7, vec![step(1, 1_000)]);
    if case.listed {
        let rows = vec![row(key(7, 0, 0, 1))];
        world.report(Report { rows, ..report("10.0.0.1", 2, &silent) });
    }
    if case.elected {
        world.advance(4_000);
        world.send(Message::Lead { leading: false });
        world.send(Message::Lead { leading: true });
    }
    let mut seq = 1;
    for _ in 0..case.silent / 100 {
        world.advance(100);
        seq += 1;
        world.report(report("10.0.0.2", seq, &other));
    }
    assert_eq!(!world.live(&other).is_empty(), case.moved);
}

struct SilentRunner {
    /// Time for which the runner does not answer its agent, in ms.
    silent: u64,
    gone: bool,
    moved: bool,
}

/// Reports of an agent must not extend the lease of a runner that is gone. In a trial run each
/// report counted as a new lease, and lasting tasks did not run for 33 s.
#[rstest]
#[case::silent_within_its_lease(SilentRunner { silent: 5_800, gone: false, moved: false })]
#[case::silent_beyond_its_lease(SilentRunner { silent: 6_400, gone: false, moved: true })]
#[case::refuses_connections(SilentRunner { silent: 500, gone: true, moved: true })]
fn runner_that_is_gone_loses_its_runs(#[case] case: SilentRunner) {
    let mut world = World::new();
    let (lost, other) = (incarnation("i-1", 10), incarnation("i-2", 10));
    world.report(report("10.0.0.1", 1, &lost));
    world.submit("match", 7, vec![step(1, 1_000)]);
    let mut seq = 1;
    for tenth in 1..=case.silent / 100 {
        world.advance(100);
        seq += 1;
        world.report(report("10.0.0.2", seq, &other));
        let rows = vec![row(key(7, 0, 0, 1))];
        let silent = Span::millis(tenth * 100);
        let gone = case.gone && tenth * 100 == case.silent;
        world.report(Report { rows, silent, gone, ..report("10.0.0.1", seq, &lost) });
    }
    world.report(report("10.0.0.2", seq + 1, &other));
    assert_eq!(!world.live(&other).is_empty(), case.moved);
}
