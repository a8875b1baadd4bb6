//! The scheduling duty of the leader: connects the planner with the replicated log and the agents
//! of workers.

mod message;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Serialize;

pub(crate) use self::message::{Effect, Message, Order, Work};
use crate::core::{Moment, Name, Span};
use crate::membership::Config;
use crate::placement::{self, Instance, Planner, Quota, Settings, Summary};
use crate::resources::QuotaSpec;
use crate::runs::{Evidence, JobRecord};

/// Time without a heartbeat after which a worker counts as silent.
const SILENT_AFTER: Span = Span::millis(3_000);
/// Interval at which a changed summary of learned estimates is proposed.
const LEARN_INTERVAL: Span = Span::secs(60);
/// Maximum number of jobs whose newest reasons are kept.
const REASONS_KEPT: usize = 10_000;

/// A worker whose agent has sent heartbeats.
#[derive(Debug, Serialize)]
struct Worker {
    instance: Instance,
    incarnation: u64,
    /// Time of the last heartbeat.
    seen: Moment,
    /// Whether the planner was told that it is silent.
    lost: bool,
    /// Orders for the answer to the next heartbeat.
    #[serde(skip)]
    orders: Vec<Order>,
}

/// State of the scheduling duty. Nothing of it is persisted; durable state is in the log.
#[derive(Debug, Serialize)]
pub(crate) struct Scheduling {
    settings: Settings,
    /// The planner; `None` unless this instance leads.
    planner: Option<Planner>,
    /// Kind of each job.
    kinds: BTreeMap<Name, Name>,
    /// The configuration in force; its quotas and objectives apply to jobs and quick tasks.
    config: Config,
    workers: BTreeMap<Name, Worker>,
    /// Newest reasons of each job.
    reasons: BTreeMap<Name, Vec<String>>,
    /// The committed summary of learned estimates, while this instance leads.
    #[serde(skip)]
    agreed: Option<Summary>,
    /// When the summary was last compared with the committed one.
    summarised: Moment,
}

impl Scheduling {
    /// Creates the state of an instance that doesn't lead.
    pub(crate) fn new(settings: Settings) -> Self {
        let (kinds, workers, reasons) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let config = Config::default();
        let (agreed, summarised) = (None, Moment::START);
        Self { settings, planner: None, kinds, config, workers, reasons, agreed, summarised }
    }

    /// Handles one message.
    pub(crate) fn step(&mut self, now: Moment, message: Message) -> Vec<Effect> {
        match message {
            Message::Cancel(job) => self.step_planner(now, placement::Message::Cancel { job }),
            Message::Configure(config) => {
                let before = std::mem::replace(&mut self.config, config);
                self.configure(now, &before.quotas)
            },
            Message::Decided { decision, accepted: true } => {
                self.step_planner(now, placement::Message::Committed(decision))
            },
            Message::Decided { decision, .. } | Message::Dropped(decision) => {
                self.step_planner(now, placement::Message::Rejected(decision))
            },
            Message::Explain { ticket, job } => {
                let text = self.reasons.get(&job).cloned().unwrap_or_default();
                vec![Effect::Explained { ticket, text }]
            },
            Message::Follow => {
                self.planner = None;
                self.agreed = None;
                self.workers.clear();
                Vec::new()
            },
            Message::Lead { learned, runs } => self.lead(now, learned, runs),
            Message::Learned(summary) => {
                self.agreed = Some(summary);
                Vec::new()
            },
            Message::Submit(run) => {
                self.kinds.insert(run.spec.name.clone(), run.spec.kind.clone());
                self.step_planner(now, placement::Message::Submit(run.spec))
            },
            Message::Tick => self.tick(now),
            Message::Work { ticket, work } => self.heartbeat(now, ticket, work),
        }
    }

    /// Rebuilds the planner from the jobs and the summary of the log.
    fn lead(
        &mut self,
        now: Moment,
        learned: Option<(Summary, Span)>,
        runs: Vec<JobRecord>,
    ) -> Vec<Effect> {
        self.workers.clear();
        self.kinds.clear();
        self.planner = Some(Planner::new(self.settings.clone()));
        self.summarised = now;
        self.agreed = learned.as_ref().map(|(summary, _)| summary.clone());
        if let Some((summary, age)) = learned {
            let (age_ms, estimates) = (age.as_millis(), summary.estimates());
            tracing::info!(age_ms, estimates, "planner starts from the committed summary");
            self.step_planner(now, placement::Message::Learned { age, summary });
        }
        let cancelled: Vec<Name> =
            runs.iter().filter(|run| run.cancelled).map(|run| run.spec.name.clone()).collect();
        // The planner gets the quotas first, so that no waiting job is tried without them.
        let mut effects = self.configure(now, &BTreeMap::new());
        for JobRecord { spec, fence, from, members, evidence, .. } in runs {
            self.kinds.insert(spec.name.clone(), spec.kind.clone());
            let begun = evidence == Evidence::Started;
            let (leaving, members) = match (members, evidence) {
                (None, Evidence::Leaving(members)) => (true, Some(members)),
                (members, _) => (false, members),
            };
            let restore =
                placement::Message::Restore { begun, fence, from, leaving, members, spec };
            effects.extend(self.step_planner(now, restore));
        }
        effects.extend(self.step_planner(now, placement::Message::Lead));
        for job in cancelled {
            effects.extend(self.step_planner(now, placement::Message::Cancel { job }));
        }
        effects
    }

