//! Fuzzing of the reports and requests that a leader decodes.

use super::*;
use crate::http::tests::mutate::Mutator;
use crate::peer::{decode, encode};

const ROUNDS: u32 = 2_000;

/// A leader handles any report and job that it can decode, and goes on placing tasks.
#[test]
fn leader_handles_any_report_and_job() {
    let sound = incarnation("i-1", 10);
    let mut other = report("10.0.0.2", 5, &incarnation("i-2", 20));
    other.rows.push(RunStatus {
        key: key(1, 0, 0, 1),
        saved: None,
        percent: 5,
        figure: 9,
        share: 90,
    });
    other.ended.push(EndedRun { number: 4, key: key(1, 0, 1, 1), end: End::Done, saved: None });
    other.denied.push((key(1, 0, 2, 1), Denial::Room));
    let filling = Step { fills: true, image: Some("film".into()), ..step(1, 500) };
    let serving = Step { target: 50, image: Some("desk".into()), lasting: true, ..step(1, 500) };
    let steps = vec![filling, after_first(serving)];
    let reports = encode(&other);
    let jobs = encode(&Verb::Submit { spec: "spec".into(), steps, schedule: None });
    let mut mutator = Mutator::new(9);
    let mut world = World::new();
    let (mut reported, mut asked) = (0, 0);
    for round in 0..ROUNDS {
        if round % 100 == 0 {
            world = World::new();
            world.report(report("10.0.0.1", 1, &sound));
        }
        if let Some(mutated) = decode::<Report>(&mutator.body(&reports, &jobs)) {
            reported += 1;
            world.report(mutated);
        }
        if let Some(verb) = decode::<Verb>(&mutator.body(&jobs, &reports)) {
            asked += 1;
            let job = u64::from(round);
            world.ask(&format!("/match/{job:016x}"), verb, Some(job));
        }
        world.advance(100);
        if round % 100 == 99 {
            let next = report("10.0.0.3", 1, &incarnation("i-3", 30));
            world.report(next);
            world.submit("match", 1 << 40, vec![step(1, 1)]);
            world.advance(200);
            assert!(world.dispatch.job_table.jobs.contains_key(&(1 << 40)));
        }
    }
    assert!(reported > 100 && asked > 100, "{reported} reports, {asked} requests");
}

fn after_first(step: Step) -> Step {
    Step { after: vec![0], ..step }
}
