//! Cores that filling tasks used during the time that a tail latency covers.
//!
//! A latency is an average over half a second, while a run is listed as soon as it has started and is
//! missing as soon as it has ended. Without this, the load of a new task is taken for a smaller
//! pressure, and that of an ended one for the own load of the tasks beside it.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::FIGURE_WINDOW;
use crate::core::{Moment, Span};
use crate::jobs::RunKey;

/// A filling run, the fraction of the runner's cores that it uses, and when it ran.
#[derive(Clone, Debug)]
struct Spell {
    image: Arc<str>,
    used: f64,
    from: Moment,
    until: Option<Moment>,
}

/// The filling runs of one runner in the last half second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    /// Time of the last listing.
    at: Option<Moment>,
    spells: BTreeMap<RunKey, Spell>,
}

impl Usage {
    /// Takes in a listing: the runs with their images and the fraction of the cores that they use.
    /// A run is assumed to have started or ended half-way between two listings.
    pub(crate) fn update(
        &mut self,
        now: Moment,
        runs: impl IntoIterator<Item = (RunKey, Arc<str>, f64)>,
    ) {
        let since = self.at.map_or(Span::ZERO, |at| now.since(at));
        let between = self.at.unwrap_or(now) + Span::micros(since.as_micros() / 2);
        let known = std::mem::take(&mut self.spells);
        // Before the first listing a run may have run for any time.
        let first = if self.at.is_some() { between } else { Moment::START };
        for (key, image, used) in runs {
            let from = known.get(&key).map_or(first, |spell| spell.from);
            self.spells.insert(key, Spell { image, used, from, until: None });
        }
        for (key, spell) in known {
            let until = spell.until.unwrap_or(between);
            if now.since(until) < FIGURE_WINDOW {
                let ended = Spell { until: Some(until), ..spell };
                self.spells.entry(key).or_insert(ended);
            }
        }
        self.at = Some(now);
    }

    /// Mean fraction of the cores that each image has used in the half second before the last
    /// listing.
    pub(crate) fn by_image(&self) -> BTreeMap<Arc<str>, f64> {
        let mut used: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        let Some(now) = self.at else { return used };
        for spell in self.spells.values() {
            let length = spell.until.unwrap_or(now).since(spell.from).as_micros();
            let gone = spell.until.map_or(0, |until| now.since(until).as_micros());
            let window = FIGURE_WINDOW.as_micros();
            let covered = length.min(window.saturating_sub(gone));
            *used.entry(Arc::clone(&spell.image)).or_default() +=
                spell.used * covered as f64 / window as f64;
        }
        used
    }
}
