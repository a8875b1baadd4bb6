//! Requests of callers and operators, and the commands with which jobs repeat and are forgotten.

use std::sync::Arc;

use super::Dispatch;
use super::message::{ClientReply, ClientRequest, Effect, JobState, Verb};
use super::settings::{JOB_RETENTION, WITHDRAWN_LIMIT};
use crate::core::{Moment, Span};
use crate::jobs::{Applied, Command, Job, JobEntry, Phase, Queue};

/// Most jobs removed by one [`Command::Forget`].
const FORGET_LIMIT: usize = 64;

/// Answer to the request behind a command, from the outcome of applying it; `None` if the request
/// had no effect and is to be made again.
pub(super) fn command_answer(applied: Applied) -> Option<ClientReply> {
    Some(match applied {
        Applied::Accepted => ClientReply::Accepted,
        Applied::Cancelled => ClientReply::Cancelled,
        Applied::Configured => ClientReply::Configured,
        Applied::Evacuating => ClientReply::Evacuating,
        // The queue was removed while the submission was proposed.
        Applied::NoQueue => return None,
        Applied::Occupied => occupied(),
        Applied::Stale | Applied::Withdrawn => ClientReply::Gone,
        Applied::Assigned | Applied::Closed | Applied::Settled | Applied::Taken => {
            ClientReply::Unknown
        },
    })
}

/// Whether a path without the prefix of its queue is the name of a job, in 16 digits.
fn names_job(rest: &str, job: u64) -> bool {
    rest.len() == 16 && u64::from_str_radix(rest, 16) == Ok(job)
}

fn occupied() -> ClientReply {
    ClientReply::Bad("another queue has a job with this id".to_owned())
}

impl Dispatch {
    pub(super) fn ask(&mut self, now: Moment, ticket: u64, request: ClientRequest) {
        if !self.leading {
            return self.answer(ticket, None);
        }
        let ClientRequest { host, path, job, verb } = request;
        match verb {
            Verb::Configure(setup) => {
                if setup.version <= self.job_table.setup.version {
                    return self.answer(ticket, Some(ClientReply::Configured));
                }
                return self.propose(Command::Configure(setup), Some(ticket));
            },
            Verb::Evacuate { centre, verb, by } => {
                return self.order_evacuation(now, ticket, centre, verb, by);
            },
            Verb::ReadSetup => {
                let source = self.job_table.setup.source.clone();
                return self.answer(ticket, Some(ClientReply::Setup(source)));
            },
            Verb::Cancel | Verb::Show | Verb::Submit { .. } => {},
        }
        let setup = Arc::clone(&self.job_table.setup);
        let Some((queue, rest)) = setup.find(&host, &path) else {
            // Before the first configuration arrives, it is not known which queues exist.
            let reply = if setup.version == 0 {
                ClientReply::Refused { reason: "no configuration yet".into(), after: super::TICK }
            } else {
                ClientReply::NoQueue
            };
            return self.answer(ticket, Some(reply));
        };
        match (verb, job) {
            (Verb::Show, _) if rest.is_empty() => {
                let pending = self.waiting_jobs(queue).count() as u64;
                self.log_pending(queue, pending);
                self.answer(ticket, Some(ClientReply::Pending(pending)));
            },
            (_, Some(job)) if !names_job(rest, job) => {
                self.answer(ticket, Some(ClientReply::NoQueue));
            },
            (Verb::Show, Some(job)) => {
                let reply =
                    self.job_state(queue, job).map_or(ClientReply::Gone, ClientReply::State);
                self.answer(ticket, Some(reply));
            },
            (Verb::Cancel, Some(job)) => self.cancel(ticket, queue, job),
            (Verb::Submit { spec, steps, schedule }, Some(id)) => {
                let queue = self.queue_reference(queue);
                self.submit(now, ticket, Job { id, queue, spec, steps, schedule });
            },
            _ => self.answer(ticket, Some(ClientReply::NoQueue)),
        }
    }

