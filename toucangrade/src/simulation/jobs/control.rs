//! Control instances of the simulated cluster, the replicated log that they share, and its leader.

use bytes::Bytes;

use super::HOST;
use super::world::{Event, World};
use crate::core::{Moment, Span, invariant};
use crate::dispatch::{ClientReply, ClientRequest, Dispatch, Effect, Message, Verb};
use crate::jobs::{Command, JobTable, snapshot};

/// Interval between two ticks of an instance, in microseconds.
const CONTROL_TICK: u64 = 100_000;
/// Number of log entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 150;
/// Time from the loss of the leader to the next election, in microseconds.
const ELECTION_TIMEOUT: std::ops::Range<u64> = 1_200_000..2_500_000;

/// A control instance; its process may be down.
#[derive(Default)]
pub(super) struct Control {
    pub(super) dispatch: Option<Dispatch>,
    /// Number of its process; events for an earlier one are dropped.
    pub(super) epoch: u64,
    started: u64,
    /// Number of log entries that it has applied.
    applied: u64,
    /// Time until which its process is frozen, and until which it gets no new log entries.
    pub(super) frozen_until: u64,
    pub(super) lagging_until: u64,
    /// Time at which its last proposal reaches the log; proposals of an instance keep their order.
    last_append: u64,
    /// Tickets of proposals whose outcome it can't know; they are rejected when its term ends.
    uncertain: Vec<u64>,
    /// Last term in which it became leader.
    term: u64,
    leading: bool,
}

/// An entry of the log: commands, and the instance, epoch and ticket of their proposal.
struct Entry {
    commands: Vec<Command>,
    origin: (usize, u64, u64),
}

/// The replicated log and its leader.
#[derive(Default)]
pub(super) struct Log {
    entries: Vec<Entry>,
    /// Job table after all entries have been applied.
    pub(super) job_table: JobTable,
    /// Number of entries in the last snapshot, and its encoding.
    snapshot: (u64, Bytes),
    pub(super) leader: Option<usize>,
    pub(super) term: u64,
    /// Maximum random delay added to a proposal, in microseconds.
    pub(super) slow: u64,
    /// Probability that a proposal is rejected, out of 1,000.
    pub(super) refusals: u32,
}

impl World {
    fn start_control(&mut self, at: usize) {
        let replays = self.chance(500);
        let control = &mut self.controls[at];
        control.epoch += 1;
        control.started = self.now;
        (control.applied, control.leading, control.last_append) = (0, false, 0);
        control.uncertain.clear();
        let limit = Span::millis(self.truth.longest);
        let lookahead = self.truth.scope.lookahead;
        control.dispatch = Some(Dispatch::new().with_hold_limit(limit).with_lookahead(lookahead));
        let epoch = control.epoch;
        if !replays {
            self.install(at);
        }
        self.schedule(1_000, Event::Commit { control: at, epoch });
        let tick = self.draw(1_000..CONTROL_TICK);
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
        (self.controls[at].dispatch, self.controls[at].frozen_until) = (None, 0);
        self.controls[at].epoch += 1;
        self.tickets.retain(|_, (control, ..)| *control != at);
        if self.log.leader == Some(at) {
            self.depose();
        }
    }

    /// Deposes the leader, which notices later or never, and schedules an election.
    pub(super) fn depose(&mut self) {
        let Some(old) = self.log.leader.take() else { return };
        let (epoch, term) = (self.controls[old].epoch, self.log.term);
        self.note(|| format!("control {old} is deposed"));
        let wait = self.draw(1_000..1_500_000);
        self.schedule(wait, Event::EndTerm { control: old, epoch, term });
        let wait = self.draw(ELECTION_TIMEOUT);
        self.schedule(wait, Event::Elect);
    }

    pub(super) fn elect(&mut self) {
        if self.log.leader.is_some() {
            return;
        }
        let now = self.now;
        let eligible =
            |control: &Control| control.dispatch.is_some() && control.frozen_until <= now;
        let eligible: Vec<usize> =
            (0..self.controls.len()).filter(|at| eligible(&self.controls[*at])).collect();
        if eligible.is_empty() {
            return self.schedule(200_000, Event::Elect);
        }
        let at = eligible[self.draw(0..eligible.len() as u64) as usize];
        self.log.term += 1;
        let term = self.log.term;
        // Pending proposals of the last leader either had reached a majority, and are appended in
        // order, or are lost. Those of earlier terms are lost, as the log of a later leader replaces
        // them.
        for event in self.withdraw_proposals() {
            let Event::Append { control, epoch, ticket, commands } = event else { continue };
            self.mark_uncertain(control, epoch, ticket);
            let last = self.controls[control].term + 1 == term;
            if self.chance(500) && last {
                self.append(control, epoch, ticket, commands);
            }
        }
        self.end_term(at, self.controls[at].epoch, u64::MAX);
        self.controls[at].lagging_until = 0;
        self.catch_up(at);
        self.log.leader = Some(at);
        (self.controls[at].term, self.controls[at].leading) = (term, true);
        self.note(|| format!("control {at} becomes leader"));
        self.record_disturbance();
        self.step_control(at, Message::Lead { leading: true });
    }

