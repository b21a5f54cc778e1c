//! Messages between members.

use std::net::SocketAddr;

use catkin_base::{VmId, value_type};

use crate::member::MemberUpdate;

value_type! {
    /// Sender of an authenticated message.
    #[derive(Copy)]
    pub struct MessageOrigin {
        /// The sender's VM.
        pub vm: VmId,
        /// Incarnation of the sender's process.
        pub incarnation: u64,
        /// The address it was sent from.
        pub address: SocketAddr,
    }
}

value_type! {
    /// A message of the membership protocol.
    pub enum MemberMessage {
        /// Asks for an acknowledgement.
        Ping(ProbeBody),
        /// Acknowledges a ping, or relays an acknowledgement.
        Ack(ProbeBody),
        /// Asks the receiver to ping another member and to relay its acknowledgement.
        PingRequest {
            /// The member to ping.
            target: VmId,
            /// Probe and updates.
            body: ProbeBody,
        },
    }
}

impl MemberMessage {
    /// What every message carries.
    pub fn body(&self) -> &ProbeBody {
        match self {
            Self::Ping(body) | Self::Ack(body) | Self::PingRequest { body, .. } => body,
        }
    }
}

value_type! {
    /// What every message carries.
    pub struct ProbeBody {
        /// Number of the probe, chosen by the one who asks.
        pub probe: u64,
        /// Beliefs that spread.
        pub updates: Vec<MemberUpdate>,
        /// Highest configuration revision that the sender knows of.
        pub revision: u64,
        /// Configuration revision in force on the sender.
        pub in_force: u64,
        /// Digest of the sender's live members, to notice different views.
        pub view: u64,
    }
}

value_type! {
    /// What the table wants done.
    pub enum MemberAction {
        /// Send a message.
        Send {
            /// The receiver's VM.
            vm: VmId,
            /// The receiver's address.
            address: SocketAddr,
            /// The message.
            message: MemberMessage,
        },
    }
}
