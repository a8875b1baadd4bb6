//! Tests of the log lines that explain a run that was carried out twice.

use std::fmt::Debug;
use std::sync::{Arc, LazyLock, Mutex};

use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Dispatch, Event, Metadata, Subscriber};

use super::*;

/// Collects log lines as the message followed by `name=value` of each field.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

/// With a single subscriber in the process, `tracing` lets the first thread that reaches a log line
/// decide whether it is logged, also a thread of another test that has no subscriber.
static SECOND: LazyLock<Dispatch> = LazyLock::new(|| Dispatch::new(Lines::default()));

impl Lines {
    /// The lines of a run of `play`, with a given message.
    fn of(message: &str, play: impl Fn()) -> Vec<String> {
        LazyLock::force(&SECOND);
        // The first run registers its log lines, the subscriber of the second decides on them anew.
        tracing::subscriber::with_default(Self::default(), &play);
        let lines = Self::default();
        tracing::subscriber::with_default(lines.clone(), &play);
        let lines = lines.0.lock().expect("the lines");
        lines.iter().filter(|line| line.starts_with(message)).cloned().collect()
    }
}

impl Subscriber for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut line = Line::default();
        event.record(&mut line);
        self.0.lock().expect("the lines").push(line.message + &line.fields);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

#[derive(Default)]
struct Line {
    message: String,
    fields: String,
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => self.fields += &format!(" {name}={value:?}"),
        }
    }
}

struct Unanswered {
    behaviour: Behaviour,
    lines: &'static [&'static str],
}

/// The logs didn't show which starts had got no answer, so a later copy had no visible cause. One
/// line for each resend would fill the log.
#[rstest]
#[case::answered(Unanswered { behaviour: Behaviour::Healthy, lines: &[] })]
#[case::never_answered(Unanswered {
    behaviour: Behaviour::IgnoresOrders,
    lines: &["start unanswered run=0000000000000001.0.0.0#1 runner=i-1 born=50 sends=1 for_ms=11700"],
})]
fn unanswered_start_is_logged_once(#[case] case: Unanswered) {
    let lines = Lines::of("start unanswered", || {
        let mut world = World::new(case.behaviour);
        world.start(0);
        world.advance(3_000);
    });
    assert_eq!(lines, case.lines);
}

/// Without a line, an end that stays listed for seconds looks like one that nobody has recorded. One
/// line for each listing would fill the log.
#[test]
fn kept_end_is_logged_once() {
    let lines = Lines::of("end kept", || {
        let mut world = World::new(Behaviour::IgnoresOrders);
        world.start(0);
        world.answer_start(0, Err(Fault::Silent));
        world.answer_start(0, Ok(()));
        world.finish(key(0), End::Done);
        world.finish(key(1), End::Done);
        world.advance(500);
        let until = Some(world.now.as_micros() / 1_000 + 14_000);
        world.answer_report(Orders { until, noted: 2, ..Orders::default() });
        world.advance(13_000);
    });
    assert_eq!(lines, ["end kept run=0000000000000001.0.0.0#1 number=1 for_ms=11500"]);
}

struct Fenced {
    /// Numbers of running and ended tasks on the next incarnation before it is fenced.
    runs: u16,
    ends: u16,
    line: &'static str,
}

/// The logs gave only the number of runs that reached an incarnation before it was fenced. A long
/// list must not make a long line.
#[rstest]
#[case::none(Fenced { runs: 0, ends: 0, line: "runs=0 ends=0 listed=\"\"" })]
#[case::both(Fenced {
    runs: 1,
    ends: 1,
    line: "runs=1 ends=1 listed=\"0000000000000001.0.0.0#1 0000000000000001.0.0.1#1\"",
})]
#[case::many(Fenced {
    runs: 500,
    ends: 0,
    line: "runs=500 ends=0 listed=\"0000000000000001.0.0.0#1 0000000000000001.0.0.1#1 \
        0000000000000001.0.0.2#1 0000000000000001.0.0.3#1 0000000000000001.0.0.4#1 \
        0000000000000001.0.0.5#1 0000000000000001.0.0.6#1 0000000000000001.0.0.7#1\"",
})]
fn fenced_runner_is_logged_with_its_runs(#[case] case: Fenced) {
    let lines = Lines::of("runner fenced", || {
        let mut world = World::unannounced();
        for index in 0..case.runs {
            world.list_row(index);
        }
        for index in case.runs..case.runs + case.ends {
            world.finish(key(index), End::Failed);
        }
        world.send(Message::Announce(Box::new(announcement("i-1", 50, 1))));
        world.advance(1_000);
    });
    assert_eq!(lines, [format!("runner fenced runner=i-1 born=50 {}", case.line)]);
}
