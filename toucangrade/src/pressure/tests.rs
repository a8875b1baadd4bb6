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
        let mut filling = BTreeMap::new();
        for (index, (image, _)) in (0u32..).zip(&self.pressures) {
            // Each image starts and stops with its own period.
            if (half / (3 + index)).is_multiple_of(2) {
                filling.insert((*image).into(), 0.2);
            }
        }
        let added: f64 =
            self.pressures.iter().map(|(i, p)| filling.get(*i).map_or(0.0, |used| p * used)).sum();
        let load = (own + added).min(0.95);
        let key = RunKey { task: TaskKey { job: 1, round: 0, step: 0, index: 0 }, run: 1 };
        let figure = (10.0 / (1.0 - load)).round() as u64;
        let serving = vec![Serving { key, image: "quotes".into(), figure, target: 50 }];
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
