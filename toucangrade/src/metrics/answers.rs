//! Counts answers to callers and their latency in a thread-local table on each HTTP worker thread,
//! so that a request takes no lock.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::core::{Clock, Moment, Name, Span};
use crate::history::{Summary, Tally};

/// Time from the first answer that a thread counts until it passes its counts to the sink.
const FLUSH_DELAY: Span = Span::secs(1);

type Tallies = BTreeMap<Name, BTreeMap<Name, Tally>>;

thread_local! {
    /// Answers that this thread counted since its last flush, by service and kind.
    static TALLIES: RefCell<Tallies> = const { RefCell::new(BTreeMap::new()) };
}

/// Receives the counts of a thread by service and kind; called on that thread.
type Sink = Arc<dyn Fn(Vec<(Name, Name, Summary)>) + Send + Sync>;

/// Counts the answers to the callers of a process.
#[derive(Clone)]
pub(crate) struct Answers {
    clock: Clock,
    sink: Sink,
}

impl Answers {
    /// Counters whose threads pass their counts to `sink`.
    pub(crate) fn new(
        clock: Clock,
        sink: impl Fn(Vec<(Name, Name, Summary)>) + Send + Sync + 'static,
    ) -> Self {
        Self { clock, sink: Arc::new(sink) }
    }

    /// The time of arrival of a request, for [`Answers::end`].
    pub(crate) fn begin(&self) -> Moment {
        self.clock.now()
    }

    /// Counts an answer to a request that arrived at `began`; runs on an HTTP worker thread.
    pub(crate) fn end(&self, began: Moment, service: &Name, kind: &Name, result: &str) {
        let micros = self.clock.now().since(began).as_micros();
        let first = TALLIES.with_borrow_mut(|tallies| {
            let first = tallies.is_empty();
            if !tallies.contains_key(service) {
                tallies.insert(service.clone(), BTreeMap::new());
            }
            if let Some(kinds) = tallies.get_mut(service) {
                match kinds.get_mut(kind) {
                    Some(tally) => tally.add(micros, result),
                    None => kinds.entry(kind.clone()).or_default().add(micros, result),
                }
            }
            first
        });
        if first {
            let sink = Arc::clone(&self.sink);
            tokio::task::spawn_local(async move {
                tokio::time::sleep(FLUSH_DELAY.duration()).await;
                sink(take_summaries());
            });
        }
    }
}

fn take_summaries() -> Vec<(Name, Name, Summary)> {
    let tallies = TALLIES.take();
    let summaries = tallies.into_iter().flat_map(|(service, kinds)| {
        kinds.into_iter().map(move |(kind, tally)| (service.clone(), kind, tally.summary()))
    });
    summaries.collect()
}
