//! Messages of the limits duty.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{Class, Key, Moment, Name, Refusal, Span};
use crate::membership::Config;

/// A caller's request on arrival, before any check.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) ticket: u64,
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) key: Option<Key>,
    /// How long the caller waits; `None` for the default of the kind.
    pub(crate) timeout: Option<Span>,
    pub(crate) body: Bytes,
}

/// A request that passed the limits and may begin.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Admitted {
    pub(crate) ticket: u64,
    pub(crate) service: Name,
    pub(crate) kind: Name,
    pub(crate) class: Class,
    pub(crate) key: Option<Key>,
    /// Moment on this entry's clock when the caller stops waiting.
    pub(crate) deadline: Moment,
    /// Maximum run time of an attempt.
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
    /// A new configuration is in force, and this number of entries shares its quotas.
    Configure { config: Config, entries: u32 },
    /// New work may be accepted until this moment.
    LeaseExtended { until: Moment },
    /// The entry starts to drain.
    Drain,
    /// The request with this ticket was answered.
    Finish { ticket: u64 },
    /// Time passed.
    Tick,
}

/// Effect returned by a step.
#[derive(Debug)]
pub(crate) enum Effect {
    /// The request may begin.
    Begin(Admitted),
    /// The request is refused before it began. `class` is `None` if the kind is not declared.
    Refuse {
        ticket: u64,
        service: Name,
        kind: Name,
        class: Option<Class>,
        key: Option<Key>,
        refusal: Refusal,
    },
}