    /// Passes the quotas that differ from `before`, and all objectives, to the planner.
    fn configure(&mut self, now: Moment, before: &BTreeMap<Name, QuotaSpec>) -> Vec<Effect> {
        if *before == self.config.quotas {
            return Vec::new();
        }
        let quotas = &self.config.quotas;
        let deleted = before.keys().filter(|team| !quotas.contains_key(*team));
        let unlimited = deleted.map(|team| Quota { team: team.clone(), weight: 1, limit: None });
        let changed = quotas.iter().filter(|(team, quota)| before.get(*team) != Some(*quota));
        let changed = changed.map(|(team, quota)| quota.planned(team));
        let changes: Vec<Quota> = unlimited.chain(changed).collect();
        let shops = quotas.iter().map(|(shop, quota)| (shop.clone(), quota.objective)).collect();
        let mut effects = self.step_planner(now, placement::Message::Shops(shops));
        for quota in changes {
            effects.extend(self.step_planner(now, placement::Message::Quota(quota)));
        }
        effects
    }

    /// Handles a heartbeat, and answers it with the pending orders.
    fn heartbeat(&mut self, now: Moment, ticket: u64, work: Work) -> Vec<Effect> {
        if self.planner.is_none() {
            return vec![Effect::Refuse { ticket }];
        }
        let Work { instance, incarnation, mut quick, reports, usage, latency, probed } = work;
        let name = instance.name.clone();
        let known = self.workers.get(&name);
        let unchanged = known.is_some_and(|worker| {
            !worker.lost && worker.instance == instance && worker.incarnation == incarnation
        });
        let orders = self.workers.remove(&name).map(|worker| worker.orders).unwrap_or_default();
        let worker =
            Worker { instance: instance.clone(), incarnation, seen: now, lost: false, orders };
        self.workers.insert(name.clone(), worker);
        for task in &mut quick {
            if let Some(service) = self.config.services.get(&task.service) {
                task.shop = service.shop.clone();
            }
        }
        let mut effects = Vec::new();
        if !unchanged {
            effects.extend(self.step_planner(now, placement::Message::Worker(instance)));
        }
        let tasks = placement::Message::Quick { tasks: quick, worker: name.clone() };
        effects.extend(self.step_planner(now, tasks));
        for report in reports {
            effects.extend(self.step_planner(now, placement::Message::Report(report)));
        }
        for report in latency {
            effects.extend(self.step_planner(now, placement::Message::Latency(report)));
        }
        if let Some(usage) = usage {
            effects.extend(self.step_planner(now, placement::Message::Usage(usage)));
        }
        if let Some(healthy) = probed {
            let message = placement::Message::Probed { healthy, worker: name.clone() };
            effects.extend(self.step_planner(now, message));
        }
        let worker = self.workers.get_mut(&name);
        let orders = worker.map(|w| std::mem::take(&mut w.orders)).unwrap_or_default();
        effects.push(Effect::Orders { ticket, orders });
        effects
    }

    fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut silent = Vec::new();
        for (name, worker) in &mut self.workers {
            if !worker.lost && now.since(worker.seen) > SILENT_AFTER {
                worker.lost = true;
                worker.orders.clear();
                silent.push((name.clone(), now.since(worker.seen)));
            }
        }
        let mut effects = Vec::new();
        for (worker, silent) in silent {
            effects.extend(self.step_planner(now, placement::Message::Lost { silent, worker }));
        }
        effects.extend(self.step_planner(now, placement::Message::Tick));
        effects.extend(self.propose_summary(now));
        effects
    }

    /// Proposes the planner's summary if it differs from the committed one. A lost proposal is
    /// repeated after the next interval.
    fn propose_summary(&mut self, now: Moment) -> Option<Effect> {
        let planner =
            self.planner.as_ref().filter(|_| now.since(self.summarised) >= LEARN_INTERVAL)?;
        self.summarised = now;
        let summary = planner.summary();
        let changed = self.agreed.as_ref().unwrap_or(&Summary::default()) != &summary;
        changed.then_some(Effect::Learn(summary))
    }

    /// Passes a message to the planner, and turns its effects into proposals, orders and reasons.
    fn step_planner(&mut self, now: Moment, message: placement::Message) -> Vec<Effect> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let mut effects = Vec::new();
        for effect in planner.step(now, message) {
            match effect {
                placement::Effect::Propose(decision) => effects.push(Effect::Propose(decision)),
                placement::Effect::Explain(record) => self.record_reasons(&record),
                placement::Effect::Checkpoint(target) => {
                    self.order(&target.worker.clone(), Order::Checkpoint(target));
                },
                placement::Effect::Probe { worker } => self.order(&worker, Order::Probe),
                placement::Effect::Quarantine { wait, worker } => {
                    tracing::warn!(%worker, wait_ms = wait.as_millis(), "worker quarantined");
                },
                placement::Effect::Start { from, grant, lease, target } => {
                    let Some(kind) = self.kinds.get(&target.job).cloned() else { continue };
                    let worker = target.worker.clone();
                    self.order(&worker, Order::Start { kind, from, grant, lease, target });
                },
                placement::Effect::Stop(target) => {
                    self.order(&target.worker.clone(), Order::Stop(target));
                },
                placement::Effect::Throttle { share, target } => {
                    self.order(&target.worker.clone(), Order::Throttle { share, target });
                },
            }
        }
        effects
    }

    /// Queues an order for the worker's next heartbeat. The planner repeats lost starts and stops.
    fn order(&mut self, worker: &Name, order: Order) {
        if let Some(worker) = self.workers.get_mut(worker)
            && !worker.orders.contains(&order)
        {
            worker.orders.push(order);
        }
    }

    /// Keeps the newest reasons of a job.
    fn record_reasons(&mut self, record: &placement::Record) {
        if self.reasons.len() >= REASONS_KEPT {
            self.reasons.pop_first();
        }
        self.reasons.insert(record.job.clone(), message::sentences(record));
    }
}
