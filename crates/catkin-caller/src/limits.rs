//! Limits that keep callers from exhausting the router.

use std::time::Duration;

use catkin_base::value_type;

/// File descriptors per caller: its connection, and the connection of its call to a server.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// File descriptors reserved for peers, the platform, operators and health probes.
const RESERVED_DESCRIPTORS: usize = 256;

value_type! {
    /// Limits of a [`CallerListener`](crate::CallerListener).
    pub struct CallerLimits {
        /// Maximum number of connections that are served at once.
        pub max_connections: usize,
        /// Maximum number of connections beyond `max_connections` whose calls are refused with a
        /// time to retry after. Further connections wait to be accepted.
        pub max_refused_connections: usize,
        /// Maximum size of a request head, in bytes.
        pub max_header_bytes: usize,
        /// Maximum size of a request body, in bytes.
        pub max_body_bytes: usize,
        /// Maximum total size of the request bodies of all open calls, in bytes.
        pub max_buffered_bytes: usize,
        /// Maximum time until a request head is complete. An idle connection is closed after it.
        pub header_timeout: Duration,
        /// Maximum time until a request body is complete.
        pub body_timeout: Duration,
        /// Maximum time for which a caller may accept no byte of its answer.
        pub write_timeout: Duration,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_refused_connections: 64,
            max_header_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            max_buffered_bytes: 64 << 20,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}

impl CallerLimits {
    /// Reduces `max_connections` so that `descriptors` file descriptors suffice; at least one
    /// connection stays.
    pub fn limit_to_descriptors(mut self, descriptors: usize) -> Self {
        let reserved = RESERVED_DESCRIPTORS.saturating_add(self.max_refused_connections);
        let max_connections = descriptors.saturating_sub(reserved) / DESCRIPTORS_PER_CONNECTION;
        self.max_connections = self.max_connections.min(max_connections).max(1);
        self
    }
}

/// Reads how many file descriptors this process may open. Returns `None` if `/proc/self/limits`
/// cannot be read.
pub fn read_descriptor_limit() -> Option<usize> {
    parse_descriptor_limit(&std::fs::read_to_string("/proc/self/limits").ok()?)
}

/// Parses the soft limit of open files from the text of `/proc/<process>/limits`.
pub fn parse_descriptor_limit(limits: &str) -> Option<usize> {
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        number => number.parse().ok(),
    }
}
