//! Tests of the steps in memory, the outbox, the segment files and the review.

use std::collections::BTreeMap;
use std::fs;

use rstest::rstest;

use super::archive::{self, Archive};
use super::files::{self, Files};
use super::review::Report;
use super::*;
use crate::core::{Class, Verdict};
use crate::peer;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn key(n: usize) -> Key {
    Key::new(&format!("k{n}")).unwrap()
}

fn at(seconds: u64) -> Moment {
    Moment::START + Span::secs(seconds)
}

fn event(n: usize) -> Event {
    Event { wall: 5, at: Moment::START, by: name("entry"), text: n.to_string() }
}

fn course(class: Option<Class>, verdict: Verdict, code: Option<&str>, late: bool) -> Course {
    let code = code.map(str::to_owned);
    let (service, kind) = (name("balcao"), name("quote"));
    Course { service, kind, class, verdict, code, late, evictions: 0 }
}

fn failed_course() -> Course {
    course(Some(Class::Once), Verdict::MayHaveRun, Some("outcome-unknown"), true)
}

fn record(n: usize, course: Option<Course>) -> Message {
    Message::Record { key: key(n), course, events: vec![event(n)], wall: 1_000 }
}

fn history() -> History {
    History::new(name("e1"), 7)
}

fn explain(history: &mut History, key: &Key) -> Vec<Event> {
    let message = Message::Explain { ticket: 1, key: key.clone() };
    let Some(Effect::Explained { events, .. }) = history.step(Moment::START, message).pop() else {
        panic!("expected Effect::Explained")
    };
    events
}

fn sent_numbers(effects: Vec<Effect>) -> Vec<u64> {
    let items = effects.into_iter().flat_map(|effect| match effect {
        Effect::Send { items, .. } => items,
        Effect::Drained | Effect::Explained { .. } => Vec::new(),
    });
    items.map(|item| item.number).collect()
}

fn item(number: u64, wall: u64, n: usize, course: Course) -> Item {
    let (took, events) = (Span::millis(3), vec![event(n)]);
    let body = Body::Outcome(Outcome { key: key(n), course, took, events });
    Item { entry: name("e1"), incarnation: 7, number, wall, body }
}

fn frame(item: &Item) -> Frame {
    files::frame(item, &peer::encode(item))
}

/// Guards against explanations that mix up requests, grow without bound or lose the first or last
/// steps.
#[test]
fn steps_in_memory_are_bounded() {
    let mut history = history();
    for n in 0..MAX_KEYS + 10 {
        history.step(Moment::START, record(n, None));
    }
    assert_eq!(explain(&mut history, &key(9)), []);
    assert_eq!(explain(&mut history, &key(10)), [event(10)]);
    let events = (0..MAX_STEPS * 2).map(event).collect();
    let message = Message::Record { key: key(12), course: None, events, wall: 5 };
    history.step(Moment::START, message);
    let kept = explain(&mut history, &key(12));
    assert_eq!((kept.len(), &kept[0]), (MAX_STEPS, &event(12)));
    assert_eq!(kept[MAX_STEPS - 1], event(MAX_STEPS * 2 - 1));
}

/// Guards against duplicate steps when an outcome follows the caller's timeout, and against
/// wall-clock times of the recording instead of the step.
#[test]
fn steps_are_kept_once_with_their_time() {
    let mut history = history();
    let step = |seconds, text: &str| Event::new(at(seconds), name("entry"), text.to_owned());
    let long = "x".repeat(MAX_TEXT_BYTES + 1);
    for (events, wall) in
        [(vec![step(1, "a")], 9_000), (vec![step(1, "a"), step(2, "b"), step(3, &long)], 10_000)]
    {
        let message = Message::Record { key: key(1), course: None, events, wall };
        history.step(at(4), message);
    }
    let kept = explain(&mut history, &key(1));
    let shown: Vec<_> = kept.iter().map(|e| (e.wall, e.text.len())).collect();
    assert_eq!(shown, [(6_000, 1), (8_000, 1), (9_000, MAX_TEXT_BYTES + " (cut off)".len())]);
}

struct DurableCase {
    course: Course,
    /// Whether the outcome is expected to be sent to control.
    durable: bool,
}

