//! Interpreter for the scenario files: one command per line; `expect` prints the output to compare.

use super::super::link::Node;
use super::super::truth::Response;
use super::super::world::{KINDS, World};
use crate::core::{Key, Span, Verdict};

/// State of a scenario.
#[derive(Default)]
struct Script {
    world: Option<World>,
    /// Subject of each named request.
    names: Vec<(String, usize)>,
}

/// Guards against changed outcomes of the scenarios; `REWRITE=1` updates the expected output.
#[test]
fn scenarios_match_expectations() {
    let mut count = 0;
    datadriven::walk("src/simulation/scenarios", |file| {
        count += 1;
        file.run(|test| {
            assert_eq!(test.directive, "play");
            let mut script = Script::default();
            test.input.lines().filter_map(|line| script.execute(line)).collect::<String>()
        });
    });
    assert!(count > 0, "no scenario files found");
}

impl Script {
    /// Executes one command; `expect` returns a line of output.
    fn execute(&mut self, line: &str) -> Option<String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let option =
            |name: &str| words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        let number = |name: &str, other: usize| option(name).map_or(other, |n| n.parse().unwrap());
        let (&command, rest) = words.split_first()?;
        if command == "declare" {
            let slots = u32::try_from(number("slots", 2)).unwrap();
            let mut world = World::new(1, number("entries", 2), number("agents", 1), slots);
            world.advance(5_000_000);
            self.world = Some(world);
            return None;
        }
        let world = self.world.as_mut().expect("declare must be the first command");
        let names = &mut self.names;
        let subject = |names: &[(String, usize)]| {
            names.iter().find(|(name, _)| name == rest[0]).expect("a known request").1
        };
        match command {
            "advance" => world.advance(span(rest[0]).as_micros()),
            "request" => {
                let name = option("kind").expect("a kind");
                let kind = KINDS.iter().position(|(kind, ..)| *kind == name).expect("a known kind");
                let key = Key::new(option("key").unwrap_or(rest[0])).unwrap();
                let work = option("work").map_or(Span::millis(100), span).as_micros();
                let subject = world.add_subject(kind, Some(key), work);
                names.push((rest[0].to_owned(), subject));
                world.submit(subject, number("entry", 1) - 1);
            },
            "again" => {
                world.submit(subject(names), number("entry", 1) - 1);
            },
            "lose" => _ = world.link.blocked.insert((node(rest[0]), node(rest[1]))),
            "restore" => _ = world.link.blocked.remove(&(node(rest[0]), node(rest[1]))),
            "slow" => {
                let delay = span(rest[2]).as_micros();
                world.link.slow.insert((node(rest[0]), node(rest[1])), delay);
            },
            "duplicate" => world.link.faults.duplicate = 1_000,
            "isolate" => _ = world.link.isolated.insert(node(rest[0])),
            "join" => _ = world.link.isolated.remove(&node(rest[0])),
            "configure" => world.configure(),
            "drain" => match node(rest[0]) {
                Node::Agent(agent) => world.drain_agent(agent),
                Node::Entry(entry) => world.drain_entry(entry),
                Node::Control => panic!("control cannot be drained"),
            },
            "crash" => match runner(rest[0]) {
                Some(runner) => world.kill_runner(runner),
                None => world.crash(node(rest[0])),
            },
            "restart" => match runner(rest[0]) {
                Some(runner) => world.runners[runner].up = true,
                None => world.restart(node(rest[0])),
            },
            "slots" => {
                let runner = &mut world.runners[runner(rest[0]).expect("a runner")];
                runner.slots = rest[1].parse().unwrap();
                runner.connections = runner.slots * 4;
            },
            "leave" => world.runners[runner(rest[0]).expect("a runner")].leaving = true,
            "cut" => world.disconnect_all(runner(rest[0]).expect("a runner")),
            "stubborn" => world.runners[runner(rest[0]).expect("a runner")].ignores_stop = true,
            "expect" if rest[0] == "settled" => {
                return Some(match world.unsettled() {
                    None => "settled\n".to_owned(),
                    Some(reason) => format!("{reason}\n"),
                });
            },
            "expect" if rest[0] == "revision" => {
                let outdated: Vec<String> =
                    world.outdated().iter().map(|node| format!(" {node:?}")).collect();
                return Some(format!("behind:{}\n", outdated.concat()));
            },
            "expect" => return Some(outcome(world, rest[0], subject(names))),
            _ => panic!("unknown command {command}"),
        }
        None
    }
}

/// Formats the responses to the callers of a request and the executions of it.
fn outcome(world: &World, name: &str, subject: usize) -> String {
    let submissions = world.truth.submissions.iter().filter(|s| s.subject == subject);
    let responses = submissions.map(|submission| match &submission.response {
        None => "waits",
        Some(Response::Disconnected) => "connection broken",
        Some(response) => response.verdict().map_or("none", Verdict::as_str),
    });
    let responses: Vec<&str> = responses.collect();
    let runs = world.truth.subjects[subject].runs.iter();
    let executions = runs.map(|run| {
        let state = match (run.until, run.completed, &run.evicted) {
            (None, ..) => "runs",
            (_, true, _) => "ran",
            (_, _, Some(_)) => "evicted",
            (_, _, None) => "stopped",
        };
        let from = if run.resumed.is_some() { ", from a checkpoint" } else { "" };
        format!(", {state} at runner-{}{from}", run.runner + 1)
    });
    format!("{name}: {}{}\n", responses.join(", "), executions.collect::<String>())
}

fn node(word: &str) -> Node {
    let index = |prefix| word.strip_prefix(prefix).map(|n| n.parse::<usize>().unwrap() - 1);
    index("entry-")
        .map(Node::Entry)
        .or(index("agent-").map(Node::Agent))
        .unwrap_or_else(|| if word == "control" { Node::Control } else { panic!("no node {word}") })
}

fn runner(word: &str) -> Option<usize> {
    word.strip_prefix("runner-").map(|n| n.parse::<usize>().unwrap() - 1)
}

fn span(word: &str) -> Span {
    match word.strip_suffix("ms") {
        Some(millis) => Span::millis(millis.parse().unwrap()),
        None => Span::secs(word.strip_suffix('s').expect("a time").parse().unwrap()),
    }
}
