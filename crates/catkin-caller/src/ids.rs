//! Identifiers of requests.

use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::{RequestId, hash_parts};

/// Gives out request identifiers; the same seed gives the same sequence.
#[derive(Debug)]
pub struct RequestIds {
    seed: u64,
    count: AtomicU64,
}

impl RequestIds {
    /// A sequence for a seed, which should differ between routers and between their restarts.
    pub fn from_seed(seed: u64) -> Self {
        Self { seed, count: AtomicU64::new(0) }
    }

    /// The next identifier.
    pub fn next_id(&self) -> RequestId {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        RequestId(hash_parts(&[&self.seed.to_le_bytes(), &count.to_le_bytes()]))
    }
}
