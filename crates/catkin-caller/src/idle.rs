//! Which connections are idle, so that the longest idle one can make room.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// Idle connections in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleBook {
    entries: Mutex<IdleEntries>,
}

#[derive(Debug, Default)]
struct IdleEntries {
    next_position: u64,
    tokens: BTreeMap<u64, CancellationToken>,
}

impl IdleBook {
    /// Tells the longest idle connection to close; false if none is idle.
    pub(crate) fn evict_oldest(&self) -> bool {
        match self.lock().tokens.pop_first() {
            Some((_, token)) => {
                token.cancel();
                true
            }
            None => false,
        }
    }

    fn enter(&self, token: &CancellationToken) -> u64 {
        let mut entries = self.lock();
        let position = entries.next_position;
        entries.next_position += 1;
        entries.tokens.insert(position, token.clone());
        position
    }

    fn leave(&self, position: u64) {
        self.lock().tokens.remove(&position);
    }

    fn lock(&self) -> MutexGuard<'_, IdleEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One connection's place in the book.
#[derive(Debug)]
pub(crate) struct IdleSlot {
    book: Arc<IdleBook>,
    stop: CancellationToken,
    position: Mutex<Option<u64>>,
}

impl IdleSlot {
    /// A slot of a connection that is idle from now on and stops when `closing` is cancelled.
    pub(crate) fn new(book: &Arc<IdleBook>, closing: &CancellationToken) -> Self {
        let stop = closing.child_token();
        let position = Mutex::new(Some(book.enter(&stop)));
        Self { book: Arc::clone(book), stop, position }
    }

    /// Waits until the connection has to make room or the listener closes.
    pub(crate) async fn stopped(&self) {
        self.stop.cancelled().await;
    }

    /// Whether no request is open on the connection.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().is_some()
    }

    /// Marks the connection busy until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> BusyGuard {
        self.clear();
        BusyGuard { slot: Arc::clone(self) }
    }

    fn clear(&self) {
        if let Some(position) = self.lock().take() {
            self.book.leave(position);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<u64>> {
        self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for IdleSlot {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Keeps a connection from being counted as idle.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    slot: Arc<IdleSlot>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let position = self.slot.book.enter(&self.slot.stop);
        *self.slot.lock() = Some(position);
    }
}
