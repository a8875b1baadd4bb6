//! Tests of the planner: job life cycle, fencing, leases, quarantine and replay.

mod begin;
mod order;
mod replay;

use rstest::rstest;

use super::*;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

/// A planner with a log that commits every proposal at once.
struct Harness {
    effects: Vec<Effect>,
    /// Submissions and committed decisions, for a replay.
    log: Vec<(Moment, Message)>,
    now: Moment,
    planner: Planner,
}

impl Harness {
    /// Creates a leading planner with `workers` workers of 32 cores.
    fn new(workers: usize) -> Self {
        Self::with(workers, Settings::latency())
    }

    fn with(workers: usize, settings: Settings) -> Self {
        let mut harness = Self {
            effects: Vec::new(),
            log: Vec::new(),
            now: Moment::micros(1_000_000_000),
            planner: Planner::new(settings),
        };
        for i in 0..workers {
            harness.join(i);
        }
        harness.send(Message::Lead);
        harness
    }

    fn join(&mut self, i: usize) {
        let accelerators = if i == 0 { 2 } else { 0 };
        self.send(Message::Worker(Instance {
            centre: name("olinda"),
            name: worker(i),
            rack: name(&format!("rack-{}", i / 3)),
            size: Size::new(32_000, 125_000, accelerators),
        }));
    }

    /// Passes a message to the planner, and commits its proposals.
    fn send(&mut self, message: Message) {
        if matches!(message, Message::Submit(_) | Message::Committed(_)) {
            self.log.push((self.now, message.clone()));
        }
        for effect in self.planner.step(self.now, message) {
            self.effects.push(effect.clone());
            if let Effect::Propose(decision) = effect {
                self.send(Message::Committed(decision));
            }
        }
    }

    /// Advances time by `count` ticks of 250 ms.
    fn ticks(&mut self, count: u64) {
        for _ in 0..count {
            self.now = self.now + Span::millis(250);
            self.send(Message::Tick);
        }
    }

    fn submit(&mut self, spec: Spec) {
        self.send(Message::Submit(spec));
        self.ticks(1);
    }

    /// Targets and checkpoints of all starts of a job, in order.
    fn starts(&self, job: &str) -> Vec<(Target, Checkpoint)> {
        let starts = self.effects.iter().filter_map(|effect| match effect {
            Effect::Start { target, from, .. } if target.job.as_str() == job => {
                Some((target.clone(), *from))
            },
            _ => None,
        });
        starts.collect()
    }

    /// Target of the newest start of a job.
    fn last_start(&self, job: &str) -> Target {
        self.starts(job).pop().expect("a start").0
    }

    fn report(&mut self, target: &Target, event: Event) {
        let target = target.clone();
        self.send(Message::Report(Report { event, target }));
    }

    /// Reports that the newest execution of a job has started and synced checkpoint `number`.
    fn confirm_start(&mut self, job: &str, number: u64) -> Target {
        let target = self.last_start(job);
        self.report(&target, Event::Started);
        let checkpoint = Checkpoint { done: 100 * number, number };
        let done = checkpoint.done + 40;
        self.report(&target, Event::Progress { checkpoint, done });
        target
    }

    /// Commits an eviction of an execution.
    fn evict(&mut self, target: &Target) {
        self.send(Message::Committed(Decision::Evict {
            cause: Cause::Quick,
            fence: target.fence,
            from: Checkpoint::default(),
            job: target.job.clone(),
        }));
    }

    fn outcome(&self, job: &str) -> Option<Outcome> {
        self.planner.outcome(&name(job)).cloned()
    }

    fn count(&self, matches: fn(&Effect) -> bool) -> usize {
        self.effects.iter().filter(|effect| matches(effect)).count()
    }
}

fn worker(i: usize) -> Name {
    name(&format!("worker-{i}"))
}

fn spec(job: &str, cores: u64) -> Spec {
    Spec {
        estimate: Span::secs(300),
        gang: 1,
        home: None,
        kind: name("cut-list"),
        name: name(job),
        priority: 0,
        shop: name("albuquerque-neto"),
        size: Size::new(cores * 1_000, cores * 1_000, 0),
        standing: false,
        team: name("fitters"),
        urgent: false,
    }
}

struct Impossible {
    spec: Spec,
    reason: &'static str,
}

