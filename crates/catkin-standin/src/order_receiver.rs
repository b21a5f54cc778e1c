//! Orders of the control plane that a backend server receives.

use catkin_base::{document_type, value_type};

document_type! {
    /// Body of an order.
    pub struct OrderBody {
        /// Fencing number of the sender's lease.
        pub fence: u64,
        /// Generation of the declarations that the order is based on.
        pub generation: u64,
        /// Desired state, opaque to the stand-in.
        pub desired: String,
    }
}

document_type! {
    /// Answer to an order.
    pub struct OrderAnswer {
        /// Highest fencing token of an accepted order.
        pub fence: u64,
        /// Whether this order was accepted.
        pub accepted: bool,
    }
}

value_type! {
    /// An order that a server accepted.
    pub struct AcceptedOrder {
        /// Fencing number of the order.
        pub fence: u64,
        /// Generation of the order.
        pub generation: u64,
        /// Desired state.
        pub desired: String,
    }
}

/// Accepts or refuses orders, with or without a check of the fencing token.
pub(crate) struct OrderReceiver {
    checks_fencing: bool,
    /// Highest fencing token accepted since the last restart.
    fence: u64,
    /// Highest fencing token accepted over all incarnations.
    highest_fence: u64,
    accepted: Vec<AcceptedOrder>,
    undone_count: u64,
    refused_count: u64,
    lose_next: u32,
}

impl OrderReceiver {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            fence: 0,
            highest_fence: 0,
            accepted: Vec::new(),
            undone_count: 0,
            refused_count: 0,
            lose_next: 0,
        }
    }

    /// Accepts an order or refuses it.
    pub(crate) fn handle(&mut self, order: OrderBody) -> OrderAnswer {
        let older = order.fence < self.fence;
        if older && self.checks_fencing {
            self.refused_count += 1;
            return OrderAnswer { fence: self.fence, accepted: false };
        }
        self.undone_count += u64::from(order.fence < self.highest_fence);
        self.fence = self.fence.max(order.fence);
        self.highest_fence = self.highest_fence.max(order.fence);
        let OrderBody { fence, generation, desired } = order;
        self.accepted.push(AcceptedOrder { fence, generation, desired });
        OrderAnswer { fence: self.fence, accepted: true }
    }

    /// Drops the answers to the next `count` orders, which still take effect.
    pub(crate) fn lose_next_answers(&mut self, count: u32) {
        self.lose_next = count;
    }

    /// Returns whether the answer to the current order is dropped, and counts it off.
    pub(crate) fn take_lost_answer(&mut self) -> bool {
        let lost = self.lose_next > 0;
        self.lose_next = self.lose_next.saturating_sub(1);
        lost
    }

    /// Clears the fencing token, which a process holds in memory only and loses when it crashes.
    pub(crate) fn reset(&mut self) {
        self.fence = 0;
    }

    /// Returns the highest fencing token accepted since the last restart.
    pub(crate) fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the accepted orders, in the order in which they took effect.
    pub(crate) fn accepted(&self) -> &[AcceptedOrder] {
        &self.accepted
    }

    /// Returns the number of orders accepted after an order with a higher fencing token.
    pub(crate) fn undone_count(&self) -> u64 {
        self.undone_count
    }

    /// Returns the number of orders refused because of their fencing token.
    pub(crate) fn refused_count(&self) -> u64 {
        self.refused_count
    }
}
