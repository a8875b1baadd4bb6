//! Counts what a process does, and serves the counts as text.

use std::fmt::Display;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use crate::core::{Clock, Duty, Handle, Moment, Span};
use crate::http::{Handler, Inbound, Outbound, Replies};
use crate::metrics::{Effect, Load, Message, Metrics};

type Watched = Arc<Mutex<Vec<Box<dyn Fn() -> Load + Send>>>>;

/// Sending side of the metrics duty.
#[derive(Clone)]
pub struct Meter {
    clock: Clock,
    duty: Handle<Message>,
    texts: Arc<Replies<String>>,
    watched: Watched,
}

impl Meter {
    /// Starts the duty.
    ///
    /// # Errors
    ///
    /// The error of the operating system when the thread can't be started.
    pub fn start() -> io::Result<Self> {
        let meter = Self {
            clock: Clock::suspend_aware(),
            duty: Handle::new("metrics"),
            texts: Arc::new(Replies::new()),
            watched: Arc::default(),
        };
        let state = Metrics::new(&[]);
        let tick = || Message::Tick;
        let duty = Duty { state, step: Metrics::step, tick, period: Metrics::PERIOD };
        let texts = Arc::clone(&meter.texts);
        duty.spawn(&meter.duty, meter.clock.clone(), move |_, effect| match effect {
            Effect::Text { ticket, text } => {
                texts.close(ticket, text);
            },
            // These are for a StatsD server, and a node has none.
            Effect::Flush | Effect::Sample | Effect::Send(_) => {},
        })?;
        Ok(meter)
    }

    /// Answers scrapes, whatever their path.
    pub fn handler(&self) -> Handler {
        let meter = self.clone();
        Arc::new(move |_: Inbound| {
            let meter = meter.clone();
            Box::pin(async move {
                match meter.text().await {
                    Some(text) => Outbound::new(200, text).with_text("content-type", "text/plain"),
                    None => Outbound::new(503, "too many messages wait for the metrics thread"),
                }
            })
        })
    }

    fn loads(&self) -> Vec<Load> {
        let rings = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        rings.iter().map(|load| load()).collect()
    }

    /// Everything counted since the start; `None` under overload.
    pub(super) async fn text(&self) -> Option<String> {
        self.duty.offer(Message::Loads(self.loads())).ok()?;
        let (ticket, text) = self.texts.open();
        self.duty.offer(Message::Scrape { ticket }).ok()?;
        text.await.ok()
    }

    /// Shows the load of a duty's ring from now on.
    pub(super) fn watch<M: Send + 'static>(&self, handle: &Handle<M>) {
        let handle = handle.clone();
        let load = move || {
            let (duty, waiting, shed) = handle.load();
            Load { duty, waiting, shed }
        };
        self.watched.lock().unwrap_or_else(PoisonError::into_inner).push(Box::new(load));
    }

    /// Counts something by one label's value; under load counts are shed.
    pub(super) fn count(&self, name: &str, label: &str, value: impl Display) {
        let name = format!("{name}{{{label}=\"{value}\"}}");
        let _ = self.duty.offer(Message::Count { name, by: 1 });
    }

    pub(super) fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.duty.offer(Message::Gauge { name, value });
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    pub(super) fn time(&self, name: &'static str, span: Span) {
        let _ = self.duty.offer(Message::Timer { name, span });
    }

    /// Adds the time since something began.
    pub(super) fn since(&self, name: &'static str, began: Moment) {
        self.time(name, self.now().since(began));
    }
}
