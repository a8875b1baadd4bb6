//! Messages of the state duty.

use serde::{Deserialize, Serialize};

use super::Machine;
use crate::core::{Key, Name};
use crate::history::Body;
use crate::membership::Config;
use crate::partitions::Partitions;
use crate::placement::Summary;
use crate::resources::{Change, Collection, Stored};
use crate::runs::JobRecord;
use crate::{claims, partitions, placement, resources, scheduling};

/// Command in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Command {
    Claim(claims::Command),
    Learned(Summary),
    Partition(partitions::Command),
    Resource(resources::Command),
    Run(placement::Decision),
}

/// Question about the agreed state.
#[derive(Clone, Debug)]
pub(crate) enum Query {
    /// Changes after a revision.
    Changes { since: u64 },
    /// The claim of a key.
    Claim { key: Key },
    /// Open claims of some partitions, after the given partition and key.
    Open { partitions: Vec<u32>, after: Option<(u32, Key)> },
    /// One resource.
    Get { collection: Collection, name: Name },
    /// The agreed state of a job.
    Run { name: Name },
    /// All resources of a collection.
    List { collection: Collection },
}

/// Reply to a command or question.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Changes, or the oldest revision that can be resumed from.
    Changes(Result<Vec<Change>, u64>),
    Claim(Option<claims::Claim>),
    Claimed(claims::Reply),
    Got(Option<Stored>),
    Granted,
    /// A decision of the leader was looked at; scheduling is told whether it is in force.
    Decided,
    /// The summary of what was learned is in force, if it fits.
    Learned,
    Run(Option<Box<JobRecord>>),
    Listed(Vec<(Name, Stored)>),
    Open(Vec<(Key, claims::Claim)>),
    Written(resources::Reply),
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// The command at this log index is agreed.
    Apply { index: u64, ticket: Option<u64>, command: Command },
    /// A snapshot of another replica replaces the state.
    Install { index: u64, machine: Box<Machine> },
    /// This instance began or ceased to lead.
    Lead { leading: bool },
    /// Someone asks about the agreed state.
    Query { ticket: u64, query: Query },
    /// Time passed.
    Tick,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// The configuration changed.
    Configure(Config),
    /// Watch streams have changes up to this revision to deliver.
    Changed { revision: u64 },
    /// The history keeps this of a job, under this number.
    Note { number: u64, body: Body },
    /// The owners of partitions changed.
    Partitions(Partitions),
    /// The log up to this index can be replaced by this state.
    Snapshot { index: u64, machine: Box<Machine> },
    /// A message for the scheduling duty.
    Schedule(scheduling::Message),
    /// Replies to who proposed the command or asked.
    Reply { ticket: u64, reply: Reply },
}
