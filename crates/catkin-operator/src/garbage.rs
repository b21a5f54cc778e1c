//! Garbage collection: deletes chunks that neither the revision in force nor the history refers to.
//!
//! An apply may write chunks at the same time. The collector reads the version of each candidate,
//! then writes the head without a change. Every apply that began before fails its write of the head
//! and starts again, which raises the version of the chunks that it needs. The collector deletes
//! only the versions that it read.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::{copy_type, value_type};
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind};
use tokio::time::sleep;

use crate::chunk_store::{CHUNK_PREFIX, ChunkSource, StoreSource, chunk_key};
use crate::head::{RevisionHead, VersionedHead, read_versioned_head, rewrite_head};
use crate::history::{delete_record, is_expired, list_keys, list_revisions, require_recorded_head};
use crate::sharding::GroupChunk;

/// Maximum number of chunks deleted by one collection.
const MAX_DELETED_CHUNKS: usize = 100;

copy_type! {
    /// Result of one collection.
    #[derive(Default)]
    pub struct GarbageOutcome {
        /// Number of chunks without a reference, up to the limit of one collection.
        pub unreferenced_chunks: usize,
        /// Number of chunks deleted.
        pub deleted_chunks: usize,
        /// Number of revisions deleted from the history.
        pub deleted_revisions: usize,
    }
}

value_type! {
    /// Reason why nothing was deleted.
    #[derive(Copy, thiserror::Error)]
    pub enum GarbageError {
        /// A platform call failed.
        #[error(transparent)]
        Store(#[from] StoreError),
        /// The head was written during the collection.
        #[error("the head was written during the collection")]
        Superseded,
        /// A group chunk cannot be read, so the shards that it lists are unknown.
        #[error("a group chunk cannot be read, so references to team shards are unknown")]
        UnreadableGroup,
    }
}

/// A chunk to delete, and its version when it was found to have no reference.
struct DeletionCandidate {
    key: String,
    version: u64,
}

/// Deletes unreferenced chunks, at most a hundred, and expired records of the history.
///
/// Waits for `pause` before each read of a recorded head, a group chunk or a chunk's version, and
/// after each deletion. Lists, reads of the head and its write are not paced. Several routers may
/// collect at the same time.
pub async fn collect_garbage<S: ObjectStore>(
    store: &S,
    pause: Duration,
) -> Result<GarbageOutcome, GarbageError> {
    let paced = PacedStore { store, pause };
    let keys = list_keys(store, CHUNK_PREFIX).await?;
    let mut marks = ReferenceMarks::default();
    marks.update(&paced).await?;
    // The first update takes most of the time; revisions may have been applied during it.
    let Some(current) = marks.update(&paced).await? else { return Ok(GarbageOutcome::default()) };
    let candidates = paced.read_versions(keys, &marks).await?;
    let mut outcome =
        GarbageOutcome { unreferenced_chunks: candidates.len(), ..GarbageOutcome::default() };
    if candidates.is_empty() && marks.expired.is_empty() {
        return Ok(outcome);
    }
    rewrite_head(store, &current).await.map_err(|error| match error.kind {
        StoreErrorKind::Conflict => GarbageError::Superseded,
        _ => GarbageError::Store(error),
    })?;
    for revision in marks.expired {
        outcome.deleted_revisions += usize::from(delete_record(store, revision).await.is_ok());
        sleep(pause).await;
    }
    for chunk in candidates {
        outcome.deleted_chunks +=
            usize::from(store.delete(&chunk.key, chunk.version).await.is_ok());
        sleep(pause).await;
    }
    Ok(outcome)
}

/// Reads recorded heads, group chunks and versions with a pause before each, so that a collection
/// stays within the router's call budget.
struct PacedStore<'a, S: ObjectStore> {
    store: &'a S,
    pause: Duration,
}

impl<S: ObjectStore> PacedStore<'_, S> {
    async fn read_head(&self, revision: u64) -> Result<RevisionHead, StoreError> {
        sleep(self.pause).await;
        require_recorded_head(self.store, revision).await
    }

    async fn read_group(&self, digest: &str) -> Result<GroupChunk, GarbageError> {
        sleep(self.pause).await;
        let content = StoreSource::new(self.store).fetch_chunk(digest).await?;
        let group = content.and_then(|content| serde_json::from_slice(&content).ok());
        group.ok_or(GarbageError::UnreadableGroup)
    }

    /// Reads the versions of chunks without a reference.
    async fn read_versions(
        &self,
        keys: Vec<String>,
        marks: &ReferenceMarks,
    ) -> Result<Vec<DeletionCandidate>, StoreError> {
        let mut chunks = Vec::new();
        for key in keys.into_iter().filter(|key| !marks.keys.contains(key)).take(MAX_DELETED_CHUNKS)
        {
            sleep(self.pause).await;
            if let Some(object) = self.store.get(&key).await? {
                chunks.push(DeletionCandidate { key, version: object.version });
            }
        }
        Ok(chunks)
    }
}

/// Keys of the chunks that the revision in force and the history refer to, and the revisions whose
/// records have expired.
#[derive(Default)]
struct ReferenceMarks {
    revisions: BTreeSet<u64>,
    keys: BTreeSet<String>,
    expired: Vec<u64>,
}

impl ReferenceMarks {
    /// Marks the chunks of revisions that are not marked yet, and returns the head in force.
    async fn update<S: ObjectStore>(
        &mut self,
        paced: &PacedStore<'_, S>,
    ) -> Result<Option<VersionedHead>, GarbageError> {
        let Some(current) = read_versioned_head(paced.store).await? else { return Ok(None) };
        let newest = current.head.revision;
        let recorded = list_revisions(paced.store).await?;
        let (expired, retained) =
            recorded.into_iter().partition(|revision| is_expired(*revision, newest));
        self.expired = expired;
        let retained: Vec<u64> = retained;
        for revision in retained {
            if !self.revisions.contains(&revision) {
                let head = paced.read_head(revision).await?;
                self.mark(paced, &head).await?;
            }
        }
        self.mark(paced, &current.head).await?;
        Ok(Some(current))
    }

    /// Marks the chunks of one revision.
    async fn mark<S: ObjectStore>(
        &mut self,
        paced: &PacedStore<'_, S>,
        head: &RevisionHead,
    ) -> Result<(), GarbageError> {
        self.keys.insert(chunk_key(&head.chunks.common));
        self.keys.extend(head.chunks.servers.iter().map(|digest| chunk_key(digest)));
        for digest in &head.chunks.team_groups {
            if !self.keys.insert(chunk_key(digest)) {
                continue;
            }
            let group = paced.read_group(digest).await?;
            self.keys.extend(group.shards.iter().map(|shard| chunk_key(shard)));
        }
        self.revisions.insert(head.revision);
        Ok(())
    }
}
