//! Constants of dispatch.

use crate::core::Span;

/// Length of the leases granted to agents. It has to outlast an election (2 s) and a network cut of
/// 5 s, and stays below the 6 s after which runners shorten it.
pub(crate) const LEASE_DURATION: Span = Span::millis(5_800);
/// Longest lease that runners accept, unless the settings say otherwise; they shorten longer ones.
pub(crate) const HOLD_LIMIT: Span = Span::secs(10);
/// Time after the last answer of a runner in which its agent still sends orders to it: it does for
/// 700 ms, and gives a call up after 250 ms.
pub(crate) const ORDERS_AFTER_ANSWER: Span = Span::millis(950);
/// Time within which a call that got no answer may be carried out, also by the next incarnation of
/// the runner.
pub(crate) const CALL_LIMIT: Span = Span::secs(12);
/// Time after which an agent counts the answer to a start as overdue.
pub(crate) const ANSWER_OVERDUE: Span = Span::millis(250);
/// Age at which an incarnation has been fenced by its agent, if the agent doesn't say when, as those
/// of earlier versions: 3 s until it is found, and 2 s by which the clocks of instances may differ.
pub(crate) const FENCED_AGE: Span = Span::secs(5);
/// Time after the first listing of a run from which on its holder is recorded in the log: an
/// unanswered start is reported by then.
pub(crate) const SETTLED_AFTER: Span = Span::secs(1);
/// The same for tasks that end by themselves. Most have ended by then, which saves an entry.
pub(crate) const SHORT_SETTLED_AFTER: Span = Span::secs(3);
/// Length of a lease on a runner whose clock is 2% slow, with a reserve of 1%, in percent of
/// [`LEASE_DURATION`].
pub(crate) const SLOW_CLOCK_PERCENT: u64 = 103;
/// Time in which a runner stops runs whose lease has expired, and the granularity of its clock.
pub(crate) const LEASE_MARGIN: Span = Span::millis(150);
/// Silence after which a runner gets no new work; agents report at least every 900 ms.
pub(crate) const SILENCE_LIMIT: Span = Span::millis(1_600);
/// Time after the answer to a report in which the next one is expected, as agents send it at once:
/// the round trip of a slow link, and the confirmation that this instance leads. Runners from whose
/// agents none has arrived by then come last in placement.
pub(crate) const REPORT_GAP: Span = Span::millis(300);
/// Time since a runner's last answer after which its agent holds starts back.
pub(crate) const STARTS_HELD: Span = Span::millis(700);
/// Longest time for which a report is held until there are orders. It leaves room for a round trip
/// within the 900 ms that an agent's call may take.
pub(crate) const PARK_LIMIT: Span = Span::millis(500);
/// Consecutive failures of tasks that had not failed elsewhere, after which a runner is barred.
pub(crate) const FAILURES_LIMIT: u32 = 3;
/// Initial time for which a runner is barred; it doubles with each failed trial.
pub(crate) const QUARANTINE: Span = Span::millis(2_000);
/// Longest time for which a runner is barred: the most that is lost after a fault has gone.
pub(crate) const QUARANTINE_LIMIT: Span = Span::millis(4_000);
/// Time after a runner is barred in which it gets no lasting tasks either; it doubles once a trial
/// has failed. Lasting tasks have to run within 3 s where there is room, and each attempt costs two
/// log entries.
pub(crate) const TRIAL_PAUSE: Span = Span::millis(1_000);
/// Proposals that may be in flight at once. One is being made durable while the next is sent; more
/// would make for smaller proposals, each of which costs messages to all followers and a round of
/// placement.
pub(crate) const PROPOSALS_LIMIT: usize = 2;
/// Most commands in one proposal.
pub(crate) const BATCH_LIMIT: usize = 256;
/// Approximate size limit of one proposal in bytes, half of the log's limit of 1 MiB.
pub(crate) const BATCH_BYTES: usize = 512 * 1024;
/// Upper bound in bytes for an encoded small command, or for a step of a job without its texts.
pub(crate) const STEP_BYTES: usize = 256;
/// Time for which the state of an ended job is kept; callers are promised 120 s. A submission that
/// arrives later is a new job, also after a cancellation.
pub(crate) const JOB_RETENTION: Span = Span::secs(150);
/// Most names of cancelled jobs that are kept without a job. A client that cancels what it never
/// submitted must not fill the memory of control.
pub(crate) const WITHDRAWN_LIMIT: usize = 16_384;
/// Commands and bytes after which a snapshot is taken. They keep the log far below a disk of 128 MB
/// and its replay well under a second.
pub(crate) const SNAPSHOT_COMMANDS: usize = 20_000;
pub(crate) const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;
/// Shortest time between two pressure tables sent to one agent, of a few kilobytes each.
pub(crate) const TABLE_EVERY: Span = Span::millis(1_500);
/// Interval between two checks for stuck runs and draining runners; reported figures are averages
/// over half a second.
pub(crate) const RESCUE_EVERY: Span = Span::millis(500);
/// Time without progress after which a run at full speed counts as stuck. The longest tasks seen
/// take 5 s, so a healthy one advances by one percent every 50 ms.
pub(crate) const STUCK_LIMIT: Span = Span::millis(2_500);
/// Time without progress after which a lasting task that is not up counts as stuck. Start-up takes
/// half a second, and eight times as long on runners that have become slow.
pub(crate) const STARTUP_LIMIT: Span = Span::millis(5_000);
/// Smallest share of full speed, in percent, at which a run without progress counts as stuck.
pub(crate) const STUCK_SHARE: u8 = 50;
/// Fraction of full speed below which a filling run is moved if another runner is faster.
pub(crate) const MOVE_SPEED: f64 = 0.4;
/// Smallest gain, as a fraction of full speed, that is worth a move. A move costs a restore and up
/// to one checkpoint interval of work.
pub(crate) const MOVE_GAIN: f64 = 0.4;
/// Smallest time since the first listing of a run that is moved, so that its averaged figures cover only its own time.
pub(crate) const MOVE_AGE: Span = Span::millis(1_200);
/// Time for which room is reserved for a run that is being moved: a stop takes up to 0.9 s, and a
/// lost order is repeated with the next report.
pub(crate) const MOVE_RESERVATION: Span = Span::millis(2_500);
/// Runs that may be moving at once. Few, since each move changes the conditions for the next.
pub(crate) const MOVES_LIMIT: usize = 8;
/// Wait after which one task of a filling job without a run is started on trial. With the interval of
/// the checks and the start itself it stays below the 3 s for which a job may wait beside free room.
pub(crate) const TRIAL_AFTER: Span = Span::millis(1_500);
/// Time after the start of a filling task in which its runner gets no trial, so that the effects of
/// two are not confused.
pub(crate) const TRIAL_SETTLE: Span = Span::millis(1_500);