/// Guards against failures that are lost with the entry, and against successful quick requests that
/// use up the rate limit.
#[rstest]
#[case::quick_answer(DurableCase {
    course: course(Some(Class::Quick), Verdict::Ran, None, false), durable: false,
})]
#[case::late_answer(DurableCase {
    course: course(Some(Class::Quick), Verdict::Ran, None, true), durable: true,
})]
#[case::failed_answer(DurableCase {
    course: course(Some(Class::Quick), Verdict::Ran, Some("back-end-failed"), false),
    durable: true,
})]
#[case::refusal(DurableCase {
    course: course(None, Verdict::NotRun, Some("over-quota"), false),
    durable: true,
})]
#[case::order(DurableCase {
    course: course(Some(Class::Once), Verdict::Ran, None, false), durable: true,
})]
#[case::batch(DurableCase {
    course: course(Some(Class::Batch), Verdict::Ran, None, false), durable: true,
})]
#[case::unknown(DurableCase {
    course: course(Some(Class::Quick), Verdict::MayHaveRun, Some("outcome-unknown"), true),
    durable: true,
})]
fn durable_outcomes_are_sent(#[case] case: DurableCase) {
    assert_eq!(case.course.durable(), case.durable);
    let mut history = history();
    history.step(at(1), record(1, Some(case.course)));
    let sent = sent_numbers(history.step(at(1), Message::Tick { wall: 0 }));
    assert_eq!(sent.len(), usize::from(case.durable));
}

struct OutboxCase {
    /// Messages with their time in seconds.
    messages: Vec<(u64, Message)>,
    /// Expected numbers of the items in each batch.
    sent: Vec<Vec<u64>>,
}

/// Guards against outcomes that are dropped before a control instance has stored them, or sent
/// again after that.
#[rstest]
#[case::sent_again_until_stored(OutboxCase {
    messages: vec![
        (1, record(1, Some(failed_course()))),
        (1, Message::Tick { wall: 0 }),
        (2, record(2, Some(failed_course()))),
        (3, Message::Tick { wall: 0 }),
        (4, Message::Sent { through: 1, stored: false }),
        (5, Message::Tick { wall: 0 }),
        (9, Message::Tick { wall: 0 }),
        (9, Message::Sent { through: 2, stored: true }),
        (20, Message::Tick { wall: 0 }),
    ],
    sent: vec![vec![1], vec![1, 2]],
})]
#[case::drain_sends_at_once(OutboxCase {
    messages: vec![
        (1, record(1, Some(failed_course()))),
        (1, Message::Tick { wall: 0 }),
        (1, Message::Sent { through: 1, stored: true }),
        (2, record(2, Some(failed_course()))),
        (2, Message::Drain { wall: 0 }),
        (2, Message::Sent { through: 2, stored: true }),
    ],
    sent: vec![vec![1], vec![2]],
})]
#[case::summaries_every_minute(OutboxCase {
    messages: vec![
        (1, Message::Tally(vec![(name("s"), name("k"), Summary { latencies: vec![(9, 2)], counts: BTreeMap::new() })])),
        (59, Message::Tick { wall: 0 }),
        (60, Message::Tick { wall: 0 }),
    ],
    sent: vec![vec![1]],
})]
fn outbox_is_sent(#[case] case: OutboxCase) {
    let mut history = history();
    let mut batches = Vec::new();
    for (seconds, message) in case.messages {
        batches.push(sent_numbers(history.step(at(seconds), message)));
    }
    batches.retain(|batch| !batch.is_empty());
    assert_eq!(batches, case.sent);
}

/// Guards against a burst of failures that exceeds the rate limit, and against outcomes that are
/// dropped without being counted.
#[test]
fn failure_burst_is_limited_and_counted() {
    let mut history = history();
    let (outcomes, seconds) = (50_000_u64, 10);
    let mut bytes = 0;
    let mut last = 0;
    for second in 0..seconds {
        for n in 0..outcomes / seconds {
            history.step(at(second), record(n as usize, Some(failed_course())));
        }
    }
    for tick in seconds..500 {
        for effect in history.step(at(tick), Message::Tick { wall: 0 }) {
            let Effect::Send { items, through } = effect else { continue };
            bytes += peer::encode(&items).len() as u64;
            last = through;
            history.step(at(tick), Message::Sent { through, stored: true });
        }
    }
    assert!(bytes <= BURST_BYTES + BYTES_PER_SECOND * seconds + 200, "{bytes} bytes");
    // All items but the last are outcomes; the last one holds the number of dropped outcomes.
    assert_eq!(history.dropped, (0, outcomes - (last - 1)));
}

