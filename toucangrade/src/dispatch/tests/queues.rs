//! Tests of jobs whose queue is replaced, renamed or removed by a configuration.

use rstest::rstest;

use super::*;

/// Queues of a configuration, as name and prefix.
type Queues = &'static [(&'static str, &'static str)];

#[derive(Clone, Copy)]
enum Event {
    /// A caller cancels job 7 at the queue with this prefix.
    Cancel(&'static str),
    Configure(Queues),
    /// A run of the task fails.
    Fail,
    /// Proposals are neither committed nor refused until `Release`.
    Hold,
    NewLeader,
    Release,
    /// A caller submits job 7 to the queue with this prefix.
    Submit(&'static str),
}

struct Replacement {
    events: &'static [Event],
    /// Prefix, and what a caller who asks there for job 7 is told.
    state: (&'static str, ClientReply),
    /// Whether a runner gets the job's task.
    runs: bool,
}

const RUNNING: ClientReply = ClientReply::State(JobState::Running);

/// Jobs were bound to the name of their queue: once a configuration gave the queue of their address
/// another name, they were answered as unknown and never ran, and a queue that took over the name
/// at another address got them.
#[rstest]
#[case::renamed(Replacement {
    events: &[Event::Submit("/a/"), Event::Configure(&[("r-2", "/a/")])],
    state: ("/a/", RUNNING), runs: true,
})]
#[case::renamed_twice(Replacement {
    events: &[
        Event::Submit("/a/"), Event::Configure(&[("r-2", "/a/")]),
        Event::Configure(&[("r-3", "/a/")]),
    ],
    state: ("/a/", RUNNING), runs: true,
})]
#[case::renamed_before_a_new_leader(Replacement {
    events: &[Event::Submit("/a/"), Event::Configure(&[("r-2", "/a/")]), Event::NewLeader],
    state: ("/a/", RUNNING), runs: true,
})]
#[case::away_and_back_under_another_name(Replacement {
    events: &[
        Event::Submit("/a/"), Event::Configure(&[("r-9", "/z/")]),
        Event::Configure(&[("r-2", "/a/"), ("r-9", "/z/")]),
    ],
    state: ("/a/", RUNNING), runs: true,
})]
#[case::name_taken_by_another_address(Replacement {
    events: &[Event::Submit("/a/"), Event::Configure(&[("r-1", "/b/")])],
    state: ("/b/", ClientReply::Gone), runs: false,
})]
#[case::names_exchanged(Replacement {
    events: &[
        Event::Configure(&[("r-1", "/a/"), ("r-2", "/b/")]), Event::Submit("/a/"),
        Event::Configure(&[("r-2", "/a/"), ("r-1", "/b/")]),
    ],
    state: ("/a/", RUNNING), runs: true,
})]
#[case::second_queue_of_a_name(Replacement {
    events: &[Event::Configure(&[("r-1", "/a/"), ("r-1", "/b/")]), Event::Submit("/b/")],
    state: ("/a/", ClientReply::Gone), runs: true,
})]
#[case::only_queue_left_of_a_name(Replacement {
    events: &[
        Event::Configure(&[("r-1", "/a/"), ("r-1", "/b/")]), Event::Submit("/b/"),
        Event::Configure(&[("r-1", "/b/")]),
    ],
    state: ("/b/", RUNNING), runs: true,
})]
#[case::attempts_count_on(Replacement {
    events: &[
        Event::Submit("/a/"), Event::Fail, Event::Fail, Event::Configure(&[("r-2", "/a/")]),
        Event::Fail,
    ],
    state: ("/a/", ClientReply::State(JobState::Failed)), runs: false,
})]
#[case::renamed_while_the_submission_is_proposed(Replacement {
    events: &[
        Event::Hold, Event::Configure(&[("r-2", "/a/")]), Event::Submit("/a/"), Event::Release,
    ],
    state: ("/a/", RUNNING), runs: true,
})]
#[case::cancelled_before_the_submission(Replacement {
    events: &[Event::Cancel("/a/"), Event::Configure(&[("r-2", "/a/")]), Event::Submit("/a/")],
    state: ("/a/", ClientReply::State(JobState::Cancelled)), runs: false,
})]
#[case::cancelled_while_the_name_changes(Replacement {
    events: &[
        Event::Submit("/a/"), Event::Hold, Event::Configure(&[("r-2", "/a/")]),
        Event::Cancel("/a/"), Event::Release,
    ],
    state: ("/a/", ClientReply::State(JobState::Cancelled)), runs: false,
})]
#[case::cancelled_at_another_address(Replacement {
    events: &[Event::Cancel("/a/"), Event::Configure(&[("r-1", "/b/")]), Event::Submit("/b/")],
    state: ("/b/", RUNNING), runs: true,
})]
fn jobs_belong_to_an_address(#[case] case: Replacement) {
    let mut world = World::new();
    let runner = incarnation("i-1", 10);
    let mut version = 1;
    let mut configure = |world: &mut World, queues: Queues| {
        version += 1;
        let mut setup = setup(version);
        let template = setup.queues.remove(0);
        let queue = |(name, prefix): &(&str, &str)| Queue {
            name: (*name).into(),
            prefix: (*prefix).into(),
            ..template.clone()
        };
        setup.queues = queues.iter().map(queue).collect();
        world.ask("", Verb::Configure(Arc::new(setup)), None);
    };
    configure(&mut world, &[("r-1", "/a/")]);
    let mut failures = 0;
    for event in case.events {
        match *event {
            Event::Cancel(prefix) => {
                world.ask(&format!("{prefix}0000000000000007"), Verb::Cancel, Some(7));
            },
            Event::Configure(queues) => configure(&mut world, queues),
            Event::Fail => {
                failures += 1;
                // A runner of its own for each failure, as the task avoids those where it failed.
                let failing = incarnation(&format!("i-9{failures}"), 10);
                let agent = format!("10.0.1.{failures}");
                world.report(report(&agent, 1, &failing));
                let key = world.live(&failing)[0];
                let ended = vec![EndedRun { number: 1, key, end: End::Failed, saved: None }];
                world.report(Report { ended, ..report(&agent, 2, &failing) });
                world.report(Report { gone: true, ..report(&agent, 3, &failing) });
            },
            Event::Hold => world.hold = true,
            Event::NewLeader => {
                world.send(Message::Lead { leading: false });
                world.send(Message::Lead { leading: true });
            },
            Event::Release => world.release(),
            Event::Submit(prefix) => {
                let steps = vec![step(1, 1_000)];
                let verb = Verb::Submit { spec: "spec".into(), steps, schedule: None };
                world.ask(&format!("{prefix}0000000000000007"), verb, Some(7));
            },
        }
    }
    world.report(report("10.0.0.1", 1, &runner));
    assert_eq!(!world.live(&runner).is_empty(), case.runs);
    let (prefix, state) = case.state;
    let path = format!("{prefix}0000000000000007");
    let ticket = world.ask(&path, Verb::Show, Some(7));
    let waiting =
        if state == RUNNING { ClientReply::State(JobState::Queued) } else { state.clone() };
    assert_eq!(world.answers[&ticket], Some(waiting));
    let rows = world.live(&runner).into_iter().map(row).collect();
    world.report(Report { rows, ..report("10.0.0.1", 2, &runner) });
    let ticket = world.ask(&path, Verb::Show, Some(7));
    assert_eq!(world.answers[&ticket], Some(state));
}

