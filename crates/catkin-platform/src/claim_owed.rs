//! Retries of the pending outcomes and withdrawals of a router's claims.
//!
//! The module is not named after its content, since the module's path is the target of its log
//! lines.

use std::time::Duration;

use catkin_base::ClockTime;

use crate::claim_book::ClaimBook;
use crate::claim_document::{ClaimDocument, ClaimState};
use crate::claim_pending::{PendingKey, PendingWrite};
use crate::store::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

impl<Store: ObjectStore> ClaimBook<Store> {
    /// Attempts each pending write; returns the number of writes that stay pending. Stops at the
    /// first rate limit or lack of response, since further calls would fail as well.
    pub async fn flush(&self, now: ClockTime) -> usize {
        for key in self.pending.keys() {
            let Some(entry) = self.pending.record_attempt(&key, now) else { continue };
            let done = match entry.write {
                PendingWrite::Withdraw => {
                    self.withdraw_pending(&key, now.since(entry.first_attempt)).await
                }
                PendingWrite::Record(document) => self.record_pending(&key, &document).await,
            };
            match done {
                Ok(true) => self.pending.remove(&key),
                Ok(false) => {}
                Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => {}
                Err(StoreError { kind: StoreErrorKind::Invalid, .. }) => {
                    log::error!(
                        "claims: the platform rejects the outcome; dropping it. key={}",
                        key.object_key
                    );
                    self.pending.remove(&key);
                }
                Err(_) => break,
            }
        }
        self.pending.len()
    }

    /// Number of pending writes.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Deletes a claim whose request was never sent; `true` once a late write can no longer create
    /// it again.
    async fn withdraw_pending(
        &self,
        key: &PendingKey,
        waited: Duration,
    ) -> Result<bool, StoreError> {
        let expired = waited >= self.options.max_write_delay;
        let Some(found) = self.store.get(&key.object_key).await? else { return Ok(expired) };
        let stored = ClaimDocument::decode(&found.value);
        if stored.is_none_or(|stored| stored.nonce != key.nonce) {
            return Ok(expired);
        }
        self.store.delete(&key.object_key, found.version).await.map(|()| true)
    }

    /// Replaces the claim with its outcome if it still has the same nonce; `true` if nothing is
    /// left to write.
    async fn record_pending(
        &self,
        key: &PendingKey,
        outcome: &ClaimDocument,
    ) -> Result<bool, StoreError> {
        let Some(found) = self.store.get(&key.object_key).await? else { return Ok(true) };
        let Some(stored) = ClaimDocument::decode(&found.value) else { return Ok(true) };
        let is_done = stored.nonce != outcome.nonce || stored.state == ClaimState::Answered;
        if is_done || stored == *outcome {
            return Ok(true);
        }
        let condition = WriteCondition::Version(found.version);
        self.store.put(&key.object_key, &outcome.encode(), condition).await.map(|_| true)
    }
}
