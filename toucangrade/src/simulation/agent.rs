//! Agents with the real ledger, and the fake runners beside them.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use rand::Rng;

use super::link::{Node, Rate};
use super::truth::Truth;
use super::world::{Done, Event, KINDS, SERVICE, World, name};
use crate::admission::{self, Admission, Announce, EvictReply, RunnerAnswer};
use crate::core::{Answer, Checkpoint, Key, Span, invariant};
use crate::http::CallError;
use crate::membership::agent::{self as membership, Identity, Membership};
use crate::peer::{Reply, Request};

/// Time between two announcements of a runner, in microseconds.
const ANNOUNCE_EVERY: u64 = 1_000_000;
/// Time that a message between an agent and its runner takes, in microseconds.
const LOCAL: u64 = 200;
/// Time that a runner takes to answer an eviction, in microseconds, so that faults come in between.
const EVICT: u64 = 20_000;
/// Kind whose executions runners can checkpoint.
const CHECKPOINTS: &str = "route-plan";
/// Time that a reply of control may take.
const CONTROL_TIMEOUT: Span = Span::millis(1_500);

/// One agent.
pub(super) struct Agent {
    pub(super) life: u64,
    pub(super) clock: Rate,
    pub(super) admission: Admission,
    membership: Membership,
    /// Requests that wait for a report, by ticket.
    calls: BTreeMap<u64, u64>,
    /// When it began to leave.
    pub(super) left: Option<u64>,
}

/// An execution under way at a runner.
#[derive(Clone, Debug)]
pub(super) struct Run {
    subject: usize,
    key: Key,
    fence: u64,
    /// Life of the agent that still waits for the answer.
    agent: Option<u64>,
    answers: bool,
    /// When it started, and the work that it had done before, in microseconds.
    from: u64,
    before: u64,
}

/// A fake runner.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    agent: usize,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Slots and connections that its agent was last told.
    announced: (u32, u32),
    /// When its agent was first told that it leaves.
    left: Option<u64>,
    pub(crate) up: bool,
    /// Ignores requests to stop an execution.
    pub(crate) stubborn: bool,
    pub(crate) leaving: bool,
    pub(super) runs: BTreeMap<u64, Run>,
    /// Checkpoints of executions that it stopped, by key and fence.
    kept: BTreeMap<(Key, u64), Checkpoint>,
}

impl Runner {
    pub(super) fn new(agent: usize, slots: u32) -> Self {
        let connections = slots * 4;
        let announced = (slots, connections);
        let (up, stubborn, leaving) = (true, false, false);
        let (runs, kept) = (BTreeMap::new(), BTreeMap::new());
        Self { agent, slots, connections, announced, left: None, up, stubborn, leaving, runs, kept }
    }
}

/// Peer address of an agent or of its runner.
fn addr(agent: usize, port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port + u16::try_from(agent).unwrap_or_default()).into()
}

/// Answer of a runner whose execution was stopped or reached the end of its lease.
fn cut_short() -> RunnerAnswer {
    let answer = Answer { status: 409, media: String::new(), body: "stopped".into() };
    RunnerAnswer { answer, declined: false }
}

/// Agent with this peer address.
pub(super) fn agent_at(addr: SocketAddr) -> Node {
    Node::Agent(usize::from(addr.port() - 100))
}

impl World {
    pub(super) fn start_agent(&mut self, index: usize) {
        let (life, clock) = (self.serial(), self.clock());
        let identity = Identity {
            name: name(&format!("agent-{}", index + 1)),
            incarnation: life,
            addr: addr(index, 100),
            centre: name("olinda"),
            rack: name("rack-1"),
        };
        let admission = Admission::new(life);
        let membership = Membership::new(identity);
        let (calls, left) = (BTreeMap::new(), None);
        self.agents[index] = Some(Agent { life, clock, admission, membership, calls, left });
        self.announce_now(index);
    }

