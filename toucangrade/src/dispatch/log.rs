//! Log lines of dispatch: one for each command applied to the replicated state, and for the starts that
//! are ordered and confirmed in one message.

use std::fmt;

use tracing::info;

use crate::jobs::{Applied, Command, Incarnation, Job, RunKey};

/// Runs in one field of a log line.
struct Runs<'a>(&'a [RunKey]);

impl fmt::Display for Runs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, key) in self.0.iter().enumerate() {
            write!(f, "{}{key}", if at > 0 { " " } else { "" })?;
        }
        Ok(())
    }
}

/// Logs the runs whose orders leave the leader for the first time.
pub(super) fn ordered(incarnation: &Incarnation, runs: &[RunKey], index: u64) {
    let (runner, born) = (incarnation.runner.as_str(), incarnation.born);
    info!(runner, born, index, runs = %Runs(runs), "starts ordered");
}

/// Logs the runs of which a runner has shown for the first time that it has started them.
pub(super) fn confirmed(incarnation: &Incarnation, runs: &[RunKey], index: u64) {
    let (runner, born) = (incarnation.runner.as_str(), incarnation.born);
    info!(runner, born, index, runs = %Runs(runs), "starts confirmed");
}

pub(super) fn applied(command: &Command, outcome: Applied) {
    let outcome = tracing::field::debug(outcome);
    match command {
        Command::Accept { job, .. } => {
            let (shape, queue) = (shape(job), &*job.queue);
            info!(job = format_args!("{:016x}", job.id), queue, shape, outcome, "submit");
        },
        Command::Assign { key, incarnation } => {
            info!(run = %key, runner = %incarnation.runner, born = incarnation.born, outcome, "assign");
        },
        Command::Begin { job } => info!(job = format_args!("{job:016x}"), outcome, "begin"),
        Command::Cancel { job, .. } => info!(job = format_args!("{job:016x}"), outcome, "cancel"),
        Command::Close { key, end, saved } => {
            info!(run = %key, ?end, saved = saved.as_deref(), outcome, "close");
        },
        Command::Configure(setup) => {
            info!(version = setup.version, queues = setup.queues.len(), outcome, "configure");
        },
        Command::Doubt { job, open } => {
            info!(job = format_args!("{job:016x}"), open, outcome, "doubt");
        },
        Command::Evacuate(order) => {
            let (centre, verb, by) = (&*order.centre, order.verb, &*order.by);
            info!(centre, ?verb, by, wall = order.wall, outcome, "evacuate");
        },
        Command::Forget(jobs) => info!(jobs = jobs.len(), "forget"),
        Command::Open { job, round } => {
            info!(job = format_args!("{job:016x}"), round, outcome, "open");
        },
    }
}

/// Compact form of a job's steps, such as `8x3500m/6400MB~2200ms fills saves`.
fn shape(job: &Job) -> String {
    let step = |step: &crate::jobs::Step| {
        let (count, need) = (step.count, step.need);
        let mut text = format!(
            "{count}x{}m/{}MB~{}ms",
            need.millicores,
            need.memory,
            step.estimate.as_millis()
        );
        let traits = [
            (step.checkpoints, " saves"),
            (step.copies, " copies"),
            (step.fills, " fills"),
            (step.gang, " gang"),
            (step.lasting, " lasts"),
            (step.spread > 0, " spread"),
        ];
        text.extend(traits.iter().filter(|(has, _)| *has).map(|(_, name)| *name));
        text
    };
    job.steps.iter().map(step).collect::<Vec<_>>().join(", ")
}
