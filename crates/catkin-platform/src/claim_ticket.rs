//! The right to send one request once.

use std::sync::Arc;

use crate::claim_document::{ClaimDocument, ClaimState};
use crate::claim_pending::{PendingClaims, PendingKey, PendingTask};

/// The right of its holder to send one claimed request.
///
/// A ticket that is dropped without an outcome leaves a task behind: to withdraw the claim if
/// nothing was sent, else to note that the outcome is unknown.
pub struct ClaimTicket {
    pub(crate) object_key: String,
    pub(crate) document: ClaimDocument,
    /// Version of the claim's object; `None` until the create is known to have taken effect.
    pub(crate) version: Option<u64>,
    sent: bool,
    settled: bool,
    pending: Arc<PendingClaims>,
}

impl ClaimTicket {
    pub(crate) fn draft(
        object_key: String,
        document: ClaimDocument,
        pending: Arc<PendingClaims>,
    ) -> Self {
        Self { object_key, document, version: None, sent: false, settled: false, pending }
    }

    /// Whether the request may have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    pub(crate) fn note_sent(&mut self) {
        self.sent = true;
    }

    /// Notes that a server said that it did not run what was sent.
    pub fn note_not_run(&mut self) {
        self.sent = false;
    }

    fn pending_key(&self) -> PendingKey {
        PendingKey { object_key: self.object_key.clone(), nonce: self.document.nonce }
    }

    /// Gives up the ticket without leaving a task behind.
    pub(crate) fn settle(mut self) {
        self.settled = true;
    }

    /// Gives up the ticket and leaves a task to record the answer.
    pub(crate) fn settle_later(self, recorded: ClaimDocument) {
        self.pending.push(self.pending_key(), PendingTask::Record(Box::new(recorded)));
        self.settle();
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let task = if self.sent {
            PendingTask::Record(Box::new(self.document.with_state(ClaimState::Unknown)))
        } else {
            PendingTask::Withdraw
        };
        self.pending.push(self.pending_key(), task);
    }
}
