//! Machines of the simulated cluster: starts and ends their runners, sends heartbeats, and delivers
//! orders and their answers.

use std::sync::Arc;

use super::runner::{Habit, Plan, Runner};
use super::world::{Delivery, Event, Order, SERVICE, World, copy_failure, runner_name};
use crate::core::{Span, invariant};
use crate::dispatch::Denial;
use crate::hosting::{Announcement, Fault as Failure, Listing, Message, RunnerTarget as Target};
use crate::jobs::{End, Incarnation, Job, Need, RunKey};

/// Interval between two ticks of a runner, and between two heartbeats, in microseconds.
pub(super) const RUNNER_TICK: u64 = 20_000;
const HEARTBEAT_INTERVAL: u64 = 1_000_000;
/// Maximum time that a runner takes to stop a run, in microseconds.
const MAX_STOP_TIME: u64 = 400_000;
/// Maximum time after which a call without an answer is carried out, usually and at all, in
/// microseconds. With the way to the runner the latter stays below the 12 s that agents count.
const USUAL_HOLD: u64 = 6_000_000;
const LONGEST_HOLD: u64 = 11_900_000;

impl World {
    /// Starts a runner with random capacity, labels and clock rate, unless there is one.
    pub(super) fn start_runner(&mut self, agent: usize, incarnation: Incarnation) {
        if self.machines[agent].runner.is_some() {
            return;
        }
        self.last_id += 1;
        let capacity =
            Need { millicores: 1_000 * self.draw(4..9), memory: 16_000, accelerators: 0 };
        let mut runner = Runner::new(self.now, incarnation, self.last_id, capacity);
        runner.guarded = self.truth.guarded;
        runner.longest = self.truth.longest;
        runner.page = self.truth.page;
        runner.rate = self.draw(980..1_001);
        let kind: Arc<str> = if self.chance(600) { "a" } else { "b" }.into();
        let rack: Arc<str> = format!("r{}", agent % 3).into();
        runner.labels = vec![kind, rack];
        if self.truth.scope.restarts && runner.incarnation.runner == self.machines[agent].name {
            // A restart doesn't change the machine.
            if let Some((capacity, labels)) = &self.machines[agent].hardware {
                (runner.capacity, runner.labels) = (*capacity, labels.clone());
            }
        }
        self.machines[agent].hardware = Some((runner.capacity, runner.labels.clone()));
        let serial = runner.serial;
        self.note(|| format!("runner {} of {agent} starts: {runner:?}", runner.incarnation.runner));
        self.machines[agent].name = runner.incarnation.runner.clone();
        self.machines[agent].runner = Some(runner);
        let wait = self.draw(1_000..300_000);
        self.schedule(wait, Event::Heartbeat { agent, serial });
    }

    /// Ends a runner and all of its runs.
    pub(super) fn end_runner(&mut self, agent: usize) {
        let Some(runner) = self.machines[agent].runner.take() else { return };
        self.note(|| format!("runner {} of {agent} ends", runner.incarnation.runner));
        for key in runner.runs.keys() {
            self.truth.record_end(self.now, *key, false);
        }
        self.machines[agent].refuses = self.chance(800);
    }

