//! Jobs as callers declare them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::Span;

/// Most steps of a job, so that a step number fits a task's name and a job fits one log entry.
const STEPS_LIMIT: usize = 256;
/// Most tasks of a step.
const TASKS_LIMIT: u32 = 4_096;
/// Most tasks of a job, since each control instance holds them all in memory.
const JOB_TASKS_LIMIT: u64 = 16_384;
/// Longest text for the runners in bytes, so that a job fits one log entry. Callers send up to 4,000.
const SPEC_LIMIT: usize = 65_536;
/// Longest image, label or rack in bytes.
const LABEL_LIMIT: usize = 255;

/// Room that a task needs on a runner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Need {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Need {
    /// Most that a task may need and that a runner may offer, some hundred times the largest
    /// instance. Products of these stay far below 64 bits.
    pub const LIMIT: Self =
        Self { millicores: 10_000_000, memory: 100_000_000, accelerators: 10_000 };

    /// Whether `other` fits into this room.
    pub fn holds(&self, other: &Self) -> bool {
        self.millicores >= other.millicores
            && self.memory >= other.memory
            && self.accelerators >= other.accelerators
    }

    /// Adds `other`, up to the greatest number.
    pub fn add(&mut self, other: &Self) {
        self.millicores = self.millicores.saturating_add(other.millicores);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Takes `other` away, down to nothing.
    pub fn remove(&mut self, other: &Self) {
        self.millicores = self.millicores.saturating_sub(other.millicores);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

/// A step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Room that each task needs.
    pub need: Need,
    /// Rough estimate of a task's duration.
    pub estimate: Span,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// The tasks only work together.
    pub gang: bool,
    /// The tasks are slower on more than one rack.
    pub together: bool,
    /// Label that the runner must have.
    pub label: Option<Arc<str>>,
    /// Rack of the data; tasks are slower elsewhere.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step on one runner, 0 for no limit.
    pub spread: u32,
    /// Several runs of one task may race.
    pub copies: bool,
    /// The tasks make checkpoints.
    pub checkpoints: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Tail latency that each task has to stay below, in ms; 0 for none.
    pub target: u64,
    /// The tasks use cores that others leave unused, which are not counted.
    pub fills: bool,
    /// Tasks of a lasting step that may be away at once through the system's own doing.
    pub absent: u32,
}

impl Step {
    /// Room that counts against a runner's capacity.
    pub fn counted(&self) -> Need {
        if self.fills { Need { millicores: 0, ..self.need } } else { self.need }
    }

    /// Bytes of the parts whose length varies.
    pub(crate) fn bytes(&self) -> usize {
        let texts = [&self.image, &self.label, &self.rack].into_iter().flatten();
        texts.map(|text| text.len()).sum::<usize>() + 3 * self.after.len()
    }

    fn check_size(&self, step: usize) -> Result<(), BadJob> {
        let (need, limit) = (self.need, Need::LIMIT);
        let needs = [
            (need.millicores, "millicores", limit.millicores),
            (need.memory, "MB of memory", limit.memory),
            (need.accelerators, "accelerators", limit.accelerators),
        ];
        if let Some(&(amount, what, limit)) = needs.iter().find(|(amount, _, most)| amount > most) {
            return Err(BadJob::Need { step, amount, what, limit });
        }
        for (name, text) in [("image", &self.image), ("label", &self.label), ("rack", &self.rack)] {
            let text = text.as_deref().unwrap_or_default();
            check_text(|| format!("steps[{step}].{name}"), text, LABEL_LIMIT)?;
        }
        Ok(())
    }
}

fn check_text(field: impl Fn() -> String, text: &str, limit: usize) -> Result<(), BadJob> {
    let length = text.len();
    if length > limit {
        return Err(BadJob::Text { field: field(), length, limit });
    }
    Ok(())
}

/// When a job repeats.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Number of repetitions.
    pub times: u32,
    /// When the first is due, in ms since 1970.
    pub first: u64,
    /// Time between two in ms.
    pub every: u64,
}

impl Schedule {
    /// When a repetition is due, in ms since 1970.
    pub fn due(&self, round: u32) -> u64 {
        self.first.saturating_add(self.every.saturating_mul(u64::from(round)))
    }
}

/// A job as its caller declares it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Number that the caller chose.
    pub id: u64,
    /// Name of its queue.
    pub queue: Arc<str>,
    /// Opaque text for the runners.
    pub spec: Arc<str>,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// When it repeats; at once and one time without.
    pub schedule: Option<Schedule>,
}

/// Why a job is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BadJob {
    /// A step comes after one that is not before it.
    #[error("steps[{step}].after names step {after}, allowed are steps before {step}")]
    After {
        /// The step.
        step: usize,
        /// The step named.
        after: u16,
    },
    /// A step comes after more steps than a job may have.
    #[error("steps[{step}].after names {count} steps, allowed are 0 to {STEPS_LIMIT}")]
    Afters {
        /// The step.
        step: usize,
        /// The number of steps named.
        count: usize,
    },
    /// The number of tasks is out of range.
    #[error("steps[{step}] has {count} tasks, allowed are 1 to {TASKS_LIMIT}")]
    Count {
        /// The step.
        step: usize,
        /// The number of tasks.
        count: u32,
    },
    /// A task needs more than any runner has.
    #[error("steps[{step}] needs {amount} {what}, allowed are 0 to {limit}")]
    Need {
        /// The step.
        step: usize,
        /// The amount.
        amount: u64,
        /// What it is an amount of.
        what: &'static str,
        /// Greatest amount.
        limit: u64,
    },
    /// The number of steps is out of range.
    #[error("the job has {0} steps, allowed are 1 to {STEPS_LIMIT}")]
    Steps(usize),
    /// The steps have too many tasks together.
    #[error("the job has {0} tasks, allowed are 1 to {JOB_TASKS_LIMIT}")]
    Tasks(u64),
    /// A text is too long.
    #[error("{field} has {length} bytes, allowed are 0 to {limit}")]
    Text {
        /// The field.
        field: String,
        /// Its length in bytes.
        length: usize,
        /// Greatest length in bytes.
        limit: usize,
    },
}

impl Job {
    /// Checks what the types leave open.
    ///
    /// # Errors
    ///
    /// [`BadJob`] names the field, its value and what is allowed.
    pub fn check(&self) -> Result<(), BadJob> {
        if self.steps.is_empty() || self.steps.len() > STEPS_LIMIT {
            return Err(BadJob::Steps(self.steps.len()));
        }
        check_text(|| "spec".to_owned(), &self.spec, SPEC_LIMIT)?;
        for (step, declared) in self.steps.iter().enumerate() {
            let count = declared.count;
            if count == 0 || count > TASKS_LIMIT {
                return Err(BadJob::Count { step, count });
            }
            let count = declared.after.len();
            if count > STEPS_LIMIT {
                return Err(BadJob::Afters { step, count });
            }
            if let Some(&after) = declared.after.iter().find(|&&after| usize::from(after) >= step) {
                return Err(BadJob::After { step, after });
            }
            declared.check_size(step)?;
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > JOB_TASKS_LIMIT {
            return Err(BadJob::Tasks(tasks));
        }
        Ok(())
    }

    /// Number of repetitions.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Whether some step runs until the job is cancelled.
    pub fn lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Number of steps in the longest chain.
    pub fn depth(&self) -> usize {
        let mut depths: Vec<usize> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&after| depths.get(usize::from(after)));
            depths.push(before.max().copied().unwrap_or(0) + 1);
        }
        depths.into_iter().max().unwrap_or(0)
    }
}
