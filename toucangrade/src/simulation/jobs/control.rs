//! Instances of control over one agreed log.

use bytes::Bytes;

use super::world::{Event, World};
use crate::core::{Moment, invariant};
use crate::dispatch::{ClientReply, ClientRequest, Dispatch, Effect, Message};
use crate::jobs::{Command, JobTable};
use crate::peer;

/// Time between two ticks of an instance, in microseconds.
const TICK: u64 = 100_000;
/// Commands between two snapshots that instances restart from.
const SNAPSHOT_EVERY: u64 = 150;
/// Time after which an instance without its leader elects another, in microseconds.
const ELECTION: std::ops::Range<u64> = 1_200_000..2_500_000;

/// A control instance; its process may be down.
#[derive(Default)]
pub(super) struct Control {
    dispatch: Option<Dispatch>,
    /// Counts processes, so that events for an earlier one are dropped.
    pub(super) epoch: u64,
    started: u64,
    /// Entries of the log that it has applied.
    applied: u64,
    /// Until when its process stands still, and until when the log does not reach it.
    pub(super) frozen: u64,
    pub(super) lagging: u64,
    /// When its newest proposal reaches the log; proposals of one instance keep their order.
    proposed: u64,
    /// Proposals that it will not see agreed, of which it learns with the end of its term.
    doomed: Vec<u64>,
    /// Term in which it was last told to lead.
    term: u64,
    leading: bool,
}

/// Commands that the log holds, and which proposal they were.
struct Entry {
    commands: Vec<Command>,
    origin: (usize, u64, u64),
}

/// The agreed log and its leader.
#[derive(Default)]
pub(super) struct Log {
    entries: Vec<Entry>,
    /// What the log amounts to.
    pub(super) job_table: JobTable,
    /// The newest snapshot and the number of entries in it.
    snapshot: (u64, Bytes),
    pub(super) leader: Option<usize>,
    pub(super) term: u64,
    /// Additional time until a proposal is agreed, in microseconds.
    pub(super) slow: u64,
    /// Proposals out of 1,000 that are refused.
    pub(super) refusals: u32,
}

impl World {
    fn start_control(&mut self, at: usize) {
        let replays = self.chance(500);
        let control = &mut self.controls[at];
        control.epoch += 1;
        control.started = self.now;
        (control.applied, control.leading, control.proposed) = (0, false, 0);
        control.doomed.clear();
        control.dispatch = Some(Dispatch::new());
        let epoch = control.epoch;
        if !replays {
            self.install(at);
        }
        self.schedule(1_000, Event::Commit { control: at, epoch });
        let tick = self.draw(1_000..TICK);
        self.schedule(tick, Event::ControlTick { control: at, epoch });
    }

    /// Starts the process of an instance if it is down.
    pub(super) fn revive_control(&mut self, at: usize) {
        if self.controls[at].dispatch.is_none() {
            self.start_control(at);
        }
    }

    pub(super) fn kill_control(&mut self, at: usize) {
        self.note(|| format!("control {at} is killed"));
        (self.controls[at].dispatch, self.controls[at].frozen) = (None, 0);
        self.controls[at].epoch += 1;
        self.tickets.retain(|_, (control, ..)| *control != at);
        if self.log.leader == Some(at) {
            self.depose();
        }
    }

    /// Ends the term of the leader, who learns of it later or never.
    pub(super) fn depose(&mut self) {
        let Some(old) = self.log.leader.take() else { return };
        let (epoch, term) = (self.controls[old].epoch, self.log.term);
        self.note(|| format!("control {old} leads no more"));
        let wait = self.draw(1_000..1_500_000);
        self.schedule(wait, Event::Deposed { control: old, epoch, term });
        let wait = self.draw(ELECTION);
        self.schedule(wait, Event::Elect);
    }

