//! One worker: what runs there, what is free, and how far its quick tasks are slowed down.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use super::health::Health;
use super::message::{Finding, Instance, QuickTask};
use super::settings::{Settings, Weights};
use crate::core::{Moment, Name, Span};
use crate::interference::{Model, Pressure};
use crate::quota::Size;

/// Time for which past mixes are kept, above the lag of any report.
const HISTORY: Span = Span::secs(90);
/// Weight of the newest report in the correction of the predicted excess.
const OFFSET_GAIN: f64 = 0.15;
/// Part of a quick task's peak use that is left after a usage report, so that a peak is forgotten
/// within about ten minutes of reports every five seconds.
const PEAK_DECAY: f64 = 0.995;
/// Room above the peak use of a quick task.
const PEAK_MARGIN: f64 = 1.2;
/// Memory in percent of that at the last rise above which a task's memory still grows.
pub(super) const RISE_PERCENT: u64 = 102;
/// Time without a rise after which a task's memory counts as its peak: two usage reports.
const SETTLED: Span = Span::secs(10);
/// Usage reports before a quick task's declared size is corrected.
const MIN_REPORTS: u32 = 5;

/// A quick task with what was learned about it on this worker.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Quick {
    pub(super) task: QuickTask,
    /// Index of its kind in the interference model.
    pub(super) victim: usize,
    /// Predicted excess with the offset, from the mix that runs now.
    pub(super) excess: f64,
    /// Decayed difference between measured and predicted excess.
    pub(super) offset: f64,
    /// Excess that is tolerated.
    pub(super) tolerated: f64,
    /// Weights of the task's shop.
    pub(super) weights: Weights,
    peak: Size,
    reports: u32,
}

impl Quick {
    /// Scale of pressure with the task's load; an idle task still holds caches.
    pub(super) fn scale(&self) -> f64 {
        0.5 + self.task.load
    }

    /// Takes in the weights of the task's shop.
    pub(super) fn weigh(&mut self, set: &Settings) {
        self.weights = set.weights(&self.task.shop);
        self.tolerated = self.weights.tolerance.max(0.01);
    }

    fn reservation(&self, correct: bool) -> Size {
        if !correct || self.reports < MIN_REPORTS {
            return self.task.size;
        }
        let up = |value: u64| (value as f64 * PEAK_MARGIN) as u64;
        Size::new(up(self.peak.cores), up(self.peak.memory), self.task.size.accelerators)
    }
}

/// A member of an execution on this worker.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Running {
    /// Whether a worker's report has confirmed it.
    pub(super) confirmed: bool,
    pub(super) fence: u64,
    pub(super) grant: Size,
    pub(super) job: Name,
    /// Index of its kind in the interference model.
    pub(super) kind: usize,
    /// Memory that sizes have learned from this execution, in MB; 0 for nothing yet.
    pub(super) learned: u64,
    /// Greatest usage reported.
    pub(super) peak: Size,
    /// Whether it was taken from the log by a leader that did not start it.
    pub(super) replayed: bool,
    /// Memory in MB at its last notable rise, and when that was reported.
    pub(super) rise: (u64, Moment),
    /// When its start was last sent.
    pub(super) sent: Option<Moment>,
    /// Percent of the grant that it may use.
    pub(super) share: u8,
    /// When the share last changed.
    pub(super) shared: Moment,
    /// Thousandths of a core that it is expected to use at full share.
    pub(super) used: u64,
}

/// What ran from `at` on.
#[derive(Clone, Debug, Serialize)]
struct Shift {
    at: Moment,
    loads: Vec<f64>,
    mix: Vec<Pressure>,
}

/// A worker.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Worker {
    pub(super) alive: bool,
    pub(super) health: Health,
    /// When it was first heard; `None` for one that only the log names.
    pub(super) heard: Option<Moment>,
    /// The job that freed room is held for.
    pub(super) hold: Option<Name>,
    pub(super) info: Instance,
    /// End of the lease of all tasks, once silent.
    pub(super) lease_end: Option<Moment>,
    /// When a job was last moved away to protect quick tasks.
    pub(super) moved: Option<Moment>,
    pub(super) quick: Vec<Quick>,
    /// Since when throttling has not been enough.
    pub(super) strained: Option<Moment>,
    pub(super) tasks: Vec<Running>,
    free: Size,
    history: VecDeque<Shift>,
    mix: Vec<Pressure>,
    reserved: Size,
}

