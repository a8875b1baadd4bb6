//! Agents of the simulated cluster, with the real admission and membership duties, and their
//! simulated runners.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use rand::Rng;

use super::link::{Clock, Node};
use super::truth::Truth;
use super::world::{Continuation, Event, KINDS, SERVICE, World, name};
use crate::admission::{self, Admission, Announce, EvictReply, RunnerAnswer};
use crate::core::{Answer, Checkpoint, Key, Span, invariant};
use crate::http::CallError;
use crate::membership::agent::{self as membership, Identity, Membership};
use crate::peer::{Reply, Request};

/// Interval between two announcements of a runner, in microseconds.
const ANNOUNCE_INTERVAL: u64 = 1_000_000;
/// Delay of a message from a runner to its agent, in microseconds.
const LOCAL_DELAY: u64 = 200;
/// Time until a runner answers an eviction, in microseconds; faults may occur meanwhile.
const EVICT_DELAY: u64 = 20_000;
/// Kind whose executions can be checkpointed.
const CHECKPOINT_KIND: &str = "route-plan";
/// Timeout of a request to control, in local time.
const CONTROL_TIMEOUT: Span = Span::millis(1_500);

/// State of an agent process.
pub(super) struct Agent {
    pub(super) incarnation: u64,
    pub(super) clock: Clock,
    pub(super) admission: Admission,
    membership: Membership,
    /// Calls that wait for a report, by ticket.
    calls: BTreeMap<u64, u64>,
    /// Simulated time at which its drain began.
    pub(super) leaving_since: Option<u64>,
}

/// A running execution at a runner.
#[derive(Clone, Debug)]
pub(super) struct Run {
    subject: usize,
    key: Key,
    fence: u64,
    /// Incarnation of the agent that is connected to the execution; none once disconnected.
    agent: Option<u64>,
    /// Whether its work ends before its lease expires.
    completes: bool,
    /// Start time in microseconds.
    from: u64,
    /// Progress in the checkpoint that it resumed from, in microseconds.
    prior_work: u64,
}

/// A simulated runner.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    agent: usize,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Slots and connections in its last announcement.
    announced: (u32, u32),
    /// Time of its first announcement that it is leaving.
    leaving_since: Option<u64>,
    pub(crate) up: bool,
    /// Whether it ignores requests to stop or evict an execution.
    pub(crate) ignores_stop: bool,
    pub(crate) leaving: bool,
    pub(super) runs: BTreeMap<u64, Run>,
    /// Checkpoints of evicted executions, by key and fencing token.
    checkpoints: BTreeMap<(Key, u64), Checkpoint>,
}

impl Runner {
    pub(super) fn new(agent: usize, slots: u32) -> Self {
        let connections = slots * 4;
        let announced = (slots, connections);
        let (up, ignores_stop, leaving) = (true, false, false);
        let (runs, checkpoints) = (BTreeMap::new(), BTreeMap::new());
        Self {
            agent,
            slots,
            connections,
            announced,
            leaving_since: None,
            up,
            ignores_stop,
            leaving,
            runs,
            checkpoints,
        }
    }
}

/// Address of an agent or of its runner, from a base port.
fn addr(agent: usize, port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port + u16::try_from(agent).unwrap_or_default()).into()
}

/// Answer of a runner for an execution that was stopped or whose lease expired.
fn stopped_outcome() -> RunnerAnswer {
    let answer = Answer { status: 409, media: String::new(), body: "stopped".into() };
    RunnerAnswer { answer, declined: false }
}

/// Returns the agent with a peer address.
pub(super) fn agent_at(addr: SocketAddr) -> Node {
    Node::Agent(usize::from(addr.port() - 100))
}

impl World {
    pub(super) fn start_agent(&mut self, index: usize) {
        let (incarnation, clock) = (self.serial(), self.clock());
        let identity = Identity {
            name: name(&format!("agent-{}", index + 1)),
            incarnation,
            addr: addr(index, 100),
            centre: name("olinda"),
            rack: name("rack-1"),
        };
        let admission = Admission::new(incarnation);
        let membership = Membership::new(identity);
        let (calls, leaving_since) = (BTreeMap::new(), None);
        self.agents[index] =
            Some(Agent { incarnation, clock, admission, membership, calls, leaving_since });
        self.announce_now(index);
    }

