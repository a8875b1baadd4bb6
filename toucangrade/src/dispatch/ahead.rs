//! Facts for the look-ahead: what waits, which work is compared with reservations, and when the runs
//! of each runner will end.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Dispatch;
use super::health::Trust;
use super::message::Effect;
use super::place::{Candidate, Constraints, MIN_SPEED};
use super::plan::Lateness;
use crate::core::{Moment, Span};
use crate::jobs::{Incarnation, Job, Need, Queue, RunKey, Step, TaskKey};
use crate::lookahead::{Learned, Passed, Place, Progress, Reason, Score, Usage, Work, keep_slots};
use crate::pressure::Table;

/// Tasks of a step that wait from which it counts as wide.
const WIDE_COUNT: usize = 16;
/// Part of the largest runner, as a divisor, from which a task counts as large.
const LARGE_PART: u64 = 8;
/// Most steps that a forecast looks at beside those with a reservation.
const PASSED_LIMIT: usize = 64;
/// Time in which a run that was ordered to stop ends.
const STOP_TIME: Span = Span::millis(900);

impl<'a> Constraints<'a> {
    /// Constraints without regard to what waits.
    pub(super) fn plain(step: &'a Step, service: &'a str, table: &'a Table) -> Self {
        let (wanted, score): (&[Need], Score) = (&[], keep_slots);
        Self { step, service, table, trial: false, least: MIN_SPEED, work: None, wanted, score }
    }
}

impl Dispatch {
    /// Marks the room that reservations claim on the candidates.
    pub(super) fn claim_room(
        &mut self,
        now: Moment,
        candidates: &mut [Candidate],
        index: &BTreeMap<Incarnation, usize>,
    ) {
        if !self.lookahead.is_on() {
            return;
        }
        let mut usage: BTreeMap<Arc<str>, Usage> = BTreeMap::new();
        for candidate in candidates.iter() {
            let usage = usage.entry(Arc::clone(&candidate.service)).or_default();
            usage.add(&candidate.capacity, &candidate.free);
        }
        self.lookahead.begin(now, usage);
        let free = |incarnation: &Incarnation| Some(candidates[*index.get(incarnation)?].free);
        let claims = self.lookahead.claims(free);
        for (incarnation, claim) in claims {
            index
                .get(&incarnation)
                .iter()
                .for_each(|at| candidates[**at].claims.push(claim.clone()));
        }
    }

    /// What reservations are compared with for a step of a job, if there are any.
    pub(super) fn work(&self, job: u64, queue: &Queue, step: &Step) -> Option<Work> {
        if !self.lookahead.has_reservations() {
            return None;
        }
        let lateness = self.lateness(self.job_table.jobs.get(&job)?, queue);
        let address = (Arc::clone(&queue.host), Arc::clone(&queue.prefix));
        let upper = self.lookahead.durations.learned(&address).upper();
        let end = upper.filter(|_| !step.lasting).map(|upper| self.lookahead.now() + upper);
        Some(Work { job, urgency: (queue.priority, lateness as u8), end })
    }

    /// Needs that wait and are larger than that of a step, and the score that leaves room for them.
    pub(super) fn larger_wanted(&self, service: &str, step: &Step) -> (Vec<Need>, Score) {
        let (wanted, score) = self.lookahead.wanted(service);
        let larger = wanted.iter().filter(|need| need.millicores > step.need.millicores);
        (larger.copied().collect(), score)
    }

    /// What is to be known of a step with `left` tasks that found no room, if it may get a
    /// reservation and a forecast is due. Filling tasks wait for speed rather than for room.
    pub(super) fn passed_over(
        &self,
        owner: TaskKey,
        queue: &Queue,
        job: &Job,
        left: usize,
    ) -> Option<Passed> {
        let step = &job.steps[usize::from(owner.step)];
        if left == 0 || !self.lookahead.is_due() || step.fills {
            return None;
        }
        let need = step.counted();
        let largest = self.lookahead.usage(&queue.service).largest;
        let reason = if step.gang {
            // Members that run have to end first.
            (left >= step.count as usize).then_some(Reason::Gang)?
        } else if step.label.is_some() {
            Reason::Label
        } else if need.takes_part(&largest, LARGE_PART) {
            Reason::Large
        } else if left >= WIDE_COUNT {
            Reason::Wide
        } else {
            return None;
        };
        let lateness = self.lateness(self.job_table.jobs.get(&job.id)?, queue);
        let urgency = (queue.priority, lateness as u8);
        let (service, count) = (Arc::clone(&queue.service), left as u64);
        let passed = Passed { owner, service, urgency, need, count, reason };
        (lateness != Lateness::Expired).then_some(passed)
    }

