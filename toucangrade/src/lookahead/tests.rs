//! Tests of the look-ahead: replays of loads, and single decisions.

use rstest::rstest;

use super::forecast::earliest;
use super::replay::{KINDS, Load, Outcome, Replay};
use super::reservations::SERVICE_LIMIT;
use super::*;
use crate::core::Name;
use crate::jobs::Incarnation;

const MIXED: Load = Load {
    small: 13.0,
    wide: 0.5,
    lasting: 0.22,
    gang: 0.2,
    life: 16.0,
    runners: &[32, 32, 32, 32, 48, 96],
    secs: 30,
};
const FULLER: Load = Load { small: 15.0, lasting: 0.25, ..MIXED };
const UNIFORM: Load = Load { small: 30.0, wide: 0.0, lasting: 0.0, gang: 0.0, ..MIXED };

fn replay(load: &Load, seed: u64, lookahead: Lookahead) -> Outcome {
    Replay::new(load, seed, lookahead).run(load)
}

fn unchanged(_: &Room, _: &[Need]) -> u64 {
    0
}

fn best_fit(room: &Room, _: &[Need]) -> u64 {
    u64::MAX - room.after.millicores
}

/// Prefers runners whose free room is least like what waits (Tetris).
fn dot_product(room: &Room, wanted: &[Need]) -> u64 {
    let parts = |need: &Need| (need.millicores as f64, need.memory as f64 / 4.0);
    let free = parts(&room.after);
    let dot = |need: &Need| parts(need).0 * free.0 + parts(need).1 * free.1;
    u64::MAX / 2 - wanted.iter().map(dot).sum::<f64>() as u64
}

/// Prints the figures of docs/design/lookahead.md.
#[test]
#[ignore = "prints figures"]
fn figures() {
    let policies: [(&str, bool, Score, usize); 8] = [
        ("off", false, unchanged, 0),
        ("gap slots", true, keep_slots, 0),
        ("gap best", true, best_fit, 0),
        ("gap dot", true, dot_product, 0),
        ("reserve", true, unchanged, SERVICE_LIMIT),
        ("both slots", true, keep_slots, SERVICE_LIMIT),
        ("both best", true, best_fit, SERVICE_LIMIT),
        ("both dot", true, dot_product, SERVICE_LIMIT),
    ];
    for (load, seeds) in [(MIXED, 1..=12), (FULLER, 1..=12), (UNIFORM, 1..=2)] {
        for (name, on, score, limit) in policies {
            let mut all = Outcome::default();
            for seed in seeds.clone() {
                let lookahead = Lookahead::new(on).with_policy(score, limit);
                all.merge(replay(&load, seed, lookahead));
            }
            let mut line = format!("small {} {name:<10}", load.small);
            for kind in &KINDS {
                let [median, high, highest] = [50, 95, 99].map(|p| all.wait(kind, p));
                line += &format!(" {kind} {median}/{high}/{highest}");
            }
            let (idle, made) = (all.idle / seeds.clone().count() as f64, all.made);
            println!("{line} idle {idle:.1} reserved {:.1} made {made}", all.reserved);
        }
    }
}

struct ReplayCase {
    load: Load,
    seed: u64,
    /// Kinds whose waits become shorter.
    shorter: Vec<&'static str>,
}

/// Guards against a look-ahead that doesn't serve large steps sooner on the same draws, slows the
/// usual small job down, or keeps more than a tenth of the capacity idle.
#[rstest]
#[case::mixed(ReplayCase { load: MIXED, seed: 3, shorter: vec!["wide"] })]
#[case::fuller(ReplayCase { load: FULLER, seed: 1, shorter: vec!["lasting", "wide"] })]
fn large_steps_wait_less(#[case] case: ReplayCase) {
    let [off, on] = [false, true].map(|on| replay(&case.load, case.seed, Lookahead::new(on)));
    for kind in case.shorter {
        let (on, off) = (on.wait(kind, 95), off.wait(kind, 95));
        assert!(on < off, "{kind} waits {on} ms, {off} ms without the look-ahead");
    }
    let (on_small, off_small) = (on.wait("small", 50), off.wait("small", 50));
    assert!(on_small <= off_small + 20, "small jobs wait {on_small} ms instead of {off_small} ms");
    assert!(on.reserved <= 10.0, "{} percent are idle for reservations", on.reserved);
}

