//! An agent: carries out the leader's orders on the runner beside it.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;

use super::leader::{self, Leader};
use super::{Context, Meter, NodeSettings, name_of, wall_ms};
use crate::core::{Duty, Handle, Moment, Span};
use crate::dispatch::Start;
use crate::hosting::{
    self, Announcement, Effect, Fault, Hosting, Listing, Message, RunnerTarget as Target,
};
use crate::jobs::RunKey;
use crate::peer::{Reply, Request};
use crate::relay::Outcome;

/// Time after which a report is given up.
const REPORT_LIMIT: Span = Span::millis(1_500);

/// Takes the result of a call to the runner; called once, and must not block.
pub type Done<T> = Box<dyn FnOnce(Result<T, Fault>) + Send>;

/// Asks for the listing: acknowledged ends, end of the lease and the longest wait.
type List = Box<dyn Fn(Target, u64, Option<u64>, Span, Done<Listing>) + Send + Sync>;
/// Starts a run under a lease that ends at a time in ms on the runner's clock.
type Begin = Box<dyn Fn(Target, &Start, u64, Done<()>) + Send + Sync>;

/// How the runner is called.
pub struct RunnerPort {
    /// Asks what runs and what has ended; acknowledges ends, extends the lease to a time in ms on
    /// the runner's clock, and lets the runner wait for the next end.
    pub list: List,
    /// Lets a task work at a share, in percent.
    pub pace: Box<dyn Fn(Target, RunKey, u8, Done<()>) + Send + Sync>,
    /// Starts a run under a lease that ends at a time in ms on the runner's clock.
    pub start: Begin,
    /// Stops a run, or keeps it from being started.
    pub stop: Box<dyn Fn(Target, RunKey, Done<()>) + Send + Sync>,
}

/// A running agent.
#[derive(Clone)]
pub struct Agent {
    hosting: Handle<Message>,
    leader: Leader,
}

impl Agent {
    /// Starts the duties of an agent.
    ///
    /// # Errors
    ///
    /// The error of the operating system when a thread can't be started.
    pub fn start(settings: NodeSettings, meter: Meter, port: RunnerPort) -> io::Result<Self> {
        let context = Context::new(settings, meter)?;
        let agent = Self { hosting: Handle::new("hosting"), leader: Leader::start(&context)? };
        let state = Hosting::new(context.name.clone(), wall_ms());
        let tick = || Message::Tick;
        let duty = Duty { state, step: Hosting::step, tick, period: hosting::TICK };
        context.meter.watch(&agent.hosting);
        let (this, clock, port) = (agent.clone(), context.clock.clone(), Arc::new(port));
        duty.spawn(&agent.hosting, clock, move |_, effect| this.perform(&context, &port, effect))?;
        Ok(agent)
    }

    fn perform(&self, context: &Context, port: &RunnerPort, effect: Effect) {
        let hosting = self.hosting.clone();
        let meter = context.meter.clone();
        let began = meter.now();
        match effect {
            Effect::List { seq, target, recorded, lease_end, wait } => {
                let done: Done<Listing> = Box::new(move |result| {
                    called(&meter, "list", began, &result);
                    let listing = result.map(Box::new);
                    hosting.push(Message::Listed { seq, listing });
                });
                (port.list)(target, recorded, lease_end, wait, done);
            },
            Effect::Pace { target, key, percent } => {
                let done = Box::new(move |result| {
                    called(&meter, "pace", began, &result);
                    hosting.push(Message::Paced { key, result });
                });
                (port.pace)(target, key, percent, done);
            },
            Effect::Report(report) => {
                let seq = report.seq;
                let deadline = leader::deadline(context, REPORT_LIMIT);
                self.leader.send(Request::Report(report), deadline, true, move |outcome| {
                    let orders = match outcome {
                        Outcome::Reply(reply) => match *reply {
                            Reply::Ordered(orders) => Some(orders),
                            _ => None,
                        },
                        Outcome::NotTaken | Outcome::Unknown => None,
                    };
                    let result = if orders.is_some() { "ordered" } else { "lost" };
                    meter.count("reports_total", "result", result);
                    hosting.push(Message::Ordered { seq, orders });
                });
            },
            Effect::Start { target, start, lease_end } => {
                let key = start.key;
                let done = Box::new(move |result| {
                    called(&meter, "start", began, &result);
                    hosting.push(Message::Started { key, result });
                });
                (port.start)(target, &start, lease_end, done);
            },
            Effect::Stop { target, key } => {
                let done = Box::new(move |result| {
                    called(&meter, "stop", began, &result);
                    hosting.push(Message::Stopped { key, result });
                });
                (port.stop)(target, key, done);
            },
        }
    }

    /// Takes in what the runner says of itself; false when this process sheds load.
    pub fn announce(&self, announcement: Announcement) -> bool {
        self.hosting.offer(Message::Announce(Box::new(announcement))).is_ok()
    }

    /// Takes in that the runner ends now, which started at `born` if it says so; false when this
    /// process sheds load.
    pub fn leave(&self, runner: &str, born: Option<u64>) -> bool {
        self.hosting.offer(Message::Leave { runner: runner.to_owned(), born }).is_ok()
    }

    /// Replaces the control instances that the settings name.
    pub fn seeds(&self, seeds: &[IpAddr]) {
        self.leader.seeds(seeds.iter().filter_map(name_of).collect());
    }
}

/// Counts a call to the runner.
fn called<T>(meter: &Meter, call: &str, began: Moment, result: &Result<T, Fault>) {
    let time = match call {
        "list" => "runner_list_seconds",
        "pace" => "runner_pace_seconds",
        "start" => "runner_start_seconds",
        _ => "runner_stop_seconds",
    };
    meter.since(time, began);
    if let Err(fault) = result {
        let fault = format!("{call} {fault:?}").to_lowercase().replace([' ', '(', ')'], "_");
        meter.count("runner_faults_total", "fault", fault.trim_end_matches('_'));
    }
}
