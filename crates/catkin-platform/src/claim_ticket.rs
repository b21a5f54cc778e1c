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
    /// The outcome that is being written.
    outcome: Option<ClaimDocument>,
    settled: bool,
    pending: Arc<PendingClaims>,
}

impl ClaimTicket {
    pub(crate) fn draft(
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
            settled: false,
            pending,
        }
    }

    /// Whether the request may have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    pub(crate) fn note_sent(&mut self) {
        self.sent = true;
    }

    /// Notes that a server said that it did not run what was sent.
    pub fn mark_not_run(&mut self) {
        self.sent = false;
    }

    fn pending_key(&self) -> PendingKey {
        PendingKey { object_key: self.object_key.clone(), nonce: self.document.nonce }
    }

    /// Gives up the ticket without leaving a task behind.
    pub(crate) fn settle(mut self) {
        self.settled = true;
    }

    /// Keeps the outcome, which is owed if the ticket is dropped before it is written.
    pub(crate) fn owe(&mut self, outcome: ClaimDocument) {
        self.outcome = Some(outcome);
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let unknown = || self.document.with_state(ClaimState::Unknown);
        let outcome = self.outcome.take().or_else(|| self.sent.then(unknown));
        let task = match outcome {
            Some(outcome) => PendingTask::Record(Box::new(outcome)),
            None => PendingTask::Withdraw,
        };
        self.pending.push(self.pending_key(), task);
    }
}