/// Uniform small jobs must be placed as without the look-ahead: it has nothing to gain there.
#[test]
fn uniform_jobs_are_placed_as_before() {
    let load = Load { secs: 8, ..UNIFORM };
    let (off, on) = (Lookahead::new(false), Lookahead::new(true));
    let (off, on) = (replay(&load, 1, off), replay(&load, 1, on));
    assert_eq!((on.made, on.waits), (0, off.waits));
}

fn cores(cores: u64) -> Need {
    Need { millicores: cores * 1_000, memory: cores, accelerators: 0 }
}

fn at(secs: u64) -> Moment {
    Moment::START + Span::secs(secs)
}

struct ForecastCase {
    /// Free cores of each runner, and its ends as (second, cores).
    places: Vec<(u64, Vec<(u64, u64)>)>,
    /// Tasks, and the cores that each needs.
    tasks: (u64, u64),
    gang: bool,
    /// Runner that is reserved already.
    kept: usize,
    /// Expected slots as (runner, tasks, second, spare cores).
    slots: Vec<(usize, u64, u64, u64)>,
}

/// Guards against reservations at a later time or at another place than where the tasks fit first,
/// and against gangs that get room for a part of their members.
#[rstest]
#[case::first_end(ForecastCase {
    places: vec![(2, vec![(5, 4)]), (3, vec![(2, 1), (3, 4)])],
    tasks: (1, 6), gang: false, kept: 0, slots: vec![(1, 1, 3, 2)],
})]
#[case::tasks_start_one_by_one(ForecastCase {
    places: vec![(0, vec![(5, 4), (6, 4)])],
    tasks: (2, 4), gang: false, kept: 0, slots: vec![(0, 2, 6, 0)],
})]
#[case::gang_starts_when_all_fit(ForecastCase {
    places: vec![(4, vec![]), (0, vec![(7, 5)])],
    tasks: (2, 4), gang: true, kept: 0, slots: vec![(0, 1, 7, 0), (1, 1, 7, 1)],
})]
#[case::gang_without_room(ForecastCase {
    places: vec![(4, vec![]), (0, vec![(7, 3)])],
    tasks: (2, 4), gang: true, kept: 0, slots: vec![],
})]
#[case::reserved_runner_is_kept(ForecastCase {
    places: vec![(0, vec![(4, 4)]), (0, vec![(4, 4)])],
    tasks: (1, 4), gang: false, kept: 1, slots: vec![(1, 1, 4, 0)],
})]
fn forecast(#[case] case: ForecastCase) {
    let name = |at: usize| Name::new(&format!("i-{at}")).expect("a valid name");
    let mut places = Vec::new();
    for (free, ends) in &case.places {
        places.push(Place {
            incarnation: Incarnation { runner: name(places.len()), born: 1 },
            free: cores(*free),
            ends: ends.iter().map(|(secs, need)| (at(*secs), cores(*need))).collect(),
            claimed: Need::default(),
            most: u64::MAX,
        });
    }
    let ((count, need), kept) = (case.tasks, name(case.kept));
    let kept = |incarnation: &Incarnation| incarnation.runner == kept;
    let slots = earliest(&places, at(1), &cores(need), count, case.gang, kept);
    let shown = slots.iter().map(|slot| {
        let (start, spare) = (slot.start.as_micros() / 1_000_000, slot.spare.millicores / 1_000);
        (slot.place, slot.tasks, start, spare)
    });
    assert_eq!(shown.collect::<Vec<_>>(), case.slots);
}

struct EndCase {
    /// Durations seen before, in seconds.
    seen: Vec<u64>,
    /// Age of the run, and its reported progress.
    age: u64,
    percent: u8,
    /// Expected second of the end; the run began at 0.
    end: Option<u64>,
}

