//! Deletes claims that are past their retention.

use std::sync::Arc;
use std::time::Duration;

use catkin_base::copy_type;

use crate::claim_document::{CLAIM_PREFIX, ClaimDocument, ClaimState};
use crate::store::{ObjectStore, StoreError, StoreErrorKind};

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
    }
}

/// Walks over claims in small steps, shard by shard. Routers share the shards out among them;
/// two that sweep the same one do no harm.
pub struct ClaimSweeper<Store: ObjectStore> {
    store: Arc<Store>,
    retention: ClaimRetention,
    shard: u8,
    after: String,
}

impl<Store: ObjectStore> ClaimSweeper<Store> {
    /// A sweeper at the first shard.
    pub fn new(store: Arc<Store>, retention: ClaimRetention) -> Self {
        Self { store, retention, shard: 0, after: String::new() }
    }

    /// Sweeps over the next claims, at most `limit`, of one shard that this router owns. After an
    /// error the next step goes on where this one stopped.
    pub async fn step(
        &mut self,
        owns_shard: impl Fn(u8) -> bool,
        limit: u32,
        unix_seconds: u64,
    ) -> Result<SweepCounts, StoreError> {
        let mut counts = SweepCounts::default();
        let Some(shard) = next_owned(self.shard, owns_shard) else { return Ok(counts) };
        if shard != self.shard {
            self.enter_shard(shard);
        }
        for key in self.store.list(&shard_prefix(shard), &self.after, limit).await? {
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
            Err(StoreError { kind: StoreErrorKind::Conflict, .. }) => Ok(false),
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

/// The first owned shard from `first` on, around the end.
fn next_owned(first: u8, owns_shard: impl Fn(u8) -> bool) -> Option<u8> {
    (0..=u8::MAX).map(|step| first.wrapping_add(step)).find(|shard| owns_shard(*shard))
}

fn shard_prefix(shard: u8) -> String {
    format!("{CLAIM_PREFIX}{shard:02x}/")
}
