//! Faults: how each begins and ends.

use super::runner::Habit;
use super::world::{CALM_AFTER, Event, Link, World, runner_name};
use crate::jobs::Incarnation;

/// A fault under way.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// An agent's process is down.
    Agent(usize),
    /// An instance of control is down.
    Control(usize),
    /// A runner has crashed.
    Crash(usize),
    /// A process stands still.
    Freeze,
    /// A runner misbehaves.
    Habit(usize),
    /// An instance lags behind the log.
    Lag(usize),
    /// The link of an agent is harmed.
    Link(usize),
    /// The log is slow or refuses proposals.
    Log,
}

impl World {
    /// Begins a fault; some hit several machines.
    pub(super) fn fault(&mut self) {
        let control = self.draw(0..3) as usize;
        let length = self.draw(300_000..7_000_000);
        let kind = self.draw(0..17);
        let machines = self.machines.len() as u64;
        match kind {
            0..12 => {
                let most = if self.chance(300) { machines } else { 1 + machines / 4 };
                let (first, count) = (self.draw(0..machines), 1 + self.draw(0..most));
                for at in first..first + count {
                    self.harm_machine(kind, (at % machines) as usize, length);
                }
            },
            12 => {
                self.kill_control(control);
                self.begin(Fault::Control(control), length);
            },
            13 => {
                let at = self.log.leader.unwrap_or(control);
                self.note(|| format!("control {at} freezes for {length} us"));
                self.controls[at].frozen = self.now + length;
                // The others miss it after about two seconds.
                if length > 2_000_000 && self.log.leader == Some(at) {
                    self.depose();
                }
                self.begin(Fault::Freeze, length);
            },
            14 => {
                self.depose();
                self.harm();
            },
            15 => {
                let (slow, refusals) = (self.draw(0..800_000), self.draw(0..500) as u32);
                (self.log.slow, self.log.refusals) = (slow, refusals);
                self.begin(Fault::Log, length);
            },
            _ => {
                if self.log.leader != Some(control) {
                    self.controls[control].lagging = self.now + length;
                    self.begin(Fault::Lag(control), length);
                }
            },
        }
    }

    fn harm_machine(&mut self, kind: u64, agent: usize, length: u64) {
        let habit = match kind {
            0 | 1 => {
                self.machines[agent].link.cut = true;
                return self.begin(Fault::Link(agent), length);
            },
            2 | 3 => {
                let (jitter, doubled) = (self.draw(0..2_500_000), self.draw(0..500) as u32);
                self.machines[agent].link = Link { cut: false, jitter, doubled };
                return self.begin(Fault::Link(agent), length);
            },
            4 => {
                self.kill_agent(agent);
                return self.begin(Fault::Agent(agent), length / 2);
            },
            5 => {
                self.end_runner(agent);
                return self.begin(Fault::Crash(agent), 1_000_000 + length);
            },
            6 => {
                self.note(|| format!("agent {agent} freezes"));
                self.machines[agent].frozen = self.now + length;
                return self.begin(Fault::Freeze, length);
            },
            7 => Habit::Failing,
            8 => Habit::Hanging,
            9 => Habit::Late,
            10 => Habit::Mute,
            _ => Habit::Sick,
        };
        let Some(runner) = &mut self.machines[agent].runner else { return };
        runner.habit = habit;
        self.note(|| format!("runner of {agent} is {habit:?}"));
        self.begin(Fault::Habit(agent), length);
    }

    fn begin(&mut self, fault: Fault, length: u64) {
        self.note(|| format!("{fault:?} for {length} us"));
        self.faults += 1;
        self.schedule(length, Event::Heal(fault));
    }

    /// Ends a fault.
    pub(super) fn heal(&mut self, fault: Fault) {
        self.note(|| format!("{fault:?} ends"));
        self.faults -= 1;
        self.harm();
        match fault {
            Fault::Agent(agent) => self.start_agent(agent),
            Fault::Control(control) => self.revive_control(control),
            Fault::Crash(agent) => {
                let last = self.machines[agent].name.clone();
                let fresh = self.chance(500);
                let runner = if fresh { runner_name(agent, self.next) } else { last };
                // A clock that was set back lets a later life look like an earlier one.
                let back = if self.chance(200) { self.draw(0..20_000) } else { 0 };
                let incarnation = Incarnation { runner, born: self.wall() - back };
                self.schedule(0, Event::Born { agent, incarnation });
            },
            Fault::Freeze => {},
            Fault::Habit(agent) => {
                if let Some(runner) = &mut self.machines[agent].runner {
                    runner.habit = Habit::Sound;
                }
            },
            Fault::Lag(control) => {
                self.controls[control].lagging = 0;
                let epoch = self.controls[control].epoch;
                self.schedule(0, Event::Commit { control, epoch });
            },
            Fault::Link(agent) => {
                self.machines[agent].link = Link::default();
            },
            Fault::Log => (self.log.slow, self.log.refusals) = (0, 0),
        }
    }

    /// Lets time pass until nothing is harmed.
    pub(super) fn recover(&mut self) {
        while self.faults > 0 || self.log.leader.is_none() {
            self.advance(100_000);
            self.check();
        }
        self.advance(CALM_AFTER / 8);
    }
}
