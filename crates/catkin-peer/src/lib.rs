//! Protocol between routers: messages, framing and authentication.
//!
//! [`UdpLink`] sends small messages as UDP datagrams and large ones over TCP. Each message is sent
//! in an envelope that is authenticated with the key that all routers share. Frames that are
//! forged, malformed, replayed, from an older process or for another receiver are dropped and
//! counted.
//!
//! Reading order: `messages` (generated from `proto/peer.proto`), `key`, `frame`, `replay` and
//! `drop_reason` (what a frame is and when it is dropped), `link` (the interface), `udp` and `tcp`
//! (its implementation), and `convert` (membership messages).
//!
//! ```
//! use catkin_peer::PeerKey;
//!
//! assert!(PeerKey::from_hex(&"ab".repeat(32)).is_ok());
//! assert!(PeerKey::from_hex("ab").is_err());
//! ```

mod convert;
mod drop_reason;
mod frame;
mod key;
mod link;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod messages;
mod replay;
mod tcp;
mod udp;

pub use convert::{message_from_wire, message_to_wire};
pub use drop_reason::{DropCounts, DropReason};
pub use frame::{
    DroppedFrame, FrameSigner, FrameVerifier, PROTOCOL_VERSION, PeerIdentity, VerifiedFrame,
};
pub use key::{KeyError, PeerKey};
pub use link::{MessageSource, PeerLink};
pub use udp::{BindError, LinkSettings, UdpLink};
