//! Deletes chunks that no kept revision refers to.
//!
//! An apply may write chunks at the same time. The collector notes the version of each candidate,
//! then writes the head unchanged: every apply that began before must begin again, and raises the
//! version of the chunks that it needs. Only the noted versions are deleted.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::{copy_type, value_type};
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind};
use tokio::time::sleep;

use crate::chunks::{CHUNK_PREFIX, ChunkSource, StoreSource, chunk_key};
use crate::cut::GroupChunk;
use crate::head::{RevisionHead, VersionedHead, read_versioned_head, renew_head};
use crate::history::{forget_head, is_forgotten, list_all, list_history, read_replaced_head};

/// Most chunks deleted by one run.
const MAX_DELETED: usize = 100;

copy_type! {
    /// What one run did.
    #[derive(Default)]
    pub struct GarbageOutcome {
        /// Chunks found unreferenced.
        pub unreferenced_chunks: usize,
        /// Chunks deleted.
        pub deleted_chunks: usize,
        /// Revisions dropped from the history.
        pub deleted_revisions: usize,
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
        UnreadableGroup,
    }
}

/// A chunk to delete, and its version when it was found unreferenced.
struct GarbageChunk {
    key: String,
    version: u64,
}

/// Deletes what no kept revision refers to, at most a hundred chunks, pausing after each call.
///
/// Several routers may collect at the same time.
pub async fn collect_garbage<S: ObjectStore>(
    store: &S,
    pause: Duration,
) -> Result<GarbageOutcome, GarbageError> {
    let paced = PacedStore { store, pause };
    let keys = list_all(store, CHUNK_PREFIX).await?;
    let mut marks = ReferenceMarks::default();
    marks.update(&paced).await?;
    // Most of the time has passed by now: revisions may have been applied meanwhile.
    let Some(current) = marks.update(&paced).await? else { return Ok(GarbageOutcome::default()) };
    let candidates = paced.note_versions(keys, &marks).await?;
    let mut outcome =
        GarbageOutcome { unreferenced_chunks: candidates.len(), ..GarbageOutcome::default() };
    if candidates.is_empty() && marks.expired.is_empty() {
        return Ok(outcome);
    }
    renew_head(store, &current).await.map_err(|error| match error.kind {
        StoreErrorKind::Conflict => GarbageError::Superseded,
        _ => GarbageError::Store(error),
    })?;
    for revision in marks.expired {
        outcome.deleted_revisions += usize::from(forget_head(store, revision).await.is_ok());
        sleep(pause).await;
    }
    for chunk in candidates {
        outcome.deleted_chunks +=
            usize::from(store.delete(&chunk.key, chunk.version).await.is_ok());
        sleep(pause).await;
    }
    Ok(outcome)
}

/// A store whose reads are followed by a pause, which keeps to the router's budget of calls.
struct PacedStore<'a, S: ObjectStore> {
    store: &'a S,
    pause: Duration,
}

impl<S: ObjectStore> PacedStore<'_, S> {
    async fn read_head(&self, revision: u64) -> Result<RevisionHead, StoreError> {
        sleep(self.pause).await;
        read_replaced_head(self.store, revision).await
    }

    async fn read_group(&self, digest: &str) -> Result<GroupChunk, GarbageError> {
        sleep(self.pause).await;
        let content = StoreSource::new(self.store).fetch_chunk(digest).await?;
        let group = content.and_then(|content| serde_json::from_slice(&content).ok());
        group.ok_or(GarbageError::UnreadableGroup)
    }

    /// Notes the versions of unreferenced chunks.
    async fn note_versions(
        &self,
        keys: Vec<String>,
        marks: &ReferenceMarks,
    ) -> Result<Vec<GarbageChunk>, StoreError> {
        let mut chunks = Vec::new();
        for key in keys.into_iter().filter(|key| !marks.keys.contains(key)).take(MAX_DELETED) {
            sleep(self.pause).await;
            if let Some(object) = self.store.get(&key).await? {
                chunks.push(GarbageChunk { key, version: object.version });
            }
        }
        Ok(chunks)
    }
}

/// Keys that the kept revisions refer to.
#[derive(Default)]
struct ReferenceMarks {
    revisions: BTreeSet<u64>,
    keys: BTreeSet<String>,
    expired: Vec<u64>,
}

impl ReferenceMarks {
    /// Marks what revisions not seen before refer to, and returns the head in force.
    async fn update<S: ObjectStore>(
        &mut self,
        paced: &PacedStore<'_, S>,
    ) -> Result<Option<VersionedHead>, GarbageError> {
        let Some(current) = read_versioned_head(paced.store).await? else { return Ok(None) };
        let newest = current.head.revision;
        let recorded = list_history(paced.store).await?;
        let (expired, kept) =
            recorded.into_iter().partition(|revision| is_forgotten(*revision, newest));
        self.expired = expired;
        let kept: Vec<u64> = kept;
        for revision in kept {
            if !self.revisions.contains(&revision) {
                let head = paced.read_head(revision).await?;
                self.mark(paced, &head).await?;
            }
        }
        self.mark(paced, &current.head).await?;
        Ok(Some(current))
    }

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
