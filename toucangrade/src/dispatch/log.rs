//! Log lines of dispatch: one for each change of the agreed state.

use tracing::info;

use crate::jobs::{Applied, Command};

pub(super) fn applied(command: &Command, outcome: Applied) {
    let outcome = tracing::field::debug(outcome);
    match command {
        Command::Accept { job, .. } => {
            let (steps, queue) = (job.steps.len(), &*job.queue);
            info!(job = format_args!("{:016x}", job.id), queue, steps, outcome, "submit");
        },
        Command::Assign { key, life } => {
            info!(run = %key, runner = %life.runner, born = life.born, outcome, "assign");
        },
        Command::Cancel { job } => info!(job = format_args!("{job:016x}"), outcome, "cancel"),
        Command::Close { key, end, .. } => info!(run = %key, ?end, outcome, "close"),
        Command::Configure(setup) => {
            info!(version = setup.version, queues = setup.queues.len(), outcome, "configure");
        },
        Command::Forget(jobs) => info!(jobs = jobs.len(), "forget"),
        Command::Open { job, round } => {
            info!(job = format_args!("{job:016x}"), round, outcome, "open");
        },
    }
}
