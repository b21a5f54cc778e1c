//! Segments of a group log. A segment is a batch of writes stored as one object.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use catkin_base::{copy_type, document_type};

/// Number of low bits of a version that hold the index of a record in its segment.
const RECORD_BITS: u32 = 16;

/// Maximum number of records in a segment.
pub(crate) const MAX_SEGMENT_RECORDS: usize = 1 << 12;

/// Maximum total size of the values in a segment, in bytes. Their base64 form stays below the
/// platform's limit of one megabyte an object.
pub(crate) const MAX_SEGMENT_BYTES: usize = 600 * 1024;

document_type! {
    /// One write of a key.
    pub(crate) struct SegmentRecord {
        pub(crate) key: String,
        /// The value in base64; absent if the key was deleted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        value: Option<String>,
    }
}

impl SegmentRecord {
    pub(crate) fn new(key: &str, value: Option<&[u8]>) -> Self {
        Self { key: key.to_owned(), value: value.map(|value| STANDARD.encode(value)) }
    }

    pub(crate) fn is_deletion(&self) -> bool {
        self.value.is_none()
    }

    /// Decodes the value; `None` if the key was deleted or the record is malformed.
    pub(crate) fn value(&self) -> Option<Vec<u8>> {
        STANDARD.decode(self.value.as_ref()?).ok()
    }
}

copy_type! {
    /// Unique identifier of a batch: its writer and a sequence number.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub(crate) struct BatchNonce {
        pub(crate) writer: u64,
        pub(crate) batch: u64,
    }
}

document_type! {
    /// The stored document of a segment, whose writes take effect together.
    pub(crate) struct SegmentDocument {
        pub(crate) nonce: BatchNonce,
        /// Time of the write in seconds since 1970, by the writer's clock.
        pub(crate) written_at_unix: u64,
        pub(crate) records: Vec<SegmentRecord>,
    }
}

impl SegmentDocument {
    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a segment document has only string keys")
    }

    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// Builds the object key of a segment. The keys sort by sequence number.
pub(crate) fn build_segment_key(prefix: &str, sequence: u64) -> String {
    format!("{prefix}{sequence:016x}")
}

/// Parses the sequence number from the object key of a segment.
pub(crate) fn parse_sequence(prefix: &str, key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}

/// Encodes the version of a key written by record `index` of segment `sequence`.
pub(crate) fn encode_version(sequence: u64, index: usize) -> u64 {
    (sequence << RECORD_BITS) | index as u64
}

/// Decodes a version into the sequence number of the segment and the index of the record.
pub(crate) fn decode_version(version: u64) -> (u64, usize) {
    (version >> RECORD_BITS, (version & ((1 << RECORD_BITS) - 1)) as usize)
}
