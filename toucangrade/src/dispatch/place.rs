//! Choice of a runner for a task: checks which candidates fit, and ranks those.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::health::Trust;
use crate::core::Name;
use crate::jobs::{Incarnation, Need, Step};
use crate::lookahead::{Claim, Room, Score, Work};
use crate::overload::HALF_SPEED;
use crate::pressure::{Headroom, Table, share_within};

/// Average share of their reserved cores that lasting tasks use, in percent; the reservation covers
/// their peak.
const RESERVED_USE_PERCENT: u64 = 50;
/// Smallest fraction of full speed at which a filling task is started, except for trials. Below this
/// it would miss its objective while holding memory that another task could use.
pub(super) const MIN_SPEED: f64 = HALF_SPEED;
/// Slowness in percent above which a runner is not chosen for the gap that a task leaves elsewhere.
const GAP_SLOWNESS: u64 = 130;

/// Reason for which a runner is not eligible for a task.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Exclusion {
    /// It is barred after failures, or on trial with another task.
    Barred,
    /// A filling task would be too slow, as others use its cores or it is slow itself.
    Cores,
    /// Its data centre is evacuated.
    Evacuated,
    /// A filling task would be too slow, as it may disturb tasks with a latency target.
    Interference,
    /// It lacks the label that the step requires.
    Label,
    /// It is draining.
    Leaving,
    /// Its room is reserved for another step that waits.
    Reserved,
    /// It has too little free room.
    Room,
    /// It belongs to another service.
    Service,
    /// It has not answered or been reported for too long, it is not known yet, or its port refuses
    /// connections.
    Silent,
    /// It starts slowly and has had all starts of the present step.
    SlowStart,
    /// It already runs as many tasks of the step as the step's spread allows.
    Spread,
}

/// A runner with its free resources, as seen by one round of placement.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Name,
    pub(super) incarnation: Incarnation,
    pub(super) service: Arc<str>,
    pub(super) labels: Vec<Arc<str>>,
    pub(super) capacity: Need,
    /// Room not taken by counted tasks.
    pub(super) free: Need,
    /// Millicores requested by filling tasks.
    pub(super) filling: u64,
    /// Millicores reserved by lasting tasks, which leave part of them unused.
    pub(super) reserved: u64,
    /// Tasks with a latency target.
    pub(super) serving: u32,
    /// Interference that the tasks with a latency target can still take.
    pub(super) headroom: Headroom,
    /// Fraction of the cores that an image may use by `headroom`, for images asked for so far.
    pub(super) limits: BTreeMap<Arc<str>, f64>,
    /// Whether `limits` lacks the tasks that were allocated in this round.
    pub(super) allocated: bool,
    /// Whether a filling task was started so recently that its effect is not known yet.
    pub(super) settling: bool,
    /// Slowness relative to other runners, in percent.
    pub(super) slowness: u64,
    /// Tasks that may be placed on it.
    pub(super) trust: Trust,
    /// Whether an order would probably reach it now.
    pub(super) reachable: bool,
    /// Whether it is neither cold nor in a slow start.
    pub(super) warm: bool,
    /// Starts that it may still get in this step of its slow start.
    pub(super) starts: Option<u32>,
    /// Reservations of its room.
    pub(super) claims: Vec<Claim>,
}

impl Candidate {
    /// Millicores that filling tasks can share: free ones and the unused part of reserved ones.
    fn spare_cores(&self) -> u64 {
        let unused = self.reserved.saturating_mul(100 - RESERVED_USE_PERCENT) / 100;
        self.free.millicores.saturating_add(unused)
    }

    fn fraction(&self, millicores: u64) -> f64 {
        millicores as f64 / self.capacity.millicores.max(1) as f64
    }

    fn limit(&mut self, table: &Table, image: &Arc<str>) -> f64 {
        if let Some(limit) = self.limits.get(image) {
            return *limit;
        }
        let limit = self.headroom.limit(table, image);
        self.limits.insert(Arc::clone(image), limit);
        limit
    }

