//! 64-bit identifiers, derived from declared names or drawn at random.

use std::fmt;

use crate::copy_type;
use crate::digest::hash_parts;

macro_rules! named_id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        $(
            copy_type! {
                $(#[$doc])*
                #[derive(serde::Serialize, serde::Deserialize)]
                pub struct $name(pub u64);
            }

            impl $name {
                /// Derives the identifier from a declared name.
                pub fn from_name(name: &str) -> Self {
                    Self(hash_parts(&[name.as_bytes()]))
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(formatter, "{:016x}", self.0)
                }
            }
        )*
    };
}

named_id! {
    /// A declared request class.
    ClassId,
    /// A failure domain.
    DomainId,
    /// A part of a prompt, for one model.
    PartKey,
    /// A pool: the backend servers that serve one model or one plain service.
    PoolId,
    /// A region.
    RegionId,
    /// Digest of a request's content, by which requests that crash servers are recognized.
    RequestDigest,
    /// A backend server.
    ServerId,
    /// A team.
    TeamId,
    /// A VM, which runs one router.
    VmId,
    /// An attempt to run a call on one server.
    AttemptId,
    /// A call as sent by a caller.
    RequestId,
}

copy_type! {
    /// A chat of one team.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct ChatId(pub u64);
}

impl ChatId {
    /// Derives the identifier from the team and the chat name given by the caller.
    pub fn from_names(team: TeamId, chat: &str) -> Self {
        Self(hash_parts(&[&team.0.to_le_bytes(), chat.as_bytes()]))
    }
}

impl fmt::Display for ChatId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
