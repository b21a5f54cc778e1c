//! Numbers of orders.

use catkin_base::copy_type;

/// Bits of a fencing number that count the orders of one term.
const SEQUENCE_BITS: u32 = 32;

copy_type! {
    /// Number of an order: the fencing number of the lease, then a count within it.
    ///
    /// Every order has a number of its own, so that a server that refuses old numbers also
    /// refuses an order of the same holder that arrives after a later one.
    pub struct OrderNumber {
        /// Fencing number of the lease under which it was given.
        pub term: u32,
        /// Counts the orders of this term, from one.
        pub sequence: u32,
    }
}

impl OrderNumber {
    /// The fencing number that the order carries.
    pub const fn fence(self) -> u64 {
        ((self.term as u64) << SEQUENCE_BITS) | self.sequence as u64
    }

    /// The number of the order that carried a fencing number.
    pub const fn from_fence(fence: u64) -> Self {
        Self { term: (fence >> SEQUENCE_BITS) as u32, sequence: fence as u32 }
    }
}
