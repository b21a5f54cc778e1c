//! The head: the object whose conditional write puts a revision in force.

use catkin_base::{digest_hex, document_type};
use catkin_platform::{ObjectStore, StoreError, StoreErrorKind, WriteCondition};

/// Key of the head in the platform's object store.
pub const HEAD_KEY: &str = "config/head";

document_type! {
    /// Description of one revision of the declarations, with references to its chunks.
    #[derive(Eq)]
    pub struct RevisionHead {
        /// Number of the revision; the first is 1.
        pub revision: u64,
        /// Digest of the chunk references; equal declarations have equal digests.
        pub digest: String,
        /// Number of the revision that this one replaced; 0 for the first.
        pub base: u64,
        /// Identifier that the client chose for the apply.
        pub apply_id: String,
        /// Name of the operator who applied the revision.
        pub author: String,
        /// Reason for the change.
        pub comment: String,
        /// Time of the apply, in milliseconds since the Unix epoch.
        pub applied_unix_millis: u64,
        /// References to the chunks.
        pub chunks: ChunkRefs,
    }

    /// Digests of the chunks of one revision.
    #[derive(Eq)]
    pub struct ChunkRefs {
        /// Digest of the chunk with everything but servers and teams.
        pub common: String,
        /// Digests of the server shards. Servers are sharded by a hash of their names.
        pub servers: Vec<String>,
        /// Digests of the group chunks, which list the digests of the team shards.
        pub team_groups: Vec<String>,
    }
}

impl ChunkRefs {
    /// Returns the digest of a revision with these chunks.
    pub(crate) fn digest(&self) -> String {
        digest_hex(&encode_document(self))
    }
}

impl RevisionHead {
    /// Returns whether the head's digest matches its chunk references.
    pub fn is_consistent(&self) -> bool {
        self.digest == self.chunks.digest()
    }

    /// Encodes the head as JSON.
    pub fn encode(&self) -> Vec<u8> {
        encode_document(self)
    }

    /// Decodes a head; `None` if it is malformed or its digest does not match its chunk references.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok().filter(Self::is_consistent)
    }
}

/// A head and the version of the object that holds it.
pub(crate) struct VersionedHead {
    pub(crate) head: RevisionHead,
    pub(crate) version: u64,
}

/// Reads the head and the version of its object; `None` if there is no head.
pub(crate) async fn read_versioned_head<S: ObjectStore>(
    store: &S,
) -> Result<Option<VersionedHead>, StoreError> {
    let Some(object) = store.get(HEAD_KEY).await? else { return Ok(None) };
    let head = RevisionHead::decode(&object.value).ok_or(MALFORMED_OBJECT)?;
    Ok(Some(VersionedHead { head, version: object.version }))
}

/// Writes the head again without a change.
///
/// Success proves that `current` was in force until now. The write also raises the version of the
/// object, so concurrent writes on the condition of the old version fail.
pub(crate) async fn rewrite_head<S: ObjectStore>(
    store: &S,
    current: &VersionedHead,
) -> Result<(), StoreError> {
    let condition = WriteCondition::Version(current.version);
    store.put(HEAD_KEY, &current.head.encode(), condition).await.map(|_| ())
}

/// Error for an object whose content is not a document that this program writes.
pub(crate) const MALFORMED_OBJECT: StoreError =
    StoreError { kind: StoreErrorKind::Invalid, ran: catkin_base::RunVerdict::NotRun };

/// Encodes a document of this crate as JSON. The types of this crate always have an encoding.
pub(crate) fn encode_document<T: serde::Serialize>(document: &T) -> Vec<u8> {
    serde_json::to_vec(document).expect("documents have string keys only")
}
