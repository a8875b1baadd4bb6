//! Connects the history duty of a control instance to its files, to entries, which send items for
//! storage, and to the other control instances, from which it fetches missing items.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;

use super::link::Link;
use super::{Context, wall_ms};
use crate::core::{Duty, Handle, Key, Name, Span};
use crate::history::files::{self, Files};
use crate::history::review::Report;
use crate::history::{
    ArchiveEffect as Effect, ArchiveMessage as Message, Body, Event, Frame, Held, Item, Place,
    archive,
};
use crate::http::Replies;
use crate::peer::{self, Reply, Request};

/// Timeout of requests that store a batch at control or fetch missing items from it.
const STORE_TIMEOUT: Span = Span::millis(1_500);

/// Size of the items in one reply to another control instance, in bytes; the last item may exceed
/// it. An instance asks every 30 s, so this is 8 KB/s of the 17 KB/s of a node.
const SYNC_BATCH_BYTES: usize = 250_000;

/// Handle of control's history duty, with the handlers that wait for its replies.
#[derive(Clone)]
pub(crate) struct Archive {
    duty: Handle<Message>,
    /// Source name of the items that come from the replicated log and concern jobs.
    job_source: Name,
    explanations: Arc<Replies<Vec<Event>>>,
    missing: Arc<Replies<Vec<Item>>>,
    reviews: Arc<Replies<Value>>,
    stores: Arc<Replies<bool>>,
}

impl Archive {
    /// Opens the files and starts the duty.
    pub(crate) fn start(context: &Context, link: &Link, data: &Path) -> io::Result<Self> {
        let (files, found) = Files::open(&data.join("history"), peer::decode::<Item>)?;
        if found.cut > 0 {
            tracing::warn!(bytes = found.cut, "cut off what followed the last valid outcome");
        }
        let limit = context.settings.history_mb * 1_000_000;
        let state = archive::Archive::new(limit, found.segments, found.held);
        let archive = Self {
            duty: Handle::new("history"),
            job_source: Name::new("jobs").map_err(io::Error::other)?,
            explanations: Arc::new(Replies::new()),
            missing: Arc::new(Replies::new()),
            reviews: Arc::new(Replies::new()),
            stores: Arc::new(Replies::new()),
        };
        archive.spawn(context, link, state, files)?;
        context.telemetry.watch(&archive.duty);
        Ok(archive)
    }

    fn spawn(
        &self,
        context: &Context,
        link: &Link,
        state: archive::Archive,
        mut files: Files,
    ) -> io::Result<()> {
        let (archive, link) = (self.clone(), link.clone());
        let others = link.others(&context.settings.name);
        let mut round = 0;
        let (clock, telemetry) = (context.clock.clone(), context.telemetry.clone());
        let tick = || Message::Tick;
        let duty = Duty { state, step: archive::Archive::step, tick, period: Span::secs(1) };
        duty.spawn(&self.duty, context.clock.clone(), move |_, effect| match effect {
            Effect::Ask { held } => {
                round += 1;
                if let Some(addr) = others.get(round % others.len().max(1)) {
                    archive.fetch_missing(&link, *addr, held);
                }
            },
            Effect::Append { ticket, segment, offset, frames } => {
                let began = clock.now();
                let result = files.append(segment, offset, &frames);
                telemetry.timer("history_sync", clock.now().since(began));
                if let Err(error) = &result {
                    tracing::error!(%error, "outcomes can't be written, entries keep them");
                    let lost = frames.iter().map(|f| (f.source.clone(), f.number)).collect();
                    archive.duty.push(Message::Failed { segment, offset, lost });
                }
                archive.stores.close(ticket, result.is_ok());
            },
            Effect::Pick { ticket, segments, held } => {
                archive.missing.close(ticket, collect_missing(&files, &segments, &held));
            },
            Effect::Read { ticket, key, places } => {
                archive.explanations.close(ticket, read(&files, &key, &places));
            },
            Effect::Remove { segment } => {
                if let Err(error) = files.remove(segment) {
                    tracing::error!(%error, segment, "a history segment can't be removed");
                }
            },
            Effect::Scan { ticket, segments, report } => {
                archive.reviews.close(ticket, scan(&files, &segments, *report));
            },
            Effect::Stored { ticket } => {
                archive.stores.close(ticket, true);
            },
        })?;
        Ok(())
    }

    /// Fetches the items that this instance lacks from another one, and stores them.
    fn fetch_missing(&self, link: &Link, addr: SocketAddr, held: Vec<Held>) {
        let archive = self.clone();
        link.send(addr, &Request::Missing(held), STORE_TIMEOUT, move |result| {
            let Ok(Reply::Items(items)) = result else { return };
            if !items.is_empty() {
                tracing::info!(items = items.len(), %addr, "history items fetched from a replica");
                let frames = items.iter().map(frame).collect();
                // No handler waits for the confirmation: the next fetch lists what is still
                // missing.
                let _ = archive.duty.offer(Message::Store { ticket: 0, frames });
            }
        });
    }

