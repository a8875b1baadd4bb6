//! The durable history of one control instance: its duty thread, its files and its callers.

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

/// Time that control may take to store a batch.
const STORE_TIMEOUT: Span = Span::millis(1_500);

/// Bytes of items that are sent to another control instance at once. One asks every 30 s, so this
/// is 8 KB a second of the 17 KB of a node.
const PICK_BYTES: usize = 250_000;

/// Handle of the history duty of control.
#[derive(Clone)]
pub(crate) struct Archive {
    duty: Handle<Message>,
    /// Source of what the log says of jobs.
    jobs: Name,
    explains: Arc<Replies<Vec<Event>>>,
    picks: Arc<Replies<Vec<Item>>>,
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
            jobs: Name::new("jobs").map_err(io::Error::other)?,
            explains: Arc::new(Replies::new()),
            picks: Arc::new(Replies::new()),
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
        let mut turn = 0;
        let (clock, telemetry) = (context.clock.clone(), context.telemetry.clone());
        let tick = || Message::Tick;
        let duty = Duty { state, step: archive::Archive::step, tick, period: Span::secs(1) };
        duty.spawn(&self.duty, context.clock.clone(), move |_, effect| match effect {
            Effect::Ask { held } => {
                turn += 1;
                if let Some(addr) = others.get(turn % others.len().max(1)) {
                    archive.ask(&link, *addr, held);
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
                archive.picks.close(ticket, pick(&files, &segments, &held));
            },
            Effect::Read { ticket, key, places } => {
                archive.explains.close(ticket, read(&files, &key, &places));
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

    /// Asks another control instance for what this one lacks, and stores it.
    fn ask(&self, link: &Link, addr: SocketAddr, held: Vec<Held>) {
        let archive = self.clone();
        link.send(addr, &Request::Missing(held), STORE_TIMEOUT, move |result| {
            let Ok(Reply::Items(items)) = result else { return };
            if !items.is_empty() {
                tracing::info!(items = items.len(), %addr, "outcomes taken from another instance");
                let frames = items.iter().map(frame).collect();
                // No one waits for the confirmation; the next question tells what still lacks.
                let _ = archive.duty.offer(Message::Store { ticket: 0, frames });
            }
        });
    }

    /// Items that another control instance lacks.
    pub(crate) async fn missing(&self, held: Vec<Held>) -> Vec<Item> {
        let (ticket, reply) = self.picks.open();
        if self.duty.offer(Message::Missing { ticket, held }).is_err() {
            return Vec::new();
        }
        reply.await.unwrap_or_default()
    }

    /// Stores an entry's items; the reply says whether they are durable.
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

    /// Stores what the log says of a job; a replica that loses it gets it from another one.
    pub(crate) fn note(&self, number: u64, body: Body) {
        // No process has incarnation 0, so this source is not taken for that of an entry.
        let item = Item { entry: self.jobs.clone(), incarnation: 0, number, wall: wall_ms(), body };
        // No one waits for the confirmation.
        let _ = self.duty.offer(Message::Store { ticket: 0, frames: vec![frame(&item)] });
    }

    /// The steps of a request as far as they are durable here.
    pub(crate) async fn explain(&self, key: Key) -> Vec<Event> {
        let (ticket, reply) = self.explains.open();
        if self.duty.offer(Message::Explain { ticket, key }).is_err() {
            return Vec::new();
        }
        reply.await.unwrap_or_default()
    }

    /// What went wrong from `from` to `to`, in milliseconds since 1970.
    pub(crate) async fn review(&self, from: u64, to: u64) -> Option<Value> {
        let (ticket, reply) = self.reviews.open();
        self.duty.offer(Message::Review { ticket, from, to }).ok()?;
        reply.await.ok()
    }

    /// The state of the duty.
    pub(crate) async fn dump(&self) -> Value {
        super::dumped(self.duty.dump()).await
    }
}

fn frame(item: &Item) -> Frame {
    files::frame(item, &peer::encode(item))
}

/// Items of the segments that are lacking according to `held`, up to the size of a message.
fn pick(files: &Files, segments: &[u32], held: &[Held]) -> Vec<Item> {
    let (mut items, mut bytes) = (Vec::new(), 0);
    for segment in segments {
        if bytes >= PICK_BYTES {
            break;
        }
        let visit = |encoded: &[u8]| {
            if bytes >= PICK_BYTES {
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

/// Sends items to every control instance; `done` learns whether one or more stored them.
pub(crate) fn send(link: &Link, items: Vec<Item>, done: impl FnOnce(bool) + Send + 'static) {
    let members = link.addrs();
    let (left, stored) = (AtomicUsize::new(members.len()), AtomicBool::new(false));
    let shared = Arc::new((left, stored, Mutex::new(Some(done))));
    let request = Request::Store(items);
    for addr in members {
        let shared = Arc::clone(&shared);
        link.send(addr, &request, STORE_TIMEOUT, move |result| {
            let (left, stored, done) = &*shared;
            if matches!(result, Ok(Reply::Stored)) {
                stored.store(true, Ordering::Release);
            }
            if left.fetch_sub(1, Ordering::AcqRel) == 1
                && let Some(done) = done.lock().unwrap_or_else(PoisonError::into_inner).take()
            {
                done(stored.load(Ordering::Acquire));
            }
        });
    }
}
