//! Injection of faults, and recovery from them.

use std::ops::Range;

use super::runner::Habit;
use super::world::{Event, Link, RECOVERY_TIME, World, runner_name};
use crate::jobs::Incarnation;

/// Number of fault kinds, without and with restarts. Of the additional ones the first is a cut, and the
/// others are restarts.
const KINDS: u64 = 17;
const RESTART_KINDS: u64 = 25;
/// Time after the restart of a runner in which it is cut off, in microseconds.
const CUT_WITHIN: Range<u64> = 1_000..3_000_000;
/// Faults that come with the cut of a restarted runner.
const COMPANIONS: [Companion; 2] = [
    Companion {
        chance: 600,
        wait: 0..1_500_000,
        length: 0..1,
        begin: |world, _, _| {
            world.depose();
            world.record_disturbance();
        },
    },
    Companion {
        chance: 600,
        wait: 0..1_500_000,
        length: 300_000..5_000_000,
        begin: |world, agent, length| {
            world.kill_agent(agent);
            world.begin_fault(Fault::Agent(agent), length);
        },
    },
];

/// Begins a fault at a machine that lasts for some microseconds.
pub(super) type Begin = fn(&mut World, usize, u64);

/// A fault that comes with another one at the same machine.
struct Companion {
    /// Probability, out of 1,000.
    chance: u32,
    /// Time after the other fault, in microseconds.
    wait: Range<u64>,
    /// Duration in microseconds.
    length: Range<u64>,
    begin: Begin,
}

/// An active fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// An agent's process is down.
    Agent(usize),
    /// The process of a control instance is down.
    Control(usize),
    /// A runner has crashed.
    Crash(usize),
    /// A runner has crashed and restarts under its name; calls that find no process arrive at the
    /// next one.
    Restart(usize),
    /// The process of an agent or a control instance is frozen.
    Freeze,
    /// A runner misbehaves.
    Habit(usize),
    /// A control instance gets no new log entries.
    Lag(usize),
    /// The link of an agent is down, or delays and duplicates messages.
    Link(usize),
    /// The log delays and rejects proposals.
    Log,
}

impl World {
    /// Injects a random fault, some of them on several machines.
    pub(super) fn inject_fault(&mut self) {
        let control = self.draw(0..3) as usize;
        let length = self.draw(300_000..7_000_000);
        let kind = self.draw(0..if self.truth.scope.restarts { RESTART_KINDS } else { KINDS });
        let machines = self.machines.len() as u64;
        match kind {
            0..12 | 17.. => {
                let most = if self.chance(300) { machines } else { 1 + machines / 4 };
                let (first, count) = (self.draw(0..machines), 1 + self.draw(0..most));
                for at in first..first + count {
                    self.inject_machine_fault(kind, (at % machines) as usize, length);
                }
            },
            12 => {
                self.kill_control(control);
                self.begin_fault(Fault::Control(control), length);
            },
            13 => {
                let at = self.log.leader.unwrap_or(control);
                self.note(|| format!("control {at} freezes for {length} us"));
                self.controls[at].frozen_until = self.now + length;
                // The other instances detect the loss of the leader after about 2 s.
                if length > 2_000_000 && self.log.leader == Some(at) {
                    self.depose();
                }
                self.begin_fault(Fault::Freeze, length);
            },
            14 => {
                self.depose();
                self.record_disturbance();
            },
            15 => {
                let (slow, refusals) = (self.draw(0..800_000), self.draw(0..500) as u32);
                (self.log.slow, self.log.refusals) = (slow, refusals);
                self.begin_fault(Fault::Log, length);
            },
            _ => {
                if self.log.leader != Some(control) {
                    self.controls[control].lagging_until = self.now + length;
                    self.begin_fault(Fault::Lag(control), length);
                }
            },
        }
    }

