//! Replicated state machine of the control processes: resources, partition owners, claims, runs and
//! the planner's summary. Applies the committed commands of the log in order.

mod message;

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub(crate) use self::message::{Command, Effect, Message, Query, Reply};
use crate::claims::Claims;
use crate::core::{Moment, Name, Span};
use crate::learned::Learned;
use crate::membership::Config;
use crate::partitions::Partitions;
use crate::resources::{Collection, Resources, Spec};
use crate::runs::{JobRecords, Phase};
use crate::scheduling;

/// Number of log entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 5_000;

/// Replicated state: identical on all replicas at the same log index.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Machine {
    index: u64,
    resources: Resources,
    partitions: Partitions,
    claims: Claims,
    runs: JobRecords,
    /// Missing in snapshots of earlier versions.
    #[serde(default)]
    learned: Learned,
}

impl Machine {
    /// Submits or cancels the run of a job or watch after a write, and returns the message for the
    /// scheduling duty, if any.
    fn update_run(
        &mut self,
        index: u64,
        collection: Collection,
        name: &Name,
        spec: Option<&Spec>,
    ) -> Option<scheduling::Message> {
        if !matches!(collection, Collection::Jobs | Collection::Watches) {
            return None;
        }
        let Some(spec) = spec else {
            return self
                .runs
                .cancel(index, name)
                .then(|| scheduling::Message::Cancel(name.clone()));
        };
        let spec = spec.planned(name)?;
        self.runs.submit(index, spec);
        // A job whose name was used before is not run again. The change of the write then contains
        // the state of the earlier run.
        self.record_step(index, name);
        let run = self.runs.get(name).filter(|run| run.outcome.is_none())?;
        Some(scheduling::Message::Submit(run.clone()))
    }

    fn phase(&self, name: &Name) -> Option<Phase> {
        self.runs.get(name).map(|run| run.step().phase)
    }

    /// Records the current state of a job or watch as a change for watch streams.
    fn record_step(&mut self, index: u64, name: &Name) {
        let Some(run) = self.runs.get(name) else { return };
        let collection = if run.spec.standing { Collection::Watches } else { Collection::Jobs };
        self.resources.record_step(index, collection, name, run.step());
    }
}

/// State of the duty: the replicated state machine and local bookkeeping.
#[derive(Debug, Default, Serialize)]
pub(crate) struct State {
    machine: Machine,
    /// Log index of the newest snapshot.
    snapshot: u64,
    leading: bool,
    /// Time at which this replica applied or installed the current summary of the planner.
    ///
    /// Replicas have no common clock, so each one measures the age with its own clock. After a
    /// restart, an instance measures it from the restart.
    learned_at: Moment,
    /// Age of the summary at the last tick, for the state dump.
    learned_age: Span,
    /// Upper bound of the summary's encoded size in bytes at the last tick, for the state dump.
    learned_bytes: usize,
}