/// Guards against jobs that can never run but wait forever without a reason.
#[rstest]
#[case::cores(Impossible { spec: spec("j", 33), reason: "no worker can hold 33 cores" })]
#[case::memory(Impossible {
    spec: Spec { size: Size::new(1_000, 126_000, 0), ..spec("j", 1) }, reason: "126000 MB",
})]
#[case::accelerators(Impossible {
    spec: Spec { size: Size::new(1_000, 1_000, 3), ..spec("j", 1) }, reason: "3 accelerators",
})]
#[case::gang(Impossible { spec: Spec { gang: 4, ..spec("j", 1) }, reason: "a gang of 4" })]
#[case::quota(Impossible {
    spec: Spec { gang: 3, ..spec("j", 30) }, reason: "exceed the whole quota of team fitters",
})]
fn impossible_jobs_are_refused_at_once(#[case] case: Impossible) {
    let mut harness = Harness::new(3);
    let limit = Some(Size::new(64_000, 300_000, 9));
    harness.send(Message::Quota(Quota { team: name("fitters"), weight: 1, limit }));
    harness.send(Message::Submit(case.spec));
    assert_eq!(harness.outcome("j"), Some(Outcome::Refused));
    let refused = harness.effects.iter().find_map(|effect| match effect {
        Effect::Propose(Decision::Refuse { reason, change, .. }) => Some((reason, change)),
        _ => None,
    });
    let (reason, change) = refused.expect("a refusal");
    assert!(reason.contains(case.reason) && !change.is_empty(), "{reason}; {change}");
}

/// Guards against a job that resumes from an old checkpoint, under its old fencing token, or twice.
#[test]
fn an_evicted_job_is_resumed_once_from_its_newest_checkpoint() {
    let mut harness = Harness::new(3);
    harness.submit(spec("j", 4));
    let old = harness.confirm_start("j", 3);
    harness.evict(&old);
    harness.ticks(2);
    assert_eq!(harness.starts("j").len(), 1, "resumed before it was stopped");
    let synced = Checkpoint { done: 440, number: 4 };
    harness.report(&old, Event::Stopped(synced));
    harness.ticks(20);
    harness.confirm_start("j", 4);
    let starts = harness.starts("j");
    let (new, from) = starts.last().unwrap();
    assert_eq!((new.fence, *from), (old.fence + 1, synced));
    let tokens: BTreeSet<u64> = starts.iter().map(|(target, _)| target.fence).collect();
    assert_eq!(tokens.len(), 2);
    assert_eq!(harness.planner.counts().resumed, 1);
}

struct Stale {
    event: Event,
    /// Stops that follow from the stale report.
    stops: usize,
}

/// Guards against reports of an evicted execution that are applied to the current one.
#[rstest]
#[case::finished(Stale { event: Event::Finished, stops: 0 })]
#[case::failed(Stale { event: Event::Failed(Fault::Error), stops: 0 })]
#[case::still_running(Stale { event: Event::Started, stops: 1 })]
fn reports_with_an_old_token_are_refused(#[case] case: Stale) {
    let mut harness = Harness::new(1);
    harness.submit(spec("j", 4));
    let old = harness.confirm_start("j", 1);
    harness.evict(&old);
    harness.report(&old, Event::Stopped(Checkpoint::default()));
    harness.ticks(2);
    let new = harness.confirm_start("j", 2);
    assert!(new.fence > old.fence);
    let stops = harness.count(|effect| matches!(effect, Effect::Stop(_)));
    harness.report(&old, case.event);
    assert_eq!(harness.planner.counts().stale, 1);
    let later = harness.count(|effect| matches!(effect, Effect::Stop(_)));
    assert_eq!(later - stops, case.stops);
    assert_eq!(harness.outcome("j"), None);
}

struct Silent {
    /// Time since the last heartbeat when the worker is reported lost, in seconds.
    silent: u64,
    /// Number of ticks after which the lease has not expired yet.
    before: u64,
    /// Whether the job is a standing watch.
    standing: bool,
}