/// A submission under an id that a job of another queue has was answered as accepted, but no such
/// job was stored.
#[rstest]
#[case::stored(false)]
#[case::proposed(true)]
fn id_of_another_queue_is_refused(#[case] proposed: bool) {
    let mut world = World::new();
    world.hold = proposed;
    world.submit("recon", 7, vec![step(1, 1_000)]);
    world.submit("match", 7, vec![step(1, 1_000)]);
    let ticket = world.ticket;
    world.release();
    let reason = "another queue has a job with this id".to_owned();
    assert_eq!(world.answers[&ticket], Some(ClientReply::Bad(reason)));
    assert_eq!(world.state("recon", 7), Some(ClientReply::State(JobState::Queued)));
}

struct Address {
    /// Prefixes of the queues.
    prefixes: &'static [&'static str],
    /// Path at which job 7 is submitted.
    path: &'static str,
    reply: ClientReply,
}

/// A job is named by the prefix of its queue followed by its id. With a prefix that doesn't end with a
/// slash, requests got 404, or were taken for a job of a queue whose prefix holds part of the id.
#[rstest]
#[case::slash(Address {
    prefixes: &["/a/"], path: "/a/0000000000000007", reply: ClientReply::Accepted,
})]
#[case::no_slash(Address {
    prefixes: &["/a"], path: "/a0000000000000007", reply: ClientReply::Accepted,
})]
#[case::longer_prefix(Address {
    prefixes: &["/a/", "/a/00"], path: "/a/0000000000000007", reply: ClientReply::NoQueue,
})]
#[case::further_segment(Address {
    prefixes: &["/a/"], path: "/a/b/0000000000000007", reply: ClientReply::NoQueue,
})]
#[case::digits_before_the_id(Address {
    prefixes: &["/a/"], path: "/a/10000000000000007", reply: ClientReply::NoQueue,
})]
fn jobs_are_named_by_prefix_and_id(#[case] case: Address) {
    let mut world = World::new();
    let mut setup = setup(2);
    let template = setup.queues.remove(0);
    let queue = |prefix: &&str| Queue {
        name: (*prefix).into(),
        prefix: (*prefix).into(),
        ..template.clone()
    };
    setup.queues = case.prefixes.iter().map(queue).collect();
    world.ask("", Verb::Configure(Arc::new(setup)), None);
    let verb = Verb::Submit { spec: "spec".into(), steps: vec![step(1, 1_000)], schedule: None };
    let ticket = world.ask(case.path, verb, Some(7));
    assert_eq!(world.answers[&ticket], Some(case.reply));
}

/// The number of pending jobs is read at the prefix, also if that ends like the name of a job.
#[test]
fn prefix_that_ends_like_a_job_shows_pending_jobs() {
    let mut world = World::new();
    let mut setup = setup(2);
    setup.queues[0].prefix = "/0000000000000007".into();
    world.ask("", Verb::Configure(Arc::new(setup)), None);
    let ticket = world.ask("/0000000000000007", Verb::Show, Some(7));
    assert_eq!(world.answers[&ticket], Some(ClientReply::Pending(0)));
}
