//! The holder of the lease keeps it while owners of servers do not reply. Waiting for their replies
//! in one step takes longer than the lease lasts, so the lease has to be renewed in between.

#[path = "../../catkin-platform/tests/common/mod.rs"]
mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use catkin_base::ServerId;
use catkin_control::{
    ControlLoop, ControlStep, OrderLimits, OrderReply, OrderTransport, ServerOrder, ServerTarget,
    StateReport,
};
use catkin_platform::{LeaseCandidate, LeaseOptions};
use common::MemoryStore;

/// A transport whose owners never reply.
struct SilentTransport;

impl OrderTransport for SilentTransport {
    async fn deliver(&self, _order: &ServerOrder) -> OrderReply {
        tokio::time::sleep(Duration::from_secs(5)).await;
        OrderReply::Unanswered
    }
}

fn target(name: &str) -> ServerTarget {
    ServerTarget {
        server: ServerId::from_name(name),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        checks_fencing: true,
        desired: "state".to_owned(),
        models: Vec::new(),
    }
}

fn report(name: &str) -> StateReport {
    StateReport {
        server: ServerId::from_name(name),
        incarnation: 1,
        models: Vec::new(),
        fence: 0,
        undone: false,
    }
}

#[tokio::test(start_paused = true)]
async fn holder_keeps_its_lease_while_owners_do_not_reply() {
    let store = MemoryStore::shared();
    let lease = Arc::new(LeaseCandidate::new(store, LeaseOptions::for_region("ch", "vm-1", 1)));
    let limits = OrderLimits { retry_after: Duration::from_secs(3600), ..OrderLimits::default() };
    let mut control = ControlLoop::new(Arc::clone(&lease), Arc::new(SilentTransport), limits);
    let names = ["a", "b", "c", "d", "e"];
    control.set_targets(1, names.map(target).to_vec());
    for name in names {
        control.record_report(&report(name));
    }

    let step = control.step().await;

    assert_eq!(step, ControlStep::Delivered(5));
    assert_eq!(lease.grant().map(|grant| grant.fence), Some(1));
}
