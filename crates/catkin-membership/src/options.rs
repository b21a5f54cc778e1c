//! Timing and sizes of the membership protocol.

use catkin_base::value_type;

value_type! {
    /// Timing and sizes of the membership protocol.
    #[derive(Copy)]
    pub struct MembershipOptions {
        /// Time between two probes, in milliseconds.
        pub probe_interval_millis: u64,
        /// Time between two probes while the local router joins the fleet, in milliseconds.
        pub join_interval_millis: u64,
        /// Duration of joining after the start, and of fast probes after a dead member was heard
        /// again, in milliseconds.
        pub join_millis: u64,
        /// Wait for an acknowledgement before indirect probes are requested, in milliseconds.
        pub ack_timeout_millis: u64,
        /// Wait for a direct or relayed acknowledgement before a probe fails, in milliseconds.
        pub probe_timeout_millis: u64,
        /// Time in which a suspected member can refute the suspicion, in milliseconds.
        pub suspicion_millis: u64,
        /// Time between two probes of dead or unverified members, in milliseconds.
        pub dead_probe_interval_millis: u64,
        /// Time after which a dead member is forgotten, in milliseconds.
        pub forget_millis: u64,
        /// Number of members that an indirect probe is requested from.
        pub indirect_probes: usize,
        /// Maximum number of updates in one message.
        pub updates_per_message: usize,
        /// Maximum number of updates in an acknowledgement to a member with a different view.
        pub updates_per_sync: usize,
        /// Number of members that are notified directly when the local router leaves.
        pub leave_messages: usize,
        /// Number of sends of one update, per doubling of the number of members.
        pub sends_per_doubling: u32,
    }
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval_millis: 1_000,
            join_interval_millis: 200,
            join_millis: 10_000,
            ack_timeout_millis: 300,
            probe_timeout_millis: 700,
            suspicion_millis: 3_000,
            dead_probe_interval_millis: 5_000,
            forget_millis: 15 * 60 * 1_000,
            indirect_probes: 3,
            updates_per_message: 8,
            updates_per_sync: 16,
            leave_messages: 16,
            sends_per_doubling: 3,
        }
    }
}