    /// Fraction of full speed at which one more filling task would run.
    pub(super) fn speed(&mut self, table: &Table, step: &Step) -> f64 {
        let allowed = self.allowed(table, step);
        allowed.min(self.cores_speed(step)) * 100.0 / self.slowness.max(1) as f64
    }

    /// Fraction of full speed that the tasks with a latency target leave one more filling task.
    pub(super) fn allowed(&mut self, table: &Table, step: &Step) -> f64 {
        let asked = self.fraction(step.need.millicores);
        let limit = step.image.as_ref().map(|image| self.limit(table, image));
        let limit = limit.unwrap_or_else(|| self.headroom.limit(table, ""));
        share_within(limit, asked)
    }

    /// Fraction of full speed for which one more filling task finds unused cores.
    pub(super) fn cores_speed(&self, step: &Step) -> f64 {
        let wanted = self.filling.saturating_add(step.need.millicores).max(1);
        (self.spare_cores() as f64 / wanted as f64).min(1.0)
    }

    /// Reason for which a filling task would be too slow here.
    pub(super) fn slow_reason(&mut self, table: &Table, step: &Step) -> Option<Exclusion> {
        if !step.fills || self.speed(table, step) >= MIN_SPEED {
            None
        } else if self.allowed(table, step) < MIN_SPEED {
            Some(Exclusion::Interference)
        } else {
            Some(Exclusion::Cores)
        }
    }

    /// Whether the runner has the label that the step requires, if any.
    pub(super) fn has_label(&self, step: &Step) -> bool {
        let Some(label) = &step.label else { return true };
        self.labels.iter().any(|own| own == label)
    }

    /// Whether a filling task that has waited long may start here although the estimates slow it down.
    /// Its agent paces it, and tries it at a small share while no latency is too close to its target.
    /// One task of a gang alone would not work, so a gang is started whole.
    fn takes_trial(&self, step: &Step) -> bool {
        (step.gang || !self.settling) && self.cores_speed(step) >= MIN_SPEED
    }

    /// Reason for which this runner can't take a task of the step; `siblings` is the number of
    /// tasks of the step that it already runs.
    pub(super) fn mismatch(&self, step: &Step, service: &str, siblings: u32) -> Option<Exclusion> {
        if *self.service != *service {
            Some(Exclusion::Service)
        } else if !self.has_label(step) {
            Some(Exclusion::Label)
        } else if step.spread > 0 && siblings >= step.spread {
            Some(Exclusion::Spread)
        } else if !self.free.holds(&step.counted()) {
            Some(Exclusion::Room)
        } else if self.starts == Some(0) {
            Some(Exclusion::SlowStart)
        } else {
            None
        }
    }

    /// Whether the runner's earlier failures exclude a task of the step.
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

    /// Subtracts the resources of a task.
    pub(super) fn allocate(&mut self, table: &Table, step: &Step) {
        self.free.remove(&step.counted());
        self.starts = self.starts.map(|starts| starts.saturating_sub(1));
        if step.fills {
            self.filling = self.filling.saturating_add(step.need.millicores);
            let image = step.image.as_deref().unwrap_or_default();
            let asked = self.fraction(step.need.millicores);
            self.headroom.spend(table, image, asked);
            self.limits.clear();
            self.allocated = true;
            self.settling = true;
        }
        if step.lasting {
            self.reserved = self.reserved.saturating_add(step.need.millicores);
        }
        self.serving += u32::from(step.target > 0);
        // The members of a gang are one trial.
        if !step.gang {
            self.begin_trial();
        }
    }

    /// Takes no further task on trial.
    pub(super) fn begin_trial(&mut self) {
        if self.trust == Trust::Trial {
            self.trust = Trust::LastResort;
        }
    }
}

/// Scales the ratio of `part` to `whole` to `0..=scale`.
fn share(part: u64, whole: u64, scale: u64) -> u64 {
    let share = u128::from(part) * u128::from(scale) / u128::from(whole.max(1));
    u64::try_from(share).unwrap_or(u64::MAX).min(scale)
}

