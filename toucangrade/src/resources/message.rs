//! Writes of resources, their replies, and changes for watch streams.

use serde::{Deserialize, Serialize};

use super::spec::{Collection, Spec};
use crate::core::{Key, Name};
use crate::runs::Step;

/// Precondition of a write on the current revision of the resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Expect {
    /// The resource must not exist.
    Absent,
    /// No condition.
    Any,
    /// The resource must have this revision.
    Revision(u64),
}

impl Expect {
    /// Whether the condition holds for the current revision, `None` if the resource doesn't exist.
    pub(crate) fn allows(self, current: Option<u64>) -> bool {
        match self {
            Self::Absent => current.is_none(),
            Self::Any => true,
            Self::Revision(revision) => current == Some(revision),
        }
    }
}

/// Write of one resource; deletes it if `spec` is `None`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Command {
    pub(crate) collection: Collection,
    pub(crate) name: Name,
    pub(crate) spec: Option<Spec>,
    pub(crate) expect: Expect,
    /// Idempotency key: a repeated write with the same key gets the reply of the first one.
    pub(crate) key: Option<Key>,
}

/// Result of a write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    /// The precondition on the revision did not hold.
    Lost { current: Option<Stored> },
    /// The resource to delete does not exist.
    Missing,
    /// The write was applied at this revision.
    Written { revision: u64 },
}

/// A resource and the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Stored {
    pub(crate) revision: u64,
    pub(crate) spec: Spec,
}

/// Change of a resource, as delivered by watch streams.
///
/// With `spec`, the resource was written. With `step` only, the state of the job or watch changed.
/// With neither, the resource was deleted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Change {
    pub(crate) revision: u64,
    pub(crate) collection: Collection,
    pub(crate) name: Name,
    pub(crate) spec: Option<Spec>,
    /// State of the job or watch from this revision on. Missing in snapshots of earlier versions.
    #[serde(default)]
    pub(crate) step: Option<Step>,
}