/// Guards against a job that runs twice because it is resumed before the lease of its silent worker
/// has expired.
#[rstest]
#[case::just_silent(Silent { silent: 3, before: 28, standing: false })]
#[case::long_silent(Silent { silent: 9, before: 4, standing: false })]
#[case::watch(Silent { silent: 3, before: 28, standing: true })]
fn jobs_of_a_silent_worker_resume_after_its_lease(#[case] case: Silent) {
    let mut harness = Harness::new(2);
    harness.submit(Spec { standing: case.standing, ..spec("j", 4) });
    let old = harness.confirm_start("j", 2);
    let silent = Span::secs(case.silent);
    harness.send(Message::Lost { silent, worker: old.worker.clone() });
    harness.ticks(case.before);
    assert_eq!(harness.starts("j").len(), 1, "resumed within the lease");
    harness.ticks(8);
    let (new, from) = harness.starts("j").pop().unwrap();
    assert_ne!(new.worker, old.worker);
    assert_eq!((new.fence, from.number), (old.fence + 1, 2));
}

/// Guards against a new leader that ignores the leases on workers that have not joined it yet.
#[test]
fn a_new_leader_waits_for_the_leases_of_workers_that_it_has_not_heard() {
    let mut harness = Harness::new(1);
    harness.submit(spec("j", 4));
    let old = harness.confirm_start("j", 2);
    let log = std::mem::take(&mut harness.log);
    let mut next = Harness::new(0);
    next.planner = Planner::new(Settings::latency());
    next.now = harness.now + Span::secs(100);
    for (at, message) in log {
        assert!(next.planner.step(at, message).is_empty());
    }
    next.send(Message::Lead);
    next.join(1);
    next.ticks(40);
    assert!(next.starts("j").is_empty(), "resumed within the lease");
    next.ticks(10);
    let target = next.last_start("j");
    assert_eq!((target.fence, target.worker), (old.fence + 1, worker(1)));
}

/// Guards against an execution that has ended before a replay but is started again under its old
/// fencing token.
#[test]
fn a_new_leader_does_not_repeat_starts_of_its_predecessor() {
    let mut harness = Harness::new(2);
    harness.submit(spec("j", 4));
    harness.submit(spec("k", 4));
    let (old, kept) = (harness.confirm_start("j", 2), harness.confirm_start("k", 2));
    let mut next = Harness::new(0);
    next.planner = Planner::new(Settings::latency());
    next.now = harness.now;
    next.join(0);
    next.join(1);
    for (at, message) in std::mem::take(&mut harness.log) {
        next.planner.step(at, message);
    }
    next.send(Message::Lead);
    next.report(&kept, Event::Started);
    next.ticks(40);
    assert!(next.starts("j").is_empty() && next.starts("k").is_empty());
    let stop = Effect::Stop(old.clone());
    assert!(next.effects.contains(&stop), "the unreported replayed execution was not stopped");
    next.report(&old, Event::Stopped(Checkpoint::default()));
    next.ticks(4);
    assert_eq!(next.last_start("j").fence, old.fence + 1);
    assert!(next.starts("k").is_empty(), "a running execution was resumed");
}

/// Guards against a replay that chooses workers itself instead of taking them from the log, or that
/// loses an outcome that was proposed but not committed.
#[test]
fn a_replay_takes_places_from_the_log_and_proposes_lost_outcomes_again() {
    let mut planner = Harness::new(2).planner;
    planner.leading = false;
    let now = Moment::micros(2_000_000_000);
    let member = Member { grant: Size::new(7_000, 7_000, 0), worker: worker(1) };
    let assign = Decision::Assign {
        fence: 1,
        from: Checkpoint::default(),
        job: name("u"),
        members: vec![member],
    };
    for message in [
        Message::Submit(Spec { urgent: true, ..spec("u", 4) }),
        Message::Committed(assign),
        Message::Submit(spec("c", 4)),
        Message::Cancel { job: name("c") },
    ] {
        assert!(planner.step(now, message).is_empty());
    }
    assert_eq!(planner.workers[0].reserved(), Size::default());
    assert_eq!(planner.workers[1].reserved(), Size::new(7_000, 7_000, 0));
    planner.step(now, Message::Lead);
    let effects = planner.step(now, Message::Tick);
    let cancelled = |effect: &Effect| {
        matches!(effect, Effect::Propose(Decision::Finish { outcome: Outcome::Cancelled, .. }))
    };
    assert!(effects.iter().any(cancelled), "the cancellation was not proposed again");
}