struct StoreCase {
    /// Numbers of the items in each batch.
    batches: Vec<Vec<u64>>,
    /// Expected numbers of the items that are written, in order.
    kept: Vec<u64>,
    /// Expected number of missing items in a review.
    missed: u64,
}

/// Guards against outcomes that are stored twice after a lost confirmation, and against gaps that a
/// review doesn't report.
#[rstest]
#[case::sent_twice(StoreCase {
    batches: vec![vec![1, 2], vec![1, 2, 3]], kept: vec![1, 2, 3], missed: 0,
})]
#[case::late_batch(StoreCase {
    batches: vec![vec![1], vec![4], vec![2, 3]], kept: vec![1, 4, 2, 3], missed: 0,
})]
#[case::gap(StoreCase { batches: vec![vec![1], vec![4]], kept: vec![1, 4], missed: 2 })]
fn batches_are_stored_once(#[case] case: StoreCase) {
    let mut archive = Archive::new(10_000_000, Vec::new(), BTreeMap::new());
    let mut kept = Vec::new();
    for numbers in case.batches {
        let frames = numbers.iter().map(|&n| frame(&item(n, 1, 1, failed_course()))).collect();
        for effect in archive.step(at(0), ArchiveMessage::Store { ticket: 1, frames }) {
            if let ArchiveEffect::Append { frames, .. } = effect {
                kept.extend(frames.iter().map(|frame| frame.number));
            }
        }
    }
    assert_eq!(kept, case.kept);
    let review = archive.step(at(0), ArchiveMessage::Review { ticket: 1, from: 0, to: 9 });
    let Some(ArchiveEffect::Scan { report, .. }) = review.first() else { panic!("{review:?}") };
    assert_eq!(report.value()["missed_by_this_instance"], case.missed);
}

/// Performs the effects of an archive on real files; returns the steps that were read.
fn run_effects(files: &mut Files, effects: Vec<ArchiveEffect>) -> Vec<Event> {
    let mut events = Vec::new();
    for effect in effects {
        match effect {
            ArchiveEffect::Append { segment, offset, frames, .. } => {
                files.append(segment, offset, &frames).unwrap();
            },
            ArchiveEffect::Read { places, key, .. } => {
                let items = places.iter().filter_map(|place| files.read(*place));
                for item in items.filter_map(|bytes| peer::decode::<Item>(&bytes)) {
                    let Body::Outcome(outcome) = item.body else {
                        panic!("expected Body::Outcome")
                    };
                    assert_eq!(outcome.key, key);
                    events.extend(outcome.events);
                }
            },
            ArchiveEffect::Remove { segment } => files.remove(segment).unwrap(),
            ArchiveEffect::Ask { .. }
            | ArchiveEffect::Pick { .. }
            | ArchiveEffect::Scan { .. }
            | ArchiveEffect::Stored { .. } => {},
        }
    }
    events
}

struct DamageCase {
    /// Changes the bytes of the only segment between two starts.
    damage: fn(&mut Vec<u8>),
    /// Numbers of the requests that can still be explained.
    left: Vec<usize>,
}

