//! Deletes claims that are past their retention.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::copy_type;

use crate::claim_document::{CLAIM_PREFIX, ClaimDocument, ClaimState};
use crate::store::{ObjectStore, StoreError, StoreFault};

copy_type! {
    /// How long claims are kept, by their own time of claiming.
    pub struct ClaimRetention {
        /// For claims whose answer is recorded.
        pub answered: Duration,
        /// For claims without an answer, which operators may still want to look into.
        pub open: Duration,
    }
}

impl Default for ClaimRetention {
    fn default() -> Self {
        Self {
            answered: Duration::from_secs(7 * 24 * 3600),
            open: Duration::from_secs(30 * 24 * 3600),
        }
    }
}

copy_type! {
    /// What one step of a sweep did.
    #[derive(Default)]
    pub struct SweepCounts {
        /// Claims read.
        pub read: u32,
        /// Claims deleted.
        pub deleted: u32,
        /// Whether the step reached the last claim; the next one starts anew.
        pub is_round_done: bool,
    }
}

/// Walks over all claims in small steps. One router sweeps, the holder of the region's lease;
/// more than one would do no harm.
pub struct ClaimSweeper<Store: ObjectStore> {
    store: Arc<Store>,
    retention: ClaimRetention,
    after: String,
}

impl<Store: ObjectStore> ClaimSweeper<Store> {
    /// A sweeper at the start of a round.
    pub fn new(store: Arc<Store>, retention: ClaimRetention) -> Self {
        Self { store, retention, after: String::new() }
    }

    /// Sweeps over the next claims, at most `limit`. After an error the next step goes on where
    /// this one stopped.
    pub async fn step(&mut self, limit: u32, unix_seconds: u64) -> Result<SweepCounts, StoreError> {
        let mut counts = SweepCounts::default();
        for key in self.store.list(CLAIM_PREFIX, &self.after, limit).await? {
            counts.read += 1;
            counts.deleted += u32::from(self.sweep_claim(&key, unix_seconds).await?);
            self.after = key;
        }
        if counts.read < limit {
            counts.is_round_done = true;
            self.after.clear();
        }
        Ok(counts)
    }

    /// Deletes the claim if it is past its retention and was not changed meanwhile.
    async fn sweep_claim(&self, key: &str, unix_seconds: u64) -> Result<bool, StoreError> {
        let Some(object) = self.store.get(key).await? else { return Ok(false) };
        let Some(claim) = ClaimDocument::decode(&object.value) else {
            log::error!("claims: object {key} is not a claim");
            return Ok(false);
        };
        if !self.is_past(&claim, unix_seconds) {
            return Ok(false);
        }
        match self.store.delete(key, object.version).await {
            Ok(()) => Ok(true),
            Err(StoreError { fault: StoreFault::Conflict, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn is_past(&self, claim: &ClaimDocument, unix_seconds: u64) -> bool {
        let retention = match claim.state {
            ClaimState::Answered => self.retention.answered,
            ClaimState::Claimed | ClaimState::Sent | ClaimState::Unknown => self.retention.open,
        };
        unix_seconds.saturating_sub(claim.claimed_at_unix) > retention.as_secs()
    }
}
