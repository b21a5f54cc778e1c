//! Takes revisions, only upwards, and keeps their chunks for other routers.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{digest_hex, value_type};
use catkin_platform::StoreError;
use catkin_settings::{FaultLevel, FleetDeclarations, check_declarations};
use serde::de::DeserializeOwned;

use crate::chunks::ChunkSource;
use crate::cut::{GroupChunk, join_declarations};
use crate::head::RevisionHead;

/// Result of an attempt to take a revision.
#[derive(Debug, Clone, PartialEq)]
pub enum FetchOutcome {
    /// The revision was taken.
    Loaded {
        /// Its number.
        revision: u64,
        /// What it declares.
        declarations: Box<FleetDeclarations>,
    },
    /// The reader holds this revision or a newer one.
    NotNewer,
}

value_type! {
    /// Why a revision was not taken. What was read of it stays for the next attempt.
    #[derive(thiserror::Error)]
    pub enum FetchError {
        /// The source failed.
        #[error(transparent)]
        Source(#[from] StoreError),
        /// The source does not have a chunk.
        #[error("chunk {0} is missing")]
        Missing(String),
        /// The content of a chunk does not have its digest.
        #[error("chunk {0} is damaged")]
        Corrupt(String),
        /// A head, a chunk or the declarations are malformed.
        #[error("revision {revision} is not usable: {detail}")]
        Invalid {
            /// The revision.
            revision: u64,
            /// What is wrong.
            detail: String,
        },
    }
}

/// The newest revision taken, with its chunks.
#[derive(Debug, Clone, Default)]
pub struct RevisionReader {
    head: Option<RevisionHead>,
    chunks: BTreeMap<String, Vec<u8>>,
}

impl RevisionReader {
    /// A reader that has taken no revision.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the newest revision taken.
    pub fn revision(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.revision)
    }

    /// Head of the newest revision taken, for routers that ask.
    pub fn head(&self) -> Option<&RevisionHead> {
        self.head.as_ref()
    }

    /// A chunk of it, for routers that ask.
    pub fn chunk(&self, digest: &str) -> Option<&[u8]> {
        self.chunks.get(digest).map(Vec::as_slice)
    }

    /// Bytes of all chunks held.
    pub fn chunk_bytes(&self) -> usize {
        self.chunks.values().map(Vec::len).sum()
    }

    /// Reads the newest head that a source knows.
    pub async fn read_head<C: ChunkSource>(
        &self,
        source: &C,
    ) -> Result<Option<RevisionHead>, FetchError> {
        Ok(source.fetch_head().await?)
    }

    /// Takes the revision that `head` names, if it is newer than what the reader holds.
    ///
    /// Only chunks that the reader lacks are read. Dropping the future loses nothing.
    pub async fn fetch<C: ChunkSource>(
        &mut self,
        source: &C,
        head: &RevisionHead,
    ) -> Result<FetchOutcome, FetchError> {
        if self.revision().is_some_and(|held| held >= head.revision) {
            return Ok(FetchOutcome::NotNewer);
        }
        if !head.is_consistent() {
            return Err(unusable(head, "its digest is not that of its chunks"));
        }
        let references = self.fetch_chunks(source, head).await?;
        let declarations = self.decode_revision(head, &references).await?;
        self.chunks.retain(|digest, _| references.all.contains(digest));
        self.head = Some(head.clone());
        let declarations = Box::new(declarations);
        Ok(FetchOutcome::Loaded { revision: head.revision, declarations })
    }

    /// Reads the chunks of a revision that the reader lacks.
    async fn fetch_chunks<C: ChunkSource>(
        &mut self,
        source: &C,
        head: &RevisionHead,
    ) -> Result<ChunkReferences, FetchError> {
        let mut references = ChunkReferences::default();
        let refs = &head.chunks;
        let direct = [&refs.common].into_iter().chain(&refs.servers).chain(&refs.team_groups);
        for digest in direct {
            self.fetch_chunk(source, digest).await?;
            references.all.insert(digest.clone());
        }
        for digest in &refs.team_groups {
            let group: GroupChunk = self.decode_chunk(head, digest)?;
            for shard in &group.shards {
                self.fetch_chunk(source, shard).await?;
                references.all.insert(shard.clone());
            }
            references.team_shards.extend(group.shards);
        }
        Ok(references)
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

    /// Decodes a revision, and lets other tasks run after each chunk.
    async fn decode_revision(
        &self,
        head: &RevisionHead,
        references: &ChunkReferences,
    ) -> Result<FleetDeclarations, FetchError> {
        let common = self.decode_chunk(head, &head.chunks.common)?;
        let servers = self.decode_table(head, &head.chunks.servers).await?;
        let teams = self.decode_table(head, &references.team_shards).await?;
        let declarations = join_declarations(common, servers, teams);
        let faults = check_declarations(&declarations);
        match faults.iter().find(|fault| fault.level == FaultLevel::Error) {
            Some(fault) => Err(unusable(head, &fault.to_string())),
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
        serde_json::from_slice(content).map_err(|error| unusable(head, &error.to_string()))
    }
}

/// Digests that one revision refers to.
#[derive(Default)]
struct ChunkReferences {
    all: BTreeSet<String>,
    team_shards: Vec<String>,
}

fn unusable(head: &RevisionHead, detail: &str) -> FetchError {
    FetchError::Invalid { revision: head.revision, detail: detail.to_owned() }
}