    /// Makes, keeps and releases reservations for what this round has passed over.
    pub(super) fn look_ahead(
        &mut self,
        now: Moment,
        candidates: &[Candidate],
        index: &BTreeMap<Incarnation, usize>,
        passed: Vec<Passed>,
    ) {
        if self.lookahead.is_due() {
            let reserved = |passed: &Passed| self.lookahead.is_reserved(passed.owner);
            let passed = passed.into_iter().enumerate();
            let passed = passed.filter(|(at, passed)| *at < PASSED_LIMIT || reserved(passed));
            let passed: Vec<Passed> = passed.map(|(_, passed)| passed).collect();
            let mut places = self.places(now, candidates, &passed);
            let mut lookahead = std::mem::take(&mut self.lookahead);
            lookahead.look(&passed, &mut places, |passed, place| {
                let candidate = index.get(&place.incarnation).map(|at| &candidates[*at]);
                candidate.map_or(0, |candidate| self.most_tasks(passed.owner, candidate))
            });
            self.lookahead = lookahead;
        }
        self.set_lookahead_gauges();
    }

    /// Releases all reservations.
    pub(super) fn clear_lookahead(&mut self) {
        self.lookahead.clear();
        self.set_lookahead_gauges();
    }

    /// Jobs for which room is reserved.
    pub(crate) fn reserved_jobs(&self) -> Vec<u64> {
        self.lookahead.by_age().into_iter().map(|owner| owner.job).collect()
    }

    /// Millicores that were idle for reservations in the last round of placement, and those that
    /// there are.
    pub(crate) fn reserved_idle(&self) -> (u64, u64) {
        self.lookahead.idle()
    }

    fn set_lookahead_gauges(&mut self) {
        if let Some((reservations, idle)) = self.lookahead.changed_gauges() {
            self.out.push(Effect::Gauge { name: "reservations", value: reservations });
            self.out.push(Effect::Gauge { name: "reserved_idle_millicores", value: idle });
        }
    }

    /// Most tasks of a step that a runner may take beside those that it has.
    pub(super) fn most_tasks(&self, owner: TaskKey, candidate: &Candidate) -> u64 {
        let Some(step) = self.step_of(RunKey { task: owner, run: 0 }) else { return 0 };
        if candidate.trust != Trust::Full || !candidate.has_label(step) {
            return 0;
        }
        if step.spread == 0 {
            return u64::MAX;
        }
        let last = TaskKey { index: u16::MAX, ..owner };
        let range = RunKey { task: owner, run: 0 }..=RunKey { task: last, run: u32::MAX };
        let lease = self.fleet.leases.get(&candidate.incarnation);
        let present = lease.map_or(0, |lease| lease.runs.range(range).count());
        u64::from(step.spread).saturating_sub(present as u64)
    }

    /// Runners of the services of what was passed over, with the expected ends of their runs.
    pub(super) fn places(
        &self,
        now: Moment,
        candidates: &[Candidate],
        passed: &[Passed],
    ) -> BTreeMap<Arc<str>, Vec<Place>> {
        let mut assigned: BTreeMap<&Incarnation, Vec<RunKey>> = BTreeMap::new();
        for (key, incarnation) in &self.assigning {
            assigned.entry(incarnation).or_default().push(*key);
        }
        let mut addresses = BTreeMap::new();
        let mut places: BTreeMap<Arc<str>, Vec<Place>> = BTreeMap::new();
        for passed in passed {
            places.entry(Arc::clone(&passed.service)).or_default();
        }
        for candidate in candidates {
            let Some(places) = places.get_mut(&candidate.service) else { continue };
            let mut ends = Vec::new();
            let lease = self.fleet.leases.get(&candidate.incarnation);
            for (key, run) in lease.iter().flat_map(|lease| &lease.runs) {
                let progress = Progress { began: run.sent, seen: run.seen, percent: run.percent };
                let end = if self.closing.contains(key) {
                    Some(now)
                } else if run.stop {
                    Some(now + STOP_TIME)
                } else if run.lasting {
                    None
                } else {
                    self.expected_end(now, key.task.job, progress, &mut addresses)
                };
                ends.extend(end.map(|end| (end, run.need)));
            }
            for key in assigned.get(&candidate.incarnation).into_iter().flatten() {
                let Some(step) = self.step_of(*key).filter(|step| !step.lasting) else { continue };
                let progress = Progress { began: now, seen: now, percent: 0 };
                let end = self.expected_end(now, key.task.job, progress, &mut addresses);
                ends.extend(end.map(|end| (end, step.counted())));
            }
            ends.sort_unstable_by_key(|(end, _)| *end);
            let (free, claimed, most) = (candidate.free, Need::default(), 0);
            let incarnation = candidate.incarnation.clone();
            places.push(Place { incarnation, free, ends, claimed, most });
        }
        places
    }

    /// When a run of a job will probably end. `learned` holds what was looked up for other runs, as
    /// most jobs have several.
    fn expected_end(
        &self,
        now: Moment,
        job: u64,
        progress: Progress,
        learned: &mut BTreeMap<u64, Learned>,
    ) -> Option<Moment> {
        let learned = learned.entry(job).or_insert_with(|| {
            let entry = self.job_table.jobs.get(&job);
            let queue = entry.and_then(|entry| self.job_table.queue(&entry.job.queue));
            let address = queue.map(|queue| (Arc::clone(&queue.host), Arc::clone(&queue.prefix)));
            address.map(|address| self.lookahead.durations.learned(&address)).unwrap_or_default()
        });
        learned.expected_end(now, progress)
    }
}
