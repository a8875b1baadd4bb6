//! Commands on resources and their replies.

use serde::{Deserialize, Serialize};

use super::spec::{Collection, Spec};
use crate::core::{Key, Name};
use crate::runs::Step;

/// Condition on the current revision of the resource that is written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Expect {
    /// The resource must not exist.
    Absent,
    /// Any state of the resource will do.
    Any,
    /// The resource must have this revision.
    Revision(u64),
}

impl Expect {
    /// Whether a write may replace a resource with this revision.
    pub(crate) fn allows(self, current: Option<u64>) -> bool {
        match self {
            Self::Absent => current.is_none(),
            Self::Any => true,
            Self::Revision(revision) => current == Some(revision),
        }
    }
}

/// Write of one resource; no spec deletes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Command {
    pub(crate) collection: Collection,
    pub(crate) name: Name,
    pub(crate) spec: Option<Spec>,
    pub(crate) expect: Expect,
    /// Key by which a resent write gets the first response.
    pub(crate) key: Option<Key>,
}

/// Result of a write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    /// The condition on the revision did not hold.
    Lost { current: Option<Stored> },
    /// There is nothing to delete.
    Missing,
    /// The write is in force at this revision.
    Written { revision: u64 },
}

/// A resource and the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Stored {
    pub(crate) revision: u64,
    pub(crate) spec: Spec,
}

/// One change, as watch streams deliver it.
///
/// A spec means that the resource was written, a step alone that the state of the job or watch
/// changed, neither that the resource was deleted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Change {
    pub(crate) revision: u64,
    pub(crate) collection: Collection,
    pub(crate) name: Name,
    pub(crate) spec: Option<Spec>,
    /// State of the job or watch from this revision on. Snapshots of older versions lack it.
    #[serde(default)]
    pub(crate) step: Option<Step>,
}
