//! The control loop of a region: holds the lease, plans orders and delivers them.

use std::future::Future;
use std::sync::Arc;

use catkin_base::{ClockTime, copy_type};
use catkin_platform::{LeaseCandidate, LeaseGrant, LeaseStep, ObjectStore};
use tokio::time::Instant;

use crate::desired_state::ServerTarget;
use crate::order_planner::{
    OrderLimits, OrderPlanner, OrderReply, ReportEffect, ServerOrder, StateReport,
};

/// Delivers orders to the owners of their servers.
pub trait OrderTransport: Send + Sync + 'static {
    /// Delivers an order to the owner of its server and waits for the reply.
    fn deliver(&self, order: &ServerOrder) -> impl Future<Output = OrderReply> + Send;
}

copy_type! {
    /// Result of one step of the control loop.
    pub enum ControlStep {
        /// The local router does not hold the lease.
        NotHolder,
        /// The local router holds the lease and delivered this many orders.
        Delivered(usize),
        /// Another router sends orders under a later term, so the local router has stopped.
        Superseded,
    }
}

/// One router's control loop for its region. Only the holder of the region's lease sends orders.
pub struct ControlLoop<Store: ObjectStore, Transport: OrderTransport> {
    lease: Arc<LeaseCandidate<Store>>,
    transport: Arc<Transport>,
    planner: OrderPlanner,
    started_at: Instant,
}

impl<Store: ObjectStore, Transport: OrderTransport> ControlLoop<Store, Transport> {
    /// Creates a control loop without targets.
    pub fn new(
        lease: Arc<LeaseCandidate<Store>>,
        transport: Arc<Transport>,
        limits: OrderLimits,
    ) -> Self {
        Self { lease, transport, planner: OrderPlanner::new(limits), started_at: Instant::now() }
    }

    /// The planner, for status reports.
    pub fn planner(&self) -> &OrderPlanner {
        &self.planner
    }

    /// Sets the targets of a revision of the declarations.
    pub fn set_targets(&mut self, revision: u64, targets: Vec<ServerTarget>) {
        self.planner.set_targets(revision, targets);
    }

    /// Records the state that a server's owner reported.
    pub fn record_report(&mut self, report: &StateReport) -> ReportEffect {
        self.planner.record_report(report, self.now())
    }

    /// Acquires or renews the lease and, while holding it, delivers the orders that are due.
    pub async fn step(&mut self) -> ControlStep {
        let LeaseStep::Held(grant) = self.lease.step().await else {
            return ControlStep::NotHolder;
        };
        let Ok(term) = u32::try_from(grant.fence) else {
            log::error!(
                "control: the fencing token of the lease exceeds 32 bits; no orders are sent. \
                 fence={}",
                grant.fence
            );
            return ControlStep::NotHolder;
        };
        self.planner.begin_term(term);
        self.deliver_due_orders(grant).await
    }

    async fn deliver_due_orders(&mut self, grant: LeaseGrant) -> ControlStep {
        let mut delivered = 0;
        while let Some(order) = self.planner.next_order(self.now()) {
            if !self.confirm_lease(grant).await {
                return ControlStep::NotHolder;
            }
            let reply = self.transport.deliver(&order).await;
            delivered += 1;
            let effect = self.planner.record_reply(&order, reply, self.now());
            if effect == ReportEffect::Superseded {
                log::warn!(
                    "control: another router sends orders under a later term; \
                     this router sends no more orders."
                );
                return ControlStep::Superseded;
            }
        }
        ControlStep::Delivered(delivered)
    }

    /// Returns whether the local router still holds the lease with the same fencing token. Renews
    /// the lease if that is due, since the replies to the orders of one step may take longer than
    /// the renewal interval.
    async fn confirm_lease(&self, grant: LeaseGrant) -> bool {
        match self.lease.step().await {
            LeaseStep::Held(current) => current.fence == grant.fence,
            LeaseStep::Waiting | LeaseStep::PlatformDown => false,
        }
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started_at.elapsed())
    }
}
