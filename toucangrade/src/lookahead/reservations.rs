//! Reservations of room for steps that wait, and what they keep other work from.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::forecast::{Place, Slot, earliest, times};
use super::{Lookahead, Urgency, Work};
use crate::core::{Moment, Span};
use crate::jobs::{Incarnation, Need, TaskKey};

/// Most reservations for one service. The forecasts of further ones rest on those before and are
/// worth little.
pub(super) const SERVICE_LIMIT: usize = 4;
/// Most of a service's capacity that may be idle for reservations, in percent: what wrong forecasts
/// can cost.
const IDLE_PERCENT: u64 = 10;
/// Wait of a wide step before it gets a reservation. Its tasks start one by one, and mostly as fast
/// as others end.
const WIDE_PATIENCE: Span = Span::millis(500);
/// Time by which a forecast may be missed before the reservation counts as pushed back.
const PUSH_TOLERANCE: Span = Span::millis(300);
/// Times that a reservation is pushed back before nothing else is started ahead of it, so that tasks
/// which run past their estimate can't starve the owner.
const PUSHES_LIMIT: u32 = 3;
/// Age at which a reservation is released though its owner has not started: its room stays taken by
/// something that was expected to end.
const AGE_LIMIT: Span = Span::secs(20);
/// Time for which the owner of such a reservation gets no other.
const AGE_PAUSE: Span = Span::secs(2);
/// Interval between two log lines about a reservation that is kept.
const KEPT_EVERY: Span = Span::secs(2);
/// Most other log lines in a second.
pub(super) const LINES_LIMIT: u32 = 8;

/// Why a step gets a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// Its tasks start together or not at all.
    Gang,
    /// Few runners have its label.
    Label,
    /// A task takes a great part of a runner.
    Large,
    /// It has many tasks.
    Wide,
}

/// Why a reservation is released.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Release {
    /// Its job has ended.
    Ended,
    /// Its runners are gone, draining or excluded.
    Lost,
    /// It was held for too long.
    Overdue,
    /// At most half of the service is in use, so that others need no room.
    Slack,
    /// Its tasks have started.
    Started,
    /// It is not known any more when its tasks will fit.
    Unknown,
}

/// A step with tasks for which no runner had room in a round of placement.
#[derive(Clone, Debug)]
pub(crate) struct Passed {
    /// First task of the step.
    pub(crate) owner: TaskKey,
    pub(crate) service: Arc<str>,
    pub(crate) urgency: Urgency,
    /// Room that a task takes.
    pub(crate) need: Need,
    /// Tasks that wait.
    pub(crate) count: u64,
    pub(crate) reason: Reason,
}

/// Counted millicores of a service's runners that take new work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(super) capacity: u64,
    free: u64,
    /// Most of each resource that a runner has.
    pub(crate) largest: Need,
}

impl Usage {
    /// Adds a runner.
    pub(crate) fn add(&mut self, capacity: &Need, free: &Need) {
        self.capacity = self.capacity.saturating_add(capacity.millicores);
        self.free = self.free.saturating_add(free.millicores);
        self.largest = self.largest.most(capacity);
    }

    /// Whether at most half of it is in use.
    fn is_slack(self) -> bool {
        self.free >= self.capacity / 2
    }
}

/// Room reserved on one runner.
#[derive(Clone, Debug)]
struct Hold {
    incarnation: Incarnation,
    tasks: u64,
    start: Moment,
    spare: Need,
}

#[derive(Clone, Debug)]
pub(super) struct Reservation {
    service: Arc<str>,
    urgency: Urgency,
    need: Need,
    reason: Reason,
    made: Moment,
    /// When all tasks were forecast to have room.
    due: Moment,
    pushes: u32,
    holds: Vec<Hold>,
    /// Time of the last log line.
    logged: Moment,
}

/// A reservation as it binds the placement of other work on one runner.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    job: u64,
    urgency: Urgency,
    start: Moment,
    spare: Need,
    /// Whether only work beside the owner is admitted.
    firm: bool,
}

impl Claim {
    /// Whether a task may be placed here: it belongs to the owner or goes before it, ends before the
    /// owner starts, or leaves enough room beside the owner.
    pub(crate) fn admits(&self, work: &Work, need: &Need) -> bool {
        self.precedes(work) || self.spare.holds(need)
    }

