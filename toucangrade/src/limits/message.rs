//! Messages of the limits duty.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{Class, Key, Moment, Name, Refusal, Span};
use crate::membership::Config;

/// A caller's request as it arrived.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) ticket: u64,
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) key: Option<Key>,
    /// How long the caller waits, when it says so.
    pub(crate) timeout: Option<Span>,
    pub(crate) body: Bytes,
}

/// A request that may begin.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Admitted {
    pub(crate) ticket: u64,
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) class: Class,
    pub(crate) key: Option<Key>,
    /// End of the caller's wait, on this entry's clock.
    pub(crate) deadline: Moment,
    /// Longest time that an execution may take.
    pub(crate) lease: Span,
    /// Revision of the configuration under which the request was admitted.
    pub(crate) revision: u64,
    pub(crate) body: Bytes,
}

/// Message to the duty.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request arrived.
    Arrive(Arrival),
    /// A configuration is in force; `entries` share its quotas.
    Configure { config: Config, entries: u32 },
    /// New work may be taken until this moment.
    Confirmed { until: Moment },
    /// The entry is leaving.
    Drain,
    /// The request with this ticket was answered.
    Finish { ticket: u64 },
    /// Time passed.
    Tick,
}

/// What the duty asks for.
#[derive(Debug)]
pub(crate) enum Effect {
    /// The request may begin.
    Begin(Admitted),
    /// The request is refused; nothing was begun. The class is left out when it is not known.
    Refuse {
        ticket: u64,
        service: Name,
        kind: Name,
        class: Option<Class>,
        key: Option<Key>,
        refusal: Refusal,
    },
}
