//! Limits of dispatch.

use crate::core::Span;

/// Length of the leases granted to agents. It has to outlast an election (2 s) and a cut of 5 s,
/// and stays below the 6 s after which runners shorten it.
pub(crate) const GRANT: Span = Span::millis(5_800);
/// How much longer a lease lasts on a runner whose clock is 2% slow, with a reserve of 1%.
pub(crate) const SLOW_CLOCK_PERCENT: u64 = 103;
/// Time in which a runner stops what has lost its lease, and the granularity of its clock.
pub(crate) const LEASE_MARGIN: Span = Span::millis(150);
/// Silence after which a runner gets no new work; agents report at least every 900 ms.
pub(crate) const SILENCE_LIMIT: Span = Span::millis(1_600);
/// Time for which a report waits for orders; it leaves room for a round trip within the 900 ms that
/// an agent's call may take.
pub(crate) const PARK_LIMIT: Span = Span::millis(500);
/// First failures of different tasks in a row after which a runner is barred.
pub(crate) const FAILURES_LIMIT: u32 = 3;
/// First time for which it is barred; it doubles with each trial that fails.
pub(crate) const QUARANTINE: Span = Span::millis(2_000);
/// Longest time between two trials, so that a fault that is over costs no more than this.
pub(crate) const QUARANTINE_LIMIT: Span = Span::millis(4_000);
/// Shortest time between a failure and a lasting task as a trial. A lasting task is to run within
/// 3 s where there is room, and the log takes a few commands for each attempt.
pub(crate) const TRIAL_PAUSE: Span = Span::millis(1_000);
/// Proposals that may be open at once; the log makes those that wait durable with one sync.
pub(crate) const FLIGHTS_LIMIT: usize = 4;
/// Commands in one proposal.
pub(crate) const BATCH_LIMIT: usize = 256;
/// Approximate bytes of one proposal, half of the log's limit of 1 MiB.
pub(crate) const BATCH_BYTES: usize = 512 * 1024;
/// Bytes that a step of a job without its texts, or a small command, takes at most when encoded.
pub(crate) const STEP_BYTES: usize = 256;
/// Time for which the state of an ended job is kept: 120 s are promised.
pub(crate) const STATUS_KEPT: Span = Span::secs(150);
/// Commands and bytes after which a snapshot is taken, so that the log stays far below a disk of
/// 128 MB and is replayed in well under a second.
pub(crate) const SNAPSHOT_COMMANDS: usize = 20_000;
pub(crate) const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;
/// Time between two tables of pressures for one agent, a few kilobytes each.
pub(crate) const TABLE_EVERY: Span = Span::millis(1_500);
/// Time between two looks for runs that would go on better elsewhere; figures are averages over
/// half a second.
pub(crate) const RESCUE_EVERY: Span = Span::millis(500);
/// Time without progress after which a run at full speed is taken for stuck: the longest tasks seen
/// take 5 s, so that a sound one advances a point every 50 ms.
pub(crate) const STUCK_LIMIT: Span = Span::millis(2_500);
/// Time without progress after which a lasting task that is not at work is taken for stuck. It starts
/// within half a second, eight times as long on runners that turn slow.
pub(crate) const STARTUP_LIMIT: Span = Span::millis(5_000);
/// Least share at which a run without progress is taken for stuck, in percent.
pub(crate) const STUCK_SHARE: u8 = 50;
/// Part of its full speed below which a filling run is moved if that helps.
pub(crate) const MOVE_SPEED: f64 = 0.4;
/// Gain of speed that is worth a move, which costs a restore and up to a checkpoint's interval.
pub(crate) const MOVE_GAIN: f64 = 0.4;
/// Least age of a run that is moved, so that its figures are its own.
pub(crate) const MOVE_AGE: Span = Span::millis(1_200);
/// Runs that are moved at a time, since each move changes what the next would find.
pub(crate) const MOVES_LIMIT: usize = 8;
/// Weight of the newest run in the mean duration of a queue's tasks, in percent: the mean follows
/// the last hundred runs.
pub(crate) const DURATION_WEIGHT_PERCENT: u64 = 2;
