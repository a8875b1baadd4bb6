//! Corrects the declared sizes of jobs by the measured usage of tasks of the same kind.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::core::{Name, Span};
use crate::learned::{Kind, Ratio};
use crate::quota::Size;

/// Decayed number of measured runs of a kind before its declared size is corrected; a run counts
/// once it has finished or its memory has stopped growing.
const MIN_RUNS: f64 = 4.0;
/// Factor by which the weight of a run decays with each later run of the kind.
const RUN_DECAY: f64 = 0.97;
/// Margin of granted cores, in standard deviations above the mean ratio.
///
/// Needing more cores than granted only slows a task down, so little more than the mean is enough:
/// with one deviation, work was 4% lower.
const CORES_MARGIN: f64 = 0.25;
/// Margin of granted memory, in standard deviations above the mean ratio.
///
/// A task that exceeds its granted memory is stopped, but early in its run and so with little work
/// lost, while granted memory that is unused keeps other tasks out: with wrong declared sizes at
/// Klopca, three deviations left 0.27 of all memory granted but never needed.
const MEMORY_MARGIN: f64 = 1.5;
/// Factor on a ratio measured at the granted cores, which may have capped the usage.
const CENSORED_FACTOR: f64 = 1.1;

impl Ratio {
    /// Adds a run to the decayed sums.
    fn observe(&mut self, ratio: f64) {
        self.weight = self.weight * RUN_DECAY + 1.0;
        self.sum = self.sum * RUN_DECAY + ratio;
        self.square = self.square * RUN_DECAY + ratio * ratio;
    }

    /// Mean plus `margin` standard deviations; the deviation is widened while runs are few.
    fn upper_bound(&self, margin: f64) -> f64 {
        let mean = self.sum / self.weight;
        let spread = (self.square / self.weight - mean * mean).max(0.0).sqrt();
        mean + margin * (spread * (1.0 + 1.0 / self.weight.sqrt()) + 0.02 * mean)
    }
}

/// Ratios of used to declared size for all kinds.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Sizes {
    kinds: BTreeMap<Name, Kind>,
}

impl Sizes {
    /// Learns from the peak usage of a run under `grant` that has finished or whose memory has
    /// stopped growing.
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
        let factor = if peak.cores * 1_000 >= grant.cores * 995 { CENSORED_FACTOR } else { 1.0 };
        let cores = peak.cores as f64 / declared.cores as f64;
        ratios.cores.observe(cores * factor);
        ratios.memory.observe(peak.memory as f64 / declared.memory as f64);
    }

    /// After a guard stop, raises the minimum memory ratio of the kind to that of `memory` MB.
    pub(super) fn raise_floor(&mut self, kind: &Name, declared: Size, memory: u64) {
        let kind = self.kinds.entry(kind.clone()).or_default();
        let ratio = memory as f64 / declared.memory.max(1) as f64;
        kind.floor = kind.floor.max(ratio);
    }

    /// Ratios of all kinds, for the summary that a new leader starts from.
    pub(super) fn learned(&self) -> Vec<(Name, Kind)> {
        self.kinds.iter().map(|(name, &kind)| (name.clone(), kind)).collect()
    }

    /// Restores the ratios of a kind that another planner learned `age` ago.
    pub(super) fn restore(&mut self, name: &Name, kind: &Kind, age: Span) {
        if kind.is_valid() {
            let Kind { cores, floor, memory } = *kind;
            let aged = Kind { cores: cores.aged(age), floor, memory: memory.aged(age) };
            self.kinds.insert(name.clone(), aged);
        }
    }

    /// Size to grant to a job; `least` is the memory in MB that the job is known to need.
    ///
    /// Accelerators are whole devices and keep their declared number.
    pub(super) fn grant(&self, kind: &Name, declared: Size, least: u64) -> Size {
        let mut grant = declared;
        if let Some(ratios) = self.kinds.get(kind) {
            if ratios.cores.weight >= MIN_RUNS {
                let cores = ratios.cores.upper_bound(CORES_MARGIN).clamp(0.05, 4.0);
                let memory = ratios.memory.upper_bound(MEMORY_MARGIN).clamp(0.05, 6.0);
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
