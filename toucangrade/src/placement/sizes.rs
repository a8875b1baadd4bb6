//! Sizes corrected by what tasks of a kind used.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::{Name, Span};
use crate::learned::{Kind, Ratio};
use crate::quota::Size;

/// Runs of a kind that finished or settled before its declared size is corrected.
const MIN_RUNS: f64 = 4.0;
/// Weight that remains of a run with each later run of the kind.
const RUN_DECAY: f64 = 0.97;
/// Standard deviations above the mean ratio that cores are granted.
///
/// Cores above the grant only slow a task down, so little more than the mean is enough: with one
/// deviation, work was 4% lower.
const CORES_MARGIN: f64 = 0.25;
/// Standard deviations above the mean ratio that memory is granted.
///
/// Memory above the grant stops a task, early in its run and so with little work lost, while memory
/// that is granted and not used keeps other tasks out: under wrong sizes at Klopca, three deviations
/// left 0.27 of all memory granted and never needed.
const MEMORY_MARGIN: f64 = 1.5;
/// Factor on a ratio that was measured at the grant and may have been cut off there.
const CENSORED: f64 = 1.1;

impl Ratio {
    fn observe(&mut self, ratio: f64) {
        self.weight = self.weight * RUN_DECAY + 1.0;
        self.sum = self.sum * RUN_DECAY + ratio;
        self.square = self.square * RUN_DECAY + ratio * ratio;
    }

    /// Mean plus `margin` deviations; the deviation is taken wider while runs are few.
    fn upper(&self, margin: f64) -> f64 {
        let mean = self.sum / self.weight;
        let spread = (self.square / self.weight - mean * mean).max(0.0).sqrt();
        mean + margin * (spread * (1.0 + 1.0 / self.weight.sqrt()) + 0.02 * mean)
    }
}

/// Ratios of all kinds.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Sizes {
    kinds: BTreeMap<Name, Kind>,
}

impl Sizes {
    /// Takes in the peak of a run under `grant` that finished or whose memory has settled.
    pub(super) fn observe(&mut self, kind: &Name, declared: Size, grant: Size, peak: Size) {
        if declared.cores == 0 || declared.memory == 0 || peak.cores == 0 {
            return;
        }
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.clone(), Kind::default());
        }
        let Some(ratios) = self.kinds.get_mut(kind) else {
            return;
        };
        let cut = if peak.cores * 1_000 >= grant.cores * 995 { CENSORED } else { 1.0 };
        let cores = peak.cores as f64 / declared.cores as f64;
        ratios.cores.observe(cores * cut);
        ratios.memory.observe(peak.memory as f64 / declared.memory as f64);
    }

    /// Takes in a guard stop after which a run of the kind is granted `memory` MB.
    pub(super) fn outgrown(&mut self, kind: &Name, declared: Size, memory: u64) {
        let kind = self.kinds.entry(kind.clone()).or_default();
        let ratio = memory as f64 / declared.memory.max(1) as f64;
        kind.floor = kind.floor.max(ratio);
    }

    /// All kinds, for the summary that a new leader starts from.
    pub(super) fn learned(&self) -> Vec<(Name, Kind)> {
        self.kinds.iter().map(|(name, &kind)| (name.clone(), kind)).collect()
    }

    /// Takes over the ratios of a kind that another planner learned up to `age` ago.
    pub(super) fn restore(&mut self, name: &Name, kind: &Kind, age: Span) {
        if kind.is_valid() {
            let Kind { cores, floor, memory } = *kind;
            let aged = Kind { cores: cores.aged(age), floor, memory: memory.aged(age) };
            self.kinds.insert(name.clone(), aged);
        }
    }

    /// Grant for a job of a kind; `least` is the memory that the job is known to need.
    ///
    /// Accelerators are whole devices and keep their declared number.
    pub(super) fn grant(&self, kind: &Name, declared: Size, least: u64) -> Size {
        let mut grant = declared;
        if let Some(ratios) = self.kinds.get(kind) {
            if ratios.cores.weight >= MIN_RUNS {
                let cores = ratios.cores.upper(CORES_MARGIN).clamp(0.05, 4.0);
                let memory = ratios.memory.upper(MEMORY_MARGIN).clamp(0.05, 6.0);
                grant.cores = scale(declared.cores, cores).max(100);
                grant.memory = scale(declared.memory, memory).max(64);
            } else {
                grant.memory = scale(declared.memory, ratios.floor.max(1.0));
            }
        }
        grant.memory = grant.memory.max(least);
        grant
    }
}

/// `value` times `factor`, rounded up.
pub(super) fn scale(value: u64, factor: f64) -> u64 {
    (value as f64 * factor).ceil() as u64
}
