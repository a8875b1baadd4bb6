//! Event loop of the simulated cluster: the processes, and the events scheduled between them.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::agent::{Agent, Runner};
use super::control::Control;
use super::entry::Entry;
use super::link::{Clock, Link, Node};
use super::truth::{Response, Subject, Submission, Truth};
use crate::core::{Class, Key, Moment, Name, Span};
use crate::execution::Completion;
use crate::http::CallError;
use crate::peer::{Reply, Request};
use crate::routing::Target;

/// Range of clock rates, in local microseconds per 1,000 simulated ones. The extremes differ by
/// 4.9%, which is below the clock drift of 5% that the design allows.
const CLOCK_RATES: std::ops::RangeInclusive<u64> = 976..=1_024;
/// Name of the service that all kinds belong to.
pub(crate) const SERVICE: &str = "balcao";
/// Kinds, each with its class and timeout in milliseconds.
pub(crate) const KINDS: [(&str, Class, u64); 4] = [
    ("quote", Class::Quick, 300),
    // Runs longer than a partition lease, so that an attempt of the previous owner may still run.
    ("match", Class::Quick, 5_000),
    ("route-plan", Class::Batch, 2_000),
    ("stock-order", Class::Once, 1_000),
];

/// Context of a request that a process sent, used to handle its result.
pub(super) enum Continuation {
    Ask { key: Key, attempt: u32 },
    Beat { sent: Moment },
    Call { key: Key, attempt: u32, target: Target, sent: Moment },
    Claim { key: Key, attempt: u32 },
    Forward { key: Key, ticket: u64 },
    Open,
    Poll { sent: Moment },
    Sample { agent: Name },
}

/// A request in flight.
struct Call {
    node: Node,
    incarnation: u64,
    continuation: Continuation,
    /// Number of copies of the request that the link delivers.
    copies: usize,
}

/// A scheduled event.
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
    /// The connection between an agent and an execution at its runner breaks.
    Disconnect {
        runner: usize,
        run: u64,
    },
    ToAgent {
        agent: usize,
        incarnation: u64,
        message: Box<crate::admission::Message>,
    },
    /// The result of a call arrives at the process that made it.
    Return {
        call: u64,
        result: Box<Result<Reply, CallError>>,
    },
    Tick {
        node: Node,
        incarnation: u64,
    },
}

