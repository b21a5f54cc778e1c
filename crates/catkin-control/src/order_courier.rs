//! Carries orders to the servers that a router owns.

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
    /// How a courier talks to servers.
    pub struct DispatcherOptions {
        /// Times that the gate keeps.
        pub limits: GateLimits,
        /// Longest wait for the answer to an order or a read-back.
        pub timeout: Duration,
    }
}

impl Default for DispatcherOptions {
    fn default() -> Self {
        Self { limits: GateLimits::default(), timeout: Duration::from_secs(2) }
    }
}

/// An owner's courier: it passes each order through its gate and sends it.
pub struct OrderDispatcher<Link: BackendLink> {
    link: Arc<Link>,
    options: DispatcherOptions,
    started_at: Instant,
    gate: Mutex<OrderGate>,
    undone: Mutex<BTreeSet<ServerId>>,
}

impl<Link: BackendLink> OrderDispatcher<Link> {
    /// A courier of a router that owns no server yet.
    pub fn new(link: Arc<Link>, options: DispatcherOptions) -> Self {
        let gate = Mutex::new(OrderGate::new(options.limits));
        let undone = Mutex::new(BTreeSet::new());
        Self { link, options, started_at: Instant::now(), gate, undone }
    }

    /// Forgets a server that this router no longer owns.
    pub fn drop_server(&self, server: ServerId) {
        self.gate().drop_server(server);
    }

    /// Whether an older order took effect after a newer one on `server` since the last call.
    pub fn take_undone(&self, server: ServerId) -> bool {
        self.undone().remove(&server)
    }

    /// Takes the servers on which an older order took effect after a newer one, which the next
    /// report to the lease's holder has to say.
    pub fn take_undone_servers(&self) -> BTreeSet<ServerId> {
        std::mem::take(&mut *self.undone())
    }

    fn undone(&self) -> MutexGuard<'_, BTreeSet<ServerId>> {
        self.undone.lock().expect("the undone servers' lock is never poisoned")
    }

    fn gate(&self) -> MutexGuard<'_, OrderGate> {
        self.gate.lock().expect("the gate's lock is never poisoned")
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started_at.elapsed())
    }

    /// Reads a server's newest fencing number before an order that the server won't check.
    async fn read_back(&self, order: &ServerOrder) -> bool {
        let probing = self.link.probe(order.address, u64::MAX, self.options.timeout);
        let Ok(probe) = probing.await else { return false };
        self.gate().record_read_back(order.server, probe.fence, self.now());
        true
    }

    async fn send(&self, order: &ServerOrder) -> OrderReply {
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
                self.gate().mark_resolved(order.server, fence);
                if newest <= fence {
                    return OrderReply::Accepted;
                }
                if !order.checks_fencing {
                    log::warn!("control: an older order took effect on server {}", order.server);
                    self.undone().insert(order.server);
                }
                OrderReply::Older(newest)
            }
            Err(error) => {
                if error.ran == RunVerdict::NotRun {
                    self.gate().mark_resolved(order.server, fence);
                }
                OrderReply::Unanswered
            }
        }
    }
}

impl<Link: BackendLink> OrderTransport for OrderDispatcher<Link> {
    async fn deliver(&self, order: &ServerOrder) -> OrderReply {
        if !order.checks_fencing && !self.read_back(order).await {
            return OrderReply::Held;
        }
        let fence = order.number.fence();
        let admitted = self.gate().admit(order.server, fence, order.checks_fencing, self.now());
        match admitted {
            Ok(()) => self.send(order).await,
            Err(GateRefusal::Older(newest)) => OrderReply::Older(newest),
            Err(GateRefusal::QuietPeriod(_) | GateRefusal::Unverified) => OrderReply::Held,
        }
    }
}
