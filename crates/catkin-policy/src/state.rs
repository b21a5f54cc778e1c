//! State of owned servers as shown to operators.

use catkin_base::{ServerId, copy_type};

copy_type! {
    /// Whether an owner knows all grants of a server.
    pub enum OwnerPhase {
        /// A former owner may still hold grants that this one doesn't know.
        Handover,
        /// All grants are known.
        Steady,
    }

    /// State of one owned server.
    pub struct ServerState {
        /// The server.
        pub server: ServerId,
        /// Whether all its grants are known.
        pub phase: OwnerPhase,
        /// Requests counted as open on it.
        pub open: u32,
        /// Of these, requests that this owner did not grant.
        pub foreign: u32,
        /// Requests waiting for it.
        pub queued: u32,
        /// Most requests that it may carry now.
        pub bound: u32,
        /// Whether it is leaving.
        pub leaving: bool,
        /// Whether its last probe failed.
        pub failed: bool,
        /// Time for which it still gets no work after flapping, in milliseconds.
        pub hold_millis: u64,
        /// Chats believed to be in its cache.
        pub warm_chats: u32,
        /// Gaps seen in its cache events.
        pub event_gaps: u64,
    }
}