    pub(super) fn end_term(&mut self, at: usize, epoch: u64, term: u64) {
        let control = &mut self.controls[at];
        if control.epoch != epoch || !control.leading || control.term > term {
            return;
        }
        let mut uncertain = std::mem::take(&mut control.uncertain);
        // It applies its own entries later as those of another leader.
        let (applied, epoch) = (control.applied as usize, control.epoch);
        let late = self.log.entries.iter().skip(applied);
        let own = late.filter(|entry| (entry.origin.0, entry.origin.1) == (at, epoch));
        uncertain.extend(own.map(|entry| entry.origin.2));
        self.note(|| format!("control {at} steps down"));
        for ticket in uncertain {
            self.step_control(at, Message::Rejected { ticket, lost: true });
        }
        self.controls[at].leading = false;
        self.step_control(at, Message::Lead { leading: false });
    }

    pub(super) fn tick_control(&mut self, at: usize) {
        let wall = self.wall();
        self.step_control(at, Message::Tick { wall });
        let epoch = self.controls[at].epoch;
        self.schedule(CONTROL_TICK, Event::ControlTick { control: at, epoch });
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
            self.apply_control_effect(at, effect);
        }
    }

    fn apply_control_effect(&mut self, at: usize, effect: Effect) {
        let epoch = self.controls[at].epoch;
        match effect {
            Effect::Propose { ticket, commands } => {
                let slow = self.log.slow;
                let wait = self.draw(2_000..15_000) + self.draw(0..slow + 1);
                let reached = (self.now + wait).max(self.controls[at].last_append + 1);
                self.controls[at].last_append = reached;
                let event = Event::Append { control: at, epoch, ticket, commands };
                self.schedule(reached - self.now, event);
            },
            Effect::Orders { ticket, orders } => {
                let Some((_, agent, epoch, seq)) = self.tickets.remove(&ticket) else {
                    invariant!(
                        false,
                        "control {at} answers report {ticket} twice or without a request"
                    );
                    return;
                };
                self.send_orders(agent, epoch, seq, orders);
            },
            // The simulated log takes its own snapshots, which are more frequent.
            Effect::Count { .. } | Effect::Gauge { .. } | Effect::Snapshot { .. } => {},
            Effect::Reply { ticket, reply } => self.handle_reply(ticket, reply),
        }
    }

    /// Appends a proposal to the log, or rejects it.
    pub(super) fn propose(&mut self, at: usize, epoch: u64, ticket: u64, commands: Vec<Command>) {
        let refusals = self.log.refusals;
        if self.log.leader != Some(at) || self.controls[at].epoch != epoch {
            return self.mark_uncertain(at, epoch, ticket);
        }
        if self.chance(refusals) {
            return self.refuse(at, epoch, ticket);
        }
        self.append(at, epoch, ticket, commands);
    }

    fn refuse(&mut self, control: usize, epoch: u64, ticket: u64) {
        let wait = self.draw(100..100_000);
        self.schedule(wait, Event::Reject { control, epoch, ticket });
    }

    /// Marks the outcome of a proposal as unknown, which its instance learns when its term ends.
    fn mark_uncertain(&mut self, at: usize, epoch: u64, ticket: u64) {
        if !self.controls[at].leading {
            self.refuse(at, epoch, ticket);
        } else if self.controls[at].epoch == epoch {
            self.controls[at].uncertain.push(ticket);
        }
    }

    fn append(&mut self, at: usize, epoch: u64, ticket: u64, commands: Vec<Command>) {
        for command in &commands {
            self.apply_command(command);
        }
        self.log.entries.push(Entry { commands, origin: (at, epoch, ticket) });
        let length = self.log.entries.len() as u64;
        if length >= self.log.snapshot.0 + SNAPSHOT_EVERY {
            self.log.snapshot = (length, snapshot::encode(&self.log.job_table));
        }
        for control in 0..self.controls.len() {
            let wait = self.draw(500..3_000) + if control == at { 0 } else { self.draw(0..40_000) };
            let lag = self.controls[control].lagging_until.saturating_sub(self.now);
            let epoch = self.controls[control].epoch;
            self.schedule(wait + lag, Event::Commit { control, epoch });
        }
    }

    /// Installs the last snapshot in an instance if it is ahead of its state.
    fn install(&mut self, at: usize) {
        let (index, state) = self.log.snapshot.clone();
        if index <= self.controls[at].applied {
            return;
        }
        let Some(jobs) = snapshot::decode(&state) else {
            return invariant!(false, "snapshot cannot be decoded");
        };
        self.controls[at].applied = index;
        self.note(|| format!("control {at} installs the snapshot of {index}"));
        self.step_control(at, Message::Install { index, job_table: Box::new(jobs) });
    }

    /// Passes the log entries that an instance lacks to it.
    pub(super) fn catch_up(&mut self, at: usize) {
        if self.log.leader.is_some_and(|leader| leader != at) {
            // Entries of a later term show a former leader that its term has ended.
            self.end_term(at, self.controls[at].epoch, u64::MAX);
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

    /// Sends a client request to the leader, and repeats it until it is answered.
    pub(super) fn request(&mut self, request: ClientRequest) {
        self.last_id += 1;
        self.requests.insert(self.last_id, request);
        self.send_request(self.last_id);
    }

    pub(super) fn send_request(&mut self, ticket: u64) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let request = Box::new(request.clone());
        if let Some(control) = self.log.leader {
            let epoch = self.controls[control].epoch;
            self.schedule(2_000, Event::Request { control, epoch, ticket, request });
        }
        self.schedule(1_000_000, Event::ResendRequest { ticket });
    }

    fn handle_reply(&mut self, ticket: u64, reply: Option<ClientReply>) {
        if reply.is_none()
            || matches!(reply, Some(ClientReply::Refused { .. } | ClientReply::Unknown))
        {
            return;
        }
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.check_evacuation_answer(ticket, &request);
        if let Some(job) = request.job.filter(|_| reply == Some(ClientReply::Accepted)) {
            let stored = self.log.job_table.jobs.contains_key(&job);
            invariant!(stored, "job {job:x} is accepted, but missing from the log");
        }
    }

    /// Whether an instance answers a request now. Orders of operators wait for the confirmation that it
    /// leads and has applied the whole log.
    pub(super) fn may_answer(&self, at: usize, request: &ClientRequest) -> bool {
        let current = self.controls[at].applied as usize == self.log.entries.len();
        let ordered = matches!(request.verb, Verb::Evacuate { .. });
        !ordered || (self.log.leader == Some(at) && current)
    }

    /// Whether there is a leader that is not frozen, and the log takes its proposals.
    pub(super) fn has_sound_control(&self) -> bool {
        let leader = self.log.leader.map(|at| &self.controls[at]);
        let sound = leader.is_some_and(|c| c.dispatch.is_some() && c.frozen_until <= self.now);
        sound && self.log.slow == 0 && self.log.refusals == 0
    }

    /// Checks that the instances that have applied the whole log hold its evacuations, also after a
    /// replay or a snapshot.
    pub(super) fn check_evacuations_applied(&self) {
        let expected = &self.log.job_table.evacuations;
        for (at, control) in self.controls.iter().enumerate() {
            let Some(dispatch) = &control.dispatch else { continue };
            let current = control.applied as usize == self.log.entries.len();
            let held = dispatch.evacuations();
            invariant!(
                !current || held == expected,
                "control {at} holds {held:?}, the log {expected:?}"
            );
        }
    }

    /// Number of waiting jobs of a queue that the leader gives, if there is a leader that has applied
    /// the whole log.
    pub(super) fn waiting_jobs(&mut self, queue: &str) -> Option<u64> {
        let at = self.log.leader?;
        let now = self.now;
        let control = &mut self.controls[at];
        let current = control.applied as usize == self.log.entries.len();
        if !control.leading || control.frozen_until > now || !current {
            return None;
        }
        let moment = Moment::micros(now - control.started + 1_000_000);
        let (host, path) = (HOST.into(), format!("/{queue}/").into());
        let request = ClientRequest { host, path, job: None, verb: Verb::Show };
        let message = Message::Request { ticket: 0, request: Box::new(request) };
        let mut waiting = None;
        for effect in control.dispatch.as_mut()?.step(moment, message) {
            match effect {
                Effect::Reply { ticket: 0, reply: Some(ClientReply::Pending(jobs)) } => {
                    waiting = Some(jobs);
                },
                effect => self.apply_control_effect(at, effect),
            }
        }
        waiting
    }

    /// Checks that the leader's reservations belong to jobs that have not ended, and keep at most a
    /// tenth of the capacity that it knows idle.
    pub(super) fn check_reservations(&self) {
        let leader = self.log.leader.and_then(|at| self.controls[at].dispatch.as_ref());
        let Some(dispatch) = leader else { return };
        for job in dispatch.reserved_jobs() {
            let entry = self.log.job_table.jobs.get(&job);
            invariant!(entry.is_some(), "room is reserved for job {job:x}, which is not known");
        }
        let (idle, capacity) = dispatch.reserved_idle();
        invariant!(
            idle * 10 <= capacity,
            "{idle} of {capacity} millicores are idle for reservations"
        );
    }

    /// State of the leader as JSON, for the trace.
    pub(super) fn leader_state(&self) -> String {
        let leader = self.log.leader.and_then(|at| self.controls[at].dispatch.as_ref());
        leader.and_then(|dispatch| serde_json::to_string(dispatch).ok()).unwrap_or_default()
    }
}
