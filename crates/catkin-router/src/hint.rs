//! Hints that callers send back with the next turn of a chat. A hint names the server that answered
//! the last turn.

use catkin_base::{ServerId, TeamId};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a hint's authentication tag.
const TAG_BYTES: usize = 8;

/// Signs and verifies hints with an HMAC key that all routers of the fleet share.
#[derive(Debug, Clone)]
pub(crate) struct HintKey {
    key: [u8; 32],
}

impl HintKey {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key }
    }

    /// Builds the hint that names `server`, valid for callers of `team` only: the identifier of the
    /// server (16 digits) and an authentication tag, both in hexadecimal.
    pub(crate) fn sign_hint(&self, team: TeamId, server: ServerId) -> String {
        let tag = self.build_hmac(team, server).finalize().into_bytes();
        let tag: String = tag[..TAG_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{server}{tag}")
    }

    /// The server that a hint names; `None` if this fleet did not sign the hint for `team`.
    pub(crate) fn verify_hint(&self, team: TeamId, hint: &str) -> Option<ServerId> {
        let (server, tag) = hint.split_at_checked(16)?;
        let server = ServerId(u64::from_str_radix(server, 16).ok()?);
        if tag.len() != TAG_BYTES * 2 {
            return None;
        }
        let tag = u64::from_str_radix(tag, 16).ok()?.to_be_bytes();
        self.build_hmac(team, server).verify_truncated_left(&tag).ok().map(|()| server)
    }

    fn build_hmac(&self, team: TeamId, server: ServerId) -> Hmac<Sha256> {
        let mut hmac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any key length is valid");
        hmac.update(&team.0.to_le_bytes());
        hmac.update(&server.0.to_le_bytes());
        hmac
    }
}
