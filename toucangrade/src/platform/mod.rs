//! The agent's duty for its worker: tasks of jobs under fences and leases, usage and latency.

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

/// Time between two heartbeats about the worker.
const WORK_EVERY: Span = Span::millis(500);
/// Time for which heartbeats follow every tick after a stop or checkpoint was ordered, since urgent
/// work may wait for it.
const HURRY: Span = Span::millis(1_500);
/// Time after the agent's start from which it vouches that an execution is not here: twice the time
/// that an earlier agent's call to the worker may take.
const VOUCH_AFTER: Span = Span::secs(2);
/// Jobs whose newest fence is remembered after their task ended.
const FENCES_KEPT: usize = 10_000;

/// A task on the worker.
#[derive(Debug, Serialize)]
struct Task {
    fence: u64,
    grant: Size,
    /// Time for which it may run on without contact to control.
    lease: Span,
    stage: Stage,
    /// What the worker told last; `None` until it lists the task.
    status: Option<Status>,
    /// Heartbeat with the end of the task, so that its answer lets the task be forgotten.
    told: Option<u64>,
}

/// State of the duty.
#[derive(Debug, Serialize)]
pub(crate) struct Tasks {
    instance: Instance,
    incarnation: u64,
    tasks: BTreeMap<Name, Task>,
    fences: BTreeMap<Name, u64>,
    #[serde(skip)]
    order: VecDeque<Name>,
    /// Whether the worker has listed its tasks since the agent started.
    listed: bool,
    offers: Vec<Offer>,
    meter: Meter,
    next: Moment,
    number: u64,
    /// Until when heartbeats follow every tick.
    hurry: Moment,
    /// Last moment at which control answered.
    contact: Moment,
    /// When the worker first listed its tasks.
    first: Option<Moment>,
    /// Executions that were stopped and are not here, with the heartbeat that says so.
    absent: BTreeMap<Name, (u64, Option<u64>)>,
    probed: Option<bool>,
    refused: u64,
}