/// Guards against a failed invariant, which stops the process, when a replay contains executions
/// that have ended and whose accelerators were granted again.
#[test]
fn a_job_without_accelerators_starts_beside_a_replay_that_overfills_them() {
    let mut harness = Harness::new(1);
    harness.planner.leading = false;
    for job in ["a", "b", "c"] {
        harness.send(Message::Submit(spec(job, 1)));
        let grant = Size::new(1_000, 1_000, 1);
        harness.send(Message::Committed(Decision::Assign {
            fence: 1,
            from: Checkpoint::default(),
            job: name(job),
            members: vec![Member { grant, worker: worker(0) }],
        }));
    }
    harness.send(Message::Lead);
    harness.submit(spec("j", 4));
    assert_eq!(harness.starts("j").len(), 1);
}

struct Failing {
    /// Number of workers on which every task fails.
    bad_workers: usize,
    /// Whether one job fails on every worker.
    bad_job: bool,
    /// Number of workers that are quarantined in the end.
    quarantined: usize,
}

/// Guards against faulty jobs that are retried forever, and jobs that fail permanently because of
/// faulty workers.
#[rstest]
#[case::bad_job(Failing { bad_workers: 0, bad_job: true, quarantined: 0 })]
#[case::bad_worker(Failing { bad_workers: 1, bad_job: false, quarantined: 1 })]
#[case::at_most_a_fifth(Failing { bad_workers: 5, bad_job: false, quarantined: 2 })]
fn bad_workers_are_distinguished_from_bad_jobs(#[case] case: Failing) {
    let mut harness = Harness::with(11, Settings::latency().baseline(Rank::LeastLoaded));
    for i in 0..40 {
        harness.submit(spec(&format!("j-{i}"), 3));
    }
    let mut next = 0;
    while next < harness.effects.len() {
        if let Effect::Start { target, .. } = harness.effects[next].clone() {
            // The number after `worker-`.
            let index: usize = target.worker.as_str()[7..].parse().unwrap();
            let fails = case.bad_job && target.job.as_str() == "j-7";
            if fails || index < case.bad_workers {
                harness.report(&target, Event::Failed(Fault::Error));
            } else {
                harness.report(&target, Event::Finished);
            }
            harness.ticks(1);
        }
        next += 1;
    }
    assert_eq!(harness.planner.quarantined.len(), case.quarantined);
    if case.bad_job {
        assert_eq!(harness.outcome("j-7"), Some(Outcome::Failed));
        let workers: BTreeSet<_> = harness.starts("j-7").into_iter().map(|s| s.0.worker).collect();
        assert_eq!(workers.len(), 3);
    }
    // With more bad workers than may be quarantined, a job can fail on three of them.
    if case.bad_workers < 2 {
        let done = (0..40).filter(|i| harness.outcome(&format!("j-{i}")) == Some(Outcome::Done));
        assert_eq!(done.count(), 40 - usize::from(case.bad_job));
    }
}

/// Guards against a quarantine that never ends, or that ends without a healthy probe.
#[test]
fn a_quarantined_worker_returns_after_a_good_probe() {
    let mut harness = Harness::with(5, Settings::latency());
    let mut out = Vec::new();
    for job in ["a", "b", "c"] {
        harness.planner.count_failure(harness.now, 4, &name(job), &mut out);
    }
    assert!(matches!(out[0], Effect::Quarantine { .. }));
    harness.ticks(4 * 59);
    assert_eq!(harness.count(|effect| matches!(effect, Effect::Probe { .. })), 0);
    harness.ticks(8);
    assert_eq!(harness.count(|effect| matches!(effect, Effect::Probe { .. })), 1);
    harness.send(Message::Probed { healthy: false, worker: worker(4) });
    assert!(harness.planner.workers[4].health.quarantined());
    harness.ticks(4 * 121);
    harness.send(Message::Probed { healthy: true, worker: worker(4) });
    assert!(!harness.planner.workers[4].health.quarantined());
}

struct FewWorkers {
    workers: usize,
    spec: Spec,
    /// Number of executions, which all fail.
    runs: usize,
    outcome: Option<Outcome>,
}