    /// Items that another control instance lacks, given the gaps that it reports.
    pub(crate) async fn missing(&self, held: Vec<Held>) -> Vec<Item> {
        let (ticket, reply) = self.missing.open();
        if self.duty.offer(Message::Missing { ticket, held }).is_err() {
            return Vec::new();
        }
        reply.await.unwrap_or_default()
    }

    /// Stores an entry's items; replies once they are on disk, or with a refusal.
    pub(crate) async fn store(&self, items: Vec<Item>) -> Reply {
        let frames = items.iter().map(frame).collect();
        let (ticket, reply) = self.stores.open();
        let sent = self.duty.offer(Message::Store { ticket, frames }).is_ok();
        if sent && reply.await == Ok(true) {
            return Reply::Stored;
        }
        let reason = "the history can't be written now".to_owned();
        Reply::Refused { reason, leader: None }
    }

    /// Stores a job's record from the replicated log; a replica that loses it fetches it from
    /// another.
    pub(crate) fn record_job(&self, number: u64, body: Body) {
        // No process has incarnation 0, so this source can't be confused with an entry's.
        let item =
            Item { entry: self.job_source.clone(), incarnation: 0, number, wall: wall_ms(), body };
        // No handler waits for the confirmation.
        let _ = self.duty.offer(Message::Store { ticket: 0, frames: vec![frame(&item)] });
    }

    /// The steps of a request that are stored durably here.
    pub(crate) async fn explain(&self, key: Key) -> Vec<Event> {
        let (ticket, reply) = self.explanations.open();
        if self.duty.offer(Message::Explain { ticket, key }).is_err() {
            return Vec::new();
        }
        reply.await.unwrap_or_default()
    }

    /// Review of the failures from `from` to `to`, in milliseconds since 1970.
    pub(crate) async fn review(&self, from: u64, to: u64) -> Option<Value> {
        let (ticket, reply) = self.reviews.open();
        self.duty.offer(Message::Review { ticket, from, to }).ok()?;
        reply.await.ok()
    }

    /// The state dump of the duty.
    pub(crate) async fn dump(&self) -> Value {
        super::await_dump(self.duty.dump()).await
    }
}

fn frame(item: &Item) -> Frame {
    files::frame(item, &peer::encode(item))
}

/// Reads the segments for items that are missing according to `held`, up to [`SYNC_BATCH_BYTES`].
fn collect_missing(files: &Files, segments: &[u32], held: &[Held]) -> Vec<Item> {
    let (mut items, mut bytes) = (Vec::new(), 0);
    for segment in segments {
        if bytes >= SYNC_BATCH_BYTES {
            break;
        }
        let visit = |encoded: &[u8]| {
            if bytes >= SYNC_BATCH_BYTES {
                return;
            }
            let Some(item) = peer::decode::<Item>(encoded) else { return };
            if archive::lacking(held, &(item.entry.clone(), item.incarnation), item.number) {
                bytes += encoded.len();
                items.push(item);
            }
        };
        if let Err(error) = files.scan(*segment, visit) {
            tracing::error!(%error, segment, "a history segment can't be read");
        }
    }
    items
}

fn read(files: &Files, key: &Key, places: &[Place]) -> Vec<Event> {
    let items = places.iter().filter_map(|place| peer::decode::<Item>(&files.read(*place)?));
    let mut events = Vec::new();
    for item in items {
        if let Body::Outcome(outcome) = item.body
            && outcome.key == *key
        {
            events.extend(outcome.events);
        }
    }
    events
}

fn scan(files: &Files, segments: &[u32], mut report: Report) -> Value {
    for segment in segments {
        let visit = |bytes: &[u8]| {
            if let Some(item) = peer::decode::<Item>(bytes) {
                report.add(item);
            }
        };
        if let Err(error) = files.scan(*segment, visit) {
            tracing::error!(%error, segment, "a history segment can't be read");
        }
    }
    report.value()
}

/// Sends items to every control instance. Calls `done` after all replies or errors, with whether at
/// least one instance stored them.
pub(crate) fn send(link: &Link, items: Vec<Item>, done: impl FnOnce(bool) + Send + 'static) {
    let members = link.addrs();
    let (pending, stored) = (AtomicUsize::new(members.len()), AtomicBool::new(false));
    let shared = Arc::new((pending, stored, Mutex::new(Some(done))));
    let request = Request::Store(items);
    for addr in members {
        let shared = Arc::clone(&shared);
        link.send(addr, &request, STORE_TIMEOUT, move |result| {
            let (pending, stored, done) = &*shared;
            if matches!(result, Ok(Reply::Stored)) {
                stored.store(true, Ordering::Release);
            }
            if pending.fetch_sub(1, Ordering::AcqRel) == 1
                && let Some(done) = done.lock().unwrap_or_else(PoisonError::into_inner).take()
            {
                done(stored.load(Ordering::Acquire));
            }
        });
    }
}
