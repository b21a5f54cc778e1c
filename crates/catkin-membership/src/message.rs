//! Messages of the membership protocol.

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
        /// Address of the sender; answers are sent to it.
        pub address: SocketAddr,
    }
}

value_type! {
    /// A message of the membership protocol.
    pub enum MemberMessage {
        /// Requests an acknowledgement.
        Ping(ProbeBody),
        /// Acknowledges a ping, or relays an acknowledgement.
        Ack(ProbeBody),
        /// Requests that the receiver pings another member and relays its acknowledgement.
        PingRequest {
            /// The member to ping.
            target: VmId,
            /// Probe number, updates and revisions.
            body: ProbeBody,
        },
    }
}

impl MemberMessage {
    /// The part that all messages have in common.
    pub fn body(&self) -> &ProbeBody {
        match self {
            Self::Ping(body) | Self::Ack(body) | Self::PingRequest { body, .. } => body,
        }
    }
}

value_type! {
    /// The part that all messages have in common.
    pub struct ProbeBody {
        /// Number of the probe, assigned by the requesting member.
        pub probe: u64,
        /// Updates about members.
        pub updates: Vec<MemberUpdate>,
        /// Highest revision of the declarations that the sender knows of.
        pub revision: u64,
        /// Revision of the declarations in force on the sender.
        pub in_force: u64,
        /// Digest of the sender's live members; receivers detect a different view by it.
        pub view: u64,
    }
}

value_type! {
    /// An action that the table requests from its caller.
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
