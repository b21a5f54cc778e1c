//! Writes the outcomes and withdrawals that a router owes to the platform.

use std::time::Duration;

use catkin_base::ClockTime;

use crate::claim_book::ClaimBook;
use crate::claim_document::{ClaimDocument, ClaimState};
use crate::claim_pending::{PendingKey, PendingTask};
use crate::store::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

impl<Store: ObjectStore> ClaimBook<Store> {
    /// Writes what is owed to the platform; returns how many writes are still owed.
    pub async fn flush(&self, now: ClockTime) -> usize {
        for key in self.pending.keys() {
            let Some(entry) = self.pending.note_tried(&key, now) else { continue };
            let done = match entry.task {
                PendingTask::Withdraw => self.withdraw(&key, now.since(entry.first_tried_at)).await,
                PendingTask::Record(document) => self.record_owed(&key, &document).await,
            };
            match done {
                Ok(true) => self.pending.remove(&key),
                Ok(false) => {}
                Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => {}
                Err(StoreError { kind: StoreErrorKind::Invalid, .. }) => {
                    log::error!("claims: the platform refuses the outcome of {}", key.object_key);
                    self.pending.remove(&key);
                }
                Err(_) => break,
            }
        }
        self.pending.len()
    }

    /// Writes that are owed to the platform.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Deletes a claim that was never used; `true` once it can't come back.
    async fn withdraw(&self, key: &PendingKey, waited: Duration) -> Result<bool, StoreError> {
        let settled = waited >= self.options.max_write_delay;
        let Some(found) = self.store.get(&key.object_key).await? else { return Ok(settled) };
        let held = ClaimDocument::decode(&found.value);
        if held.is_none_or(|held| held.nonce != key.nonce) {
            return Ok(settled);
        }
        self.store.delete(&key.object_key, found.version).await.map(|()| true)
    }

    /// Writes an outcome over the claim that has its nonce; `true` once nothing is owed.
    async fn record_owed(
        &self,
        key: &PendingKey,
        outcome: &ClaimDocument,
    ) -> Result<bool, StoreError> {
        let Some(found) = self.store.get(&key.object_key).await? else { return Ok(true) };
        let Some(held) = ClaimDocument::decode(&found.value) else { return Ok(true) };
        let is_done = held.nonce != outcome.nonce || held.state == ClaimState::Answered;
        if is_done || held == *outcome {
            return Ok(true);
        }
        let condition = WriteCondition::Version(found.version);
        self.store.put(&key.object_key, &outcome.encode(), condition).await.map(|_| true)
    }
}