/// Faults of runners, each as a probability per 1,000 executions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunnerFaults {
    /// The execution doesn't end before its lease expires.
    pub(crate) slow: u32,
    /// The connection breaks while the execution keeps running.
    pub(crate) disconnects: u32,
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
    pub(crate) runner_faults: RunnerFaults,
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
    /// Creates a cluster in which each agent has one runner with `slots` slots.
    pub(crate) fn new(seed: u64, entries: usize, agents: usize, slots: u32) -> Self {
        let mut world = Self {
            now: 0,
            steps: 0,
            rng: SmallRng::seed_from_u64(seed),
            link: Link::default(),
            truth: Truth::default(),
            runner_faults: RunnerFaults::default(),
            tick: 20_000,
            entries: (0..entries).map(|_| None).collect(),
            agents: (0..agents).map(|_| None).collect(),
            runners: (0..agents).map(|agent| Runner::new(agent, slots)).collect(),
            control: Control::new(),
            events: BTreeMap::new(),
            calls: BTreeMap::new(),
            serial: 0,
        };
        world.start_leader();
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

    /// Returns a unique number.
    pub(super) fn serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    pub(super) fn schedule(&mut self, after: u64, event: Event) {
        let serial = self.serial();
        self.events.insert((self.now + after, serial), event);
    }

    /// Creates a clock that starts now, with a random rate.
    pub(super) fn clock(&mut self) -> Clock {
        Clock { origin: self.now, rate: self.rng.random_range(CLOCK_RATES) }
    }

    /// Incarnation of a process; zero while it is down.
    pub(super) fn incarnation(&self, node: Node) -> u64 {
        match node {
            Node::Agent(index) => self.agents[index].as_ref().map_or(0, |agent| agent.incarnation),
            Node::Control => self.control.incarnation,
            Node::Entry(index) => self.entries[index].as_ref().map_or(0, |entry| entry.incarnation),
        }
    }

    fn clock_of(&self, node: Node) -> Option<Clock> {
        match node {
            Node::Agent(index) => self.agents[index].as_ref().map(|agent| agent.clock),
            Node::Control => Some(self.control.clock),
            Node::Entry(index) => self.entries[index].as_ref().map(|entry| entry.clock),
        }
    }

    /// Sends a request. The sender gets exactly one result unless it crashes.
    pub(super) fn send(
        &mut self,
        from: Node,
        to: Node,
        request: Request,
        timeout: Span,
        continuation: Continuation,
    ) {
        let Some(clock) = self.clock_of(from) else { return };
        let call = self.serial();
        let incarnation = self.incarnation(from);
        let delays = self.link.delays(&mut self.rng, from, to);
        self.calls
            .insert(call, Call { node: from, incarnation, continuation, copies: delays.len() });
        let result = Box::new(Err(CallError::Timeout));
        self.schedule(clock.to_simulated(timeout), Event::Return { call, result });
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

    /// Processes the events of the next `micros` microseconds of simulated time.
    pub(crate) fn advance(&mut self, micros: u64) {
        let until = self.now + micros;
        while let Some((&(at, _), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            let Some(((at, _), event)) = self.events.pop_first() else { break };
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    /// Handles an event. Ticks, results of calls and `ToAgent` messages are dropped if their process
    /// has crashed or restarted since they were scheduled.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Announce { runner } => self.announce(runner),
            Event::Commit { command, call } => self.commit(*command, call),
            Event::Disconnect { runner, run } => self.disconnect(runner, run),
            Event::Deliver { from, to, call, request } => self.deliver(from, to, call, *request),
            Event::End { runner, run } => self.end_run(runner, run),
            Event::ToAgent { agent, incarnation, message } => {
                if self.incarnation(Node::Agent(agent)) == incarnation {
                    self.admission_step(agent, *message);
                }
            },
            Event::Return { call, result } => {
                let Some(Call { node, incarnation, continuation, .. }) = self.calls.remove(&call)
                else {
                    return;
                };
                if self.incarnation(node) == incarnation {
                    match node {
                        Node::Agent(agent) => self.agent_result(agent, continuation, *result),
                        Node::Control => {},
                        Node::Entry(entry) => self.entry_result(entry, continuation, *result),
                    }
                }
            },
            Event::Tick { node, incarnation } => {
                if incarnation == 0 || self.incarnation(node) != incarnation {
                    return;
                }
                match node {
                    Node::Agent(agent) => self.agent_tick(agent),
                    Node::Control => self.control_tick(),
                    Node::Entry(entry) => self.entry_tick(entry),
                }
                let delay = self.tick + self.rng.random_range(0..self.tick / 4);
                self.schedule(delay, Event::Tick { node, incarnation });
            },
        }
    }

    fn deliver(&mut self, from: Node, to: Node, call: u64, request: Request) {
        if self.link.blocks(from, to) {
            return;
        }
        if self.incarnation(to) == 0 {
            // A connection failure says that nothing was sent, so a request with a second copy
            // counts as lost.
            let once = self.calls.get(&call).is_some_and(|call| call.copies == 1);
            let error = if once { CallError::Connect } else { CallError::Lost };
            return self.reply(to, call, Err(error));
        }
        // Heartbeats, polls, claim listings and load samples would fill the trace.
        if !matches!(
            request,
            Request::Beat(_) | Request::Open { .. } | Request::Poll(_) | Request::Query(None)
        ) {
            self.truth.note(self.now, || format!("{from:?} -> {to:?} {}", describe(&request)));
        }
        match to {
            Node::Agent(agent) => self.agent_serve(agent, call, request),
            Node::Control => self.control_serve(call, request),
            Node::Entry(entry) => self.entry_serve(entry, call, request),
        }
    }

    /// Restarts a process with empty memory and a new incarnation.
    pub(crate) fn restart(&mut self, node: Node) {
        self.crash(node);
        self.truth.note(self.now, || format!("restart {node:?}"));
        match node {
            Node::Agent(index) => self.start_agent(index),
            Node::Control => self.start_leader(),
            Node::Entry(index) => self.start_entry(index),
        }
        let incarnation = self.incarnation(node);
        self.schedule(1, Event::Tick { node, incarnation });
    }

    /// Kills a process. If it is an entry, the connections of its callers break.
    pub(crate) fn crash(&mut self, node: Node) {
        self.truth.note(self.now, || format!("crash {node:?}"));
        match node {
            Node::Agent(index) => self.agents[index] = None,
            Node::Control => self.control.incarnation = 0,
            Node::Entry(index) => {
                let Some(entry) = self.entries[index].take() else { return };
                for submission in entry.callers.into_values() {
                    self.truth.record_response(submission, None, Response::Disconnected);
                }
            },
        }
    }

    /// Whether a process is running.
    pub(crate) fn up(&self, node: Node) -> bool {
        self.incarnation(node) != 0
    }

    /// Adds a subject and returns its index.
    pub(crate) fn add_subject(&mut self, kind: usize, key: Option<Key>, work: u64) -> usize {
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

    /// Sends a caller's request for a subject to an entry and returns the index of the submission.
    pub(crate) fn submit(&mut self, subject: usize, entry: usize) -> usize {
        let submission = self.truth.submissions.len();
        self.truth.submissions.push(Submission { subject, response: None });
        self.truth.note(self.now, || {
            format!("caller {submission} requests subject {subject} from entry {entry}")
        });
        if self.entries[entry].is_none() {
            self.truth.record_response(submission, None, Response::Disconnected);
        } else {
            self.arrive(entry, submission);
        }
        submission
    }

    /// Records the response to a caller.
    pub(super) fn respond(&mut self, submission: usize, key: Key, completion: Completion) {
        self.truth.note(self.now, || format!("caller {submission} gets {completion:?}"));
        self.truth.record_response(submission, Some(key), Response::Completion(completion));
    }

    /// Reason why the cluster is not idle; none if it is idle.
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

    /// Agents that began to leave more than 6 s ago, so that all of their executions have ended.
    pub(crate) fn departed_agents(&self) -> Vec<Node> {
        let ended = |agent: &Agent| {
            agent.leaving_since.is_some_and(|leaving_since| self.now > leaving_since + 6_000_000)
        };
        let agents = self.agents.iter().enumerate();
        let ended = agents.filter(|(_, agent)| agent.as_ref().is_some_and(ended));
        ended.map(|(index, _)| Node::Agent(index)).collect()
    }

    #[cfg(test)]
    /// Running processes in which the newest configuration is not in force.
    pub(crate) fn outdated(&self) -> Vec<Node> {
        let newest = self.control.state.config().revision;
        let current = |node: &Node| self.truth.revision(*node, self.incarnation(*node)) == newest;
        self.nodes().into_iter().filter(|node| self.up(*node) && !current(node)).collect()
    }

    /// All entries and agents, running or not.
    pub(crate) fn nodes(&self) -> BTreeSet<Node> {
        let entries = (0..self.entries.len()).map(Node::Entry);
        entries.chain((0..self.agents.len()).map(Node::Agent)).collect()
    }
}

/// Converts a valid name.
pub(super) fn name(value: &str) -> Name {
    Name::new(value).unwrap_or_else(|error| unreachable!("{error}"))
}

/// Formats a request for the trace.
fn describe(request: &Request) -> String {
    match request {
        Request::Claim(claim) => format!("claim {claim:?}"),
        Request::Start(start) => format!(
            "start {} fence {} epoch {} by {:?}",
            start.key, start.fence, start.epoch, start.start_by
        ),
        other => format!("{other:?}"),
    }
}
