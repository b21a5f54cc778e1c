//! Orders to servers: the region's lease, orders through owners, reports back to the holder.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::{ServerId, VmId};
use catkin_control::{
    ControlLoop, ControlStep, OrderLimits, OrderReply, OrderRoute, ServerOrder, ServerReport,
    list_targets,
};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_platform::{LeaseHolder, LeaseOptions, process_nonce};
use catkin_policy::{RouterSpec, choose_key_router};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::environment::RouterEnvironment;
use crate::index::FleetIndex;
use crate::parts::RouterParts;
use crate::wire::wrap_kind;

/// Routers of a region that try to hold its lease.
const LEASE_CANDIDATES: usize = 2;
/// Interval of the lease's steps.
const STEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for a reply from the owner of a server.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Reports that wait for the lease's holder.
pub(crate) const REPORT_QUEUE_LENGTH: usize = 4_096;

/// An order that waits for its owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    server: ServerId,
    fence: u64,
}

/// Orders that wait for replies of owners.
#[derive(Debug, Default)]
pub(crate) struct OrderReplies {
    waiting: Mutex<BTreeMap<OrderKey, flume::Sender<OrderReply>>>,
}

impl OrderReplies {
    /// Hands a reply to whoever waits for it.
    pub(crate) fn take(&self, answer: &wire::ServerOrderAnswer) {
        let key = OrderKey { server: ServerId(answer.server), fence: answer.fence };
        if let Some(sender) = self.waiting().remove(&key) {
            // The one who asked may have stopped waiting.
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

/// Brings orders to the owners of their servers.
struct OwnerRoute<E: RouterEnvironment> {
    parts: Arc<RouterParts<E>>,
}

impl<E: RouterEnvironment> OrderRoute for OwnerRoute<E> {
    async fn deliver(&self, order: &ServerOrder) -> OrderReply {
        let owner = self.parts.control().owners.get(&order.server).copied();
        match owner {
            Some(owner) if owner == self.parts.identity.vm => {
                self.parts.courier.deliver(order).await
            }
            Some(owner) => self.deliver_to(owner, order).await,
            None => OrderReply::Held,
        }
    }
}

impl<E: RouterEnvironment> OwnerRoute<E> {
    async fn deliver_to(&self, owner: VmId, order: &ServerOrder) -> OrderReply {
        let key = OrderKey { server: order.server, fence: order.number.fence() };
        let receiver = self.parts.order_replies.open(key);
        let message = wire::ServerOrder {
            server: order.server.0,
            fence: key.fence,
            generation: order.generation,
            desired: order.desired.clone().into_bytes(),
        };
        self.parts.send_to(owner, &wrap_kind(Kind::ServerOrder(message)));
        let received = timeout(REPLY_TIMEOUT, receiver.recv_async()).await;
        self.parts.order_replies.close(key);
        match received {
            Ok(Ok(reply)) => reply,
            _ => OrderReply::Unanswered,
        }
    }
}

/// Takes part in the region's lease and gives orders while holding it.
pub(crate) async fn run_orders<E: RouterEnvironment>(
    parts: Arc<RouterParts<E>>,
    reports: flume::Receiver<ServerReport>,
) {
    let identity = &parts.identity;
    let process = process_nonce(identity.vm, identity.incarnation);
    let options = LeaseOptions::for_region(&identity.region_name, &identity.name, process);
    let lease = Arc::new(LeaseHolder::new(Arc::clone(&parts.store), options));
    let route = Arc::new(OwnerRoute { parts: Arc::clone(&parts) });
    let mut control = ControlLoop::new(Arc::clone(&lease), route, OrderLimits::default());
    let mut generation = 0;
    let mut ticks = interval(STEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for report in reports.try_iter() {
            control.note_report(&report);
        }
        let Some(index) = parts.index() else { continue };
        if index.revision() != generation {
            generation = index.revision();
            let targets = list_targets(index.declarations(), &parts.identity.region_name);
            control.set_targets(generation, targets);
        }
        if parts.gate.is_draining() || !is_candidate(&parts) {
            // Owners report to the candidates only, so no other router can give orders.
            if lease.release().await.is_err() {
                log::debug!("control: The lease was not released and will lapse.");
            }
            continue;
        }
        if let ControlStep::Ordered(count) = control.step().await
            && count > 0
        {
            log::info!("control: Orders were given. count={count} generation={generation}");
        }
    }
}

/// Whether this router is one of those of its region that try to hold the lease.
fn is_candidate<E: RouterEnvironment>(parts: &RouterParts<E>) -> bool {
    let roster = parts.control().roster.clone();
    lease_candidates(parts, roster).contains(&parts.identity.vm)
}

fn lease_candidates<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    mut roster: Vec<RouterSpec>,
) -> Vec<VmId> {
    let region = parts.identity.region;
    roster.retain(|router| router.region == region);
    let mut candidates = Vec::new();
    while candidates.len() < LEASE_CANDIDATES
        && let Some(vm) = choose_key_router(region.0, &roster)
    {
        roster.retain(|router| router.vm != vm);
        candidates.push(vm);
    }
    candidates
}

/// Passes an order on to a server that this router owns, and replies.
pub(crate) fn take_order<E: RouterEnvironment>(
    parts: &Arc<RouterParts<E>>,
    from: VmId,
    message: &wire::ServerOrder,
) {
    let Some(index) = parts.index() else { return };
    let Some(order) = order_from_wire(&index, message) else { return };
    let owned = parts.control().owners.get(&order.server) == Some(&parts.identity.vm);
    let parts = Arc::clone(parts);
    let tracker = parts.background.clone();
    tracker.spawn(async move {
        let reply = if owned { parts.courier.deliver(&order).await } else { OrderReply::Held };
        let answer = reply_to_wire(&order, reply);
        parts.send_to(from, &wrap_kind(Kind::ServerOrderAnswer(answer)));
    });
}

fn order_from_wire(index: &FleetIndex, message: &wire::ServerOrder) -> Option<ServerOrder> {
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

/// Reports a server's state to the routers that may hold the region's lease.
pub(crate) fn report_state<E: RouterEnvironment>(parts: &RouterParts<E>, report: &ServerReport) {
    let roster = parts.control().roster.clone();
    let state = wire::ServerState {
        server: report.server.0,
        incarnation: report.incarnation,
        models: report.models.clone(),
        fence: report.fence,
        undone: report.undone,
    };
    let message = wrap_kind(Kind::ServerState(state));
    for vm in lease_candidates(parts, roster) {
        if vm == parts.identity.vm {
            note_state(parts, report.clone());
        } else {
            parts.send_to(vm, &message);
        }
    }
}

/// Queues a report for the lease's holder; one too many is dropped, since reports repeat.
fn note_state<E: RouterEnvironment>(parts: &RouterParts<E>, report: ServerReport) {
    if parts.server_reports.try_send(report).is_err() {
        log::debug!("control: A report was dropped.");
    }
}

/// Takes another router's report of a server's state.
pub(crate) fn take_state<E: RouterEnvironment>(parts: &RouterParts<E>, state: &wire::ServerState) {
    let report = ServerReport {
        server: ServerId(state.server),
        incarnation: state.incarnation,
        models: state.models.clone(),
        fence: state.fence,
        undone: state.undone,
    };
    note_state(parts, report);
}

fn reply_to_wire(order: &ServerOrder, reply: OrderReply) -> wire::ServerOrderAnswer {
    let mut answer = wire::ServerOrderAnswer {
        server: order.server.0,
        fence: order.number.fence(),
        ..wire::ServerOrderAnswer::default()
    };
    match reply {
        OrderReply::Accepted => answer.set_result(wire::OrderResult::Accepted),
        OrderReply::Older(newest) => {
            answer.set_result(wire::OrderResult::Older);
            answer.newest_fence = newest;
        }
        OrderReply::Held => answer.set_result(wire::OrderResult::Held),
        OrderReply::Unanswered => answer.set_result(wire::OrderResult::Unanswered),
    }
    answer
}

fn reply_from_wire(answer: &wire::ServerOrderAnswer) -> OrderReply {
    match answer.result() {
        wire::OrderResult::Accepted => OrderReply::Accepted,
        wire::OrderResult::Older => OrderReply::Older(answer.newest_fence),
        wire::OrderResult::Held => OrderReply::Held,
        wire::OrderResult::Unanswered => OrderReply::Unanswered,
    }
}
