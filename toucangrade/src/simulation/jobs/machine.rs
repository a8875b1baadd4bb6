//! Runners as the platform and their agents see them: births, heartbeats, orders and ends.

use std::sync::Arc;

use super::runner::{Habit, Plan, Runner};
use super::world::{Event, Order, SERVICE, World, again, runner_name};
use crate::core::invariant;
use crate::dispatch::Denial;
use crate::hosting::{Announcement, Fault as Failure, Listing, Message, RunnerTarget as Target};
use crate::jobs::{End, Incarnation, Job, Need, RunKey};

/// Period of the model of runners, and of heartbeats, in microseconds.
pub(super) const RUNNER_TICK: u64 = 20_000;
const BEAT: u64 = 1_000_000;
/// Time in which a runner carries out a stop.
const STOP_LIMIT: u64 = 400_000;

impl World {
    /// A runner starts.
    pub(super) fn born(&mut self, agent: usize, incarnation: Incarnation) {
        if self.machines[agent].runner.is_some() {
            return;
        }
        self.next += 1;
        let capacity =
            Need { millicores: 1_000 * self.draw(4..9), memory: 16_000, accelerators: 0 };
        let mut runner = Runner::new(self.now, incarnation, self.next, capacity);
        runner.guarded = self.truth.guarded;
        runner.longest = self.truth.longest;
        runner.rate = self.draw(980..1_001);
        let kind: Arc<str> = if self.chance(600) { "a" } else { "b" }.into();
        let rack: Arc<str> = format!("r{}", agent % 3).into();
        runner.labels = vec![kind, rack];
        let serial = runner.serial;
        self.note(|| format!("runner {} of {agent} starts: {runner:?}", runner.incarnation.runner));
        self.machines[agent].name = runner.incarnation.runner.clone();
        self.machines[agent].runner = Some(runner);
        let wait = self.draw(1_000..300_000);
        self.schedule(wait, Event::Beat { agent, serial });
    }

    /// A runner ends with all that runs on it.
    pub(super) fn end_runner(&mut self, agent: usize) {
        let Some(runner) = self.machines[agent].runner.take() else { return };
        self.note(|| format!("runner {} of {agent} ends", runner.incarnation.runner));
        for key in runner.runs.keys() {
            self.truth.ended(self.now, *key, false);
        }
        self.machines[agent].refuses = self.chance(800);
    }

    pub(super) fn beat(&mut self, agent: usize, serial: u64) {
        let running = self.machines[agent].runner.as_mut();
        let Some(runner) = running.filter(|runner| runner.serial == serial) else { return };
        runner.sequence += 1;
        let announcement = Announcement {
            incarnation: runner.incarnation.clone(),
            addr: ([127, 0, 0, 1], 9).into(),
            service: SERVICE.into(),
            centre: "olinda".into(),
            labels: runner.labels.clone(),
            capacity: runner.capacity,
            draining: runner.draining,
            sequence: runner.sequence,
        };
        let mute = runner.habit == Habit::Mute;
        self.schedule(BEAT, Event::Beat { agent, serial });
        if mute {
            return;
        }
        // Some heartbeats are held back for longer than the next ones.
        let late = self.faults > 0 && self.chance(50);
        let wait = if late { self.draw(0..6_000_000) } else { self.draw(200..2_000) };
        let epoch = self.machines[agent].epoch;
        let message = Message::Announce(Box::new(announcement));
        self.schedule(wait, Event::ToAgent { agent, epoch, message });
    }

    /// A runner begins to leave.
    pub(super) fn drain(&mut self, agent: usize) {
        let Some(runner) = &mut self.machines[agent].runner else { return };
        if std::mem::replace(&mut runner.draining, true) {
            return;
        }
        let serial = runner.serial;
        self.note(|| format!("runner of {agent} drains"));
        let wait = self.draw(3_000_000..9_000_000);
        self.schedule(wait, Event::Left { agent, serial });
    }

    pub(super) fn left(&mut self, agent: usize, serial: u64) {
        let Some(runner) = self.machines[agent].runner.as_ref().filter(|r| r.serial == serial)
        else {
            return;
        };
        let born = self.truth.guarded.then_some(runner.incarnation.born);
        let message = Message::Leave { runner: runner.incarnation.runner.to_string(), born };
        let epoch = self.machines[agent].epoch;
        self.schedule(500, Event::ToAgent { agent, epoch, message });
        self.end_runner(agent);
        let wait = self.draw(1_000_000..4_000_000);
        let (number, born) = (self.next, self.wall() + wait / 1_000);
        let incarnation = Incarnation { runner: runner_name(agent, number), born };
        self.schedule(wait, Event::Born { agent, incarnation });
    }

    pub(super) fn send(&mut self, agent: usize, call: Option<u64>, target: Target, order: Order) {
        let wait = self.draw(200..2_000);
        self.schedule(wait, Event::Order { agent, call, target, serial: None, order });
    }

