//! The memory taken by the bodies of all open requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the bytes held and refuses more than a limit.
#[derive(Debug)]
pub(crate) struct HeldBudget {
    held: AtomicUsize,
    limit_bytes: usize,
}

impl HeldBudget {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self { held: AtomicUsize::new(0), limit_bytes }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |held: usize| {
            let held = held.checked_add(bytes)?;
            (held <= self.limit_bytes).then_some(held)
        };
        self.held.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }
}

/// The share of one request, given back when dropped.
#[derive(Debug)]
pub(crate) struct HeldShare {
    budget: Arc<HeldBudget>,
    bytes: usize,
}

impl HeldShare {
    pub(crate) fn new(budget: &Arc<HeldBudget>) -> Self {
        Self { budget: Arc::clone(budget), bytes: 0 }
    }

    /// Takes more bytes; false if the limit forbids it.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.budget.try_take(bytes);
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
