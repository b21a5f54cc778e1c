//! Orders to servers: holds the region's lease, sends orders through the servers' owners, and
//! reports the servers' states to the lease's holder.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::{ServerId, VmId};
use catkin_control::{
    ControlLoop, ControlStep, OrderLimits, OrderReply, OrderTransport, ServerOrder, StateReport,
    list_targets,
};
use catkin_peer::messages;
use catkin_peer::messages::peer_message::Kind;
use catkin_platform::{LeaseCandidate, LeaseOptions, derive_process_id};
use catkin_policy::{RouterSpec, choose_key_router};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;
use crate::wire::wrap_kind;

/// Number of routers of a region that try to hold its lease.
const MAX_LEASE_CANDIDATES: usize = 2;
/// Interval of the steps of the region's control loop.
const STEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum wait for a reply from the owner of a server.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of server reports queued for the control loop.
pub(crate) const REPORT_QUEUE_LENGTH: usize = 4_096;

/// Identifies an order that awaits the reply of the server's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    server: ServerId,
    fence: u64,
}

/// Orders that await the replies of servers' owners.
#[derive(Debug, Default)]
pub(crate) struct OrderReplies {
    waiting: Mutex<BTreeMap<OrderKey, flume::Sender<OrderReply>>>,
}

impl OrderReplies {
    /// Delivers a reply to the order that awaits it.
    pub(crate) fn deliver_reply(&self, answer: &messages::ServerOrderAnswer) {
        let key = OrderKey { server: ServerId(answer.server), fence: answer.fence };
        if let Some(sender) = self.waiting().remove(&key) {
            // The order may have timed out.
            let _ = sender.try_send(reply_from_wire(answer));
        }
    }

    fn open(&self, key: OrderKey) -> flume::Receiver<OrderReply> {
        let (sender, receiver) = flume::bounded(1);
        self.waiting().insert(key, sender);
        receiver
    }

