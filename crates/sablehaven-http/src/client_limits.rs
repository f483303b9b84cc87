//! Limits on what a process holds for its clients, and their defaults, which depend on the machine.

use serde::{Deserialize, Serialize};

use sablehaven_types::{SettingChecks, SettingError};

/// Fraction of the machine's memory for the buffers of connections, in eighths.
const CONNECTION_MEMORY_EIGHTHS: u64 = 2;
/// Fraction of the machine's memory for bodies, in eighths. The remaining eighths are for the process itself.
const BODY_MEMORY_EIGHTHS: u64 = 2;
/// Fraction of the descriptors that connections of clients may use: one in this many. The others are for the
/// connections that the process opens itself, and for files.
const DESCRIPTOR_DIVISOR: u64 = 2;
/// Default size of a socket's receive buffer, and of its send buffer, in bytes.
const SOCKET_BUFFER_BYTES: usize = 16 * 1024;
/// Default number of connections to a listener for readiness checks or metrics.
const MAX_PROBE_CONNECTIONS: usize = 16;
/// Linux reserves twice the size that is set, for its own bookkeeping.
const SOCKET_BUFFER_OVERHEAD: usize = 2;
/// Memory of a connection beside its buffers, in bytes: its task, its timer and the head of a response.
const CONNECTION_STATE_BYTES: usize = 8 * 1024;
/// Read buffers of a connection: that of the request which is answered, and that of the next one.
const READ_BUFFERS: usize = 2;
/// The smallest read buffer of a connection, in bytes.
pub(crate) const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// The memory that is assumed if the machine does not tell its own, in bytes.
const FALLBACK_MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// The number of descriptors that is assumed if the machine does not tell its limit.
const FALLBACK_DESCRIPTORS: u64 = 1_024;

/// What a machine provides to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Number of descriptors that may be open.
    pub descriptors: u64,
}

impl MachineLimits {
    /// Reads the limits of this process from the system. Memory is that of the whole machine.
    pub fn detect() -> Self {
        let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
        Self {
            memory_bytes: parse_memory(&memory).unwrap_or(FALLBACK_MEMORY_BYTES),
            descriptors: parse_descriptors(&limits).unwrap_or(FALLBACK_DESCRIPTORS),
        }
    }
}

/// The total memory in the text of `/proc/meminfo`, in bytes.
fn parse_memory(text: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1024)
}

/// The soft limit of open files in the text of `/proc/self/limits`; `None` if there is no limit.
fn parse_descriptors(text: &str) -> Option<u64> {
    let mut lines = text.lines();
    let limits = lines.find_map(|line| line.strip_prefix("Max open files"))?;
    limits.split_whitespace().next()?.parse().ok()
}

/// Settings of the limits on what a process holds for all of its clients together. Where one is absent, it follows from
/// the machine: see [`ClientLimits::for_machine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// See [`ClientLimits::max_connections`].
    pub max_connections: Option<usize>,
    /// See [`ClientLimits::connection_bytes`].
    pub connection_bytes: Option<usize>,
    /// See [`ClientLimits::body_bytes`].
    pub body_bytes: Option<usize>,
    /// See [`ClientLimits::max_probe_connections`].
    pub max_probe_connections: usize,
    /// See [`ClientLimits::socket_buffer_bytes`].
    pub socket_buffer_bytes: usize,
}

/// Limits on what a process holds for all of its clients together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of open connections. There are fewer if `connection_bytes` does not suffice for them.
    pub max_connections: usize,
    /// Maximum memory of connections, in bytes: their buffers in this process and in the system.
    pub connection_bytes: usize,
    /// Maximum size of the bodies that are held, in bytes: those of requests until they are answered, replies that are
    /// being received or merged, and responses until they are sent.
    pub body_bytes: usize,
    /// Maximum number of connections to each listener for readiness checks or metrics.
    pub max_probe_connections: usize,
    /// Size of the receive buffer and of the send buffer of a connection in the system, in bytes each.
    pub socket_buffer_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            max_connections: None,
            connection_bytes: None,
            body_bytes: None,
            max_probe_connections: MAX_PROBE_CONNECTIONS,
            socket_buffer_bytes: SOCKET_BUFFER_BYTES,
        }
    }
}

