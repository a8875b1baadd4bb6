//! Tests of learning with a simulated queue whose load is known.

use rstest::rstest;

use super::*;
use crate::jobs::TaskKey;

/// A service whose own load swings as on the users' days, beside filling images that come and go.
struct SimulatedService {
    /// Load that each image adds when it uses all cores.
    pressures: Vec<(&'static str, f64)>,
    /// Number of samples, one every half second.
    samples: u32,
}

impl SimulatedService {
    fn sample(&self, half: u32) -> Sample {
        let swing = f64::from(half % 28) / 28.0 * std::f64::consts::TAU;
        let own = 0.45 + 0.2 * swing.sin();
        let mut filling = Vec::new();
        let key = |index| RunKey { task: TaskKey { job: 1, round: 0, step: 0, index }, run: 1 };
        for (index, (image, _)) in (0u32..).zip(&self.pressures) {
            // Each image starts and stops with its own period.
            if (half / (3 + index)).is_multiple_of(2) {
                filling.push((key(1 + index as u16), Arc::from(*image), 0.2));
            }
        }
        let pressure = |image: &str| self.pressures.iter().find(|(i, _)| *i == image);
        let added = filling.iter().map(|(_, i, used)| pressure(i).map_or(0.0, |(_, p)| p * used));
        let added: f64 = added.sum();
        let load = (own + added).min(0.95);
        let figure = (10.0 / (1.0 - load)).round() as u64;
        let serving = vec![Serving { key: key(0), image: "quotes".into(), figure, target: 50 }];
        Sample { serving, filling }
    }

    fn learn(&self) -> Learner {
        let agent = Name::new("10.0.0.1").expect("a valid name");
        let mut learner = Learner::default();
        for half in 0..self.samples {
            let now = Moment::micros(u64::from(half) * 500_000);
            learner.observe(now, &agent, self.sample(half));
        }
        learner
    }
}

/// Guards against a filter that can't distinguish, within half a minute, images that interfere from
/// those that don't.
#[rstest]
#[case::one_heavy(SimulatedService { pressures: vec![("a", 1.5)], samples: 60 })]
#[case::one_light(SimulatedService { pressures: vec![("a", 0.0)], samples: 60 })]
#[case::mixed(SimulatedService {
    pressures: vec![("a", 1.5), ("b", 0.0), ("c", 1.2)],
    samples: 60,
})]
fn pressures_are_learned(#[case] service: SimulatedService) {
    let learner = service.learn();
    for (image, truth) in &service.pressures {
        let found = learner.table.pressure("quotes", image).mean;
        let heavy = *truth > 0.5;
        assert_eq!(found > 0.4, heavy, "{image} adds {truth}, found {found}");
    }
}

/// The swing of a service's own load must not be attributed to filling images: without any, nothing
/// is learned and no table is published.
#[test]
fn own_load_swing_is_not_attributed() {
    let learner = SimulatedService { pressures: vec![], samples: 60 }.learn();
    assert!(learner.table.pairs.is_empty());
    assert_eq!(learner.version, 0);
}

/// Each version sends the whole table to agents, so small changes must not raise it.
#[test]
fn table_versions_are_few() {
    let learner =
        SimulatedService { pressures: vec![("a", 1.5), ("b", 0.0)], samples: 240 }.learn();
    assert!((1..40).contains(&learner.version), "{} versions", learner.version);
}

struct Pooled {
    /// True pressure of a filling image beside the services that it was seen with.
    seen: f64,
    /// Range in which its estimate beside another service has to be.
    expected: std::ops::Range<f64>,
}

/// Guards against an image that has to be learned anew beside each service: what it does beside
/// three services tells what it does beside a fourth, and one service alone tells less.
#[rstest]
#[case::harmless(Pooled { seen: 0.0, expected: 0.0..0.3 })]
#[case::pressing(Pooled { seen: 2.5, expected: 1.5..3.5 })]
fn unseen_pair_follows_from_others(#[case] case: Pooled) {
    let mut pool = Pool::default();
    let (new, image) = (Arc::from("new"), Arc::from("image"));
    let mut doubt = pool.estimate(&new, &image).variance;
    for service in ["a", "b", "c"] {
        pool.record(&service.into(), &image, Pressure { mean: case.seen, variance: 0.02 });
        let found = pool.estimate(&new, &image);
        assert!(found.variance < doubt, "{found:?} after {service}");
        doubt = found.variance;
    }
    let found = pool.estimate(&new, &image);
    assert!(case.expected.contains(&found.mean), "{found:?}");
    assert_eq!(pool.estimate(&new, "other"), Pool::default().estimate(&new, "other"));
}

/// A service that an otherwise harmless image does disturb is recognised within a few samples.
#[test]
fn exception_of_a_harmless_image_is_learned() {
    let mut pool = Pool::default();
    let image: Arc<str> = "image".into();
    for service in ["a", "b", "c", "d", "e"] {
        pool.record(&service.into(), &image, Pressure { mean: 0.0, variance: 0.02 });
    }
    let mut learner = Learner { pool, ..Learner::default() };
    let service: Arc<str> = "exception".into();
    for _ in 0..6 {
        learner.correct(&service, &BTreeMap::from([(&image, 0.2)]), 0.4);
    }
    let found = learner.pool.estimate(&service, &image);
    assert!(found.mean > 1.0, "{found:?}");
}

struct Spells {
    /// Half seconds in which a run that uses 0.4 of the cores is listed.
    listed: std::ops::Range<u64>,
    /// Share of the cores that its image used while the latencies of each listing were measured.
    used: [f64; 6],
}

/// Guards against the load of a run that starts or ends between two listings being taken for that of
/// the tasks beside it: latencies are averages over half a second, so they lag behind the listing.
#[rstest]
#[case::from_the_first_listing(Spells { listed: 0..6, used: [0.4; 6] })]
#[case::starts_and_ends(Spells { listed: 2..4, used: [0.0, 0.0, 0.2, 0.4, 0.2, 0.0] })]
fn use_is_that_of_the_measured_time(#[case] case: Spells) {
    let key = RunKey { task: TaskKey { job: 1, round: 0, step: 0, index: 0 }, run: 1 };
    let mut usage = Usage::default();
    for half in 0..6 {
        let listed = case.listed.contains(&half).then(|| (key, Arc::from("image"), 0.4));
        usage.update(Moment::micros(1_000_000 + half * 500_000), listed);
        let used = usage.by_image().values().sum::<f64>();
        let expected = case.used[half as usize];
        assert!((used - expected).abs() < 1e-9, "{used} in listing {half}, expected {expected}");
    }
}
