//! Limits on what the clients of a process's HTTP servers may use, with checked ranges.

use std::time::Duration;

use thiserror::Error;

/// Largest number of header bytes that the server can read; `xitca-web` takes it as a constant.
pub(super) const READ_BUFFER: usize = 24 * 1024;
/// Answers are written in pieces of this size, so that a client that doesn't read holds little.
pub(super) const WRITE_BUFFER: usize = 16 * 1024;
/// Memory that a connection needs besides bodies: a read buffer, which doubles as it grows, or a
/// write buffer of two pieces, and some 10 KiB of state.
const CONNECTION_BYTES: usize = 48 * 1024;
/// Share of a machine's memory for bodies and answers, and the same for connections. The rest is
/// for the process's own state.
const MEMORY_SHARE: usize = 4;
/// Descriptors that are reserved for files and for the process's own connections to others.
const RESERVED_DESCRIPTORS: usize = 200;
const MIB: usize = 1024 * 1024;

/// A limit that is outside its range.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{name} is {value}, allowed are {least} to {most}")]
pub struct LimitError {
    name: &'static str,
    value: usize,
    least: usize,
    most: usize,
}

/// Limits that all HTTP servers of a process share.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of bodies being read and answers being written.
    pub(super) memory: usize,
    /// Open connections.
    pub(super) connections: usize,
    /// Bytes of a request body, unless the server's screen says less.
    pub(super) body: usize,
    /// Bytes of a request head.
    pub(super) header: usize,
    /// Longest time for the rest of a head.
    pub(super) head_timeout: Duration,
    /// Longest time for the next `MIN_PROGRESS` bytes of a body.
    pub(super) body_timeout: Duration,
    /// Longest time without progress for a client that doesn't read its answer.
    pub(super) write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: 64 * MIB,
            // The usual limit on descriptors, less the reserved ones.
            connections: 4_096 - RESERVED_DESCRIPTORS,
            body: super::BODY_LIMIT,
            header: 16_384,
            head_timeout: Duration::from_secs(3),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
        }
    }
}

impl Limits {
    /// Builder with the defaults.
    pub fn builder() -> LimitsBuilder {
        LimitsBuilder(Self::default())
    }

    /// Limits of a process on a machine with this memory and this limit on descriptors. A quarter
    /// of the memory is for bodies and answers, a quarter for connections.
    pub fn for_machine(memory_mb: Option<usize>, descriptors: Option<usize>) -> Self {
        let mut limits = Self::default();
        if let Some(memory_mb) = memory_mb {
            let share = memory_mb.saturating_mul(MIB) / MEMORY_SHARE;
            limits.memory = share.clamp(RANGES.memory.0, RANGES.memory.1);
            limits.connections = share / CONNECTION_BYTES;
        }
        if let Some(descriptors) = descriptors {
            let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
            limits.connections = limits.connections.min(free);
        }
        limits.connections = limits.connections.clamp(RANGES.connections.0, RANGES.connections.1);
        limits
    }
}

/// Allowed ranges, both ends included.
struct Ranges {
    memory: (usize, usize),
    connections: (usize, usize),
    body: (usize, usize),
    header: (usize, usize),
    timeout_ms: (usize, usize),
}

const RANGES: Ranges = Ranges {
    // Two messages of the system's own in each direction.
    memory: (2 * super::BODY_LIMIT, 65_536 * MIB),
    connections: (16, 1_000_000),
    body: (1, super::BODY_LIMIT),
    header: (256, READ_BUFFER),
    timeout_ms: (10, 3_600_000),
};

/// Builder of [`Limits`].
#[derive(Clone, Debug)]
pub struct LimitsBuilder(Limits);

impl LimitsBuilder {
    /// Sets the bytes of bodies being read and answers being written, 64 MiB unless set.
    #[must_use]
    pub fn memory(mut self, bytes: usize) -> Self {
        self.0.memory = bytes;
        self
    }

    /// Sets the number of open connections, 3,896 unless set.
    #[must_use]
    pub fn connections(mut self, count: usize) -> Self {
        self.0.connections = count;
        self
    }

    /// Sets the bytes of a request body, 8 MiB unless set.
    #[must_use]
    pub fn body(mut self, bytes: usize) -> Self {
        self.0.body = bytes;
        self
    }

    /// Sets the bytes of a request head, 16,384 unless set.
    #[must_use]
    pub fn header(mut self, bytes: usize) -> Self {
        self.0.header = bytes;
        self
    }

    /// Sets the longest time for the rest of a head, 3 s unless set.
    #[must_use]
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.0.head_timeout = timeout;
        self
    }

    /// Sets the longest time for the next KiB of a body, 10 s unless set.
    #[must_use]
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.0.body_timeout = timeout;
        self
    }

    /// Sets the longest time for which a client may not read its answer, 10 s unless set.
    #[must_use]
    pub fn write_timeout(mut self, timeout: Duration) -> Self {
        self.0.write_timeout = timeout;
        self
    }

    /// Builds the limits.
    ///
    /// # Errors
    ///
    /// The first limit that is outside its range.
    pub fn build(self) -> Result<Limits, LimitError> {
        let limits = self.0;
        let millis = |timeout: Duration| usize::try_from(timeout.as_millis()).unwrap_or(usize::MAX);
        let timeouts = RANGES.timeout_ms;
        for (name, value, (least, most)) in [
            ("memory", limits.memory, RANGES.memory),
            ("connections", limits.connections, RANGES.connections),
            ("body", limits.body, RANGES.body),
            ("header", limits.header, RANGES.header),
            ("head_timeout", millis(limits.head_timeout), timeouts),
            ("body_timeout", millis(limits.body_timeout), timeouts),
            ("write_timeout", millis(limits.write_timeout), timeouts),
        ] {
            if value < least || value > most {
                return Err(LimitError { name, value, least, most });
            }
        }
        Ok(limits)
    }
}