    fn close(&self, key: OrderKey) {
        self.waiting().remove(&key);
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<OrderKey, flume::Sender<OrderReply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Delivers orders through the owners of their servers.
struct OwnerTransport<E: RouterEnvironment> {
    state: Arc<RouterState<E>>,
}

impl<E: RouterEnvironment> OrderTransport for OwnerTransport<E> {
    async fn deliver(&self, order: &ServerOrder) -> OrderReply {
        let owner = self.state.policy().owners.get(&order.server).copied();
        match owner {
            Some(owner) if owner == self.state.identity.vm => {
                self.state.dispatcher.deliver(order).await
            }
            Some(owner) => self.deliver_to(owner, order).await,
            None => OrderReply::Held,
        }
    }
}

impl<E: RouterEnvironment> OwnerTransport<E> {
    /// Sends an order to another router that owns its server, and waits for the reply.
    async fn deliver_to(&self, owner: VmId, order: &ServerOrder) -> OrderReply {
        let key = OrderKey { server: order.server, fence: order.number.fence() };
        let receiver = self.state.order_replies.open(key);
        let message = messages::ServerOrder {
            server: order.server.0,
            fence: key.fence,
            generation: order.generation,
            desired: order.desired.clone().into_bytes(),
        };
        self.state.send_to(owner, &wrap_kind(Kind::ServerOrder(message)));
        let received = timeout(REPLY_TIMEOUT, receiver.recv_async()).await;
        self.state.order_replies.close(key);
        match received {
            Ok(Ok(reply)) => reply,
            _ => OrderReply::Unanswered,
        }
    }
}

/// Competes for the region's lease, and sends orders while this router holds it.
pub(crate) async fn run_orders<E: RouterEnvironment>(
    state: Arc<RouterState<E>>,
    reports: flume::Receiver<StateReport>,
) {
    let identity = &state.identity;
    let process = derive_process_id(identity.vm, identity.incarnation);
    let options = LeaseOptions::for_region(&identity.region_name, &identity.name, process);
    let lease = Arc::new(LeaseCandidate::new(Arc::clone(&state.store), options));
    let transport = Arc::new(OwnerTransport { state: Arc::clone(&state) });
    let mut control = ControlLoop::new(Arc::clone(&lease), transport, OrderLimits::default());
    let mut revision = 0;
    let mut ticks = interval(STEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for report in reports.try_iter() {
            control.record_report(&report);
        }
        let Some(index) = state.index() else { continue };
        if index.revision() != revision {
            revision = index.revision();
            let targets = list_targets(index.declarations(), &state.identity.region_name);
            control.set_targets(revision, targets);
        }
        if state.gate.is_draining() || !is_candidate(&state) {
            // Owners report to the candidates only, so no other router knows enough to send orders.
            if lease.release().await.is_err() {
                log::debug!("control: the region's lease was not released; it expires instead.");
            }
            continue;
        }
        if let ControlStep::Delivered(count) = control.step().await
            && count > 0
        {
            log::info!("control: orders were sent to servers. count={count} generation={revision}");
        }
    }
}

/// Whether this router is one of those in its region that try to hold the lease.
fn is_candidate<E: RouterEnvironment>(state: &RouterState<E>) -> bool {
    let roster = state.policy().roster.clone();
    list_lease_candidates(state, roster).contains(&state.identity.vm)
}

/// Routers of this region that try to hold its lease, the preferred one first.
fn list_lease_candidates<E: RouterEnvironment>(
    state: &RouterState<E>,
    mut roster: Vec<RouterSpec>,
) -> Vec<VmId> {
    let region = state.identity.region;
    roster.retain(|router| router.region == region);
    let mut candidates = Vec::new();
    while candidates.len() < MAX_LEASE_CANDIDATES
        && let Some(vm) = choose_key_router(region.0, &roster)
    {
        roster.retain(|router| router.vm != vm);
        candidates.push(vm);
    }
    candidates
}

/// Delivers an order to a server that this router owns, and sends the result back.
///
/// Ignores an order for an undeclared server, or with a desired state that is not UTF-8.
pub(crate) fn handle_server_order<E: RouterEnvironment>(
    state: &Arc<RouterState<E>>,
    from: VmId,
    message: &messages::ServerOrder,
) {
    let Some(index) = state.index() else { return };
    let Some(order) = order_from_wire(&index, message) else { return };
    let owned = state.policy().owners.get(&order.server) == Some(&state.identity.vm);
    let state = Arc::clone(state);
    let tracker = state.background.clone();
    tracker.spawn(async move {
        let reply = if owned { state.dispatcher.deliver(&order).await } else { OrderReply::Held };
        let answer = reply_to_wire(&order, reply);
        state.send_to(from, &wrap_kind(Kind::ServerOrderAnswer(answer)));
    });
}

fn order_from_wire(index: &FleetIndex, message: &messages::ServerOrder) -> Option<ServerOrder> {
    let server = ServerId(message.server);
    let entry = index.server(server)?;
    Some(ServerOrder {
        server,
        address: entry.address,
        checks_fencing: entry.checks_fencing,
        number: catkin_control::OrderNumber::from_fence(message.fence),
        generation: message.generation,
        desired: String::from_utf8(message.desired.clone()).ok()?,
    })
}

/// Sends a server's state to the routers that may hold the region's lease.
pub(crate) fn report_server_state<E: RouterEnvironment>(
    state: &RouterState<E>,
    report: &StateReport,
) {
    let roster = state.policy().roster.clone();
    let server_state = messages::ServerState {
        server: report.server.0,
        incarnation: report.incarnation,
        models: report.models.clone(),
        fence: report.fence,
        undone: report.undone,
    };
    let message = wrap_kind(Kind::ServerState(server_state));
    for vm in list_lease_candidates(state, roster) {
        if vm == state.identity.vm {
            queue_report(state, report.clone());
        } else {
            state.send_to(vm, &message);
        }
    }
}

/// Queues a report for the control loop. If the queue is full the report is dropped, since reports
/// are repeated.
fn queue_report<E: RouterEnvironment>(state: &RouterState<E>, report: StateReport) {
    if state.server_reports.try_send(report).is_err() {
        log::debug!(
            "control: the queue of server reports is full; a report was dropped and will be \
             repeated."
        );
    }
}

/// Queues another router's report of a server's state.
pub(crate) fn handle_server_state<E: RouterEnvironment>(
    state: &RouterState<E>,
    server_state: &messages::ServerState,
) {
    let report = StateReport {
        server: ServerId(server_state.server),
        incarnation: server_state.incarnation,
        models: server_state.models.clone(),
        fence: server_state.fence,
        undone: server_state.undone,
    };
    queue_report(state, report);
}

fn reply_to_wire(order: &ServerOrder, reply: OrderReply) -> messages::ServerOrderAnswer {
    let mut answer = messages::ServerOrderAnswer {
        server: order.server.0,
        fence: order.number.fence(),
        ..messages::ServerOrderAnswer::default()
    };
    match reply {
        OrderReply::Accepted => answer.set_result(messages::OrderResult::Accepted),
        OrderReply::Older(newest) => {
            answer.set_result(messages::OrderResult::Older);
            answer.newest_fence = newest;
        }
        OrderReply::Held => answer.set_result(messages::OrderResult::Held),
        OrderReply::Unanswered => answer.set_result(messages::OrderResult::Unanswered),
    }
    answer
}

fn reply_from_wire(answer: &messages::ServerOrderAnswer) -> OrderReply {
    match answer.result() {
        messages::OrderResult::Accepted => OrderReply::Accepted,
        messages::OrderResult::Older => OrderReply::Older(answer.newest_fence),
        messages::OrderResult::Held => OrderReply::Held,
        messages::OrderResult::Unanswered => OrderReply::Unanswered,
    }
}