impl Worker {
    pub(super) fn new(info: Instance) -> Self {
        let free = info.size;
        Self {
            alive: true,
            health: Health::default(),
            heard: None,
            hold: None,
            info,
            lease_end: None,
            moved: None,
            quick: Vec::new(),
            strained: None,
            tasks: Vec::new(),
            free,
            history: VecDeque::new(),
            mix: Vec::new(),
            reserved: Size::default(),
        }
    }

    /// What no task holds.
    pub(super) const fn free(&self) -> Size {
        self.free
    }

    /// What jobs hold.
    pub(super) const fn reserved(&self) -> Size {
        self.reserved
    }

    /// Share of the cores and memory that is reserved.
    pub(super) fn fullness(&self) -> f64 {
        1.0 - (self.free.cores as f64 / self.info.size.cores.max(1) as f64)
    }

    pub(super) fn task(&mut self, job: &str) -> Option<&mut Running> {
        self.tasks.iter_mut().find(|task| task.job.as_str() == job)
    }

    /// Brings the free size, the mix and the predicted excess up to date.
    pub(super) fn refresh(&mut self, now: Moment, model: &Model, correct: bool) {
        let mut reserved = Size::default();
        self.mix.clear();
        let whole = self.info.size.cores.max(1) as f64;
        for task in &self.tasks {
            reserved += task.grant;
            let used = task.used as f64 * f64::from(task.share) / 100.0;
            let amount = used / whole;
            match self.mix.iter_mut().find(|p| p.kind == task.kind) {
                Some(pressure) => pressure.amount += amount,
                None => self.mix.push(Pressure { kind: task.kind, amount }),
            }
        }
        self.reserved = reserved;
        let quick = self.quick.iter().fold(Size::default(), |sum, q| sum + q.reservation(correct));
        self.free = self.info.size - (reserved + quick);
        self.predict(model);
        let loads: Vec<_> = self.quick.iter().map(Quick::scale).collect();
        let same =
            self.history.back().is_some_and(|last| last.mix == self.mix && last.loads == loads);
        if !same {
            self.history.push_back(Shift { at: now, loads, mix: self.mix.clone() });
        }
        while self.history.len() > 1 && self.history[1].at < now - HISTORY {
            self.history.pop_front();
        }
    }

    /// Predicts the excess of each quick task from the mix.
    pub(super) fn predict(&mut self, model: &Model) {
        for quick in &mut self.quick {
            let clean = model.excess(quick.victim, &self.mix, 0.0) * quick.scale();
            quick.excess = (clean + quick.offset).max(0.0);
        }
    }

    /// Takes in the list of quick tasks, and keeps what was learned about those that stay.
    pub(super) fn set_quick(&mut self, tasks: Vec<QuickTask>, model: &mut Model, set: &Settings) {
        let mut old = std::mem::take(&mut self.quick);
        let shape: Vec<_> = old.iter().map(|q| q.victim).collect();
        for task in tasks {
            let known =
                old.iter().position(|q| q.task.service == task.service && q.task.kind == task.kind);
            if let Some(index) = known {
                let mut quick = old.swap_remove(index);
                quick.task = task;
                quick.weigh(set);
                self.quick.push(quick);
            } else {
                let weights = set.weights(&task.shop);
                self.quick.push(Quick {
                    victim: model.victim(&task.kind),
                    excess: 0.0,
                    offset: 0.0,
                    tolerated: weights.tolerance.max(0.01),
                    weights,
                    peak: Size::default(),
                    reports: 0,
                    task,
                });
            }
        }
        // Past loads are kept by position, which a new list changes.
        if shape != self.quick.iter().map(|q| q.victim).collect::<Vec<_>>() {
            self.history.clear();
        }
    }

