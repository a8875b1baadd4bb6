//! Job scheduling on the control leader: places the tasks of multi-step jobs on runners, moves or
//! stops their runs, and answers callers and agents. Decisions are proposed to the replicated log
//! and take effect once it has committed them.

mod ahead;
mod answers;
mod backlog;
mod evacuation;
// The command that shows it to operators is not built yet; the tests use all of it.
#[allow(dead_code)]
mod explain;
mod fleet;
mod gangs;
mod health;
mod holders;
mod leading;
mod log;
mod message;
mod place;
mod plan;
mod reports;
mod rescue;
mod settings;
mod slow_start;
mod views;
mod waits;

#[cfg(test)]
mod tests;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Serialize, Serializer};

use self::evacuation::EvacuationState;
use self::fleet::{Fleet, Holder, Run};
use self::gangs::GangSave;
use self::holders::LateStarts;
pub use self::message::{
    ClientReply, ClientRequest, Denial, Doubts, EndedRun, JobState, Orders, Report, RunProfile,
    RunStatus, Runner, Start, Verb,
};
pub(crate) use self::message::{Effect, Message};
pub(crate) use self::settings::CALL_LIMIT;
use self::settings::{
    BATCH_BYTES, BATCH_LIMIT, HOLD_LIMIT, LEASE_DURATION, MOVE_RESERVATION, PROPOSALS_LIMIT,
    SNAPSHOT_BYTES, SNAPSHOT_COMMANDS, STEP_BYTES,
};
use self::slow_start::SlowStart;
use self::views::Views;
use self::waits::Waits;
use crate::core::{Moment, Name, Span};
use crate::jobs::{
    Applied, Command, End, Incarnation, JobEntry, JobTable, Phase, RunKey, Step, TaskKey,
};
use crate::lookahead::Lookahead;
use crate::overload::{Overload, TaskTime, Worked};
use crate::pressure::Learner;

/// Interval between two [`Message::Tick`]s.
pub(crate) const TICK: Span = Span::millis(100);
/// First ticket number of proposals; the tickets of log reads are below it.
pub(crate) const PROPOSAL_TICKET_BASE: u64 = 1 << 63;

/// A proposal that the log has neither committed nor refused.
#[derive(Debug, Serialize)]
struct Proposal {
    #[serde(skip)]
    commands: Vec<Command>,
    /// Requests waiting for the outcome, as (position of the command, ticket), in ascending order.
    waiters: Vec<(usize, u64)>,
}