    /// Begins an agent's departure.
    pub(super) fn drain_agent(&mut self, index: usize) {
        let Some(agent) = &mut self.agents[index] else { return };
        agent.left = Some(self.now);
        self.admit(index, admission::Message::Drain);
        self.agent_member(index, membership::Message::Drain);
    }

    pub(super) fn agent_tick(&mut self, index: usize) {
        self.agent_member(index, membership::Message::Tick);
        self.admit(index, admission::Message::Tick);
    }

    pub(super) fn agent_serve(&mut self, index: usize, call: u64, request: Request) {
        let ticket = self.serial();
        let message = match request {
            Request::Query(about) => admission::Message::Query { ticket, about },
            Request::Start(start) => admission::Message::Start { ticket, start: *start },
            _ => return,
        };
        if let Some(agent) = &mut self.agents[index] {
            agent.calls.insert(ticket, call);
        }
        self.admit(index, message);
    }

    pub(super) fn agent_done(
        &mut self,
        index: usize,
        done: Done,
        result: Result<Reply, CallError>,
    ) {
        let Done::Beat { sent } = done else { return };
        let beaten = match result {
            Ok(Reply::Beaten(beaten)) => Some(beaten),
            _ => None,
        };
        self.agent_member(index, membership::Message::Beaten { sent, beaten });
    }

    fn agent_member(&mut self, index: usize, message: membership::Message) {
        let Some(agent) = &mut self.agents[index] else { return };
        let (now, life) = (agent.clock.read(self.now), agent.life);
        self.steps += 1;
        for effect in agent.membership.step(now, message) {
            match effect {
                membership::Effect::Beat(beat) => {
                    self.truth.revise(Node::Agent(index), life, beat.applied);
                    let (done, request) = (Done::Beat { sent: now }, Request::Beat(beat));
                    self.send(Node::Agent(index), Node::Control, request, CONTROL_TIMEOUT, done);
                },
                membership::Effect::Confirmed { until } => {
                    self.admit(index, admission::Message::LeaseExtended { until });
                },
            }
        }
    }

    /// Hands a message to an agent's ledger and carries out the effects.
    pub(super) fn admit(&mut self, index: usize, message: admission::Message) {
        let Some(agent) = &mut self.agents[index] else { return };
        let now = agent.clock.read(self.now);
        self.steps += 1;
        for effect in agent.admission.step(now, message) {
            match effect {
                admission::Effect::Announced { .. } => {},
                admission::Effect::Evict { key, fence, .. } => self.evict(index, key, fence),
                admission::Effect::Offers(offers) => {
                    self.agent_member(index, membership::Message::Offers(offers));
                },
                admission::Effect::Reply { ticket, reported } => {
                    let calls = self.agents[index].as_mut().map(|agent| &mut agent.calls);
                    if let Some(call) = calls.and_then(|calls| calls.remove(&ticket)) {
                        let report = &reported.report;
                        self.truth.note(self.now, || format!("call {call}: {report:?}"));
                        self.reply(Node::Agent(index), call, Ok(Reply::Reported(reported)));
                    }
                },
                admission::Effect::Run { key, fence, lease, checkpoint, body, .. } => {
                    let subject = Truth::subject(&body);
                    self.run(index, subject, (key, fence), lease, checkpoint);
                },
                admission::Effect::Stop { key, fence, .. } => self.stop(index, key, fence),
            }
        }
    }

