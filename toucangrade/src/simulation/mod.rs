//! Deterministic simulation of entries, agents and control: the production state machines exchange
//! messages over a simulated link with random faults. Each run is replayable from its seed.

mod agent;
mod control;
mod entry;
pub(crate) mod jobs;
mod link;
mod truth;
mod world;

#[cfg(test)]
mod tests;

use std::fmt;

use rand::Rng;

use self::link::{LinkFaults, Node};
use self::truth::Response;
use self::world::{KINDS, RunnerFaults, World};
use crate::core::{Class, Key, Verdict, Violation, invariant, replayed};

/// Simulated time between two random actions, in microseconds.
const ACTION_INTERVAL: u64 = 20_000;
/// Maximum time until the cluster is idle after all faults stop, in microseconds. Covers the
/// longest lease, the time for which an owner queries a lost attempt, and the partition leases.
const SETTLE_TIMEOUT: u64 = 100_000_000;
/// Number of newest subjects that callers may request again. They span about 10 s, in which a
/// partition moves to a new owner while an execution started by the old one still runs.
const RECENT_SUBJECTS: usize = 200;
/// Maximum number of requests in a run; bounds its memory.
const MAX_SUBMISSIONS: usize = 200_000;

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub(crate) seed: u64,
    /// Messages that the duties processed.
    pub(crate) steps: u64,
    /// Simulated time in milliseconds.
    pub(crate) millis: u64,
    pub(crate) submissions: usize,
    pub(crate) executions: usize,
    pub(crate) crashes: u64,
    pub(crate) isolations: u64,
    pub(crate) drains: u64,
    /// Responses by verdict (ran, not-run, may-have-run), and connections that broke before one.
    pub(crate) ran: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) disconnects: u64,
    /// Executions that were evicted with a checkpoint, and those that resumed from one.
    pub(crate) evicted: usize,
    pub(crate) resumed: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, steps, millis, submissions, executions, crashes, .. } = self;
        write!(
            f,
            "seed {seed}: {steps} steps in {millis} ms; {crashes} crashes, {} isolations, {} \
             drains; {submissions} requests, {executions} executions; {} ran, {} not-run, {} \
             may-have-run, {} connections broken; {} evicted, {} resumed",
            self.isolations,
            self.drains,
            self.ran,
            self.not_run,
            self.unknown,
            self.disconnects,
            self.evicted,
            self.resumed
        )
    }
}

/// Runs one seed for about `steps` steps, then stops all faults and waits until the cluster is
/// idle.
///
/// # Errors
///
/// The violated invariant, with the trace of a second run of the same seed.
pub fn try_run(seed: u64, steps: u64) -> Result<Report, Violation> {
    let start = |traced| {
        let mut driver = Driver::new(seed);
        if traced {
            driver.world.truth.enable_trace();
        }
        driver
    };
    let trace = |driver: &Driver| driver.world.truth.lines().cloned().collect();
    replayed(start, |driver| driver.run(steps), trace)
}

/// Generates the random requests and faults of a run.
struct Driver {
    world: World,
    report: Report,
    /// Newest subjects, which callers may request again.
    recent: Vec<usize>,
}

impl Driver {
    fn new(seed: u64) -> Self {
        let world = World::new(seed, 3, 3, 5);
        Self { world, report: Report { seed, ..Report::default() }, recent: Vec::new() }
    }

    fn run(&mut self, steps: u64) -> Report {
        self.world.advance(5_000_000);
        while self.world.steps < steps && self.world.truth.submissions.len() < MAX_SUBMISSIONS {
            self.random_action();
            self.world.advance(ACTION_INTERVAL);
        }
        self.settle();
        self.summary()
    }

    fn random_action(&mut self) {
        let draw = self.world.rng.random_range(0..1_000);
        match draw {
            0..400 => self.submit(),
            400..700 => self.resend(),
            700..703 => self.crash(),
            703..720 => self.restart(),
            720..723 => self.isolate(),
            723..740 => self.world.link.isolated.clear(),
            740..743 => self.drain(),
            743..746 => self.world.configure(),
            746..756 => self.change_runner(),
            756..766 => self.draw_link_faults(),
            766..776 => self.draw_runner_faults(),
            776..778 => self.world.restart(Node::Control),
            778 => self.world.crash(Node::Control),
            779..789 => self.toggle_leaving(),
            _ => {},
        }
    }

