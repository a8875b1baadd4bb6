//! Deterministic simulation of dispatch and hosting: multi-step jobs on simulated runners, with a
//! replicated log, control failover, and random faults of links, processes and runners.

mod control;
mod evacuations;
mod faults;
mod gangs;
mod machine;
mod runner;
mod truth;
mod world;

#[cfg(test)]
mod tests;

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use self::world::{SERVICE, World};
use crate::core::{Span, Violation, invariant, replayed};
use crate::dispatch::{ClientRequest, Verb};
use crate::jobs::{Configuration, Need, Phase, Queue, Service, Step};

/// Simulated time between two random actions, in microseconds.
const ACTION_INTERVAL: u64 = 100_000;
/// Maximum time until all jobs end after faults have stopped, in microseconds.
const SETTLE_TIMEOUT: u64 = 60_000_000;
const HOST: &str = "jobs.example";
/// Queues with their priorities.
const QUEUES: [(&str, u32); 3] = [("quick", 0), ("fill", 2), ("watch", 0)];

/// Counters of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    pub(crate) seed: u64,
    /// Messages that the duties processed.
    pub(crate) steps: u64,
    /// Simulated time in milliseconds.
    pub(crate) millis: u64,
    pub(crate) machines: usize,
    pub(crate) faults: u64,
    pub(crate) terms: u64,
    pub(crate) jobs: usize,
    pub(crate) runs: usize,
    pub(crate) completed: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, steps, millis, machines, faults, terms, jobs, runs, completed } = self;
        write!(
            f,
            "seed {seed}: {steps} steps in {millis} ms; {machines} machines, {faults} faults, \
             {terms} terms; {jobs} jobs, {runs} runs, {completed} jobs completed"
        )
    }
}

/// What runs include beyond single tasks and the usual faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    /// Operators evacuate data centres and restore them.
    pub evacuations: bool,
    /// Jobs whose tasks work only together.
    pub gangs: bool,
    /// Whether placement looks ahead.
    pub lookahead: bool,
    /// Runners that restart under their names and are cut off from their agents.
    pub restarts: bool,
}

/// Runs one seed for about `steps` steps, then stops all faults and waits until the jobs end.
///
/// # Errors
///
/// The violated invariant, with the trace of a second run of the same seed.
pub fn try_run(seed: u64, steps: u64, scope: Scope) -> Result<Report, Violation> {
    let start = |traced| {
        let mut driver = Driver::new(seed);
        driver.world.truth.scope = scope;
        if traced {
            driver.world.truth.enable_trace();
        }
        driver
    };
    let trace = |driver: &Driver| driver.world.truth.lines().cloned().collect();
    replayed(start, |driver| driver.run(steps), trace)
}

/// Generates the random jobs and faults of a run.
struct Driver {
    world: World,
    report: Report,
    /// Probability of a new job per action, out of 1,000.
    submit_rate: u32,
    /// Version of the last submitted configuration.
    version: u64,
    /// Lasting jobs that were not cancelled, with the millicores that each reserves.
    lasting: Vec<(u64, u64)>,
}

