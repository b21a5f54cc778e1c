//! Dispatches orders to the servers that the local router owns.
//!
//! The module is not named after its type, since the module's path is the target of its log lines.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_backend::BackendLink;
use catkin_base::{ClockTime, RunVerdict, ServerId, copy_type};
use tokio::time::Instant;

use crate::control_loop::OrderTransport;
use crate::order_gate::{GateLimits, GateRefusal, OrderGate};
use crate::order_planner::{OrderReply, ServerOrder};

copy_type! {
    /// Options of an order dispatcher.
    pub struct DispatcherOptions {
        /// Time limits of the gate.
        pub limits: GateLimits,
        /// Maximum wait for the answer to an order or to a read-back.
        pub timeout: Duration,
    }
}

impl Default for DispatcherOptions {
    fn default() -> Self {
        Self { limits: GateLimits::default(), timeout: Duration::from_secs(2) }
    }
}

/// Sends orders to the servers that the local router owns, as its gate admits them.
pub struct OrderDispatcher<Link: BackendLink> {
    link: Arc<Link>,
    options: DispatcherOptions,
    started_at: Instant,
    gate: Mutex<OrderGate>,
    overwritten: Mutex<BTreeSet<ServerId>>,
}

impl<Link: BackendLink> OrderDispatcher<Link> {
    /// Creates a dispatcher without servers.
    pub fn new(link: Arc<Link>, options: DispatcherOptions) -> Self {
        let gate = Mutex::new(OrderGate::new(options.limits));
        let overwritten = Mutex::new(BTreeSet::new());
        Self { link, options, started_at: Instant::now(), gate, overwritten }
    }

    /// Removes a server that the local router no longer owns.
    pub fn remove_server(&self, server: ServerId) {
        self.lock_gate().remove_server(server);
    }

    /// Whether an older order took effect on `server` after a newer one since the last call.
    pub fn take_overwritten(&self, server: ServerId) -> bool {
        self.lock_overwritten().remove(&server)
    }

    /// Takes the servers on which an older order took effect after a newer one. The next report to
    /// the holder of the lease has to include them.
    pub fn take_overwritten_servers(&self) -> BTreeSet<ServerId> {
        std::mem::take(&mut *self.lock_overwritten())
    }

    fn lock_overwritten(&self) -> MutexGuard<'_, BTreeSet<ServerId>> {
        self.overwritten.lock().expect("the lock of the overwritten servers is not poisoned")
    }

    fn lock_gate(&self) -> MutexGuard<'_, OrderGate> {
        self.gate.lock().expect("the lock of the gate is not poisoned")
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started_at.elapsed())
    }

    /// Reads back the newest fencing token of a server that does not check the tokens itself.
    /// Returns whether the server answered.
    async fn read_back_fence(&self, order: &ServerOrder) -> bool {
        let probing = self.link.probe(order.address, u64::MAX, self.options.timeout);
        let Ok(probe) = probing.await else { return false };
        self.lock_gate().record_read_back(order.server, probe.fence, self.now());
        true
    }

    async fn send_order(&self, order: &ServerOrder) -> OrderReply {
        let fence = order.number.fence();
        let sent = self.link.order(
            order.address,
            fence,
            order.generation,
            &order.desired,
            self.options.timeout,
        );
        match sent.await {
            Ok(newest) => {
                self.lock_gate().mark_resolved(order.server, fence);
                if newest <= fence {
                    return OrderReply::Accepted;
                }
                if !order.checks_fencing {
                    log::warn!(
                        "control: an older order took effect after a newer one; the next report \
                         notifies the lease's holder. server={}",
                        order.server
                    );
                    self.lock_overwritten().insert(order.server);
                }
                OrderReply::Older(newest)
            }
            Err(error) => {
                if error.ran == RunVerdict::NotRun {
                    self.lock_gate().mark_resolved(order.server, fence);
                }
                OrderReply::Unanswered
            }
        }
    }
}

impl<Link: BackendLink> OrderTransport for OrderDispatcher<Link> {
    async fn deliver(&self, order: &ServerOrder) -> OrderReply {
        if !order.checks_fencing && !self.read_back_fence(order).await {
            return OrderReply::Held;
        }
        let fence = order.number.fence();
        let admitted =
            self.lock_gate().admit(order.server, fence, order.checks_fencing, self.now());
        match admitted {
            Ok(()) => self.send_order(order).await,
            Err(GateRefusal::Older(newest)) => OrderReply::Older(newest),
            Err(GateRefusal::QuietPeriod(_) | GateRefusal::Unverified) => OrderReply::Held,
        }
    }
}
