//! Job declarations of callers, and the limits that they are checked against.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::Span;

/// Maximum number of steps of a job, so that a step number fits a task's name and a job fits one
/// log entry.
const STEPS_LIMIT: usize = 256;
/// Maximum number of tasks of a step.
const TASKS_LIMIT: u32 = 4_096;
/// Maximum number of tasks of a job, since each control instance holds all of them in memory.
const JOB_TASKS_LIMIT: u64 = 16_384;
/// Maximum length of a job's `spec` in bytes, so that a job fits one log entry. Callers send up to
/// 4,000.
const SPEC_LIMIT: usize = 65_536;
/// Maximum length of an image, label or rack in bytes.
const LABEL_LIMIT: usize = 255;

/// Resources that a task needs, or that a runner has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Need {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Need {
    /// Maximum that a task may need and that a runner may offer, some hundred times the largest
    /// instance. Products of these numbers stay far below 64 bits.
    pub const LIMIT: Self =
        Self { millicores: 10_000_000, memory: 100_000_000, accelerators: 10_000 };

    /// Whether `other` fits into these resources.
    pub fn holds(&self, other: &Self) -> bool {
        self.millicores >= other.millicores
            && self.memory >= other.memory
            && self.accelerators >= other.accelerators
    }

    /// How often `other` fits into these resources.
    pub(crate) fn times(&self, other: &Self) -> u64 {
        let times = |own: u64, other: u64| own.checked_div(other).unwrap_or(u64::MAX);
        let least = times(self.millicores, other.millicores).min(times(self.memory, other.memory));
        least.min(times(self.accelerators, other.accelerators))
    }

    /// Whether these are at least one `part`-th of some resource of `whole`.
    pub(crate) fn takes_part(&self, whole: &Self, part: u64) -> bool {
        let takes = |own: u64, whole: u64| own > 0 && own.saturating_mul(part) >= whole;
        takes(self.millicores, whole.millicores)
            || takes(self.memory, whole.memory)
            || takes(self.accelerators, whole.accelerators)
    }

    /// The greater amount of each resource.
    pub(crate) fn most(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Adds `other`, saturating at the maximum of the type.
    pub fn add(&mut self, other: &Self) {
        self.millicores = self.millicores.saturating_add(other.millicores);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Subtracts `other`, saturating at 0.
    pub fn remove(&mut self, other: &Self) {
        self.millicores = self.millicores.saturating_sub(other.millicores);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

/// A step of a job: a group of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Need,
    /// Rough estimate of a task's duration.
    pub estimate: Span,
    /// Indices of earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks only work while all of them run.
    pub gang: bool,
    /// Whether the tasks are slower when spread over several racks.
    pub together: bool,
    /// Label that the runner must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data; the tasks are slower on other racks.
    pub rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one runner, 0 for no limit.
    pub spread: u32,
    /// Whether a task may have speculative copies, which are concurrent runs of the same task.
    pub copies: bool,
    /// Whether the tasks make checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Upper limit for the tail latency of each task in ms, 0 for none.
    pub target: u64,
    /// Whether the tasks only use cores that other tasks leave idle, so that their cores don't
    /// count against the runner's capacity.
    pub fills: bool,
    /// Maximum number of tasks of a lasting step that the system itself may have down at once.
    pub absent: u32,
}

impl Step {
    /// Resources of a task that count against the runner's capacity.
    pub fn counted(&self) -> Need {
        if self.fills { Need { millicores: 0, ..self.need } } else { self.need }
    }

    /// Approximate size of the variable-length fields in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let texts = [&self.image, &self.label, &self.rack].into_iter().flatten();
        texts.map(|text| text.len()).sum::<usize>() + 3 * self.after.len()
    }

    fn check_size(&self, step: usize) -> Result<(), JobError> {
        let (need, limit) = (self.need, Need::LIMIT);
        let needs = [
            (need.millicores, "millicores", limit.millicores),
            (need.memory, "MB of memory", limit.memory),
            (need.accelerators, "accelerators", limit.accelerators),
        ];
        if let Some(&(amount, what, limit)) = needs.iter().find(|(amount, _, most)| amount > most) {
            return Err(JobError::Need { step, amount, what, limit });
        }
        for (name, text) in [("image", &self.image), ("label", &self.label), ("rack", &self.rack)] {
            let text = text.as_deref().unwrap_or_default();
            check_text(|| format!("steps[{step}].{name}"), text, LABEL_LIMIT)?;
        }
        Ok(())
    }
}

fn check_text(field: impl Fn() -> String, text: &str, limit: usize) -> Result<(), JobError> {
    let length = text.len();
    if length > limit {
        return Err(JobError::Text { field: field(), length, limit });
    }
    Ok(())
}

/// Repetitions of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Number of repetitions.
    pub times: u32,
    /// Due time of the first repetition in ms since 1970.
    pub first: u64,
    /// Interval between repetitions in ms.
    pub every: u64,
}