    /// A runner gets a request from its agent.
    fn run(
        &mut self,
        index: usize,
        subject: usize,
        (key, fence): (Key, u64),
        lease: Span,
        checkpoint: Option<Checkpoint>,
    ) {
        let Some(Agent { life, clock, left, .. }) = &self.agents[index] else { return };
        let (life, clock, left) = (*life, *clock, left.or(self.runners[index].left));
        let decline = self.chance(self.habits.decline);
        if !self.runners[index].up || decline {
            let answer = Answer { status: 503, media: String::new(), body: "busy".into() };
            let declined = Ok(RunnerAnswer { answer, declined: true });
            let result = if decline { declined } else { Err(CallError::Connect) };
            self.ended(index, life, key, fence, result);
            return;
        }
        self.truth.note(self.now, || format!("runner {index} starts {key} under fence {fence}"));
        self.truth.permit(subject, &key, fence, checkpoint.as_ref());
        self.truth.start(self.now, subject, index, left);
        let before = checkpoint.map_or(0, |checkpoint| self.truth.resume(subject, &checkpoint));
        let (slow, cut) = (self.chance(self.habits.slow), self.chance(self.habits.cut));
        let work = if slow { u64::MAX } else { self.truth.subjects[subject].work - before };
        let lease = clock.real(lease);
        let (run, takes) = (self.serial(), work.min(lease));
        let runner = &mut self.runners[index];
        let agent = Some(life);
        let (answers, from) = (work < lease, self.now);
        runner.runs.insert(run, Run { subject, key, fence, agent, answers, from, before });
        // The runner bounds nothing itself, so the count shows what the ledger allowed.
        let (slots, connections) = runner.announced;
        let count = u32::try_from(runner.runs.len()).unwrap_or(u32::MAX);
        invariant!(count <= slots, "runner {index} has {count} executions in {slots} slots");
        invariant!(count <= connections, "runner {index} has {count} of {connections} connections");
        self.schedule(takes, Event::End { runner: index, run });
        if cut {
            let at = self.rng.random_range(0..takes.max(1));
            self.schedule(at, Event::Cut { runner: index, run });
        }
    }

    pub(super) fn chance(&mut self, share: u32) -> bool {
        share > 0 && self.rng.random_ratio(share, 1_000)
    }

    /// Tells an agent how an execution ended.
    fn ended(
        &mut self,
        agent: usize,
        life: u64,
        key: Key,
        fence: u64,
        result: Result<RunnerAnswer, CallError>,
    ) {
        let message = Box::new(admission::Message::Ended { key, fence, result });
        self.schedule(LOCAL, Event::Ended { agent, life, message });
    }

    /// The connection of an execution breaks, and the execution goes on.
    pub(super) fn cut(&mut self, runner: usize, run: u64) {
        let Some(Run { key, fence, agent, .. }) = self.runners[runner].runs.get_mut(&run) else {
            return;
        };
        let (key, fence) = (key.clone(), *fence);
        if let Some(life) = agent.take() {
            self.ended(runner, life, key, fence, Err(CallError::Lost));
        }
    }

    #[cfg(test)]
    /// The connections of all executions at a runner break.
    pub(crate) fn cut_all(&mut self, runner: usize) {
        let runs: Vec<u64> = self.runners[runner].runs.keys().copied().collect();
        for run in runs {
            self.cut(runner, run);
        }
    }

    /// An execution comes to its end.
    pub(super) fn end(&mut self, runner: usize, run: u64) {
        let Some(Run { subject, key, fence, agent, answers, .. }) =
            self.runners[runner].runs.remove(&run)
        else {
            return;
        };
        self.truth.note(self.now, || format!("runner {runner} ends {key}"));
        self.truth.end(self.now, subject, answers);
        let body = format!("done {}", Truth::body(subject)).into();
        let answer = Answer { status: 200, media: String::new(), body };
        let whole = Ok(RunnerAnswer { answer, declined: false });
        let result = if answers { whole } else { Ok(cut_short()) };
        if let Some(life) = agent {
            self.ended(runner, life, key, fence, result);
        }
    }

