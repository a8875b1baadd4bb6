//! Tests of pacing on one runner with ten cores.

use rstest::rstest;

use super::*;
use crate::jobs::TaskKey;
use crate::pressure::Pressure;

const CORES: u64 = 10_000;

fn key(index: u16) -> RunKey {
    RunKey { task: TaskKey { job: 1, round: 0, step: 0, index }, run: 1 }
}

fn row(index: u16, figure: u32) -> RunStatus {
    RunStatus { key: key(index), saved: None, percent: 50, figure, share: 100 }
}

fn serves(target: u64) -> RunProfile {
    RunProfile { image: Some("quotes".into()), cores: 2_000, target, fills: false }
}

fn fills(image: &str) -> RunProfile {
    RunProfile { image: Some(image.into()), cores: 5_000, target: 0, fills: true }
}

/// A table with zero-variance estimates for the pressure of two images on `quotes`.
fn table() -> Table {
    let certain = |mean| Pressure { mean, variance: 0.0 };
    Table::for_image("quotes", 10.0, &[("heavy", certain(1.5)), ("light", certain(0.01))])
}

struct Case {
    /// Tail latency in ms, with a target of 50 ms and a base latency of 10 ms; 0 for no such task.
    tail: u32,
    /// Image and used millicores of each filling task.
    filling: Vec<(&'static str, u32)>,
    /// Expected shares sent to the runner, in percent.
    sent: Vec<u8>,
}

/// Only images that interfere may be slowed down. The figures are from a runner on a calm day,
/// where the tail latency of a service rose beside some images and not beside others.
#[rstest]
#[case::light_keeps_full_speed(Case { tail: 30, filling: vec![("light", 5_000)], sent: vec![] })]
#[case::heavy_fits(Case { tail: 12, filling: vec![("heavy", 0)], sent: vec![77] })]
#[case::heavy_is_slowed(Case { tail: 40, filling: vec![("heavy", 2_500)], sent: vec![50] })]
#[case::heavy_stops_without_headroom(Case {
    tail: 50,
    filling: vec![("heavy", 500)],
    sent: vec![0],
})]
#[case::only_heavy_is_slowed(Case {
    tail: 60,
    filling: vec![("light", 2_500), ("heavy", 2_500)],
    sent: vec![39],
})]
#[case::nothing_serves(Case { tail: 0, filling: vec![("heavy", 5_000)], sent: vec![] })]
fn shares_follow_from_tail_latency(#[case] case: Case) {
    let mut pacing = Pacing::default();
    pacing.set_table(table());
    let mut rows = Vec::new();
    let mut profiles = BTreeMap::new();
    if case.tail > 0 {
        rows.push(row(0, case.tail));
        profiles.insert(key(0), serves(50));
    }
    for ((image, used), index) in case.filling.into_iter().zip(1..) {
        rows.push(row(index, used));
        profiles.insert(key(index), fills(image));
    }
    let sent = pacing.step(Moment::micros(1_000_000), CORES, &rows, &profiles);
    assert_eq!(sent.iter().map(|(_, share)| *share).collect::<Vec<_>>(), case.sent);
}

/// Guards against wrong estimates: once a service has been over its target for two seconds, all
/// filling tasks are stopped, and their shares then grow back in steps.
#[test]
fn service_over_its_target_stops_all_filling() {
    let mut pacing = Pacing::default();
    pacing.set_table(table());
    let profiles = BTreeMap::from([(key(0), serves(50)), (key(1), fills("light"))]);
    let mut shares = Vec::new();
    for half in 0..10 {
        let tail = if half < 6 { 80 } else { 15 };
        let now = Moment::micros(1_000_000 + half * 500_000);
        pacing.step(now, CORES, &[row(0, tail), row(1, 5_000)], &profiles);
        shares.push(pacing.share_of(key(1)));
    }
    assert_eq!(shares, [100, 100, 100, 100, 0, 0, 30, 60, 90, 100]);
}