/// What a task of a step requires of its runner.
#[derive(Clone, Copy)]
pub(super) struct Constraints<'a> {
    pub(super) step: &'a Step,
    /// Service whose runners may run the task.
    pub(super) service: &'a str,
    /// Estimates of how images interfere with each other.
    pub(super) table: &'a Table,
    /// Whether the task may start although it would be slowed down to protect latency targets.
    pub(super) trial: bool,
    /// Smallest fraction of full speed at which a filling task is started, except for trials.
    pub(super) least: f64,
    /// What reservations are compared with; `None` if the task needs not respect them.
    pub(super) work: Option<&'a Work>,
    /// Needs of other steps that wait, for which room is left.
    pub(super) wanted: &'a [Need],
    /// Ranks runners by the room that is left for `wanted`.
    pub(super) score: Score,
}

impl Constraints<'_> {
    /// Whether the reservations on a candidate admit the task.
    pub(super) fn admitted(&self, candidate: &Candidate) -> bool {
        let Some(work) = self.work else { return true };
        candidate.claims.iter().all(|claim| claim.admits(work, &self.step.counted()))
    }

    /// Rank of a candidate by the room that the task leaves there for what waits.
    fn gap(&self, candidate: &Candidate) -> u64 {
        // A slow runner would delay the task for longer than the others wait for room.
        if self.wanted.is_empty() || candidate.slowness > GAP_SLOWNESS {
            return 0;
        }
        let before = candidate.free;
        let mut after = before;
        after.remove(&self.step.counted());
        (self.score)(&Room { before, after }, self.wanted)
    }
}

/// Rank of a candidate: its trust, whether its reservations admit the task, whether it is on the
/// requested rack, and a rank by the kind of the task.
type Rank = (Trust, bool, bool, (u64, u64, u64));

/// Ranks of all candidates for the tasks of a step; `None` for those that are not eligible.
///
/// Tasks with a latency target are packed onto few runners, so that the others stay free for
/// filling tasks, which would disturb them. Filling tasks go where they run fastest: where cores
/// are unused, and where they disturb no task with a latency target, and then rather beside such tasks
/// than on a runner without any; trials go where the tasks with
/// a latency target have most headroom. Other tasks go where the
/// largest share of the cores stays free. Runners on trial come last.
pub(super) struct Ranking<'a> {
    constraints: Constraints<'a>,
    /// Number of tasks of the step on each candidate.
    siblings: Vec<u32>,
    ranks: Vec<Option<Rank>>,
}

impl<'a> Ranking<'a> {
    pub(super) fn new(
        candidates: &mut [Candidate],
        mut constraints: Constraints<'a>,
        siblings: Vec<u32>,
    ) -> Self {
        constraints.trial = constraints.trial && has_spare_room(candidates, constraints, &siblings);
        let ranks = candidates.iter_mut().zip(&siblings).map(|(c, n)| rank(c, constraints, *n));
        let ranks = ranks.collect();
        Self { constraints, siblings, ranks }
    }