    fn random_node(&mut self) -> Node {
        let nodes: Vec<Node> = self.world.nodes().into_iter().collect();
        nodes[self.world.rng.random_range(0..nodes.len())]
    }

    fn submit(&mut self) {
        let kind = self.world.rng.random_range(0..KINDS.len());
        let lease = KINDS[kind].2 * 1_000;
        // Declared run times are inaccurate, so some executions take longer than their lease.
        let work = self.world.rng.random_range(1_000..lease * 11 / 10);
        let number = self.world.truth.subjects.len();
        let own = self.world.rng.random_ratio(1, 2);
        let key = Key::new(&format!("key-{number}")).ok().filter(|_| own);
        // Some callers reuse the key of another subject.
        let other = self.recent.last().copied().filter(|_| self.world.rng.random_ratio(1, 50));
        let used = other.and_then(|other| self.world.truth.subjects[other].key.clone());
        let shared = used.is_some();
        let subject = self.world.add_subject(kind, used.or(key), work);
        if let Some(other) = other.filter(|_| shared) {
            self.world.truth.subjects[subject].shared = true;
            self.world.truth.subjects[other].shared = true;
        }
        let entry = self.world.rng.random_range(0..3);
        self.world.submit(subject, entry);
        self.recent.push(subject);
        if self.recent.len() > RECENT_SUBJECTS {
            self.recent.remove(0);
        }
    }

    /// Repeats the request for a recent subject, possibly through another entry.
    fn resend(&mut self) {
        if self.recent.is_empty() {
            return;
        }
        // Prefers subjects that still run, because repeated requests for these find most faults.
        let subjects = &self.world.truth.subjects;
        let open = |subject: &&usize| subjects[**subject].runs.iter().any(|r| r.until.is_none());
        let running: Vec<usize> = self.recent.iter().filter(open).copied().collect();
        let among = match self.world.rng.random_range(0..3) {
            0 if !running.is_empty() => &running[..],
            1 => &self.recent[self.recent.len().saturating_sub(12)..],
            _ => &self.recent[..],
        };
        let subject = among[self.world.rng.random_range(0..among.len())];
        // A caller that sent no key can only repeat its request after a response with the key.
        if self.world.truth.subjects[subject].key.is_none() {
            return;
        }
        let entry = self.world.rng.random_range(0..3);
        self.world.submit(subject, entry);
    }

    fn crash(&mut self) {
        let node = self.random_node();
        self.world.crash(node);
        self.report.crashes += 1;
    }

    fn restart(&mut self) {
        let nodes = self.world.nodes().into_iter().chain([Node::Control]);
        let down: Vec<Node> = nodes.filter(|&node| !self.world.up(node)).collect();
        for node in down.into_iter().chain(self.world.departed_agents()) {
            self.world.restart(node);
        }
    }

    fn isolate(&mut self) {
        let node = self.random_node();
        self.world.link.isolated.insert(node);
        self.report.isolations += 1;
    }

    fn drain(&mut self) {
        match self.random_node() {
            Node::Agent(agent) => self.world.drain_agent(agent),
            Node::Entry(entry) => self.world.drain_entry(entry),
            Node::Control => {},
        }
        self.report.drains += 1;
    }

    /// Toggles whether a random runner announces that it is leaving.
    fn toggle_leaving(&mut self) {
        let index = self.world.rng.random_range(0..self.world.runners.len());
        self.world.runners[index].leaving ^= true;
    }

