//! Bounds that keep callers from exhausting the router.

use std::time::Duration;

use catkin_base::value_type;

/// Descriptors of a connection and of its call's connection to a server.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// Descriptors left for peers, the platform, operators and probes.
const RESERVED_DESCRIPTORS: usize = 256;

value_type! {
    /// Bounds of a [`CallerListener`](crate::CallerListener).
    pub struct CallerLimits {
        /// Most connections served at once.
        pub max_connections: usize,
        /// Most connections beyond `max_connections` that are told to come back later.
        pub max_refused_connections: usize,
        /// Largest head of a request, in bytes.
        pub max_header_bytes: usize,
        /// Largest body of one request, in bytes.
        pub max_body_bytes: usize,
        /// Most bytes of request bodies held at once by all connections.
        pub max_buffered_bytes: usize,
        /// Longest wait for a whole request head; an idle connection is closed after it.
        pub header_timeout: Duration,
        /// Longest wait for a whole request body.
        pub body_timeout: Duration,
        /// Longest time for which a caller may take no byte of its answer.
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
    /// These bounds with no more connections than the process has file descriptors for.
    pub fn limit_to_descriptors(mut self, descriptors: usize) -> Self {
        let taken = RESERVED_DESCRIPTORS.saturating_add(self.max_refused_connections);
        let most = descriptors.saturating_sub(taken) / DESCRIPTORS_PER_CONNECTION;
        self.max_connections = self.max_connections.min(most).max(1);
        self
    }
}

/// Most file descriptors that this process may open; `None` if the system does not tell.
pub fn read_descriptor_limit() -> Option<usize> {
    parse_descriptor_limit(&std::fs::read_to_string("/proc/self/limits").ok()?)
}

/// The soft limit of open files in the text of `/proc/<process>/limits`.
pub fn parse_descriptor_limit(limits: &str) -> Option<usize> {
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        number => number.parse().ok(),
    }
}
