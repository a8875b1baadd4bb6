//! One script for each failure that the log must withstand. All begin with `a` leading `b` and `c`.

use rstest::rstest;

use super::group::{Do, Do::*, Group};
use crate::core::Verdict::{MayHaveRun, NotRun};

struct Case {
    script: &'static [Do],
}

#[rstest]
// A crashed leader is replaced and what it acknowledged stays.
#[case::election(Case { script: &[
    Propose("a", 1), Acknowledged(1), Crash("a"), Run(2_500), OneLeader, ProposeToLeader(2),
    Acknowledged(2), Has("b", 1, true), Start("a"), Run(1_000), Has("a", 1, true), Has("a", 2, true),
] })]
// A member that was isolated for long must not raise the term and depose the leader.
#[case::pre_vote_after_isolation(Case { script: &[
    Cut("c"), Run(20_000), Heal("c"), Run(2_000), Leads("a", true), SameTerm,
] })]
// Writes need a quorum; those of an isolated leader have an unknown outcome and are replaced.
#[case::isolated_leader_writes(Case { script: &[
    Cut("a"), Propose("a", 1), Run(3_000), Refused(1, MayHaveRun), OneLeader, ProposeToLeader(2),
    Acknowledged(2), Heal("a"), Run(2_000), Has("a", 2, true), Has("a", 1, false),
] })]
// An isolated leader answers reads within its lease, and none after it.
#[case::lease_ends(Case { script: &[
    Run(100), Cut("a"), Run(300), Read("a", 1), ReadDone(1, true), Run(200), Read("a", 2),
    ReadDone(2, false), Run(3_000), ReadDone(2, false), Refused(2, NotRun),
] })]
// No other instance may lead while the lease of the old leader lasts.
#[case::lease_is_exclusive(Case { script: &[
    Run(100), Cut("a"), Run(380), Leads("b", false), Leads("c", false), Run(2_000), Leads("a", false),
    OneLeader,
] })]
// A vote given within the lease of another leader would allow two instances to answer reads.
#[case::no_vote_within_lease(Case { script: &[
    Run(100), Cut("a"), Jump("c", 2_000), Run(100), Leads("c", false), Read("a", 1), ReadDone(1, true),
] })]
// A leader without a quorum steps down.
#[case::check_quorum(Case { script: &[
    Cut("b"), Cut("c"), Run(800), Leads("a", true), Run(700), Leads("a", false), Propose("a", 1),
    Refused(1, NotRun),
] })]
// A leader that loses one of two followers goes on.
#[case::quorum_of_two(Case { script: &[
    Cut("b"), Run(5_000), Leads("a", true), Propose("a", 1), Acknowledged(1),
] })]
// Nothing is acknowledged that a crash of all instances could lose.
#[case::crash_before_sync(Case { script: &[
    Hold("a"), Hold("b"), Hold("c"), Propose("a", 1), Run(100), Open(1), Crash("a"), Crash("b"),
    Crash("c"), Start("a"), Start("b"), Start("c"), Run(4_000), OneLeader, Has("b", 1, false),
] })]
// The leader's own copy is no quorum.
#[case::followers_before_sync(Case { script: &[
    Hold("b"), Hold("c"), Propose("a", 1), Run(100), Open(1), Release("b"), Acknowledged(1),
] })]
// The leader's copy counts only once it is durable.
#[case::leader_before_sync(Case { script: &[
    Hold("a"), Cut("c"), Propose("a", 1), Run(100), Open(1), Has("b", 1, false), Release("a"),
    Acknowledged(1),
] })]
// A leader whose disk is behind acknowledges nothing, even when the others made it durable.
#[case::quorum_without_leader(Case { script: &[
    Hold("a"), Propose("a", 1), Run(300), Open(1), Has("b", 1, true), Has("a", 1, false),
    Release("a"), Acknowledged(1),
] })]
// What is acknowledged survives a crash of all instances.
#[case::crash_after_sync(Case { script: &[
    Propose("a", 1), Acknowledged(1), Crash("a"), Crash("b"), Crash("c"), Start("a"), Start("b"),
    Start("c"), Run(4_000), OneLeader, Has("a", 1, true), Has("b", 1, true), Has("c", 1, true),
] })]
// An incomplete write at the end of the log is removed, reported and replaced.
#[case::torn_tail(Case { script: &[
    Propose("a", 1), Fail("c"), Propose("a", 2), Acknowledged(2), Stop("c"), Start("c"), Torn("c"),
    Run(1_000), Has("c", 1, true), Has("c", 2, true), Leads("a", true),
] })]
// A member whose disk lost acknowledged entries is reported and gets no chance to hide it.
#[case::acknowledged_entries_lost(Case { script: &[
    Propose("a", 1), Acknowledged(1), Stop("c"), Tear("c", 3), Start("c"), Run(3_000), ReportedLoss,
    Has("c", 1, false),
] })]
// A restart, or a late message, is no loss.
#[case::restart_is_no_loss(Case { script: &[
    Propose("a", 1), Stop("c"), Start("c"), Run(2_000), NoLossReported, Has("c", 1, true),
] })]
// A leader whose disk hangs could acknowledge nothing for ever.
#[case::disk_hangs(Case { script: &[
    Hold("a"), Propose("a", 1), Run(2_500), Leads("a", true), Run(1_500), Leads("a", false),
    Refused(1, MayHaveRun), OneLeader, ProposeToLeader(2), Acknowledged(2),
] })]
// A leader with a full disk refuses with the reason and hands over; acknowledged commands stay.
#[case::disk_full(Case { script: &[
    Propose("a", 1), Acknowledged(1), Full("a", 10), Propose("a", 2), Leads("a", false), Run(200),
    OneLeader, Propose("a", 3), Refused(3, NotRun), Read("a", 5), Refused(5, NotRun),
    ProposeToLeader(4), Acknowledged(4), Crash("a"), Start("a"), Run(1_000), Has("a", 1, true),
    Has("a", 4, true),
] })]
// A follower with a full disk acknowledges nothing.
#[case::follower_disk_full(Case { script: &[
    Full("b", 10), Cut("c"), Propose("a", 1), Run(300), Open(1),
] })]
// An instance that lost its disk forgot its vote and log, and must not make a quorum.
#[case::lost_disk_cannot_vote(Case { script: &[
    Propose("a", 1), Acknowledged(1), Crash("c"), Wipe("c"), Start("c"), Run(500), Reported,
    Crash("a"), Run(5_000), NoLeader,
] })]
// Nor may its acknowledgements count.
#[case::lost_disk_cannot_acknowledge(Case { script: &[
    Crash("c"), Wipe("c"), Start("c"), Crash("b"), Run(200), Propose("a", 1), Run(300), Open(1),
] })]
// A second loss right after a repair loses nothing.
#[case::second_loss_after_repair(Case { script: &[
    Propose("a", 1), Crash("b"), Wipe("b"), Start("b"), Remove("b"), Run(100), Add("b"), Run(500),
    Voter("b", true), Crash("c"), Wipe("c"), Crash("a"), Start("a"), Run(4_000), OneLeader,
    ProposeToLeader(2), Acknowledged(2), Has("b", 1, true), Has("b", 2, true),
] })]
// A learner counts only once it holds the log durably.
#[case::learner_before_sync(Case { script: &[
    Propose("a", 1), Crash("b"), Wipe("b"), Start("b"), Remove("b"), Run(100), Hold("b"), Add("b"),
    Run(500), Voter("b", false), Release("b"), Run(500), Voter("b", true),
] })]
// A removed member does not disrupt the group.
#[case::removed_member(Case { script: &[
    Remove("c"), Run(5_000), Leads("a", true), SameTerm, Propose("a", 1), Acknowledged(1),
    Has("c", 1, false),
] })]
// A leader that removes itself steps down once that is committed.
#[case::leader_removed(Case { script: &[
    Remove("a"), Run(3_000), Leads("a", false), OneLeader, ProposeToLeader(1), Acknowledged(1),
    Has("a", 1, false),
] })]
// A membership that was replaced by the next leader's entries is not in force any more.
#[case::membership_undone(Case { script: &[
    Cut("a"), Remove("c"), Run(3_000), ProposeToLeader(1), Acknowledged(1), Heal("a"), Run(2_000),
    Transfer("b", "a"), Transfer("c", "a"), Run(500), Leads("a", true), Voter("c", true),
] })]
// Leadership moves without waiting for an election timeout.
#[case::transfer(Case { script: &[
    Propose("a", 1), Transfer("a", "b"), Run(50), Leads("b", true), Leads("a", false),
    Propose("a", 2), Refused(2, NotRun), Propose("b", 3), Acknowledged(3), Has("b", 1, true),
] })]
// A transfer waits for the proposals in progress, so that a drain leaves no outcome unknown.
#[case::transfer_waits(Case { script: &[
    Hold("a"), Propose("a", 1), Transfer("a", "b"), Run(100), Open(1), Leads("a", true),
    Release("a"), Acknowledged(1), Run(50), Leads("b", true),
] })]
// A transfer to an instance that does not answer is given up.
#[case::transfer_fails(Case { script: &[
    Cut("b"), Transfer("a", "b"), Propose("a", 1), Refused(1, NotRun), Run(1_200), Leads("a", true),
    Propose("a", 2), Acknowledged(2),
] })]
// After a transfer began, the lease no longer excludes another leader.
#[case::no_lease_after_transfer(Case { script: &[
    Hold("b"), Transfer("a", "b"), Run(20), Cut("a"), Read("a", 1), ReadDone(1, false), Release("b"),
    Run(50), Leads("b", true), Leads("a", true), Read("a", 2), ReadDone(2, false),
] })]
// A follower behind the leader's log gets a snapshot in several chunks.
#[case::snapshot_install(Case { script: &[
    Cut("c"), ProposeMany("a", 1_100), Snapshot("a", 700_000), Run(500), Heal("c"), Run(1_000),
    Installed("c"), Has("c", 1_000, true), Has("c", 2_099, true), Propose("a", 1), Run(200),
    Has("c", 1, true), Crash("c"), Start("c"), Run(500), Has("c", 1, true),
] })]
// A snapshot and the log after it restore the state of all instances.
#[case::snapshot_restart(Case { script: &[
    ProposeMany("a", 100), Snapshot("a", 0), Snapshot("b", 0), Propose("a", 1), Acknowledged(1),
    Crash("a"), Crash("b"), Crash("c"), Start("a"), Start("b"), Start("c"), Run(4_000),
    Installed("a"), Has("a", 1_000, true), Has("a", 1, true), Has("c", 1_099, true),
] })]
// Lost, repeated and reordered messages change nothing but the time it takes.
#[case::noise(Case { script: &[
    Noise(true), ProposeMany("a", 200), Run(5_000), Noise(false), Run(3_000), OneLeader,
    ProposeToLeader(1), Acknowledged(1), Run(200), Has("a", 1, true), Has("b", 1, true),
    Has("c", 1, true),
] })]
// A process that was suspended must not rely on a lease that ended meanwhile.
#[case::clock_jump_of_leader(Case { script: &[
    Cut("a"), Jump("a", 10_000), Read("a", 1), ReadDone(1, false), Run(3_000), OneLeader,
    Heal("a"), Run(1_000), OneLeader,
] })]
// A follower that was suspended does not disrupt the group.
#[case::clock_jump_of_follower(Case { script: &[
    Jump("b", 10_000), Run(1_000), Leads("a", true), SameTerm,
] })]
// Proposals beyond the bound are shed.
#[case::too_many(Case { script: &[
    Hold("a"), Cut("b"), Cut("c"), ProposeMany("a", 4_096), Open(5_095), Propose("a", 1),
    Refused(1, NotRun),
] })]
// A restart within the lease must not give a vote that the lease excludes.
#[case::restart_within_lease(Case { script: &[
    Run(100), Cut("a"), Crash("b"), Start("b"), Jump("c", 2_000), Run(300), Leads("b", false),
    Leads("c", false),
] })]
// An instance that lost its disk is taken in anew under its name and counts once it has caught up.
#[case::lost_disk_joins(Case { script: &[
    Propose("a", 1), Acknowledged(1), Stop("c"), Wipe("c"), Start("c"), Run(200), Join("c"),
    Run(500), Voter("c", false), Join("c"), Run(1_000), Voter("c", true), Has("c", 1, true),
] })]
// A member that asks again changes nothing.
#[case::member_joins(Case { script: &[
    Join("c"), Run(500), Voter("c", true), Leads("a", true), SameTerm,
] })]
// A voter that never comes back is removed where there are more than the group needs.
#[case::silent_voter_is_removed(Case { script: &[
    Voters(2), Cut("c"), Run(7_000), Voter("c", false), Leads("a", true), Heal("c"), Voters(3),
    Join("c"), Run(1_500), Voter("c", true),
] })]
// It stays where each voter is needed, so that a short loss costs no later one.
#[case::needed_voter_stays(Case { script: &[
    Voters(3), Cut("c"), Run(7_000), Voter("c", true), Heal("c"), Run(1_000), Leads("a", true),
] })]
// An instance that is added to a full group has not answered a heartbeat yet, but is not silent.
#[case::added_voter_stays(Case { script: &[
    Voters(3), Run(6_000), Start("d"), Voters(3), Join("d"), Run(500), Voter("d", true),
    Run(6_000), Voter("d", true), Leads("a", true), SameTerm,
] })]
// The leader needs the answers of a replacement to keep its majority, and counts it once it has one.
#[case::replacement_counts(Case { script: &[
    Cut("c"), Run(2_000), Start("d"), Join("d"), Run(1_000), Voter("d", true), Leads("a", true),
    SameTerm, Propose("a", 1), Run(100), Acknowledged(1), Has("d", 1, true),
] })]
// An instance that was removed while it was cut off is taken in again when it asks.
#[case::removed_voter_returns(Case { script: &[
    Voters(3), Run(1_000), Start("d"), Voters(3), Join("d"), Run(1_000), Voter("d", true),
    Cut("d"), Run(7_000), Voter("d", false), Heal("d"), Run(3_000), Voter("d", false), Join("d"),
    Run(500), Voter("d", true), Leads("a", true),
] })]
fn failures_are_withstood(#[case] case: Case) {
    let mut group = Group::new();
    for step in case.script {
        group.perform(*step);
    }
}
