//! Candidates for an eviction and its causes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::core::Name;
use crate::quota::Size;

/// Why a running job was evicted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Cause {
    /// Made room for a job that waited longer than its bound.
    Aged,
    /// Another member of its gang ended before it.
    Gang,
    /// The worker was lost.
    Lost,
    /// It slowed quick tasks down more than throttling could cure.
    Quick,
    /// Made room for urgent work.
    Urgent,
}

impl Cause {
    /// The word that operators read for an eviction; `None` for an end that is none.
    pub(crate) const fn label(self) -> Option<&'static str> {
        match self {
            Self::Aged => Some("waited"),
            Self::Gang => None,
            Self::Lost => Some("lost"),
            Self::Quick => Some("protect"),
            Self::Urgent => Some("urgent"),
        }
    }
}

/// Completes "the execution ends: ".
impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Aged => "room for a job that waited too long",
            Self::Gang => "another member of its gang ended",
            Self::Lost => "its worker was lost",
            Self::Quick => "it slowed latency-critical tasks down",
            Self::Urgent => "room for urgent work",
        })
    }
}

/// A running job that could be evicted from a worker.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The job.
    pub(crate) job: Name,
    /// Priority; greater is more important.
    pub(crate) priority: u8,
    /// What its eviction frees on the worker.
    pub(crate) frees: Size,
    /// Core seconds since its newest synced checkpoint, on all of its workers.
    pub(crate) lost: f64,
}

/// Jobs to evict together, and what this costs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    /// Indexes of the chosen candidates.
    pub(crate) chosen: Vec<usize>,
    /// Work lost plus the fixed cost for each eviction, in core seconds.
    pub(crate) cost: f64,
    /// Greatest priority among the chosen.
    pub(crate) priority: u8,
}
