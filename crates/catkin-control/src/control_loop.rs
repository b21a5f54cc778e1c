//! One step of the duties of a region's control: lease, plan, deliver.

use std::future::Future;
use std::sync::Arc;

use catkin_base::{ClockTime, copy_type};
use catkin_platform::{LeaseGrant, LeaseHolder, LeaseStep, ObjectStore};
use tokio::time::Instant;

use crate::desired_state::ServerTarget;
use crate::order_planner::{
    OrderLimits, OrderPlanner, OrderReply, ReportEffect, ServerOrder, ServerReport,
};

/// Carries an order to the owner of its server.
pub trait OrderTransport: Send + Sync + 'static {
    /// Delivers an order and waits for the reply.
    fn deliver(&self, order: &ServerOrder) -> impl Future<Output = OrderReply> + Send;
}

copy_type! {
    /// What one step did.
    pub enum ControlStep {
        /// This router does not hold the lease.
        NotHolder,
        /// It gave this many orders.
        Ordered(usize),
        /// It found that another router gives orders under a later term.
        Superseded,
    }
}

/// Control of a region, as one router takes part in it.
pub struct ControlLoop<Store: ObjectStore, Route: OrderTransport> {
    lease: Arc<LeaseHolder<Store>>,
    route: Arc<Route>,
    planner: OrderPlanner,
    started_at: Instant,
}

impl<Store: ObjectStore, Route: OrderTransport> ControlLoop<Store, Route> {
    /// A router that has given no orders yet.
    pub fn new(lease: Arc<LeaseHolder<Store>>, route: Arc<Route>, limits: OrderLimits) -> Self {
        Self { lease, route, planner: OrderPlanner::new(limits), started_at: Instant::now() }
    }

    /// The plan, for status reports.
    pub fn planner(&self) -> &OrderPlanner {
        &self.planner
    }

    /// Takes the targets of a revision.
    pub fn set_targets(&mut self, generation: u64, targets: Vec<ServerTarget>) {
        self.planner.set_targets(generation, targets);
    }

    /// Takes a server's report.
    pub fn record_report(&mut self, report: &ServerReport) -> ReportEffect {
        self.planner.record_report(report, self.now())
    }

    /// Takes a step of the lease and delivers the orders that are due.
    pub async fn step(&mut self) -> ControlStep {
        let LeaseStep::Held(grant) = self.lease.step().await else {
            return ControlStep::NotHolder;
        };
        let Ok(term) = u32::try_from(grant.fence) else {
            log::error!("control: fencing number {} is out of range", grant.fence);
            return ControlStep::NotHolder;
        };
        self.planner.begin_term(term);
        self.deliver_due(grant).await
    }

    async fn deliver_due(&mut self, grant: LeaseGrant) -> ControlStep {
        let mut ordered = 0;
        while let Some(order) = self.planner.next_order(self.now()) {
            if !self.still_holds(grant).await {
                return ControlStep::NotHolder;
            }
            let reply = self.route.deliver(&order).await;
            ordered += 1;
            let effect = self.planner.record_reply(&order, reply, self.now());
            if effect == ReportEffect::Superseded {
                log::warn!("control: another router gives orders under a later term");
                return ControlStep::Superseded;
            }
        }
        ControlStep::Ordered(ordered)
    }

    /// Whether the grant still holds. Renews the lease if that is due, since replies may be slow.
    async fn still_holds(&self, grant: LeaseGrant) -> bool {
        match self.lease.step().await {
            LeaseStep::Held(current) => current.fence == grant.fence,
            LeaseStep::Waiting | LeaseStep::PlatformDown => false,
        }
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started_at.elapsed())
    }
}
