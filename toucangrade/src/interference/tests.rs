//! Tests of the interference model.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::*;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

/// Trains a model with `count` samples of random mixes of kinds with the given slopes.
fn trained(method: Method, slopes: &[f64], count: u64) -> Model {
    let mut model = Model::new(Some(method));
    let mut rng = SmallRng::seed_from_u64(7);
    let victim = model.victim(&name("quote"));
    for k in 0..slopes.len() {
        model.kind(&name(&format!("kind-{k}")));
    }
    for i in 0..count {
        let mix: Vec<_> = (0..slopes.len())
            .filter(|_| rng.random_bool(0.6))
            .collect::<Vec<_>>()
            .into_iter()
            .map(|kind| Pressure { kind, amount: rng.random_range(0.05..0.3) })
            .collect();
        let expected: f64 = mix.iter().map(|p| slopes[p.kind] * p.amount).sum();
        let excess = expected + rng.random_range(-0.1..0.1);
        let at = Moment::micros(i * 1_000_000);
        model.learn(&Sample { victim, excess, mix: &mix, at });
    }
    model
}

struct MethodCase {
    method: Method,
    tolerance: f64,
}

/// Guards against a slowdown that is attributed to another kind on the same worker.
#[rstest]
#[case::kalman(MethodCase { method: Method::Kalman, tolerance: 0.3 })]
#[case::means(MethodCase { method: Method::Means, tolerance: 2.0 })]
#[case::shrinkage(MethodCase { method: Method::Shrinkage, tolerance: 2.0 })]
fn slopes_are_estimated_in_order(#[case] case: MethodCase) {
    let slopes = [0.1, 4.0, 0.6];
    let model = trained(case.method, &slopes, 600);
    let learned: Vec<_> = (0..3).map(|kind| model.slope(0, kind)).collect();
    for (estimate, slope) in learned.iter().zip(slopes) {
        assert!((estimate.mean - slope).abs() < case.tolerance, "{learned:?}");
    }
    assert!(learned[0].mean < learned[2].mean && learned[2].mean < learned[1].mean);
}

/// Guards against errors that don't shrink with evidence, and against old samples that don't lose
/// weight.
#[rstest]
#[case::kalman(Method::Kalman)]
#[case::means(Method::Means)]
#[case::shrinkage(Method::Shrinkage)]
fn errors_follow_evidence(#[case] method: Method) {
    let few = trained(method, &[1.0, 2.0], 5).slope(0, 1).error;
    let mut model = trained(method, &[1.0, 2.0], 500);
    let many = model.slope(0, 1).error;
    assert!(many < few, "{many} after many samples, {few} after few");
    let at = Moment::micros(0) + Span::secs(40_000);
    let mix = [Pressure { kind: 1, amount: 0.2 }];
    for _ in 0..400 {
        model.learn(&Sample { victim: 0, excess: 1.0, mix: &mix, at });
    }
    let aged = model.slope(0, 1).mean;
    assert!((aged - 5.0).abs() < 1.0, "still {aged} after the kind changed");
}

/// Guards against a prior for a new pair that ignores the batch kind's slopes on other quick kinds.
#[test]
fn new_pair_starts_from_pooled_prior() {
    let mut model = trained(Method::Kalman, &[0.2, 4.0], 400);
    let other = model.victim(&name("match"));
    for i in 0..200 {
        let mix = [Pressure { kind: 0, amount: 0.2 }];
        let at = Moment::micros(500_000_000 + i);
        model.learn(&Sample { victim: other, excess: 0.04, mix: &mix, at });
    }
    assert!(model.slope(other, 1).mean > model.slope(other, 0).mean);
}
