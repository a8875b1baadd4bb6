//! Client for requests of this process to the leader of the control group, delivered by the relay
//! duty.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use super::Context;
use crate::core::{Duty, Handle, Moment, Name, Span};
use crate::http::{CallError, Exchange};
use crate::peer::{self, Request};
use crate::relay::{self, Effect, Message, Outcome, Relay};

type Callback = Box<dyn FnOnce(Outcome) + Send>;

/// Callbacks of the requests without an outcome, by ticket.
#[derive(Default)]
struct PendingRequests {
    next: u64,
    callbacks: BTreeMap<u64, Callback>,
}

/// Sending side of the relay duty.
#[derive(Clone)]
pub(super) struct LeaderClient {
    handle: Handle<Message>,
    pending: Arc<Mutex<PendingRequests>>,
    reached: Arc<AtomicBool>,
}

impl LeaderClient {
    pub(super) fn start(context: &Context) -> io::Result<Self> {
        let leader = Self {
            handle: Handle::new("relay"),
            pending: Arc::default(),
            reached: Arc::new(AtomicBool::new(false)),
        };
        let state = Relay::new(context.settings.seeds(), rand::random());
        let duty = Duty { state, step: Relay::step, tick: || Message::Tick, period: relay::TICK };
        let (ctx, this) = (context.clone(), leader.clone());
        duty.spawn(&leader.handle, context.clock.clone(), move |_, effect| {
            this.perform(&ctx, effect);
        })?;
        Ok(leader)
    }

    fn perform(&self, context: &Context, effect: Effect) {
        match effect {
            Effect::Call { call, to, request, timeout } => {
                let handle = self.handle.clone();
                let answer = move |result| handle.push(Message::Answered { call, result });
                let Some(addr) = context.settings.addr(&to) else {
                    return answer(Err(CallError::Connect));
                };
                let exchange = Exchange::post(addr, peer::PATH, peer::encode(&*request), timeout);
                context.client.send(exchange, move |result| answer(peer::reply(result)));
            },
            Effect::Done { ticket, outcome } => {
                let callback = self.lock().callbacks.remove(&ticket);
                if let Some(callback) = callback {
                    callback(outcome);
                }
            },
            Effect::Reachable(reached) => self.reached.store(reached, Ordering::Relaxed),
        }
    }

    /// Sends a request; `done` is called once with the outcome, and must not block.
    ///
    /// Unless it is `patient`, a request is given up before the deadline if no instance can take
    /// it.
    pub(super) fn send(
        &self,
        request: Request,
        deadline: Moment,
        patient: bool,
        done: impl FnOnce(Outcome) + Send + 'static,
    ) {
        let mut pending = self.lock();
        let ticket = pending.next;
        pending.next += 1;
        pending.callbacks.insert(ticket, Box::new(done));
        drop(pending);
        let request = Arc::new(request);
        let message = Message::Send { ticket, request, deadline, patient };
        if self.handle.offer(message).is_err() {
            let callback = self.lock().callbacks.remove(&ticket);
            if let Some(callback) = callback {
                callback(Outcome::NotTaken);
            }
        }
    }

    /// Whether any control instance has replied recently.
    pub(super) fn reached(&self) -> bool {
        self.reached.load(Ordering::Relaxed)
    }

    /// Replaces the control instances that the settings name as seeds.
    pub(super) fn seeds(&self, seeds: Vec<Name>) {
        self.handle.push(Message::Seeds(seeds));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PendingRequests> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The time until which a request is retried.
pub(super) fn deadline(context: &Context, within: Span) -> Moment {
    context.clock.now() + within
}