/// State of the dispatch duty.
#[derive(Debug, Serialize)]
pub(crate) struct Dispatch {
    #[serde(skip)]
    job_table: JobTable,
    index: u64,
    leading: bool,
    /// Wall-clock time of the last tick, in ms since 1970.
    wall: u64,
    /// Longest lease that runners accept.
    hold_limit: Span,
    fleet: Fleet,
    learner: Learner,
    /// Jobs that have not ended.
    #[serde(skip)]
    active: BTreeSet<u64>,
    /// Commands for the next proposal.
    #[serde(skip)]
    batch: Vec<Command>,
    /// Positions in `batch` of commands that have to be in the same proposal as the one before.
    #[serde(skip)]
    joined: BTreeSet<usize>,
    /// Requests waiting for commands of `batch`, as (position of the command, ticket).
    waiters: Vec<(usize, u64)>,
    /// Proposals in flight, by ticket.
    #[serde(rename = "flights")]
    proposals: BTreeMap<u64, Proposal>,
    next_ticket: u64,
    /// Proposed assignments, with the incarnation of the runner.
    #[serde(skip)]
    assigning: BTreeMap<RunKey, Incarnation>,
    /// Runs that are being moved, with the runner on which room is reserved for them and the start
    /// of that reservation.
    #[serde(skip)]
    moving: BTreeMap<RunKey, (Incarnation, Moment)>,
    /// Runs for which a [`Command::Close`] is proposed.
    #[serde(skip)]
    closing: BTreeSet<RunKey>,
    /// Jobs that are shown to have begun, for which [`Command::Begin`] is to be proposed.
    #[serde(skip)]
    begun: BTreeSet<u64>,
    /// Jobs for which a [`Command::Begin`] is proposed.
    #[serde(skip)]
    beginning: BTreeSet<u64>,
    /// Jobs for which a [`Command::Doubt`] is proposed.
    #[serde(skip)]
    doubting: BTreeSet<u64>,
    /// Proposed repetitions, as (job, round); cancellations have the round `u32::MAX`.
    #[serde(skip)]
    opening: BTreeSet<(u64, u32)>,
    /// When this instance learned that a job had ended or was withdrawn.
    #[serde(skip)]
    ended: BTreeMap<u64, Moment>,
    /// Moving average of the time from the order of a task to its end, by the host and prefix
    /// of the queue. With `overload` enabled, that of filling tasks is their time at full speed.
    #[serde(serialize_with = "serialize_durations")]
    durations: BTreeMap<(Arc<str>, Arc<str>), TaskTime>,
    /// Agents on whose runners each task has failed, was refused or got stuck.
    #[serde(skip)]
    avoided: BTreeMap<TaskKey, BTreeSet<Name>>,
    /// Newest checkpoint of each gang, by its first member.
    #[serde(skip)]
    gang_saves: BTreeMap<TaskKey, GangSave>,
    /// Whether placement has to run, since a change may let a waiting task start.
    dirty: bool,
    /// When this instance became leader.
    #[serde(rename = "led")]
    leading_since: Moment,
    /// When runs were last checked for being stuck or on a draining runner.
    #[serde(rename = "rescued")]
    last_rescue: Moment,
    late_starts: LateStarts,
    waits: Waits,
    evacuation: EvacuationState,
    slow_start: SlowStart,
    #[serde(skip)]
    overload: Overload,
    #[serde(skip)]
    lookahead: Lookahead,
    #[serde(skip)]
    views: Views,
    /// Number and bytes of the commands applied since the last snapshot.
    growth: (usize, usize),
    #[serde(skip)]
    out: Vec<Effect>,
}

impl Dispatch {
    pub(crate) fn new() -> Self {
        Self {
            job_table: JobTable::default(),
            index: 0,
            leading: false,
            wall: 0,
            hold_limit: HOLD_LIMIT,
            fleet: Fleet::default(),
            learner: Learner::default(),
            active: BTreeSet::new(),
            batch: Vec::new(),
            joined: BTreeSet::new(),
            waiters: Vec::new(),
            proposals: BTreeMap::new(),
            next_ticket: PROPOSAL_TICKET_BASE,
            assigning: BTreeMap::new(),
            moving: BTreeMap::new(),
            closing: BTreeSet::new(),
            begun: BTreeSet::new(),
            beginning: BTreeSet::new(),
            doubting: BTreeSet::new(),
            opening: BTreeSet::new(),
            ended: BTreeMap::new(),
            durations: BTreeMap::new(),
            avoided: BTreeMap::new(),
            gang_saves: BTreeMap::new(),
            dirty: false,
            leading_since: Moment::START,
            last_rescue: Moment::START,
            late_starts: LateStarts::default(),
            waits: Waits::default(),
            evacuation: EvacuationState::default(),
            slow_start: SlowStart::default(),
            overload: Overload::default(),
            lookahead: Lookahead::default(),
            views: Views::default(),
            growth: (0, 0),
            out: Vec::new(),
        }
    }

    /// Sets the longest lease that runners accept.
    #[must_use]
    pub(crate) fn with_hold_limit(mut self, limit: Span) -> Self {
        self.hold_limit = limit.max(LEASE_DURATION);
        self
    }

    /// Sets whether placement looks at what waits and at what will end soon.
    #[must_use]
    pub(crate) fn with_lookahead(mut self, on: bool) -> Self {
        self.lookahead = Lookahead::new(on);
        self
    }