    /// Takes in the usage of a job's task; true when its memory has settled for the first time.
    ///
    /// A throttled task fills its memory more slowly, so that it may only seem to have settled.
    pub(super) fn task_used(&mut self, now: Moment, job: &Name, fence: u64, used: Size) -> bool {
        let Some(task) = self.task(job.as_str()).filter(|task| task.fence == fence) else {
            return false;
        };
        task.peak = task.peak.max(used);
        if task.share == 100 {
            task.used = task.peak.cores.min(task.grant.cores);
        }
        if task.peak.memory * 100 > task.rise.0 * RISE_PERCENT {
            task.rise = (task.peak.memory, now);
        }
        task.share == 100 && task.learned == 0 && now.since(task.rise.1) >= SETTLED
    }

    /// Takes in the usage of a quick task.
    pub(super) fn quick_used(&mut self, service: &Name, kind: &Name, used: Size) {
        let found =
            self.quick.iter_mut().find(|q| q.task.service == *service && q.task.kind == *kind);
        if let Some(quick) = found {
            let fade = |value: u64| (value as f64 * PEAK_DECAY) as u64;
            let faded = Size::new(fade(quick.peak.cores), fade(quick.peak.memory), 0);
            quick.peak = faded.max(used);
            quick.reports = quick.reports.saturating_add(1);
        }
    }

    /// The mix of a past time span for the quick task at `index`, scaled with its load.
    ///
    /// `None` when the history does not reach back to the whole span.
    pub(super) fn past(&self, index: usize, from: Moment, until: Moment) -> Option<Vec<Pressure>> {
        if self.history.front()?.at > from || until <= from {
            return None;
        }
        let whole = until.since(from).as_micros() as f64;
        let mut sums: BTreeMap<usize, f64> = BTreeMap::new();
        for (i, shift) in self.history.iter().enumerate() {
            let end = self.history.get(i + 1).map_or(until, |next| next.at);
            let start = shift.at.max(from);
            let part = end.min(until).since(start).as_micros() as f64 / whole;
            if part > 0.0 {
                let scale = shift.loads.get(index).copied().unwrap_or(1.0);
                for p in &shift.mix {
                    *sums.entry(p.kind).or_default() += p.amount * scale * part;
                }
            }
        }
        let mix = sums.into_iter();
        Some(mix.map(|(kind, amount)| Pressure { kind, amount }).collect())
    }

    /// Moves the offset of a quick task towards the difference that a report showed.
    pub(super) fn correct(&mut self, index: usize, difference: f64) {
        let quick = &mut self.quick[index];
        quick.offset += OFFSET_GAIN * (difference - quick.offset);
        quick.offset = quick.offset.clamp(-0.5, 1.0);
    }

    /// Greatest excess of a quick task relative to what is tolerated, with `extra` more pressure
    /// of a batch kind, judged with the caution of the quick task's shop.
    pub(super) fn risk(&self, model: &Model, kind: usize, extra: f64) -> f64 {
        self.quick.iter().fold(0.0, |worst: f64, quick| {
            let added = [Pressure { kind, amount: extra }];
            let more = if extra > 0.0 {
                model.excess(quick.victim, &added, quick.weights.caution) * quick.scale()
            } else {
                0.0
            };
            worst.max((quick.excess + more) / quick.tolerated)
        })
    }

    /// Why a task of size `need` has no room here, if it has none.
    pub(super) fn blocked(&self, job: &Name, need: Size, margin: Size) -> Option<Finding> {
        if !self.alive {
            return Some(Finding::Lost);
        }
        if self.health.quarantined() {
            return Some(Finding::Quarantined);
        }
        if self.hold.as_ref().is_some_and(|held| held != job) {
            return Some(Finding::Held);
        }
        let free = self.free - margin;
        if need.cores > free.cores {
            return Some(Finding::Cores);
        }
        if need.memory > free.memory {
            return Some(Finding::Memory);
        }
        (need.accelerators > free.accelerators).then_some(Finding::Accelerators)
    }
}
