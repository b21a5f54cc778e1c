//! Segments of a group log: small batches of writes, each an object of its own.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use catkin_base::{copy_type, document_type};

/// Bits of a version that count the records of one segment.
const RECORD_BITS: u32 = 16;

/// Most records of one segment.
pub(crate) const MAX_SEGMENT_RECORDS: usize = 1 << 12;

/// Most bytes of the values of one segment. Encoded it stays below the platform's limit.
pub(crate) const MAX_SEGMENT_BYTES: usize = 600 * 1024;

document_type! {
    /// One write.
    pub(crate) struct SegmentRecord {
        pub(crate) key: String,
        /// The value, base64; absent if the key was deleted.
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

    /// The value; `None` if the key was deleted or the record is damaged.
    pub(crate) fn value(&self) -> Option<Vec<u8>> {
        STANDARD.decode(self.value.as_ref()?).ok()
    }
}

copy_type! {
    /// Tells one batch from every other: its writer and a number of its own.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub(crate) struct BatchNonce {
        pub(crate) writer: u64,
        pub(crate) batch: u64,
    }
}

document_type! {
    /// A batch of writes that took effect together.
    pub(crate) struct SegmentDocument {
        pub(crate) nonce: BatchNonce,
        /// Seconds since 1970, by the writer's clock.
        pub(crate) written_at_unix: u64,
        pub(crate) records: Vec<SegmentRecord>,
    }
}

impl SegmentDocument {
    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a segment has only string keys")
    }

    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// Key of a segment's object. Keys sort by sequence number.
pub(crate) fn segment_key(prefix: &str, sequence: u64) -> String {
    format!("{prefix}{sequence:016x}")
}

/// Sequence number of a segment's object.
pub(crate) fn segment_sequence(prefix: &str, key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}

/// Version of a key that record `index` of segment `sequence` wrote.
pub(crate) fn record_version(sequence: u64, index: usize) -> u64 {
    (sequence << RECORD_BITS) | index as u64
}

/// Segment and record that gave a version.
pub(crate) fn version_place(version: u64) -> (u64, usize) {
    (version >> RECORD_BITS, (version & ((1 << RECORD_BITS) - 1)) as usize)
}
