//! Limits the memory used by the request bodies of all open calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the buffered bytes of request bodies, up to a limit.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    reserved: AtomicUsize,
    limit_bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self { reserved: AtomicUsize::new(0), limit_bytes }
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let add = |reserved: usize| {
            let reserved = reserved.checked_add(bytes)?;
            (reserved <= self.limit_bytes).then_some(reserved)
        };
        self.reserved.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).is_ok()
    }
}

/// Bytes that one request has reserved in a [`BodyBudget`]; released when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    pub(crate) fn new(budget: &Arc<BodyBudget>) -> Self {
        Self { budget: Arc::clone(budget), bytes: 0 }
    }

    /// Reserves more bytes. Returns false and reserves none if the budget would be exceeded.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let granted = self.budget.try_reserve(bytes);
        if granted {
            self.bytes += bytes;
        }
        granted
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
