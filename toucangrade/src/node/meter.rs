//! Collects the metrics of a process and serves them as text for scrapes.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use crate::core::{Clock, Duty, Handle, Moment, Span};
use crate::http::{Budget, Handler, Inbound, Outbound, Replies};
use crate::metrics::{Effect, Load, Message, Metrics};

type LoadSources = Arc<Mutex<Vec<Box<dyn Fn() -> Load + Send>>>>;

/// Sending side of the metrics duty.
#[derive(Clone)]
pub struct Meter {
    clock: Clock,
    duty: Handle<Message>,
    texts: Arc<Replies<String>>,
    sources: LoadSources,
    account: Arc<Mutex<Option<Account>>>,
}

/// The account of the process's HTTP servers, and the refusals that are counted already.
struct Account {
    budget: Budget,
    counted: BTreeMap<&'static str, u64>,
}

impl Meter {
    /// Starts the duty.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread can't be started.
    pub fn start() -> io::Result<Self> {
        let meter = Self {
            clock: Clock::suspend_aware(),
            duty: Handle::new("metrics"),
            texts: Arc::new(Replies::new()),
            sources: Arc::default(),
            account: Arc::default(),
        };
        let state = Metrics::new(&[]);
        let tick = || Message::Tick;
        let duty = Duty { state, step: Metrics::step, tick, period: Metrics::PERIOD };
        let texts = Arc::clone(&meter.texts);
        duty.spawn(&meter.duty, meter.clock.clone(), move |_, effect| match effect {
            Effect::Text { ticket, text } => {
                texts.close(ticket, text);
            },
            // These are for a StatsD server, which a node doesn't use.
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

    /// Includes the account of the process's HTTP servers in scrapes from now on.
    pub fn watch_clients(&self, budget: &Budget) {
        let account = Account { budget: budget.clone(), counted: BTreeMap::new() };
        *self.account.lock().unwrap_or_else(PoisonError::into_inner) = Some(account);
    }

    /// Reports the account of the HTTP servers to the metrics duty.
    fn report_clients(&self) {
        let mut account = self.account.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(account) = account.as_mut() else { return };
        let (connections, held) = account.budget.usage();
        self.gauge("http_connections", connections as u64);
        self.gauge("http_held_bytes", held as u64);
        for (cause, count) in account.budget.refusals() {
            let before = account.counted.insert(cause, count).unwrap_or_default();
            let name = format!("http_refused_total{{cause=\"{cause}\"}}");
            let _ = self.duty.offer(Message::Count { name, by: count - before });
        }
    }

    fn loads(&self) -> Vec<Load> {
        let rings = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        rings.iter().map(|load| load()).collect()
    }

    /// The metrics since the start, as text; `None` if the ring is full.
    pub(super) async fn text(&self) -> Option<String> {
        self.duty.offer(Message::Loads(self.loads())).ok()?;
        self.report_clients();
        let (ticket, text) = self.texts.open();
        self.duty.offer(Message::Scrape { ticket }).ok()?;
        text.await.ok()
    }

    /// Registers a duty's ring, whose load is included in scrapes from then on.
    pub(super) fn watch<M: Send + 'static>(&self, handle: &Handle<M>) {
        let handle = handle.clone();
        let load = move || {
            let (duty, waiting, shed) = handle.load();
            Load { duty, waiting, shed }
        };
        self.sources.lock().unwrap_or_else(PoisonError::into_inner).push(Box::new(load));
    }

    /// Increments a counter with one label; dropped if the ring is full.
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

    pub(super) fn record_time(&self, name: &'static str, span: Span) {
        let _ = self.duty.offer(Message::Timer { name, span });
    }

    /// Records the time since `began`.
    pub(super) fn record_since(&self, name: &'static str, began: Moment) {
        self.record_time(name, self.now().since(began));
    }
}