/// Guards against a control instance that loses outcomes in a restart, can't start after a crash in
/// the middle of a write, or reads damaged bytes as outcomes.
#[rstest]
#[case::clean(DamageCase { damage: |_| (), left: vec![1, 2, 3] })]
#[case::incomplete_frame(DamageCase {
    damage: |bytes| bytes.truncate(bytes.len() - 5), left: vec![1, 2],
})]
#[case::incomplete_header(DamageCase {
    damage: |bytes| bytes.extend([9, 0, 0]), left: vec![1, 2, 3],
})]
#[case::zeros_at_the_end(DamageCase { damage: |bytes| bytes.extend([0; 64]), left: vec![1, 2, 3] })]
#[case::flipped_bit(DamageCase {
    damage: |bytes| {
        let last = bytes.len() - 4;
        bytes[last] ^= 1;
    },
    left: vec![1, 2],
})]
fn restart_keeps_outcomes(#[case] case: DamageCase) {
    let folder = tempfile::tempdir().unwrap();
    let (mut files, found) = Files::open(folder.path(), peer::decode::<Item>).unwrap();
    let mut archive = Archive::new(10_000_000, found.segments, found.held);
    for n in 1..=3_usize {
        let frames = vec![frame(&item(n as u64, 1, n, failed_course()))];
        let store = ArchiveMessage::Store { ticket: 1, frames };
        run_effects(&mut files, archive.step(at(0), store));
    }
    let path = fs::read_dir(folder.path()).unwrap().next().unwrap().unwrap().path();
    let mut bytes = fs::read(&path).unwrap();
    (case.damage)(&mut bytes);
    fs::write(&path, bytes).unwrap();

    let (mut files, found) = Files::open(folder.path(), peer::decode::<Item>).unwrap();
    let mut archive = Archive::new(10_000_000, found.segments, found.held);
    let frames = vec![frame(&item(9, 1, 9, failed_course()))];
    run_effects(&mut files, archive.step(at(0), ArchiveMessage::Store { ticket: 1, frames }));
    let explained: Vec<usize> = (1..=9)
        .filter(|&n| {
            let message = ArchiveMessage::Explain { ticket: 1, key: key(n) };
            run_effects(&mut files, archive.step(at(0), message)) == [event(n)]
        })
        .collect();
    assert_eq!(explained, [&case.left[..], &[9]].concat());
}

/// Guards against a history that fills the disk, and against removed items that are not counted.
#[test]
fn oldest_segments_are_removed_first() {
    let folder = tempfile::tempdir().unwrap();
    let (mut files, found) = Files::open(folder.path(), peer::decode::<Item>).unwrap();
    let limit = 10_000_000;
    let mut archive = Archive::new(limit, found.segments, found.held);
    let mut long = item(1, 1, 1, failed_course());
    for number in 1..=200 {
        long.number = number;
        if let Body::Outcome(outcome) = &mut long.body {
            outcome.key = key(number as usize);
            outcome.events[0].text = "x".repeat(100_000);
        }
        let frames = vec![frame(&long)];
        let store = ArchiveMessage::Store { ticket: 1, frames };
        run_effects(&mut files, archive.step(at(0), store));
    }
    let sizes = fs::read_dir(folder.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len());
    let bytes: u64 = sizes.sum();
    assert!(bytes <= limit, "{bytes} bytes");
    let dropped = serde_json::to_value(&archive).unwrap()["dropped"].as_u64().unwrap();
    for n in 1..=200_usize {
        let message = ArchiveMessage::Explain { ticket: 1, key: key(n) };
        let found = run_effects(&mut files, archive.step(at(0), message)).len();
        assert_eq!(found, usize::from(n as u64 > dropped), "request {n}, {dropped} dropped");
    }
}

/// Guards against outcomes that stay lost after a full disk: frames that could not be written are
/// accepted again and written at the end of the segment, which is unchanged.
#[test]
fn failed_write_is_accepted_again() {
    let mut archive = Archive::new(10_000_000, Vec::new(), BTreeMap::new());
    let store = || {
        let frames = vec![frame(&item(1, 1, 1, failed_course()))];
        ArchiveMessage::Store { ticket: 1, frames }
    };
    archive.step(at(0), store());
    let lost = vec![((name("e1"), 7), 1)];
    archive.step(at(0), ArchiveMessage::Failed { segment: 1, offset: 0, lost });
    let effects = archive.step(at(0), store());
    let Some(ArchiveEffect::Append { segment: 1, offset: 0, .. }) = effects.first() else {
        panic!("{effects:?}")
    };
}

/// The index uses the CRC-32 of the key, which has to match the index built when files are opened.
#[test]
fn index_hash_is_of_the_key() {
    assert_eq!(archive::hash(&key(1)), crc32fast::hash(b"k1"));
}