    /// Begins the drain of an agent.
    pub(super) fn drain_agent(&mut self, index: usize) {
        let Some(agent) = &mut self.agents[index] else { return };
        agent.leaving_since = Some(self.now);
        self.admission_step(index, admission::Message::Drain);
        self.membership_step(index, membership::Message::Drain);
    }

    pub(super) fn agent_tick(&mut self, index: usize) {
        self.membership_step(index, membership::Message::Tick);
        self.admission_step(index, admission::Message::Tick);
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
        self.admission_step(index, message);
    }

    pub(super) fn agent_result(
        &mut self,
        index: usize,
        continuation: Continuation,
        result: Result<Reply, CallError>,
    ) {
        let Continuation::Beat { sent } = continuation else { return };
        let beaten = match result {
            Ok(Reply::Beaten(beaten)) => Some(beaten),
            _ => None,
        };
        self.membership_step(index, membership::Message::Beaten { sent, beaten });
    }

    fn membership_step(&mut self, index: usize, message: membership::Message) {
        let Some(agent) = &mut self.agents[index] else { return };
        let (now, incarnation) = (agent.clock.read(self.now), agent.incarnation);
        self.steps += 1;
        for effect in agent.membership.step(now, message) {
            match effect {
                membership::Effect::Beat(beat) => {
                    self.truth.record_revision(Node::Agent(index), incarnation, beat.applied);
                    let (continuation, request) =
                        (Continuation::Beat { sent: now }, Request::Beat(beat));
                    self.send(
                        Node::Agent(index),
                        Node::Control,
                        request,
                        CONTROL_TIMEOUT,
                        continuation,
                    );
                },
                membership::Effect::Confirmed { until } => {
                    self.admission_step(index, admission::Message::LeaseExtended { until });
                },
            }
        }
    }

    /// Passes a message to an agent's admission duty and applies the effects.
    pub(super) fn admission_step(&mut self, index: usize, message: admission::Message) {
        let Some(agent) = &mut self.agents[index] else { return };
        let now = agent.clock.read(self.now);
        self.steps += 1;
        for effect in agent.admission.step(now, message) {
            match effect {
                admission::Effect::Announced { .. } => {},
                admission::Effect::Evict { key, fence, .. } => self.evict(index, key, fence),
                admission::Effect::Offers(offers) => {
                    self.membership_step(index, membership::Message::Offers(offers));
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
                    let subject = Truth::parse_subject(&body);
                    self.run(index, subject, (key, fence), lease, checkpoint);
                },
                admission::Effect::Stop { key, fence, .. } => self.stop(index, key, fence),
            }
        }
    }

