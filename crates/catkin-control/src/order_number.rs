//! Order numbers, which double as fencing tokens.

use catkin_base::copy_type;

/// Number of low bits of a fencing token that hold the sequence number.
const SEQUENCE_BITS: u32 = 32;

copy_type! {
    /// Number of an order: the term of the lease and a sequence number within the term.
    ///
    /// Each order has a unique number. A server that refuses lower numbers thereby also refuses an
    /// order that arrives after a later one of the same holder.
    pub struct OrderNumber {
        /// Term of the lease under which the order is sent: the fencing token of its holder.
        pub term: u32,
        /// Sequence number of the order within the term, from one.
        pub sequence: u32,
    }
}

impl OrderNumber {
    /// The fencing token of the order: term and sequence number in 64 bits.
    pub const fn fence(self) -> u64 {
        ((self.term as u64) << SEQUENCE_BITS) | self.sequence as u64
    }

    /// The order number that corresponds to a fencing token.
    pub const fn from_fence(fence: u64) -> Self {
        Self { term: (fence >> SEQUENCE_BITS) as u32, sequence: fence as u32 }
    }
}
