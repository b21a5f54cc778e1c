//! Shutdown of a listener in steps.

use tokio_util::sync::CancellationToken;

/// Handle that shuts down a [`CallerListener`](crate::CallerListener) in steps.
#[derive(Debug, Clone, Default)]
pub struct CallerShutdown {
    leaving: CancellationToken,
    closing: CancellationToken,
    aborting: CancellationToken,
}

impl CallerShutdown {
    /// Makes `/healthz` answer 503, so that load balancers stop sending calls. Calls are still
    /// served.
    pub fn start_leaving(&self) {
        self.leaving.cancel();
    }

    /// Stops accepting connections, and closes each open one after its current response.
    pub fn start_closing(&self) {
        self.leaving.cancel();
        self.closing.cancel();
    }

    /// Drops all open connections, which cancels their calls.
    pub fn abort(&self) {
        self.start_closing();
        self.aborting.cancel();
    }

    /// Whether the shutdown has started.
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
