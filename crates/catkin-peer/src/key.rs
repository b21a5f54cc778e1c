//! The key that all routers share.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

const KEY_BYTES: usize = 32;

/// Length of a frame's authentication tag, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// A key that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key has another length.
    #[error("the peer key has {digits} hexadecimal digits, not 64")]
    Length {
        /// Digits found.
        digits: usize,
    },
    /// The key holds a character that is not a hexadecimal digit.
    #[error("the peer key holds a character that is not a hexadecimal digit at {position}")]
    Digit {
        /// Position of the character, in bytes.
        position: usize,
    },
}

/// The key that all routers share.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl PeerKey {
    /// Reads a key of 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self, KeyError> {
        let digits = text.as_bytes();
        if let Some(position) = digits.iter().position(|digit| !digit.is_ascii_hexdigit()) {
            return Err(KeyError::Digit { position });
        }
        if digits.len() != 2 * KEY_BYTES {
            return Err(KeyError::Length { digits: digits.len() });
        }
        let bytes: Vec<u8> =
            digits.chunks(2).map(|pair| 16 * digit_value(pair[0]) + digit_value(pair[1])).collect();
        Ok(Self { mac: Hmac::new_from_slice(&bytes).expect("HMAC takes keys of any length") })
    }

    /// The authentication tag of `bytes`.
    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        let whole = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the tag of `bytes`, compared in constant time.
    pub(crate) fn verify(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        tag.len() == TAG_BYTES && mac.verify_truncated_left(tag).is_ok()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(..)")
    }
}

fn digit_value(digit: u8) -> u8 {
    match digit {
        b'0'..=b'9' => digit - b'0',
        b'a'..=b'f' => digit - b'a' + 10,
        _ => digit - b'A' + 10,
    }
}