    #[cfg(test)]
    pub(crate) fn with_lookahead_state(mut self, lookahead: Lookahead) -> Self {
        self.lookahead = lookahead;
        self
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Request { ticket, request } => self.ask(now, ticket, *request),
            Message::Commit { index, ticket, commands, bytes } => {
                self.commit(now, index, ticket, &commands, bytes);
            },
            Message::Install { index, job_table } => self.install(now, index, *job_table),
            Message::Lead { leading } => self.set_leading(now, leading),
            Message::Rejected { ticket, lost } => self.drop_proposal(ticket, lost),
            Message::Report { ticket, report } => self.report(now, ticket, *report),
            Message::Tick { wall } => {
                self.wall = wall;
                self.tick(now);
            },
        }
        if self.leading {
            if self.dirty && self.proposals.len() < PROPOSALS_LIMIT {
                self.dirty = false;
                self.plan(now);
            }
            // Confirmed starts alone leave room for another proposal.
            if !self.batch.is_empty() || self.proposals.is_empty() {
                self.propose_begun();
            }
            self.flush();
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Moment) {
        if !self.leading {
            return;
        }
        self.expire_leases(now);
        self.expire_reports(now);
        self.give_back(now);
        self.late_starts.expire(now);
        self.propose_holders(now);
        self.open_rounds();
        self.forget(now);
        self.moving.retain(|_, (_, since)| now.since(*since) < MOVE_RESERVATION);
        self.rescue(now);
        self.report_waits(now);
        self.report_evacuations(now);
        self.report_slow_starts(now);
        self.dirty = true;
    }

    /// Adds a command to the next proposal; `waiter` is the ticket of the request to answer once it
    /// is applied.
    fn propose(&mut self, command: Command, waiter: Option<u64>) {
        if let Some(ticket) = waiter {
            self.waiters.push((self.batch.len(), ticket));
        }
        self.batch.push(command);
    }

    /// Adds commands that are committed together or not at all.
    fn propose_together(&mut self, commands: Vec<Command>) {
        let first = self.batch.len();
        self.batch.extend(commands);
        self.joined.extend(first + 1..self.batch.len());
    }

    fn flush(&mut self) {
        while !self.batch.is_empty() && self.proposals.len() < PROPOSALS_LIMIT {
            let taken = batch_length(&self.batch, &self.joined);
            let rest = self.batch.split_off(taken);
            let commands = std::mem::replace(&mut self.batch, rest);
            let joined = self.joined.split_off(&taken);
            self.joined = joined.into_iter().map(|at| at - taken).collect();
            let (waiters, later): (Vec<_>, Vec<_>) =
                self.waiters.drain(..).partition(|(at, _)| *at < taken);
            self.waiters = later.into_iter().map(|(at, ticket)| (at - taken, ticket)).collect();
            let ticket = self.next_ticket;
            self.next_ticket += 1;
            self.out.push(Effect::Propose { ticket, commands: commands.clone() });
            self.proposals.insert(ticket, Proposal { commands, waiters });
        }
    }

    fn commit(
        &mut self,
        now: Moment,
        index: u64,
        ticket: Option<u64>,
        commands: &[Command],
        bytes: usize,
    ) {
        self.index = index;
        let proposal = ticket.and_then(|ticket| self.proposals.remove(&ticket));
        let mut waiters = proposal.map(|proposal| proposal.waiters).unwrap_or_default().into_iter();
        let mut waiter = waiters.next();
        let mut touched = BTreeSet::new();
        for (at, command) in commands.iter().enumerate() {
            let applied = self.apply(now, command, &mut touched);
            if let Some((position, ticket)) = waiter
                && position == at
            {
                let reply = answers::command_answer(applied);
                self.out.push(Effect::Reply { ticket, reply });
                waiter = waiters.next();
            }
        }
        self.growth = (self.growth.0 + commands.len(), self.growth.1 + bytes);
        if self.growth.0 >= SNAPSHOT_COMMANDS || self.growth.1 >= SNAPSHOT_BYTES {
            self.growth = (0, 0);
            self.out.push(Effect::Snapshot { index, job_table: Box::new(self.job_table.clone()) });
        }
        if self.leading {
            if !self.job_table.evacuations.is_empty() {
                self.give_back(now);
            }
            for agent in touched {
                self.answer_parked(&agent, now);
            }
        }
    }

