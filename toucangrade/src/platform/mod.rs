//! Duty of an agent beside a worker: starts and stops the worker's tasks as control orders, under
//! fences and leases, and reports tasks, usage and latency in heartbeats.

mod latency;
mod message;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use self::latency::Meter;
pub(crate) use self::message::{Begin, Effect, Message, Platform, Stage, Status};
use crate::core::{Moment, Name, Span, invariant};
use crate::membership::Offer;
use crate::placement::{
    Checkpoint, Event, Fault, Instance, QuickTask, Report, Size, Target, Usage,
};
use crate::scheduling::{Order, Work};

/// Interval of the heartbeats to control about the worker.
const HEARTBEAT_INTERVAL: Span = Span::millis(500);
/// Time after an order to stop or checkpoint in which a heartbeat is sent on every tick, since
/// urgent work may wait for the result.
const FAST_HEARTBEAT_PERIOD: Span = Span::millis(1_500);
/// Time after the worker's first task list before the agent reports an execution that is not listed
/// as stopped: twice the time that a call of an earlier agent to the worker may take.
const ABSENCE_DELAY: Span = Span::secs(2);
/// Number of jobs whose newest fence is kept, also after their task has ended.
const MAX_FENCES: usize = 10_000;

/// A task on the worker.
#[derive(Debug, Serialize)]
struct Task {
    fence: u64,
    grant: Size,
    /// Time for which the task may keep running without contact to control.
    lease: Span,
    stage: Stage,
    /// Last status reported by the worker; `None` until it lists the task.
    status: Option<Status>,
    /// Number of the first heartbeat that reports the end of the task. A reply to it or to a later
    /// one confirms the end, and the task is removed.
    #[serde(rename = "told")]
    end_heartbeat: Option<u64>,
}

/// State of the platform duty.
#[derive(Debug, Serialize)]
pub(crate) struct Tasks {
    instance: Instance,
    incarnation: u64,
    tasks: BTreeMap<Name, Task>,
    /// Newest fence of each job.
    fences: BTreeMap<Name, u64>,
    /// Jobs of `fences`, the oldest first.
    #[serde(skip)]
    insertion_order: VecDeque<Name>,
    /// Whether the worker has listed its tasks since the agent started.
    listed: bool,
    offers: Vec<Offer>,
    meter: Meter,
    #[serde(rename = "next")]
    next_heartbeat: Moment,
    /// Number of the last heartbeat.
    number: u64,
    /// Time until which a heartbeat is sent on every tick.
    #[serde(rename = "hurry")]
    fast_until: Moment,
    /// Time of the last reply from control.
    #[serde(rename = "contact")]
    last_contact: Moment,
    /// Time of the worker's first task list.
    #[serde(rename = "first")]
    first_list: Option<Moment>,
    /// Executions that control ordered to stop and that the worker doesn't have: their fence, and
    /// the number of the first heartbeat that reports them as stopped.
    absent: BTreeMap<Name, (u64, Option<u64>)>,
    /// Result of a probe that the last orders contained.
    probed: Option<bool>,
    /// Number of starts refused because the worker had not enough room.
    refused: u64,
}

impl Tasks {
    /// Initial state, before the worker has listed its tasks.
    pub(crate) fn new(instance: Instance, incarnation: u64) -> Self {
        Self {
            instance,
            incarnation,
            tasks: BTreeMap::new(),
            fences: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            listed: false,
            offers: Vec::new(),
            meter: Meter::default(),
            next_heartbeat: Moment::START,
            number: 0,
            fast_until: Moment::START,
            last_contact: Moment::START,
            first_list: None,
            absent: BTreeMap::new(),
            probed: None,
            refused: 0,
        }
    }