    pub(super) fn elect(&mut self) {
        if self.log.leader.is_some() {
            return;
        }
        let now = self.now;
        let able = |control: &Control| control.dispatch.is_some() && control.frozen <= now;
        let able: Vec<usize> =
            (0..self.controls.len()).filter(|at| able(&self.controls[*at])).collect();
        if able.is_empty() {
            return self.schedule(200_000, Event::Elect);
        }
        let at = able[self.draw(0..able.len() as u64) as usize];
        self.log.term += 1;
        let term = self.log.term;
        // Earlier leaders' proposals that reached a majority are part of the log, in their order.
        for event in self.proposals() {
            let Event::Append { control, epoch, ticket, commands } = event else { continue };
            self.doom(control, epoch, ticket);
            if self.chance(500) {
                self.append(control, epoch, ticket, commands);
            }
        }
        self.deposed(at, self.controls[at].epoch, u64::MAX);
        self.controls[at].lagging = 0;
        self.catch_up(at);
        self.log.leader = Some(at);
        (self.controls[at].term, self.controls[at].leading) = (term, true);
        self.note(|| format!("control {at} leads"));
        self.harm();
        self.step_control(at, Message::Lead { leading: true });
    }

    pub(super) fn deposed(&mut self, at: usize, epoch: u64, term: u64) {
        let control = &mut self.controls[at];
        if control.epoch != epoch || !control.leading || control.term > term {
            return;
        }
        let doomed = std::mem::take(&mut control.doomed);
        self.note(|| format!("control {at} learns that it leads no more"));
        for ticket in doomed {
            self.step_control(at, Message::Rejected { ticket, lost: true });
        }
        self.controls[at].leading = false;
        self.step_control(at, Message::Lead { leading: false });
    }

    pub(super) fn tick_control(&mut self, at: usize) {
        let wall = self.wall();
        self.step_control(at, Message::Tick { wall });
        let epoch = self.controls[at].epoch;
        self.schedule(TICK, Event::ControlTick { control: at, epoch });
    }

    pub(super) fn wall(&self) -> u64 {
        1_700_000_000_000 + self.now / 1_000
    }

    pub(super) fn step_control(&mut self, at: usize, message: Message) {
        let control = &mut self.controls[at];
        let now = Moment::micros(self.now - control.started + 1_000_000);
        let Some(dispatch) = &mut control.dispatch else { return };
        self.steps += 1;
        for effect in dispatch.step(now, message) {
            self.perform_control(at, effect);
        }
    }

    fn perform_control(&mut self, at: usize, effect: Effect) {
        let epoch = self.controls[at].epoch;
        match effect {
            Effect::Propose { ticket, commands } => {
                let slow = self.log.slow;
                let wait = self.draw(2_000..15_000) + self.draw(0..slow + 1);
                let reached = (self.now + wait).max(self.controls[at].proposed + 1);
                self.controls[at].proposed = reached;
                let event = Event::Append { control: at, epoch, ticket, commands };
                self.schedule(reached - self.now, event);
            },
            Effect::Orders { ticket, orders } => {
                let Some((_, agent, epoch, seq)) = self.tickets.remove(&ticket) else {
                    invariant!(false, "control {at} answers report {ticket} twice");
                    return;
                };
                self.send_orders(agent, epoch, seq, orders);
            },
            // The snapshots of this run are taken more often.
            Effect::Gauge { .. } | Effect::Snapshot { .. } => {},
            Effect::Reply { ticket, reply } => self.told(ticket, reply),
        }
    }

    /// A proposal reaches the log.
    pub(super) fn proposed(&mut self, at: usize, epoch: u64, ticket: u64, commands: Vec<Command>) {
        let refusals = self.log.refusals;
        if self.log.leader != Some(at) || self.controls[at].epoch != epoch {
            return self.doom(at, epoch, ticket);
        }
        if self.chance(refusals) {
            return self.refuse(at, epoch, ticket);
        }
        self.append(at, epoch, ticket, commands);
    }

    fn refuse(&mut self, control: usize, epoch: u64, ticket: u64) {
        let wait = self.draw(100..100_000);
        self.schedule(wait, Event::Refused { control, epoch, ticket });
    }

