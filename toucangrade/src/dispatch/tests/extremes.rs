//! Tests of values at the limits of their ranges. Agents of an earlier version may still report
//! values that the adapter now refuses.

use rstest::rstest;

use super::*;
use crate::jobs::Checkpoint;

struct Extreme {
    alter: fn(&mut Runner),
    step: Step,
}

fn most() -> Need {
    Need { millicores: u64::MAX, memory: u64::MAX, accelerators: u64::MAX }
}

fn filling() -> Step {
    Step { fills: true, image: Some("film".into()), ..step(2, 4_000) }
}

/// Sums and products of reported values overflowed, which stopped a process built with overflow
/// checks and gave wrong results in others.
#[rstest]
#[case::room(Extreme { alter: |runner| runner.capacity = most(), step: step(2, 500) })]
#[case::room_for_filling(Extreme { alter: |runner| runner.capacity = most(), step: filling() })]
#[case::room_for_lasting(Extreme {
    alter: |runner| runner.capacity = most(), step: Step { lasting: true, ..step(2, 500) },
})]
#[case::room_for_serving(Extreme {
    alter: |runner| runner.capacity = most(), step: Step { target: u64::MAX, ..step(2, 500) },
})]
#[case::clock(Extreme { alter: |runner| runner.clock = u64::MAX, step: step(2, 500) })]
#[case::start(Extreme { alter: |runner| runner.incarnation.born = u64::MAX, step: step(2, 500) })]
#[case::no_room(Extreme { alter: |runner| runner.capacity = Need::default(), step: step(2, 500) })]
fn extreme_reports_are_handled(#[case] case: Extreme) {
    let mut world = World::new();
    let (healthy, odd) = (incarnation("i-1", 10), incarnation("i-2", 20));
    let mut extreme = report("10.0.0.2", 1, &odd);
    extreme.runner.iter_mut().for_each(case.alter);
    extreme.rows.push(RunStatus {
        key: key(9, 0, 0, 1),
        saved: None,
        percent: 255,
        figure: u32::MAX,
        share: 0,
    });
    extreme.ended.push(EndedRun {
        number: u64::MAX,
        key: key(9, 0, 1, u32::MAX),
        end: End::Done,
        saved: None,
    });
    assert_eq!(world.submit("match", 7, vec![case.step]), Some(ClientReply::Accepted));
    world.report(extreme.clone());
    world.report(report("10.0.0.1", 1, &healthy));
    world.advance(700);
    world.report(Report { seq: 2, ..extreme });
    world.report(report("10.0.0.1", 2, &healthy));
    world.advance(700);
    let runs: usize = world.dispatch.fleet.leases.values().map(|lease| lease.runs.len()).sum();
    assert_eq!(runs, 2);
}

struct Declared {
    step: Step,
    refused: &'static str,
}

/// A job too large for a log entry or any runner is refused at submission. It used to be proposed
/// again and again, and the log refused it together with all commands of the same proposal.
#[rstest]
#[case::millicores(Declared {
    step: step(1, u64::MAX),
    refused: "steps[0] needs 18446744073709551615 millicores, allowed are 0 to 10000000",
})]
#[case::image(Declared {
    step: Step { image: Some("x".repeat(70_000).into()), ..step(1, 1) },
    refused: "steps[0].image has 70000 bytes, allowed are 0 to 255",
})]
#[case::after(Declared {
    step: Step { after: vec![0; 600_000], ..step(1, 1) },
    refused: "steps[0].after names 600000 steps, allowed are 0 to 256",
})]
fn oversized_job_is_refused(#[case] case: Declared) {
    let mut world = World::new();
    let reply = world.submit("match", 7, vec![case.step]);
    assert_eq!(reply, Some(ClientReply::Bad(case.refused.to_owned())));
}

/// Jobs of the largest size that arrive together are split into proposals that fit the log.
#[test]
fn largest_jobs_fit_the_log() {
    let text: Arc<str> = "x".repeat(255).into();
    let large = |at: u16| Step {
        after: (0..at).collect(),
        image: Some(Arc::clone(&text)),
        label: Some(Arc::clone(&text)),
        rack: Some(Arc::clone(&text)),
        ..step(1, 10_000_000)
    };
    let mut world = World::new();
    world.hold = true;
    for job in 0..24 {
        world.submit("match", job, (0..256).map(large).collect());
    }
    commit_all(&mut world);
    assert_eq!(world.dispatch.job_table.jobs.len(), 24);
}

/// Ends with long checkpoints that arrive together are split as well. If the log refused them, they
/// would be proposed again together with all others that have ended.
#[test]
fn longest_checkpoints_fit_the_log() {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    world.report(report("10.0.0.1", 1, &runner));
    world.submit("match", 7, vec![step(400, 1)]);
    let runs = world.live(&runner);
    assert!(runs.len() > 90, "{} live runs", runs.len());
    let saved: Option<Checkpoint> = Some("x".repeat(12_000).into());
    let ended = runs.iter().zip(1..).map(|(key, number)| EndedRun {
        number,
        key: *key,
        end: End::Stopped,
        saved: saved.clone(),
    });
    world.hold = true;
    world.report(Report { ended: ended.collect(), ..report("10.0.0.1", 2, &runner) });
    commit_all(&mut world);
    let closed = |key: &RunKey| world.dispatch.job_table.live(*key).is_none();
    assert!(runs.iter().all(closed));
}

/// Commits the held proposals and those that follow; each has to fit the log's limit of 1 MiB.
fn commit_all(world: &mut World) {
    for _ in 0..32 {
        for (ticket, commands) in std::mem::take(&mut world.held) {
            let bytes = crate::peer::encode(&commands).len();
            assert!(bytes < 1024 * 1024, "a proposal of {bytes} bytes");
            for effect in world.commit(ticket, commands) {
                if let Effect::Propose { ticket, commands } = effect {
                    world.held.push((ticket, commands));
                }
            }
        }
    }
}
