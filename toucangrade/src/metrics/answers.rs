//! Answers to callers, counted on each HTTP worker thread without a lock for each request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::core::{Clock, Moment, Name, Span};
use crate::history::{Summary, Tally};

/// Time after the first answer when a worker hands over what it counted.
const HANDOVER_AFTER: Span = Span::secs(1);

type Counted = BTreeMap<Name, BTreeMap<Name, Tally>>;

thread_local! {
    /// What this worker counted since its last handover.
    static COUNTED: RefCell<Counted> = const { RefCell::new(BTreeMap::new()) };
}

/// Takes what a worker counted.
type Handover = Arc<dyn Fn(Vec<(Name, Name, Summary)>) + Send + Sync>;

/// Counts the answers of a process.
#[derive(Clone)]
pub(crate) struct Answers {
    clock: Clock,
    handover: Handover,
}

impl Answers {
    /// Counters that give what they counted to `handover`.
    pub(crate) fn new(
        clock: Clock,
        handover: impl Fn(Vec<(Name, Name, Summary)>) + Send + Sync + 'static,
    ) -> Self {
        Self { clock, handover: Arc::new(handover) }
    }

    /// The moment when a request arrives.
    pub(crate) fn begin(&self) -> Moment {
        self.clock.now()
    }

    /// Counts an answer to a request that arrived at `began`; runs on an HTTP worker thread.
    pub(crate) fn end(&self, began: Moment, service: &Name, kind: &Name, result: &str) {
        let micros = self.clock.now().since(began).as_micros();
        let first = COUNTED.with_borrow_mut(|counted| {
            let first = counted.is_empty();
            if !counted.contains_key(service) {
                counted.insert(service.clone(), BTreeMap::new());
            }
            if let Some(kinds) = counted.get_mut(service) {
                match kinds.get_mut(kind) {
                    Some(tally) => tally.add(micros, result),
                    None => kinds.entry(kind.clone()).or_default().add(micros, result),
                }
            }
            first
        });
        if first {
            let handover = Arc::clone(&self.handover);
            tokio::task::spawn_local(async move {
                tokio::time::sleep(HANDOVER_AFTER.duration()).await;
                handover(take());
            });
        }
    }
}

fn take() -> Vec<(Name, Name, Summary)> {
    let counted = COUNTED.take();
    let kinds = counted.into_iter().flat_map(|(service, kinds)| {
        kinds.into_iter().map(move |(kind, tally)| (service.clone(), kind, tally.summary()))
    });
    kinds.collect()
}