impl Driver {
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed);
        let submit_rate = world.draw(20..400) as u32;
        let report = Report { seed, ..Report::default() };
        Self { world, report, submit_rate, version: 0, lasting: Vec::new() }
    }

    fn run(&mut self, steps: u64) -> Report {
        self.world.advance(500_000);
        self.configure();
        self.world.advance(2_000_000);
        while self.world.steps < steps {
            self.inject_faults();
            self.world.recover();
            let calm = self.world.draw(8_000_000..24_000_000);
            self.run_for(calm, false);
        }
        self.settle();
        let world = &self.world;
        let completed = world.log.job_table.jobs.values().filter(|e| e.phase == Phase::Completed);
        Report {
            steps: world.steps,
            millis: world.now / 1_000,
            machines: world.machines.len(),
            terms: world.log.term,
            jobs: world.truth.jobs.len(),
            runs: world.truth.started.len(),
            completed: completed.count(),
            ..self.report.clone()
        }
    }

    fn inject_faults(&mut self) {
        let length = self.world.draw(2_000_000..14_000_000);
        self.run_for(length, true);
    }

    /// Runs for `length` microseconds with random jobs, and with random faults if `faults` is set.
    fn run_for(&mut self, length: u64, faults: bool) {
        let until = self.world.now + length;
        while self.world.now < until {
            if faults && self.world.chance(100) {
                self.report.faults += 1;
                self.world.inject_fault();
            }
            self.random_action();
            self.world.advance(ACTION_INTERVAL);
            self.world.check_liveness();
            self.world.check_waiting();
            self.world.check_gangs();
            self.world.check_reservations();
        }
    }

    fn random_action(&mut self) {
        // The backlog is limited, so that the jobs that faults delay can end before the run does.
        if self.world.open_jobs() < 2 * self.world.machines.len()
            && self.world.chance(self.submit_rate)
        {
            if self.world.truth.scope.gangs && self.world.chance(500) {
                self.submit_gangs();
            } else {
                self.submit();
            }
        }
        if self.world.chance(4) {
            let agent = self.world.draw(0..self.world.machines.len() as u64) as usize;
            self.world.drain(agent);
        }
        if self.world.chance(4) {
            self.configure();
        }
        if self.world.chance(20) {
            self.cancel();
        }
        if self.world.truth.scope.evacuations && self.world.chance(30) {
            self.world.order_random_evacuation();
        }
    }

    fn configure(&mut self) {
        self.version += 1;
        let stretch = 1.0 + self.world.draw(0..30) as f64 / 10.0;
        let queue = |(name, priority): &(&str, u32)| Queue {
            name: (*name).into(),
            host: HOST.into(),
            prefix: format!("/{name}/").into(),
            service: SERVICE.into(),
            priority: *priority,
            attempts: 3,
            stretch,
            objective: Span::secs(1),
            timeout: Span::secs(3),
        };
        let setup = Configuration {
            version: self.version,
            queues: QUEUES.iter().map(queue).collect(),
            services: vec![Service { name: SERVICE.into(), guarded: true, standby: false }],
            source: Bytes::from_static(b"{}"),
        };
        let verb = Verb::Configure(Arc::new(setup));
        self.world.request(ClientRequest { host: HOST.into(), path: "/".into(), job: None, verb });
    }

    fn submit(&mut self) {
        let reserved: u64 = self.lasting.iter().map(|(_, millicores)| millicores).sum();
        let (queue, steps) = match self.world.draw(0..10) {
            0..3 if reserved * 100 < self.world.capacity() * 35 => {
                ("watch", vec![self.service_step()])
            },
            0..6 => ("quick", self.short_steps()),
            _ => ("fill", vec![self.filler_step()]),
        };
        let id = self.world.truth.jobs.len() as u64 + 1;
        if queue == "watch" {
            let millicores = u64::from(steps[0].count) * steps[0].need.millicores;
            self.lasting.push((id, millicores));
        }
        let (spec, schedule) = ("spec".into(), None);
        let job = crate::jobs::Job { id, queue: queue.into(), spec, steps, schedule };
        let verb = Verb::Submit { spec: job.spec.clone(), steps: job.steps.clone(), schedule };
        self.world.truth.jobs.insert(id, Arc::new(job));
        self.request(queue, id, verb);
    }

    fn request(&mut self, queue: &str, job: u64, verb: Verb) {
        let path = format!("/{queue}/{job:016x}").into();
        self.world.request(ClientRequest { host: HOST.into(), path, job: Some(job), verb });
    }

    /// Draws a lasting step, which serves until it is cancelled.
    fn service_step(&mut self) -> Step {
        let world = &mut self.world;
        Step {
            count: world.draw(1..5) as u32,
            need: Need { millicores: world.draw(5..25) * 100, memory: 1_000, accelerators: 0 },
            spread: world.draw(0..3) as u32,
            label: world.chance(200).then(|| "a".into()),
            lasting: true,
            image: Some("watch".into()),
            target: 200,
            ..Step::default()
        }
    }

    /// Draws up to three short steps, each of which depends on the previous one.
    fn short_steps(&mut self) -> Vec<Step> {
        let world = &mut self.world;
        let mut step = |at: u64| Step {
            count: world.draw(1..7) as u32,
            need: Need { millicores: world.draw(2..20) * 100, memory: 500, accelerators: 0 },
            estimate: Span::millis(world.draw(50..2_500)),
            after: if at > 0 { vec![at as u16 - 1] } else { Vec::new() },
            spread: if world.chance(200) { 2 } else { 0 },
            ..Step::default()
        };
        let first = step(0);
        let mut steps = vec![first];
        for at in 1..3 {
            steps.push(step(at));
        }
        let count = world.draw(1..4) as usize;
        steps.truncate(count);
        steps
    }

    /// Draws a step that only uses cores that other tasks leave idle.
    fn filler_step(&mut self) -> Step {
        let world = &mut self.world;
        let image = if world.chance(400) { "heavy" } else { "light" };
        Step {
            count: world.draw(1..5) as u32,
            need: Need { millicores: world.draw(5..30) * 100, memory: 1_000, accelerators: 0 },
            estimate: Span::millis(world.draw(500..4_000)),
            checkpoints: world.chance(800),
            image: Some(image.into()),
            fills: true,
            ..Step::default()
        }
    }

    /// Cancels a random job; half of the time a lasting one, if there are several.
    fn cancel(&mut self) {
        let jobs = self.world.truth.jobs.len() as u64;
        let id = match self.lasting.len() as u64 {
            lasting if lasting > 1 && self.world.chance(500) => {
                let at = self.world.draw(0..lasting) as usize;
                self.lasting.remove(at).0
            },
            _ if jobs > 0 => 1 + self.world.draw(0..jobs),
            _ => return,
        };
        self.lasting.retain(|(job, _)| *job != id);
        let queue = self.world.truth.jobs[&id].queue.clone();
        self.request(&queue, id, Verb::Cancel);
    }

    /// Runs without faults until all jobs have ended except lasting ones.
    fn settle(&mut self) {
        self.world.recover();
        if self.world.truth.scope.evacuations {
            self.world.restore_all();
        }
        let until = self.world.now + SETTLE_TIMEOUT;
        while self.world.now < until && self.world.open_jobs() > 0 {
            self.world.advance(ACTION_INTERVAL);
            self.world.check_liveness();
            self.world.check_gangs();
            self.world.check_reservations();
        }
        let unfinished = self.world.unfinished();
        invariant!(unfinished.is_none(), "not settled after all faults ended: {unfinished:?}");
        let until = self.world.now + SETTLE_TIMEOUT / 3;
        while self.world.now < until {
            self.world.advance(ACTION_INTERVAL);
            self.world.check_liveness();
            self.world.check_gangs();
            self.world.check_reservations();
        }
    }
}
