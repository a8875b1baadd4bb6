//! Test harness: a group of instances with fake disks and a network that delivers immediately,
//! driven by a script.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::agreement::fake_disk::FakeDisk;
use crate::agreement::message::{Change, Report};
use crate::agreement::storage::Storage;
use crate::agreement::*;
use crate::core::{Moment, Name, Verdict};

pub(super) const GROUP: [&str; 3] = ["a", "b", "c"];
/// The founders, and an instance that a script may add later.
const INSTANCES: [&str; 4] = ["a", "b", "c", "d"];

/// Step of a script: an action, or a check of the resulting state.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Add(&'static str),
    Crash(&'static str),
    /// Drops all messages from and to the instance, without an error at the sender.
    Isolate(&'static str),
    /// Fails the next write after half of its data.
    FailWrite(&'static str),
    /// Leaves space for this many more bytes on the disk.
    LimitDisk(&'static str, usize),
    /// Ends `FailWrite` and `LimitDisk`.
    FreeDisk(&'static str),
    Heal(&'static str),
    /// Sends the leader the instance's request to join.
    Join(&'static str),
    /// Sends the leader the instance's announcement that it stops.
    Leave(&'static str),
    /// Delays all `Store` effects of the instance until `ReleaseStores`.
    HoldStores(&'static str),
    /// Moves the instance's clock ahead by this many milliseconds.
    AdvanceClock(&'static str, u64),
    /// Turns random loss, repetition and reordering of messages on or off.
    LossyNetwork(bool),
    Propose(&'static str, u64),
    /// Proposes this many commands with tickets from 1,000 on.
    ProposeMany(&'static str, u64),
    ProposeToLeader(u64),
    Read(&'static str, u64),
    ReleaseStores(&'static str),
    Remove(&'static str),
    /// Lets this many milliseconds pass.
    Run(u64),
    /// Takes a snapshot, padded by this many bytes.
    Snapshot(&'static str, usize),
    Start(&'static str),
    /// Ends the process without loss of unsynced data.
    Stop(&'static str),
    /// Removes this many bytes at the end of the last log file.
    TruncateLog(&'static str, usize),
    Transfer(&'static str, &'static str),
    /// Sets `Settings::target_voters` of all running instances.
    Voters(usize),
    /// Removes all files of the stopped instance.
    Wipe(&'static str),

    Acknowledged(u64),
    /// Whether the state machine of the instance has applied the command.
    Has(&'static str, u64, bool),
    Installed(&'static str),
    Leads(&'static str, bool),
    NoLeader,
    NoLossReported,
    OneLeader,
    Pending(u64),
    ReadDone(u64, bool),
    Refused(u64, Verdict),
    /// An instance reported a message with a wrong identity.
    IdentityReported,
    /// The leader reported that a member lost acknowledged entries.
    LossReported,
    SameTerm,
    Torn(&'static str),
    Voter(&'static str, bool),
}

struct Running {
    agreement: Agreement,
    storage: Storage,
    stores: Vec<(u64, Store)>,
    machine: Vec<u64>,
    torn: bool,
    installs: u32,
}

struct Member {
    disk: FakeDisk,
    running: Option<Running>,
    stores_held: bool,
    isolated: bool,
    /// Time in microseconds by which the instance's clock is ahead.
    clock_offset: u64,
}

#[derive(Debug)]
enum Outcome {
    Acknowledged,
    Pending,
    Read,
    Refused(Rejection),
}

pub(super) struct Group {
    now: u64,
    members: BTreeMap<Name, Member>,
    network: VecDeque<(Name, PeerMessage)>,
    outcomes: BTreeMap<u64, Outcome>,
    identity_reported: bool,
    loss_reported: bool,
    lossy: bool,
    random: u64,
    term: u64,
    change: u64,
}

pub(super) fn name(value: &str) -> Name {
    Name::new(value).expect("valid name")
}

impl Group {
    /// Starts a group of three and transfers leadership to `a`.
    pub(super) fn new() -> Self {
        let member = |n: &&str| {
            let member = Member {
                disk: FakeDisk::default(),
                running: None,
                stores_held: false,
                isolated: false,
                clock_offset: 0,
            };
            (name(n), member)
        };
        let mut group = Self {
            now: 0,
            members: INSTANCES.iter().map(member).collect(),
            network: VecDeque::new(),
            outcomes: BTreeMap::new(),
            identity_reported: false,
            loss_reported: false,
            lossy: false,
            random: 7,
            term: 0,
            change: 1 << 40,
        };
        for n in GROUP {
            group.start(n);
        }
        group.run(3_000);
        for n in ["b", "c"] {
            group.step(&name(n), Message::Transfer { to: Some(name("a")) });
        }
        group.run(500);
        group.check(Step::Leads("a", true));
        group.term = group.running("a").agreement.term;
        group
    }

    pub(super) fn perform(&mut self, step: Step) {
        match step {
            Step::Add(n) => {
                let replica = self.running(n).agreement.me().clone();
                self.change(Change::Add(replica));
            },
            Step::Crash(n) => {
                let mut random = self.random;
                let member = self.member(n);
                (member.running, member.stores_held) = (None, false);
                member.disk.crash(&mut random);
                self.random = random;
            },
            Step::Isolate(n) => self.member(n).isolated = true,
            Step::FailWrite(n) => self.member(n).disk.fail_after(0),
            Step::LimitDisk(n, room) => {
                let used: usize = self.member(n).disk.sizes().values().sum();
                self.member(n).disk.set_limit(Some(used + room));
            },
            Step::Join(n) => {
                let replica = self.running(n).agreement.me().clone();
                for leader in self.leaders() {
                    self.step(&leader, Message::Join(replica.clone()));
                }
                self.deliver();
            },
            Step::Leave(n) => {
                let replica = self.running(n).agreement.me().clone();
                for leader in self.leaders() {
                    self.step(&leader, Message::Leave(replica.clone()));
                }
                self.deliver();
            },
            Step::Voters(voters) => {
                for member in self.members.values_mut() {
                    if let Some(running) = &mut member.running {
                        running.agreement.target_voters = Some(voters);
                    }
                }
            },
            Step::FreeDisk(n) => {
                self.member(n).disk.set_limit(None);
                self.member(n).disk.fail_after(u64::MAX);
            },
            Step::Heal(n) => self.member(n).isolated = false,
            Step::HoldStores(n) => self.member(n).stores_held = true,
            Step::AdvanceClock(n, millis) => self.member(n).clock_offset += millis * 1_000,
            Step::LossyNetwork(lossy) => self.lossy = lossy,
            Step::Propose(n, ticket) => self.propose(&name(n), ticket),
            Step::ProposeMany(n, count) => {
                (1_000..1_000 + count).for_each(|ticket| self.propose(&name(n), ticket));
            },
            Step::ProposeToLeader(ticket) => {
                let leader = self.leaders().pop().expect("a leader");
                self.propose(&leader, ticket);
            },
            Step::Read(n, ticket) => {
                self.outcomes.insert(ticket, Outcome::Pending);
                self.step(&name(n), Message::Read { ticket });
            },
            Step::ReleaseStores(n) => {
                let member = self.member(n);
                member.stores_held = false;
                let stores = std::mem::take(&mut self.running(n).stores);
                for (seq, store) in stores {
                    self.perform_store(&name(n), seq, &store);
                }
            },
            Step::Remove(n) => self.change(Change::Remove(name(n))),
            Step::Run(millis) => self.run(millis),
            Step::Snapshot(n, padding) => self.snapshot(n, padding),
            Step::Start(n) => self.start(n),
            Step::Stop(n) => self.member(n).running = None,
            Step::TruncateLog(n, bytes) => {
                let disk = self.member(n).disk.clone();
                let mut names = disk.sizes().into_keys().filter(|f| f.starts_with("log-"));
                disk.tear(&names.next_back().expect("a log file"), bytes);
            },
            Step::Transfer(n, to) => self.step(&name(n), Message::Transfer { to: Some(name(to)) }),
            Step::Wipe(n) => self.member(n).disk.wipe(),
            check => self.check(check),
        }
        if !matches!(step, Step::Isolate(_) | Step::AdvanceClock(..)) {
            self.deliver();
        }
    }

    fn check(&mut self, step: Step) {
        let holds = match step {
            Step::Acknowledged(ticket) => matches!(self.outcomes[&ticket], Outcome::Acknowledged),
            Step::Has(n, ticket, has) => self.running(n).machine.contains(&ticket) == has,
            Step::Installed(n) => self.running(n).installs > 0,
            Step::Leads(n, leads) => self.leaders().contains(&name(n)) == leads,
            Step::NoLeader => self.leaders().is_empty(),
            Step::NoLossReported => !self.loss_reported,
            Step::OneLeader => self.leaders().len() == 1,
            Step::Pending(ticket) => matches!(self.outcomes[&ticket], Outcome::Pending),
            Step::ReadDone(ticket, done) => matches!(self.outcomes[&ticket], Outcome::Read) == done,
            Step::Refused(ticket, verdict) => {
                matches!(&self.outcomes[&ticket], Outcome::Refused(r) if r.verdict() == verdict)
            },
            Step::IdentityReported => self.identity_reported,
            Step::LossReported => self.loss_reported,
            Step::SameTerm => GROUP.iter().all(|n| self.running(n).agreement.term == self.term),
            Step::Torn(n) => self.running(n).torn,
            Step::Voter(n, voter) => {
                let leader = self.leaders().pop().expect("a leader");
                let members = self.running(leader.as_str()).agreement.members();
                members.get(&name(n)).is_some_and(|m| m.voter) == voter
            },
            _ => panic!("{step:?} is not a check"),
        };
        assert!(holds, "{step:?} does not hold, states {}", self.states());
    }

    fn states(&self) -> String {
        let running = self.members.values().filter_map(|m| m.running.as_ref());
        let state = |r: &Running| serde_json::to_string(&r.agreement).expect("JSON");
        running.map(state).collect::<Vec<_>>().join("\n")
    }

    fn member(&mut self, n: &str) -> &mut Member {
        self.members.get_mut(n).expect("known name")
    }

    fn running(&mut self, n: &str) -> &mut Running {
        self.member(n).running.as_mut().expect("running")
    }

    fn leaders(&self) -> Vec<Name> {
        let leads =
            |m: &Member| m.running.as_ref().is_some_and(|r| r.agreement.leading().is_some());
        let leaders = self.members.iter().filter(|(_, m)| leads(m));
        leaders.map(|(name, _)| name.clone()).collect()
    }

    fn change(&mut self, change: Change) {
        self.change += 1;
        let ticket = self.change;
        let leader = self.leaders().pop().expect("a leader");
        self.step(&leader, Message::Change { ticket, change });
    }

    fn propose(&mut self, n: &Name, ticket: u64) {
        self.outcomes.insert(ticket, Outcome::Pending);
        let command = Bytes::copy_from_slice(&ticket.to_le_bytes());
        self.step(n, Message::Propose { ticket, command });
    }

    fn snapshot(&mut self, n: &str, padding: usize) {
        let running = self.running(n);
        let index = running.agreement.applied;
        let mut state = (running.machine.len() as u64).to_le_bytes().to_vec();
        state.extend(running.machine.iter().flat_map(|t| t.to_le_bytes()));
        state.resize(state.len() + padding, 0);
        let state = state.into();
        self.step(&name(n), Message::SnapshotTaken { index, state });
    }

    fn start(&mut self, n: &str) {
        let now = self.now;
        let identity = next_random(&mut self.random);
        let member = self.members.get_mut(n).expect("known name");
        member.disk.set_limit(None);
        member.disk.fail_after(u64::MAX);
        let new = Replica { name: name(n), identity };
        let (storage, recovered) = Storage::open(member.disk.disk(), new).expect("opens");
        let torn = recovered.torn.is_some();
        let founders = if GROUP.contains(&n) { GROUP.map(name).to_vec() } else { Vec::new() };
        let settings = Settings { name: name(n), founders, seed: identity, target_voters: None };
        let now = Moment::micros(now + member.clock_offset);
        member.running = Some(Running {
            agreement: Agreement::new(settings, recovered, now),
            storage,
            stores: Vec::new(),
            machine: Vec::new(),
            torn,
            installs: 0,
        });
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += 10_000;
            for n in INSTANCES {
                self.step(&name(n), Message::Tick);
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        for _ in 0..1_000_000 {
            let position = if self.lossy {
                next_random(&mut self.random) as usize % self.network.len().max(1)
            } else {
                0
            };
            let Some((to, message)) = self.network.remove(position) else {
                return;
            };
            if self.lossy {
                match next_random(&mut self.random) % 10 {
                    0 | 1 => continue,
                    2 | 3 => self.network.push_back((to.clone(), message.clone())),
                    _ => {},
                }
            }
            if !self.members[&to].isolated && !self.members[&message.from.name].isolated {
                self.step(&to, Message::Peer(message));
            }
        }
        panic!("messages don't end");
    }

    fn step(&mut self, n: &Name, message: Message) {
        let now = self.now;
        let member = self.member(n.as_str());
        let now = Moment::micros(now + member.clock_offset);
        let Some(running) = &mut member.running else {
            return;
        };
        for effect in running.agreement.step(now, message) {
            self.effect(n, effect);
        }
    }

    fn effect(&mut self, n: &Name, effect: Effect) {
        match effect {
            Effect::Commit { ticket, command, .. } => {
                let bytes = command[..8].try_into().expect("8 bytes");
                self.running(n.as_str()).machine.push(u64::from_le_bytes(bytes));
                if let Some(ticket) = ticket {
                    self.outcomes.insert(ticket, Outcome::Acknowledged);
                }
            },
            Effect::Install { state, .. } => {
                let words: Vec<u64> = state
                    .chunks_exact(8)
                    .map(|word| u64::from_le_bytes(word.try_into().expect("8 bytes")))
                    .collect();
                let count = words.first().copied().unwrap_or(0) as usize;
                let running = self.running(n.as_str());
                running.machine = words.into_iter().skip(1).take(count).collect();
                running.installs += u32::from(count > 0);
            },
            Effect::ReadReady { ticket, .. } => {
                self.outcomes.insert(ticket, Outcome::Read);
            },
            Effect::Reject { ticket, reason } => {
                self.outcomes.insert(ticket, Outcome::Refused(reason));
            },
            Effect::Report(report) => {
                self.identity_reported |= matches!(report, Report::Identity { .. });
                self.loss_reported |= matches!(report, Report::Loss { .. });
            },
            Effect::Send { to, body } => self.network.push_back((to, body)),
            Effect::Store { seq, store } => {
                if self.members[n].stores_held {
                    self.running(n.as_str()).stores.push((seq, store));
                } else {
                    self.perform_store(n, seq, &store);
                }
            },
            Effect::Members { .. } | Effect::Role { .. } => {},
        }
    }

    fn perform_store(&mut self, n: &Name, seq: u64, store: &Store) {
        if let Some(message) = self.running(n.as_str()).storage.answer(seq, store) {
            self.step(n, message);
        }
    }
}
