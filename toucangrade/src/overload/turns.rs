//! Queueing order by size: jobs that smaller ones overtake again and again get their turn.
//!
//! It answers long overload with jobs of many sizes. Least work first serves most jobs, but the
//! largest ones then wait until they have no value.

use std::collections::{BTreeMap, BTreeSet};

use super::limit::Backlog;
use crate::core::Span;

/// Number of jobs of at most half its size that may start before a job that came earlier.
const PASSES_LIMIT: u32 = 3;

/// Jobs of one kind on one service.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Number of smaller and later jobs that have started while it was not done, by job. A started
    /// one still waits for its other tasks.
    passes: BTreeMap<u64, u32>,
    /// Jobs that had not started in the last round.
    waiting: BTreeSet<u64>,
}

impl Turns {
    /// Counts the jobs that have started since the last round, and marks the one of each priority
    /// that is next.
    pub(crate) fn update(&mut self, jobs: &mut [Backlog]) {
        let started = |job: &&Backlog| job.started && self.waiting.contains(&job.id);
        let started: Vec<Backlog> = jobs.iter().filter(started).cloned().collect();
        let mut passes = BTreeMap::new();
        for job in jobs.iter_mut() {
            // Among jobs of about the same size the order is not a matter of size.
            let smaller = |other: &&Backlog| {
                let later = other.priority == job.priority && other.age < job.age;
                later && other.size.saturating_mul(2) <= job.size
            };
            let passed = started.iter().filter(smaller).count() as u32;
            let passes = passes.entry(job.id).or_insert(0);
            *passes = self.passes.get(&job.id).copied().unwrap_or(0).saturating_add(passed);
        }
        // One of a priority: if all of them went first, those that can end in time would be late too.
        let mut next: BTreeMap<u32, (Span, u64)> = BTreeMap::new();
        for job in jobs.iter() {
            if passes[&job.id] >= PASSES_LIMIT && job.value_left() > 0.0 {
                let oldest = next.entry(job.priority).or_insert((job.age, job.id));
                *oldest = (*oldest).max((job.age, job.id));
            }
        }
        for job in jobs.iter_mut() {
            job.next = next.get(&job.priority).is_some_and(|(_, id)| *id == job.id);
        }
        self.waiting = jobs.iter().filter(|job| !job.started).map(|job| job.id).collect();
        self.passes = passes;
    }
}
