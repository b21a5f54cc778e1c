//! State of owned servers, for display to operators.

use catkin_base::{ServerId, copy_type};

copy_type! {
    /// Phase of the ownership of a server.
    pub enum OwnerPhase {
        /// A former owner may have made grants that this owner does not know yet.
        Handover,
        /// The handover has ended: the owner counts all open requests.
        Steady,
    }

    /// State of one owned server.
    pub struct ServerState {
        /// The server.
        pub server: ServerId,
        /// Phase of the ownership.
        pub phase: OwnerPhase,
        /// Number of requests counted as open on the server.
        pub open: u32,
        /// Number of these requests that this owner did not grant.
        pub foreign: u32,
        /// Number of requests queued for the server.
        pub queued: u32,
        /// Maximum number of open requests that the owner admits now.
        pub bound: u32,
        /// Whether the server is leaving.
        pub leaving: bool,
        /// Whether the server is down after consecutive failed probes.
        pub failed: bool,
        /// Remaining hold-down time after flapping, in milliseconds.
        pub hold_millis: u64,
        /// Number of chats believed to be in the server's cache.
        pub warm_chats: u32,
        /// Number of gaps found in the server's cache events.
        pub event_gaps: u64,
    }
}