    /// Applies a committed command to the replicated state and to what is derived from it; adds to
    /// `touched` the agents whose orders may have changed.
    fn apply(&mut self, now: Moment, command: &Command, touched: &mut BTreeSet<Name>) -> Applied {
        let ended = match command {
            Command::Close { key, end, saved } => {
                self.record_gang_save(*key, *end, saved.as_ref());
                self.job_table.live(*key).map(|live| self.fleet.holder(&live.incarnation, *key))
            },
            _ => None,
        };
        let applied = self.job_table.apply(command);
        if self.leading {
            log::applied(command, applied);
        }
        // An assignment that was applied was allocated when it was proposed, and a confirmed start
        // leaves the room as it is.
        self.dirty |= !matches!(applied, Applied::Assigned | Applied::Settled)
            && !matches!(command, Command::Begin { .. } | Command::Doubt { .. });
        match command {
            Command::Accept { job, .. } => {
                let entry = self.job_table.jobs.get(&job.id);
                if entry.is_some_and(|entry| entry.phase == Phase::Active) {
                    self.active.insert(job.id);
                } else {
                    self.ended.insert(job.id, now);
                }
            },
            Command::Assign { key, incarnation } => {
                let own = self.assigning.remove(key).is_some();
                match applied {
                    Applied::Assigned => self.add_run(now, *key, incarnation, own, touched),
                    Applied::Settled => self.record_holder(*key, incarnation),
                    _ => {},
                }
            },
            Command::Begin { job } => {
                self.beginning.remove(job);
            },
            Command::Doubt { job, .. } => {
                self.doubting.remove(job);
            },
            Command::Cancel { job, .. } => {
                self.opening.remove(&(*job, u32::MAX));
                if applied == Applied::Withdrawn {
                    self.ended.insert(*job, now);
                }
                self.finish_job(now, *job, touched);
            },
            Command::Close { key, end, .. } => {
                self.closing.remove(key);
                self.moving.remove(key);
                if let Some(incarnation) = ended {
                    self.remove_run(now, *key, *end, &incarnation, touched);
                }
                self.finish_job(now, key.task.job, touched);
            },
            Command::Open { job, round } => {
                self.opening.remove(&(*job, *round));
            },
            Command::Evacuate(order) => self.evacuation_changed(now, order, touched),
            Command::Forget(jobs) => self.ended.retain(|id, _| !jobs.contains(id)),
            // A configuration may end jobs by its limits.
            Command::Configure(_) => {
                for job in self.active.clone() {
                    self.finish_job(now, job, touched);
                }
            },
        }
        applied
    }

    /// Adds a run whose assignment was committed.
    fn add_run(
        &mut self,
        now: Moment,
        key: RunKey,
        incarnation: &Incarnation,
        own: bool,
        touched: &mut BTreeSet<Name>,
    ) {
        let Some(run) = self.new_run(now, key) else { return };
        let run = Run { own, ..run };
        self.fleet.add_run(incarnation, key, run, now);
        touched.extend(self.fleet.agent(incarnation).cloned());
    }

    fn step_of(&self, key: RunKey) -> Option<&Step> {
        self.job_table.jobs.get(&key.task.job)?.job.steps.get(usize::from(key.task.step))
    }

