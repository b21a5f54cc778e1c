//! Deletes chunks that no kept revision refers to.
//!
//! An apply may write chunks at the same time. The collector notes the version of each candidate,
//! then writes the head unchanged: every apply that began before must begin again, and raises the
//! version of the chunks that it needs. Only the noted versions are deleted.

use std::collections::BTreeSet;

use catkin_base::{copy_type, value_type};
use catkin_platform::{ObjectStore, StoreError, StoreFault};

use crate::chunks::{CHUNK_PREFIX, ChunkSource, StoreChunks, chunk_key};
use crate::cut::GroupChunk;
use crate::head::{RevisionHead, read_versioned_head, renew_head};
use crate::history::{KEPT_REVISIONS, forget_head, list_all, list_history, read_past_head};

/// Most chunks deleted by one run.
const MAX_DELETED: usize = 500;

copy_type! {
    /// What one run did.
    #[derive(Default)]
    pub struct GarbageOutcome {
        /// Chunks found unreferenced.
        pub unreferenced: usize,
        /// Chunks deleted.
        pub deleted: usize,
        /// Revisions dropped from the history.
        pub forgotten: usize,
    }
}

value_type! {
    /// Why nothing was deleted.
    #[derive(Copy, thiserror::Error)]
    pub enum GarbageError {
        /// The platform failed.
        #[error(transparent)]
        Store(#[from] StoreError),
        /// A revision was applied meanwhile.
        #[error("a revision was applied meanwhile")]
        Superseded,
        /// A group of shards cannot be read, so that its shards are unknown.
        #[error("a group of shards cannot be read")]
        Incomplete,
    }
}

/// A chunk to delete, and its version when it was found unreferenced.
struct GarbageChunk {
    key: String,
    version: u64,
}

/// Deletes what no kept revision refers to, at most a few hundred chunks.
pub async fn collect_garbage<S: ObjectStore>(store: &S) -> Result<GarbageOutcome, GarbageError> {
    let keys = list_all(store, CHUNK_PREFIX).await?;
    let Some(current) = read_versioned_head(store).await? else {
        return Ok(GarbageOutcome::default());
    };
    let (kept, expired) = split_history(store, &current.head).await?;
    let referenced = referenced_keys(store, &kept).await?;
    let mut candidates = Vec::new();
    for key in keys.into_iter().filter(|key| !referenced.contains(key)).take(MAX_DELETED) {
        if let Some(object) = store.get(&key).await? {
            candidates.push(GarbageChunk { key, version: object.version });
        }
    }
    let mut outcome =
        GarbageOutcome { unreferenced: candidates.len(), ..GarbageOutcome::default() };
    if candidates.is_empty() && expired.is_empty() {
        return Ok(outcome);
    }
    renew_head(store, &current).await.map_err(|error| match error.fault {
        StoreFault::Conflict => GarbageError::Superseded,
        _ => GarbageError::Store(error),
    })?;
    for revision in expired {
        outcome.forgotten += usize::from(forget_head(store, revision).await.is_ok());
    }
    for chunk in candidates {
        outcome.deleted += usize::from(store.delete(&chunk.key, chunk.version).await.is_ok());
    }
    Ok(outcome)
}

/// Reads the heads that are kept, and names the revisions that are not.
async fn split_history<S: ObjectStore>(
    store: &S,
    head: &RevisionHead,
) -> Result<(Vec<RevisionHead>, Vec<u64>), StoreError> {
    let oldest = head.revision.saturating_sub(KEPT_REVISIONS);
    let mut kept = vec![head.clone()];
    let mut expired = Vec::new();
    for revision in list_history(store).await? {
        if revision < oldest {
            expired.push(revision);
        } else {
            kept.extend(read_past_head(store, revision).await?);
        }
    }
    Ok((kept, expired))
}

async fn referenced_keys<S: ObjectStore>(
    store: &S,
    heads: &[RevisionHead],
) -> Result<BTreeSet<String>, GarbageError> {
    let mut keys = BTreeSet::new();
    let mut groups = BTreeSet::new();
    for head in heads {
        keys.insert(chunk_key(&head.chunks.common));
        keys.extend(head.chunks.servers.iter().map(|digest| chunk_key(digest)));
        groups.extend(&head.chunks.team_groups);
    }
    for digest in groups {
        let content = StoreChunks::new(store).fetch_chunk(digest).await?;
        let group = content.and_then(|content| serde_json::from_slice(&content).ok());
        let GroupChunk { shards } = group.ok_or(GarbageError::Incomplete)?;
        keys.insert(chunk_key(digest));
        keys.extend(shards.iter().map(|shard| chunk_key(shard)));
    }
    Ok(keys)
}