    /// Index of the best candidate for a task, if any is eligible. Among those of the same trust,
    /// unreachable ones come last, and before them those on whose agents the task has failed. With
    /// `only`, the runner of that agent is the only candidate.
    pub(super) fn best(
        &self,
        candidates: &[Candidate],
        avoided: Option<&BTreeSet<Name>>,
        only: Option<&Name>,
    ) -> Option<usize> {
        let ranked = self.ranks.iter().enumerate().filter_map(|(at, rank)| {
            if only.is_some_and(|only| *only != candidates[at].agent) {
                return None;
            }
            let (trust, admitted, rack, rank) = (*rank)?;
            let failed = avoided.is_some_and(|avoided| avoided.contains(&candidates[at].agent));
            let reachable = candidates[at].reachable;
            Some(((trust, reachable, !failed, admitted, rack, rank), at))
        });
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, at)| at)
    }

    /// Positions of the eligible candidates, from the best one.
    pub(super) fn order(&self, candidates: &[Candidate]) -> Vec<usize> {
        let mut ranked: Vec<_> = (0..candidates.len())
            .filter_map(|at| Some((self.ranks[at]?, candidates[at].reachable, at)))
            .map(|((trust, admitted, rack, rank), open, at)| {
                ((trust, open, admitted, rack, rank), at)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().rev().map(|(_, at)| at).collect()
    }

    /// Allocates a task to a candidate.
    pub(super) fn allocate(&mut self, candidates: &mut [Candidate], at: usize) {
        let Constraints { step, table, work, .. } = self.constraints;
        candidates[at].allocate(table, step);
        if let Some(work) = work {
            let need = step.counted();
            candidates[at].claims.iter_mut().for_each(|claim| claim.take(work, &need));
        }
        self.siblings[at] += 1;
        self.ranks[at] = rank(&mut candidates[at], self.constraints, self.siblings[at]);
    }
}

/// Whether trials are worth their memory: at most half of the service's capacity is in use, and there
/// is room for twice the tasks that have to start together. With less room a job that waits for a
/// faster runner is served sooner than one that holds a slow one.
fn has_spare_room(
    candidates: &[Candidate],
    constraints: Constraints<'_>,
    siblings: &[u32],
) -> bool {
    let Constraints { step, service, .. } = constraints;
    let (mut total, mut unused, mut filling) = (Need::default(), Need::default(), 0_u64);
    for candidate in candidates.iter().filter(|candidate| *candidate.service == *service) {
        total.add(&candidate.capacity);
        unused.add(&candidate.free);
        filling = candidate.filling.saturating_add(filling);
    }
    let cores = unused.millicores.saturating_sub(filling);
    if cores < total.millicores / 2 || unused.memory < total.memory / 2 {
        return false;
    }
    let open = candidates.iter().zip(siblings).filter(|(candidate, siblings)| {
        !candidate.barred(step) && candidate.mismatch(step, service, **siblings).is_none()
    });
    let counted = step.counted();
    let slots = open.fold(0, |sum: u64, (c, _)| sum.saturating_add(c.free.times(&counted)));
    slots >= 2 * if step.gang { u64::from(step.count) } else { 1 }
}

fn rank(candidate: &mut Candidate, constraints: Constraints<'_>, siblings: u32) -> Option<Rank> {
    let Constraints { step, service, table, trial, least, .. } = constraints;
    if candidate.barred(step) || candidate.mismatch(step, service, siblings).is_some() {
        return None;
    }
    let admitted = constraints.admitted(candidate);
    // A lasting task has to run wherever there is room for it.
    if !admitted && !step.lasting {
        return None;
    }
    let cores = candidate.capacity.millicores;
    let right_rack = step.rack.is_none() || step.rack.as_ref() == candidate.rack();
    let left = share(candidate.free.millicores - step.counted().millicores, cores, 1_000);
    let rank = if step.fills {
        let speed = candidate.speed(table, step);
        if speed < least {
            if !trial || !candidate.takes_trial(step) {
                return None;
            }
            let headroom = (candidate.headroom.least().clamp(-1.0, 1.0) + 1.0) * 1_000.0;
            let rank = ((speed * 20.0) as u64, headroom as u64, left);
            return Some((candidate.trust, admitted, right_rack, rank));
        }
        // Equally fast runners are ranked by whether they run no task with a latency target, then
        // by free cores.
        let quiet = u64::from(candidate.serving == 0);
        ((speed * 20.0) as u64, quiet, left)
    } else if step.target > 0 {
        (u64::from(candidate.serving > 0), 1_000 - left, u64::from(candidate.warm))
    } else {
        let left = left * 100 / candidate.slowness.max(1);
        (constraints.gap(candidate), left, u64::from(candidate.warm))
    };
    Some((candidate.trust, admitted, right_rack, rank))
}
