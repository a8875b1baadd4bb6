//! Tests of urgent jobs, gangs, held workers, protection of quick tasks, learned sizes and quotas.

use rstest::rstest;

use super::*;

struct Urgent {
    /// Number of running jobs; 24 fill all workers.
    running: u64,
    gang: u32,
    evicted: u64,
}

/// Guards against urgent jobs that wait behind other jobs, and needless evictions for them.
#[rstest]
#[case::room(Urgent { running: 3, gang: 1, evicted: 0 })]
#[case::full(Urgent { running: 24, gang: 1, evicted: 1 })]
#[case::gang(Urgent { running: 24, gang: 2, evicted: 2 })]
fn urgent_work_starts_within_its_limit(#[case] case: Urgent) {
    let mut harness = Harness::with(3, Settings::latency().baseline(Rank::LeastLoaded));
    for i in 0..case.running {
        let job = format!("j-{i}");
        harness.submit(spec(&job, 4));
        harness.confirm_start(&job, 1);
    }
    let before = harness.now;
    harness.submit(Spec { urgent: true, gang: case.gang, ..spec("u", 4) });
    while harness.starts("u").is_empty() {
        harness.ticks(1);
        assert!(harness.now.since(before) < Span::millis(4_100), "not started in time");
        // Workers confirm stops half a second later.
        let stops = harness.effects.iter().filter_map(|effect| match effect {
            Effect::Stop(target) => Some(target.clone()),
            _ => None,
        });
        let stops: Vec<_> = stops.collect();
        if !stops.is_empty() {
            harness.ticks(2);
        }
        for target in stops {
            harness.report(&target, Event::Stopped(Checkpoint::default()));
        }
    }
    assert_eq!(harness.planner.counts().evicted, case.evicted);
}

/// Guards against gangs that start partially, or that deadlock with partial reservations.
#[test]
fn gangs_start_whole_or_not_at_all() {
    // The workers have 32 cores each: beside `a` and `b`, two of the three have no room for a
    // member.
    let mut harness = Harness::new(3);
    for (job, cores) in [("a", 20), ("b", 20)] {
        harness.submit(spec(job, cores));
        harness.confirm_start(job, 1);
    }
    for gang in ["g", "h"] {
        harness.submit(Spec { gang: 3, ..spec(gang, 16) });
    }
    harness.ticks(4);
    assert!(harness.starts("g").is_empty() && harness.starts("h").is_empty());
    for job in ["a", "b"] {
        let target = harness.last_start(job);
        harness.report(&target, Event::Finished);
    }
    harness.ticks(4);
    for gang in ["g", "h"] {
        let workers: BTreeSet<_> = harness.starts(gang).into_iter().map(|s| s.0.worker).collect();
        assert_eq!(workers.len(), 3, "{gang}");
        for (target, _) in harness.starts(gang) {
            harness.report(&target, Event::Finished);
        }
        harness.ticks(4);
        assert_eq!(harness.outcome(gang), Some(Outcome::Done));
    }
}

/// Guards against a large job that never starts while small ones keep arriving.
#[test]
fn a_large_job_is_not_starved_by_small_ones() {
    let settings = Settings { max_wait: Span::secs(10), ..Settings::latency() };
    let mut harness = Harness::with(2, settings);
    let mut running: VecDeque<Target> = VecDeque::new();
    for i in 0..400 {
        let job = format!("j-{i}");
        harness.submit(spec(&job, 4));
        if i == 20 {
            harness.submit(spec("large", 30));
        }
        harness.ticks(1);
        let new = harness.effects.drain(..).filter_map(|effect| match effect {
            Effect::Start { target, .. } => Some(target),
            _ => None,
        });
        running.extend(new.collect::<Vec<_>>());
        if running.iter().any(|target| target.job.as_str() == "large") {
            return;
        }
        for target in &running {
            let target = target.clone();
            harness
                .planner
                .step(harness.now, Message::Report(Report { event: Event::Started, target }));
        }
        if i > 20
            && let Some(target) = running.pop_front()
        {
            harness.report(&target, Event::Finished);
        }
    }
    panic!("the large job never started");
}

