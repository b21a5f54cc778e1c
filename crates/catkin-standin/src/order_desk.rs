//! Orders that a backend server takes.

use catkin_base::{document_type, value_type};

document_type! {
    /// An order as it arrives.
    pub struct OrderBody {
        /// Fencing number.
        pub fence: u64,
        /// Generation of the declarations that it follows.
        pub generation: u64,
        /// Desired state, opaque to the stand-in.
        pub desired: String,
    }
}

document_type! {
    /// Answer to an order.
    pub struct OrderAnswer {
        /// Highest fencing number of an order that was taken.
        pub fence: u64,
        /// Whether this order was taken.
        pub accepted: bool,
    }
}

value_type! {
    /// An order that a server took.
    pub struct AcceptedOrder {
        /// Its fencing number.
        pub fence: u64,
        /// Its generation.
        pub generation: u64,
        /// The desired state.
        pub desired: String,
    }
}

/// Takes orders, with or without a check of their number.
pub(crate) struct OrderDesk {
    checks_fence: bool,
    fence: u64,
    newest: u64,
    taken: Vec<AcceptedOrder>,
    undone: u64,
    refused: u64,
    lose_next: u32,
}

impl OrderDesk {
    pub(crate) fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            fence: 0,
            newest: 0,
            taken: Vec::new(),
            undone: 0,
            refused: 0,
            lose_next: 0,
        }
    }

    /// Takes an order or refuses it.
    pub(crate) fn take(&mut self, order: OrderBody) -> OrderAnswer {
        let older = order.fence < self.fence;
        if older && self.checks_fence {
            self.refused += 1;
            return OrderAnswer { fence: self.fence, accepted: false };
        }
        self.undone += u64::from(order.fence < self.newest);
        self.fence = self.fence.max(order.fence);
        self.newest = self.newest.max(order.fence);
        let OrderBody { fence, generation, desired } = order;
        self.taken.push(AcceptedOrder { fence, generation, desired });
        OrderAnswer { fence: self.fence, accepted: true }
    }

    /// Takes the next `count` orders and drops the answers.
    pub(crate) fn lose_next_answers(&mut self, count: u32) {
        self.lose_next = count;
    }

    /// Whether the answer to the order that was just taken is lost.
    pub(crate) fn loses_answer(&mut self) -> bool {
        let lost = self.lose_next > 0;
        self.lose_next = self.lose_next.saturating_sub(1);
        lost
    }

    /// Forgets the number that the process held in memory.
    pub(crate) fn restart(&mut self) {
        self.fence = 0;
    }

    /// Highest fencing number of an order that was taken.
    pub(crate) fn fence(&self) -> u64 {
        self.fence
    }

    /// Orders taken, in the order in which they took effect.
    pub(crate) fn taken(&self) -> &[AcceptedOrder] {
        &self.taken
    }

    /// Orders taken although a newer one had been taken before.
    pub(crate) fn undone(&self) -> u64 {
        self.undone
    }

    /// Orders refused because of their number.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }
}