/// Guards against a job that waits forever after it has failed on every worker that is large
/// enough. A standing watch that had failed once on each of two workers was never restarted, with
/// room on both.
#[rstest]
#[case::watch_of_two_workers(FewWorkers {
    workers: 2, spec: Spec { standing: true, ..spec("j", 4) }, runs: 9, outcome: None,
})]
#[case::watch_of_one_worker(FewWorkers {
    workers: 1, spec: Spec { standing: true, ..spec("j", 4) }, runs: 9, outcome: None,
})]
#[case::watch_that_needs_accelerators(FewWorkers {
    workers: 5,
    spec: Spec { standing: true, size: Size::new(1_000, 1_000, 1), ..spec("j", 1) },
    runs: 9,
    outcome: None,
})]
#[case::job(FewWorkers { workers: 2, spec: spec("j", 4), runs: 3, outcome: Some(Outcome::Failed) })]
fn failed_workers_are_retried_when_too_few_remain(#[case] case: FewWorkers) {
    let mut harness = Harness::new(case.workers);
    harness.submit(case.spec);
    let mut tokens = BTreeSet::from([harness.last_start("j").fence]);
    for number in 1..9 {
        if harness.outcome("j").is_none() {
            let target = harness.confirm_start("j", number);
            harness.report(&target, Event::Failed(Fault::Error));
        }
        harness.ticks(20);
        tokens.insert(harness.last_start("j").fence);
    }
    assert_eq!((tokens.len(), harness.outcome("j")), (case.runs, case.outcome));
}

/// Guards against unanswered probes that count as failed: a network cut of a few minutes must not
/// keep a worker in quarantine for half an hour.
#[test]
fn unanswered_probes_do_not_extend_the_quarantine() {
    let mut harness = Harness::with(5, Settings::latency());
    let mut out = Vec::new();
    for job in ["a", "b", "c"] {
        harness.planner.count_failure(harness.now, 4, &name(job), &mut out);
    }
    harness.ticks(4 * 425);
    assert_eq!(harness.count(|effect| matches!(effect, Effect::Probe { .. })), 7);
    harness.send(Message::Probed { healthy: true, worker: worker(4) });
    assert!(!harness.planner.workers[4].health.quarantined());
}

struct Race {
    /// Events in the order of the log.
    order: &'static [&'static str],
    outcome: Outcome,
}

/// Guards against two outcomes of one job if a cancellation races with its completion.
#[rstest]
#[case::cancel_first(Race { order: &["cancel", "done"], outcome: Outcome::Cancelled })]
#[case::done_first(Race { order: &["done", "cancel"], outcome: Outcome::Done })]
#[case::cancel_twice(Race { order: &["cancel", "cancel"], outcome: Outcome::Cancelled })]
#[case::done_twice(Race { order: &["done", "done", "cancel"], outcome: Outcome::Done })]
fn the_first_outcome_in_the_log_counts(#[case] case: Race) {
    let mut harness = Harness::new(2);
    harness.submit(spec("j", 4));
    let target = harness.confirm_start("j", 1);
    for event in case.order {
        match *event {
            "cancel" => harness.send(Message::Cancel { job: name("j") }),
            _ => harness.report(&target, Event::Finished),
        }
    }
    harness.report(&target, Event::Stopped(Checkpoint::default()));
    assert_eq!(harness.outcome("j"), Some(case.outcome));
    assert_eq!(harness.planner.counts().ended, 1);
    assert_eq!(harness.planner.open(), 0);
    let free = harness.planner.workers.iter().all(|w| w.reserved() == Size::default());
    assert!(free, "resources are still reserved");
}

/// Guards against a completion that overrides a cancellation committed before it.
#[test]
fn an_outcome_in_the_log_is_final_while_the_execution_still_ends() {
    let mut harness = Harness::new(2);
    harness.submit(spec("j", 4));
    let target = harness.confirm_start("j", 1);
    harness.send(Message::Cancel { job: name("j") });
    let (fence, job, outcome) = (target.fence, name("j"), Outcome::Done);
    harness.send(Message::Committed(Decision::Finish { fence, job, outcome }));
    assert_eq!(harness.outcome("j"), Some(Outcome::Cancelled));
    assert_eq!(harness.planner.counts().ended, 1);
}

/// Guards against a job that is resumed although its silent worker reported the completion before
/// the lease expired.
#[test]
fn a_completion_during_the_wait_for_a_lease_ends_the_job() {
    let mut harness = Harness::new(2);
    harness.submit(spec("j", 4));
    let old = harness.confirm_start("j", 2);
    harness.send(Message::Lost { silent: Span::secs(3), worker: old.worker.clone() });
    harness.ticks(4);
    harness.report(&old, Event::Finished);
    harness.ticks(60);
    assert_eq!(harness.outcome("j"), Some(Outcome::Done));
    assert_eq!(harness.starts("j").len(), 1);
}