    /// Takes the room of a task that was placed here.
    pub(crate) fn take(&mut self, work: &Work, need: &Need) {
        if !self.precedes(work) {
            self.spare.remove(need);
        }
    }

    fn precedes(&self, work: &Work) -> bool {
        let before = !self.firm && work.end.is_some_and(|end| end <= self.start);
        before || self.job == work.job || work.urgency < self.urgency
    }
}

impl Lookahead {
    /// What reservations bind in this round, by runner. `free` returns the free room of a runner that
    /// takes new work. Reservations that would leave more than [`IDLE_PERCENT`] of a service idle don't
    /// bind, newer ones first.
    pub(crate) fn claims(
        &mut self,
        free: impl Fn(&Incarnation) -> Option<Need>,
    ) -> Vec<(Incarnation, Claim)> {
        let mut claims = Vec::new();
        let mut claimed: BTreeMap<Incarnation, u64> = BTreeMap::new();
        let mut idle: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for owner in self.by_age() {
            let Some(reservation) = self.reservations.get_mut(&owner) else { continue };
            let usage = self.usage.get(&reservation.service).copied().unwrap_or_default();
            reservation.holds.retain(|hold| free(&hold.incarnation).is_some());
            if reservation.holds.is_empty() {
                self.release(owner, Release::Lost);
                continue;
            }
            if usage.is_slack() {
                self.release(owner, Release::Slack);
                continue;
            }
            let idle = idle.entry(Arc::clone(&reservation.service)).or_default();
            for hold in &reservation.holds {
                let Some(free) = free(&hold.incarnation) else { continue };
                let claimed = claimed.entry(hold.incarnation.clone()).or_default();
                let need = times(&reservation.need, hold.tasks).millicores;
                let kept = free.millicores.saturating_sub(*claimed).min(need);
                if *idle + kept > usage.capacity * IDLE_PERCENT / 100 {
                    continue;
                }
                *idle += kept;
                *claimed += need;
                claims.push((hold.incarnation.clone(), reservation.claim(owner.job, hold)));
            }
        }
        self.idle = idle.values().sum();
        claims
    }

    /// Makes, keeps and releases reservations for what a round of placement has passed over, in order
    /// of urgency. `most` returns how many tasks of a step a runner may take at all.
    pub(crate) fn look(
        &mut self,
        passed: &[Passed],
        places: &mut BTreeMap<Arc<str>, Vec<Place>>,
        most: impl Fn(&Passed, &Place) -> u64,
    ) {
        let now = self.now;
        self.looked = now;
        let rank = |owner: &TaskKey| passed.iter().position(|passed| passed.owner == *owner);
        self.waiting.retain(|owner, _| rank(owner).is_some());
        self.wanted.clear();
        for passed in passed {
            self.waiting.entry(passed.owner).or_insert(now);
            let wanted = self.wanted.entry(Arc::clone(&passed.service)).or_default();
            if !wanted.contains(&passed.need) {
                wanted.push(passed.need);
            }
        }
        for owner in self.by_age() {
            if rank(&owner).is_none() {
                self.release(owner, Release::Started);
            }
        }
        let kept = self.by_age().into_iter().filter_map(|owner| rank(&owner));
        let mut order: Vec<usize> = kept.collect();
        order.extend((0..passed.len()).filter(|at| !order.contains(at)).collect::<Vec<_>>());
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for passed in order.into_iter().map(|at| &passed[at]) {
            let count = counts.entry(Arc::clone(&passed.service)).or_default();
            let Some(places) = places.get_mut(&passed.service) else { continue };
            let since = self.waiting.get(&passed.owner).copied().unwrap_or(now);
            let wide = passed.reason == Reason::Wide;
            let patience = if wide { WIDE_PATIENCE } else { Span::ZERO };
            if *count >= self.limit || now < since + patience {
                continue;
            }
            for place in places.iter_mut() {
                place.most = most(passed, place);
            }
            *count += usize::from(self.reserve(passed, places));
        }
    }

