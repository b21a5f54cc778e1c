//! Counts open calls and lets a shutdown wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts open calls and refuses new ones once draining.
#[derive(Debug, Default)]
pub(crate) struct DrainGate {
    draining: AtomicBool,
    open: AtomicUsize,
    changed: Notify,
}

/// Marks one open call; dropping it ends the call.
#[derive(Debug)]
pub(crate) struct OpenCall {
    gate: Arc<DrainGate>,
}

impl DrainGate {
    /// Opens a call; `None` once draining.
    pub(crate) fn open_call(gate: &Arc<DrainGate>) -> Option<OpenCall> {
        gate.open.fetch_add(1, Ordering::SeqCst);
        let call = OpenCall { gate: Arc::clone(gate) };
        (!gate.is_draining()).then_some(call)
    }

    /// Refuses new calls from now on.
    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(crate) fn open_calls(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until no call is open.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.open_calls() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let before = self.gate.open.fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.gate.changed.notify_waiters();
        }
    }
}
