//! Client requests, injected faults and the recovery check of the randomised run.

use super::machine::StateMachine;
use super::{Event, Instance, MILLI, Process, RECOVERY_TIME, SECOND, World};
use crate::agreement::message::{Change, Message};
use crate::core::{Name, invariant};

impl World {
    /// Sends a proposal, a read or a membership change to a leader, or to any instance if there is
    /// none.
    pub(super) fn run_client(&mut self) {
        let wait = 500 + self.draw(10 * MILLI);
        self.schedule(wait, Event::Client);
        self.check_replaced();
        self.ticket += 1;
        let ticket = self.ticket;
        let name = self.pick_instance();
        let leading =
            |i: &Instance| i.process.as_ref().is_some_and(|p| p.agreement.leading().is_some());
        let leaders: Vec<Name> =
            self.instances.iter().filter(|(_, i)| leading(i)).map(|(n, _)| n.clone()).collect();
        // Instances that believe that they lead, as clients mostly address those.
        let at = match leaders.len() as u64 {
            0 => name,
            n => leaders[self.draw(n) as usize].clone(),
        };
        if self.pause_left(&at).is_some() {
            return;
        }
        self.floors.insert(ticket, self.floor);
        let message = match self.draw(20) {
            0..=9 => {
                let length = self.draw(64) as usize;
                let mut command = ticket.to_le_bytes().to_vec();
                command.resize(8 + length, 7);
                let command = command.into();
                Message::Propose { ticket, command }
            },
            10 => match self.next_change() {
                Some(change) => Message::Change { ticket, change },
                None => return,
            },
            _ => Message::Read { ticket },
        };
        self.step(&at, message);
    }

    /// Completes a replacement once the new member is a voter.
    fn check_replaced(&mut self) {
        let (instances, members) = (&self.instances, &self.members.1);
        let done = |name: &mut Name| {
            let process = instances[name].process.as_ref();
            process.is_some_and(|p| members.is_voter(p.agreement.me()))
        };
        self.report.replaced += u64::from(self.replacing.take_if(done).is_some());
    }

    /// The next membership change for the instance that lost its disk: removal, then addition.
    fn next_change(&self) -> Option<Change> {
        let name = self.replacing.as_ref()?;
        let process = self.instances[name].process.as_ref()?;
        let replica = process.agreement.me().clone();
        match self.members.1.get(name) {
            Some(member) if member.identity == replica.identity => None,
            Some(_) => Some(Change::Remove(name.clone())),
            None => Some(Change::Add(replica)),
        }
    }

    pub(super) fn inject_fault(&mut self) {
        let wait = 100 * MILLI + self.draw(1_500 * MILLI);
        self.schedule(wait, Event::Fault);
        let name = self.pick_instance();
        let down = 10 * MILLI + self.draw(3 * SECOND);
        let running = self.instances[&name].process.is_some();
        match self.draw(12) {
            0 | 1 if running => self.crash(&name, down),
            // A failure or a crash between two file operations, before or after a sync.
            2 | 3 if running => {
                let operations = self.draw(6);
                self.instance(&name).disk.fail_after(operations);
                self.schedule(down, Event::MendDisk { name });
            },
            4 | 5 => {
                self.instance(&name).isolated = true;
                self.report.isolations += 1;
                self.schedule(down * 2, Event::Heal { name });
            },
            6 => {
                self.instance(&name).paused_until = self.now + down;
                self.report.pauses += 1;
            },
            7 if running => {
                let used: usize = self.instances[&name].disk.sizes().values().sum();
                let limit = Some(used + self.draw(300) as usize);
                self.instance(&name).disk.set_limit(limit);
                self.report.full_disks += 1;
                self.schedule(down + SECOND, Event::MendDisk { name });
            },
            8 => {
                self.report.transfers += 1;
                self.step(&name, Message::Transfer { to: None });
            },
            9 => {
                self.loss = [0, 10, 200][self.draw(3) as usize];
                self.repeat = [0, 10, 200][self.draw(3) as usize];
                self.delay = [2, 10, 120][self.draw(3) as usize] * MILLI;
            },
            10 => self.lose_disk(&name),
            _ => {
                self.instance(&name).stalled_until = self.now + 2 * down;
                self.report.stalls += 1;
            },
        }
    }

    /// Crashes an instance and removes its files. Only one instance at a time is replaced, but the
    /// next may follow immediately.
    fn lose_disk(&mut self, name: &Name) {
        if self.replacing.is_none() && self.members.1.voters().count() == self.names.len() {
            self.replacing = Some(name.clone());
            self.crash(name, SECOND);
            self.instance(name).disk.wipe();
        }
    }

    /// States of all processes as JSON.
    pub(super) fn dump(&self) -> String {
        let processes = self.instances.values().filter_map(|i| i.process.as_ref());
        let state = |p: &Process| serde_json::to_string(&p.agreement).unwrap_or_default();
        processes.map(state).collect::<Vec<_>>().join("\n")
    }

    /// Ends all faults, restarts all instances and checks that the group recovers with all
    /// acknowledged commands.
    pub(super) fn check_recovery(&mut self) {
        (self.loss, self.repeat, self.delay) = (0, 0, 2 * MILLI);
        self.events.retain(|_, event| !matches!(event, Event::Fault));
        for name in self.names.clone() {
            let instance = self.instance(&name);
            (instance.isolated, instance.paused_until, instance.stalled_until) = (false, 0, 0);
            // A crash also clears an injected disk failure, and the start a limit.
            self.crash(&name, MILLI);
        }
        let acknowledged = self.report.acknowledged;
        let end = self.now + RECOVERY_TIME;
        while self.now < end {
            self.advance();
        }
        // Without further proposals all members reach the same state.
        self.events.retain(|_, event| !matches!(event, Event::Client));
        while self.now < end + 2 * SECOND {
            self.advance();
        }
        invariant!(
            self.report.acknowledged > acknowledged && self.replacing.is_none(),
            "the group did not recover: {:?}, replacing {:?}, members {:?}, states {}",
            self.report,
            self.replacing,
            self.members,
            self.dump()
        );
        let ends: Vec<StateMachine> = self.names.iter().map(|name| self.machine(name)).collect();
        for end in &ends {
            invariant!(
                *end == ends[0] && end.index >= self.floor,
                "members end at {ends:?}, which differ or are below acknowledged index {}",
                self.floor
            );
        }
    }
}