/// A planner with two workers, on each of which two batch jobs slow quick tasks down.
fn interference_harness(relocate: f64) -> Harness {
    let mut harness = Harness::with(2, Settings { relocate, ..Settings::latency() });
    for job in ["a", "b"] {
        harness.submit(Spec { gang: 2, ..spec(job, 6) });
        for (target, _) in harness.starts(job) {
            harness.report(&target, Event::Started);
        }
    }
    harness
}

/// Adds a quick task to the first worker, and reports its latency for a number of 5 s windows.
fn report_latencies(harness: &mut Harness, ratio: f64, windows: u64) {
    for _ in 0..windows {
        let tasks = vec![QuickTask {
            kind: name("quote"),
            load: 0.5,
            service: name("balcao"),
            shop: name("albuquerque-neto"),
            size: Size::new(4_000, 4_000, 0),
        }];
        harness.send(Message::Quick { tasks, worker: worker(0) });
        harness.ticks(20);
        harness.send(Message::Latency(Latency {
            from: Span::secs(5),
            kind: name("quote"),
            ratio,
            service: name("balcao"),
            until: Span::ZERO,
            worker: worker(0),
        }));
    }
}

/// Guards against evictions if throttling is enough, and shares that change back and forth.
#[test]
fn throttling_comes_before_eviction_and_does_not_oscillate() {
    let mut harness = interference_harness(2.0);
    report_latencies(&mut harness, 1.6, 6);
    let throttles = harness.count(|effect| matches!(effect, Effect::Throttle { .. }));
    assert!(throttles > 0, "no task was throttled");
    assert_eq!(harness.planner.counts().evicted, 0);
    assert!(throttles <= 24, "{throttles} changes of shares in 30 s");
    report_latencies(&mut harness, 1.0, 120);
    let back = harness.planner.workers[0].tasks.iter().all(|task| task.share == 100);
    assert!(back, "shares were not raised after the latency recovered");
}

/// Guards against new batch jobs on a worker whose quick tasks are already slowed down.
#[test]
fn new_jobs_avoid_workers_at_risk() {
    let mut harness = interference_harness(2.0);
    report_latencies(&mut harness, 4.0, 40);
    for i in 0..4 {
        harness.submit(spec(&format!("n-{i}"), 2));
        assert_eq!(harness.last_start(&format!("n-{i}")).worker, worker(1));
    }
}

/// Guards against a latency report that is attributed to the tasks that run when it arrives instead
/// of those that ran when it was measured.
#[test]
fn a_late_report_is_joined_with_what_ran_when_it_was_measured() {
    let mut harness = Harness::new(1);
    report_latencies(&mut harness, 1.0, 1);
    harness.submit(Spec { kind: name("early"), ..spec("a", 6) });
    harness.ticks(40);
    let target = harness.confirm_start("a", 1);
    harness.report(&target, Event::Finished);
    harness.submit(Spec { kind: name("late"), ..spec("b", 6) });
    harness.confirm_start("b", 1);
    harness.ticks(8);
    // All reports were measured while only jobs of the kind `early` ran.
    for _ in 0..30 {
        harness.send(Message::Latency(Latency {
            from: Span::secs(7),
            kind: name("quote"),
            ratio: 2.0,
            service: name("balcao"),
            until: Span::millis(2_500),
            worker: worker(0),
        }));
    }
    let (early, late) = (name("early"), name("late"));
    let model = &mut harness.planner.model;
    let (early, late) = (model.kind(&early), model.kind(&late));
    assert!(model.slope(0, early).mean > 2.0, "{:?}", model.slope(0, early));
    assert!(model.slope(0, late).error >= 1.0, "{:?}", model.slope(0, late));
}

struct Sizing {
    used: Size,
    /// Upper bound of the grant.
    grant: Size,
}

