//! Tests of what an agent reports as not ruled out: copies of starts, missing ends, recent fences.

use rstest::rstest;

use super::*;
use crate::dispatch::Doubts;

const SILENT: Result<(), Fault> = Err(Fault::Silent);
const GONE: Result<(), Fault> = Err(Fault::Gone);
const REPLACED: Result<(), Fault> = Err(Fault::Replaced);
const FULL: Result<(), Fault> = Err(Fault::Denied(Denial::Room));

impl World {
    fn doubts(&self) -> Doubts {
        self.hosting.build_report(self.now).doubts
    }

    /// Time in ms for which a copy of a start may be carried out, as reported.
    fn doubt(&self, index: u16) -> Option<u64> {
        let doubts = self.doubts();
        let doubt = doubts.starts.iter().find(|(run, _)| *run == key(index));
        doubt.map(|(_, remaining)| remaining.as_millis())
    }

    pub(super) fn answer_start(&mut self, index: u16, result: Result<(), Fault>) {
        self.send(Message::Started { key: key(index), result });
    }

    pub(super) fn list_row(&mut self, index: u16) {
        let row = RunStatus { key: key(index), saved: None, percent: 0, figure: 0, share: 100 };
        self.rows.insert(key(index), row);
    }

    /// Replaces the runner by its next incarnation, which the agent fences.
    fn restart_runner(&mut self, born: u64) {
        let announced = announcement("i-1", born, 1);
        self.restart(announced.incarnation.clone());
        self.send(Message::Announce(Box::new(announced)));
        self.advance(500);
    }
}

struct Answers {
    /// Answers to the sends of a start, each with the time in ms since the first send.
    answers: &'static [(u64, Result<(), Fault>)],
    /// Whether the runner lists the run.
    listed: bool,
    /// Time in ms since the first send at which the doubt is read.
    at: u64,
    /// Time in ms after the first send of the last send without a definite answer, if one of them is
    /// in doubt.
    doubt: Option<u64>,
}

const NONE: Answers = Answers { answers: &[], listed: false, at: 200, doubt: None };

/// A leader took a run for gone although a start without an answer was carried out after that. An
/// answer says nothing about earlier sends.
#[rstest]
#[case::in_flight(NONE)]
#[case::in_flight_and_listed(Answers { listed: true, doubt: Some(0), ..NONE })]
#[case::overdue(Answers { at: 300, doubt: Some(300), ..NONE })]
#[case::silent(Answers { answers: &[(50, SILENT)], at: 50, doubt: Some(50), ..NONE })]
#[case::started(Answers { answers: &[(50, Ok(()))], at: 400, ..NONE })]
#[case::denied(Answers { answers: &[(50, FULL)], at: 400, ..NONE })]
#[case::gone(Answers { answers: &[(50, GONE)], at: 400, ..NONE })]
#[case::replaced(Answers { answers: &[(50, REPLACED)], at: 400, ..NONE })]
#[case::all_answered(Answers { answers: &[(350, Ok(())), (400, Ok(()))], at: 400, ..NONE })]
#[case::started_after_silence(Answers {
    answers: &[(50, SILENT), (100, Ok(()))], at: 5_000, doubt: Some(0), ..NONE
})]
#[case::denied_after_silence(Answers {
    answers: &[(50, SILENT), (100, FULL)], at: 5_000, doubt: Some(0), ..NONE
})]
#[case::gone_after_silence(Answers {
    answers: &[(50, SILENT), (100, GONE)], at: 5_000, doubt: Some(0), ..NONE
})]
#[case::replaced_after_silence(Answers {
    answers: &[(50, SILENT), (100, REPLACED)], at: 5_000, doubt: Some(0), ..NONE
})]
#[case::shortly_before_the_end(Answers {
    answers: &[(50, SILENT), (100, Ok(()))], at: 11_950, doubt: Some(0), ..NONE
})]
#[case::over(Answers { answers: &[(50, SILENT), (100, Ok(()))], at: 12_000, ..NONE })]
fn start_without_an_answer_is_in_doubt(#[case] case: Answers) {
    let mut world = World::new(Behaviour::IgnoresOrders);
    world.start(0);
    if case.listed {
        world.list_row(0);
    }
    let mut now = 0;
    for (at, result) in case.answers {
        world.advance(at - now);
        world.answer_start(0, *result);
        now = *at;
    }
    world.advance(case.at - now);
    assert_eq!(world.doubt(0), case.doubt.map(|sent| sent + 12_000 - case.at));
}

