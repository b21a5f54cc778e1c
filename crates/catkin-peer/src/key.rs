//! The key that authenticates frames between routers.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

const KEY_BYTES: usize = 32;

/// Length of a frame's authentication tag, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// An invalid key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key does not have 64 digits.
    #[error("the peer key has {digits} hexadecimal digits; exactly 64 are required")]
    Length {
        /// Number of digits found.
        digits: usize,
    },
    /// The key contains a character that is not a hexadecimal digit.
    #[error("the peer key contains a character that is not a hexadecimal digit at byte {position}")]
    Digit {
        /// Position of the character in bytes, from zero.
        position: usize,
    },
}

/// The key that all routers share.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl PeerKey {
    /// Parses a key of 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self, KeyError> {
        let digits = text.as_bytes();
        if let Some(position) = digits.iter().position(|digit| !digit.is_ascii_hexdigit()) {
            return Err(KeyError::Digit { position });
        }
        if digits.len() != 2 * KEY_BYTES {
            return Err(KeyError::Length { digits: digits.len() });
        }
        let bytes: Vec<u8> =
            digits.chunks(2).map(|pair| 16 * parse_digit(pair[0]) + parse_digit(pair[1])).collect();
        Ok(Self { mac: Hmac::new_from_slice(&bytes).expect("HMAC takes keys of any length") })
    }

    /// Computes the authentication tag of `bytes`.
    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        let full_tag = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the authentication tag of `bytes`. The comparison takes constant time.
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

fn parse_digit(digit: u8) -> u8 {
    match digit {
        b'0'..=b'9' => digit - b'0',
        b'a'..=b'f' => digit - b'a' + 10,
        _ => digit - b'A' + 10,
    }
}
