//! An entry: sends callers' requests to the leader of the control group.

use std::io;
use std::net::IpAddr;

use thiserror::Error;
use tokio::sync::oneshot;

use super::leader::{self, LeaderClient};
use super::{Context, Meter, NodeSettings, name_of};
use crate::core::Span;
use crate::dispatch::{ClientReply, ClientRequest, Verb};
use crate::peer::{Reply, Request};
use crate::relay::Outcome;

/// Error of a request without an answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Failed {
    /// No control instance has accepted it, so it has no effect.
    #[error("no control instance leads or can be reached, the request has no effect")]
    NotTaken,
    /// It is unknown whether it takes effect.
    #[error("no answer came in time, the request may take effect")]
    Unknown,
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    context: Context,
    leader: LeaderClient,
}

impl Entry {
    /// Starts the duties of an entry.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a thread can't be started.
    pub fn start(settings: NodeSettings, meter: Meter) -> io::Result<Self> {
        let context = Context::new(settings, meter)?;
        let leader = LeaderClient::start(&context)?;
        Ok(Self { context, leader })
    }

    /// Sends a request to the leader and returns its answer, within the given time.
    ///
    /// # Errors
    ///
    /// Returns [`Failed`] if there is no answer; it states whether the request may take effect.
    pub async fn ask(&self, request: ClientRequest, within: Span) -> Result<ClientReply, Failed> {
        let (meter, metric) = (&self.context.meter, duration_metric(&request.verb));
        let began = meter.now();
        let answer = self.forward(request, within).await;
        meter.record_since(metric, began);
        meter.count("answers_total", "outcome", outcome_label(&answer));
        answer
    }

    async fn forward(&self, request: ClientRequest, within: Span) -> Result<ClientReply, Failed> {
        let deadline = leader::deadline(&self.context, within);
        // Giving up early only helps a submission; other requests are tried until the deadline.
        let patient = !matches!(request.verb, Verb::Submit { .. });
        let (sender, receiver) = oneshot::channel();
        let done = move |outcome| drop(sender.send(outcome));
        self.leader.send(Request::Ask(Box::new(request)), deadline, patient, done);
        match receiver.await {
            Ok(Outcome::Reply(reply)) => match *reply {
                Reply::Told(reply) => Ok(reply),
                _ => Err(Failed::Unknown),
            },
            Ok(Outcome::NotTaken) => Err(Failed::NotTaken),
            Ok(Outcome::Unknown) | Err(_) => Err(Failed::Unknown),
        }
    }

    /// Readiness: whether a control instance has replied recently.
    pub fn ready(&self) -> bool {
        self.leader.reached()
    }

    /// Replaces the seed addresses of the settings.
    pub fn seeds(&self, seeds: &[IpAddr]) {
        self.leader.seeds(seeds.iter().filter_map(name_of).collect());
    }
}

/// Metric that records the time until requests of this kind are answered.
fn duration_metric(verb: &Verb) -> &'static str {
    match verb {
        Verb::Cancel => "answer_seconds{verb=\"cancel\"}",
        Verb::Configure(_) | Verb::ReadSetup => "answer_seconds{verb=\"configure\"}",
        Verb::Evacuate { .. } => "answer_seconds{verb=\"evacuate\"}",
        Verb::Show => "answer_seconds{verb=\"show\"}",
        Verb::Submit { .. } => "answer_seconds{verb=\"submit\"}",
    }
}

/// Value of the label `outcome` of the metric `answers_total`.
fn outcome_label(answer: &Result<ClientReply, Failed>) -> &'static str {
    match answer {
        Ok(ClientReply::Accepted) => "accepted",
        Ok(ClientReply::Bad(_)) => "bad",
        Ok(ClientReply::Cancelled) => "cancelled",
        Ok(ClientReply::Configured | ClientReply::Setup(_)) => "configuration",
        Ok(ClientReply::Evacuating) => "evacuating",
        Ok(ClientReply::Gone) => "gone",
        Ok(ClientReply::NoQueue) => "no_queue",
        Ok(ClientReply::Pending(_) | ClientReply::State(_)) => "shown",
        Ok(ClientReply::Refused { .. }) => "refused",
        Ok(ClientReply::Unknown) | Err(Failed::Unknown) => "unknown",
        Err(Failed::NotTaken) => "not_taken",
    }
}
