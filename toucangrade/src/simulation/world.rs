//! The processes of a simulated cluster and the events that pass between them.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::agent::{Agent, Runner};
use super::control::Control;
use super::entry::Entry;
use super::link::{Link, Node, Rate};
use super::truth::{Response, Subject, Submission, Truth};
use crate::core::{Class, Key, Moment, Name, Span};
use crate::execution::Completion;
use crate::http::CallError;
use crate::peer::{Reply, Request};
use crate::routing::Target;

/// Clock rates in local time for 1,000: the two extremes differ by 4.9%, below the 5% that the
/// design allows.
const RATES: std::ops::RangeInclusive<u64> = 976..=1_024;
/// Name of the service that all kinds belong to.
pub(crate) const SERVICE: &str = "balcao";
/// Kinds with their classes and timeouts in milliseconds.
pub(crate) const KINDS: [(&str, Class, u64); 4] = [
    ("quote", Class::Quick, 300),
    // Outlives the lease of a partition, so that an earlier owner's attempt may still run.
    ("match", Class::Quick, 5_000),
    ("route-plan", Class::Batch, 2_000),
    ("stock-order", Class::Once, 1_000),
];

/// What a process does with the result of a request that it sent.
pub(super) enum Done {
    Ask { key: Key, attempt: u32 },
    Beat { sent: Moment },
    Call { key: Key, attempt: u32, target: Target, sent: Moment },
    Claim { key: Key, attempt: u32 },
    Forward { key: Key, ticket: u64 },
    Open,
    Poll { sent: Moment },
    Sample { agent: Name },
}

/// A request under way.
struct Call {
    node: Node,
    life: u64,
    done: Done,
    /// Copies of the request that the link delivers.
    copies: usize,
}

/// Something that happens at a moment of the simulation.
pub(super) enum Event {
    Announce {
        runner: usize,
    },
    Commit {
        command: Box<crate::state::Command>,
        call: Option<u64>,
    },
    Deliver {
        from: Node,
        to: Node,
        call: u64,
        request: Box<Request>,
    },
    End {
        runner: usize,
        run: u64,
    },
    /// The agent loses the connection of an execution.
    Cut {
        runner: usize,
        run: u64,
    },
    Ended {
        agent: usize,
        life: u64,
        message: Box<crate::admission::Message>,
    },
    Return {
        call: u64,
        result: Box<Result<Reply, CallError>>,
    },
    Tick {
        node: Node,
        life: u64,
    },
}

/// Behaviour of runners, each out of 1,000 executions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Habits {
    /// The runner answers nothing before the lease ends.
    pub(crate) slow: u32,
    /// The connection breaks while the execution goes on.
    pub(crate) cut: u32,
    /// The runner declines the request.
    pub(crate) decline: u32,
}

/// The simulated cluster.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) steps: u64,
    pub(crate) rng: SmallRng,
    pub(crate) link: Link,
    pub(crate) truth: Truth,
    pub(crate) habits: Habits,
    /// Time between two ticks of a process, in microseconds.
    pub(crate) tick: u64,
    pub(super) entries: Vec<Option<Entry>>,
    pub(super) agents: Vec<Option<Agent>>,
    pub(super) runners: Vec<Runner>,
    pub(super) control: Control,
    events: BTreeMap<(u64, u64), Event>,
    calls: BTreeMap<u64, Call>,
    serial: u64,
}

impl World {
    /// A cluster with one runner beside each agent, each with this many slots.
    pub(crate) fn new(seed: u64, entries: usize, agents: usize, slots: u32) -> Self {
        let mut world = Self {
            now: 0,
            steps: 0,
            rng: SmallRng::seed_from_u64(seed),
            link: Link::default(),
            truth: Truth::default(),
            habits: Habits::default(),
            tick: 20_000,
            entries: (0..entries).map(|_| None).collect(),
            agents: (0..agents).map(|_| None).collect(),
            runners: (0..agents).map(|agent| Runner::new(agent, slots)).collect(),
            control: Control::new(),
            events: BTreeMap::new(),
            calls: BTreeMap::new(),
            serial: 0,
        };
        world.lead();
        world.configure();
        for entry in 0..entries {
            world.restart(Node::Entry(entry));
        }
        for agent in 0..agents {
            world.restart(Node::Agent(agent));
            world.schedule(0, Event::Announce { runner: agent });
        }
        world
    }

    /// A number that was not used before.
    pub(super) fn serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    pub(super) fn schedule(&mut self, after: u64, event: Event) {
        let serial = self.serial();
        self.events.insert((self.now + after, serial), event);
    }

