//! What a router needs of its link to the other routers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use catkin_base::{VmId, value_type};

use crate::messages::PeerMessage;

value_type! {
    /// Where an authenticated message came from.
    #[derive(Copy)]
    pub struct MessageSource {
        /// The sending router's VM.
        pub vm: VmId,
        /// Incarnation of the sending process.
        pub incarnation: u64,
        /// The address it was sent from.
        pub address: SocketAddr,
    }
}

/// Sends and receives messages between routers. Messages may be lost, repeated or reordered.
pub trait PeerLink: Send + Sync + 'static {
    /// Sends a message without waiting for its arrival. Failures count as losses.
    fn send(&self, vm: VmId, address: SocketAddr, message: &PeerMessage);

    /// Waits for the next authenticated message; `None` once the link is closed.
    fn receive(&self) -> impl Future<Output = Option<(MessageSource, PeerMessage)>> + Send;

    /// Bytes sent since the start.
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
