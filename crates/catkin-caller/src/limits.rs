//! Bounds that keep callers from exhausting the router.

use std::time::Duration;

use catkin_base::value_type;

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
        pub max_held_bytes: usize,
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
            max_held_bytes: 64 << 20,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}