impl ClientSettings {
    /// The limits on this machine.
    pub fn limits(&self) -> ClientLimits {
        let default = ClientLimits::for_machine(MachineLimits::detect());
        ClientLimits {
            max_connections: self.max_connections.unwrap_or(default.max_connections),
            connection_bytes: self.connection_bytes.unwrap_or(default.connection_bytes),
            body_bytes: self.body_bytes.unwrap_or(default.body_bytes),
            max_probe_connections: self.max_probe_connections,
            socket_buffer_bytes: self.socket_buffer_bytes,
        }
    }

    /// Returns an error for each invalid setting. The keys in the errors start with `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        self.limits().validate(prefix)
    }
}

impl From<ClientLimits> for ClientSettings {
    fn from(limits: ClientLimits) -> Self {
        Self {
            max_connections: Some(limits.max_connections),
            connection_bytes: Some(limits.connection_bytes),
            body_bytes: Some(limits.body_bytes),
            max_probe_connections: limits.max_probe_connections,
            socket_buffer_bytes: limits.socket_buffer_bytes,
        }
    }
}

impl ClientLimits {
    /// The default limits on a machine.
    pub fn for_machine(machine: MachineLimits) -> Self {
        let eighth = machine.memory_bytes / 8;
        let connections = machine.descriptors / DESCRIPTOR_DIVISOR;
        Self {
            max_connections: saturating_usize(connections).max(1),
            connection_bytes: saturating_usize(eighth * CONNECTION_MEMORY_EIGHTHS),
            body_bytes: saturating_usize(eighth * BODY_MEMORY_EIGHTHS),
            max_probe_connections: MAX_PROBE_CONNECTIONS,
            socket_buffer_bytes: SOCKET_BUFFER_BYTES,
        }
    }

    fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.at_least("max_connections", self.max_connections as u64, 1);
        let minimum = memory_of_connection(MIN_READ_BUFFER_BYTES, self.socket_buffer_bytes);
        checks.at_least(
            "connection_bytes",
            self.connection_bytes as u64,
            minimum as u64,
        );
        checks.at_least("body_bytes", self.body_bytes as u64, 1);
        let probes = self.max_probe_connections as u64;
        checks.at_least("max_probe_connections", probes, 1);
        let buffer_bytes = self.socket_buffer_bytes as u64;
        checks.range(
            "socket_buffer_bytes",
            buffer_bytes,
            4 * 1024..=4 * 1024 * 1024,
        );
        checks.into_errors()
    }

    /// The connections of each of `listeners` whose requests have heads of at most `max_header_bytes`.
    pub fn connections_per_listener(&self, max_header_bytes: usize, listeners: usize) -> usize {
        (self.connections(max_header_bytes) / listeners).max(1)
    }

    /// The maximum number of connections whose requests have heads of at most `max_header_bytes`.
    pub fn connections(&self, max_header_bytes: usize) -> usize {
        let each = memory_of_connection(max_header_bytes, self.socket_buffer_bytes);
        self.max_connections
            .min(self.connection_bytes / each)
            .max(1)
    }
}

/// The most memory that a connection occupies beside the bodies of its requests and responses, in bytes.
fn memory_of_connection(max_header_bytes: usize, socket_buffer_bytes: usize) -> usize {
    let read_buffer = max_header_bytes.max(MIN_READ_BUFFER_BYTES);
    let socket_buffers = 2 * SOCKET_BUFFER_OVERHEAD * socket_buffer_bytes;
    CONNECTION_STATE_BYTES + READ_BUFFERS * read_buffer + socket_buffers
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;
