//! Seeded randomised simulation of a group with faults, over a fake network and fake disks.

mod faults;
mod machine;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use bytes::Bytes;

use self::machine::{DurableLog, StateMachine};
use super::fake_disk::FakeDisk;
use super::message::{Effect, Message, PeerMessage, Replica, Report, Store};
use super::storage::Storage;
use super::{Agreement, Members, Settings, next_random};
use crate::core::{Moment, Name, Verdict, Violation, invariant, replayed};

/// A millisecond in microseconds, the unit of simulated time.
const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLI;
/// Time between two ticks of a process.
const TICK: u64 = 20 * MILLI;
/// Number of commands between two snapshots of a state machine.
const SNAPSHOT_COMMANDS: u64 = 150;
/// Simulated time without faults at the end, in which the group has to recover.
const RECOVERY_TIME: u64 = 20 * SECOND;
/// Number of newest lines that a trace keeps.
const TRACE_KEPT: usize = 400;
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Counts of the events in a run, which show what it covered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunReport {
    pub(crate) seed: u64,
    pub(crate) steps: u64,
    pub(crate) acknowledged: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) reads: u64,
    pub(crate) terms: u64,
    pub(crate) crashes: u64,
    pub(crate) torn: u64,
    pub(crate) installs: u64,
    pub(crate) isolations: u64,
    pub(crate) pauses: u64,
    pub(crate) full_disks: u64,
    pub(crate) reopened: u64,
    pub(crate) stalls: u64,
    pub(crate) transfers: u64,
    pub(crate) replaced: u64,
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, steps, crashes, torn, isolations, pauses, stalls, .. } = self;
        let Self {
            full_disks, reopened, replaced, transfers, acknowledged, refused, unknown, ..
        } = self;
        write!(
            f,
            "seed {seed}: {steps} steps; {crashes} crashes, {torn} torn tails, {isolations} \
             isolations, {pauses} pauses, {stalls} stalled and {full_disks} full disks, {reopened} \
             reopened, {replaced} replaced members; {acknowledged} commands acknowledged, {refused} refused, {unknown} \
             of unknown outcome, {} reads, {} terms, {transfers} transfers, {} snapshots installed",
            self.reads, self.terms, self.installs
        )
    }
}

/// A running process.
struct Process {
    agreement: Agreement,
    storage: Storage,
    durable: DurableLog,
    /// `Store` effects that are not performed yet.
    stores: Vec<(u64, Store)>,
    machine: StateMachine,
    /// Number of commands in the last snapshot.
    snapshot_count: u64,
}

/// A host with a disk, on which a process may run.
struct Instance {
    disk: FakeDisk,
    process: Option<Process>,
    /// Incremented by each start and crash, so that events for an earlier process are dropped.
    epoch: u64,
    /// Clock rate in millionths; any two differ by less than 5%.
    rate: u64,
    /// Until when the process is suspended.
    paused_until: u64,
    /// Until when writes to the disk hang.
    stalled_until: u64,
    isolated: bool,
}

enum Event {
    Client,
    Deliver {
        to: Name,
        message: PeerMessage,
    },
    Fault,
    Heal {
        name: Name,
    },
    /// The disk of an instance works again.
    MendDisk {
        name: Name,
    },
    PerformStores {
        name: Name,
        epoch: u64,
    },
    Snapshot {
        name: Name,
        epoch: u64,
        machine: StateMachine,
    },
    Start {
        name: Name,
        epoch: u64,
    },
    Tick {
        name: Name,
        epoch: u64,
    },
}

/// State of the simulation.
struct World {
    now: u64,
    random: u64,
    /// Number of the last scheduled event, which orders events at the same time.
    sequence: u64,
    /// Events by time and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    /// Names of all instances, all of which are founders.
    names: Vec<Name>,
    instances: BTreeMap<Name, Instance>,
    /// Probability that a message is lost, in thousandths.
    loss: u64,
    /// Probability that a message is delivered twice, in thousandths.
    repeat: u64,
    /// Upper bound of the random part of the delay of a message; the fixed part is 200 µs.
    delay: u64,
    /// Checksum of the command sequence at each index that any member applied.
    chains: BTreeMap<u64, u64>,
    /// Leader of each term.
    leaders: BTreeMap<u64, Replica>,
    /// Index that each read that is issued from now on must observe: the greatest one that was
    /// acknowledged or read.
    floor: u64,
    /// For each pending ticket, `floor` at the time when it was issued.
    floors: BTreeMap<u64, u64>,
    /// Tickets that were rejected with the verdict `NotRun`.
    refused: BTreeSet<u64>,
    /// Last ticket that was issued.
    ticket: u64,
    /// The last committed membership and its index.
    members: (u64, Members),
    /// The instance that lost its disk and is being replaced.
    replacing: Option<Name>,
    report: RunReport,
    /// The newest messages, if the run is traced.
    trace: Option<VecDeque<String>>,
}