/// An answer that comes late, as the process was paused, was taken for one to a call of long ago,
/// although the call may have been sent after the pause.
#[test]
fn doubt_of_a_paused_process_begins_with_the_answer() {
    let mut world = World::new(Behaviour::IgnoresOrders);
    world.start(0);
    world.now = world.now + Span::secs(5);
    world.answer_start(0, SILENT);
    assert_eq!(world.doubt(0), Some(12_000));
}

/// The order ends with the first listing that shows the run, and the answer that came or was missed
/// later was ignored.
#[rstest]
#[case::silent(SILENT, true)]
#[case::started(Ok(()), false)]
fn answer_after_the_listing_counts(#[case] answer: Result<(), Fault>, #[case] doubt: bool) {
    let mut world = World::new(Behaviour::IgnoresOrders);
    world.start(0);
    world.list_row(0);
    world.advance(200);
    assert!(world.hosting.pending.is_empty());
    assert_eq!(world.starts, 1);
    world.answer_start(0, answer);
    world.advance(1_000);
    assert_eq!(world.doubt(0).is_some(), doubt);
}

/// A copy may reach the next incarnation under the same name and the one after it, so that the
/// doubt must not end with the one that the start was sent to.
#[test]
fn doubt_outlives_the_incarnation() {
    let mut world = World::new(Behaviour::IgnoresOrders);
    world.start(0);
    world.advance(500);
    world.behaviour = Behaviour::Healthy;
    for born in [60, 70] {
        world.restart_runner(born);
        assert!(world.hosting.pending.is_empty());
        assert!(world.doubt(0).is_some(), "incarnation {born}");
    }
    let runner = world.last_report().runner.as_ref().expect("a runner");
    assert_eq!(runner.incarnation.born, 70);
    world.advance(12_000);
    assert_eq!(world.doubt(0), None);
    assert_eq!(world.doubts().starts, []);
}

struct Inherited {
    /// Whether the runner restarts after its first listing.
    restarted: bool,
    /// Time in ms for which the start of the run that is listed as running is in doubt after 5 s.
    left: Option<u64>,
}

/// An earlier process of the agent may have been killed before the answer to a start, which this
/// one knows nothing of. Ends and runs of earlier incarnations held tasks back for 12 s after each
/// restart of an agent.
#[rstest]
#[case::same_incarnation(Inherited { restarted: false, left: Some(7_000) })]
#[case::later_incarnation(Inherited { restarted: true, left: None })]
fn runs_of_an_earlier_process_are_in_doubt(#[case] case: Inherited) {
    let mut world = World::unannounced();
    world.list_row(0);
    world.finish(key(1), End::Failed);
    world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
    world.advance(300);
    world.start(2);
    world.advance(500);
    if case.restarted {
        world.restart_runner(60);
    }
    // The end is acknowledged and no longer listed.
    world.answer_report(Orders { until: Some(9_000), noted: 1, ..Orders::default() });
    world.advance(5_000 - (world.now.as_micros() / 1_000 - 1_000));
    assert_eq!((world.doubt(0), world.doubt(1)), (case.left, None));
    assert_eq!(world.doubt(2), None, "this process has sent it and got the answer");
    world.advance(7_000);
    assert_eq!(world.doubts().starts, []);
    // What is listed later was sent by this process or is too old for a copy.
    world.list_row(3);
    world.advance(1_000);
    assert_eq!(world.doubts().starts, []);
}

struct Missing {
    complete: bool,
    unread: bool,
    /// Whether ends may be missing from the report after 2 s and after 12 s.
    partial: (bool, bool),
}

