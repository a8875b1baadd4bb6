//! One script for each failure that the group must tolerate. All start with `a` as the leader of
//! `b` and `c`.

use rstest::rstest;

use super::group::{Group, Step, Step::*};
use crate::core::Verdict::{MayHaveRun, NotRun};

struct Case {
    script: &'static [Step],
}

#[rstest]
// A crashed leader is replaced, and the commands that it acknowledged are kept.
#[case::election(Case { script: &[
    Propose("a", 1), Acknowledged(1), Crash("a"), Run(2_500), OneLeader, ProposeToLeader(2),
    Acknowledged(2), Has("b", 1, true), Start("a"), Run(1_000), Has("a", 1, true),
    Has("a", 2, true),
] })]
// A member that was isolated for a long time must not raise the term and depose the leader.
#[case::pre_vote_after_isolation(Case { script: &[
    Isolate("c"), Run(20_000), Heal("c"), Run(2_000), Leads("a", true), SameTerm,
] })]
// Writes need a quorum. Those of an isolated leader have an unknown outcome and are replaced.
#[case::isolated_leader_writes(Case { script: &[
    Isolate("a"), Propose("a", 1), Run(3_000), Refused(1, MayHaveRun), OneLeader,
    ProposeToLeader(2), Acknowledged(2), Heal("a"), Run(2_000), Has("a", 2, true),
    Has("a", 1, false),
] })]
// An isolated leader answers reads within its lease, but none after it.
#[case::lease_ends(Case { script: &[
    Run(100), Isolate("a"), Run(300), Read("a", 1), ReadDone(1, true), Run(200), Read("a", 2),
    ReadDone(2, false), Run(3_000), ReadDone(2, false), Refused(2, NotRun),
] })]
// No other instance may become leader while the lease of the old leader lasts.
#[case::lease_is_exclusive(Case { script: &[
    Run(100), Isolate("a"), Run(380), Leads("b", false), Leads("c", false), Run(2_000),
    Leads("a", false), OneLeader,
] })]
// A vote given within the lease of another leader would allow two instances to answer reads.
#[case::no_vote_within_lease(Case { script: &[
    Run(100), Isolate("a"), AdvanceClock("c", 2_000), Run(100), Leads("c", false), Read("a", 1),
    ReadDone(1, true),
] })]
// A leader without a quorum steps down.
#[case::check_quorum(Case { script: &[
    Isolate("b"), Isolate("c"), Run(800), Leads("a", true), Run(700), Leads("a", false),
    Propose("a", 1), Refused(1, NotRun),
] })]
// A leader that loses contact to one of two followers keeps its quorum.
#[case::quorum_of_two(Case { script: &[
    Isolate("b"), Run(5_000), Leads("a", true), Propose("a", 1), Acknowledged(1),
] })]
// Commands that a crash of all instances could lose are not acknowledged.
#[case::crash_before_sync(Case { script: &[
    HoldStores("a"), HoldStores("b"), HoldStores("c"), Propose("a", 1), Run(100), Pending(1),
    Crash("a"), Crash("b"), Crash("c"), Start("a"), Start("b"), Start("c"), Run(4_000), OneLeader,
    Has("b", 1, false),
] })]
// The leader alone is not a quorum.
#[case::followers_before_sync(Case { script: &[
    HoldStores("b"), HoldStores("c"), Propose("a", 1), Run(100), Pending(1), ReleaseStores("b"),
    Acknowledged(1),
] })]
// The leader's copy counts only once it is durable.
#[case::leader_before_sync(Case { script: &[
    HoldStores("a"), Isolate("c"), Propose("a", 1), Run(100), Pending(1), Has("b", 1, false),
    ReleaseStores("a"), Acknowledged(1),
] })]
// A leader with a slow disk acknowledges nothing, even if the others made the command durable.
#[case::quorum_without_leader(Case { script: &[
    HoldStores("a"), Propose("a", 1), Run(300), Pending(1), Has("b", 1, true), Has("a", 1, false),
    ReleaseStores("a"), Acknowledged(1),
] })]
// Acknowledged commands survive a crash of all instances.
#[case::crash_after_sync(Case { script: &[
    Propose("a", 1), Acknowledged(1), Crash("a"), Crash("b"), Crash("c"), Start("a"), Start("b"),
    Start("c"), Run(4_000), OneLeader, Has("a", 1, true), Has("b", 1, true), Has("c", 1, true),
] })]
// An incomplete write at the end of the log is removed, reported and replicated again.
#[case::torn_tail(Case { script: &[
    Propose("a", 1), FailWrite("c"), Propose("a", 2), Acknowledged(2), Stop("c"), Start("c"),
    Torn("c"), Run(1_000), Has("c", 1, true), Has("c", 2, true), Leads("a", true),
] })]
// A member whose disk lost acknowledged entries is reported, and does not receive them again, which
// would hide the loss.
#[case::acknowledged_entries_lost(Case { script: &[
    Propose("a", 1), Acknowledged(1), Stop("c"), TruncateLog("c", 3), Start("c"), Run(3_000),
    LossReported, Has("c", 1, false),
] })]
// A restart or a delayed message is not reported as a loss.
#[case::restart_is_no_loss(Case { script: &[
    Propose("a", 1), Stop("c"), Start("c"), Run(2_000), NoLossReported, Has("c", 1, true),
] })]
// A leader whose disk hangs steps down, as it could never acknowledge a command.
#[case::disk_hangs(Case { script: &[
    HoldStores("a"), Propose("a", 1), Run(2_500), Leads("a", true), Run(1_500), Leads("a", false),
    Refused(1, MayHaveRun), OneLeader, ProposeToLeader(2), Acknowledged(2),
] })]
// A leader with a full disk rejects proposals and reads with the reason and hands over leadership.
// Acknowledged commands are kept.
#[case::disk_full(Case { script: &[
    Propose("a", 1), Acknowledged(1), LimitDisk("a", 10), Propose("a", 2), Leads("a", false),
    Run(200), OneLeader, Propose("a", 3), Refused(3, NotRun), Read("a", 5), Refused(5, NotRun),
    ProposeToLeader(4), Acknowledged(4), Crash("a"), Start("a"), Run(1_000), Has("a", 1, true),
    Has("a", 4, true),
] })]
// A follower with a full disk acknowledges nothing.
#[case::follower_disk_full(Case { script: &[
    LimitDisk("b", 10), Isolate("c"), Propose("a", 1), Run(300), Pending(1),
] })]
// An instance whose disk was full stayed passive until a restart, so that the second such fault cost
// the group its quorum.
#[case::full_disks_one_after_the_other(Case { script: &[
    Propose("a", 1), LimitDisk("a", 10), Propose("a", 2), Run(4_000), FreeDisk("a"), Run(2_000),
    LimitDisk("b", 10), ProposeToLeader(3), Run(4_000), FreeDisk("b"), Run(2_000), OneLeader,
    Isolate("c"), Run(3_000), OneLeader, ProposeToLeader(4), Run(500), Acknowledged(4),
    Has("a", 1, true), Has("a", 4, true), Has("b", 1, true), Has("b", 4, true),
] })]
// While its disk takes nothing, an instance must neither lead nor complete a quorum.
#[case::full_disk_is_passive(Case { script: &[
    LimitDisk("a", 10), Propose("a", 1), Run(1_000), Isolate("c"), Run(5_000), NoLeader,
    FreeDisk("a"), Run(3_000), OneLeader, ProposeToLeader(2), Run(500), Acknowledged(2),
] })]
// A write of which only a part reached the disk is removed before the next one.
#[case::failed_write_is_removed(Case { script: &[
    Propose("a", 1), FailWrite("c"), Propose("a", 2), Run(500), FreeDisk("c"), Run(2_000),
    Has("c", 2, true), Isolate("b"), Propose("a", 3), Run(200), Acknowledged(3), Crash("c"),
    Start("c"), Run(1_000), Has("c", 1, true), Has("c", 3, true),
] })]
// A snapshot that was received but not stored is requested again.
#[case::snapshot_on_full_disk(Case { script: &[
    Isolate("c"), ProposeMany("a", 1_100), Snapshot("a", 700_000), Run(500), LimitDisk("c", 10),
    Heal("c"), Run(2_000), FreeDisk("c"), Run(3_000), Has("c", 2_099, true), Isolate("b"),
    Propose("a", 1), Run(500), Acknowledged(1), Has("c", 1, true),
] })]
// An instance that lost its disk has forgotten its vote and log, and must not complete a quorum.
#[case::lost_disk_cannot_vote(Case { script: &[
    Propose("a", 1), Acknowledged(1), Crash("c"), Wipe("c"), Start("c"), Run(500), IdentityReported,
    Crash("a"), Run(5_000), NoLeader,
] })]
// The acknowledgements of an instance that lost its disk must not count.
#[case::lost_disk_cannot_acknowledge(Case { script: &[
    Crash("c"), Wipe("c"), Start("c"), Crash("b"), Run(200), Propose("a", 1), Run(300), Pending(1),
] })]
// The loss of a second disk right after the repair of a first loses no acknowledged command.
#[case::second_loss_after_repair(Case { script: &[
    Propose("a", 1), Crash("b"), Wipe("b"), Start("b"), Remove("b"), Run(100), Add("b"), Run(500),
    Voter("b", true), Crash("c"), Wipe("c"), Crash("a"), Start("a"), Run(4_000), OneLeader,
    ProposeToLeader(2), Acknowledged(2), Has("b", 1, true), Has("b", 2, true),
] })]
// A learner becomes a voter only once the log is durable there.
#[case::learner_before_sync(Case { script: &[
    Propose("a", 1), Crash("b"), Wipe("b"), Start("b"), Remove("b"), Run(100), HoldStores("b"),
    Add("b"), Run(500), Voter("b", false), ReleaseStores("b"), Run(500), Voter("b", true),
] })]
// A removed member does not disrupt the group.
#[case::removed_member(Case { script: &[
    Remove("c"), Run(5_000), Leads("a", true), SameTerm, Propose("a", 1), Acknowledged(1),
    Has("c", 1, false),
] })]
// A leader that removes itself steps down once its removal is committed.
#[case::leader_removed(Case { script: &[
    Remove("a"), Run(3_000), Leads("a", false), OneLeader, ProposeToLeader(1), Acknowledged(1),
    Has("a", 1, false),
] })]
// A membership change that the next leader's entries replaced no longer applies.
#[case::membership_undone(Case { script: &[
    Isolate("a"), Remove("c"), Run(3_000), ProposeToLeader(1), Acknowledged(1), Heal("a"),
    Run(2_000), Transfer("b", "a"), Transfer("c", "a"), Run(500), Leads("a", true),
    Voter("c", true),
] })]
// A transfer does not wait for an election timeout.
#[case::transfer(Case { script: &[
    Propose("a", 1), Transfer("a", "b"), Run(50), Leads("b", true), Leads("a", false),
    Propose("a", 2), Refused(2, NotRun), Propose("b", 3), Acknowledged(3), Has("b", 1, true),
] })]
// A transfer waits for the pending proposals, so that a drain leaves no unknown outcome.
#[case::transfer_waits(Case { script: &[
    HoldStores("a"), Propose("a", 1), Transfer("a", "b"), Run(100), Pending(1), Leads("a", true),
    ReleaseStores("a"), Acknowledged(1), Run(50), Leads("b", true),
] })]
// A transfer to an instance that does not answer is abandoned.
#[case::transfer_fails(Case { script: &[
    Isolate("b"), Transfer("a", "b"), Propose("a", 1), Refused(1, NotRun), Run(1_200),
    Leads("a", true), Propose("a", 2), Acknowledged(2),
] })]
// After a transfer began, the lease no longer excludes another leader.
#[case::no_lease_after_transfer(Case { script: &[
    HoldStores("b"), Transfer("a", "b"), Run(20), Isolate("a"), Read("a", 1), ReadDone(1, false),
    ReleaseStores("b"), Run(50), Leads("b", true), Leads("a", true), Read("a", 2),
    ReadDone(2, false),
] })]
// A follower that needs entries no longer in the leader's log gets a snapshot in several chunks.
#[case::snapshot_install(Case { script: &[
    Isolate("c"), ProposeMany("a", 1_100), Snapshot("a", 700_000), Run(500), Heal("c"), Run(1_000),
    Installed("c"), Has("c", 1_000, true), Has("c", 2_099, true), Propose("a", 1), Run(200),
    Has("c", 1, true), Crash("c"), Start("c"), Run(500), Has("c", 1, true),
] })]
// After a crash, all instances restore their state from a snapshot and the log after it.
#[case::snapshot_restart(Case { script: &[
    ProposeMany("a", 100), Snapshot("a", 0), Snapshot("b", 0), Propose("a", 1), Acknowledged(1),
    Crash("a"), Crash("b"), Crash("c"), Start("a"), Start("b"), Start("c"), Run(4_000),
    Installed("a"), Has("a", 1_000, true), Has("a", 1, true), Has("c", 1_099, true),
] })]
// Lost, repeated and reordered messages only cause delays.
#[case::noise(Case { script: &[
    LossyNetwork(true), ProposeMany("a", 200), Run(5_000), LossyNetwork(false), Run(3_000),
    OneLeader, ProposeToLeader(1), Acknowledged(1), Run(200), Has("a", 1, true), Has("b", 1, true),
    Has("c", 1, true),
] })]
// A leader that was suspended must not rely on a lease that ended meanwhile.
#[case::clock_jump_of_leader(Case { script: &[
    Isolate("a"), AdvanceClock("a", 10_000), Read("a", 1), ReadDone(1, false), Run(3_000),
    OneLeader, Heal("a"), Run(1_000), OneLeader,
] })]
// A follower that was suspended does not disrupt the group.
#[case::clock_jump_of_follower(Case { script: &[
    AdvanceClock("b", 10_000), Run(1_000), Leads("a", true), SameTerm,
] })]
// Proposals beyond the limit are rejected.
#[case::too_many(Case { script: &[
    HoldStores("a"), Isolate("b"), Isolate("c"), ProposeMany("a", 4_096), Pending(5_095),
    Propose("a", 1), Refused(1, NotRun),
] })]
// A voter that restarts within the lease must not grant a vote that the lease excludes.
#[case::restart_within_lease(Case { script: &[
    Run(100), Isolate("a"), Crash("b"), Start("b"), AdvanceClock("c", 2_000), Run(300),
    Leads("b", false), Leads("c", false),
] })]
// An instance that lost its disk joins again under its name and becomes a voter once it has caught
// up.
#[case::lost_disk_joins(Case { script: &[
    Propose("a", 1), Acknowledged(1), Stop("c"), Wipe("c"), Start("c"), Run(200), Join("c"),
    Run(500), Voter("c", false), Join("c"), Run(1_000), Voter("c", true), Has("c", 1, true),
] })]
// A join request from a member changes nothing.
#[case::member_joins(Case { script: &[
    Join("c"), Run(500), Voter("c", true), Leads("a", true), SameTerm,
] })]
// A voter that never returns is removed if there are more voters than configured.
#[case::silent_voter_is_removed(Case { script: &[
    Voters(2), Isolate("c"), Run(7_000), Voter("c", false), Leads("a", true), Heal("c"), Voters(3),
    Join("c"), Run(1_500), Voter("c", true),
] })]
// A silent voter stays if there are no more than configured, so that a short isolation does not
// reduce the number of failures that the group tolerates later.
#[case::needed_voter_stays(Case { script: &[
    Voters(3), Isolate("c"), Run(7_000), Voter("c", true), Heal("c"), Run(1_000), Leads("a", true),
] })]
// An instance that is added to a group with the configured number of voters must not count as
// silent before it has answered a heartbeat.
#[case::added_voter_stays(Case { script: &[
    Voters(3), Run(6_000), Start("d"), Voters(3), Join("d"), Run(500), Voter("d", true), Run(6_000),
    Voter("d", true), Leads("a", true), SameTerm,
] })]
// A leader needs a replacement's answers to keep its quorum, and promotes it only after an answer.
#[case::replacement_counts(Case { script: &[
    Isolate("c"), Run(2_000), Start("d"), Join("d"), Run(1_000), Voter("d", true), Leads("a", true),
    SameTerm, Propose("a", 1), Run(100), Acknowledged(1), Has("d", 1, true),
] })]
// A voter that stops counted in the quorum until it was found to be silent, so that the group lost
// its quorum with the next loss.
#[case::leaving_voter_is_removed(Case { script: &[
    Voters(3), Start("d"), Voters(3), Join("d"), Run(500), Voter("d", true), Leave("c"), Run(100),
    Voter("c", false), Stop("c"), Isolate("b"), Run(3_000), OneLeader, ProposeToLeader(1), Run(100),
    Acknowledged(1),
] })]
// A voter that the group needs is expected to return.
#[case::needed_voter_stays_when_it_leaves(Case { script: &[
    Voters(3), Leave("c"), Run(100), Voter("c", true), Stop("c"), Run(1_000), Start("c"), Run(1_000),
    Voter("c", true), Leads("a", true),
] })]
// The leader has to hand over first.
#[case::leaving_leader_stays(Case { script: &[
    Voters(2), Leave("a"), Run(100), Voter("a", true), Leads("a", true),
] })]
// An announcement of an instance that has lost its disk since does not remove its successor.
#[case::leave_of_an_earlier_identity(Case { script: &[
    Voters(2), Stop("c"), Wipe("c"), Start("c"), Leave("c"), Run(100), Voter("c", true),
] })]
// An instance that was removed while it was isolated can join again.
#[case::removed_voter_returns(Case { script: &[
    Voters(3), Run(1_000), Start("d"), Voters(3), Join("d"), Run(1_000), Voter("d", true),
    Isolate("d"), Run(7_000), Voter("d", false), Heal("d"), Run(3_000), Voter("d", false),
    Join("d"), Run(500), Voter("d", true), Leads("a", true),
] })]
fn group_tolerates_failures(#[case] case: Case) {
    let mut group = Group::new();
    for step in case.script {
        group.perform(*step);
    }
}
