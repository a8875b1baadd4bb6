//! An entry: takes callers' requests to the leader.

use std::io;
use std::net::IpAddr;

use thiserror::Error;
use tokio::sync::oneshot;

use super::leader::{self, Leader};
use super::{Context, Meter, NodeSettings, name_of};
use crate::core::Span;
use crate::dispatch::{ClientReply, ClientRequest, Verb};
use crate::peer::{Reply, Request};
use crate::relay::Outcome;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Failed {
    /// No control instance has taken it, so it has no effect.
    #[error("no control instance leads or can be reached, the request has no effect")]
    NotTaken,
    /// It is not known whether it takes effect.
    #[error("no answer came in time, the request may take effect")]
    Unknown,
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    context: Context,
    leader: Leader,
}

impl Entry {
    /// Starts the duties of an entry.
    ///
    /// # Errors
    ///
    /// The error of the operating system when a thread can't be started.
    pub fn start(settings: NodeSettings, meter: Meter) -> io::Result<Self> {
        let context = Context::new(settings, meter)?;
        let leader = Leader::start(&context)?;
        Ok(Self { context, leader })
    }

    /// Has the leader answer a request within the given time.
    ///
    /// # Errors
    ///
    /// [`Failed`] tells whether it may have had an effect.
    pub async fn ask(&self, request: ClientRequest, within: Span) -> Result<ClientReply, Failed> {
        let (meter, time) = (&self.context.meter, time_name(&request.verb));
        let began = meter.now();
        let answer = self.forward(request, within).await;
        meter.since(time, began);
        meter.count("answers_total", "outcome", outcome(&answer));
        answer
    }

    async fn forward(&self, request: ClientRequest, within: Span) -> Result<ClientReply, Failed> {
        let deadline = leader::deadline(&self.context, within);
        // Once a cancellation or a question was sent, nobody gains from an early refusal.
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

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        self.leader.reached()
    }

    /// Replaces the control instances that the settings name.
    pub fn seeds(&self, seeds: &[IpAddr]) {
        self.leader.seeds(seeds.iter().filter_map(name_of).collect());
    }
}

fn time_name(verb: &Verb) -> &'static str {
    match verb {
        Verb::Cancel => "answer_seconds{verb=\"cancel\"}",
        Verb::Configure(_) | Verb::ReadSetup => "answer_seconds{verb=\"configure\"}",
        Verb::Show => "answer_seconds{verb=\"show\"}",
        Verb::Submit { .. } => "answer_seconds{verb=\"submit\"}",
    }
}

fn outcome(answer: &Result<ClientReply, Failed>) -> &'static str {
    match answer {
        Ok(ClientReply::Accepted) => "accepted",
        Ok(ClientReply::Bad(_)) => "bad",
        Ok(ClientReply::Cancelled) => "cancelled",
        Ok(ClientReply::Configured | ClientReply::Setup(_)) => "configuration",
        Ok(ClientReply::Gone) => "gone",
        Ok(ClientReply::NoQueue) => "no_queue",
        Ok(ClientReply::Pending(_) | ClientReply::State(_)) => "shown",
        Ok(ClientReply::Refused { .. }) => "refused",
        Ok(ClientReply::Unknown) | Err(Failed::Unknown) => "unknown",
        Err(Failed::NotTaken) => "not_taken",
    }
}
