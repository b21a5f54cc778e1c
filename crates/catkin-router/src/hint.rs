//! Hints that callers carry back: the server that last answered their chat.

use catkin_base::{ServerId, TeamId};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a hint's authentication tag.
const TAG_BYTES: usize = 8;

/// Writes and reads hints, each valid for one team only.
#[derive(Debug, Clone)]
pub(crate) struct HintKey {
    key: [u8; 32],
}

impl HintKey {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key }
    }

    /// The hint that names `server` to callers of `team`.
    pub(crate) fn write(&self, team: TeamId, server: ServerId) -> String {
        let tag = self.mac(team, server).finalize().into_bytes();
        let tag: String = tag[..TAG_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{server}{tag}")
    }

    /// The server that a hint names; `None` if this fleet did not write it for `team`.
    pub(crate) fn read(&self, team: TeamId, hint: &str) -> Option<ServerId> {
        let (server, tag) = hint.split_at_checked(16)?;
        let server = ServerId(u64::from_str_radix(server, 16).ok()?);
        if tag.len() != TAG_BYTES * 2 {
            return None;
        }
        let tag = u64::from_str_radix(tag, 16).ok()?.to_be_bytes();
        self.mac(team, server).verify_truncated_left(&tag).ok().map(|()| server)
    }

    fn mac(&self, team: TeamId, server: ServerId) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any key length is valid");
        mac.update(&team.0.to_le_bytes());
        mac.update(&server.0.to_le_bytes());
        mac
    }
}
