//! Tests of the summary of the planner's estimates.

use super::*;
use crate::core::{Moment, Name, Span};
use crate::interference::HALF_LIFE;
use crate::peer;
use crate::placement::{Message, Planner, Settings};
use crate::state::Command;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

fn ratio(mean: f64, weight: f64) -> Ratio {
    Ratio { square: mean * mean * weight, sum: mean * weight, weight }
}

fn size(kind: &str, weight: f64) -> (Name, Kind) {
    (name(kind), Kind { cores: ratio(0.5, weight), floor: 0.0, memory: ratio(2.0, weight) })
}

fn slope(kind: &str, mean: f64, evidence: f64) -> Slope {
    let error = (1.0 + evidence).recip().sqrt();
    Slope { kind: name(kind), victim: name("quote"), mean, error, evidence }
}

/// Guards against summaries above the size limit, and against ones that omit estimates with more
/// evidence than those that they contain.
#[test]
fn summary_keeps_estimates_with_most_evidence() {
    struct Case {
        limit: usize,
        kinds: usize,
        complete: bool,
    }
    let cases = [
        Case { limit: SUMMARY_BYTES, kinds: 10, complete: true },
        Case { limit: SUMMARY_BYTES, kinds: 2_000, complete: false },
        Case { limit: 500, kinds: 10, complete: false },
        Case { limit: 0, kinds: 10, complete: false },
    ];
    for Case { limit, kinds, complete } in cases {
        let long_name = |k: usize| format!("a-kind-with-a-long-name-{k}");
        let sizes = (0..kinds).map(|k| size(&long_name(k), 1.0 + k as f64)).collect();
        let slopes = (0..kinds).map(|k| slope(&long_name(k), 1e300, 0.5 + k as f64)).collect();
        let summary = Summary::gather(sizes, slopes, limit);
        let encoded = peer::encode(&Command::Learned(summary.clone())).len();
        if summary.estimates() > 0 {
            assert!(encoded <= summary.bytes() && summary.bytes() <= limit, "{encoded} in {limit}");
        }
        assert_eq!(summary.estimates() == 2 * kinds, complete);
        let least =
            summary.sizes.iter().map(|(_, kind)| kind.cores.weight).fold(f64::MAX, f64::min);
        let kept = summary.sizes.len() as f64;
        assert!(kept == 0.0 || least == kinds as f64 - kept + 1.0, "{least} of {kinds} kept");
    }
}

/// Guards against a planner that restores old estimates with the weight of new ones, drops those of
/// a kind without jobs, or restores values that can't result from samples.
#[test]
fn planner_restores_summary_weighted_by_age() {
    struct Case {
        age: Span,
        /// Expected weight of the restored ratios; `variance` is that of the restored slope.
        weight: f64,
        variance: f64,
    }
    let cases = [
        Case { age: Span::ZERO, weight: 8.0, variance: 0.2 },
        Case { age: HALF_LIFE, weight: 4.0, variance: 0.28 },
        Case { age: HALF_LIFE.percent(200), weight: 2.0, variance: 0.36 },
        Case { age: HALF_LIFE.percent(5_000), weight: 0.0, variance: 1.0 },
    ];
    let mut summary = Summary { sizes: vec![size("unknown", 8.0)], slopes: Vec::new() };
    summary.slopes.push(slope("unknown", 3.0, 4.0));
    summary.slopes.push(slope("broken", f64::NAN, 9.0));
    summary.sizes.push(size("broken", f64::INFINITY));
    for Case { age, weight, variance } in cases {
        let mut planner = Planner::new(Settings::latency());
        let message = Message::Learned { age, summary: summary.clone() };
        planner.step(Moment::micros(5), message);
        let restored = planner.summary();
        assert_eq!((restored.sizes.len(), restored.slopes.len()), (1, 1), "only the valid ones");
        let (sizes, slope) = (restored.sizes[0].1, &restored.slopes[0]);
        assert!((sizes.cores.weight - weight).abs() < 1e-9, "{sizes:?} at {age:?}");
        assert!((slope.error.powi(2) - variance).abs() < 1e-9, "{slope:?} at {age:?}");
        assert_eq!((slope.mean, slope.kind.as_str()), (3.0, "unknown"));
    }
}

/// Guards against a summary above the size limit in the replicated state.
#[test]
fn too_large_summary_is_ignored() {
    let mut learned = Learned::default();
    assert!(learned.apply(3, Summary { sizes: vec![size("oak", 2.0)], slopes: Vec::new() }));
    let before = learned.clone();
    let slopes = vec![slope("oak", 1.0, 1.0); SUMMARY_BYTES / 32];
    assert!(!learned.apply(4, Summary { sizes: Vec::new(), slopes }));
    assert_eq!(learned, before);
}