/// Guards against reviews that count items of other periods, omit refusals or report wrong latency
/// quantiles.
#[test]
fn review_counts_failures() {
    let mut report = Report::new(1_000, 61_000, 4, 5);
    let mut tally = Tally::default();
    for n in 0..1_000 {
        tally.add(if n < 985 { 1_000 } else { 50_000 }, "ran");
    }
    let summary =
        Body::Summary { service: name("balcao"), kind: name("quote"), summary: tally.summary() };
    let batch = course(Some(Class::Batch), Verdict::Ran, None, false);
    let refused = course(None, Verdict::NotRun, Some("over-quota"), false);
    let mut items = vec![
        item(1, 999, 1, failed_course()),
        item(2, 1_000, 2, failed_course()),
        item(3, 60_999, 3, refused.clone()),
        item(4, 60_999, 4, refused),
        item(5, 61_000, 5, failed_course()),
        item(6, 2_000, 6, batch),
        // Unknown at the caller's timeout, then final: counted as one late request.
        item(7, 3_000, 7, failed_course()),
        item(8, 4_000, 7, course(Some(Class::Once), Verdict::Ran, None, true)),
    ];
    items.push(Item { wall: 2_000, body: summary, ..items[0].clone() });
    items.push(Item { wall: 2_000, body: Body::Dropped { count: 3 }, ..items[0].clone() });
    items.into_iter().for_each(|item| report.add(item));
    let value = report.value();
    let row = &value["services"][0];
    let numbers = ["answers", "late", "p50_us", "p99_us", "batch_finished", "evictions"];
    let numbers = numbers.map(|field| row[field].as_u64().unwrap());
    // Latencies have two significant digits and are the upper end of their bucket.
    assert_eq!(numbers, [1_000, 2, 1_003, 50_175, 1, 0]);
    let causes: Vec<_> = value["causes"].as_array().unwrap().iter().collect();
    let shown: Vec<_> = causes
        .iter()
        .map(|c| (c["code"].as_str().unwrap(), c["count"].as_u64().unwrap()))
        .collect();
    assert_eq!(shown, [("over-quota", 2), ("late", 1), ("outcome-unknown", 1)]);
    assert_eq!(causes[0]["example"], "k4");
    let rest = ["not_sent", "missed_by_this_instance", "removed_for_size"];
    assert_eq!(rest.map(|field| value[field].as_u64().unwrap()), [3, 4, 5]);
}

struct GapCase {
    /// Item numbers that the requesting instance has.
    has: Vec<u64>,
    /// Expected item numbers that it is sent.
    sent: Vec<u64>,
}

/// Guards against a control instance that never gets the outcomes it missed while it was down, and
/// against items that are sent again and again.
#[rstest]
#[case::empty(GapCase { has: vec![], sent: vec![1, 2, 3, 4, 5] })]
#[case::complete(GapCase { has: vec![1, 2, 3, 4, 5], sent: vec![] })]
#[case::middle_and_end(GapCase { has: vec![1, 4], sent: vec![2, 3, 5] })]
#[case::more_items_than_the_other(GapCase { has: vec![1, 2, 3, 4, 5, 6], sent: vec![] })]
fn missing_items_are_sent(#[case] case: GapCase) {
    let store = |numbers: &[u64]| {
        let frames = numbers.iter().map(|&n| frame(&item(n, 1, 1, failed_course()))).collect();
        ArchiveMessage::Store { ticket: 1, frames }
    };
    let mut requester = Archive::new(10_000_000, Vec::new(), BTreeMap::new());
    requester.step(at(0), store(&case.has));
    let ask = requester.step(at(30), ArchiveMessage::Tick).pop();
    let Some(ArchiveEffect::Ask { held }) = ask else { panic!("{ask:?}") };
    assert!(requester.step(at(31), ArchiveMessage::Tick).is_empty());
    let mut responder = Archive::new(10_000_000, Vec::new(), BTreeMap::new());
    responder.step(at(0), store(&[1, 2, 3, 4, 5]));
    let pick = responder.step(at(0), ArchiveMessage::Missing { ticket: 1, held }).pop();
    let Some(ArchiveEffect::Pick { segments, held, .. }) = pick else { panic!("{pick:?}") };
    assert_eq!(segments.is_empty(), case.sent.is_empty());
    let sent: Vec<u64> =
        (1..=5).filter(|&n| archive::lacking(&held, &(name("e1"), 7), n)).collect();
    assert_eq!(sent, case.sent);
}

