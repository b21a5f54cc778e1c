//! The head: the one object whose conditional update puts a revision in force.

use catkin_base::{digest_hex, document_type};
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

/// Key of the head in the platform.
pub const HEAD_KEY: &str = "config/head";

document_type! {
    /// Names one revision of the declarations and the chunks that hold it.
    #[derive(Eq)]
    pub struct RevisionHead {
        /// Number of the revision, from 1.
        pub revision: u64,
        /// Digest over the chunk references: equal for equal declarations.
        pub digest: String,
        /// The revision that this one replaced; 0 for the first.
        pub base: u64,
        /// Identifier that the applying client chose.
        pub apply_id: String,
        /// Who applied it.
        pub author: String,
        /// Why.
        pub comment: String,
        /// When, in milliseconds since 1970.
        pub applied_unix_millis: u64,
        /// The chunks.
        pub chunks: ChunkRefs,
    }

    /// Digests of the chunks of one revision.
    #[derive(Eq)]
    pub struct ChunkRefs {
        /// Everything but servers and teams.
        pub common: String,
        /// Servers, sharded by a hash of their names.
        pub servers: Vec<String>,
        /// Lists of team shards.
        pub team_groups: Vec<String>,
    }
}

impl ChunkRefs {
    /// The digest of a revision with these chunks.
    pub(crate) fn digest(&self) -> String {
        digest_hex(&encode_document(self))
    }
}

impl RevisionHead {
    /// Whether the head's digest is that of its chunks.
    pub fn is_consistent(&self) -> bool {
        self.digest == self.chunks.digest()
    }

    /// The head as JSON.
    pub fn encode(&self) -> Vec<u8> {
        encode_document(self)
    }

    /// Reads a head; `None` if it is malformed or its digest is wrong.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok().filter(Self::is_consistent)
    }
}

/// A head and the version of its object.
pub(crate) struct VersionedHead {
    pub(crate) head: RevisionHead,
    pub(crate) version: u64,
}

/// Reads the head with its version.
pub(crate) async fn read_versioned_head<S: ObjectStore>(
    store: &S,
) -> Result<Option<VersionedHead>, StoreError> {
    let Some(object) = store.get(HEAD_KEY).await? else { return Ok(None) };
    let head = RevisionHead::decode(&object.value).ok_or(MALFORMED)?;
    Ok(Some(VersionedHead { head, version: object.version }))
}

/// Writes the head unchanged, which proves that it was in force until now.
pub(crate) async fn renew_head<S: ObjectStore>(
    store: &S,
    current: &VersionedHead,
) -> Result<(), StoreError> {
    let condition = WriteCondition::Version(current.version);
    store.put(HEAD_KEY, &current.head.encode(), condition).await.map(|_| ())
}

/// The fault given for an object whose content is not what this program writes.
pub(crate) const MALFORMED: StoreError =
    StoreError { kind: StoreErrorKind::Invalid, ran: catkin_base::RunVerdict::NotRun };

/// Encodes a document of this crate; their types have no failing case.
pub(crate) fn encode_document<T: serde::Serialize>(document: &T) -> Vec<u8> {
    serde_json::to_vec(document).expect("documents have string keys only")
}
