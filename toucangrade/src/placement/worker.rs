//! State of one worker: its tasks, its free resources and the predicted slowdown of its quick
//! tasks.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use super::health::Health;
use super::message::{Finding, Instance, QuickTask};
use super::settings::{Settings, Weights};
use crate::core::{Moment, Name, Span};
use crate::interference::{Model, Pressure};
use crate::quota::Size;

/// Time for which past task mixes are kept, longer than the delay of any report.
const HISTORY_SPAN: Span = Span::secs(90);
/// Weight of the newest report in the moving average that corrects the predicted excess.
const OFFSET_GAIN: f64 = 0.15;
/// Factor by which a quick task's peak usage decays with each usage report, so that a peak is
/// forgotten within about ten minutes of reports every five seconds.
const PEAK_DECAY: f64 = 0.995;
/// Factor on the peak usage of a quick task for its reservation.
const PEAK_MARGIN: f64 = 1.2;
/// A task's memory counts as growing above this percentage of its value at the last rise.
pub(super) const RISE_PERCENT: u64 = 102;
/// Time without a rise after which a task's memory counts as its peak: two usage reports.
const STABLE_AFTER: Span = Span::secs(10);
/// Usage reports before a quick task's declared size is corrected.
const MIN_REPORTS: u32 = 5;

/// A quick task, with its measured usage and slowdown on this worker.
#[derive(Clone, Debug, Serialize)]
pub(super) struct QuickState {
    pub(super) task: QuickTask,
    /// Index of its kind in the interference model.
    pub(super) victim: usize,
    /// Predicted excess latency over running alone from the current mix, including the offset.
    pub(super) excess: f64,
    /// Moving average of the difference between measured and predicted excess.
    pub(super) offset: f64,
    /// Tolerated excess.
    pub(super) tolerated: f64,
    /// Weights of the task's shop.
    pub(super) weights: Weights,
    /// Decaying peak usage.
    peak: Size,
    /// Number of usage reports.
    reports: u32,
}

impl QuickState {
    /// Factor by which the task's load scales pressure; an idle task still occupies caches.
    pub(super) fn scale(&self) -> f64 {
        0.5 + self.task.load
    }

    /// Applies the weights of the task's shop.
    pub(super) fn set_weights(&mut self, set: &Settings) {
        self.weights = set.weights(&self.task.shop);
        self.tolerated = self.weights.tolerance.max(0.01);
    }

    /// Declared size, or the peak usage with a margin after enough reports if `correct` is set.
    fn reservation(&self, correct: bool) -> Size {
        if !correct || self.reports < MIN_REPORTS {
            return self.task.size;
        }
        let with_margin = |value: u64| (value as f64 * PEAK_MARGIN) as u64;
        Size::new(
            with_margin(self.peak.cores),
            with_margin(self.peak.memory),
            self.task.size.accelerators,
        )
    }
}

/// A member of an execution on this worker.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Task {
    /// Whether a worker's report has confirmed it.
    pub(super) confirmed: bool,
    pub(super) fence: u64,
    pub(super) grant: Size,
    pub(super) job: Name,
    /// Index of its kind in the interference model.
    pub(super) kind: usize,
    /// Peak memory in MB that was last learned from this execution; 0 for none yet.
    pub(super) learned: u64,
    /// Highest reported usage.
    pub(super) peak: Size,
    /// Whether it was restored from the log and not proposed by this leader.
    pub(super) replayed: bool,
    /// Memory in MB at the last rise above `RISE_PERCENT`, and when it was reported.
    pub(super) rise: (u64, Moment),
    /// When its start or stop was last sent.
    pub(super) sent: Option<Moment>,
    /// Percent of the granted cores that it may use.
    pub(super) share: u8,
    /// When the share last changed.
    #[serde(rename = "shared")]
    pub(super) share_changed: Moment,
    /// Expected usage at full share, in thousandths of a core.
    pub(super) used: u64,
}

/// The mix of batch tasks from `at` until the next entry.
#[derive(Clone, Debug, Serialize)]
struct HistoryEntry {
    at: Moment,
    /// Load factors of the quick tasks, by position.
    loads: Vec<f64>,
    mix: Vec<Pressure>,
}

/// State of a worker.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Worker {
    pub(super) alive: bool,
    pub(super) health: Health,
    /// When it first joined this planner; `None` if it is only known from the log.
    #[serde(rename = "heard")]
    pub(super) first_heard: Option<Moment>,
    /// The waiting job that its free resources are held for.
    #[serde(rename = "hold")]
    pub(super) held_for: Option<Name>,
    pub(super) info: Instance,
    /// When the leases of its tasks have certainly ended; set while it is silent.
    pub(super) lease_end: Option<Moment>,
    /// When a job was last moved away to protect quick tasks.
    #[serde(rename = "moved")]
    pub(super) last_move: Option<Moment>,
    pub(super) quick: Vec<QuickState>,
    /// Since when a quick task exceeds its tolerance despite throttling.
    pub(super) strained: Option<Moment>,
    pub(super) tasks: Vec<Task>,
    free: Size,
    history: VecDeque<HistoryEntry>,
    mix: Vec<Pressure>,
    reserved: Size,
}