    fn new_run(&self, now: Moment, key: RunKey) -> Option<Run> {
        let entry = self.job_table.jobs.get(&key.task.job)?;
        let step = entry.job.steps.get(usize::from(key.task.step))?;
        Some(Run {
            need: step.counted(),
            cores: step.need.millicores,
            fills: step.fills,
            lasting: step.lasting,
            saves: step.checkpoints,
            image: step.image.clone().unwrap_or_default(),
            target: step.target,
            since: now,
            own: false,
            ordered: false,
            sent: now,
            listed: false,
            shown: now,
            worked: Worked::default(),
            saved: entry.task(key.task)?.saved.clone(),
            percent: 0,
            stalled_since: now,
            seen: now,
            figure: 0,
            share: 100,
            stop: false,
            holder: match self.job_table.settled.contains(&key) {
                true => Holder::Settled { proposed: false, recorded: true },
                false => Holder::Unknown,
            },
        })
    }

    /// Removes a run whose end was committed.
    fn remove_run(
        &mut self,
        now: Moment,
        key: RunKey,
        end: End,
        incarnation: &Incarnation,
        touched: &mut BTreeSet<Name>,
    ) {
        let run = self.fleet.remove_run(incarnation, key);
        if let Some(run) = &run
            && end != End::Done
            && self.step_of(key).is_some_and(|step| !step.copies)
            && let Some(agent) = self.fleet.agent_of(&incarnation.runner)
        {
            self.late_starts.pin(key.task, agent, run.holder);
        }
        // The start time of runs assigned by an earlier leader is not known here.
        if let Some(run) = &run
            && end == End::Done
            && run.since > self.leading_since
        {
            let took = now.since(run.sent);
            // The objective counts the work of a task, not the time for which it was paced down.
            self.overload.record_end(now);
            let whole = run.worked.whole().filter(|_| self.overload.enabled && run.fills);
            self.record_duration(key, whole.unwrap_or(took));
        }
        let Some(agent) = self.fleet.agent(incarnation).cloned() else { return };
        if let Some(run) = run {
            match end {
                End::Done => {
                    if let Some(worker) = self.fleet.workers.get_mut(&agent) {
                        worker.record_success(run.since, now);
                    }
                },
                // A lasting task that was up fails by itself sooner or later.
                End::Failed if !run.at_work() => self.count_failure(now, key, &agent, run.since),
                _ => {},
            }
        }
        touched.insert(agent);
    }

    /// Records that a run which began at `began` failed, was refused or got stuck on the runner of
    /// `agent`.
    fn count_failure(&mut self, now: Moment, key: RunKey, agent: &Name, began: Moment) {
        let avoided = self.avoided.entry(key.task).or_default();
        avoided.insert(agent.clone());
        // A task that has failed elsewhere before says little about this runner.
        let first = avoided.len() <= 1;
        if let Some(worker) = self.fleet.workers.get_mut(agent)
            && first
        {
            worker.record_failure(began, now);
        }
    }

    /// Updates the mean duration of the run's queue.
    fn record_duration(&mut self, key: RunKey, took: Span) {
        let entry = self.job_table.jobs.get(&key.task.job);
        let queue = entry.and_then(|entry| self.job_table.queue(&entry.job.queue));
        let Some(queue) = queue else { return };
        let address = (Arc::clone(&queue.host), Arc::clone(&queue.prefix));
        if self.lookahead.is_on() {
            self.lookahead.durations.record(address.clone(), took);
        }
        match self.durations.entry(address) {
            Entry::Occupied(mut known) => known.get_mut().record(took),
            Entry::Vacant(vacant) => drop(vacant.insert(TaskTime::first(took))),
        }
    }

    /// Removes a job that has ended from the active ones; adds the agents that still run it to
    /// `touched`, so that they are ordered to stop.
    fn finish_job(&mut self, now: Moment, job: u64, touched: &mut BTreeSet<Name>) {
        let over = |entry: &JobEntry| entry.phase != Phase::Active;
        if self.job_table.jobs.get(&job).is_none_or(over) && self.active.remove(&job) {
            self.avoided.retain(|task, _| task.job != job);
            self.lookahead.ended(job);
            self.gang_saves.retain(|task, _| task.job != job);
            self.count_value(job);
            self.ended.insert(job, now);
            let range = run_range(job);
            for (incarnation, lease) in &self.fleet.leases {
                if lease.runs.range(range.clone()).next().is_some() {
                    touched.extend(self.fleet.agent(incarnation).cloned());
                }
            }
        }
    }

