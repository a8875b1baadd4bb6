//! Choice of a runner for a small task while larger ones wait.

use crate::jobs::Need;

/// Room of a runner before and after a task is placed there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    pub(crate) before: Need,
    pub(crate) after: Need,
}

/// Rank of a runner for a task, given the needs that wait; greater is better.
pub(crate) type Score = fn(&Room, &[Need]) -> u64;

/// Greatest rank.
const BEST: u64 = 1_000;

/// Prefers runners on which as many of the waiting needs fit afterwards as before.
pub(crate) fn keep_slots(room: &Room, wanted: &[Need]) -> u64 {
    let lost = |need: &Need| room.before.times(need).saturating_sub(room.after.times(need));
    BEST.saturating_sub(wanted.iter().map(lost).fold(0, u64::saturating_add))
}