    /// A clock that starts now.
    pub(super) fn clock(&mut self) -> Rate {
        Rate { origin: self.now, rate: self.rng.random_range(RATES) }
    }

    /// Life of a process, zero when it is down.
    pub(super) fn life(&self, node: Node) -> u64 {
        match node {
            Node::Agent(index) => self.agents[index].as_ref().map_or(0, |agent| agent.life),
            Node::Control => self.control.life,
            Node::Entry(index) => self.entries[index].as_ref().map_or(0, |entry| entry.life),
        }
    }

    fn rate(&self, node: Node) -> Option<Rate> {
        match node {
            Node::Agent(index) => self.agents[index].as_ref().map(|agent| agent.clock),
            Node::Control => Some(self.control.clock),
            Node::Entry(index) => self.entries[index].as_ref().map(|entry| entry.clock),
        }
    }

    /// Sends a request; exactly one result comes back while the sender lives.
    pub(super) fn send(
        &mut self,
        from: Node,
        to: Node,
        request: Request,
        timeout: Span,
        done: Done,
    ) {
        let Some(rate) = self.rate(from) else { return };
        let call = self.serial();
        let life = self.life(from);
        let delays = self.link.delays(&mut self.rng, from, to);
        self.calls.insert(call, Call { node: from, life, done, copies: delays.len() });
        let result = Box::new(Err(CallError::Timeout));
        self.schedule(rate.real(timeout), Event::Return { call, result });
        for delay in delays {
            let request = Box::new(request.clone());
            self.schedule(delay, Event::Deliver { from, to, call, request });
        }
    }

    /// Sends the reply to a request.
    pub(super) fn reply(&mut self, from: Node, call: u64, result: Result<Reply, CallError>) {
        let Some(to) = self.calls.get(&call).map(|call| call.node) else { return };
        for delay in self.link.delays(&mut self.rng, from, to) {
            let result = Box::new(result.clone());
            self.schedule(delay, Event::Return { call, result });
        }
    }