    /// Discards a proposal that the log refused, and answers its requests.
    fn drop_proposal(&mut self, ticket: u64, lost: bool) {
        let Some(proposal) = self.proposals.remove(&ticket) else { return };
        self.overload.unsure |= lost;
        for command in &proposal.commands {
            match command {
                Command::Assign { key, incarnation } => {
                    self.assigning.remove(key);
                    if let Some(run) = self.fleet.run_mut(incarnation, *key) {
                        run.holder = run.holder.not_proposed();
                    }
                },
                Command::Begin { job } => drop(self.beginning.remove(job)),
                Command::Doubt { job, .. } => drop(self.doubting.remove(job)),
                Command::Cancel { job, .. } => drop(self.opening.remove(&(*job, u32::MAX))),
                // A lost proposal may still be committed. Its runs stay closed to orders until the
                // end of the term, which follows.
                Command::Close { .. } if lost => {},
                Command::Close { key, .. } => drop(self.closing.remove(key)),
                Command::Open { job, round } => drop(self.opening.remove(&(*job, *round))),
                Command::Evacuate(order) if lost => {
                    self.evacuation.unsettled.insert(Arc::clone(&order.centre));
                },
                Command::Accept { .. }
                | Command::Configure(_)
                | Command::Evacuate(_)
                | Command::Forget(_) => {},
            }
        }
        let reply = lost.then_some(ClientReply::Unknown);
        for (_, ticket) in proposal.waiters {
            self.out.push(Effect::Reply { ticket, reply: reply.clone() });
        }
        // Placement runs again on the next tick rather than now: while leadership is handed over,
        // the log refuses every proposal.
        tracing::warn!(commands = proposal.commands.len(), lost, "proposal refused");
    }
}

/// Writes the mean durations by host and prefix as one text, as keys of JSON objects are texts.
fn serialize_durations<S: Serializer>(
    durations: &BTreeMap<(Arc<str>, Arc<str>), TaskTime>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(
        durations.iter().map(|((host, prefix), time)| (format!("{host}{prefix}"), time.mean())),
    )
}

/// Number of commands at the front that fit into one proposal, at least one. `joined` are positions
/// at which they must not be divided: a larger proposal is made if need be, as the log takes one with
/// the assignments of the largest step.
fn batch_length(commands: &[Command], joined: &BTreeSet<usize>) -> usize {
    let mut bytes = 0;
    let fits = |command: &&Command| {
        bytes += match command {
            Command::Accept { job, .. } => {
                job.spec.len()
                    + job.steps.iter().map(|step| STEP_BYTES + step.bytes()).sum::<usize>()
            },
            Command::Close { saved, .. } => {
                STEP_BYTES + saved.as_ref().map_or(0, |saved| saved.len())
            },
            // A setup holds the parsed queues as well as their source text.
            Command::Configure(setup) => 2 * setup.source.len(),
            _ => STEP_BYTES,
        };
        bytes <= BATCH_BYTES
    };
    let fitting = commands.iter().take(BATCH_LIMIT).take_while(fits).count();
    let undivided = |at: &usize| !joined.contains(at);
    let length = (1..=fitting).rev().find(undivided);
    length.or_else(|| (1..commands.len()).find(undivided)).unwrap_or(commands.len())
}

/// Key range of all runs of a job.
fn run_range(job: u64) -> std::ops::RangeInclusive<RunKey> {
    let first = TaskKey { job, round: 0, step: 0, index: 0 };
    let last = TaskKey { job, round: u32::MAX, step: u16::MAX, index: u16::MAX };
    RunKey { task: first, run: 0 }..=RunKey { task: last, run: u32::MAX }
}
