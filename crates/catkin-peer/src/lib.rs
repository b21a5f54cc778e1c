//! Protocol between routers: messages, framing, authentication.
//!
//! [`UdpLink`] sends small messages as datagrams and large ones over TCP, each in an envelope
//! that is authenticated with the key that all routers share. Frames that are forged, damaged,
//! repeated, from an older process or for another receiver are ignored and counted.
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