    /// Starts an execution at a runner, or reports a failure if the runner is down or declines it.
    fn run(
        &mut self,
        index: usize,
        subject: usize,
        (key, fence): (Key, u64),
        lease: Span,
        checkpoint: Option<Checkpoint>,
    ) {
        let Some(Agent { incarnation, clock, leaving_since, .. }) = &self.agents[index] else {
            return;
        };
        let (incarnation, clock, leaving_since) =
            (*incarnation, *clock, leaving_since.or(self.runners[index].leaving_since));
        let decline = self.chance(self.runner_faults.decline);
        if !self.runners[index].up || decline {
            let answer = Answer { status: 503, media: String::new(), body: "busy".into() };
            let declined = Ok(RunnerAnswer { answer, declined: true });
            let result = if decline { declined } else { Err(CallError::Connect) };
            self.ended(index, incarnation, key, fence, result);
            return;
        }
        self.truth.note(self.now, || format!("runner {index} starts {key} under fence {fence}"));
        self.truth.permit(subject, &key, fence, checkpoint.as_ref());
        self.truth.record_start(self.now, subject, index, leaving_since);
        let prior_work =
            checkpoint.map_or(0, |checkpoint| self.truth.record_resume(subject, &checkpoint));
        let (slow, disconnects) =
            (self.chance(self.runner_faults.slow), self.chance(self.runner_faults.disconnects));
        let work = if slow { u64::MAX } else { self.truth.subjects[subject].work - prior_work };
        let lease = clock.to_simulated(lease);
        let (run, duration) = (self.serial(), work.min(lease));
        let runner = &mut self.runners[index];
        let agent = Some(incarnation);
        let (completes, from) = (work < lease, self.now);
        runner.runs.insert(run, Run { subject, key, fence, agent, completes, from, prior_work });
        // The runner enforces no limits itself, so the count shows what the agent admitted.
        let (slots, connections) = runner.announced;
        let count = u32::try_from(runner.runs.len()).unwrap_or(u32::MAX);
        invariant!(count <= slots, "runner {index} has {count} executions in {slots} slots");
        invariant!(count <= connections, "runner {index} has {count} of {connections} connections");
        self.schedule(duration, Event::End { runner: index, run });
        if disconnects {
            let at = self.rng.random_range(0..duration.max(1));
            self.schedule(at, Event::Disconnect { runner: index, run });
        }
    }

