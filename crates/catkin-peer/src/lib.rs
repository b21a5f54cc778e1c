//! Protocol between routers: messages, framing and authentication.
//!
//! [`UdpLink`] sends small messages as UDP datagrams and large ones over TCP. Each message is sealed
//! in an envelope that is authenticated with the key that all routers share. Frames that are
//! forged, malformed, replayed, from an older process or for another receiver are ignored and
//! counted.
//!
//! Reading order: `messages` (generated from `proto/peer.proto`), `key`, `frame`, `replay` and
//! `ignored` (what a frame is and when it is ignored), `link` (the interface), `udp` and `tcp` (its
//! implementation), and `convert` (membership messages).
//!
//! ```
//! use catkin_peer::PeerKey;
//!
//! assert!(PeerKey::from_hex(&"ab".repeat(32)).is_ok());
//! assert!(PeerKey::from_hex("ab").is_err());
//! ```

mod convert;
mod frame;
mod ignored;
mod key;
mod link;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod messages;
mod replay;
mod tcp;
mod udp;

pub use convert::{message_from_wire, message_to_wire};
pub use frame::{
    FrameOpener, FrameSealer, IgnoredFrame, OpenedFrame, PROTOCOL_VERSION, PeerIdentity,
};
pub use ignored::{IgnoreReason, IgnoredCounts};
pub use key::{KeyError, PeerKey};
pub use link::{MessageSource, PeerLink};
pub use udp::{BindError, LinkSettings, UdpLink};
