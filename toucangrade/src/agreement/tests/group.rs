//! A group of instances over fake disks and a wire that delivers at once, driven by a script.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::agreement::fake_disk::FakeDisk;
use crate::agreement::message::{Change, Report};
use crate::agreement::storage::Storage;
use crate::agreement::*;
use crate::core::{Moment, Name, Verdict};

pub(super) const GROUP: [&str; 3] = ["a", "b", "c"];
/// The founders, and an instance that a script may start later.
const INSTANCES: [&str; 4] = ["a", "b", "c", "d"];

/// Step of a script: something that happens, or something that must hold.
#[derive(Clone, Copy, Debug)]
pub(super) enum Do {
    Add(&'static str),
    Crash(&'static str),
    /// Cuts the instance off from all others, silently.
    Cut(&'static str),
    /// Fails the next write halfway.
    Fail(&'static str),
    /// Leaves the disk room for this many more bytes.
    Full(&'static str, usize),
    Heal(&'static str),
    /// The instance asks the leader to take it in.
    Join(&'static str),
    /// Delays all `Store` effects of the instance until `Release`.
    Hold(&'static str),
    /// Moves the instance's clock ahead by milliseconds.
    Jump(&'static str, u64),
    /// Loses, repeats and reorders messages at random.
    Noise(bool),
    Propose(&'static str, u64),
    /// Proposes this many commands with tickets from 1,000 on.
    ProposeMany(&'static str, u64),
    ProposeToLeader(u64),
    Read(&'static str, u64),
    Release(&'static str),
    Remove(&'static str),
    /// Lets milliseconds pass.
    Run(u64),
    /// Takes a snapshot that is padded by this many bytes.
    Snapshot(&'static str, usize),
    Start(&'static str),
    /// Ends the process; what it wrote stays.
    Stop(&'static str),
    /// Removes bytes at the end of the last log file.
    Tear(&'static str, usize),
    Transfer(&'static str, &'static str),
    /// Number of voters above which silent ones are removed.
    Voters(usize),
    /// Loses all files of the stopped instance.
    Wipe(&'static str),

    Acknowledged(u64),
    /// The state machine of the instance has, or does not have, the command.
    Has(&'static str, u64, bool),
    Installed(&'static str),
    Leads(&'static str, bool),
    NoLeader,
    NoLossReported,
    OneLeader,
    Open(u64),
    ReadDone(u64, bool),
    Refused(u64, Verdict),
    /// Some instance reported a wrong identity.
    Reported,
    /// The leader reported a member that lost acknowledged entries.
    ReportedLoss,
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
    held: bool,
    cut: bool,
    ahead: u64,
}

#[derive(Debug)]
enum Outcome {
    Acknowledged,
    Open,
    Read,
    Refused(Rejection),
}

pub(super) struct Group {
    now: u64,
    members: BTreeMap<Name, Member>,
    wire: VecDeque<(Name, PeerMessage)>,
    outcomes: BTreeMap<u64, Outcome>,
    reported: bool,
    lost: bool,
    noise: bool,
    random: u64,
    term: u64,
    change: u64,
}

pub(super) fn name(value: &str) -> Name {
    Name::new(value).expect("valid name")
}

impl Group {
    /// A group of three that `a` leads.
    pub(super) fn new() -> Self {
        let member = |n: &&str| {
            let member = Member {
                disk: FakeDisk::default(),
                running: None,
                held: false,
                cut: false,
                ahead: 0,
            };
            (name(n), member)
        };
        let mut group = Self {
            now: 0,
            members: INSTANCES.iter().map(member).collect(),
            wire: VecDeque::new(),
            outcomes: BTreeMap::new(),
            reported: false,
            lost: false,
            noise: false,
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
        group.check(Do::Leads("a", true));
        group.term = group.running("a").agreement.term;
        group
    }

    pub(super) fn perform(&mut self, step: Do) {
        match step {
            Do::Add(n) => {
                let replica = self.running(n).agreement.me().clone();
                self.change(Change::Add(replica));
            },
            Do::Crash(n) => {
                let mut random = self.random;
                let member = self.member(n);
                (member.running, member.held) = (None, false);
                member.disk.crash(&mut random);
                self.random = random;
            },
            Do::Cut(n) => self.member(n).cut = true,
            Do::Fail(n) => self.member(n).disk.set_fuse(0),
            Do::Full(n, room) => {
                let used: usize = self.member(n).disk.sizes().values().sum();
                self.member(n).disk.set_limit(Some(used + room));
            },
            Do::Join(n) => {
                let replica = self.running(n).agreement.me().clone();
                for leader in self.leaders() {
                    self.step(&leader, Message::Join(replica.clone()));
                }
                self.deliver();
            },
            Do::Voters(voters) => {
                for member in self.members.values_mut() {
                    if let Some(running) = &mut member.running {
                        running.agreement.voters = Some(voters);
                    }
                }
            },
            Do::Heal(n) => self.member(n).cut = false,
            Do::Hold(n) => self.member(n).held = true,
            Do::Jump(n, millis) => self.member(n).ahead += millis * 1_000,
            Do::Noise(noise) => self.noise = noise,
            Do::Propose(n, ticket) => self.propose(&name(n), ticket),
            Do::ProposeMany(n, count) => {
                (1_000..1_000 + count).for_each(|ticket| self.propose(&name(n), ticket));
            },
            Do::ProposeToLeader(ticket) => {
                let leader = self.leaders().pop().expect("a leader");
                self.propose(&leader, ticket);
            },
            Do::Read(n, ticket) => {
                self.outcomes.insert(ticket, Outcome::Open);
                self.step(&name(n), Message::Read { ticket });
            },
            Do::Release(n) => {
                let member = self.member(n);
                member.held = false;
                let stores = std::mem::take(&mut self.running(n).stores);
                for (seq, store) in stores {
                    self.save(&name(n), seq, &store);
                }
            },
            Do::Remove(n) => self.change(Change::Remove(name(n))),
            Do::Run(millis) => self.run(millis),
            Do::Snapshot(n, padding) => self.snapshot(n, padding),
            Do::Start(n) => self.start(n),
            Do::Stop(n) => self.member(n).running = None,
            Do::Tear(n, bytes) => {
                let disk = self.member(n).disk.clone();
                let mut names = disk.sizes().into_keys().filter(|f| f.starts_with("log-"));
                disk.tear(&names.next_back().expect("a log file"), bytes);
            },
            Do::Transfer(n, to) => self.step(&name(n), Message::Transfer { to: Some(name(to)) }),
            Do::Wipe(n) => self.member(n).disk.wipe(),
            check => self.check(check),
        }
        if !matches!(step, Do::Cut(_) | Do::Jump(..)) {
            self.deliver();
        }
    }

    fn check(&mut self, step: Do) {
        let holds = match step {
            Do::Acknowledged(ticket) => matches!(self.outcomes[&ticket], Outcome::Acknowledged),
            Do::Has(n, ticket, has) => self.running(n).machine.contains(&ticket) == has,
            Do::Installed(n) => self.running(n).installs > 0,
            Do::Leads(n, leads) => self.leaders().contains(&name(n)) == leads,
            Do::NoLeader => self.leaders().is_empty(),
            Do::NoLossReported => !self.lost,
            Do::OneLeader => self.leaders().len() == 1,
            Do::Open(ticket) => matches!(self.outcomes[&ticket], Outcome::Open),
            Do::ReadDone(ticket, done) => matches!(self.outcomes[&ticket], Outcome::Read) == done,
            Do::Refused(ticket, verdict) => {
                matches!(&self.outcomes[&ticket], Outcome::Refused(r) if r.verdict() == verdict)
            },
            Do::Reported => self.reported,
            Do::ReportedLoss => self.lost,
            Do::SameTerm => GROUP.iter().all(|n| self.running(n).agreement.term == self.term),
            Do::Torn(n) => self.running(n).torn,
            Do::Voter(n, voter) => {
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
        self.outcomes.insert(ticket, Outcome::Open);
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
        member.disk.set_fuse(u64::MAX);
        let new = Replica { name: name(n), identity };
        let (storage, recovered) = Storage::open(member.disk.disk(), new).expect("opens");
        let torn = recovered.torn.is_some();
        let founders = if GROUP.contains(&n) { GROUP.map(name).to_vec() } else { Vec::new() };
        let settings = Settings { name: name(n), founders, seed: identity, voters: None };
        let now = Moment::micros(now + member.ahead);
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
            let position = if self.noise {
                next_random(&mut self.random) as usize % self.wire.len().max(1)
            } else {
                0
            };
            let Some((to, message)) = self.wire.remove(position) else {
                return;
            };
            if self.noise {
                match next_random(&mut self.random) % 10 {
                    0 | 1 => continue,
                    2 | 3 => self.wire.push_back((to.clone(), message.clone())),
                    _ => {},
                }
            }
            if !self.members[&to].cut && !self.members[&message.from.name].cut {
                self.step(&to, Message::Peer(message));
            }
        }
        panic!("messages without end");
    }

    fn step(&mut self, n: &Name, message: Message) {
        let now = self.now;
        let member = self.member(n.as_str());
        let now = Moment::micros(now + member.ahead);
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
                self.reported |= matches!(report, Report::Identity { .. });
                self.lost |= matches!(report, Report::Loss { .. });
            },
            Effect::Send { to, body } => self.wire.push_back((to, body)),
            Effect::Store { seq, store } => {
                if self.members[n].held {
                    self.running(n.as_str()).stores.push((seq, store));
                } else {
                    self.save(n, seq, &store);
                }
            },
            Effect::Members { .. } | Effect::Role { .. } => {},
        }
    }

    fn save(&mut self, n: &Name, seq: u64, store: &Store) {
        let message = match self.running(n.as_str()).storage.perform(store) {
            Ok(()) => Message::Synced { upto: seq },
            Err(error) => Message::StoreFailed { reason: error.to_string() },
        };
        self.step(n, message);
    }
}
