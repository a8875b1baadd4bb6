//! Evacuation of data centres: while one is evacuated, nothing new is started there. Operators order
//! it and take it back; both hosts keep the orders in their replicated state.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What an order does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EvacuationVerb {
    /// Takes the evacuation back.
    Finish,
    /// Evacuates the data centre.
    Start,
}

/// An operator's order for one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationOrder {
    /// Name of the data centre.
    pub centre: Arc<str>,
    /// What is ordered.
    pub verb: EvacuationVerb,
    /// Time of the order in ms since 1970, on the leader's clock.
    pub wall: u64,
    /// Name or address of the requester, empty if unknown.
    pub by: Arc<str>,
}

/// An evacuation in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// When it was ordered, in ms since 1970 on the leader's clock.
    pub since: u64,
    /// Name or address of the requester, empty if unknown.
    pub by: Arc<str>,
}

/// All evacuations in force, by data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations(BTreeMap<Arc<str>, Evacuation>);

impl Evacuations {
    /// Applies an order; returns whether it changed anything. A repeat keeps the first requester and
    /// time.
    pub(crate) fn apply(&mut self, order: &EvacuationOrder) -> bool {
        match order.verb {
            EvacuationVerb::Finish => self.0.remove(&order.centre).is_some(),
            EvacuationVerb::Start if self.0.contains_key(&order.centre) => false,
            EvacuationVerb::Start => {
                let evacuation = Evacuation { since: order.wall, by: Arc::clone(&order.by) };
                self.0.insert(Arc::clone(&order.centre), evacuation);
                true
            },
        }
    }

    /// Whether a data centre is evacuated.
    pub(crate) fn covers(&self, centre: &str) -> bool {
        self.0.contains_key(centre)
    }

    /// Evacuated data centres in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Evacuation)> {
        self.0.iter()
    }

    /// Whether no data centre is evacuated.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of evacuated data centres.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
