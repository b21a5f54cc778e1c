//! Loads revisions in increasing order, and caches the chunks of the newest for other routers.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{digest_hex, value_type};
use catkin_platform::StoreError;
use catkin_settings::{FleetDeclarations, IssueLevel, check_declarations};
use serde::de::DeserializeOwned;

use crate::chunk_store::ChunkSource;
use crate::head::RevisionHead;
use crate::sharding::{GroupChunk, join_declarations};

/// Result of loading a revision.
#[derive(Debug, Clone, PartialEq)]
pub enum FetchOutcome {
    /// The revision was loaded.
    Loaded {
        /// Number of the revision.
        revision: u64,
        /// The declarations of the revision.
        declarations: Box<FleetDeclarations>,
    },
    /// The reader has loaded this revision or a newer one before.
    NotNewer,
}

value_type! {
    /// Reason why a revision was not loaded. Chunks that were read stay cached for the next
    /// attempt.
    #[derive(thiserror::Error)]
    pub enum FetchError {
        /// A read from the source failed.
        #[error(transparent)]
        Source(#[from] StoreError),
        /// The source does not have a chunk.
        #[error("the source does not have chunk {0}")]
        Missing(String),
        /// The content of a chunk does not match its digest.
        #[error("the content of chunk {0} does not match its digest")]
        Corrupt(String),
        /// The head, a chunk or the declarations are invalid.
        #[error("revision {revision} is invalid: {detail}")]
        Invalid {
            /// Number of the revision.
            revision: u64,
            /// Description of the error.
            detail: String,
        },
    }
}

/// Loads revisions from sources, and caches the chunks of the newest revision loaded.
#[derive(Debug, Clone, Default)]
pub struct RevisionReader {
    head: Option<RevisionHead>,
    chunks: BTreeMap<String, Vec<u8>>,
}

impl RevisionReader {
    /// Returns a reader that has loaded no revision.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the newest revision loaded.
    pub fn revision(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.revision)
    }

    /// Returns the head of the newest revision loaded, to serve other routers.
    pub fn head(&self) -> Option<&RevisionHead> {
        self.head.as_ref()
    }

    /// Returns the content of a cached chunk, to serve other routers.
    pub fn chunk(&self, digest: &str) -> Option<&[u8]> {
        self.chunks.get(digest).map(Vec::as_slice)
    }

    /// Returns the size of all cached chunks in bytes.
    pub fn chunk_bytes(&self) -> usize {
        self.chunks.values().map(Vec::len).sum()
    }

    /// Reads the newest head that a source has; `None` if it has none.
    pub async fn read_head<C: ChunkSource>(
        &self,
        source: &C,
    ) -> Result<Option<RevisionHead>, FetchError> {
        Ok(source.fetch_head().await?)
    }

    /// Loads the revision that `head` describes, if it is newer than the newest one loaded.
    ///
    /// Only chunks that are not cached are read. If the future is dropped, chunks that were read
    /// stay cached.
    pub async fn fetch<C: ChunkSource>(
        &mut self,
        source: &C,
        head: &RevisionHead,
    ) -> Result<FetchOutcome, FetchError> {
        if self.revision().is_some_and(|loaded| loaded >= head.revision) {
            return Ok(FetchOutcome::NotNewer);
        }
        if !head.is_consistent() {
            return Err(build_invalid(
                head,
                "the digest of the head does not match its chunk references",
            ));
        }
        let digests = self.fetch_chunks(source, head).await?;
        let declarations = self.decode_revision(head, &digests).await?;
        self.chunks.retain(|digest, _| digests.all.contains(digest));
        self.head = Some(head.clone());
        let declarations = Box::new(declarations);
        Ok(FetchOutcome::Loaded { revision: head.revision, declarations })
    }

    /// Reads the chunks of a revision that are not cached.
    async fn fetch_chunks<C: ChunkSource>(
        &mut self,
        source: &C,
        head: &RevisionHead,
    ) -> Result<ReferencedDigests, FetchError> {
        let mut digests = ReferencedDigests::default();
        let refs = &head.chunks;
        let direct = [&refs.common].into_iter().chain(&refs.servers).chain(&refs.team_groups);
        for digest in direct {
            self.fetch_chunk(source, digest).await?;
            digests.all.insert(digest.clone());
        }
        for digest in &refs.team_groups {
            let group: GroupChunk = self.decode_chunk(head, digest)?;
            for shard in &group.shards {
                self.fetch_chunk(source, shard).await?;
                digests.all.insert(shard.clone());
            }
            digests.team_shards.extend(group.shards);
        }
        Ok(digests)
    }

    async fn fetch_chunk<C: ChunkSource>(
        &mut self,
        source: &C,
        digest: &str,
    ) -> Result<(), FetchError> {
        if self.chunks.contains_key(digest) {
            return Ok(());
        }
        let content = source.fetch_chunk(digest).await?;
        let content = content.ok_or_else(|| FetchError::Missing(digest.to_owned()))?;
        if digest_hex(&content) != digest {
            return Err(FetchError::Corrupt(digest.to_owned()));
        }
        self.chunks.insert(digest.to_owned(), content);
        Ok(())
    }

    /// Decodes a revision from cached chunks, and yields to other tasks after each shard.
    async fn decode_revision(
        &self,
        head: &RevisionHead,
        digests: &ReferencedDigests,
    ) -> Result<FleetDeclarations, FetchError> {
        let common = self.decode_chunk(head, &head.chunks.common)?;
        let servers = self.decode_table(head, &head.chunks.servers).await?;
        let teams = self.decode_table(head, &digests.team_shards).await?;
        let declarations = join_declarations(common, servers, teams);
        let issues = check_declarations(&declarations);
        match issues.iter().find(|issue| issue.level == IssueLevel::Error) {
            Some(issue) => Err(build_invalid(head, &issue.to_string())),
            None => Ok(declarations),
        }
    }

    async fn decode_table<T: DeserializeOwned>(
        &self,
        head: &RevisionHead,
        shards: &[String],
    ) -> Result<BTreeMap<String, T>, FetchError> {
        let mut table = BTreeMap::new();
        for digest in shards {
            table.extend(self.decode_chunk::<BTreeMap<String, T>>(head, digest)?);
            tokio::task::yield_now().await;
        }
        Ok(table)
    }

    fn decode_chunk<T: DeserializeOwned>(
        &self,
        head: &RevisionHead,
        digest: &str,
    ) -> Result<T, FetchError> {
        let content = self.chunk(digest).ok_or_else(|| FetchError::Missing(digest.to_owned()))?;
        serde_json::from_slice(content).map_err(|error| build_invalid(head, &error.to_string()))
    }
}

/// Digests that one revision refers to, and those of its team shards in their order.
#[derive(Default)]
struct ReferencedDigests {
    all: BTreeSet<String>,
    team_shards: Vec<String>,
}

fn build_invalid(head: &RevisionHead, detail: &str) -> FetchError {
    FetchError::Invalid { revision: head.revision, detail: detail.to_owned() }
}
