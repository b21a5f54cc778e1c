//! Generates identifiers of requests.

use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::{RequestId, hash_parts};

/// Generates request identifiers. The same seed gives the same sequence.
#[derive(Debug)]
pub struct RequestIds {
    seed: u64,
    count: AtomicU64,
}

impl RequestIds {
    /// Creates a generator. The seed should differ between routers and between restarts of a
    /// router, or their identifiers repeat.
    pub fn from_seed(seed: u64) -> Self {
        Self { seed, count: AtomicU64::new(0) }
    }

    /// Returns the next identifier.
    pub fn next_id(&self) -> RequestId {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        RequestId(hash_parts(&[&self.seed.to_le_bytes(), &count.to_le_bytes()]))
    }
}