    /// An agent asks its runner to stop an execution.
    fn stop(&mut self, index: usize, key: Key, fence: u64) {
        let life = self.life(Node::Agent(index));
        let runner = &mut self.runners[index];
        let run = runner.runs.iter().find(|(_, run)| run.key == key && run.fence == fence);
        let confirmed = !(run.is_some() && runner.stubborn);
        if let (true, Some(run)) = (confirmed, run.map(|(&run, _)| run))
            && let Some(run) = runner.runs.remove(&run)
        {
            self.truth.note(self.now, || format!("runner {index} stops {key}"));
            self.truth.end(self.now, run.subject, false);
            if let Some(life) = run.agent {
                self.ended(index, life, run.key, run.fence, Ok(cut_short()));
            }
        }
        let message = Box::new(admission::Message::Stopped { key, fence, confirmed });
        self.schedule(LOCAL, Event::Ended { agent: index, life, message });
    }

    /// An agent asks its runner to stop an execution with a checkpoint.
    fn evict(&mut self, index: usize, key: Key, fence: u64) {
        let life = self.life(Node::Agent(index));
        // As with executions, answers get lost and some runners don't do what they announced.
        let (lost, plain) = (self.chance(self.habits.cut), self.chance(self.habits.decline));
        let name = Checkpoint::new(&format!("checkpoint-{}", self.serial()));
        let name = name.unwrap_or_else(|error| unreachable!("{error}"));
        let (now, runner) = (self.now, &mut self.runners[index]);
        let run = runner.runs.iter().find(|(_, run)| run.key == key && run.fence == fence);
        let run = run.map(|(&run, _)| run);
        let mut halt = match run {
            Some(_) if runner.stubborn => EvictReply::Refused,
            _ => EvictReply::Stopped,
        };
        if halt == EvictReply::Stopped
            && let Some(run) = run.and_then(|run| runner.runs.remove(&run))
        {
            let progress = run.before + (now - run.from);
            if !plain {
                runner.kept.insert((key.clone(), fence), name.clone());
                self.truth.save(name, run.subject, progress);
            }
            self.truth.note(now, || format!("runner {index} evicts {key} after {progress} us"));
            self.truth.end(now, run.subject, false);
            if let Some(life) = run.agent {
                self.ended(index, life, run.key, run.fence, Ok(cut_short()));
            }
        }
        let runner = &self.runners[index];
        if halt == EvictReply::Stopped
            && runner.up
            && let Some(kept) = runner.kept.get(&(key.clone(), fence))
        {
            halt = if lost { EvictReply::Unknown } else { EvictReply::Checkpointed(kept.clone()) };
        }
        let message = Box::new(admission::Message::EvictReplied { key, fence, halt });
        self.schedule(EVICT, Event::Ended { agent: index, life, message });
    }

    /// A runner ends; its executions end with it.
    pub(crate) fn kill_runner(&mut self, index: usize) {
        self.truth.note(self.now, || format!("runner {index} dies"));
        let runner = &mut self.runners[index];
        runner.up = false;
        for run in std::mem::take(&mut runner.runs).into_values() {
            self.truth.end(self.now, run.subject, false);
            if let Some(life) = run.agent {
                self.ended(index, life, run.key, run.fence, Err(CallError::Lost));
            }
        }
    }

    pub(super) fn announce(&mut self, runner: usize) {
        self.announce_now(runner);
        self.schedule(ANNOUNCE_EVERY, Event::Announce { runner });
    }

    /// A runner announces itself to its agent.
    pub(super) fn announce_now(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        if !runner.up || self.agents[index].is_none() {
            return;
        }
        runner.announced = (runner.slots, runner.connections);
        runner.left = runner.left.or(Some(self.now)).filter(|_| runner.leaving);
        let announce = Announce {
            service: name(SERVICE),
            kinds: KINDS.iter().map(|(kind, ..)| name(kind)).collect(),
            slots: runner.slots,
            connections: runner.connections,
            addr: addr(runner.agent, 200),
            leaving: runner.leaving,
            busy: u32::try_from(runner.runs.len()).unwrap_or(u32::MAX),
            checkpoints: vec![name(CHECKPOINTS)],
        };
        self.admit(index, admission::Message::Announce { ticket: 0, announce });
    }
}
