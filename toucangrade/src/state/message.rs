//! Messages, commands, queries and effects of the state duty.

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

/// Command that is replicated in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Command {
    Claim(claims::Command),
    Learned(Summary),
    Partition(partitions::Command),
    Resource(resources::Command),
    Run(
        #[serde(
            deserialize_with = "placement::Decision::deserialize_stored",
            serialize_with = "placement::Decision::serialize_stored"
        )]
        placement::Decision,
    ),
}

/// Query of the replicated state.
#[derive(Clone, Debug)]
pub(crate) enum Query {
    /// Changes of resources after a revision.
    Changes { since: u64 },
    /// The claim of a key.
    Claim { key: Key },
    /// Claims without an outcome of the given partitions, after the given partition and key.
    Open { partitions: Vec<u32>, after: Option<(u32, Key)> },
    /// One resource.
    Get { collection: Collection, name: Name },
    /// State of a job or watch.
    Run { name: Name },
    /// All resources of a collection.
    List { collection: Collection },
}

/// Reply to a command or query.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Changes, or the oldest revision from which a watch stream can resume.
    Changes(Result<Vec<Change>, u64>),
    Claim(Option<claims::Claim>),
    Claimed(claims::Reply),
    Got(Option<Stored>),
    Granted,
    /// A planner's decision was applied or rejected; `scheduling::Message::Decided` says which.
    Decided,
    /// The planner's summary was applied, or ignored if it is too large.
    Learned,
    Run(Option<Box<JobRecord>>),
    Listed(Vec<(Name, Stored)>),
    Open(Vec<(Key, claims::Claim)>),
    Written(resources::Reply),
}

/// Input of [`State::step`](super::State::step).
#[derive(Debug)]
pub(crate) enum Message {
    /// Applies the committed command at a log index. With a `ticket`, a reply is sent.
    Apply { index: u64, ticket: Option<u64>, command: Command },
    /// Replaces the state with a snapshot.
    Install { index: u64, machine: Box<Machine> },
    /// This instance became leader or lost leadership.
    Lead { leading: bool },
    /// Queries the replicated state.
    Query { ticket: u64, query: Query },
    /// Updates the values for the state dump; sent periodically.
    Tick,
}

/// Output of [`State::step`](super::State::step).
#[derive(Debug)]
pub(crate) enum Effect {
    /// The configuration changed.
    Configure(Config),
    /// Watch streams can deliver changes up to this revision.
    Changed { revision: u64 },
    /// Stores a record about a job in the history under this number.
    Note { number: u64, body: Body },
    /// The owners of partitions changed.
    Partitions(Partitions),
    /// Stores a snapshot of the state at this log index, so that the log up to it can be dropped.
    Snapshot { index: u64, machine: Box<Machine> },
    /// Sends a message to the scheduling duty.
    Schedule(scheduling::Message),
    /// Replies to the sender of the command or query.
    Reply { ticket: u64, reply: Reply },
}
