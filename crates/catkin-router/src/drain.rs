//! Counts open calls, so that a shutdown can refuse new ones and wait for the rest.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts open calls and refuses new ones while draining.
#[derive(Debug, Default)]
pub(crate) struct DrainGate {
    draining: AtomicBool,
    open: AtomicUsize,
    /// Notified when the last open call ends.
    idle: Notify,
}

/// Counts one call as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenCall {
    gate: Arc<DrainGate>,
}

impl DrainGate {
    /// Opens a call; `None` while draining.
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

    /// Number of open calls.
    pub(crate) fn open_calls(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until no call is open.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            tokio::pin!(idle);
            idle.as_mut().enable();
            if self.open_calls() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let before = self.gate.open.fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.gate.idle.notify_waiters();
        }
    }
}
