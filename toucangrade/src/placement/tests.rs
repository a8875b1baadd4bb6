//! Tests of batch scheduling: one table for each failure.

mod order;
mod replay;

use rstest::rstest;

use super::*;

fn name(value: &str) -> Name {
    Name::new(value).unwrap()
}

/// A planner whose proposals are committed at once.
struct World {
    effects: Vec<Effect>,
    log: Vec<(Moment, Message)>,
    now: Moment,
    planner: Planner,
}

impl World {
    fn new(workers: usize) -> Self {
        Self::with(workers, Settings::latency())
    }

    fn with(workers: usize, settings: Settings) -> Self {
        let mut world = Self {
            effects: Vec::new(),
            log: Vec::new(),
            now: Moment::micros(1_000_000_000),
            planner: Planner::new(settings),
        };
        for i in 0..workers {
            world.join(i);
        }
        world.tell(Message::Lead);
        world
    }

    fn join(&mut self, i: usize) {
        let accelerators = if i == 0 { 2 } else { 0 };
        self.tell(Message::Worker(Instance {
            centre: name("olinda"),
            name: worker(i),
            rack: name(&format!("rack-{}", i / 3)),
            size: Size::new(32_000, 125_000, accelerators),
        }));
    }

    /// Hands in a message and commits what it proposes.
    fn tell(&mut self, message: Message) {
        if matches!(message, Message::Submit(_) | Message::Committed(_)) {
            self.log.push((self.now, message.clone()));
        }
        for effect in self.planner.step(self.now, message) {
            self.effects.push(effect.clone());
            if let Effect::Propose(decision) = effect {
                self.tell(Message::Committed(decision));
            }
        }
    }

    fn ticks(&mut self, count: u64) {
        for _ in 0..count {
            self.now = self.now + Span::millis(250);
            self.tell(Message::Tick);
        }
    }

    fn submit(&mut self, spec: Spec) {
        self.tell(Message::Submit(spec));
        self.ticks(1);
    }

    /// Targets of all starts of a job, in order.
    fn starts(&self, job: &str) -> Vec<(Target, Checkpoint)> {
        let starts = self.effects.iter().filter_map(|effect| match effect {
            Effect::Start { target, from, .. } if target.job.as_str() == job => {
                Some((target.clone(), *from))
            },
            _ => None,
        });
        starts.collect()
    }

    fn last(&self, job: &str) -> Target {
        self.starts(job).pop().expect("a start").0
    }

    fn report(&mut self, target: &Target, event: Event) {
        let target = target.clone();
        self.tell(Message::Report(Report { event, target }));
    }

    /// Confirms the newest start, and a checkpoint of the execution.
    fn run(&mut self, job: &str, number: u64) -> Target {
        let target = self.last(job);
        self.report(&target, Event::Started);
        let checkpoint = Checkpoint { done: 100 * number, number };
        let done = checkpoint.done + 40;
        self.report(&target, Event::Progress { checkpoint, done });
        target
    }