    /// Cancels a job. A submission of an unknown job may still be under way, in a stalled entry or
    /// an uncommitted proposal, so its name is recorded as withdrawn before the caller is told that
    /// there is no such job.
    fn cancel(&mut self, ticket: u64, queue: &Queue, job: u64) {
        let withdrawn = &self.job_table.withdrawn;
        let name = (job, self.job_table.reference(queue));
        match self.job_state(queue, job) {
            Some(JobState::Queued | JobState::Running) => {},
            Some(_) => return self.answer(ticket, Some(ClientReply::Cancelled)),
            None if self.job_table.jobs.contains_key(&job) || withdrawn.contains(&name) => {
                return self.answer(ticket, Some(ClientReply::Gone));
            },
            None if withdrawn.len() >= WITHDRAWN_LIMIT => {
                let reason = "too many jobs were cancelled that are not known".into();
                let reply = ClientReply::Refused { reason, after: Span::secs(1) };
                return self.answer(ticket, Some(reply));
            },
            None => {},
        }
        let queue = Some(self.queue_reference(queue));
        self.propose(Command::Cancel { job, queue }, Some(ticket));
    }

    fn submit(&mut self, now: Moment, ticket: u64, job: Job) {
        if let Some(entry) = self.job_table.jobs.get(&job.id) {
            let queue =
                self.job_table.queue(&job.queue).map(|queue| self.job_table.reference(queue));
            let same = queue.is_some_and(|queue| queue == entry.job.queue);
            let reply = if same { ClientReply::Accepted } else { occupied() };
            return self.answer(ticket, Some(reply));
        }
        if let Err(bad) = job.check() {
            return self.answer(ticket, Some(ClientReply::Bad(bad.to_string())));
        }
        if let Some(refusal) = self.admission(now, &job) {
            return self.answer(ticket, Some(refusal));
        }
        let job = Arc::new(job);
        let command = Command::Accept { job, wall: self.wall };
        self.propose(command, Some(ticket));
    }

    pub(super) fn answer(&mut self, ticket: u64, reply: Option<ClientReply>) {
        self.out.push(Effect::Reply { ticket, reply });
    }

    fn job_state(&self, queue: &Queue, job: u64) -> Option<JobState> {
        let queue = self.job_table.reference(queue);
        let entry = self.job_table.jobs.get(&job).filter(|entry| entry.job.queue == queue)?;
        Some(match entry.phase {
            Phase::Active if entry.begun => JobState::Running,
            Phase::Active => JobState::Queued,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
        })
    }

    /// Active jobs of a queue of which no runner is known to have started a run. Some of them are
    /// assigned: whether an assigned run has started is not known before its runner shows it.
    fn waiting_jobs(&self, queue: &Queue) -> impl Iterator<Item = &JobEntry> {
        let queue = self.job_table.reference(queue);
        let entries = self.active.iter().filter_map(|id| self.job_table.jobs.get(id));
        entries.filter(move |entry| entry.job.queue == queue && !entry.begun)
    }

    /// Logs what a count of waiting jobs was made from, and how many of them are assigned.
    fn log_pending(&self, queue: &Queue, pending: u64) {
        let assigned = self.waiting_jobs(queue).filter(|entry| entry.live_runs().next().is_some());
        let (assigned, oldest) = assigned
            .fold((0_u64, self.wall), |(count, wall), entry| (count + 1, wall.min(entry.wall)));
        tracing::info!(
            queue = &*queue.name,
            pending,
            assigned,
            oldest_ms = self.wall - oldest,
            index = self.index,
            "waiting jobs counted"
        );
    }

    /// Reference to a queue for a command. While a configuration is proposed, it is the address,
    /// since the name may belong to another queue once the command is applied.
    fn queue_reference(&self, queue: &Queue) -> Arc<str> {
        let proposed = self.proposals.values().flat_map(|proposal| &proposal.commands);
        let mut commands = self.batch.iter().chain(proposed);
        if commands.any(|command| matches!(command, Command::Configure(_))) {
            queue.address()
        } else {
            self.job_table.reference(queue)
        }
    }

    /// Proposes the repetitions that are due.
    pub(super) fn open_rounds(&mut self) {
        let mut due = Vec::new();
        for id in &self.active {
            let Some(entry) = self.job_table.jobs.get(id) else { continue };
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

    /// Proposes to forget jobs and withdrawn names that ended more than [`JOB_RETENTION`] ago and have no open rounds.
    pub(super) fn forget(&mut self, now: Moment) {
        let old = |id: &u64, ended: Moment| {
            let live = self.job_table.jobs.get(id).is_some_and(|entry| !entry.rounds.is_empty());
            now.since(ended) > JOB_RETENTION && !live
        };
        let old = self.ended.iter().filter(|(id, ended)| old(id, **ended));
        let jobs: Vec<u64> = old.map(|(id, _)| *id).take(FORGET_LIMIT).collect();
        if !jobs.is_empty() {
            self.propose(Command::Forget(jobs), None);
        }
    }
}