impl Worker {
    pub(super) fn new(info: Instance) -> Self {
        let free = info.size;
        Self {
            alive: true,
            health: Health::default(),
            first_heard: None,
            held_for: None,
            info,
            lease_end: None,
            last_move: None,
            quick: Vec::new(),
            strained: None,
            tasks: Vec::new(),
            free,
            history: VecDeque::new(),
            mix: Vec::new(),
            reserved: Size::default(),
        }
    }

    /// Size that is neither granted to a job nor reserved for quick tasks.
    pub(super) const fn free(&self) -> Size {
        self.free
    }

    /// Sum of the grants of its tasks.
    pub(super) const fn reserved(&self) -> Size {
        self.reserved
    }

    /// Fraction of the cores that is not free.
    pub(super) fn fullness(&self) -> f64 {
        1.0 - (self.free.cores as f64 / self.info.size.cores.max(1) as f64)
    }

    pub(super) fn task(&mut self, job: &str) -> Option<&mut Task> {
        self.tasks.iter_mut().find(|task| task.job.as_str() == job)
    }

    /// Recomputes the free size, the mix and the predicted excess, and extends the history.
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
        let loads: Vec<_> = self.quick.iter().map(QuickState::scale).collect();
        let same =
            self.history.back().is_some_and(|last| last.mix == self.mix && last.loads == loads);
        if !same {
            self.history.push_back(HistoryEntry { at: now, loads, mix: self.mix.clone() });
        }
        while self.history.len() > 1 && self.history[1].at < now - HISTORY_SPAN {
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

    /// Replaces the list of quick tasks, and keeps what was learned about those that remain.
    pub(super) fn set_quick(&mut self, tasks: Vec<QuickTask>, model: &mut Model, set: &Settings) {
        let mut old = std::mem::take(&mut self.quick);
        let shape: Vec<_> = old.iter().map(|q| q.victim).collect();
        for task in tasks {
            let known =
                old.iter().position(|q| q.task.service == task.service && q.task.kind == task.kind);
            if let Some(index) = known {
                let mut quick = old.swap_remove(index);
                quick.task = task;
                quick.set_weights(set);
                self.quick.push(quick);
            } else {
                let weights = set.weights(&task.shop);
                self.quick.push(QuickState {
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
        // The history holds loads by position, which is no longer valid.
        if shape != self.quick.iter().map(|q| q.victim).collect::<Vec<_>>() {
            self.history.clear();
        }
    }

    /// Records the usage of a job's task. Returns whether its memory has stopped growing and its
    /// size was not learned yet.
    ///
    /// Never true for a throttled task, whose memory may just grow more slowly.
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
        task.share == 100 && task.learned == 0 && now.since(task.rise.1) >= STABLE_AFTER
    }

    /// Records the usage of a quick task.
    pub(super) fn quick_used(&mut self, service: &Name, kind: &Name, used: Size) {
        let found =
            self.quick.iter_mut().find(|q| q.task.service == *service && q.task.kind == *kind);
        if let Some(quick) = found {
            let decay = |value: u64| (value as f64 * PEAK_DECAY) as u64;
            let decayed = Size::new(decay(quick.peak.cores), decay(quick.peak.memory), 0);
            quick.peak = decayed.max(used);
            quick.reports = quick.reports.saturating_add(1);
        }
    }

    /// Average mix over a past time span, scaled with the load of the quick task at `index`.
    ///
    /// `None` if the history doesn't cover the whole span.
    pub(super) fn past_mix(
        &self,
        index: usize,
        from: Moment,
        until: Moment,
    ) -> Option<Vec<Pressure>> {
        if self.history.front()?.at > from || until <= from {
            return None;
        }
        let whole = until.since(from).as_micros() as f64;
        let mut sums: BTreeMap<usize, f64> = BTreeMap::new();
        for (i, entry) in self.history.iter().enumerate() {
            let end = self.history.get(i + 1).map_or(until, |next| next.at);
            let start = entry.at.max(from);
            let part = end.min(until).since(start).as_micros() as f64 / whole;
            if part > 0.0 {
                let scale = entry.loads.get(index).copied().unwrap_or(1.0);
                for p in &entry.mix {
                    *sums.entry(p.kind).or_default() += p.amount * scale * part;
                }
            }
        }
        let mix = sums.into_iter();
        Some(mix.map(|(kind, amount)| Pressure { kind, amount }).collect())
    }

    /// Moves the offset of a quick task towards a measured difference from the prediction.
    pub(super) fn update_offset(&mut self, index: usize, difference: f64) {
        let quick = &mut self.quick[index];
        quick.offset += OFFSET_GAIN * (difference - quick.offset);
        quick.offset = quick.offset.clamp(-0.5, 1.0);
    }

    /// Highest predicted excess of a quick task as a multiple of its tolerated excess, with `extra`
    /// added pressure of a batch kind. The added pressure is weighed with the shop's caution.
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

    /// Why a task of size `need` can't be placed here while `margin` stays free; `None` if it can.
    pub(super) fn rejection(&self, job: &Name, need: Size, margin: Size) -> Option<Finding> {
        if !self.alive {
            return Some(Finding::Lost);
        }
        if self.health.quarantined() {
            return Some(Finding::Quarantined);
        }
        if self.held_for.as_ref().is_some_and(|held| held != job) {
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
