//! Permission to send one claimed request.

use std::sync::Arc;

use crate::claim_document::{ClaimDocument, ClaimState};
use crate::claim_pending::{PendingClaims, PendingKey, PendingWrite};

/// Permission to send one claimed request.
///
/// Dropping a ticket that was not closed queues a pending write: the outcome if one was being
/// recorded, an unknown outcome if the request was sent, else the withdrawal of the claim.
pub struct ClaimTicket {
    pub(crate) object_key: String,
    pub(crate) document: ClaimDocument,
    /// Version of the claim's object; `None` until its creation is confirmed.
    pub(crate) version: Option<u64>,
    sent: bool,
    /// Outcome that is being recorded.
    outcome: Option<ClaimDocument>,
    closed: bool,
    pending: Arc<PendingClaims>,
}

impl ClaimTicket {
    pub(crate) fn new(
        object_key: String,
        document: ClaimDocument,
        pending: Arc<PendingClaims>,
    ) -> Self {
        Self {
            object_key,
            document,
            version: None,
            sent: false,
            outcome: None,
            closed: false,
            pending,
        }
    }

    /// Whether the request may have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    pub(crate) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Marks the request as not run, after the server has said so.
    pub fn mark_not_run(&mut self) {
        self.sent = false;
    }

    fn pending_key(&self) -> PendingKey {
        PendingKey { object_key: self.object_key.clone(), nonce: self.document.nonce }
    }

    /// Drops the ticket without queueing a pending write.
    pub(crate) fn close(mut self) {
        self.closed = true;
    }

    /// Sets the outcome that is queued if the ticket is dropped before the outcome is stored.
    pub(crate) fn set_outcome(&mut self, outcome: ClaimDocument) {
        self.outcome = Some(outcome);
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if self.closed {
            return;
        }
        let unknown = || self.document.with_state(ClaimState::Unknown);
        let outcome = self.outcome.take().or_else(|| self.sent.then(unknown));
        let write = match outcome {
            Some(outcome) => PendingWrite::Record(Box::new(outcome)),
            None => PendingWrite::Withdraw,
        };
        self.pending.push(self.pending_key(), write);
    }
}