    /// Reserves room for a step, or brings its reservation up to date; whether it has one then.
    fn reserve(&mut self, passed: &Passed, places: &mut [Place]) -> bool {
        let now = self.now;
        let last = self.reservations.get(&passed.owner);
        let kept = |incarnation: &Incarnation| {
            last.is_some_and(|last| last.holds.iter().any(|hold| hold.incarnation == *incarnation))
        };
        let gang = passed.reason == Reason::Gang;
        let slots = earliest(places, now, &passed.need, passed.count, gang, kept);
        let Some(due) = slots.iter().map(|slot| slot.start).max() else {
            self.release(passed.owner, Release::Unknown);
            return false;
        };
        for slot in &slots {
            places[slot.place].claimed.add(&times(&passed.need, slot.tasks));
        }
        let hold = |slot: Slot| Hold {
            incarnation: places[slot.place].incarnation.clone(),
            tasks: slot.tasks,
            start: slot.start,
            spare: slot.spare,
        };
        let holds: Vec<Hold> = slots.into_iter().map(hold).collect();
        let Some(reservation) = self.reservations.get_mut(&passed.owner) else {
            let reservation = Reservation {
                service: Arc::clone(&passed.service),
                urgency: passed.urgency,
                need: passed.need,
                reason: passed.reason,
                made: now,
                due,
                pushes: 0,
                holds,
                logged: now,
            };
            if self.may_log() {
                reservation.log(now, passed.owner, "reservation made");
            }
            self.reservations.insert(passed.owner, reservation);
            return true;
        };
        reservation.urgency = passed.urgency;
        reservation.holds = holds;
        if due > reservation.due + PUSH_TOLERANCE {
            reservation.due = due;
            reservation.pushes += 1;
        }
        if now.since(reservation.made) >= AGE_LIMIT {
            self.waiting.insert(passed.owner, now + AGE_PAUSE);
            self.release(passed.owner, Release::Overdue);
            return false;
        }
        if now.since(reservation.logged) >= KEPT_EVERY {
            reservation.logged = now;
            reservation.log(now, passed.owner, "reservation kept");
        }
        true
    }

    /// Releases the reservation of a step whose tasks were all placed.
    pub(crate) fn started(&mut self, owner: TaskKey) {
        self.release(owner, Release::Started);
    }

    /// Releases the reservations of a job that has ended.
    pub(crate) fn ended(&mut self, job: u64) {
        for owner in self.by_age().into_iter().filter(|owner| owner.job == job) {
            self.release(owner, Release::Ended);
        }
    }

    /// Forgets everything that waits, as nothing does or another instance decides from now on.
    pub(crate) fn clear(&mut self) {
        for owner in self.by_age() {
            self.release(owner, Release::Unknown);
        }
        self.waiting.clear();
        self.wanted.clear();
        self.idle = 0;
    }

    /// Owners of reservations, from the oldest one.
    pub(crate) fn by_age(&self) -> Vec<TaskKey> {
        let mut owners: Vec<_> = self.reservations.iter().map(|(key, r)| (r.made, *key)).collect();
        owners.sort_unstable();
        owners.into_iter().map(|(_, owner)| owner).collect()
    }

    fn release(&mut self, owner: TaskKey, why: Release) {
        let Some(reservation) = self.reservations.remove(&owner) else { return };
        if self.may_log() {
            tracing::info!(
                owner = %owner,
                ?why,
                held_ms = self.now.since(reservation.made).as_millis(),
                pushes = reservation.pushes,
                "reservation released"
            );
        }
    }

    /// Whether one more line may be logged in this second.
    fn may_log(&mut self) -> bool {
        let (since, lines) = self.lines;
        let fresh = self.now.since(since) >= Span::secs(1);
        self.lines = if fresh { (self.now, 1) } else { (since, lines + 1) };
        self.lines.1 <= LINES_LIMIT
    }
}

impl Reservation {
    fn claim(&self, job: u64, hold: &Hold) -> Claim {
        let firm = self.pushes >= PUSHES_LIMIT;
        Claim { job, urgency: self.urgency, start: hold.start, spare: hold.spare, firm }
    }

    fn log(&self, now: Moment, owner: TaskKey, what: &str) {
        tracing::info!(
            owner = %owner,
            reason = ?self.reason,
            service = %self.service,
            tasks = self.holds.iter().map(|hold| hold.tasks).sum::<u64>(),
            runners = self.holds.len(),
            first = self.holds.first().map(|hold| hold.incarnation.runner.as_str()),
            millicores = self.need.millicores,
            memory_mb = self.need.memory,
            due_ms = self.due.since(now).as_millis(),
            pushes = self.pushes,
            "{what}"
        );
    }
}
