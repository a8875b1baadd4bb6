//! Choice of a runner for a task.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;

use super::health::Trust;
use crate::core::Name;
use crate::jobs::{Life, Need, Step};
use crate::pressure::{Headroom, Table};

/// Share of the cores reserved by lasting tasks that they use on average, in percent. They are
/// sized for their peak.
const RESERVED_USE_PERCENT: u64 = 50;
/// Least part of its speed at which a filling task starts; with less it would miss its objective,
/// and hold memory that another could use.
const LEAST_SPEED: f64 = 0.5;

/// Why a runner does not get a task.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Passed {
    /// It failed too many tasks, or is on trial with another.
    Barred,
    /// It lacks the label that the step asks for.
    Label,
    /// It is about to leave.
    Leaving,
    /// The task does not fit into what is left.
    Room,
    /// It belongs to another service.
    Service,
    /// Nothing was heard of it for too long, or its port refuses connections.
    Silent,
    /// It runs as many tasks of the step as the step allows.
    Spread,
}

/// A runner that may take tasks, with what is left on it.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Name,
    pub(super) life: Life,
    pub(super) service: Arc<str>,
    pub(super) labels: Vec<Arc<str>>,
    pub(super) capacity: Need,
    /// Room that is not taken.
    pub(super) free: Need,
    /// Millicores asked for by tasks that fill.
    pub(super) filling: u64,
    /// Millicores that lasting tasks reserve and mostly leave unused.
    pub(super) reserved: u64,
    /// Tasks there that have a tail latency to keep.
    pub(super) serving: u32,
    /// How much those can be disturbed.
    pub(super) headroom: Headroom,
    /// Slowness in percent.
    pub(super) slowness: u64,
    /// What it may be given.
    pub(super) trust: Trust,
}

impl Candidate {
    /// Millicores that tasks which fill can share.
    fn leftover(&self) -> u64 {
        let unused = self.reserved.saturating_mul(100 - RESERVED_USE_PERCENT) / 100;
        self.free.millicores.saturating_add(unused)
    }

    fn part(&self, millicores: u64) -> f64 {
        millicores as f64 / self.capacity.millicores.max(1) as f64
    }

    /// Part of its full speed at which another filling task would work.
    pub(super) fn speed(&self, table: &Table, step: &Step) -> f64 {
        let image = step.image.as_deref().unwrap_or_default();
        let asked = self.part(step.need.millicores);
        let allowed = self.headroom.part(table, image, asked);
        let wanted = self.filling.saturating_add(step.need.millicores).max(1);
        let cores = self.leftover() as f64 / wanted as f64;
        allowed.min(cores).min(1.0) * 100.0 / self.slowness.max(1) as f64
    }

    fn label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }

    /// Why this runner can't take a task of the step; `beside` is how many of them it runs.
    pub(super) fn misfit(&self, step: &Step, service: &str, beside: u32) -> Option<Passed> {
        if *self.service != *service {
            Some(Passed::Service)
        } else if step.label.as_ref().is_some_and(|label| !self.label(label)) {
            Some(Passed::Label)
        } else if step.spread > 0 && beside >= step.spread {
            Some(Passed::Spread)
        } else if !self.free.holds(&step.counted()) {
            Some(Passed::Room)
        } else {
            None
        }
    }

    /// Whether earlier failures keep a task of the step away.
    pub(super) fn barred(&self, step: &Step) -> bool {
        match self.trust {
            Trust::Full | Trust::Trial => false,
            Trust::LastResort => !step.lasting,
            Trust::Barred => true,
        }
    }

    fn rack(&self) -> Option<&Arc<str>> {
        self.labels.get(1)
    }

    /// Takes the room of a task.
    pub(super) fn take(&mut self, table: &Table, step: &Step) {
        self.free.remove(&step.counted());
        if step.fills {
            self.filling = self.filling.saturating_add(step.need.millicores);
            let image = step.image.as_deref().unwrap_or_default();
            let asked = self.part(step.need.millicores);
            self.headroom.spend(table, image, asked);
        }
        if step.lasting {
            self.reserved = self.reserved.saturating_add(step.need.millicores);
        }
        self.serving += u32::from(step.target > 0);
        if self.trust != Trust::Full {
            self.trust = Trust::Barred;
        }
    }
}

/// `part` of `whole` as a share of `scale`, at most `scale`.
fn share(part: u64, whole: u64, scale: u64) -> u64 {
    let share = u128::from(part) * u128::from(scale) / u128::from(whole.max(1));
    u64::try_from(share).unwrap_or(u64::MAX).min(scale)
}

/// What a choice for one task has to respect beside room.
pub(super) struct Limits<'a> {
    /// Service whose runners may do the work.
    pub(super) service: &'a str,
    /// Tasks of the step on each candidate.
    pub(super) beside: &'a [u32],
    /// Agents on which the task has failed.
    pub(super) avoided: &'a BTreeSet<Name>,
    /// How images disturb each other.
    pub(super) table: &'a Table,
}

/// The best candidate for a task, by position.
///
/// Tasks that serve are packed on few runners, so that others stay free for tasks that fill, which
/// would disturb them. Tasks that fill go to where they work fastest: where cores are left unused,
/// and where they disturb nothing that serves. Other tasks go where the largest share of the cores
/// stays free. Runners on trial come last.
pub(super) fn choose(candidates: &[Candidate], step: &Step, limits: &Limits<'_>) -> Option<usize> {
    let counted = step.counted();
    let fits = |at: usize, candidate: &Candidate| {
        !candidate.barred(step)
            && candidate.misfit(step, limits.service, limits.beside[at]).is_none()
    };
    let open = candidates.iter().enumerate().filter(|(at, c)| fits(*at, c));
    let scored = open.filter_map(|(at, candidate)| {
        let cores = candidate.capacity.millicores;
        let away = step.rack.is_some() && step.rack.as_ref() != candidate.rack();
        let failed = limits.avoided.contains(&candidate.agent);
        let left = share(candidate.free.millicores - counted.millicores, cores, 1_000);
        let rank = if step.fills {
            let speed = candidate.speed(limits.table, step);
            if speed < LEAST_SPEED {
                return None;
            }
            // Among equally fast runners the one with most cores left.
            let quiet = u64::from(candidate.serving == 0);
            ((speed * 20.0) as u64, quiet, left)
        } else if step.target > 0 {
            (u64::from(candidate.serving > 0), 1_000 - left, 0)
        } else {
            (left * 100 / candidate.slowness.max(1), 0, 0)
        };
        Some(((candidate.trust, !failed, !away, rank), at))
    });
    scored.max_by_key(|(score, _)| *score).map(|(_, at)| at)
}
