//! Tracks idle connections, so that the longest idle one can be closed in favour of a new one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// Idle connections in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleQueue {
    entries: Mutex<QueueEntries>,
}

#[derive(Debug, Default)]
struct QueueEntries {
    next_position: u64,
    stop_tokens: BTreeMap<u64, CancellationToken>,
}

impl IdleQueue {
    /// Signals the connection that has been idle longest to close. Returns false if none is idle.
    pub(crate) fn evict_oldest(&self) -> bool {
        match self.lock().stop_tokens.pop_first() {
            Some((_, token)) => {
                token.cancel();
                true
            }
            None => false,
        }
    }

    fn insert(&self, token: &CancellationToken) -> u64 {
        let mut entries = self.lock();
        let position = entries.next_position;
        entries.next_position += 1;
        entries.stop_tokens.insert(position, token.clone());
        position
    }

    fn remove(&self, position: u64) {
        self.lock().stop_tokens.remove(&position);
    }

    fn lock(&self) -> MutexGuard<'_, QueueEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Idle state of one connection.
#[derive(Debug)]
pub(crate) struct IdleTracker {
    queue: Arc<IdleQueue>,
    stop: CancellationToken,
    position: Mutex<Option<u64>>,
}

impl IdleTracker {
    /// Tracks a connection that is idle from now on. It is also signaled to close when `closing` is
    /// cancelled.
    pub(crate) fn new(queue: &Arc<IdleQueue>, closing: &CancellationToken) -> Self {
        let stop = closing.child_token();
        let position = Mutex::new(Some(queue.insert(&stop)));
        Self { queue: Arc::clone(queue), stop, position }
    }

    /// Waits until the connection is evicted or the listener closes.
    pub(crate) async fn wait_for_stop(&self) {
        self.stop.cancelled().await;
    }

    /// Whether no request is open on the connection.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().is_some()
    }

    /// Marks the connection as busy until the guard is dropped.
    pub(crate) fn mark_busy(self: &Arc<Self>) -> BusyGuard {
        self.leave_queue();
        BusyGuard { tracker: Arc::clone(self) }
    }

    fn leave_queue(&self) {
        if let Some(position) = self.lock().take() {
            self.queue.remove(position);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<u64>> {
        self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for IdleTracker {
    fn drop(&mut self) {
        self.leave_queue();
    }
}

/// Keeps a connection marked as busy; dropping it marks the connection as idle again.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    tracker: Arc<IdleTracker>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let position = self.tracker.queue.insert(&self.tracker.stop);
        *self.tracker.lock() = Some(position);
    }
}