    pub(super) fn heartbeat(&mut self, agent: usize, serial: u64) {
        let centre = self.centre(agent);
        let running = self.machines[agent].runner.as_mut();
        let Some(runner) = running.filter(|runner| runner.serial == serial) else { return };
        runner.sequence += 1;
        let announcement = Announcement {
            incarnation: runner.incarnation.clone(),
            addr: ([127, 0, 0, 1], 9).into(),
            service: SERVICE.into(),
            centre,
            cold: Span::ZERO,
            labels: runner.labels.clone(),
            capacity: runner.capacity,
            draining: runner.draining,
            sequence: runner.sequence,
        };
        let mute = matches!(runner.habit, Habit::CutOff | Habit::Mute);
        self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeat { agent, serial });
        if mute {
            return;
        }
        // During faults, some heartbeats are delayed for so long that later ones may overtake them.
        let late = self.faults > 0 && self.chance(50);
        let wait = if late { self.draw(0..6_000_000) } else { self.draw(200..2_000) };
        let epoch = self.machines[agent].epoch;
        let message = Message::Announce(Box::new(announcement));
        self.schedule(wait, Event::ToAgent { agent, epoch, message });
    }

    /// Begins the drain of a runner, which leaves after 3 to 9 s.
    pub(super) fn drain(&mut self, agent: usize) {
        let Some(runner) = &mut self.machines[agent].runner else { return };
        if std::mem::replace(&mut runner.draining, true) {
            return;
        }
        let serial = runner.serial;
        self.note(|| format!("runner of {agent} drains"));
        let wait = self.draw(3_000_000..9_000_000);
        self.schedule(wait, Event::EndDrain { agent, serial });
    }

    pub(super) fn end_drain(&mut self, agent: usize, serial: u64) {
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
        let (number, born) = (self.last_id, self.wall() + wait / 1_000);
        let incarnation = Incarnation { runner: runner_name(agent, number), born };
        self.schedule(wait, Event::StartRunner { agent, incarnation });
    }

    pub(super) fn send_order(
        &mut self,
        agent: usize,
        call: Option<u64>,
        target: Target,
        order: Order,
    ) {
        if let Some((verb, key)) = order.changed_run() {
            let Target { incarnation: Incarnation { runner, born }, token, .. } = &target;
            self.note(|| format!("agent {agent}: {verb} {key} to {runner} {born}, token {token}"));
        }
        let (wait, delivery) = (self.draw(200..2_000), Delivery::Direct);
        self.schedule(wait, Event::Order { agent, call, target, delivery, order });
    }

    /// Delivers an order to a runner, or an error to the agent if there is none or another one.
    pub(super) fn deliver_order(
        &mut self,
        agent: usize,
        call: Option<u64>,
        target: Target,
        delivery: Delivery,
        order: Order,
    ) {
        let lost = call.and_then(|call| self.calls.get(&call)).map(|call| copy_failure(&call.lost));
        let Some(runner) = &self.machines[agent].runner else {
            if self.machines[agent].refuses {
                if let Some((call, lost)) = call.zip(lost) {
                    self.reply(call, with_failure(lost, Failure::Gone));
                }
            } else if self.truth.scope.restarts && delivery == Delivery::Direct && self.faults > 0 {
                // The connection is established once the port is open again.
                let wait = self.draw(50_000..250_000);
                let delivery = Delivery::Reconnected;
                self.schedule(wait, Event::Order { agent, call, target, delivery, order });
            }
            return;
        };
        // A held call reaches any later incarnation under the same name.
        let held = matches!(delivery, Delivery::Late(serial) if serial != runner.serial);
        if held && !self.truth.scope.restarts {
            return;
        }
        if target.incarnation.runner != runner.incarnation.runner {
            if let Some((call, lost)) = call.zip(lost) {
                self.reply(call, with_failure(lost, Failure::Replaced));
            }
            return;
        }
        let (habit, own) = (runner.habit, runner.serial);
        let late = delivery != Delivery::Direct;
        let lists = matches!(order, Order::List { .. });
        match habit {
            Habit::CutOff => {},
            Habit::Mute if !late => {
                if !lists && self.chance(500) {
                    self.hold_order(agent, target, own, order);
                }
            },
            Habit::Late if !late && !lists && self.chance(700) => {
                if self.chance(500) {
                    self.execute_order(agent, None, &target, &order);
                }
                self.hold_order(agent, target, own, order);
            },
            _ => {
                if late {
                    self.record_disturbance();
                    self.record_late_order(agent);
                }
                self.execute_order(agent, call, &target, &order);
            },
        }
    }

    /// Leaves an order unanswered, to be carried out seconds later.
    fn hold_order(&mut self, agent: usize, target: Target, serial: u64, order: Order) {
        let long = self.truth.scope.restarts && self.chance(300);
        let longest = if long { LONGEST_HOLD } else { USUAL_HOLD };
        let wait = self.draw(100_000..longest);
        if let Some((verb, key)) = order.changed_run() {
            self.note(|| format!("runner of {agent} holds {verb} {key} for {wait} us"));
        }
        let (call, delivery) = (None, Delivery::Late(serial));
        self.schedule(wait, Event::Order { agent, call, target, delivery, order });
    }

    fn execute_order(&mut self, agent: usize, call: Option<u64>, target: &Target, order: &Order) {
        let (now, token, within) = (self.now, target.token, self.draw(0..MAX_STOP_TIME));
        let answered = if call.is_some() { "" } else { ", unanswered" };
        let plan = match order {
            Order::Start { start, .. } => self.draw_plan(start.key),
            _ => None,
        };
        let Some(runner) = &mut self.machines[agent].runner else { return };
        let stray = target.incarnation != runner.incarnation;
        let denied = |result: Result<(), Denial>| result.map_err(Failure::Denied);
        let message = match order {
            Order::List { seq, recorded, lease_end, wait } => {
                match runner.acknowledge(now, token, *recorded, *lease_end) {
                    Err(denial) => {
                        let listing = Err(Failure::Denied(denial));
                        Message::Listed { seq: *seq, listing }
                    },
                    Ok(forgotten) => {
                        runner.waits.extend(call.map(|call| (call, now + wait)));
                        self.truth.record_acknowledged(&forgotten);
                        return self.answer_listings(agent);
                    },
                }
            },
            Order::Pace { key, percent } => {
                let result = denied(runner.pace(token, *key, *percent));
                Message::Paced { key: *key, result }
            },
            Order::Start { start, lease_end } => {
                let Some(plan) = plan else {
                    return invariant!(
                        false,
                        "{} is started, but its job or step does not exist",
                        start.key
                    );
                };
                let result = runner.start(now, token, start, *lease_end, plan);
                let key = start.key;
                self.note(|| format!("runner of {agent}: start {key} gives {result:?}{answered}"));
                if result == Ok(true) {
                    self.record_start(agent, key, stray);
                    self.record_gang_start(start);
                }
                Message::Started { key, result: denied(result.map(drop)) }
            },
            Order::Stop { key } => {
                let result = runner.stop(now, token, *key, within);
                let key = *key;
                self.note(|| format!("runner of {agent}: stop {key} gives {result:?}{answered}"));
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

    /// Answers the held list requests once a run has ended or their wait is over.
    fn answer_listings(&mut self, agent: usize) {
        let now = self.now;
        let Some(runner) = &mut self.machines[agent].runner else { return };
        if matches!(runner.habit, Habit::CutOff | Habit::Mute) {
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

    /// Advances the runs of a runner by one tick.
    pub(super) fn tick_runner(&mut self, agent: usize) {
        self.schedule(RUNNER_TICK, Event::RunnerTick { agent });
        self.update_gangs(agent);
        let Some(runner) = &mut self.machines[agent].runner else { return };
        for (key, end) in runner.advance(self.now, RUNNER_TICK) {
            self.note(|| format!("runner of {agent}: {key} ends {end:?}"));
            self.truth.record_end(self.now, key, end == End::Failed);
            self.record_gang_end(key, end);
        }
        self.answer_listings(agent);
    }

    /// Draws the work of a run, and when it fails if it does.
    fn draw_plan(&mut self, key: RunKey) -> Option<Plan> {
        let job: Arc<Job> = Arc::clone(self.truth.jobs.get(&key.task.job)?);
        let step = job.steps.get(usize::from(key.task.step))?;
        // The work equals the estimate; some runs fail before it is done.
        let work = step.estimate.as_micros();
        let (often, longest) = if step.lasting { (700, 40_000_000) } else { (30, work.max(2)) };
        let fails = self.chance(often).then(|| self.draw(1..longest));
        Some(Plan { job, work, fails })
    }
}

/// Sets the error in the message that reports a failed call.
fn with_failure(lost: Message, failure: Failure) -> Message {
    match lost {
        Message::Listed { seq, .. } => Message::Listed { seq, listing: Err(failure) },
        Message::Paced { key, .. } => Message::Paced { key, result: Err(failure) },
        Message::Started { key, .. } => Message::Started { key, result: Err(failure) },
        Message::Stopped { key, .. } => Message::Stopped { key, result: Err(failure) },
        other => other,
    }
}