impl State {
    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Apply { index, ticket, command } => self.apply(now, index, ticket, command),
            Message::Install { index, machine } => self.install(now, index, *machine),
            Message::Lead { leading } => self.lead(now, leading),
            Message::Query { ticket, query } => {
                vec![Effect::Reply { ticket, reply: self.query(query) }]
            },
            Message::Tick => {
                self.update_summary_stats(now);
                Vec::new()
            },
        }
    }

    fn apply(
        &mut self,
        now: Moment,
        index: u64,
        ticket: Option<u64>,
        command: Command,
    ) -> Vec<Effect> {
        let machine = &mut self.machine;
        machine.index = index;
        let mut effects = Vec::new();
        let reply = match command {
            Command::Claim(command) => {
                let epoch = machine.partitions.epoch(command.partition);
                Reply::Claimed(machine.claims.apply(index, epoch, command))
            },
            Command::Learned(summary) => {
                if machine.learned.apply(index, summary.clone()) {
                    self.learned_at = now;
                    let message = scheduling::Message::Learned(summary);
                    effects.extend(self.leading.then_some(Effect::Schedule(message)));
                }
                Reply::Learned
            },
            Command::Partition(command) => {
                machine.partitions.apply(&command);
                effects.push(Effect::Partitions(machine.partitions.clone()));
                Reply::Granted
            },
            Command::Run(decision) => {
                let before = machine.phase(decision.job());
                let accepted = machine.runs.apply(index, &decision);
                if accepted {
                    // An assignment alone changes nothing for a job that waits.
                    if machine.phase(decision.job()) != before {
                        machine.record_step(index, decision.job());
                        effects.push(Effect::Changed { revision: index });
                    }
                    if let Some((number, body)) = machine.runs.record(&decision) {
                        effects.push(Effect::Note { number, body });
                    }
                }
                if self.leading {
                    let decided = scheduling::Message::Decided { decision, accepted };
                    effects.push(Effect::Schedule(decided));
                }
                Reply::Decided
            },
            Command::Resource(command) => {
                let before = machine.resources.revision();
                let (collection, name) = (command.collection, command.name.clone());
                let spec = command.spec.clone();
                let reply = machine.resources.apply(index, command);
                if machine.resources.revision() != before {
                    let message = machine.update_run(index, collection, &name, spec.as_ref());
                    effects.extend(message.filter(|_| self.leading).map(Effect::Schedule));
                    effects.push(Effect::Changed { revision: index });
                    effects.push(Effect::Configure(self.config()));
                }
                Reply::Written(reply)
            },
        };
        effects.extend(ticket.map(|ticket| Effect::Reply { ticket, reply }));
        if index >= self.snapshot + SNAPSHOT_EVERY {
            self.snapshot = index;
            let machine = Box::new(self.machine.clone());
            effects.push(Effect::Snapshot { index, machine });
        }
        effects
    }

    /// On a change of leadership, informs the scheduling duty. A new leader gets the open runs and
    /// the planner's summary with its age.
    fn lead(&mut self, now: Moment, leading: bool) -> Vec<Effect> {
        if leading == self.leading {
            return Vec::new();
        }
        self.leading = leading;
        let message = if leading {
            let age = now.since(self.learned_at);
            let learned = self.machine.learned.summary().map(|summary| (summary.clone(), age));
            let runs = self.machine.runs.open().cloned().collect();
            scheduling::Message::Lead { learned, runs }
        } else {
            scheduling::Message::Follow
        };
        vec![Effect::Schedule(message)]
    }

    /// Updates the age and size of the summary for the state dump.
    fn update_summary_stats(&mut self, now: Moment) {
        if let Some(summary) = self.machine.learned.summary() {
            (self.learned_age, self.learned_bytes) = (now.since(self.learned_at), summary.bytes());
        }
    }

    fn install(&mut self, now: Moment, index: u64, machine: Machine) -> Vec<Effect> {
        // Installing the same summary again must not reset its age.
        if machine.learned != self.machine.learned {
            self.learned_at = now;
        }
        self.machine = machine;
        self.snapshot = index;
        let revision = self.machine.resources.newest();
        vec![
            Effect::Changed { revision },
            Effect::Configure(self.config()),
            Effect::Partitions(self.partitions()),
        ]
    }

    fn query(&self, query: Query) -> Reply {
        let resources = &self.machine.resources;
        match query {
            Query::Changes { since } => Reply::Changes(resources.since(since)),
            Query::Claim { key } => Reply::Claim(self.machine.claims.get(&key).cloned()),
            Query::Open { partitions, after } => {
                Reply::Open(self.machine.claims.list_open(&partitions, after.as_ref()))
            },
            Query::Run { name } => Reply::Run(self.machine.runs.get(&name).cloned().map(Box::new)),
            Query::Get { collection, name } => {
                Reply::Got(resources.get(collection, &name).cloned())
            },
            Query::List { collection } => {
                let list = resources.list(collection);
                Reply::Listed(list.map(|(name, stored)| (name.clone(), stored.clone())).collect())
            },
        }
    }

    /// Configuration for entries and agents.
    pub(crate) fn config(&self) -> Config {
        let resources = &self.machine.resources;
        Config {
            revision: resources.revision(),
            services: resources.services(),
            quotas: resources.quotas(),
        }
    }

    /// Number of claims without an outcome.
    pub(crate) fn open_claims(&self) -> usize {
        self.machine.claims.open_count()
    }

    /// Current owners of the partitions.
    pub(crate) fn partitions(&self) -> Partitions {
        self.machine.partitions.clone()
    }
}
