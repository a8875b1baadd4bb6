//! The earliest time and place at which the tasks of a step fit, from what runs and when it ends.

use crate::core::{Moment, Span};
use crate::jobs::{Incarnation, Need};

/// Time by which a runner that is reserved already may be later than another one and is still kept.
/// Without it a reservation moves with each small difference between forecasts, and the room that
/// was kept so far is lost each time.
const KEEP_GAIN: Span = Span::millis(500);

/// A runner as a forecast sees it.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) incarnation: Incarnation,
    pub(crate) free: Need,
    /// Expected ends of its runs with the room that each leaves, in order of time.
    pub(crate) ends: Vec<(Moment, Need)>,
    /// Room that is reserved already.
    pub(crate) claimed: Need,
    /// Most tasks of the step that may run here beside those that do.
    pub(crate) most: u64,
}

/// Part of a forecast: tasks that fit on one runner.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// Position of the runner.
    pub(super) place: usize,
    pub(super) tasks: u64,
    pub(super) start: Moment,
    /// Room that is left beside the tasks and earlier reservations at `start`.
    pub(super) spare: Need,
}

impl Place {
    /// Room beside earlier reservations once the runs that end until `at` have ended.
    fn room(&self, at: Moment) -> Need {
        let mut room = self.free;
        self.ends.iter().take_while(|(end, _)| *end <= at).for_each(|(_, need)| room.add(need));
        room.remove(&self.claimed);
        room
    }

    /// Times from which each of up to `limit` tasks fits.
    fn starts(&self, now: Moment, need: &Need, limit: u64) -> Vec<Moment> {
        let limit = limit.min(self.most);
        let mut starts = Vec::new();
        let mut room = self.free;
        let fits = |room: &Need| {
            let mut left = *room;
            left.remove(&self.claimed);
            if room.holds(&self.claimed) { left.times(need).min(limit) } else { 0 }
        };
        starts.resize(fits(&room) as usize, now);
        for (end, ended) in &self.ends {
            if starts.len() as u64 >= limit {
                break;
            }
            room.add(ended);
            let count = fits(&room) as usize;
            if count > starts.len() {
                starts.resize(count, *end);
            }
        }
        starts
    }
}

/// The earliest slots for up to `count` tasks. If they work only together, there are none unless all
/// fit, and all start when the last one can. Runners for which `kept` holds are preferred.
pub(super) fn earliest(
    places: &[Place],
    now: Moment,
    need: &Need,
    count: u64,
    gang: bool,
    kept: impl Fn(&Incarnation) -> bool,
) -> Vec<Slot> {
    let mut starts: Vec<(Moment, Moment, usize)> = Vec::new();
    for (at, place) in places.iter().enumerate() {
        let gain = if kept(&place.incarnation) { KEEP_GAIN } else { Span::ZERO };
        let own = place.starts(now, need, count);
        starts.extend(own.into_iter().map(|start| (start - gain, start, at)));
    }
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    if gang && starts.len() < count {
        return Vec::new();
    }
    starts.sort_unstable();
    starts.truncate(count);
    let last = starts.iter().map(|(_, start, _)| *start).max().unwrap_or(now);
    let mut slots: Vec<Slot> = Vec::new();
    starts.sort_unstable_by_key(|(_, start, at)| (*at, *start));
    for (_, start, place) in starts {
        let start = if gang { last } else { start };
        match slots.last_mut() {
            Some(slot) if slot.place == place => {
                slot.tasks += 1;
                slot.start = start;
            },
            _ => slots.push(Slot { place, tasks: 1, start, spare: Need::default() }),
        }
    }
    for slot in &mut slots {
        slot.spare = places[slot.place].room(slot.start);
        slot.spare.remove(&times(need, slot.tasks));
    }
    slots
}

/// When the first of `count` tasks is expected to have room, and all of them if they work only
/// together; `None` if it is not known.
pub(crate) fn expected_start(
    places: &[Place],
    now: Moment,
    need: &Need,
    count: u64,
    gang: bool,
) -> Option<Moment> {
    let slots = earliest(places, now, need, count, gang, |_| false);
    slots.iter().map(|slot| slot.start).min()
}

/// `need` for `tasks` tasks.
pub(super) fn times(need: &Need, tasks: u64) -> Need {
    Need {
        millicores: need.millicores.saturating_mul(tasks),
        memory: need.memory.saturating_mul(tasks),
        accelerators: need.accelerators.saturating_mul(tasks),
    }
}