/// Ends that a listing leaves out look like runs that never arrived. An end that can't be decoded
/// may be listed for ever and must not leave the reports in doubt for ever.
#[rstest]
#[case::all_ends(Missing { complete: true, unread: false, partial: (false, false) })]
#[case::incomplete(Missing { complete: false, unread: false, partial: (true, true) })]
#[case::unread(Missing { complete: true, unread: true, partial: (true, false) })]
#[case::unread_and_incomplete(Missing { complete: false, unread: true, partial: (true, true) })]
fn listing_that_may_lack_ends_is_partial(#[case] case: Missing) {
    let mut world = World::new(Behaviour::Healthy);
    assert!(!world.doubts().partial);
    world.unread = case.unread;
    world.page = if case.complete { usize::MAX } else { 0 };
    world.advance(2_000);
    let early = world.doubts().partial;
    world.advance(10_000);
    assert_eq!((early, world.doubts().partial), case.partial);
    (world.unread, world.page) = (false, usize::MAX);
    world.advance(1_000);
    assert!(!world.doubts().partial);
    // The next one is a new end.
    world.unread = true;
    world.advance(1_000);
    assert!(world.doubts().partial);
}

/// A new leader could not tell for how long an incarnation had been fenced, and guessed the leases
/// that calls to an earlier one have given it from its age.
#[test]
fn recent_fence_is_reported() {
    let mut world = World::unannounced();
    assert_eq!(world.doubts().fenced, None);
    world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
    for born in [60, 70] {
        world.restart_runner(born);
        let age = world.doubts().fenced.expect("fenced");
        assert!(age <= Span::millis(500), "{age:?}");
        world.advance(29_000);
        assert_eq!(world.doubts().fenced, Some(age + Span::secs(29)));
        world.advance(1_000);
        assert_eq!(world.doubts().fenced, None);
    }
}

struct Kept {
    /// How run 0, the second of three, ends.
    end: End,
    /// Whether its start got no answer.
    silent: bool,
    /// Whether the listing is complete.
    complete: bool,
    /// Ends that are left 1 s after the leader has recorded all, and once no copy can follow.
    left: (usize, usize),
}

const KEPT: Kept = Kept { end: End::Done, silent: true, complete: true, left: (2, 0) };

/// A copy of a start ran after the end as done had been acknowledged, which can't be taken back.
/// Ends that a full listing leaves out stay hidden if nothing is acknowledged.
#[rstest]
#[case::done(KEPT)]
#[case::answered(Kept { silent: false, left: (0, 0), ..KEPT })]
#[case::failed(Kept { end: End::Failed, left: (0, 0), ..KEPT })]
#[case::incomplete(Kept { complete: false, left: (0, 0), ..KEPT })]
fn done_end_of_a_doubtful_start_is_kept(#[case] case: Kept) {
    let mut world = World::new(Behaviour::IgnoresOrders);
    // Calls of an earlier process can't take effect any more.
    world.advance(12_000);
    world.start(0);
    world.answer_start(0, if case.silent { SILENT } else { Ok(()) });
    world.answer_start(0, Ok(()));
    for (index, end) in [(1, End::Done), (0, case.end), (2, End::Done)] {
        world.finish(key(index), end);
    }
    world.page = if case.complete { usize::MAX } else { 3 };
    world.advance(500);
    assert_eq!(world.last_report().ended.len(), 3);
    let until = Some(world.now.as_micros() / 1_000 + 9_000);
    world.answer_report(Orders { until, noted: 3, ..Orders::default() });
    let before = world.lists;
    world.advance(1_000);
    assert_eq!(world.last_report().ended, [], "the leader has recorded them");
    assert_eq!(world.ended.len(), case.left.0);
    if case.left.0 > 0 {
        // A listing is answered at once while there are ends, and figures are needed twice a second.
        let lists = world.lists - before;
        assert!((2..=5).contains(&lists), "{lists} listings in 1 s");
        world.advance(9_000);
        assert_eq!(world.ended.len(), case.left.0);
    }
    world.advance(3_000);
    assert_eq!(world.ended.len(), case.left.1);
}

/// A restarted agent held back the acknowledgements of all ends for 12 s, as if its earlier process
/// had sent each start without an answer.
#[test]
fn done_end_of_an_earlier_process_is_acknowledged() {
    let mut world = World::unannounced();
    world.finish(key(0), End::Done);
    world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
    world.advance(500);
    world.answer_report(Orders { until: Some(20_000), noted: 1, ..Orders::default() });
    world.advance(1_000);
    assert_eq!(world.ended.len(), 0);
}
