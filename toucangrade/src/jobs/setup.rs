//! Configuration of queues and services. The operator replaces it as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::Span;

/// Configuration of a queue of jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host of the requests that callers send to it.
    pub host: Arc<str>,
    /// Path prefix of these requests.
    pub prefix: Arc<str>,
    /// Service whose runners run its tasks.
    pub service: Arc<str>,
    /// Priority, with 0 the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job has failed.
    pub attempts: u32,
    /// Factor of the objective for a job's completion time: a multiple of its longest chain of
    /// work.
    pub stretch: f64,
    /// Constant part of that objective, added to the stretched chain.
    pub objective: Span,
    /// Maximum time that a request may take.
    pub timeout: Span,
}

impl Queue {
    /// Text that identifies the queue's address. Names differ from it, as they hold no line breaks.
    pub(crate) fn address(&self) -> Arc<str> {
        format!("\n{}\n{}", self.host, self.prefix).into()
    }
}

/// Configuration of a service, which is a pool of runners.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Whether its runners refuse tasks that exceed their free resources.
    pub guarded: bool,
    /// Whether its instances are switched off.
    pub standby: bool,
}

/// All queues and services.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Version; the configuration with the highest one is in force.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// The configuration as the operator sent it.
    pub source: Bytes,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigurationError {
    /// Two queues share a host and prefix.
    #[error("queues {first:?} and {second:?} share host {host:?} and prefix {prefix:?}")]
    SamePlace {
        /// One queue.
        first: Arc<str>,
        /// The other queue.
        second: Arc<str>,
        /// The host.
        host: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// A timeout is zero.
    #[error("queue {0:?} has a timeout of 0 ms, it must be at least 1")]
    Timeout(Arc<str>),
    /// A queue names a service that does not exist.
    #[error("queue {queue:?} names service {service:?}, which is not declared")]
    UnknownService {
        /// The queue.
        queue: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
}

impl Configuration {
    /// Checks the rules that the types don't enforce: known services, timeouts above zero, and a
    /// distinct host and prefix for each queue.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError`] names the queue and the invalid value.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| &*s.name).collect();
        let mut places: BTreeMap<(&str, &str), &Queue> = BTreeMap::new();
        for queue in &self.queues {
            if !services.contains(&*queue.service) {
                let (queue, service) = (queue.name.clone(), queue.service.clone());
                return Err(ConfigurationError::UnknownService { queue, service });
            }
            if queue.timeout == Span::ZERO {
                return Err(ConfigurationError::Timeout(queue.name.clone()));
            }
            if let Some(first) = places.insert((&queue.host, &queue.prefix), queue) {
                let (host, prefix) = (queue.host.clone(), queue.prefix.clone());
                let (first, second) = (first.name.clone(), queue.name.clone());
                return Err(ConfigurationError::SamePlace { first, second, host, prefix });
            }
        }
        Ok(())
    }

    /// Of the queues of `host`, the one with the longest prefix of `path`, and the rest of the
    /// path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matches = self.queues.iter().filter(|queue| *queue.host == *host);
        matches
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)))
            .max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// The queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }
}
