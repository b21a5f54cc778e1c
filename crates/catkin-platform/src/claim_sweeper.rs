//! Deletion of claims past their retention.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::copy_type;

use crate::claim_document::{CLAIM_PREFIX, ClaimDocument, ClaimState};
use crate::store::{ObjectStore, StoreError, StoreErrorKind};

copy_type! {
    /// Retention of claims, counted from the time of the claim.
    pub struct ClaimRetention {
        /// Retention of claims with a recorded answer.
        pub answered: Duration,
        /// Retention of claims without an answer. It is longer, since operators may want to
        /// investigate them.
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
    /// Result of one sweep step.
    #[derive(Default)]
    pub struct SweepCounts {
        /// Number of claims read.
        pub read: u32,
        /// Number of claims deleted.
        pub deleted: u32,
    }
}

/// Deletes expired claims in small steps, shard by shard. The routers divide the shards among
/// themselves; it is safe for two of them to sweep the same shard.
pub struct ClaimSweeper<Store: ObjectStore> {
    store: Arc<Store>,
    retention: ClaimRetention,
    shard: u8,
    after: String,
}

impl<Store: ObjectStore> ClaimSweeper<Store> {
    /// Creates a sweeper that starts at the first shard.
    pub fn new(store: Arc<Store>, retention: ClaimRetention) -> Self {
        Self { store, retention, shard: 0, after: String::new() }
    }

    /// Checks up to `limit` further claims of one shard that this router owns. After an error the
    /// next step resumes where this one stopped.
    pub async fn step(
        &mut self,
        owns_shard: impl Fn(u8) -> bool,
        limit: u32,
        unix_seconds: u64,
    ) -> Result<SweepCounts, StoreError> {
        let mut counts = SweepCounts::default();
        let Some(shard) = next_owned_shard(self.shard, owns_shard) else { return Ok(counts) };
        if shard != self.shard {
            self.enter_shard(shard);
        }
        for key in self.store.list(&build_shard_prefix(shard), &self.after, limit).await? {
            counts.read += 1;
            counts.deleted += u32::from(self.sweep_claim(&key, unix_seconds).await?);
            self.after = key;
        }
        if counts.read < limit {
            self.enter_shard(shard.wrapping_add(1));
        }
        Ok(counts)
    }

    fn enter_shard(&mut self, shard: u8) {
        self.shard = shard;
        self.after.clear();
    }

    /// Deletes the claim if it is past its retention and was not changed since it was read.
    async fn sweep_claim(&self, key: &str, unix_seconds: u64) -> Result<bool, StoreError> {
        let Some(object) = self.store.get(key).await? else { return Ok(false) };
        let Some(claim) = ClaimDocument::decode(&object.value) else {
            log::error!("claims: object is not a valid claim document; leaving it. key={key}");
            return Ok(false);
        };
        if !self.is_expired(&claim, unix_seconds) {
            return Ok(false);
        }
        match self.store.delete(key, object.version).await {
            Ok(()) => Ok(true),
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn is_expired(&self, claim: &ClaimDocument, unix_seconds: u64) -> bool {
        let retention = match claim.state {
            ClaimState::Answered => self.retention.answered,
            ClaimState::Claimed | ClaimState::Sent | ClaimState::Unknown => self.retention.open,
        };
        unix_seconds.saturating_sub(claim.claimed_at_unix) > retention.as_secs()
    }
}

/// Finds the first owned shard from `first` on, wrapping around after the last one.
fn next_owned_shard(first: u8, owns_shard: impl Fn(u8) -> bool) -> Option<u8> {
    (0..=u8::MAX).map(|step| first.wrapping_add(step)).find(|shard| owns_shard(*shard))
}

fn build_shard_prefix(shard: u8) -> String {
    format!("{CLAIM_PREFIX}{shard:02x}/")
}