impl Schedule {
    /// Due time of a repetition in ms since 1970.
    pub fn due(&self, round: u32) -> u64 {
        self.first.saturating_add(self.every.saturating_mul(u64::from(round)))
    }
}

/// A job as its caller declares it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Id that the caller chose.
    pub id: u64,
    /// Reference to its queue: the queue's name in the configuration in force, or its host and prefix
    /// if no queue has them now or an earlier queue has the same name.
    pub queue: Arc<str>,
    /// Opaque text that is passed to the runners.
    pub spec: Arc<str>,
    /// Steps, ordered so that each one depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Repetitions; a job without a schedule is run once, at once.
    pub schedule: Option<Schedule>,
}

/// Why a job is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JobError {
    /// A step depends on itself or on a later one.
    #[error("steps[{step}].after names step {after}, allowed are steps before {step}")]
    InvalidDependency {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: u16,
    },
    /// A step depends on more steps than a job may have.
    #[error("steps[{step}].after names {count} steps, allowed are 0 to {STEPS_LIMIT}")]
    TooManyDependencies {
        /// The step.
        step: usize,
        /// The number of steps named.
        count: usize,
    },
    /// The number of tasks of a step is out of range.
    #[error("steps[{step}] has {count} tasks, allowed are 1 to {TASKS_LIMIT}")]
    Count {
        /// The step.
        step: usize,
        /// The number of tasks.
        count: u32,
    },
    /// A task needs more than [`Need::LIMIT`].
    #[error("steps[{step}] needs {amount} {what}, allowed are 0 to {limit}")]
    Need {
        /// The step.
        step: usize,
        /// The amount.
        amount: u64,
        /// The resource and its unit.
        what: &'static str,
        /// Maximum amount.
        limit: u64,
    },
    /// The number of steps is out of range.
    #[error("the job has {0} steps, allowed are 1 to {STEPS_LIMIT}")]
    Steps(usize),
    /// The total number of tasks is too great.
    #[error("the job has {0} tasks, allowed are 1 to {JOB_TASKS_LIMIT}")]
    Tasks(u64),
    /// A text is too long.
    #[error("{field} has {length} bytes, allowed are 0 to {limit}")]
    Text {
        /// The field.
        field: String,
        /// Its length in bytes.
        length: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
}

impl Job {
    /// Checks the rules that the types don't enforce: limits, and dependencies only on earlier
    /// steps.
    ///
    /// # Errors
    ///
    /// [`JobError`] names the first invalid field, its value and the allowed range.
    pub fn check(&self) -> Result<(), JobError> {
        if self.steps.is_empty() || self.steps.len() > STEPS_LIMIT {
            return Err(JobError::Steps(self.steps.len()));
        }
        check_text(|| "spec".to_owned(), &self.spec, SPEC_LIMIT)?;
        for (step, declared) in self.steps.iter().enumerate() {
            let count = declared.count;
            if count == 0 || count > TASKS_LIMIT {
                return Err(JobError::Count { step, count });
            }
            let count = declared.after.len();
            if count > STEPS_LIMIT {
                return Err(JobError::TooManyDependencies { step, count });
            }
            if let Some(&after) = declared.after.iter().find(|&&after| usize::from(after) >= step) {
                return Err(JobError::InvalidDependency { step, after });
            }
            declared.check_size(step)?;
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > JOB_TASKS_LIMIT {
            return Err(JobError::Tasks(tasks));
        }
        Ok(())
    }

    /// Number of repetitions.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Whether any step runs until the job is cancelled.
    pub fn lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Duration of the longest chain of dependencies, by that of each step.
    pub(crate) fn longest_chain(&self, duration: impl Fn(&Step) -> Span) -> Span {
        let mut ends: Vec<Span> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&after| ends.get(usize::from(after)));
            ends.push(before.max().copied().unwrap_or(Span::ZERO) + duration(step));
        }
        ends.into_iter().max().unwrap_or(Span::ZERO)
    }

    /// Number of steps in the longest chain of dependencies.
    pub fn depth(&self) -> usize {
        let mut depths: Vec<usize> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&after| depths.get(usize::from(after)));
            depths.push(before.max().copied().unwrap_or(0) + 1);
        }
        depths.into_iter().max().unwrap_or(0)
    }
}
