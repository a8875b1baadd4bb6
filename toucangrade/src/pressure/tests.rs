//! Tests of learning, against a queue whose load is known.

use rstest::rstest;

use super::*;
use crate::jobs::TaskKey;

/// A service whose own load swings as on the users' days, beside images that come and go.
struct Shop {
    /// What each image adds at all cores.
    pressures: Vec<(&'static str, f64)>,
    /// Half seconds that are watched.
    samples: u32,
}

impl Shop {
    fn sample(&self, half: u32) -> Sample {
        let swing = f64::from(half % 28) / 28.0 * std::f64::consts::TAU;
        let own = 0.45 + 0.2 * swing.sin();
        let mut filling = BTreeMap::new();
        for (index, (image, _)) in (0u32..).zip(&self.pressures) {
            // Each image has its own rhythm.
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
        let agent = Name::new("10.0.0.1").expect("a name");
        let mut learner = Learner::default();
        for half in 0..self.samples {
            let now = Moment::micros(u64::from(half) * 500_000);
            learner.observe(now, &agent, self.sample(half));
        }
        learner
    }
}

/// Images that disturb are told from those that don't within half a minute.
#[rstest]
#[case::one_heavy(Shop { pressures: vec![("a", 1.5)], samples: 60 })]
#[case::one_light(Shop { pressures: vec![("a", 0.0)], samples: 60 })]
#[case::mixed(Shop { pressures: vec![("a", 1.5), ("b", 0.0), ("c", 1.2)], samples: 60 })]
fn pressures_are_learned(#[case] shop: Shop) {
    let learner = shop.learn();
    for (image, truth) in &shop.pressures {
        let found = learner.table.pressure("quotes", image).mean;
        let heavy = *truth > 0.5;
        assert_eq!(found > 0.4, heavy, "{image} adds {truth}, found {found}");
    }
}

/// Without a change of what fills, nothing is learned, and agents are told nothing.
#[test]
fn own_swing_is_not_attributed() {
    let learner = Shop { pressures: vec![], samples: 60 }.learn();
    assert!(learner.table.pairs.is_empty());
    assert_eq!(learner.version, 0);
}

/// A table costs bytes, so agents are told only of changes that matter.
#[test]
fn versions_are_few() {
    let learner = Shop { pressures: vec![("a", 1.5), ("b", 0.0)], samples: 240 }.learn();
    assert!((1..40).contains(&learner.version), "{} versions", learner.version);
}
