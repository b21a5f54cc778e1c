//! Protocol between routers: messages, framing, authentication.

mod link;
#[allow(missing_docs, clippy::all)]
pub mod messages;

pub use link::{MessageSource, PeerLink};