/// Guards against ends forecast from nothing, and against runs that are expected to end in the past.
#[rstest]
#[case::nothing_known(EndCase { seen: vec![4; 7], age: 1, percent: 0, end: None })]
#[case::mean(EndCase { seen: vec![4; 8], age: 1, percent: 0, end: Some(4) })]
#[case::progress(EndCase { seen: vec![4; 8], age: 3, percent: 50, end: Some(6) })]
#[case::progress_alone(EndCase { seen: vec![], age: 3, percent: 50, end: Some(6) })]
#[case::past_the_estimate(EndCase { seen: vec![4; 8], age: 6, percent: 0, end: Some(9) })]
fn expected_end(#[case] case: EndCase) {
    let (mut durations, address) = (Durations::default(), ("shop".into(), "/match/".into()));
    for secs in case.seen {
        durations.record((Arc::clone(&address.0), Arc::clone(&address.1)), Span::secs(secs));
    }
    let run = Progress { began: at(0), seen: at(case.age), percent: case.percent };
    let end = durations.learned(&address).expected_end(at(case.age), run);
    assert_eq!(end, case.end.map(at));
}

struct ClaimCase {
    /// Cores that the reserved task needs.
    need: u64,
    /// Second at which its room becomes free, as forecast in seconds 1, 2 and so on.
    forecasts: Vec<u64>,
    /// Free cores of its runner afterwards; `None` if it takes no new work any more.
    free: Option<u64>,
    /// Free cores of the service of 40.
    total: u64,
    /// Whether a task that ends in second 9 may go ahead; `None` if nothing is reserved.
    admitted: Option<bool>,
    reservations: u64,
}

/// Guards against reservations that keep more idle than allowed or outlast their runner, and against
/// owners that starve because each forecast is wrong.
#[rstest]
#[case::ends_before(ClaimCase {
    need: 4, forecasts: vec![10], free: Some(2), total: 4, admitted: Some(true), reservations: 1,
})]
#[case::ends_after(ClaimCase {
    need: 4, forecasts: vec![8], free: Some(2), total: 4, admitted: Some(false), reservations: 1,
})]
#[case::pushed_back(ClaimCase {
    need: 4, forecasts: vec![8, 9, 10], free: Some(2), total: 4, admitted: Some(true),
    reservations: 1,
})]
#[case::pushed_back_too_often(ClaimCase {
    need: 4, forecasts: vec![8, 9, 10, 11], free: Some(2), total: 4, admitted: Some(false),
    reservations: 1,
})]
#[case::too_much_idle(ClaimCase {
    need: 6, forecasts: vec![8], free: Some(5), total: 5, admitted: None, reservations: 1,
})]
#[case::runner_lost(ClaimCase {
    need: 4, forecasts: vec![8], free: None, total: 4, admitted: None, reservations: 0,
})]
#[case::half_is_free(ClaimCase {
    need: 4, forecasts: vec![8], free: Some(2), total: 20, admitted: None, reservations: 0,
})]
fn reservation(#[case] case: ClaimCase) {
    let service: Arc<str> = "atelier".into();
    let incarnation = Incarnation { runner: Name::new("i-1").expect("a valid name"), born: 1 };
    let mut usage = Usage::default();
    usage.add(&cores(40), &cores(case.total));
    let usage = BTreeMap::from([(Arc::clone(&service), usage)]);
    let mut lookahead = Lookahead::new(true);
    for (end, now) in case.forecasts.iter().zip(1..) {
        lookahead.begin(at(now), usage.clone());
        let passed = Passed {
            owner: TaskKey { job: 1, round: 0, step: 0, index: 0 },
            service: Arc::clone(&service),
            urgency: (0, 0),
            need: cores(case.need),
            count: 1,
            reason: Reason::Large,
        };
        let place = Place {
            incarnation: incarnation.clone(),
            free: cores(0),
            ends: vec![(at(*end), cores(case.need))],
            claimed: Need::default(),
            most: 0,
        };
        let mut places = BTreeMap::from([(Arc::clone(&service), vec![place])]);
        lookahead.look(&[passed], &mut places, |_, _| u64::MAX);
    }
    let claims = lookahead.claims(|_| case.free.map(cores));
    let work = Work { job: 2, urgency: (0, 0), end: Some(at(9)) };
    let admitted = claims.first().map(|(_, claim)| claim.admits(&work, &cores(1)));
    assert_eq!(admitted, case.admitted);
    assert_eq!(lookahead.changed_gauges().map_or(0, |(count, _)| count), case.reservations);
}