/// Guards against grants of the declared size although measured usage differs.
#[rstest]
#[case::smaller(Sizing { used: Size::new(1_000, 1_000, 0), grant: Size::new(1_100, 1_200, 0) })]
#[case::as_declared(Sizing { used: Size::new(3_800, 3_800, 0), grant: Size::new(4_100, 4_400, 0) })]
fn sizes_follow_usage(#[case] case: Sizing) {
    let mut harness = Harness::new(3);
    for i in 0..8 {
        let job = format!("j-{i}");
        harness.submit(spec(&job, 4));
        let target = harness.confirm_start(&job, 1);
        harness.send(Message::Usage(Usage {
            from: Span::secs(7),
            jobs: vec![(name(&job), target.fence, case.used)],
            quick: Vec::new(),
            until: Span::secs(2),
            worker: target.worker.clone(),
        }));
        harness.report(&target, Event::Finished);
    }
    let grant = harness.planner.sizes.grant(&name("cut-list"), Size::new(4_000, 4_000, 0), 0);
    assert!(case.used.fits(grant) && grant.fits(case.grant), "{grant:?}");
}

/// Guards against a job that is started again with the same memory after a guard stop, and a guard
/// stop that counts as a failure of the worker.
#[test]
fn memory_grows_after_a_guard_stop() {
    let mut harness = Harness::new(3);
    harness.submit(spec("j", 4));
    let target = harness.confirm_start("j", 1);
    harness.report(&target, Event::Failed(Fault::Memory));
    harness.ticks(2);
    let grants = harness.effects.iter().filter_map(|effect| match effect {
        Effect::Start { grant, .. } => Some(grant.memory),
        _ => None,
    });
    let grants: Vec<u64> = grants.collect();
    assert_eq!(grants, [4_000, 6_000]);
    assert_eq!(harness.planner.workers[0].health.failure_streak(), 0);
}

/// Guards against resources that stay reserved for a rejected proposal.
#[test]
fn a_rejected_assignment_is_proposed_again() {
    let mut planner = Harness::new(1).planner;
    let now = Moment::micros(2_000_000_000);
    planner.step(now, Message::Submit(spec("j", 30)));
    for round in 0..3 {
        let effects = planner.step(now, Message::Tick);
        let decision = effects.into_iter().find_map(|effect| match effect {
            Effect::Propose(decision) => Some(decision),
            _ => None,
        });
        let decision = decision.unwrap_or_else(|| panic!("no proposal in round {round}"));
        assert!(matches!(decision, Decision::Assign { fence: 1, .. }));
        planner.step(now, Message::Rejected(decision));
    }
}

/// Guards against a team whose jobs start beyond its quota.
#[test]
fn a_job_over_quota_waits_with_the_quota_reason() {
    let mut harness = Harness::new(2);
    let limit = Some(Size::new(6_000, 60_000, 0));
    harness.send(Message::Quota(Quota { team: name("fitters"), weight: 1, limit }));
    harness.submit(spec("a", 4));
    harness.submit(spec("b", 4));
    assert_eq!(harness.planner.waits(&name("b")), Some(Finding::Quota));
    let target = harness.confirm_start("a", 1);
    harness.report(&target, Event::Finished);
    harness.ticks(1);
    assert_eq!(harness.starts("b").len(), 1);
}

/// Guards against a state dump that can't be serialized.
#[test]
fn the_state_serializes() {
    let mut harness = Harness::new(2);
    harness.submit(spec("j", 4));
    let value = serde_json::to_value(&harness.planner).unwrap();
    assert!(value["jobs"]["j"].is_object());
}

/// Latency ratio of a quick task under its shop's objective, and what happens to the batch jobs
/// beside it.
struct ObjectiveCase {
    objective: Objective,
    ratio: f64,
    throttled: bool,
    moved: bool,
}

