//! Answers to callers and operators.

use std::sync::Arc;

use super::Dispatch;
use super::message::{Ask, Effect, JobState, Told, Verb};
use super::settings::STATUS_KEPT;
use crate::core::Moment;
use crate::jobs::{Applied, Command, Job, Phase, Queue};

/// Jobs that are forgotten with one command.
const FORGET_LIMIT: usize = 64;

/// What a caller is told once its command is applied.
pub(super) fn of_command(applied: Applied) -> Told {
    match applied {
        Applied::Accepted => Told::Accepted,
        Applied::Cancelled => Told::Cancelled,
        Applied::Configured => Told::Configured,
        Applied::NoQueue => Told::NoQueue,
        Applied::Stale => Told::Gone,
        Applied::Assigned | Applied::Closed | Applied::Taken => Told::Unknown,
    }
}

impl Dispatch {
    pub(super) fn ask(&mut self, ticket: u64, ask: Ask) {
        if !self.leading {
            return self.tell(ticket, None);
        }
        let Ask { host, path, job, verb } = ask;
        match verb {
            Verb::Configure(setup) => {
                if setup.version <= self.book.setup.version {
                    return self.tell(ticket, Some(Told::Configured));
                }
                return self.propose(Command::Configure(setup), Some(ticket));
            },
            Verb::ReadSetup => {
                let source = self.book.setup.source.clone();
                return self.tell(ticket, Some(Told::Setup(source)));
            },
            Verb::Cancel | Verb::Show | Verb::Submit { .. } => {},
        }
        let setup = Arc::clone(&self.book.setup);
        let Some((queue, rest)) = setup.find(&host, &path) else {
            // Without any configuration it is not known which queues there are.
            let told = if setup.version == 0 {
                Told::Refused { reason: "no configuration yet".into(), after: super::TICK }
            } else {
                Told::NoQueue
            };
            return self.tell(ticket, Some(told));
        };
        match (verb, job) {
            (Verb::Show, None) if rest.is_empty() => {
                let pending = self.pending(&queue.name);
                self.tell(ticket, Some(Told::Pending(pending)));
            },
            (_, Some(_)) if rest.contains('/') => self.tell(ticket, Some(Told::NoQueue)),
            (Verb::Show, Some(job)) => {
                let told = self.state(queue, job).map_or(Told::Gone, Told::State);
                self.tell(ticket, Some(told));
            },
            (Verb::Cancel, Some(job)) => match self.state(queue, job) {
                Some(JobState::Queued | JobState::Running) => {
                    self.propose(Command::Cancel { job }, Some(ticket));
                },
                Some(_) => self.tell(ticket, Some(Told::Cancelled)),
                None => self.tell(ticket, Some(Told::Gone)),
            },
            (Verb::Submit { spec, steps, schedule }, Some(id)) => {
                let queue = Arc::clone(&queue.name);
                self.submit(ticket, Job { id, queue, spec, steps, schedule });
            },
            _ => self.tell(ticket, Some(Told::NoQueue)),
        }
    }

    fn submit(&mut self, ticket: u64, job: Job) {
        if self.book.jobs.contains_key(&job.id) {
            return self.tell(ticket, Some(Told::Accepted));
        }
        if let Err(bad) = job.check() {
            return self.tell(ticket, Some(Told::Bad(bad.to_string())));
        }
        let job = Arc::new(job);
        let command = Command::Accept { job, wall: self.wall };
        self.propose(command, Some(ticket));
    }

    pub(super) fn tell(&mut self, ticket: u64, told: Option<Told>) {
        self.out.push(Effect::Told { ticket, told });
    }

    fn state(&self, queue: &Queue, job: u64) -> Option<JobState> {
        let entry = self.book.jobs.get(&job).filter(|entry| entry.job.queue == queue.name)?;
        Some(match entry.phase {
            Phase::Active if entry.begun => JobState::Running,
            Phase::Active => JobState::Queued,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
        })
    }

    fn pending(&self, queue: &str) -> u64 {
        let entries = self.active.iter().filter_map(|id| self.book.jobs.get(id));
        entries.filter(|entry| *entry.job.queue == *queue && !entry.begun).count() as u64
    }

    /// Begins repetitions that are due.
    pub(super) fn open_rounds(&mut self) {
        let mut due = Vec::new();
        for id in &self.active {
            let Some(entry) = self.book.jobs.get(id) else { continue };
            let Some(schedule) = entry.job.schedule else { continue };
            let round = entry.opened;
            if round < schedule.times
                && schedule.due(round) <= self.wall
                && !self.opening.contains(&(*id, round))
            {
                due.push((*id, round));
            }
        }
        for (job, round) in due {
            self.opening.insert((job, round));
            self.propose(Command::Open { job, round }, None);
        }
    }

    /// Forgets jobs that ended long ago.
    pub(super) fn forget(&mut self, now: Moment) {
        let old = |id: &u64, ended: Moment| {
            let live = self.book.jobs.get(id).is_some_and(|entry| !entry.rounds.is_empty());
            now.since(ended) > STATUS_KEPT && !live
        };
        let old = self.ended.iter().filter(|(id, ended)| old(id, **ended));
        let jobs: Vec<u64> = old.map(|(id, _)| *id).take(FORGET_LIMIT).collect();
        if !jobs.is_empty() {
            self.propose(Command::Forget(jobs), None);
        }
    }
}