    fn evict(&mut self, target: &Target) {
        self.tell(Message::Committed(Decision::Evict {
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

/// Guards against jobs that can never run and wait for ever without a reason.
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
    let mut world = World::new(3);
    let limit = Some(Size::new(64_000, 300_000, 9));
    world.tell(Message::Quota(Quota { team: name("fitters"), weight: 1, limit }));
    world.tell(Message::Submit(case.spec));
    assert_eq!(world.outcome("j"), Some(Outcome::Refused));
    let refused = world.effects.iter().find_map(|effect| match effect {
        Effect::Propose(Decision::Refuse { reason, change, .. }) => Some((reason, change)),
        _ => None,
    });
    let (reason, change) = refused.expect("a refusal");
    assert!(reason.contains(case.reason) && !change.is_empty(), "{reason}; {change}");
}

/// Guards against a resumption from an old checkpoint, without a new fencing token, or twice.
#[test]
fn an_evicted_job_is_resumed_once_from_its_newest_checkpoint() {
    let mut world = World::new(3);
    world.submit(spec("j", 4));
    let old = world.run("j", 3);
    world.evict(&old);
    world.ticks(2);
    assert_eq!(world.starts("j").len(), 1, "resumed before it was stopped");
    let synced = Checkpoint { done: 440, number: 4 };
    world.report(&old, Event::Stopped(synced));
    world.ticks(20);
    world.run("j", 4);
    let starts = world.starts("j");
    let (new, from) = starts.last().unwrap();
    assert_eq!((new.fence, *from), (old.fence + 1, synced));
    let tokens: BTreeSet<u64> = starts.iter().map(|(target, _)| target.fence).collect();
    assert_eq!(tokens.len(), 2);
    assert_eq!(world.planner.counts().resumed, 1);
}

struct Stale {
    event: Event,
    stops: usize,
}

/// Guards against reports of an evicted execution that are taken for the present one.
#[rstest]
#[case::finished(Stale { event: Event::Finished, stops: 0 })]
#[case::failed(Stale { event: Event::Failed(Fault::Error), stops: 0 })]
#[case::runs_on(Stale { event: Event::Started, stops: 1 })]
fn reports_with_an_old_token_are_refused(#[case] case: Stale) {
    let mut world = World::new(1);
    world.submit(spec("j", 4));
    let old = world.run("j", 1);
    world.evict(&old);
    world.report(&old, Event::Stopped(Checkpoint::default()));
    world.ticks(2);
    let new = world.run("j", 2);
    assert!(new.fence > old.fence);
    let stops = world.count(|effect| matches!(effect, Effect::Stop(_)));
    world.report(&old, case.event);
    assert_eq!(world.planner.counts().stale, 1);
    let later = world.count(|effect| matches!(effect, Effect::Stop(_)));
    assert_eq!(later - stops, case.stops);
    assert_eq!(world.outcome("j"), None);
}

struct Silent {
    /// Silence when the loss is noticed, in seconds.
    silent: u64,
    /// Ticks after which the lease may still run.
    before: u64,
    standing: bool,
}

/// Guards against a job that runs twice because its silent worker's lease was not waited for.
#[rstest]
#[case::just_silent(Silent { silent: 3, before: 28, standing: false })]
#[case::long_silent(Silent { silent: 9, before: 4, standing: false })]
#[case::watch(Silent { silent: 3, before: 28, standing: true })]
fn a_silent_worker_s_lease_is_waited_for(#[case] case: Silent) {
    let mut world = World::new(2);
    world.submit(Spec { standing: case.standing, ..spec("j", 4) });
    let old = world.run("j", 2);
    let silent = Span::secs(case.silent);
    world.tell(Message::Lost { silent, worker: old.worker.clone() });
    world.ticks(case.before);
    assert_eq!(world.starts("j").len(), 1, "resumed within the lease");
    world.ticks(8);
    let (new, from) = world.starts("j").pop().unwrap();
    assert_ne!(new.worker, old.worker);
    assert_eq!((new.fence, from.number), (old.fence + 1, 2));
}

/// Guards against a replay that forgets leases of workers that have not joined since.
#[test]
fn a_new_leader_waits_for_the_leases_of_workers_that_it_has_not_heard() {
    let mut world = World::new(1);
    world.submit(spec("j", 4));
    let old = world.run("j", 2);
    let log = std::mem::take(&mut world.log);
    let mut next = World::new(0);
    next.planner = Planner::new(Settings::latency());
    next.now = world.now + Span::secs(100);
    for (at, message) in log {
        assert!(next.planner.step(at, message).is_empty());
    }
    next.tell(Message::Lead);
    next.join(1);
    next.ticks(40);
    assert!(next.starts("j").is_empty(), "resumed within the lease");
    next.ticks(10);
    let target = next.last("j");
    assert_eq!((target.fence, target.worker), (old.fence + 1, worker(1)));
}

/// Guards against an execution that ended before a replay and starts again under its old token.
#[test]
fn a_new_leader_does_not_repeat_the_starts_of_the_one_before() {
    let mut world = World::new(2);
    world.submit(spec("j", 4));
    world.submit(spec("k", 4));
    let (old, kept) = (world.run("j", 2), world.run("k", 2));
    let mut next = World::new(0);
    next.planner = Planner::new(Settings::latency());
    next.now = world.now;
    next.join(0);
    next.join(1);
    for (at, message) in std::mem::take(&mut world.log) {
        next.planner.step(at, message);
    }
    next.tell(Message::Lead);
    next.report(&kept, Event::Started);
    next.ticks(40);
    assert!(next.starts("j").is_empty() && next.starts("k").is_empty());
    let stop = Effect::Stop(old.clone());
    assert!(next.effects.contains(&stop), "the replayed execution is not asked for");
    next.report(&old, Event::Stopped(Checkpoint::default()));
    next.ticks(4);
    assert_eq!(next.last("j").fence, old.fence + 1);
    assert!(next.starts("k").is_empty(), "a running execution was resumed");
}

/// Guards against a replay that decides by itself and loses what the log says or omits.
#[test]
fn a_replay_takes_places_from_the_log_and_proposes_lost_outcomes_again() {
    let mut planner = World::new(2).planner;
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
    assert!(effects.iter().any(cancelled), "the cancellation is lost");
}

/// Guards against a stop of the process when a replay holds executions that ended and whose
/// accelerators were given out again.
#[test]
fn a_job_without_accelerators_starts_beside_a_replay_that_overfills_them() {
    let mut world = World::new(1);
    world.planner.leading = false;
    for job in ["a", "b", "c"] {
        world.tell(Message::Submit(spec(job, 1)));
        let grant = Size::new(1_000, 1_000, 1);
        world.tell(Message::Committed(Decision::Assign {
            fence: 1,
            from: Checkpoint::default(),
            job: name(job),
            members: vec![Member { grant, worker: worker(0) }],
        }));
    }
    world.tell(Message::Lead);
    world.submit(spec("j", 4));
    assert_eq!(world.starts("j").len(), 1);
}

struct Failing {
    /// Workers that fail all tasks.
    rotten: usize,
    /// The job that fails anywhere.
    bad: bool,
    quarantined: usize,
}

/// Guards against bad jobs that never stop, and bad workers that are taken for bad jobs.
#[rstest]
#[case::bad_job(Failing { rotten: 0, bad: true, quarantined: 0 })]
#[case::bad_worker(Failing { rotten: 1, bad: false, quarantined: 1 })]
#[case::at_most_a_fifth(Failing { rotten: 5, bad: false, quarantined: 2 })]
fn bad_workers_are_told_apart_from_bad_jobs(#[case] case: Failing) {
    let mut world = World::with(11, Settings::latency().baseline(Rank::LeastLoaded));
    for i in 0..40 {
        world.submit(spec(&format!("j-{i}"), 3));
    }
    let mut seen = 0;
    while seen < world.effects.len() {
        if let Effect::Start { target, .. } = world.effects[seen].clone() {
            let index: usize = target.worker.as_str()[7..].parse().unwrap();
            let bad = case.bad && target.job.as_str() == "j-7";
            if bad || index < case.rotten {
                world.report(&target, Event::Failed(Fault::Error));
            } else {
                world.report(&target, Event::Finished);
            }
            world.ticks(1);
        }
        seen += 1;
    }
    assert_eq!(world.planner.quarantined.len(), case.quarantined);
    if case.bad {
        assert_eq!(world.outcome("j-7"), Some(Outcome::Failed));
        let on: BTreeSet<_> = world.starts("j-7").into_iter().map(|s| s.0.worker).collect();
        assert_eq!(on.len(), 3);
    }
    // With more bad workers than may be quarantined, jobs can meet three of them.
    if case.rotten < 2 {
        let done = (0..40).filter(|i| world.outcome(&format!("j-{i}")) == Some(Outcome::Done));
        assert_eq!(done.count(), 40 - usize::from(case.bad));
    }
}

/// Guards against a quarantine that never ends, or ends without a probe.
#[test]
fn a_quarantined_worker_returns_after_a_good_probe() {
    let mut world = World::with(5, Settings::latency());
    let mut out = Vec::new();
    for job in ["a", "b", "c"] {
        world.planner.failure(world.now, 4, &name(job), &mut out);
    }
    assert!(matches!(out[0], Effect::Quarantine { .. }));
    world.ticks(4 * 59);
    assert_eq!(world.count(|effect| matches!(effect, Effect::Probe { .. })), 0);
    world.ticks(8);
    assert_eq!(world.count(|effect| matches!(effect, Effect::Probe { .. })), 1);
    world.tell(Message::Probed { healthy: false, worker: worker(4) });
    assert!(world.planner.workers[4].health.quarantined());
    world.ticks(4 * 121);
    world.tell(Message::Probed { healthy: true, worker: worker(4) });
    assert!(!world.planner.workers[4].health.quarantined());
}

/// A probe without an answer says nothing about the worker: a cut of a few minutes must not keep it
/// in quarantine for half an hour.
#[test]
fn unanswered_probes_lengthen_no_quarantine() {
    let mut world = World::with(5, Settings::latency());
    let mut out = Vec::new();
    for job in ["a", "b", "c"] {
        world.planner.failure(world.now, 4, &name(job), &mut out);
    }
    world.ticks(4 * 425);
    assert_eq!(world.count(|effect| matches!(effect, Effect::Probe { .. })), 7);
    world.tell(Message::Probed { healthy: true, worker: worker(4) });
    assert!(!world.planner.workers[4].health.quarantined());
}

struct Race {
    order: &'static [&'static str],
    outcome: Outcome,
}

/// Guards against two outcomes of one job when a cancellation meets its completion.
#[rstest]
#[case::cancel_first(Race { order: &["cancel", "done"], outcome: Outcome::Cancelled })]
#[case::done_first(Race { order: &["done", "cancel"], outcome: Outcome::Done })]
#[case::cancel_twice(Race { order: &["cancel", "cancel"], outcome: Outcome::Cancelled })]
#[case::done_twice(Race { order: &["done", "done", "cancel"], outcome: Outcome::Done })]
fn the_first_outcome_in_the_log_counts(#[case] case: Race) {
    let mut world = World::new(2);
    world.submit(spec("j", 4));
    let target = world.run("j", 1);
    for event in case.order {
        match *event {
            "cancel" => world.tell(Message::Cancel { job: name("j") }),
            _ => world.report(&target, Event::Finished),
        }
    }
    world.report(&target, Event::Stopped(Checkpoint::default()));
    assert_eq!(world.outcome("j"), Some(case.outcome));
    assert_eq!(world.planner.counts().ended, 1);
    assert_eq!(world.planner.open(), 0);
    let free = world.planner.workers.iter().all(|w| w.reserved() == Size::default());
    assert!(free, "room is still held");
}

/// Guards against a completion that was proposed before a cancellation and overrides it.
#[test]
fn an_outcome_in_the_log_is_final_while_the_execution_still_ends() {
    let mut world = World::new(2);
    world.submit(spec("j", 4));
    let target = world.run("j", 1);
    world.tell(Message::Cancel { job: name("j") });
    let (fence, job, outcome) = (target.fence, name("j"), Outcome::Done);
    world.tell(Message::Committed(Decision::Finish { fence, job, outcome }));
    assert_eq!(world.outcome("j"), Some(Outcome::Cancelled));
    assert_eq!(world.planner.counts().ended, 1);
}

/// Guards against a late completion of a silent worker that meets the resumption of its job.
#[test]
fn a_completion_during_the_wait_for_a_lease_ends_the_job() {
    let mut world = World::new(2);
    world.submit(spec("j", 4));
    let old = world.run("j", 2);
    world.tell(Message::Lost { silent: Span::secs(3), worker: old.worker.clone() });
    world.ticks(4);
    world.report(&old, Event::Finished);
    world.ticks(60);
    assert_eq!(world.outcome("j"), Some(Outcome::Done));
    assert_eq!(world.starts("j").len(), 1);
}