/// Guards against a quick task that is protected by the tolerance or relocation limit of another
/// shop.
#[rstest]
#[case::latency_throttles(ObjectiveCase {
    objective: Objective::Latency, ratio: 1.6, throttled: true, moved: false,
})]
#[case::throughput_tolerates(ObjectiveCase {
    objective: Objective::Throughput, ratio: 1.6, throttled: false, moved: false,
})]
#[case::latency_moves(ObjectiveCase {
    objective: Objective::Latency, ratio: 4.0, throttled: true, moved: true,
})]
#[case::throughput_moves_later(ObjectiveCase {
    objective: Objective::Throughput, ratio: 4.0, throttled: true, moved: false,
})]
fn quick_tasks_use_the_objective_of_their_shop(#[case] case: ObjectiveCase) {
    let mut harness = Harness::new(1);
    for job in ["a", "b"] {
        harness.submit(spec(job, 6));
        harness.confirm_start(job, 1);
    }
    // The first shop is the one whose latency `report_latencies` reports.
    let shops = [("albuquerque-neto", case.objective), ("klopca", Objective::Latency)];
    let shops = shops.map(|(shop, objective)| (name(shop), objective));
    harness.send(Message::Shops(shops.into_iter().collect()));
    report_latencies(&mut harness, case.ratio, 12);
    let throttled = harness.count(|effect| matches!(effect, Effect::Throttle { .. })) > 0;
    let moved = harness.count(|effect| matches!(effect, Effect::Checkpoint(_))) > 0;
    assert_eq!((throttled, moved), (case.throttled, case.moved));
}

/// Guards against workers that are held for a job before the `max_wait` of its own shop has passed.
#[rstest]
#[case::latency(Objective::Latency, true)]
#[case::throughput(Objective::Throughput, false)]
fn workers_are_held_after_the_max_wait_of_the_shop(
    #[case] objective: Objective,
    #[case] held: bool,
) {
    let mut harness = Harness::new(1);
    harness.send(Message::Shops([(spec("x", 1).shop, objective)].into_iter().collect()));
    harness.submit(spec("a", 20));
    harness.confirm_start("a", 1);
    harness.submit(spec("b", 20));
    // 400 s, between the `max_wait` of the two objectives.
    harness.ticks(1_600);
    assert_eq!(harness.planner.drains.contains_key(&name("b")), held);
}

/// Memory in MB that five running tasks report every 5 s, and whether a later job of their kind is
/// granted less than declared while they still run.
struct MemoryReports {
    memory: [u64; 5],
    share: u8,
    learned: bool,
}

/// Guards against sizes that are only learned at the end of a run, and against a peak that is
/// learned while memory still grows or the task is throttled.
#[rstest]
#[case::settled(MemoryReports {
    memory: [500, 1_000, 1_000, 1_000, 1_010], share: 100, learned: true,
})]
#[case::grows(MemoryReports { memory: [500, 600, 700, 800, 900], share: 100, learned: false })]
#[case::grows_slowly(MemoryReports {
    memory: [500, 508, 516, 524, 532], share: 100, learned: false,
})]
#[case::throttled(MemoryReports { memory: [500; 5], share: 75, learned: false })]
fn sizes_are_learned_while_tasks_run(#[case] case: MemoryReports) {
    let mut harness = Harness::new(1);
    let targets = ["a", "b", "c", "d", "e"].map(|job| {
        harness.submit(spec(job, 4));
        harness.confirm_start(job, 1)
    });
    for task in &mut harness.planner.workers[0].tasks {
        task.share = case.share;
    }
    for memory in case.memory {
        let used = Size::new(1_000, memory, 0);
        let jobs = targets.iter().map(|t| (t.job.clone(), t.fence, used)).collect();
        harness.now = harness.now + Span::secs(5);
        harness.send(Message::Usage(Usage {
            from: Span::secs(7),
            jobs,
            quick: Vec::new(),
            until: Span::secs(2),
            worker: worker(0),
        }));
    }
    let grant = harness.planner.sizes.grant(&name("cut-list"), Size::new(4_000, 4_000, 0), 0);
    assert_eq!(grant.memory < 4_000, case.learned, "{grant:?}");
}