    /// Runs until the given time of the simulation.
    pub(crate) fn advance(&mut self, micros: u64) {
        let until = self.now + micros;
        while let Some((&(at, _), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            let Some(((at, _), event)) = self.events.pop_first() else { break };
            self.now = at;
            self.happen(event);
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Announce { runner } => self.announce(runner),
            Event::Commit { command, call } => self.commit(*command, call),
            Event::Cut { runner, run } => self.cut(runner, run),
            Event::Deliver { from, to, call, request } => self.deliver(from, to, call, *request),
            Event::End { runner, run } => self.end(runner, run),
            Event::Ended { agent, life, message } => {
                if self.life(Node::Agent(agent)) == life {
                    self.admit(agent, *message);
                }
            },
            Event::Return { call, result } => {
                let Some(Call { node, life, done, .. }) = self.calls.remove(&call) else { return };
                if self.life(node) == life {
                    match node {
                        Node::Agent(agent) => self.agent_done(agent, done, *result),
                        Node::Control => {},
                        Node::Entry(entry) => self.entry_done(entry, done, *result),
                    }
                }
            },
            Event::Tick { node, life } => {
                if life == 0 || self.life(node) != life {
                    return;
                }
                match node {
                    Node::Agent(agent) => self.agent_tick(agent),
                    Node::Control => self.control_tick(),
                    Node::Entry(entry) => self.entry_tick(entry),
                }
                let after = self.tick + self.rng.random_range(0..self.tick / 4);
                self.schedule(after, Event::Tick { node, life });
            },
        }
    }

    fn deliver(&mut self, from: Node, to: Node, call: u64, request: Request) {
        if self.link.cut(from, to) {
            return;
        }
        if self.life(to) == 0 {
            // Only a request of which nothing was sent fails to connect.
            let once = self.calls.get(&call).is_some_and(|call| call.copies == 1);
            let error = if once { CallError::Connect } else { CallError::Lost };
            return self.reply(to, call, Err(error));
        }
        // Heartbeats, polls and clock readings would fill the trace.
        if !matches!(
            request,
            Request::Beat(_) | Request::Open { .. } | Request::Poll(_) | Request::Query(None)
        ) {
            self.truth.note(self.now, || format!("{from:?} -> {to:?} {}", brief(&request)));
        }
        match to {
            Node::Agent(agent) => self.agent_serve(agent, call, request),
            Node::Control => self.control_serve(call, request),
            Node::Entry(entry) => self.entry_serve(entry, call, request),
        }
    }

    /// Starts a process anew: its memory is empty and its incarnation is new.
    pub(crate) fn restart(&mut self, node: Node) {
        self.crash(node);
        self.truth.note(self.now, || format!("restart {node:?}"));
        match node {
            Node::Agent(index) => self.start_agent(index),
            Node::Control => self.lead(),
            Node::Entry(index) => self.start_entry(index),
        }
        let life = self.life(node);
        self.schedule(1, Event::Tick { node, life });
    }

    /// Ends a process at once; callers connected to an entry see the connection break.
    pub(crate) fn crash(&mut self, node: Node) {
        self.truth.note(self.now, || format!("crash {node:?}"));
        match node {
            Node::Agent(index) => self.agents[index] = None,
            Node::Control => self.control.life = 0,
            Node::Entry(index) => {
                let Some(entry) = self.entries[index].take() else { return };
                for submission in entry.callers.into_values() {
                    self.truth.respond(submission, None, Response::Cut);
                }
            },
        }
    }

    /// Whether a process runs.
    pub(crate) fn up(&self, node: Node) -> bool {
        self.life(node) != 0
    }

    /// Adds work that callers may ask for.
    pub(crate) fn subject(&mut self, kind: usize, key: Option<Key>, work: u64) -> usize {
        let class = KINDS[kind].1;
        self.truth.subjects.push(Subject {
            kind,
            class,
            key,
            work,
            shared: false,
            runs: Vec::new(),
        });
        self.truth.subjects.len() - 1
    }

    /// A caller asks an entry for a piece of work.
    pub(crate) fn submit(&mut self, subject: usize, entry: usize) -> usize {
        let submission = self.truth.submissions.len();
        self.truth.submissions.push(Submission { subject, response: None });
        self.truth.note(self.now, || format!("caller {submission} asks entry {entry}: {subject}"));
        if self.entries[entry].is_none() {
            self.truth.respond(submission, None, Response::Cut);
        } else {
            self.arrive(entry, submission);
        }
        submission
    }

    /// Gives a caller its response.
    pub(super) fn respond(&mut self, submission: usize, key: Key, completion: Completion) {
        self.truth.note(self.now, || format!("caller {submission} is told {completion:?}"));
        self.truth.respond(submission, Some(key), Response::Completion(completion));
    }

    /// Why the cluster is not at rest, if it is not.
    pub(crate) fn unsettled(&self) -> Option<String> {
        let waiting = self.truth.submissions.iter().position(|s| s.response.is_none());
        if let Some(caller) = waiting {
            return Some(format!("caller {caller} waits for a response"));
        }
        for (index, entry) in self.entries.iter().enumerate() {
            let open = entry.as_ref().map_or(0, |entry| entry.execution.unsettled());
            if open > 0 {
                return Some(format!("entry {index} has {open} unsettled requests"));
            }
        }
        let claims = self.control.state.open_claims();
        if claims > 0 {
            return Some(format!("{claims} claims are open"));
        }
        let running: usize = self.runners.iter().map(|runner| runner.runs.len()).sum();
        (running > 0).then(|| format!("{running} executions run"))
    }

    /// Agents that left long enough ago to have ended all executions.
    pub(crate) fn left(&self) -> Vec<Node> {
        let ended = |agent: &Agent| agent.left.is_some_and(|left| self.now > left + 6_000_000);
        let agents = self.agents.iter().enumerate();
        let ended = agents.filter(|(_, agent)| agent.as_ref().is_some_and(ended));
        ended.map(|(index, _)| Node::Agent(index)).collect()
    }

    #[cfg(test)]
    /// Processes that run and don't have the newest configuration in force.
    pub(crate) fn behind(&self) -> Vec<Node> {
        let newest = self.control.state.config().revision;
        let current = |node: &Node| self.truth.revision(*node, self.life(*node)) == newest;
        self.nodes().into_iter().filter(|node| self.up(*node) && !current(node)).collect()
    }

    /// Entries and agents.
    pub(crate) fn nodes(&self) -> BTreeSet<Node> {
        let entries = (0..self.entries.len()).map(Node::Entry);
        entries.chain((0..self.agents.len()).map(Node::Agent)).collect()
    }
}

/// A name that is known to be valid.
pub(super) fn name(value: &str) -> Name {
    Name::new(value).unwrap_or_else(|error| unreachable!("{error}"))
}

/// One line of the trace for a request.
fn brief(request: &Request) -> String {
    match request {
        Request::Claim(claim) => format!("claim {claim:?}"),
        Request::Start(start) => format!(
            "start {} fence {} epoch {} by {:?}",
            start.key, start.fence, start.epoch, start.start_by
        ),
        other => format!("{other:?}"),
    }
}
