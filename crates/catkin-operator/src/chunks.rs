//! Where heads and chunks are read from, and how chunks are written.

use std::future::Future;

use catkin_base::RunVerdict;
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

use crate::head::{RevisionHead, read_versioned_head};

/// Prefix of the keys of chunks.
pub(crate) const CHUNK_PREFIX: &str = "config/chunks/";

/// Times that the write of one chunk is tried while others write or delete it.
const CHUNK_WRITE_ATTEMPTS: u32 = 4;

/// Where a router gets heads and chunks: the platform, or other routers while it does not answer.
pub trait ChunkSource: Send + Sync {
    /// The newest head that the source knows.
    fn fetch_head(&self) -> impl Future<Output = Result<Option<RevisionHead>, StoreError>> + Send;

    /// The chunk with this digest. The reader checks the content.
    fn fetch_chunk(
        &self,
        digest: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, StoreError>> + Send;
}

/// The platform as a source of heads and chunks.
pub struct StoreSource<'a, S: ObjectStore> {
    store: &'a S,
}

impl<'a, S: ObjectStore> StoreSource<'a, S> {
    /// Reads from `store`.
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

/// Key of a chunk.
pub(crate) fn chunk_key(digest: &str) -> String {
    format!("{CHUNK_PREFIX}{digest}")
}

/// Makes sure that a chunk exists and outlives any collection of garbage already under way.
///
/// A chunk that exists is written again, which raises its version: a collector deletes only the
/// version that it saw before. A write whose answer is lost is simply repeated.
pub(crate) async fn write_chunk<S: ObjectStore>(
    store: &S,
    digest: &str,
    content: &[u8],
) -> Result<(), StoreError> {
    let key = chunk_key(digest);
    let mut condition = WriteCondition::Absent;
    let mut last = StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun };
    for _ in 0..CHUNK_WRITE_ATTEMPTS {
        match store.put(&key, content, condition).await {
            Ok(_) => return Ok(()),
            Err(error) if error.kind == StoreErrorKind::Conflict => last = error,
            Err(error) if error.ran == RunVerdict::MayHaveRun => last = error,
            Err(error) => return Err(error),
        }
        condition = match store.get(&key).await? {
            Some(object) => WriteCondition::Version(object.version),
            None => WriteCondition::Absent,
        };
    }
    Err(last)
}