    /// Has an instance learn with the end of its term that the outcome of a proposal is not known.
    fn doom(&mut self, at: usize, epoch: u64, ticket: u64) {
        if !self.controls[at].leading {
            self.refuse(at, epoch, ticket);
        } else if self.controls[at].epoch == epoch {
            self.controls[at].doomed.push(ticket);
        }
    }

    fn append(&mut self, at: usize, epoch: u64, ticket: u64, commands: Vec<Command>) {
        for command in &commands {
            self.agree(command);
        }
        self.log.entries.push(Entry { commands, origin: (at, epoch, ticket) });
        let length = self.log.entries.len() as u64;
        if length >= self.log.snapshot.0 + SNAPSHOT_EVERY {
            self.log.snapshot = (length, peer::encode(&self.log.job_table));
        }
        for control in 0..self.controls.len() {
            let wait = self.draw(500..3_000) + if control == at { 0 } else { self.draw(0..40_000) };
            let lag = self.controls[control].lagging.saturating_sub(self.now);
            let epoch = self.controls[control].epoch;
            self.schedule(wait + lag, Event::Commit { control, epoch });
        }
    }

    /// Replaces the state of an instance by the newest snapshot if it is newer.
    fn install(&mut self, at: usize) {
        let (index, state) = self.log.snapshot.clone();
        if index <= self.controls[at].applied {
            return;
        }
        let jobs: Option<JobTable> = peer::decode(&state);
        let Some(jobs) = jobs else { return invariant!(false, "a snapshot can't be read") };
        self.controls[at].applied = index;
        self.note(|| format!("control {at} installs the snapshot of {index}"));
        self.step_control(at, Message::Install { index, job_table: Box::new(jobs) });
    }

    /// Hands the entries that an instance lacks to it.
    pub(super) fn catch_up(&mut self, at: usize) {
        if self.log.leader.is_some_and(|leader| leader != at) {
            // Entries of a later term show an earlier leader that its own is over.
            self.deposed(at, self.controls[at].epoch, u64::MAX);
        }
        let behind = self.log.entries.len() as u64 - self.controls[at].applied;
        if behind > 30 && self.controls[at].applied > 0 {
            self.install(at);
        }
        while let Some(entry) = self.log.entries.get(self.controls[at].applied as usize) {
            let control = &mut self.controls[at];
            control.applied += 1;
            let (from, epoch, ticket) = entry.origin;
            let own = (from, epoch) == (at, control.epoch) && control.leading;
            let (index, commands) = (control.applied, entry.commands.clone());
            let message =
                Message::Commit { index, ticket: own.then_some(ticket), commands, bytes: 100 };
            self.step_control(at, message);
        }
    }

    /// Sends a caller's request to the leader until it is answered.
    pub(super) fn ask(&mut self, request: ClientRequest) {
        self.next += 1;
        self.requests.insert(self.next, request);
        self.send_ask(self.next);
    }

    pub(super) fn send_ask(&mut self, ticket: u64) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let request = Box::new(request.clone());
        if let Some(control) = self.log.leader {
            let epoch = self.controls[control].epoch;
            self.schedule(2_000, Event::Asked { control, epoch, ticket, request });
        }
        self.schedule(1_000_000, Event::Again { ticket });
    }

    fn told(&mut self, ticket: u64, reply: Option<ClientReply>) {
        if reply.is_none()
            || matches!(reply, Some(ClientReply::Refused { .. } | ClientReply::Unknown))
        {
            return;
        }
        let Some(request) = self.requests.remove(&ticket) else { return };
        if let Some(job) = request.job.filter(|_| reply == Some(ClientReply::Accepted)) {
            let stored = self.log.job_table.jobs.contains_key(&job);
            invariant!(stored, "job {job:x} is acknowledged, but the log does not hold it");
        }
    }

    /// What the leader knows, for a trace.
    pub(super) fn picture(&self) -> String {
        let leader = self.log.leader.and_then(|at| self.controls[at].dispatch.as_ref());
        leader.and_then(|dispatch| serde_json::to_string(dispatch).ok()).unwrap_or_default()
    }
}