    /// Draws whether something with this probability per 1,000 happens.
    pub(super) fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_ratio(permille, 1_000)
    }

    /// Reports the end of an execution to its agent.
    fn ended(
        &mut self,
        agent: usize,
        incarnation: u64,
        key: Key,
        fence: u64,
        result: Result<RunnerAnswer, CallError>,
    ) {
        let message = Box::new(admission::Message::Ended { key, fence, result });
        self.schedule(LOCAL_DELAY, Event::ToAgent { agent, incarnation, message });
    }

    /// Breaks the connection between the agent and an execution, which keeps running.
    pub(super) fn disconnect(&mut self, runner: usize, run: u64) {
        let Some(Run { key, fence, agent, .. }) = self.runners[runner].runs.get_mut(&run) else {
            return;
        };
        let (key, fence) = (key.clone(), *fence);
        if let Some(incarnation) = agent.take() {
            self.ended(runner, incarnation, key, fence, Err(CallError::Lost));
        }
    }

    #[cfg(test)]
    /// Breaks the connections of all executions at a runner.
    pub(crate) fn disconnect_all(&mut self, runner: usize) {
        let runs: Vec<u64> = self.runners[runner].runs.keys().copied().collect();
        for run in runs {
            self.disconnect(runner, run);
        }
    }

    /// Ends an execution whose work is done or whose lease expired.
    pub(super) fn end_run(&mut self, runner: usize, run: u64) {
        let Some(Run { subject, key, fence, agent, completes, .. }) =
            self.runners[runner].runs.remove(&run)
        else {
            return;
        };
        self.truth.note(self.now, || format!("runner {runner} ends {key}"));
        self.truth.record_end(self.now, subject, completes);
        let body = format!("done {}", Truth::body(subject)).into();
        let answer = Answer { status: 200, media: String::new(), body };
        let completed = Ok(RunnerAnswer { answer, declined: false });
        let result = if completes { completed } else { Ok(stopped_outcome()) };
        if let Some(incarnation) = agent {
            self.ended(runner, incarnation, key, fence, result);
        }
    }

    /// Handles an agent's request to stop an execution.
    fn stop(&mut self, index: usize, key: Key, fence: u64) {
        let incarnation = self.incarnation(Node::Agent(index));
        let runner = &mut self.runners[index];
        let run = runner.runs.iter().find(|(_, run)| run.key == key && run.fence == fence);
        let confirmed = !(run.is_some() && runner.ignores_stop);
        if let (true, Some(run)) = (confirmed, run.map(|(&run, _)| run))
            && let Some(run) = runner.runs.remove(&run)
        {
            self.truth.note(self.now, || format!("runner {index} stops {key}"));
            self.truth.record_end(self.now, run.subject, false);
            if let Some(incarnation) = run.agent {
                self.ended(index, incarnation, run.key, run.fence, Ok(stopped_outcome()));
            }
        }
        let message = Box::new(admission::Message::Stopped { key, fence, confirmed });
        self.schedule(LOCAL_DELAY, Event::ToAgent { agent: index, incarnation, message });
    }

    /// Handles an agent's request to evict an execution, which stops it with a checkpoint.
    fn evict(&mut self, index: usize, key: Key, fence: u64) {
        let incarnation = self.incarnation(Node::Agent(index));
        // As with executions, answers get lost, and some runners stop without the checkpoint that
        // they announced.
        let (answer_lost, no_checkpoint) =
            (self.chance(self.runner_faults.disconnects), self.chance(self.runner_faults.decline));
        let name = Checkpoint::new(&format!("checkpoint-{}", self.serial()));
        let name = name.unwrap_or_else(|error| unreachable!("{error}"));
        let (now, runner) = (self.now, &mut self.runners[index]);
        let run = runner.runs.iter().find(|(_, run)| run.key == key && run.fence == fence);
        let run = run.map(|(&run, _)| run);
        let mut halt = match run {
            Some(_) if runner.ignores_stop => EvictReply::Refused,
            _ => EvictReply::Stopped,
        };
        if halt == EvictReply::Stopped
            && let Some(run) = run.and_then(|run| runner.runs.remove(&run))
        {
            let progress = run.prior_work + (now - run.from);
            if !no_checkpoint {
                runner.checkpoints.insert((key.clone(), fence), name.clone());
                self.truth.record_eviction(name, run.subject, progress);
            }
            self.truth.note(now, || format!("runner {index} evicts {key} after {progress} us"));
            self.truth.record_end(now, run.subject, false);
            if let Some(incarnation) = run.agent {
                self.ended(index, incarnation, run.key, run.fence, Ok(stopped_outcome()));
            }
        }
        let runner = &self.runners[index];
        if halt == EvictReply::Stopped
            && runner.up
            && let Some(kept) = runner.checkpoints.get(&(key.clone(), fence))
        {
            halt = if answer_lost {
                EvictReply::Unknown
            } else {
                EvictReply::Checkpointed(kept.clone())
            };
        }
        let message = Box::new(admission::Message::EvictReplied { key, fence, halt });
        self.schedule(EVICT_DELAY, Event::ToAgent { agent: index, incarnation, message });
    }

    /// Kills a runner and all of its executions.
    pub(crate) fn kill_runner(&mut self, index: usize) {
        self.truth.note(self.now, || format!("runner {index} is killed"));
        let runner = &mut self.runners[index];
        runner.up = false;
        for run in std::mem::take(&mut runner.runs).into_values() {
            self.truth.record_end(self.now, run.subject, false);
            if let Some(incarnation) = run.agent {
                self.ended(index, incarnation, run.key, run.fence, Err(CallError::Lost));
            }
        }
    }

    pub(super) fn announce(&mut self, runner: usize) {
        self.announce_now(runner);
        self.schedule(ANNOUNCE_INTERVAL, Event::Announce { runner });
    }

    /// Announces a runner to its agent.
    pub(super) fn announce_now(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        if !runner.up || self.agents[index].is_none() {
            return;
        }
        runner.announced = (runner.slots, runner.connections);
        runner.leaving_since = runner.leaving_since.or(Some(self.now)).filter(|_| runner.leaving);
        let announce = Announce {
            service: name(SERVICE),
            kinds: KINDS.iter().map(|(kind, ..)| name(kind)).collect(),
            slots: runner.slots,
            connections: runner.connections,
            addr: addr(runner.agent, 200),
            leaving: runner.leaving,
            busy: u32::try_from(runner.runs.len()).unwrap_or(u32::MAX),
            checkpoints: vec![name(CHECKPOINT_KIND)],
        };
        self.admission_step(index, admission::Message::Announce { ticket: 0, announce });
    }
}
