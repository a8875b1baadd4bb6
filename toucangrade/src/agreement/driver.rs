//! Threads of the replicated log: one runs [`Agreement::step`], the other writes the files.

use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use tracing::{error, info, warn};

use super::disk::Disk;
use super::membership::Members;
use super::message::{Effect, Message, PeerMessage, Replica, Store};
use super::storage::{OpenError, Recovered, Storage};
use super::{Agreement, Settings, TICK};
use crate::core::{Clock, Duty, Handle, Moment, Name, Received, Ring, Span};

/// Greatest number of `Store` effects that wait for the storage thread. Only one append is
/// outstanding at a time, and votes and snapshots are rare.
const STORE_LIMIT: usize = 1_024;
/// Exit status when `STORE_LIMIT` is exceeded: `EX_SOFTWARE` of sysexits.
const EXIT_STALLED: i32 = 70;
/// Longest sleep of the storage thread. It has no work without a message, so any long time will do.
const STORE_WAIT: Duration = Duration::from_secs(3_600);

/// Callbacks for effects that the driver does not perform itself, and for measurements.
pub(crate) struct EffectHandlers {
    /// Sends a message to another instance. Messages may be lost, repeated, delayed or reordered,
    /// but not changed.
    pub(crate) send: Box<dyn FnMut(Name, PeerMessage) + Send>,
    /// Called with the duration of each write to the files, including its sync.
    pub(crate) record_sync: Box<dyn FnMut(Span) + Send>,
    /// Called with all effects other than `Send`, `Store` and `Report`, in order.
    pub(crate) deliver: Box<dyn FnMut(Moment, Effect) + Send>,
}

/// The running threads of one instance.
pub(crate) struct Driver {
    handle: Handle<Message>,
    stores: Arc<Ring<(u64, Store)>>,
    decision_thread: JoinHandle<()>,
    storage_thread: JoinHandle<()>,
    me: Replica,
    recovered_members: Members,
}

impl Driver {
    /// Recovers the data directory and starts the threads.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the data directory is damaged, can't be used, or belongs to an instance
    /// of another name.
    pub(crate) fn start(
        handle: &Handle<Message>,
        settings: Settings,
        clock: Clock,
        disk: Disk,
        handlers: EffectHandlers,
    ) -> Result<Self, OpenError> {
        Self::start_with(handle, settings, clock, disk, handlers, |_| {})
    }

    /// Like `start`, but calls `prepare` on the state before the threads start.
    pub(crate) fn start_with(
        handle: &Handle<Message>,
        settings: Settings,
        clock: Clock,
        disk: Disk,
        handlers: EffectHandlers,
        prepare: impl FnOnce(&mut Agreement),
    ) -> Result<Self, OpenError> {
        let name = settings.name.clone();
        // 0 means that the identity is unknown.
        let identity = rand::random::<u64>().max(1);
        let new = Replica { name: name.clone(), identity };
        let (storage, recovered) = Storage::open(disk, new)?;
        storage.check_name(&name)?;
        log_recovered(&recovered);
        let mut agreement = Agreement::new(settings, recovered, clock.now());
        prepare(&mut agreement);
        let me = agreement.me().clone();
        let recovered_members = agreement.members().clone();
        let stores = Arc::new(Ring::new(STORE_LIMIT, 0));
        let EffectHandlers { mut send, record_sync, mut deliver } = handlers;
        let storage_thread = Builder::new().name("agreement-files".to_owned()).spawn({
            let (handle, stores) = (handle.clone(), Arc::clone(&stores));
            move || run_storage(storage, &stores, &handle, record_sync)
        })?;
        let duty =
            Duty { state: agreement, step: Agreement::step, tick: || Message::Tick, period: TICK };
        let perform = {
            let stores = Arc::clone(&stores);
            move |now: Moment, effect| match effect {
                Effect::Report(report) => warn!(%report, "replicated log reported a problem"),
                Effect::Send { to, body } => send(to, body),
                Effect::Store { seq, store } => {
                    // The ring is closed only after this thread ended, so it is full.
                    if stores.push((seq, store)).is_err() {
                        error!(seq, "storage falls behind, stopping the process");
                        std::process::exit(EXIT_STALLED);
                    }
                },
                effect => deliver(now, effect),
            }
        };
        let decision_thread = duty.spawn(handle, clock, perform)?;
        Ok(Self {
            handle: handle.clone(),
            stores,
            decision_thread,
            storage_thread,
            me,
            recovered_members,
        })
    }

    /// Name and identity of this instance.
    pub(crate) fn me(&self) -> &Replica {
        &self.me
    }

    /// The newest membership in the log as it was recovered, committed or not.
    pub(crate) fn recovered_members(&self) -> &Members {
        &self.recovered_members
    }

    /// Ends the threads after all queued messages and writes are done.
    pub(crate) fn stop(self) {
        self.handle.close();
        // A panic in a thread has already ended the process.
        let _ = self.decision_thread.join();
        self.stores.close();
        let _ = self.storage_thread.join();
    }
}

/// Performs `Store` effects until the ring is closed.
fn run_storage(
    mut storage: Storage,
    stores: &Ring<(u64, Store)>,
    handle: &Handle<Message>,
    mut record_sync: impl FnMut(Span),
) {
    loop {
        let (seq, store) = match stores.recv(STORE_WAIT) {
            Received::Closed => return,
            Received::Message(message) => message,
            Received::Timeout => continue,
        };
        let began = Instant::now();
        let Some(answer) = storage.answer(seq, &store) else { continue };
        match &answer {
            Message::Reopened(recovered) => {
                info!("storage takes writes again");
                log_recovered(recovered);
            },
            Message::StoreFailed { reason } => {
                error!(reason, "storage failed, it is reopened once the disk takes writes");
            },
            _ => {
                let took = began.elapsed().as_micros();
                record_sync(Span::micros(u64::try_from(took).unwrap_or(u64::MAX)));
            },
        }
        handle.push(answer);
    }
}

fn log_recovered(recovered: &Recovered) {
    if let Some(torn) = &recovered.torn {
        let (file, offset, bytes) = (&torn.file, torn.offset, torn.bytes);
        warn!(file, offset, bytes, "removed an incomplete write at the end of the log");
    }
    info!(
        identity = format!("{:016x}", recovered.identity),
        term = recovered.term,
        snapshot = recovered.snapshot.index,
        entries = recovered.entries.len(),
        "recovered the replicated log"
    );
}
