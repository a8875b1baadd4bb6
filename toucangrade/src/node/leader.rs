//! Requests of this process to the control instance that leads.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use super::Context;
use crate::core::{Duty, Handle, Moment, Name, Span};
use crate::http::{CallError, Exchange};
use crate::peer::{self, Request};
use crate::relay::{self, Effect, Message, Outcome, Relay};

type Finish = Box<dyn FnOnce(Outcome) + Send>;

/// Requests that have no outcome yet, by ticket.
#[derive(Default)]
struct Open {
    next: u64,
    waiting: BTreeMap<u64, Finish>,
}

/// Sending side of the relay duty.
#[derive(Clone)]
pub(super) struct Leader {
    handle: Handle<Message>,
    open: Arc<Mutex<Open>>,
    reached: Arc<AtomicBool>,
}

impl Leader {
    pub(super) fn start(context: &Context) -> io::Result<Self> {
        let leader = Self {
            handle: Handle::new("relay"),
            open: Arc::default(),
            reached: Arc::new(AtomicBool::new(false)),
        };
        let state = Relay::new(context.settings.seeds(), rand::random());
        let duty = Duty { state, step: Relay::step, tick: || Message::Tick, period: relay::TICK };
        let (context_, this) = (context.clone(), leader.clone());
        duty.spawn(&leader.handle, context.clock.clone(), move |_, effect| {
            this.perform(&context_, effect);
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
                let finish = self.lock().waiting.remove(&ticket);
                if let Some(finish) = finish {
                    finish(outcome);
                }
            },
            Effect::Reachable(reached) => self.reached.store(reached, Ordering::Relaxed),
        }
    }

    /// Sends a request; `done` is called once with the outcome, and must not block.
    ///
    /// A request that is not patient is given up early when nothing has taken it.
    pub(super) fn send(
        &self,
        request: Request,
        deadline: Moment,
        patient: bool,
        done: impl FnOnce(Outcome) + Send + 'static,
    ) {
        let mut open = self.lock();
        let ticket = open.next;
        open.next += 1;
        open.waiting.insert(ticket, Box::new(done));
        drop(open);
        let request = Arc::new(request);
        let message = Message::Send { ticket, request, deadline, patient };
        if self.handle.offer(message).is_err() {
            let finish = self.lock().waiting.remove(&ticket);
            if let Some(finish) = finish {
                finish(Outcome::NotTaken);
            }
        }
    }

    /// Whether some control instance has answered lately.
    pub(super) fn reached(&self) -> bool {
        self.reached.load(Ordering::Relaxed)
    }

    /// Replaces the control instances that the settings name.
    pub(super) fn seeds(&self, seeds: Vec<Name>) {
        self.handle.push(Message::Seeds(seeds));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time until which a request is tried.
pub(super) fn deadline(context: &Context, within: Span) -> Moment {
    context.clock.now() + within
}
