//! A fast hash for ranking and identifiers, and a cryptographic digest for content.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::Xxh3;

/// Returns the XXH3 hash of the parts and their lengths.
///
/// Because of the lengths, moving a byte from one part to the next changes the hash.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Returns the SHA-256 digest of `bytes` in lower-case hexadecimal.
pub fn digest_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
