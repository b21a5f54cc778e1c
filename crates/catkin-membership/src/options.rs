//! Timing and sizes of the membership protocol.

use catkin_base::value_type;

value_type! {
    /// Timing and sizes of the membership protocol.
    #[derive(Copy)]
    pub struct MembershipOptions {
        /// Time between two probes, in milliseconds.
        pub probe_interval_millis: u64,
        /// Time between two probes of a router that has just started, in milliseconds.
        pub join_interval_millis: u64,
        /// How long a router counts as just started, or as merging with one heard again, in
        /// milliseconds.
        pub join_millis: u64,
        /// Wait for an answer before others are asked to probe, in milliseconds.
        pub ack_timeout_millis: u64,
        /// Wait for an answer, by whatever way, before a probe has failed, in milliseconds.
        pub probe_timeout_millis: u64,
        /// Time that a suspected member has to refute, in milliseconds.
        pub suspicion_millis: u64,
        /// Time between two probes of dead or unverified members, in milliseconds.
        pub dead_probe_interval_millis: u64,
        /// Time after which a dead member is forgotten, in milliseconds.
        pub forget_millis: u64,
        /// Members asked to probe on behalf of this one.
        pub indirect_probes: usize,
        /// Most updates in one message.
        pub updates_per_message: usize,
        /// Most updates in an answer to a member with another view.
        pub updates_per_sync: usize,
        /// Members told directly when this router leaves.
        pub leave_messages: usize,
        /// Times that one update is sent, per doubling of the number of members.
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