impl Tasks {
    /// State of an agent that has not heard from its worker.
    pub(crate) fn new(instance: Instance, incarnation: u64) -> Self {
        Self {
            instance,
            incarnation,
            tasks: BTreeMap::new(),
            fences: BTreeMap::new(),
            order: VecDeque::new(),
            listed: false,
            offers: Vec::new(),
            meter: Meter::default(),
            next: Moment::START,
            number: 0,
            hurry: Moment::START,
            contact: Moment::START,
            first: None,
            absent: BTreeMap::new(),
            probed: None,
            refused: 0,
        }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Offers(offers) => {
                self.offers = offers;
                Vec::new()
            },
            Message::Ordered { number, orders: Some(orders) } => {
                self.contact = now;
                self.probed = None;
                self.forget(number);
                if orders.iter().any(|o| matches!(o, Order::Checkpoint(_) | Order::Stop(_))) {
                    self.hurry = now + HURRY;
                    self.next = now;
                }
                orders.into_iter().filter_map(|order| self.obey(now, order)).collect()
            },
            Message::Ordered { .. } | Message::Polled(None) => Vec::new(),
            Message::Polled(Some(listed)) => self.polled(now, listed),
            Message::Served { kind, took } => {
                let offer = self.offers.iter().find(|offer| offer.kinds.contains(&kind));
                if let Some(service) = offer.map(|offer| offer.service.clone()) {
                    self.meter.note(now, service, kind, took);
                }
                Vec::new()
            },
            Message::Tick => self.tick(now),
        }
    }

    fn obey(&mut self, now: Moment, order: Order) -> Option<Effect> {
        match order {
            Order::Checkpoint(target) => {
                self.current(&target).then_some(Effect::Checkpoint(target))
            },
            Order::Probe => {
                // A worker that lists its tasks answers; what it runs is judged by the planner.
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
                    // It never came here, so it is stopped before it can.
                    self.remember(&target.job, target.fence);
                }
                let vouches = self.first.is_some_and(|first| now.since(first) >= VOUCH_AFTER);
                let newest = self.fence(&target.job) == target.fence;
                if vouches && newest && !self.tasks.contains_key(&target.job) {
                    // The leader waits for the end of an execution that isn't here.
                    self.absent.insert(target.job.clone(), (target.fence, None));
                }
                Some(Effect::Stop(target))
            },
            Order::Throttle { share, target } => {
                self.current(&target).then_some(Effect::Throttle { share, target })
            },
        }
    }

    /// Takes a task in when its fence is new and the worker has room for it.
    fn start(&mut self, target: &Target, grant: Size, lease: Span) -> bool {
        let Target { fence, job, .. } = target;
        if let Some(task) = self.tasks.get(job).filter(|task| task.fence == *fence) {
            // The start again; the worker takes it once.
            return task.status.is_none() && task.stage == Stage::Running;
        }
        let live = self.tasks.get(job).is_some_and(|task| task.stage == Stage::Running);
        if !self.listed || live || *fence <= self.fence(job) {
            return false;
        }
        let used = self.used();
        if !(used + grant).fits(self.instance.size) {
            self.refused += 1;
            return false;
        }
        self.remember(job, *fence);
        let (stage, status, told) = (Stage::Running, None, None);
        let task = Task { fence: *fence, grant, lease, stage, status, told };
        self.tasks.insert(job.clone(), task);
        let used = self.used();
        invariant!(used.fits(self.instance.size), "the worker is given more than it has room for");
        true
    }

    /// What running tasks are granted.
    fn used(&self) -> Size {
        let live = self.tasks.values().filter(|task| task.stage == Stage::Running);
        live.fold(Size::default(), |sum, task| sum + task.grant)
    }

    fn current(&self, target: &Target) -> bool {
        self.tasks.get(&target.job).is_some_and(|task| task.fence == target.fence)
    }

    fn fence(&self, job: &Name) -> u64 {
        self.fences.get(job).copied().unwrap_or(0)
    }

    fn remember(&mut self, job: &Name, fence: u64) {
        if self.fences.insert(job.clone(), fence).is_none() {
            self.order.push_back(job.clone());
        }
        while self.order.len() > FENCES_KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.fences.remove(&oldest);
            }
        }
    }

    /// Takes over what the worker lists; tasks of an earlier agent are adopted.
    fn polled(&mut self, now: Moment, listed: Vec<Status>) -> Vec<Effect> {
        self.listed = true;
        self.first.get_or_insert(now);
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
                self.remember(&status.job, status.fence);
            }
            let lease = Span::secs(10);
            let adopted = Task {
                fence: status.fence,
                grant: status.used,
                lease,
                stage: Stage::Running,
                status: None,
                told: None,
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
        // Without contact to control a task may have been given to another worker.
        let expired = |task: &Task| {
            task.stage == Stage::Running && now.since(self.contact) >= task.lease.percent(90)
        };
        for (job, task) in &self.tasks {
            if expired(task) {
                effects.push(Effect::Stop(self.target(job, task.fence)));
            }
        }
        if now >= self.next {
            self.next = if now < self.hurry { now } else { now + WORK_EVERY };
            effects.push(Effect::Poll);
            if self.listed {
                effects.push(self.work(now));
            }
        }
        effects
    }

    /// The heartbeat with everything that control has not confirmed.
    fn work(&mut self, now: Moment) -> Effect {
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
                task.told.get_or_insert(number);
            }
            jobs.push((job.clone(), task.fence, used));
        }
        for (job, (fence, told)) in &mut self.absent {
            let target = Target { fence: *fence, job: job.clone(), worker: worker.clone() };
            reports.push(Report { event: Event::Stopped(Checkpoint::default()), target });
            told.get_or_insert(number);
        }
        let usage = Usage {
            from: WORK_EVERY,
            jobs,
            quick: Vec::new(),
            until: Span::ZERO,
            worker: worker.clone(),
        };
        let latency = self.meter.reports(now, &worker);
        let (quick, probed) = (self.quick(), self.probed);
        let usage = Some(usage);
        let work = Work { instance, incarnation, quick, reports, usage, latency, probed };
        Effect::Work { number, work }
    }

    /// Latency-critical tasks beside the agent, with the load that was measured.
    fn quick(&self) -> Vec<QuickTask> {
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
                    // Control knows which shop declared the service.
                    shop: offer.service.clone(),
                    size: Size::default(),
                });
            }
        }
        tasks
    }

    /// Forgets tasks whose end control has taken in.
    fn forget(&mut self, number: u64) {
        self.tasks.retain(|_, task| task.told.is_none_or(|told| told > number));
        self.absent.retain(|_, (_, told)| told.is_none_or(|told| told > number));
    }

    fn target(&self, job: &Name, fence: u64) -> Target {
        Target { fence, job: job.clone(), worker: self.instance.name.clone() }
    }
}
