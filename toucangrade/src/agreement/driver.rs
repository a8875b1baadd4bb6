//! Threads of the replicated log: one for its decisions, one for its files.

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

/// `Store` effects that may wait. One append is outstanding at a time, and votes and snapshots are
/// rare.
const STORE_LIMIT: usize = 1_024;
/// Exit status when the bound above is broken, `EX_SOFTWARE` of sysexits.
const EXIT_STALLED: i32 = 70;
/// The storage thread has nothing to do without a message; this only bounds its sleep.
const STORE_WAIT: Duration = Duration::from_secs(3_600);

/// Where effects go that the driver does not perform itself.
pub(crate) struct Outlets {
    /// Sends a message to another instance; it may be lost, repeated or late, but not changed.
    pub(crate) send: Box<dyn FnMut(Name, PeerMessage) + Send>,
    /// Takes the time that each write to the files and its sync took.
    pub(crate) synced: Box<dyn FnMut(Span) + Send>,
    /// Takes all effects but `Send`, `Store` and `Report`, in order.
    pub(crate) deliver: Box<dyn FnMut(Moment, Effect) + Send>,
}

/// The running threads of one instance.
pub(crate) struct Driver {
    handle: Handle<Message>,
    stores: Arc<Ring<(u64, Store)>>,
    decisions: JoinHandle<()>,
    files: JoinHandle<()>,
    me: Replica,
    recorded: Members,
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
        outlets: Outlets,
    ) -> Result<Self, OpenError> {
        Self::start_with(handle, settings, clock, disk, outlets, |_| {})
    }

    /// Starts as `start` does, after `prepare` adjusted the state.
    pub(crate) fn start_with(
        handle: &Handle<Message>,
        settings: Settings,
        clock: Clock,
        disk: Disk,
        outlets: Outlets,
        prepare: impl FnOnce(&mut Agreement),
    ) -> Result<Self, OpenError> {
        let name = settings.name.clone();
        // 0 stands for an unknown identity.
        let identity = rand::random::<u64>().max(1);
        let new = Replica { name: name.clone(), identity };
        let (storage, recovered) = Storage::open(disk, new)?;
        storage.check_name(&name)?;
        log_recovered(&recovered);
        let mut agreement = Agreement::new(settings, recovered, clock.now());
        prepare(&mut agreement);
        let me = agreement.me().clone();
        let recorded = agreement.members().clone();
        let stores = Arc::new(Ring::new(STORE_LIMIT, 0));
        let Outlets { mut send, synced, mut deliver } = outlets;
        let files = Builder::new().name("agreement-files".to_owned()).spawn({
            let (handle, stores) = (handle.clone(), Arc::clone(&stores));
            move || write_stores(storage, &stores, &handle, synced)
        })?;
        let duty =
            Duty { state: agreement, step: Agreement::step, tick: || Message::Tick, period: TICK };
        let perform = {
            let stores = Arc::clone(&stores);
            move |now: Moment, effect| match effect {
                Effect::Report(report) => warn!(%report, "replicated log"),
                Effect::Send { to, body } => send(to, body),
                Effect::Store { seq, store } => {
                    // The ring only closes after this thread ended.
                    if stores.push((seq, store)).is_err() {
                        error!(seq, "storage falls behind, stopping the process");
                        std::process::exit(EXIT_STALLED);
                    }
                },
                effect => deliver(now, effect),
            }
        };
        let decisions = duty.spawn(handle, clock, perform)?;
        Ok(Self { handle: handle.clone(), stores, decisions, files, me, recorded })
    }

    /// Name and identity of this instance.
    pub(crate) fn me(&self) -> &Replica {
        &self.me
    }

    /// The newest membership in the log as it was recovered, committed or not.
    pub(crate) fn recorded(&self) -> &Members {
        &self.recorded
    }

    /// Ends the threads once what they were given is done.
    pub(crate) fn stop(self) {
        self.handle.close();
        // A thread that panicked has stopped the process already.
        let _ = self.decisions.join();
        self.stores.close();
        let _ = self.files.join();
    }
}

/// Makes `Store` effects durable until the ring is closed or the storage fails.
fn write_stores(
    mut storage: Storage,
    stores: &Ring<(u64, Store)>,
    handle: &Handle<Message>,
    mut synced: impl FnMut(Span),
) {
    let mut failed = false;
    loop {
        let (seq, store) = match stores.recv(STORE_WAIT) {
            Received::Closed => return,
            Received::Message(message) => message,
            Received::Timeout => continue,
        };
        // Nothing may follow a failed write, as it may have left half a frame.
        if failed {
            continue;
        }
        let began = Instant::now();
        match storage.perform(&store) {
            Ok(()) => {
                handle.push(Message::Synced { upto: seq });
                let took = began.elapsed().as_micros();
                synced(Span::micros(u64::try_from(took).unwrap_or(u64::MAX)));
            },
            Err(error) => {
                failed = true;
                error!(%error, "storage failed, a restart is needed");
                let reason = error.to_string();
                handle.push(Message::StoreFailed { reason });
            },
        }
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