    /// An order reaches the port of a runner.
    pub(super) fn order(
        &mut self,
        agent: usize,
        call: Option<u64>,
        target: Target,
        serial: Option<u64>,
        order: Order,
    ) {
        let lost = call.and_then(|call| self.calls.get(&call)).map(|call| again(&call.lost));
        let Some(runner) = &self.machines[agent].runner else {
            if let Some((call, lost)) = call.zip(lost).filter(|_| self.machines[agent].refuses) {
                self.reply(call, with(lost, Failure::Gone));
            }
            return;
        };
        if serial.is_some_and(|serial| serial != runner.serial) {
            return;
        }
        if target.incarnation.runner != runner.incarnation.runner {
            if let Some((call, lost)) = call.zip(lost) {
                self.reply(call, with(lost, Failure::Replaced));
            }
            return;
        }
        let (habit, own) = (runner.habit, runner.serial);
        let lists = matches!(order, Order::List { .. });
        match habit {
            Habit::Mute if serial.is_none() => {
                if !lists && self.chance(500) {
                    let wait = self.draw(100_000..6_000_000);
                    let serial = Some(own);
                    self.schedule(wait, Event::Order { agent, call: None, target, serial, order });
                }
            },
            Habit::Late if serial.is_none() && !lists && self.chance(700) => {
                if self.chance(500) {
                    self.carry_out(agent, None, &target, &order);
                }
                let wait = self.draw(100_000..6_000_000);
                let serial = Some(own);
                self.schedule(wait, Event::Order { agent, call: None, target, serial, order });
            },
            _ => {
                if serial.is_some() {
                    self.harm();
                }
                self.carry_out(agent, call, &target, &order);
            },
        }
    }

    fn carry_out(&mut self, agent: usize, call: Option<u64>, target: &Target, order: &Order) {
        let (now, token, within) = (self.now, target.token, self.draw(0..STOP_LIMIT));
        let plan = match order {
            Order::Start { start, .. } => self.plan(start.key),
            _ => None,
        };
        let Some(runner) = &mut self.machines[agent].runner else { return };
        let denied = |result: Result<(), Denial>| result.map_err(Failure::Denied);
        let message = match order {
            Order::List { seq, recorded, lease_end, wait } => {
                if let Err(denial) = runner.hold(now, token, *recorded, *lease_end) {
                    let listing = Err(Failure::Denied(denial));
                    Message::Listed { seq: *seq, listing }
                } else {
                    runner.waits.extend(call.map(|call| (call, now + wait)));
                    return self.answer_waits(agent);
                }
            },
            Order::Pace { key, percent } => {
                let result = denied(runner.pace(token, *key, *percent));
                Message::Paced { key: *key, result }
            },
            Order::Start { start, lease_end } => {
                let Some(plan) = plan else {
                    return invariant!(false, "{} of no job is started", start.key);
                };
                let result = runner.start(now, token, start, *lease_end, plan);
                let key = start.key;
                self.note(|| format!("runner of {agent}: start {key} gives {result:?}"));
                if result == Ok(true) {
                    self.started(agent, key);
                }
                Message::Started { key, result: denied(result.map(drop)) }
            },
            Order::Stop { key } => {
                let result = runner.stop(now, token, *key, within);
                let key = *key;
                self.note(|| format!("runner of {agent}: stop {key} gives {result:?}"));
                Message::Stopped { key, result: denied(result) }
            },
        };
        if let Some(call) = call {
            self.reply(call, message);
        }
    }

    fn reply(&mut self, call: u64, message: Message) {
        let wait = self.draw(200..2_000);
        self.schedule(wait, Event::Answer { call, message });
    }

    /// Answers the listings that are held back if it is time.
    fn answer_waits(&mut self, agent: usize) {
        let now = self.now;
        let Some(runner) = &mut self.machines[agent].runner else { return };
        if runner.habit == Habit::Mute {
            return;
        }
        let ends = !runner.ended.is_empty();
        let due: Vec<u64> = runner
            .waits
            .extract_if(.., |(_, at)| ends || *at <= now)
            .map(|(call, _)| call)
            .collect();
        if due.is_empty() {
            return;
        }
        let listing: Listing = runner.listing(now);
        for call in due {
            if let Some(Message::Listed { seq, .. }) = self.calls.get(&call).map(|c| &c.lost) {
                let message = Message::Listed { seq: *seq, listing: Ok(Box::new(listing.clone())) };
                self.reply(call, message);
            }
        }
    }

    /// Lets time pass for a runner.
    pub(super) fn run(&mut self, agent: usize) {
        self.schedule(RUNNER_TICK, Event::RunnerTick { agent });
        let Some(runner) = &mut self.machines[agent].runner else { return };
        for (key, end) in runner.advance(self.now, RUNNER_TICK) {
            self.note(|| format!("runner of {agent}: {key} ends {end:?}"));
            self.truth.ended(self.now, key, end == End::Failed);
        }
        self.answer_waits(agent);
    }

    /// How a run of a task will go.
    fn plan(&mut self, key: RunKey) -> Option<Plan> {
        let job: Arc<Job> = Arc::clone(self.truth.jobs.get(&key.task.job)?);
        let step = job.steps.get(usize::from(key.task.step))?;
        // The estimate is the work; some runs fail before it is done.
        let work = step.estimate.as_micros();
        let (often, longest) = if step.lasting { (700, 40_000_000) } else { (30, work.max(2)) };
        let fails = self.chance(often).then(|| self.draw(1..longest));
        Some(Plan { job, work, fails })
    }
}

/// The answer that a call gets when it fails.
fn with(lost: Message, failure: Failure) -> Message {
    match lost {
        Message::Listed { seq, .. } => Message::Listed { seq, listing: Err(failure) },
        Message::Paced { key, .. } => Message::Paced { key, result: Err(failure) },
        Message::Started { key, .. } => Message::Started { key, result: Err(failure) },
        Message::Stopped { key, .. } => Message::Stopped { key, result: Err(failure) },
        other => other,
    }
}