    /// Changes the state of a random runner.
    fn change_runner(&mut self) {
        let index = self.world.rng.random_range(0..self.world.runners.len());
        match self.world.rng.random_range(0..6) {
            0 => self.world.kill_runner(index),
            1 | 2 => self.world.runners[index].up = true,
            3 => {
                let slots = self.world.rng.random_range(1..=5);
                let connections = slots + self.world.rng.random_range(0..=6);
                let runner = &mut self.world.runners[index];
                (runner.slots, runner.connections) = (slots, connections);
            },
            4 => self.world.runners[index].ignores_stop ^= true,
            _ => self.world.runners[index].leaving ^= true,
        }
    }

    fn draw_link_faults(&mut self) {
        let rng = &mut self.world.rng;
        let mut share =
            |top: u32| if rng.random_ratio(1, 3) { rng.random_range(0..top) } else { 0 };
        let faults = LinkFaults {
            lose: share(300),
            duplicate: share(300),
            hold: share(100),
            jitter: u64::from(share(300_000)),
        };
        self.world.link.faults = faults;
    }

    fn draw_runner_faults(&mut self) {
        let rng = &mut self.world.rng;
        let mut share =
            |top: u32| if rng.random_ratio(1, 3) { rng.random_range(0..top) } else { 0 };
        self.world.runner_faults =
            RunnerFaults { slow: share(300), disconnects: share(300), decline: share(200) };
    }

    /// Stops all faults and checks that the cluster becomes idle within `SETTLE_TIMEOUT`.
    fn settle(&mut self) {
        self.world.link = link::Link::default();
        self.world.runner_faults = RunnerFaults::default();
        for runner in &mut self.world.runners {
            (runner.up, runner.ignores_stop, runner.leaving) = (true, false, false);
        }
        self.restart();
        self.world.tick = 100_000;
        let until = self.world.now + SETTLE_TIMEOUT;
        while self.world.unsettled().is_some() && self.world.now < until {
            self.world.advance(1_000_000);
            // Draining entries exit only now, and without an entry no open claim is closed.
            self.restart();
        }
        let unsettled = self.world.unsettled();
        invariant!(unsettled.is_none(), "not settled after all faults stopped: {unsettled:?}");
        self.resubmit_once();
    }

    /// Repeats up to 50 `once` requests and checks that none that ran gets the verdict not-run.
    fn resubmit_once(&mut self) {
        self.world.advance(10_000_000);
        let Some(entry) = (0..3).find(|&entry| self.world.up(Node::Entry(entry))) else { return };
        let subjects = self.world.truth.subjects.iter().enumerate();
        let once = subjects.filter(|(_, s)| s.class == Class::Once && s.key.is_some() && !s.shared);
        let asked: Vec<usize> = once.map(|(index, _)| index).collect();
        for subject in asked.into_iter().rev().take(50) {
            let submission = self.world.submit(subject, entry);
            while self.world.truth.submissions[submission].response.is_none() {
                self.world.advance(50_000);
            }
            let response = &self.world.truth.submissions[submission].response;
            let verdict = response.as_ref().and_then(Response::verdict);
            let ran = !self.world.truth.subjects[subject].runs.is_empty();
            let denied = ran && verdict == Some(Verdict::NotRun);
            invariant!(
                !denied,
                "subject {subject} ran, but the repeated request gets {response:?}"
            );
        }
    }

    fn summary(&mut self) -> Report {
        let mut report = std::mem::take(&mut self.report);
        let truth = &self.world.truth;
        (report.steps, report.millis) = (self.world.steps, self.world.now / 1_000);
        report.submissions = truth.submissions.len();
        report.executions = truth.subjects.iter().map(|subject| subject.runs.len()).sum();
        let runs = || truth.subjects.iter().flat_map(|subject| &subject.runs);
        report.evicted = runs().filter(|run| run.evicted.is_some()).count();
        report.resumed = runs().filter(|run| run.resumed.is_some()).count();
        for submission in &truth.submissions {
            let Some(response) = &submission.response else { continue };
            match response.verdict() {
                Some(Verdict::Ran) => report.ran += 1,
                Some(Verdict::NotRun) => report.not_run += 1,
                Some(Verdict::MayHaveRun) => report.unknown += 1,
                None => report.disconnects += 1,
            }
        }
        report
    }
}