/// A new task is slowed down from its start, before figures show its effect on others.
#[rstest]
#[case::light("light", None)]
#[case::heavy("heavy", Some(14))]
fn new_task_is_paced_at_once(#[case] image: &str, #[case] sent: Option<u8>) {
    let mut pacing = Pacing::default();
    pacing.set_table(table());
    let profiles = BTreeMap::from([(key(0), serves(50))]);
    pacing.step(Moment::micros(1_000_000), CORES, &[row(0, 28)], &profiles);
    assert_eq!(pacing.admit(key(1), &fills(image)), sent);
    assert_eq!(pacing.admit(key(1), &fills(image)), None);
}

struct Late {
    late: Vec<u16>,
    /// Expected shares of the two tasks, in percent.
    shares: [u8; 2],
}

/// With headroom for one task only, the task whose job can still meet its objective gets it.
#[rstest]
#[case::both_on_time(Late { late: vec![], shares: [77, 0] })]
#[case::late_run_gives_way(Late { late: vec![1], shares: [0, 77] })]
#[case::both_late(Late { late: vec![1, 2], shares: [77, 0] })]
fn late_run_gives_way(#[case] case: Late) {
    let mut pacing = Pacing::default();
    pacing.set_table(table());
    pacing.set_late(case.late.into_iter().map(key).collect());
    let profiles =
        BTreeMap::from([(key(0), serves(50)), (key(1), fills("heavy")), (key(2), fills("heavy"))]);
    let rows = [row(0, 12), row(1, 0), row(2, 0)];
    pacing.step(Moment::micros(1_000_000), CORES, &rows, &profiles);
    assert_eq!([1, 2].map(|index| pacing.share_of(key(index))), case.shares);
}

struct Probe {
    /// Tail latency in ms, with a target of 50 ms and a base latency of 10 ms.
    tail: u32,
    images: Vec<&'static str>,
    /// Probed tasks, with the half seconds at which the probe begins and ends.
    probes: Vec<(u16, u64, u64)>,
}

/// A task without a share is probed while the service has a margin to its target, one task at a time
/// and sooner if its effect is in doubt. Otherwise a wrong estimate is never corrected, since a task
/// at a share of 0 shows no effect, and a task that does disturb others never ends.
#[rstest]
#[case::doubtful(Probe { tail: 41, images: vec!["new"], probes: vec![(1, 6, 8), (1, 14, 16)] })]
#[case::known(Probe { tail: 41, images: vec!["heavy"], probes: vec![(1, 24, 26)] })]
#[case::one_at_a_time(Probe {
    tail: 41, images: vec!["new", "new"], probes: vec![(1, 6, 8), (2, 14, 16)],
})]
#[case::no_margin(Probe { tail: 49, images: vec!["new"], probes: vec![] })]
#[case::over_target(Probe { tail: 60, images: vec!["new"], probes: vec![] })]
fn paused_run_is_probed(#[case] case: Probe) {
    let mut pacing = Pacing::default();
    pacing.set_table(table());
    let mut profiles = BTreeMap::from([(key(0), serves(50))]);
    let mut rows = vec![row(0, case.tail)];
    for (image, index) in case.images.into_iter().zip(1..) {
        profiles.insert(key(index), fills(image));
        rows.push(row(index, 0));
    }
    let last = case.probes.iter().map(|(_, _, end)| *end).max().unwrap_or(40);
    for half in 0..=last {
        let now = Moment::micros(1_000_000 + half * 500_000);
        pacing.step(now, CORES, &rows, &profiles);
        for index in 1..rows.len() as u16 {
            let probed = |&(task, begin, end): &(u16, u64, u64)| {
                task == index && (begin..end).contains(&half)
            };
            let share = pacing.share_of(key(index));
            let expected = case.probes.iter().any(probed);
            assert_eq!(share > 0, expected, "task {index} at half second {half}: {share}%");
            assert!(share <= MAX_INCREASE);
        }
    }
}
