//! The steps of a listener's shutdown.

use tokio_util::sync::CancellationToken;

/// Tells a [`CallerListener`](crate::CallerListener) to stop, step by step.
#[derive(Debug, Clone, Default)]
pub struct CallerShutdown {
    leaving: CancellationToken,
    closing: CancellationToken,
    aborting: CancellationToken,
}

impl CallerShutdown {
    /// From now on `/healthz` answers 503; calls are still served.
    pub fn start_leaving(&self) {
        self.leaving.cancel();
    }

    /// From now on no connection is accepted, and each open one closes after its current response.
    pub fn start_closing(&self) {
        self.leaving.cancel();
        self.closing.cancel();
    }

    /// Drops every connection that is still open, and so cancels its call.
    pub fn abort(&self) {
        self.start_closing();
        self.aborting.cancel();
    }

    /// Whether any step was taken.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    pub(crate) fn closing(&self) -> &CancellationToken {
        &self.closing
    }

    pub(crate) fn aborting(&self) -> &CancellationToken {
        &self.aborting
    }
}