/// Compares `Ranges` with a plain set over seeded random changes.
#[rstest]
fn ranges_match_a_set(#[values(1, 2, 3, 4, 5)] seed: u64) {
    use rand::{Rng, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    let (mut ranges, mut set) = (Ranges::default(), std::collections::BTreeSet::new());
    for _ in 0..2_000 {
        let number = rng.random_range(1..=60_u64);
        if rng.random_bool(0.6) {
            assert_eq!(ranges.insert(number), set.insert(number));
        } else {
            ranges.remove(number);
            set.remove(&number);
        }
        let last = set.last().copied().unwrap_or(0);
        let gaps = ranges.gaps();
        let is_gap = |n: u64| gaps.iter().any(|&(from, to)| (from..=to).contains(&n));
        for n in 1..=61 {
            assert_eq!((ranges.contains(n), is_gap(n)), (set.contains(&n), !set.contains(&n)));
        }
        assert_eq!(ranges.missing(), last - set.len() as u64);
    }
}

/// Guards against evictions of jobs that a review omits or counts in another period, and against a
/// list of jobs without those with the most evictions.
#[test]
fn review_counts_evictions_of_jobs() {
    let body = |cause: &str| Body::Evicted { kind: name("sand"), cause: cause.to_owned() };
    let ended = |job: &str, evicted: u64| {
        Body::Ended(Ending {
            job: name(job),
            shop: name("klopca"),
            kind: name("sand"),
            outcome: "done".to_owned(),
            evictions: BTreeMap::from([("protect".to_owned(), evicted)]),
            resumed: evicted,
        })
    };
    let items = [
        (999, body("protect")),
        (1_000, body("protect")),
        (1_500, body("protect")),
        (1_500, body("waited")),
        (1_600, ended("pew", 0)),
        (1_700, ended("oak", 3)),
        (2_000, body("lost")),
    ];
    let mut report = Report::new(1_000, 2_000, 0, 0);
    for (wall, body) in items {
        report.add(Item { entry: name("jobs"), incarnation: 0, number: 1, wall, body });
    }
    let value = report.value();
    let evictions = value["evictions"].as_array().unwrap().iter();
    let evictions: Vec<_> = evictions
        .map(|row| (row["cause"].as_str().unwrap(), row["count"].as_u64().unwrap()))
        .collect();
    assert_eq!(evictions, [("protect", 2), ("waited", 1)]);
    let row = &value["services"][0];
    assert_eq!((row["evictions"].as_u64(), row["batch_finished"].as_u64()), (Some(3), Some(2)));
    assert_eq!(value["jobs"][0]["job"], "oak");
    assert_eq!(value["jobs_ended"]["done"], 2);
}

struct EvictionCase {
    /// Evictions and verdict of each outcome of one request, in order.
    outcomes: &'static [(u32, Verdict)],
    /// Expected number of evictions.
    counted: u64,
}

/// Guards against evictions of requests that a review omits, or counts again when an unknown
/// outcome becomes final.
#[rstest]
#[case::none(EvictionCase { outcomes: &[(0, Verdict::Ran)], counted: 0 })]
#[case::evicted_twice(EvictionCase { outcomes: &[(2, Verdict::Ran)], counted: 2 })]
#[case::unknown_before(EvictionCase {
    outcomes: &[(1, Verdict::MayHaveRun), (1, Verdict::Ran)], counted: 1,
})]
fn review_counts_evictions_of_requests(#[case] case: EvictionCase) {
    let mut report = Report::new(1_000, 2_000, 0, 0);
    for &(evictions, verdict) in case.outcomes {
        let course = Course { evictions, ..course(Some(Class::Batch), verdict, None, false) };
        report.add(item(1, 1_500, 1, course));
    }
    let counted = &report.value()["evictions"][0];
    assert_eq!(counted["count"].as_u64().unwrap_or(0), case.counted);
    assert_eq!(counted["cause"].as_str().unwrap_or("drain"), "drain");
}