    fn inject_machine_fault(&mut self, kind: u64, agent: usize, length: u64) {
        let habit = match kind {
            0 | 1 => {
                self.machines[agent].link.down = true;
                return self.begin_fault(Fault::Link(agent), length);
            },
            2 | 3 => {
                let (jitter, duplicated) = (self.draw(0..2_500_000), self.draw(0..500) as u32);
                self.machines[agent].link = Link { down: false, jitter, duplicated };
                return self.begin_fault(Fault::Link(agent), length);
            },
            4 => {
                self.kill_agent(agent);
                return self.begin_fault(Fault::Agent(agent), length / 2);
            },
            5 => {
                self.end_runner(agent);
                return self.begin_fault(Fault::Crash(agent), 1_000_000 + length);
            },
            6 => {
                self.note(|| format!("agent {agent} freezes"));
                self.machines[agent].frozen_until = self.now + length;
                return self.begin_fault(Fault::Freeze, length);
            },
            7 => Habit::Failing,
            8 => Habit::Hanging,
            9 => Habit::Late,
            10 => Habit::Mute,
            17 => Habit::CutOff,
            18.. => {
                self.end_runner(agent);
                self.machines[agent].refuses = false;
                let down = self.draw(50_000..1_200_000);
                return self.begin_fault(Fault::Restart(agent), down);
            },
            _ => Habit::Sick,
        };
        let Some(runner) = &mut self.machines[agent].runner else { return };
        runner.habit = habit;
        self.note(|| format!("runner of {agent} is {habit:?}"));
        self.begin_fault(Fault::Habit(agent), length);
    }

    /// Cuts the link between an agent and its restarted runner, often with other faults at about the
    /// same time.
    fn cut_runner(&mut self, agent: usize, length: u64) {
        let Some(runner) = &mut self.machines[agent].runner else { return };
        runner.habit = Habit::CutOff;
        self.begin_fault(Fault::Habit(agent), length);
        for Companion { chance, wait, length, begin } in COMPANIONS {
            if self.chance(chance) {
                let (wait, length) = (self.draw(wait), self.draw(length));
                self.begin_later(wait, begin, agent, length);
            }
        }
    }

    /// Schedules a fault, which counts as active until then too.
    fn begin_later(&mut self, wait: u64, begin: Begin, agent: usize, length: u64) {
        self.faults += 1;
        self.schedule(wait, Event::BeginFault { begin, agent, length });
    }

    fn begin_fault(&mut self, fault: Fault, length: u64) {
        self.note(|| format!("{fault:?} for {length} us"));
        self.faults += 1;
        self.schedule(length, Event::EndFault(fault));
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: Fault) {
        self.note(|| format!("{fault:?} ends"));
        self.faults -= 1;
        self.record_disturbance();
        match fault {
            Fault::Agent(agent) => self.start_agent(agent),
            Fault::Control(control) => self.revive_control(control),
            Fault::Crash(agent) | Fault::Restart(agent) => {
                let last = self.machines[agent].name.clone();
                let fresh = matches!(fault, Fault::Crash(_)) && self.chance(500);
                let runner = if fresh { runner_name(agent, self.last_id) } else { last };
                // With a clock that was set back, a new incarnation looks older than the last one.
                let most = if matches!(fault, Fault::Restart(_)) { 2_000 } else { 20_000 };
                let back = if self.chance(200) { self.draw(0..most) } else { 0 };
                let incarnation = Incarnation { runner, born: self.wall() - back };
                self.schedule(0, Event::StartRunner { agent, incarnation });
                if matches!(fault, Fault::Restart(_)) && self.chance(500) {
                    let (wait, length) = (self.draw(CUT_WITHIN), self.draw(3_000_000..12_000_000));
                    self.begin_later(wait, Self::cut_runner, agent, length);
                }
            },
            Fault::Freeze => {},
            Fault::Habit(agent) => {
                if let Some(runner) = &mut self.machines[agent].runner {
                    runner.habit = Habit::Sound;
                }
            },
            Fault::Lag(control) => {
                self.controls[control].lagging_until = 0;
                let epoch = self.controls[control].epoch;
                self.schedule(0, Event::Commit { control, epoch });
            },
            Fault::Link(agent) => {
                self.machines[agent].link = Link::default();
            },
            Fault::Log => (self.log.slow, self.log.refusals) = (0, 0),
        }
    }

    /// Runs until no fault is active and there is a leader.
    pub(super) fn recover(&mut self) {
        while self.faults > 0 || self.log.leader.is_none() {
            self.advance(100_000);
            self.check_liveness();
        }
        self.advance(RECOVERY_TIME / 8);
    }
}
