//! The interface of a link to the other routers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use catkin_base::{VmId, value_type};

use crate::messages::PeerMessage;

value_type! {
    /// Sender of an authenticated message.
    #[derive(Copy)]
    pub struct MessageSource {
        /// The sending router's VM.
        pub vm: VmId,
        /// Incarnation of the sending process.
        pub incarnation: u64,
        /// Address of the sending router's peer listener.
        pub address: SocketAddr,
    }
}

/// Sends and receives messages between routers. Messages may be lost, repeated or reordered.
pub trait PeerLink: Send + Sync + 'static {
    /// Sends a message without waiting for its arrival. A message that cannot be sent is lost.
    fn send(&self, vm: VmId, address: SocketAddr, message: &PeerMessage);

    /// Waits for the next authenticated message; returns `None` once the link is closed.
    fn receive(&self) -> impl Future<Output = Option<(MessageSource, PeerMessage)>> + Send;

    /// Number of bytes sent since the start.
    fn sent_bytes(&self) -> u64;
}

impl<Link: PeerLink> PeerLink for Arc<Link> {
    fn send(&self, vm: VmId, address: SocketAddr, message: &PeerMessage) {
        Link::send(self, vm, address, message);
    }

    fn receive(&self) -> impl Future<Output = Option<(MessageSource, PeerMessage)>> + Send {
        Link::receive(self)
    }

    fn sent_bytes(&self) -> u64 {
        Link::sent_bytes(self)
    }
}
