//! Causes, candidates and plans of evictions.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::core::Name;
use crate::quota::Size;

/// Why a running job was evicted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Cause {
    /// It made room for a job that waited longer than its shop's limit.
    Aged,
    /// Another member of its gang ended without completing.
    Gang,
    /// The worker was lost.
    Lost,
    /// It slowed quick tasks down beyond their tolerance despite throttling.
    Quick,
    /// It made room for an urgent job.
    Urgent,
}

impl Cause {
    /// Label shown to operators; `None` for a cause that doesn't count as an eviction.
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

/// The reason of an eviction, as text that follows "the execution ends: ".
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
    /// Resources on the worker that its eviction frees.
    pub(crate) frees: Size,
    /// Work since its newest synced checkpoint on all of its workers, in core seconds.
    pub(crate) lost: f64,
}

/// A set of jobs to evict together, and its cost.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    /// Indexes into the candidates.
    pub(crate) chosen: Vec<usize>,
    /// Lost work plus the fixed cost of each eviction, in core seconds.
    pub(crate) cost: f64,
    /// Highest priority of a chosen job.
    pub(crate) priority: u8,
}