/// Runs a group of three, or of five for every fourth seed, for a number of steps with faults, then
/// without faults until it has recovered.
///
/// # Panics
///
/// When an invariant is violated or the group does not recover.
pub fn random_run(seed: u64, steps: u64) -> RunReport {
    World::new(seed).run(steps)
}

/// Like [`random_run`], but returns a violated invariant as an error instead of panicking.
///
/// # Errors
///
/// The violated invariant, with the trace of a second run of the same seed.
pub fn try_random_run(seed: u64, steps: u64) -> Result<RunReport, Violation> {
    let start = |traced: bool| World { trace: traced.then(VecDeque::new), ..World::new(seed) };
    let trace = |world: &World| world.trace.iter().flatten().cloned().collect();
    replayed(start, |world| world.run(steps), trace)
}

fn name(value: &str) -> Name {
    match Name::new(value) {
        Ok(name) => name,
        Err(error) => panic!("{error}"),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = seed;
        let instance = |rate| Instance {
            disk: FakeDisk::default(),
            process: None,
            epoch: 0,
            rate,
            paused_until: 0,
            stalled_until: 0,
            isolated: false,
        };
        let mut rate = || 976_500 + next_random(&mut random) % 47_000;
        let size = if seed.is_multiple_of(4) { 5 } else { 3 };
        let names: Vec<Name> = NAMES.iter().take(size).map(|n| name(n)).collect();
        let instances = names.iter().map(|name| (name.clone(), instance(rate())));
        let mut world = Self {
            now: 0,
            instances: instances.collect(),
            names: names.clone(),
            random,
            sequence: 0,
            events: BTreeMap::new(),
            loss: 0,
            repeat: 0,
            delay: 2 * MILLI,
            chains: BTreeMap::new(),
            leaders: BTreeMap::new(),
            floor: 0,
            floors: BTreeMap::new(),
            refused: BTreeSet::new(),
            ticket: 0,
            members: (0, Members::default()),
            replacing: None,
            report: RunReport { seed, ..RunReport::default() },
            trace: None,
        };
        for name in &names {
            world.start(name);
        }
        world.schedule(2 * SECOND, Event::Client);
        world.schedule(3 * SECOND, Event::Fault);
        world
    }

    fn run(&mut self, steps: u64) -> RunReport {
        while self.report.steps < steps {
            self.advance();
        }
        self.check_recovery();
        self.report.terms = self.leaders.len() as u64;
        self.report.clone()
    }

    fn draw(&mut self, below: u64) -> u64 {
        next_random(&mut self.random) % below.max(1)
    }

    fn pick_instance(&mut self) -> Name {
        let position = self.draw(self.names.len() as u64);
        self.names[position as usize].clone()
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    /// Advances to the next event and handles it.
    fn advance(&mut self) {
        let Some(((at, _), event)) = self.events.pop_first() else {
            panic!("no event is left in the queue");
        };
        self.now = self.now.max(at);
        match event {
            Event::Client => self.run_client(),
            Event::Deliver { to, message } => {
                if let Some(wait) = self.pause_left(&to) {
                    return self.schedule(wait, Event::Deliver { to, message });
                }
                let isolated =
                    [&to, &message.from.name].into_iter().any(|n| self.instances[n].isolated);
                if !isolated {
                    self.step(&to, Message::Peer(message));
                }
            },
            Event::Fault => self.inject_fault(),
            Event::Heal { name } => {
                self.instance(&name).isolated = false;
            },
            Event::MendDisk { name } => {
                let instance = self.instance(&name);
                instance.disk.set_limit(None);
                instance.disk.fail_after(u64::MAX);
            },
            Event::PerformStores { name, epoch } if self.instances[&name].epoch == epoch => {
                self.perform_stores(&name);
            },
            Event::Snapshot { name, epoch, machine } if self.instances[&name].epoch == epoch => {
                let (index, state) = (machine.index, machine.encode());
                self.step(&name, Message::SnapshotTaken { index, state });
            },
            Event::Start { name, epoch } if self.instances[&name].epoch == epoch => {
                self.start(&name);
            },
            Event::Tick { name, epoch } if self.instances[&name].epoch == epoch => {
                let wait = self.pause_left(&name).unwrap_or(0);
                if wait == 0 {
                    self.step(&name, Message::Tick);
                }
                self.schedule(wait.max(TICK), Event::Tick { name, epoch });
            },
            // The event is for an earlier process of the instance.
            Event::PerformStores { .. }
            | Event::Snapshot { .. }
            | Event::Start { .. }
            | Event::Tick { .. } => {},
        }
    }

    fn instance(&mut self, name: &Name) -> &mut Instance {
        match self.instances.get_mut(name) {
            Some(instance) => instance,
            None => panic!("no instance {name}"),
        }
    }

    fn pause_left(&self, name: &Name) -> Option<u64> {
        let left = self.instances[name].paused_until.saturating_sub(self.now);
        (left > 0).then_some(left)
    }

    /// Starts the process of an instance from its disk.
    fn start(&mut self, name: &Name) {
        let (now, seed) = (self.now, self.draw(u64::MAX));
        let names = self.names.clone();
        let instance = self.instance(name);
        instance.disk.set_limit(None);
        instance.disk.fail_after(u64::MAX);
        instance.epoch += 1;
        let epoch = instance.epoch;
        let new = Replica { name: name.clone(), identity: seed.max(1) };
        let (storage, recovered) = match Storage::open(instance.disk.disk(), new) {
            Ok(opened) => opened,
            Err(error) => panic!("{name} can't start: {error}"),
        };
        let torn = recovered.torn.is_some();
        let settings = Settings { name: name.clone(), founders: names, seed, target_voters: None };
        let local = Moment::micros(now / 1_000 * instance.rate / 1_000);
        let durable = DurableLog::new(&recovered);
        instance.process = Some(Process {
            agreement: Agreement::new(settings, recovered, local),
            storage,
            durable,
            stores: Vec::new(),
            machine: StateMachine::default(),
            snapshot_count: 0,
        });
        self.report.torn += u64::from(torn);
        let name = name.clone();
        self.schedule(0, Event::Tick { name, epoch });
    }

    /// Ends the process of an instance, which may lose unsynced data, and starts it after `down`.
    fn crash(&mut self, name: &Name, down: u64) {
        let mut random = self.draw(u64::MAX);
        let instance = self.instance(name);
        instance.process = None;
        instance.paused_until = 0;
        instance.epoch += 1;
        instance.disk.crash(&mut random);
        let epoch = instance.epoch;
        let name = name.clone();
        self.report.crashes += 1;
        self.schedule(down, Event::Start { name, epoch });
    }

    /// Passes a message to the process of an instance and performs the effects.
    fn step(&mut self, name: &Name, message: Message) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push_back(format!("{now} us, {name}: {message:?}"));
            if trace.len() > TRACE_KEPT {
                trace.pop_front();
            }
        }
        let instance = self.instance(name);
        let local = Moment::micros(now / 1_000 * instance.rate / 1_000);
        let Some(process) = &mut instance.process else {
            return;
        };
        let effects = process.agreement.step(local, message);
        let leading = process.agreement.leading();
        let me = process.agreement.me().clone();
        self.report.steps += 1;
        if let Some(term) = leading {
            let leader = self.leaders.entry(term).or_insert_with(|| me.clone());
            invariant!(*leader == me, "{leader:?} and {me:?} lead term {term}");
        }
        for effect in effects {
            self.perform(name, effect);
        }
    }

    fn perform(&mut self, name: &Name, effect: Effect) {
        match effect {
            Effect::Commit { index, ticket, command } => self.commit(name, index, ticket, &command),
            Effect::Install { state, .. } => {
                let machine = StateMachine::decode(&state);
                invariant!(
                    state.is_empty() || machine.encode() == state,
                    "{name} got a damaged snapshot"
                );
                self.check_chain(machine);
                self.report.installs += 1;
                if let Some(process) = &mut self.instance(name).process {
                    process.machine = machine;
                    process.snapshot_count = machine.count;
                }
            },
            Effect::Members { index, members, .. } if index > self.members.0 => {
                self.members = (index, members);
            },
            Effect::ReadReady { ticket, index } => {
                let machine = self.machine(name);
                let floor = self.floors.remove(&ticket).unwrap_or(0);
                invariant!(
                    machine.index >= floor && index >= floor,
                    "read {ticket} at {name} answered at index {}, read index {index}, after an \
                     answer at {floor}",
                    machine.index
                );
                self.floor = self.floor.max(machine.index);
                self.report.reads += 1;
            },
            Effect::Reject { ticket, reason } => {
                self.floors.remove(&ticket);
                if reason.verdict() == Verdict::NotRun {
                    self.refused.insert(ticket);
                    self.report.refused += 1;
                } else {
                    self.report.unknown += 1;
                }
            },
            Effect::Send { to, body } => {
                if let Some(process) = &self.instances[name].process {
                    process.durable.check_acknowledged(&process.agreement, &body.body);
                }
                self.transmit(to, body);
            },
            Effect::Store { seq, store } => {
                let wait = 200 + self.draw(4 * MILLI);
                let now = self.now;
                let instance = self.instance(name);
                let wait = wait + instance.stalled_until.saturating_sub(now);
                let epoch = instance.epoch;
                if let Some(process) = &mut instance.process {
                    process.stores.push((seq, store));
                    if process.stores.len() == 1 {
                        let name = name.clone();
                        self.schedule(wait, Event::PerformStores { name, epoch });
                    }
                }
            },
            // In this run disks lose no synced data, except those of replaced instances.
            Effect::Report(Report::Loss { name, index }) => {
                let states = self.dump();
                invariant!(false, "{name} is reported to have lost entry {index}: {states}");
            },
            Effect::Report(Report::InvalidMessage { name, reason }) => {
                let states = self.dump();
                invariant!(false, "a message of {name} is refused, {reason}: {states}");
            },
            Effect::Members { .. } | Effect::Report(_) | Effect::Role { .. } => {},
        }
    }

    fn machine(&self, name: &Name) -> StateMachine {
        let process = self.instances[name].process.as_ref();
        process.map(|p| p.machine).unwrap_or_default()
    }

    fn check_chain(&mut self, machine: StateMachine) {
        if machine.index > 0 {
            let chain = *self.chains.entry(machine.index).or_insert(machine.chain);
            let index = machine.index;
            invariant!(chain == machine.chain, "applied commands differ at index {index}");
        }
    }

    fn commit(&mut self, name: &Name, index: u64, ticket: Option<u64>, command: &Bytes) {
        let Some(process) = &mut self.instance(name).process else {
            return;
        };
        process.machine.apply(index, command);
        let machine = process.machine;
        let snapshot = machine.count >= process.snapshot_count + SNAPSHOT_COMMANDS;
        if snapshot {
            process.snapshot_count = machine.count;
        }
        self.check_chain(machine);
        let proposed = command.get(..8).and_then(|bytes| bytes.try_into().ok());
        let proposed = proposed.map_or(0, u64::from_le_bytes);
        invariant!(
            !self.refused.contains(&proposed),
            "command {proposed} committed, but refused as not run before"
        );
        if let Some(ticket) = ticket {
            invariant!(ticket == proposed, "command {proposed} acknowledged with ticket {ticket}");
            self.floor = self.floor.max(index);
            self.floors.remove(&ticket);
            self.report.acknowledged += 1;
        }
        if snapshot {
            let (name, epoch) = (name.clone(), self.instances[name].epoch);
            let event = Event::Snapshot { name, epoch, machine };
            self.schedule(0, event);
        }
    }

    fn transmit(&mut self, to: Name, message: PeerMessage) {
        let copies = match self.draw(1_000) {
            n if n < self.loss => 0,
            n if n < self.loss + self.repeat => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = 200 + self.draw(self.delay);
            let (to, message) = (to.clone(), message.clone());
            self.schedule(delay, Event::Deliver { to, message });
        }
    }

    /// Performs the queued `Store` effects. Some failures crash the process.
    fn perform_stores(&mut self, name: &Name) {
        if let Some(wait) = self.pause_left(name) {
            let (epoch, name) = (self.instances[name].epoch, name.clone());
            return self.schedule(wait, Event::PerformStores { name, epoch });
        }
        let Some(process) = &mut self.instance(name).process else {
            return;
        };
        let stores = std::mem::take(&mut process.stores);
        for (seq, store) in stores {
            let crashes = self.draw(4) == 0;
            let Some(process) = &mut self.instance(name).process else {
                return;
            };
            let Some(answer) = process.storage.answer(seq, &store) else {
                continue;
            };
            match &answer {
                Message::Reopened(recovered) => {
                    process.durable.check_reopened(recovered);
                    process.durable = DurableLog::new(recovered);
                    self.report.reopened += 1;
                },
                Message::StoreFailed { .. } if crashes => {
                    let down = 10 * MILLI + self.draw(2 * SECOND);
                    return self.crash(name, down);
                },
                Message::StoreFailed { .. } => {},
                _ => process.durable.perform(&store),
            }
            self.step(name, answer);
        }
    }
}