    /// Handles a message and returns the effects to perform.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Offers(offers) => {
                self.offers = offers;
                Vec::new()
            },
            Message::Ordered { number, orders: Some(orders) } => {
                self.last_contact = now;
                self.probed = None;
                self.drop_confirmed(number);
                if orders.iter().any(|o| matches!(o, Order::Checkpoint(_) | Order::Stop(_))) {
                    self.fast_until = now + FAST_HEARTBEAT_PERIOD;
                    self.next_heartbeat = now;
                }
                orders.into_iter().filter_map(|order| self.apply(now, order)).collect()
            },
            Message::Ordered { .. } | Message::Polled(None) => Vec::new(),
            Message::Polled(Some(listed)) => self.update_tasks(now, listed),
            Message::Served { kind, took } => {
                let offer = self.offers.iter().find(|offer| offer.kinds.contains(&kind));
                if let Some(service) = offer.map(|offer| offer.service.clone()) {
                    self.meter.record(now, service, kind, took);
                }
                Vec::new()
            },
            Message::Tick => self.tick(now),
        }
    }

    fn apply(&mut self, now: Moment, order: Order) -> Option<Effect> {
        match order {
            Order::Checkpoint(target) => {
                self.is_current(&target).then_some(Effect::Checkpoint(target))
            },
            Order::Probe => {
                // The probe succeeds if the worker has listed its tasks; the planner checks which.
                self.probed = Some(self.listed);
                None
            },
            Order::Start { kind, from, grant, lease, target } => {
                self.start(&target, grant, lease).then(|| {
                    let Target { fence, job, .. } = target;
                    let lease_ms = lease.as_millis();
                    Effect::Begin(Begin { job, fence, kind, from, grant, lease_ms })
                })
            },
            Order::Stop(target) => {
                if self.fence(&target.job) < target.fence && self.listed {
                    // The start has not arrived yet; the recorded fence rejects it if it does.
                    self.record_fence(&target.job, target.fence);
                }
                let may_confirm =
                    self.first_list.is_some_and(|first| now.since(first) >= ABSENCE_DELAY);
                let newest = self.fence(&target.job) == target.fence;
                if may_confirm && newest && !self.tasks.contains_key(&target.job) {
                    // The leader waits for the end of an execution that the worker doesn't have.
                    self.absent.insert(target.job.clone(), (target.fence, None));
                }
                Some(Effect::Stop(target))
            },
            Order::Throttle { share, target } => {
                self.is_current(&target).then_some(Effect::Throttle { share, target })
            },
        }
    }

    /// Adds a task if its fence is new and the worker has room for it; returns whether to send the
    /// start to the worker.
    fn start(&mut self, target: &Target, grant: Size, lease: Span) -> bool {
        let Target { fence, job, .. } = target;
        if let Some(task) = self.tasks.get(job).filter(|task| task.fence == *fence) {
            // A repeated order is passed on until the worker lists the task, which it starts once.
            return task.status.is_none() && task.stage == Stage::Running;
        }
        let live = self.tasks.get(job).is_some_and(|task| task.stage == Stage::Running);
        if !self.listed || live || *fence <= self.fence(job) {
            return false;
        }
        let granted = self.granted();
        if !(granted + grant).fits(self.instance.size) {
            self.refused += 1;
            return false;
        }
        self.record_fence(job, *fence);
        let (stage, status, end_heartbeat) = (Stage::Running, None, None);
        let task = Task { fence: *fence, grant, lease, stage, status, end_heartbeat };
        self.tasks.insert(job.clone(), task);
        let granted = self.granted();
        invariant!(
            granted.fits(self.instance.size),
            "the granted resources exceed the size of the worker"
        );
        true
    }

    /// Total resources granted to running tasks.
    fn granted(&self) -> Size {
        let live = self.tasks.values().filter(|task| task.stage == Stage::Running);
        live.fold(Size::default(), |sum, task| sum + task.grant)
    }

    /// Whether the task of the target is on the worker with the same fence.
    fn is_current(&self, target: &Target) -> bool {
        self.tasks.get(&target.job).is_some_and(|task| task.fence == target.fence)
    }

    fn fence(&self, job: &Name) -> u64 {
        self.fences.get(job).copied().unwrap_or(0)
    }

    fn record_fence(&mut self, job: &Name, fence: u64) {
        if self.fences.insert(job.clone(), fence).is_none() {
            self.insertion_order.push_back(job.clone());
        }
        while self.insertion_order.len() > MAX_FENCES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.fences.remove(&oldest);
            }
        }
    }

    /// Updates the tasks from the worker's list; tasks started by an earlier agent are adopted, and
    /// those with an outdated fence are stopped.
    fn update_tasks(&mut self, now: Moment, listed: Vec<Status>) -> Vec<Effect> {
        self.listed = true;
        self.first_list.get_or_insert(now);
        let mut effects = Vec::new();
        for status in listed {
            let fence = self.fence(&status.job);
            if status.fence < fence {
                if status.stage == Stage::Running {
                    effects.push(Effect::Stop(self.target(&status.job, status.fence)));
                }
                continue;
            }
            if status.fence > fence {
                self.record_fence(&status.job, status.fence);
            }
            let lease = Span::secs(10);
            let adopted = Task {
                fence: status.fence,
                grant: status.used,
                lease,
                stage: Stage::Running,
                status: None,
                end_heartbeat: None,
            };
            let task = self.tasks.entry(status.job.clone()).or_insert(adopted);
            if task.fence == status.fence && task.stage == Stage::Running {
                task.stage = status.stage;
                task.status = Some(status);
            }
        }
        effects
    }

    fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        // Without contact to control, the task may have been assigned to another worker.
        let expired = |task: &Task| {
            task.stage == Stage::Running && now.since(self.last_contact) >= task.lease.percent(90)
        };
        for (job, task) in &self.tasks {
            if expired(task) {
                effects.push(Effect::Stop(self.target(job, task.fence)));
            }
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat =
                if now < self.fast_until { now } else { now + HEARTBEAT_INTERVAL };
            effects.push(Effect::Poll);
            if self.listed {
                effects.push(self.heartbeat(now));
            }
        }
        effects
    }

    /// Builds the heartbeat, with reports on the running tasks and on those whose end control has
    /// not confirmed yet.
    fn heartbeat(&mut self, now: Moment) -> Effect {
        self.number += 1;
        let number = self.number;
        let (instance, incarnation) = (self.instance.clone(), self.incarnation);
        let worker = instance.name.clone();
        let mut reports = Vec::new();
        let mut jobs = Vec::new();
        for (job, task) in &mut self.tasks {
            let Some(status) = &task.status else { continue };
            let target = Target { fence: task.fence, job: job.clone(), worker: worker.clone() };
            let report = |event| Report { event, target: target.clone() };
            let Status { checkpoint, done, used, .. } = *status;
            reports.push(report(Event::Started));
            reports.push(report(Event::Progress { checkpoint, done }));
            let end = match task.stage {
                Stage::Failed => Some(Event::Failed(Fault::Error)),
                Stage::Finished => Some(Event::Finished),
                Stage::Memory => Some(Event::Failed(Fault::Memory)),
                Stage::Running => None,
                Stage::Stopped => Some(Event::Stopped(checkpoint)),
            };
            if let Some(event) = end {
                reports.push(report(event));
                task.end_heartbeat.get_or_insert(number);
            }
            jobs.push((job.clone(), task.fence, used));
        }
        for (job, (fence, end_heartbeat)) in &mut self.absent {
            let target = Target { fence: *fence, job: job.clone(), worker: worker.clone() };
            reports.push(Report { event: Event::Stopped(Checkpoint::default()), target });
            end_heartbeat.get_or_insert(number);
        }
        let usage = Usage {
            from: HEARTBEAT_INTERVAL,
            jobs,
            quick: Vec::new(),
            until: Span::ZERO,
            worker: worker.clone(),
        };
        let latency = self.meter.reports(now, &worker);
        let (quick, probed) = (self.quick_tasks(), self.probed);
        let usage = Some(usage);
        let work = Work { instance, incarnation, quick, reports, usage, latency, probed };
        Effect::Work { number, work }
    }

    /// Quick kinds of the runners of this instance, with their measured load.
    fn quick_tasks(&self) -> Vec<QuickTask> {
        let mut tasks = Vec::new();
        for offer in &self.offers {
            for kind in &offer.kinds {
                let Some(load) = self.meter.load(&offer.service, kind, offer.slots) else {
                    continue;
                };
                tasks.push(QuickTask {
                    kind: kind.clone(),
                    load,
                    service: offer.service.clone(),
                    // Not the real shop: control knows which one declared the service.
                    shop: offer.service.clone(),
                    size: Size::default(),
                });
            }
        }
        tasks
    }

    /// Removes tasks whose end control has confirmed with the reply to the heartbeat `number`.
    fn drop_confirmed(&mut self, number: u64) {
        self.tasks.retain(|_, task| task.end_heartbeat.is_none_or(|sent| sent > number));
        self.absent.retain(|_, (_, sent)| sent.is_none_or(|sent| sent > number));
    }

    fn target(&self, job: &Name, fence: u64) -> Target {
        Target { fence, job: job.clone(), worker: self.instance.name.clone() }
    }
}
