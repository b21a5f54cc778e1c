//! Sources of heads and chunks, and the write of a chunk to the platform.

use std::future::Future;

use catkin_base::RunVerdict;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

use crate::head::{RevisionHead, read_versioned_head};

/// Prefix of the keys of chunks in the platform's object store.
pub(crate) const CHUNK_PREFIX: &str = "config/chunks/";

/// Maximum number of attempts to write one chunk while other routers write or delete it.
const CHUNK_WRITE_ATTEMPTS: u32 = 4;

/// Source of heads and chunks: the platform, or other routers while the platform does not
/// answer.
pub trait ChunkSource: Send + Sync {
    /// Reads the newest head that the source has; `None` if it has none.
    fn fetch_head(&self) -> impl Future<Output = Result<Option<RevisionHead>, StoreError>> + Send;

    /// Reads the chunk with this digest; `None` if the source does not have it.
    ///
    /// The content is not verified; the caller compares it with the digest.
    fn fetch_chunk(
        &self,
        digest: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, StoreError>> + Send;
}

/// The platform's object store as a source of heads and chunks.
pub struct StoreSource<'a, S: ObjectStore> {
    store: &'a S,
}

impl<'a, S: ObjectStore> StoreSource<'a, S> {
    /// Returns a source that reads from `store`.
    pub fn new(store: &'a S) -> Self {
        Self { store }
    }
}

impl<S: ObjectStore> ChunkSource for StoreSource<'_, S> {
    async fn fetch_head(&self) -> Result<Option<RevisionHead>, StoreError> {
        Ok(read_versioned_head(self.store).await?.map(|current| current.head))
    }

    async fn fetch_chunk(&self, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let object = self.store.get(&chunk_key(digest)).await?;
        Ok(object.map(|object| object.value))
    }
}

/// Returns the key of the chunk with this digest.
pub(crate) fn chunk_key(digest: &str) -> String {
    format!("{CHUNK_PREFIX}{digest}")
}

/// Writes a chunk so that it survives any garbage collection that has already begun.
///
/// A chunk that exists is written again, which raises its version: a collector deletes only the
/// version that it read before. A write whose response is lost is repeated, which is harmless
/// because the content is the same.
pub(crate) async fn write_chunk<S: ObjectStore>(
    store: &S,
    digest: &str,
    content: &[u8],
) -> Result<(), StoreError> {
    let key = chunk_key(digest);
    let mut condition = WriteCondition::Absent;
    let mut last_error = StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun };
    for _ in 0..CHUNK_WRITE_ATTEMPTS {
        match store.put(&key, content, condition).await {
            Ok(_) => return Ok(()),
            Err(error) if error.kind == StoreErrorKind::Conflict => last_error = error,
            Err(error) if error.ran == RunVerdict::MayHaveRun => last_error = error,
            Err(error) => return Err(error),
        }
        condition = match store.get(&key).await? {
            Some(object) => WriteCondition::Version(object.version),
            None => WriteCondition::Absent,
        };
    }
    Err(last_error)
}
